//! What a process transfers to its successor, and the count of the connections that it still waits for.
//!
//! Fronts send idle connections into the [`Successor`] channel of `Shutdown`; the successor's fronts receive them from
//! their [`TransferInbox`].
#![deny(missing_docs)]

use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;

use tokio::sync::{mpsc, Notify};

use super::FRONTS;
use crate::exchange::StreamRemainder;

/// A stream in flight: what goes on in the other process.
pub struct TransferredStream {
    /// The server's socket, and what was read from it ahead of the client.
    pub remainder: StreamRemainder,
    /// The class that the request counts for at its end.
    pub class: Option<String>,
}

/// A client's connection on its way to the other process: idle, or with a stream in flight.
pub struct TransferredConnection {
    /// Number of its front.
    pub front: u8,
    /// The client's socket.
    pub socket: TcpStream,
    /// The stream in flight, if any.
    pub stream: Option<TransferredStream>,
    /// The process does not end before the connection is sent.
    pub guard: ConnectionGuard,
}

/// The way to a successor, for as long as there is one.
pub type Successor = mpsc::UnboundedSender<TransferredConnection>;

/// Where a front receives the connections that another process transfers.
pub type TransferInbox = mpsc::UnboundedReceiver<(TcpStream, Option<TransferredStream>)>;

/// The sending ends of the fronts' inboxes, by the fronts' numbers.
pub struct TransferInboxes([mpsc::UnboundedSender<(TcpStream, Option<TransferredStream>)>; FRONTS]);

impl TransferInboxes {
    /// The inboxes of all fronts, and their receiving ends.
    pub fn new() -> (Rc<Self>, [TransferInbox; FRONTS]) {
        let (platform_sender, platform_inbox) = mpsc::unbounded_channel();
        let (second_sender, second_inbox) = mpsc::unbounded_channel();
        let inboxes = TransferInboxes([platform_sender, second_sender]);
        (Rc::new(inboxes), [platform_inbox, second_inbox])
    }

    /// Sends a connection to a front. Where that front does not run here, the connection is closed.
    pub(super) fn deliver(&self, front: u8, socket: TcpStream, stream: Option<TransferredStream>) {
        if let Some(inbox) = self.0.get(usize::from(front)) {
            let _ = inbox.send((socket, stream));
        }
    }
}

/// The connections that a process waits for before it ends.
#[derive(Clone, Default)]
pub struct OpenConnections(Rc<OpenCount>);

#[derive(Default)]
struct OpenCount {
    count: Cell<usize>,
    closed: Notify,
}

/// One open connection; dropped when it has closed or been transferred.
pub struct ConnectionGuard(OpenConnections);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let open = &self.0 .0;
        open.count.set(open.count.get() - 1);
        open.closed.notify_waiters();
    }
}

impl OpenConnections {
    /// Counts one more connection.
    pub fn guard(&self) -> ConnectionGuard {
        self.0.count.set(self.0.count.get() + 1);
        ConnectionGuard(self.clone())
    }

    /// Waits until no connection is open.
    pub async fn drained(&self) {
        loop {
            // Before the count is read: a close in between wakes this one.
            let closed = self.0.closed.notified();
            if self.0.count.get() == 0 {
                return;
            }
            closed.await;
        }
    }
}
