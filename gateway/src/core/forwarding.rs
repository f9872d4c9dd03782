//! Forwards the parts of a response to the client.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::StreamExt;
use glenrail_request_lifecycle::request::StreamEnd;
use glenrail_request_lifecycle::response_timing::{Progress, ResponseTiming};
use glenrail_router::{LoadReport, ServerId};
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::task::spawn_local;
use tokio::time::{timeout, Instant};

use crate::exchange::{self, ClientSide, ResponsePart, StreamRemainder};
use crate::request_ids::RequestIdHold;
use crate::response_clock::expired;
use crate::response_ends::{self, EndedResponse, ResponseEnd};
use crate::upstream::{CallError, Frame, Frames};

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
            ResponseEnd::Malformed(_) => StreamEnd::MalformedResponse,
            ResponseEnd::Expired(_) => StreamEnd::IdleTimeout,
            ResponseEnd::ClientDisconnected | ResponseEnd::ClientStalled => StreamEnd::ClientStalled,
        }
    }
}

/// Forwards the parts of a response that follow its first event, up to its end. A remainder that is handed over keeps the
/// id of the request in use. `server` is `None` for a stream that another process began.
pub async fn forward_remaining(
    client: &mpsc::Sender<ResponsePart>, frames: Frames, mut timing: ResponseTiming<Instant>,
    server: Option<ServerId>, id_hold: Option<RequestIdHold>,
) -> StreamSummary {
    let request = id_hold.clone();
    match forward(client, frames, &mut timing, id_hold).await {
        Ok(summary) => summary,
        Err(end) => {
            // The predecessor's message with the id may arrive after the stream.
            let request = request.as_ref().and_then(RequestIdHold::request_id);
            let since_last_event = timing.last_event().map(|at| at.elapsed());
            let response = EndedResponse { request: request.as_deref(), server, since_last_event };
            response_ends::report(end, response);
            StreamEnd::from(end).into()
        }
    }
}

/// Forwards the parts of a response up to its end or its handover; an error is the reason of an earlier end.
async fn forward(
    client: &mpsc::Sender<ResponsePart>, mut frames: Frames, timing: &mut ResponseTiming<Instant>,
    id_hold: Option<RequestIdHold>,
) -> Result<StreamSummary, ResponseEnd> {
    loop {
        let frame = tokio::select! {
            biased;
            frame = frames.next() => frame,
            expiry = expired(timing.limit()) => return Err(ResponseEnd::Expired(expiry)),
            () = client.closed() => return Err(ResponseEnd::ClientDisconnected),
        };
        match frame {
            Some(Ok(Frame::Data(bytes))) => {
                timing.observe(Progress::EventComplete, Instant::now());
                send_chunk(client, bytes, timing).await?;
            }
            Some(Ok(Frame::Ignored(bytes))) => {
                timing.observe(Progress::IgnoredBytes, Instant::now());
                send_chunk(client, bytes, timing).await?;
            }
            Some(Ok(Frame::Progress(progress))) => timing.observe(progress, Instant::now()),
            Some(Ok(Frame::HandedOver(remainder))) => {
                let last_event = timing.last_event();
                let remainder = StreamRemainder { id_hold, last_event, ..remainder };
                send_part(client, ResponsePart::HandedOver(remainder)).await;
                return Ok(StreamEnd::HandedOver.into());
            }
            Some(Ok(Frame::End { cached_tokens, report })) => {
                send_part(client, ResponsePart::End).await;
                return Ok(StreamSummary { end: StreamEnd::Complete, cached_tokens, load: report });
            }
            Some(Err(CallError::MalformedResponse(malformation))) => {
                return Err(ResponseEnd::Malformed(malformation));
            }
            Some(Err(_)) | None => return Err(ResponseEnd::Reset),
        }
    }
}

/// Sends a chunk. While the client's channel has no capacity nothing is read, which does not count as time of the server.
async fn send_chunk(
    client: &mpsc::Sender<ResponsePart>, bytes: Bytes, timing: &mut ResponseTiming<Instant>,
) -> Result<(), ResponseEnd> {
    let part = match client.try_send(ResponsePart::Chunk(bytes)) {
        Ok(()) => return Ok(()),
        Err(TrySendError::Closed(_)) => return Err(ResponseEnd::ClientDisconnected),
        Err(TrySendError::Full(part)) => part,
    };
    timing.observe(Progress::ReadingSuspended, Instant::now());
    let is_sent = send_part(client, part).await;
    timing.observe(Progress::ReadingResumed, Instant::now());
    is_sent.then_some(()).ok_or_else(|| client_end(client))
}

/// Returns why a part could not be sent to the client.
fn client_end(client: &mpsc::Sender<ResponsePart>) -> ResponseEnd {
    if client.is_closed() {
        ResponseEnd::ClientDisconnected
    } else {
        ResponseEnd::ClientStalled
    }
}

/// Continues a response that the predecessor process started. It belongs to no request of this process's router.
pub fn resume_stream(
    frames: Frames, timing: ResponseTiming<Instant>, id_hold: Option<RequestIdHold>,
) -> ClientSide {
    let (client, response) = exchange::response_channel();
    spawn_local(async move {
        forward_remaining(&response, frames, timing, None, id_hold).await;
    });
    client
}

/// Sends one part; returns whether the client's channel accepted it within the stall timeout.
pub async fn send_part(client: &mpsc::Sender<ResponsePart>, part: ResponsePart) -> bool {
    matches!(timeout(CLIENT_STALL_TIMEOUT, client.send(part)).await, Ok(Ok(())))
}
