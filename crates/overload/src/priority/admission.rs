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
    returns: PerMille,
    cut: Cut,
}

impl Admission {
    pub fn new(bounds: RetryAfter, served: Served) -> Self {
        Admission { served, bounds, level: 0, returns: 0, cut: Cut::NONE }
    }

    /// The level and the fleet's work by band are these now, and clients come back so much
    /// ([`Amplification::returns`](crate::amplification::Amplification::returns)): where they press, the refused are told
    /// to come later than the level alone would have it.
    pub fn set(&mut self, level: PerMille, returns: PerMille, bands: &[(u8, u64)]) {
        (self.level, self.returns, self.cut) = (level, returns, Cut::at(level, bands));
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
        Verdict::Refused { after: self.bounds.at(self.level.max(self.returns), place) }
    }

    /// What the settings allow clients to be told.
    pub fn bounds(&self) -> &RetryAfter {
        &self.bounds
    }

    /// A turn of a session was served.
    pub fn served(&mut self, now: Ms, place: Place) {
        self.served.add(now, place);
    }
}
