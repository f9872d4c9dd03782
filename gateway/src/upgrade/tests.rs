//! Tests of the socket path of an upgrade and of the shared limits.

mod wire_format;

use std::sync::Arc;

use tokio::net::UnixStream;
use tokio::sync::Semaphore;

use super::socket_path::{publish, socket_path, SOCKET_NAME};
use super::{request_handover, SharedLimits};
use crate::budget::Budget;

/// Guards upgrades with a long `$TMPDIR`, whose path exceeds the length of a socket address. A missing socket, or one
/// left by a terminated process, means that there is no predecessor.
#[tokio::test]
async fn a_long_path_works_and_a_stale_socket_is_no_predecessor() {
    let top = std::env::temp_dir().join(format!("glenrail-upgrade-{}", std::process::id()));
    let state = top.join("x".repeat(120));
    std::fs::create_dir_all(&state).expect("a directory");
    assert!(request_handover(&state).await.is_none(), "no process has listened there");
    for _ in 0..2 {
        let listener = publish(&state).expect("a socket");
        let address = socket_path(&state, SOCKET_NAME).expect("a path");
        let (connected, accepted) = tokio::join!(UnixStream::connect(&address.path), listener.accept());
        assert!(connected.is_ok() && accepted.is_ok());
    }
    assert!(request_handover(&state).await.is_none(), "the process has terminated");
    std::fs::remove_dir_all(top).expect("removed");
}

/// Guards the limits of both processes together: each has half while both run, and the remaining process has all.
#[test]
fn half_of_the_limits_is_reserved_while_both_processes_run() {
    let limits = SharedLimits {
        slots: Arc::new(Semaphore::new(10)),
        connections: 10,
        budget: Budget::new(100),
        bodies: 100,
    };
    let half = limits.reserve_half();
    assert_eq!(limits.slots.available_permits(), 5);
    assert!(limits.budget.claim(51).is_none() && limits.budget.claim(50).is_some());
    drop(half);
    assert_eq!(limits.slots.available_permits(), 10);
    assert!(limits.budget.claim(100).is_some());
}
