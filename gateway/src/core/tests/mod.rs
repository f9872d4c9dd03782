//! Tests of the core on paused time, with a scripted service in place of the servers.

mod delivery;
mod leases;
mod permissions;
mod prefill_errors;
mod records;
mod rejections;
mod replay;
mod requests;
mod resets;
mod stored;
mod streams;

use std::cell::Cell;

use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use glenrail_request_lifecycle::evidence::Observation;
use glenrail_request_lifecycle::request::{Effect, Stage};
use glenrail_request_lifecycle::response_timing::{OnPause, ResponseLimits, ResponseTiming};
use glenrail_router::{AttemptOutcome, AttemptStatus, RejectReason};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout, Instant};

use super::timing::{
    CANCEL_PROPAGATION_DELAY, DEADLINE_TIMER_SLACK, DELIVERY_CHECK_SHARE, MAX_NETWORK_DELAY,
};
use super::*;
use crate::exchange::{CancelToken, Failure, Payload, Request, ResponseHead, ResponsePart};
use crate::upstream::{Frame, Malformation, ServerAfterReset};

const PREFILL_SERVERS: [u64; 2] = [11, 12];
const DECODE_SERVERS: [u64; 2] = [21, 22];

/// How long a query to an unresponsive server takes.
const INQUIRY_TIMEOUT: Duration = Duration::from_millis(80);

/// Reply of a scripted server to an attempt, after the script's delay.
#[derive(Clone, Debug)]
enum ScriptedReply {
    Prefilled,
    Stream,
    /// Starts a stream and resets it.
    BrokenStream,
    /// Starts a stream whose further events follow after these pauses, in seconds. The stream then sends nothing more and
    /// does not end.
    SlowStream(Vec<u64>),
    Rejected,
    Error,
    Unprocessable,
    Fail(CallError),
    /// The connection is reset, and the attempt's token records the reset.
    ConnectionReset,
    NoReply,
    /// The attempt never finishes connecting, so it is not written and gets no reply.
    NoConnection,
}

impl ScriptedReply {
    /// Whether no byte of the attempt is written.
    fn is_unwritten(&self) -> bool {
        matches!(
            self,
            ScriptedReply::NoConnection | ScriptedReply::Fail(CallError::ConnectFailed | CallError::NotSent)
        )
    }
}

/// Script in which prefills succeed and decodes get this reply, both after 5 ms.
fn prefilled_then(decode: ScriptedReply) -> ScriptedServers {
    ScriptedServers::new(move |_, server| match PREFILL_SERVERS.contains(&server.0) {
        true => (5, ScriptedReply::Prefilled),
        false => (5, decode.clone()),
    })
}

/// Returns the time limits of a response of the platform of which nothing has been received.
fn platform_timing() -> ResponseTiming<Instant> {
    ResponseTiming::new(ResponseLimits::platform(OnPause::Wait))
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum CallKind {
    Attempt,
    Release,
    ReleaseAccepted,
    /// A query after a reset.
    InquiryAfterReset,
}

/// Servers that follow a script, which maps the number of an attempt and its server to a delay in milliseconds and a reply.
#[derive(Clone)]
struct ScriptedServers {
    script: Rc<dyn Fn(usize, ServerId) -> (u64, ScriptedReply)>,
    /// All calls in order, each with its server if it is an attempt, else 0.
    calls: Rc<RefCell<Vec<(CallKind, u64)>>>,
    attempt_timeouts: Rc<RefCell<Vec<Duration>>>,
    connect_timeouts: Rc<RefCell<Vec<Option<Duration>>>>,
    in_flight: Rc<Cell<usize>>,
    max_in_flight: Rc<Cell<usize>>,
    /// Number of further release calls that fail before one is accepted.
    failing_releases: Rc<Cell<usize>>,
    /// Whether all delivery confirmations fail to connect.
    unreachable: Rc<Cell<bool>>,
    /// Results of successive delivery confirmations; the last one repeats.
    delivery_observations: Rc<RefCell<Vec<Observation>>>,
    /// Whether servers fail to notice that an attempt was interrupted.
    misses_closes: Rc<Cell<bool>>,
    /// Result of a query after a reset.
    after_reset: Rc<Cell<ServerAfterReset>>,
    /// The tokens of all attempts so far.
    attempt_tokens: Rc<RefCell<Vec<CancelToken>>>,
}

/// An attempt that is in flight until this guard is dropped. Its server then closes the connection, if it notices.
struct InFlight {
    count: Rc<Cell<usize>>,
    misses_closes: Rc<Cell<bool>>,
    token: CancelToken,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
        if !self.misses_closes.get() {
            self.token.record_observation(Observation::ServerClose);
        }
    }
}

