//! The core on paused time, with a scripted service in the place of the servers.

mod leases;
mod records;
mod replay;
mod stored;

use std::cell::Cell;

use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use glenrail_request_lifecycle::request::{Effect, Stage};
use glenrail_router::{AttemptOutcome, AttemptStatus, RejectReason};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout, Instant};

use super::timing::{CANCEL_PROPAGATION_DELAY, DEADLINE_GUARD, DELIVERY_CHECK_SHARE};
use super::*;
use crate::exchange::{Failure, Payload, Request, ResponseHead, ResponsePart};
use crate::upstream::Frame;

const READERS: [u64; 2] = [11, 12];
const WRITERS: [u64; 2] = [21, 22];

/// What a scripted server does with an attempt, after so long.
#[derive(Clone, Debug)]
enum Does {
    Read,
    Stream,
    /// Begins a stream and breaks it.
    Cut,
    /// Begins a stream whose events come so far apart, in seconds, for ever; or just stops.
    Pause(Vec<u64>),
    Full,
    Error,
    Unfit,
    Fail(CallError),
    Nothing,
    /// No connection comes up.
    Dial,
}

/// Scripted servers: what was called, in order, and how many attempts are out.
#[derive(Clone)]
struct Servers {
    script: Rc<dyn Fn(usize, ServerId) -> (u64, Does)>,
    calls: Rc<RefCell<Vec<(&'static str, u64)>>>,
    waits: Rc<RefCell<Vec<Duration>>>,
    connects: Rc<RefCell<Vec<Option<Duration>>>>,
    out: Rc<Cell<usize>>,
    most_out: Rc<Cell<usize>>,
    /// So many releases more come to nothing.
    lose_releases: Rc<Cell<usize>>,
}

struct Out(Rc<Cell<usize>>);

impl Drop for Out {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Servers {
    fn new(script: impl Fn(usize, ServerId) -> (u64, Does) + 'static) -> Self {
        Servers {
            script: Rc::new(script),
            calls: Rc::default(),
            waits: Rc::default(),
            connects: Rc::default(),
            out: Rc::default(),
            most_out: Rc::default(),
            lose_releases: Rc::default(),
        }
    }

    fn attempts(&self, at: &[u64]) -> usize {
        self.calls.borrow().iter().filter(|c| c.0 == "attempt" && at.contains(&c.1)).count()
    }

