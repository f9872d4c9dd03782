//! The exchange of one request and its response, in parts, between the front and the core.
//!
//! The front owns the [`ClientSide`], the core the [`ServerSide`]; this is their only interface. Dropping the client side
//! signals that the client has disconnected; dropping the server side before [`ResponsePart::End`] signals that the response
//! was aborted.

#![deny(missing_docs)]

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use glenrail_request_lifecycle::evidence::{InterruptedWork, Observation, WrittenAttempt};
use http::{HeaderMap, Method, StatusCode, Uri};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::request_ids::RequestIdHold;

/// Maximum number of response parts queued for a slow client before the gateway stops reading the stream. Each part may be
/// as large as an event.
const MAX_QUEUED_PARTS: usize = 8;

/// The part of a request that is forwarded unchanged with every attempt.
#[derive(Debug, Default)]
pub struct Payload {
    /// The request's id that clients and servers know.
    pub request_id: String,
    /// The client's method.
    pub method: Method,
    /// The client's request target.
    pub uri: Uri,
    /// The client's headers.
    pub headers: HeaderMap,
    /// The client's body, complete.
    pub body: Bytes,
    /// Whether the response is buffered until it is complete, so that an attempt that fails midway can still be retried.
    pub buffer_response: bool,
}

/// A request as the core accepts it: the fields for routing decisions, and the payload.
#[derive(Debug)]
pub struct Request {
    /// The input of routing decisions; the core sets its `id`.
    pub routing: glenrail_router::Request,
    /// When the request arrived at this process.
    pub arrived: Instant,
    /// The part forwarded to servers, shared by all attempts.
    pub payload: Rc<Payload>,
}

/// Shared state of an attempt between the core and the connection that writes it: whether the attempt is still needed,
/// whether it was written, and whether its server has stopped working on it.
///
/// The connection checks it immediately before it writes the first byte: the task that observes the client's disconnection
/// may run only after the writing task, and not every deployment allows the cancellation of attempts.
#[derive(Clone, Debug, Default)]
pub struct CancelToken {
    parts: Option<mpsc::WeakSender<ResponsePart>>,
    first_byte_at: Rc<watch::Sender<Option<Instant>>>,
    connection_opened_at: Rc<Cell<Option<Instant>>>,
    interrupted_work: Rc<watch::Sender<InterruptedWork>>,
    server_address: Rc<RefCell<Option<String>>>,
}

impl CancelToken {
    /// Creates the token of an attempt whose response goes to this channel.
    pub fn for_response(parts: &mpsc::Sender<ResponsePart>) -> Self {
        CancelToken { parts: Some(parts.downgrade()), ..CancelToken::default() }
    }

    /// Whether the attempt is still needed: the client side exists and the request is unanswered.
    pub fn is_active(&self) -> bool {
        let Some(parts) = &self.parts else { return true };
        parts.upgrade().is_some_and(|parts| !parts.is_closed())
    }

    /// Whether a byte of the attempt was written or is about to be written. An attempt cancelled before that never reached its
    /// server.
    pub fn is_written(&self) -> bool {
        self.first_byte_at().is_some()
    }

    /// Returns when the first byte was written; `None` before.
    pub fn first_byte_at(&self) -> Option<Instant> {
        *self.first_byte_at.borrow()
    }

