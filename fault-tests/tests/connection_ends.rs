//! What a client on a kept connection finds out about its end, and when.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use glenrail_fault_tests::deployment::{Deployment, DeploymentSpec};
use glenrail_fault_tests::persistent_connection::{ConnectionEnd, PersistentConnection};
use glenrail_fault_tests::unread;

/// Connections of others on the machine, each of which has two sockets.
const OTHER_CONNECTIONS: usize = 2_000;
const LOOKUPS: usize = 101;
const LOOKUP_WITHIN: Duration = Duration::from_millis(1);
const REQUEST: &[u8] = b"POST / HTTP/1.1\r\ncontent-length: 4\r\n\r\nbody";
const PIECES: usize = 2;
/// Bytes of the first of so many pieces.
const FIRST_PIECE: usize = REQUEST.len().div_ceil(PIECES);
/// Longer than loopback takes for anything.
const SETTLED: Duration = Duration::from_millis(100);
/// A gateway ends a connection that says nothing after 2.5 s, and drops what crossed that end 1 s later.
const ENDED_WITHIN: Duration = Duration::from_secs(10);
const DROPPED_AFTER: Duration = Duration::from_millis(1_500);

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

/// A runtime of one thread, which notes nothing of its sockets while that thread is busy.
fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime")
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
            let unread = unread::unread_bytes_at(address, from).expect("the kernel answers");
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
    assert_eq!(unread::unread_bytes_at(address, from).expect("the kernel answers"), Some(0));
    socket2::SockRef::from(&server).set_linger(Some(Duration::ZERO)).expect("a socket can be reset");
    drop(server);
    assert_eq!(unread::unread_bytes_at(address, from).expect("the kernel answers"), None);
}

/// Guards clients from writing to a process that has ended, only because their own runtime was late to note it.
#[test]
fn an_end_is_seen_while_the_runtime_has_noted_nothing() {
    let (listener, address) = listener();
    runtime().block_on(async {
        let connection = PersistentConnection::open(address).await.expect("it listens");
        let (server, _) = listener.accept().expect("a connection has come");
        assert!(!connection.has_ended());
        drop(server);
        thread::sleep(SETTLED);
        assert!(connection.has_ended());
    });
}

/// Guards gateways from being charged with a client that left and whose end was held back: a process that is being started holds
/// copies of all sockets until it has begun, which on a busy machine takes hundreds of milliseconds.
#[test]
fn a_client_that_leaves_is_seen_while_a_copy_of_its_socket_is_held() {
    let (listener, address) = listener();
    runtime().block_on(async {
        let connection = PersistentConnection::open(address).await.expect("it listens");
        let (mut server, _) = listener.accept().expect("a connection has come");
        let copy = connection.clone_socket().expect("descriptors are left");
        connection.close();
        server.set_read_timeout(Some(SETTLED)).expect("it stands");
        assert_eq!(server.read(&mut [0]).expect("its end has come"), 0);
        drop(copy);
    });
}

/// Guards gateways from being charged with a request whose last piece was never sent.
#[test]
fn a_request_that_is_written_in_part_is_not_sent() {
    let (listener, address) = listener();
    let server = thread::spawn(move || {
        let (mut server, _) = listener.accept().expect("a connection comes");
        server.read_exact(&mut [0; FIRST_PIECE]).expect("the first piece comes");
        server.shutdown(Shutdown::Write).expect("it stands");
        server
    });
    runtime().block_on(async {
        let mut connection = PersistentConnection::open(address).await.expect("it listens");
        let progress = connection.write(REQUEST, PIECES, SETTLED).await;
        assert_eq!(progress.bytes(), FIRST_PIECE);
        assert_eq!(progress.written_at(REQUEST.len()), None);
        let sent_in_part = progress.written_at(FIRST_PIECE).expect("it was written");
        assert!(sent_in_part >= progress.began_at);
    });
    drop(server.join());
}

/// Guards the three orderly ends of a connection from being taken for each other.
#[test]
fn an_orderly_end_says_how_much_was_read() {
    for (read, end) in [
        (0, ConnectionEnd::Unread),
        (FIRST_PIECE, ConnectionEnd::PartlyRead),
        (REQUEST.len(), ConnectionEnd::Read),
    ] {
        let (listener, address) = listener();
        let server = thread::spawn(move || {
            let (mut server, _) = listener.accept().expect("a connection comes");
            server.set_read_timeout(Some(SETTLED)).expect("it stands");
            // All of the request has come before some of it is read.
            thread::sleep(SETTLED);
            server.read_exact(&mut vec![0; read]).expect("the request comes");
            server.shutdown(Shutdown::Write).expect("it stands");
            server
        });
        runtime().block_on(async {
            let mut connection = PersistentConnection::open(address).await.expect("it listens");
            let progress = connection.write(REQUEST, 1, Duration::ZERO).await;
            assert_eq!(connection.read_response(progress.bytes()).await, Err(end));
        });
        drop(server.join());
    }
}

/// Guards requests that cross their gateway's orderly end: asked for at once they are known as unread, and some time later the
/// gateway has dropped them, as if they had been read.
#[test]
fn what_crosses_an_orderly_end_is_unread_at_once_and_not_later() {
    let program = Path::new(env!("CARGO_BIN_EXE_glenrail-fault-tests"));
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let spec = DeploymentSpec::new(1, 1, 1);
        let started = Deployment::start(spec, program, &program.with_file_name("glenrail")).await;
        let deployment = started.expect("it starts");
        let address = deployment.gateways[0].address;
        let mut client = TcpStream::connect(address).expect("it listens");
        client.set_read_timeout(Some(ENDED_WITHIN)).expect("it stands");
        let from = client.local_addr().expect("it is connected");
        assert_eq!(client.read(&mut [0]).expect("it is ended in order"), 0);
        client.write_all(REQUEST).expect("the gateway's end still stands");
        let unread = unread::unread_bytes_at(address, from).expect("the kernel answers");
        assert_eq!(unread, Some(REQUEST.len() as u64));
        tokio::time::sleep(DROPPED_AFTER).await;
        let later = unread::unread_bytes_at(address, from).expect("the kernel answers");
        assert!(later.is_none_or(|unread| unread == 0), "{later:?}");
    });
}
