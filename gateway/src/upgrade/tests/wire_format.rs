//! Compares the messages of an upgrade with those recorded from an earlier build: in an update, the predecessor is the
//! old build and the successor the new one.

use std::io::{IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown as Close, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net as blocking;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use tokio::net::UnixStream;
use tokio::sync::Semaphore;

use crate::budget::Budget;
use crate::exchange::StreamRemainder;
use crate::request_ids::RequestIds;
use crate::shutdown::Shutdown;
use crate::upgrade::socket_path::socket_path;
use crate::upgrade::transferred::{TransferredConnection, TransferredStream};
use crate::upgrade::{
    request_handover, serve_as_predecessor, serve_as_successor, RoutingStateTransfer, SharedLimits,
    TransferInbox, TransferInboxes, UpgradeLink, FRONTS, PLATFORM, SECOND,
};

const MESSAGES: &str = include_str!("../../../tests/fixtures/upgrade_messages.txt");
/// File name of the socket in the state directory.
const SOCKET: &str = "handover";
/// Routing state, which is opaque to the protocol.
const ROUTING_STATE: [u8; 16] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15];
const READ_AHEAD: &[u8] = b"1a\r\nabc";
const CLASS: &str = "interactive";
/// Maximum time that a test waits before it fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Data sent with a client connection that has a stream in flight: the bytes read ahead, and the class.
type StreamData = (&'static [u8], Option<&'static str>);

/// Recorded messages that transfer a client connection, each with the number of its front.
const CONNECTIONS: [(&str, u8, Option<StreamData>); 5] = [
    ("connection at rest, first front", PLATFORM, None),
    ("connection at rest, second front", SECOND, None),
    ("stream, first front", PLATFORM, Some((READ_AHEAD, Some(CLASS)))),
    ("stream, second front", SECOND, Some((READ_AHEAD, Some(CLASS)))),
    ("stream, nothing read ahead, no class", PLATFORM, Some((b"", None))),
];

/// Returns the number of descriptors and the bytes of a recorded message.
fn recorded(name: &str) -> (usize, Vec<u8>) {
    let fields = |line: &'static str| line.split(" | ").collect::<Vec<_>>();
    let fields = MESSAGES.lines().map(fields).find(|f| f[0] == name).expect("a recorded message");
    let byte = |at| u8::from_str_radix(&fields[2][at..at + 2], 16).expect("hexadecimal digits");
    (fields[1].parse().expect("a number"), (0..fields[2].len()).step_by(2).map(byte).collect())
}

/// Simulated other process of an upgrade, which handles only the recorded messages.
struct Peer(blocking::UnixStream);

impl Peer {
    fn new(stream: blocking::UnixStream) -> Peer {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
        Peer(stream)
    }

