//! Decode servers that accept the bytes of a request and do not respond: the state that is leased for the request still has to be
//! claimed or released in time. This is the incident of docs/incidents/2026-12-held-states-at-silent-writers.md.

mod common;

use std::time::Duration;

use common::*;
use glenrail_fault_tests::client::ClientRequest;
use glenrail_fault_tests::clock;
use glenrail_fault_tests::deployment::{Deployment, DeploymentSpec};
use glenrail_fault_tests::invariants::{attempts_delivered, check_invariants, Invariant};
use glenrail_fault_tests::network::{Condition, Link};
use glenrail_fault_tests::record::Stage;
use rustix::process::Signal;
use tokio::time::sleep;

const PREFILL_SERVER: usize = 0;

/// Sends one request of each class concurrently, and returns the violations of invariants some time later.
async fn violations_after_one_request_per_class(deployment: &Deployment) -> Vec<String> {
    let requests = CLASSES.map(|(class, repeatable)| ClientRequest::new(class, class, DEADLINE, repeatable));
    let responses = futures_util::future::join_all(requests.map(|request| deployment.send(0, request)));
    tokio::select! {
        _ = async { responses.await; sleep(CHECK_DELAY).await } => {}
        () = sleep(CHECK_DELAY) => {}
    }
    violations(deployment)
}

/// Guards against the incident: the connections to both decode servers are open, accept bytes and carry no response.
#[test]
fn leases_end_in_time_while_all_links_to_decode_servers_are_blackholed() {
    block_on(async {
        let deployment = warmed_up(DeploymentSpec::new(1, 1, 2)).await;
        for server in DECODE_SERVERS {
            deployment.links_to(server).for_each(|link| link.set(Condition::Blackholed));
        }
        assert_eq!(violations_after_one_request_per_class(&deployment).await, [""; 0]);
    });
}

/// Guards against the same where the gateway may not probe engines.
#[test]
fn leases_end_in_time_where_probes_are_off() {
    block_on(async {
        let mut spec = DeploymentSpec::new(1, 1, 2);
        spec.probes = false;
        let deployment = warmed_up(spec).await;
        for server in DECODE_SERVERS {
            deployment.links_to(server).for_each(|link| link.set(Condition::Blackholed));
        }
        assert_eq!(violations_after_one_request_per_class(&deployment).await, [""; 0]);
    });
}

/// Guards against the same where the decode servers' processes are paused, and the kernel accepts the bytes for them.
#[test]
fn leases_end_in_time_while_all_decode_servers_are_paused() {
    block_on(async {
        let deployment = warmed_up(DeploymentSpec::new(1, 1, 2)).await;
        for server in DECODE_SERVERS {
            deployment.engines[server].process.signal(Signal::STOP);
        }
        assert_eq!(violations_after_one_request_per_class(&deployment).await, [""; 0]);
    });
}

/// Guards against requests of either class that fail because one of the decode servers does not respond.
#[test]
fn requests_are_answered_by_the_healthy_decode_server() {
    block_on(async {
        let deployment = warmed_up(DeploymentSpec::new(1, 1, 2)).await;
        deployment.links_to(DECODE_SERVERS[0]).for_each(|link| link.set(Condition::Blackholed));
        for n in 0..6 {
            let (class, repeatable) = CLASSES[n % 2];
            let status = deployment
                .send(0, ClientRequest::new(format!("{class}{n}"), class, DEADLINE, repeatable))
                .await;
            assert_eq!(status, Some(200), "{class}{n}: {:?}", deployment.log_lines(""));
        }
        assert_eq!(violations(&deployment), [""; 0]);
    });
}

/// Guards against slow decode servers being treated as unresponsive: a request whose first token takes 1.5 s gets one prefill and
/// one decode attempt.
#[test]
fn a_slow_decode_server_keeps_its_requests() {
    block_on(async {
        let deployment = warmed_up(DeploymentSpec::new(1, 1, 2).with_decode_time(1_500, 1_500)).await;
        for (class, repeatable) in CLASSES {
            assert_eq!(
                deployment.send(0, ClientRequest::new(class, class, DEADLINE, repeatable)).await,
                Some(200)
            );
            let records = deployment.records.all();
            assert_eq!(attempts_delivered(&records, class, Stage::Prefill), 1, "{class}");
            assert_eq!(attempts_delivered(&records, class, Stage::Decode), 1, "{class}");
        }
        assert_eq!(violations(&deployment), [""; 0]);
    });
}

/// Guards against leaked states and an outage where decode servers are healthy and all open connections to them are stalled: no
/// state remains, and requests are answered as soon as new connections are used.
#[test]
fn stalled_connections_leave_no_state_and_no_outage() {
    block_on(async {
        let deployment = warmed_up(DeploymentSpec::new(1, 1, 2)).await;
        for server in DECODE_SERVERS {
            deployment.links_to(server).for_each(Link::stall_open_connections);
        }
        assert_eq!(violations_after_one_request_per_class(&deployment).await, [""; 0]);
        for (class, repeatable) in CLASSES {
            let request = ClientRequest::new(format!("{class}-later"), class, DEADLINE, repeatable);
            assert_eq!(
                deployment.send(0, request).await,
                Some(200),
                "{class}: {:?}",
                deployment.log_lines("")
            );
        }
        assert_eq!(violations(&deployment), [""; 0]);
    });
}

