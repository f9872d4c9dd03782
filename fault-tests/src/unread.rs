//! Bytes that a process on this machine has received on a connection and not yet read.

use std::io;
use std::net::SocketAddr;

use glenrail_socket_diagnosis::query_connection;

/// Returns the unread bytes at the end `local` of its connection with `remote`, or `None` if that end no longer exists.
///
/// Does not wait for I/O: the kernel responds within the system call.
pub fn unread_bytes_at(local: SocketAddr, remote: SocketAddr) -> io::Result<Option<u64>> {
    let connection = query_connection(local, remote)?;
    Ok(connection.map(|connection| connection.unread_bytes))
}
