//! One connection to a server, with what hyper does not tell: how much of a request was written, and whether
//! the other side has closed it while it stood idle.

use std::cell::Cell;
use std::io;
use std::os::fd::AsFd;
use std::rc::Rc;

use bytes::Bytes;
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

use super::response_reader::{Gate, ResponseReader, Tap};
use crate::counted_socket::CountedSocket;
use crate::exchange::StreamRemainder;
use crate::log;

/// Most bytes read at once, more than the largest head. A piece of a stream is not larger, unless one event is: hyper's own
/// bound of 400 kB, times the pieces that wait for a slow client, was 7 MB a stream.
const READ: usize = 32 << 10;

/// How a request that got no answer ended.
pub enum Verdict {
    /// Not a byte went out: another connection may carry the same attempt.
    Replace,
    /// Not a byte went out, and none may.
    KeptBack,
    NeverRan,
    MayHaveRun(hyper::Error),
}

/// Where a connection leads: the address, and the start of the server that the list gave for it then.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Peer {
    pub dial: String,
    pub born: u64,
}

pub struct Connection {
    pub peer: Peer,
    machine: server::Connection,
    pub sender: SendRequest<Full<Bytes>>,
    wire: CountedSocket,
    gate: Rc<Gate>,
    awaited: Rc<Cell<bool>>,
    /// The body of the answer under way, as it is read.
    pub tap: Rc<Tap>,
    task: AbortHandle,
    _slot: OwnedSemaphorePermit,
}

impl Connection {
    pub async fn open(peer: Peer, slot: OwnedSemaphorePermit) -> io::Result<Connection> {
        let socket = TcpStream::connect(&peer.dial).await?;
        socket.set_nodelay(true)?;
        let (wire, awaited) = (CountedSocket::new(socket), Rc::new(Cell::new(false)));
        let (gate, tap) = (Rc::new(Gate::default()), Rc::new(Tap::default()));
        let inlet = ResponseReader::new(wire.clone(), gate.clone(), awaited.clone(), tap.clone());
        let (sender, connection) = Builder::new()
            .max_buf_size(READ)
            .handshake(TokioIo::new(inlet))
            .await
            .map_err(io::Error::other)?;
        let task = spawn_local(async move {
            // Whoever waits for the answer is told of the error.
            let _ = connection.await;
        });
        let mut machine = server::Connection::default();
        step(&mut machine, Input::Connected);
        let task = task.abort_handle();
        Ok(Connection { peer, machine, sender, wire, gate, awaited, tap, task, _slot: slot })
    }

    /// Whether a request may be written; `serving`: its server may get something new at this moment.
    pub fn may_write(&mut self, serving: bool) -> bool {
        step(&mut self.machine, Input::Send { serving }) == Effect::Write
    }

    /// Sends a request, if it is `clear` to be sent as its first byte goes out; its answer is the next thing that the
    /// server may say.
    pub async fn send(
        &mut self, request: Request<Bytes>, clear: impl Fn() -> bool + 'static,
    ) -> Result<Response<Incoming>, Verdict> {
        let (before, length) = (self.wire.written(), length(&request));
        self.gate.set(clear);
        self.awaited.set(true);
        let answer = self.sender.send_request(request.map(Full::new)).await;
        let out = self.wire.written() - before;
        if out > 0 {
            step(&mut self.machine, if out < length { Input::BytesWritten } else { Input::LastByteWritten });
        }
        let e = match answer {
            Ok(response) => {
                step(&mut self.machine, Input::HeadReceived);
                return Ok(response);
            }
            Err(e) => e,
        };
        Err(match step(&mut self.machine, Input::Broken) {
            _ if self.gate.kept_back() => Verdict::KeptBack,
            Effect::Replace => Verdict::Replace,
            Effect::NeverRan => Verdict::NeverRan,
            _ => Verdict::MayHaveRun(e),
        })
    }

    /// Its answer has come to its end: whether it may be kept for the next request.
    pub fn ended(&mut self, serving: bool) -> bool {
        if !serving {
            step(&mut self.machine, Input::Drained);
        }
        step(&mut self.machine, Input::ResponseComplete) == Effect::Reuse
    }

    /// Counts one when the request that is sent next has been handed to the machine whole.
    pub fn count_whole(&self, request: &Request<Bytes>, count: Rc<Cell<u64>>) {
        self.wire.count_after(length(request), count);
    }

    /// Gives the connection away as it stands; nothing is read of it here any more.
    pub fn release(mut self) -> io::Result<StreamRemainder> {
        let socket = self.wire.socket.as_fd().try_clone_to_owned()?;
        step(&mut self.machine, Input::ReadPaused);
        Ok(StreamRemainder { socket: socket.into(), read_ahead: self.tap.ahead.take() })
    }

    /// Whether an idle connection can still be used: neither closed nor holding bytes that nobody asked for.
    pub fn lives(&mut self) -> bool {
        let lives = self.wire.is_quiet() && self.sender.is_ready();
        if !lives {
            step(&mut self.machine, Input::Broken);
        }
        lives
    }
}

/// Feeds the machine. What it says is impossible is told, and closes the connection by whoever asked.
fn step(machine: &mut server::Connection, input: Input) -> Effect {
    machine.step(input).unwrap_or_else(|e| {
        log!("{e}");
        Effect::Close
    })
}

/// A connection that is dropped is closed at once, whatever was under way on it: so an attempt is given up.
/// The socket itself is shut here, since its task ends only at its next turn, and the next attempt of the request
/// must not find this one still open.
impl Drop for Connection {
    fn drop(&mut self) {
        if self.machine.stage() != Stage::HandedOver {
            let _ = SockRef::from(&*self.wire.socket).shutdown(std::net::Shutdown::Both);
        }
        self.task.abort();
    }
}

/// Bytes that a request takes on a connection, as hyper writes it; a test holds this to what it does write.
pub fn length(request: &Request<Bytes>) -> u64 {
    let target = request.uri().path_and_query().map_or(1, |p| p.as_str().len());
    let line = request.method().as_str().len() + 1 + target + " HTTP/1.1\r\n".len();
    let headers = request.headers().iter().map(|(n, v)| n.as_str().len() + 2 + v.len() + 2).sum::<usize>();
    (line + headers + 2 + request.body().len()) as u64
}
