//! The calls that the core makes to servers, independent of any wire format.
//!
//! The engine implements these calls as a tower service; tests replace it by scripted services. Each call is executed once;
//! the core decides whether to retry.

#![deny(missing_docs)]

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use glenrail_request_lifecycle::evidence::Observation;
use glenrail_request_lifecycle::framing::FramingError;
use glenrail_request_lifecycle::response_timing::{Expiry, OnPause, Progress, ResponseTiming};
use glenrail_router::{LoadReport, ServerId};
use tokio::time::Instant;

use crate::exchange::{CancelToken, Payload, ResponseHead, StreamRemainder};

/// A call to one server, or to any server that can be reached.
#[derive(Clone, Debug)]
pub enum Call {
    /// Sends the request to a server once.
    Attempt {
        /// The server that receives the request.
        server: ServerId,
        /// The request's content, shared by all its attempts.
        payload: Rc<Payload>,
        /// Latest start of the response. The server receives the remaining time with the request.
        deadline: Instant,
        /// Maximum time to obtain a connection; `None` if neither a lease nor an idempotency window limits it beyond the
        /// engine's own connect timeout.
        connect_timeout: Option<Duration>,
        /// The check of the connection immediately before the attempt is written.
        connection_check: ConnectionCheck,
        /// What can be done about a response that pauses before its first event.
        on_pause: OnPause,
        /// Must be active when the first byte is written; otherwise the attempt is not sent.
        cancel_token: CancelToken,
    },
    /// Releases all leases held for the request, through any server that can be reached.
    Release {
        /// The payload with the request's id; the rest may be empty.
        payload: Rc<Payload>,
    },
    /// Reserves a slot for the request.
    ReserveSlot {
        /// The server that reserves the slot.
        server: ServerId,
        /// The request that the slot is for.
        payload: Rc<Payload>,
    },
    /// Queries a server for its health and load.
    Probe {
        /// The server to probe.
        server: ServerId,
    },
    /// Verifies that a server and the network path to it respond now; fails after a short time otherwise.
    VerifyReachable {
        /// The server to verify.
        server: ServerId,
    },
    /// Queries, on a new connection, the state of a server whose connection was reset during an attempt.
    InquireAfterReset {
        /// The server to query.
        server: ServerId,
        /// The token of the attempt whose connection was reset.
        cancel_token: CancelToken,
    },
    /// Seeks evidence that an attempt was delivered, preferably on a connection that was open before the attempt was written.
    ConfirmDelivery {
        /// The server that the attempt was written to.
        server: ServerId,
        /// The token of the attempt.
        cancel_token: CancelToken,
    },
    /// Closes the idle connections to a server.
    CloseIdle {
        /// The server whose connections are closed.
        server: ServerId,
    },
}

/// How a connection is checked before an attempt is written to it. An attempt that claims a lease needs a check, because data
/// written to a dead connection is never delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionCheck {
    /// No check, because the attempt claims no lease.
    None,
    /// The server must answer a call without side effects on the connection.
    Answer,
}

/// Result of a query on a connection that was opened after another connection to the same server was reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerAfterReset {
    /// The connection was refused.
    ConnectionRefused,
    /// The server answered the query.
    Responded,
    /// The server did not answer in time.
    TimedOut,
}

/// The stream of the frames of a response.
pub type Frames = LocalBoxStream<'static, Result<Frame, CallError>>;

