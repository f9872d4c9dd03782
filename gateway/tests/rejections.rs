//! The ways from an attempt to an answer that says that sending again is harmless: each is open only where the attempt cannot
//! have run.

mod common;

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use common::attempts::*;
use common::crossing::{final_answer, Client, Program};
use common::scripted;
use common::*;
use glenrail::engine::{Engine, ServerAddress};
use glenrail::exchange::{response_channel, CancelToken};
use glenrail::upstream::{Call, CallError, ConnectionCheck, Reply};
use glenrail_request_lifecycle::response_timing::OnPause;
use socket2::SockRef;
use tokio::time::Instant;
use tower::ServiceExt;

/// More than the machine takes for a server that does not read.
const LARGE_BODY: usize = 24 << 20;
/// What a server reads of a large request before it does something else: its first write, and not its last.
const FIRST_BYTES: usize = 16 << 10;
const PREFILLED: &[u8] = b"HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n{}";
/// Answers that say that sending again is harmless.
const REJECTIONS: [u16; 2] = [429, 503];

/// A server with one connection at a time, read and written by hand.
struct ByHand {
    listener: TcpListener,
    engine: Engine,
}

impl ByHand {
    fn start() -> ByHand {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("set");
        let server = ByHand { listener, engine: engine(AGES, 8) };
        server.list(true);
        server
    }

    /// Puts the server on the list, as one that serves or drains.
    fn list(&self, is_serving: bool) {
        let address = self.listener.local_addr().expect("an address").to_string();
        let listed = ServerAddress { server: SERVER, address, is_serving, ..ServerAddress::default() };
        self.engine.update_servers(true, &[listed], &[]);
    }

