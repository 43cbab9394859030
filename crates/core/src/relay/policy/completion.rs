//! When an answer is given that could still become more complete.

/// How far a search over shards is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The shards.
    pub shards: usize,
    /// The parts that are in.
    pub parts: usize,
    /// The shards that may still answer.
    pub open: usize,
    /// The parts that an answer must have.
    pub min_parts: usize,
    /// Whether the goal of the route has passed.
    pub is_late: bool,
}

/// What to do with a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Wait for more parts.
    Wait,
    /// Answer with the parts that are in.
    Answer,
    /// Give it up, because it can no longer become complete enough.
    Refuse,
}

/// When an answer is given that could still become more complete.
pub trait Completion {
    /// What to do now.
    fn verdict(&self, progress: &Progress) -> Verdict;
}

/// Whole answers until the goal, and from then on the first one that is
/// complete enough: past the goal an answer loses most of its worth, and more
/// parts gain less than the caller's wait costs.
#[derive(Clone, Copy, Debug)]
pub struct Goal;

impl Completion for Goal {
    fn verdict(&self, progress: &Progress) -> Verdict {
        if progress.parts + progress.open < progress.min_parts {
            return Verdict::Refuse;
        }
        let is_enough = progress.parts >= progress.min_parts;
        if is_enough && (progress.open == 0 || progress.is_late) {
            return Verdict::Answer;
        }
        Verdict::Wait
    }
}
