//! Clients that send more than one request's bytes, and go: how soon the gateway sees it while it does not read them.

mod common;

use std::time::Duration;

use common::gateway::*;
use common::raw::*;
use common::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// More than the gateway reads ahead of an answer.
const AHEAD: usize = 40_000;
/// Far more than the 0.1 s in which it is to be seen, and less than any time-out of the request.
const SOON: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug)]
enum Going {
    Closes,
    Resets,
    EndsSending,
}

fn go(mut socket: TcpStream, how: Going) -> Option<TcpStream> {
    match how {
        Going::Closes => None,
        Going::Resets => {
            socket.set_zero_linger().expect("set");
            None
        }
        Going::EndsSending => {
            let _ = poll_once(std::pin::pin!(socket.shutdown()));
            Some(socket)
        }
    }
}

/// Guards engines from requests whose client has gone: also behind bytes that nobody reads yet, sent ahead of the answer
/// or after a body in chunks, an end shows at once, and the attempt ends with it.
#[test]
fn a_client_that_sent_ahead_is_seen_to_go() {
    let chunked = request("a1")
        .replace("content-length: 2", "transfer-encoding: chunked")
        .replace("{}", "2\r\n{}\r\n0\r\n\r\n");
    for first in [request("a1"), chunked] {
        for how in [Going::Closes, Going::Resets, Going::EndsSending] {
            for ahead in [0, 1, AHEAD] {
                run(async {
                    let reader = StandIn::start(|_, _| read()).await;
                    let writer = StandIn::start(|_, _| Act::Silence).await;
                    let g = gateway(&[&reader], &[&writer], None, 50).await;
                    let mut client = connect(g.address).await;
                    client.write_all(first.as_bytes()).await.expect("sent");
                    client.write_all("x".repeat(ahead).as_bytes()).await.expect("sent");
                    until(|| writer.count("POST") == 1).await;
                    let _half = go(client, how);
                    let gone = timeout(SOON, until(|| writer.closed.get() == 1)).await;
                    let framing = if first.contains("chunked") { "chunks" } else { "a length" };
                    assert!(gone.is_ok(), "{framing}, {ahead} bytes ahead: {how:?}");
                    until(|| g.pool.core.is_idle()).await;
                });
            }
        }
    }
}
