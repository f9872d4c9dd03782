//! Rows of cells: a team's verdict on every model, in blocks that like rows share.

use std::collections::HashMap;

use super::clauses::{ClauseId, Clauses};
use super::timelines::{TimelineKey, Timelines};
use super::DecisionReason;

/// Cells a block. One word of a set of models.
const BLOCK_CELLS: usize = 64;

/// Clauses in the order in which they decide, with whether they deny.
type OrderedClauses = Vec<(ClauseId, bool)>;

/// What a team's row is made of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RowPlan {
    /// Those that deny, in the order in which they decide.
    pub denies: Vec<ClauseId>,
    pub allows: Vec<ClauseId>,
    pub default_reason: DecisionReason,
}

/// Each team's row, each row's blocks, each block's cells; like ones once.
#[derive(Debug)]
pub struct Rows {
    row_by_team: Vec<u32>,
    /// `width` blocks a row.
    rows: Vec<u32>,
    width: usize,
    blocks: Vec<[u32; BLOCK_CELLS]>,
}

impl Rows {
    pub fn timeline(&self, team: u32, model: u32) -> u32 {
        let row = self.row_by_team[team as usize] as usize;
        let block = self.rows[row * self.width + model as usize / BLOCK_CELLS];
        self.blocks[block as usize][model as usize % BLOCK_CELLS]
    }

    /// Rows and blocks kept.
    pub fn sizes(&self) -> (usize, usize) {
        (self.rows.len() / self.width.max(1), self.blocks.len())
    }
}

/// Makes the rows of all teams.
pub fn build_rows(models: usize, plans: Vec<RowPlan>, clauses: &Clauses, timelines: &mut Timelines) -> Rows {
    let width = models.div_ceil(BLOCK_CELLS);
    let mut built =
        Rows { row_by_team: Vec::with_capacity(plans.len()), rows: Vec::new(), width, blocks: Vec::new() };
    let mut row_ids: HashMap<RowPlan, u32> = HashMap::new();
    let mut block_ids: HashMap<[u32; BLOCK_CELLS], u32> = HashMap::new();
    // By word, default, and the clauses that say something of its cells: teams that differ by their own rules
    // alone share most blocks, which are then not made again.
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

/// The clauses that say something of a block's cells.
fn clauses_of_word(plan: &RowPlan, word: usize, clauses: &Clauses) -> OrderedClauses {
    let denies = plan.denies.iter().map(|&id| (id, true));
    let all = denies.chain(plan.allows.iter().map(|&id| (id, false)));
    all.filter(|&(id, _)| clauses.get(id).models.words()[word] != 0).collect()
}

/// One block: the clauses in order, each over the cells that nothing before has settled for all time.
fn build_block(
    ordered: &[(ClauseId, bool)], default_reason: DecisionReason, word: usize, clauses: &Clauses,
    timelines: &mut Timelines,
) -> [u32; BLOCK_CELLS] {
    let default = TimelineKey { clauses: Vec::new(), default_reason };
    let mut cells = [timelines.intern(default, clauses); BLOCK_CELLS];
    // Clauses that hold for a time only, of the cells that are not settled yet.
    let mut timed: HashMap<u32, Vec<(ClauseId, bool)>> = HashMap::new();
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
