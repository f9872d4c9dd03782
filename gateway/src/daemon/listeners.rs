//! The fronts' listening sockets: opened, or taken over from a predecessor, and copied for a successor.

use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};

use tokio::net::TcpListener;

use super::error::DaemonError;
use crate::log;

/// Where a front listens.
pub(super) struct ListenAddress<'a> {
    pub(super) address: &'a str,
    /// The configuration's key, for errors.
    pub(super) key: &'static str,
    /// The front as the log names it.
    pub(super) front: &'static str,
}

/// Listens at an address, or goes on with the predecessor's listener if that one is there already.
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

/// Whether a listener is there at this address. Port 0 stands for any port.
fn serves_address(listener: &std::net::TcpListener, address: &str) -> bool {
    let (Ok(actual), Ok(wanted)) = (listener.local_addr(), address.parse::<SocketAddr>()) else {
        return false;
    };
    actual == wanted || wanted.port() == 0 && actual.ip() == wanted.ip()
}

/// Copies of the fronts' listeners with the fronts' numbers, for a successor.
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
