//! The links between gateways and engines, by what a gateway sees of them.

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
/// A refused or reset connection shows as such within this time on loopback.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(2);

/// Guards the rig against an orderly end in place of a reset, which would prove that the engine has ended the connection.
#[test]
fn a_link_reset_resets_its_connections() {
    block_on(async {
        let deployment = started(DeploymentSpec::new(1, 1, 1)).await;
        let link = &deployment.links[&(0, PREFILL_SERVER)];
        let mut connection = TcpStream::connect(link.address).await.expect("it accepts");
        let health_check = b"GET /health HTTP/1.1\r\nhost: api.internal\r\n\r\n";
        connection.write_all(health_check).await.expect("written");
        let received = connection.read(&mut [0; 256]).await.expect("an answer");
        assert!(received > 0, "it is carried");
        link.reset();
        let ended = timeout(DETECTION_TIMEOUT, connection.read(&mut [0; 256])).await.expect("in time");
        assert_eq!(ended.map_err(|error| error.kind()), Err(ErrorKind::ConnectionReset));
    });
}

/// Guards the rig against what no machine does: where a process is gone, its address refuses, and accepts again once it is back;
/// a way that is cut refuses nothing.
#[test]
fn a_link_refuses_connections_while_its_engine_is_down() {
    block_on(async {
        let spec = DeploymentSpec::new(1, 1, 1);
        let mut deployment = started(spec).await;
        let address = deployment.links[&(0, PREFILL_SERVER)].address;
        let connect = || timeout(DETECTION_TIMEOUT, TcpStream::connect(address));
        connect().await.expect("in time").expect("it accepts");
        for _ in 0..2 {
            deployment.kill_engine(PREFILL_SERVER).await.expect("it is killed");
            let refused = connect().await.expect("in time").expect_err("it refuses");
            assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
            deployment.links_to(PREFILL_SERVER).for_each(|link| link.set(Condition::Blackholed));
            connect().await.expect("in time").expect("a silent way comes up");
            deployment.links_to(PREFILL_SERVER).for_each(|link| link.set(Condition::Open));
            let refused = connect().await.expect("in time").expect_err("it refuses");
            assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
            deployment.restart_engine(PREFILL_SERVER).await.expect("it starts");
            let reopened = async {
                while connect().await.is_ok_and(|connected| connected.is_err()) {
                    sleep(Duration::from_millis(5)).await;
                }
            };
            timeout(DETECTION_TIMEOUT, reopened).await.expect("it accepts again");
        }
    });
}
