//! Signs that a server, and the way to it, is well at this moment.
//!
//! An open connection may fall silent with no error, and bytes that are handed to the machine may never arrive. Before
//! something that is held is staked on a connection, the connection answers a probe; after that, the server answers one.

use std::time::Duration;

use http::Method;
use http_body_util::{BodyExt, Limited};
use tokio::time::{timeout, Instant};

use glenrail_router::ServerId;

use super::connection::{Connection, Verdict};
use super::requests::{lease_request, load_request};
use super::{Ask, Asked, Engine, BRIEF};
use crate::log;
use crate::upstream::{CallError, Reply};

/// A server that is well answers a probe within this time.
const ANSWERS_WITHIN: Duration = Duration::from_millis(80);
/// A wait that lasted this much longer than it was to says that this process was held up, not that the server is silent.
const HELD_UP: Duration = Duration::from_millis(30);
/// Waits that may be repeated since this process was held up.
const REPEATS: usize = 2;

/// Why a connection is not to be written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unconfirmed {
    /// It has ended.
    Broken,
    /// It stands, and gave no answer.
    Silent,
    /// The time left was too short for an answer.
    NoTime,
    /// The server has to get nothing.
    KeptBack,
}

impl From<Unconfirmed> for CallError {
    fn from(unconfirmed: Unconfirmed) -> CallError {
        match unconfirmed {
            // Nothing of a request went out.
            Unconfirmed::Broken | Unconfirmed::Silent => CallError::ConnectFailed,
            Unconfirmed::NoTime | Unconfirmed::KeptBack => CallError::NotSent,
        }
    }
}

impl Engine {
    /// Has this connection answer a probe, by `by`.
    pub(super) async fn confirm(
        &self, server: ServerId, connection: &mut Connection, by: Option<Instant>,
    ) -> Result<(), Unconfirmed> {
        self.0.counts.borrow_mut().probes += 1;
        let left = by.map_or(ANSWERS_WITHIN, |by| by.saturating_duration_since(Instant::now()));
        let wait = left.min(ANSWERS_WITHIN);
        let answer = self.probe_on(server, connection);
        tokio::pin!(answer);
        let mut repeats = REPEATS;
        loop {
            let began = Instant::now();
            match timeout(wait, &mut answer).await {
                Ok(Ok(())) => {
                    self.0.places.borrow_mut().note(server, |reach, now| reach.answered(now));
                    return Ok(());
                }
                Ok(Err(unconfirmed)) => return Err(unconfirmed),
                Err(_) if began.elapsed() > wait + HELD_UP && repeats > 0 => repeats -= 1,
                Err(_) if wait < ANSWERS_WITHIN / 2 => return Err(Unconfirmed::NoTime),
                Err(_) => {
                    self.0.places.borrow_mut().note(server, |reach, now| reach.query_lost(now));
                    log!("a connection to server {:x} stands and is silent", server.0);
                    // Those that stood beside it are not tried one after the other.
                    if let Some(place) = self.0.places.borrow_mut().get_mut(server) {
                        place.idle.clear();
                    }
                    return Err(Unconfirmed::Silent);
                }
            }
        }
    }

    /// Sends a probe on a connection that is free, and takes in its answer.
    async fn probe_on(&self, server: ServerId, connection: &mut Connection) -> Result<(), Unconfirmed> {
        if !connection.may_write(self.may_get(server, &connection.peer, Ask::Probe)) {
            return Err(Unconfirmed::KeptBack);
        }
        let request = load_request().map_err(|_| Unconfirmed::KeptBack)?;
        let response = match connection.send(request, || true).await {
            Ok(response) => response,
            Err(Verdict::KeptBack) => return Err(Unconfirmed::KeptBack),
            Err(_) => return Err(Unconfirmed::Broken),
        };
        let body = Limited::new(response.into_body(), BRIEF).collect().await;
        let free = body.is_ok() && connection.ended(true) && connection.sender.ready().await.is_ok();
        free.then_some(()).ok_or(Unconfirmed::Broken)
    }

    /// A sign of this server that is younger than this call: an answer, or a new connection where there is nothing to ask.
    pub(super) async fn check(&self, server: ServerId, ended: Option<&str>) -> Result<Reply, CallError> {
        let asked = match (self.0.limits.probes, ended) {
            (true, _) => Some(Asked::aside(Ask::Probe, load_request()?)),
            (false, Some(name)) => Some(Asked::aside(Ask::Release, lease_request(Method::DELETE, name)?)),
            (false, None) => None,
        };
        let checked = async {
            if let Some(asked) = &asked {
                self.0.counts.borrow_mut().probes += u64::from(asked.what == Ask::Probe);
                return self.brief(server, asked).await.map(drop);
            }
            let connection = self.opened(server, Ask::Probe, None).await?;
            self.stand_idle(server, connection);
            Ok(())
        };
        match timeout(ANSWERS_WITHIN, checked).await {
            Ok(checked) => checked.map(|()| Reply::Done),
            Err(_) => {
                self.0.places.borrow_mut().note(server, |reach, now| reach.query_lost(now));
                Err(CallError::ConnectFailed)
            }
        }
    }
}