/// The result of a call that succeeded or that the server answered.
pub enum Reply {
    /// The prefill is complete.
    Prefilled {
        /// Number of prompt tokens that the server found in its cache.
        cached_tokens: f64,
        /// The server's load report; `None` if it sent none.
        report: Option<LoadReport>,
    },
    /// The response has started; its first frame is available.
    Response {
        /// Status and headers of the server's response.
        head: ResponseHead,
        /// The body, from its first frame on.
        frames: Frames,
        /// The time limits of the response, for what follows its first frame.
        timing: Box<ResponseTiming<Instant>>,
    },
    /// The server rejected the attempt, so the attempt never ran.
    Rejected {
        /// Whether the reason is that the server does not have the state that the attempt claims.
        state_missing: bool,
        /// The server's load report; `None` if it sent none.
        report: Option<LoadReport>,
    },
    /// The server reported an error; the attempt may have run.
    Error {
        /// The server's load report; `None` if it sent none.
        report: Option<LoadReport>,
    },
    /// The server found the request itself invalid, as every other server would.
    Unprocessable {
        /// The server's load report; `None` if it sent none.
        report: Option<LoadReport>,
    },
    /// Whether the slot was reserved; `None` if the server does not know.
    SlotReserved(Option<bool>),
    /// The server answered a probe.
    Probed {
        /// Whether the server reported itself as healthy.
        healthy: bool,
        /// The server's load report; `None` if it sent none.
        report: Option<LoadReport>,
    },
    /// The result of a query after a reset.
    AfterReset(ServerAfterReset),
    /// An observation that bears on an attempt's delivery.
    DeliveryObserved(Observation),
    /// The call was executed and returns nothing.
    Done,
}

/// A frame of a response's body.
#[derive(Debug)]
pub enum Frame {
    /// Complete events of a stream, or a part of a document.
    Data(Bytes),
    /// Complete lines of a stream that its readers ignore.
    Ignored(Bytes),
    /// Nothing to forward: bytes were received that complete no line.
    Progress(Progress),
    /// The successor process continues from here.
    HandedOver(StreamRemainder),
    /// The response is complete.
    End {
        /// Number of prompt tokens that the server found in its cache.
        cached_tokens: f64,
        /// The server's load report; `None` if it sent none.
        report: Option<LoadReport>,
    },
}

impl Frame {
    /// Whether further frames of the response follow.
    pub fn is_followed(&self) -> bool {
        matches!(self, Frame::Data(_) | Frame::Ignored(_) | Frame::Progress(_))
    }
}

/// Why a response is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformation {
    /// The head, with the interim responses before it, exceeds its limit.
    #[error("the head exceeds its limit")]
    HeadTooLong,
    /// The head cannot be read.
    #[error("the head cannot be read")]
    HeadUnreadable,
    /// A stream does not have the content type of one.
    #[error("the content type is not that of an event stream")]
    ContentType,
    /// A body that is buffered exceeds its limit or the memory budget.
    #[error("the body exceeds its limit or the memory budget")]
    BodyTooLarge,
    /// A stream contains what is no event.
    #[error("an event cannot be read")]
    Event,
    /// The body is framed badly.
    #[error(transparent)]
    Framing(FramingError),
}

impl Malformation {
    /// Returns all reasons, in the order of the operators' counters.
    pub fn all() -> impl Iterator<Item = Malformation> {
        use Malformation::{BodyTooLarge, ContentType, Event, HeadTooLong, HeadUnreadable};
        let others = [HeadTooLong, HeadUnreadable, ContentType, BodyTooLarge, Event];
        others.into_iter().chain(FramingError::ALL.map(Malformation::Framing))
    }

    /// Returns the name of the reason in the log and in the operators' counters.
    pub fn name(self) -> &'static str {
        match self {
            Malformation::HeadTooLong => "head_too_long",
            Malformation::HeadUnreadable => "head_unreadable",
            Malformation::ContentType => "content_type",
            Malformation::BodyTooLarge => "body_too_large",
            Malformation::Event => "event_unreadable",
            Malformation::Framing(error) => error.name(),
        }
    }
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The call cannot have run, because its last byte was never written.
    ConnectFailed,
    /// The connection ended; the call may have run.
    Reset,
    /// The response is malformed; the call may have run.
    MalformedResponse(Malformation),
    /// The response began and did not go on within its time limit; the call may have run.
    ResponseExpired(Expiry),
    /// The call was not sent: the server accepts no new calls, the call is no longer needed, or its deadline has passed.
    NotSent,
}
