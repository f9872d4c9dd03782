//! Durations, and shares of the lease limit, by which the core acts.
//!
//! The lease limit (the setting `pin-limit`) is how long a server holds a request's state while no attempt claims it. The
//! router releases a lease at a smaller share of that limit than the core does: the core's release is the backstop for a
//! router that did not.

use std::time::Duration;

/// Longest pause between cancelling a prefill and releasing what it may have left: a server that is well has ended the
/// connection too by then.
pub(super) const CANCEL_PROPAGATION_DELAY: Duration = Duration::from_millis(25);

/// First pause before a server is asked again that did not answer after a reset; each further one is twice as long.
pub(super) const RESET_INQUIRY_FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause between two questions to a server that does not answer after a reset.
pub(super) const RESET_INQUIRY_MAX_PAUSE: Duration = Duration::from_secs(2);

/// What the network has held back may arrive for so long after an attempt was cut off. From its arrival on a server works for
/// at most the time that it was told.
pub(super) const MAX_NETWORK_HOLD: Duration = Duration::from_secs(30);

/// An attempt times out so much later than the router ordered: the router's own timer for the same moment comes first,
/// and with it the reason.
pub(super) const ATTEMPT_TIMEOUT_SLACK: Duration = Duration::from_millis(2);

/// The request's own deadline timer expires so much later than the router's, which knows why the request fails.
pub(super) const DEADLINE_GUARD: Duration = Duration::from_millis(8);

/// A request that the router fails this close to its deadline, or after it, is reported as out of time.
pub(super) const NEAR_DEADLINE: Duration = Duration::from_millis(20);

/// Pause before a release that no server accepted is retried: the state stays on its server until one can be reached.
pub(super) const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(25);

/// A release is retried up to the request's deadline, and for at least so many times the lease limit. By then servers
/// release by themselves.
pub(super) const RELEASE_RETRY_LEASE_LIMITS: u32 = 4;

/// Share of the lease limit after which the machine releases a lease that the router has not (the router's own share is
/// `glenrail_router`'s `PIN_USED`, 0.8). It is larger on purpose, so that the router decides first.
pub(super) const MACHINE_RELEASE_SHARE: f64 = 0.92;

/// Share of the lease limit by which an attempt that claims a lease must be written: the remainder is for confirming its
/// delivery.
pub(super) const LATEST_WRITE_SHARE: f64 = 0.8;

/// The delivery of an attempt is first checked this share of the lease limit after its first byte was written.
pub(super) const DELIVERY_CHECK_SHARE: f64 = 0.3;

/// The delivery of an attempt is first checked no later than at this share of the time that its lease has.
pub(super) const LATEST_DELIVERY_CHECK_SHARE: f64 = 0.5;

/// Pause before a delivery check that failed is retried.
pub(super) const DELIVERY_CHECK_RETRY_DELAY: Duration = Duration::from_millis(20);
