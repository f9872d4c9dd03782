//! Rows of cells: a team's verdict on every model, in blocks that like rows share.

use std::collections::HashMap;

use super::clauses::{ClauseId, Clauses};
use super::timelines::{Reason, Verdicts};
use super::RuleId;

/// Cells a block. One word of a set of models.
const BLOCK: usize = 64;

/// Clauses in the order in which they decide, with whether they deny.
type Order = Vec<(ClauseId, bool)>;

/// What a team's row is made of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RowPlan {
    /// Those that deny, in the order in which they decide.
    pub denies: Vec<ClauseId>,
    pub allows: Vec<ClauseId>,
    pub otherwise: RuleId,
}

/// Each team's row, each row's blocks, each block's cells; like ones once.
#[derive(Debug)]
pub struct Rows {
    row_of: Vec<u32>,
    /// `width` blocks a row.
    rows: Vec<u32>,
    width: usize,
    blocks: Vec<[u32; BLOCK]>,
}

impl Rows {
    pub fn verdict(&self, team: u32, model: u32) -> u32 {
        let row = self.row_of[team as usize] as usize;
        let block = self.rows[row * self.width + model as usize / BLOCK];
        self.blocks[block as usize][model as usize % BLOCK]
    }

    /// Rows and blocks kept.
    pub fn sizes(&self) -> (usize, usize) {
        (self.rows.len() / self.width.max(1), self.blocks.len())
    }
}

/// Makes the rows of all teams.
pub fn rows(models: usize, plans: Vec<RowPlan>, clauses: &Clauses, verdicts: &mut Verdicts) -> Rows {
    let width = models.div_ceil(BLOCK);
    let mut made =
        Rows { row_of: Vec::with_capacity(plans.len()), rows: Vec::new(), width, blocks: Vec::new() };
    let mut known: HashMap<RowPlan, u32> = HashMap::new();
    let mut blocks: HashMap<[u32; BLOCK], u32> = HashMap::new();
    // By word, default, and the clauses that say something of its cells: teams that differ by their own rules
    // alone share most blocks, which are then not made again.
    let mut seen: HashMap<(usize, RuleId, Order), u32> = HashMap::new();
    for plan in plans {
        if let Some(&row) = known.get(&plan) {
            made.row_of.push(row);
            continue;
        }
        let row = known.len() as u32;
        for word in 0..width {
            let key = (word, plan.otherwise, relevant(&plan, word, clauses));
            let id = seen.get(&key).copied().unwrap_or_else(|| {
                let cells = block(&key.2, plan.otherwise, word, clauses, verdicts);
                let id = *blocks.entry(cells).or_insert_with(|| {
                    made.blocks.push(cells);
                    made.blocks.len() as u32 - 1
                });
                seen.insert(key, id);
                id
            });
            made.rows.push(id);
        }
        known.insert(plan, row);
        made.row_of.push(row);
    }
    made
}

/// The clauses that say something of a block's cells.
fn relevant(plan: &RowPlan, word: usize, clauses: &Clauses) -> Order {
    let denies = plan.denies.iter().map(|&id| (id, true));
    let all = denies.chain(plan.allows.iter().map(|&id| (id, false)));
    all.filter(|&(id, _)| clauses.get(id).models.words()[word] != 0).collect()
}

/// One block: the clauses in order, each over the cells that nothing before has settled for all time.
fn block(
    order: &[(ClauseId, bool)], otherwise: RuleId, word: usize, clauses: &Clauses, verdicts: &mut Verdicts,
) -> [u32; BLOCK] {
    let default = Reason { clauses: Vec::new(), otherwise };
    let mut cells = [verdicts.intern(default, clauses); BLOCK];
    // Clauses that hold for a time only, of the cells that are not settled yet.
    let mut timed: HashMap<u32, Vec<(ClauseId, bool)>> = HashMap::new();
    let mut open = u64::MAX;
    for &(id, denies) in order {
        let clause = clauses.get(id);
        let mut bits = clause.models.words()[word] & open;
        if bits == 0 {
            continue;
        }
        let always = clause.from == 0 && clause.until == u64::MAX;
        if always {
            open &= !bits;
        }
        let settled = always.then(|| {
            let reason = Reason { clauses: vec![(id, denies)], otherwise };
            verdicts.intern(reason, clauses)
        });
        while bits != 0 {
            let bit = bits.trailing_zeros();
            bits &= bits - 1;
            match (settled, timed.get_mut(&bit)) {
                (Some(verdict), None) => cells[bit as usize] = verdict,
                (_, Some(list)) => list.push((id, denies)),
                (None, None) => drop(timed.insert(bit, vec![(id, denies)])),
            }
        }
    }
    for (bit, clauses_here) in timed {
        let reason = Reason { clauses: clauses_here, otherwise };
        cells[bit as usize] = verdicts.intern(reason, clauses);
    }
    cells
}
