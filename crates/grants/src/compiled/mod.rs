//! The compiled table: grants in a form for fast lookup.
//!
//! The team and model of a request are interned ids. Each team has a *row*: references to blocks of 64 cells,
//! with one cell for each model. A cell is the id of a *timeline*, the decision as a function of time. Equal
//! rows, blocks and timelines are stored once. A check is four dependent reads, plus a binary search where
//! the decision changes with time. The compiler resolves everything that does not depend on time: patterns,
//! groups, aliases, parents, conflicts.
//!
//! Order of precedence:
//!
//! 1. An unknown team or model is refused ([`DecisionReason::UnknownTeam`],
//!    [`DecisionReason::UnknownModel`]).
//! 2. A team is refused everything if a parent is missing, in a cycle, or too many generations up
//!    ([`DecisionReason::UnresolvedParents`]), because the denials that it would inherit are not known. Only
//!    merged changes can cause this; a validated document cannot.
//! 3. A rule that denies the call refuses it. The rule may belong to the team, to any generation above it, or
//!    to the rules for several teams.
//! 4. A rule that allows the call, found in the same places, allows it.
//! 5. Any other call is refused: [`DecisionReason::Conflict`] if a section that applies to it is in conflict,
//!    otherwise [`DecisionReason::Default`].
//!
//! If several rules decide, the first one by (shared before teams, team, rule name) is reported as the
//! reason.
//!
//! If a section has siblings, a call that any of them denies is denied, and only a call that all of them
//! allow is allowed. A model or alias must resolve to the same model in all siblings. In a rule that allows,
//! a group stands for the models that it has in all siblings; in a rule that denies, for those that it has in
//! any. A model that is restricted in any sibling is restricted.

mod build;
mod clauses;
mod models;
mod reason_text;
mod rows;
mod timelines;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::document::{Document, StreamPolicy};
use crate::sections::{SectionKey, Sections};

pub use build::CompileWarning;
pub use reason_text::ReasonText;
use rows::Rows;
use timelines::Timeline;

/// The id of a team, valid for one table only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TeamId {
    table: u64,
    pub(crate) index: u32,
}

/// The id of a model, valid for one table only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ModelId {
    table: u64,
    pub(crate) index: u32,
}

/// The reason for a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DecisionReason {
    /// A rule of the table; [`Table::rule_name`] returns its name.
    Rule(u32),
    /// No rule allows the call.
    Default,
    /// No rule allows the call, and a section that applies to it has an unresolved conflict.
    Conflict,
    /// The team's parents cannot be resolved.
    UnresolvedParents,
    UnknownTeam,
    UnknownModel,
    /// The ids belong to another table; the caller must resolve the names again.
    OtherTable,
    /// This member's lease has expired, and its [`crate::revocation::StalePolicy`] refuses the model.
    LeaseExpired,
}

/// The outcome of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Decision {
    pub allowed: bool,
    pub reason: DecisionReason,
    /// What happens to open streams: if a rule denies the call, to the streams that the rule stops; if the
    /// call is allowed, to a stream admitted by this decision once nothing allows it.
    pub stream_policy: StreamPolicy,
}

impl Decision {
    pub(crate) const fn refused(reason: DecisionReason) -> Decision {
        Decision { allowed: false, reason, stream_policy: StreamPolicy::Finish }
    }

    /// Returns what happens to an open stream that this decision admitted, given the `current` decision of
    /// the same check; `None` while the call is still allowed. If a rule denies the call, that rule's policy
    /// applies. In any other case (the grant was removed or has expired, or the lease has expired), the
    /// policy of the rule that admitted the stream applies.
    pub fn open_stream_policy(&self, current: &Decision) -> Option<StreamPolicy> {
        match current {
            Decision { allowed: true, .. } => None,
            Decision { reason: DecisionReason::Rule(_), stream_policy, .. } => Some(*stream_policy),
            _ => Some(self.stream_policy),
        }
    }
}

/// The name of a rule, with the section that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RuleName {
    /// [`SectionKey::Shared`] or a team.
    pub section: SectionKey,
    pub rule: String,
}

/// The compiled form of all sections. Immutable: the caller keeps it in an `Arc` and replaces it as a whole.
#[derive(Debug)]
pub struct Table {
    table_id: u64,
    teams: HashMap<Box<str>, u32>,
    team_names: Vec<Box<str>>,
    models: models::ModelNames,
    rules: Vec<RuleName>,
    rows: Rows,
    timelines: Vec<Timeline>,
    /// The times at which any decision changes, sorted and without duplicates.
    change_times: Vec<u64>,
    warnings: Vec<CompileWarning>,
}

