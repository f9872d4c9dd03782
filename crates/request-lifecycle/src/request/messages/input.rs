//! What goes into the machine of a request: orders of the router and reports of what happened.

use serde::{Deserialize, Serialize};

use super::{FinalResponse, Reply, Server, Stage, StreamEnd, Timer};

/// One input. Attempts are named by their index in the order in which they were ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Input {
    /// Order of the router: send an attempt.
    Send {
        /// The server to send it to.
        server: Server,
        /// What to ask of the server.
        stage: Stage,
        /// False if the caller knows that this server must receive nothing, or that no time is left.
        #[serde(rename = "may")]
        permitted: bool,
    },
    /// Order of the router: cancel an attempt.
    Cancel {
        /// The attempt.
        attempt: usize,
    },
    /// Order of the router: release everything that servers hold for the request.
    Release,
    /// Order of the router: the final answer.
    #[serde(rename = "Answer")]
    Respond(FinalResponse),
    /// Order of the router: ask a decode server to reserve a slot.
    #[serde(rename = "Hold")]
    ReserveSlot {
        /// The decode server.
        server: Server,
    },
    /// Report of the front: the client's connection ended.
    #[serde(rename = "ClientGone")]
    ClientDisconnected,
    /// Report of the engine: something showed that an attempt has arrived at its server.
    #[serde(rename = "Arrived")]
    Delivered {
        /// The attempt.
        attempt: usize,
    },
    /// Report of the engine: what came back for an attempt, before any of it was forwarded.
    Replied {
        /// The attempt.
        attempt: usize,
        /// What came back.
        reply: Reply,
    },
    /// Report of the engine: a stream that was being forwarded has ended.
    StreamEnded {
        /// The attempt.
        attempt: usize,
        /// How it ended.
        end: StreamEnd,
    },
    /// Report of the caller: its time limit for an attempt passed before anything came back.
    TimedOut {
        /// The attempt.
        attempt: usize,
    },
    /// Report of the engine: the call of a cancelled attempt is dropped and its connection closed.
    #[serde(rename = "Dropped")]
    CancelCompleted {
        /// The attempt.
        attempt: usize,
    },
    /// Report of the engine: the server of a prefill that was cut off works on it no more, as its end of the connection
    /// proves, or since the longest time is over in which it may.
    #[serde(rename = "CutSeen")]
    CloseConfirmed {
        /// The attempt.
        attempt: usize,
    },
    /// Report of the engine: a decode server's answer to the call that reserves a slot.
    #[serde(rename = "Placed")]
    SlotAnswered {
        /// Whether the slot is reserved; `None` if that is not known.
        #[serde(rename = "held")]
        reserved: Option<bool>,
    },
    /// Report of the engine: the release that waited for servers to notice a cut is sent now.
    #[serde(rename = "ReleaseOut")]
    ReleaseSent,
    /// Report of the engine: a release has ended, successfully or not.
    Released,
    /// Report of the caller's clock: an armed timer expired.
    #[serde(rename = "Due")]
    TimerExpired(Timer),
}
