//! Graceful shutdown of the process, from SIGTERM until the last connection has closed.

use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::log;
use crate::pools::Pool;
use crate::shutdown::{Phase, Shutdown};

/// Time after SIGTERM during which connections are still accepted: clients of the platform open new ones for 0.4 s.
const DRAIN_DURATION: Duration = Duration::from_millis(600);
/// Interval of the checks for releases in flight, and the time allowed for the last accepted connections to be counted.
const SETTLE_INTERVAL: Duration = Duration::from_millis(20);

/// Shuts down gracefully: accepts connections for a short time, completes the admitted requests, and waits for the
/// releases of reservations at servers.
///
/// If there is a successor, streams in flight are handed over to it `stream_handover_delay` after the start.
pub async fn graceful_shutdown(shutdown: &Shutdown, pools: &[Pool], stream_handover_delay: Duration) {
    log!("SIGTERM: draining");
    shutdown.enter(Phase::Draining);
    // A successor accepts the new connections instead.
    if shutdown.has_successor() {
        spawn_local(hand_over_streams(shutdown.clone(), pools.to_vec(), stream_handover_delay));
    } else {
        sleep(DRAIN_DURATION).await;
    }
    shutdown.enter(Phase::Closing);
    // Gives the fronts time to accept and count the connections that were already in the listen queue.
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

/// Sends a response to each request that has no first token `delay` after SIGTERM. Otherwise the platform would kill
/// the process before they are answered.
pub(super) async fn answer_pending(pools: Vec<Pool>, delay: Duration) {
    sleep(delay).await;
    for pool in &pools {
        pool.core.answer_pending();
    }
}
