//! Counts of a gateway's calls to servers and to discovery since its start, which it logs periodically, and their sum
//! over many gateways. The settings price the sum: the calls of a single gateway cost little, those of all gateways may
//! not.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::line::value_after;

/// Prefix of a gateway's counts in a log line.
pub const LOG_PREFIX: &str = "counts ";

/// Prices of calls and of wasted work in the settings. Each price, multiplied by its quantity, is deducted from the
/// deployment's result, as a fraction of the requested weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Prices {
    /// Multiplied by the number of probes per turn.
    pub probe: f64,
    /// Multiplied by the number of new connections per turn.
    pub handshake: f64,
    /// Multiplied by the number of lines of endpoint lists per turn, in hundreds.
    pub discovery: f64,
    /// Multiplied by the fraction of all prompt tokens whose KV state was transferred to another cell.
    #[serde(rename = "moved", default)]
    pub cell_transfer: f64,
    /// Multiplied by the work that contributed to no response, as a fraction of the requested work.
    #[serde(default)]
    pub waste: f64,
}

/// Numbers of calls of one gateway process since its start, or their sum over many processes, with the prices
/// in the deployment's settings.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Unix time of the start in milliseconds, which identifies the process among those of its gateway.
    #[serde(rename = "since")]
    pub started_unix_ms: f64,
    /// Number of probes sent to servers.
    pub probes: u64,
    /// New connections to servers, by purpose.
    #[serde(rename = "opened")]
    pub connections_opened: ConnectionsOpened,
    /// Number of connections that could not be opened: refused, no free connection slot, or timed out.
    #[serde(rename = "not_opened")]
    pub connections_failed: u64,
    /// Number of requests of any kind that used an idle connection.
    #[serde(rename = "reused")]
    pub connections_reused: u64,
    /// Number of polls of discovery that succeeded.
    #[serde(rename = "lists")]
    pub discovery_responses: u64,
    /// Number of endpoint lines in the responses to these polls.
    #[serde(rename = "list_lines")]
    pub discovery_lines: u64,
    /// Number of polls of discovery that failed.
    #[serde(rename = "lists_failed")]
    pub discovery_failures: u64,
    /// Prices in the deployment's settings.
    pub prices: Prices,
}

/// Numbers of new connections, by the request that each was opened for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConnectionsOpened {
    /// Opened for an attempt.
    pub attempt: u64,
    /// Opened for a probe, or as a sentinel.
    pub probe: u64,
    /// Opened for a slot reservation.
    #[serde(rename = "hold")]
    pub slot_reservation: u64,
    /// Opened for a release.
    pub release: u64,
}

/// One row of the table of counts.
struct Row {
    name: &'static str,
    count: u64,
    /// Fraction deducted from the deployment's result; `None` if the count has no price.
    price: Option<f64>,
}

/// Sums counts without overflow, as a damaged line may contain any number.
fn saturating_sum<const N: usize>(counts: [u64; N]) -> u64 {
    counts.into_iter().fold(0, u64::saturating_add)
}

impl ConnectionsOpened {
    /// Number of new connections for any purpose.
    pub fn total(&self) -> u64 {
        saturating_sum([self.attempt, self.probe, self.slot_reservation, self.release])
    }

    fn add(&mut self, other: &ConnectionsOpened) {
        self.attempt = self.attempt.saturating_add(other.attempt);
        self.probe = self.probe.saturating_add(other.probe);
        self.slot_reservation = self.slot_reservation.saturating_add(other.slot_reservation);
        self.release = self.release.saturating_add(other.release);
    }
}

impl Counts {
    /// Parses the counts in a log line; `None` if the line contains none.
    pub fn parse_line(line: &str) -> Option<Counts> {
        value_after(LOG_PREFIX, line)
    }

    /// Sums the counts of many gateways. `lines` are counts with the name of their gateway, in any order. Counts never
    /// decrease, so the greatest ones of each process are its last and the only ones that are summed.
    pub fn sum(lines: impl IntoIterator<Item = (String, Counts)>) -> Counts {
        let mut last_of_process: BTreeMap<(String, u64), Counts> = BTreeMap::new();
        for (gateway, counts) in lines {
            let last = last_of_process.entry((gateway, counts.started_unix_ms as u64)).or_default();
            if counts.total() >= last.total() {
                *last = counts;
            }
        }
        let mut sum = Counts::default();
        last_of_process.into_values().for_each(|counts| sum.add(&counts));
        sum
    }

    fn add(&mut self, other: &Counts) {
        self.probes = self.probes.saturating_add(other.probes);
        self.connections_opened.add(&other.connections_opened);
        self.connections_failed = self.connections_failed.saturating_add(other.connections_failed);
        self.connections_reused = self.connections_reused.saturating_add(other.connections_reused);
        self.discovery_responses = self.discovery_responses.saturating_add(other.discovery_responses);
        self.discovery_lines = self.discovery_lines.saturating_add(other.discovery_lines);
        self.discovery_failures = self.discovery_failures.saturating_add(other.discovery_failures);
        self.prices = other.prices;
    }

    fn total(&self) -> u64 {
        let connections_opened = self.connections_opened.total();
        saturating_sum([
            self.probes,
            connections_opened,
            self.connections_failed,
            self.connections_reused,
            self.discovery_responses,
            self.discovery_failures,
        ])
    }

    /// Fraction that these counts deduct from the deployment's result, for this number of clients' turns.
    pub fn price(&self, turns: usize) -> f64 {
        let turns = turns.max(1) as f64;
        let hundreds_of_lines = self.discovery_lines as f64 / 100.0;
        (self.prices.probe * self.probes as f64
            + self.prices.handshake * self.connections_opened.total() as f64
            + self.prices.discovery * hundreds_of_lines)
            / turns
    }

    /// The counts as text, in total and per turn, for this number of clients' turns.
    pub fn table(&self, turns: usize) -> String {
        let per_turn = |count: u64| count as f64 / turns.max(1) as f64;
        let line = |Row { name, count, price }: Row| {
            let price = price.map_or(String::new(), |price| format!("{:>9.2}% priced", 100.0 * price));
            format!("{name:<38}{count:>7}       {:>7.2} a first try{price}\n", per_turn(count))
        };
        self.rows(per_turn).into_iter().map(line).collect()
    }

    fn rows(&self, per_turn: impl Fn(u64) -> f64) -> [Row; 11] {
        let Counts { connections_opened, prices, .. } = self;
        let counted = |name, count| Row { name, count, price: None };
        let priced = |name, count, price| Row { name, count, price: Some(price) };
        [
            priced("probes", self.probes, prices.probe * per_turn(self.probes)),
            priced(
                "connections opened",
                connections_opened.total(),
                prices.handshake * per_turn(connections_opened.total()),
            ),
            counted("    for an attempt", connections_opened.attempt),
            counted("    for a probe", connections_opened.probe),
            counted("    for a place held", connections_opened.slot_reservation),
            counted("    to let go of a state", connections_opened.release),
            counted("connections not come up", self.connections_failed),
            counted("connections used again", self.connections_reused),
            counted("calls of discovery answered", self.discovery_responses),
            priced(
                "    lines that came",
                self.discovery_lines,
                prices.discovery * per_turn(self.discovery_lines) / 100.0,
            ),
            counted("calls of discovery that failed", self.discovery_failures),
        ]
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let json = serde_json::to_string(self).map_err(|_| fmt::Error)?;
        formatter.write_str(&json)
    }
}

#[cfg(test)]
mod tests;
