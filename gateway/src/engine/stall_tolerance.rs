//! Timeouts for servers' answers that allow for stalls of this process.

use std::future::Future;
use std::time::Duration;

use tokio::time::{timeout, Instant};

/// A wait that exceeds its limit by more than this time shows that this process was stalled, not that the server is
/// unresponsive.
const STALL_THRESHOLD: Duration = Duration::from_millis(30);

/// Maximum number of times that a wait is repeated because this process was stalled.
const MAX_REPEATED_WAITS: usize = 2;

/// Returns the output of `awaited`, or `None` if it takes longer than `wait`. The wait is repeated if this process was
/// stalled during it.
pub(super) async fn timeout_allowing_stalls<T>(
    wait: Duration, awaited: impl Future<Output = T>,
) -> Option<T> {
    tokio::pin!(awaited);
    let mut repeated_waits = 0;
    loop {
        let started = Instant::now();
        if let Ok(result) = timeout(wait, &mut awaited).await {
            return Some(result);
        }
        let was_stalled = started.elapsed() > wait + STALL_THRESHOLD;
        if !was_stalled || repeated_waits == MAX_REPEATED_WAITS {
            return None;
        }
        repeated_waits += 1;
    }
}
