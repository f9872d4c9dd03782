use super::*;
use crate::AttemptRecord;

fn attempt(stage: Stage, sent: f64, until: f64, how: &str) -> AttemptRecord {
    let first = (stage == Stage::Run && how == "Served").then_some(until);
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

fn story(session: u64, came: f64, end: RequestOutcome, tries: Vec<AttemptRecord>) -> RequestRecord {
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

fn fate(stories: &[RequestRecord]) -> Fate {
    let account = Account::of(stories, 0.0, f64::MAX);
    assert_eq!((account.turns, account.fates.len()), (1, 1));
    *account.fates.keys().next().expect("a fate")
}

#[test]
fn what_took_most_of_the_time_is_the_cause() {
    let run = |sent, until| attempt(Stage::Run, sent, until, "Served");
    let read = |until| attempt(Stage::Read, 0.0, until, "Read");
    assert_eq!(
        fate(&[story(1, 0.0, RequestOutcome::Served, vec![read(90.0), run(91.0, 150.0)])]),
        Fate::InTime
    );
    assert_eq!(
        fate(&[story(1, 0.0, RequestOutcome::Served, vec![read(3_000.0), run(3_001.0, 3_100.0)])]),
        Fate::LateReader
    );
    assert_eq!(
        fate(&[story(1, 0.0, RequestOutcome::Served, vec![read(90.0), run(91.0, 4_000.0)])]),
        Fate::LateWriter
    );
    let lost = attempt(Stage::Read, 0.0, 5_000.0, "Cancelled");
    let then = [attempt(Stage::Read, 5_000.0, 5_050.0, "Read"), run(5_051.0, 5_100.0)];
    assert_eq!(
        fate(&[story(1, 0.0, RequestOutcome::Served, [vec![lost], then.to_vec()].concat())]),
        Fate::LateLost
    );
}

/// Guards against counting a client's second try as a turn of its own, and its wait as nobody's.
#[test]
fn a_turn_is_judged_from_its_first_try_on() {
    let well = vec![attempt(Stage::Read, 0.0, 90.0, "Read"), attempt(Stage::Run, 91.0, 150.0, "Served")];
    let refused = story(1, 0.0, RequestOutcome::Refused, vec![]);
    let soon = story(1, 500.0, RequestOutcome::Served, well.clone());
    let later = story(1, 2_500.0, RequestOutcome::Served, well);
    assert_eq!(fate(&[refused.clone(), soon]), Fate::InTime);
    assert_eq!(fate(&[refused.clone(), later]), Fate::LateBetween);
    assert_eq!(fate(&[refused.clone(), refused]), Fate::RefusedUnsent);
}

#[test]
fn the_parts_add_up_and_what_lies_outside_is_left_out() {
    let one = |n: u64, end| story(n, n as f64 * 1_000.0, end, vec![]);
    let stories: Vec<RequestRecord> = (0..20)
        .map(|n| {
            one(n, [RequestOutcome::Refused, RequestOutcome::Failed, RequestOutcome::Left][n as usize % 3])
        })
        .collect();
    let account = Account::of(&stories, 5.0, 15.0);
    assert_eq!(account.turns, 10);
    let sum: f64 = account.fates.keys().map(|f| account.share(*f)).sum();
    assert!((sum - 1.0).abs() < 1e-9, "{sum}");
    assert!(account.table(1).contains("refused unsent"));
    assert_eq!(account.refused, BTreeMap::from([("unsent".to_string(), 3)]));
}
