//! Clients of slow answers: each keeps its connection for as long as the gateway does, and notes when each event arrives.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::timeout;

use crate::clock::{self, Micros};
use crate::persistent_connection::{ConnectionEnd, PersistentConnection};

/// Time after which a client gives up on a response that does not end.
const PATIENCE: Duration = Duration::from_secs(90);

/// A request to send.
#[derive(Clone, Debug)]
pub struct SlowRequest {
    pub id: String,
    pub repeatable: bool,
    pub deadline: Duration,
    pub body_bytes: usize,
}

impl SlowRequest {
    fn to_http(&self) -> Vec<u8> {
        let class = if self.repeatable { "item-query" } else { "order-chat" };
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: api.internal\r\nreq-id: {}\r\nreq-kind: {class}\r\n\
             req-deadline: {:.3}\r\nreq-extra: prompt_len=100,max_out=100\r\ncontent-length: {}\r\n\r\n",
            self.id,
            self.deadline.as_secs_f64(),
            self.body_bytes
        );
        [head.as_bytes(), &vec![b' '; self.body_bytes]].concat()
    }
}

/// What was received of a response.
#[derive(Clone, Debug)]
pub struct Response {
    pub sent: Micros,
    pub status: Option<u16>,
    pub complete: bool,
    pub events: Vec<Micros>,
    pub ended: Micros,
}

/// A client of one gateway.
pub struct Client {
    address: SocketAddr,
    connection: Option<PersistentConnection>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client { address, connection: None }
    }

    /// Sends a request and receives its response; `None` if no connection was accepted, or the gateway closed it before the
    /// request was written. A request that the gateway left unread on a kept connection is sent once more.
    pub async fn ask(&mut self, request: &SlowRequest) -> Option<Response> {
        let bytes = request.to_http();
        loop {
            let kept = self.connection.take().filter(|connection| !connection.has_ended());
            let is_kept = kept.is_some();
            let mut connection = match kept {
                Some(connection) => connection,
                None => PersistentConnection::open(self.address).await.ok()?,
            };
            let progress = connection.write(&bytes, 1, Duration::ZERO).await;
            let sent = progress.written_at(bytes.len())?;
            connection.take_event_times();
            let received = timeout(PATIENCE, connection.read_response(bytes.len())).await;
            let ended = clock::now();
            let (status, complete, is_reusable) = match received {
                Ok(Ok(response)) => (Some(response.status), response.complete, !response.closes_connection),
                Ok(Err(ConnectionEnd::Unread)) if is_kept => continue,
                Ok(Err(_)) | Err(_) => (None, false, false),
            };
            let events = connection.take_event_times();
            self.connection = is_reusable.then_some(connection);
            return Some(Response { sent, status, complete, events, ended });
        }
    }
}
