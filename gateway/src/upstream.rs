//! The calls that the core makes to servers, in terms of no wire format.
//!
//! The engine answers these calls as a tower service; tests use scripted services in its place. The core owns the decision
//! whether anything is retried: each call is carried out once.

#![deny(missing_docs)]

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use glenrail_request_lifecycle::evidence::Observation;
use glenrail_router::{LoadReport, ServerId};
use tokio::time::Instant;

use crate::exchange::{CancelToken, Payload, ResponseHead, StreamRemainder};

/// One call to a server, or to any server that can be reached.
#[derive(Clone, Debug)]
pub enum Call {
    /// Sends the request once.
    Attempt {
        /// Where it is sent.
        server: ServerId,
        /// What is sent.
        payload: Rc<Payload>,
        /// Until when the core waits for the response to begin; the server is told how much of that is left.
        deadline: Instant,
        /// By when the attempt must have a connection, if that is sooner, since a lease waits for it.
        connect_timeout: Option<Duration>,
        /// What must show, immediately before, that the connection still delivers.
        connection_check: ConnectionCheck,
        /// No first byte is written once this is not active any more.
        cancel_token: CancelToken,
    },
    /// Releases every lease held for the request, at any server that runs.
    Release {
        /// The request.
        payload: Rc<Payload>,
    },
    /// Reserves a slot for the request.
    ReserveSlot {
        /// Where it is reserved.
        server: ServerId,
        /// The request.
        payload: Rc<Payload>,
    },
    /// Asks a server for its load.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Verifies that a server, and the network path to it, responds now; fails soon otherwise.
    VerifyReachable {
        /// The server.
        server: ServerId,
    },
    /// Finds out what has become of a server whose connection was reset under an attempt, on a connection that is begun now.
    InquireAfterReset {
        /// The server.
        server: ServerId,
        /// The attempt.
        cancel_token: CancelToken,
    },
    /// Asks a server for a sign that an attempt was delivered, on a connection that stood when it was written if there is one.
    ConfirmDelivery {
        /// The server.
        server: ServerId,
        /// The attempt's.
        cancel_token: CancelToken,
    },
    /// Closes the idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
}

/// What shows that a connection delivers before an attempt is written to it. Where a lease waits for the attempt, that has to
/// be shown: what is written onto a connection that has fallen silent is never delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionCheck {
    /// Nothing: no lease waits for the attempt.
    None,
    /// The connection answers a call that changes nothing.
    Answer,
}

/// What a connection has shown that was begun after another one to the same server was reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerAfterReset {
    /// The connection was refused.
    Refuses,
    /// The server answered.
    Answers,
    /// No answer came in time.
    Silent,
}

/// The frames of a response that is streamed.
pub type Frames = LocalBoxStream<'static, Result<Frame, CallError>>;

/// The result of a call that was answered.
pub enum Reply {
    /// The prefill is complete.
    Prefilled {
        /// Prompt tokens that the server found in its cache.
        cached_tokens: f64,
        /// The server's load.
        report: Option<LoadReport>,
    },
    /// The response begins; its first frame has already come.
    Response {
        /// The server's status and headers.
        head: ResponseHead,
        /// The body.
        frames: Frames,
    },
    /// The server rejected the attempt, so it never ran.
    Rejected {
        /// Whether it did since the state that the attempt was to claim is not there.
        state_missing: bool,
        /// The server's load.
        report: Option<LoadReport>,
    },
    /// The server failed; the attempt may have run.
    Error {
        /// The server's load.
        report: Option<LoadReport>,
    },
    /// The server rejected the request for a fault of its own, which every server would find.
    Unprocessable {
        /// The server's load.
        report: Option<LoadReport>,
    },
    /// Whether the slot was reserved; `None` if the server does not know.
    SlotReserved(Option<bool>),
    /// The server answered a probe.
    Probed {
        /// Whether it called itself well.
        healthy: bool,
        /// The server's load.
        report: Option<LoadReport>,
    },
    /// What has become of a server that was asked after a reset.
    AfterReset(ServerAfterReset),
    /// What was seen of an attempt's delivery.
    Observed(Observation),
    /// The call was carried out, and has nothing to return.
    Done,
}

/// One frame of a response's body.
#[derive(Debug)]
pub enum Frame {
    /// Complete events, or a part of a document.
    Data(Bytes),
    /// The successor process continues from here.
    HandedOver(StreamRemainder),
    /// The response is complete.
    End {
        /// Prompt tokens that the server found in its cache.
        cached_tokens: f64,
        /// The server's load.
        report: Option<LoadReport>,
    },
}

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// It cannot have run: its last byte was never written.
    ConnectFailed,
    /// The connection ended; it may have run.
    Reset,
    /// The answer could not be read; it may have run.
    MalformedResponse,
    /// It was not sent: the server must receive nothing new, the call is not needed any more, or its time was over.
    NotSent,
}
