//! Which rows of the transition tables have been walked. A property says nothing of a row that no world reaches.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};

use glenrail_request_lifecycle::request::{AttemptState, Input, Request};
use glenrail_request_lifecycle::{client, server};

/// A row: where the machine stood, and what came.
type Row = (u8, u8);

const WIDE: usize = 16;
static REQUEST: [AtomicU64; WIDE] = [const { AtomicU64::new(0) }; WIDE];
static CLIENT: [AtomicU64; WIDE] = [const { AtomicU64::new(0) }; WIDE];
static SERVER: [AtomicU64; WIDE] = [const { AtomicU64::new(0) }; WIDE];

fn mark(table: &[AtomicU64; WIDE], (state, input): Row) {
    let word = &table[usize::from(state)];
    let bit = 1 << input;
    // Read first: a row is new once, and a write would make the cores wait for each other.
    if word.load(Ordering::Relaxed) & bit == 0 {
        word.fetch_or(bit, Ordering::Relaxed);
    }
}

fn marked(table: &[AtomicU64; WIDE]) -> BTreeSet<Row> {
    let bits = |s: usize| (0..64u8).filter(move |b| table[s].load(Ordering::Relaxed) >> b & 1 == 1);
    (0..WIDE).flat_map(|s| bits(s).map(move |b| (s as u8, b))).collect()
}

const STEPS: [&str; 7] = ["waiting", "out", "called back", "begun", "ended", "open", "closed"];
const INPUTS: [&str; 14] = [
    "send",
    "cancel",
    "release",
    "answer",
    "hold",
    "client gone",
    "replied",
    "stream ended",
    "timed out",
    "dropped",
    "placed",
    "released",
    "timer",
    "arrived",
];

fn row(machine: &Request, input: &Input) -> Row {
    let at = |attempt: &usize| match machine.attempts().get(*attempt).map(|a| a.state) {
        Some(AttemptState::Queued) => 0,
        Some(AttemptState::InFlight) => 1,
        Some(AttemptState::Cancelling) => 2,
        Some(AttemptState::Streaming) => 3,
        _ => 4,
    };
    let whole = if machine.is_closed() { 6 } else { 5 };
    match input {
        Input::Send { .. } => (whole, 0),
        Input::Cancel { attempt } => (at(attempt), 1),
        Input::Release => (whole, 2),
        Input::Respond(_) => (whole, 3),
        Input::ReserveSlot { .. } => (whole, 4),
        Input::ClientDisconnected => (whole, 5),
        Input::Replied { attempt, .. } => (at(attempt), 6),
        Input::StreamEnded { attempt, .. } => (at(attempt), 7),
        Input::TimedOut { attempt } => (at(attempt), 8),
        Input::CancelCompleted { attempt } => (at(attempt), 9),
        Input::SlotAnswered { .. } => (whole, 10),
        Input::Released => (whole, 11),
        Input::TimerExpired(_) => (whole, 12),
        Input::Delivered { attempt } => (at(attempt), 13),
    }
}

/// The rows that the request's table has, and that nothing but the word of `docs/lifecycle.md` lists twice.
const REQUEST_ROWS: [Row; 25] = [
    (5, 0),
    (6, 0),
    (0, 1),
    (1, 1),
    (2, 1),
    (3, 1),
    (4, 1),
    (5, 2),
    (6, 2),
    (5, 3),
    (6, 3),
    (5, 4),
    (6, 4),
    (5, 5),
    (6, 5),
    (1, 6),
    (2, 6),
    (3, 7),
    (1, 8),
    (2, 9),
    (5, 10),
    (6, 11),
    (5, 11),
    (5, 12),
    (1, 13),
];

pub fn request(machine: &Request, input: &Input) {
    mark(&REQUEST, row(machine, input));
}

const CLIENT_STAGES: [client::Stage; 7] = {
    use client::Stage::*;
    [New, Head, Body, Response, Idle, Closing, HandedOver]
};

