//! Connections that a process transfers to its successor, and the count of its open connections.
//!
//! Fronts send connections into the [`Successor`] channel of `Shutdown`; the successor's fronts receive them from their
//! [`TransferInbox`].
#![deny(missing_docs)]

use std::cell::Cell;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;

use glenrail_request_lifecycle::request_ids::SocketCookie;
use tokio::sync::{mpsc, Notify};

use super::FRONTS;
use crate::exchange::StreamRemainder;

/// A stream in flight, which the other process continues.
pub struct TransferredStream {
    /// Socket of the server, and the bytes read from it that have not been sent to the client.
    pub remainder: StreamRemainder,
    /// Request class under which the request is counted when it ends; `None` if it has none.
    pub class: Option<String>,
}

/// Returns the number that identifies this socket in all processes that have it.
pub(super) fn socket_cookie(socket: &TcpStream) -> io::Result<SocketCookie> {
    Ok(SocketCookie(rustix::net::sockopt::socket_cookie(socket)?))
}

/// A client connection being transferred: idle, or with a stream in flight.
pub struct TransferredConnection {
    /// Number of the front that accepted the connection.
    pub front: u8,
    /// Socket of the client.
    pub socket: TcpStream,
    /// Stream in flight; `None` if the connection is idle.
    pub stream: Option<TransferredStream>,
    /// Keeps the process running until the connection has been sent.
    pub guard: ConnectionGuard,
}

impl TransferredConnection {
    /// Tells the successor which request id the stream uses that it is about to receive.
    pub(super) fn hand_over_request_id(&self) {
        let id_hold = self.stream.as_ref().and_then(|stream| stream.remainder.id_hold.as_ref());
        if let Some((hold, cookie)) = id_hold.zip(socket_cookie(&self.socket).ok()) {
            hold.hand_over(cookie);
        }
    }
}

/// Channel for connections to the successor; it exists as long as the successor does.
pub type Successor = mpsc::UnboundedSender<TransferredConnection>;

/// Channel from which a front receives the connections that its predecessor transfers.
pub type TransferInbox = mpsc::UnboundedReceiver<(TcpStream, Option<TransferredStream>)>;

/// Senders of the fronts' inboxes, indexed by the number of the front.
pub struct TransferInboxes([mpsc::UnboundedSender<(TcpStream, Option<TransferredStream>)>; FRONTS]);

impl TransferInboxes {
    /// Creates the inboxes of all fronts, and returns them with their receivers.
    pub fn new() -> (Rc<Self>, [TransferInbox; FRONTS]) {
        let (platform_sender, platform_inbox) = mpsc::unbounded_channel();
        let (second_sender, second_inbox) = mpsc::unbounded_channel();
        let inboxes = TransferInboxes([platform_sender, second_sender]);
        (Rc::new(inboxes), [platform_inbox, second_inbox])
    }

    /// Sends a connection to a front. If this process does not run that front, the connection is closed.
    pub(super) fn deliver(&self, front: u8, socket: TcpStream, stream: Option<TransferredStream>) {
        if let Some(inbox) = self.0.get(usize::from(front)) {
            let _ = inbox.send((socket, stream));
        }
    }
}

/// Count of the open connections, which a process waits for before it exits.
#[derive(Clone, Default)]
pub struct OpenConnections(Rc<OpenCount>);

#[derive(Default)]
struct OpenCount {
    count: Cell<usize>,
    closed: Notify,
}

/// Counts one open connection until it is dropped, when the connection has closed or been transferred.
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
            // Registered before the count is read, so that a connection closed in between wakes this task.
            let closed = self.0.closed.notified();
            if self.0.count.get() == 0 {
                return;
            }
            closed.await;
        }
    }
}
