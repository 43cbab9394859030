//! The decisions of the control thread: membership and publication of profiles.
//!
//! [`Engine`] holds the tables. Each tick takes the events that are ready, runs
//! the systems once in the order of [`Engine::tick`] and puts calls, messages
//! and answers into an [`Outbox`]. See `docs/design/membership.md` and
//! `docs/design/publication.md`.

pub mod codec;
pub mod engine;
pub mod event;
pub mod limit;
pub mod listing;
pub mod message;
pub mod request;
pub mod access;
pub mod system;
pub mod table;

pub use self::{
    codec::{Codec, Record},
    engine::{Engine, Setup},
    event::{Envelope, Event, Outbox, Recipient},
    limit::Limits,
    message::Message,
    request::{Answer, Request, RequestId},
};
