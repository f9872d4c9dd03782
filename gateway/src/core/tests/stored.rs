//! Compatibility tests of stored data: traces of a request's state machine and access-log lines must match the fixtures that
//! an earlier build wrote.

use glenrail_access_log::{RequestRecord, LINE_PREFIX};
use glenrail_request_lifecycle::request::{
    Reply as MachineReply, Request as Machine, ResponseState, StreamEnd, Timer,
};
use glenrail_router::LoadReport;
use serde::{Deserialize, Serialize};

use super::super::request_record::{AttemptStart, RecordBuilder};
use super::*;

const TRACES: &str = include_str!("fixtures/machine-traces.jsonl");
const RECORDS: &str = include_str!("fixtures/request-lines.txt");

/// The inputs of a state machine, each with its effects, in the format of the model checker's traces.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Trace {
    #[serde(rename = "terms")]
    policy: RequestPolicy,
    #[serde(rename = "fed")]
    steps: Vec<(Input, Vec<Effect>)>,
}

const IDEMPOTENT: RequestPolicy =
    RequestPolicy { retry_safety: RetrySafety::Idempotent, max_attempts: 5, cancellation: true };
const AT_MOST_ONCE: RequestPolicy = RequestPolicy { retry_safety: RetrySafety::AtMostOnce, ..IDEMPOTENT };
const WITHOUT_CANCELLATION: RequestPolicy = RequestPolicy { cancellation: false, ..IDEMPOTENT };

fn prefill() -> Input {
    Input::Send { server: PREFILL_SERVERS[0], stage: Stage::Prefill, permitted: true }
}
fn execute() -> Input {
    Input::Send { server: DECODE_SERVERS[0], stage: Stage::Execute, permitted: true }
}
fn reserve_slot() -> Input {
    Input::ReserveSlot { server: DECODE_SERVERS[1] }
}
fn replied(attempt: usize, reply: MachineReply) -> Input {
    Input::Replied { attempt, reply }
}
fn stream_ended(end: StreamEnd) -> Input {
    Input::StreamEnded { attempt: 0, end }
}
const CANCEL: Input = Input::Cancel { attempt: 0 };
const CANCEL_COMPLETED: Input = Input::CancelCompleted { attempt: 0 };
const CLOSE_CONFIRMED: Input = Input::CloseConfirmed { attempt: 0 };
const FAILED: Input = Input::Respond(FinalResponse::Failed);

/// A delivered prefill and a successful decode.
fn served() -> Vec<Input> {
    let end = Input::StreamEnded { attempt: 1, end: StreamEnd::Complete };
    let delivered = Input::Delivered { attempt: 0 };
    vec![
        prefill(),
        delivered,
        replied(0, MachineReply::Prefilled),
        execute(),
        replied(1, MachineReply::FirstEvent),
        end,
    ]
}

/// One stream for each kind of end.
fn streams() -> impl Iterator<Item = Vec<Input>> {
    let ends = [
        StreamEnd::Complete,
        StreamEnd::HandedOver,
        StreamEnd::Reset,
        StreamEnd::MalformedResponse,
        StreamEnd::IdleTimeout,
        StreamEnd::ClientStalled,
    ];
    ends.into_iter().map(|end| vec![execute(), replied(0, MachineReply::FirstEvent), stream_ended(end)])
}

/// One decode for each reply that ends the attempt before a stream starts and leaves the request open.
fn decode_replies() -> impl Iterator<Item = Vec<Input>> {
    let replies = [
        MachineReply::Rejected,
        MachineReply::Error,
        MachineReply::ConnectFailed,
        MachineReply::Reset,
        MachineReply::MalformedResponse,
        MachineReply::NotSent,
    ];
    replies.into_iter().map(|reply| vec![execute(), replied(0, reply), FAILED])
}

/// One slot request during a prefill for each reply of the decode server, and one that is cancelled.
fn slot_requests() -> impl Iterator<Item = Vec<Input>> {
    let (prefilled, reject) = (replied(0, MachineReply::Prefilled), Input::Respond(FinalResponse::Rejected));
    let answered = move |reserved| {
        vec![
            prefill(),
            reserve_slot(),
            Input::SlotAnswered { reserved },
            prefilled,
            Input::Release,
            Input::Released,
            reject,
        ]
    };
    let cancelled = vec![
        prefill(),
        reserve_slot(),
        Input::ClientDisconnected,
        CANCEL_COMPLETED,
        CLOSE_CONFIRMED,
        Input::ReleaseSent,
        Input::Released,
    ];
    [Some(true), Some(false), None].into_iter().map(answered).chain([cancelled])
}

