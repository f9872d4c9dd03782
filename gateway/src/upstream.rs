//! What the core asks of the servers, in terms of no wire. The engine client answers these calls as a tower
//! service; tests put stand-ins in its place.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use glenrail_router::{LoadReport, ServerId};
use tokio::time::Instant;

use crate::exchange::{CancelToken, Payload, ResponseHead, StreamRemainder};

#[derive(Clone, Debug)]
pub enum Call {
    /// Sends the request once; the core waits `until` then for its answer to begin, and the server is told what is left of
    /// that. What must be on a connection sooner, as a state waits for it, has `connect` for that.
    Attempt {
        server: ServerId,
        payload: Rc<Payload>,
        deadline: Instant,
        connect_timeout: Option<Duration>,
        /// Its connection has to have answered something a moment before: a state waits for it, and what is written onto a
        /// connection that has fallen silent never arrives.
        verify_connection: bool,
        /// Not a first byte goes out once nobody wants it.
        cancel_token: CancelToken,
    },
    /// Lets go of every lease held for the request, at any server that runs.
    Release {
        payload: Rc<Payload>,
    },
    ReserveSlot {
        server: ServerId,
        payload: Rc<Payload>,
    },
    Probe {
        server: ServerId,
    },
    /// Asks for a sign that this server, and the way to it, is well at this moment, or fails soon.
    VerifyReachable {
        server: ServerId,
        /// A request that has wholly finished_request: where no server may be probed, its release is a call that changes nothing and is
        /// answered.
        finished_request: Option<Rc<str>>,
    },
    CloseIdle {
        server: ServerId,
    },
}

pub enum Reply {
    /// The prompt was read, with so many of its tokens found kept.
    Prefilled {
        cached_tokens: f64,
        report: Option<LoadReport>,
    },
    /// The answer begins; the first frame is there already.
    Response {
        head: ResponseHead,
        frames: LocalBoxStream<'static, Result<Frame, CallError>>,
    },
    /// Turned away, so it never ran.
    Rejected {
        state_missing: bool,
        report: Option<LoadReport>,
    },
    Error {
        report: Option<LoadReport>,
    },
    /// Turned away for a fault of its own, which every server would find.
    Unprocessable {
        report: Option<LoadReport>,
    },
    /// Held, not held, or not known.
    SlotReserved(Option<bool>),
    Probed {
        healthy: bool,
        report: Option<LoadReport>,
    },
    Done,
}

#[derive(Debug)]
pub enum Frame {
    Data(Bytes),
    /// Another process goes on from here.
    HandedOver(StreamRemainder),
    End {
        cached_tokens: f64,
        report: Option<LoadReport>,
    },
}

/// How a call ended that got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// Nothing of it can have run: its last byte was never written.
    ConnectFailed,
    /// It may have run.
    Reset,
    /// What came back could not be read; it may have run.
    MalformedResponse,
    /// Kept back: the server had to get nothing new.
    NotSent,
}