impl Table {
    pub fn from_document(document: &Document) -> Table {
        Table::compile(&Sections::from_document(document))
    }

    /// Compiles sections. Never fails: calls that depend on a part that cannot be resolved are refused, and
    /// [`warnings`](Table::warnings) lists the causes.
    pub fn compile(sections: &Sections) -> Table {
        static NEXT_TABLE_ID: AtomicU64 = AtomicU64::new(0);
        build::build(sections, NEXT_TABLE_ID.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the id of the team in this table.
    pub fn team(&self, name: &str) -> Option<TeamId> {
        self.teams.get(name).map(|&index| TeamId { table: self.table_id, index })
    }

    /// Returns the id of a model by its name or an alias.
    pub fn model(&self, name: &str) -> Option<ModelId> {
        self.models.get(name).map(|index| ModelId { table: self.table_id, index })
    }

    /// Decides whether the team may call the model at `now` (Unix ms). Allocates nothing.
    pub fn check(&self, team: TeamId, model: ModelId, now: u64) -> Decision {
        if team.table != self.table_id || model.table != self.table_id {
            return Decision::refused(DecisionReason::OtherTable);
        }
        let timeline = self.rows.timeline(team.index, model.index);
        self.timelines[timeline as usize].at(now)
    }

    /// Like [`check`](Table::check), by names; the model may be given by an alias. Allocates nothing.
    pub fn check_names(&self, team: &str, model: &str, now: u64) -> Decision {
        let Some(team) = self.team(team) else { return Decision::refused(DecisionReason::UnknownTeam) };
        let Some(model) = self.model(model) else { return Decision::refused(DecisionReason::UnknownModel) };
        self.check(team, model, now)
    }

    /// Returns whether the model is marked as restricted; true for ids of another table.
    pub fn restricted(&self, model: ModelId) -> bool {
        model.table != self.table_id || self.models.restricted(model.index)
    }

    /// Returns the next time after `now` (Unix ms) at which any decision changes.
    pub fn next_change(&self, now: u64) -> Option<u64> {
        self.change_times.get(self.change_times.partition_point(|&at| at <= now)).copied()
    }

    /// Returns the name of the rule behind a reason; `None` for reasons other than a rule.
    pub fn rule_name(&self, reason: DecisionReason) -> Option<&RuleName> {
        match reason {
            DecisionReason::Rule(index) => self.rules.get(index as usize),
            _ => None,
        }
    }

    /// Returns the name of the team; `None` for an id of another table.
    pub fn team_name(&self, team: TeamId) -> Option<&str> {
        let name = self.team_names.get(team.index as usize)?;
        (team.table == self.table_id).then_some(name)
    }

    /// Returns the model's own name, even if it was looked up by an alias; `None` for an id of another table.
    pub fn model_name(&self, model: ModelId) -> Option<&str> {
        (model.table == self.table_id).then(|| self.models.name(model.index)).flatten()
    }

    /// Returns all teams, sorted by name.
    pub fn teams(&self) -> impl Iterator<Item = (&str, TeamId)> {
        let id = |index: usize| TeamId { table: self.table_id, index: index as u32 };
        self.team_names.iter().enumerate().map(move |(index, name)| (&**name, id(index)))
    }

    /// Returns all models, sorted by name.
    pub fn models(&self) -> impl Iterator<Item = (&str, ModelId)> {
        let id = |index: usize| ModelId { table: self.table_id, index: index as u32 };
        self.models.names().iter().enumerate().map(move |(index, name)| (&**name, id(index)))
    }

    /// Returns every model with its decision for the team, sorted by the model's name.
    pub fn decisions(&self, team: TeamId, now: u64) -> impl Iterator<Item = (&str, Decision)> {
        self.models().map(move |(name, model)| (name, self.check(team, model, now)))
    }

    /// Returns the problems in merged sections; empty for a validated document.
    pub fn warnings(&self) -> &[CompileWarning] {
        &self.warnings
    }

    /// Returns the numbers of distinct rows, blocks of cells and timelines.
    pub fn sizes(&self) -> (usize, usize, usize) {
        let (rows, blocks) = self.rows.sizes();
        (rows, blocks, self.timelines.len())
    }
}
