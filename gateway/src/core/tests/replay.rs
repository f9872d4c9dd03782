//! Replays every recorded trace of a request against the real core on paused time. The router's actions and the servers'
//! replies follow the trace; the calls and the outcomes reported to the router must match the state machine's effects.

mod servers;
mod trace;

use std::path::{Path, PathBuf};

use futures_util::stream;
use glenrail_request_lifecycle::request::{Reply as MachineReply, StreamEnd, Timer};
use tokio::task::yield_now;
use tokio::time::sleep_until;

use self::servers::{ReplayServers, StartedCall};
use self::trace::{RecordedOutcome, Trace};
use super::*;

/// Client timeout of a replayed request.
const CLIENT_TIMEOUT: Millis = 10_000.0;
/// Timeout of an attempt that times out in the trace, shorter than the lease limit.
const SHORT_TIMEOUT: Millis = 300.0;
/// A time longer than the idle timeout of a stream.
const STREAM_IDLE_TIME: Duration = Duration::from_secs(5);
/// A time after which the lease timer has expired, counted from the previous step of the trace.
const LEASE_TIMER_WAIT: Duration = Duration::from_millis(470);

/// A policy that records its events and orders nothing.
#[derive(Clone, Default)]
struct RecordingPolicy(Rc<RefCell<Vec<Event>>>);

impl DecisionPolicy for RecordingPolicy {
    fn handle(&mut self, _: Millis, event: Event, _: &mut Vec<Action>) {
        self.0.borrow_mut().push(event);
    }
}

impl RecordingPolicy {
    fn outcomes(&self) -> Vec<RecordedOutcome> {
        let mut outcomes = Vec::new();
        for event in self.0.borrow().iter() {
            if let Event::Outcome(AttemptOutcome { attempt, status, closed, .. }) = event {
                let (attempt, status, closed) = (*attempt, *status, *closed);
                outcomes.push(RecordedOutcome { attempt, status, closed });
            }
        }
        outcomes
    }
}

/// State of the replay of one trace, with the core under test and its simulated servers.
struct Replay<U> {
    core: Core<U, RecordingPolicy>,
    policy: RecordingPolicy,
    servers: ReplayServers,
    client: Option<ClientSide>,
    streams: HashMap<usize, mpsc::UnboundedSender<Result<Frame, CallError>>>,
    /// Numbers of the attempts that time out in the trace.
    timed_out: Vec<usize>,
    /// Numbers of the attempts that the trace starts, in order.
    started: Vec<usize>,
    /// Number of attempts ordered so far.
    ordered: usize,
    prefill_servers: u64,
    began: Instant,
}

async fn run_ready_tasks() {
    for _ in 0..50 {
        yield_now().await;
    }
}

/// Creates a core with the servers of a trace and submits the trace's request.
fn start_replay(trace: &Trace) -> Replay<impl Upstream> {
    let (policy, servers) = (RecordingPolicy::default(), ReplayServers::default());
    let service = tower::service_fn({
        let servers = servers.clone();
        move |call| servers.clone().answer(call)
    });
    let mut settings = settings();
    settings.limits.cancellation = trace.head.cancel;
    let clock = Clock::new(Duration::from_secs(1_000_000));
    let core = Core::with_policy(policy.clone(), settings, clock, service);
    let mut replay = Replay {
        core,
        policy,
        servers,
        client: None,
        streams: HashMap::new(),
        timed_out: trace.timed_out(),
        started: Vec::new(),
        ordered: 0,
        prefill_servers: trace.head.readers,
        began: Instant::now(),
    };
    let servers = 0..trace.head.readers + trace.head.writers;
    let entries = servers.map(|server| replay.entry(server)).collect();
    replay.core.update_servers(ListUpdate::Full, entries);
    let class = u32::from(trace.head.repeat == Some(RetrySafety::AtMostOnce));
    let client_timeout = CLIENT_TIMEOUT;
    let routing = glenrail_router::Request { class, client_timeout, ..glenrail_router::Request::default() };
    let payload = Payload { request_id: "ffffffffffffffff".into(), ..Payload::default() };
    let request = Request { routing, arrived: replay.began, payload: Rc::new(payload) };
    replay.client = Some(replay.core.submit(request));
    replay
}

