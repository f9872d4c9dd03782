//! The end of a client's connection without a reset: a close over unread bytes would be one, and eat what the client has
//! not read yet.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::counted_socket::read_closed;

/// After its end has been sent on a connection, its client has this time to end it too.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Most bytes that are read and dropped meanwhile.
const LINGER_MAX_BYTES: usize = 4 << 20;
/// Bytes that are dropped at once.
const LINGER_READ_BYTES: usize = 16 << 10;

/// What the client may still send as its connection ends.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Expected {
    /// The rest of a request that was answered early: the client reads the answer only once it has sent all.
    RestOfRequest,
    /// Nothing that will be served. A request that comes now stays unread: the client sends it again, elsewhere.
    Nothing,
}

/// Sends the connection's end, then waits within bounds until the client has ended it too, or until `evicted`. Adds the bytes that
/// it drops to `dropped`.
pub(super) async fn close(
    socket: &TcpStream, expected: Expected, dropped: &Cell<usize>, evicted: impl Future<Output = ()>,
) {
    // An error means that the connection has ended already.
    let _ = SockRef::from(socket).shutdown(Shutdown::Write);
    let client_ends = async {
        if expected == Expected::Nothing && matches!(socket.peek(&mut [0]).await, Ok(1..)) {
            read_closed(socket).await;
        }
        while dropped.get() < LINGER_MAX_BYTES
            && socket.readable().await.is_ok()
            && drop_some(socket, dropped)
        {}
    };
    tokio::select! {
        _ = timeout(LINGER_TIMEOUT, client_ends) => {}
        () = evicted => {}
    }
    drop_unread(socket, dropped);
}

/// Drops what has come and is unread, without waiting for more.
fn drop_unread(socket: &TcpStream, dropped: &Cell<usize>) {
    let bound = dropped.get() + LINGER_MAX_BYTES;
    loop {
        let before = dropped.get();
        drop_some(socket, dropped);
        if dropped.get() == before || dropped.get() >= bound {
            return;
        }
    }
}

/// Drops some unread bytes; says whether there may be more. Not a part of the future above: a buffer there would take memory
/// for as long as the connection lives.
fn drop_some(socket: &TcpStream, dropped: &Cell<usize>) -> bool {
    match socket.try_read(&mut [0; LINGER_READ_BYTES]) {
        Ok(read) => {
            dropped.set(dropped.get() + read);
            read > 0
        }
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
    }
}
