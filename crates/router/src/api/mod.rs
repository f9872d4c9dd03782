//! Public interface of the router: data types without behaviour.
//!
//! The caller passes a [`Settings`] value once, to [`Router::new`](crate::Router::new). After that the router
//! responds to every [`Event`] with a list of [`Action`]s. All times and durations are [`Millis`] on one
//! monotonic clock that the caller owns.

mod actions;
mod events;
mod ids;
mod requests;
mod servers;
mod settings;

pub use actions::Action;
pub use events::Event;
pub use ids::{Millis, RequestId, ServerId};
pub use requests::{AttemptOutcome, AttemptStatus, RejectReason, Request};
pub use servers::{ListUpdate, LoadReport, ServerEntry, ServerState};
pub use settings::{
    DeduplicationScope, Discovery, Idempotency, Limits, Prices, RequestClass, Role, Rules, ServerKind,
    Settings, Tenant,
};
