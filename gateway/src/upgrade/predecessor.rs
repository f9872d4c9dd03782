//! Predecessor side of an upgrade: sends the listeners, then the routing state, then the client connections.

use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::rc::Rc;

use tokio::sync::mpsc;

use super::protocol::{UpgradeLink, ALL_LISTENERS_SENT, LISTENER, ROUTING_STATE, SERVING};
use super::socket_path::publish;
use super::transferred::TransferredConnection;
use super::{RoutingStateTransfer, SharedLimits, TransferInboxes};
use crate::log;
use crate::shutdown::{Phase, Shutdown};

/// Waits for successors, one after another, until this process exits or stops accepting. `listeners` are duplicates of
/// the listening sockets, each with the number of its front.
pub async fn serve_as_predecessor(
    state: PathBuf, listeners: Vec<(u8, OwnedFd)>, inboxes: Rc<TransferInboxes>,
    routing_state: RoutingStateTransfer, shutdown: Shutdown, limits: SharedLimits,
) {
    let mut had_successor = false;
    loop {
        let request = async { publish(&state)?.accept().await };
        let link = tokio::select! {
            request = request => match request {
                Ok((stream, _)) => UpgradeLink::new(stream),
                Err(e) => return log!("upgrade: not possible: {e}"),
            },
            // This process has stopped accepting. Closing the duplicates makes the system refuse new connections and
            // lets a process started now bind the address. After a successor has terminated, they stay open for the
            // next one: the connections in the accept queue would be lost otherwise.
            () = shutdown.wait_for_phase(Phase::Closing), if !had_successor => return,
        };
        had_successor = true;
        let _reserved = limits.reserve_half();
        if let Err(e) = hand_over(&link, &listeners, &inboxes, &routing_state, &shutdown).await {
            log!("upgrade: the handover ended: {e}");
        }
    }
}

/// Hands over to one successor, and returns once that process has terminated.
async fn hand_over(
    link: &UpgradeLink, listeners: &[(u8, OwnedFd)], inboxes: &TransferInboxes,
    routing_state: &RoutingStateTransfer, shutdown: &Shutdown,
) -> io::Result<()> {
    for (front, listener) in listeners {
        link.send(LISTENER + front, &[listener.as_fd()]).await?;
    }
    link.send(ALL_LISTENERS_SENT, &[]).await?;
    if link.receive().await?.is_none_or(|frame| frame.tag != SERVING) {
        return Err(io::Error::other("the other process ended before it served"));
    }
    log!("upgrade: a successor has taken over");
    link.send(ROUTING_STATE, &[]).await?;
    link.send_block(&(routing_state.export)()).await?;
    let (successor, mut connections) = mpsc::unbounded_channel();
    shutdown.set_successor(Some(successor));
    send_connections(link, &mut connections, inboxes).await;
    shutdown.set_successor(None);
    // These connections were never sent, so this process still serves them.
    while let Ok(connection) = connections.try_recv() {
        return_to_front(inboxes, connection);
    }
    log!("upgrade: the successor is gone; accepting again");
    Ok(())
}

/// Sends the connections that the fronts queue, until the successor has terminated.
async fn send_connections(
    link: &UpgradeLink, connections: &mut mpsc::UnboundedReceiver<TransferredConnection>,
    inboxes: &TransferInboxes,
) {
    loop {
        let connection = tokio::select! {
            biased;
            Some(connection) = connections.recv() => connection,
            // The successor sends no further messages, so this is the end of the link.
            _ = link.receive() => return,
        };
        if link.send_connection(&connection).await.is_err() {
            return return_to_front(inboxes, connection);
        }
    }
}

fn return_to_front(inboxes: &TransferInboxes, connection: TransferredConnection) {
    inboxes.deliver(connection.front, connection.socket, connection.stream);
}
