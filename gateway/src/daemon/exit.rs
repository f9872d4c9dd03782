//! The planned end of the process, from SIGTERM to the last connection.

use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::log;
use crate::pools::Pool;
use crate::shutdown::{Phase, Shutdown};

/// Accepting goes on for this time after SIGTERM: connections still come for a while (0.4 s on the platform).
const DRAINING_TIME: Duration = Duration::from_millis(600);
/// Steps in which releases in flight are waited for, and the time for the last accepts to be counted.
const SETTLE_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts for a while yet, finishes what was admitted, and releases what is reserved at servers.
///
/// Where a successor serves, streams in flight go over to it `stream_handover_delay` after the beginning.
pub async fn leave(shutdown: &Shutdown, pools: &[Pool], stream_handover_delay: Duration) {
    log!("SIGTERM: draining");
    shutdown.enter(Phase::Draining);
    // With a successor, connections come to that one.
    if shutdown.has_successor() {
        spawn_local(hand_over_streams(shutdown.clone(), pools.to_vec(), stream_handover_delay));
    } else {
        sleep(DRAINING_TIME).await;
    }
    shutdown.enter(Phase::Closing);
    // Accepting ends with what was in the system's queue; those connections are counted by then.
    sleep(SETTLE_INTERVAL).await;
    shutdown.drained().await;
    while pools.iter().any(|pool| !pool.core.is_idle()) {
        sleep(SETTLE_INTERVAL).await;
    }
    for pool in pools {
        pool.engine.close_idle();
    }
    log!("shut down");
}

async fn hand_over_streams(shutdown: Shutdown, pools: Vec<Pool>, delay: Duration) {
    sleep(delay).await;
    if shutdown.has_successor() {
        for pool in &pools {
            pool.engine.hand_over_streams();
        }
    }
}

/// Answers what still waits for its first token, this long after SIGTERM: the platform's kill would lose it.
pub(super) async fn answer_pending(pools: Vec<Pool>, delay: Duration) {
    sleep(delay).await;
    for pool in &pools {
        pool.core.answer_pending();
    }
}
