//! Voters, and how many of them it takes.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::MemberId;

/// How many voters it takes to know, and to hold. Whatever is chosen, both together are more than there are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuorumRule {
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
pub struct VoterConfig {
    voters: BTreeSet<MemberId>,
    quorum_rule: QuorumRule,
    previous: Option<(BTreeSet<MemberId>, QuorumRule)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VoterConfigError {
    #[error("there are no voters")]
    NoVoters,
    #[error("the voters cannot change in one step")]
    InvalidTransition,
    #[error("the former voters cannot be let go before this member knows by the new ones, too")]
    NoLease,
}

impl VoterConfigError {
    /// What an operator can do about it.
    pub fn advice(&self) -> &'static str {
        match self {
            VoterConfigError::NoVoters => "name one voter at least; three or five that rarely stop suit most",
            VoterConfigError::InvalidTransition => {
                "first give all members the new voters with the former beside them, then without"
            }
            VoterConfigError::NoLease => {
                "wait until every member has taken the file with both and none is stale; go back to it if one is"
            }
        }
    }
}

impl VoterConfig {
    pub fn new(
        voters: impl IntoIterator<Item = MemberId>, quorum_rule: QuorumRule,
    ) -> Result<VoterConfig, VoterConfigError> {
        let voters: BTreeSet<MemberId> = voters.into_iter().collect();
        match voters.is_empty() {
            true => Err(VoterConfigError::NoVoters),
            false => Ok(VoterConfig { voters, quorum_rule, previous: None }),
        }
    }

    /// This one with the last one's voters beside them, for the time of the change.
    pub fn joint_with(self, previous: &VoterConfig) -> VoterConfig {
        VoterConfig { previous: Some((previous.voters.clone(), previous.quorum_rule)), ..self }
    }

    /// Whether the next roster may follow this one; `knows` is whether this member does now. Taking former voters in
    /// beside these is safe at any time, for it asks for more; letting them go is not.
    pub(super) fn check_transition(
        &self, next: &VoterConfig, has_lease: bool,
    ) -> Result<(), VoterConfigError> {
        let current = (&self.voters, self.quorum_rule);
        let same_voters = current == (&next.voters, next.quorum_rule);
        let becomes_previous =
            next.previous.as_ref().is_some_and(|previous| current == (&previous.0, previous.1));
        match (&self.previous, &next.previous) {
            _ if self == next => Ok(()),
            (None, Some(_)) if becomes_previous || same_voters => Ok(()),
            (Some(_), None) if same_voters && has_lease => Ok(()),
            (Some(_), None) if same_voters => Err(VoterConfigError::NoLease),
            _ => Err(VoterConfigError::InvalidTransition),
        }
    }

    pub fn is_voter(&self, member: MemberId) -> bool {
        self.voters.contains(&member)
            || self.previous.as_ref().is_some_and(|previous| previous.0.contains(&member))
    }

    /// All voters, former ones included.
    pub fn voters(&self) -> BTreeSet<MemberId> {
        self.configs().flat_map(|(voters, _)| voters).copied().collect()
    }

    /// Whether these are enough to know what is held.
    pub fn is_lease_quorum(&self, members: &BTreeSet<MemberId>) -> bool {
        self.configs().all(|(voters, quorum_rule)| {
            let count = voters.intersection(members).count();
            match quorum_rule {
                QuorumRule::Majority => count > voters.len() / 2,
                QuorumRule::Every => count == voters.len(),
            }
        })
    }

    /// Whether these are enough to hold a change.
    pub fn is_commit_quorum(&self, members: &BTreeSet<MemberId>) -> bool {
        self.configs().all(|(voters, quorum_rule)| {
            let count = voters.intersection(members).count();
            match quorum_rule {
                QuorumRule::Majority => count > voters.len() / 2,
                QuorumRule::Every => count >= voters.len().min(2),
            }
        })
    }

    /// What tells it from other rosters.
    pub(super) fn fingerprint(&self) -> u64 {
        let mut hash = blake3::Hasher::new();
        for (voters, quorum_rule) in self.configs() {
            hash.update(&[*quorum_rule as u8]).update(&(voters.len() as u64).to_le_bytes());
            for voter in voters {
                hash.update(&voter.to_le_bytes());
            }
        }
        let mut fingerprint = [0; 8];
        fingerprint.copy_from_slice(&hash.finalize().as_bytes()[..8]);
        u64::from_le_bytes(fingerprint)
    }

    fn configs(&self) -> impl Iterator<Item = (&BTreeSet<MemberId>, &QuorumRule)> {
        let previous = self.previous.iter().map(|(voters, quorum_rule)| (voters, quorum_rule));
        std::iter::once((&self.voters, &self.quorum_rule)).chain(previous)
    }
}
