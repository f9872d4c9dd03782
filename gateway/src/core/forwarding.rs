//! Passing an answer on to its client, piece by piece.

use std::time::Duration;

use futures_util::stream::{LocalBoxStream, StreamExt};
use glenrail_request_lifecycle::request::StreamEnd;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

use glenrail_router::LoadReport;

use crate::exchange::{self, ClientSide, ResponsePart};
use crate::log;
use crate::upstream::{CallError, Frame};

pub type Frames = LocalBoxStream<'static, Result<Frame, CallError>>;

/// A stream without a whole event for so long is taken for dead, so that its client's connection ends within the
/// 5 s that the platform's rules give. Its writer may have put the answer back into its queue, so no less.
const SILENT: Duration = Duration::from_millis(4_600);
/// A client that takes nothing of its stream for so long has lost it.
const STALLED: Duration = Duration::from_secs(30);

/// How a stream ended, and what its server said at the end.
pub struct Passed {
    pub end: StreamEnd,
    pub kept: f64,
    pub report: Option<LoadReport>,
}

impl From<StreamEnd> for Passed {
    fn from(end: StreamEnd) -> Self {
        Passed { end, kept: 0.0, report: None }
    }
}

/// Passes an answer on after its first piece, to its end.
pub async fn rest(pieces: &mpsc::Sender<ResponsePart>, mut frames: Frames) -> Passed {
    loop {
        let frame = tokio::select! {
            biased;
            frame = timeout(SILENT, frames.next()) => frame,
            () = pieces.closed() => return StreamEnd::ClientStalled.into(),
        };
        match frame {
            Ok(Some(Ok(Frame::Data(bytes)))) => {
                if !pass(pieces, ResponsePart::Chunk(bytes)).await {
                    return StreamEnd::ClientStalled.into();
                }
            }
            Ok(Some(Ok(Frame::HandedOver(rest)))) => {
                pass(pieces, ResponsePart::HandedOver(rest)).await;
                return StreamEnd::HandedOver.into();
            }
            Ok(Some(Ok(Frame::End { cached_tokens: kept, report }))) => {
                pass(pieces, ResponsePart::End).await;
                return Passed { end: StreamEnd::Complete, kept, report };
            }
            Ok(Some(Err(CallError::MalformedResponse))) => return StreamEnd::MalformedResponse.into(),
            Ok(Some(Err(_)) | None) => return StreamEnd::Reset.into(),
            Err(_) => {
                log!("a stream fell silent and is cut");
                return StreamEnd::IdleTimeout.into();
            }
        }
    }
}

/// Goes on with an answer that another process began. No request of the router belongs to it any more.
pub fn resume(frames: Frames) -> ClientSide {
    let (client, pieces) = exchange::response_channel();
    spawn_local(async move {
        rest(&pieces, frames).await;
    });
    client
}

/// Whether the client took the piece.
pub async fn pass(pieces: &mpsc::Sender<ResponsePart>, piece: ResponsePart) -> bool {
    matches!(timeout(STALLED, pieces.send(piece)).await, Ok(Ok(())))
}
