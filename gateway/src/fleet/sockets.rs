//! The sockets of a member: datagrams and streams on one port. Opened by [`super::tasks::start`] and owned by
//! [`super::driver::Driver`].

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, UdpSocket};

/// Attempts to bind both where any port will do: a port that is free for datagrams may be taken for streams.
const MAX_BIND_ATTEMPTS: usize = 16;
/// Pause after a failure to receive or to accept, which may persist.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The sockets of a member, all at one address.
pub(super) struct Sockets {
    /// Receives datagrams.
    pub(super) receiver: UdpSocket,
    /// The same socket without the runtime, which sends nothing before it has first polled a socket: greetings of the
    /// start, and of a leave that follows at once, would be lost.
    pub(super) sender: std::net::UdpSocket,
    /// Accepts the streams of other members.
    pub(super) listener: TcpListener,
}

impl Sockets {
    /// Binds all of them to `address`.
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

    /// The address that they are bound to.
    pub(super) fn local_address(&self) -> io::Result<SocketAddr> {
        self.receiver.local_addr()
    }
}

/// Whether another port may be tried, because the system chose this one.
fn is_port_conflict(error: &io::Error, requested: SocketAddr) -> bool {
    error.kind() == io::ErrorKind::AddrInUse && requested.port() == 0
}

/// Not by `TcpListener::bind` of tokio, which only asynchronous callers can use. The standard library sets
/// `SO_REUSEADDR`, so a restart need not wait until streams of the earlier incarnation have timed out.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}
