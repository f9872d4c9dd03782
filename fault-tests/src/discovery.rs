//! Stand-in for the discovery agent beside one gateway: it returns the whole endpoint list, and holds a watch request until a
//! newer list is published.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

/// Discovery agent that serves until the runtime of the test stops.
#[derive(Clone, Debug)]
pub struct DiscoveryAgent {
    pub address: SocketAddr,
    list: watch::Sender<Value>,
    down: watch::Sender<bool>,
}

impl DiscoveryAgent {
    pub async fn start(list: Value) -> io::Result<DiscoveryAgent> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let agent = DiscoveryAgent {
            address: listener.local_addr()?,
            list: watch::Sender::new(list),
            down: watch::Sender::new(false),
        };
        let serving = agent.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(socket));
            }
        });
        Ok(agent)
    }

    /// Replaces the endpoint list.
    pub fn publish(&self, list: Value) {
        self.list.send_replace(list);
    }

    /// Sets whether the agent withholds its responses.
    pub fn set_down(&self, down: bool) {
        self.down.send_replace(down);
    }

    async fn serve(self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let service = service_fn(move |request| {
            let agent = self.clone();
            async move { Ok::<_, Infallible>(agent.respond(request).await) }
        });
        let _ = http1::Builder::new().serve_connection(TokioIo::new(socket), service).await;
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let query_number = |name: &str| -> Option<u64> {
            let query = request.uri().query().unwrap_or("");
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let (from, hold) =
            (query_number("from"), Duration::from_millis(query_number("hold_ms").unwrap_or(0)));
        let mut list = self.list.subscribe();
        let newer = list.wait_for(|list| from.is_none_or(|from| list["seq"].as_u64() > Some(from)));
        let response_list = match timeout(hold, newer).await {
            Ok(Ok(list)) => list.clone(),
            _ if from.is_none() => self.list.borrow().clone(),
            _ => json!({"seq": from, "whole": false, "hosts": []}),
        };
        // The channel does not close while this agent exists.
        let _ = self.down.subscribe().wait_for(|down| !down).await;
        Response::new(Full::new(Bytes::from(response_list.to_string())))
    }
}