    /// Waits until the first byte has been written and returns the time of that write.
    pub async fn first_byte_written(&self) -> Instant {
        loop {
            if let Some(written) = self.first_byte_at() {
                return written;
            }
            if self.first_byte_at.subscribe().changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Sets when the connection was opened to which the attempt is written next.
    pub fn set_connection_opened_at(&self, opened: Instant) {
        self.connection_opened_at.set(Some(opened));
    }

    /// Returns when the attempt was written and when its connection was opened; `None` before the attempt is written.
    pub fn written_attempt(&self) -> Option<WrittenAttempt<Instant>> {
        let (written, connection_opened) = (self.first_byte_at()?, self.connection_opened_at.get()?);
        Some(WrittenAttempt { connection_opened, written })
    }

    /// Records an observation that shows whether the server still works on an interrupted attempt.
    pub fn record_observation(&self, observation: Observation) {
        self.interrupted_work.send_modify(|known| *known = known.after(observation));
    }

    /// Returns whether the server may still work on the attempt, as far as observations of an interruption show.
    pub fn interrupted_work(&self) -> InterruptedWork {
        *self.interrupted_work.borrow()
    }

    /// Whether the server is known to have stopped working on the attempt.
    pub fn has_work_ended(&self) -> bool {
        self.interrupted_work() == InterruptedWork::Ended
    }

    /// Waits until the server is known to have stopped working on the attempt.
    pub async fn work_ended(&self) {
        self.wait_for_work(|known| known == InterruptedWork::Ended).await;
    }

    /// Waits until the connection was reset or the server is known to have stopped working on the attempt.
    pub async fn reset_or_ended(&self) -> InterruptedWork {
        self.wait_for_work(|known| known != InterruptedWork::MayRun).await
    }

    async fn wait_for_work(&self, is_awaited: impl Fn(InterruptedWork) -> bool) -> InterruptedWork {
        let mut known = self.interrupted_work.subscribe();
        // An error would mean that the sender was dropped, but `self` owns it.
        let awaited = known.wait_for(|known| is_awaited(*known)).await.map(|known| *known);
        awaited.unwrap_or_default()
    }

    /// Sets the address of the connection to which the attempt is written next, and resets what earlier observations showed.
    pub fn set_server_address(&self, address: &str) {
        self.server_address.replace(Some(address.to_string()));
        self.interrupted_work.send_replace(InterruptedWork::default());
    }

    /// Returns the address of the server to which the attempt was written last.
    pub fn server_address(&self) -> Option<String> {
        self.server_address.borrow().clone()
    }

    /// Records that the first byte is written now, or that no byte was written because the connection is replaced.
    pub fn set_written(&self, is_written: bool) {
        self.first_byte_at.send_replace(is_written.then(Instant::now));
    }
}

/// Status and headers of a response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// The server's status.
    pub status: StatusCode,
    /// The server's headers.
    pub headers: HeaderMap,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request's deadline has passed.
    DeadlineExceeded,
    /// No server completed the request.
    Upstream,
    /// A server reported that the request itself is invalid.
    Unprocessable,
    /// Another request with the same id has not finished.
    DuplicateRequestId,
}

/// The remainder of a response, handed over to the successor process: the connection to the server, positioned between two
/// chunks of the body, and the bytes already read beyond that position.
#[derive(Debug)]
pub struct StreamRemainder {
    /// The connection to the server that sends the response.
    pub socket: TcpStream,
    /// Bytes that were read but not forwarded.
    pub read_ahead: Vec<u8>,
    /// When the last event was received; `None` before the core has added it, or if the predecessor did not state it.
    pub last_event: Option<Instant>,
    /// Keeps the id of the request in use while its stream continues; `None` before the core has added it.
    pub id_hold: Option<RequestIdHold>,
}

/// Equal if both are the same connection at the same position.
impl PartialEq for StreamRemainder {
    fn eq(&self, other: &Self) -> bool {
        self.socket.as_raw_fd() == other.socket.as_raw_fd() && self.read_ahead == other.read_ahead
    }
}

/// A part of a response; parts are sent in the order in which the client receives them.
#[derive(Debug, PartialEq)]
pub enum ResponsePart {
    /// The head and the first bytes of the body.
    Head(ResponseHead, Bytes),
    /// Further bytes of the body.
    Chunk(Bytes),
    /// The response is complete.
    End,
    /// The successor process continues from here.
    HandedOver(StreamRemainder),
    /// Replaces a response: the request is rejected, and a retry after this time is safe.
    Rejected(Duration),
    /// Replaces a response: the request failed, and a retry may not be safe.
    Failed(Failure),
}

/// How a response ended, as reported to [`ClientSide::observe`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// The response is complete, or the successor process continues it.
    Completed,
    /// The request was rejected.
    Rejected,
    /// The request failed.
    Failed,
    /// The stream broke or the client disconnected.
    Aborted,
}

type Observer = Box<dyn FnOnce(ResponseOutcome)>;

/// The front's side of an exchange, which receives the response.
pub struct ClientSide {
    parts: mpsc::Receiver<ResponsePart>,
    observer: Option<Observer>,
}

impl ClientSide {
    /// Creates the response to a request that is rejected before it reaches the core.
    pub fn rejected(retry_after: Duration) -> Self {
        ClientSide::with_single_part(ResponsePart::Rejected(retry_after))
    }

    /// Creates the response to a request that fails before it is admitted.
    pub fn failed(failure: Failure) -> Self {
        ClientSide::with_single_part(ResponsePart::Failed(failure))
    }

    fn with_single_part(part: ResponsePart) -> Self {
        let (sender, parts) = mpsc::channel(1);
        let _ = sender.try_send(part);
        ClientSide { parts, observer: None }
    }

    /// Sets a callback that is called once, when the response ends. Replaces an earlier callback.
    pub fn observe(&mut self, observer: impl FnOnce(ResponseOutcome) + 'static) {
        self.observer = Some(Box::new(observer));
    }

    /// Polls for the next part; `None` if the response was aborted.
    pub fn poll_part(&mut self, context: &mut Context<'_>) -> Poll<Option<ResponsePart>> {
        let part = ready!(self.parts.poll_recv(context));
        let outcome = match &part {
            Some(ResponsePart::End | ResponsePart::HandedOver(_)) => Some(ResponseOutcome::Completed),
            Some(ResponsePart::Rejected(_)) => Some(ResponseOutcome::Rejected),
            Some(ResponsePart::Failed(_)) => Some(ResponseOutcome::Failed),
            None => Some(ResponseOutcome::Aborted),
            _ => None,
        };
        if let Some(outcome) = outcome {
            self.notify_observer(outcome);
        }
        Poll::Ready(part)
    }

    /// Waits for the next part, see [`ClientSide::poll_part`].
    pub async fn next_part(&mut self) -> Option<ResponsePart> {
        poll_fn(|context| self.poll_part(context)).await
    }

    fn notify_observer(&mut self, outcome: ResponseOutcome) {
        if let Some(observer) = self.observer.take() {
            observer(outcome);
        }
    }
}

impl Drop for ClientSide {
    fn drop(&mut self) {
        self.notify_observer(ResponseOutcome::Aborted);
    }
}

/// The core's side of an exchange: the request and the channel to its client.
pub struct ServerSide {
    /// The request to serve.
    pub request: Request,
    /// The channel for the parts of the response.
    pub parts: mpsc::Sender<ResponsePart>,
}

/// Creates the two ends of a response without a request, for a response that the predecessor process started.
pub fn response_channel() -> (ClientSide, mpsc::Sender<ResponsePart>) {
    let (sender, parts) = mpsc::channel(MAX_QUEUED_PARTS);
    (ClientSide { parts, observer: None }, sender)
}

/// Creates the two sides of the exchange of this request.
pub fn exchange_pair(request: Request) -> (ClientSide, ServerSide) {
    let (client, parts) = response_channel();
    (client, ServerSide { request, parts })
}
