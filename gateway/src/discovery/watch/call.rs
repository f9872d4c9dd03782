//! A single HTTP call to discovery, over a connection that is kept open for the next call unless discovery closes it.

use std::time::Duration;

use bytes::Bytes;
use glenrail_request_lifecycle::discovery_polling::{Limits, Poll};
use http::{header, Request, Response};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::timeout;

use super::error::{status_failure, PollError};
use crate::discovery::list::EndpointList;

/// Maximum size of a list, in bytes. A larger one is treated as malformed.
const MAX_LIST_BYTES: usize = 4 << 20;
/// Connect timeout. It is shorter than the call's time limit, so that a stalled connection attempt is retried early.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// An open connection to discovery; closed when dropped.
pub(super) struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    async fn open(address: &str) -> Result<Connection, PollError> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let socket = connecting.await.map_err(|_| PollError::ConnectTimeout)??;
        let (sender, connection) = handshake(TokioIo::new(socket)).await?;
        let driver = spawn_local(async move {
            // The error is also returned by the pending request.
            let _ = connection.await;
        });
        Ok(Connection { sender, driver: driver.abort_handle() })
    }
}

/// Result of a successful poll.
pub(super) struct PolledList {
    /// Open connection for the next call; `None` if discovery closes it.
    pub(super) connection: Option<Connection>,
    pub(super) list: EndpointList,
}

/// Polls over the open connection or a new one. `version` is the version of the current list, if there is one.
pub(super) async fn call(
    open: Option<Connection>, address: &str, poll: Poll, version: Option<u64>, limits: Limits,
) -> Result<PolledList, PollError> {
    let request =
        Request::get(target(poll, version)).header(header::HOST, address).body(Empty::<Bytes>::new());
    let complete = async {
        let head = timeout(limits.first_byte, send(open, address, request));
        let (connection, response) = head.await.map_err(|_| PollError::ResponseTimeout)??;
        if !response.status().is_success() {
            let failure = status_failure(&response);
            return Err(PollError::Status { status: response.status(), failure });
        }
        let closes = closes_connection(&response);
        let text = read_body(response, limits.between_parts).await?;
        let list = EndpointList::read(&text)?;
        Ok(PolledList { connection: (!closes).then_some(connection), list })
    };
    timeout(limits.total, complete).await.map_err(|_| PollError::TotalTimeout)?
}

fn target(poll: Poll, version: Option<u64>) -> String {
    match (poll, version) {
        (Poll::Changes { hold, .. }, Some(version)) => {
            format!("/v1/endpoints?from={version}&hold_ms={}", hold.as_millis())
        }
        _ => "/v1/endpoints".to_string(),
    }
}

/// Sends the request, and waits for the response head.
async fn send(
    open: Option<Connection>, address: &str, request: http::Result<Request<Empty<Bytes>>>,
) -> Result<(Connection, Response<Incoming>), PollError> {
    let mut connection = match open {
        Some(connection) => connection,
        None => Connection::open(address).await?,
    };
    connection.sender.ready().await?;
    let response = connection.sender.send_request(request?).await?;
    Ok((connection, response))
}

/// Whether discovery closes the connection after this response.
fn closes_connection<B>(response: &Response<B>) -> bool {
    let values = response.headers().get_all(header::CONNECTION).iter();
    let mut options = values.filter_map(|value| value.to_str().ok()).flat_map(|text| text.split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case("close"))
}

async fn read_body(response: Response<Incoming>, between_parts: Duration) -> Result<Vec<u8>, PollError> {
    let mut body = Limited::new(response.into_body(), MAX_LIST_BYTES);
    let mut text = Vec::new();
    while let Some(frame) = timeout(between_parts, body.frame()).await.map_err(|_| PollError::BodyStalled)? {
        text.extend_from_slice(frame?.data_ref().map_or(&[], |data| data));
    }
    Ok(text)
}
