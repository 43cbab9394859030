//! Replaceable decisions, behind traits so that alternatives can be compared.

pub mod choice;
pub mod hedge;
pub mod completion;

pub use self::{choice::Choice, completion::Completion, hedge::Hedge};

/// The policies of a traffic thread.
pub struct Policies {
    /// Chooses the target that a leg is sent to.
    pub choice: Box<dyn Choice>,
    /// Decides when a slow attempt is hedged.
    pub hedge: Box<dyn Hedge>,
    /// Decides when a search is answered although legs are still open.
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
