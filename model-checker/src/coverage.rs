//! Which rows of the transition tables have been walked. A property says nothing of a row that no world reaches.
//!
//! The marks are process-wide, since every world and thread adds to them.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};

use glenrail_request_lifecycle::request::{AttemptState, Input, Request};
use glenrail_request_lifecycle::{client, server};

/// A row of a transition table: the state that a machine was in, and the input, both by index.
type Row = (u8, u8);

/// Most states that a table can have.
const MAX_STATES: usize = 16;

/// The rows of one table that have been walked: a bit for each input of each state.
struct Marks([AtomicU64; MAX_STATES]);

static REQUEST: Marks = Marks::new();
static CLIENT: Marks = Marks::new();
static SERVER: Marks = Marks::new();

impl Marks {
    const fn new() -> Self {
        Marks([const { AtomicU64::new(0) }; MAX_STATES])
    }

    fn mark(&self, (state, input): Row) {
        let inputs = &self.0[usize::from(state)];
        let bit = 1 << input;
        // Read first: a row is new only once, and a write would make the cores wait for each other.
        if inputs.load(Ordering::Relaxed) & bit == 0 {
            inputs.fetch_or(bit, Ordering::Relaxed);
        }
    }

    fn rows(&self) -> BTreeSet<Row> {
        let mut rows = BTreeSet::new();
        for (state, inputs) in self.0.iter().enumerate() {
            let inputs = inputs.load(Ordering::Relaxed);
            let marked = (0..u64::BITS as u8).filter(|input| inputs >> input & 1 == 1);
            rows.extend(marked.map(|input| (state as u8, input)));
        }
        rows
    }
}

/// States of an attempt, then of a request as a whole, as printed.
const REQUEST_STATES: [&str; 7] = ["waiting", "out", "called back", "begun", "ended", "open", "closed"];
/// Inputs of a request, as printed.
const REQUEST_INPUTS: [&str; 16] = [
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
    "cut seen",
    "release out",
];

/// The row of an input: by the state of its attempt, or of the request where it concerns none.
fn request_row(machine: &Request, input: &Input) -> Row {
    let of_attempt = |attempt: &usize| match machine.attempts().get(*attempt).map(|attempt| attempt.state) {
        Some(AttemptState::Queued) => 0,
        Some(AttemptState::InFlight) => 1,
        Some(AttemptState::Cancelling) => 2,
        Some(AttemptState::Streaming) => 3,
        _ => 4,
    };
    let of_request = if machine.is_closed() { 6 } else { 5 };
    match input {
        Input::Send { .. } => (of_request, 0),
        Input::Cancel { attempt } => (of_attempt(attempt), 1),
        Input::Release => (of_request, 2),
        Input::Respond(_) => (of_request, 3),
        Input::ReserveSlot { .. } => (of_request, 4),
        Input::ClientDisconnected => (of_request, 5),
        Input::Replied { attempt, .. } => (of_attempt(attempt), 6),
        Input::StreamEnded { attempt, .. } => (of_attempt(attempt), 7),
        Input::TimedOut { attempt } => (of_attempt(attempt), 8),
        Input::CancelCompleted { attempt } => (of_attempt(attempt), 9),
        Input::SlotAnswered { .. } => (of_request, 10),
        Input::Released => (of_request, 11),
        Input::TimerExpired(_) => (of_request, 12),
        Input::Delivered { attempt } => (of_attempt(attempt), 13),
        Input::CloseConfirmed { attempt } => (of_attempt(attempt), 14),
        Input::ReleaseSent => (of_request, 15),
    }
}

/// The rows of the request's table. They cannot be listed by trying, so they repeat the table of `docs/lifecycle.md`.
const REQUEST_ROWS: [Row; 28] = [
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
    (4, 14),
    (5, 15),
    (6, 15),
];

/// Marks the row that the machine of a request is about to walk.
pub fn mark_request(machine: &Request, input: &Input) {
    REQUEST.mark(request_row(machine, input));
}

const CLIENT_STAGES: [client::Stage; 7] = [
    client::Stage::New,
    client::Stage::Head,
    client::Stage::Body,
    client::Stage::Response,
    client::Stage::Idle,
    client::Stage::Closing,
    client::Stage::HandedOver,
];

