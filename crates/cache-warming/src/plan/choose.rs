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
    /// Prompt tokens to prefill.
    pub tokens: u64,
    /// Number of prefills.
    pub requests: u32,
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
    let usable: Vec<usize> = (0..items.len())
        .filter(|index| items[*index].saving > 0.0 && items[*index].tokens <= budget.tokens)
        .collect();
    let (tokens, requests) = (budget.tokens.max(1) as f64, f64::from(budget.requests.max(1)));
    let saving_per_token = |item: &Item| item.saving / item.tokens.max(1) as f64;
    let saving_per_share = |item: &Item| item.saving / (item.tokens as f64 / tokens + 1.0 / requests);
    let total_saving = |chosen: &Vec<usize>| chosen.iter().map(|index| items[*index].saving).sum::<f64>();
    let mut best = Vec::new();
    for score in [&saving_per_token as &dyn Fn(&Item) -> f64, &saving_per_share, &|item| item.saving] {
        let chosen = fill_greedily(items, &usable, budget, score);
        if total_saving(&chosen) > total_saving(&best) {
            best = chosen;
        }
    }
    best.sort_by(|a, b| saving_per_token(&items[*b]).total_cmp(&saving_per_token(&items[*a])).then(a.cmp(b)));
    best
}

/// Takes every item that still fits, in descending order of `score`. By saving alone, the first item taken is
/// the best single one.
fn fill_greedily(
    items: &[Item], usable: &[usize], budget: Budget, score: &dyn Fn(&Item) -> f64,
) -> Vec<usize> {
    let mut order = usable.to_vec();
    order.sort_by(|a, b| score(&items[*b]).total_cmp(&score(&items[*a])).then(a.cmp(b)));
    let (mut tokens, mut chosen) = (budget.tokens, Vec::new());
    for index in order {
        if chosen.len() < budget.requests as usize && items[index].tokens <= tokens {
            tokens -= items[index].tokens;
            chosen.push(index);
        }
    }
    chosen
}