/// The inputs that are rows; the two flags are noted in every stage alike.
fn client_inputs() -> Vec<client::Input> {
    use client::Framing::*;
    use client::Input::*;
    vec![
        HeadStarted,
        HeadComplete(Complete),
        HeadComplete(KnownLength),
        HeadComplete(UnknownLength),
        MalformedHead,
        BodyComplete,
        ResponseFinished,
        StreamResumed,
        StreamDetached,
        HandOverRequested,
        TimedOut,
        Evicted,
    ]
}

pub fn client(stage: client::Stage, input: client::Input) {
    if let Some(input) = client_inputs().iter().position(|i| *i == input) {
        mark(&CLIENT, (stage as u8, input as u8));
    }
}

const SERVER_STAGES: [server::Stage; 8] = {
    use server::Stage::*;
    [Connecting, Idle, Writing, AwaitingHead, Streaming, Stale, Closing, HandedOver]
};

fn server_inputs() -> Vec<server::Input> {
    use server::Input::*;
    vec![
        Connected,
        ConnectFailed,
        Send { serving: true },
        Send { serving: false },
        BytesWritten,
        LastByteWritten,
        HeadReceived,
        ResponseComplete,
        ReadPaused,
        Broken,
        Abandoned,
        Drained,
    ]
}

pub fn server(stage: server::Stage, input: server::Input) {
    if let Some(input) = server_inputs().iter().position(|i| *i == input) {
        mark(&SERVER, (stage as u8, input as u8));
    }
}

/// Rows walked, rows that there are, and those that no world has reached.
pub struct Coverage {
    pub machine: &'static str,
    pub walked: usize,
    pub rows: usize,
    pub missing: Vec<String>,
}

/// The rows that a table has: where a machine that stands there takes the input.
fn rows<S: Copy, I>(
    stages: &[S], inputs: impl Fn() -> Vec<I>, takes: impl Fn(S, I) -> bool,
) -> BTreeSet<Row> {
    let of = |(s, stage): (usize, &S)| {
        let stage = *stage;
        let takes = &takes;
        let inputs = inputs().into_iter().enumerate();
        inputs
            .filter_map(move |(n, input)| takes(stage, input).then_some((s as u8, n as u8)))
            .collect::<Vec<_>>()
    };
    stages.iter().enumerate().flat_map(of).collect()
}

fn of_client() -> Coverage {
    let rows =
        rows(&CLIENT_STAGES, client_inputs, |stage, input| client::Connection::at(stage).step(input).is_ok());
    let name = |(s, i): &Row| {
        format!("{:?} with {:?}", CLIENT_STAGES[usize::from(*s)], client_inputs()[usize::from(*i)])
    };
    compare("client connection", &rows, &marked(&CLIENT), name)
}

fn of_server() -> Coverage {
    let rows =
        rows(&SERVER_STAGES, server_inputs, |stage, input| server::Connection::at(stage).step(input).is_ok());
    let name = |(s, i): &Row| {
        format!("{:?} with {:?}", SERVER_STAGES[usize::from(*s)], server_inputs()[usize::from(*i)])
    };
    compare("server connection", &rows, &marked(&SERVER), name)
}

fn compare(
    machine: &'static str, rows: &BTreeSet<Row>, walked: &BTreeSet<Row>, name: impl Fn(&Row) -> String,
) -> Coverage {
    let missing = rows.difference(walked).map(name).collect();
    Coverage { machine, walked: rows.intersection(walked).count(), rows: rows.len(), missing }
}

/// What all worlds explored so far have walked.
pub fn all() -> [Coverage; 3] {
    let rows = REQUEST_ROWS.into_iter().collect();
    let name = |(s, i): &Row| format!("{} with {}", STEPS[usize::from(*s)], INPUTS[usize::from(*i)]);
    [compare("request", &rows, &marked(&REQUEST), name), of_client(), of_server()]
}
