//! What can happen in the world of a request, and which of it is a fault.

use glenrail_request_lifecycle::request::{StreamEnd, Timer};
use serde::{Deserialize, Serialize};

use super::World;

/// One thing that happens. Attempts and servers are named by their index. Stored traces have the renamed spellings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Action {
    /// The router orders an attempt at a server.
    Send(u8),
    /// The router cancels an attempt.
    Cancel(u8),
    /// The router orders a release.
    Release,
    /// The router rejects the request.
    #[serde(rename = "Refuse")]
    Reject,
    /// The router has the request fail.
    Fail,
    /// The router asks a server to reserve a slot.
    #[serde(rename = "Hold")]
    ReserveSlot(u8),
    /// A connection for an attempt begins to open.
    #[serde(rename = "Dial")]
    Connect(u8),
    /// The attempt uses an idle connection instead.
    Reuse(u8),
    /// The attempt's connection is up.
    #[serde(rename = "Up")]
    Connected(u8),
    /// Some bytes of the attempt are written.
    #[serde(rename = "Wrote")]
    WriteBytes(u8),
    /// Its last byte is written, and arrives.
    #[serde(rename = "WroteAll")]
    WriteLastByte(u8),
    /// Its last byte is written to a connection that is dead without an error.
    #[serde(rename = "WroteInVain")]
    WriteToDeadConnection(u8),
    /// What was written to a dead connection arrives after all.
    #[serde(rename = "Arrives")]
    ArriveLate(u8),
    /// Something shows that the attempt has arrived.
    #[serde(rename = "ShowsArrival")]
    ConfirmDelivery(u8),
    /// A server does what an attempt asks.
    #[serde(rename = "Serves")]
    Serve(u8),
    /// A server rejects an attempt.
    #[serde(rename = "Declines")]
    ServerRejects(u8),
    /// A server finds the request itself at fault.
    #[serde(rename = "FindsUnfit")]
    ServerFindsUnprocessable(u8),
    /// A server fails, perhaps after it has executed the request.
    #[serde(rename = "Errs")]
    ServerFails(u8),
    /// A server's reply is received.
    #[serde(rename = "Delivers")]
    ReceiveReply(u8),
    /// A server works on an attempt whose connection is closed here, which it has not noticed yet.
    #[serde(rename = "ServesOrphan")]
    ServeAbandoned(u8),
    /// A server notices that an attempt's connection is closed.
    #[serde(rename = "SeesCut")]
    NoticeClose(u8),
    /// The gateway learns that the server of an attempt that was cut off works on it no more.
    #[serde(rename = "ShowsCutSeen")]
    ConfirmClose(u8),
    /// An attempt's connection does not come up.
    #[serde(rename = "Refused")]
    ConnectFails(u8),
    /// An attempt's connection breaks.
    #[serde(rename = "Breaks")]
    ConnectionBreaks(u8),
    /// The connection of a prefill breaks, and its server is asked what has become of it.
    ConnectionBreaksAsked(u8),
    /// The server's answer, or its refusal, shows that it works on the prefill no more.
    AnswerAfterReset(u8),
    /// The time limit of an attempt passes.
    #[serde(rename = "TimesOut")]
    AttemptTimesOut(u8),
    /// The call of a cancelled attempt is dropped.
    #[serde(rename = "Drops")]
    CancelCompletes(u8),
    /// The stream of an attempt ends.
    StreamEnds(u8, StreamEnd),
    /// The release that waited for servers to notice a cut is sent.
    #[serde(rename = "ReleaseGoesOut")]
    ReleaseSent,
    /// A release reaches the servers.
    #[serde(rename = "ReleaseArrives")]
    ReleaseCompletes,
    /// A server reserves the slot that it was asked for.
    #[serde(rename = "PlaceServed")]
    SlotReserved,
    /// A server notices that the call for a slot is closed.
    #[serde(rename = "PlaceSeesCut")]
    SlotCallNoticesClose,
    /// The answer to the call for a slot is received.
    #[serde(rename = "PlaceReplies")]
    SlotAnswered(Option<bool>),
    /// The client disconnects.
    #[serde(rename = "ClientGoes")]
    ClientDisconnects,
    /// The gateway is notified that a server drains or is terminated.
    #[serde(rename = "DrainTold")]
    DrainAnnounced(u8),
    /// A server dies and returns without any of its state.
    #[serde(rename = "Restarts")]
    ServerRestarts(u8),
    /// A timer expires.
    #[serde(rename = "Fires")]
    TimerExpires(Timer),
}

impl Action {
    /// Whether the router orders it, which may order anything or nothing.
    fn is_order(self) -> bool {
        matches!(
            self,
            Action::Send(_)
                | Action::Cancel(_)
                | Action::Release
                | Action::Reject
                | Action::Fail
                | Action::ReserveSlot(_)
        )
    }
}

impl World {
    /// Whether this happens sooner or later by itself: it is neither a fault nor an order, and nothing that may be
    /// missing for ever. What was written to a dead connection may never arrive, and nothing need show an arrival.
    pub fn is_inevitable(&self, action: Action) -> bool {
        let optional = matches!(action, Action::ArriveLate(_) | Action::ConfirmDelivery(_));
        !action.is_order() && !optional && !self.is_fault(action)
    }

    /// Whether this is one of the faults of which a path has so many.
    pub(super) fn is_fault(&self, action: Action) -> bool {
        match action {
            Action::ServerRejects(_)
            | Action::ServerFindsUnprocessable(_)
            | Action::ServerFails(_)
            | Action::ConnectFails(_)
            | Action::WriteToDeadConnection(_)
            | Action::SlotAnswered(None)
            | Action::ClientDisconnects
            | Action::DrainAnnounced(_)
            | Action::ServerRestarts(_) => true,
            // Consequences of an earlier fault are free.
            Action::AttemptTimesOut(attempt) => !self.call(attempt).on_dead_connection,
            Action::ConnectionBreaks(attempt) | Action::ConnectionBreaksAsked(attempt) => {
                !self.server(self.call(attempt).server).restarted
            }
            Action::StreamEnds(_, end) => !matches!(end, StreamEnd::Complete | StreamEnd::ClientStalled),
            _ => false,
        }
    }
}
