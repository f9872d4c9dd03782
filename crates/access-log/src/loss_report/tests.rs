//! Results of turns, and the sum of their shares.

use std::collections::BTreeMap;

use super::{Interval, LossReport, TurnResult};
use crate::{AttemptRecord, RequestOutcome, RequestRecord, Stage};

fn attempt(stage: Stage, from_ms: f64, until_ms: f64, outcome: &str) -> AttemptRecord {
    let first = (stage == Stage::Execute && outcome == "Served").then_some(until_ms);
    let ended = if first.is_some() { until_ms + 4_000.0 } else { until_ms };
    AttemptRecord {
        server: "a".into(),
        stage,
        sent_ms: from_ms,
        first_token_ms: first,
        ended_ms: ended,
        outcome: outcome.into(),
        ..AttemptRecord::default()
    }
}

fn request(
    session: u64, arrival_ms: f64, final_outcome: RequestOutcome, all_attempts: Vec<AttemptRecord>,
) -> RequestRecord {
    let end_ms = all_attempts.last().map_or(0.0, |last| last.ended_ms);
    RequestRecord {
        session,
        arrived_unix_ms: arrival_ms,
        outcome: final_outcome,
        duration_ms: end_ms,
        attempts: all_attempts,
        prompt_tokens: 1_000.0,
        latency_objective_ms: 2_000.0,
        priority_weight: 2.0,
        ..RequestRecord::default()
    }
}

fn result(requests: &[RequestRecord]) -> TurnResult {
    let report = LossReport::new(requests, Interval::ALL);
    assert_eq!((report.turns, report.results.len()), (1, 1));
    *report.results.keys().next().expect("a result")
}

#[test]
fn the_largest_wait_of_a_late_turn_is_its_cause() {
    let decode = |from_ms, until_ms| attempt(Stage::Execute, from_ms, until_ms, "Served");
    let prefill = |until_ms| attempt(Stage::Prefill, 0.0, until_ms, "Read");
    assert_eq!(
        result(&[request(1, 0.0, RequestOutcome::Served, vec![prefill(90.0), decode(91.0, 150.0)])]),
        TurnResult::InTime
    );
    assert_eq!(
        result(&[request(1, 0.0, RequestOutcome::Served, vec![prefill(3_000.0), decode(3_001.0, 3_100.0)])]),
        TurnResult::LatePrefill
    );
    assert_eq!(
        result(&[request(1, 0.0, RequestOutcome::Served, vec![prefill(90.0), decode(91.0, 4_000.0)])]),
        TurnResult::LateDecode
    );
    let lost_attempt = attempt(Stage::Prefill, 0.0, 5_000.0, "Cancelled");
    let retry = [attempt(Stage::Prefill, 5_000.0, 5_050.0, "Read"), decode(5_051.0, 5_100.0)];
    assert_eq!(
        result(&[request(1, 0.0, RequestOutcome::Served, [vec![lost_attempt], retry.to_vec()].concat())]),
        TurnResult::LateAttemptsLost
    );
}

/// Guards against counting a client's retry as a separate turn, which would omit the wait between its requests.
#[test]
fn a_turn_is_timed_from_its_first_request() {
    let successful_attempts =
        vec![attempt(Stage::Prefill, 0.0, 90.0, "Read"), attempt(Stage::Execute, 91.0, 150.0, "Served")];
    let rejected = request(1, 0.0, RequestOutcome::Rejected, vec![]);
    let early_retry = request(1, 500.0, RequestOutcome::Served, successful_attempts.clone());
    let late_retry = request(1, 2_500.0, RequestOutcome::Served, successful_attempts);
    assert_eq!(result(&[rejected.clone(), early_retry]), TurnResult::InTime);
    assert_eq!(result(&[rejected.clone(), late_retry]), TurnResult::LateBetweenAttempts);
    assert_eq!(result(&[rejected.clone(), rejected]), TurnResult::RejectedUnsent);
}

#[test]
fn shares_add_up_and_turns_outside_the_interval_are_excluded() {
    let turn = |n: u64, outcome| request(n, n as f64 * 1_000.0, outcome, vec![]);
    let requests: Vec<RequestRecord> = (0..20)
        .map(|n| {
            turn(
                n,
                [RequestOutcome::Rejected, RequestOutcome::Failed, RequestOutcome::ClientDisconnected]
                    [n as usize % 3],
            )
        })
        .collect();
    let report = LossReport::new(&requests, Interval { from_s: 5.0, to_s: 15.0 });
    assert_eq!(report.turns, 10);
    let sum: f64 = report.results.keys().map(|turn_result| report.share(*turn_result)).sum();
    assert!((sum - 1.0).abs() < 1e-9, "{sum}");
    assert!(report.table(1).contains("refused unsent"));
    assert_eq!(report.rejected, BTreeMap::from([("unsent".to_string(), 3)]));
}
