//! A planned end while clients go on sending on every connection that stays open.

mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use common::gateway::*;
use common::*;
use glenrail::daemon::graceful_shutdown;
use glenrail::shutdown::Phase;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// Clients whose connections stand when the process is told to end.
const CLIENTS: usize = 20;
/// For so long after SIGTERM new connections come to the process (the protocol's longest).
const STILL_COMES: Duration = Duration::from_millis(400);

fn request(id: &str) -> String {
    let head =
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nreq-kind: item-query\r\nreq-deadline: 10\r\n";
    format!("{head}req-id: {id}\r\ncontent-length: 2\r\n\r\n{{}}")
}

/// What has come until an answer's last chunk, or until the end of the connection.
async fn answer_of(socket: &mut TcpStream) -> String {
    let mut got = Vec::new();
    while !got.ends_with(b"\r\n0\r\n\r\n") && matches!(socket.read_buf(&mut got).await, Ok(1..)) {}
    String::from_utf8(got).expect("text")
}

#[derive(Default)]
struct Count {
    served: Cell<usize>,
    /// Served on a request that was sent after SIGTERM.
    late: Cell<usize>,
}

/// Sends one request after another on a connection for as long as it stands, and comes in anew while it can. Whatever
/// was sent on a connection that stood fails the test if it gets no whole answer.
async fn go_on_sending(
    address: std::net::SocketAddr, n: usize, told: Rc<Cell<Option<Instant>>>, count: Rc<Count>,
) {
    let (mut sent, pause) = (0, Duration::from_millis(20 + 7 * n as u64));
    let comes_here = || told.get().is_none_or(|at| at.elapsed() < STILL_COMES);
    while comes_here() {
        let mut socket = TcpStream::connect(address).await.expect("it still accepts");
        let mut stands = true;
        while stands {
            sent += 1;
            let late = told.get().is_some();
            socket.write_all(request(&format!("c{n}-{sent}")).as_bytes()).await.expect("sent");
            let answer = answer_of(&mut socket).await;
            assert!(answer.starts_with("HTTP/1.1 200"), "client {n}, {sent}: {answer:?}");
            assert!(answer.contains("[DONE]") && answer.ends_with("0\r\n\r\n"), "{answer}");
            count.served.set(count.served.get() + 1);
            count.late.set(count.late.get() + usize::from(late));
            sleep(pause).await;
            let closed = matches!(socket.try_read(&mut [0]), Ok(0));
            stands = !closed && !answer.contains("connection: close");
        }
    }
}

/// Guards every request in a planned end: 20 connections that are kept go on sending, some with streams under way that
/// take longer than the gateway accepts, and each request gets its whole answer, up to the end of its connection.
#[test]
fn busy_connections_lose_no_request_in_a_shutdown() {
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let posted = Cell::new(0);
        let writer = StandIn::start(move |_, seen| {
            // As engines do: a release has its answer at once.
            if seen.method == "DELETE" {
                return Act::Answer(answer(204, &[], ""));
            }
            match posted.replace(posted.get() + 1) % 3 {
                0 => Act::Slowly(STREAM.split_inclusive("\n\n").collect(), Duration::from_millis(250)),
                _ => stream(),
            }
        })
        .await;
        let g = gateway(&[&reader], &[&writer], None, 100).await;
        let (told, count) = (Rc::new(Cell::new(None)), Rc::new(Count::default()));
        let clients =
            (0..CLIENTS).map(|n| spawn_local(go_on_sending(g.address, n, told.clone(), count.clone())));
        let clients: Vec<_> = clients.collect();
        until(|| count.served.get() > 3 * CLIENTS).await;
        told.set(Some(Instant::now()));
        graceful_shutdown(&g.shutdown, std::slice::from_ref(&g.pool), AGES).await;
        for client in clients {
            client.await.expect("a client that lost nothing");
        }
        assert!(count.late.get() >= CLIENTS, "{} answered after SIGTERM", count.late.get());
    });
}

/// Guards a connection that comes into the machine's queue just as accepting ends, on a machine that then has no time for
/// this process: it is taken and answered before the process counts itself as ended.
#[test]
fn shutdown_waits_for_the_accept_queue() {
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let writer = StandIn::start(|_, _| stream()).await;
        let g = gateway(&[&reader], &[&writer], None, 100).await;
        let answer = Rc::new(RefCell::new(String::new()));
        let shutdown = g.shutdown.clone();
        let client = spawn_local({
            let (answer, address) = (answer.clone(), g.address);
            async move {
                shutdown.wait_for_phase(Phase::Closing).await;
                let mut new = raw::queued(address, &request("new"));
                // All timers of the end are due before the queue is looked at.
                std::thread::sleep(Duration::from_millis(80));
                *answer.borrow_mut() = answer_of(&mut new).await;
            }
        });
        // The client waits before the end begins, so it is told of each phase first.
        tokio::task::yield_now().await;
        graceful_shutdown(&g.shutdown, std::slice::from_ref(&g.pool), AGES).await;
        // So late it is refused, but it is answered.
        assert!(answer.borrow().starts_with("HTTP/1.1 503"), "{:?}", answer.borrow());
        client.await.expect("it was answered");
    });
}

/// Guards what has reached this machine when accepting ends, though nothing has read it yet: a request on a new
/// connection or just behind it, one on a kept connection, and one of which the first half of a head is here. Closed
/// without an answer, the first count as refused, and nobody can say of the last whether it was read.
#[test]
fn a_request_received_before_shutdown_is_answered() {
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let writer = StandIn::start(|_, _| stream()).await;
        let g = gateway(&[&reader], &[&writer], None, 100).await;
        let mut kept = TcpStream::connect(g.address).await.expect("a connection");
        kept.write_all(request("kept-1").as_bytes()).await.expect("sent");
        assert!(answer_of(&mut kept).await.starts_with("HTTP/1.1 200"));
        let mut half = TcpStream::connect(g.address).await.expect("a connection");
        let text = request("half");
        let (first, rest) = text.split_at(40);
        half.write_all(first.as_bytes()).await.expect("sent");
        // Older than the time that a new connection is given, and begun.
        sleep(Duration::from_millis(400)).await;
        g.shutdown.enter(Phase::Draining);
        let mut late = TcpStream::connect(g.address).await.expect("a connection");
        let new = std::net::TcpStream::connect(g.address).expect("a connection");
        std::io::Write::write_all(&mut &new, request("new").as_bytes()).expect("sent");
        new.set_nonblocking(true).expect("set");
        assert!(kept.try_write(request("kept-2").as_bytes()).is_ok_and(|n| n == request("kept-2").len()));
        g.shutdown.enter(Phase::Closing);
        let mut new = TcpStream::from_std(new).expect("a socket");
        let late = async {
            sleep(Duration::from_millis(100)).await;
            late.write_all(request("late").as_bytes()).await.expect("sent");
            answer_of(&mut late).await
        };
        let rest = async {
            sleep(Duration::from_millis(100)).await;
            half.write_all(rest.as_bytes()).await.expect("sent");
            answer_of(&mut half).await
        };
        let (new, late, kept, half) = tokio::join!(answer_of(&mut new), late, answer_of(&mut kept), rest);
        for (answer, which) in [(new, "new"), (late, "late"), (kept, "kept"), (half, "half")] {
            assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("[DONE]"), "{which}: {answer:?}");
            assert!(answer.contains("connection: close"), "{which}: {answer}");
        }
        g.shutdown.drained().await;
    });
}
