//! Every kept trace of a request, played against the real core on paused time: the router's orders are the trace's,
//! and scripted stand-ins answer when it says. What goes out and what the router is told must be the machine's words.

use std::path::{Path, PathBuf};

use futures_util::stream;
use glenrail_request_lifecycle::request::{Reply as Said, StreamEnd, Timer};
use serde::Deserialize;
use tokio::task::yield_now;

use super::super::effects;
use super::*;

/// A router that orders nothing by itself and notes what it is told.
#[derive(Clone, Default)]
struct Puppet(Rc<RefCell<Vec<Event>>>);

impl DecisionPolicy for Puppet {
    fn handle(&mut self, _: Millis, event: Event, _: &mut Vec<Action>) {
        self.0.borrow_mut().push(event);
    }
}

/// Stand-ins that answer when they are told to.
#[derive(Clone, Default)]
struct Servers(Rc<RefCell<Asked>>);

#[derive(Default)]
struct Asked {
    /// What came, in order.
    calls: Vec<&'static str>,
    attempts: Vec<oneshot::Sender<Result<Reply, CallError>>>,
    release: Option<oneshot::Sender<()>>,
    place: Option<oneshot::Sender<Option<bool>>>,
    /// Servers give signs.
    signs: bool,
    out: usize,
    most_out: usize,
}

struct Out(Servers);

impl Drop for Out {
    fn drop(&mut self) {
        self.0 .0.borrow_mut().out -= 1;
    }
}

impl Servers {
    async fn answer(self, call: Call) -> Result<Reply, CallError> {
        match call {
            Call::Attempt { cancel_token: wanted, .. } => {
                wanted.set_written(true);
                let (tell, told) = oneshot::channel();
                {
                    let mut asked = self.0.borrow_mut();
                    asked.calls.push("attempt");
                    asked.attempts.push(tell);
                    asked.out += 1;
                    asked.most_out = asked.most_out.max(asked.out);
                }
                let out = Out(self.clone());
                let reply = told.await.unwrap_or(Err(CallError::Reset))?;
                Ok(match reply {
                    Reply::Response { head, frames } => {
                        let frames = frames.inspect(move |_| _ = &out).boxed_local();
                        Reply::Response { head, frames }
                    }
                    reply => reply,
                })
            }
            Call::Release { .. } => {
                let (tell, told) = oneshot::channel();
                self.0.borrow_mut().calls.push("release");
                self.0.borrow_mut().release = Some(tell);
                told.await.map(|()| Reply::Done).map_err(|_| CallError::ConnectFailed)
            }
            Call::ReserveSlot { .. } => {
                let (tell, told) = oneshot::channel();
                self.0.borrow_mut().calls.push("place");
                self.0.borrow_mut().place = Some(tell);
                told.await.map(Reply::SlotReserved).map_err(|_| CallError::Reset)
            }
            Call::VerifyReachable { .. } if self.0.borrow().signs => Ok(Reply::Done),
            Call::VerifyReachable { .. } => Err(CallError::ConnectFailed),
            _ => Ok(Reply::Done),
        }
    }
}

#[derive(Deserialize)]
struct Head {
    world: String,
    #[serde(default)]
    readers: u64,
    #[serde(default)]
    writers: u64,
    repeat: Option<RetrySafety>,
    #[serde(default)]
    cancel: bool,
}

#[derive(Deserialize)]
struct Line {
    #[serde(default)]
    fed: Vec<(Input, Vec<Effect>)>,
}

const PATIENCE: Millis = 10_000.0;
/// The time of an attempt that is to run out of it, before what is held runs out of its own.
const SHORT: Millis = 300.0;

async fn settle() {
    for _ in 0..50 {
        yield_now().await;
    }
}

