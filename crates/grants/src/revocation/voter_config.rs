//! Voters, and how many of them it takes.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::MemberId;

/// How many voters it takes to know, and to hold. Whatever is chosen, both together are more than there are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Needs {
    /// More than half, for both. Fewer than half may fail without anyone going stale; a change taken on the
    /// smaller side of a cut is held only once the cut heals.
    #[default]
    Majority,
    /// To know, all; to hold, two, so that one lost store loses nothing (one, where there is one). A change on any
    /// side of a cut that has two voters is fleet-wide by its bound; while any voter is away, everyone is stale.
    Every,
}

/// The same at all members, but for the time of a change: `former` then keeps the last voters, and both have to
/// be enough. Members with differing rosters hand over what they know, and count for nothing with each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Roster {
    voters: BTreeSet<MemberId>,
    needs: Needs,
    former: Option<(BTreeSet<MemberId>, Needs)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RosterError {
    #[error("there are no voters")]
    None,
    #[error("the voters cannot change in one step")]
    Step,
    #[error("the former voters cannot be let go before this member knows by the new ones, too")]
    TooSoon,
}

impl RosterError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            RosterError::None => "name one voter at least; three or five that rarely stop suit most",
            RosterError::Step => {
                "first give all members the new voters with the former beside them, then without"
            }
            RosterError::TooSoon => {
                "wait until every member has taken the file with both and none is stale; go back to it if one is"
            }
        }
    }
}

impl Roster {
    pub fn new(voters: impl IntoIterator<Item = MemberId>, needs: Needs) -> Result<Roster, RosterError> {
        let voters: BTreeSet<MemberId> = voters.into_iter().collect();
        match voters.is_empty() {
            true => Err(RosterError::None),
            false => Ok(Roster { voters, needs, former: None }),
        }
    }

    /// This one with the last one's voters beside them, for the time of the change.
    pub fn after(self, last: &Roster) -> Roster {
        Roster { former: Some((last.voters.clone(), last.needs)), ..self }
    }

    /// Whether the next roster may follow this one; `knows` is whether this member does now. Taking former voters in
    /// beside these is safe at any time, for it asks for more; letting them go is not.
    pub(super) fn step(&self, next: &Roster, knows: bool) -> Result<(), RosterError> {
        let current = (&self.voters, self.needs);
        let same = current == (&next.voters, next.needs);
        let joins = next.former.as_ref().is_some_and(|former| current == (&former.0, former.1));
        match (&self.former, &next.former) {
            _ if self == next => Ok(()),
            (None, Some(_)) if joins || same => Ok(()),
            (Some(_), None) if same && knows => Ok(()),
            (Some(_), None) if same => Err(RosterError::TooSoon),
            _ => Err(RosterError::Step),
        }
    }

    pub fn is_voter(&self, member: MemberId) -> bool {
        self.voters.contains(&member) || self.former.as_ref().is_some_and(|former| former.0.contains(&member))
    }

    /// All voters, former ones included.
    pub fn voters(&self) -> BTreeSet<MemberId> {
        self.sides().flat_map(|(voters, _)| voters).copied().collect()
    }

    /// Whether these are enough to know what is held.
    pub fn know(&self, are: &BTreeSet<MemberId>) -> bool {
        self.sides().all(|(voters, needs)| {
            let count = voters.intersection(are).count();
            match needs {
                Needs::Majority => count > voters.len() / 2,
                Needs::Every => count == voters.len(),
            }
        })
    }

    /// Whether these are enough to hold a change.
    pub fn hold(&self, are: &BTreeSet<MemberId>) -> bool {
        self.sides().all(|(voters, needs)| {
            let count = voters.intersection(are).count();
            match needs {
                Needs::Majority => count > voters.len() / 2,
                Needs::Every => count >= voters.len().min(2),
            }
        })
    }

    /// What tells it from other rosters.
    pub(super) fn stamp(&self) -> u64 {
        let mut hash = blake3::Hasher::new();
        for (voters, needs) in self.sides() {
            hash.update(&[*needs as u8]).update(&(voters.len() as u64).to_le_bytes());
            for voter in voters {
                hash.update(&voter.to_le_bytes());
            }
        }
        let mut stamp = [0; 8];
        stamp.copy_from_slice(&hash.finalize().as_bytes()[..8]);
        u64::from_le_bytes(stamp)
    }

    fn sides(&self) -> impl Iterator<Item = (&BTreeSet<MemberId>, &Needs)> {
        let former = self.former.iter().map(|(voters, needs)| (voters, needs));
        std::iter::once((&self.voters, &self.needs)).chain(former)
    }
}
