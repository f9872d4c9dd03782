//! What changes between the choice of a server and a request's first byte counts: the list, the client, the connection
//! itself. Each is forced between the engine client's first turn and the next one of the task that writes.

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use common::attempts::*;
use common::*;
use glenrail::engine::{Engine, ServerAddress};
use glenrail::exchange::{response_channel as ends, CancelToken};
use glenrail::upstream::{Call, CallError, ConnectionCheck, Reply};
use glenrail_request_lifecycle::response_timing::OnPause;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tower::ServiceExt;

/// A server that is read and written by hand, with its one kept connection.
struct ByHand {
    listener: TcpListener,
    engine: Engine,
    kept: TcpStream,
}

/// Takes a whole request from a connection, once it is there.
async fn take(socket: &mut TcpStream) {
    let (mut got, mut space) = (Vec::new(), [0; 4096]);
    while !got.ends_with(b"last byte") {
        match socket.read(&mut space) {
            Ok(n) => got.extend_from_slice(&space[..n]),
            Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
        }
    }
}

impl ByHand {
    async fn start() -> ByHand {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("set");
        let engine = engine(AGES, 8);
        engine.update_servers(true, &[at(&listener, true)], &[]);
        let (told, kept) = tokio::join!(attempt(&engine, "last byte"), async {
            let mut kept = accepted(&listener).await;
            take(&mut kept).await;
            kept.write_all(b"HTTP/1.1 202 Accepted\r\ncontent-length: 2\r\n\r\n{}").expect("written");
            kept
        });
        assert!(matches!(told, Ok(Reply::Prefilled { .. })));
        back_to_the_pool().await;
        ByHand { listener, engine, kept }
    }

    /// All that comes on the kept connection from now on, to its end.
    fn rest(mut self) -> String {
        self.kept.set_nonblocking(false).expect("set");
        self.kept.set_read_timeout(Some(AGES)).expect("a bound");
        let mut got = String::new();
        self.kept.read_to_string(&mut got).map(|_| got).unwrap_or_else(|e| match e.kind() {
            std::io::ErrorKind::ConnectionReset => String::new(),
            _ => panic!("no end: {e}"),
        })
    }
}

fn at(listener: &TcpListener, serving: bool) -> ServerAddress {
    let dial = listener.local_addr().expect("an address").to_string();
    ServerAddress { server: SERVER, address: dial, is_serving: serving, ..ServerAddress::default() }
}

async fn accepted(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept() {
            Ok((socket, _)) => {
                socket.set_nonblocking(true).expect("set");
                return socket;
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
        }
    }
}

/// Guards a request from an answer that was meant for the one before it: the second answer of a spoilt engine, all of it or
/// its first half, and an end, which come after the connection was found alive and before the first byte is out. The
/// request goes to a new connection, once, whether it may be repeated or not.
#[test]
fn bytes_received_before_the_first_byte_are_no_response() {
    let second = "HTTP/1.1 202 Accepted\r\ncontent-length: 19\r\n\r\n{\"cached_tokens\":9}";
    let all = [(second, false), (&second[..20], false), ("", true), (second, true)];
    for ((says, ends), crowd) in all.into_iter().flat_map(|case| [(case, 0), (case, 500)]) {
        run(async {
            let mut server = ByHand::start().await;
            let engine = server.engine.clone();
            let sending = attempt(&engine, "last byte");
            tokio::pin!(sending);
            // With many tasks before the one that writes, the machine is asked what has come before it has its turn: it
            // finds the bytes already read.
            (0..crowd).for_each(|_| _ = spawn_local(async {}));
            assert!(poll_once(sending.as_mut()).is_pending());
            server.kept.write_all(says.as_bytes()).expect("written");
            if ends {
                server.kept.shutdown(std::net::Shutdown::Write).expect("shut");
            }
            let (told, _new) = tokio::join!(sending, async {
                let mut new = accepted(&server.listener).await;
                take(&mut new).await;
                new.write_all(b"HTTP/1.1 202 Accepted\r\ncontent-length: 19\r\n\r\n{\"cached_tokens\":5}")
                    .expect("written");
                new
            });
            assert!(
                matches!(told, Ok(Reply::Prefilled { cached_tokens: kept, .. }) if kept == 5.0),
                "{says:?} {ends} {crowd}"
            );
            assert_eq!(server.rest(), "", "{says:?} {ends} {crowd}");
        });
    }
}

/// Guards the rule on drains, and a server that is gone or now stands somewhere else, also on a kept connection: what is
/// told after the choice counts at the first byte.
#[test]
fn a_list_update_before_the_first_byte_is_obeyed() {
    let other = TcpListener::bind("127.0.0.1:0").expect("a port");
    for change in 0..3 {
        run(async {
            let server = ByHand::start().await;
            let engine = server.engine.clone();
            let sending = attempt(&engine, "last byte");
            tokio::pin!(sending);
            assert!(poll_once(sending.as_mut()).is_pending());
            match change {
                0 => server.engine.update_servers(false, &[at(&server.listener, false)], &[]),
                1 => server.engine.update_servers(false, &[], &[SERVER]),
                _ => server.engine.update_servers(false, &[at(&other, true)], &[]),
            }
            assert!(matches!(sending.await, Err(CallError::NotSent)), "{change}");
            if change < 2 {
                // Nor is it dialled for the next one.
                assert!(matches!(attempt(&engine, "last byte").await, Err(CallError::NotSent)), "{change}");
                assert!(server.listener.accept().is_err(), "{change}");
            }
            assert_eq!(server.rest(), "", "{change}");
        });
    }
}

