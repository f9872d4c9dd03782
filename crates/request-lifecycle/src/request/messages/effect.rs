//! What comes out of the machine of a request: what the driver must do, in the order given.

use serde::{Deserialize, Serialize};

use super::{FinalResponse, Server, Status, Timer};

/// One thing to be done. Attempts are named by their index in the order in which they were ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Effect {
    /// To the engine: send the attempt now, once.
    #[serde(rename = "Start")]
    StartAttempt {
        /// The attempt.
        attempt: usize,
    },
    /// To the engine: drop the attempt's call, and report with [`Input::CancelCompleted`](super::Input::CancelCompleted)
    /// when that is done.
    #[serde(rename = "CallBack")]
    CancelAttempt {
        /// The attempt.
        attempt: usize,
    },
    /// To the engine: release what servers hold.
    Release {
        /// Whether a call was cut off since the last release, so that its server may not have noticed yet and could
        /// still reserve something.
        after_cut: bool,
    },
    /// To the engine: ask a decode server to reserve a slot.
    #[serde(rename = "AskPlace")]
    RequestSlot {
        /// The decode server.
        server: Server,
    },
    /// To the engine: drop the call that reserves a slot.
    #[serde(rename = "DropPlace")]
    CancelSlotRequest,
    /// To the front: send the client this final answer at once.
    #[serde(rename = "Answer")]
    Respond(FinalResponse),
    /// To the front: forward this attempt's answer to the client from its first event on.
    #[serde(rename = "PassOn")]
    ForwardStream {
        /// The attempt.
        attempt: usize,
    },
    /// To the router: the attempt's first token is here.
    #[serde(rename = "TellFirst")]
    NotifyFirstToken {
        /// The attempt.
        attempt: usize,
    },
    /// To the router: the one outcome of an attempt.
    #[serde(rename = "TellOutcome")]
    NotifyOutcome {
        /// The attempt.
        attempt: usize,
        /// How it ended.
        status: Status,
        /// Whether the client is owed nothing more, so that no retry can help.
        closed: bool,
    },
    /// To the router: nobody waits for the request any more.
    #[serde(rename = "TellGone")]
    NotifyClientDisconnected,
    /// To the router: a decode server's answer to the call that reserves a slot.
    #[serde(rename = "TellPlace")]
    NotifySlot {
        /// The decode server.
        server: Server,
        /// Whether it reserved the slot.
        #[serde(rename = "held")]
        reserved: bool,
    },
    /// To the caller's clock: start this timer.
    #[serde(rename = "Arm")]
    ArmTimer(Timer),
    /// To the caller's clock: stop this timer.
    #[serde(rename = "Disarm")]
    DisarmTimer(Timer),
    /// Nothing of the request is left: the driver forgets it, and its identifier is free.
    #[serde(rename = "Over")]
    Finished,
}
