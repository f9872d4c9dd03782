//! A client that goes while another process's answer is written on.

use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::timeout;

use super::*;
use crate::exchange;

/// Guards the server's stream from a client that has gone: also behind bytes that it sent ahead, which stay unread.
#[tokio::test(flavor = "current_thread")]
async fn a_client_that_sent_ahead_is_seen_to_go() {
    for ahead in ["", "POST /v1"] {
        for resets in [false, true] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let mut client =
                TcpStream::connect(listener.local_addr().expect("one")).await.expect("connected");
            let (mut socket, _) = listener.accept().await.expect("a connection");
            let (answer, _pieces) = exchange::response_channel();
            client.write_all(ahead.as_bytes()).await.expect("sent");
            if resets {
                client.set_zero_linger().expect("set");
            }
            drop(client);
            // Nothing is written meanwhile, so nothing else shows it.
            let ended = timeout(Duration::from_secs(5), resume(&mut socket, answer)).await;
            assert!(matches!(ended, Ok(Ended::ClientGone)), "{ahead:?}, resets: {resets}");
        }
    }
}
