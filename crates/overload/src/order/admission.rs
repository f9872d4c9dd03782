//! One gateway's word on a request.

use super::{band::later, Cut, Place, RetryAfter, Served};
use crate::{Ms, PerMille, WHOLE};

/// A request as the order sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    pub band: u8,
    pub place: Place,
    /// Whether it says that it is a later turn of its session.
    pub later: bool,
}

impl Request {
    /// The band that it counts in, when work is told by band.
    pub fn counts_in(&self) -> u8 {
        if self.later {
            later(self.band)
        } else {
            self.band
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Admitted,
    /// Turned away, and told to come back after so long where the settings allow it.
    Refused {
        after: Option<Ms>,
    },
}

/// The cut, and the sessions that go before it.
#[derive(Clone, Debug)]
pub struct Admission {
    served: Served,
    bounds: RetryAfter,
    level: PerMille,
    cut: Cut,
}

impl Admission {
    pub fn new(bounds: RetryAfter, served: Served) -> Self {
        Admission { served, bounds, level: 0, cut: Cut::NONE }
    }

    /// The level and the fleet's work by band are these now.
    pub fn set(&mut self, level: PerMille, bands: &[(u8, u64)]) {
        (self.level, self.cut) = (level, Cut::at(level, bands));
    }

    /// Whether a request goes on. A later turn of a session that was served here always does, unless everything is
    /// turned away; one that was served elsewhere stands higher than its first turn did, by band and by rank, so that
    /// no gateway refuses it at the level at which any admitted its first turn.
    pub fn judge(&mut self, now: Ms, request: &Request) -> Verdict {
        let known = self.level < WHOLE && self.served.has(now, request.place);
        let place = request.place;
        let rank = if request.later { place.later_rank() } else { place.rank() };
        if known || !self.cut.refuses(request.counts_in(), rank) {
            return Verdict::Admitted;
        }
        Verdict::Refused { after: self.bounds.at(self.level, place) }
    }

    /// A turn of a session was served.
    pub fn served(&mut self, now: Ms, place: Place) {
        self.served.add(now, place);
    }
}
