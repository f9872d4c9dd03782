//! KV state that was transferred out of the cell in which it was read, and prefills whose state nobody fetched. As far as a
//! gateway's log can tell: what a server does after a cancellation, or for a killed gateway, stands in no line.

use super::turn::{Turn, PREFILLED_OUTCOME};
use crate::counts::Prices;
use crate::{RequestRecord, Stage};

/// Sums over all turns, in prompt tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StateTransfers {
    /// Prompts of all turns, each once.
    pub prompt_tokens: f64,
    /// Fetched by a decode server.
    pub fetched: f64,
    /// Of these, fetched out of the prefill server's cell.
    pub out_of_cell: f64,
    /// Of these, fetched out of its zone.
    pub out_of_zone: f64,
    /// Read by prefill servers, beyond what was cached.
    pub prefilled: f64,
    /// Of these, read for states that no decode server fetched.
    pub unclaimed: f64,
}

/// A state that waits at a prefill server.
struct PendingState {
    /// The server's zone and its cell in that.
    location: Option<(u32, u32)>,
    /// Tokens that were read for it.
    prefilled: f64,
}

impl StateTransfers {
    pub(super) fn add(&mut self, turn: &Turn) {
        self.prompt_tokens += turn.requests.first().map_or(0.0, |request| request.prompt_tokens);
        turn.requests.iter().for_each(|request| self.add_request(request));
    }

    /// Follows the state of one request from attempt to attempt.
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

    /// The share of all prompt tokens that is priced as cell_transfer: tokens whose state left its cell.
    pub fn cell_transfer_share(&self) -> f64 {
        self.out_of_cell / self.prompt_tokens.max(1e-9)
    }

    /// The share of all prompt tokens that is priced as wasted, as far as it is seen: tokens read for nobody.
    pub fn wasted_share(&self) -> f64 {
        self.unclaimed / self.prompt_tokens.max(1e-9)
    }

    /// As text, with what it takes off the deployment's result.
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
