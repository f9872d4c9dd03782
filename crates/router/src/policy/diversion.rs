//! Overload diversion: skips a preferred server with a much higher load than its peers.
//!
//! This module has no state of its own. It uses this router's own counts and therefore applies to small
//! fleets; `probes` applies to large ones. It protects a prefill server that is preferred by many prefixes.
//! The cost is a prefill at a server that has nothing cached.

use super::Router;
use crate::api::{Millis, ServerId};
use crate::state::{median, RequestState, REQUEST_RATE_DECAY};

/// A server is overloaded if its requests in flight exceed this multiple of the median of its role, and
/// exceed the median by more than [`IN_FLIGHT_FLOOR`].
const IN_FLIGHT_FACTOR: f64 = 2.0;
/// Minimum difference between the requests in flight at an overloaded server and the median, over all
/// routers.
const IN_FLIGHT_FLOOR: f64 = 8.0;
/// A server has excess sends if its recent sends exceed this multiple of the mean plus one send. The factor
/// is lower than [`IN_FLIGHT_FACTOR`], because sends vary less.
const SENDS_FACTOR: f64 = 1.6;
/// Share of the objective after which the end of a prefill counts as late. A prefill that would be late is
/// sent to a server at which it would not be late, if [`FASTER_FACTOR`] permits it.
const LATE_OBJECTIVE_SHARE: f64 = 0.35;
/// Maximum expected time at a server to which a late prefill is diverted, as a share of the expected time at
/// the server that would otherwise receive it.
const FASTER_FACTOR: f64 = 0.6;

impl Router {
    /// Returns whether the recent sends of this router to a server are far above the mean. This detects an
    /// overloaded server even if there are too few requests in flight to compare.
    pub(super) fn has_excess_sends(&self, id: ServerId, eligible: &[ServerId]) -> bool {
        let recent_sends = |id: &ServerId| {
            let server = self.servers.get(id);
            server.map_or(0.0, |server| server.recent_sends.value_at(self.now, REQUEST_RATE_DECAY))
        };
        let mean = eligible.iter().map(recent_sends).sum::<f64>() / eligible.len().max(1) as f64;
        recent_sends(&id) > SENDS_FACTOR * mean + 1.0
    }

    /// Returns the preferred server or, if it is overloaded according to this router's own counts, the
    /// eligible server of the same role with the fewest requests in flight.
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

    /// Returns the destination of a request. This is the preferred server unless it is overloaded. If the
    /// prefill would end late at this destination, for example because the server is slow, the fastest server
    /// is returned instead, provided that the prefill would end in time and much earlier there. Without this
    /// second diversion, requests would be rejected only because of affinity.
    ///
    /// A diverted request requires a complete prefill, so there is no second diversion if the prefill would
    /// be late at every server.
    pub(super) fn divert(
        &self, preferred: ServerId, cached_tokens: f64, eligible: &[ServerId], request: &RequestState,
    ) -> ServerId {
        let chosen = self.divert_by_in_flight(preferred, eligible);
        let cached_tokens = if chosen == preferred { cached_tokens } else { 0.0 };
        let chosen_time = self.expected_time(chosen, request.prefill_work(cached_tokens));
        let late_after = LATE_OBJECTIVE_SHARE * request.first_token_objective();
        let times = eligible.iter().map(|id| (*id, self.expected_time(*id, request.prefill_work(0.0))));
        let fastest: Option<(ServerId, Millis)> = times.min_by(|a, b| a.1.total_cmp(&b.1));
        match fastest {
            Some((server, time))
                if chosen_time > late_after && time < late_after.min(FASTER_FACTOR * chosen_time) =>
            {
                server
            }
            _ => chosen,
        }
    }
}
