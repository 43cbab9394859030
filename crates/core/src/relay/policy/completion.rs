//! Decides when a search is answered although legs are still open.

/// The state of a search over shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The number of shards that are searched.
    pub shards: usize,
    /// The number of parts received.
    pub parts: usize,
    /// The number of shards that may still answer.
    pub open: usize,
    /// The number of parts that an answer needs.
    pub min_parts: usize,
    /// Whether the goal of the route has passed.
    pub is_late: bool,
}

/// The decision on a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Wait for more parts.
    Wait,
    /// Answer with the parts received.
    Answer,
    /// Refuse the request, because too few shards can still answer.
    Refuse,
}

/// Decides when a search is answered although legs are still open.
pub trait Completion {
    fn verdict(&self, progress: &Progress) -> Verdict;
}

/// Waits for all shards until the goal of the route, and from then on answers as
/// soon as there are enough parts. Past the goal an answer loses most of its
/// value, and more parts gain less than the caller's wait costs.
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
