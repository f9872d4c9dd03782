//! Times that a run records: of a gateway's kill, of a request's first and last byte, and of its own scheduling delays.

use std::path::Path;
use std::process::{Child, Command};
use std::thread;
use std::time::Duration;

use glenrail_fault_tests::clock::{Micros, MILLISECOND};
use glenrail_fault_tests::deployment::{Deployment, DeploymentSpec};
use glenrail_fault_tests::faults::{Fault, ScheduledFault};
use glenrail_fault_tests::invariants::{check_invariants, Invariant, Violation};
use glenrail_fault_tests::lateness::{Lateness, LatenessMonitor, LatenessSample, LatenessSource};
use glenrail_fault_tests::record::{Event, Record};
use glenrail_fault_tests::report::Report;

const LEASE_LIMIT: Duration = Duration::from_millis(500);
const REQUEST: &str = "order";
const GATEWAY: &str = "n0";
/// When the gateway's process is killed, and the end of the run (ms).
const KILLED_AT: Micros = 1_000;
const END: Micros = 9_000;
/// Maximum time for which the platform allows a gateway to be paused.
const GATEWAY_PAUSE: Duration = Duration::from_millis(150);
/// Number of processes that share one processor, and for how long.
const BUSY_PROCESSES: usize = 4;
const BUSY_TIME: Duration = Duration::from_millis(500);
/// Time that exceeds the interval of every periodic tick.
const STALL: Duration = Duration::from_millis(60);

fn record(at: Micros, event: Event) -> Record {
    Record { at: at * MILLISECOND, source: GATEWAY.into(), event }
}

fn begun(at: Micros, connected_at: Micros) -> Record {
    let client = "127.0.0.1:40000".parse().expect("the address is valid");
    let connected_at = connected_at * MILLISECOND;
    record(at, Event::RequestBegun { request: REQUEST.into(), client, connected_at })
}

fn sent(at: Micros) -> Record {
    record(at, Event::Sent { request: REQUEST.into(), deadline: 2.0, repeatable: false })
}

fn unanswered(at: Micros) -> Record {
    record(at, Event::Unanswered { request: REQUEST.into() })
}

fn killed(ended_at: Micros) -> [Record; 2] {
    [record(KILLED_AT, Event::GatewayKilled), record(ended_at, Event::GatewayEnded { killed: true })]
}

fn broken_invariants(mut records: Vec<Record>) -> Vec<Invariant> {
    records.sort_by_key(|record| record.at);
    let violations = check_invariants(&records, LEASE_LIMIT, END * MILLISECOND);
    violations.into_iter().map(|violation| violation.invariant).collect()
}

/// Guards against blaming a gateway for an unplanned kill whose end was recorded late (soak seeds 9590 and 9801).
#[test]
fn a_request_lost_to_a_kill_is_excused_however_late_the_process_was_reaped() {
    let mut records = vec![begun(900, 800), sent(900), unanswered(KILLED_AT + 1)];
    records.extend(killed(KILLED_AT + 500));
    assert_eq!(broken_invariants(records), []);
}

/// Guards against excusing a connection that was closed before the kill.
#[test]
fn a_connection_closed_before_a_kill_is_not_excused_by_it() {
    let mut records = vec![begun(700, 600), sent(700), unanswered(KILLED_AT - 1)];
    records.extend(killed(KILLED_AT + 5));
    assert_eq!(broken_invariants(records), [Invariant::Answered]);
}

/// Guards against blaming a gateway for a stream that was cut shortly before the kill (soak seed 9590), and against missing a
/// stream that was accepted late and cut by the kill.
#[test]
fn a_cut_stream_is_attributed_to_a_kill_only_from_its_signal_on() {
    let cut = |at| record(at, Event::Answered { request: REQUEST.into(), status: 200, complete: false });
    let mut ended_before = vec![begun(500, 400), sent(500), cut(KILLED_AT - 79)];
    ended_before.extend(killed(KILLED_AT + 2));
    assert_eq!(broken_invariants(ended_before), []);
    let terminated = record(100, Event::GatewayTerminated);
    let mut accepted_late = vec![terminated, begun(900, 90), sent(900), cut(KILLED_AT + 1)];
    accepted_late.extend(killed(KILLED_AT + 2));
    assert_eq!(broken_invariants(accepted_late), [Invariant::Answered]);
}

/// Guards against blaming a process for a request that was written on a connection to its killed predecessor (soak seed 9688),
/// with the first byte before the kill and the last one after it.
#[test]
fn a_request_belongs_to_the_process_to_which_its_connection_was_made() {
    let mut to_the_killed_process =
        vec![begun(KILLED_AT - 5, 800), sent(KILLED_AT + 20), unanswered(KILLED_AT + 21)];
    to_the_killed_process.extend(killed(KILLED_AT + 2));
    assert_eq!(broken_invariants(to_the_killed_process), []);
    let connected_at = KILLED_AT + 30;
    let mut to_the_next =
        vec![begun(connected_at, connected_at), sent(connected_at), unanswered(connected_at + 9)];
    to_the_next.extend(killed(KILLED_AT + 2));
    assert_eq!(broken_invariants(to_the_next), [Invariant::Answered]);
}

/// Guards the order of the records of a kill: one before the signal, one after the exit was waited for.
#[test]
fn a_kill_is_recorded_before_its_signal_and_after_its_wait() {
    let program = Path::new(env!("CARGO_BIN_EXE_glenrail-fault-tests"));
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("the runtime is built").block_on(async {
        let spec = DeploymentSpec::new(1, 1, 1);
        let started = Deployment::start(spec, program, &program.with_file_name("glenrail")).await;
        let mut deployment = started.expect("the deployment starts");
        deployment.end_gateway(0).await.expect("the gateway ends");
        let of_gateway = deployment.records.all().into_iter().filter(|record| record.source == GATEWAY);
        let events: Vec<Event> = of_gateway.map(|record| record.event).collect();
        assert_eq!(events, [Event::GatewayKilled, Event::GatewayEnded { killed: true }]);
    });
}

