//! Datagrams in, and the two sockets of one port.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use glenrail_fleet::DATAGRAM_MOST;
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;

use super::driver::Driver;
use super::error::WireError;

/// Where any port will do, one that is free for datagrams may be taken for streams: so often another is tried.
const TRIES: usize = 16;
/// After a failure to receive or accept, which may last.
pub(super) const PAUSE: Duration = Duration::from_millis(100);

/// Datagrams, the same socket for sending, and streams at one address.
pub(super) fn bind(at: SocketAddr) -> io::Result<(UdpSocket, std::net::UdpSocket, TcpListener)> {
    let mut tried = 0;
    loop {
        let socket = std::net::UdpSocket::bind(at)?;
        let listener = socket.local_addr().and_then(listen);
        tried += 1;
        match listener {
            Ok(listener) => {
                socket.set_nonblocking(true)?;
                let sender = socket.try_clone()?;
                return Ok((UdpSocket::from_std(socket)?, sender, listener));
            }
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && at.port() == 0 && tried < TRIES => {}
            Err(e) => return Err(e),
        }
    }
}

/// Not through `TcpListener::bind` of tokio, which is for asynchronous callers only. The standard library's sets
/// `SO_REUSEADDR`, so that a restart does not wait for streams of the earlier life to time out.
fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(at)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Until it is dropped.
pub(super) async fn receive(driver: &Rc<Driver>) {
    // One byte more than may come: a longer datagram is cut off there, and refused for its length.
    let mut buffer = [0; DATAGRAM_MOST + 1];
    loop {
        match driver.socket.recv_from(&mut buffer).await {
            Ok((bytes, from)) => {
                let taken = driver.step(|fleet, now, out| fleet.datagram(now, from, &buffer[..bytes], out));
                if let Err(refused) = taken {
                    driver.refused(from, refused);
                }
            }
            Err(error) => {
                driver.failed(&WireError::Receive(error));
                sleep(PAUSE).await;
            }
        }
    }
}
