//! The exchange of one request and its response, in parts, between the front and the core.
//!
//! The front owns the [`ClientSide`], the core the [`ServerSide`]; neither knows more of the other. Dropping the client
//! side says that the client has disconnected; dropping the server side before [`ResponsePart::End`] says that the response
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

/// Response parts that may be queued for a slow client before its stream is no longer read. Each may be as large as an
/// event.
const MAX_QUEUED_PARTS: usize = 8;

/// The part of a request that is forwarded unchanged to every server that is tried.
#[derive(Debug, Default)]
pub struct Payload {
    /// The request's id outside this process.
    pub request_id: String,
    /// The client's method.
    pub method: Method,
    /// The client's request target.
    pub uri: Uri,
    /// The client's headers.
    pub headers: HeaderMap,
    /// The client's body.
    pub body: Bytes,
    /// The response is one document: it begins only once it is complete, so that a broken attempt can still be retried.
    pub buffer_response: bool,
}

/// A request as the core accepts it: the fields that decisions need, and the bytes.
#[derive(Debug)]
pub struct Request {
    /// What the router decides by; the core sets its `id`.
    pub routing: glenrail_router::Request,
    /// When it arrived at this process.
    pub arrived: Instant,
    /// What is forwarded.
    pub payload: Rc<Payload>,
}

/// Whether an attempt is still needed, whether it was written, and whether its server has ended its work for it; shared by the
/// core and the connection that writes it.
///
/// It is asked immediately before the first byte is written: the task that observes the client's disconnection may run only
/// after the one that writes, and not every deployment allows the cancellation of attempts.
#[derive(Clone, Debug, Default)]
pub struct CancelToken {
    parts: Option<mpsc::WeakSender<ResponsePart>>,
    first_byte_at: Rc<watch::Sender<Option<Instant>>>,
    connection_opened_at: Rc<Cell<Option<Instant>>>,
    cut_work: Rc<watch::Sender<InterruptedWork>>,
    server_address: Rc<RefCell<Option<String>>>,
}

impl CancelToken {
    /// A token for an attempt whose response goes to this channel.
    pub fn for_response(parts: &mpsc::Sender<ResponsePart>) -> Self {
        CancelToken { parts: Some(parts.downgrade()), ..CancelToken::default() }
    }

    /// Whether the attempt is still needed: neither has the client's side been dropped nor was the request answered.
    pub fn is_active(&self) -> bool {
        let Some(parts) = &self.parts else { return true };
        parts.upgrade().is_some_and(|parts| !parts.is_closed())
    }

    /// Whether a byte of the attempt was written, or is about to be: one that is cancelled before that never reached its
    /// server.
    pub fn is_written(&self) -> bool {
        self.first_byte_at().is_some()
    }

    /// When the first byte was written.
    pub fn first_byte_at(&self) -> Option<Instant> {
        *self.first_byte_at.borrow()
    }

    /// Waits until the first byte has been written, and returns when that was.
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

    /// Says when the connection was opened on which the attempt is written next.
    pub fn set_connection_opened_at(&self, opened: Instant) {
        self.connection_opened_at.set(Some(opened));
    }

    /// When the attempt was written, and on a connection of which age; `None` before.
    pub fn written_attempt(&self) -> Option<WrittenAttempt<Instant>> {
        let (written, connection_opened) = (self.first_byte_at()?, self.connection_opened_at.get()?);
        Some(WrittenAttempt { connection_opened, written })
    }

    /// Notes what was seen of the connection on which the attempt was written, after it was cut off.
    pub fn note(&self, observation: Observation) {
        self.cut_work.send_modify(|known| *known = known.after(observation));
    }

    /// What is known of the server's work on the attempt, if it was cut off.
    pub fn cut_work(&self) -> InterruptedWork {
        *self.cut_work.borrow()
    }

    /// Whether the server is known to work on the attempt no more.
    pub fn has_work_ended(&self) -> bool {
        self.cut_work() == InterruptedWork::Ended
    }

    /// Waits until the server is known to work on the attempt no more.
    pub async fn work_ended(&self) {
        self.wait_for_work(|known| known == InterruptedWork::Ended).await;
    }

    /// Waits until the connection was reset, or the server is known to work on the attempt no more.
    pub async fn reset_or_ended(&self) -> InterruptedWork {
        self.wait_for_work(|known| known != InterruptedWork::MayRun).await
    }