    async fn answer(self, call: Call) -> Result<Reply, CallError> {
        match call {
            Call::Attempt {
                server, deadline: until, connect_timeout: connect, cancel_token: wanted, ..
            } => {
                let n = self.attempts(&[11, 12, 21, 22]);
                self.calls.borrow_mut().push(("attempt", server.0));
                self.waits.borrow_mut().push(until.saturating_duration_since(Instant::now()));
                self.connects.borrow_mut().push(connect);
                self.out.set(self.out.get() + 1);
                self.most_out.set(self.most_out.get().max(self.out.get()));
                let out = Out(self.out.clone());
                let (ms, does) = (self.script)(n, server);
                let never_out =
                    matches!(does, Does::Dial | Does::Fail(CallError::ConnectFailed | CallError::NotSent));
                wanted.set_written(!never_out);
                sleep(Duration::from_millis(ms)).await;
                reply(does, out).await
            }
            Call::Release { .. } => {
                self.calls.borrow_mut().push(("release", 0));
                sleep(Duration::from_millis(40)).await;
                if let Some(left) = self.lose_releases.get().checked_sub(1) {
                    self.lose_releases.set(left);
                    return Err(CallError::ConnectFailed);
                }
                self.calls.borrow_mut().push(("released", 0));
                Ok(Reply::Done)
            }
            Call::Probe { .. } => Ok(Reply::Probed { healthy: true, report: None }),
            _ => Ok(Reply::Done),
        }
    }
}

async fn reply(does: Does, out: Out) -> Result<Reply, CallError> {
    let data = || Ok(Frame::Data(Bytes::from_static(b"data: x\n\n")));
    let end = || Ok(Frame::End { cached_tokens: 0.0, report: None });
    let frames = match does {
        Does::Read => return Ok(Reply::Prefilled { cached_tokens: 0.0, report: None }),
        Does::Full => return Ok(Reply::Rejected { state_missing: false, report: None }),
        Does::Error => return Ok(Reply::Error { report: None }),
        Does::Unfit => return Ok(Reply::Unprocessable { report: None }),
        Does::Fail(how) => return Err(how),
        Does::Nothing | Does::Dial => return std::future::pending().await,
        Does::Stream => vec![data(), data(), end()],
        Does::Cut => vec![data(), Err(CallError::Reset)],
        Does::Pause(pauses) => {
            let more = pauses.into_iter().map(move |s| (s, data()));
            let more = stream::iter(more).then(|(s, frame)| async move {
                sleep(Duration::from_secs(s)).await;
                frame
            });
            let frames = stream::iter([data()]).chain(more).chain(stream::pending());
            let frames = frames.inspect(move |_| _ = &out).boxed_local();
            return Ok(Reply::Response { head: ResponseHead::default(), frames });
        }
    };
    let frames = stream::iter(frames).inspect(move |_| _ = &out).boxed_local();
    Ok(Reply::Response { head: ResponseHead::default(), frames })
}

pub(super) fn settings() -> Settings {
    let v = serde_json::json!({"balancers": 1, "quantum": 4.0,
        "services": [{"aim": 2000.0, "deadline": 10000.0, "semantics": "free"},
            {"aim": 2500.0, "deadline": 12000.0, "semantics": "single_shot"},
            {"aim": 2000.0, "deadline": 10000.0, "semantics": "guarded", "group": "all", "window": 300.0}],
        "domain": {"stage-of-kind": ["read", "write"], "tokens-by-kind": [200000, 200000],
            "token-aim": [70.0, 80.0, 70.0], "aim-us-per-1000-prompt-tokens": [40000.0, 40000.0, 40000.0], "pin-limit": 500.0},
        "policy-limits": {"max-attempts": 5, "cancel": true, "probes": true, "retry-after": true,
            "max-retry-after": 500.0, "dial-timeout": 250.0},
        "rules": {"cold": 13000.0, "cold-from": 0.31, "fall": 3000.0, "fall-multiple": 4.0,
            "drain-grace": 2000.0, "grace-to-answer": 16.0}});
    glenrail_settings::settings(&v)
}

fn core(servers: &Servers) -> Core<impl Upstream> {
    let servers = servers.clone();
    let service = tower::service_fn(move |call| servers.clone().answer(call));
    let core = Core::new(7, settings(), Clock::new(Duration::from_secs(1_000_000)), service);
    let member =
        |id: &u64, kind| ServerEntry { server: ServerId(*id), kind, weight: 1.0, ..ServerEntry::default() };
    let readers = READERS.iter().map(|id| member(id, 0));
    core.update_servers(ListUpdate::Full, readers.chain(WRITERS.iter().map(|id| member(id, 1))).collect());
    core
}

fn request(class: u32, patience: Millis) -> Request {
    let ask = glenrail_router::Request {
        class,
        session: 5,
        prompt_tokens: 1_000.0,
        max_tokens: 100.0,
        client_timeout: patience,
        ..glenrail_router::Request::default()
    };
    let payload = Payload { request_id: "ffffffffffffffff".into(), ..Payload::default() };
    Request { routing: ask, arrived: Instant::now(), payload: Rc::new(payload) }
}

pub(super) fn paused<F: std::future::Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test)
}

/// All pieces of an answer; `None` closes the list where it broke off.
async fn all(mut client: ClientSide) -> Vec<Option<ResponsePart>> {
    let mut pieces = Vec::new();
    loop {
        pieces.push(client.next_part().await);
        if !matches!(pieces.last(), Some(Some(ResponsePart::Head(..) | ResponsePart::Chunk(_)))) {
            return pieces;
        }
    }
}

async fn settled(core: &Core<impl Upstream>) {
    while !core.is_idle() {
        sleep(Duration::from_millis(5)).await;
    }
}

fn two_stages(_: usize, server: ServerId) -> (u64, Does) {
    (20, if READERS.contains(&server.0) { Does::Read } else { Does::Stream })
}

/// Guards the module's ids: a name of 64 bits outside must not reach it, which shifts ids.
#[test]
fn a_request_is_read_then_written_and_served() {
    paused(async {
        let servers = Servers::new(two_stages);
        let core = core(&servers);
        for _ in 0..3 {
            let pieces = all(core.submit(request(1, 12_000.0))).await;
            assert!(matches!(pieces[0], Some(ResponsePart::Head(..))));
            assert_eq!(pieces.last(), Some(&Some(ResponsePart::End)));
        }
        settled(&core).await;
        assert_eq!((servers.attempts(&READERS), servers.attempts(&WRITERS)), (3, 3));
    });
}

