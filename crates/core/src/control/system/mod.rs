//! The systems of the control thread. [`Engine::tick`](super::Engine::tick)
//! gives the order in which they run.

pub mod pause;
pub mod intake;
pub mod member;
pub mod report;
pub mod request;
pub mod call;
pub mod probe;
pub mod expiry;
pub mod reading;
pub mod list;
pub mod profiles;
pub mod restore;
pub mod publish;
pub mod outcome;
pub mod quarantine;
pub mod sync;
pub mod gossip;
pub mod view;
pub mod claims;
pub mod status;
pub mod wake;
