//! The bound on frames that deliver nothing, over a long time and for each allowance.

use std::{
    task::{Context, Waker},
    time::{Duration, Instant},
};

use laburnumworks::target::meter::{Allowance, Meter};

const SECOND: Duration = Duration::from_secs(1);

/// The seconds of the long cases.
const FOUR_HOURS: u32 = 4 * 3600;

fn allowance(meter: &Meter, now: Instant) -> Allowance {
    meter.allowance(now, &Context::from_waker(Waker::noop()))
}

fn may_read(meter: &Meter, now: Instant) -> bool {
    matches!(allowance(meter, now), Allowance::Frames(_))
}

/// Reads `frames` each second; returns after how many seconds the connection is given up.
fn second_of_end(frames: usize) -> Option<u32> {
    let begun = Instant::now();
    let meter = Meter::new(begun);
    (0..FOUR_HOURS).find(|&second| {
        let now = begun + SECOND * second;
        meter.spend(frames, now);
        allowance(&meter, now) == Allowance::Exceeded
    })
}

async fn pings_now_and_then() {
    assert_eq!(second_of_end(1), None);
    assert_eq!(second_of_end(4), None);
}

async fn more_pings() {
    assert!(second_of_end(8).is_some_and(|second| second < 60));
}

/// Without an exchange, the end comes at once; with one, after a time without delivery.
async fn wait_for_delivery() {
    let now = Instant::now();
    let meter = Meter::new(now);
    let exchange = meter.begin();
    meter.spend(10_000, now);
    let Allowance::WaitUntil(limit) = allowance(&meter, now) else {
        panic!("no wait");
    };
    let _other = meter.begin();
    assert!(!may_read(&meter, now), "a request alone lets nothing more be read");
    exchange.deliver();
    assert!(may_read(&meter, now));
    meter.spend(10_000, limit);
    assert!(matches!(allowance(&meter, limit), Allowance::WaitUntil(later) if later > limit));
    assert_eq!(allowance(&meter, limit + SECOND), Allowance::Exceeded);
}

/// What many replies have allowed is not kept without end.
async fn bounded_credit() {
    let now = Instant::now();
    let meter = Meter::new(now);
    for _ in 0..100_000 {
        let exchange = meter.begin();
        exchange.deliver();
        exchange.finish();
    }
    meter.spend(5_000, now);
    assert_eq!(allowance(&meter, now), Allowance::Exceeded);
}

async fn abandoned_exchange() {
    let now = Instant::now();
    let meter = Meter::new(now);
    let exchange = meter.begin();
    meter.spend(10_000, now);
    assert!(!may_read(&meter, now));
    drop(exchange);
    assert!(may_read(&meter, now), "the reply may be under way");
    meter.spend(10_000, now);
    assert_eq!(allowance(&meter, now), Allowance::Exceeded);
}

cases! {
    pings_now_and_then_pass_for_hours => pings_now_and_then();
    more_pings_do_not => more_pings();
    a_reader_waits_for_a_delivery => wait_for_delivery();
    credit_is_bounded => bounded_credit();
    an_abandoned_exchange_allows_its_reply => abandoned_exchange();
}
