//! The oracle: it knows only what is promised of operations.

use std::{collections::BTreeMap, sync::Arc};

use laburnum_core::claim::{Key, Verdict};
use uuid::Uuid;

/// What the targets ran and what the callers were told.
#[derive(Default)]
pub struct Oracle {
    executions: BTreeMap<Key, Vec<Uuid>>,
    granted: BTreeMap<Uuid, u32>,
    pub verdicts: BTreeMap<&'static str, u64>,
}

/// The result that a run returns, which differs for each run.
pub fn result(token: Uuid) -> Arc<str> {
    Arc::from(token.to_string())
}

impl Oracle {
    /// A target ran the operation of `key`.
    pub fn executed(&mut self, key: Key, token: Uuid) {
        let runs = self.executions.entry(key).or_default();
        runs.push(token);
        assert!(runs.len() == 1, "{key:?} ran twice: {runs:?}");
    }

    /// An operation got a verdict.
    pub fn told(&mut self, key: Key, token: Uuid, verdict: &Verdict) {
        *self.verdicts.entry(label(verdict)).or_default() += 1;
        match verdict {
            Verdict::Granted => {
                let times = self.granted.entry(token).or_default();
                *times += 1;
                assert!(*times == 1, "{token} was granted {times} times");
                assert!(!self.ran(key), "{key:?} was granted after it ran");
            }
            Verdict::Recorded { result: told } => {
                let runs = self.executions.get(&key).cloned().unwrap_or_default();
                let expected: Vec<Arc<str>> = runs.into_iter().map(result).collect();
                assert_eq!(
                    expected,
                    std::slice::from_ref(told),
                    "the recorded result of {key:?} is wrong"
                );
            }
            _ => {}
        }
    }

    /// Whether the operation of `key` ran.
    pub fn ran(&self, key: Key) -> bool {
        self.executions.contains_key(&key)
    }
}

pub fn label(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Granted => "granted",
        Verdict::Recorded { .. } => "recorded",
        Verdict::Unknown => "unknown",
        Verdict::Reused => "reused",
        Verdict::Expired => "expired",
        Verdict::Full => "full",
        Verdict::Unsettled { .. } => "unsettled",
    }
}
