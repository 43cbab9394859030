//! Decisions that are compared with others, behind traits.

pub mod choice;
pub mod hedge;
pub mod patience;

pub use self::{choice::Choice, hedge::Hedge, patience::Patience};

/// The policies of a traffic thread.
pub struct Policies {
    /// Which target a leg goes to.
    pub choice: Box<dyn Choice>,
    /// When a slow attempt gets another one beside it.
    pub hedge: Box<dyn Hedge>,
    /// When an answer is given that could still become more complete.
    pub patience: Box<dyn Patience>,
}

impl Default for Policies {
    fn default() -> Policies {
        Policies {
            choice: Box::new(choice::Expected),
            hedge: Box::new(hedge::Tail::default()),
            patience: Box::new(patience::Goal),
        }
    }
}
