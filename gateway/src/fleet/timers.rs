//! Task that fires the timers of the state machine, each once and never before its due time.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::driver::Driver;

/// Fires timers until the future is dropped.
pub(super) async fn run(driver: &Rc<Driver>) {
    loop {
        let delay = driver.timers.next_due().map(|due_at| due_at.saturating_sub(driver.now()));
        tokio::select! {
            () = wait(delay) => {}
            () = driver.timers.earlier_added() => continue,
        }
        while let Some(token) = driver.timers.pop_due(driver.now()) {
            driver.step(|fleet, now, effects| fleet.handle_timer(now, token, effects));
        }
    }
}

/// Waits `delay` milliseconds; never completes if there is no timer.
async fn wait(delay: Option<u64>) {
    match delay {
        Some(delay) => sleep(Duration::from_millis(delay)).await,
        None => std::future::pending().await,
    }
}
