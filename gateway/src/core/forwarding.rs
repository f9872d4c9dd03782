//! Forwarding of a response to its client, part by part.

use std::time::Duration;

use futures_util::stream::StreamExt;
use glenrail_request_lifecycle::request::StreamEnd;
use glenrail_router::LoadReport;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::exchange::{self, ClientSide, ResponsePart};
use crate::log;
use crate::upstream::{CallError, Frame, Frames};

/// A stream without a complete event for so long is taken for dead, so that its client's connection ends within the 5 s
/// of the platform's rules. A decode server may have queued the request again, so the timeout is no shorter.
const EVENT_IDLE_TIMEOUT: Duration = Duration::from_millis(4_600);

/// A client that reads nothing of its stream for so long has lost it.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// How a stream ended, and what its server reported at the end.
pub struct StreamSummary {
    /// Why nothing more is forwarded.
    pub end: StreamEnd,
    /// Prompt tokens that the server found in its cache.
    pub cached_tokens: f64,
    /// The server's load.
    pub load: Option<LoadReport>,
}

impl From<StreamEnd> for StreamSummary {
    fn from(end: StreamEnd) -> Self {
        StreamSummary { end, cached_tokens: 0.0, load: None }
    }
}

/// Forwards what follows the first part of a response, to its end.
pub async fn forward_remaining(client: &mpsc::Sender<ResponsePart>, mut frames: Frames) -> StreamSummary {
    loop {
        let frame = tokio::select! {
            biased;
            frame = timeout(EVENT_IDLE_TIMEOUT, frames.next()) => frame,
            () = client.closed() => return StreamEnd::ClientStalled.into(),
        };
        match frame {
            Ok(Some(Ok(Frame::Data(bytes)))) => {
                if !send_part(client, ResponsePart::Chunk(bytes)).await {
                    return StreamEnd::ClientStalled.into();
                }
            }
            Ok(Some(Ok(Frame::HandedOver(remainder)))) => {
                send_part(client, ResponsePart::HandedOver(remainder)).await;
                return StreamEnd::HandedOver.into();
            }
            Ok(Some(Ok(Frame::End { cached_tokens, report }))) => {
                send_part(client, ResponsePart::End).await;
                return StreamSummary { end: StreamEnd::Complete, cached_tokens, load: report };
            }
            Ok(Some(Err(CallError::MalformedResponse))) => return StreamEnd::MalformedResponse.into(),
            Ok(Some(Err(_)) | None) => return StreamEnd::Reset.into(),
            Err(_) => {
                log!("a stream was idle for too long and is ended");
                return StreamEnd::IdleTimeout.into();
            }
        }
    }
}

/// Continues a response that the predecessor process began; it belongs to no request of this process's router.
pub fn resume(frames: Frames) -> ClientSide {
    let (client, response) = exchange::response_channel();
    spawn_local(async move {
        forward_remaining(&response, frames).await;
    });
    client
}

/// Whether the client accepted the part in time.
pub async fn send_part(client: &mpsc::Sender<ResponsePart>, part: ResponsePart) -> bool {
    matches!(timeout(CLIENT_STALL_TIMEOUT, client.send(part)).await, Ok(Ok(())))
}
