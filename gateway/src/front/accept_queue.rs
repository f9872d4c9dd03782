//! Drains the kernel's accept queue when this process stops accepting: the connections that are queued by then
//! are served.

use std::io;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use crate::log;

/// The accept queue counts as empty when it has yielded no connection for this time.
const QUEUE_EMPTY_TIMEOUT: Duration = Duration::from_millis(5);
/// Accepting ends after this time even if new connections keep arriving.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);

/// Takes connections until the queue is empty or [`DRAIN_TIMEOUT`] expires, each as soon as `vacancy`
/// completes. A failed accept concerns only one connection, so the next one is accepted all the same.
pub(super) async fn drain<T>(
    mut vacancy: impl AsyncFnMut(), mut accept: impl AsyncFnMut() -> io::Result<T>, mut start: impl FnMut(T),
) {
    let accept_all = async {
        loop {
            vacancy().await;
            let Ok(accepted) = timeout(QUEUE_EMPTY_TIMEOUT, accept()).await else { return };
            match accepted {
                Ok(connection) => start(connection),
                Err(error) => {
                    log!("cannot accept what was queued: {error}");
                    // If no file descriptor is left, one may become free.
                    sleep(QUEUE_EMPTY_TIMEOUT).await;
                }
            }
        }
    };
    // A timeout is no error: new connections keep arriving.
    let _ = timeout(DRAIN_TIMEOUT, accept_all).await;
}

#[cfg(test)]
mod tests;
