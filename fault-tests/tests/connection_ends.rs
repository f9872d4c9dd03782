//! What a client on a kept connection finds out about its end, and when.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use glenrail_fault_tests::unread;

/// Connections of others on the machine, each of which has two sockets.
const OTHER_CONNECTIONS: usize = 2_000;
const LOOKUPS: usize = 101;
const LOOKUP_WITHIN: Duration = Duration::from_millis(1);
const REQUEST: &[u8] = b"POST / HTTP/1.1\r\ncontent-length: 4\r\n\r\nbody";

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has ports");
    let address = listener.local_addr().expect("it is bound");
    (listener, address)
}

fn pair(listener: &TcpListener, address: SocketAddr) -> (TcpStream, TcpStream) {
    let client = TcpStream::connect(address).expect("it listens");
    let (server, _) = listener.accept().expect("a connection has come");
    (client, server)
}

/// Guards clients' records from the machine's other sockets: a list of all of them took up to two seconds to read, in which the
/// runtime stood still and the connection that was asked about went on.
#[test]
fn one_socket_is_found_within_a_millisecond_beside_thousands() {
    let (listener, address) = listener();
    let _others: Vec<_> = (0..OTHER_CONNECTIONS).map(|_| pair(&listener, address)).collect();
    let (mut client, _server) = pair(&listener, address);
    client.write_all(REQUEST).expect("it stands");
    let from = client.local_addr().expect("it is connected");
    let mut took: Vec<Duration> = (0..LOOKUPS)
        .map(|_| {
            let began = Instant::now();
            let unread = unread::bytes_at(address, from).expect("the kernel answers");
            assert_eq!(unread, Some(REQUEST.len() as u64));
            began.elapsed()
        })
        .collect();
    took.sort_unstable();
    assert!(took[LOOKUPS / 2] < LOOKUP_WITHIN, "half of the lookups took {:?} or more", took[LOOKUPS / 2]);
}

/// Guards a client whose gateway has closed its connection from being shown the listener at the same address in its place.
#[test]
fn an_end_that_is_gone_is_not_taken_for_its_listener() {
    let (listener, address) = listener();
    let (client, server) = pair(&listener, address);
    let from = client.local_addr().expect("it is connected");
    assert_eq!(unread::bytes_at(address, from).expect("the kernel answers"), Some(0));
    socket2::SockRef::from(&server).set_linger(Some(Duration::ZERO)).expect("a socket can be reset");
    drop(server);
    assert_eq!(unread::bytes_at(address, from).expect("the kernel answers"), None);
}
