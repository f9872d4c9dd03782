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
const PIECES: usize = 8;

/// What is passed on unchanged to whichever server is tried.
#[derive(Debug, Default)]
pub struct Payload {
    /// The request's name outside this process.
    pub name: String,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// The answer is one document: it begins only once all of it is there, so a break can still be repeated.
    pub whole: bool,
}

/// A request as the core takes it: the fields that decisions need, and the bytes.
#[derive(Debug)]
pub struct Request {
    /// Its `id` is given by the core.
    pub ask: glenrail_router::Request,
    pub arrived: Instant,
    pub payload: Rc<Payload>,
}

/// Whether anybody still waits for an answer, asked in the moment before something is begun for it: the task that hears of
/// a client's going may have its turn only after the one that begins, and not every deployment lets attempts be called back.
#[derive(Clone, Debug, Default)]
pub struct Wanted {
    pieces: Option<mpsc::WeakSender<Piece>>,
    written: Rc<watch::Sender<Option<Instant>>>,
}

impl Wanted {
    pub fn of(pieces: &mpsc::Sender<Piece>) -> Self {
        Wanted { pieces: Some(pieces.downgrade()), written: Rc::default() }
    }

    /// Nobody does once the client's side is dropped, or the answer was given.
    pub fn still(&self) -> bool {
        let Some(pieces) = &self.pieces else { return true };
        pieces.upgrade().is_some_and(|pieces| !pieces.is_closed())
    }

    /// Whether a byte of its attempt is out, or about to be: one given up before that never was at its server.
    pub fn out(&self) -> bool {
        self.written().is_some()
    }

    /// When its first byte went out.
    pub fn written(&self) -> Option<Instant> {
        *self.written.borrow()
    }

    /// Until its first byte has gone out; gives when that was.
    pub async fn goes(&self) -> Instant {
        loop {
            if let Some(written) = self.written() {
                return written;
            }
            if self.written.subscribe().changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    pub fn goes_out(&self, out: bool) {
        self.written.send_replace(out.then(Instant::now));
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    pub status: StatusCode,
    pub headers: HeaderMap,
}

/// Why a request failed for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Its time ran out.
    Deadline,
    /// The servers tried did not answer it.
    Upstream,
    /// A server says that the fault is the request's own.
    Unfit,
    /// A request of this name is open.
    NameTaken,
}

/// The rest of an answer, for another process to go on with: the server's connection, between two chunks of its body,
/// and what has been read of it beyond that.
#[derive(Debug)]
pub struct Rest {
    pub socket: TcpStream,
    pub ahead: Vec<u8>,
}

/// The same connection at the same place.
impl PartialEq for Rest {
    fn eq(&self, other: &Self) -> bool {
        self.socket.as_raw_fd() == other.socket.as_raw_fd() && self.ahead == other.ahead
    }
}

#[derive(Debug, PartialEq)]
pub enum Piece {
    Begin(Head, Bytes),
    Chunk(Bytes),
    End,
    /// Another process goes on from here.
    Moved(Rest),
    /// Final: trying again is harmless, after this time.
    Refused(Duration),
    /// Final, promising nothing.
    Failed(Failure),
}

/// How an answer ended, for whoever watches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// To its end, or to where another process went on.
    Served,
    Refused,
    Failed,
    /// The stream broke, or the client went away.
    Cut,
}

type Observer = Box<dyn FnOnce(Ended)>;

pub struct ClientSide {
    pieces: mpsc::Receiver<Piece>,
    observer: Option<Observer>,
}

impl ClientSide {
    /// An answer that is a refusal from the start.
    pub fn refused(after: Duration) -> Self {
        ClientSide::answered(Piece::Refused(after))
    }

    pub fn failed(why: Failure) -> Self {
        ClientSide::answered(Piece::Failed(why))
    }

    fn answered(piece: Piece) -> Self {
        let (tx, pieces) = mpsc::channel(1);
        let _ = tx.try_send(piece);
        ClientSide { pieces, observer: None }
    }

    /// Has this called once, when the answer ends.
    pub fn observe(&mut self, observer: impl FnOnce(Ended) + 'static) {
        self.observer = Some(Box::new(observer));
    }

    /// The next piece; `None` where the answer broke off.
    pub fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Option<Piece>> {
        let piece = ready!(self.pieces.poll_recv(cx));
        let ended = match &piece {
            Some(Piece::End | Piece::Moved(_)) => Some(Ended::Served),
            Some(Piece::Refused(_)) => Some(Ended::Refused),
            Some(Piece::Failed(_)) => Some(Ended::Failed),
            None => Some(Ended::Cut),
            _ => None,
        };
        if let Some(ended) = ended {
            self.tell(ended);
        }
        Poll::Ready(piece)
    }

    pub async fn piece(&mut self) -> Option<Piece> {
        poll_fn(|cx| self.poll_piece(cx)).await
    }

    fn tell(&mut self, ended: Ended) {
        if let Some(observer) = self.observer.take() {
            observer(ended);
        }
    }
}

impl Drop for ClientSide {
    fn drop(&mut self) {
        self.tell(Ended::Cut);
    }
}

pub struct ServerSide {
    pub request: Request,
    pub pieces: mpsc::Sender<Piece>,
}

/// The two ends of an answer alone, for one that another process began.
pub fn answer() -> (ClientSide, mpsc::Sender<Piece>) {
    let (tx, pieces) = mpsc::channel(PIECES);
    (ClientSide { pieces, observer: None }, tx)
}

pub fn pair(request: Request) -> (ClientSide, ServerSide) {
    let (client, pieces) = answer();
    (client, ServerSide { request, pieces })
}