impl<U: Upstream> PlayOn<U> {
    async fn feed(&mut self, input: Input) {
        let id = RequestId(1);
        match input {
            Input::Send { server, permitted: may, .. } => {
                if !may {
                    let gone = ServerEntry { state: ServerState::Draining, ..self.member(server) };
                    self.core.update_servers(ListUpdate::Delta, vec![gone]);
                }
                let timeout = if self.short.contains(&self.sends) { SHORT } else { 0.0 };
                self.sends += 1;
                self.core.execute(Action::Send { id, server: ServerId(server), timeout });
                self.core.process_events();
            }
            Input::Cancel { attempt } => self.order(Action::Cancel { id, attempt: attempt as u32 }),
            Input::Release => self.order(Action::Release { id }),
            Input::Respond(FinalResponse::Rejected) => {
                self.order(Action::Reject { id, retry_after: 5.0, reason: RejectReason::NoServerAvailable })
            }
            Input::Respond(_) => self.order(Action::Fail { id, reason: RejectReason::NoServerAvailable }),
            Input::ReserveSlot { server } => self.order(Action::ReserveSlot { id, server: ServerId(server) }),
            Input::ClientDisconnected => drop(self.client.take()),
            Input::Delivered { .. } => {
                self.servers.0.borrow_mut().signs = true;
                sleep(duration(500.0 * DELIVERY_CHECK_SHARE)).await;
                self.servers.0.borrow_mut().signs = false;
            }
            Input::Replied { attempt, reply } => self.reply(attempt, reply),
            Input::StreamEnded { attempt, end } => {
                let frame = match end {
                    StreamEnd::Complete => Some(Ok(Frame::End { cached_tokens: 0.0, report: None })),
                    StreamEnd::HandedOver => Some(Ok(Frame::HandedOver(rest_of_a_stream()))),
                    StreamEnd::Reset => Some(Err(CallError::Reset)),
                    StreamEnd::MalformedResponse => Some(Err(CallError::MalformedResponse)),
                    StreamEnd::IdleTimeout => None,
                    StreamEnd::ClientStalled => {
                        drop(self.client.take());
                        None
                    }
                };
                match frame {
                    Some(frame) => _ = self.streams[&attempt].send(frame),
                    None => sleep(Duration::from_secs(5)).await,
                }
            }
            Input::TimedOut { .. } => sleep(duration(SHORT + 5.0)).await,
            Input::CancelCompleted { .. } => {}
            Input::SlotAnswered { reserved: held } => {
                let place = self.servers.0.borrow_mut().place.take();
                _ = place.map(|place| place.send(held));
            }
            Input::Released => {
                sleep(CANCEL_PROPAGATION_DELAY + Duration::from_millis(2)).await;
                let release = self.servers.0.borrow_mut().release.take();
                release.expect("a release is under way").send(()).expect("and waited for");
            }
            Input::TimerExpired(Timer::LeaseLimit) => sleep(Duration::from_millis(470)).await,
            Input::TimerExpired(Timer::Deadline) => {
                tokio::time::sleep_until(self.began + duration(PATIENCE) + DEADLINE_GUARD * 2).await;
            }
        }
        settle().await;
    }

    fn order(&self, action: Action) {
        self.core.execute(action);
        self.core.process_events();
    }

    fn member(&self, server: u64) -> ServerEntry {
        let kind = u32::from(server >= self.readers);
        ServerEntry { server: ServerId(server), kind, weight: 1.0, ..ServerEntry::default() }
    }

    fn reply(&mut self, attempt: usize, reply: Said) {
        let said = match reply {
            Said::Prefilled => Ok(Reply::Prefilled { cached_tokens: 0.0, report: None }),
            Said::FirstEvent => {
                let (tell, mut told) = mpsc::unbounded_channel();
                self.streams.insert(attempt, tell);
                let first = stream::iter([Ok(Frame::Data("data: x\n\n".into()))]);
                let frames = first.chain(stream::poll_fn(move |cx| told.poll_recv(cx))).boxed_local();
                Ok(Reply::Response { head: exchange::ResponseHead::default(), frames })
            }
            Said::Rejected => Ok(Reply::Rejected { state_missing: false, report: None }),
            Said::Unprocessable => Ok(Reply::Unprocessable { report: None }),
            Said::Error => Ok(Reply::Error { report: None }),
            Said::ConnectFailed => Err(CallError::ConnectFailed),
            Said::Reset => Err(CallError::Reset),
            Said::MalformedResponse => Err(CallError::MalformedResponse),
            Said::NotSent => Err(CallError::NotSent),
        };
        // An attempt that was kept back never called.
        let call = self.started.iter().position(|a| *a == attempt).expect("it was sent");
        let tell = std::mem::replace(&mut self.servers.0.borrow_mut().attempts[call], oneshot::channel().0);
        // One that was called back just before is not waited for any more.
        let _ = tell.send(said);
    }
}

struct PlayOn<U> {
    core: Core<U, Puppet>,
    servers: Servers,
    client: Option<ClientSide>,
    streams: HashMap<usize, mpsc::UnboundedSender<Result<Frame, CallError>>>,
    /// Attempts that are to run out of time.
    short: Vec<usize>,
    /// Attempts that were sent, in order.
    started: Vec<usize>,
    sends: usize,
    readers: u64,
    began: Instant,
}

fn rest_of_a_stream() -> exchange::StreamRemainder {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let socket =
        std::net::TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
    exchange::StreamRemainder { socket, read_ahead: Vec::new() }
}

