//! Evidence: what an observation on a connection proves about the server at its other end.
//!
//! All such conclusions are drawn here, for checks of connections, confirmations of deliveries and closes, releases
//! and rejections. Two facts limit them: events on different connections have no defined order, and the gateway's
//! clock does not show when a server received something. [`InterruptedWork`] accumulates the observations on an
//! interrupted attempt, [`Delivery`] those on an attempt that was written and has no response yet.

mod check_call;
mod delivery;
mod interrupted_work;

pub use self::check_call::{CheckCall, WrittenAttempt};
pub use self::delivery::Delivery;
pub use self::interrupted_work::InterruptedWork;

/// An observation on a connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Observation {
    /// The connection was opened.
    Connected,
    /// The gateway closed the connection, or its sending direction.
    LocalClose,
    /// A response was received on this connection to what was written to it, even if it cannot be parsed.
    ResponseOnConnection,
    /// A call was answered that was sent after the attempt was written, on a connection that was open before.
    ResponseOnEarlierConnection,
    /// A call was not answered in time on a connection that was open before the attempt was written.
    TimeoutOnEarlierConnection,
    /// A call was answered on a connection that was opened after the attempt was written.
    ResponseOnLaterConnection,
    /// The server closed this connection in an orderly way.
    ServerClose,
    /// The connection was reset by the server or by a device in between.
    Reset,
    /// A connection attempt that began after the reset was refused.
    RefusedAfterReset,
    /// A call was answered on a connection that was opened after the reset, and the time that a reset needs to
    /// reach the server has passed since.
    ResponseAfterReset,
    /// A connection attempt or a call that began after the reset was not answered in time.
    TimeoutAfterReset,
}

impl Observation {
    /// Returns whether this observation shows that the connection works, so that what is written to it next can be
    /// expected to reach the server.
    pub fn proves_connection_works(self) -> bool {
        self == Observation::ResponseOnConnection
    }
}

#[cfg(test)]
mod tests;
