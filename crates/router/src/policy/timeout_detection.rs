//! Outlier detection by time-out: servers that give no sign of life, and attempts that are lost at one that
//! does.
//!
//! State: the last signs of life in each server's record. Guards requests that wait at a dead, disconnected
//! or hung server: it is ejected, and its attempts are cancelled in time for a retry.

use super::probes::PROBE_INTERVAL;
use super::Router;
use crate::api::{Action, Idempotency, Millis, RequestClass, Role, ServerId};
use crate::state::{Attempt, FailureKind, RequestState, ServerRecord, Stage};
use crate::{fleet_load, wait_estimate};

/// A server must show progress within so many times the shortest objective of a class, where an objective
/// counts for no more than a quarter of its class's deadline.
const OBJECTIVES_WITHOUT_PROGRESS: f64 = 3.0;
const MAX_OBJECTIVE_OF_DEADLINE: f64 = 0.25;
/// Longest objective that is reckoned with (ms).
const MAX_OBJECTIVE: Millis = 1e6;
/// A server whose load reports still come is given this many times as long.
const REPORTING_PATIENCE: f64 = 2.5;
/// Reports still come if the last sign of life is no older than this (ms).
const REPORTING_WITHIN: Millis = 2.0 * PROBE_INTERVAL;
/// An attempt is lost, when later ones at its server have overtaken it or the server has restarted, after
/// this share of its objective and twice the time of its own work.
const LOST_OBJECTIVE_SHARE: f64 = 0.3;
const LOST_WORK_FACTOR: f64 = 2.0;
/// A prefill that is alone at its server is lost after this many times that share, if others have got on
/// elsewhere.
const ALONE_PATIENCE: f64 = 2.0;

/// When a server last showed progress.
struct ServerProgress {
    server: ServerId,
    role: Role,
    last_progress_at: Millis,
}

/// What tells a lost attempt from one that waits its turn.
struct LostAttempts {
    now: Millis,
    /// Progress of all servers; empty in a large fleet, where a router's own attempts say too little.
    progress: Vec<ServerProgress>,
}

impl LostAttempts {
    /// Whether an attempt in flight at this server is lost.
    fn includes(&self, server: &ServerRecord, request: &RequestState, attempt: &Attempt) -> bool {
        let is_overtaken =
            server.pending.get(&request.request.id).is_none_or(|pending| !pending.reflects_queue());
        if !is_overtaken && !self.is_left_alone(server, attempt) {
            return false;
        }
        let share = LOST_OBJECTIVE_SHARE * if is_overtaken { 1.0 } else { ALONE_PATIENCE };
        let work_time = LOST_WORK_FACTOR * attempt.work_tokens * server.service_time.per_token;
        self.now > attempt.sent_at + share * request.first_token_objective() + work_time
    }

    /// Whether a prefill is the only attempt at its server while others have got on at other servers since:
    /// nothing can overtake it there.
    fn is_left_alone(&self, server: &ServerRecord, attempt: &Attempt) -> bool {
        let has_progressed_elsewhere = |other: &ServerProgress| {
            other.server != attempt.server
                && other.role == server.role
                && other.last_progress_at > attempt.sent_at
        };
        server.pending.len() == 1
            && attempt.stage == Stage::Prefill
            && self.progress.iter().any(has_progressed_elsewhere)
    }
}

impl Router {
    /// Ejects servers that have been unresponsive for too long, and cancels attempts that are lost.
    ///
    /// Cost: a pause as long as that counts too.
    pub(super) fn detect_timeouts(&mut self, actions: &mut Vec<Action>) {
        for id in self.unresponsive_servers() {
            self.record_failure(id, FailureKind::Unresponsive, actions);
        }
        let progress_of = |(id, server): (&ServerId, &ServerRecord)| ServerProgress {
            server: *id,
            role: server.role,
            last_progress_at: server.last_progress_at,
        };
        let progress = match fleet_load::is_large_fleet(self.router_count()) {
            true => Vec::new(),
            false => self.servers.iter().map(progress_of).collect(),
        };
        let lost = LostAttempts { now: self.now, progress };
        let is_lost = |server: &ServerRecord, request: &RequestState, attempt: &Attempt| {
            lost.includes(server, request, attempt)
        };
        self.cancel_lost_attempts(is_lost, actions);
    }

    /// Servers with an attempt that has waited for too long without any progress there.
    fn unresponsive_servers(&self) -> Vec<ServerId> {
        let objective_of =
            |class: &RequestClass| class.latency_objective.min(class.deadline * MAX_OBJECTIVE_OF_DEADLINE);
        let shortest_objective = self.settings.classes.iter().map(objective_of).fold(f64::MAX, f64::min);
        let patience = OBJECTIVES_WITHOUT_PROGRESS * shortest_objective.min(MAX_OBJECTIVE);
        let is_unresponsive = |server: &&ServerRecord| {
            let mut pending = server.pending.values();
            pending.any(|attempt| self.is_unresponsive_since(server, attempt.sent_at, patience))
        };
        self.servers.values().filter(is_unresponsive).map(|server| server.entry.server).collect()
    }

    /// Whether a server has shown no progress with work sent at `sent_at` for longer than `patience`, and for
    /// longer than that work can take.
    fn is_unresponsive_since(&self, server: &ServerRecord, sent_at: Millis, patience: Millis) -> bool {
        let is_reporting = self.now < server.last_heard_at + REPORTING_WITHIN;
        let factor = if is_reporting { REPORTING_PATIENCE } else { 1.0 };
        let has_waited = |time: Millis| self.now > sent_at.max(server.last_progress_at) + time;
        let busy_time =
            || wait_estimate::max_busy_time(server, &self.statistics, self.router_count(), sent_at);
        has_waited(factor * patience) && has_waited(busy_time())
    }

    /// Cancels the last attempt of each request where it `is_lost` and a retry is harmless, instead of
    /// waiting for its time-out. A prefill has no effect, so it may always be repeated.
    pub(super) fn cancel_lost_attempts(
        &mut self, is_lost: impl Fn(&ServerRecord, &RequestState, &Attempt) -> bool,
        actions: &mut Vec<Action>,
    ) {
        if !self.settings.limits.cancellation {
            return;
        }
        for request in self.requests.values_mut().filter(|request| request.awaits_first_token()) {
            let Some(attempt) = request.attempts.last().filter(|attempt| attempt.in_flight) else { continue };
            let is_repeatable =
                attempt.stage == Stage::Prefill || request.class.idempotency == Idempotency::Idempotent;
            let Some(server) = self.servers.get(&attempt.server) else { continue };
            if is_repeatable && is_lost(server, request, attempt) {
                request.cancel_attempts(actions);
            }
        }
    }
}
