//! Tests of the client of the platform's service against a stand-in without faults.

use std::time::Duration;

use laburnum_core::{
    store::{Call, LeaseId, Reply, Version},
    view::State,
};
use laburnum_platform::store::MAX_VALUE_BYTES;
use laburnumworks::standin::platform::{List, list::Raw};
use reqwest::StatusCode;
use serde_json::json;

use crate::service::{Service, at, get, is_refused, swap, vm, watch};

/// A time that does not elapse within a case.
const LONG_MS: u64 = 20_000;

cases! { async:
    a_missing_key_has_no_entry => {
        let mut client = Service::start().client("vm-1");
        assert_eq!(client.call(get("a")).await, Reply::Value { entry: None, position: at(0) });
    };
    a_written_value_is_read_back => {
        let mut client = Service::start().client("vm-1");
        let bytes: Vec<u8> = (0..=255).collect();
        let version = client.write("a", None, &bytes).await;
        let entry = client.read("a").await.unwrap();
        assert_eq!((entry.version, entry.value), (version, bytes));
    };
    a_write_raises_the_version => {
        let mut client = Service::start().client("vm-1");
        let first = client.write("a", None, b"1").await;
        let second = client.write("a", Some(first), b"2").await;
        assert_eq!(second, Version(at(first.0.change + 1)));
    };
    a_write_on_another_version_is_a_conflict => {
        let mut client = Service::start().client("vm-1");
        let first = client.write("a", None, b"1").await;
        let second = client.write("a", Some(first), b"2").await;
        let reply = client.call(swap("a", Some(first), b"3")).await;
        let Reply::Conflict { current: Some(current) } = reply else { panic!("{reply:?}") };
        assert_eq!((current.version, current.value), (second, b"2".to_vec()));
    };
    a_write_of_an_existing_key_as_new_is_a_conflict => {
        let mut client = Service::start().client("vm-1");
        client.write("a", None, b"1").await;
        let reply = client.call(swap("a", None, b"2")).await;
        assert!(matches!(reply, Reply::Conflict { current: Some(_) }), "{reply:?}");
    };
    a_write_of_a_missing_key_as_existing_is_a_conflict => {
        let mut client = Service::start().client("vm-1");
        let reply = client.call(swap("a", Some(Version(at(1))), b"2")).await;
        assert_eq!(reply, Reply::Conflict { current: None });
    };
    a_removed_key_is_gone_and_has_no_earlier_version_later => {
        let mut client = Service::start().client("vm-1");
        let first = client.write("a", None, b"1").await;
        let remove = Call::Remove { key: "a".to_owned(), expect: first };
        assert_eq!(client.call(remove.clone()).await, Reply::Removed);
        assert_eq!(client.read("a").await, None);
        assert_eq!(client.call(remove).await, Reply::Conflict { current: None });
        assert!(client.write("a", None, b"2").await > first);
    };
    a_scan_gives_the_prefix_in_ascending_order => {
        let mut client = Service::start().client("vm-1");
        for key in ["b/2", "c", "b/1", "a"] {
            client.write(key, None, b"").await;
        }
        let reply = client.call(Call::Scan { prefix: "b/".to_owned() }).await;
        let Reply::Entries { entries, position } = reply else { panic!("{reply:?}") };
        let keys: Vec<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        assert_eq!((keys, position), (vec!["b/1", "b/2"], at(4)));
    };
    a_value_of_a_megabyte_is_kept => {
        let mut client = Service::start().client("vm-1");
        let value = vec![0xa5; MAX_VALUE_BYTES];
        client.write("a", None, &value).await;
        assert!(client.read("a").await.unwrap().value == value);
    };
    a_larger_value_is_refused => {
        let mut client = Service::start().client("vm-1");
        let reply = client.call(swap("a", None, &vec![0; MAX_VALUE_BYTES + 1])).await;
        assert!(is_refused(&reply), "{reply:?}");
        assert_eq!(client.read("a").await, None);
    };
    a_value_beyond_the_call_size_is_refused_without_a_call => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        let reply = client.call(swap("a", None, &vec![0; 4 * MAX_VALUE_BYTES])).await;
        assert!(is_refused(&reply), "{reply:?}");
        assert!(service.call_counts().await.is_empty());
    };
    a_key_goes_with_its_lease => {
        let mut client = Service::start().client("vm-1");
        let lease = grant(&mut client, 150).await;
        let call = Call::Swap {
            key: "a".to_owned(), expect: None, value: vec![1], lease: Some(lease),
        };
        let reply = client.call(call).await;
        assert!(matches!(reply, Reply::Swapped { .. }), "{reply:?}");
        let reply = client.call(watch("a", 1, LONG_MS)).await;
        let expected = Reply::Changed { entries: vec![], removed: vec!["a".to_owned()], position: at(2) };
        assert_eq!(reply, expected);
        assert_eq!(client.call(Call::Keep { lease }).await, Reply::Lapsed);
    };
    a_lease_is_kept => {
        let mut client = Service::start().client("vm-1");
        let lease = grant(&mut client, LONG_MS).await;
        assert_eq!(client.call(Call::Keep { lease }).await, Reply::Leased { lease });
    };
    a_write_under_no_lease_does_not_take_effect => {
        let mut client = Service::start().client("vm-1");
        let call = Call::Swap {
            key: "a".to_owned(), expect: None, value: vec![1], lease: Some(LeaseId(7)),
        };
        assert_eq!(client.call(call).await, Reply::Lapsed);
        assert_eq!(client.read("a").await, None);
    };
    a_watch_wakes_on_a_write_of_its_prefix => {
        let service = Service::start();
        let (mut watcher, mut writer) = (service.client("vm-1"), service.client("vm-2"));
        writer.write("p/old", None, b"0").await;
        watcher.start(watch("p/", 1, LONG_MS));
        writer.write("q/other", None, b"1").await;
        writer.write("p/new", None, b"2").await;
        let (_, reply) = watcher.next().await;
        let Reply::Changed { entries, removed, position } = reply else { panic!("{reply:?}") };
        assert_eq!((entries[0].key.as_str(), entries.len(), position), ("p/new", 1, at(3)));
        assert!(removed.is_empty());
    };
    a_watch_sees_a_change_from_before_it_began => {
        let mut client = Service::start().client("vm-1");
        client.write("a", None, b"1").await;
        let reply = client.call(watch("a", 0, LONG_MS)).await;
        let Reply::Changed { position, .. } = reply else { panic!("{reply:?}") };
        assert_eq!(position, at(1));
    };
    a_watch_without_a_change_ends_with_its_wait => {
        let mut client = Service::start().client("vm-1");
        client.write("b", None, b"1").await;
        let reply = client.call(watch("a", 0, 50)).await;
        assert_eq!(reply, Reply::Changed { entries: vec![], removed: vec![], position: at(1) });
    };
    a_watch_may_wait_beyond_the_limit_of_other_calls => {
        let mut client = Service::start().client("vm-1");
        let reply = client.call(watch("a", 0, 600)).await;
        assert!(matches!(reply, Reply::Changed { .. }), "{reply:?}");
    };
    each_call_is_counted_and_a_waiting_watch_is_one => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        client.write("a", None, b"1").await;
        client.read("a").await;
        client.read("b").await;
        client.call(Call::List).await;
        client.call(watch("z", 0, 200)).await;
        let calls = service.call_counts().await;
        let counts: Vec<(&str, u64)> = calls.iter().map(|(kind, n)| (kind.as_str(), *n)).collect();
        assert_eq!(counts, [("get", 2), ("list", 1), ("swap", 1), ("watch", 1)]);
    };
    the_list_starts_as_it_is_given => {
        let vms = vec![vm("vm-2", State::Live), vm("vm-1", State::Leaving)];
        let list = List::try_from(Raw { vms, targets: vec![] }).unwrap();
        let mut client = Service::start_with(list).client("vm-1");
        let expected = [("vm-1".to_owned(), State::Leaving), ("vm-2".to_owned(), State::Live)];
        assert_eq!(client.vms().await, expected);
    };
    the_deployer_changes_the_list => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        let live = serde_json::to_value(vm("vm-1", State::Live)).unwrap();
        assert_eq!(service.put("/v1/list/vms/vm-1", live).await, StatusCode::NO_CONTENT);
        assert_eq!(client.vms().await, [("vm-1".to_owned(), State::Live)]);
        let target = json!({
            "name": "t-1", "index": "licences", "shard": "s-0", "domain": "gauteng-1",
            "address": "127.0.0.1:5000", "slots": 2, "connections": 55, "state": "leaving",
        });
        assert_eq!(service.put("/v1/list/targets/t-1", target).await, StatusCode::NO_CONTENT);
        let reply = client.call(Call::List).await;
        let Reply::Listed { targets, .. } = reply else { panic!("{reply:?}") };
        assert_eq!((targets.len(), targets[0].state), (1, State::Leaving));
        assert_eq!(service.delete("/v1/list/vms/vm-1").await, StatusCode::NO_CONTENT);
        assert_eq!(client.vms().await, []);
    };
    a_list_entry_under_another_name_is_refused => {
        let service = Service::start();
        let live = serde_json::to_value(vm("vm-1", State::Live)).unwrap();
        assert_eq!(service.put("/v1/list/vms/vm-2", live).await, StatusCode::BAD_REQUEST);
    };
    a_suspect_list_entry_is_refused => {
        let service = Service::start();
        let suspect = serde_json::to_value(vm("vm-1", State::Suspect)).unwrap();
        assert_eq!(service.put("/v1/list/vms/vm-1", suspect).await, StatusCode::BAD_REQUEST);
    };
}

cases! {
    a_list_with_a_suspect_is_refused => {
        let raw = Raw { vms: vec![vm("vm-1", State::Suspect)], targets: vec![] };
        assert!(toml::from_str::<List>(&toml::to_string(&raw).unwrap()).is_err());
    };
    a_list_is_read_from_toml => {
        let list =
            List::try_from(Raw { vms: vec![vm("vm-1", State::Live)], targets: vec![] }).unwrap();
        let text = toml::to_string(&list).unwrap();
        assert_eq!(toml::from_str::<List>(&text).unwrap(), list);
    };
}

async fn grant(client: &mut crate::service::TestClient, ttl_ms: u64) -> LeaseId {
    match client.call(Call::Grant { ttl: Duration::from_millis(ttl_ms) }).await {
        Reply::Leased { lease } => lease,
        other => panic!("{other:?}"),
    }
}
