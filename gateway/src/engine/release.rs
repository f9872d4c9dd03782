//! Releases of the leases that servers hold for a request. Which server is asked when is decided by
//! [`reachability`](glenrail_request_lifecycle::reachability).

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

/// A round in which no server has accepted the release ends after this time; the caller begins the next round, with the
/// servers asked in vain last.
const ROUND_TIMEOUT: Duration = Duration::from_millis(600);

/// A server that was asked may answer for so long, also once another has: its connection is reused.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Engine {
    /// Asks servers that run, concurrently, until one has accepted the release.
    pub(super) async fn release(&self, payload: &Payload) -> Result<Reply, CallError> {
        let request = lease_request(Method::DELETE, &payload.request_id)?;
        let request = Rc::new(ServerRequest::new(RequestKind::Release, request));
        let now = || self.0.servers.borrow().now();
        let (started, limit) = (now(), ROUND_TIMEOUT.as_millis() as u64);
        let mut release =
            ReleaseRounds::new(self.0.servers.borrow().release_order(), started, started + limit);
        let (answer_sender, mut answers) = mpsc::unbounded_channel();
        loop {
            for server in release.next_round(now()) {
                // In a task of its own, so that it is not cancelled, and its connection lost, when another server was
                // faster.
                let release = self.clone().release_at(server, request.clone(), answer_sender.clone());
                spawn_local(release);
            }
            let Some(wake) = release.next_wake(now()) else { return Err(CallError::ConnectFailed) };
            tokio::select! {
                accepted = answers.recv() => match accepted {
                    Some(true) => return Ok(Reply::Done),
                    _ => release.failed(now()),
                },
                () = sleep(Duration::from_millis(wake.saturating_sub(now()))) => {}
            }
        }
    }

    /// Asks one server, and reports whether it has accepted the release.
    async fn release_at(
        self, server: ServerId, request: Rc<ServerRequest>, answers: mpsc::UnboundedSender<bool>,
    ) {
        self.record(server, Reachability::query_sent);
        let answer = timeout(ANSWER_TIMEOUT, self.short_call(server, &request)).await;
        let accepted = match answer {
            Ok(Ok((head, _))) => head.status.is_success(),
            _ => {
                self.record(server, Reachability::query_lost);
                false
            }
        };
        // Nobody receives it any more once the release has ended.
        let _ = answers.send(accepted);
    }
}
