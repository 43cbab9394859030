//! What an answer of the store says about its era, by the epoch in which its call started.

use laburnum_core::store::{Epoch, Era, Statement};

/// The epoch after these eras were stated, each in the answer to a call of its own.
fn after(eras: &[u64]) -> Epoch {
    let mut epoch = Epoch::default();
    for &era in eras {
        assert_eq!(epoch.observe(epoch, Era(era)), Statement::New);
    }
    epoch
}

/// Checks an answer in the present epoch to a call of an earlier one.
fn observe(eras: &[u64], started: usize, stated: u64, expected: Statement) {
    let before = after(eras);
    let mut epoch = before;
    assert_eq!(epoch.observe(after(&eras[..started]), Era(stated)), expected);
    let era = if expected == Statement::New { Era(stated) } else { Era(eras[eras.len() - 1]) };
    assert_eq!(epoch.era(), Some(era));
    assert_eq!(epoch == before, expected != Statement::New);
}

cases! {
    the_first_answer_states_the_era => {
        assert_eq!(after(&[]).era(), None);
        assert_eq!(after(&[4]).era(), Some(Era(4)));
    };
    the_known_era_begins_no_epoch => {
        observe(&[4], 1, 4, Statement::Current);
    };
    another_era_in_the_answer_to_a_call_of_the_epoch_begins_the_next => {
        observe(&[4], 1, 5, Statement::New);
        observe(&[4], 1, 3, Statement::New);
        observe(&[9, 1], 2, 9, Statement::New);
    };
    a_lower_era_in_the_answer_to_an_earlier_call_is_late => {
        observe(&[4, 5], 1, 4, Statement::Late);
        observe(&[4, 5], 1, 3, Statement::Late);
        observe(&[4], 0, 3, Statement::Late);
    };
    a_later_era_in_the_answer_to_an_earlier_call_begins_the_next_epoch => {
        observe(&[4, 5], 1, 6, Statement::New);
    };
    the_era_before_a_new_count_is_late => {
        observe(&[9, 1], 1, 9, Statement::Late);
    };
    an_era_may_repeat_once_the_store_has_counted_anew => {
        assert!(!after(&[]).may_repeat() && !after(&[2, 3]).may_repeat());
        assert!(after(&[3, 1]).may_repeat() && after(&[3, 1, 2]).may_repeat());
        assert!(after(&[3, 1, 3]).may_repeat() && !after(&[3, 1, 4]).may_repeat());
    };
    two_epochs_of_the_same_era_differ => {
        assert_ne!(after(&[2]), after(&[2, 1, 2]));
    };
}
