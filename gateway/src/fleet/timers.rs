//! The machine's timers: each token once, at its time or later.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;

use super::driver::Driver;

#[derive(Default)]
pub struct Timers {
    /// When, in milliseconds since the driver's start, and which.
    due: RefCell<BTreeSet<(u64, u64)>>,
    sooner: Notify,
}

impl Timers {
    pub fn add(&self, at: u64, token: u64) {
        let mut due = self.due.borrow_mut();
        due.insert((at, token));
        if due.first() == Some(&(at, token)) {
            self.sooner.notify_one();
        }
    }

    fn take(&self, now: u64) -> Option<u64> {
        let mut due = self.due.borrow_mut();
        let (_, token) = due.first().filter(|(at, _)| *at <= now).copied()?;
        due.pop_first();
        Some(token)
    }

    /// Until it is dropped.
    pub(super) async fn run(&self, driver: &Rc<Driver>) {
        loop {
            let next = self.due.borrow().first().map(|(at, _)| at.saturating_sub(driver.now()));
            tokio::select! {
                () = async {
                    match next {
                        Some(next) => sleep(Duration::from_millis(next)).await,
                        None => std::future::pending().await,
                    }
                } => {}
                () = self.sooner.notified() => continue,
            }
            while let Some(token) = self.take(driver.now()) {
                driver.step(|fleet, now, effects| fleet.timer(now, token, effects));
            }
        }
    }
}
