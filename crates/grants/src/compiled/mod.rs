//! What documents mean, made for the look-up.
//!
//! A request's team and model are interned ids. Each team has a *row*: pointers to blocks of 64 cells, one cell a
//! model, each cell the number of a verdict. Teams, rows, blocks and verdicts that are alike are kept once, so
//! a check is four dependent reads, and a binary search where the verdict changes with time. Building decides
//! everything that does not depend on time: patterns, groups, aliases, parents, conflicts.
//!
//! What decides, in this order:
//!
//! 1. a team or model that nobody knows is refused ([`DecisionReason::UnknownTeam`], [`DecisionReason::UnknownModel`]);
//! 2. a team whose parents are missing, in a circle or too many is refused ([`DecisionReason::UnresolvedParents`]): what it would have
//!    been denied by them cannot be known. Only merged changes can bring this about, no document can;
//! 3. a rule that denies it, of the team or of any generation above, or for several teams: refused;
//! 4. a rule that allows it, found likewise: allowed;
//! 5. refused: [`DecisionReason::Default`], or [`DecisionReason::Conflict`] if a part that has a say here is in conflict.
//!
//! Of several that hold, the one first by (shared before teams, team, rule name) is named.
//!
//! Where a part has siblings, what each of them denies is denied, and only what all allow is allowed: a
//! model or alias must be the same in all, a group holds for allowing what it holds in all and for denying what
//! it holds in any, and a model restricted in any is restricted.

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

/// A team of one table. Of no use with another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TeamId {
    table: u64,
    pub(crate) index: u32,
}

/// A model of one table. Of no use with another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ModelId {
    table: u64,
    pub(crate) index: u32,
}

/// What decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DecisionReason {
    /// A rule of the table; [`Table::rule_name`] has its name.
    Rule(u32),
    /// No rule allows it.
    Default,
    /// No rule allows it, and an unsettled conflict has a say here.
    Conflict,
    /// The team's parents cannot be made out.
    UnresolvedParents,
    UnknownTeam,
    UnknownModel,
    /// The ids are another table's: resolve the names anew.
    OtherTable,
    /// The model is restricted, or all are, and this member's lease of knowledge has ended
    /// ([`crate::revocation`]).
    LeaseExpired,
}

/// Whether, and by what.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Decision {
    pub allowed: bool,
    pub reason: DecisionReason,
    /// What becomes of a stream under way: of one that it refuses, if a rule denies; of one that it let in,
    /// once nothing allows it any more.
    pub stream_policy: StreamPolicy,
}

impl Decision {
    pub(crate) const fn refused(reason: DecisionReason) -> Decision {
        Decision { allowed: false, reason, stream_policy: StreamPolicy::Finish }
    }

    /// What becomes of a stream that this decision let in, now that the same check says `now`. None while it
    /// is still allowed. A rule that denies says so itself; where a grant has merely ended, or knowledge has,
    /// what let the stream in said it.
    pub fn open_stream_policy(&self, current: &Decision) -> Option<StreamPolicy> {
        match current {
            Decision { allowed: true, .. } => None,
            Decision { reason: DecisionReason::Rule(_), stream_policy, .. } => Some(*stream_policy),
            _ => Some(self.stream_policy),
        }
    }
}

/// A rule's name and where it stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RuleName {
    /// [`SectionKey::Shared`] or a team.
    pub section: SectionKey,
    pub rule: String,
}

/// All that parts mean. Immutable; a driver keeps it in an `Arc` and swaps the whole.
#[derive(Debug)]
pub struct Table {
    table_id: u64,
    teams: HashMap<Box<str>, u32>,
    team_names: Vec<Box<str>>,
    models: models::ModelNames,
    rules: Vec<RuleName>,
    rows: Rows,
    timelines: Vec<Timeline>,
    /// When any verdict changes, sorted, each once.
    change_times: Vec<u64>,
    warnings: Vec<CompileWarning>,
}

