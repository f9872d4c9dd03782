//! Behavior of the links between gateways and engines as a gateway observes it.

mod common;

use std::io::ErrorKind;
use std::time::Duration;

use common::{block_on, started};
use glenrail_fault_tests::deployment::DeploymentSpec;
use glenrail_fault_tests::network::Condition;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const PREFILL_SERVER: usize = 0;
/// Time within which a refused or reset connection is detected on loopback.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(2);

/// Guards against links that close connections in order instead of resetting them, which would prove that the engine has closed
/// the connection.
#[test]
fn a_link_reset_resets_its_connections() {
    block_on(async {
        let deployment = started(DeploymentSpec::new(1, 1, 1)).await;
        let link = &deployment.links[&(0, PREFILL_SERVER)];
        let mut connection = TcpStream::connect(link.address).await.expect("the link accepts");
        let health_check = b"GET /health HTTP/1.1\r\nhost: api.internal\r\n\r\n";
        connection.write_all(health_check).await.expect("the request is written");
        let received = connection.read(&mut [0; 256]).await.expect("the engine responds");
        assert!(received > 0, "the response is forwarded");
        link.reset();
        let ended = timeout(DETECTION_TIMEOUT, connection.read(&mut [0; 256]))
            .await
            .expect("the outcome shows in time");
        assert_eq!(ended.map_err(|error| error.kind()), Err(ErrorKind::ConnectionReset));
    });
}

/// Guards against links that behave unlike a machine: the address of a terminated process refuses connections and accepts them
/// again after a restart, while a blackholed link refuses none.
#[test]
fn a_link_refuses_connections_while_its_engine_is_down() {
    block_on(async {
        let spec = DeploymentSpec::new(1, 1, 1);
        let mut deployment = started(spec).await;
        let address = deployment.links[&(0, PREFILL_SERVER)].address;
        let connect = || timeout(DETECTION_TIMEOUT, TcpStream::connect(address));
        connect().await.expect("the outcome shows in time").expect("the link accepts");
        for _ in 0..2 {
            deployment.kill_engine(PREFILL_SERVER).await.expect("the engine is killed");
            let refused = connect().await.expect("the outcome shows in time").expect_err("the link refuses");
            assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
            deployment.links_to(PREFILL_SERVER).for_each(|link| link.set(Condition::Blackholed));
            connect().await.expect("the outcome shows in time").expect("a blackholed link accepts");
            deployment.links_to(PREFILL_SERVER).for_each(|link| link.set(Condition::Open));
            let refused = connect().await.expect("the outcome shows in time").expect_err("the link refuses");
            assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
            deployment.restart_engine(PREFILL_SERVER).await.expect("the engine starts");
            let reopened = async {
                while connect().await.is_ok_and(|connected| connected.is_err()) {
                    sleep(Duration::from_millis(5)).await;
                }
            };
            timeout(DETECTION_TIMEOUT, reopened).await.expect("the link accepts again");
        }
    });
}