/// Guards against gateways that stay paused for longer than the platform allows because a blocked runtime continues them late.
#[test]
fn a_paused_gateway_is_continued_in_time_while_the_runtime_is_blocked() {
    let program = Path::new(env!("CARGO_BIN_EXE_glenrail-fault-tests"));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the runtime is built").block_on(async {
        let spec = DeploymentSpec::new(1, 1, 1);
        let started = Deployment::start(spec, program, &program.with_file_name("glenrail")).await;
        let mut deployment = started.expect("the deployment starts");
        let pause = ScheduledFault { fault: Fault::GatewayPaused { gateway: 0 }, duration: GATEWAY_PAUSE };
        pause.begin(&mut deployment).await.expect("the fault begins");
        thread::sleep(GATEWAY_PAUSE * 4);
        let of_gateway = deployment.records.all().into_iter().filter(|record| record.source == GATEWAY);
        let times: Vec<(Event, Micros)> = of_gateway.map(|record| (record.event, record.at)).collect();
        let [(Event::GatewayPaused, paused_at), (Event::GatewayContinued, continued_at)] = times[..] else {
            panic!("{times:?}")
        };
        let paused_for = Duration::from_micros(continued_at - paused_at);
        assert!((GATEWAY_PAUSE..GATEWAY_PAUSE * 2).contains(&paused_for), "{paused_for:?}");
    });
}

/// Guards against a blocked runtime that the measured scheduling delays do not show.
#[test]
fn a_blocked_runtime_is_reported_as_late() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let lateness = runtime.expect("the runtime is built").block_on(async {
        let watch = LatenessMonitor::start();
        tokio::time::sleep(STALL).await;
        thread::sleep(STALL);
        tokio::time::sleep(STALL).await;
        watch.snapshot()
    });
    assert!(lateness.timer_lateness >= (STALL / 2).as_micros() as Micros, "{lateness}");
    assert!(lateness.late_samples.iter().any(|sample| sample.source == LatenessSource::Timer), "{lateness}");
}

/// Guards the report of a violation, which has to show the scheduling delays of that period and no others.
#[test]
fn late_samples_are_found_by_the_period_of_their_delay() {
    let sample =
        LatenessSample { source: LatenessSource::Thread, at: 500 * MILLISECOND, late_by: 100 * MILLISECOND };
    let mut lateness = Lateness::default();
    lateness.note(sample.clone());
    assert_eq!(lateness.thread_stall, sample.late_by);
    assert_eq!(lateness.between(0, 399 * MILLISECOND), []);
    assert_eq!(lateness.between(0, 450 * MILLISECOND), std::slice::from_ref(&sample));
    assert_eq!(lateness.between(450 * MILLISECOND, 900 * MILLISECOND), [sample]);
    assert_eq!(lateness.between(501 * MILLISECOND, 900 * MILLISECOND), []);
}

/// Guards the report's statement whether a gateway has reported a violation of the same request, which is not the case for a
/// request whose name only starts with the same characters.
#[test]
fn the_report_shows_whether_a_gateway_counted_a_violation() {
    let violation = |request: &str| Violation {
        invariant: Invariant::Answered,
        request: request.into(),
        at: 0,
        detail: "no answer in time".into(),
    };
    let reported =
        "n0: glenrail: invariant broken: held_in_time: request 25f1-e6: released after 929 ms".to_string();
    let (counted, not_counted) = (violation("25f1-e6"), violation("25f1-e"));
    let report = Report {
        violations: vec![counted.clone(), not_counted.clone()],
        reported_violations: vec![reported],
        ..Report::default()
    };
    assert!(report.is_counted(&counted));
    assert!(!report.is_counted(&not_counted));
    let text = report.to_string();
    assert!(text.contains("request 25f1-e6 at 0 us: no answer in time (counted by a gateway)"), "{text}");
    assert!(text.contains("request 25f1-e at 0 us: no answer in time (counted by no gateway)"), "{text}");
}

/// Guards against gateways that wait for a processor without being reported: a runnable process without a processor has to appear
/// under its name until it has exited.
#[test]
fn a_process_without_a_processor_is_reported_as_waiting() {
    let mut busy_processes: Vec<_> = (0..BUSY_PROCESSES).map(|_| busy_process()).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let lateness = runtime.expect("the runtime is built").block_on(async {
        let watch = LatenessMonitor::start();
        busy_processes.iter().for_each(|process| watch.watch_gateway(GATEWAY, process.id()));
        tokio::time::sleep(BUSY_TIME).await;
        watch.snapshot()
    });
    for process in &mut busy_processes {
        process.kill().expect("the process can be killed");
        process.wait().expect("the process can be waited for");
    }
    let waited =
        lateness.late_samples.iter().any(|sample| sample.source == LatenessSource::Gateway(GATEWAY.into()));
    assert!(waited && lateness.gateway_wait > 0, "{lateness}");
}

/// Starts a process that is busy for some seconds on the same processor as the others, and then exits.
fn busy_process() -> Child {
    let command = Command::new("taskset")
        .args(["-c", "0", "sh", "-c", "n=0; while [ $n -lt 3000000 ]; do n=$((n+1)); done"])
        .spawn();
    command.expect("taskset is installed")
}
