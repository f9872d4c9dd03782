//! Where client side and server side meet: one request in, one answer out in pieces.
//!
//! The front holds the [`ClientSide`], the core the [`ServerSide`]; neither knows more of the other. Dropping
//! the client side says that the client has gone; dropping the server side without [`Piece::End`] says that the
//! answer broke off.

use std::future::poll_fn;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Pieces that may wait for a slow client before its stream is no longer read. Each may be as large as an event.
const MAX_QUEUED_PARTS: usize = 8;

/// What is passed on unchanged to whichever server is tried.
#[derive(Debug, Default)]
pub struct Payload {
    /// The request's name outside this process.
    pub request_id: String,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// The answer is one document: it begins only once all of it is there, so a break can still be repeated.
    pub buffer_response: bool,
}

/// A request as the core takes it: the fields that decisions need, and the bytes.
#[derive(Debug)]
pub struct Request {
    /// Its `id` is given by the core.
    pub routing: glenrail_router::Request,
    pub arrived: Instant,
    pub payload: Rc<Payload>,
}

/// Whether anybody still waits for an answer, asked in the moment before something is begun for it: the task that hears of
/// a client's going may have its turn only after the one that begins, and not every deployment lets attempts be called back.
#[derive(Clone, Debug, Default)]
pub struct CancelToken {
    parts: Option<mpsc::WeakSender<ResponsePart>>,
    first_byte_at: Rc<watch::Sender<Option<Instant>>>,
}

impl CancelToken {
    pub fn for_response(pieces: &mpsc::Sender<ResponsePart>) -> Self {
        CancelToken { parts: Some(pieces.downgrade()), first_byte_at: Rc::default() }
    }

    /// Nobody does once the client's side is dropped, or the answer was given.
    pub fn is_active(&self) -> bool {
        let Some(pieces) = &self.parts else { return true };
        pieces.upgrade().is_some_and(|pieces| !pieces.is_closed())
    }

    /// Whether a byte of its attempt is out, or about to be: one given up before that never was at its server.
    pub fn is_written(&self) -> bool {
        self.first_byte_at().is_some()
    }

    /// When its first byte went out.
    pub fn first_byte_at(&self) -> Option<Instant> {
        *self.first_byte_at.borrow()
    }

    /// Until its first byte has gone out; gives when that was.
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

    pub fn set_written(&self, out: bool) {
        self.first_byte_at.send_replace(out.then(Instant::now));
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    pub status: StatusCode,
    pub headers: HeaderMap,
}

/// Why a request failed for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Its time ran out.
    DeadlineExceeded,
    /// The servers tried did not answer it.
    Upstream,
    /// A server says that the fault is the request's own.
    Unprocessable,
    /// A request of this name is open.
    DuplicateRequestId,
}

/// The rest of an answer, for another process to go on with: the server's connection, between two chunks of its body,
/// and what has been read of it beyond that.
#[derive(Debug)]
pub struct StreamRemainder {
    pub socket: TcpStream,
    pub read_ahead: Vec<u8>,
}

/// The same connection at the same place.
impl PartialEq for StreamRemainder {
    fn eq(&self, other: &Self) -> bool {
        self.socket.as_raw_fd() == other.socket.as_raw_fd() && self.read_ahead == other.read_ahead
    }
}

#[derive(Debug, PartialEq)]
pub enum ResponsePart {
    Head(ResponseHead, Bytes),
    Chunk(Bytes),
    End,
    /// Another process goes on from here.
    HandedOver(StreamRemainder),
    /// Final: trying again is harmless, after this time.
    Rejected(Duration),
    /// Final, promising nothing.
    Failed(Failure),
}

/// How an answer ended, for whoever watches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// To its end, or to where another process went on.
    Completed,
    Rejected,
    Failed,
    /// The stream broke, or the client went away.
    Aborted,
}

type Observer = Box<dyn FnOnce(ResponseOutcome)>;

pub struct ClientSide {
    parts: mpsc::Receiver<ResponsePart>,
    observer: Option<Observer>,
}

impl ClientSide {
    /// An answer that is a refusal from the start.
    pub fn rejected(after: Duration) -> Self {
        ClientSide::with_only_part(ResponsePart::Rejected(after))
    }

    pub fn failed(why: Failure) -> Self {
        ClientSide::with_only_part(ResponsePart::Failed(why))
    }

    fn with_only_part(piece: ResponsePart) -> Self {
        let (tx, pieces) = mpsc::channel(1);
        let _ = tx.try_send(piece);
        ClientSide { parts: pieces, observer: None }
    }

    /// Has this called once, when the answer ends.
    pub fn observe(&mut self, observer: impl FnOnce(ResponseOutcome) + 'static) {
        self.observer = Some(Box::new(observer));
    }

    /// The next piece; `None` where the answer broke off.
    pub fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<ResponsePart>> {
        let piece = ready!(self.parts.poll_recv(cx));
        let ended = match &piece {
            Some(ResponsePart::End | ResponsePart::HandedOver(_)) => Some(ResponseOutcome::Completed),
            Some(ResponsePart::Rejected(_)) => Some(ResponseOutcome::Rejected),
            Some(ResponsePart::Failed(_)) => Some(ResponseOutcome::Failed),
            None => Some(ResponseOutcome::Aborted),
            _ => None,
        };
        if let Some(ended) = ended {
            self.notify_observer(ended);
        }
        Poll::Ready(piece)
    }

    pub async fn next_part(&mut self) -> Option<ResponsePart> {
        poll_fn(|cx| self.poll_part(cx)).await
    }

    fn notify_observer(&mut self, ended: ResponseOutcome) {
        if let Some(observer) = self.observer.take() {
            observer(ended);
        }
    }
}

impl Drop for ClientSide {
    fn drop(&mut self) {
        self.notify_observer(ResponseOutcome::Aborted);
    }
}

pub struct ServerSide {
    pub request: Request,
    pub parts: mpsc::Sender<ResponsePart>,
}

/// The two ends of an answer alone, for one that another process began.
pub fn response_channel() -> (ClientSide, mpsc::Sender<ResponsePart>) {
    let (tx, pieces) = mpsc::channel(MAX_QUEUED_PARTS);
    (ClientSide { parts: pieces, observer: None }, tx)
}

pub fn exchange_pair(request: Request) -> (ClientSide, ServerSide) {
    let (client, pieces) = response_channel();
    (client, ServerSide { request, parts: pieces })
}
