//! Frames between VMs over loopback, with sender and receiver on one thread.

use std::{collections::BTreeMap, net::TcpListener, time::Duration};

use laburnum_core::{
    border::Peers,
    digest::Fingerprint,
    id,
    message::{Leg, Message},
    target::Work,
};
use tokio::sync::mpsc;

use super::{
    Part, Slope, fixture,
    meter::{self, Sample},
};
use crate::{
    memory::Ledger,
    wire::{self, Admission, Body, Dialer, Key, Limits, codec, listen},
};

/// The numbers of legs in one frame.
const LEGS_PER_FRAME: [usize; 3] = [1, 8, 64];

/// The number of frames in one repeat.
const FRAMES_PER_REPEAT: usize = 2000;

/// The number of frames in a burst: all are sent before the first is received.
const FRAMES_PER_BURST: usize = 20;

/// Measures frames between VMs.
pub fn measure() -> Vec<Slope> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be made");
    LEGS_PER_FRAME.into_iter().flat_map(|legs| runtime.block_on(measure_frames(legs))).collect()
}

fn slope(figure: &'static str, size: String, unit: &'static str, sample: Sample) -> Slope {
    Slope { part: Part::Wire, figure, size, unit, sample }
}

fn message(legs: usize) -> Message {
    let mut ids = id::Source::new(id::Origin(u64::MAX));
    let shards = 1100;
    let leg = |shard| Leg {
        leg: ids.leg(),
        query: ids.query(),
        index: fixture::name(fixture::INDEX_NAME),
        shard: fixture::shard_name(shard),
        profile: fixture::name(fixture::PROFILE_NAME),
        work: Work::Search {
            version: fixture::VERSION,
            range: fixture::range(shard, shards),
            text: "band 7".into(),
        },
        fingerprint: Fingerprint(u64::MAX),
        remaining: Duration::from_millis(120),
        trial: false,
    };
    Message::Legs((0..legs).map(leg).collect())
}

/// Measures frames of `legs` legs, in bursts and one at a time.
async fn measure_frames(legs: usize) -> Vec<Slope> {
    let message = message(legs);
    let limit = Limits::default().frame_bytes;
    let bytes = codec::encode(&Body::Traffic(message.clone()), limit).map_or(0, |b| b.len());
    let mut link = Link::open();
    let in_bursts = link.measure(&message, FRAMES_PER_BURST).await;
    let single = link.measure(&message, 1).await;
    let size = format!("{legs} legs a frame");
    let per_byte = |sample: Sample| Sample {
        median: sample.median * 1e3 / bytes as f64,
        least: sample.least * 1e3 / bytes as f64,
        most: sample.most * 1e3 / bytes as f64,
        ..sample
    };
    vec![
        slope("bytes of a frame", size.clone(), "bytes", Sample::exact(bytes as f64)),
        slope("send and receive a frame, 20 at a time", size.clone(), "us", in_bursts),
        slope("the same for each byte", size.clone(), "ns", per_byte(in_bursts)),
        slope("send and receive a frame, one at a time", size, "us", single),
    ]
}

/// A connection from one lane to another, with both ends.
struct Link {
    dialer: Dialer,
    frames: mpsc::Receiver<wire::Frame>,
    /// Kept open for the dialer, which reports lost connections to it.
    _losses: mpsc::UnboundedReceiver<wire::Lost>,
}

impl Link {
    fn open() -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let key = Key::try_from("the-key-of-a-measurement").expect("the text is a key");
        let limits = Limits::default();
        let admission = Admission {
            own: fixture::lane(1),
            keys: vec![key.digest()],
            limits,
            ledger: Ledger::default(),
        };
        let (sink, frames) = mpsc::channel(FRAMES_PER_REPEAT);
        tokio::spawn(listen(listener, admission, sink));
        let (losses, lost) = mpsc::unbounded_channel();
        let mut dialer = Dialer::new(fixture::lane(0), 1, key, limits, losses);
        dialer.update(BTreeMap::from([(fixture::lane(1), address)]));
        Link { dialer, frames, _losses: lost }
    }

    /// The CPU time per frame in microseconds, for bursts of `burst` frames.
    async fn measure(&mut self, message: &Message, burst: usize) -> Sample {
        let mut values = Vec::new();
        for repeat in 0..=meter::REPEATS {
            let before = meter::thread_cpu_time();
            for _ in 0..FRAMES_PER_REPEAT / burst {
                self.send_and_receive(message, burst).await;
            }
            let took = meter::thread_cpu_time().saturating_sub(before);
            if repeat > 0 {
                values.push(took.as_secs_f64() * 1e6 / FRAMES_PER_REPEAT as f64);
            }
        }
        Sample::of(values)
    }

    async fn send_and_receive(&mut self, message: &Message, burst: usize) {
        for _ in 0..burst {
            self.dialer.send(&fixture::lane(1), message.clone());
        }
        for _ in 0..burst {
            self.frames.recv().await.expect("the listener runs");
        }
    }
}
