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
const MAX_MEDIAN_LOOKUP: Duration = Duration::from_millis(1);
const REQUEST: &[u8] = b"POST / HTTP/1.1\r\ncontent-length: 4\r\n\r\nbody";
const PIECES: usize = 2;
/// Bytes of the first of so many pieces.
const FIRST_PIECE_BYTES: usize = REQUEST.len().div_ceil(PIECES);
/// Longer than loopback takes for anything.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// A gateway ends a connection that says nothing after 2.5 s, and drops what crossed that end 1 s later.
const IDLE_CLOSE_TIMEOUT: Duration = Duration::from_secs(10);
const DISCARD_WAIT: Duration = Duration::from_millis(1_500);

fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has ports");
    let address = listener.local_addr().expect("it is bound");
    (listener, address)
}

fn connected_pair(listener: &TcpListener, address: SocketAddr) -> (TcpStream, TcpStream) {
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
    let (listener, address) = bind_listener();
    let _others: Vec<_> = (0..OTHER_CONNECTIONS).map(|_| connected_pair(&listener, address)).collect();
    let (mut client, _server) = connected_pair(&listener, address);
    client.write_all(REQUEST).expect("it stands");
    let client_address = client.local_addr().expect("it is connected");
    let mut durations: Vec<Duration> = (0..LOOKUPS)
        .map(|_| {
            let began = Instant::now();
            let unread = unread::unread_bytes_at(address, client_address).expect("the kernel answers");
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

/// Guards a client whose gateway has closed its connection from being shown the listener at the same address in its place.
#[test]
fn a_closed_connection_is_not_mistaken_for_its_listener() {
    let (listener, address) = bind_listener();
    let (client, server) = connected_pair(&listener, address);
    let client_address = client.local_addr().expect("it is connected");
    assert_eq!(unread::unread_bytes_at(address, client_address).expect("the kernel answers"), Some(0));
    socket2::SockRef::from(&server).set_linger(Some(Duration::ZERO)).expect("a socket can be reset");
    drop(server);
    assert_eq!(unread::unread_bytes_at(address, client_address).expect("the kernel answers"), None);
}

/// Guards clients from writing to a process that has ended, only because their own runtime was late to note it.
#[test]
fn a_connection_end_is_detected_before_the_runtime_processes_it() {
    let (listener, address) = bind_listener();
    runtime().block_on(async {
        let connection = PersistentConnection::open(address).await.expect("it listens");
        let (server, _) = listener.accept().expect("a connection has come");
        assert!(!connection.has_ended());
        drop(server);
        thread::sleep(SETTLE_TIME);
        assert!(connection.has_ended());
    });
}

/// Guards gateways from being charged with a client that left and whose end was held back: a process that is being started holds
/// copies of all sockets until it has begun, which on a busy machine takes hundreds of milliseconds.
#[test]
fn a_client_that_leaves_is_seen_while_a_copy_of_its_socket_is_held() {
    let (listener, address) = bind_listener();
    runtime().block_on(async {
        let connection = PersistentConnection::open(address).await.expect("it listens");
        let (mut server, _) = listener.accept().expect("a connection has come");
        let copy = connection.clone_socket().expect("descriptors are left");
        connection.close();
        server.set_read_timeout(Some(SETTLE_TIME)).expect("it stands");
        assert_eq!(server.read(&mut [0]).expect("its end has come"), 0);
        drop(copy);
    });
}

/// Guards gateways from being charged with a request whose last piece was never sent.
#[test]
fn a_request_that_is_written_in_part_is_not_sent() {
    let (listener, address) = bind_listener();
    let server = thread::spawn(move || {
        let (mut server, _) = listener.accept().expect("a connection comes");
        server.read_exact(&mut [0; FIRST_PIECE_BYTES]).expect("the first piece comes");
        server.shutdown(Shutdown::Write).expect("it stands");
        server
    });
    runtime().block_on(async {
        let mut connection = PersistentConnection::open(address).await.expect("it listens");
        let progress = connection.write(REQUEST, PIECES, SETTLE_TIME).await;
        assert_eq!(progress.bytes(), FIRST_PIECE_BYTES);
        assert_eq!(progress.written_at(REQUEST.len()), None);
        let partly_sent_at = progress.written_at(FIRST_PIECE_BYTES).expect("it was written");
        assert!(partly_sent_at >= progress.began_at);
    });
    drop(server.join());
}

/// Guards the three orderly ends of a connection from being taken for each other.
#[test]
fn an_orderly_close_shows_how_much_was_read() {
    for (read, end) in [
        (0, ConnectionEnd::Unread),
        (FIRST_PIECE_BYTES, ConnectionEnd::PartlyRead),
        (REQUEST.len(), ConnectionEnd::Read),
    ] {
        let (listener, address) = bind_listener();
        let server = thread::spawn(move || {
            let (mut server, _) = listener.accept().expect("a connection comes");
            server.set_read_timeout(Some(SETTLE_TIME)).expect("it stands");
            // All of the request has come before some of it is read.
            thread::sleep(SETTLE_TIME);
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
fn bytes_sent_after_an_orderly_close_are_unread_until_the_gateway_discards_them() {
    let program = Path::new(env!("CARGO_BIN_EXE_glenrail-fault-tests"));
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let spec = DeploymentSpec::new(1, 1, 1);
        let started = Deployment::start(spec, program, &program.with_file_name("glenrail")).await;
        let deployment = started.expect("it starts");
        let address = deployment.gateways[0].address;
        let mut client = TcpStream::connect(address).expect("it listens");
        client.set_read_timeout(Some(IDLE_CLOSE_TIMEOUT)).expect("it stands");
        let client_address = client.local_addr().expect("it is connected");
        assert_eq!(client.read(&mut [0]).expect("it is ended in order"), 0);
        client.write_all(REQUEST).expect("the gateway's end still stands");
        let unread = unread::unread_bytes_at(address, client_address).expect("the kernel answers");
        assert_eq!(unread, Some(REQUEST.len() as u64));
        tokio::time::sleep(DISCARD_WAIT).await;
        let unread_later = unread::unread_bytes_at(address, client_address).expect("the kernel answers");
        assert!(unread_later.is_none_or(|unread| unread == 0), "{unread_later:?}");
    });
}
