//! Paths of the Unix sockets in the state directory over which a successor connects to its predecessor.

use std::fs::{remove_file, rename, File};
use std::io;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};

use tokio::net::UnixListener;

/// File name of the handover's socket in the state directory.
pub(super) const SOCKET_NAME: &str = "handover";
/// Maximum length of a socket path, in bytes: the system's limit of 108, less a margin.
const MAX_SOCKET_PATH_BYTES: usize = 100;

/// A path short enough for a socket address. It is valid as long as this value, which keeps the directory open.
pub(super) struct SocketPath {
    pub(super) path: PathBuf,
    _directory: Option<File>,
}

/// Returns the path of this file in the directory. If it is too long, the path goes through a descriptor of the
/// directory.
pub(super) fn socket_path(directory: &Path, name: &str) -> io::Result<SocketPath> {
    let path = directory.join(name);
    if path.as_os_str().len() <= MAX_SOCKET_PATH_BYTES {
        return Ok(SocketPath { path, _directory: None });
    }
    let open = File::open(directory)?;
    let path = PathBuf::from(format!("/proc/self/fd/{}/{name}", open.as_raw_fd()));
    Ok(SocketPath { path, _directory: Some(open) })
}

/// Makes this process the predecessor of the next successor.
pub(super) fn publish(state: &Path) -> io::Result<UnixListener> {
    publish_as(state, SOCKET_NAME)
}

/// Listens on the socket of this name. A rename atomically replaces the socket of an earlier process.
pub(super) fn publish_as(state: &Path, name: &str) -> io::Result<UnixListener> {
    let own_name = format!("{name}-{}", std::process::id());
    let address = socket_path(state, &own_name)?;
    let _ = remove_file(state.join(&own_name));
    let listener = UnixListener::bind(&address.path)?;
    rename(state.join(&own_name), state.join(name))?;
    Ok(listener)
}
