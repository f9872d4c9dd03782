//! Assignment of prefills to members.
//!
//! The member that opens a replacement assigns each prefix a primary and a backup, by rendezvous hashing
//! among the live members that hold its text, and announces the assignment. No other member prefills the
//! prefix, each of the two prefills it at most once, and a restarted member counts as another one. So one
//! announcement leads to at most two prefills of a prefix, whichever members fail, pause or receive messages
//! late. If two members announce the same replacement, both assignments may be used until the members have
//! received both announcements (see [`Assignments::open`]).
//!
//! The backup starts only when the primary has abandoned the prefill, or when the primary has failed and a
//! wait is over: the lease plus the margin after its claim was received, or the margin alone after the
//! assignment was received if no claim was.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::rendezvous::score;
use crate::types::{Incarnation, Member, Model, Ms, Node, PromptPrefix, Team};

/// One incarnation of a member, to which prefills are assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    pub member: Member,
    pub incarnation: Incarnation,
}

/// A replacement, identified by its new node and the number of the run. The run numbers of a node only
/// increase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplacementId {
    pub node: Node,
    pub run: u64,
}

/// The members that may prefill a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    pub prefix: PromptPrefix,
    pub primary: Instance,
    pub backup: Option<Instance>,
}

/// A member's report to the others on its prefill of a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub replacement: ReplacementId,
    pub prefix: PromptPrefix,
    pub sender: Instance,
    pub stage: Stage,
}

/// Progress of a prefill, in ascending order: a report replaces an earlier one only if its stage is higher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// The member will prefill within its lease.
    Claimed,
    /// The member will not prefill, or did not complete the prefill.
    Abandoned,
    /// The prefill is complete.
    Prefilled,
}

/// Why a prefill is not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PrefillError {
    #[error("run {run} of node {node:x} is not a replacement in progress here", node = .0.node.0, run = .0.run)]
    UnknownReplacement(ReplacementId),
    #[error("team {team:x} may not call model {model:x}; its prefix is not prefilled", team = .0.team.0, model = .0.model.0)]
    NotGranted(PromptPrefix),
    #[error("prefix {key:x} is not due for a prefill by this member", key = .0.key)]
    NotDue(PromptPrefix),
    #[error("the text of prefix {key:x} is no longer cached", key = .0.key)]
    TextNotCached(PromptPrefix),
    #[error("the lease on prefix {key:x} ended before it was prefilled", key = .0.key)]
    LeaseExpired(PromptPrefix),
    #[error("the replacement has {prefills} prefills, but at most {limit} are tracked")]
    TooMany { prefills: usize, limit: usize },
}

impl PrefillError {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> &'static str {
        match self {
            PrefillError::UnknownReplacement(_) => {
                "No action is needed if a replacement just ended; otherwise repeat the order with `replace`."
            }
            PrefillError::NotGranted(_) => {
                "No action is needed: the grant was revoked. Grant the model again to prefill the prefix."
            }
            PrefillError::NotDue(_) => "No action is needed: another gateway prefills it or has done so.",
            PrefillError::TextNotCached(_) => {
                "If this is frequent, raise the limits of bytes or age of cached texts."
            }
            PrefillError::LeaseExpired(_) => {
                "Check why the gateway was paused; raise the lease if its host is often slow."
            }
            PrefillError::TooMany { .. } => {
                "Lower the budget of a replacement, or raise the limit of prefills."
            }
        }
    }
}

/// Times and limits of assignments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AssignmentConfig {
    /// Validity of a claim, measured on the clock of the member that made it (ms).
    pub lease: Ms,
    /// Additional wait of a backup, for clock drift and for messages in transit (ms).
    pub margin: Ms,
    /// Maximum number of prefills of one replacement.
    pub max_prefills: usize,
}

/// Assigns a primary and a backup to each prefix, given the members that hold its text. Prefixes that no live
/// member holds are left out.
pub fn assign(
    node: Node, holders: &[(PromptPrefix, Vec<Member>)], live_members: &[Instance],
) -> Vec<Assignment> {
    let assign_prefix = |(prefix, holders): &(PromptPrefix, Vec<Member>)| {
        let mut ranked: Vec<Instance> =
            live_members.iter().copied().filter(|i| holders.contains(&i.member)).collect();
        ranked.sort_by_key(|i| std::cmp::Reverse((score(i.member, node, prefix), i.incarnation)));
        ranked.dedup_by_key(|i| i.member);
        Some(Assignment { prefix: *prefix, primary: *ranked.first()?, backup: ranked.get(1).copied() })
    };
    holders.iter().filter_map(assign_prefix).collect()
}

