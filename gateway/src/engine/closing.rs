//! Connections on which an attempt was cut off, until their servers have ended them too.
//!
//! The gateway has ended its sending. The server's own end comes after all that it did for the attempt, so it proves that the server
//! has noticed; what each end proves is decided in [`evidence`](glenrail_request_lifecycle::evidence).

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

/// A server's end that has not come by then is not waited for any longer.
const SERVER_END_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes of a response that are dropped at once.
const READ_SIZE: usize = 4 << 10;

/// A connection on which an attempt was cut off.
pub(super) struct ClosingConnection {
    pub socket: Rc<TcpStream>,
    pub attempt: CancelToken,
    /// It occupies its slot for as long as it is open.
    pub slot: OwnedSemaphorePermit,
}

/// The way to the task that waits for servers' ends.
pub(super) type ClosingSender = mpsc::UnboundedSender<ClosingConnection>;

/// The connections that wait for their servers' ends.
#[derive(Default)]
pub(super) struct ClosingConnections {
    sender: RefCell<Option<ClosingSender>>,
    waiting: Rc<RefCell<JoinSet<()>>>,
}

impl ClosingConnections {
    /// Closes all of them at once; what their servers notice then stays unknown.
    pub fn abandon(&self) {
        self.waiting.borrow_mut().abort_all();
    }
}

impl ClosingConnection {
    /// Waits for the server's end, and tells the attempt.
    async fn await_end(self) {
        let ends = async {
            while self.socket.readable().await.is_ok() {
                match self.socket.try_read(&mut [0; READ_SIZE]) {
                    Ok(0) => return self.attempt.note(Observation::ServerClose),
                    Ok(_) => {}
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => return self.attempt.note(Observation::Reset),
                }
            }
        };
        let _ = timeout(SERVER_END_TIMEOUT, ends).await;
        drop(self.slot);
    }
}

impl Engine {
    /// The way to the task that waits for servers' ends, which starts with the first connection.
    pub(super) fn closing_sender(&self) -> ClosingSender {
        let mut sender = self.0.closing.sender.borrow_mut();
        if let Some(sender) = sender.as_ref().filter(|sender| !sender.is_closed()) {
            return sender.clone();
        }
        let (new_sender, mut cut) = mpsc::unbounded_channel::<ClosingConnection>();
        *sender = Some(new_sender.clone());
        let waiting = self.0.closing.waiting.clone();
        spawn_local(async move {
            while let Some(connection) = cut.recv().await {
                let mut waiting = waiting.borrow_mut();
                // What has ended is removed.
                while waiting.try_join_next().is_some() {}
                waiting.spawn_local(connection.await_end());
            }
        });
        new_sender
    }
}