/// Attempts that are unprocessable, not permitted, cancelled, timed out or undelivered, and a request that
/// times out.
fn timeouts_and_cancellations() -> Vec<Vec<Input>> {
    let undelivered = Input::CancelCompleted { attempt: 1 };
    let (lease_limit, deadline) =
        (Input::TimerExpired(Timer::LeaseLimit), Input::TimerExpired(Timer::Deadline));
    vec![
        vec![execute(), replied(0, MachineReply::Unprocessable)],
        vec![Input::Send { server: 11, stage: Stage::Prefill, permitted: false }, FAILED],
        vec![
            prefill(),
            CANCEL,
            CANCEL_COMPLETED,
            CLOSE_CONFIRMED,
            Input::ReleaseSent,
            Input::Released,
            FAILED,
        ],
        vec![execute(), Input::TimedOut { attempt: 0 }, FAILED],
        vec![
            prefill(),
            replied(0, MachineReply::Prefilled),
            execute(),
            lease_limit,
            undelivered,
            Input::Released,
            FAILED,
        ],
        vec![deadline],
    ]
}

fn script() -> Vec<(RequestPolicy, Vec<Input>)> {
    let inputs = [served()].into_iter().chain(streams()).chain(decode_replies()).chain(slot_requests());
    let idempotent = inputs.chain(timeouts_and_cancellations()).map(|inputs| (IDEMPOTENT, inputs));
    let reject = Input::Respond(FinalResponse::Rejected);
    let not_retried = (AT_MOST_ONCE, vec![execute(), replied(0, MachineReply::Reset), execute(), reject]);
    let disconnected =
        (WITHOUT_CANCELLATION, vec![execute(), Input::ClientDisconnected, replied(0, MachineReply::Error)]);
    idempotent.chain([not_retried, disconnected]).collect()
}

fn run_machine(policy: RequestPolicy, inputs: &[Input]) -> (Machine, Trace) {
    let mut machine = Machine::new(policy, &mut Vec::new());
    let mut steps = Vec::new();
    for input in inputs {
        let mut effects = Vec::new();
        let result = machine.step(*input, &mut effects);
        result.unwrap_or_else(|invalid| panic!("{input:?} of {inputs:?}: {invalid}"));
        steps.push((*input, effects));
    }
    (machine, Trace { policy, steps })
}

fn to_line(trace: &Trace) -> String {
    serde_json::to_string(trace).expect("a line")
}

/// Guards the stored format of traces: the same inputs must produce the same bytes.
#[test]
fn the_same_inputs_produce_the_same_traces() {
    let traces: Vec<String> =
        script().iter().map(|(policy, inputs)| to_line(&run_machine(*policy, inputs).1)).collect();
    assert_eq!(traces, TRACES.lines().collect::<Vec<_>>());
}

/// Guards traces of an earlier build: each must parse, replay to the same effects and serialize to the same bytes.
#[test]
fn a_stored_trace_replays_and_is_written_again_the_same() {
    for line in TRACES.lines() {
        let trace: Trace = serde_json::from_str(line).expect("a trace");
        let inputs: Vec<Input> = trace.steps.iter().map(|step| step.0).collect();
        let (machine, replayed) = run_machine(trace.policy, &inputs);
        assert!(machine.is_finished(), "{line}");
        assert_eq!(replayed, trace);
        assert_eq!(to_line(&trace), line);
    }
}

