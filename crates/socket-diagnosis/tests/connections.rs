//! Queries of one loopback connection, from its first bytes to its end.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use glenrail_socket_diagnosis::{query_connection, Connection, ConnectionState};

/// Far longer than loopback takes: only a hang reaches it.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Guards other packages' tests, which use these queries to wait for a connection's bytes, half-close and end.
#[test]
fn a_connection_is_reported_from_its_first_bytes_to_its_end() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let local = listener.local_addr().expect("an address");
    let mut client = TcpStream::connect(local).expect("a connection");
    let remote = client.local_addr().expect("an address");
    let (server, _) = listener.accept().expect("a connection");
    let wait_until = |expected: Option<Connection>| {
        let started_at = Instant::now();
        while query_connection(local, remote).expect("the kernel responds") != expected {
            assert!(started_at.elapsed() < TIMEOUT, "not {expected:?}");
            std::thread::sleep(Duration::from_millis(1));
        }
    };
    let connection = |state, unread_bytes| Some(Connection { state, unread_bytes, unacknowledged_bytes: 0 });
    wait_until(connection(ConnectionState::Established, 0));
    client.write_all(b"seven b").expect("sent");
    wait_until(connection(ConnectionState::Established, 7));
    drop(client);
    // The kernel counts the end of the stream as one byte more.
    wait_until(connection(ConnectionState::CloseWait, 8));
    drop(server);
    wait_until(None);
}
