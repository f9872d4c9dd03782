//! Writers that take a request's bytes and say nothing more, before the built gateway: what is held for a request is taken or
//! let go in time all the same. This is the incident of docs/incidents/2026-12-held-states-at-silent-writers.md.

use std::path::{Path, PathBuf};
use std::time::Duration;

use glenrail_fault_tests::client::Ask;
use glenrail_fault_tests::clock;
use glenrail_fault_tests::deployment::{Deployment, Spec};
use glenrail_fault_tests::judge::{judge, taken, Invariant};
use glenrail_fault_tests::network::Condition;
use glenrail_fault_tests::record::Stage;
use rustix::process::Signal;
use tokio::time::sleep;

const READER: usize = 0;
const WRITERS: [usize; 2] = [1, 2];
/// Enough requests that each writer has connections that stand.
const WARM_UP: usize = 8;
/// What is held has been let go by then, or it is late: 500 ms, and 350 ms more.
const JUDGED_AFTER: Duration = Duration::from_millis(1_500);
const DEADLINE: Duration = Duration::from_secs(9);
const CLASSES: [(&str, bool); 2] = [("item-query", true), ("order-chat", false)];

fn trials() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_glenrail-fault-tests"))
}

/// The gateway lies beside this crate's program; a test of the whole workspace builds both.
fn gateway() -> PathBuf {
    let path = trials().with_file_name("glenrail");
    assert!(
        path.exists(),
        "{} is not built: run the tests of the workspace, or cargo build -p glenrail",
        path.display()
    );
    path
}

fn run<F: std::future::Future>(trial: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime").block_on(trial)
}

/// One gateway, one reader and two writers, with connections that stand.
async fn warm(spec: Spec) -> Deployment {
    let deployment = Deployment::start(spec, trials(), &gateway()).await.expect("it starts");
    let warm_up =
        (0..WARM_UP).map(|n| deployment.ask(0, Ask::new(format!("warm{n}"), "item-query", DEADLINE, true)));
    let answers = futures_util::future::join_all(warm_up).await;
    assert_eq!(answers, vec![Some(200); WARM_UP], "{:?}", deployment.log_lines(""));
    deployment
}

/// Sends one request of each class at once, and gives what the invariants say some time later.
async fn broken_by_one_of_each_class(deployment: &Deployment) -> Vec<String> {
    let asks = CLASSES.map(|(class, repeatable)| Ask::new(class, class, DEADLINE, repeatable));
    let asked = futures_util::future::join_all(asks.map(|ask| deployment.ask(0, ask)));
    tokio::select! {
        _ = async { asked.await; sleep(JUDGED_AFTER).await } => {}
        () = sleep(JUDGED_AFTER) => {}
    }
    broken(deployment)
}

fn broken(deployment: &Deployment) -> Vec<String> {
    let violations = judge(&deployment.records.all(), deployment.spec.pin_limit, clock::now());
    violations.iter().map(ToString::to_string).collect()
}

/// Guards the incident's rule: connections to both writers stand, take bytes and are silent.
#[test]
fn states_are_let_go_while_the_ways_to_all_writers_are_silent() {
    run(async {
        let deployment = warm(Spec::new(1, 1, 2)).await;
        for writer in WRITERS {
            deployment.links_to(writer).for_each(|link| link.set(Condition::Silent));
        }
        assert_eq!(broken_by_one_of_each_class(&deployment).await, [""; 0]);
    });
}

/// Guards the same where the deployment lets no engine be probed.
#[test]
fn states_are_let_go_where_no_engine_may_be_probed() {
    run(async {
        let mut spec = Spec::new(1, 1, 2);
        spec.probes = false;
        let deployment = warm(spec).await;
        for writer in WRITERS {
            deployment.links_to(writer).for_each(|link| link.set(Condition::Silent));
        }
        assert_eq!(broken_by_one_of_each_class(&deployment).await, [""; 0]);
    });
}

/// Guards the same where the writers' processes stand still: the machine takes the bytes for them.
#[test]
fn states_are_let_go_while_all_writers_stand_still() {
    run(async {
        let deployment = warm(Spec::new(1, 1, 2)).await;
        for writer in WRITERS {
            deployment.engines[writer].process.signal(Signal::STOP);
        }
        assert_eq!(broken_by_one_of_each_class(&deployment).await, [""; 0]);
    });
}

