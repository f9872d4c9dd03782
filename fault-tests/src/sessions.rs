//! Clients with persistent connections. They pause between requests, also for longer than the gateway's idle timeout, write
//! requests in one or several pieces, sometimes pipeline two of them, and use a connection until the gateway closes it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

use crate::client::{ClientRequest, ANSWER_GRACE};
use crate::clock::{self, Micros};
use crate::front::{Front, FrontedGateway};
use crate::persistent_connection::{ClientResponse, ConnectionEnd, PersistentConnection};
use crate::record::{Event, Records};

/// Number of concurrent clients.
const CLIENTS: u64 = 24;
/// Shares of the requests without a pause before them, and with one close to the gateway's idle timeout (2,500 ms).
const NO_PAUSE_SHARE: f64 = 0.4;
const LONG_PAUSE_SHARE: f64 = 0.2;
/// Lengths of the other pauses, and of those close to the idle timeout.
const SHORT_PAUSE_MS: std::ops::Range<u64> = 0..600;
const LONG_PAUSE_MS: std::ops::Range<u64> = 2_300..2_700;
/// Share of the pauses that a SIGTERM to the gateway cuts or extends to one of these delays after it: at once, about when idle
/// connections are closed, and about when requests are rejected.
const SEND_DURING_SHUTDOWN_SHARE: f64 = 0.7;
const SHUTDOWN_SEND_DELAY_MS: [std::ops::Range<u64>; 3] = [0..10, 500..680, 640..800];
/// Share of the requests that are written in several pieces, the maximum number of pieces, and the pauses between them.
const SPLIT_REQUEST_SHARE: f64 = 0.3;
const MAX_PIECES: usize = 4;
const PIECE_PAUSE_MS: std::ops::Range<u64> = 1..30;
/// Share of the requests that are pipelined with a second one.
const PIPELINED_SHARE: f64 = 0.1;
/// Pause after a failed connection attempt.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Number of requests by status, or by how they ended at the client without one.
pub type Outcomes = BTreeMap<String, usize>;

/// Runs all clients until `until`.
pub async fn run(
    front: Arc<Front>, records: Records, deadline: Duration, seed: u64, until: Instant,
) -> Outcomes {
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        let random = StdRng::seed_from_u64(seed.wrapping_mul(CLIENTS).wrapping_add(number));
        let id = format!("{seed:x}-s{number}");
        let client =
            Session { id, sent: 0, random, deadline, front: front.clone(), records: records.clone() };
        clients.spawn(client.run(until));
    }
    let mut outcomes = Outcomes::new();
    while let Some(client_outcomes) = clients.join_next().await {
        for (outcome, count) in client_outcomes.unwrap_or_default() {
            *outcomes.entry(outcome).or_default() += count;
        }
    }
    outcomes
}

struct Session {
    id: String,
    sent: u64,
    random: StdRng,
    deadline: Duration,
    front: Arc<Front>,
    records: Records,
}

/// What a client does after a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum NextStep {
    Continue,
    Reconnect,
}

impl Session {
    async fn run(mut self, until: Instant) -> Outcomes {
        let front = self.front.clone();
        let mut outcomes = Outcomes::new();
        while Instant::now() < until {
            let gateway = front.choose(&mut self.random);
            let Ok(mut connection) = PersistentConnection::open(gateway.address).await else {
                *outcomes.entry("no connection".into()).or_default() += 1;
                sleep(RECONNECT_PAUSE).await;
                continue;
            };
            while Instant::now() < until {
                self.pause_before_request(gateway).await;
                if connection.has_ended() {
                    break;
                }
                if self.send(gateway, &mut connection, &mut outcomes).await == NextStep::Reconnect {
                    break;
                }
            }
        }
        outcomes
    }

    /// Pauses before a request, possibly only until a random delay after the gateway is sent SIGTERM.
    async fn pause_before_request(&mut self, gateway: &FrontedGateway) {
        let pause_ms = match self.random.random::<f64>() {
            draw if draw < NO_PAUSE_SHARE => return,
            draw if draw < NO_PAUSE_SHARE + LONG_PAUSE_SHARE => self.random.random_range(LONG_PAUSE_MS),
            _ => self.random.random_range(SHORT_PAUSE_MS),
        };
        let sends_during_shutdown = self.random.random_bool(SEND_DURING_SHUTDOWN_SHARE);
        let send_delay =
            SHUTDOWN_SEND_DELAY_MS[self.random.random_range(0..SHUTDOWN_SEND_DELAY_MS.len())].clone();
        let send_delay = Duration::from_millis(self.random.random_range(send_delay));
        tokio::select! {
            () = sleep(Duration::from_millis(pause_ms)) => {}
            () = gateway.wait_for_termination(), if sends_during_shutdown => sleep(send_delay).await,
        }
    }

