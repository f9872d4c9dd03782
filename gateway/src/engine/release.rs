//! Release of the leases that servers hold for a request.
//!
//! [`reachability`](glenrail_request_lifecycle::reachability) decides which servers are called, and when.

use std::rc::Rc;
use std::time::Duration;

use glenrail_request_lifecycle::reachability::{Reachability, ReleaseRounds};
use glenrail_router::ServerId;
use http::Method;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::requests::lease_request;
use super::server_request::{RequestKind, ServerRequest};
use super::Engine;
use crate::exchange::Payload;
use crate::upstream::{CallError, Reply};

/// Time after which a release fails if no server has accepted it. The caller then starts another one, in which the
/// servers that did not answer come last.
const ROUND_TIMEOUT: Duration = Duration::from_millis(600);

/// Time limit for the answer of one server. It applies even after another server has accepted the release, so that the
/// connection can be reused.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Engine {
    /// Sends a release to running servers in rounds until one has accepted it. The calls run concurrently.
    pub(super) async fn release(&self, payload: &Payload) -> Result<Reply, CallError> {
        let request = lease_request(Method::DELETE, &payload.request_id)?;
        let request = Rc::new(ServerRequest::new(RequestKind::Release, request));
        let now = || self.0.servers.borrow().now();
        let (started, limit) = (now(), ROUND_TIMEOUT.as_millis() as u64);
        let mut rounds =
            ReleaseRounds::new(self.0.servers.borrow().release_order(), started, started + limit);
        let (answer_sender, mut answers) = mpsc::unbounded_channel();
        loop {
            for server in rounds.next_round(now()) {
                // A separate task keeps the call, and so its connection, from being cancelled when another server
                // answers first.
                let release = self.clone().release_at(server, request.clone(), answer_sender.clone());
                spawn_local(release);
            }
            let Some(wake) = rounds.next_wake(now()) else { return Err(CallError::ConnectFailed) };
            tokio::select! {
                accepted = answers.recv() => match accepted {
                    Some(true) => return Ok(Reply::Done),
                    _ => rounds.failed(now()),
                },
                () = sleep(Duration::from_millis(wake.saturating_sub(now()))) => {}
            }
        }
    }

    /// Sends the release to one server and reports whether the server accepted it.
    async fn release_at(
        self, server: ServerId, request: Rc<ServerRequest>, answers: mpsc::UnboundedSender<bool>,
    ) {
        self.record_reachability(server, Reachability::query_sent);
        let answer = timeout(ANSWER_TIMEOUT, self.short_call(server, &request)).await;
        let accepted = match answer {
            Ok(Ok((head, _))) => head.status.is_success(),
            _ => {
                self.record_reachability(server, Reachability::query_lost);
                false
            }
        };
        // The receiver is dropped when the release has ended.
        let _ = answers.send(accepted);
    }
}
