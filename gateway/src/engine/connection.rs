//! One connection to a server, with what hyper does not report: how much of a request was written, and whether the server
//! has closed the connection while it was idle.

use std::cell::Cell;
use std::io;
use std::net::Shutdown;
use std::os::fd::AsFd;
use std::rc::Rc;

use bytes::Bytes;
use glenrail_request_lifecycle::evidence::Observation;
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

use super::body_tap::BodyTap;
use super::closing::{ClosingConnection, ClosingSender};
use super::response_reader::ResponseReader;
use super::write_gate::WriteGate;
use crate::counted_socket::CountedSocket;
use crate::exchange::{CancelToken, StreamRemainder};
use crate::log;

/// Most bytes read at once, more than the largest head. A part of a stream is not larger, unless one event is: hyper's own
/// limit of 400 kB, times the parts that are queued for a slow client, was 7 MB a stream.
const READ_BUFFER: usize = 32 << 10;

/// Why a request got no response.
pub enum SendFailure {
    /// Not a byte was written: another connection may carry the same request.
    Replace,
    /// Not a byte was written, and none may be.
    Withheld,
    /// The request was not written completely, so it never ran.
    NeverRan,
    /// The request may have run.
    MayHaveRun(hyper::Error),
}

/// Where a connection leads.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Peer {
    /// Host and port.
    pub address: String,
    /// When the server had last started, by the list of that time; Unix milliseconds.
    pub started_ms: u64,
}

/// A connection to a server; dropping it closes it.
pub struct Connection {
    /// Where it leads.
    pub peer: Peer,
    /// When it was opened.
    pub opened: Instant,
    /// When it last carried a complete response; before the first one, when it was opened.
    pub last_answer: Instant,
    machine: server::Connection,
    /// hyper's end, for requests.
    pub sender: SendRequest<Full<Bytes>>,
    socket: CountedSocket,
    gate: Rc<WriteGate>,
    awaiting_head: Rc<Cell<bool>>,
    /// The body of the current response, as it is read.
    pub tap: Rc<BodyTap>,
    task: AbortHandle,
    slot: Option<OwnedSemaphorePermit>,
    /// The attempt that was written last; it is told when its server has ended the connection.
    attempt: Option<CancelToken>,
    /// Takes the connection where an attempt on it is cut off.
    closing: ClosingSender,
}

