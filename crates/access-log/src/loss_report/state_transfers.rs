//! KV states that were transferred out of the cell in which they were prefilled, and prefills whose state was not
//! fetched. The sums are limited to what gateways log: a server's work after a cancellation, or for a gateway that was
//! killed, is not included.

use super::turn::{Turn, PREFILLED_OUTCOME};
use crate::counts::Prices;
use crate::{RequestRecord, Stage};

/// Sums over all turns, in prompt tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StateTransfers {
    /// Tokens of the prompts of all turns, each turn counted once.
    pub prompt_tokens: f64,
    /// Tokens of states that a decode server fetched.
    pub fetched: f64,
    /// Part of `fetched` with a decode server outside the prefill server's cell.
    pub out_of_cell: f64,
    /// Part of `fetched` with a decode server outside the prefill server's zone.
    pub out_of_zone: f64,
    /// Tokens that successful prefills processed, excluding cached ones.
    pub prefilled: f64,
    /// Part of `prefilled` for states that no decode server fetched.
    pub unclaimed: f64,
}

/// A KV state at a prefill server that was not fetched yet.
struct PendingState {
    /// The server's zone and its cell within the zone; `None` if unknown.
    location: Option<(u32, u32)>,
    /// Tokens that were processed for it.
    prefilled: f64,
}

impl StateTransfers {
    pub(super) fn add(&mut self, turn: &Turn) {
        self.prompt_tokens += turn.requests.first().map_or(0.0, |request| request.prompt_tokens);
        turn.requests.iter().for_each(|request| self.add_request(request));
    }

    /// Adds the KV states of one request, followed from attempt to attempt.
    fn add_request(&mut self, request: &RequestRecord) {
        let mut pending: Option<PendingState> = None;
        for attempt in &request.attempts {
            if attempt.stage == Stage::Prefill && attempt.outcome == PREFILLED_OUTCOME {
                let prefilled = (request.prompt_tokens - attempt.cached_tokens).max(0.0);
                self.prefilled += prefilled;
                let state = PendingState { location: attempt.location, prefilled };
                self.add_unclaimed(pending.replace(state));
            } else if attempt.stage == Stage::Execute && attempt.first_token_ms.is_some() {
                let Some(state) = pending.take() else { continue };
                self.add_fetched(request.prompt_tokens, state.location, attempt.location);
            }
        }
        self.add_unclaimed(pending);
    }

    fn add_unclaimed(&mut self, state: Option<PendingState>) {
        self.unclaimed += state.map_or(0.0, |state| state.prefilled);
    }

    fn add_fetched(&mut self, tokens: f64, from: Option<(u32, u32)>, to: Option<(u32, u32)>) {
        self.fetched += tokens;
        let Some((from, to)) = from.zip(to) else { return };
        self.out_of_cell += if from == to { 0.0 } else { tokens };
        self.out_of_zone += if from.0 == to.0 { 0.0 } else { tokens };
    }

    /// Fraction of all prompt tokens whose state was transferred to another cell; priced by [`Prices::cell_transfer`].
    pub fn cell_transfer_share(&self) -> f64 {
        self.out_of_cell / self.prompt_tokens.max(1e-9)
    }

    /// Number of prefilled tokens whose state was not fetched, as a fraction of all prompt tokens; priced by
    /// [`Prices::waste`]. Other wasted work is not in the log.
    pub fn wasted_share(&self) -> f64 {
        self.unclaimed / self.prompt_tokens.max(1e-9)
    }

    /// The sums as text, with the fractions that they deduct from the deployment's result.
    pub fn table(&self, prices: &Prices) -> String {
        let percent = |tokens: f64| 100.0 * tokens / self.prompt_tokens.max(1e-9);
        let row = |(name, tokens, price): (&str, f64, Option<f64>)| {
            let price = price.map_or(String::new(), |price| format!("{:>9.2}% priced", 100.0 * price));
            let thousands = tokens / 1e3;
            format!("{name:<38}{thousands:>7.0}k      {:>7.2}% of prompts{price}\n", percent(tokens))
        };
        let rows = [
            ("tokens fetched by a writer", self.fetched, None),
            (
                "    out of the reader's cell",
                self.out_of_cell,
                Some(prices.cell_transfer * self.cell_transfer_share()),
            ),
            ("    out of its zone", self.out_of_zone, None),
            ("tokens read, not kept before", self.prefilled, None),
            ("    that no writer took", self.unclaimed, Some(prices.waste * self.wasted_share())),
        ];
        rows.into_iter().map(row).collect()
    }
}

#[cfg(test)]
mod tests;
