//! Decision of one gateway whether to admit a request.

use super::{band::later_turn_band, Cutoff, RetryAfterBounds, ServedSessions, SessionHash};
use crate::{Ms, PerMille, PER_MILLE_SCALE};

/// Properties of a request that decide whether it is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    pub band: u8,
    pub session: SessionHash,
    /// Whether the client marks it as a later turn of its session.
    pub is_later_turn: bool,
}

impl Request {
    /// Returns the band in which the request counts, both for its own admission and in reported work.
    pub fn effective_band(&self) -> u8 {
        if self.is_later_turn {
            later_turn_band(self.band)
        } else {
            self.band
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    Admitted,
    /// The request is rejected; `retry_after` is the delay that the client is given, if the settings allow
    /// one.
    Rejected {
        retry_after: Option<Ms>,
    },
}

/// Admission state of one gateway: the current cutoff, and the sessions that it has served, which are exempt
/// from the cutoff unless everything is rejected.
#[derive(Clone, Debug)]
pub struct Admission {
    served: ServedSessions,
    bounds: RetryAfterBounds,
    level: PerMille,
    retry_pressure: PerMille,
    cutoff: Cutoff,
}

impl Admission {
    pub fn new(bounds: RetryAfterBounds, served: ServedSessions) -> Self {
        Admission { served, bounds, level: 0, retry_pressure: 0, cutoff: Cutoff::ADMIT_ALL }
    }

    /// Sets the level, the retry pressure of clients
    /// ([`Amplification::retry_pressure`](crate::amplification::Amplification::retry_pressure)) and the
    /// fleet's work by band. A retry pressure above the level makes the retry delays longer than the level
    /// alone would.
    pub fn update(&mut self, level: PerMille, retry_pressure: PerMille, work_by_band: &[(u8, u64)]) {
        (self.level, self.retry_pressure, self.cutoff) =
            (level, retry_pressure, Cutoff::for_level(level, work_by_band));
    }

    /// Decides on a request. A session that this gateway remembers is admitted unless everything is rejected.
    /// A later turn of any other session has a higher band and no lower rank than its first turn had, so that
    /// no gateway rejects it at a cutoff at which another one admitted the first turn.
    pub fn decide(&mut self, now: Ms, request: &Request) -> Decision {
        let bypasses_cutoff = self.level < PER_MILLE_SCALE && self.served.contains(now, request.session);
        let session = request.session;
        let rank = if request.is_later_turn { session.later_turn_rank() } else { session.rank() };
        if bypasses_cutoff || !self.cutoff.rejects(request.effective_band(), rank) {
            return Decision::Admitted;
        }
        Decision::Rejected { retry_after: self.bounds.delay(self.level.max(self.retry_pressure), session) }
    }

    /// Returns the bounds of the retry delay.
    pub fn retry_after_bounds(&self) -> &RetryAfterBounds {
        &self.bounds
    }

    /// Records that a turn of the session was served.
    pub fn record_served(&mut self, now: Ms, session: SessionHash) {
        self.served.insert(now, session);
    }
}
