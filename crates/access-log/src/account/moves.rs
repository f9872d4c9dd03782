//! Read states: which were moved out of the cell in which they were read, and which nobody took. As far as a gateway's
//! log can tell: what a server does after it has been called back, or for a killed gateway, stands in no line.

use super::fate::Turn;
use crate::counts::Prices;
use crate::{RequestRecord, Stage};

/// Prompt tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Moves {
    /// Of all turns, each once.
    pub asked: f64,
    /// Fetched by a writer at all, out of the reader's cell, and out of its zone.
    pub fetched: f64,
    pub out_of_cell: f64,
    pub out_of_zone: f64,
    /// Those that readers read, not kept from before, and those of them that no writer took.
    pub read: f64,
    pub untaken: f64,
}

impl Moves {
    pub(super) fn note(&mut self, turn: &Turn) {
        self.asked += turn.tries.first().map_or(0.0, |s| s.prompt_tokens);
        turn.tries.iter().for_each(|s| self.follow(s));
    }

    fn follow(&mut self, story: &RequestRecord) {
        // The place of the state that waits, and what it took to read.
        let mut waits = None;
        for t in &story.attempts {
            if t.stage == Stage::Read && t.outcome == "Read" {
                let read = (story.prompt_tokens - t.cached_tokens).max(0.0);
                self.read += read;
                self.untaken += waits.replace((t.location, read)).map_or(0.0, |w| w.1);
            } else if let (Stage::Run, Some(_), Some((from, _))) = (t.stage, t.first_token_ms, waits) {
                waits = None;
                self.fetched += story.prompt_tokens;
                if let (Some(from), Some(to)) = (from, t.location) {
                    self.out_of_cell += if from == to { 0.0 } else { story.prompt_tokens };
                    self.out_of_zone += if from.0 == to.0 { 0.0 } else { story.prompt_tokens };
                }
            }
        }
        self.untaken += waits.map_or(0.0, |w| w.1);
    }

    /// What is priced as moved: tokens that left their cell, of all prompt tokens.
    pub fn moved(&self) -> f64 {
        self.out_of_cell / self.asked.max(1e-9)
    }

    /// What is priced as wasted, as far as it is seen: tokens read for nobody, of all prompt tokens.
    pub fn wasted(&self) -> f64 {
        self.untaken / self.asked.max(1e-9)
    }

    /// As text, with what it takes off the deployment's result.
    pub fn table(&self, prices: &Prices) -> String {
        let of = |tokens: f64| 100.0 * tokens / self.asked.max(1e-9);
        let row = |(name, tokens, price): (&str, f64, Option<f64>)| {
            let price = price.map_or(String::new(), |p| format!("{:>9.2}% priced", 100.0 * p));
            let (k, part) = (tokens / 1e3, of(tokens));
            format!("{name:<38}{k:>7.0}k      {part:>7.2}% of prompts{price}\n")
        };
        let rows = [
            ("tokens fetched by a writer", self.fetched, None),
            ("    out of the reader's cell", self.out_of_cell, Some(prices.moved * self.moved())),
            ("    out of its zone", self.out_of_zone, None),
            ("tokens read, not kept before", self.read, None),
            ("    that no writer took", self.untaken, Some(prices.waste * self.wasted())),
        ];
        rows.into_iter().map(row).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::AttemptRecord;

    fn read(place: (u32, u32), kept: f64) -> AttemptRecord {
        AttemptRecord {
            location: Some(place),
            outcome: "Read".into(),
            cached_tokens: kept,
            ..AttemptRecord::default()
        }
    }

    fn run(place: (u32, u32), begun: bool) -> AttemptRecord {
        AttemptRecord {
            stage: Stage::Run,
            location: Some(place),
            first_token_ms: begun.then_some(1.0),
            ..AttemptRecord::default()
        }
    }

    fn moves(tries: Vec<AttemptRecord>) -> Moves {
        let story = RequestRecord { prompt_tokens: 1_000.0, attempts: tries, ..RequestRecord::default() };
        let mut moves = Moves::default();
        moves.note(&Turn { tries: vec![&story] });
        moves
    }

    #[test]
    fn a_state_is_moved_from_where_it_was_last_read_to_where_it_begins() {
        let near = moves(vec![read((0, 1), 400.0), run((0, 2), false), run((0, 1), true)]);
        assert_eq!((near.fetched, near.moved(), near.read, near.wasted()), (1_000.0, 0.0, 600.0, 0.0));
        let far = moves(vec![read((0, 1), 0.0), run((1, 1), true)]);
        assert_eq!((far.moved(), far.out_of_zone), (1.0, 1_000.0));
        let prices = Prices { moved: 0.03, waste: 0.16, ..Prices::default() };
        assert!(far.table(&prices).contains("3.00% priced"));
        // The same number in another zone is another cell.
        assert_eq!(moves(vec![read((0, 1), 0.0), run((0, 2), true)]).out_of_zone, 0.0);
    }

    /// Guards against taking a prompt that was read twice for one that was used twice.
    #[test]
    fn what_no_writer_takes_is_wasted() {
        let twice =
            moves(vec![read((0, 1), 0.0), run((0, 1), false), read((0, 2), 700.0), run((0, 2), true)]);
        assert_eq!((twice.read, twice.wasted(), twice.moved()), (1_300.0, 1.0, 0.0));
        assert_eq!(moves(vec![read((0, 1), 900.0)]).wasted(), 0.1);
        assert_eq!(moves(vec![run((0, 1), true)]), Moves { asked: 1_000.0, ..Moves::default() });
    }
}
