//! Helpers of the tests with real processes: paths of the binaries, a runtime, deployments with and without open connections,
//! and the check of the invariants.
#![allow(dead_code)]

use std::future::Future;
use std::path::{Path, PathBuf};
use std::time::Duration;

use glenrail_fault_tests::client::ClientRequest;
use glenrail_fault_tests::clock;
use glenrail_fault_tests::deployment::{Deployment, DeploymentSpec};
use glenrail_fault_tests::invariants::check_invariants;

pub const DECODE_SERVERS: [usize; 2] = [1, 2];
/// Number of concurrent requests after which each decode server has open connections.
pub const WARM_UP_REQUESTS: usize = 8;
/// Delay before the invariants are checked. It exceeds the time within which leases have to end: 500 ms plus 350 ms.
pub const CHECK_DELAY: Duration = Duration::from_millis(1_500);
pub const DEADLINE: Duration = Duration::from_secs(9);
/// Classes, each with whether its requests may be repeated.
pub const CLASSES: [(&str, bool); 2] = [("item-query", true), ("order-chat", false)];

pub fn fault_tests_program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_glenrail-fault-tests"))
}

/// Returns the path of the gateway's binary, which is beside this crate's. A test run of the whole workspace builds both.
pub fn gateway_program() -> PathBuf {
    let path = fault_tests_program().with_file_name("glenrail");
    assert!(
        path.exists(),
        "{} does not exist: run the tests of the whole workspace, or `cargo build -p glenrail` first",
        path.display()
    );
    path
}

pub fn block_on<F: Future>(scenario: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("a runtime").block_on(scenario)
}

/// Returns a deployment that has just started and has no open connections.
pub async fn started(spec: DeploymentSpec) -> Deployment {
    Deployment::start(spec, fault_tests_program(), &gateway_program()).await.expect("the deployment starts")
}

/// Returns a deployment with open connections.
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
