//! Bytes that a process on this machine has not read from one of its connections.

use std::io;
use std::net::SocketAddr;

use glenrail_socket_diagnosis::connection_at;

/// Unread bytes at the end `local` of the connection from `remote`; `None` where that end is gone.
///
/// Never waits: the kernel answers within the call that asks.
pub fn unread_bytes_at(local: SocketAddr, remote: SocketAddr) -> io::Result<Option<u64>> {
    let connection = connection_at(local, remote)?;
    Ok(connection.map(|connection| connection.unread_bytes))
}