/// The inputs of a client's connection that are rows; the two flags are noted in every stage alike.
const CLIENT_INPUTS: [client::Input; 12] = [
    client::Input::HeadStarted,
    client::Input::HeadComplete(client::Framing::Complete),
    client::Input::HeadComplete(client::Framing::KnownLength),
    client::Input::HeadComplete(client::Framing::UnknownLength),
    client::Input::MalformedHead,
    client::Input::BodyComplete,
    client::Input::ResponseFinished,
    client::Input::StreamResumed,
    client::Input::StreamDetached,
    client::Input::HandOverRequested,
    client::Input::TimedOut,
    client::Input::Evicted,
];

/// Marks the row that the machine of a client's connection is about to walk.
pub fn mark_client(stage: client::Stage, input: client::Input) {
    if let Some(input) = CLIENT_INPUTS.iter().position(|listed| *listed == input) {
        CLIENT.mark((stage as u8, input as u8));
    }
}

const SERVER_STAGES: [server::Stage; 8] = [
    server::Stage::Connecting,
    server::Stage::Idle,
    server::Stage::Writing,
    server::Stage::AwaitingHead,
    server::Stage::Streaming,
    server::Stage::Stale,
    server::Stage::Closing,
    server::Stage::HandedOver,
];

/// The inputs of a connection to a server.
const SERVER_INPUTS: [server::Input; 12] = [
    server::Input::Connected,
    server::Input::ConnectFailed,
    server::Input::Send { serving: true },
    server::Input::Send { serving: false },
    server::Input::BytesWritten,
    server::Input::LastByteWritten,
    server::Input::HeadReceived,
    server::Input::ResponseComplete,
    server::Input::ReadPaused,
    server::Input::Broken,
    server::Input::Abandoned,
    server::Input::Drained,
];

/// Marks the row that the machine of a connection to a server is about to walk.
pub fn mark_server(stage: server::Stage, input: server::Input) {
    if let Some(input) = SERVER_INPUTS.iter().position(|listed| *listed == input) {
        SERVER.mark((stage as u8, input as u8));
    }
}

/// How much of one transition table has been walked.
pub struct Coverage {
    /// The machine that the table belongs to.
    pub machine: &'static str,
    /// Number of rows walked.
    pub walked: usize,
    /// Number of rows in the table.
    pub rows: usize,
    /// The rows that no world has reached, as printed.
    pub missing: Vec<String>,
}

impl Coverage {
    fn new(
        machine: &'static str, rows: &BTreeSet<Row>, marks: &Marks, name: impl Fn(usize, usize) -> String,
    ) -> Self {
        let walked = marks.rows();
        let missing = rows
            .difference(&walked)
            .map(|(state, input)| name(usize::from(*state), usize::from(*input)))
            .collect();
        Coverage { machine, walked: rows.intersection(&walked).count(), rows: rows.len(), missing }
    }
}

/// Lists the rows of a table by trying: a row is where a machine in that stage accepts the input.
fn accepted_rows<S: Copy, I: Copy>(
    stages: &[S], inputs: &[I], accepts: impl Fn(S, I) -> bool,
) -> BTreeSet<Row> {
    let mut rows = BTreeSet::new();
    for (state, stage) in stages.iter().enumerate() {
        for (input_index, input) in inputs.iter().enumerate() {
            if accepts(*stage, *input) {
                rows.insert((state as u8, input_index as u8));
            }
        }
    }
    rows
}

fn request_coverage() -> Coverage {
    let rows = REQUEST_ROWS.into_iter().collect();
    let name =
        |state: usize, input: usize| format!("{} with {}", REQUEST_STATES[state], REQUEST_INPUTS[input]);
    Coverage::new("request", &rows, &REQUEST, name)
}

fn client_coverage() -> Coverage {
    let accepts = |stage, input| client::Connection::at(stage).step(input).is_ok();
    let rows = accepted_rows(&CLIENT_STAGES, &CLIENT_INPUTS, accepts);
    let name =
        |state: usize, input: usize| format!("{:?} with {:?}", CLIENT_STAGES[state], CLIENT_INPUTS[input]);
    Coverage::new("client connection", &rows, &CLIENT, name)
}

fn server_coverage() -> Coverage {
    let accepts = |stage, input| server::Connection::at(stage).step(input).is_ok();
    let rows = accepted_rows(&SERVER_STAGES, &SERVER_INPUTS, accepts);
    let name =
        |state: usize, input: usize| format!("{:?} with {:?}", SERVER_STAGES[state], SERVER_INPUTS[input]);
    Coverage::new("server connection", &rows, &SERVER, name)
}

/// What all worlds explored so far in this process have walked.
pub fn walked_so_far() -> [Coverage; 3] {
    [request_coverage(), client_coverage(), server_coverage()]
}