struct PrefillState {
    assignment: Assignment,
    /// When the assignment was received.
    received_at: Ms,
    /// Last stage that the primary reported, and when the report was received.
    primary_report: Option<(Stage, Ms)>,
    is_prefilled: bool,
}

struct OpenReplacement {
    opener: Instance,
    prefills: BTreeMap<PromptPrefix, PrefillState>,
    /// Claims of this member with their expiry times, which are kept when the assignments change.
    own_claims: HashMap<PromptPrefix, Ms>,
}

/// Prefill assignments that one member tracks.
pub struct Assignments {
    own_instance: Instance,
    config: AssignmentConfig,
    open: HashMap<ReplacementId, OpenReplacement>,
    /// Last run of each node that has ended here. Late messages about it or about earlier runs open nothing.
    ended_runs: HashMap<Node, u64>,
}

impl Assignments {
    pub fn new(own_instance: Instance, config: AssignmentConfig) -> Assignments {
        Assignments { own_instance, config, open: HashMap::new(), ended_runs: HashMap::new() }
    }

    /// Opens a replacement that this member starts or that another member has announced. If two members have
    /// opened the same one, the opener that is first by rendezvous prevails at all members that receive both
    /// announcements; prefills that were completed before still count.
    pub fn open(
        &mut self, replacement: ReplacementId, opener: Instance, assignments: &[Assignment], now: Ms,
    ) -> Result<(), PrefillError> {
        if assignments.len() > self.config.max_prefills {
            return Err(PrefillError::TooMany {
                prefills: assignments.len(),
                limit: self.config.max_prefills,
            });
        }
        let newest_run = self.open.keys().filter(|id| id.node == replacement.node).map(|id| id.run).max();
        let last_ended_run = self.ended_runs.get(&replacement.node).copied();
        if newest_run.is_some_and(|run| run > replacement.run)
            || last_ended_run.is_some_and(|run| run >= replacement.run)
        {
            return Err(PrefillError::UnknownReplacement(replacement));
        }
        // A newer run of a node ends the older ones.
        self.open.retain(|id, _| id.node != replacement.node || id.run == replacement.run);
        let rank =
            |instance: Instance| (crate::rendezvous::mix(instance.member.0 ^ replacement.node.0), instance);
        let open = self.open.entry(replacement).or_insert_with(|| OpenReplacement {
            opener,
            prefills: BTreeMap::new(),
            own_claims: HashMap::new(),
        });
        if !open.prefills.is_empty() && rank(open.opener) <= rank(opener) {
            return Ok(());
        }
        open.opener = opener;
        let prefill = |a: &Assignment| {
            (
                a.prefix,
                PrefillState { assignment: *a, received_at: now, primary_report: None, is_prefilled: false },
            )
        };
        let previous = std::mem::replace(&mut open.prefills, assignments.iter().map(prefill).collect());
        for (prefix, prefill) in &mut open.prefills {
            let Some(previous) = previous.get(prefix) else { continue };
            prefill.is_prefilled = previous.is_prefilled;
            if previous.assignment.primary == prefill.assignment.primary {
                (prefill.primary_report, prefill.received_at) =
                    (previous.primary_report, previous.received_at);
            }
        }
        Ok(())
    }

    /// Applies another member's report. Reports on prefixes that are not open here are ignored.
    pub fn apply_claim(&mut self, claim: &Claim, now: Ms) {
        let Some(prefill) = self.prefill_mut(&claim.replacement, &claim.prefix) else { return };
        prefill.is_prefilled |= claim.stage == Stage::Prefilled;
        let is_newer = prefill.primary_report.is_none_or(|(stage, _)| stage < claim.stage);
        if claim.sender == prefill.assignment.primary && is_newer {
            prefill.primary_report = Some((claim.stage, now));
        }
    }

    /// Returns the prefills that this member may claim now, ordered by identifier.
    pub fn due(&self, now: Ms, is_live: &dyn Fn(Instance) -> bool) -> Vec<(ReplacementId, PromptPrefix)> {
        let mut due = Vec::new();
        for (replacement, open) in &self.open {
            let due_here = open.prefills.values().filter(|p| self.is_due(open, p, now, is_live));
            due.extend(due_here.map(|p| (*replacement, p.assignment.prefix)));
        }
        due.sort();
        due
    }

