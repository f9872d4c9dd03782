//! Inputs of the request's state machine: commands of the router, and reports of the engine, the front and the
//! driver.

use serde::{Deserialize, Serialize};

use super::{FinalResponse, Reply, Server, Stage, StreamEnd, Timer};

/// A command or a report. Attempts are identified by their index in
/// [`Request::attempts`](crate::request::Request::attempts).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Input {
    /// Router command: send an attempt.
    Send {
        /// Server to send it to.
        server: Server,
        /// Part of the request that the server is to perform.
        stage: Stage,
        /// `false` if the driver knows that the server must not receive new requests, or that no time is left.
        #[serde(rename = "may")]
        permitted: bool,
    },
    /// Router command: cancel an attempt.
    Cancel {
        /// Index of the attempt.
        attempt: usize,
    },
    /// Router command: release everything that servers hold for the request.
    Release,
    /// Router command: send the client this final response.
    #[serde(rename = "Answer")]
    Respond(FinalResponse),
    /// Router command: reserve a slot at a decode server.
    #[serde(rename = "Hold")]
    ReserveSlot {
        /// Identifier of the decode server.
        server: Server,
    },
    /// Report of the front: the client disconnected.
    #[serde(rename = "ClientGone")]
    ClientDisconnected,
    /// Report of the engine: there is evidence that an attempt was delivered to its server.
    #[serde(rename = "Arrived")]
    Delivered {
        /// Index of the attempt.
        attempt: usize,
    },
    /// Report of the engine: the result of an attempt's call, before any part of its response was forwarded.
    Replied {
        /// Index of the attempt.
        attempt: usize,
        /// Result of the call.
        reply: Reply,
    },
    /// Report of the engine: a stream that was being forwarded ended.
    StreamEnded {
        /// Index of the attempt.
        attempt: usize,
        /// Why the stream ended.
        end: StreamEnd,
    },
    /// Report of the driver: its time limit for an attempt passed before any reply was received.
    TimedOut {
        /// Index of the attempt.
        attempt: usize,
    },
    /// Report of the engine: the call of a cancelled attempt was dropped and its connection closed.
    #[serde(rename = "Dropped")]
    CancelCompleted {
        /// Index of the attempt.
        attempt: usize,
    },
    /// Report of the engine: the server of an interrupted prefill has stopped working on it. Either an observation
    /// on a connection proves this, or the maximum time for which the server may work on the prefill has passed.
    #[serde(rename = "CutSeen")]
    CloseConfirmed {
        /// Index of the attempt.
        attempt: usize,
    },
    /// Report of the engine: a decode server responded to the call that reserves a slot, or the call failed.
    #[serde(rename = "Placed")]
    SlotAnswered {
        /// Whether the slot is reserved; `None` if this is unknown.
        #[serde(rename = "held")]
        reserved: Option<bool>,
    },
    /// Report of the engine: the release that was delayed because of an interrupted call is sent now.
    #[serde(rename = "ReleaseOut")]
    ReleaseSent,
    /// Report of the engine: a release ended, successfully or not.
    Released,
    /// Report of the driver's clock: an armed timer expired.
    #[serde(rename = "Due")]
    TimerExpired(Timer),
}