impl Table {
    pub fn from_document(document: &Document) -> Table {
        Table::compile(&Sections::from_document(document))
    }

    /// Never fails: what cannot be made out refuses, and is listed by [`warnings`](Table::warnings).
    pub fn compile(sections: &Sections) -> Table {
        static NEXT_TABLE_ID: AtomicU64 = AtomicU64::new(0);
        build::build(sections, NEXT_TABLE_ID.fetch_add(1, Ordering::Relaxed))
    }

    /// The team's id in this table.
    pub fn team(&self, name: &str) -> Option<TeamId> {
        self.teams.get(name).map(|&index| TeamId { table: self.table_id, index })
    }

    /// The id of a model by its name or an alias.
    pub fn model(&self, name: &str) -> Option<ModelId> {
        self.models.get(name).map(|index| ModelId { table: self.table_id, index })
    }

    /// Whether the team may call the model at `now` (Unix ms). Allocates nothing.
    pub fn check(&self, team: TeamId, model: ModelId, now: u64) -> Decision {
        if team.table != self.table_id || model.table != self.table_id {
            return Decision::refused(DecisionReason::OtherTable);
        }
        let timeline = self.rows.timeline(team.index, model.index);
        self.timelines[timeline as usize].at(now)
    }

    /// The same by names; a model goes by its aliases, too. Allocates nothing.
    pub fn check_names(&self, team: &str, model: &str, now: u64) -> Decision {
        let Some(team) = self.team(team) else { return Decision::refused(DecisionReason::UnknownTeam) };
        let Some(model) = self.model(model) else { return Decision::refused(DecisionReason::UnknownModel) };
        self.check(team, model, now)
    }

    /// Whether the model may be refused by a member that is stale. True for ids of another table.
    pub fn restricted(&self, model: ModelId) -> bool {
        model.table != self.table_id || self.models.restricted(model.index)
    }

    /// The next time after `now` (Unix ms) at which any check may change by itself.
    pub fn next_change(&self, now: u64) -> Option<u64> {
        self.change_times.get(self.change_times.partition_point(|&at| at <= now)).copied()
    }

    /// The rule's name, for those that have one.
    pub fn rule_name(&self, reason: DecisionReason) -> Option<&RuleName> {
        match reason {
            DecisionReason::Rule(index) => self.rules.get(index as usize),
            _ => None,
        }
    }

    pub fn team_name(&self, team: TeamId) -> Option<&str> {
        let name = self.team_names.get(team.index as usize)?;
        (team.table == self.table_id).then_some(name)
    }

    /// The model's own name, whatever alias it was resolved from.
    pub fn model_name(&self, model: ModelId) -> Option<&str> {
        (model.table == self.table_id).then(|| self.models.name(model.index)).flatten()
    }

    /// All teams, by name.
    pub fn teams(&self) -> impl Iterator<Item = (&str, TeamId)> {
        let id = |index: usize| TeamId { table: self.table_id, index: index as u32 };
        self.team_names.iter().enumerate().map(move |(index, name)| (&**name, id(index)))
    }

    /// All models, by name.
    pub fn models(&self) -> impl Iterator<Item = (&str, ModelId)> {
        let id = |index: usize| ModelId { table: self.table_id, index: index as u32 };
        self.models.names().iter().enumerate().map(move |(index, name)| (&**name, id(index)))
    }

    /// Every model with what decides for the team, by the model's name.
    pub fn decisions(&self, team: TeamId, now: u64) -> impl Iterator<Item = (&str, Decision)> {
        self.models().map(move |(name, model)| (name, self.check(team, model, now)))
    }

    /// What could not be made out of merged parts; empty for a document's.
    pub fn warnings(&self) -> &[CompileWarning] {
        &self.warnings
    }

    /// Rows, blocks of cells and verdicts that are kept, each once.
    pub fn sizes(&self) -> (usize, usize, usize) {
        let (rows, blocks) = self.rows.sizes();
        (rows, blocks, self.timelines.len())
    }
}