impl<U: Upstream> Replay<U> {
    /// Makes the router, the client, a server or the clock act so that the core feeds this input to its state
    /// machine.
    async fn feed(&mut self, input: Input) {
        let id = RequestId(1);
        match input {
            Input::Send { server, permitted, .. } => self.send(id, server, permitted),
            Input::Cancel { attempt } => self.execute(Action::Cancel { id, attempt: attempt as u32 }),
            Input::Release => self.execute(Action::Release { id }),
            Input::Respond(FinalResponse::Rejected) => {
                let reason = RejectReason::NoServerAvailable;
                self.execute(Action::Reject { id, retry_after: 5.0, reason });
            }
            Input::Respond(_) => {
                self.execute(Action::Fail { id, reason: RejectReason::NoServerAvailable });
            }
            Input::ReserveSlot { server } => {
                self.execute(Action::ReserveSlot { id, server: ServerId(server) });
            }
            Input::ClientDisconnected => drop(self.client.take()),
            Input::Delivered { .. } => self.confirm_delivery().await,
            Input::Replied { attempt, reply } => self.reply(attempt, reply),
            Input::StreamEnded { attempt, end } => self.end_stream(attempt, end).await,
            Input::CloseConfirmed { attempt } => self.confirm_close(attempt),
            Input::ReleaseSent => sleep(CANCEL_PROPAGATION_DELAY + Duration::from_millis(2)).await,
            Input::TimedOut { .. } => sleep(duration(SHORT_TIMEOUT + 5.0)).await,
            Input::CancelCompleted { .. } => {}
            Input::SlotAnswered { reserved } => {
                let slot_request = self.servers.0.borrow_mut().slot_request.take();
                _ = slot_request.map(|slot_request| slot_request.send(reserved));
            }
            Input::Released => self.accept_release().await,
            Input::TimerExpired(Timer::LeaseLimit) => sleep(LEASE_TIMER_WAIT).await,
            Input::TimerExpired(Timer::Deadline) => {
                sleep_until(self.began + duration(CLIENT_TIMEOUT) + DEADLINE_TIMER_SLACK * 2).await;
            }
        }
        run_ready_tasks().await;
    }

    fn execute(&self, action: Action) {
        self.core.execute(action);
        self.core.process_events();
    }

    /// Orders an attempt; for one that is not permitted, marks the server as draining first.
    fn send(&mut self, id: RequestId, server: u64, permitted: bool) {
        if !permitted {
            let draining = ServerEntry { state: ServerState::Draining, ..self.entry(server) };
            self.core.update_servers(ListUpdate::Delta, vec![draining]);
        }
        let timeout = if self.timed_out.contains(&self.ordered) { SHORT_TIMEOUT } else { 0.0 };
        self.ordered += 1;
        self.execute(Action::Send { id, server: ServerId(server), timeout });
    }

    fn entry(&self, server: u64) -> ServerEntry {
        let kind = u32::from(server >= self.prefill_servers);
        ServerEntry { server: ServerId(server), kind, weight: 1.0, ..ServerEntry::default() }
    }

    async fn confirm_delivery(&self) {
        self.servers.0.borrow_mut().is_reachable = true;
        sleep(duration(500.0 * DELIVERY_CHECK_SHARE)).await;
        self.servers.0.borrow_mut().is_reachable = false;
    }

    /// Lets the server of an interrupted attempt close its connection.
    fn confirm_close(&self, attempt: usize) {
        let call = self.started.iter().position(|started| *started == attempt).expect("it was sent");
        self.servers.0.borrow().tokens[call].record_observation(Observation::ServerClose);
    }

    async fn accept_release(&self) {
        let release = self.servers.0.borrow_mut().release.take();
        release.expect("a release is in flight").send(()).expect("the release is awaited");
    }

    fn reply(&mut self, attempt: usize, reply: MachineReply) {
        if reply == MachineReply::ResetAndEnded {
            self.confirm_close(attempt);
        }
        let reply = match reply {
            MachineReply::Prefilled => Ok(Reply::Prefilled { cached_tokens: 0.0, report: None }),
            MachineReply::FirstEvent => Ok(self.begin_stream(attempt)),
            MachineReply::Rejected => Ok(Reply::Rejected { state_missing: false, report: None }),
            MachineReply::Unprocessable => Ok(Reply::Unprocessable { report: None }),
            MachineReply::Error => Ok(Reply::Error { report: None }),
            MachineReply::ConnectFailed => Err(CallError::ConnectFailed),
            MachineReply::Reset | MachineReply::ResetAndEnded => Err(CallError::Reset),
            MachineReply::MalformedResponse => Err(CallError::MalformedResponse(Malformation::Event)),
            MachineReply::NotSent => Err(CallError::NotSent),
        };
        // Attempts that were not started made no call, so the number of the call may be lower than the
        // attempt's.
        let call = self.started.iter().position(|started| *started == attempt).expect("it was sent");
        let answered = oneshot::channel().0;
        let sender = std::mem::replace(&mut self.servers.0.borrow_mut().attempts[call], answered);
        // The receiver is dropped if the attempt was cancelled just before.
        let _ = sender.send(reply);
    }

