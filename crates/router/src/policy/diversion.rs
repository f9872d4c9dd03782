//! Overload diversion: a preferred server with far more load than its peers is passed over.
//!
//! State: none of its own; it reads this router's own counts, so it serves small fleets (`probes` serves
//! large ones). Guards a prefill server that many prefixes prefer, at the price of a prefill that finds
//! nothing cached.

use super::Router;
use crate::api::{Millis, ServerId};
use crate::state::{median, RequestState, REQUEST_RATE_DECAY};

/// A server is overloaded when its requests in flight exceed this many times the median of its role ...
const IN_FLIGHT_FACTOR: f64 = 2.0;
/// ... and the median by this many, over all routers together.
const IN_FLIGHT_FLOOR: f64 = 8.0;
/// A server has excess sends when it was sent this many times the mean of late. Sends vary less than requests
/// in flight.
const SENDS_FACTOR: f64 = 1.6;
/// A prefill that would end after this share of the objective goes where it would end before that ...
const LATE_OBJECTIVE_SHARE: f64 = 0.35;
/// ... and within this part of the time.
const FASTER_FACTOR: f64 = 0.6;

impl Router {
    /// Whether this router has sent a server far more than the mean of late. That still shows an overloaded
    /// server where requests in flight are too few to show it.
    pub(super) fn has_excess_sends(&self, id: ServerId, eligible: &[ServerId]) -> bool {
        let recent_sends = |id: &ServerId| {
            let server = self.servers.get(id);
            server.map_or(0.0, |server| server.recent_sends.value_at(self.now, REQUEST_RATE_DECAY))
        };
        let mean = eligible.iter().map(recent_sends).sum::<f64>() / eligible.len().max(1) as f64;
        recent_sends(&id) > SENDS_FACTOR * mean + 1.0
    }

    /// The preferred server, or the least loaded of its role if it is overloaded by this router's own counts.
    fn divert_by_in_flight(&self, preferred: ServerId, eligible: &[ServerId]) -> ServerId {
        let role = |id: &ServerId| self.servers.get(id).map(|server| server.role);
        let in_flight =
            |id: &ServerId| self.servers.get(id).map_or(0.0, |server| f64::from(server.in_flight));
        let peers = || eligible.iter().copied().filter(|id| role(id) == role(&preferred));
        let typical = median(peers().map(|id| in_flight(&id)).collect());
        let floor = (IN_FLIGHT_FLOOR / self.router_count()).max(1.0);
        if in_flight(&preferred) <= (IN_FLIGHT_FACTOR * typical).max(typical + floor) {
            return preferred;
        }
        peers().min_by(|a, b| in_flight(a).total_cmp(&in_flight(b))).unwrap_or(preferred)
    }

    /// The server that gets a request: the preferred one, unless it is overloaded or its prefill would end
    /// late, as at a slow server, and another's would not. The request must not be rejected for the sake of
    /// affinity.
    ///
    /// Cost: a complete prefill there. So where all would be late, affinity is kept.
    pub(super) fn divert(
        &self, preferred: ServerId, cached_tokens: f64, eligible: &[ServerId], request: &RequestState,
    ) -> ServerId {
        let chosen = self.divert_by_in_flight(preferred, eligible);
        let cached_tokens = if chosen == preferred { cached_tokens } else { 0.0 };
        let time_there = self.expected_time(chosen, request.prefill_work(cached_tokens));
        let late_after = LATE_OBJECTIVE_SHARE * request.first_token_objective();
        let times = eligible.iter().map(|id| (*id, self.expected_time(*id, request.prefill_work(0.0))));
        let fastest: Option<(ServerId, Millis)> = times.min_by(|a, b| a.1.total_cmp(&b.1));
        match fastest {
            Some((server, time))
                if time_there > late_after && time < late_after.min(FASTER_FACTOR * time_there) =>
            {
                server
            }
            _ => chosen,
        }
    }
}