impl ScriptedServers {
    fn new(script: impl Fn(usize, ServerId) -> (u64, ScriptedReply) + 'static) -> Self {
        ScriptedServers {
            script: Rc::new(script),
            calls: Rc::default(),
            attempt_timeouts: Rc::default(),
            connect_timeouts: Rc::default(),
            in_flight: Rc::default(),
            max_in_flight: Rc::default(),
            failing_releases: Rc::default(),
            unreachable: Rc::default(),
            delivery_observations: Rc::new(RefCell::new(vec![Observation::ResponseOnLaterConnection])),
            misses_closes: Rc::default(),
            after_reset: Rc::new(Cell::new(ServerAfterReset::TimedOut)),
            attempt_tokens: Rc::default(),
        }
    }

    /// Returns the number of attempts at these servers so far.
    fn attempts(&self, servers: &[u64]) -> usize {
        let calls = self.calls.borrow();
        calls.iter().filter(|call| call.0 == CallKind::Attempt && servers.contains(&call.1)).count()
    }

    /// Returns the number of calls of this kind so far.
    fn count(&self, kind: CallKind) -> usize {
        self.calls.borrow().iter().filter(|call| call.0 == kind).count()
    }

    fn call_kinds(&self) -> Vec<CallKind> {
        self.calls.borrow().iter().map(|call| call.0).collect()
    }

    /// Returns the connect timeouts of all attempts so far, in milliseconds.
    fn connect_timeouts_ms(&self) -> Vec<Option<u128>> {
        let timeouts = self.connect_timeouts.borrow();
        timeouts.iter().map(|timeout| timeout.map(|timeout| timeout.as_millis())).collect()
    }

    async fn answer(self, call: Call) -> Result<Reply, CallError> {
        match call {
            Call::Attempt { server, deadline, connect_timeout, cancel_token, .. } => {
                let number = self.count(CallKind::Attempt);
                self.calls.borrow_mut().push((CallKind::Attempt, server.0));
                let timeout = deadline.saturating_duration_since(Instant::now());
                self.attempt_timeouts.borrow_mut().push(timeout);
                self.connect_timeouts.borrow_mut().push(connect_timeout);
                let in_flight = self.begin_attempt(&cancel_token);
                let (delay, scripted) = (self.script)(number, server);
                cancel_token.set_written(!scripted.is_unwritten());
                sleep(Duration::from_millis(delay)).await;
                reply(scripted, in_flight).await
            }
            Call::Release { .. } => self.answer_release().await,
            Call::InquireAfterReset { .. } => Ok(Reply::AfterReset(self.answer_inquiry().await)),
            Call::ConfirmDelivery { .. } => self.confirm_delivery(),
            Call::Probe { .. } => Ok(Reply::Probed { healthy: true, report: None }),
            _ => Ok(Reply::Done),
        }
    }

    /// Returns the next scripted observation, of which the last one repeats; an error if the servers are
    /// unreachable.
    fn confirm_delivery(&self) -> Result<Reply, CallError> {
        if self.unreachable.get() {
            return Err(CallError::ConnectFailed);
        }
        let mut observations = self.delivery_observations.borrow_mut();
        let observation = if observations.len() > 1 { observations.remove(0) } else { observations[0] };
        Ok(Reply::DeliveryObserved(observation))
    }

    fn begin_attempt(&self, token: &CancelToken) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        self.max_in_flight.set(self.max_in_flight.get().max(self.in_flight.get()));
        let (count, misses_closes) = (self.in_flight.clone(), self.misses_closes.clone());
        self.attempt_tokens.borrow_mut().push(token.clone());
        InFlight { count, misses_closes, token: token.clone() }
    }

    async fn answer_inquiry(&self) -> ServerAfterReset {
        self.calls.borrow_mut().push((CallKind::InquiryAfterReset, 0));
        let found = self.after_reset.get();
        if found == ServerAfterReset::TimedOut {
            sleep(INQUIRY_TIMEOUT).await;
        }
        found
    }

    async fn answer_release(&self) -> Result<Reply, CallError> {
        self.calls.borrow_mut().push((CallKind::Release, 0));
        sleep(Duration::from_millis(40)).await;
        if let Some(left) = self.failing_releases.get().checked_sub(1) {
            self.failing_releases.set(left);
            return Err(CallError::ConnectFailed);
        }
        self.calls.borrow_mut().push((CallKind::ReleaseAccepted, 0));
        Ok(Reply::Done)
    }
}

async fn reply(scripted: ScriptedReply, in_flight: InFlight) -> Result<Reply, CallError> {
    let data = || Ok(Frame::Data(Bytes::from_static(b"data: x\n\n")));
    let end = || Ok(Frame::End { cached_tokens: 0.0, report: None });
    let frames = match scripted {
        ScriptedReply::Prefilled => return Ok(Reply::Prefilled { cached_tokens: 0.0, report: None }),
        ScriptedReply::Rejected => return Ok(Reply::Rejected { state_missing: false, report: None }),
        ScriptedReply::Error => return Ok(Reply::Error { report: None }),
        ScriptedReply::Unprocessable => return Ok(Reply::Unprocessable { report: None }),
        ScriptedReply::Fail(error) => return Err(error),
        ScriptedReply::ConnectionReset => {
            in_flight.token.record_observation(Observation::Reset);
            return Err(CallError::Reset);
        }
        ScriptedReply::NoReply | ScriptedReply::NoConnection => return std::future::pending().await,
        ScriptedReply::Stream => stream::iter(vec![data(), data(), end()]).boxed_local(),
        ScriptedReply::BrokenStream => stream::iter(vec![data(), Err(CallError::Reset)]).boxed_local(),
        ScriptedReply::SlowStream(pauses) => {
            let following = stream::iter(pauses).then(move |pause| async move {
                sleep(Duration::from_secs(pause)).await;
                data()
            });
            stream::iter([data()]).chain(following).chain(stream::pending()).boxed_local()
        }
    };
    let frames = frames.inspect(move |_| _ = &in_flight).boxed_local();
    Ok(Reply::Response { head: ResponseHead::default(), frames, timing: Box::new(platform_timing()) })
}

