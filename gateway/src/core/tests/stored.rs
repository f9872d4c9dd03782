//! Recorded traces of a request's machine, and the log lines that the core makes of requests, against fixtures that an
//! earlier build wrote.

use glenrail_access_log::{RequestRecord, LINE_PREFIX};
use glenrail_request_lifecycle::request::{
    Reply as Said, Request as Machine, ResponseState, StreamEnd, Timer,
};
use glenrail_router::LoadReport;
use serde::{Deserialize, Serialize};

use super::super::request_record::{AttemptStart, RecordBuilder};
use super::*;

const TRACES: &str = include_str!("fixtures/machine-traces.jsonl");
const LINES: &str = include_str!("fixtures/request-lines.txt");

/// What a machine was fed and what it answered; `fed` is as the explorer's traces have it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Trace {
    terms: RequestPolicy,
    fed: Vec<(Input, Vec<Effect>)>,
}

const FREELY: RequestPolicy =
    RequestPolicy { retry_safety: RetrySafety::Idempotent, max_attempts: 5, cancellation: true };
const NEVER: RequestPolicy = RequestPolicy { retry_safety: RetrySafety::AtMostOnce, ..FREELY };
const KEEPS_CALLS: RequestPolicy = RequestPolicy { cancellation: false, ..FREELY };

fn reads() -> Input {
    Input::Send { server: READERS[0], stage: Stage::Prefill, permitted: true }
}
fn runs() -> Input {
    Input::Send { server: WRITERS[0], stage: Stage::Execute, permitted: true }
}
fn hold() -> Input {
    Input::ReserveSlot { server: WRITERS[1] }
}
fn replied(attempt: usize, reply: Said) -> Input {
    Input::Replied { attempt, reply }
}
fn stream_ended(end: StreamEnd) -> Input {
    Input::StreamEnded { attempt: 0, end }
}
const CANCEL: Input = Input::Cancel { attempt: 0 };
const DROPPED: Input = Input::CancelCompleted { attempt: 0 };
const FAILED: Input = Input::Respond(FinalResponse::Failed);

/// A read and a write, each arrived.
fn served() -> Vec<Input> {
    let end = Input::StreamEnded { attempt: 1, end: StreamEnd::Complete };
    let arrived = Input::Delivered { attempt: 0 };
    vec![reads(), arrived, replied(0, Said::Prefilled), runs(), replied(1, Said::FirstEvent), end]
}

/// A stream for each way in which one ends.
fn streams() -> impl Iterator<Item = Vec<Input>> {
    let ends = [
        StreamEnd::Complete,
        StreamEnd::HandedOver,
        StreamEnd::Reset,
        StreamEnd::MalformedResponse,
        StreamEnd::IdleTimeout,
        StreamEnd::ClientStalled,
    ];
    ends.into_iter().map(|end| vec![runs(), replied(0, Said::FirstEvent), stream_ended(end)])
}

/// A write for each reply that ends it before a stream begins and leaves the request open.
fn write_replies() -> impl Iterator<Item = Vec<Input>> {
    let replies = [
        Said::Rejected,
        Said::Error,
        Said::ConnectFailed,
        Said::Reset,
        Said::MalformedResponse,
        Said::NotSent,
    ];
    replies.into_iter().map(|reply| vec![runs(), replied(0, reply), FAILED])
}

/// A place asked for beside a read, for each answer of the writer, and one that is given up.
fn places() -> impl Iterator<Item = Vec<Input>> {
    let (read, refuse) = (replied(0, Said::Prefilled), Input::Respond(FinalResponse::Rejected));
    let answered = move |held| {
        vec![
            reads(),
            hold(),
            Input::SlotAnswered { reserved: held },
            read,
            Input::Release,
            Input::Released,
            refuse,
        ]
    };
    let given_up = vec![reads(), hold(), Input::ClientDisconnected, DROPPED, Input::Released];
    [Some(true), Some(false), None].into_iter().map(answered).chain([given_up])
}

