//! Connection to a server. It tracks what hyper does not report: how much of a request was written, and whether the
//! server closed the connection while it was idle.

use std::cell::Cell;
use std::io;
use std::net::Shutdown;
use std::os::fd::AsFd;
use std::rc::Rc;

use bytes::Bytes;
use glenrail_request_lifecycle::evidence::Observation;
use glenrail_request_lifecycle::response_timing::{Expiry, ResponseLimits};
use glenrail_request_lifecycle::server::{self, Effect, Input, Stage};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;

use super::body_read_state::BodyReadState;
use super::closing::{ClosingConnection, ClosingSender};
use super::response_reader::ResponseReader;
use super::write_gate::WriteGate;
use crate::counted_socket::CountedSocket;
use crate::exchange::{CancelToken, StreamRemainder};
use crate::log;
use crate::response_clock::ResponseClock;

/// Maximum number of bytes that hyper reads at once; larger than the largest response head.
///
/// This also limits the parts of a stream, unless a single event is larger. With hyper's default of 400 kB, the parts
/// queued for a slow client took 7 MB per stream.
const READ_BUFFER_BYTES: usize = 32 << 10;

/// Why a request got no response.
pub enum SendFailure {
    /// No byte was written; the request may be sent on another connection.
    Replace,
    /// No byte was written, and the request must not be sent.
    Withheld,
    /// The request was written only in part, so the server never ran it.
    NeverRan,
    /// The response began and did not go on within its time limit. The server may have run the request.
    Expired(Expiry),
    /// The server may have run the request; the error is that of the response.
    MayHaveRun(hyper::Error),
}

/// Remote end of a connection.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Peer {
    /// Host and port.
    pub address: String,
    /// When the server last started, as listed when the connection was opened; Unix milliseconds.
    pub started_ms: u64,
}

/// A connection to a server, closed on drop.
pub struct Connection {
    /// Server address and start time for which it was opened.
    pub peer: Peer,
    /// When the connection was established.
    pub opened: Instant,
    /// When the last complete response was received; the time of opening before the first one.
    pub last_answer: Instant,
    machine: server::Connection,
    /// hyper's handle for sending requests.
    pub sender: SendRequest<Full<Bytes>>,
    socket: CountedSocket,
    gate: Rc<WriteGate>,
    awaiting_head: Rc<Cell<bool>>,
    /// Read state of the current response's body.
    pub body_state: Rc<BodyReadState>,
    /// Time limits of the current response.
    pub clock: ResponseClock,
    task: AbortHandle,
    slot: Option<OwnedSemaphorePermit>,
    /// Token of the attempt in progress; `None` once its stream has begun. Observations of this connection
    /// are recorded in it as evidence about the server's work.
    attempt: Option<CancelToken>,
    /// Receives the connection if it is dropped during an attempt.
    closing: ClosingSender,
}

impl Connection {
    /// Opens a connection. It occupies `slot` for as long as it is open.
    pub async fn open(
        peer: Peer, slot: OwnedSemaphorePermit, closing: ClosingSender,
    ) -> io::Result<Connection> {
        let socket = TcpStream::connect(&peer.address).await?;
        socket.set_nodelay(true)?;
        let socket = CountedSocket::new(socket);
        let awaiting_head = Rc::new(Cell::new(false));
        let gate = Rc::new(WriteGate::default());
        let body_state = Rc::new(BodyReadState::default());
        let clock = ResponseClock::new();
        let reader = ResponseReader::new(
            socket.clone(),
            gate.clone(),
            awaiting_head.clone(),
            body_state.clone(),
            clock.clone(),
        );
        let handshake = Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(TokioIo::new(reader));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let task = spawn_local(async move {
            // The error is also returned to the task that awaits the response.
            let _ = connection.await;
        });
        let mut machine = server::Connection::default();
        apply_input(&mut machine, Input::Connected);
        let (task, slot) = (task.abort_handle(), Some(slot));
        let (attempt, opened) = (None, Instant::now());
        Ok(Connection {
            peer,
            opened,
            last_answer: opened,
            machine,
            sender,
            socket,
            gate,
            awaiting_head,
            body_state,
            clock,
            task,
            slot,
            attempt,
            closing,
        })
    }

    /// Returns whether a request may be written now. `may_receive` states whether the server may receive it.
    pub fn may_write(&mut self, may_receive: bool) -> bool {
        apply_input(&mut self.machine, Input::Send { serving: may_receive }) == Effect::Write
    }

