//! Tests of the bound of the retry budget in every window.

use std::time::Duration;

use laburnum_core::{
    relay::table::budget::{Bound, Budget},
    time::Instant,
};
use proptest::{collection::vec, prelude::*};

const WINDOW: Duration = Duration::from_secs(10);

const BOUND: Bound = Bound { window: WINDOW, ratio: 0.2, slack: 3.0 };

cases! {
    a_new_vm_has_its_share_of_the_slack => {
        let mut budget = Budget::default();
        let taken = (0..10).filter(|_| budget.take(Instant(0), BOUND)).count();
        assert_eq!(taken, 3);
    };
    first_attempts_earn_their_part => {
        let mut budget = Budget::default();
        (0..50).for_each(|_| budget.record_first(Instant(0), WINDOW));
        let taken = (0..30).filter(|_| budget.take(Instant(0), BOUND)).count();
        assert_eq!(taken, 13);
    };
    what_was_taken_comes_back_after_the_window => {
        let mut budget = Budget::default();
        while budget.take(Instant(0), BOUND) {}
        assert!(!budget.take(Instant(9_000_000), BOUND));
        assert!(budget.take(Instant(11_000_000), BOUND));
    };
    the_remaining_budget_is_returned => {
        let mut budget = Budget::default();
        budget.record_first(Instant(0), WINDOW);
        assert!((budget.remaining(Instant(0), BOUND) - 3.2).abs() < 1e-9);
    };
}

proptest! {
    /// In every window, the extra attempts stay within the bound that follows from the
    /// first attempts of that window and the one before it.
    #[test]
    fn no_window_goes_beyond_the_bound(steps in vec((0u64..400, any::<bool>()), 1..600)) {
        let mut budget = Budget::default();
        let mut now = Instant(0);
        let (mut first, mut extra) = (Vec::new(), Vec::new());
        for (pause, is_first) in steps {
            now = now + Duration::from_millis(pause);
            if is_first {
                budget.record_first(now, WINDOW);
                first.push(now);
            } else if budget.take(now, BOUND) {
                extra.push(now);
            }
        }
        for &end in &extra {
            let within = |at: &&Instant, span: Duration| **at <= end && end.since(**at) < span;
            let extras = extra.iter().filter(|at| within(at, WINDOW)).count();
            let firsts = first.iter().filter(|at| within(at, WINDOW * 2)).count();
            prop_assert!(extras as f64 <= 0.2 * firsts as f64 + 3.0);
        }
    }
}