    fn begin_stream(&mut self, attempt: usize) -> Reply {
        let (frames, mut sent) = mpsc::unbounded_channel();
        self.streams.insert(attempt, frames);
        let first = stream::iter([Ok(Frame::Data("data: x\n\n".into()))]);
        let frames = first.chain(stream::poll_fn(move |context| sent.poll_recv(context))).boxed_local();
        Reply::Response { head: ResponseHead::default(), frames, timing: Box::new(platform_timing()) }
    }

    async fn end_stream(&mut self, attempt: usize, end: StreamEnd) {
        let frame = match end {
            StreamEnd::Complete => Some(Ok(Frame::End { cached_tokens: 0.0, report: None })),
            StreamEnd::HandedOver => Some(Ok(Frame::HandedOver(stream_remainder()))),
            StreamEnd::Reset => Some(Err(CallError::Reset)),
            StreamEnd::MalformedResponse => Some(Err(CallError::MalformedResponse(Malformation::Event))),
            StreamEnd::IdleTimeout => None,
            StreamEnd::ClientStalled => {
                drop(self.client.take());
                None
            }
        };
        match frame {
            Some(frame) => _ = self.streams[&attempt].send(frame),
            None => sleep(STREAM_IDLE_TIME).await,
        }
    }

    /// Compares the calls, outcomes and response with the trace.
    async fn check(&mut self, trace: &Trace, name: &str) {
        assert_eq!(self.servers.0.borrow().started, trace.calls(), "{name}: calls");
        assert_eq!(self.policy.outcomes(), trace.outcomes(), "{name}: outcomes reported to the router");
        assert!(self.servers.0.borrow().max_in_flight <= 1, "{name}: concurrent attempts");
        let is_finished = trace.effects().any(|effect| effect == Effect::Finished);
        assert_eq!(self.core.is_idle(), is_finished, "{name}: whether the core is idle");
        let Some(mut client) = self.client.take() else { return };
        let response = trace.final_response();
        let first = client.next_part().await;
        let is_same = match response {
            Some(FinalResponse::Rejected) => matches!(first, Some(ResponsePart::Rejected(_))),
            Some(_) => matches!(first, Some(ResponsePart::Failed(_))),
            None => matches!(first, Some(ResponsePart::Head(..))),
        };
        assert!(is_same, "{name}: expected {response:?}, got {first:?}");
    }
}

fn stream_remainder() -> exchange::StreamRemainder {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let socket = std::net::TcpStream::connect(address).expect("a connection");
    exchange::StreamRemainder { socket, read_ahead: Vec::new(), last_event: None, id_hold: None }
}

/// Replays a trace; returns false if it is not a trace of a request.
async fn replay(path: &Path) -> bool {
    let Some(trace) = Trace::read(path) else { return false };
    let mut replay = start_replay(&trace);
    run_ready_tasks().await;
    for (input, effects) in &trace.steps {
        for effect in effects {
            if let Effect::StartAttempt { attempt } = effect {
                replay.started.push(*attempt);
            }
        }
        replay.feed(*input).await;
    }
    // A release that first waits for a close to be noticed starts a little later.
    sleep(CANCEL_PROPAGATION_DELAY * 2).await;
    run_ready_tasks().await;
    replay.check(&trace, &path.display().to_string()).await;
    true
}

/// Guards against differences between the core and the model checker: the core must behave as the recorded traces of the
/// verified state machines.
#[test]
fn recorded_traces_replay_the_same_in_the_real_core() {
    let folder: PathBuf = Path::new(env!("CARGO_MANIFEST_DIR")).join("../model-checker/traces");
    let mut replayed = 0;
    for file in std::fs::read_dir(folder).expect("the traces") {
        let path = file.expect("a file").path();
        replayed += u32::from(run_paused(async { replay(&path).await }));
    }
    assert!(replayed >= 12, "{replayed} traces");
}
