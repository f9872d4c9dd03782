//! The client's side of a request: its final response and how far it has been sent.

use serde::{Deserialize, Serialize};

/// Final response that the gateway itself sends to a client that has received no server's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FinalResponse {
    /// The request was rejected before it ran; the client can safely send it again.
    #[serde(rename = "Refused")]
    Rejected,
    /// No attempt produced a response. The request may have run.
    Failed,
    /// The deadline passed before a response began. The request may have run.
    #[serde(rename = "Deadline")]
    DeadlineExceeded,
    /// A server found the request itself invalid; every server would reject it.
    #[serde(rename = "Unfit")]
    Unprocessable,
}

/// Progress of the client's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ResponseState {
    /// Nothing has been sent to the client yet.
    Pending,
    /// An attempt's stream is being forwarded to the client.
    Streaming,
    /// The gateway sent this final response of its own.
    Final(FinalResponse),
    /// The forwarded stream has ended, either complete or interrupted.
    StreamEnded,
    /// The client disconnected before its response was complete.
    Abandoned,
}
