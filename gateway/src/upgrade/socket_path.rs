//! The Unix socket in the state directory at which a successor finds its predecessor.

use std::fs::{remove_file, rename, File};
use std::io;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};

use tokio::net::UnixListener;

/// Name of the socket.
pub(super) const SOCKET_NAME: &str = "handover";
/// Longest path that is used as a socket's address, in bytes: the system's bound of 108, less a margin.
const MAX_SOCKET_PATH: usize = 100;

/// A path that fits into a socket's address. It is valid for as long as the directory is open.
pub(super) struct SocketPath {
    pub(super) path: PathBuf,
    _directory: Option<File>,
}

/// The path of this file in the directory; one that is too long goes by way of a descriptor of the directory.
pub(super) fn socket_path(directory: &Path, name: &str) -> io::Result<SocketPath> {
    let path = directory.join(name);
    if path.as_os_str().len() <= MAX_SOCKET_PATH {
        return Ok(SocketPath { path, _directory: None });
    }
    let open = File::open(directory)?;
    let path = PathBuf::from(format!("/proc/self/fd/{}/{name}", open.as_raw_fd()));
    Ok(SocketPath { path, _directory: Some(open) })
}

/// Makes this process the one that hands over from now on, in place of any before: a rename replaces the socket at once.
pub(super) fn publish(state: &Path) -> io::Result<UnixListener> {
    let own_name = format!("{SOCKET_NAME}-{}", std::process::id());
    let address = socket_path(state, &own_name)?;
    let _ = remove_file(state.join(&own_name));
    let listener = UnixListener::bind(&address.path)?;
    rename(state.join(&own_name), state.join(SOCKET_NAME))?;
    Ok(listener)
}
