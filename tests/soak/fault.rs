//! The faults of a soak, as they are drawn.

use std::time::Duration;

use rand::{RngExt, rngs::StdRng};

use crate::{proxy::Mode, target::Manner};

/// What is disturbed, and how.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A relay is killed and starts again.
    Kill { relay: usize, down: Duration },
    /// The process of a relay stands still.
    Freeze { relay: usize, span: Duration },
    /// A relay ends in an orderly way and starts again.
    Restart { relay: usize },
    /// A relay is told that its settings changed.
    Reload { relay: usize },
    /// A target goes down and comes back.
    Down { target: usize, span: Duration },
    /// A target runs nothing for a while.
    Pause { target: usize, span: Duration },
    /// A target misbehaves with a share of its requests.
    Manner { target: usize, manner: Manner, share: f64, span: Duration },
    /// A target leaves and another one takes its place.
    Replace { target: usize },
    /// The link to a target is disturbed.
    Link { target: usize, mode: Mode, span: Duration },
    /// The connections to a target are reset.
    Reset { target: usize },
    /// The connections to a target are silent for good.
    Forget { target: usize },
    /// The store fails for all relays, or loses what it answers.
    Store { faults: &'static str, span: Duration },
    /// The store discards its history.
    History,
    /// The link of one relay to the store is disturbed.
    Uplink { relay: usize, mode: Mode, span: Duration },
    /// A change of the configuration.
    Change,
    /// A search that crashes targets comes a few times.
    Poison,
}

/// The targets that run operations; they are the last ones.
const OPERATING: usize = 4;

/// The faults of the store that last.
const STORE: [&str; 5] = [
    r#"{"down": "refuse"}"#,
    r#"{"down": "hang"}"#,
    r#"{"down": "cut"}"#,
    r#"{"delay_ms": 400}"#,
    r#"{"lose_after": 3, "lose_by": "hang"}"#,
];

const MANNERS: [Manner; 8] = [
    Manner::Slow,
    Manner::Fails,
    Manner::Sheds,
    Manner::Hangs,
    Manner::Cuts,
    Manner::Doubles,
    Manner::Crosses,
    Manner::Unframed,
];

/// Draws a fault for so many relays and targets.
pub fn draw(random: &mut StdRng, relays: usize, targets: usize) -> Fault {
    let span = Duration::from_millis(random.random_range(200..2500));
    let short = Duration::from_millis(random.random_range(50..1500));
    let relay = random.random_range(0..relays);
    // The last targets run operations, whose promises are the strictest.
    let first = if random.random::<bool>() { targets - OPERATING } else { 0 };
    let target = random.random_range(first..targets);
    let modes = [Mode::Silent, Mode::OneWay, Mode::Delay(Duration::from_millis(80))];
    let mode = modes[random.random_range(0..modes.len())];
    match random.random_range(0..20) {
        0 => Fault::Kill { relay, down: short },
        1 => Fault::Freeze { relay, span: short },
        2 | 3 => Fault::Restart { relay },
        4 => Fault::Reload { relay },
        5 => Fault::Down { target, span },
        6 => Fault::Pause { target, span: short },
        7 | 8 => {
            let manner = MANNERS[random.random_range(0..MANNERS.len())];
            Fault::Manner { target, manner, share: random.random_range(0.1..0.9), span }
        }
        9 => Fault::Replace { target },
        10 | 11 => Fault::Link { target, mode, span },
        12 => Fault::Reset { target },
        13 => Fault::Forget { target },
        14 => Fault::Store { faults: STORE[random.random_range(0..STORE.len())], span },
        15 => Fault::History,
        16 => Fault::Uplink { relay, mode, span },
        17 | 18 => Fault::Change,
        _ => Fault::Poison,
    }
}
