//! Client of the servers: a tower service that sends attempts, probes and lease calls over its own pool of connections.
//!
//! Each request is written to a server at most once. If its connection fails before any byte of the request
//! was written, another connection is used; otherwise the request is not sent again, because the router
//! decides about retries. [`Engine`] owns the table of servers and their idle connections. Time is measured
//! by tokio's clock.

#![deny(missing_docs)]

mod attempt;
mod body_read_state;
mod closing;
mod connection;
mod connection_checks;
mod control_calls;
mod event_stream;
mod events;
mod liveness;
mod load_reports;
mod pool;
mod release;
mod requests;
mod reset_inquiry;
mod response_fields;
mod response_reader;
mod resumed_stream;
mod send;
mod server_request;
mod server_table;
mod stall_tolerance;
mod write_gate;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use glenrail_access_log::counts::Counts;
use glenrail_request_lifecycle::reachability::{Millis, Reachability};
use glenrail_request_lifecycle::response_timing::{OnPause, ResponseLimits, ResponseTiming};
use glenrail_router::ServerId;
use tokio::sync::{watch, Semaphore};
use tokio::time::Instant;
use tower::Service;

use self::attempt::ResponseMode;
use self::closing::ClosingConnections;
use self::load_reports::UnreadableReports;
use self::requests::attempt_request;
use self::reset_inquiry::ResetInquiries;
use self::server_request::{RequestKind, ServerRequest};
pub use self::server_table::ServerAddress;
use self::server_table::ServerTable;
use crate::budget::Budget;
use crate::exchange::StreamRemainder;
use crate::upstream::{Call, CallError, Frames, Reply};

/// Settings that apply to all servers of a pool, in addition to what discovery lists for each server.
#[derive(Clone, Debug)]
pub struct EngineLimits {
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
    /// Whether servers may be probed; if not, checks send the release of an unused id instead.
    pub probes: bool,
    /// Idle time after which a connection is closed; must be well below the idle timeout of the servers.
    pub idle_timeout: Duration,
    /// The API of the servers.
    pub server_api: ServerApi,
}

/// API of the servers of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerApi {
    /// The platform's. Only a response with the rejection header means that the request was rejected.
    Platform,
    /// A public API: status 429, or 503 with a Retry-After header, means that the request was rejected, and any other 4xx
    /// status is the client's error and is forwarded.
    Public {
        /// Time without any bytes after which a stream is ended.
        max_silence: Duration,
    },
}

impl ServerApi {
    /// Whether the servers are a public API.
    pub fn is_public(self) -> bool {
        matches!(self, ServerApi::Public { .. })
    }

    /// Returns the time limits of a response.
    fn response_limits(self, on_pause: OnPause) -> ResponseLimits {
        match self {
            ServerApi::Platform => ResponseLimits::platform(on_pause),
            ServerApi::Public { max_silence } => ResponseLimits::public_api(max_silence),
        }
    }
}

/// A stream that the predecessor process handed over.
pub struct ResumedResponse {
    /// The rest of its body.
    pub frames: Frames,
    /// Its time limits, with the time since its last event.
    pub timing: ResponseTiming<Instant>,
}

/// State of one engine, shared by its tasks.
struct Shared {
    limits: EngineLimits,
    servers: RefCell<ServerTable>,
    /// Limits the number of open connections of all pools together.
    connection_slots: Arc<Semaphore>,
    /// Limits the memory of responses that are buffered until they are complete.
    buffer_budget: Budget,
    /// Whether the task that closes connections at their idle timeout is running.
    is_reaping: Cell<bool>,
    /// Whether open streams are to be handed over to the successor process.
    handing_over: watch::Sender<bool>,
    attempts_written: Rc<Cell<u64>>,
    closing: ClosingConnections,
    reset_inquiries: ResetInquiries,
    /// Random id that belongs to no request, for releases that serve as checks.
    unused_request_id: String,
    counts: RefCell<Counts>,
    unreadable_reports: UnreadableReports,
}

/// Client of one pool's servers. All clones share the same state.
#[derive(Clone)]
pub struct Engine(Rc<Shared>);

