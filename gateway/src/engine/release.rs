//! Letting go of what servers hold for a request. Whom to ask and when is decided by
//! [`reach`](glenrail_request_lifecycle::reach).

use std::rc::Rc;
use std::time::Duration;

use glenrail_request_lifecycle::reach::Release;
use http::Method;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::requests::lease_request;
use super::{Ask, Asked, Engine};
use crate::exchange::Payload;
use crate::upstream::{CallError, Reply};

/// A round in which nobody has taken the release ends after this time; whoever ordered it begins the next, with those asked
/// in vain last.
const LIMIT: Duration = Duration::from_millis(600);
/// A server asked may answer for so long, also once another has: its connection is kept.
const ANSWER_WAIT: Duration = Duration::from_millis(1_000);

impl Engine {
    /// Asks servers that run, one beside the other, until one has taken it.
    pub(super) async fn release(&self, payload: &Payload) -> Result<Reply, CallError> {
        let asked = Rc::new(Asked::aside(Ask::Release, lease_request(Method::DELETE, &payload.request_id)?));
        let now = || self.0.places.borrow().now();
        let (begun, limit) = (now(), LIMIT.as_millis() as u64);
        let mut release = Release::new(self.0.places.borrow().running(), begun, begun + limit);
        let (tell, mut told) = mpsc::unbounded_channel();
        loop {
            for server in release.ask(now()) {
                let (engine, asked, tell) = (self.clone(), asked.clone(), tell.clone());
                // On its own, so that it is not cut off, and its connection lost, when another server was faster.
                spawn_local(async move {
                    engine.0.places.borrow_mut().note(server, |reach, now| reach.query_sent(now));
                    let answer = timeout(ANSWER_WAIT, engine.brief(server, &asked)).await;
                    if !matches!(answer, Ok(Ok(_))) {
                        engine.0.places.borrow_mut().note(server, |reach, now| reach.query_lost(now));
                    }
                    let taken = matches!(answer, Ok(Ok((head, _))) if head.status.is_success());
                    // Nobody listens any more once the release has ended.
                    let _ = tell.send(taken);
                });
            }
            let Some(wake) = release.wake(now()) else { return Err(CallError::ConnectFailed) };
            tokio::select! {
                taken = told.recv() => match taken {
                    Some(true) => return Ok(Reply::Done),
                    _ => release.failed(now()),
                },
                () = sleep(Duration::from_millis(wake.saturating_sub(now()))) => {}
            }
        }
    }
}