/// Guards against the same where the gateway may not probe engines: the servers are healthy and respond on new connections.
#[test]
fn stalled_connections_leave_no_state_where_probes_are_off() {
    block_on(async {
        let mut spec = DeploymentSpec::new(1, 1, 2);
        spec.probes = false;
        let deployment = warmed_up(spec).await;
        for server in DECODE_SERVERS {
            deployment.links_to(server).for_each(Link::stall_open_connections);
        }
        assert_eq!(violations_after_one_request_per_class(&deployment).await, [""; 0]);
    });
}

/// Guards against leaked states of the first requests of a process where the gateway may not probe engines: connections to the
/// decode servers are established and carry nothing.
#[test]
fn first_requests_leave_no_state_at_blackholed_links_where_probes_are_off() {
    block_on(async {
        let mut spec = DeploymentSpec::new(1, 1, 2);
        spec.probes = false;
        let deployment = Deployment::start(spec, fault_tests_program(), &gateway_program())
            .await
            .expect("the deployment starts");
        for server in DECODE_SERVERS {
            deployment.links_to(server).for_each(|link| link.set(Condition::Blackholed));
        }
        assert_eq!(violations_after_one_request_per_class(&deployment).await, [""; 0]);
    });
}

/// Guards against slow decode servers being treated as unresponsive by the check that replaces the probe: a request whose first
/// token takes 1.5 s gets one prefill and one decode attempt.
#[test]
fn a_slow_decode_server_keeps_its_requests_where_probes_are_off() {
    block_on(async {
        let mut spec = DeploymentSpec::new(1, 1, 2).with_decode_time(1_500, 1_500);
        spec.probes = false;
        let deployment = warmed_up(spec).await;
        for (class, repeatable) in CLASSES {
            let request = ClientRequest::new(class, class, DEADLINE, repeatable);
            assert_eq!(deployment.send(0, request).await, Some(200));
            let records = deployment.records.all();
            assert_eq!(attempts_delivered(&records, class, Stage::Prefill), 1, "{class}");
            assert_eq!(attempts_delivered(&records, class, Stage::Decode), 1, "{class}");
        }
        assert_eq!(violations(&deployment), [""; 0]);
    });
}

/// Guards against a leaked state of a prefill that is cancelled on a blackholed link: its server does not receive the close,
/// completes the prefill, and leases the state after the release.
#[test]
fn a_prefill_cancelled_on_a_blackholed_link_leaves_no_state() {
    block_on(async {
        let mut spec = DeploymentSpec::new(1, 1, 2);
        spec.engines[PREFILL_SERVER].service_time_ms = (400, 400);
        let deployment = warmed_up(spec).await;
        for (class, repeatable) in CLASSES {
            let mut request = ClientRequest::new(class, class, DEADLINE, repeatable);
            request.disconnects_after = Some(Duration::from_millis(200));
            let blackhole = async {
                sleep(Duration::from_millis(100)).await;
                deployment.links_to(PREFILL_SERVER).for_each(|link| link.set(Condition::Blackholed));
            };
            tokio::join!(deployment.send(0, request), blackhole);
            sleep(CHECK_DELAY).await;
            deployment.links_to(PREFILL_SERVER).for_each(|link| link.set(Condition::Open));
            let records = deployment.records.all();
            assert_eq!(
                attempts_delivered(&records, class, Stage::Prefill),
                1,
                "{class}: the prefill had arrived"
            );
        }
        assert_eq!(violations(&deployment), [""; 0]);
    });
}

/// Guards against taking a response on another connection as proof that a close was received. The server receives a prefill late
/// and never its close, while it responds on new connections. The prefill ends after that, and its state is released in time.
#[test]
fn a_prefill_that_ends_after_its_server_answered_elsewhere_leaves_no_state() {
    block_on(async {
        for (class, repeatable) in CLASSES {
            let mut spec = DeploymentSpec::new(1, 1, 2);
            spec.engines[PREFILL_SERVER].service_time_ms = (400, 400);
            let deployment = warmed_up(spec).await;
            let mut request = ClientRequest::new(class, class, DEADLINE, repeatable);
            request.disconnects_after = Some(Duration::from_millis(200));
            deployment.engines[PREFILL_SERVER].process.signal(Signal::STOP);
            let stall = async {
                sleep(Duration::from_millis(100)).await;
                deployment.links_to(PREFILL_SERVER).for_each(Link::stall_open_connections);
            };
            tokio::join!(deployment.send(0, request), stall);
            sleep(Duration::from_millis(200)).await;
            deployment.engines[PREFILL_SERVER].process.signal(Signal::CONT);
            sleep(Duration::from_millis(400) + CHECK_DELAY).await;
            let records = deployment.records.all();
            assert_eq!(
                attempts_delivered(&records, class, Stage::Prefill),
                1,
                "{class}: the prefill had arrived"
            );
            assert_eq!(violations(&deployment), [""; 0]);
        }
    });
}

/// Guards the check itself: it finds a state that is neither claimed nor released.
#[test]
fn the_invariant_check_finds_a_state_that_is_never_released() {
    block_on(async {
        let deployment = warmed_up(DeploymentSpec::new(1, 1, 2)).await;
        let leased = glenrail_fault_tests::record::Event::StateLeased { request: "left".into() };
        deployment.records.add(&deployment.engines[PREFILL_SERVER].spec.name, leased);
        sleep(CHECK_DELAY).await;
        let violations =
            check_invariants(&deployment.records.all(), deployment.spec.lease_limit, clock::now());
        let found: Vec<_> = violations.iter().map(|v| (v.invariant, v.request.as_str())).collect();
        assert_eq!(found, [(Invariant::LeaseEndsInTime, "left")]);
    });
}
