//! Propagation of changes to all members, and leases that bound how long a member may act without them. The
//! module does no I/O and reads no clock.
//!
//! Some members are *voters* ([`VoterConfig`]). A member has a valid lease while enough voters have answered
//! it recently (a *lease quorum*). With each response the member has everything that the voter has, and the
//! lease runs from the time at which the request was **sent**, on the clock of the requester. A change is
//! *committed* once enough voters (a *commit quorum*) have confirmed that they enforce it and have stored it
//! on disk. Every lease quorum shares a voter with every commit quorum, so a lease obtained after the commit
//! includes the change. Leases obtained earlier expire: after [`LeaseConfig::lease_bound_ms`] on the clock of
//! the member that accepted the change, no member has a valid lease without the change, and the change is
//! *fleet-wide*. It is fleet-wide sooner if every member with a lease from the confirming voters confirms it.
//!
//! ```text
//!   member M                       voter V                     member Q, which accepted change C
//!     | request, sent at s           |                              |
//!     |----------------------------->|                              | C stored; confirmed by 0 of m
//!     | response: all that V has     |   request: has Q up to C     |
//!     |<-----------------------------|----------------------------->| V confirmed C; commit quorum at h
//!     | lease valid until s + lease  |                              |
//!     |  (M's clock)                 |                              | fleet-wide at h + lease bound,
//!     | then: the `stale` policy     |                              |  or once all lessees confirm
//! ```
//!
//! The caller sends a request to every member at an interval well below the lease ([`Member::sync_request`]),
//! passes in what arrives ([`Member::handle_request`], [`Member::handle_response`]) and reports local changes
//! ([`Member::record_change`]). `now` is the time in ms on a clock of this machine that never goes back **and
//! keeps running while the machine is suspended** (on Linux `CLOCK_BOOTTIME`).
//!
//! The guarantee does not hold if the stores of voters are rolled back unnoticed, if more than one voter
//! loses its store at a time, if clocks drift by more than the configured drift, or with `stale = "go-on"`,
//! which is meant to serve without a lease.

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

/// The id of a member (a gateway): a hash of its name.
pub type MemberId = u64;
