//! Forwards the parts of a response to the client.

use std::time::Duration;

use futures_util::stream::StreamExt;
use glenrail_request_lifecycle::request::StreamEnd;
use glenrail_router::LoadReport;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::exchange::{self, ClientSide, ResponsePart, StreamRemainder};
use crate::request_ids::RequestIdHold;
use crate::response_ends::{self, ResponseEnd};
use crate::upstream::{CallError, Frame, Frames};

/// Maximum time between two complete events of a stream. It is less than the 5 s within which the platform's
/// rules require the client's connection to end. It is close to that limit because a decode server that has
/// queued the request again may still continue the stream.
const EVENT_IDLE_TIMEOUT: Duration = Duration::from_millis(4_600);

/// Maximum time for which a client may read nothing of its stream before the stream is ended.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// How a stream ended, with the server's final report.
pub struct StreamSummary {
    /// Why forwarding ended.
    pub end: StreamEnd,
    /// Number of prompt tokens that the server found in its cache; 0 unless the stream is complete.
    pub cached_tokens: f64,
    /// The server's load report; `None` if the stream is incomplete or the server sent none.
    pub load: Option<LoadReport>,
}

impl From<StreamEnd> for StreamSummary {
    fn from(end: StreamEnd) -> Self {
        StreamSummary { end, cached_tokens: 0.0, load: None }
    }
}

impl From<ResponseEnd> for StreamEnd {
    fn from(end: ResponseEnd) -> Self {
        match end {
            ResponseEnd::Reset => StreamEnd::Reset,
            ResponseEnd::Malformed => StreamEnd::MalformedResponse,
            ResponseEnd::EventOverdue => StreamEnd::IdleTimeout,
            ResponseEnd::ClientDisconnected | ResponseEnd::ClientStalled => StreamEnd::ClientStalled,
        }
    }
}

/// Forwards the parts of a response that follow the head, up to its end. A remainder that is handed over keeps the id of
/// the request in use.
pub async fn forward_remaining(
    client: &mpsc::Sender<ResponsePart>, frames: Frames, id_hold: Option<RequestIdHold>,
) -> StreamSummary {
    let request = id_hold.clone();
    match forward(client, frames, id_hold).await {
        Ok(summary) => summary,
        Err(end) => {
            // The predecessor's message with the id may arrive after the stream.
            let request = request.as_ref().and_then(RequestIdHold::request_id);
            response_ends::report(end, request.as_deref());
            StreamEnd::from(end).into()
        }
    }
}

/// Forwards the parts of a response up to its end or its handover; an error is the reason of an earlier end.
async fn forward(
    client: &mpsc::Sender<ResponsePart>, mut frames: Frames, id_hold: Option<RequestIdHold>,
) -> Result<StreamSummary, ResponseEnd> {
    loop {
        let frame = tokio::select! {
            biased;
            frame = timeout(EVENT_IDLE_TIMEOUT, frames.next()) => frame,
            () = client.closed() => return Err(ResponseEnd::ClientDisconnected),
        };
        match frame {
            Ok(Some(Ok(Frame::Data(bytes)))) => {
                if !send_part(client, ResponsePart::Chunk(bytes)).await {
                    return Err(client_end(client));
                }
            }
            Ok(Some(Ok(Frame::HandedOver(remainder)))) => {
                let remainder = StreamRemainder { id_hold, ..remainder };
                send_part(client, ResponsePart::HandedOver(remainder)).await;
                return Ok(StreamEnd::HandedOver.into());
            }
            Ok(Some(Ok(Frame::End { cached_tokens, report }))) => {
                send_part(client, ResponsePart::End).await;
                return Ok(StreamSummary { end: StreamEnd::Complete, cached_tokens, load: report });
            }
            Ok(Some(Err(CallError::MalformedResponse))) => return Err(ResponseEnd::Malformed),
            Ok(Some(Err(_)) | None) => return Err(ResponseEnd::Reset),
            Err(_) => return Err(ResponseEnd::EventOverdue),
        }
    }
}

/// Returns why a part could not be sent to the client.
pub fn client_end(client: &mpsc::Sender<ResponsePart>) -> ResponseEnd {
    if client.is_closed() {
        ResponseEnd::ClientDisconnected
    } else {
        ResponseEnd::ClientStalled
    }
}

/// Continues a response that the predecessor process started. It belongs to no request of this process's router.
pub fn resume_stream(frames: Frames, id_hold: Option<RequestIdHold>) -> ClientSide {
    let (client, response) = exchange::response_channel();
    spawn_local(async move {
        forward_remaining(&response, frames, id_hold).await;
    });
    client
}

/// Sends one part; returns whether the client's channel accepted it within the stall timeout.
pub async fn send_part(client: &mpsc::Sender<ResponsePart>, part: ResponsePart) -> bool {
    matches!(timeout(CLIENT_STALL_TIMEOUT, client.send(part)).await, Ok(Ok(())))
}
