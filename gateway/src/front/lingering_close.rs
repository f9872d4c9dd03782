//! Lingering close of a client connection. Closing a socket with unread bytes would send a reset, and the
//! client could lose the part of its response that it has not read yet.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::counted_socket::wait_for_peer_close;

/// Time limit for the client to close the connection after the gateway has ended its sending side.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of bytes that are read and dropped in that time, and again after it.
const LINGER_MAX_BYTES: usize = 4 << 20;
/// Maximum number of bytes that are dropped by one read.
const LINGER_READ_BYTES: usize = 16 << 10;

/// What the client may still send while its connection is being closed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Expected {
    /// The rest of a request that had its response early. Some clients read the response only after they have
    /// sent the whole request.
    RestOfRequest,
    /// Nothing that is served. A request that arrives now stays unread until the client closes the connection
    /// or the wait ends, and the client can send it again on another connection.
    Nothing,
}

/// Ends the sending side, then waits until the client has closed the connection, a limit is reached, or
/// `evicted` completes, and drops the bytes that are unread by then. Adds the number of bytes that it drops
/// to `dropped`.
pub(super) async fn close(
    socket: &TcpStream, expected: Expected, dropped: &Cell<usize>, evicted: impl Future<Output = ()>,
) {
    // An error means that the connection has ended already.
    let _ = SockRef::from(socket).shutdown(Shutdown::Write);
    let client_ends = async {
        if expected == Expected::Nothing && matches!(socket.peek(&mut [0]).await, Ok(1..)) {
            wait_for_peer_close(socket).await;
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

/// Drops the unread bytes that have arrived, up to a limit, without waiting for more.
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

/// Drops some unread bytes, and returns whether there may be more. It is a function of its own, because a
/// buffer in the future of [`close`] would occupy memory as long as the connection is open.
fn drop_some(socket: &TcpStream, dropped: &Cell<usize>) -> bool {
    match socket.try_read(&mut [0; LINGER_READ_BYTES]) {
        Ok(read) => {
            dropped.set(dropped.get() + read);
            read > 0
        }
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
    }
}