    fn next_request(&mut self) -> ClientRequest {
        self.sent += 1;
        let repeatable = self.random.random_bool(0.5);
        let class = if repeatable { "item-query" } else { "order-chat" };
        let deadline = self.deadline.mul_f64(self.random.random_range(0.5..=1.0));
        let id = format!("{}-{:x}", self.id, self.sent);
        let mut request = ClientRequest::new(id, class, deadline, repeatable);
        request.session = self.random.random_range(0..200);
        request
    }

    /// Sends a request, or two pipelined ones, and waits for the responses.
    async fn send(
        &mut self, gateway: &FrontedGateway, connection: &mut PersistentConnection, outcomes: &mut Outcomes,
    ) -> NextStep {
        let first = self.next_request();
        let second = self.random.random_bool(PIPELINED_SHARE).then(|| self.next_request());
        let encoded: Vec<String> =
            [Some(&first), second.as_ref()].into_iter().flatten().map(ClientRequest::to_http).collect();
        let pieces = if self.random.random_bool(SPLIT_REQUEST_SHARE) {
            self.random.random_range(2..=MAX_PIECES)
        } else {
            1
        };
        let pause = Duration::from_millis(self.random.random_range(PIECE_PAUSE_MS));
        let progress = connection.write(encoded.concat().as_bytes(), pieces, pause).await;
        if progress.bytes() > 0 {
            self.records.push(first.begun_record(&gateway.name, connection, progress.began_at));
        }
        if let (Some(second), Some(at)) = (&second, progress.written_at(encoded[0].len() + 1)) {
            self.records.push(second.begun_record(&gateway.name, connection, at));
            self.records.add(&gateway.name, Event::Pipelined { request: second.id.clone() });
        }
        let Some(sent_at) = progress.written_at(encoded[0].len()) else {
            if connection.may_be_partly_read(progress.bytes()) {
                self.records.add(&gateway.name, Event::ClosedPartlyRead { request: first.id.clone() });
            }
            *outcomes.entry("closed while being written".into()).or_default() += 1;
            return NextStep::Reconnect;
        };
        let next =
            self.await_response(gateway, connection, &first, sent_at, progress.bytes(), outcomes).await;
        let Some(second) = second else { return next };
        if next == NextStep::Reconnect {
            *outcomes.entry("pipelined, without a response".into()).or_default() += 1;
            return next;
        }
        let pending_bytes = progress.bytes() - encoded[0].len();
        if pending_bytes < encoded[1].len() {
            *outcomes.entry("closed while being written".into()).or_default() += 1;
            return NextStep::Reconnect;
        }
        self.await_response(gateway, connection, &second, clock::now(), pending_bytes, outcomes).await
    }

    /// Waits for the response to a request that was written by `sent_at`, and records the outcome.
    async fn await_response(
        &mut self, gateway: &FrontedGateway, connection: &mut PersistentConnection, request: &ClientRequest,
        sent_at: Micros, pending_bytes: usize, outcomes: &mut Outcomes,
    ) -> NextStep {
        let id = request.id.clone();
        self.records.push(request.sent_record(&gateway.name, sent_at));
        let response =
            timeout(request.deadline + ANSWER_GRACE, connection.read_response(pending_bytes)).await;
        let (event, outcome, next) = match response {
            Ok(Ok(ClientResponse { status, complete, closes_connection })) => {
                let next = if closes_connection { NextStep::Reconnect } else { NextStep::Continue };
                let outcome = if complete { status.to_string() } else { format!("{status}, incomplete") };
                (Event::Answered { request: id, status, complete }, outcome, next)
            }
            Ok(Err(ConnectionEnd::Unread)) => {
                (Event::ClosedUnread { request: id }, "closed unread".into(), NextStep::Reconnect)
            }
            Ok(Err(ConnectionEnd::Read)) => {
                (Event::Unanswered { request: id }, "closed after reading".into(), NextStep::Reconnect)
            }
            Ok(Err(ConnectionEnd::PartlyRead)) => {
                (Event::Unanswered { request: id }, "closed after reading a part".into(), NextStep::Reconnect)
            }
            Ok(Err(ConnectionEnd::Reset)) => {
                (Event::Unanswered { request: id }, "reset".into(), NextStep::Reconnect)
            }
            Ok(Err(ConnectionEnd::Unknown)) => (
                Event::Unanswered { request: id },
                "closed, unread bytes unknown".into(),
                NextStep::Reconnect,
            ),
            Err(_) => {
                *outcomes.entry("no response".into()).or_default() += 1;
                return NextStep::Reconnect;
            }
        };
        self.records.add(&gateway.name, event);
        *outcomes.entry(outcome).or_default() += 1;
        next
    }
}