    /// Claims a prefill; this is possible only once. The claim must be sent to the others before the prefill.
    pub fn claim(
        &mut self, replacement: ReplacementId, prefix: PromptPrefix, now: Ms,
        is_live: &dyn Fn(Instance) -> bool, granted: &dyn Fn(Team, Model) -> bool,
    ) -> Result<Claim, PrefillError> {
        if !granted(prefix.team, prefix.model) {
            return Err(PrefillError::NotGranted(prefix));
        }
        let open = self.open.get(&replacement).ok_or(PrefillError::UnknownReplacement(replacement))?;
        let prefill = open.prefills.get(&prefix).ok_or(PrefillError::NotDue(prefix))?;
        if !self.is_due(open, prefill, now, is_live) {
            return Err(PrefillError::NotDue(prefix));
        }
        let expires_at = now.saturating_add(self.config.lease);
        if let Some(open) = self.open.get_mut(&replacement) {
            open.own_claims.insert(prefix, expires_at);
        }
        Ok(Claim { replacement, prefix, sender: self.own_instance, stage: Stage::Claimed })
    }

    /// Returns the text to prefill if the claim and the grant are still valid and the text is available. The
    /// caller runs this immediately before it sends the text, so that a process which was paused after its
    /// claim gives up here.
    pub fn authorize_send<'t>(
        &self, claim: &Claim, now: Ms, granted: &dyn Fn(Team, Model) -> bool, text: Option<&'t [u8]>,
    ) -> Result<&'t [u8], PrefillError> {
        let prefix = claim.prefix;
        if !granted(prefix.team, prefix.model) {
            return Err(PrefillError::NotGranted(prefix));
        }
        let open =
            self.open.get(&claim.replacement).ok_or(PrefillError::UnknownReplacement(claim.replacement))?;
        let expires_at = open.own_claims.get(&prefix).ok_or(PrefillError::NotDue(prefix))?;
        if now >= *expires_at {
            return Err(PrefillError::LeaseExpired(prefix));
        }
        text.ok_or(PrefillError::TextNotCached(prefix))
    }

    /// Ends a prefill and returns the report for the others. The claim is no longer valid and cannot be made
    /// again.
    pub fn finish(&mut self, claim: &Claim, is_complete: bool) -> Claim {
        if let Some(open) = self.open.get_mut(&claim.replacement) {
            open.own_claims.insert(claim.prefix, 0);
        }
        if let Some(prefill) = self.prefill_mut(&claim.replacement, &claim.prefix) {
            prefill.is_prefilled |= is_complete;
        }
        Claim { stage: if is_complete { Stage::Prefilled } else { Stage::Abandoned }, ..*claim }
    }

    /// Removes all prefills whose team may no longer call their model.
    pub fn retain(&mut self, granted: &dyn Fn(Team, Model) -> bool) {
        self.open.values_mut().for_each(|o| o.prefills.retain(|b, _| granted(b.team, b.model)));
    }

    /// Closes a replacement that has ended, or whose node drains or has failed, and all earlier runs of the
    /// node. No more of its prefixes are prefilled.
    pub fn close(&mut self, replacement: ReplacementId) {
        self.open.retain(|id, _| id.node != replacement.node || id.run > replacement.run);
        let last = self.ended_runs.entry(replacement.node).or_insert(replacement.run);
        *last = (*last).max(replacement.run);
    }

    /// Removes everything about a node that is permanently unlisted.
    pub fn forget(&mut self, node: Node) {
        self.open.retain(|id, _| id.node != node);
        self.ended_runs.remove(&node);
    }

    /// Returns the number of tracked prefills.
    pub fn len(&self) -> usize {
        self.open.values().map(|o| o.prefills.len()).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn prefill_mut(
        &mut self, replacement: &ReplacementId, prefix: &PromptPrefix,
    ) -> Option<&mut PrefillState> {
        self.open.get_mut(replacement)?.prefills.get_mut(prefix)
    }

    fn is_due(
        &self, open: &OpenReplacement, prefill: &PrefillState, now: Ms, is_live: &dyn Fn(Instance) -> bool,
    ) -> bool {
        if prefill.is_prefilled || open.own_claims.contains_key(&prefill.assignment.prefix) {
            return false;
        }
        if prefill.assignment.primary == self.own_instance {
            return true;
        }
        let AssignmentConfig { lease, margin, .. } = self.config;
        let backup_may_start = match prefill.primary_report {
            None => !is_live(prefill.assignment.primary) && now >= prefill.received_at.saturating_add(margin),
            Some((Stage::Claimed, at)) => {
                !is_live(prefill.assignment.primary) && now >= at.saturating_add(lease).saturating_add(margin)
            }
            Some((Stage::Abandoned, _)) => true,
            Some((Stage::Prefilled, _)) => false,
        };
        prefill.assignment.backup == Some(self.own_instance) && backup_may_start
    }
}