fn settings() -> Settings {
    let settings = serde_json::json!({"balancers": 1, "quantum": 4.0,
        "services": [{"aim": 2000.0, "deadline": 10000.0, "semantics": "free"},
            {"aim": 2500.0, "deadline": 12000.0, "semantics": "single_shot"},
            {"aim": 2000.0, "deadline": 10000.0, "semantics": "guarded", "group": "all", "window": 300.0}],
        "domain": {"stage-of-kind": ["read", "write"], "tokens-by-kind": [200000, 200000],
            "token-aim": [70.0, 80.0, 70.0], "aim-us-per-1000-prompt-tokens": [40000.0, 40000.0, 40000.0], "pin-limit": 500.0},
        "policy-limits": {"max-attempts": 5, "cancel": true, "probes": true, "retry-after": true,
            "max-retry-after": 500.0, "dial-timeout": 250.0},
        "rules": {"cold": 13000.0, "cold-from": 0.31, "fall": 3000.0, "fall-multiple": 4.0,
            "drain-grace": 2000.0, "grace-to-answer": 16.0}});
    glenrail_settings::parse_settings(&settings)
}

fn clock() -> Clock {
    Clock::new(Duration::from_secs(1_000_000))
}

fn entry(server: u64, kind: u32) -> ServerEntry {
    ServerEntry { server: ServerId(server), kind, weight: 1.0, ..ServerEntry::default() }
}

/// Creates a core with two prefill servers and two decode servers.
fn core(servers: &ScriptedServers) -> Core<impl Upstream> {
    let servers = servers.clone();
    let service = tower::service_fn(move |call| servers.clone().answer(call));
    let core = Core::new(7, settings(), clock(), service);
    let prefill = PREFILL_SERVERS.iter().map(|server| entry(*server, 0));
    let decode = DECODE_SERVERS.iter().map(|server| entry(*server, 1));
    core.update_servers(ListUpdate::Full, prefill.chain(decode).collect());
    core
}

/// Creates a core with one prefill server and one decode server that uses `policy`.
fn core_with_policy<R: DecisionPolicy>(servers: &ScriptedServers, policy: R) -> Core<impl Upstream, R> {
    let servers = servers.clone();
    let service = tower::service_fn(move |call| servers.clone().answer(call));
    let core = Core::with_policy(policy, settings(), clock(), service);
    let entries = vec![entry(PREFILL_SERVERS[0], 0), entry(DECODE_SERVERS[0], 1)];
    core.update_servers(ListUpdate::Full, entries);
    core
}

/// Creates a request whose client waits for `client_timeout` milliseconds. All requests have the same id.
fn request(class: u32, client_timeout: Millis) -> Request {
    let routing = glenrail_router::Request {
        class,
        session: 5,
        prompt_tokens: 1_000.0,
        max_tokens: 100.0,
        client_timeout,
        ..glenrail_router::Request::default()
    };
    let payload = Payload { request_id: "ffffffffffffffff".into(), ..Payload::default() };
    Request { routing, arrived: Instant::now(), payload: Rc::new(payload) }
}

/// Runs a test on paused time.
fn run_paused<F: std::future::Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test)
}

/// Returns all parts of a response; the last one is `None` if the response was aborted.
async fn response_parts(mut client: ClientSide) -> Vec<Option<ResponsePart>> {
    let mut parts = Vec::new();
    loop {
        parts.push(client.next_part().await);
        if !matches!(parts.last(), Some(Some(ResponsePart::Head(..) | ResponsePart::Chunk(_)))) {
            return parts;
        }
    }
}

async fn wait_until_idle(core: &Core<impl Upstream>) {
    while !core.is_idle() {
        sleep(Duration::from_millis(5)).await;
    }
}

async fn wait_for_call(servers: &ScriptedServers, kind: CallKind) {
    while servers.count(kind) == 0 {
        sleep(Duration::from_millis(1)).await;
    }
}

/// Script in which each prefill succeeds and each decode streams, both after 20 ms.
fn two_stages(_: usize, server: ServerId) -> (u64, ScriptedReply) {
    let is_prefill = PREFILL_SERVERS.contains(&server.0);
    (20, if is_prefill { ScriptedReply::Prefilled } else { ScriptedReply::Stream })
}
