//! Effects of the request's state machine: actions that the driver carries out in the order given.

use serde::{Deserialize, Serialize};

use super::{FinalResponse, Server, Status, Timer};

/// An action for the driver. Attempts are identified by their index in
/// [`Request::attempts`](crate::request::Request::attempts).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Effect {
    /// To the engine: send the attempt now, exactly once.
    #[serde(rename = "Start")]
    StartAttempt {
        /// Index of the attempt.
        attempt: usize,
    },
    /// To the engine: drop the attempt's call, and report
    /// [`Input::CancelCompleted`](super::Input::CancelCompleted) when that is done.
    #[serde(rename = "CallBack")]
    CancelAttempt {
        /// Index of the attempt.
        attempt: usize,
    },
    /// To the engine: release everything that servers hold for the request.
    Release {
        /// Whether a call was interrupted since the last release started. Its server may not have noticed yet and
        /// could still reserve something, so the release is sent after a short delay.
        #[serde(rename = "after_cut")]
        after_interruption: bool,
    },
    /// To the engine: call a decode server to reserve a slot.
    #[serde(rename = "AskPlace")]
    RequestSlot {
        /// Identifier of the decode server.
        server: Server,
    },
    /// To the engine: drop the call that was to reserve a slot.
    #[serde(rename = "DropPlace")]
    CancelSlotRequest,
    /// To the front: send this final response to the client immediately.
    #[serde(rename = "Answer")]
    Respond(FinalResponse),
    /// To the front: forward the attempt's response to the client from its first event on.
    #[serde(rename = "PassOn")]
    ForwardStream {
        /// Index of the attempt.
        attempt: usize,
    },
    /// To the router: the first token of the attempt was received.
    #[serde(rename = "TellFirst")]
    NotifyFirstToken {
        /// Index of the attempt.
        attempt: usize,
    },
    /// To the router: an attempt ended. Every attempt causes exactly one such effect.
    #[serde(rename = "TellOutcome")]
    NotifyOutcome {
        /// Index of the attempt.
        attempt: usize,
        /// Outcome of the attempt.
        status: Status,
        /// Whether the client's response has ended, so that a retry is pointless.
        closed: bool,
    },
    /// To the router: the client no longer waits, because it disconnected or the deadline passed.
    #[serde(rename = "TellGone")]
    NotifyClientDisconnected,
    /// To the router: a decode server responded to the call that reserves a slot.
    #[serde(rename = "TellPlace")]
    NotifySlot {
        /// Identifier of the decode server.
        server: Server,
        /// Whether the server reserved the slot.
        #[serde(rename = "held")]
        reserved: bool,
    },
    /// To the driver's clock: start this timer.
    #[serde(rename = "Arm")]
    ArmTimer(Timer),
    /// To the driver's clock: stop this timer.
    #[serde(rename = "Disarm")]
    DisarmTimer(Timer),
    /// To the driver: remove the request, which has finished. Its identifier may be used again.
    #[serde(rename = "Over")]
    Finished,
}