impl Connection {
    /// Opens a connection, which occupies the slot for as long as it is open.
    pub async fn open(
        peer: Peer, slot: OwnedSemaphorePermit, closing: ClosingSender,
    ) -> io::Result<Connection> {
        let socket = TcpStream::connect(&peer.address).await?;
        socket.set_nodelay(true)?;
        let socket = CountedSocket::new(socket);
        let awaiting_head = Rc::new(Cell::new(false));
        let gate = Rc::new(WriteGate::default());
        let tap = Rc::new(BodyTap::default());
        let reader = ResponseReader::new(socket.clone(), gate.clone(), awaiting_head.clone(), tap.clone());
        let handshake = Builder::new().max_buf_size(READ_BUFFER).handshake(TokioIo::new(reader));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let task = spawn_local(async move {
            // The task that awaits the response gets the error.
            let _ = connection.await;
        });
        let mut machine = server::Connection::default();
        step(&mut machine, Input::Connected);
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
            tap,
            task,
            slot,
            attempt,
            closing,
        })
    }

    /// Whether a request may be written; `may_receive`: whether the server may receive it now.
    pub fn may_write(&mut self, may_receive: bool) -> bool {
        step(&mut self.machine, Input::Send { serving: may_receive }) == Effect::Write
    }

    /// Sends a request, if `is_clear` when its first byte is written; its response is the next thing that the server may
    /// send.
    pub async fn send(
        &mut self, request: Request<Bytes>, is_clear: impl Fn() -> bool + 'static,
    ) -> Result<Response<Incoming>, SendFailure> {
        let (written_before, length) = (self.socket.written(), encoded_length(&request));
        self.gate.arm(is_clear);
        self.awaiting_head.set(true);
        let response = self.sender.send_request(request.map(Full::new)).await;
        let written = self.socket.written() - written_before;
        if written > 0 {
            let input = if written < length { Input::BytesWritten } else { Input::LastByteWritten };
            step(&mut self.machine, input);
        }
        let error = match response {
            Ok(response) => {
                step(&mut self.machine, Input::HeadReceived);
                return Ok(response);
            }
            Err(error) => error,
        };
        let effect = step(&mut self.machine, Input::Broken);
        if self.gate.has_blocked() {
            return Err(SendFailure::Withheld);
        }
        Err(match effect {
            Effect::Replace => SendFailure::Replace,
            Effect::NeverRan => SendFailure::NeverRan,
            _ => {
                if let Some(attempt) = &self.attempt {
                    attempt.note(observation(&error));
                }
                SendFailure::MayHaveRun(error)
            }
        })
    }

    /// The current response is complete; returns whether the connection may be reused.
    pub fn finish_response(&mut self, is_serving: bool) -> bool {
        if !is_serving {
            step(&mut self.machine, Input::Drained);
        }
        self.attempt = None;
        self.last_answer = Instant::now();
        step(&mut self.machine, Input::ResponseComplete) == Effect::Reuse
    }

    /// Notes the attempt that is written next.
    pub fn carry(&mut self, attempt: &CancelToken) {
        attempt.set_server_address(&self.peer.address);
        attempt.set_connection_opened_at(self.opened);
        self.attempt = Some(attempt.clone());
    }

    /// The stream of the attempt has begun: nothing that its server does for it later has to be known.
    pub fn begin_stream(&mut self) {
        self.attempt = None;
    }

    /// Adds one to `count` when the request that is sent next has been handed to the kernel completely.
    pub fn count_when_written(&self, request: &Request<Bytes>, count: Rc<Cell<u64>>) {
        self.socket.count_after(encoded_length(request), count);
    }

    /// Hands the connection over as it is; nothing more is read of it here.
    pub fn into_remainder(mut self) -> io::Result<StreamRemainder> {
        let socket = self.socket.socket.as_fd().try_clone_to_owned()?;
        step(&mut self.machine, Input::ReadPaused);
        Ok(StreamRemainder { socket: socket.into(), read_ahead: self.tap.read_ahead.take() })
    }

    /// Whether an idle connection can still be used: neither closed nor with bytes that no request was sent for.
    pub fn is_usable(&mut self) -> bool {
        let is_usable = self.socket.is_quiet() && self.sender.is_ready();
        if !is_usable {
            step(&mut self.machine, Input::Broken);
        }
        is_usable
    }
}

/// What a failed response shows of the connection.
fn observation(error: &hyper::Error) -> Observation {
    if error.is_incomplete_message() {
        Observation::ServerClose
    } else if error.is_parse() {
        Observation::ResponseOnConnection
    } else {
        Observation::Reset
    }
}

/// Feeds the machine. An input that it calls impossible is logged, and has the caller close the connection.
fn step(machine: &mut server::Connection, input: Input) -> Effect {
    machine.step(input).unwrap_or_else(|invalid| {
        log!("{invalid}");
        Effect::Close
    })
}

/// A connection that is dropped is closed at once, whatever it carries: so an attempt is cancelled. The socket itself is
/// shut down here, since its task ends only when it runs next, and the next attempt of the request must not find this one
/// still open. Where an attempt is cut off, only the sending ends: the server's own end shows that it has noticed.
impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
        let is_cut = matches!(self.machine.stage(), Stage::Writing | Stage::AwaitingHead | Stage::Streaming);
        let cut_attempt = self.attempt.take().filter(|attempt| is_cut && attempt.is_written());
        let how = match (self.machine.stage(), &cut_attempt) {
            (Stage::HandedOver, _) => return,
            (_, Some(_)) => Shutdown::Write,
            (_, None) => Shutdown::Both,
        };
        let is_open = SockRef::from(&*self.socket.socket).shutdown(how).is_ok();
        let Some((attempt, slot)) = cut_attempt.zip(self.slot.take()) else { return };
        if !is_open {
            // The other side has reset it, and nobody has read that yet.
            return attempt.note(Observation::Reset);
        }
        let socket = self.socket.socket.clone();
        // An engine that has ended waits for nothing.
        let _ = self.closing.send(ClosingConnection { socket, attempt, slot });
    }
}

/// Bytes of a request on a connection, as hyper writes it; a test compares this with what it does write.
pub fn encoded_length(request: &Request<Bytes>) -> u64 {
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let line = request.method().as_str().len() + 1 + target + " HTTP/1.1\r\n".len();
    let mut headers = 0;
    for (name, value) in request.headers() {
        headers += name.as_str().len() + ": ".len() + value.len() + "\r\n".len();
    }
    (line + headers + "\r\n".len() + request.body().len()) as u64
}
