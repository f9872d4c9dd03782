//! Durations and shares of the lease limit that control the core's timing.
//!
//! The lease limit (the setting `pin-limit`) is how long a server holds a request's state while no attempt claims it. The
//! router releases a lease at a smaller share of that limit than the core, whose release is the backstop in case the router
//! did not act.

use std::time::Duration;

/// Maximum time between cancelling a prefill and releasing the state that it may have left. A healthy server has closed the
/// connection by then.
pub(super) const CANCEL_PROPAGATION_DELAY: Duration = Duration::from_millis(25);

/// Initial delay between two queries to a server that does not answer after a reset; each further delay is twice as long.
pub(super) const RESET_INQUIRY_INITIAL_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay between two queries to a server that does not answer after a reset.
pub(super) const RESET_INQUIRY_MAX_DELAY: Duration = Duration::from_secs(2);

/// Maximum time for which the network may delay the bytes of an interrupted attempt. A server that does not
/// notice the interruption may work on the attempt for the timeout stated in it, counted from its arrival, so
/// this delay is added to that timeout.
pub(super) const MAX_NETWORK_DELAY: Duration = Duration::from_secs(30);

/// Added to the timeout that the router orders for an attempt, so that the router's own timer for the same moment expires
/// first and supplies the reason.
pub(super) const ATTEMPT_TIMEOUT_SLACK: Duration = Duration::from_millis(2);

/// Delay of the request's deadline timer after the router's, which supplies the reason of the failure.
pub(super) const DEADLINE_TIMER_SLACK: Duration = Duration::from_millis(8);

/// A request that the router fails within this time before its deadline, or later, is reported as past its deadline.
pub(super) const NEAR_DEADLINE_WINDOW: Duration = Duration::from_millis(20);

/// Delay before a release that no server accepted is retried. It is short, because servers hold the state
/// until one accepts the release.
pub(super) const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(25);

/// Minimum time for which a release is retried, in multiples of the lease limit; a later deadline of the request extends it.
/// By then servers have expired the lease themselves.
pub(super) const RELEASE_RETRY_LEASE_LIMITS: u32 = 4;

/// Share of the lease limit after which the state machine releases a lease that the router has not released. It is larger
/// than the router's own share (0.8, `USED_LEASE_SHARE` in `glenrail_router`), so that the router decides first.
pub(super) const MACHINE_RELEASE_SHARE: f64 = 0.92;

/// Share of the lease limit within which an attempt that claims a lease must be written. The remainder is for confirming its
/// delivery.
pub(super) const LATEST_WRITE_SHARE: f64 = 0.8;

/// Delay of the first delivery check after an attempt's first byte was written, as a share of the lease limit.
pub(super) const DELIVERY_CHECK_SHARE: f64 = 0.3;

/// Latest time of the first delivery check after the start of the lease, as a share of the lease limit.
pub(super) const LATEST_DELIVERY_CHECK_SHARE: f64 = 0.5;

/// Delay before a delivery check without a result is repeated.
pub(super) const DELIVERY_CHECK_RETRY_DELAY: Duration = Duration::from_millis(20);
