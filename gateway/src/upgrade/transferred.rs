//! What one process hands over to another that has taken over from it, and the count of what it still waits for.

use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;

use tokio::sync::{mpsc, Notify};

use crate::exchange::StreamRemainder;

/// The rest of a stream that goes on in the other process, and the class that it counts for.
pub struct TransferredStream {
    pub remainder: StreamRemainder,
    pub class: Option<String>,
}

/// A client's connection on its way to the other process: at rest, or with a stream under way.
pub struct TransferredConnection {
    pub front: u8,
    pub socket: TcpStream,
    pub stream: Option<TransferredStream>,
    /// The process that hands it over waits for it until it is sent.
    pub guard: ConnectionGuard,
}

/// Where connections at rest go once another process has taken over.
pub type Successor = mpsc::UnboundedSender<TransferredConnection>;

/// The connections that a process waits for before it ends.
#[derive(Clone, Default)]
pub struct OpenConnections(Rc<(Cell<usize>, Notify)>);

/// One of them.
pub struct ConnectionGuard(OpenConnections);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let (count, changed) = &*self.0 .0;
        count.set(count.get() - 1);
        changed.notify_waiters();
    }
}

impl OpenConnections {
    pub fn guard(&self) -> ConnectionGuard {
        let (count, _) = &*self.0;
        count.set(count.get() + 1);
        ConnectionGuard(self.clone())
    }

    /// Until none is left.
    pub async fn drained(&self) {
        let (count, empty) = &*self.0;
        loop {
            let changed = empty.notified();
            if count.get() == 0 {
                return;
            }
            changed.await;
        }
    }
}
