//! Successor side of an upgrade: receives the listeners at the start, then client connections until the predecessor
//! exits.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UnixStream;
use tokio::time::{timeout, Instant};

use super::protocol::{
    Frame, UpgradeLink, ALL_LISTENERS_SENT, CONNECTION, LISTENER, ROUTING_STATE, SERVING, STREAM, STREAM_AGE,
};
use super::socket_path::{socket_path, SOCKET_NAME};
use super::transferred::{socket_cookie, TransferredStream};
use super::{ReservedHalf, RoutingStateTransfer, TransferInboxes, FRONTS};
use crate::exchange::StreamRemainder;
use crate::log;
use crate::request_ids::RequestIds;
use crate::shutdown::{Phase, Shutdown};

/// Maximum time for receiving the listeners. After that the predecessor is assumed to have failed.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// State received from the predecessor before this process serves.
pub struct HandoverState {
    /// Listening sockets, indexed by the number of their front; `None` if the predecessor does not run that front.
    pub listeners: [Option<TcpListener>; FRONTS],
    /// Open link to the predecessor, for [`serve_as_successor`].
    pub link: UpgradeLink,
}

/// Requests the listeners of a predecessor at this address; `None` if there is none or the handover fails.
pub async fn request_handover(state: &Path) -> Option<HandoverState> {
    match timeout(HANDOVER_TIMEOUT, receive_listeners(state)).await {
        Ok(Ok(handover)) => {
            log!("upgrade: taking over from the predecessor");
            Some(handover)
        }
        // There has been no predecessor, or it has terminated and left its socket.
        Ok(Err(e)) if matches!(e.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) => None,
        Ok(Err(e)) => {
            log!("upgrade: no handover from a predecessor: {e}");
            None
        }
        Err(_) => {
            log!("upgrade: the predecessor did not hand over in time");
            None
        }
    }
}

async fn receive_listeners(state: &Path) -> io::Result<HandoverState> {
    let address = socket_path(state, SOCKET_NAME)?;
    let link = UpgradeLink::new(UnixStream::connect(&address.path).await?);
    let mut listeners = [None, None];
    loop {
        let frame = link.receive().await?;
        match frame {
            Some(Frame { tag: ALL_LISTENERS_SENT, .. }) => return Ok(HandoverState { listeners, link }),
            Some(Frame { tag, descriptors }) if usize::from(tag.wrapping_sub(LISTENER)) < FRONTS => {
                let front = usize::from(tag - LISTENER);
                listeners[front] = descriptors.into_iter().next().map(TcpListener::from);
            }
            other => {
                let tag = other.map(|frame| frame.tag);
                return Err(io::Error::other(format!("unexpected: {tag:?}")));
            }
        }
    }
}

/// Notifies the predecessor that this process serves, then receives its connections until it terminates.
///
/// If this process receives SIGTERM in the meantime, it closes the link; the predecessor detects that and accepts
/// again.
pub async fn serve_as_successor(
    link: UpgradeLink, inboxes: Rc<TransferInboxes>, routing_state: RoutingStateTransfer,
    request_ids: RequestIds, shutdown: Shutdown, half: ReservedHalf,
) {
    tokio::select! {
        ended = receive_connections(&link, &inboxes, &routing_state, &request_ids) => {
            let cause = ended.err().map_or(String::new(), |error| format!(": {error}"));
            log!("upgrade: the predecessor has ended{cause}");
        }
        () = shutdown.wait_for_phase(Phase::Closing) => request_ids.return_arbitration(),
    }
    drop(half);
}

async fn receive_connections(
    link: &UpgradeLink, inboxes: &TransferInboxes, routing_state: &RoutingStateTransfer,
    request_ids: &RequestIds,
) -> io::Result<()> {
    link.send(SERVING, &[]).await?;
    // When the last event was received of the stream that comes next.
    let mut last_event = None;
    while let Some(frame) = link.receive().await? {
        match frame.tag {
            ROUTING_STATE => (routing_state.import)(&link.receive_block().await?),
            STREAM_AGE.. => last_event = receive_last_event(link).await?,
            _ => receive_connection(link, frame, last_event.take(), inboxes, request_ids).await?,
        }
    }
    Ok(())
}

/// Receives the blocks of [`STREAM_AGE`]; `None` if they hold no time that can be represented.
async fn receive_last_event(link: &UpgradeLink) -> io::Result<Option<Instant>> {
    let (age, _) = (link.receive_block().await?, link.receive_block().await?);
    let age_ms = std::str::from_utf8(&age).ok().and_then(|text| text.parse().ok());
    Ok(age_ms.and_then(|age_ms| Instant::now().checked_sub(Duration::from_millis(age_ms))))
}

/// Receives the connection of this message, with the blocks of its stream if it has one, and delivers it to its front.
async fn receive_connection(
    link: &UpgradeLink, frame: Frame, last_event: Option<Instant>, inboxes: &TransferInboxes,
    request_ids: &RequestIds,
) -> io::Result<()> {
    let Frame { tag, descriptors } = frame;
    let blocks = match tag {
        STREAM.. => Some((link.receive_block().await?, link.receive_block().await?)),
        _ => None,
    };
    let mut sockets = descriptors.into_iter().map(TcpStream::from);
    match (sockets.next(), sockets.next(), blocks) {
        (Some(client), None, None) => inboxes.deliver(tag.wrapping_sub(CONNECTION), client, None),
        (Some(client), Some(server), Some((read_ahead, class))) => {
            let class = String::from_utf8(class).ok().filter(|name| !name.is_empty());
            let id_hold = socket_cookie(&client).ok().map(|cookie| request_ids.hold_continued_stream(cookie));
            let remainder = StreamRemainder { socket: server, read_ahead, last_event, id_hold };
            inboxes.deliver(tag.wrapping_sub(STREAM), client, Some(TransferredStream { remainder, class }));
        }
        _ => log!("upgrade: a transfer came without its sockets; descriptors may be exhausted"),
    }
    Ok(())
}
