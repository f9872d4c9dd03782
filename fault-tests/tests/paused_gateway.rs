//! Gateway whose process is paused for as long as the platform allows, and then processes several events in one wake-up.

use std::path::Path;
use std::time::Duration;

use glenrail_fault_tests::client::ClientRequest;
use glenrail_fault_tests::clock;
use glenrail_fault_tests::deployment::{Deployment, DeploymentSpec};
use glenrail_fault_tests::invariants::check_invariants;
use glenrail_fault_tests::network::{Condition, Link};
use rustix::process::Signal;
use tokio::time::sleep;

const UNCONNECTABLE_SERVER: usize = 0;
const DEADLINE: Duration = Duration::from_secs(9);
const REQUESTS: u64 = 12;
/// The gateway abandons a connection attempt after 250 ms. Clients disconnect before that, and it is paused during both.
const CLIENT_DISCONNECT_DELAY: Duration = Duration::from_millis(200);
const PAUSE_DELAY: Duration = Duration::from_millis(190);
const PAUSE_DURATION: Duration = Duration::from_millis(150);

/// Guards against retries for clients that have disconnected. The gateway finds the timeout of the connection attempt and the
/// disconnections in the same wake-up, when it could write the retry at once on an idle connection.
#[test]
fn a_client_that_left_during_a_pause_is_seen_before_a_retry_is_written() {
    let program = Path::new(env!("CARGO_BIN_EXE_glenrail-fault-tests"));
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    runtime.expect("the runtime is built").block_on(async {
        let spec = DeploymentSpec::new(1, 2, 2);
        let started = Deployment::start(spec, program, &program.with_file_name("glenrail")).await;
        let deployment = started.expect("the deployment starts");
        let warm_up = (0..REQUESTS).map(|n| deployment.send(0, request(&format!("warm{n}"), n)));
        futures_util::future::join_all(warm_up).await;
        // Connections become idle shortly after their responses have been read.
        sleep(Duration::from_millis(200)).await;
        for link in deployment.links_to(UNCONNECTABLE_SERVER) {
            Link::reset(link);
            link.set(Condition::Unconnectable);
        }
        sleep(Duration::from_millis(50)).await;
        let disconnecting = (0..REQUESTS).map(|n| {
            let mut request = request(&format!("leaves{n}"), n);
            request.disconnects_after = Some(CLIENT_DISCONNECT_DELAY);
            deployment.send(0, request)
        });
        let pause = async {
            sleep(PAUSE_DELAY).await;
            deployment.gateways[0].process.signal(Signal::STOP);
            sleep(PAUSE_DURATION).await;
            deployment.gateways[0].process.signal(Signal::CONT);
        };
        tokio::join!(futures_util::future::join_all(disconnecting), pause);
        sleep(Duration::from_millis(500)).await;
        let violations =
            check_invariants(&deployment.records.all(), deployment.spec.lease_limit, clock::now());
        let violations: Vec<String> = violations.iter().map(ToString::to_string).collect();
        assert_eq!(violations, [""; 0]);
    });
}

fn request(id: &str, session: u64) -> ClientRequest {
    let mut request = ClientRequest::new(id, "item-query", DEADLINE, true);
    request.session = session;
    request
}
