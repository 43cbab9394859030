//! Decisions that are compared with others, behind traits.

pub mod choice;
pub mod hedge;
pub mod completion;

pub use self::{choice::Choice, completion::Completion, hedge::Hedge};

/// The policies of a traffic thread.
pub struct Policies {
    /// Which target a leg goes to.
    pub choice: Box<dyn Choice>,
    /// When a slow attempt gets another one beside it.
    pub hedge: Box<dyn Hedge>,
    /// When an answer is given that could still become more complete.
    pub completion: Box<dyn Completion>,
}

impl Default for Policies {
    fn default() -> Policies {
        Policies {
            choice: Box::new(choice::Expected),
            hedge: Box::new(hedge::Tail::default()),
            completion: Box::new(completion::Goal),
        }
    }
}
