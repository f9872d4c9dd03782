//! Listening sockets of the fronts: bound or inherited from a predecessor, and duplicated for a successor.

use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};

use tokio::net::TcpListener;

use super::error::DaemonError;
use crate::log;

/// Listening address of a front.
pub(super) struct ListenAddress<'a> {
    pub(super) address: &'a str,
    /// Configuration key of the address, for error messages.
    pub(super) key: &'static str,
    /// Name of the front in log lines.
    pub(super) front: &'static str,
}

/// Returns the predecessor's listener if it has the requested address, else binds a new one.
pub(super) async fn listen(
    listen_address: ListenAddress<'_>, inherited: Option<std::net::TcpListener>,
) -> Result<TcpListener, DaemonError> {
    let ListenAddress { address, key, front } = listen_address;
    let failed = |error: io::Error| DaemonError::Listen { key, address: address.to_string(), error };
    let listener = match inherited.filter(|listener| serves_address(listener, address)) {
        Some(listener) => TcpListener::from_std(listener).map_err(failed)?,
        None => TcpListener::bind(address).await.map_err(failed)?,
    };
    log!("{front} front on {}", listener.local_addr().map_err(failed)?);
    Ok(listener)
}

/// Returns whether a listener is bound to this address. Port 0 matches any port.
fn serves_address(listener: &std::net::TcpListener, address: &str) -> bool {
    let (Ok(actual), Ok(wanted)) = (listener.local_addr(), address.parse::<SocketAddr>()) else {
        return false;
    };
    actual == wanted || wanted.port() == 0 && actual.ip() == wanted.ip()
}

/// Duplicated listeners for a successor, each with the number of its front.
#[derive(Default)]
pub(super) struct ListenerCopies(Vec<(u8, OwnedFd)>);

impl ListenerCopies {
    pub(super) fn add(&mut self, front: u8, listener: &TcpListener) -> Result<(), DaemonError> {
        let copy = listener.as_fd().try_clone_to_owned().map_err(DaemonError::CopyListener)?;
        self.0.push((front, copy));
        Ok(())
    }

    pub(super) fn into_inner(self) -> Vec<(u8, OwnedFd)> {
        self.0
    }
}
