//! Clients of the gateways: each sends one request on a connection of its own and records what becomes of it.

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

/// A client waits so much longer than its deadline for an answer that only comes late.
pub const ANSWER_GRACE: Duration = Duration::from_secs(5);

/// Whoever asks for readiness waits so long for an answer.
const READY_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
const REQUEST_PATH: &str = "/v1/chat/completions";
const REQUEST_BODY: &str = r#"{"model":"chat","stream":true,"messages":[]}"#;

/// One request of a client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub id: String,
    pub class: String,
    pub session: u64,
    pub deadline: Duration,
    /// Whether its class may be repeated.
    pub repeatable: bool,
    /// It sends its first byte so long after it has connected.
    pub first_byte_after: Duration,
    /// It closes its connection after so long, whatever has come by then.
    pub disconnects_after: Option<Duration>,
}

impl ClientRequest {
    /// A request that waits for its answer.
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

    /// The request as its bytes.
    pub fn to_http(&self) -> String {
        let headers: String =
            self.headers().iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        format!(
            "POST {REQUEST_PATH} HTTP/1.1\r\n{headers}content-length: {}\r\n\r\n{REQUEST_BODY}",
            REQUEST_BODY.len()
        )
    }

    /// The record of its first byte on this connection to a gateway.
    pub fn begun_record(&self, gateway: &str, connection: &PersistentConnection, at: Micros) -> Record {
        let event = Event::RequestBegun {
            request: self.id.clone(),
            client: connection.client_address(),
            connected_at: connection.connected_at(),
        };
        Record { at, source: gateway.to_string(), event }
    }

    /// The record of its last byte.
    pub fn sent_record(&self, gateway: &str, at: Micros) -> Record {
        let (request, deadline) = (self.id.clone(), self.deadline.as_secs_f64());
        let event = Event::Sent { request, deadline, repeatable: self.repeatable };
        Record { at, source: gateway.to_string(), event }
    }
}

/// Sends a request, and records what becomes of it; `gateway` names the one asked. Gives the answer's status.
pub async fn send_request(
    gateway: &str, address: SocketAddr, client_request: ClientRequest, records: &Records,
) -> Option<u16> {
    let request = client_request.id.clone();
    let mut connection = PersistentConnection::open(address).await.ok()?;
    sleep(client_request.first_byte_after).await;
    let text = client_request.to_http();
    let progress = connection.write(text.as_bytes(), 1, Duration::ZERO).await;
    let Some(sent_at) = progress.written_at(text.len()) else {
        // The gateway ended the connection before it was written on.
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

/// What a gateway answers whoever asks whether it is ready, within a second; `None` where it answers nothing.
pub async fn ready_status(address: SocketAddr) -> Option<u16> {
    let response = async {
        let mut sender = connect(address).await?;
        let request = Request::get("/ready").header("host", "api.internal").body(Full::default()).ok()?;
        Some(sender.send_request(request).await.ok()?.status().as_u16())
    };
    timeout(READY_RESPONSE_TIMEOUT, response).await.ok().flatten()
}

async fn connect(address: SocketAddr) -> Option<http1::SendRequest<Full<Bytes>>> {
    let socket = TcpStream::connect(address).await.ok()?;
    let _ = socket.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(socket)).await.ok()?;
    // It ends with its sender.
    tokio::spawn(connection);
    Some(sender)
}