/// Guards rule 5: while no connection to a writer comes up, the time of the state that waits for one runs on. Two
/// writers, 250 ms each, would leave no time to let go of it; it is read anew instead.
#[test]
fn a_state_that_finds_no_writer_to_connect_to_is_let_go_in_time() {
    paused(async {
        let script = |n: usize, server: ServerId| match READERS.contains(&server.0) {
            true => (20, Does::Read),
            // As an engine does that is given less time than it usually has to connect.
            false if n < 3 => (if n == 1 { 250 } else { 150 }, Does::Fail(CallError::ConnectFailed)),
            false => (20, Does::Stream),
        };
        let servers = Servers::new(script);
        let core = core(&servers);
        let begun = Instant::now();
        let pieces = all(core.submit(request(1, 12_000.0))).await;
        assert_eq!(pieces.last(), Some(&Some(ResponsePart::End)));
        let calls: Vec<&str> = servers.calls.borrow().iter().map(|c| c.0).collect();
        let whole = ["attempt", "attempt", "attempt", "release", "released", "attempt", "attempt"];
        assert_eq!(calls, whole);
        // Writers that could not be reached are left alone for 100 ms.
        let connects: Vec<_> = servers.connects.borrow().iter().map(|c| c.map(|c| c.as_millis())).collect();
        assert_eq!(connects, [None, Some(400), Some(150), None, Some(300)]);
        assert!(begun.elapsed() < Duration::from_millis(900), "{:?}", begun.elapsed());
    });
}

/// Guards rule 1 and the attempt's time: whatever the module asks for, it ends with the client's deadline.
#[test]
fn a_silent_server_ends_in_one_failure_at_the_deadline() {
    paused(async {
        let servers = Servers::new(|_, _| (0, Does::Nothing));
        let (core, start) = (core(&servers), Instant::now());
        let pieces = all(core.submit(request(1, 900.0))).await;
        assert_eq!(pieces, [Some(ResponsePart::Failed(Failure::DeadlineExceeded))]);
        let took = start.elapsed();
        assert!(took <= Duration::from_millis(916) && took >= Duration::from_millis(880), "{took:?}");
        assert!(servers.waits.borrow().iter().all(|w| *w <= Duration::from_millis(900)));
        settled(&core).await;
        assert_eq!(servers.out.get(), 0);
    });
}

/// Guards rule 2: an order that may have run is never sent again, nor called harmless to repeat.
#[test]
fn an_order_that_may_have_run_is_not_sent_again() {
    for how in
        [Does::Fail(CallError::Reset), Does::Fail(CallError::MalformedResponse), Does::Error, Does::Cut]
    {
        paused(async {
            let what = how.clone();
            let servers = Servers::new(move |_, server| {
                (5, if READERS.contains(&server.0) { Does::Read } else { what.clone() })
            });
            let core = core(&servers);
            let pieces = all(core.submit(request(1, 12_000.0))).await;
            assert!(
                matches!(pieces.last(), Some(None | Some(ResponsePart::Failed(_)))),
                "{how:?}: {pieces:?}"
            );
            settled(&core).await;
            assert_eq!(servers.attempts(&WRITERS), 1, "{how:?}");
        });
    }
}

/// Guards rule 5: what a cut read may have left is let go, and before the next send, whose state it would be.
#[test]
fn a_cut_read_is_let_go_before_the_next_send() {
    paused(async {
        let servers = Servers::new(|n, server| match n {
            0 => (5, Does::Fail(CallError::Reset)),
            _ => two_stages(n, server),
        });
        let core = core(&servers);
        assert_eq!(all(core.submit(request(0, 10_000.0))).await.last(), Some(&Some(ResponsePart::End)));
        settled(&core).await;
        let calls: Vec<&str> = servers.calls.borrow().iter().map(|c| c.0).collect();
        assert_eq!(calls[..4], ["attempt", "release", "released", "attempt"]);
    });
}

