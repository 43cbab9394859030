//! The documents that were written to the platform's service, against which the answers
//! to operators are checked.

use std::collections::BTreeMap;

use laburnum_core::control::{Answer, Codec, Record};

use super::platform::Platform;

/// The records written as the document in force, each in order and without repetitions,
/// which fences and restored documents are.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The records up to the one that the service holds, without those that it has lost.
    pub kept: Vec<Record>,
    /// All records that were ever written.
    ever: Vec<Record>,
    /// The records that a write from an ended era put in force, which no check of the
    /// writer can prevent; see `docs/design/publication.md`.
    crossed: Vec<Record>,
}

impl History {
    /// Reads what was written to the service so far.
    pub fn new(platform: &Platform, codec: &dyn Codec) -> History {
        let decode = |values: &[Vec<u8>]| -> Vec<Record> {
            values.iter().map(|value| codec.decode(value).unwrap()).collect()
        };
        let mut kept = decode(&platform.written);
        kept.dedup();
        let mut ever = decode(&platform.ever_written);
        ever.sort_by_key(|record| (record.document.revision, record.token));
        ever.dedup();
        let crossed = decode(&platform.crossed);
        History { kept, ever, crossed }
    }

    /// Checks that the revisions only go up, and that no operator's document was written
    /// under two of them.
    pub fn check(&self) {
        for pair in self.kept.windows(2) {
            let [before, after] = pair else { continue };
            let is_higher = before.document.revision < after.document.revision;
            let is_crossed = self.crossed.contains(after);
            assert!(is_higher || is_crossed, "{before:?} {after:?}");
        }
        let mut operators: BTreeMap<&str, &Record> = BTreeMap::new();
        // A document that a VM restores without knowing its publication has no operator.
        for record in self.ever.iter().filter(|record| !record.who.is_empty()) {
            let before = operators.insert(&record.who, record);
            let is_once = before.is_none_or(|before| self.is_renumbered(before, record));
            assert!(is_once, "{} was written twice", record.who);
        }
    }

    /// Whether a publication was written again under the next revision because its own one
    /// was given out twice.
    fn is_renumbered(&self, before: &Record, after: &Record) -> bool {
        let revision = before.document.revision;
        let others = self.ever.iter().filter(|other| other.document.revision == revision);
        let is_shared = others.into_iter().any(|other| other.token != before.token);
        let is_next = after.document.revision.0 == revision.0 + 1;
        is_shared && is_next && before.token == after.token
    }

    /// Checks that the answer to an operator does not contradict what was written. A
    /// document that the service has lost before any VM had it in force was not published.
    pub fn check_answer(&self, who: &str, answer: &Answer) {
        let is_own = |record: &&Record| record.who == who;
        match answer {
            Answer::Accepted { revision, .. } => {
                let mut own = self.ever.iter().filter(is_own);
                let is_written = own.any(|record| record.document.revision == *revision);
                assert!(is_written, "{who} was told {answer:?}");
            }
            Answer::Unsettled { .. } => {}
            Answer::Conflict { .. } | Answer::NotPublished { .. } | Answer::Failed(_) => {
                let found = self.kept.iter().find(is_own);
                let found = found.filter(|record| !self.crossed.contains(record));
                assert!(found.is_none(), "{who} was told {answer:?} but was written");
            }
            answer => panic!("{who} was told {answer:?}"),
        }
    }
}
