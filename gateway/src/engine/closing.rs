//! Connections with an interrupted attempt that wait for their servers to close them.
//!
//! The gateway has shut down its sending direction. A server closes its own direction only after all work on the attempt,
//! so the close proves that the server has noticed the interruption.
//! [`evidence`](glenrail_request_lifecycle::evidence) decides what each kind of end proves.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use glenrail_request_lifecycle::evidence::Observation;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, OwnedSemaphorePermit};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::timeout;

use super::Engine;
use crate::exchange::CancelToken;

/// Time limit for a server to close its direction; after that the connection is closed without a result.
const SERVER_CLOSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of response bytes that are read and discarded at once.
const READ_SIZE_BYTES: usize = 4 << 10;

/// A connection whose attempt was interrupted.
pub(super) struct ClosingConnection {
    pub socket: Rc<TcpStream>,
    pub attempt: CancelToken,
    /// Connection slot, occupied until the connection is closed.
    pub slot: OwnedSemaphorePermit,
}

/// Channel to the task that waits for servers to close their connections.
pub(super) type ClosingSender = mpsc::UnboundedSender<ClosingConnection>;

/// Connections that wait for their servers to close them.
#[derive(Default)]
pub(super) struct ClosingConnections {
    sender: RefCell<Option<ClosingSender>>,
    waiting: Rc<RefCell<JoinSet<()>>>,
}

impl ClosingConnections {
    /// Closes all of these connections; their tasks end when they are next scheduled. Whether their servers
    /// notice the interruption then remains unknown.
    pub fn close_all(&self) {
        self.waiting.borrow_mut().abort_all();
    }
}

impl ClosingConnection {
    /// Waits until the server closes or resets the connection, and records that in the attempt's token.
    async fn wait_for_close(self) {
        let server_close = async {
            while self.socket.readable().await.is_ok() {
                match self.socket.try_read(&mut [0; READ_SIZE_BYTES]) {
                    Ok(0) => return self.attempt.record_observation(Observation::ServerClose),
                    Ok(_) => {}
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => return self.attempt.record_observation(Observation::Reset),
                }
            }
        };
        let _ = timeout(SERVER_CLOSE_TIMEOUT, server_close).await;
        drop(self.slot);
    }
}

impl Engine {
    /// Returns the channel to the task that waits for servers to close, and starts that task if it is not running.
    pub(super) fn closing_sender(&self) -> ClosingSender {
        let mut sender = self.0.closing.sender.borrow_mut();
        if let Some(sender) = sender.as_ref().filter(|sender| !sender.is_closed()) {
            return sender.clone();
        }
        let (new_sender, mut receiver) = mpsc::unbounded_channel::<ClosingConnection>();
        *sender = Some(new_sender.clone());
        let waiting = self.0.closing.waiting.clone();
        spawn_local(async move {
            while let Some(connection) = receiver.recv().await {
                let mut waiting = waiting.borrow_mut();
                // Removes completed tasks from the set.
                while waiting.try_join_next().is_some() {}
                waiting.spawn_local(connection.wait_for_close());
            }
        });
        new_sender
    }
}
