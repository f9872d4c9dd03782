//! Who goes first at a level. Requests fall into bands by what they are worth a unit of work, then whether they may
//! not be repeated, then whether their tenant is within its share ([`band`]); the level's share of the work is taken
//! from the lowest bands, and of the band in which it ends by a hash of owner and session ([`Cutoff`]). The hash is the
//! same at all gateways, so a session that is refused here is refused everywhere, and coming back or shopping around
//! gains nothing. [`Admission`] adds what a gateway remembers of sessions it has served.

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