/// Guards an engine from the request of a client that has gone, on a kept connection and a new one.
#[test]
fn a_cancelled_request_gets_no_first_byte() {
    for fresh in [false, true] {
        run(async {
            let server = ByHand::start().await;
            if fresh {
                server.engine.close_idle();
            }
            let (client, pieces) = ends();
            let call = || Call::Attempt {
                server: SERVER,
                payload: payload("last byte"),
                deadline: Instant::now() + AGES,
                connect_timeout: None,
                connection_check: ConnectionCheck::None,
                on_pause: OnPause::Retry,
                cancel_token: CancelToken::for_response(&pieces),
            };
            let sending = server.engine.clone().oneshot(call());
            tokio::pin!(sending);
            assert!(poll_once(sending.as_mut()).is_pending());
            drop(client);
            assert!(matches!(sending.await, Err(CallError::NotSent)), "{fresh}");
            let dialled = || std::iter::from_fn(|| server.listener.accept().ok()).count();
            assert_eq!(dialled(), usize::from(fresh));
            // And nobody is dialled any more.
            assert!(matches!(server.engine.clone().oneshot(call()).await, Err(CallError::NotSent)));
            assert_eq!(dialled(), 0, "{fresh}");
            assert_eq!(server.rest(), "", "{fresh}");
        });
    }
}

/// Guards what has to be written sooner than its deadline, a repeat within its window and a state within its limit: a kept
/// connection needs no dial, and is not written to later either.
#[test]
fn a_request_past_its_write_deadline_gets_no_first_byte() {
    run(async {
        let server = ByHand::start().await;
        let call = Call::Attempt {
            server: SERVER,
            payload: payload("last byte"),
            deadline: Instant::now() + AGES,
            connect_timeout: Some(Duration::ZERO),
            connection_check: ConnectionCheck::None,
            on_pause: OnPause::Retry,
            cancel_token: CancelToken::default(),
        };
        assert!(matches!(server.engine.clone().oneshot(call).await, Err(CallError::NotSent)));
        assert!(server.listener.accept().is_err(), "nor is anybody dialled");
        server.engine.close_idle();
        assert_eq!(server.rest(), "");
    });
}

/// Guards a name that moves to another address while a request is on a connection to the old one, and one whose server
/// comes back at the same address: what led to the former life carries nothing for the new one.
#[test]
fn a_connection_to_a_server_before_its_restart_is_not_reused() {
    run(async {
        let later = || answer(202, &[], "{}");
        let old = StandIn::start(move |_, _| Act::Later(Duration::from_millis(50), later())).await;
        let new = StandIn::start(|_, _| read()).await;
        let engine = engine(AGES, 8);
        engine.update_servers(true, &[address(SERVER, &old, true)], &[]);
        let first = attempt(&engine, "x");
        tokio::pin!(first);
        tokio::select! {
            _ = &mut first => panic!("it takes longer"),
            () = until(|| old.count("POST") == 1) => {}
        }
        engine.update_servers(false, &[address(SERVER, &new, true)], &[]);
        assert!(first.await.is_ok());
        back_to_the_pool().await;
        assert!(attempt(&engine, "x").await.is_ok());
        assert_eq!((old.count("POST"), new.count("POST")), (1, 1));
        // It comes back where it was; its machine has told nobody that the connections of before are dead.
        back_to_the_pool().await;
        let born = |born| ServerAddress { started_ms: born, ..address(SERVER, &new, true) };
        engine.update_servers(false, &[born(5)], &[]);
        assert!(attempt(&engine, "x").await.is_ok());
        assert_eq!(new.connections.get(), 2);
        back_to_the_pool().await;
        // The same life, told again.
        engine.update_servers(true, &[born(5)], &[]);
        assert!(attempt(&engine, "x").await.is_ok());
        assert_eq!((new.connections.get(), new.count("POST")), (2, 3));
    });
}

/// Guards against a request on a connection that has stood idle for too long, where whoever closes it has not had a turn.
#[test]
fn a_connection_past_its_idle_timeout_is_not_reused() {
    run(async {
        let server = StandIn::start(|_, _| read()).await;
        let idle = Duration::from_millis(100);
        let engine = engine(idle, 8);
        engine.update_servers(true, &[address(SERVER, &server, true)], &[]);
        assert!(attempt(&engine, "x").await.is_ok());
        back_to_the_pool().await;
        // The thread stands still: no timer runs, and no task.
        std::thread::sleep(2 * idle);
        assert!(attempt(&engine, "x").await.is_ok());
        assert_eq!(server.connections.get(), 2);
    });
}