    async fn wait_for_work(&self, is_awaited: impl Fn(InterruptedWork) -> bool) -> InterruptedWork {
        let mut known = self.cut_work.subscribe();
        // An error would be the sender's end, and `self` has the sender.
        let awaited = known.wait_for(|known| is_awaited(*known)).await.map(|known| *known);
        awaited.unwrap_or_default()
    }

    /// Says that the attempt is written next on a connection to this address, of which nothing was seen yet.
    pub fn set_server_address(&self, address: &str) {
        self.server_address.replace(Some(address.to_string()));
        self.cut_work.send_replace(InterruptedWork::default());
    }

    /// The address of the server that the attempt was written to last.
    pub fn server_address(&self) -> Option<String> {
        self.server_address.borrow().clone()
    }

    /// Says that the first byte is written now, or that none was, since the connection is replaced.
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

/// Why a request has finally failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Its deadline has passed.
    DeadlineExceeded,
    /// No server that was tried answered it.
    Upstream,
    /// A server says that the fault is the request's own.
    Unprocessable,
    /// A request of the same id has not finished.
    DuplicateRequestId,
}

/// The remainder of a response, for the successor process: the server's connection, between two chunks of its body, and
/// what has been read of it beyond that.
#[derive(Debug)]
pub struct StreamRemainder {
    /// The connection to the server.
    pub socket: TcpStream,
    /// Bytes that were read and not forwarded.
    pub read_ahead: Vec<u8>,
}

/// The same connection at the same position.
impl PartialEq for StreamRemainder {
    fn eq(&self, other: &Self) -> bool {
        self.socket.as_raw_fd() == other.socket.as_raw_fd() && self.read_ahead == other.read_ahead
    }
}

/// One part of a response, in the order in which the client gets them.
#[derive(Debug, PartialEq)]
pub enum ResponsePart {
    /// The head, and the first bytes of the body.
    Head(ResponseHead, Bytes),
    /// Further bytes of the body.
    Chunk(Bytes),
    /// The response is complete.
    End,
    /// The successor process continues from here.
    HandedOver(StreamRemainder),
    /// In place of a response: a retry is harmless, after this time.
    Rejected(Duration),
    /// In place of a response, with no promise about a retry.
    Failed(Failure),
}

/// How a response ended, for its observer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// It is complete, or the successor process continues it.
    Completed,
    /// The request was rejected.
    Rejected,
    /// The request failed.
    Failed,
    /// The stream broke, or the client disconnected.
    Aborted,
}

type Observer = Box<dyn FnOnce(ResponseOutcome)>;

/// The front's side: the response of one request.
pub struct ClientSide {
    parts: mpsc::Receiver<ResponsePart>,
    observer: Option<Observer>,
}

impl ClientSide {
    /// The response to a request that is rejected before it reaches the core.
    pub fn rejected(retry_after: Duration) -> Self {
        ClientSide::with_only_part(ResponsePart::Rejected(retry_after))
    }

    /// The response to a request that fails before it is admitted.
    pub fn failed(failure: Failure) -> Self {
        ClientSide::with_only_part(ResponsePart::Failed(failure))
    }

    fn with_only_part(part: ResponsePart) -> Self {
        let (sender, parts) = mpsc::channel(1);
        let _ = sender.try_send(part);
        ClientSide { parts, observer: None }
    }

    /// Calls `observer` once, when the response ends.
    pub fn observe(&mut self, observer: impl FnOnce(ResponseOutcome) + 'static) {
        self.observer = Some(Box::new(observer));
    }

    /// The next part; `None` where the response was aborted.
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

    /// The next part, as [`ClientSide::poll_part`] has it.
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

/// The core's side: the request, and the way to its client.
pub struct ServerSide {
    /// The request.
    pub request: Request,
    /// Where the parts of the response go.
    pub parts: mpsc::Sender<ResponsePart>,
}

/// The two ends of a response without a request, for one that the predecessor process began.
pub fn response_channel() -> (ClientSide, mpsc::Sender<ResponsePart>) {
    let (sender, parts) = mpsc::channel(MAX_QUEUED_PARTS);
    (ClientSide { parts, observer: None }, sender)
}

/// The two sides of the exchange of this request.
pub fn exchange_pair(request: Request) -> (ClientSide, ServerSide) {
    let (client, parts) = response_channel();
    (client, ServerSide { request, parts })
}
