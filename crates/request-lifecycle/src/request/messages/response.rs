//! The client's side of a request: its one final answer.

use serde::{Deserialize, Serialize};

/// The final answer of a request whose client received no server's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FinalResponse {
    /// Rejected before it ran: it is safe for the client to send it again.
    #[serde(rename = "Refused")]
    Rejected,
    /// No server that was tried answered it; it may have run.
    Failed,
    /// Its deadline passed first.
    #[serde(rename = "Deadline")]
    DeadlineExceeded,
    /// The request itself is at fault, as a server found: every server would reject it.
    #[serde(rename = "Unfit")]
    Unprocessable,
}

/// How far the client's answer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ResponseState {
    /// The client has received nothing yet.
    Pending,
    /// An attempt's stream is being forwarded to the client.
    Streaming,
    /// The client received a final answer of the gateway's own.
    Final(FinalResponse),
    /// The forwarded stream has ended, complete or broken off.
    StreamEnded,
    /// The client disconnected before its answer was complete.
    Abandoned,
}