/// Guards the requests themselves: one silent writer costs none of them its answer, of either class.
#[test]
fn requests_are_answered_by_the_writer_that_is_well() {
    run(async {
        let deployment = warm(Spec::new(1, 1, 2)).await;
        deployment.links_to(WRITERS[0]).for_each(|link| link.set(Condition::Silent));
        for n in 0..6 {
            let (class, repeatable) = CLASSES[n % 2];
            let answer =
                deployment.ask(0, Ask::new(format!("{class}{n}"), class, DEADLINE, repeatable)).await;
            assert_eq!(answer, Some(200), "{class}{n}: {:?}", deployment.log_lines(""));
        }
        assert_eq!(broken(&deployment), [""; 0]);
    });
}

/// Guards against a mend that takes slow writers for silent ones: what takes 1.5 s to its first token is read once and written
/// once.
#[test]
fn a_writer_that_is_only_slow_keeps_its_requests() {
    run(async {
        let deployment = warm(Spec::new(1, 1, 2).writers_take(1_500, 1_500)).await;
        for (class, repeatable) in CLASSES {
            assert_eq!(deployment.ask(0, Ask::new(class, class, DEADLINE, repeatable)).await, Some(200));
            let records = deployment.records.all();
            assert_eq!(taken(&records, class, Stage::Read), 1, "{class}");
            assert_eq!(taken(&records, class, Stage::Write), 1, "{class}");
        }
        assert_eq!(broken(&deployment), [""; 0]);
    });
}

/// Guards requests whose writers are well, and of whose connections none is: they stand and are silent. No state is left, and
/// requests are answered again as soon as new connections are used.
#[test]
fn connections_that_fall_silent_leave_no_state_and_no_outage() {
    run(async {
        let deployment = warm(Spec::new(1, 1, 2)).await;
        for writer in WRITERS {
            deployment.links_to(writer).for_each(|link| link.silence_open_connections());
        }
        assert_eq!(broken_by_one_of_each_class(&deployment).await, [""; 0]);
        for (class, repeatable) in CLASSES {
            let ask = Ask::new(format!("{class}-later"), class, DEADLINE, repeatable);
            assert_eq!(deployment.ask(0, ask).await, Some(200), "{class}: {:?}", deployment.log_lines(""));
        }
        assert_eq!(broken(&deployment), [""; 0]);
    });
}

/// Guards what a read may leave that was given up on a way that had fallen silent: its server does not see the close, reads on
/// to the end and holds the state, after the release.
#[test]
fn a_read_given_up_on_a_silent_way_leaves_no_state() {
    run(async {
        let mut spec = Spec::new(1, 1, 2);
        spec.engines[READER].time = (400, 400);
        let deployment = warm(spec).await;
        for (class, repeatable) in CLASSES {
            let mut ask = Ask::new(class, class, DEADLINE, repeatable);
            ask.leaves_after = Some(Duration::from_millis(200));
            let silence = async {
                sleep(Duration::from_millis(100)).await;
                deployment.links_to(READER).for_each(|link| link.set(Condition::Silent));
            };
            tokio::join!(deployment.ask(0, ask), silence);
            sleep(JUDGED_AFTER).await;
            deployment.links_to(READER).for_each(|link| link.set(Condition::Open));
            let records = deployment.records.all();
            assert_eq!(taken(&records, class, Stage::Read), 1, "{class}: the read had arrived");
        }
        assert_eq!(broken(&deployment), [""; 0]);
    });
}

/// Guards the judge: it finds a state that nobody takes and nobody lets go.
#[test]
fn the_judge_finds_a_state_that_is_left() {
    run(async {
        let deployment = warm(Spec::new(1, 1, 2)).await;
        let kept = glenrail_fault_tests::record::Event::Held { request: "left".into() };
        deployment.records.add(&deployment.engines[READER].spec.name, kept);
        sleep(JUDGED_AFTER).await;
        let violations = judge(&deployment.records.all(), deployment.spec.pin_limit, clock::now());
        let found: Vec<_> = violations.iter().map(|v| (v.invariant, v.request.as_str())).collect();
        assert_eq!(found, [(Invariant::HeldInTime, "left")]);
    });
}