    /// Sends a request and waits for the head of its response. The request is withheld if `is_permitted` returns false
    /// when its first byte is about to be written, and fails if the server sends anything before that.
    pub async fn send(
        &mut self, request: Request<Bytes>, limits: ResponseLimits, is_permitted: impl Fn() -> bool + 'static,
    ) -> Result<Response<Incoming>, SendFailure> {
        let (written_before, length) = (self.socket.written(), encoded_length(&request));
        self.gate.arm(is_permitted);
        self.awaiting_head.set(true);
        self.clock.begin(limits);
        let response = tokio::select! {
            biased;
            response = self.sender.send_request(request.map(Full::new)) => response,
            // The connection is dropped in the middle of its attempt, like one whose attempt is cancelled.
            expiry = self.clock.expired() => return Err(SendFailure::Expired(expiry)),
        };
        let written = self.socket.written() - written_before;
        if written > 0 {
            let input = if written < length { Input::BytesWritten } else { Input::LastByteWritten };
            apply_input(&mut self.machine, input);
        }
        let error = match response {
            Ok(response) => {
                apply_input(&mut self.machine, Input::HeadReceived);
                return Ok(response);
            }
            Err(error) => error,
        };
        let effect = apply_input(&mut self.machine, Input::Broken);
        if self.gate.has_blocked() {
            return Err(SendFailure::Withheld);
        }
        Err(match effect {
            Effect::Replace => SendFailure::Replace,
            Effect::NeverRan => SendFailure::NeverRan,
            _ => {
                if let Some(attempt) = &self.attempt {
                    attempt.record_observation(observation_from_error(&error));
                }
                SendFailure::MayHaveRun(error)
            }
        })
    }

    /// Records that the current response is complete, and returns whether the connection may be reused.
    pub fn finish_response(&mut self, is_serving: bool) -> bool {
        if !is_serving {
            apply_input(&mut self.machine, Input::Drained);
        }
        self.attempt = None;
        self.last_answer = Instant::now();
        apply_input(&mut self.machine, Input::ResponseComplete) == Effect::Reuse
    }

    /// Sets the attempt that is written next, and records this connection in its token.
    pub fn set_attempt(&mut self, attempt: &CancelToken) {
        attempt.set_server_address(&self.peer.address);
        attempt.set_connection_opened_at(self.opened);
        self.attempt = Some(attempt.clone());
    }

    /// Records that the attempt's stream has begun. From then on its token needs no further observations.
    pub fn begin_stream(&mut self) {
        self.attempt = None;
    }

    /// Increments `count` once the request that is sent next has been handed to the kernel completely.
    pub fn count_when_written(&self, request: &Request<Bytes>, count: Rc<Cell<u64>>) {
        self.socket.increment_after(encoded_length(request), count);
    }

    /// Converts the connection for handover to the successor process; this process reads nothing more from it.
    pub fn into_remainder(mut self) -> io::Result<StreamRemainder> {
        let socket = self.socket.socket.as_fd().try_clone_to_owned()?;
        apply_input(&mut self.machine, Input::ReadPaused);
        Ok(StreamRemainder {
            socket: socket.into(),
            read_ahead: self.body_state.read_ahead.take(),
            last_event: None,
            id_hold: None,
        })
    }

    /// Returns whether an idle connection can still be used. It cannot if it is closed or has received unsolicited bytes.
    pub fn is_usable(&mut self) -> bool {
        let is_usable = self.socket.read_would_block() && self.sender.is_ready();
        if !is_usable {
            apply_input(&mut self.machine, Input::Broken);
        }
        is_usable
    }
}

/// Returns the observation that a failed response allows about its connection.
fn observation_from_error(error: &hyper::Error) -> Observation {
    if error.is_incomplete_message() {
        Observation::ServerClose
    } else if error.is_parse() {
        Observation::ResponseOnConnection
    } else {
        Observation::Reset
    }
}

/// Applies an input to the state machine. An invalid input is logged, and the returned effect closes the connection.
fn apply_input(machine: &mut server::Connection, input: Input) -> Effect {
    machine.step(input).unwrap_or_else(|invalid| {
        log!("{invalid}");
        Effect::Close
    })
}

/// Closes the connection unless it was handed over. This cancels an attempt in progress.
///
/// The socket is shut down here because the connection's task ends only when it is next scheduled, and the
/// request's next attempt must not begin while this connection is open. If a written attempt is interrupted
/// before its stream begins, only the sending direction is shut down: the server's own close then shows that
/// it has noticed.
impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
        let is_interrupted =
            matches!(self.machine.stage(), Stage::Writing | Stage::AwaitingHead | Stage::Streaming);
        let interrupted_attempt =
            self.attempt.take().filter(|attempt| is_interrupted && attempt.is_written());
        let direction = match (self.machine.stage(), &interrupted_attempt) {
            (Stage::HandedOver, _) => return,
            (_, Some(_)) => Shutdown::Write,
            (_, None) => Shutdown::Both,
        };
        let is_open = SockRef::from(&*self.socket.socket).shutdown(direction).is_ok();
        let Some((attempt, slot)) = interrupted_attempt.zip(self.slot.take()) else { return };
        if !is_open {
            // The connection was reset, and the error has not been read yet.
            return attempt.record_observation(Observation::Reset);
        }
        let socket = self.socket.socket.clone();
        // Sending fails only if the receiving task has ended with the engine; the connection is then closed at once.
        let _ = self.closing.send(ClosingConnection { socket, attempt, slot });
    }
}

/// Returns the size in bytes of a request as hyper encodes it. A test compares it with the bytes that hyper writes.
pub fn encoded_length(request: &Request<Bytes>) -> u64 {
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let line = request.method().as_str().len() + 1 + target + " HTTP/1.1\r\n".len();
    let mut headers = 0;
    for (name, value) in request.headers() {
        headers += name.as_str().len() + ": ".len() + value.len() + "\r\n".len();
    }
    (line + headers + "\r\n".len() + request.body().len()) as u64
}
