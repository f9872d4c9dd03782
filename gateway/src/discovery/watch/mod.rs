//! The watch of discovery: polls for the endpoint list, one after another, over a connection of its own.
//!
//! [`PollSchedule`] decides when to poll and how long a poll may take; this module owns the connection, the version known
//! and the waits. The clock is tokio's.
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

/// How long a response to the poll under way is still waited for once discovery's address has changed.
///
/// What the old address has written by then counts as delivered, so it must be applied. One turn of the reactor reads it.
const ADDRESS_CHANGE_GRACE: Duration = Duration::from_millis(20);

/// Counts of the polls since the process began.
#[derive(Debug, Default)]
pub struct DiscoveryMetrics {
    /// Polls that brought a list, or the news that nothing has changed.
    pub answered: Cell<u64>,
    /// Lines in those lists.
    pub lines: Cell<u64>,
    /// Polls that failed.
    pub failed: Cell<u64>,
}

/// The schedule of this gateway's polls. Gateways must not share a seed, or they poll at the same moments.
pub fn poll_schedule(settings: &Settings, seed: u64) -> PollSchedule {
    let backoff = match settings.discovery {
        Discovery::Push => BackoffPolicy::PUSHED,
        Discovery::Subscribe => {
            BackoffPolicy::polled(settings.router_count, duration(settings.rules.discovery_poll_limit))
        }
    };
    PollSchedule::new(backoff, seed)
}

/// Watches for as long as the process runs, starting from `version` of the list if one is known.
///
/// When the address changes, the poll or pause under way is given up, and the full list at the new address replaces what
/// was known. `apply` is called with each list that says anything.
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
    /// The address that the connection and the version belong to.
    address: String,
    address_updates: watch::Receiver<String>,
    connection: Option<Connection>,
    /// Version of the list known.
    version: Option<u64>,
    schedule: PollSchedule,
    metrics: Rc<DiscoveryMetrics>,
    apply: F,
}

impl<F: Fn(&EndpointList, ListUpdate)> Watch<F> {
    /// A gateway that has a list can leave discovery to those that have none yet.
    async fn wait_for_first_poll(&mut self) {
        let delay = self.schedule.initial_delay();
        if self.version.is_some() && !delay.is_zero() {
            self.pause(delay).await;
        }
    }

    /// Waits for this time, or until the address changes.
    async fn pause(&mut self, time: Duration) {
        tokio::select! {
            () = sleep(time) => {}
            // Left as unseen, for `follow_address`.
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

    /// Calls discovery; `None` where its address changed before it answered.
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
        self.metrics.answered.set(self.metrics.answered.get() + 1);
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
        self.metrics.failed.set(self.metrics.failed.get() + 1);
        let failures = self.schedule.failures();
        // Polls that fail at once would fill the log.
        if failures.is_power_of_two() {
            log!("discovery: {error}; {failures} failed polls; next poll in {} ms", backoff.as_millis());
        }
        self.pause(backoff).await;
    }
}

/// Whether this is the full list: so it says, or so it was polled for.
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
