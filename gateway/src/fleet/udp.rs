//! Datagrams in, and the two sockets of one port.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use glenrail_fleet::MAX_DATAGRAM_BYTES;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;

use super::driver::Driver;
use super::error::WireError;

/// Where any port will do, one that is free for datagrams may be taken for streams: so often another is tried.
const MAX_BIND_ATTEMPTS: usize = 16;
/// After a failure to receive or accept, which may last.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Datagrams, the same socket for sending, and streams at one address.
pub(super) fn bind(address: SocketAddr) -> io::Result<(UdpSocket, std::net::UdpSocket, TcpListener)> {
    let mut attempts = 0;
    loop {
        let socket = std::net::UdpSocket::bind(address)?;
        let listener = socket.local_addr().and_then(listen);
        attempts += 1;
        match listener {
            Ok(listener) => {
                socket.set_nonblocking(true)?;
                let sender = socket.try_clone()?;
                return Ok((UdpSocket::from_std(socket)?, sender, listener));
            }
            Err(error)
                if error.kind() == io::ErrorKind::AddrInUse
                    && address.port() == 0
                    && attempts < MAX_BIND_ATTEMPTS => {}
            Err(error) => return Err(error),
        }
    }
}

/// Not through `TcpListener::bind` of tokio, which is for asynchronous callers only. The standard library's sets
/// `SO_REUSEADDR`, so that a restart does not wait for streams of the earlier life to time out.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Until it is dropped.
pub(super) async fn receive(driver: &Rc<Driver>) {
    // One byte more than may come: a longer datagram is cut off there, and refused for its length.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match driver.socket.recv_from(&mut buffer).await {
            Ok((bytes, from)) => {
                let result =
                    driver.step(|fleet, now, effects| fleet.datagram(now, from, &buffer[..bytes], effects));
                if let Err(rejection) = result {
                    driver.log_rejection(from, rejection);
                }
            }
            Err(error) => {
                driver.failed(&WireError::Receive(error));
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}