/// Guards rule 5 for a client that goes away while its prompt is read, and that the read is given up.
#[test]
fn a_client_that_goes_away_ends_its_read() {
    paused(async {
        let servers = Servers::new(|_, _| (60_000, Does::Read));
        let core = core(&servers);
        let client = core.submit(request(0, 10_000.0));
        sleep(Duration::from_millis(50)).await;
        assert_eq!(servers.out.get(), 1);
        drop(client);
        sleep(Duration::from_millis(200)).await;
        assert_eq!(servers.out.get(), 0);
        assert!(servers.calls.borrow().iter().any(|c| c.0 == "released"));
        assert!(core.is_idle());
    });
}

/// Guards streams: one whose events still come is never cut, however slow; a dead one is.
#[test]
fn a_live_stream_goes_on_and_a_silent_one_is_cut() {
    paused(async {
        let slow = vec![4; 6];
        let servers = Servers::new(move |_, server| {
            (5, if READERS.contains(&server.0) { Does::Read } else { Does::Pause(slow.clone()) })
        });
        let (core, start) = (core(&servers), Instant::now());
        let pieces = all(core.submit(request(0, 10_000.0))).await;
        assert_eq!((pieces.len(), pieces.last()), (8, Some(&None)));
        let silent = start.elapsed() - Duration::from_secs(6 * 4);
        assert!(silent >= Duration::from_secs(4) && silent < Duration::from_secs(5), "{silent:?}");
        settled(&core).await;
    });
}

/// Guards the caps that the core holds whatever the module does: attempts, copies, requests that have ended.
#[test]
fn a_send_beyond_the_caps_is_not_sent() {
    paused(async {
        let servers = Servers::new(|_, _| (50, Does::Nothing));
        let core = core(&servers);
        let _client = core.submit(request(0, 10_000.0));
        sleep(Duration::from_millis(10)).await;
        let copy = Action::Send { id: RequestId(1), server: ServerId(21), timeout: 100.0 };
        core.execute(copy.clone());
        core.execute(Action::Fail { id: RequestId(1), reason: RejectReason::DeadlineExceeded });
        core.execute(copy);
        sleep(Duration::from_millis(300)).await;
        assert_eq!((servers.attempts(&[11, 12, 21, 22]), servers.most_out.get()), (1, 1));
    });
}

/// Guards an open request from a copy, whose attempts and releases servers would take for the first one's; and
/// the name is free again once the first has wholly ended.
#[test]
fn a_name_is_taken_until_its_request_has_wholly_ended() {
    paused(async {
        let servers = Servers::new(|_, _| (60_000, Does::Read));
        let core = core(&servers);
        let first = core.submit(request(0, 10_000.0));
        sleep(Duration::from_millis(20)).await;
        assert_eq!(
            all(core.submit(request(0, 10_000.0))).await,
            [Some(ResponsePart::Failed(Failure::DuplicateRequestId))]
        );
        assert_eq!((servers.attempts(&READERS), servers.out.get()), (1, 1), "the first does not notice");
        drop(first);
        // Cut, and its release is on the way: still not ended.
        until_called(&servers, "release").await;
        assert_eq!(
            all(core.submit(request(0, 10_000.0))).await,
            [Some(ResponsePart::Failed(Failure::DuplicateRequestId))]
        );
        settled(&core).await;
        let _again = core.submit(request(0, 10_000.0));
        sleep(Duration::from_millis(20)).await;
        assert_eq!(servers.attempts(&READERS), 2);
        let releases = servers.calls.borrow().iter().filter(|c| c.0 == "release").count();
        assert_eq!(releases, 1, "a copy lets nothing go");
    });
}

async fn until_called(servers: &Servers, what: &str) {
    while !servers.calls.borrow().iter().any(|c| c.0 == what) {
        sleep(Duration::from_millis(1)).await;
    }
}

/// Guards another gateway's open request, whose copy came here: what a server calls unfit is failed at once, is
/// not tried elsewhere, and nothing held by that name is let go.
#[test]
fn what_a_server_calls_unfit_is_failed_and_lets_nothing_go() {
    paused(async {
        let servers = Servers::new(|_, _| (5, Does::Unfit));
        let core = core(&servers);
        assert_eq!(
            all(core.submit(request(0, 10_000.0))).await,
            [Some(ResponsePart::Failed(Failure::Unprocessable))]
        );
        settled(&core).await;
        assert_eq!(servers.calls.borrow().len(), 1);
    });
}

