//! Stand-in servers in the process of the run, so that what they have written is known when an answer is judged.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::pace::{self, Pace, Part, Step, Writer};
use crate::clock::{self, Micros};
use crate::engine::Role;

/// Size of the receive buffer of a server's sockets; a server that reads slowly holds up what exceeds it.
const RECEIVE_BUFFER_BYTES: usize = 8 << 10;
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Share of the requests that a server reads slowly, and the pause after each part that it reads.
const SLOW_READ_SHARE: f64 = 0.2;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(20);
const NO_CONTENT: &str = "HTTP/1.1 204 No Content\r\n\r\n";
const LOAD: &str = "HTTP/1.1 200 OK\r\ncontent-length: 24\r\n\r\nTEXT inflight=1, x0=0.10";

/// A piece that a server has written, with the times before and after the write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WrittenPiece {
    pub part: Part,
    pub before: Micros,
    pub after: Micros,
}

/// What a decode server has written of one attempt's answer.
#[derive(Clone, Debug)]
pub struct WrittenAnswer {
    pub pace: Pace,
    pub pieces: Vec<WrittenPiece>,
}

impl WrittenAnswer {
    /// Returns the first piece that is malformed.
    pub fn malformed(&self) -> Option<WrittenPiece> {
        self.pieces.iter().copied().find(|piece| piece.part == Part::Malformed)
    }

    /// Returns the last piece of these parts that was written by `until`.
    pub fn last(&self, until: Micros, parts: &[Part]) -> Option<WrittenPiece> {
        let pieces = self.pieces.iter().rev();
        pieces.copied().find(|piece| piece.after <= until && parts.contains(&piece.part))
    }
}

/// What all decode servers have written, by request and attempt.
#[derive(Clone, Debug, Default)]
pub struct WrittenAnswers(Arc<Mutex<HashMap<String, Vec<WrittenAnswer>>>>);

impl WrittenAnswers {
    fn lock(&self) -> MutexGuard<'_, HashMap<String, Vec<WrittenAnswer>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin(&self, request: &str, pace: Pace) -> usize {
        let mut answers = self.lock();
        let attempts = answers.entry(request.to_string()).or_default();
        attempts.push(WrittenAnswer { pace, pieces: Vec::new() });
        attempts.len() - 1
    }

    fn add(&self, request: &str, attempt: usize, piece: WrittenPiece) {
        if let Some(answer) = self.lock().get_mut(request).and_then(|attempts| attempts.get_mut(attempt)) {
            answer.pieces.push(piece);
        }
    }

    /// Returns the answers to the attempts of a request, in the order of their beginning.
    pub fn of(&self, request: &str) -> Vec<WrittenAnswer> {
        self.lock().get(request).cloned().unwrap_or_default()
    }
}

/// A stand-in server.
#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub role: Role,
    pub address: SocketAddr,
    answers: WrittenAnswers,
    seed: u64,
}

/// One request, as far as a server needs it.
struct ReceivedRequest {
    line: String,
    id: Option<String>,
}

impl Server {
    /// Starts a server that serves until the runtime ends. Its answers follow from the seed and the id of their request.
    pub fn start(name: String, role: Role, seed: u64, answers: WrittenAnswers) -> io::Result<Server> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        socket.listen(128)?;
        socket.set_nonblocking(true)?;
        let listener = TcpListener::from_std(socket.into())?;
        let server = Server { name, role, address: listener.local_addr()?, answers, seed };
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let server = accepting.clone();
                tokio::spawn(async move {
                    // An error means that the gateway has closed the connection.
                    let _ = server.serve(socket).await;
                });
            }
        });
        Ok(server)
    }

    /// Returns the source of the choices about one request.
    fn random(&self, request: &str) -> StdRng {
        let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        StdRng::seed_from_u64(request.bytes().chain(self.name.bytes()).fold(self.seed, mix))
    }

    async fn serve(&self, mut socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(request) = self.receive(&mut socket, &mut buffer).await? {
            match (&request.id, request.line.starts_with("DELETE")) {
                (_, true) => socket.write_all(NO_CONTENT.as_bytes()).await?,
                (None, false) => socket.write_all(LOAD.as_bytes()).await?,
                (Some(id), false) => self.answer(&mut socket, id).await?,
            }
        }
        Ok(())
    }

    /// Receives a request with its body; `None` at the end of the connection.
    async fn receive(
        &self, socket: &mut TcpStream, buffer: &mut Vec<u8>,
    ) -> io::Result<Option<ReceivedRequest>> {
        let head_end = loop {
            if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break at + 4;
            }
            if buffer.len() > MAX_HEAD_BYTES || socket.read_buf(buffer).await? == 0 {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
        let value = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(':'));
            lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim().to_string())
        };
        let id = value("req-id");
        let length: usize = value("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        let is_slow =
            id.as_ref().is_some_and(|id| self.random(id).random_bool(SLOW_READ_SHARE)) && length > 0;
        while buffer.len() < head_end + length {
            if is_slow {
                sleep(SLOW_READ_PAUSE).await;
            }
            if socket.read_buf(buffer).await? == 0 {
                return Ok(None);
            }
        }
        buffer.drain(..head_end + length);
        Ok(Some(ReceivedRequest { line: head.lines().next().unwrap_or_default().to_string(), id }))
    }

    async fn answer(&self, socket: &mut TcpStream, id: &str) -> io::Result<()> {
        let mut random = self.random(id);
        if self.role == Role::Prefill {
            let steps = Writer::new(&mut random).prefill();
            return play(socket, steps, |_| {}).await;
        }
        let pace = pace::draw(&mut random);
        let steps = Writer::new(&mut random).decode(pace);
        let attempt = self.answers.begin(id, pace);
        play(socket, steps, |piece| self.answers.add(id, attempt, piece)).await
    }
}

/// Performs the steps of an answer, and reports each piece that was written.
async fn play(socket: &mut TcpStream, steps: Vec<Step>, written: impl Fn(WrittenPiece)) -> io::Result<()> {
    for step in steps {
        match step {
            Step::Pause(pause) => sleep(pause).await,
            Step::Write(bytes, part) => {
                let before = clock::now();
                socket.write_all(&bytes).await?;
                written(WrittenPiece { part, before, after: clock::now() });
            }
        }
    }
    Ok(())
}
