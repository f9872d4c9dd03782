//! Test of a client that disconnects while a response that another process began is being written.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::{write_remainder, StreamResult};
use crate::exchange;

/// Guards against a server that keeps streaming to a client that has disconnected, also if the client sent further
/// bytes before, which stay unread.
#[tokio::test(flavor = "current_thread")]
async fn a_disconnect_behind_pipelined_bytes_is_noticed() {
    for pipelined in ["", "POST /v1"] {
        for resets in [false, true] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let mut client =
                TcpStream::connect(listener.local_addr().expect("one")).await.expect("connected");
            let (mut socket, _) = listener.accept().await.expect("a connection");
            let (response, _parts) = exchange::response_channel();
            client.write_all(pipelined.as_bytes()).await.expect("sent");
            if resets {
                client.set_zero_linger().expect("set");
            }
            drop(client);
            // Nothing is written meanwhile, so a failed write cannot reveal the disconnect.
            let result = timeout(Duration::from_secs(5), write_remainder(&mut socket, response)).await;
            assert!(
                matches!(result, Ok(StreamResult::ClientDisconnected)),
                "{pipelined:?}, resets: {resets}"
            );
        }
    }
}
