//! Drains the kernel's accept queue when this process stops accepting: the connections that are queued by then
//! are served.

use std::io;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use crate::log;

/// The accept queue counts as empty when it has yielded no connection for this time.
const EMPTY_AFTER: Duration = Duration::from_millis(5);
/// Accepting ends after this time even if new connections keep arriving.
const TIMEOUT: Duration = Duration::from_millis(100);

/// Takes connections until the queue is empty, each as soon as `room` completes. A failed accept concerns only one
/// connection, so the next one is accepted all the same.
pub(super) async fn empty<T>(
    mut room: impl AsyncFnMut(), mut accept: impl AsyncFnMut() -> io::Result<T>, mut take: impl FnMut(T),
) {
    let take_all = async {
        loop {
            room().await;
            let Ok(accepted) = timeout(EMPTY_AFTER, accept()).await else { return };
            match accepted {
                Ok(connection) => take(connection),
                Err(error) => {
                    log!("cannot accept a queued connection: {error}");
                    // If no file descriptor is left, one may become free.
                    sleep(EMPTY_AFTER).await;
                }
            }
        }
    };
    // A timeout is no error: new connections keep arriving.
    let _ = timeout(TIMEOUT, take_all).await;
}

#[cfg(test)]
mod tests;
