//! Rows of cells: for each team, the decision timeline of every model. Rows with equal plans and blocks with
//! equal cells are stored once.

use std::collections::HashMap;

use super::clauses::{ClauseId, Clauses};
use super::timelines::{TimelineKey, Timelines};
use super::DecisionReason;

/// Number of cells in a block. Equal to the number of models in one word of a [`super::models::ModelSet`].
const BLOCK_CELLS: usize = 64;

/// Clauses in order of precedence, each with whether it denies.
type OrderedClauses = Vec<(ClauseId, bool)>;

/// The clauses that determine a team's row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RowPlan {
    /// Clauses that deny, in order of precedence.
    pub denies: Vec<ClauseId>,
    /// Clauses that allow, in order of precedence.
    pub allows: Vec<ClauseId>,
    /// The reason for refusing where no clause is valid.
    pub default_reason: DecisionReason,
}

/// The row of each team, the blocks of each row and the cells of each block. Rows with equal plans and blocks
/// with equal cells are stored once.
#[derive(Debug)]
pub struct Rows {
    row_by_team: Vec<u32>,
    /// Block ids, `width` for each row.
    rows: Vec<u32>,
    width: usize,
    /// Each cell is the id of a timeline.
    blocks: Vec<[u32; BLOCK_CELLS]>,
}

impl Rows {
    /// Returns the id of the timeline for a team and a model.
    pub fn timeline(&self, team: u32, model: u32) -> u32 {
        let row = self.row_by_team[team as usize] as usize;
        let block = self.rows[row * self.width + model as usize / BLOCK_CELLS];
        self.blocks[block as usize][model as usize % BLOCK_CELLS]
    }

    /// Returns the number of distinct rows and of distinct blocks.
    pub fn sizes(&self) -> (usize, usize) {
        (self.rows.len() / self.width.max(1), self.blocks.len())
    }
}

/// Builds the rows of all teams.
pub fn build_rows(models: usize, plans: Vec<RowPlan>, clauses: &Clauses, timelines: &mut Timelines) -> Rows {
    let width = models.div_ceil(BLOCK_CELLS);
    let mut built =
        Rows { row_by_team: Vec::with_capacity(plans.len()), rows: Vec::new(), width, blocks: Vec::new() };
    let mut row_ids: HashMap<RowPlan, u32> = HashMap::new();
    let mut block_ids: HashMap<[u32; BLOCK_CELLS], u32> = HashMap::new();
    // Avoids building a block again. The key is the index of the block's word, the default reason and
    // the clauses that cover any of its cells: teams that differ only in their own rules share most blocks.
    let mut block_by_clauses: HashMap<(usize, DecisionReason, OrderedClauses), u32> = HashMap::new();
    for plan in plans {
        if let Some(&row) = row_ids.get(&plan) {
            built.row_by_team.push(row);
            continue;
        }
        let row = row_ids.len() as u32;
        for word in 0..width {
            let key = (word, plan.default_reason, clauses_of_word(&plan, word, clauses));
            let id = block_by_clauses.get(&key).copied().unwrap_or_else(|| {
                let cells = build_block(&key.2, plan.default_reason, word, clauses, timelines);
                let id = *block_ids.entry(cells).or_insert_with(|| {
                    built.blocks.push(cells);
                    built.blocks.len() as u32 - 1
                });
                block_by_clauses.insert(key, id);
                id
            });
            built.rows.push(id);
        }
        row_ids.insert(plan, row);
        built.row_by_team.push(row);
    }
    built
}

/// Returns the clauses of the plan that cover at least one of the models in this word of the model set.
/// Clauses that deny come first.
fn clauses_of_word(plan: &RowPlan, word: usize, clauses: &Clauses) -> OrderedClauses {
    let denies = plan.denies.iter().map(|&id| (id, true));
    let all = denies.chain(plan.allows.iter().map(|&id| (id, false)));
    all.filter(|&(id, _)| clauses.get(id).models.words()[word] != 0).collect()
}

/// Builds one block by applying the clauses in order. Each clause applies to the cells for which no earlier
/// clause is valid at all times.
fn build_block(
    ordered: &[(ClauseId, bool)], default_reason: DecisionReason, word: usize, clauses: &Clauses,
    timelines: &mut Timelines,
) -> [u32; BLOCK_CELLS] {
    let default = TimelineKey { clauses: Vec::new(), default_reason };
    let mut cells = [timelines.intern(default, clauses); BLOCK_CELLS];
    // For cells that a clause with a limited validity covers: the clauses that can decide them, by bit.
    let mut timed: HashMap<u32, Vec<(ClauseId, bool)>> = HashMap::new();
    // The cells that no clause valid at all times has covered yet.
    let mut undecided = u64::MAX;
    for &(id, denies) in ordered {
        let clause = clauses.get(id);
        let mut bits = clause.models.words()[word] & undecided;
        if bits == 0 {
            continue;
        }
        let always_valid = clause.from == 0 && clause.until == u64::MAX;
        if always_valid {
            undecided &= !bits;
        }
        let constant = always_valid.then(|| {
            let key = TimelineKey { clauses: vec![(id, denies)], default_reason };
            timelines.intern(key, clauses)
        });
        while bits != 0 {
            let bit = bits.trailing_zeros();
            bits &= bits - 1;
            match (constant, timed.get_mut(&bit)) {
                (Some(timeline), None) => cells[bit as usize] = timeline,
                (_, Some(list)) => list.push((id, denies)),
                (None, None) => drop(timed.insert(bit, vec![(id, denies)])),
            }
        }
    }
    for (bit, cell_clauses) in timed {
        let key = TimelineKey { clauses: cell_clauses, default_reason };
        cells[bit as usize] = timelines.intern(key, clauses);
    }
    cells
}
