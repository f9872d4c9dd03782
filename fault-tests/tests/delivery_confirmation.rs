//! Decode attempts whose connections stall around the write, while newer connections to the same server work: a response on a
//! newer connection does not confirm that the attempt was delivered. This is the incident of
//! docs/incidents/2026-12-answers-elsewhere-for-delivery.md.

mod common;

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use common::*;
use futures_util::future::join_all;
use glenrail_fault_tests::client::ClientRequest;
use glenrail_fault_tests::deployment::{Deployment, DeploymentSpec};
use glenrail_fault_tests::record::{Event, Record, Stage};
use tokio::time::timeout;

/// Delays between the write of an attempt and the stall of the open connections; at 0 they stall before the attempt is forwarded.
const STALL_DELAYS_MS: [u64; 5] = [0, 1, 5, 20, 60];
const LINK_DELAY: Duration = Duration::from_millis(20);
/// Time until the first token, which exceeds the time that the gateway waits for the confirmation of a delivery.
const DECODE_TIME_MS: u64 = 300;
/// Number of rounds of concurrent requests after which as many connections to a decode server are open as a round has requests.
const WARM_UP_ROUNDS: usize = 3;
/// Number of deployments that run concurrently.
const CONCURRENT_DEPLOYMENTS: usize = 2;

/// Held while a group of deployments runs.
static RUNNING: Mutex<()> = Mutex::new(());

/// Connections to the decode servers that are open when the attempt is written.
#[derive(Clone, Copy, Debug, PartialEq)]
enum InitialConnections {
    /// Those that the warm-up has opened to two servers.
    Several,
    /// This many, to one server.
    Exactly(usize),
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    initial_connections: InitialConnections,
    probes: bool,
    delay: Duration,
    stall_delay: Duration,
}

impl Scenario {
    async fn deployment(&self) -> Deployment {
        let decode_servers = if self.initial_connections == InitialConnections::Several { 2 } else { 1 };
        let mut spec =
            DeploymentSpec::new(1, 1, decode_servers).with_decode_time(DECODE_TIME_MS, DECODE_TIME_MS);
        spec.probes = self.probes;
        match self.initial_connections {
            InitialConnections::Several => warmed_up(spec).await,
            InitialConnections::Exactly(connections) => {
                let deployment = started(spec).await;
                for round in 0..WARM_UP_ROUNDS {
                    let requests = (0..connections).map(|n| {
                        let name = format!("warm{round}-{n}");
                        deployment.send(0, ClientRequest::new(name, "item-query", DEADLINE, true))
                    });
                    join_all(requests).await;
                }
                deployment
            }
        }
    }

    /// Runs the scenario for one class, and returns the violations and a line that describes the run.
    async fn run(self, class: &str, repeatable: bool) -> (Vec<String>, String) {
        let deployment = self.deployment().await;
        let decode_links = || (1..deployment.engines.len()).flat_map(|server| deployment.links_to(server));
        for link in decode_links() {
            link.set_delay(self.delay);
            link.stall_after_next_attempt(Some(self.stall_delay));
        }
        let began = Instant::now();
        let request = ClientRequest::new(class, class, DEADLINE, repeatable);
        let status = timeout(CHECK_DELAY, deployment.send(0, request)).await;
        let elapsed = began.elapsed();
        tokio::time::sleep(CHECK_DELAY.saturating_sub(elapsed)).await;
        let unclaimed_ms = longest_unclaimed_ms(&deployment.records.all(), class);
        let line = format!(
            "{self:?} {class}: unclaimed for {unclaimed_ms} ms, client status {status:?} after {} ms",
            elapsed.as_millis()
        );
        // The warm-up requests only open connections, so their violations are ignored.
        let violations = violations(&deployment).into_iter().filter(|text| text.contains(class));
        (violations.collect(), line)
    }
}

/// Returns the longest time (ms) for which a state of the request was leased without a delivered decode attempt.
fn longest_unclaimed_ms(records: &[Record], request: &str) -> u64 {
    let (mut longest, mut since) = (0, None);
    for record in records.iter().filter(|record| record.event.request() == request) {
        match record.event {
            Event::StateLeased { .. } => since = Some(record.at),
            Event::Delivered { stage: Stage::Decode, .. }
            | Event::StateClaimed { .. }
            | Event::Released { .. }
            | Event::StateLost { .. } => {
                longest = longest.max(since.take().map_or(0, |since| record.at - since));
            }
            _ => {}
        }
    }
    let at_end = since.map_or(0, |since| glenrail_fault_tests::clock::now() - since);
    longest.max(at_end) / 1_000
}

/// Runs the scenario with each stall delay for both classes, and asserts that no invariant is broken.
fn assert_no_state_remains(
    initial_connections: InitialConnections, probes: bool, delay: Duration, stall_delays_ms: &[u64],
) {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    block_on(async {
        let mut all_violations = Vec::new();
        for (class, repeatable) in CLASSES {
            for stall_delays_ms in stall_delays_ms.chunks(CONCURRENT_DEPLOYMENTS) {
                let runs = stall_delays_ms.iter().map(|after| {
                    let stall_delay = Duration::from_millis(*after);
                    Scenario { initial_connections, probes, delay, stall_delay }.run(class, repeatable)
                });
                for (violations, line) in join_all(runs).await {
                    println!("{line}");
                    all_violations.extend(violations);
                }
            }
        }
        assert_eq!(all_violations, [""; 0]);
    });
}

/// Guards against the violations of soak seeds 9664, 9684, 9565 and 9713: two connections are open, and both stall.
#[test]
fn a_response_on_a_newer_connection_does_not_confirm_delivery() {
    assert_no_state_remains(InitialConnections::Exactly(2), true, Duration::ZERO, &STALL_DELAYS_MS);
}

/// Guards against the same on a slow link.
#[test]
fn a_response_on_a_newer_connection_does_not_confirm_delivery_on_a_slow_link() {
    assert_no_state_remains(InitialConnections::Exactly(2), true, LINK_DELAY, &STALL_DELAYS_MS);
}

/// Guards against the same where the gateway may not probe servers.
#[test]
fn a_response_on_a_newer_connection_does_not_confirm_delivery_without_probes() {
    assert_no_state_remains(InitialConnections::Exactly(2), false, Duration::ZERO, &STALL_DELAYS_MS);
}

/// Guards against the same where the gateway may not probe servers and the link is slow.
#[test]
fn a_response_on_a_newer_connection_does_not_confirm_delivery_without_probes_on_a_slow_link() {
    assert_no_state_remains(InitialConnections::Exactly(2), false, LINK_DELAY, &STALL_DELAYS_MS);
}

/// Guards against the same with several open connections to each of two servers.
#[test]
fn a_response_after_several_connections_stalled_does_not_confirm_delivery() {
    assert_no_state_remains(InitialConnections::Several, true, Duration::ZERO, &STALL_DELAYS_MS);
}

/// Guards against an attempt on the only open connection: a second one has to be open when the attempt is written.
#[test]
fn an_attempt_on_the_only_connection_is_written_beside_a_second_one() {
    for probes in [true, false] {
        assert_no_state_remains(InitialConnections::Exactly(1), probes, Duration::ZERO, &[0]);
    }
}

/// Guards against the same for the first attempt of a process, for which two connections have to be opened.
#[test]
fn the_first_attempt_at_a_server_opens_a_second_connection() {
    for probes in [true, false] {
        assert_no_state_remains(InitialConnections::Exactly(0), probes, Duration::ZERO, &[0]);
    }
}
