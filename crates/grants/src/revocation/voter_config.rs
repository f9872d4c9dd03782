//! The voters, and the quorums that they form.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::MemberId;

/// The sizes of the lease quorum and the commit quorum. With either rule, the two sizes add up to more than
/// the number of voters, so every lease quorum shares a voter with every commit quorum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum QuorumRule {
    /// More than half of the voters, for both quorums. Fewer than half may fail without any member becoming
    /// stale. A change accepted on the smaller side of a network partition is committed only after the
    /// partition heals.
    #[default]
    Majority,
    /// All voters for a lease, two for a commit (one if there is only one voter), so that the loss of one
    /// store loses no change. A change on any side of a network partition that has two voters becomes
    /// fleet-wide within its bound. While any voter is unreachable, all members become stale.
    Every,
}

/// The voters and their quorum rule. Must be the same on all members, except during a change of voters:
/// `previous` then holds the previous configuration, and a quorum of both is required. Members with different
/// configurations exchange changes, but their leases and confirmations do not count for each other.
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
    #[error("the voters cannot be changed in one step")]
    InvalidTransition,
    #[error("the previous voters cannot be removed before this member has a lease from the previous and the new ones")]
    NoLease,
}

impl VoterConfigError {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            VoterConfigError::NoVoters => {
                "configure at least one voter; three or five members that rarely stop suit most fleets"
            }
            VoterConfigError::InvalidTransition => {
                "first configure the new voters together with the previous ones on all members, then the new ones alone"
            }
            VoterConfigError::NoLease => {
                "wait until every member runs the configuration with both and none is stale; return to it if one is"
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

    /// Returns this configuration joined with the previous one, for the time of the change.
    pub fn joint_with(self, previous: &VoterConfig) -> VoterConfig {
        VoterConfig { previous: Some((previous.voters.clone(), previous.quorum_rule)), ..self }
    }

    /// Checks whether `next` may follow this configuration. `has_lease` is whether this member has a valid
    /// lease now. Adding the previous voters is safe at any time, because it requires more; removing them is
    /// not.
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

    /// Returns all voters, including previous ones.
    pub fn voters(&self) -> BTreeSet<MemberId> {
        self.configs().flat_map(|(voters, _)| voters).copied().collect()
    }

    /// Returns whether leases from these members suffice for a valid lease.
    pub fn is_lease_quorum(&self, members: &BTreeSet<MemberId>) -> bool {
        self.configs().all(|(voters, quorum_rule)| {
            let count = voters.intersection(members).count();
            match quorum_rule {
                QuorumRule::Majority => count > voters.len() / 2,
                QuorumRule::Every => count == voters.len(),
            }
        })
    }

    /// Returns whether confirmations from these members suffice to commit a change.
    pub fn is_commit_quorum(&self, members: &BTreeSet<MemberId>) -> bool {
        self.configs().all(|(voters, quorum_rule)| {
            let count = voters.intersection(members).count();
            match quorum_rule {
                QuorumRule::Majority => count > voters.len() / 2,
                QuorumRule::Every => count >= voters.len().min(2),
            }
        })
    }

    /// Returns a hash that distinguishes this configuration from others.
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

    /// Iterates over the current configuration and, during a change of voters, the previous one.
    fn configs(&self) -> impl Iterator<Item = (&BTreeSet<MemberId>, &QuorumRule)> {
        let previous = self.previous.iter().map(|(voters, quorum_rule)| (voters, quorum_rule));
        std::iter::once((&self.voters, &self.quorum_rule)).chain(previous)
    }
}
