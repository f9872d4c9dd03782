//! Evidence: what an observation on a connection proves about the server at its other end.
//!
//! This is the one place that decides it; whoever checks a connection, confirms a delivery or a close, releases or rejects asks
//! here. Nothing orders what passes on one connection with what passes on another, and no clock of the gateway says when a
//! server received something.

/// Something that was seen of a connection to a server, after something was written on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The connection came up.
    Connected,
    /// The gateway has ended the connection, or its sending on it.
    OwnClose,
    /// A response on this connection, to what was written on it before; also one that cannot be parsed.
    AnswerHere,
    /// The server's answer on another connection.
    AnswerElsewhere,
    /// The server's orderly end of this connection.
    ServerClose,
    /// The connection was reset from the other side.
    Reset,
}

impl Observation {
    /// Whether the server will do nothing more for a request that was cut off on this connection.
    ///
    /// For a reset this is a presumption: whatever stands between may have sent it, and the server need not know.
    pub fn proves_work_ended(self) -> bool {
        matches!(self, Observation::AnswerHere | Observation::ServerClose | Observation::Reset)
    }

    /// Whether what is written on this connection now reaches the server, as far as can be known before it is written.
    pub fn proves_connection_works(self) -> bool {
        self == Observation::AnswerHere
    }

    /// Whether a request that was written on a connection that worked immediately before is taken to have arrived.
    ///
    /// For an answer elsewhere this is a presumption: the connection may have fallen silent in the one round trip between its
    /// check and the write. A decode server may take any time to its first token, and says nothing on this connection before.
    pub fn suggests_delivery(self) -> bool {
        matches!(self, Observation::AnswerHere | Observation::AnswerElsewhere)
    }
}

#[cfg(test)]
mod tests;