/// Guards the two tests above against incomplete fixtures: every input and effect must occur in them.
#[test]
fn the_stored_traces_contain_every_input_and_effect() {
    let inputs =
        "Send Cancel Release Answer Hold ClientGone Arrived Replied StreamEnded TimedOut Dropped Placed \
        CutSeen ReleaseOut Released Due";
    let effects =
        "Start CallBack Release AskPlace DropPlace Answer PassOn TellFirst TellOutcome TellGone TellPlace \
        Arm Disarm Over";
    let replies = "Read Begins Declined Unfit Error Connect Reset Spoilt NotSent";
    let statuses = "Served Read Error Declined Timeout Connect Reset Spoilt Cancelled Undelivered NotSent";
    let others = "Whole Moved Silent Untaken Refused Failed Deadline Pin Run Freely Never";
    let names = [inputs, effects, replies, statuses, others];
    for name in names.iter().flat_map(|names| names.split_whitespace()) {
        assert!(TRACES.contains(&format!("\"{name}\"")), "{name}");
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

fn record_of(class: u32) -> RecordBuilder {
    let routing = glenrail_router::Request {
        id: RequestId(1),
        class,
        tenant: 2,
        session: 1_001,
        prefix: Some(7),
        prompt_tokens: 2_000.0,
        prefix_tokens: 1_500.0,
        ..glenrail_router::Request::default()
    };
    RecordBuilder::new(&routing, "00ff00ff00ff00ff", &settings(), 1_000.0, 1_750_000_000_000.25)
}

fn outcome(
    attempt: u32, status: AttemptStatus, status_detail: f64, report: Option<LoadReport>,
) -> AttemptOutcome {
    AttemptOutcome {
        id: RequestId(1),
        attempt,
        server: ServerId(PREFILL_SERVERS[0]),
        status,
        elapsed: 0.0,
        status_detail,
        closed: false,
        delivered: false,
        report,
    }
}

/// Creates a record of a prefill with all optional fields and a decode without them.
fn record_of_status(status: AttemptStatus, machine: &Machine) -> RequestRecord {
    let mut builder = record_of(1);
    builder.attempt_started(AttemptStart {
        server: PREFILL_SERVERS[0],
        stage: Stage::Prefill,
        location: Some((1, 4)),
        is_slow_start: true,
        at: 1_000.25,
    });
    builder.first_byte_written(0, 1_000.5);
    builder.delivered(0, 1_012.0);
    builder.first_token(0, 1_040.125);
    let report = LoadReport { in_flight: Some(3.0), memory_share: Some(0.625), ..Default::default() };
    builder.attempt_ended(&outcome(0, status, 1_500.0, Some(report)), 1_100.0);
    builder.release_started(1_100.0, 1_200.5);
    builder.release_finished(1_240.0);
    builder.attempt_started(AttemptStart {
        server: DECODE_SERVERS[0],
        stage: Stage::Execute,
        location: None,
        is_slow_start: false,
        at: 1_250.0,
    });
    builder.attempt_ended(&outcome(1, status, 0.0, None), 1_300.0);
    builder.release_started(1_300.0, 1_301.0);
    builder.client_answered(1_302.0);
    builder.finish(machine, 1_400.0)
}

fn record_of_reason(reason: RejectReason, machine: &Machine) -> RequestRecord {
    let mut builder = record_of(0);
    builder.reject_reason(reason);
    builder.reject_reason(RejectReason::LoadShed);
    builder.finish(machine, 1_050.0)
}

/// Returns one line for each outcome of an attempt, each reject reason and each end of a request.
fn record_lines() -> Vec<String> {
    let (rejected, _) = run_machine(IDEMPOTENT, &[Input::Respond(FinalResponse::Rejected)]);
    assert_eq!(rejected.response(), ResponseState::Final(FinalResponse::Rejected));
    let by_status = STATUSES.iter().map(|status| record_of_status(*status, &rejected));
    let by_reason = REASONS.iter().map(|reason| record_of_reason(*reason, &rejected));
    let by_end = script()
        .into_iter()
        .map(|(policy, inputs)| record_of(2).finish(&run_machine(policy, &inputs).0, 1_500.0));
    by_status.chain(by_reason).chain(by_end).map(|record| format!("{LINE_PREFIX}{record}")).collect()
}

/// Guards the access log's format: outcomes and reasons keep their names when types are renamed.
#[test]
fn log_lines_are_written_as_they_were() {
    assert_eq!(record_lines(), RECORDS.lines().collect::<Vec<_>>());
    for outcome in ["served", "cut", "refused", "failed", "left"] {
        assert!(RECORDS.contains(&format!(r#""end":"{outcome}""#)), "{outcome}");
    }
}

/// Guards compatibility with access logs of an earlier build.
#[test]
fn a_stored_log_line_is_read_and_written_again_the_same() {
    for line in RECORDS.lines() {
        let record = RequestRecord::parse_line(line).expect("a record");
        assert_eq!(format!("{LINE_PREFIX}{record}"), line);
    }
}
