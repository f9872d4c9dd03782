//! Sockets of a member, for datagrams and streams on the same port. Opened by [`super::tasks::start`] and owned by
//! [`super::driver::Driver`].

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, UdpSocket};

/// Maximum number of attempts to bind both sockets to a port chosen by the system: a port that is free for UDP may be
/// in use for TCP.
const MAX_BIND_ATTEMPTS: usize = 16;
/// Pause after a failure to receive or accept, as the cause may persist.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Sockets of a member, all bound to the same address.
pub(super) struct Sockets {
    /// Socket that receives datagrams.
    pub(super) receiver: UdpSocket,
    /// Duplicate of the same socket that bypasses the runtime. The runtime sends nothing before it has first polled a
    /// socket, so the messages of the start, and of a leave right after it, would be lost.
    pub(super) sender: std::net::UdpSocket,
    /// Listener for streams opened by other members.
    pub(super) listener: TcpListener,
}

impl Sockets {
    /// Binds all sockets to `address`.
    pub(super) fn bind(address: SocketAddr) -> io::Result<Sockets> {
        let mut attempts = 0;
        loop {
            let socket = std::net::UdpSocket::bind(address)?;
            let listener = socket.local_addr().and_then(listen);
            attempts += 1;
            match listener {
                Ok(listener) => {
                    socket.set_nonblocking(true)?;
                    let sender = socket.try_clone()?;
                    let receiver = UdpSocket::from_std(socket)?;
                    return Ok(Sockets { receiver, sender, listener });
                }
                Err(error) if is_port_conflict(&error, address) && attempts < MAX_BIND_ATTEMPTS => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Returns the bound address.
    pub(super) fn local_address(&self) -> io::Result<SocketAddr> {
        self.receiver.local_addr()
    }
}

/// Returns whether the bind can be retried with another port, because the system chose the port in use.
fn is_port_conflict(error: &io::Error, requested: SocketAddr) -> bool {
    error.kind() == io::ErrorKind::AddrInUse && requested.port() == 0
}

/// Binds the listener with the standard library, as `TcpListener::bind` of tokio is asynchronous. The standard library
/// sets `SO_REUSEADDR`, so a restart does not have to wait until the streams of the earlier incarnation have timed
/// out.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}
