//! When a change of grants has taken hold everywhere: leases of knowledge, without I/O and without a clock.
//!
//! Some members are *voters* ([`VoterConfig`]). A member *knows* as long as enough voters have answered it lately: each
//! answer hands over all that the voter has, and counts for a lease's length from when the question was **sent**, on
//! the asker's clock. A change *is held* once enough voters have confirmed that they enforce it, kept on disk. Any
//! set that is enough to know and any that is enough to hold share a voter, so what is known after a change is held
//! includes it. What was known before ends by itself: after [`LeaseConfig::lease_bound_ms`] on the clock of the member that
//! took the change, nobody knows without it, and the change is *fleet-wide*; sooner, if everybody to whom the
//! holders have lent knowledge confirms.
//!
//! ```text
//!   member M                       voter V                     member Q, who took change C
//!     | ask, sent at s               |                              |
//!     |----------------------------->|                              | C kept; told 0 of m
//!     | answer: all that V has       |   ask: knows Q up to C       |
//!     |<-----------------------------|----------------------------->| V holds C: at h enough do
//!     | knows until s + lease        |                              |
//!     |  (M's clock)                 |                              | fleet-wide at h + outlasts,
//!     | then: the `stale` rule       |                              |  or once all lessees confirm
//! ```
//!
//! Drivers ask every member at a cadence well under the lease ([`Member::sync_request`]), hand over what comes
//! ([`Member::handle_request`], [`Member::handle_response`]) and say what changed here ([`Member::record_change`]). `now` is ms on a clock
//! of this machine that never goes back **and runs while the machine sleeps** (on Linux `CLOCK_BOOTTIME`).
//!
//! What does not hold: voters whose stores go back unnoticed, or are lost, more than one at a time; clocks that
//! drift by more than the terms say; `stale = "go-on"`, by its own word.

mod journal;
mod lease;
mod lease_config;
mod member;
mod messages;
mod peer;
mod progress;
mod voter_config;

pub use lease::Lease;
pub use lease_config::{LeaseConfig, LeaseConfigError, StalePolicy, StoreState};
pub use member::Member;
pub use messages::{JournalPosition, Lessees, SyncRequest, SyncResponse};
pub use progress::{Bound, Progress, Stage};
pub use voter_config::{QuorumRule, VoterConfig, VoterConfigError};

/// A gateway, by the hash of its name.
pub type MemberId = u64;
