//! What a turn is laid to, and that the parts add up.

use std::collections::BTreeMap;

use super::{Interval, LossReport, TurnResult};
use crate::{AttemptRecord, RequestOutcome, RequestRecord, Stage};

fn attempt(stage: Stage, sent: f64, until: f64, how: &str) -> AttemptRecord {
    let first = (stage == Stage::Execute && how == "Served").then_some(until);
    let ended = if first.is_some() { until + 4_000.0 } else { until };
    AttemptRecord {
        server: "a".into(),
        stage,
        sent_ms: sent,
        first_token_ms: first,
        ended_ms: ended,
        outcome: how.into(),
        ..AttemptRecord::default()
    }
}

fn request(session: u64, came: f64, end: RequestOutcome, tries: Vec<AttemptRecord>) -> RequestRecord {
    let took = tries.last().map_or(0.0, |t| t.ended_ms);
    RequestRecord {
        session,
        arrived_unix_ms: came,
        outcome: end,
        duration_ms: took,
        attempts: tries,
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
fn what_took_most_of_the_time_is_the_cause() {
    let run = |sent, until| attempt(Stage::Execute, sent, until, "Served");
    let read = |until| attempt(Stage::Prefill, 0.0, until, "Read");
    assert_eq!(
        result(&[request(1, 0.0, RequestOutcome::Served, vec![read(90.0), run(91.0, 150.0)])]),
        TurnResult::InTime
    );
    assert_eq!(
        result(&[request(1, 0.0, RequestOutcome::Served, vec![read(3_000.0), run(3_001.0, 3_100.0)])]),
        TurnResult::LatePrefill
    );
    assert_eq!(
        result(&[request(1, 0.0, RequestOutcome::Served, vec![read(90.0), run(91.0, 4_000.0)])]),
        TurnResult::LateDecode
    );
    let lost = attempt(Stage::Prefill, 0.0, 5_000.0, "Cancelled");
    let then = [attempt(Stage::Prefill, 5_000.0, 5_050.0, "Read"), run(5_051.0, 5_100.0)];
    assert_eq!(
        result(&[request(1, 0.0, RequestOutcome::Served, [vec![lost], then.to_vec()].concat())]),
        TurnResult::LateAttemptsLost
    );
}

/// Guards against counting a client's second request as a turn of its own, and its wait as nobody's.
#[test]
fn a_turn_is_judged_from_its_first_request_on() {
    let well =
        vec![attempt(Stage::Prefill, 0.0, 90.0, "Read"), attempt(Stage::Execute, 91.0, 150.0, "Served")];
    let refused = request(1, 0.0, RequestOutcome::Rejected, vec![]);
    let soon = request(1, 500.0, RequestOutcome::Served, well.clone());
    let later = request(1, 2_500.0, RequestOutcome::Served, well);
    assert_eq!(result(&[refused.clone(), soon]), TurnResult::InTime);
    assert_eq!(result(&[refused.clone(), later]), TurnResult::LateBetweenAttempts);
    assert_eq!(result(&[refused.clone(), refused]), TurnResult::RejectedUnsent);
}

#[test]
fn the_parts_add_up_and_what_lies_outside_is_left_out() {
    let one = |n: u64, end| request(n, n as f64 * 1_000.0, end, vec![]);
    let requests: Vec<RequestRecord> = (0..20)
        .map(|n| {
            one(
                n,
                [RequestOutcome::Rejected, RequestOutcome::Failed, RequestOutcome::ClientDisconnected]
                    [n as usize % 3],
            )
        })
        .collect();
    let report = LossReport::new(&requests, Interval { from_s: 5.0, to_s: 15.0 });
    assert_eq!(report.turns, 10);
    let sum: f64 = report.results.keys().map(|f| report.share(*f)).sum();
    assert!((sum - 1.0).abs() < 1e-9, "{sum}");
    assert!(report.table(1).contains("refused unsent"));
    assert_eq!(report.rejected, BTreeMap::from([("unsent".to_string(), 3)]));
}
