//! One connection on loopback, from its first bytes to its end.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use glenrail_socket_diagnosis::{connection_at, Connection, State};

/// Far above what loopback takes; only a hang reaches it.
const PATIENCE: Duration = Duration::from_secs(10);

/// Guards tests that wait for a connection's bytes, its half-close and its end.
#[test]
fn a_connection_is_seen_from_its_bytes_to_its_end() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let local = listener.local_addr().expect("an address");
    let mut client = TcpStream::connect(local).expect("a connection");
    let remote = client.local_addr().expect("an address");
    let (server, _) = listener.accept().expect("a connection");
    let becomes = |expected: Option<Connection>| {
        let from = Instant::now();
        while connection_at(local, remote).expect("the kernel answers") != expected {
            assert!(from.elapsed() < PATIENCE, "not {expected:?}");
            std::thread::sleep(Duration::from_millis(1));
        }
    };
    let connection = |state, unread_bytes| Some(Connection { state, unread_bytes, unacknowledged_bytes: 0 });
    becomes(connection(State::Established, 0));
    client.write_all(b"seven b").expect("sent");
    becomes(connection(State::Established, 7));
    drop(client);
    // The kernel counts the end of the stream as one byte more.
    becomes(connection(State::EndedByPeer, 8));
    drop(server);
    becomes(None);
}
