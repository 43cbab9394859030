//! Frames over loopback, sender and receiver on one thread.

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
    Part, Slope, bed,
    meter::{self, Sample},
};
use crate::wire::{self, Admission, Body, Dialer, Key, Limits, codec, listen};

/// The legs of one frame.
const LEGS: [usize; 3] = [1, 8, 64];

/// The frames of one repeat.
const FRAMES: usize = 2000;

/// The frames that are sent before the receiver is awaited.
const BURST: usize = 20;

/// Measures the part.
pub fn measure() -> Vec<Slope> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be made");
    LEGS.into_iter().flat_map(|legs| runtime.block_on(frames(legs))).collect()
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
        index: bed::name(bed::INDEX),
        shard: bed::shard_name(shard),
        profile: bed::name(bed::PROFILE),
        work: Work::Search {
            version: bed::VERSION,
            range: bed::range(shard, shards),
            text: "band 7".into(),
        },
        fingerprint: Fingerprint(u64::MAX),
        remaining: Duration::from_millis(120),
        trial: false,
    };
    Message::Legs((0..legs).map(leg).collect())
}

/// Measures frames of `legs` legs that come in bursts, and one at a time.
async fn frames(legs: usize) -> Vec<Slope> {
    let message = message(legs);
    let limit = Limits::default().frame_bytes;
    let bytes = codec::encode(&Body::Traffic(message.clone()), limit).map_or(0, |b| b.len());
    let mut link = Link::open();
    let burst = link.measure(&message, BURST).await;
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
        slope("send and receive a frame, 20 at a time", size.clone(), "us", burst),
        slope("the same for each byte", size.clone(), "ns", per_byte(burst)),
        slope("send and receive a frame, one at a time", size, "us", single),
    ]
}

/// A connection from one lane to another.
struct Link {
    dialer: Dialer,
    frames: mpsc::Receiver<wire::Frame>,
    _losses: mpsc::UnboundedReceiver<wire::Lost>,
}

impl Link {
    fn open() -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let key = Key::try_from("the-key-of-a-measurement").expect("the text is a key");
        let limits = Limits::default();
        let admission = Admission { own: bed::lane(1), keys: vec![key.digest()], limits };
        let (sink, frames) = mpsc::channel(FRAMES);
        tokio::spawn(listen(listener, admission, sink));
        let (losses, lost) = mpsc::unbounded_channel();
        let mut dialer = Dialer::new(bed::lane(0), 1, key, limits, losses);
        dialer.update(BTreeMap::from([(bed::lane(1), address)]));
        Link { dialer, frames, _losses: lost }
    }

    async fn measure(&mut self, message: &Message, burst: usize) -> Sample {
        let mut values = Vec::new();
        for repeat in 0..=meter::REPEATS {
            let before = meter::processor();
            for _ in 0..FRAMES / burst {
                self.pass(message, burst).await;
            }
            let took = meter::processor().saturating_sub(before);
            if repeat > 0 {
                values.push(took.as_secs_f64() * 1e6 / FRAMES as f64);
            }
        }
        Sample::of(values)
    }

    async fn pass(&mut self, message: &Message, burst: usize) {
        for _ in 0..burst {
            self.dialer.send(&bed::lane(1), message.clone());
        }
        for _ in 0..burst {
            self.frames.recv().await.expect("the listener runs");
        }
    }
}
