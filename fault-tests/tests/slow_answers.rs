//! Answers at random paces: short seeded runs of real gateways, and the judge's rules, each with a fault that it has to find.
//! The command `glenrail-fault-tests slow-answers` runs longer ones with more seeds.

use std::path::Path;
use std::sync::{Mutex, PoisonError};

use glenrail_fault_tests::clock::{Micros, MILLISECOND};
use glenrail_fault_tests::slow_answers::judge::{judge, ReceivedAnswer, Rule, Shutdown};
use glenrail_fault_tests::slow_answers::pace::{Pace, Part};
use glenrail_fault_tests::slow_answers::server::{WrittenAnswer, WrittenPiece};
use glenrail_fault_tests::slow_answers::{run, Disruption, Options, Report};

const SEED: u64 = 7_400;

/// Held during a run, because each run has dozens of clients.
static RUNNING: Mutex<()> = Mutex::new(());

fn play(disruption: Disruption) -> Report {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let gateway = Path::new(env!("CARGO_BIN_EXE_glenrail-fault-tests")).with_file_name("glenrail");
    let options = Options { seed: SEED, seeds: 1, seconds: 8, disruption, gateway };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build();
    let report = runtime.expect("the runtime is built").block_on(run(&options, SEED));
    report.expect("the gateways start")
}

#[test]
fn answers_at_any_pace_break_no_rule() {
    let report = play(Disruption::None);
    assert!(report.requests > 60, "{report}");
    assert!(report.passed(), "{report}");
}

#[test]
fn answers_at_any_pace_break_no_rule_beside_upgrades() {
    let report = play(Disruption::Upgrades);
    assert!(report.requests > 60, "{report}");
    assert!(report.passed(), "{report}");
}

fn ms(millis: u64) -> Micros {
    millis * MILLISECOND
}

/// Returns an answer of which the server wrote these parts at these times, in milliseconds.
fn written(pieces: &[(u64, Part)]) -> Vec<WrittenAnswer> {
    let piece = |(at, part): &(u64, Part)| WrittenPiece { part: *part, before: ms(*at), after: ms(*at) };
    let pieces = pieces.iter().map(piece).collect();
    vec![WrittenAnswer { pace: Pace::Pieces, pieces }]
}

/// Returns what a client received of an order with a deadline of 3 s: its status, its end, and its events.
fn received(status: Option<u16>, complete: bool, ended: u64, events: &[u64]) -> ReceivedAnswer {
    ReceivedAnswer {
        request: "a".into(),
        repeatable: false,
        sent: 0,
        deadline: ms(3_000),
        status,
        complete,
        events: events.iter().map(|at| ms(*at)).collect(),
        ended: ms(ended),
        shutdown: Shutdown::default(),
    }
}

fn broken(received: &ReceivedAnswer, written: &[WrittenAnswer]) -> Option<Rule> {
    judge(received, written).first().map(|violation| violation.rule)
}

/// Guards the soak against a judge that finds nothing.
#[test]
fn each_rule_finds_its_planted_fault() {
    use Part::{End, EventBegun, EventComplete, Malformed, Other};
    let writing = written(&[(100, EventComplete), (2_000, EventBegun), (4_700, EventBegun)]);
    let stopped = written(&[(100, EventComplete), (3_000, Other)]);
    let finished = written(&[(100, EventComplete), (200, End)]);
    let malformed = written(&[(100, EventComplete), (400, Malformed), (5_900, Malformed)]);
    let cases = [
        (received(Some(200), false, 4_800, &[100]), &writing, Some(Rule::NotCutWhileWriting)),
        (received(Some(200), false, 9_300, &[100]), &writing, None),
        (received(Some(200), false, 7_700, &[100]), &stopped, Some(Rule::NotLeftWaiting)),
        (received(Some(200), false, 4_700, &[100]), &stopped, None),
        (received(Some(200), true, 4_700, &[100]), &stopped, Some(Rule::NoFalseEnd)),
        (received(Some(200), false, 400, &[100]), &finished, Some(Rule::FinishedIsForwarded)),
        (received(Some(200), true, 1_400, &[100]), &finished, Some(Rule::FinishedIsForwarded)),
        (received(Some(200), true, 210, &[600]), &finished, Some(Rule::EventsAsTheyCome)),
        (received(Some(200), true, 210, &[100]), &finished, None),
        (received(Some(504), true, 3_700, &[]), &Vec::new(), Some(Rule::AnsweredInTime)),
        (received(None, false, 1_000, &[]), &Vec::new(), Some(Rule::AnsweredInTime)),
        (received(Some(502), true, 1_000, &[]), &Vec::new(), Some(Rule::SlowIsNoFailure)),
        (received(Some(503), true, 1_000, &[]), &Vec::new(), None),
        (received(Some(200), false, 6_000, &[100]), &malformed, Some(Rule::MalformedEndsInTime)),
        (received(Some(200), true, 4_000, &[100]), &malformed, Some(Rule::NoFalseEnd)),
        (received(Some(200), false, 410, &[100]), &malformed, None),
        (received(Some(502), true, 410, &[]), &malformed, None),
        (received(Some(504), true, 3_700, &[]), &malformed, Some(Rule::AnsweredInTime)),
    ];
    for (number, (received, written, rule)) in cases.into_iter().enumerate() {
        assert_eq!(broken(&received, written), rule, "case {number}");
    }
}