/// Guards servers from a needless call after each answer: the first event has let go of all that was held.
#[test]
fn an_answer_that_has_begun_needs_no_release() {
    paused(async {
        let servers = Servers::new(two_stages);
        let core = core(&servers);
        assert_eq!(all(core.submit(request(0, 10_000.0))).await.last(), Some(&Some(ResponsePart::End)));
        settled(&core).await;
        assert!(!servers.calls.borrow().iter().any(|c| c.0 == "release"));
    });
}

fn step() -> impl Strategy<Value = (u64, Does)> {
    let does = prop_oneof![
        4 => Just(Does::Read),
        4 => Just(Does::Stream),
        1 => Just(Does::Cut),
        1 => Just(Does::Full),
        1 => Just(Does::Error),
        1 => Just(Does::Fail(CallError::ConnectFailed)),
        1 => Just(Does::Unfit),
        1 => Just(Does::Fail(CallError::Reset)),
        1 => Just(Does::Fail(CallError::MalformedResponse)),
        1 => Just(Does::Fail(CallError::NotSent)),
        1 => Just(Does::Nothing),
    ];
    (0u64..400, does)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Whatever the servers do and whenever the client goes: one final answer in time, never two attempts at
    /// once, never too many, no order written again after it may have run, and nothing left under way.
    #[test]
    fn every_request_ends_once(steps in prop::collection::vec(step(), 8), class in 0u32..2,
        patience in 50.0..4_000.0, leaves in prop::option::of(0u64..2_000)) {
        paused(async {
            let script = steps.clone();
            let servers = Servers::new(move |n, server| {
                let (ms, does) = script[n % script.len()].clone();
                // A reader reads; only a writer answers.
                match (READERS.contains(&server.0), does) {
                    (true, Does::Stream | Does::Cut) => (ms, Does::Read),
                    (false, Does::Read) => (ms, Does::Stream),
                    (_, does) => (ms, does),
                }
            });
            let core = core(&servers);
            let client = core.submit(request(class, patience));
            let limit = Duration::from_secs_f64(patience / 1000.0 + 0.016);
            match leaves {
                Some(ms) => drop(timeout(Duration::from_millis(ms), all(client)).await),
                None => {
                    let start = Instant::now();
                    let pieces = all(client).await;
                    let begun = matches!(pieces[0], Some(ResponsePart::Head(..)));
                    assert!(begun || start.elapsed() <= limit, "{pieces:?} after {:?}", start.elapsed());
                    assert!(begun || pieces[0].is_some(), "broken off with nothing said");
                }
            }
            settled(&core).await;
            assert_eq!(servers.out.get(), 0);
            assert!(servers.most_out.get() <= 1);
            let attempts = servers.calls.borrow().iter().filter(|c| c.0 == "attempt").map(|c| c.1).collect::<Vec<_>>();
            assert!(attempts.len() <= 5);
            let ran = attempts.iter().enumerate().filter(|(n, at)| {
                let does = &steps[n % steps.len()].1;
                WRITERS.contains(at) && !matches!(does, Does::Full | Does::Unfit | Does::Fail(CallError::ConnectFailed | CallError::NotSent))
            });
            assert!(class == 0 || ran.count() <= 1, "an order ran twice: {attempts:?} {steps:?}");
        });
    }
}

/// Guards a gateway's second hour: the router's timers come due at their times however long the process has run. Where
/// they did not, they all came due at once and again, so the thread never rested: this test then never ends by itself.
#[test]
fn the_routers_timers_keep_their_times_after_days() {
    let (done, ended) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        paused(async {
            let servers = Servers::new(two_stages);
            let core = core(&servers);
            for age in [59, 61, 120, 72 * 60] {
                let began = Instant::now();
                tokio::time::advance(Duration::from_secs(60 * age)).await;
                assert!(
                    began.elapsed() < Duration::from_secs(60 * age + 1),
                    "only what was asked for passed"
                );
                let pieces = all(core.submit(request(1, 12_000.0))).await;
                assert_eq!(pieces.last(), Some(&Some(ResponsePart::End)), "after {age} minutes more");
            }
            settled(&core).await;
        });
        done.send(()).expect("the test waits");
    });
    ended.recv_timeout(Duration::from_secs(30)).expect("requests are served to their ends");
}