    /// Connects as soon as the first process listens.
    fn connect(state: &Path) -> Peer {
        let address = socket_path(state, SOCKET).expect("a path");
        let began = Instant::now();
        loop {
            match blocking::UnixStream::connect(&address.path) {
                Ok(stream) => return Peer::new(stream),
                Err(e) => assert!(began.elapsed() < TEST_TIMEOUT, "no process listens: {e}"),
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Waits for a process that requests the handover.
    fn accept(socket: &blocking::UnixListener) -> Peer {
        socket.set_nonblocking(true).expect("not blocking");
        let began = Instant::now();
        loop {
            match socket.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).expect("blocking");
                    return Peer::new(stream);
                }
                Err(e) => assert!(began.elapsed() < TEST_TIMEOUT, "no process connects: {e}"),
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Reads the bytes available, and the descriptors sent with them.
    fn read(&self, bytes: &mut [u8]) -> (usize, Vec<OwnedFd>) {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut bytes = [IoSliceMut::new(bytes)];
        let got = recvmsg(&self.0, &mut bytes, &mut control, RecvFlags::CMSG_CLOEXEC).expect("a message");
        let descriptors = control.drain().flat_map(|message| match message {
            RecvAncillaryMessage::ScmRights(descriptors) => descriptors.collect::<Vec<_>>(),
            _ => Vec::new(),
        });
        (got.bytes, descriptors.collect())
    }

    /// Reads a message, asserts that it is the recorded one, and returns its descriptors.
    fn expect(&self, name: &str) -> Vec<OwnedFd> {
        let (count, bytes) = recorded(name);
        let mut got = vec![0; bytes.len()];
        let (mut size, descriptors) = self.read(&mut got[..1]);
        assert_eq!((size, descriptors.len()), (1, count), "{name}");
        while size < got.len() {
            let (more, late) = self.read(&mut got[size..]);
            assert!(more > 0 && late.is_empty(), "{name}: {more} bytes, {} late descriptors", late.len());
            size += more;
        }
        assert_eq!(got, bytes, "{name}");
        descriptors
    }

    /// Sends a recorded message with these descriptors.
    fn send(&self, name: &str, descriptors: &[BorrowedFd<'_>]) {
        let (count, bytes) = recorded(name);
        assert_eq!(descriptors.len(), count, "{name}");
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if count > 0 {
            assert!(control.push(SendAncillaryMessage::ScmRights(descriptors)));
        }
        let first = [IoSlice::new(&bytes[..1])];
        assert_eq!(sendmsg(&self.0, &first, &mut control, SendFlags::NOSIGNAL).expect("sent"), 1);
        (&self.0).write_all(&bytes[1..]).expect("sent");
    }

    /// Closes the connection, and asserts that nothing more was sent.
    fn end(mut self) {
        self.0.shutdown(Close::Write).expect("closed");
        let mut rest = Vec::new();
        self.0.read_to_end(&mut rest).expect("the end");
        assert!(rest.is_empty(), "{rest:x?}");
    }
}

/// The two addresses of a connection, which identify it.
type Ends = (SocketAddr, SocketAddr);

fn ends(socket: &TcpStream) -> Ends {
    (socket.local_addr().expect("an address"), socket.peer_addr().expect("an address"))
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Returns both ends of a new connection.
fn connection() -> [TcpStream; 2] {
    let (listener, address) = listener();
    let near = TcpStream::connect(address).expect("a connection");
    [near, listener.accept().expect("a connection").0]
}

/// Creates a state directory for one test.
fn state(name: &str) -> PathBuf {
    let state = std::env::temp_dir().join(format!("glenrail-wire-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&state);
    std::fs::create_dir_all(&state).expect("a directory");
    state
}

fn limits() -> SharedLimits {
    let slots = Arc::new(Semaphore::new(10));
    SharedLimits { slots, connections: 10, budget: Budget::new(100), bodies: 100 }
}

/// Returns a client and a server connection, each with both ends, for each of `CONNECTIONS`.
fn sockets() -> Vec<[[TcpStream; 2]; 2]> {
    CONNECTIONS.iter().map(|_| [connection(), connection()]).collect()
}

/// Transfers the connections once the successor has taken over.
async fn transfer_connections(sockets: Vec<[TcpStream; 2]>, shutdown: &Shutdown) {
    let mut updates = shutdown.successor_updates();
    let successor = updates.wait_for(Option::is_some).await.expect("a successor").clone();
    let successor = successor.expect("a successor");
    for ((_, front, stream), [client, server]) in CONNECTIONS.into_iter().zip(sockets) {
        let transferred = |(read_ahead, class): StreamData| TransferredStream {
            remainder: StreamRemainder {
                socket: server,
                read_ahead: read_ahead.to_vec(),
                last_event: None,
                id_hold: None,
            },
            class: class.map(String::from),
        };
        let connection = TransferredConnection {
            front,
            socket: client,
            stream: stream.map(transferred),
            guard: shutdown.guard(),
        };
        assert!(successor.send(connection).is_ok());
    }
}

/// Asserts that a successor receives the recorded messages: the listeners, the routing state and the connections.
fn expect_recorded_messages(
    peer: Peer, listeners: [SocketAddr; FRONTS], state_message: &str, connections: &[[Ends; 2]],
) {
    for (name, address) in ["listener, first front", "listener, second front"].into_iter().zip(listeners) {
        let got =
            peer.expect(name).into_iter().map(|l| TcpListener::from(l).local_addr().expect("an address"));
        assert_eq!(got.collect::<Vec<_>>(), [address], "{name}");
    }
    peer.expect("all listeners sent");
    peer.send("serving", &[]);
    peer.expect(state_message);
    for ((name, ..), sent) in CONNECTIONS.iter().zip(connections) {
        let got: Vec<Ends> = peer.expect(name).into_iter().map(|s| ends(&TcpStream::from(s))).collect();
        assert_eq!(got, sent[..got.len()], "{name}");
    }
    peer.end();
}

/// Runs a predecessor against a peer that expects the recorded messages.
async fn run_predecessor(name: &str, state_bytes: &'static [u8], recorded: &'static str) {
    let (state, shutdown) = (state(name), Shutdown::default());
    let ((first, first_at), (second, second_at)) = (listener(), listener());
    let listeners = vec![(PLATFORM, OwnedFd::from(first)), (SECOND, OwnedFd::from(second))];
    let (inboxes, _inboxes) = TransferInboxes::new();
    let routing_state =
        RoutingStateTransfer { export: Rc::new(|| state_bytes.to_vec()), import: Rc::new(|_| {}) };
    let (near, _far): (Vec<_>, Vec<_>) =
        sockets().into_iter().map(|[[c, c_far], [s, s_far]]| ([c, s], [c_far, s_far])).unzip();
    let connections: Vec<[Ends; 2]> = near.iter().map(|pair| pair.each_ref().map(ends)).collect();
    let directory = state.clone();
    let peer = tokio::task::spawn_blocking(move || {
        expect_recorded_messages(Peer::connect(&directory), [first_at, second_at], recorded, &connections);
    });
    let handing_over = serve_as_predecessor(
        state.clone(),
        listeners,
        inboxes,
        routing_state,
        RequestIds::default(),
        shutdown.clone(),
        limits(),
    );
    let transferring = async {
        transfer_connections(near, &shutdown).await;
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = handing_over => panic!("the predecessor returned before the test ended"),
        () = transferring => {}
        checked = peer => checked.expect("all is as recorded"),
    }
    std::fs::remove_dir_all(state).expect("removed");
}

/// Guards successors of an earlier build: the predecessor sends the recorded messages and no others.
#[tokio::test]
async fn the_predecessor_sends_the_recorded_messages() {
    run_predecessor("sent", &ROUTING_STATE, "learned state").await;
    run_predecessor("sent-unlearned", &[], "no learned state").await;
}

/// Guards predecessors of an earlier build: the recorded messages transfer each of their listeners.
#[tokio::test]
async fn the_successor_reads_the_recorded_listeners() {
    let state = state("listeners");
    let address = socket_path(&state, SOCKET).expect("a path");
    let socket = blocking::UnixListener::bind(&address.path).expect("a socket");
    let ((first, first_at), (second, second_at)) = (listener(), listener());
    let peer = tokio::task::spawn_blocking(move || {
        let peer = Peer::accept(&socket);
        peer.send("listener, first front", &[first.as_fd()]);
        peer.send("listener, second front", &[second.as_fd()]);
        peer.send("all listeners sent", &[]);
        peer.end();
    });
    let handover = request_handover(&state).await.expect("another process");
    let addresses = handover.listeners.map(|l| l.expect("a listener").local_addr().expect("an address"));
    assert_eq!(addresses, [first_at, second_at]);
    drop(handover.link);
    peer.await.expect("nothing is sent before the second process serves");
    std::fs::remove_dir_all(state).expect("removed");
}

/// Returns the link of a successor, and the simulated predecessor at its other end.
fn successor_link() -> (UpgradeLink, Peer) {
    let (ours, theirs) = blocking::UnixStream::pair().expect("a pair");
    ours.set_nonblocking(true).expect("not blocking");
    (UpgradeLink::new(UnixStream::from_std(ours).expect("a socket")), Peer::new(theirs))
}

/// Received connection, in the form of an item of `CONNECTIONS`.
type ReceivedConnection = (Ends, Option<(Ends, Vec<u8>, Option<String>)>);

fn received_connection(inbox: &mut TransferInbox) -> ReceivedConnection {
    let (client, stream) = inbox.try_recv().expect("a connection");
    let stream = stream.map(|moved| (ends(&moved.remainder.socket), moved.remainder.read_ahead, moved.class));
    (ends(&client), stream)
}

/// Guards client connections that an earlier build transfers: the recorded messages are decoded to their values and
/// answered as recorded.
#[tokio::test]
async fn the_successor_reads_the_recorded_messages() {
    let ((link, peer), sockets) = (successor_link(), sockets());
    let sent: Vec<[Ends; 2]> = sockets.iter().map(|[[c, _], [s, _]]| [ends(c), ends(s)]).collect();
    let peer = tokio::task::spawn_blocking(move || {
        peer.expect("serving");
        peer.send("learned state", &[]);
        for ((name, ..), [[client, _], [server, _]]) in CONNECTIONS.iter().zip(&sockets) {
            peer.send(name, &[client.as_fd(), server.as_fd()][..recorded(name).0]);
        }
        peer.send("no learned state", &[]);
        peer.end();
    });
    let (inboxes, mut inbox) = TransferInboxes::new();
    let imported = Rc::new(std::cell::RefCell::new(Vec::new()));
    let import = {
        let imported = imported.clone();
        Rc::new(move |bytes: &[u8]| imported.borrow_mut().push(bytes.to_vec()))
    };
    let routing_state = RoutingStateTransfer { export: Rc::new(Vec::new), import };
    let half = limits().reserve_half();
    serve_as_successor(link, inboxes, routing_state, RequestIds::default(), Shutdown::default(), half).await;
    peer.await.expect("all is as recorded");
    assert_eq!(*imported.borrow(), [ROUTING_STATE.to_vec(), Vec::new()]);
    for ((name, front, stream), [client, server]) in CONNECTIONS.into_iter().zip(sent) {
        let stream = stream.map(|(read_ahead, class)| (server, read_ahead.to_vec(), class.map(String::from)));
        assert_eq!(received_connection(&mut inbox[usize::from(front)]), (client, stream), "{name}");
    }
    assert!(inbox.iter_mut().all(|inbox| inbox.try_recv().is_err()), "no further connection was received");
}

/// Guards the wait of a client over an upgrade: the time of a stream's last event goes with that stream and with no other.
#[tokio::test]
async fn the_time_of_the_last_event_goes_with_its_stream() {
    let (ours, theirs) = UnixStream::pair().expect("a pair");
    let (predecessor, shutdown) = (UpgradeLink::new(theirs), Shutdown::default());
    let age = Duration::from_millis(1_500);
    let guards = shutdown.clone();
    let sending = async move {
        predecessor.receive().await.expect("the successor serves");
        for last_event in [tokio::time::Instant::now().checked_sub(age), None] {
            let [[client, _client_end], [server, _server_end]] = [connection(), connection()];
            let remainder =
                StreamRemainder { socket: server, read_ahead: Vec::new(), last_event, id_hold: None };
            let stream = Some(TransferredStream { remainder, class: None });
            let guard = guards.guard();
            let transferred = TransferredConnection { front: PLATFORM, socket: client, stream, guard };
            predecessor.send_connection(&transferred).await.expect("sent");
        }
    };
    let (inboxes, mut inbox) = TransferInboxes::new();
    let routing_state = RoutingStateTransfer { export: Rc::new(Vec::new), import: Rc::new(|_| {}) };
    let (link, half) = (UpgradeLink::new(ours), limits().reserve_half());
    let receiving = serve_as_successor(link, inboxes, routing_state, RequestIds::default(), shutdown, half);
    tokio::join!(sending, receiving);
    let mut received_age = || {
        let (_, stream) = inbox[usize::from(PLATFORM)].try_recv().expect("a connection");
        stream.expect("a stream").remainder.last_event.map(|last_event| last_event.elapsed())
    };
    let received = received_age().expect("a time");
    assert!(received >= age && received < age * 2, "{received:?}");
    assert_eq!(received_age(), None);
}
