//! Predecessor side of an upgrade: sends the listeners, then the routing state, then the client connections.

use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::rc::Rc;

use tokio::net::UnixListener;
use tokio::sync::mpsc;

use super::protocol::{UpgradeLink, ALL_LISTENERS_SENT, LISTENER, ROUTING_STATE, SERVING};
use super::request_id_link;
use super::socket_path::{publish, publish_as};
use super::transferred::TransferredConnection;
use super::{RoutingStateTransfer, SharedLimits, TransferInboxes};
use crate::log;
use crate::request_ids::RequestIds;
use crate::shutdown::{Phase, Shutdown};

/// Waits for successors, one after another, until this process exits or stops accepting. `listeners` are duplicates of
/// the listening sockets, each with the number of its front.
pub async fn serve_as_predecessor(
    state: PathBuf, listeners: Vec<(u8, OwnedFd)>, inboxes: Rc<TransferInboxes>,
    routing_state: RoutingStateTransfer, request_ids: RequestIds, shutdown: Shutdown, limits: SharedLimits,
) {
    let transfer = Transfer { listeners, inboxes, routing_state, request_ids };
    let mut had_successor = false;
    loop {
        let request = async {
            let id_requests = publish_as(&state, request_id_link::SOCKET_NAME)?;
            let (stream, _) = publish(&state)?.accept().await?;
            Ok::<_, io::Error>((UpgradeLink::new(stream), id_requests))
        };
        let (link, id_requests) = tokio::select! {
            request = request => match request {
                Ok(request) => request,
                Err(e) => return log!("upgrade: not possible: {e}"),
            },
            // This process has stopped accepting. Closing the duplicates makes the system refuse new connections and
            // lets a process started now bind the address. After a successor has terminated, they stay open for the
            // next one: the connections in the accept queue would be lost otherwise.
            () = shutdown.wait_for_phase(Phase::Closing), if !had_successor => return,
        };
        had_successor = true;
        let _reserved = limits.reserve_half();
        if let Err(e) = transfer.hand_over(&link, id_requests, &shutdown).await {
            log!("upgrade: the handover ended: {e}");
        }
        transfer.request_ids.end_successor();
    }
}

/// What a process transfers to its successor.
struct Transfer {
    listeners: Vec<(u8, OwnedFd)>,
    inboxes: Rc<TransferInboxes>,
    routing_state: RoutingStateTransfer,
    request_ids: RequestIds,
}

impl Transfer {
    /// Hands over to one successor, and returns once that process has terminated.
    async fn hand_over(
        &self, link: &UpgradeLink, id_requests: UnixListener, shutdown: &Shutdown,
    ) -> io::Result<()> {
        for (front, listener) in &self.listeners {
            link.send(LISTENER + front, &[listener.as_fd()]).await?;
        }
        link.send(ALL_LISTENERS_SENT, &[]).await?;
        self.wait_until_serving(link, id_requests).await?;
        log!("upgrade: a successor has taken over");
        link.send(ROUTING_STATE, &[]).await?;
        link.send_block(&(self.routing_state.export)()).await?;
        let (successor, mut connections) = mpsc::unbounded_channel();
        shutdown.set_successor(Some(successor));
        self.send_connections(link, &mut connections).await;
        shutdown.set_successor(None);
        // These connections were never sent, so this process still serves them.
        while let Ok(connection) = connections.try_recv() {
            self.return_to_front(connection);
        }
        log!("upgrade: the successor is gone; accepting again");
        Ok(())
    }

    /// Waits until the successor serves. Before that it connects for the request ids in use, unless it is an earlier build.
    async fn wait_until_serving(&self, link: &UpgradeLink, id_requests: UnixListener) -> io::Result<()> {
        let mut has_id_link = false;
        loop {
            tokio::select! {
                biased;
                request = id_requests.accept(), if !has_id_link => {
                    has_id_link = true;
                    match request {
                        Ok((stream, _)) => request_id_link::serve_successor(&self.request_ids, stream),
                        Err(e) => log!("upgrade: the successor cannot learn the request ids in use: {e}"),
                    }
                }
                frame = link.receive() => return match frame? {
                    Some(frame) if frame.tag == SERVING => Ok(()),
                    _ => Err(io::Error::other("the other process ended before it served")),
                },
            }
        }
    }

    /// Sends the connections that the fronts queue, until the successor has terminated.
    async fn send_connections(
        &self, link: &UpgradeLink, connections: &mut mpsc::UnboundedReceiver<TransferredConnection>,
    ) {
        loop {
            let connection = tokio::select! {
                biased;
                Some(connection) = connections.recv() => connection,
                // The successor sends no further messages, so this is the end of the link.
                _ = link.receive() => return,
            };
            if connection.stream.is_some() {
                connection.hand_over_request_id();
                // If this process is killed, the successor must know the id of the stream.
                self.request_ids.flush().await;
            }
            if link.send_connection(&connection).await.is_err() {
                return self.return_to_front(connection);
            }
        }
    }

    fn return_to_front(&self, connection: TransferredConnection) {
        self.inboxes.deliver(connection.front, connection.socket, connection.stream);
    }
}