/// Attempts and requests that run out of time, or are called back.
fn endings() -> Vec<Vec<Input>> {
    let undelivered = Input::CancelCompleted { attempt: 1 };
    let (pin, deadline) = (Input::TimerExpired(Timer::LeaseLimit), Input::TimerExpired(Timer::Deadline));
    vec![
        vec![runs(), replied(0, Said::Unprocessable)],
        vec![Input::Send { server: 11, stage: Stage::Prefill, permitted: false }, FAILED],
        vec![reads(), CANCEL, DROPPED, Input::Released, FAILED],
        vec![runs(), Input::TimedOut { attempt: 0 }, FAILED],
        vec![reads(), replied(0, Said::Prefilled), runs(), pin, undelivered, Input::Released, FAILED],
        vec![deadline],
    ]
}

fn script() -> Vec<(RequestPolicy, Vec<Input>)> {
    let all = [served()].into_iter().chain(streams()).chain(write_replies()).chain(places());
    let freely = all.chain(endings()).map(|inputs| (FREELY, inputs));
    let refuse = Input::Respond(FinalResponse::Rejected);
    let not_again = (NEVER, vec![runs(), replied(0, Said::Reset), runs(), refuse]);
    let left = (KEEPS_CALLS, vec![runs(), Input::ClientDisconnected, replied(0, Said::Error)]);
    freely.chain([not_again, left]).collect()
}

fn play(terms: RequestPolicy, inputs: &[Input]) -> (Machine, Trace) {
    let mut machine = Machine::new(terms, &mut Vec::new());
    let step = |input: &Input| {
        let mut effects = Vec::new();
        machine.step(*input, &mut effects).unwrap_or_else(|e| panic!("{input:?} of {inputs:?}: {e}"));
        (*input, effects)
    };
    let fed = inputs.iter().map(step).collect();
    (machine, Trace { terms, fed })
}

fn written(trace: &Trace) -> String {
    serde_json::to_string(trace).expect("a line")
}

/// Guards the words of kept traces: what the machine is fed and what it answers is written as it was, to the byte.
#[test]
fn the_same_inputs_leave_the_same_traces() {
    let traces: Vec<String> =
        script().iter().map(|(terms, inputs)| written(&play(*terms, inputs).1)).collect();
    assert_eq!(traces, TRACES.lines().collect::<Vec<_>>());
}

/// Guards traces that an earlier build has left: each is read, replayed to the same effects and written the same.
#[test]
fn a_stored_trace_replays_and_is_written_again_the_same() {
    for line in TRACES.lines() {
        let trace: Trace = serde_json::from_str(line).expect("a trace");
        let inputs: Vec<Input> = trace.fed.iter().map(|fed| fed.0).collect();
        let (machine, replayed) = play(trace.terms, &inputs);
        assert!(machine.is_finished(), "{line}");
        assert_eq!(replayed, trace);
        assert_eq!(written(&trace), line);
    }
}

