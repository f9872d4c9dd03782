//! Priority order in which requests are shed.
//!
//! Requests fall into bands by their value per unit of work, then by whether they must not be repeated, then
//! by whether their tenant is within its share ([`priority_band`]). The level is the share of the work to
//! reject. The lowest bands are rejected whole; in the band where that share is reached, a keyed hash of
//! owner and session decides ([`Cutoff`], [`SessionHash`]). The hash is the same at all gateways, so that
//! at the same cutoff all of them reject the same sessions, and a client gains nothing by retrying or by
//! trying another gateway. The exception is a session that a gateway remembers having served: that gateway
//! admits it unless everything is rejected ([`Admission`]).

mod admission;
mod band;
mod cutoff;
mod retry_after;
mod served;
mod session_hash;

pub use admission::{Admission, Decision, Request};
pub use band::{priority_band, Idempotency};
pub use cutoff::Cutoff;
pub use retry_after::RetryAfterBounds;
pub use served::ServedSessions;
pub use session_hash::SessionHash;

#[cfg(test)]
mod tests;
