//! The faults that a soak injects, and how one is drawn.

use std::time::Duration;

use rand::{RngExt, rngs::StdRng};

use crate::{proxy::Mode, target::Behaviour};

/// A fault of one relay, one target, the store or the links between them. Relays and
/// targets are given by their index in the deployment.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A relay is killed, and launched again after the time `down`.
    Kill { relay: usize, down: Duration },
    /// The process of a relay is stopped for a while.
    Freeze { relay: usize, span: Duration },
    /// A relay shuts down in an orderly way and is launched again.
    Restart { relay: usize },
    /// A relay reads its settings again.
    Reload { relay: usize },
    /// A target closes its connections and accepts none for a while.
    Down { target: usize, span: Duration },
    /// A target accepts requests but delays running them for a while.
    Pause { target: usize, span: Duration },
    /// A target shows a behaviour for a share of its requests.
    Behaviour { target: usize, behaviour: Behaviour, share: f64, span: Duration },
    /// A target drains and another one replaces it.
    Replace { target: usize },
    /// The link to a target delays or holds back bytes.
    TargetLink { target: usize, mode: Mode, span: Duration },
    /// The connections to a target are reset.
    Reset { target: usize },
    /// The open connections to a target stay open but pass no more bytes.
    Blackhole { target: usize },
    /// The store fails for all relays, answers late or loses answers.
    Store { faults: &'static str, span: Duration },
    /// The store discards its history of changes.
    DiscardHistory,
    /// The store returns from a copy of the age `age` after it was away. It ends open
    /// connections in the way `open`. The operator and the targets write again what it
    /// lost, and the operator writes a new version.
    Return { open: &'static str, age: Duration, away: Duration },
    /// The link of one relay to the store delays or holds back bytes.
    StoreLink { relay: usize, mode: Mode, span: Duration },
    /// A new version of the configuration is written.
    Reconfigure,
    /// A search that crashes targets is sent several times.
    Poison,
}

/// The number of targets that run operations, which are the last ones.
const OPERATION_TARGETS: usize = 4;

/// The faults of the store that last for a span, as the stand-in reads them.
const STORE_FAULTS: [&str; 5] = [
    r#"{"down": "refuse"}"#,
    r#"{"down": "hang"}"#,
    r#"{"down": "cut"}"#,
    r#"{"delay_ms": 400}"#,
    r#"{"lose_after": 3, "lose_by": "hang"}"#,
];

/// How a return of the store ends open connections, as the stand-in reads it.
const ENDINGS: [&str; 3] = ["cut", "hang", "outdated"];

const BEHAVIOURS: [Behaviour; 8] = [
    Behaviour::Slow,
    Behaviour::Fails,
    Behaviour::Sheds,
    Behaviour::Hangs,
    Behaviour::Cuts,
    Behaviour::Doubles,
    Behaviour::Crosses,
    Behaviour::Unframed,
];

/// Draws a fault for the given numbers of relays and targets. A seed gives the same
/// faults only while the order of the draws stays the same.
pub fn draw(random: &mut StdRng, relays: usize, targets: usize) -> Fault {
    let span = Duration::from_millis(random.random_range(200..2500));
    let short = Duration::from_millis(random.random_range(50..1500));
    let relay = random.random_range(0..relays);
    // Half of the draws pick only from the targets that run operations, because
    // operations have the strictest guarantees.
    let first = if random.random::<bool>() { targets - OPERATION_TARGETS } else { 0 };
    let target = random.random_range(first..targets);
    let modes = [Mode::Silent, Mode::OneWay, Mode::Delay(Duration::from_millis(80))];
    let mode = modes[random.random_range(0..modes.len())];
    match random.random_range(0..22) {
        0 => Fault::Kill { relay, down: short },
        1 => Fault::Freeze { relay, span: short },
        2 | 3 => Fault::Restart { relay },
        4 => Fault::Reload { relay },
        5 => Fault::Down { target, span },
        6 => Fault::Pause { target, span: short },
        7 | 8 => {
            let behaviour = BEHAVIOURS[random.random_range(0..BEHAVIOURS.len())];
            Fault::Behaviour { target, behaviour, share: random.random_range(0.1..0.9), span }
        }
        9 => Fault::Replace { target },
        10 | 11 => Fault::TargetLink { target, mode, span },
        12 => Fault::Reset { target },
        13 => Fault::Blackhole { target },
        14 => {
            Fault::Store { faults: STORE_FAULTS[random.random_range(0..STORE_FAULTS.len())], span }
        }
        15 => Fault::DiscardHistory,
        16 => Fault::StoreLink { relay, mode, span },
        17 | 18 => Fault::Reconfigure,
        19 | 20 => {
            let open = ENDINGS[random.random_range(0..ENDINGS.len())];
            Fault::Return { open, age: span, away: short }
        }
        _ => Fault::Poison,
    }
}