    async fn accept(&self) -> TcpStream {
        loop {
            match self.listener.accept() {
                Ok((socket, _)) => {
                    socket.set_nonblocking(true).expect("set");
                    return socket;
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
            }
        }
    }

    /// A connection that has carried a request before, if `is_reused`; else the next one.
    async fn connection(&self, is_reused: bool) -> Option<TcpStream> {
        if !is_reused {
            return None;
        }
        let (reply, kept) = tokio::join!(attempt(&self.engine, "x"), async {
            let mut kept = self.accept().await;
            read_until(&mut kept, |got| got.ends_with(b"x")).await;
            kept.write_all(PREFILLED).expect("written");
            kept
        });
        assert!(matches!(reply, Ok(Reply::Prefilled { .. })));
        back_to_the_pool().await;
        Some(kept)
    }

    /// Sends a large attempt, and has `acts` do something once the first bytes have come; whether it was sent twice.
    async fn large_attempt(
        &self, is_reused: bool, token: CancelToken, acts: impl FnOnce(&ByHand, TcpStream),
    ) -> (Result<Reply, CallError>, bool) {
        let kept = self.connection(is_reused).await;
        let body = "x".repeat(LARGE_BODY);
        let call = Call::Attempt {
            server: SERVER,
            payload: payload(&body),
            deadline: Instant::now() + AGES,
            connect_timeout: None,
            connection_check: ConnectionCheck::None,
            on_pause: OnPause::Retry,
            cancel_token: token,
        };
        let serves = async {
            let mut socket = match kept {
                Some(kept) => kept,
                None => self.accept().await,
            };
            read_until(&mut socket, |got| got.len() >= FIRST_BYTES).await;
            acts(self, socket);
        };
        let (reply, ()) = tokio::join!(self.engine.clone().oneshot(call), serves);
        (reply, self.listener.accept().is_ok())
    }
}

/// Reads what comes until that is enough.
async fn read_until(socket: &mut TcpStream, enough: impl Fn(&[u8]) -> bool) {
    let (mut got, mut space) = (Vec::new(), [0; FIRST_BYTES]);
    while !enough(&got) {
        match socket.read(&mut space) {
            Ok(count) => got.extend_from_slice(&space[..count]),
            Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
        }
    }
}

/// Ends a connection with a reset.
fn reset(socket: TcpStream) {
    SockRef::from(&socket).set_linger(Some(Duration::ZERO)).expect("set");
}

/// Guards what counts as an attempt that never ran: one whose last byte was not written, whatever has come of a response; and it
/// is not sent once more by itself.
#[test]
fn an_attempt_that_breaks_before_its_last_byte_never_ran_although_a_head_has_begun() {
    for part in ["", "HTTP/1.1 202 Acc", "HTTP/1.1 202 Accepted\r\ncontent-le", "no head at all\r\n\r\n"] {
        for is_reused in [false, true] {
            run(async {
                let server = ByHand::start();
                let breaks = |_: &ByHand, mut socket: TcpStream| {
                    socket.write_all(part.as_bytes()).expect("written");
                    reset(socket);
                };
                let sent = server.large_attempt(is_reused, CancelToken::default(), breaks).await;
                let (reply, is_sent_twice) = sent;
                assert!(matches!(reply, Err(CallError::ConnectFailed)), "{part:?} {is_reused}");
                assert!(!is_sent_twice, "{part:?} {is_reused}");
            });
        }
    }
}

/// Guards an attempt from being taken for one that was withheld: what would have closed the gate before its first byte comes
/// between two writes. Its last byte arrives, so its end is one that may have run.
#[test]
fn a_gate_that_would_close_between_two_writes_withholds_nothing() {
    for is_reused in [false, true] {
        for leaves in [false, true] {
            run(async {
                let server = ByHand::start();
                let (client, parts) = response_channel();
                let (client, token) = (RefCell::new(Some(client)), CancelToken::for_response(&parts));
                let threads = Rc::new(RefCell::new(None));
                let serving = threads.clone();
                let acts = move |server: &ByHand, socket: TcpStream| {
                    server.list(false);
                    if leaves {
                        client.take();
                    }
                    socket.set_nonblocking(false).expect("set");
                    serving.replace(Some(std::thread::spawn(move || read_all_and_reset(socket))));
                };
                let (reply, is_sent_twice) = server.large_attempt(is_reused, token.clone(), acts).await;
                threads.take().expect("it reads").join().expect("it ends");
                assert!(matches!(reply, Err(CallError::Reset)), "{is_reused} {leaves}");
                assert!(token.is_written() && !is_sent_twice, "{is_reused} {leaves}");
                drop(parts);
            });
        }
    }
}

/// Reads the rest of a large request, and resets the connection once all of it is there.
fn read_all_and_reset(mut socket: TcpStream) {
    socket.set_read_timeout(Some(Duration::from_millis(500))).expect("a bound");
    let mut space = vec![0; 1 << 20];
    while matches!(socket.read(&mut space), Ok(1..)) {}
    reset(socket);
}

/// The answer to a request that may not be repeated, whose decode server says this; and how often that server was asked.
fn answer_after(name: &str, says: &'static str) -> (u16, usize) {
    let prefill = scripted::reader();
    let decode = scripted::Engine::start(move |_, line| {
        let is_release = line.starts_with("DELETE");
        if is_release { scripted::EMPTY } else { says }.into()
    });
    let servers: [SocketAddr; 2] = [prefill.address, decode.address];
    let program = Program::start(name, &servers[..1], &servers[1..], true);
    let (status, _) = final_answer(Client::ask_as("order", program.front, "a1"));
    (status, decode.count("POST"))
}

/// Guards callers from a rejection that is not true: a decode server that had begun answers with a status of a rejection and does
/// not say that it has declined.
#[test]
fn an_unmarked_error_of_a_decode_server_is_no_ground_for_a_rejection() {
    let says = [
        ("500", "HTTP/1.1 500 Error\r\ncontent-length: 0\r\n\r\n"),
        ("503", "HTTP/1.1 503 Full\r\nretry-after: 1\r\ncontent-length: 0\r\n\r\n"),
        ("504", "HTTP/1.1 504 Late\r\ncontent-length: 0\r\n\r\n"),
        ("429", "HTTP/1.1 429 Too Many\r\nretry-after: 1\r\ncontent-length: 0\r\n\r\n"),
        ("410", "HTTP/1.1 410 Gone\r\ncontent-length: 0\r\n\r\n"),
        ("422", "HTTP/1.1 422 Unfit\r\ncontent-length: 0\r\n\r\n"),
        ("503-marked-0", "HTTP/1.1 503 Full\r\nsrv-declined: 0\r\ncontent-length: 0\r\n\r\n"),
    ];
    for (name, says) in says {
        let (status, asked) = answer_after(&format!("unmarked-{name}"), says);
        assert!(!REJECTIONS.contains(&status), "{name}: {status}");
        assert_eq!(asked, 1, "{name}: it may have run, so it is not sent again");
    }
}
