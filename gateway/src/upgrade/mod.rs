//! Upgrades without a restart: a second process at the same address takes over from the first.
//!
//! The predecessor hands its listening sockets to the successor, so that there is one accept queue throughout, then what
//! its router has learned, then each client connection as soon as it is idle, or with its stream in flight. `protocol`
//! has the messages, [`serve_as_predecessor`] and [`request_handover`] with [`serve_as_successor`] are the two sides.
//! The state directory holds the Unix socket at which they meet; the clock is tokio's.
#![deny(missing_docs)]

mod predecessor;
mod protocol;
mod shared_limits;
mod socket_path;
mod successor;
pub mod transferred;

use std::rc::Rc;

pub use self::predecessor::serve_as_predecessor;
pub use self::protocol::UpgradeLink;
pub use self::shared_limits::{ReservedHalf, SharedLimits};
pub use self::successor::{request_handover, serve_as_successor, HandoverState};
pub use self::transferred::{TransferInbox, TransferInboxes};

/// Number of the platform's front in the messages.
pub const PLATFORM: u8 = 0;
/// Number of the second front in the messages.
pub const SECOND: u8 = 1;
/// How many fronts hand their sockets over.
pub const FRONTS: usize = 2;

/// Applies a state that was received.
type ImportState = Rc<dyn Fn(&[u8])>;

/// What the platform's router has learned, on its way from one process to the next. The bytes are opaque here.
#[derive(Clone)]
pub struct RoutingStateTransfer {
    /// The state as the predecessor sends it.
    pub export: Rc<dyn Fn() -> Vec<u8>>,
    /// Applies the state that the successor received.
    pub import: ImportState,
}

#[cfg(test)]
mod tests;
