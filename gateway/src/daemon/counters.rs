//! Task that logs the counts of this process's calls to servers and to discovery.

use std::rc::Rc;
use std::time::Duration;

use glenrail_access_log::counts::{self, Counts, Prices};
use tokio::time::sleep;

use crate::discovery::DiscoveryMetrics;
use crate::log;
use crate::pools::Pool;

/// Interval at which the counts are logged, if they have changed.
const LOG_INTERVAL: Duration = Duration::from_millis(2_000);

/// Logs the counts of the platform's pool and of discovery periodically until the process exits.
pub(super) async fn log_counts(pool: Pool, discovery: Rc<DiscoveryMetrics>, prices: Prices) {
    let started_unix_ms = pool.clock.to_unix(pool.clock.now()).round();
    let mut logged = Counts::default();
    loop {
        sleep(LOG_INTERVAL).await;
        let current = Counts {
            started_unix_ms,
            discovery_responses: discovery.successful_polls.get(),
            discovery_lines: discovery.lines.get(),
            discovery_failures: discovery.failed_polls.get(),
            prices,
            ..pool.engine.counts()
        };
        if current != logged {
            log!("{}{current}", counts::LOG_PREFIX);
            logged = current;
        }
    }
}
