//! Clients that keep their connections: they rest between requests, up to beyond the gateway's idle time-out, write in one
//! piece or in several, sometimes two requests at once, and go on until their gateway ends the connection.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};

use crate::client::{ClientRequest, GRACE};
use crate::clock::{self, Micros};
use crate::front::{Front, FrontedGateway};
use crate::persistent_connection::{Answer, End, KeptConnection};
use crate::record::{Event, Records};

/// Clients that run side by side.
const CLIENTS: u64 = 24;
/// Share of the rests that are none, and of those that come close to the gateway's idle time-out (2,500 ms).
const NO_REST: f64 = 0.4;
const LONG_REST: f64 = 0.2;
/// Rests, in milliseconds.
const SHORT_RESTS: std::ops::Range<u64> = 0..600;
const LONG_RESTS: std::ops::Range<u64> = 2_300..2_700;
/// Share of the clients that send beside the end of their gateway, and when after SIGTERM they do, in milliseconds: at once,
/// about when resting connections are closed, and about when requests are rejected.
const SENDS_BESIDE_END: f64 = 0.7;
const BESIDE_END: [std::ops::Range<u64>; 3] = [0..10, 500..680, 640..800];
/// Share of the requests that are written in several pieces, most pieces, and the pauses between them (ms).
const IN_PIECES: f64 = 0.3;
const MAX_PIECES: usize = 4;
const PIECE_PAUSES: std::ops::Range<u64> = 1..30;
/// Share of the requests behind which a second one is written at once.
const PIPELINED: f64 = 0.1;
/// Pause of a client that could not connect.
const CONNECT_PAUSE: Duration = Duration::from_millis(50);

/// How many requests ended in which way; by status, or by what their clients saw instead.
pub type Outcomes = BTreeMap<String, usize>;

/// Runs all clients until then.
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
    while let Some(ended) = clients.join_next().await {
        for (outcome, count) in ended.unwrap_or_default() {
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

/// What follows a request on its connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Next {
    Continue,
    Reconnect,
}

impl Session {
    async fn run(mut self, until: Instant) -> Outcomes {
        let front = self.front.clone();
        let mut outcomes = Outcomes::new();
        while Instant::now() < until {
            let gateway = front.choose(&mut self.random);
            let Ok(mut connection) = KeptConnection::open(gateway.address).await else {
                *outcomes.entry("no connection".into()).or_default() += 1;
                sleep(CONNECT_PAUSE).await;
                continue;
            };
            while Instant::now() < until {
                self.rest(gateway).await;
                if connection.has_ended() {
                    break;
                }
                if self.send(gateway, &mut connection, &mut outcomes).await == Next::Reconnect {
                    break;
                }
            }
        }
        outcomes
    }

    /// Rests between two requests, or until some moment after the gateway is told to end.
    async fn rest(&mut self, gateway: &FrontedGateway) {
        let rest = match self.random.random::<f64>() {
            draw if draw < NO_REST => return,
            draw if draw < NO_REST + LONG_REST => self.random.random_range(LONG_RESTS),
            _ => self.random.random_range(SHORT_RESTS),
        };
        let beside_end = self.random.random_bool(SENDS_BESIDE_END);
        let moment = BESIDE_END[self.random.random_range(0..BESIDE_END.len())].clone();
        let moment = Duration::from_millis(self.random.random_range(moment));
        tokio::select! {
            () = sleep(Duration::from_millis(rest)) => {}
            () = gateway.terminated(), if beside_end => sleep(moment).await,
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

    /// Sends a request, or two at once, and waits for the answers.
    async fn send(
        &mut self, gateway: &FrontedGateway, connection: &mut KeptConnection, outcomes: &mut Outcomes,
    ) -> Next {
        let first = self.next_request();
        let second = self.random.random_bool(PIPELINED).then(|| self.next_request());
        let texts: Vec<String> =
            [Some(&first), second.as_ref()].into_iter().flatten().map(ClientRequest::text).collect();
        let pieces =
            if self.random.random_bool(IN_PIECES) { self.random.random_range(2..=MAX_PIECES) } else { 1 };
        let pause = Duration::from_millis(self.random.random_range(PIECE_PAUSES));
        let written = connection.write(texts.concat().as_bytes(), pieces, pause).await;
        if written.bytes() > 0 {
            self.records.push(first.begun(&gateway.name, connection, written.began));
        }
        if let (Some(second), Some(at)) = (&second, written.when(texts[0].len() + 1)) {
            self.records.push(second.begun(&gateway.name, connection, at));
            self.records.add(&gateway.name, Event::Pipelined { request: second.id.clone() });
        }
        let Some(sent_at) = written.when(texts[0].len()) else {
            if connection.may_have_read_some(written.bytes()) {
                self.records.add(&gateway.name, Event::EndedInPart { request: first.id.clone() });
            }
            *outcomes.entry("ended while it was written".into()).or_default() += 1;
            return Next::Reconnect;
        };
        let next = self.await_answer(gateway, connection, &first, sent_at, written.bytes(), outcomes).await;
        let Some(second) = second else { return next };
        if next == Next::Reconnect {
            *outcomes.entry("pipelined, not answered".into()).or_default() += 1;
            return next;
        }
        let unanswered = written.bytes() - texts[0].len();
        if unanswered < texts[1].len() {
            *outcomes.entry("ended while it was written".into()).or_default() += 1;
            return Next::Reconnect;
        }
        self.await_answer(gateway, connection, &second, clock::now(), unanswered, outcomes).await
    }

    /// Waits for the answer of a request that has been written by then, and records what becomes of it.
    async fn await_answer(
        &mut self, gateway: &FrontedGateway, connection: &mut KeptConnection, request: &ClientRequest,
        sent_at: Micros, unanswered: usize, outcomes: &mut Outcomes,
    ) -> Next {
        let id = request.id.clone();
        self.records.push(request.sent(&gateway.name, sent_at));
        let answer = timeout(request.deadline + GRACE, connection.answer(unanswered)).await;
        let (event, outcome, next) = match answer {
            Ok(Ok(Answer { status, complete, closes })) => {
                let next = if closes { Next::Reconnect } else { Next::Continue };
                let outcome = if complete { status.to_string() } else { format!("{status}, broken off") };
                (Event::Answered { request: id, status, complete }, outcome, next)
            }
            Ok(Err(End::Unread)) => {
                (Event::NotTaken { request: id }, "closed unread".into(), Next::Reconnect)
            }
            Ok(Err(End::Read)) => {
                (Event::Unanswered { request: id }, "closed after reading".into(), Next::Reconnect)
            }
            Ok(Err(End::ReadInPart)) => {
                (Event::Unanswered { request: id }, "closed after reading a part".into(), Next::Reconnect)
            }
            Ok(Err(End::Reset)) => (Event::Unanswered { request: id }, "reset".into(), Next::Reconnect),
            Ok(Err(End::Unknown)) => (
                Event::Unanswered { request: id },
                "closed, its socket not found out".into(),
                Next::Reconnect,
            ),
            Err(_) => {
                *outcomes.entry("no answer".into()).or_default() += 1;
                return Next::Reconnect;
            }
        };
        self.records.add(&gateway.name, event);
        *outcomes.entry(outcome).or_default() += 1;
        next
    }
}
