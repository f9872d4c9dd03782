//! Engines that run on threads of their own and say what a test has written out, byte by byte.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use glenrail_socket_diagnosis::{query_connection, ConnectionState};
use socket2::SockRef;

use super::checks::{is_check, note_attempt};
use super::member::wait;

pub const READ: &str = "HTTP/1.1 202 Accepted\r\ncontent-length: 19\r\n\r\n{\"cached_tokens\":4}";
pub const DECLINED: &str = "HTTP/1.1 503 Full\r\nsrv-declined: 1\r\ncontent-length: 0\r\n\r\n";
pub const EMPTY: &str = "HTTP/1.1 204 No Content\r\n\r\n";
pub const EVENTS: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
    9\r\ndata: a\n\n\r\n0\r\n\r\n";

/// What an engine says to a request, and what becomes of the connection.
pub enum Says {
    All(Vec<u8>),
    /// It ends right behind.
    Ends(Vec<u8>),
    /// It is reset once all of this has come to the other machine.
    Resets(Vec<u8>),
    /// The script's own, byte by byte, and whether the connection stands then.
    ByHand(Box<dyn FnOnce(&mut TcpStream) -> bool>),
}

impl<T: Into<Vec<u8>>> From<T> for Says {
    fn from(says: T) -> Says {
        Says::All(says.into())
    }
}

impl Says {
    /// Whether the connection stands after that.
    fn to(self, socket: &mut TcpStream) -> bool {
        let (bytes, resets) = match self {
            Says::All(bytes) => return socket.write_all(&bytes).is_ok(),
            Says::ByHand(script) => return script(socket),
            Says::Ends(bytes) => (bytes, false),
            Says::Resets(bytes) => (bytes, true),
        };
        let _ = socket.write_all(&bytes);
        if resets {
            let [own, other] = [socket.local_addr(), socket.peer_addr()].map(|at| at.expect("an address"));
            wait("its coming", || {
                let connection = query_connection(own, other).expect("the kernel answers")?;
                let has_come =
                    connection.state == ConnectionState::Established && connection.unacknowledged_bytes == 0;
                has_come.then_some(())
            });
            SockRef::from(&*socket).set_linger(Some(Duration::ZERO)).expect("set");
        }
        false
    }
}

/// An engine that runs on threads of its own, one a connection, so that its script may stop at a barrier.
#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    /// The request lines that have come with their last byte, and when the first byte of each did.
    seen: Arc<Mutex<Vec<(String, Instant)>>>,
    answered: Arc<Mutex<usize>>,
    ended: Arc<Mutex<usize>>,
}

impl Engine {
    /// `script` is given the count of requests before of the same method, and the request's line.
    pub fn start(script: impl Fn(usize, &str) -> Says + Send + Sync + 'static) -> Engine {
        Engine::on(TcpListener::bind("127.0.0.1:0").expect("a port"), script)
    }

    pub fn on(listener: TcpListener, script: impl Fn(usize, &str) -> Says + Send + Sync + 'static) -> Engine {
        let address = listener.local_addr().expect("an address");
        let engine =
            Engine { address, seen: Arc::default(), answered: Arc::default(), ended: Arc::default() };
        let (it, script) = (engine.clone(), Arc::new(script));
        std::thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let (it, script) = (it.clone(), script.clone());
                std::thread::spawn(move || {
                    if it.serve(socket, &*script) {
                        *it.ended.lock().expect("a count") += 1;
                    }
                });
            }
        });
        engine
    }

    /// On a connection that was accepted already.
    pub fn taking(socket: TcpStream, script: impl Fn(usize, &str) -> Says + Send + Sync + 'static) -> Engine {
        let address = socket.local_addr().expect("an address");
        let engine =
            Engine { address, seen: Arc::default(), answered: Arc::default(), ended: Arc::default() };
        let it = engine.clone();
        std::thread::spawn(move || it.serve(socket, &script));
        engine
    }

    /// Gives whether the connection has carried a request.
    fn serve(&self, mut socket: TcpStream, script: &dyn Fn(usize, &str) -> Says) -> bool {
        let mut carried = false;
        while let Some((line, began)) = request(&mut socket) {
            let mut words = line.split(' ');
            let method = words.next().expect("a method").to_string();
            if is_check(&method, words.next().expect("a path")) {
                if socket.write_all(EMPTY.as_bytes()).is_err() {
                    return carried;
                }
                continue;
            }
            let before = {
                let mut seen = self.seen.lock().expect("a list");
                seen.push((line.clone(), began));
                seen.iter().filter(|s| s.0.starts_with(&method)).count() - 1
            };
            let stands = script(before, &line).to(&mut socket);
            *self.answered.lock().expect("a count") += 1;
            if !stands {
                return true;
            }
            carried = true;
        }
        carried
    }

    pub fn count(&self, method: &str) -> usize {
        self.seen.lock().expect("a list").iter().filter(|s| s.0.starts_with(method)).count()
    }

    /// Connections that have carried a request and have ended; one that is only opened is a sign of arrival that was asked for.
    pub fn ended(&self) -> usize {
        *self.ended.lock().expect("a count")
    }

    pub fn answered(&self) -> usize {
        *self.answered.lock().expect("a count")
    }
}

/// The line of the next request, once all of it is here, and when its first byte came.
fn request(socket: &mut TcpStream) -> Option<(String, Instant)> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    let mut began = None;
    while !head.ends_with(b"\r\n\r\n") {
        if !matches!(socket.read(&mut byte), Ok(1)) {
            return None;
        }
        began.get_or_insert_with(Instant::now);
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).expect("text");
    let length =
        head.lines().find_map(|l| l.strip_prefix("content-length: ")).map_or(0, |n| n.parse().expect("n"));
    socket.read_exact(&mut vec![0; length]).ok()?;
    head.lines().filter_map(|l| l.strip_prefix("req-id: ")).for_each(note_attempt);
    Some((head.lines().next().expect("a line").to_string(), began?))
}

pub const OPENING: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
pub const EVENT: &str = "9\r\ndata: a\n\n\r\n";

/// A reader that answers well.
pub fn reader() -> Engine {
    Engine::start(|_, line| if line.starts_with("DELETE") { EMPTY } else { READ }.into())
}
