//! Watch of discovery: polls for the endpoint list sequentially, over a connection of its own.
//!
//! [`PollSchedule`] decides when to poll and how long a poll may take. This module owns the connection, the version of
//! the current list and the timers. The clock is tokio's.
#![deny(missing_docs)]

mod call;
mod error;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use glenrail_request_lifecycle::discovery_polling::{BackoffPolicy, Poll, PollSchedule};
use glenrail_router::{Discovery, ListUpdate, Settings};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

use self::call::{call, Connection, PolledList};
use self::error::PollError;
use super::list::EndpointList;
use crate::core::duration;
use crate::log;

/// Maximum wait for the response to the current poll after the address of discovery has changed.
///
/// The old address regards what it has written by then as delivered, so that must be applied. One iteration of the
/// event loop is enough to read it.
const ADDRESS_CHANGE_GRACE: Duration = Duration::from_millis(20);

/// Counters of the polls since the process started.
#[derive(Debug, Default)]
pub struct DiscoveryMetrics {
    /// Successful polls, including those that reported no change.
    pub successful_polls: Cell<u64>,
    /// Usable lines in the lists of those polls.
    pub lines: Cell<u64>,
    /// Failed polls.
    pub failed_polls: Cell<u64>,
}

/// Returns the poll schedule of this gateway. Each gateway needs a different seed, or they all poll at the same time.
pub fn poll_schedule(settings: &Settings, seed: u64) -> PollSchedule {
    let backoff = match settings.discovery {
        Discovery::Push => BackoffPolicy::PUSHED,
        Discovery::Subscribe => {
            BackoffPolicy::polled(settings.router_count, duration(settings.rules.discovery_poll_limit))
        }
    };
    PollSchedule::new(backoff, seed)
}

/// Watches discovery until the process exits, starting from `version` of the list if there is one.
///
/// When the address changes, the current poll or pause is cancelled, and the full list from the new address replaces
/// the current one. `apply` is called with each full list and each list of changes that is not empty.
pub async fn watch(
    mut address: watch::Receiver<String>, version: Option<u64>, schedule: PollSchedule,
    metrics: Rc<DiscoveryMetrics>, apply: impl Fn(&EndpointList, ListUpdate),
) {
    let current_address = address.borrow_and_update().clone();
    let mut watch = Watch {
        address: current_address,
        address_updates: address,
        connection: None,
        version,
        schedule,
        metrics,
        apply,
    };
    watch.wait_for_first_poll().await;
    loop {
        watch.poll_once().await;
    }
}

struct Watch<F> {
    /// Address to which the connection and the version belong.
    address: String,
    address_updates: watch::Receiver<String>,
    connection: Option<Connection>,
    /// Version of the current list; `None` if there is none.
    version: Option<u64>,
    schedule: PollSchedule,
    metrics: Rc<DiscoveryMetrics>,
    apply: F,
}

impl<F: Fn(&EndpointList, ListUpdate)> Watch<F> {
    /// Delays the first poll of a gateway that has a list, to give priority to gateways that have none.
    async fn wait_for_first_poll(&mut self) {
        let delay = self.schedule.initial_delay();
        if self.version.is_some() && !delay.is_zero() {
            self.pause(delay).await;
        }
    }

    /// Waits for `time`, or until the address changes.
    async fn pause(&mut self, time: Duration) {
        tokio::select! {
            () = sleep(time) => {}
            // Marked as unseen again, for `follow_address`.
            Ok(()) = self.address_updates.changed() => self.address_updates.mark_changed(),
        }
    }

    async fn poll_once(&mut self) {
        self.follow_address();
        let poll = self.schedule.next_poll(self.version.is_some());
        let started = Instant::now();
        let Some(result) = self.call(poll).await else { return };
        match result.and_then(|polled| checked(polled, poll)) {
            Ok(polled) => self.poll_succeeded(polled, poll),
            Err(error) => self.poll_failed(&error, started).await,
        }
    }

    fn follow_address(&mut self) {
        let address = self.address_updates.borrow_and_update().clone();
        if address == self.address {
            return;
        }
        log!("discovery: address changed to {address}");
        self.address = address;
        self.connection = None;
        self.version = None;
        self.schedule.address_changed();
    }

    /// Calls discovery; `None` if its address changed before the response was complete.
    async fn call(&mut self, poll: Poll) -> Option<Result<PolledList, PollError>> {
        let limits = self.schedule.limits(poll);
        let calling = call(self.connection.take(), &self.address, poll, self.version, limits);
        tokio::pin!(calling);
        tokio::select! {
            biased;
            Ok(()) = self.address_updates.changed() => match timeout(ADDRESS_CHANGE_GRACE, calling).await {
                Ok(Ok(polled)) => Some(Ok(polled)),
                _ => None,
            },
            result = &mut calling => Some(result),
        }
    }

    fn poll_succeeded(&mut self, polled: PolledList, poll: Poll) {
        let PolledList { connection, list } = polled;
        self.connection = connection;
        if self.schedule.failures() > 0 {
            log!("discovery: recovered after {} failed polls", self.schedule.failures());
        }
        self.schedule.poll_succeeded();
        let lines = list.endpoints.len();
        self.metrics.successful_polls.set(self.metrics.successful_polls.get() + 1);
        self.metrics.lines.set(self.metrics.lines.get() + lines as u64);
        let is_full = is_full(&list, poll);
        if is_full || lines > 0 {
            let (kind, scope) =
                if is_full { ("whole", ListUpdate::Full) } else { ("changes", ListUpdate::Delta) };
            log!("discovery: version {}, {kind}, {lines} lines", list.version);
            (self.apply)(&list, scope);
        }
        self.version = Some(list.version);
    }

    async fn poll_failed(&mut self, error: &PollError, started: Instant) {
        let backoff = self.schedule.poll_failed(error.failure(), started.elapsed());
        self.metrics.failed_polls.set(self.metrics.failed_polls.get() + 1);
        let failures = self.schedule.failures();
        // Limits the log lines of polls that fail immediately.
        if failures.is_power_of_two() {
            log!("discovery: {error}; {failures} failed polls; next poll in {} ms", backoff.as_millis());
        }
        self.pause(backoff).await;
    }
}

/// Whether this is the full list, by its own flag or by the kind of poll.
fn is_full(list: &EndpointList, poll: Poll) -> bool {
    list.is_full || matches!(poll, Poll::FullList { .. })
}

fn checked(polled: PolledList, poll: Poll) -> Result<PolledList, PollError> {
    if is_full(&polled.list, poll) && polled.list.endpoints.is_empty() {
        return Err(PollError::NoUsableLine);
    }
    Ok(polled)
}

#[cfg(test)]
mod tests;
