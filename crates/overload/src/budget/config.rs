//! What all members of a fleet must be told alike by their operators' files.

use super::{TermsError, Units};
use crate::{portion, Ms, PerMille, WHOLE};

/// A budget's terms. All members need the same but for `seated`; a list of seats may grow while fewer run (raise it
/// at every member, then start the new one) and shrink after the last of those that leave has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// What the whole fleet may spend.
    pub total: Units,
    /// Members that own a share, running or not.
    pub seats: u32,
    /// Whether this member is one of them; others live on what they are lent.
    pub seated: bool,
    /// Share of what a member owns that it never lends, and may spend from its first moment.
    pub floor: PerMille,
    /// Length of a lease on its borrower's clock.
    pub lease: Ms,
    /// How far a clock may run from true time: parts of 10,000.
    pub drift: u32,
    /// Others that must have pledged a seat's lendable share to its owner lately; with none, it is the owner's for good,
    /// and lies idle when the owner is gone. With so many, as many members may be gone at once and what they owned
    /// is inherited; a piece of a cut fleet needs one more than that to keep its own. At most half of the seats.
    pub witnesses: u32,
    /// How long a member may save up its part.
    pub burst: Ms,
}

impl Terms {
    pub fn check(&self) -> Result<(), TermsError> {
        if self.seats == 0 {
            return Err(TermsError::NoSeats);
        }
        if self.floor > WHOLE {
            return Err(TermsError::FloorAboveShare { per_mille: self.floor });
        }
        if !(100..=60_000).contains(&self.lease) {
            return Err(TermsError::LeaseOutOfBounds { lease: self.lease });
        }
        if self.drift >= 5_000 {
            return Err(TermsError::DriftOutOfBounds { drift: self.drift });
        }
        if u64::from(self.witnesses) * 2 > u64::from(self.seats) {
            return Err(TermsError::TooManyWitnesses { witnesses: self.witnesses, seats: self.seats });
        }
        Ok(())
    }

    /// What this member owns. What cannot be shared out evenly is nobody's.
    pub fn home(&self) -> Units {
        if self.seated {
            self.total / self.seats.max(1)
        } else {
            0
        }
    }

    /// What this member may lend.
    pub fn lendable(&self) -> Units {
        let kept = portion(u64::from(self.home()), u64::from(self.floor.min(WHOLE)), u64::from(WHOLE));
        self.home() - u32::try_from(kept).unwrap_or(u32::MAX).min(self.home())
    }

    /// How long a lender waits by its own clock for a lease of that length to have ended on any other that drifts
    /// within the bound: a fast clock here, a slow one there.
    pub fn wait(&self, length: Ms) -> Ms {
        let (fast, slow) = (10_000 + u64::from(self.drift), 10_000 - u64::from(self.drift.min(9_999)));
        length.saturating_mul(fast).div_ceil(slow).saturating_add(1)
    }
}
