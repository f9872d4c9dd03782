//! Evidence: what an observation on a connection proves about the server at its other end.
//!
//! This is the one place that decides it; whoever checks a connection, confirms a delivery or a close, releases or rejects asks
//! here. Nothing orders what passes on one connection with what passes on another, and no clock of the gateway says when a
//! server received something. [`CutWork`] collects what is seen of an attempt that was cut off, [`Delivery`] what is seen of
//! one that was written and has no response yet.

mod cut_work;
mod delivery;
mod standing;

pub use self::cut_work::CutWork;
pub use self::delivery::Delivery;
pub use self::standing::{StandingCall, WrittenAttempt};

/// Something that was seen of a connection to a server, after something was written on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Observation {
    /// The connection came up.
    Connected,
    /// The gateway has ended the connection, or its sending on it.
    OwnClose,
    /// A response on this connection, to what was written on it before; also one that cannot be parsed.
    AnswerHere,
    /// The server's answer, on a connection that was open before the attempt was written, to a call that was written after it.
    AnswerOnStanding,
    /// No answer came in time to a call on a connection that was open before the attempt was written.
    SilenceOnStanding,
    /// The server's answer on a connection that was opened after the attempt was written.
    AnswerOnNewer,
    /// The server's orderly end of this connection.
    ServerClose,
    /// The connection was reset from the other side.
    Reset,
    /// A connection that was begun after the reset was refused.
    RefusedAfterReset,
    /// The server answered on a connection that was begun after the reset, and the time in which a reset reaches its server
    /// has passed since.
    AnswerAfterReset,
    /// No answer came in time on a connection that was begun after the reset.
    SilenceAfterReset,
}

impl Observation {
    /// Whether what is written on this connection now reaches the server, as far as can be known before it is written.
    pub fn proves_connection_works(self) -> bool {
        self == Observation::AnswerHere
    }
}

#[cfg(test)]
mod tests;
