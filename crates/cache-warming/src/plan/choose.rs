//! Knapsack selection: the largest saving within a budget of tokens and requests.
//!
//! The best of three selections is taken: greedy by saving per token, greedy by saving per share of both
//! budgets, and greedy by saving alone, which includes the best single item. If the number of requests does
//! not bind, the result saves at least half of the optimum (Dantzig's bound: greedy plus the first item that
//! does not fit saves at least the fractional optimum, so one of the two saves half of it). If the number of
//! requests binds, the result saves at least a quarter, because a selection within both budgets takes at most
//! twice the sum of the shares that the second greedy selection fills.

/// What may be spent on warming a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    pub tokens: u64,
    pub sends: u32,
}

/// A prefix that may be prefilled, with its cost and its saving.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Item {
    pub tokens: u64,
    /// Saving in tokens per second; never negative.
    pub saving: f64,
}

/// Returns the indices of the chosen items, the largest saving per token first.
pub fn choose(items: &[Item], budget: Budget) -> Vec<usize> {
    let usable: Vec<usize> =
        (0..items.len()).filter(|at| items[*at].saving > 0.0 && items[*at].tokens <= budget.tokens).collect();
    let (tokens, sends) = (budget.tokens.max(1) as f64, f64::from(budget.sends.max(1)));
    let by_token = |item: &Item| item.saving / item.tokens.max(1) as f64;
    let by_part = |item: &Item| item.saving / (item.tokens as f64 / tokens + 1.0 / sends);
    let worth = |chosen: &Vec<usize>| chosen.iter().map(|at| items[*at].saving).sum::<f64>();
    let mut best = Vec::new();
    for by in [&by_token as &dyn Fn(&Item) -> f64, &by_part, &|item| item.saving] {
        let chosen = fill(items, &usable, budget, by);
        if worth(&chosen) > worth(&best) {
            best = chosen;
        }
    }
    best.sort_by(|a, b| by_token(&items[*b]).total_cmp(&by_token(&items[*a])).then(a.cmp(b)));
    best
}

/// Takes every item that still fits, in descending order of `by`. By saving alone, the first item taken is
/// the best single one.
fn fill(items: &[Item], usable: &[usize], budget: Budget, by: &dyn Fn(&Item) -> f64) -> Vec<usize> {
    let mut order = usable.to_vec();
    order.sort_by(|a, b| by(&items[*b]).total_cmp(&by(&items[*a])).then(a.cmp(b)));
    let (mut tokens, mut chosen) = (budget.tokens, Vec::new());
    for at in order {
        if chosen.len() < budget.sends as usize && items[at].tokens <= tokens {
            tokens -= items[at].tokens;
            chosen.push(at);
        }
    }
    chosen
}
