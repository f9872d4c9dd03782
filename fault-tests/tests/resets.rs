//! Resets of connections while a prefill is in progress at a server that is paused through the reset and continues afterwards.
//! This is the incident of docs/incidents/2026-12-resets-taken-for-an-end.md.

mod common;

use std::time::Duration;

use common::{block_on, started};
use glenrail_fault_tests::client::{send_request, ClientRequest};
use glenrail_fault_tests::clock;
use glenrail_fault_tests::deployment::{Deployment, DeploymentSpec};
use glenrail_fault_tests::invariants::{attempts_delivered, check_invariants};
use glenrail_fault_tests::network::Link;
use glenrail_fault_tests::record::{Event, Record, Stage};
use rustix::process::Signal;
use tokio::time::sleep;

/// Number of requests after which each server has open connections.
const WARM_UP_REQUESTS: usize = 4;
const DEADLINE: Duration = Duration::from_secs(9);
/// Time of the prefill during which the connection is reset.
const PREFILL_TIME_MS: u64 = 400;
/// Delay before the invariants are checked. It exceeds the time within which leases have to end: 500 ms plus 350 ms.
const CHECK_DELAY: Duration = Duration::from_millis(1_500);
/// Class whose requests may not be repeated.
const AT_MOST_ONCE: (&str, bool) = ("order-chat", false);
/// Time within which a change of the endpoint list reaches the gateway.
const LIST_PROPAGATION_TIME: Duration = Duration::from_millis(150);
/// Time for which the server stays paused after the reset. It exceeds the time that the router waits for a server before it
/// rejects a request.
const SERVER_PAUSE: Duration = Duration::from_millis(4_000);

/// What an engine does with a prefill whose connection has ended.
#[derive(Clone, Copy, PartialEq)]
enum CancelledPrefills {
    Dropped,
    Finished,
}

/// Returns a deployment of one gateway, this many prefill servers and two decode servers, with open connections.
async fn warmed_up(
    prefill_servers: usize, probes: bool, cancelled_prefills: CancelledPrefills,
) -> Deployment {
    let mut spec = DeploymentSpec::new(1, prefill_servers, 2);
    spec.probes = probes;
    for engine in &mut spec.engines[..prefill_servers] {
        engine.service_time_ms = (PREFILL_TIME_MS, PREFILL_TIME_MS);
        engine.finishes_prefills = cancelled_prefills == CancelledPrefills::Finished;
    }
    let deployment = started(spec).await;
    // The requests are sent one after the other, because concurrent ones would be rejected as too slow.
    for n in 0..WARM_UP_REQUESTS {
        let request = ClientRequest::new(format!("warm{n}"), "item-query", DEADLINE, true);
        assert_eq!(deployment.send(0, request).await, Some(200), "{:?}", deployment.log_lines(""));
    }
    deployment
}

fn violations(deployment: &Deployment) -> Vec<String> {
    let violations = check_invariants(&deployment.records.all(), deployment.spec.lease_limit, clock::now());
    violations.iter().map(ToString::to_string).collect()
}

/// Waits for the first prefill of a request to arrive at an engine, and returns the index of the engine.
async fn prefill_server_of(deployment: &Deployment, request: &str) -> usize {
    loop {
        let records = deployment.records.all();
        let delivered = records.iter().find(|record| {
            let is_prefill = matches!(record.event, Event::Delivered { stage: Stage::Prefill, .. });
            is_prefill && record.event.request() == request
        });
        if let Some(delivered) = delivered {
            let engines = deployment.engines.iter();
            return engines
                .map(|engine| &engine.spec.name)
                .position(|name| *name == delivered.source)
                .expect("an engine of the deployment recorded the event");
        }
        sleep(Duration::from_millis(1)).await;
    }
}

