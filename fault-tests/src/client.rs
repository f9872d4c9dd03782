//! Clients of the gateways that send one request per connection and record its outcome.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::clock::Micros;
use crate::persistent_connection::{ClientResponse, PersistentConnection};
use crate::record::{Event, Record, Records};

/// Time beyond its deadline for which a client waits for a late response.
pub const ANSWER_GRACE: Duration = Duration::from_secs(5);

/// Timeout of a readiness request.
const READY_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
const REQUEST_PATH: &str = "/v1/chat/completions";
const REQUEST_BODY: &str = r#"{"model":"chat","stream":true,"messages":[]}"#;

/// Request of a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub id: String,
    pub class: String,
    pub session: u64,
    pub deadline: Duration,
    /// Whether requests of its class may be repeated.
    pub repeatable: bool,
    /// Delay between the connection and the first byte of the request.
    pub first_byte_after: Duration,
    /// Time after which the client closes its connection unless the whole response has arrived; `None` for a client that waits.
    pub disconnects_after: Option<Duration>,
}

impl ClientRequest {
    /// Returns a request that is sent at once and whose client waits for the response.
    pub fn new(id: impl Into<String>, class: &str, deadline: Duration, repeatable: bool) -> ClientRequest {
        let (id, class) = (id.into(), class.to_string());
        let first_byte_after = Duration::ZERO;
        ClientRequest {
            id,
            class,
            session: 0,
            deadline,
            repeatable,
            first_byte_after,
            disconnects_after: None,
        }
    }

    fn headers(&self) -> [(&'static str, String); 6] {
        [
            ("host", "api.internal".into()),
            ("req-id", self.id.clone()),
            ("req-kind", self.class.clone()),
            ("req-key", format!("{:016x}", self.session)),
            ("req-deadline", format!("{:.3}", self.deadline.as_secs_f64())),
            ("req-extra", "prompt_len=800,max_out=100".into()),
        ]
    }

    /// Returns the HTTP request as text.
    pub fn to_http(&self) -> String {
        let headers: String =
            self.headers().iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        format!(
            "POST {REQUEST_PATH} HTTP/1.1\r\n{headers}content-length: {}\r\n\r\n{REQUEST_BODY}",
            REQUEST_BODY.len()
        )
    }

    /// Returns the record of the first byte, written on this connection to a gateway.
    pub fn begun_record(&self, gateway: &str, connection: &PersistentConnection, at: Micros) -> Record {
        let event = Event::RequestBegun {
            request: self.id.clone(),
            client: connection.client_address(),
            connected_at: connection.connected_at(),
        };
        Record { at, source: gateway.to_string(), event }
    }

    /// Returns the record of the last byte.
    pub fn sent_record(&self, gateway: &str, at: Micros) -> Record {
        let (request, deadline) = (self.id.clone(), self.deadline.as_secs_f64());
        let event = Event::Sent { request, deadline, repeatable: self.repeatable };
        Record { at, source: gateway.to_string(), event }
    }
}

/// Sends a request to the gateway called `gateway` and records its outcome. Returns the status of the response.
pub async fn send_request(
    gateway: &str, address: SocketAddr, client_request: ClientRequest, records: &Records,
) -> Option<u16> {
    let request = client_request.id.clone();
    let mut connection = PersistentConnection::open(address).await.ok()?;
    sleep(client_request.first_byte_after).await;
    let text = client_request.to_http();
    let progress = connection.write(text.as_bytes(), 1, Duration::ZERO).await;
    let Some(sent_at) = progress.written_at(text.len()) else {
        // The gateway closed the connection before the request was written.
        records.add(gateway, Event::ClosedUnread { request });
        return None;
    };
    records.push(client_request.begun_record(gateway, &connection, progress.began_at));
    records.push(client_request.sent_record(gateway, sent_at));
    let wait = client_request.disconnects_after.unwrap_or(client_request.deadline + ANSWER_GRACE);
    let response = timeout(wait, connection.read_response(text.len())).await;
    connection.close();
    match response {
        Ok(Ok(ClientResponse { status, complete, .. })) => {
            records.add(gateway, Event::Answered { request, status, complete });
            Some(status)
        }
        Ok(Err(_)) => {
            records.add(gateway, Event::Unanswered { request });
            None
        }
        Err(_) if client_request.disconnects_after.is_some() => {
            records.add(gateway, Event::ClientDisconnected { request });
            None
        }
        Err(_) => None,
    }
}

/// Returns the status of a gateway's readiness response, or `None` without a response within a second.
pub async fn ready_status(address: SocketAddr) -> Option<u16> {
    let readiness = async {
        let mut sender = connect(address).await?;
        let request = Request::get("/ready").header("host", "api.internal").body(Full::default()).ok()?;
        Some(sender.send_request(request).await.ok()?.status().as_u16())
    };
    timeout(READY_RESPONSE_TIMEOUT, readiness).await.ok().flatten()
}

async fn connect(address: SocketAddr) -> Option<http1::SendRequest<Full<Bytes>>> {
    let socket = TcpStream::connect(address).await.ok()?;
    let _ = socket.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(socket)).await.ok()?;
    // The task ends when the sender is dropped.
    tokio::spawn(connection);
    Some(sender)
}
