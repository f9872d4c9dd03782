//! Detection of the end of a persistent connection by its client: what the client learns, and when.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use glenrail_fault_tests::deployment::{Deployment, DeploymentSpec};
use glenrail_fault_tests::persistent_connection::{ConnectionEnd, PersistentConnection};
use glenrail_fault_tests::unread;

/// Number of unrelated connections on the machine, each of which has two sockets.
const OTHER_CONNECTIONS: usize = 2_000;
const LOOKUPS: usize = 101;
const MAX_MEDIAN_LOOKUP: Duration = Duration::from_millis(1);
const REQUEST: &[u8] = b"POST / HTTP/1.1\r\ncontent-length: 4\r\n\r\nbody";
const PIECES: usize = 2;
/// Length of the first of these pieces.
const FIRST_PIECE_BYTES: usize = REQUEST.len().div_ceil(PIECES);
/// Time that exceeds any delay on loopback.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// A gateway closes a connection without a request after 2.5 s, and discards bytes that crossed the close 1 s later.
const IDLE_CLOSE_TIMEOUT: Duration = Duration::from_secs(10);
const DISCARD_WAIT: Duration = Duration::from_millis(1_500);

fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener is bound");
    (listener, address)
}

fn connected_pair(listener: &TcpListener, address: SocketAddr) -> (TcpStream, TcpStream) {
    let client = TcpStream::connect(address).expect("the server listens");
    let (server, _) = listener.accept().expect("the client has connected");
    (client, server)
}

/// Returns a single-threaded runtime, which processes no socket events while its thread is busy.
fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime is built")
}

/// Guards against lookups that depend on the number of sockets on the machine. Reading a list of all sockets took up to two
/// seconds, in which the runtime was blocked and the state of the connection changed.
#[test]
fn one_socket_is_found_within_a_millisecond_beside_thousands() {
    let (listener, address) = bind_listener();
    let _others: Vec<_> = (0..OTHER_CONNECTIONS).map(|_| connected_pair(&listener, address)).collect();
    let (mut client, _server) = connected_pair(&listener, address);
    client.write_all(REQUEST).expect("the connection is open");
    let client_address = client.local_addr().expect("the client is connected");
    let mut durations: Vec<Duration> = (0..LOOKUPS)
        .map(|_| {
            let began = Instant::now();
            let unread = unread::unread_bytes_at(address, client_address).expect("the kernel responds");
            assert_eq!(unread, Some(REQUEST.len() as u64));
            began.elapsed()
        })
        .collect();
    durations.sort_unstable();
    assert!(
        durations[LOOKUPS / 2] < MAX_MEDIAN_LOOKUP,
        "half of the lookups took {:?} or more",
        durations[LOOKUPS / 2]
    );
}

/// Guards against mistaking the listener at the same address for the gateway's end of a connection that no longer exists.
#[test]
fn a_closed_connection_is_not_mistaken_for_its_listener() {
    let (listener, address) = bind_listener();
    let (client, server) = connected_pair(&listener, address);
    let client_address = client.local_addr().expect("the client is connected");
    assert_eq!(unread::unread_bytes_at(address, client_address).expect("the kernel responds"), Some(0));
    socket2::SockRef::from(&server).set_linger(Some(Duration::ZERO)).expect("the linger option can be set");
    drop(server);
    assert_eq!(unread::unread_bytes_at(address, client_address).expect("the kernel responds"), None);
}

/// Guards against clients that write to a terminated process because their own runtime has not processed the end yet.
#[test]
fn a_connection_end_is_detected_before_the_runtime_processes_it() {
    let (listener, address) = bind_listener();
    runtime().block_on(async {
        let connection = PersistentConnection::open(address).await.expect("the server listens");
        let (server, _) = listener.accept().expect("the client has connected");
        assert!(!connection.has_ended());
        drop(server);
        thread::sleep(SETTLE_TIME);
        assert!(connection.has_ended());
    });
}

