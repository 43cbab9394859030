//! The oracle, which checks executions and verdicts against the guarantees for
//! operations and knows nothing of their implementation.

use std::{collections::BTreeMap, sync::Arc};

use laburnum_core::claim::{Key, Verdict};
use uuid::Uuid;

/// The executions by targets and the verdicts that callers received.
#[derive(Default)]
pub struct Oracle {
    executions: BTreeMap<Key, Vec<Uuid>>,
    granted: BTreeMap<Uuid, u32>,
    pub verdicts: BTreeMap<&'static str, u64>,
}

/// Returns the result of an execution, which differs for each token.
pub fn result(token: Uuid) -> Arc<str> {
    Arc::from(token.to_string())
}

impl Oracle {
    /// Records that a target ran the operation of `key`, which may happen once.
    pub fn record_execution(&mut self, key: Key, token: Uuid) {
        let runs = self.executions.entry(key).or_default();
        runs.push(token);
        assert!(runs.len() == 1, "{key:?} ran twice: {runs:?}");
    }

    /// Records a verdict and checks it against the executions.
    pub fn record_verdict(&mut self, key: Key, token: Uuid, verdict: &Verdict) {
        *self.verdicts.entry(label(verdict)).or_default() += 1;
        match verdict {
            Verdict::Granted => {
                let times = self.granted.entry(token).or_default();
                *times += 1;
                assert!(*times == 1, "{token} was granted {times} times");
                assert!(!self.ran(key), "{key:?} was granted after it ran");
            }
            Verdict::Recorded { result: recorded } => {
                let runs = self.executions.get(&key).cloned().unwrap_or_default();
                let expected: Vec<Arc<str>> = runs.into_iter().map(result).collect();
                assert_eq!(
                    expected,
                    std::slice::from_ref(recorded),
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
