//! Priority order in which requests are shed.
//!
//! Requests fall into bands by their value per unit of work, then by whether they must not be repeated, then
//! by whether their tenant is within its share ([`priority_band`]). The level's share of the work is rejected
//! from the lowest bands, and in the band where that share ends by a keyed hash of owner and session
//! ([`Cutoff`], [`SessionHash`]). The hash is the same at all gateways, so that a session that one gateway
//! rejects is rejected by all of them, and neither retries nor other gateways give the client an advantage.
//! [`Admission`] adds the sessions that this gateway remembers to have served.

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