/// Guards against blaming a gateway that does not observe a client's disconnection. A process that is being started holds
/// duplicates of all sockets until it executes its program, which takes hundreds of milliseconds on a busy machine.
#[test]
fn a_client_that_leaves_is_seen_while_a_copy_of_its_socket_is_held() {
    let (listener, address) = bind_listener();
    runtime().block_on(async {
        let connection = PersistentConnection::open(address).await.expect("the server listens");
        let (mut server, _) = listener.accept().expect("the client has connected");
        let copy = connection.clone_socket().expect("a descriptor is free");
        connection.close();
        server.set_read_timeout(Some(SETTLE_TIME)).expect("the connection is open");
        assert_eq!(server.read(&mut [0]).expect("the end of the connection is received"), 0);
        drop(copy);
    });
}

/// Guards against blaming a gateway for a request whose last piece was never sent.
#[test]
fn a_request_that_is_written_in_part_is_not_sent() {
    let (listener, address) = bind_listener();
    let server = thread::spawn(move || {
        let (mut server, _) = listener.accept().expect("the client connects");
        server.read_exact(&mut [0; FIRST_PIECE_BYTES]).expect("the first piece arrives");
        server.shutdown(Shutdown::Write).expect("the connection is open");
        server
    });
    runtime().block_on(async {
        let mut connection = PersistentConnection::open(address).await.expect("the server listens");
        let progress = connection.write(REQUEST, PIECES, SETTLE_TIME).await;
        assert_eq!(progress.bytes(), FIRST_PIECE_BYTES);
        assert_eq!(progress.written_at(REQUEST.len()), None);
        let partly_sent_at = progress.written_at(FIRST_PIECE_BYTES).expect("the first piece was written");
        assert!(partly_sent_at >= progress.began_at);
    });
    drop(server.join());
}

/// Guards against confusing the three orderly ends of a connection.
#[test]
fn an_orderly_close_shows_how_much_was_read() {
    for (read, end) in [
        (0, ConnectionEnd::Unread),
        (FIRST_PIECE_BYTES, ConnectionEnd::PartlyRead),
        (REQUEST.len(), ConnectionEnd::Read),
    ] {
        let (listener, address) = bind_listener();
        let server = thread::spawn(move || {
            let (mut server, _) = listener.accept().expect("the client connects");
            server.set_read_timeout(Some(SETTLE_TIME)).expect("the connection is open");
            // The whole request has arrived before a part of it is read.
            thread::sleep(SETTLE_TIME);
            server.read_exact(&mut vec![0; read]).expect("the request arrives");
            server.shutdown(Shutdown::Write).expect("the connection is open");
            server
        });
        runtime().block_on(async {
            let mut connection = PersistentConnection::open(address).await.expect("the server listens");
            let progress = connection.write(REQUEST, 1, Duration::ZERO).await;
            assert_eq!(connection.read_response(progress.bytes()).await, Err(end));
        });
        drop(server.join());
    }
}

/// Guards the check of requests that cross the gateway's orderly close. Immediately afterwards they are unread; some time later the
/// gateway has discarded them, and they appear to have been read.
#[test]
fn bytes_sent_after_an_orderly_close_are_unread_until_the_gateway_discards_them() {
    let program = Path::new(env!("CARGO_BIN_EXE_glenrail-fault-tests"));
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("the runtime is built").block_on(async {
        let spec = DeploymentSpec::new(1, 1, 1);
        let started = Deployment::start(spec, program, &program.with_file_name("glenrail")).await;
        let deployment = started.expect("the deployment starts");
        let address = deployment.gateways[0].address;
        let mut client = TcpStream::connect(address).expect("the server listens");
        client.set_read_timeout(Some(IDLE_CLOSE_TIMEOUT)).expect("the connection is open");
        let client_address = client.local_addr().expect("the client is connected");
        assert_eq!(client.read(&mut [0]).expect("the gateway closes the connection in order"), 0);
        client.write_all(REQUEST).expect("the gateway's end is still open");
        let unread = unread::unread_bytes_at(address, client_address).expect("the kernel responds");
        assert_eq!(unread, Some(REQUEST.len() as u64));
        tokio::time::sleep(DISCARD_WAIT).await;
        let unread_later = unread::unread_bytes_at(address, client_address).expect("the kernel responds");
        assert!(unread_later.is_none_or(|unread| unread == 0), "{unread_later:?}");
    });
}
