//! What tests with real processes share: the programs, a runtime, a deployment whose connections stand, and the invariants.
#![allow(dead_code)]

use std::future::Future;
use std::path::{Path, PathBuf};
use std::time::Duration;

use glenrail_fault_tests::client::ClientRequest;
use glenrail_fault_tests::clock;
use glenrail_fault_tests::deployment::{Deployment, DeploymentSpec};
use glenrail_fault_tests::invariants::check_invariants;

pub const DECODE_SERVERS: [usize; 2] = [1, 2];
/// Enough requests that each decode server has connections that stand.
pub const WARM_UP_REQUESTS: usize = 8;
/// What is leased has been released by then, or it is late: 500 ms, and 350 ms more.
pub const CHECK_DELAY: Duration = Duration::from_millis(1_500);
pub const DEADLINE: Duration = Duration::from_secs(9);
/// Classes, and whether their requests may be repeated.
pub const CLASSES: [(&str, bool); 2] = [("item-query", true), ("order-chat", false)];

pub fn fault_tests_program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_glenrail-fault-tests"))
}

/// The gateway lies beside this crate's program; a test of the whole workspace builds both.
pub fn gateway_program() -> PathBuf {
    let path = fault_tests_program().with_file_name("glenrail");
    assert!(
        path.exists(),
        "{} is not built: run the tests of the workspace, or cargo build -p glenrail",
        path.display()
    );
    path
}

pub fn block_on<F: Future>(scenario: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime").block_on(scenario)
}

/// A deployment that has just started: no connection stands.
pub async fn started(spec: DeploymentSpec) -> Deployment {
    Deployment::start(spec, fault_tests_program(), &gateway_program()).await.expect("it starts")
}

/// A deployment with connections that stand.
pub async fn warmed_up(spec: DeploymentSpec) -> Deployment {
    let deployment = started(spec).await;
    let warm_up = (0..WARM_UP_REQUESTS)
        .map(|n| deployment.send(0, ClientRequest::new(format!("warm{n}"), "item-query", DEADLINE, true)));
    let answers = futures_util::future::join_all(warm_up).await;
    assert_eq!(answers, vec![Some(200); WARM_UP_REQUESTS], "{:?}", deployment.log_lines(""));
    deployment
}

pub fn violations(deployment: &Deployment) -> Vec<String> {
    let violations = check_invariants(&deployment.records.all(), deployment.spec.lease_limit, clock::now());
    violations.iter().map(ToString::to_string).collect()
}
