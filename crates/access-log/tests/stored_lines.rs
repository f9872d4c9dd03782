//! Compatibility of a gateway's log lines, for requests and counts, with fixtures that an earlier build wrote.

use glenrail_access_log::counts::{self, ConnectionsOpened, Counts, Prices};
use glenrail_access_log::{AttemptRecord, Release, RequestOutcome, RequestRecord, Stage, LINE_PREFIX};

const REQUESTS: &str = include_str!("fixtures/request-lines.txt");
const COUNTS: &str = include_str!("fixtures/counts-lines.txt");

const REQUEST_OUTCOMES: [RequestOutcome; 5] = [
    RequestOutcome::Served,
    RequestOutcome::StreamBroken,
    RequestOutcome::Rejected,
    RequestOutcome::Failed,
    RequestOutcome::ClientDisconnected,
];
const STAGES: [Stage; 2] = [Stage::Prefill, Stage::Execute];
/// Outcomes of attempts, as named by the router's `log_label`.
const ATTEMPT_OUTCOMES: [&str; 11] = [
    "Served",
    "Read",
    "Error",
    "Full",
    "Timeout",
    "ConnectFailed",
    "Reset",
    "Spoilt",
    "Cancelled",
    "Undelivered",
    "NotSent",
];
/// Reasons for which the router rejects or fails a request, as named by its `log_label`.
const REJECT_REASONS: [&str; 7] =
    ["UnknownClass", "Shed", "NoServer", "AttemptsSpent", "RetryBudget", "MayHaveRun", "OutOfTime"];

/// An attempt with every optional field.
fn full_attempt(stage: Stage, outcome: &str) -> AttemptRecord {
    AttemptRecord {
        server: "1f".into(),
        stage,
        location: Some((1, 4)),
        sent_ms: 0.25,
        written_ms: Some(0.5),
        delivered_ms: Some(12.0),
        first_token_ms: Some(40.125),
        ended_ms: 900.75,
        outcome: outcome.into(),
        slow_start: true,
        cached_tokens: 1_500.0,
        in_flight: Some(3.0),
        memory_share: Some(0.625),
    }
}

/// An attempt without optional fields.
fn bare_attempt(stage: Stage, outcome: &str) -> AttemptRecord {
    AttemptRecord {
        server: "15".into(),
        stage,
        sent_ms: 1.0,
        ended_ms: 2.0,
        outcome: outcome.into(),
        ..AttemptRecord::default()
    }
}

/// A request with every optional field.
fn full_request(final_outcome: RequestOutcome) -> RequestRecord {
    RequestRecord {
        id: "00ff00ff00ff00ff".into(),
        class: 2,
        at_most_once: true,
        tenant: 3,
        session: u64::MAX,
        prefix: Some(7),
        prompt_tokens: 2_000.0,
        prefix_tokens: 1_500.0,
        arrived_unix_ms: 1_750_000_000_000.0,
        latency_objective_ms: 1_120.5,
        priority_weight: 0.1,
        outcome: final_outcome,
        duration_ms: 950.0,
        reject_reason: "Shed".into(),
        releases: vec![
            Release { unclaimed_since_ms: 10.0, ordered_ms: 20.5, done_ms: Some(31.0) },
            Release { unclaimed_since_ms: 40.0, ordered_ms: 41.0, done_ms: None },
        ],
        attempts: vec![full_attempt(Stage::Prefill, "Read"), full_attempt(Stage::Execute, "Served")],
    }
}

/// A request without optional fields.
fn bare_request(final_outcome: RequestOutcome) -> RequestRecord {
    RequestRecord { id: "a".into(), session: 1, outcome: final_outcome, ..RequestRecord::default() }
}

/// Returns requests with each outcome, each reason, and each outcome of attempts at each stage, with and without
/// optional fields.
fn all_requests() -> Vec<RequestRecord> {
    let by_outcome =
        REQUEST_OUTCOMES.iter().flat_map(|outcome| [bare_request(*outcome), full_request(*outcome)]);
    let by_reason = REJECT_REASONS.iter().map(|reason| RequestRecord {
        reject_reason: (*reason).into(),
        ..bare_request(RequestOutcome::Rejected)
    });
    let by_attempt_outcome = ATTEMPT_OUTCOMES.iter().flat_map(|outcome| {
        STAGES.map(|stage| RequestRecord {
            attempts: vec![bare_attempt(stage, outcome), full_attempt(stage, outcome)],
            ..bare_request(RequestOutcome::Failed)
        })
    });
    by_outcome.chain(by_reason).chain(by_attempt_outcome).collect()
}

fn all_counts() -> Vec<Counts> {
    let full = Counts {
        started_unix_ms: 1_750_000_000_000.0,
        probes: 11,
        connections_opened: ConnectionsOpened { attempt: 12, probe: 13, slot_reservation: 14, release: 15 },
        connections_failed: 16,
        connections_reused: u64::MAX,
        discovery_responses: 18,
        discovery_lines: 19,
        discovery_failures: 20,
        prices: Prices { probe: 0.003, handshake: 0.01, discovery: 0.5, cell_transfer: 0.03, waste: 0.25 },
    };
    vec![Counts::default(), full]
}

/// Guards against a change of the log's format: operators' tools and later builds must be able to parse older logs.
#[test]
fn requests_are_serialized_to_the_stored_lines() {
    let serialized: Vec<String> =
        all_requests().iter().map(|request| format!("{LINE_PREFIX}{request}")).collect();
    assert_eq!(serialized, REQUESTS.lines().collect::<Vec<_>>());
}

#[test]
fn stored_request_lines_are_parsed_to_the_same_requests() {
    let parsed: Vec<Option<RequestRecord>> = REQUESTS.lines().map(RequestRecord::parse_line).collect();
    assert_eq!(parsed, all_requests().into_iter().map(Some).collect::<Vec<_>>());
}

#[test]
fn counts_are_serialized_to_the_stored_lines() {
    let serialized: Vec<String> = all_counts().iter().map(|c| format!("{}{c}", counts::LOG_PREFIX)).collect();
    assert_eq!(serialized, COUNTS.lines().collect::<Vec<_>>());
}

#[test]
fn stored_count_lines_are_parsed_to_the_same_counts() {
    let parsed: Vec<Option<Counts>> = COUNTS.lines().map(Counts::parse_line).collect();
    assert_eq!(parsed, all_counts().into_iter().map(Some).collect::<Vec<_>>());
}
