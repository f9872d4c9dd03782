//! The knapsack: the most saving within a budget of tokens and of sends.
//!
//! Plain greedy by saving a token, and beside it greedy by saving over the part of both budgets that an item takes, and the best
//! single item; the best of the three is taken. Where sends do not bind it saves at least half of the best possible (Dantzig's
//! bound: greedy and the first item that does not fit are at least the fractional best, and one of both is half of it). Where
//! they bind, at least a quarter: a choice within both budgets takes at most twice the sum of the parts that the second greedy
//! fills.

/// What may be spent on a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    pub tokens: u64,
    pub sends: u32,
}

/// One beginning that may be read: what it costs, and what it saves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Item {
    pub tokens: u64,
    /// Never negative.
    pub saving: f64,
}

/// Places of the chosen items, those with the most saving a token first.
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

/// Takes what still fits, in this order. By saving alone, the first one is the best single item.
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