async fn play(path: &Path) -> bool {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).expect("a trace");
    let mut lines = text.lines();
    let head: Head = serde_json::from_str(lines.next().expect("a head")).expect("a head");
    if head.world != "request" {
        return false;
    }
    let fed: Vec<(Input, Vec<Effect>)> =
        lines.flat_map(|line| serde_json::from_str::<Line>(line).expect("a line").fed).collect();
    let (told, servers) = (Puppet::default(), Servers::default());
    let service = tower::service_fn({
        let servers = servers.clone();
        move |call| servers.clone().answer(call)
    });
    let mut settings = settings();
    settings.limits.cancellation = head.cancel;
    let core = Core::with_policy(told.clone(), settings, Clock::new(Duration::from_secs(1_000_000)), service);
    let class = u32::from(head.repeat == Some(RetrySafety::AtMostOnce));
    let began = Instant::now();
    let mut play = PlayOn {
        core: core.clone(),
        servers: servers.clone(),
        client: None,
        streams: HashMap::new(),
        short: fed
            .iter()
            .filter_map(|f| if let Input::TimedOut { attempt } = f.0 { Some(attempt) } else { None })
            .collect(),
        started: Vec::new(),
        sends: 0,
        readers: head.readers,
        began,
    };
    core.update_servers(ListUpdate::Full, (0..head.readers + head.writers).map(|s| play.member(s)).collect());
    let ask =
        glenrail_router::Request { class, client_timeout: PATIENCE, ..glenrail_router::Request::default() };
    let payload = Payload { request_id: "ffffffffffffffff".into(), ..Payload::default() };
    play.client =
        Some(core.submit(exchange::Request { routing: ask, arrived: began, payload: Rc::new(payload) }));
    settle().await;
    for (input, effects) in &fed {
        let starts = effects.iter().filter_map(|e| {
            if let Effect::StartAttempt { attempt } = e {
                Some(*attempt)
            } else {
                None
            }
        });
        play.started.extend(starts);
        play.feed(*input).await;
    }
    // A release that waits for a cut to be seen goes out a little later.
    sleep(CANCEL_PROPAGATION_DELAY * 2).await;
    settle().await;
    let effects: Vec<Effect> = fed.iter().flat_map(|f| f.1.iter().copied()).collect();
    let wanted: Vec<&str> = effects
        .iter()
        .filter_map(|e| match e {
            Effect::StartAttempt { .. } => Some("attempt"),
            Effect::Release { .. } => Some("release"),
            Effect::RequestSlot { .. } => Some("place"),
            _ => None,
        })
        .collect();
    assert_eq!(servers.0.borrow().calls, wanted, "{name}: what went out");
    let outcomes: Vec<(u32, AttemptStatus, bool)> = effects
        .iter()
        .filter_map(|e| match e {
            Effect::NotifyOutcome { attempt, status, closed } => {
                Some((*attempt as u32, effects::router_status(*status), *closed))
            }
            _ => None,
        })
        .collect();
    let heard: Vec<(u32, AttemptStatus, bool)> = told
        .0
        .borrow()
        .iter()
        .filter_map(|e| match e {
            Event::Outcome(o) => Some((o.attempt, o.status, o.closed)),
            _ => None,
        })
        .collect();
    assert_eq!(heard, outcomes, "{name}: what the router was told");
    assert!(servers.0.borrow().most_out <= 1, "{name}: two attempts at once");
    assert_eq!(core.is_idle(), effects.contains(&Effect::Finished), "{name}: what is left");
    if let Some(mut client) = play.client.take() {
        let said =
            effects.iter().find_map(|e| if let Effect::Respond(last) = e { Some(*last) } else { None });
        let first = client.next_part().await;
        let same = match said {
            Some(FinalResponse::Rejected) => matches!(first, Some(ResponsePart::Rejected(_))),
            Some(_) => matches!(first, Some(ResponsePart::Failed(_))),
            None => matches!(first, Some(ResponsePart::Head(..))),
        };
        assert!(same, "{name}: {said:?} and yet {first:?}");
    }
    true
}

/// Guards the driver: what the explorer found right in the machines must be right in what runs.
#[test]
fn kept_traces_are_the_same_in_the_real_core() {
    let folder: PathBuf = Path::new(env!("CARGO_MANIFEST_DIR")).join("../model-checker/traces");
    let mut played = 0;
    for file in std::fs::read_dir(folder).expect("the traces") {
        let path = file.expect("a file").path();
        played += u32::from(paused(async { play(&path).await }));
    }
    assert!(played >= 12, "{played} traces");
}