/// Sends a request, and once its prefill has arrived pauses and drains the server, resets the connections to it, and continues
/// it later. Returns the status that the client received.
async fn reset_during_pause(deployment: &mut Deployment, request: ClientRequest) -> Option<u16> {
    let request_id = request.id.clone();
    let (gateway, records) = (deployment.gateways[0].address, deployment.records.clone());
    let name = deployment.gateways[0].name.clone();
    let sent = tokio::spawn(async move { send_request(&name, gateway, request, &records).await });
    let server = prefill_server_of(deployment, &request_id).await;
    deployment.engines[server].process.signal(Signal::STOP);
    // No other server remains for another attempt, so the router rejects the request.
    deployment.engines[server].draining = true;
    deployment.publish();
    sleep(LIST_PROPAGATION_TIME).await;
    deployment.links_to(server).for_each(Link::reset);
    sleep(SERVER_PAUSE).await;
    deployment.engines[server].process.signal(Signal::CONT);
    let status = sent.await.expect("the client task does not panic");
    sleep(CHECK_DELAY).await;
    status
}

/// Guards against a 503 for a request that may still be executed (soak seed 9724). A server that is paused through a reset
/// continues its prefill afterwards, so a non-repeatable request must not be declared safe to send again, and no state may
/// remain.
async fn assert_not_rejected_while_the_server_is_paused(probes: bool) {
    let (class, repeatable) = AT_MOST_ONCE;
    let mut deployment = warmed_up(1, probes, CancelledPrefills::Finished).await;
    let client_request = ClientRequest::new(class, class, DEADLINE, repeatable);
    let status = reset_during_pause(&mut deployment, client_request).await;
    let log = deployment.log_lines(class);
    let records = deployment.records.all();
    let leased =
        |record: &Record| matches!(&record.event, Event::StateLeased { request } if request == class);
    assert!(records.iter().any(leased), "the server continued the prefill: {log:?}");
    assert_eq!(violations(&deployment), [""; 0], "{log:?}");
    assert_eq!(status, Some(502), "{log:?}");
}

#[test]
fn a_request_is_not_rejected_while_its_server_is_paused_through_a_reset() {
    block_on(assert_not_rejected_while_the_server_is_paused(true));
}

#[test]
fn a_request_is_not_rejected_while_its_server_is_paused_without_probes() {
    block_on(assert_not_rejected_while_the_server_is_paused(false));
}

/// Guards against a reset at a healthy server that fails the request or costs more than one additional prefill attempt.
#[test]
fn a_reset_of_a_healthy_server_costs_one_more_attempt() {
    block_on(async {
        let (class, repeatable) = AT_MOST_ONCE;
        let deployment = warmed_up(2, true, CancelledPrefills::Dropped).await;
        let request = ClientRequest::new(class, class, DEADLINE, repeatable);
        let reset_links = async {
            let server = prefill_server_of(&deployment, class).await;
            deployment.links_to(server).for_each(Link::reset);
        };
        let (status, ()) = tokio::join!(deployment.send(0, request), reset_links);
        assert_eq!(status, Some(200), "{:?}", deployment.log_lines(class));
        assert_eq!(attempts_delivered(&deployment.records.all(), class, Stage::Prefill), 2);
        sleep(CHECK_DELAY).await;
        assert_eq!(violations(&deployment), [""; 0]);
    });
}

/// Guards against the same for a server whose process is killed, which the gateway learns from refused connections.
#[test]
fn a_request_is_retried_elsewhere_when_its_prefill_server_is_killed() {
    block_on(async {
        let (class, repeatable) = AT_MOST_ONCE;
        let mut deployment = warmed_up(2, true, CancelledPrefills::Dropped).await;
        let request = ClientRequest::new(class, class, DEADLINE, repeatable);
        let (gateway, records) = (deployment.gateways[0].address, deployment.records.clone());
        let name = deployment.gateways[0].name.clone();
        let sent = tokio::spawn(async move { send_request(&name, gateway, request, &records).await });
        let server = prefill_server_of(&deployment, class).await;
        deployment.kill_engine(server).await.expect("the engine is killed");
        assert_eq!(
            sent.await.expect("the client task does not panic"),
            Some(200),
            "{:?}",
            deployment.log_lines(class)
        );
        sleep(CHECK_DELAY).await;
        assert_eq!(violations(&deployment), [""; 0]);
    });
}
