//! One gateway's word on a request.

use super::{band::later_turn_band, Cutoff, RetryAfterBounds, ServedSessions, SessionHash};
use crate::{Ms, PerMille, PER_MILLE_SCALE};

/// A request as the order sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    pub band: u8,
    pub session: SessionHash,
    /// Whether it says that it is a later turn of its session.
    pub is_later_turn: bool,
}

impl Request {
    /// The band that it counts in, when work is told by band.
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
    /// Turned away, and told to come back after so long where the settings allow it.
    Rejected {
        retry_after: Option<Ms>,
    },
}

/// The cut, and the sessions that go before it.
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

    /// The level and the fleet's work by band are these now, and clients come back so much
    /// ([`Amplification::retry_pressure`](crate::amplification::Amplification::retry_pressure)): where they press, the refused are told
    /// to come later than the level alone would have it.
    pub fn update(&mut self, level: PerMille, retry_pressure: PerMille, work_by_band: &[(u8, u64)]) {
        (self.level, self.retry_pressure, self.cutoff) =
            (level, retry_pressure, Cutoff::for_level(level, work_by_band));
    }

    /// Whether a request goes on. A later turn of a session that was served here always does, unless everything is
    /// turned away; one that was served elsewhere stands higher than its first turn did, by band and by rank, so that
    /// no gateway refuses it at the level at which any admitted its first turn.
    pub fn decide(&mut self, now: Ms, request: &Request) -> Decision {
        let bypasses_cutoff = self.level < PER_MILLE_SCALE && self.served.contains(now, request.session);
        let session = request.session;
        let rank = if request.is_later_turn { session.later_turn_rank() } else { session.rank() };
        if bypasses_cutoff || !self.cutoff.rejects(request.effective_band(), rank) {
            return Decision::Admitted;
        }
        Decision::Rejected { retry_after: self.bounds.delay(self.level.max(self.retry_pressure), session) }
    }

    /// What the settings allow clients to be told.
    pub fn retry_after_bounds(&self) -> &RetryAfterBounds {
        &self.bounds
    }

    /// A turn of a session was served.
    pub fn record_served(&mut self, now: Ms, session: SessionHash) {
        self.served.insert(now, session);
    }
}