impl Engine {
    /// Creates an engine without servers. `slots` limits the open connections of all pools together, `budget` the bytes
    /// of buffered bodies.
    pub fn new(limits: EngineLimits, slots: Arc<Semaphore>, budget: Budget) -> Self {
        Engine(Rc::new(Shared {
            limits,
            servers: RefCell::new(ServerTable::new()),
            connection_slots: slots,
            buffer_budget: budget,
            is_reaping: Cell::new(false),
            handing_over: watch::Sender::new(false),
            attempts_written: Rc::default(),
            closing: ClosingConnections::default(),
            reset_inquiries: ResetInquiries::default(),
            unused_request_id: format!("{:016x}", rand::random::<u64>()),
            counts: RefCell::default(),
            unreadable_reports: UnreadableReports::default(),
        }))
    }

    /// Applies a server list from discovery: the full list if it is `complete`, otherwise changes to the present one.
    pub fn update_servers(&self, complete: bool, changed: &[ServerAddress], removed: &[ServerId]) {
        let mut servers = self.0.servers.borrow_mut();
        if complete {
            servers.retain_listed(changed);
        }
        servers.update(changed, removed);
    }

    /// Requests the handover of all present and future streams to the successor process. A stream
    /// with a chunked body is handed over at its next position between two chunks and two events, where the
    /// successor can continue it.
    pub fn hand_over_streams(&self) {
        self.0.handing_over.send_replace(true);
    }

    /// Continues a stream that the predecessor process has handed over.
    pub fn resume(&self, remainder: StreamRemainder) -> ResumedResponse {
        let slot = self.0.connection_slots.clone().try_acquire_owned().ok();
        // A predecessor of an earlier build does not state the time of the last event.
        let last_event = remainder.last_event.unwrap_or_else(Instant::now);
        let limits = self.0.limits.server_api.response_limits(OnPause::Wait);
        let frames = resumed_stream::resume(remainder, slot, self.0.handing_over.subscribe());
        ResumedResponse { frames, timing: ResponseTiming::resumed(limits, last_event) }
    }

    /// Returns the number of attempts whose last byte was handed to the kernel.
    pub fn attempts_written(&self) -> u64 {
        self.0.attempts_written.get()
    }

    /// Returns the counts of connections to servers and of probes so far.
    pub fn counts(&self) -> Counts {
        self.0.counts.borrow().clone()
    }

    /// Returns the number of load reports that could not be read.
    pub fn unreadable_load_reports(&self) -> u64 {
        self.0.unreadable_reports.count()
    }

    /// Closes all idle connections, at shutdown or to free their slots.
    pub fn close_idle(&self) {
        for server in self.0.servers.borrow_mut().values_mut() {
            server.idle.clear();
        }
    }

    /// Records in the reachability of a server that a call was sent, answered or lost.
    fn record_reachability(&self, server: ServerId, event: impl FnOnce(&mut Reachability, Millis)) {
        self.0.servers.borrow_mut().record_reachability(server, event);
    }

    async fn handle_call(self, call: Call) -> Result<Reply, CallError> {
        match call {
            Call::Attempt {
                server,
                payload,
                deadline,
                connect_timeout,
                connection_check,
                on_pause,
                cancel_token,
            } => {
                let mode = ResponseMode::for_payload(&payload);
                let limits = self.0.limits.server_api.response_limits(on_pause);
                let request = ServerRequest {
                    kind: RequestKind::Attempt,
                    request: attempt_request(&payload),
                    connect_deadline: connect_timeout.map(|timeout| Instant::now() + timeout),
                    connection_check,
                    deadline: Some(deadline),
                    limits: mode.limits(limits),
                    cancel_token,
                };
                self.attempt(server, &request, mode).await
            }
            Call::Release { payload } => self.release(&payload).await,
            Call::ReserveSlot { server, payload } => self.reserve_slot(server, &payload).await,
            Call::Probe { server } => self.probe(server).await,
            Call::VerifyReachable { server } => self.verify_reachable(server).await,
            Call::InquireAfterReset { server, cancel_token } => {
                Ok(Reply::AfterReset(self.inquire_after_reset(server, &cancel_token).await))
            }
            Call::ConfirmDelivery { server, cancel_token } => {
                self.confirm_delivery(server, &cancel_token).await
            }
            Call::CloseIdle { server } => {
                self.close_idle_of(server);
                Ok(Reply::Done)
            }
        }
    }
}

impl Service<Call> for Engine {
    type Response = Reply;
    type Error = CallError;
    type Future = LocalBoxFuture<'static, Result<Reply, CallError>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), CallError>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, call: Call) -> Self::Future {
        Box::pin(self.clone().handle_call(call))
    }
}