/// Guards the two tests above against traces that leave out what can be fed or answered.
#[test]
fn the_stored_traces_hold_every_word() {
    let inputs =
        "Send Cancel Release Answer Hold ClientGone Arrived Replied StreamEnded TimedOut Dropped Placed \
        Released Due";
    let effects =
        "Start CallBack Release AskPlace DropPlace Answer PassOn TellFirst TellOutcome TellGone TellPlace \
        Arm Disarm Over";
    let replies = "Read Begins Declined Unfit Error Connect Reset Spoilt NotSent";
    let statuses = "Served Read Error Declined Timeout Connect Reset Spoilt Cancelled Undelivered NotSent";
    let others = "Whole Moved Silent Untaken Refused Failed Deadline Pin Run Freely Never";
    for word in [inputs, effects, replies, statuses, others].iter().flat_map(|words| words.split_whitespace())
    {
        assert!(TRACES.contains(&format!("\"{word}\"")), "{word}");
    }
    let releases = [r#"{"Release":{"after_cut":true}}"#, r#"{"Release":{"after_cut":false}}"#];
    assert!(releases.iter().all(|release| TRACES.contains(release)));
}

const STATUSES: [AttemptStatus; 11] = [
    AttemptStatus::Served,
    AttemptStatus::Prefilled,
    AttemptStatus::Error,
    AttemptStatus::Rejected,
    AttemptStatus::Timeout,
    AttemptStatus::ConnectFailed,
    AttemptStatus::Reset,
    AttemptStatus::MalformedResponse,
    AttemptStatus::Cancelled,
    AttemptStatus::Undelivered,
    AttemptStatus::NotSent,
];
const REASONS: [RejectReason; 7] = [
    RejectReason::UnknownClass,
    RejectReason::LoadShed,
    RejectReason::NoServerAvailable,
    RejectReason::AttemptsExhausted,
    RejectReason::RetryBudgetExhausted,
    RejectReason::MayHaveRun,
    RejectReason::DeadlineExceeded,
];

fn begun(class: u32) -> RecordBuilder {
    let ask = glenrail_router::Request {
        id: RequestId(1),
        class,
        tenant: 2,
        session: 1_001,
        prefix: Some(7),
        prompt_tokens: 2_000.0,
        prefix_tokens: 1_500.0,
        ..glenrail_router::Request::default()
    };
    RecordBuilder::new(&ask, "00ff00ff00ff00ff", &settings(), 1_000.0, 1_750_000_000_000.25)
}

fn outcome(attempt: u32, status: AttemptStatus, note: f64, report: Option<LoadReport>) -> AttemptOutcome {
    AttemptOutcome {
        id: RequestId(1),
        attempt,
        server: ServerId(READERS[0]),
        status,
        elapsed: 0.0,
        note,
        closed: false,
        delivered: false,
        report,
    }
}

/// A read of which all is told, and a write of which nothing is.
fn line_of_status(status: AttemptStatus, machine: &Machine) -> RequestRecord {
    let mut told = begun(1);
    told.attempt_started(AttemptStart {
        server: READERS[0],
        stage: Stage::Prefill,
        location: Some((1, 4)),
        is_slow_start: true,
        at: 1_000.25,
    });
    told.first_byte_written(0, 1_000.5);
    told.delivered(0, 1_012.0);
    told.first_token(0, 1_040.125);
    let report = LoadReport { in_flight: Some(3.0), memory_share: Some(0.625), ..Default::default() };
    told.attempt_ended(&outcome(0, status, 1_500.0, Some(report)), 1_100.0);
    told.release_started(1_100.0, 1_200.5);
    told.release_finished(1_240.0);
    told.attempt_started(AttemptStart {
        server: WRITERS[0],
        stage: Stage::Execute,
        location: None,
        is_slow_start: false,
        at: 1_250.0,
    });
    told.attempt_ended(&outcome(1, status, 0.0, None), 1_300.0);
    told.release_started(1_300.0, 1_301.0);
    told.client_answered(1_302.0);
    told.finish(machine, 1_400.0)
}

fn line_of_reason(reason: RejectReason, machine: &Machine) -> RequestRecord {
    let mut told = begun(0);
    told.reject_reason(reason);
    told.reject_reason(RejectReason::LoadShed);
    told.finish(machine, 1_050.0)
}

/// One line for each outcome of an attempt, each reason, and each way in which a request ends.
fn lines() -> Vec<String> {
    let (refused, _) = play(FREELY, &[Input::Respond(FinalResponse::Rejected)]);
    assert_eq!(refused.response(), ResponseState::Final(FinalResponse::Rejected));
    let by_status = STATUSES.iter().map(|status| line_of_status(*status, &refused));
    let by_reason = REASONS.iter().map(|reason| line_of_reason(*reason, &refused));
    let by_end =
        script().into_iter().map(|(terms, inputs)| begun(2).finish(&play(terms, &inputs).0, 1_500.0));
    by_status.chain(by_reason).chain(by_end).map(|story| format!("{LINE_PREFIX}{story}")).collect()
}

/// Guards the log against a type that is called otherwise: outcomes, reasons and ends keep their words in it.
#[test]
fn log_lines_are_written_as_they_were() {
    assert_eq!(lines(), LINES.lines().collect::<Vec<_>>());
    for end in ["served", "cut", "refused", "failed", "left"] {
        assert!(LINES.contains(&format!(r#""end":"{end}""#)), "{end}");
    }
}

/// Guards the reading of logs that an earlier build has left.
#[test]
fn a_stored_log_line_is_read_and_written_again_the_same() {
    for line in LINES.lines() {
        let story = RequestRecord::parse_line(line).expect("a story");
        assert_eq!(format!("{LINE_PREFIX}{story}"), line);
    }
}
