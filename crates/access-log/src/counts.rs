//! What a gateway has asked of servers and of discovery since it started, as it writes it to its log now and then, and
//! the sum over a fleet. What one gateway does is little; what all of them do is priced by the deployment's settings.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The word in front of a gateway's counts in a log line.
pub const WORD: &str = "counts ";

/// What the deployment's settings take off its result, in the terms of the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Prices {
    /// Times probes a first try.
    pub probe: f64,
    /// Times new connections a first try.
    pub handshake: f64,
    /// Times lines of lists a hundred first tries.
    pub discovery: f64,
    /// Times the part of all prompt tokens that left their cell.
    #[serde(default)]
    pub moved: f64,
    /// Times work that brought no answer, as a part of what was asked for.
    #[serde(default)]
    pub waste: f64,
}

/// Since one start of one gateway.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Unix time of the start, in milliseconds: it tells one process from the next.
    pub since: f64,
    pub probes: u64,
    /// New connections to servers by what each was opened for.
    pub opened: Opened,
    /// Connections that did not come up: nobody there, no room, or too late.
    pub not_opened: u64,
    /// Requests of any kind on a connection that stood idle.
    pub reused: u64,
    /// Calls of discovery that were answered, the lines that came with them, and calls that failed.
    pub lists: u64,
    pub list_lines: u64,
    pub lists_failed: u64,
    pub prices: Prices,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Opened {
    pub attempt: u64,
    pub probe: u64,
    pub hold: u64,
    pub release: u64,
}

impl Opened {
    pub fn all(&self) -> u64 {
        self.attempt + self.probe + self.hold + self.release
    }
}

impl Counts {
    /// The counts in a line of a log, if there are any.
    pub fn of_line(line: &str) -> Option<Counts> {
        crate::behind(WORD, line)
    }

    /// The sum of what many gateways wrote, each line with its gateway's name, in any order: of each start the greatest
    /// counts are the last.
    pub fn sum(lines: impl IntoIterator<Item = (String, Counts)>) -> Counts {
        let mut last: BTreeMap<(String, u64), Counts> = BTreeMap::new();
        for (gateway, counts) in lines {
            let kept = last.entry((gateway, counts.since as u64)).or_default();
            if counts.work() >= kept.work() {
                *kept = counts;
            }
        }
        let mut sum = Counts::default();
        for c in last.into_values() {
            sum.probes += c.probes;
            sum.opened.attempt += c.opened.attempt;
            sum.opened.probe += c.opened.probe;
            sum.opened.hold += c.opened.hold;
            sum.opened.release += c.opened.release;
            sum.not_opened += c.not_opened;
            sum.reused += c.reused;
            sum.lists += c.lists;
            sum.list_lines += c.list_lines;
            sum.lists_failed += c.lists_failed;
            sum.prices = c.prices;
        }
        sum
    }

    fn work(&self) -> u64 {
        self.probes + self.opened.all() + self.not_opened + self.reused + self.lists + self.lists_failed
    }

    /// What these counts take off the deployment's result, for so many first tries.
    pub fn price(&self, first_tries: usize) -> f64 {
        let tries = first_tries.max(1) as f64;
        let lines = self.list_lines as f64 / 100.0;
        (self.prices.probe * self.probes as f64
            + self.prices.handshake * self.opened.all() as f64
            + self.prices.discovery * lines)
            / tries
    }

    /// The counts as text, beside so many first tries.
    pub fn table(&self, first_tries: usize) -> String {
        let a_try = |n: u64| n as f64 / first_tries.max(1) as f64;
        let Counts { opened, prices, .. } = self;
        let mut rows = vec![
            ("probes", self.probes, Some(prices.probe * a_try(self.probes))),
            ("connections opened", opened.all(), Some(prices.handshake * a_try(opened.all()))),
            ("    for an attempt", opened.attempt, None),
            ("    for a probe", opened.probe, None),
            ("    for a place held", opened.hold, None),
            ("    to let go of a state", opened.release, None),
            ("connections not come up", self.not_opened, None),
            ("connections used again", self.reused, None),
            ("calls of discovery answered", self.lists, None),
        ];
        let lines = prices.discovery * a_try(self.list_lines) / 100.0;
        rows.push(("    lines that came", self.list_lines, Some(lines)));
        rows.push(("calls of discovery that failed", self.lists_failed, None));
        let row = |(name, n, price): (&str, u64, Option<f64>)| {
            let price = price.map_or(String::new(), |p| format!("{:>9.2}% priced", 100.0 * p));
            format!("{name:<38}{n:>7}       {:>7.2} a first try{price}\n", a_try(n))
        };
        rows.into_iter().map(row).collect()
    }
}

impl std::fmt::Display for Counts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&serde_json::to_string(self).map_err(|_| std::fmt::Error)?)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn counts(since: f64, probes: u64) -> Counts {
        let prices = Prices { probe: 0.003, handshake: 0.01, discovery: 0.5, ..Prices::default() };
        let opened = Opened { attempt: 10, probe: 5, ..Opened::default() };
        Counts { since, probes, opened, list_lines: 40, prices, ..Counts::default() }
    }

    #[test]
    fn a_line_is_read_back_whatever_stands_around_it() {
        let one = counts(7.0, 3);
        assert_eq!(Counts::of_line(&format!("24.1 glenrail: {WORD}{one} (2 like it left out)")), Some(one));
        assert_eq!(Counts::of_line("24.1 glenrail: counts of nothing"), None);
    }

    /// Guards against counting a gateway's earlier lines beside its last, and against losing what a killed one had done.
    #[test]
    fn of_each_start_the_last_line_counts() {
        let named = |name: &str, c| (name.to_string(), c);
        let lines = [
            named("n1", counts(1.0, 30)),
            named("n1", counts(1.0, 20)),
            named("n1", counts(2.0, 7)),
            named("n2", counts(1.0, 5)),
        ];
        let sum = Counts::sum(lines);
        assert_eq!((sum.probes, sum.opened.all(), sum.list_lines), (42, 45, 120));
    }

    #[test]
    fn the_price_is_that_of_the_settings_terms() {
        let price = counts(1.0, 200).price(100);
        assert!((price - (0.003 * 2.0 + 0.01 * 0.15 + 0.5 * 0.4 / 100.0)).abs() < 1e-12, "{price}");
        assert!(counts(1.0, 200).table(100).contains("0.60% priced"));
    }
}
