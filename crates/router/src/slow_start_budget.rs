//! Slow start: how much a server that has just started can be trusted with, and what all routers together may send it
//! (rule 4) though none of them sees the others. No clock, no state of its own, no I/O.
//!
//! Where a router sees a good part of the traffic, it spends a credit that grows with its own part of what the server
//! may get. Of a hundred routers each holds a whole send only once in a minute, mostly for servers that its few requests
//! do not need, while those that are warm drown. There a server's own fresh word stands for the sum of all routers.

use crate::api::{Millis, Rules};
use crate::state::{RoleThroughput, ServerRecord};

/// Memory of the rate carried, and of the highest (ms).
const RATE_MEMORY: Millis = 10_000.0;
const PEAK_MEMORY: Millis = 60_000.0;
/// Credit grows at this part of what makes a server fall over; the rest of it is left to those who go by its
/// word.
const GROWS: f64 = 0.5;
/// Those to which it is home and those that overflow to it go by its word side by side, and leave each other
/// their part.
const WAYS: f64 = 2.0;
/// A cold server gets at least this many sends a second from all routers together.
const TRICKLE: f64 = 0.5;
/// A cold server's word stands for what all routers send it for so long (ms). Reports are old already when they are told.
pub const FLEET_REPORT_TTL: Millis = 250.0;
/// A word that is old at all routers alike sends on those whose credit is above this part of a send: the others go elsewhere.
const MIN_REPORT_THRESHOLD: f64 = 0.4;
/// The least share of its capacity that a server is taken to start with, whatever the settings say.
const LEAST: f64 = 0.05;
/// The rule leaves twice the root of what makes a server fall, and two, for chance: so many of these may be saved.
const SLACK: f64 = 1.0;
/// Where there are no more routers, the slack holds a whole send of each.
const FEW: f64 = 4.0;
const LEAST_WEIGHT: f64 = 0.01;

/// The share of its capacity that a server can be trusted with which runs since then (`None`: long ago).
pub fn capacity_share(rules: &Rules, since: Option<Millis>, now: Millis) -> f64 {
    match since {
        Some(at) if now < at + rules.slow_start_window => {
            let from = rules.slow_start_initial_share.clamp(LEAST, 1.0);
            from + (1.0 - from) * ((now - at) / rules.slow_start_window.max(1.0)).clamp(0.0, 1.0)
        }
        _ => 1.0,
    }
}

/// What a server counts for at present, beside others of its role.
pub fn capacity_units(s: &ServerRecord, warmth: f64) -> f64 {
    s.entry.weight.max(LEAST_WEIGHT) * warmth
}

/// Sends that a cold server of so many units has left from this router, growing at half of what makes it fall over, by what
/// a unit has carried for this router. Guards rule 4 without knowing capacities; each router uses its own share and
/// starts anywhere below one send, so the sum fits. What has grown is reckoned at the warmth of the time in which it grew.
pub fn send_credit(
    s: &ServerRecord, units: f64, carried: &RoleThroughput, rules: &Rules, routers: f64, now: Millis,
) -> f64 {
    let warm = |at| capacity_share(rules, s.slow_start_since, at);
    let mean = units * (warm(s.credit_updated_at) / warm(now)).min(1.0).midpoint(1.0);
    let falls = |units: f64| rules.overload_multiple * units * carried.peak_rate;
    let rate = (falls(mean) * GROWS).max(TRICKLE / routers);
    let grown = s.send_credit + rate * (now - s.credit_updated_at) / 1000.0;
    if grown < 1.0 || routers <= FEW {
        return grown.min(1.0);
    }
    // Whole sends that many routers have saved would all come in one burst. So one lapses once it has stood for longer than
    // leaves no more of them, at all routers together, than the part of the rule's slack that may be saved.
    let fall = falls(units) * routers * rules.overload_window / 1000.0;
    let stands = (SLACK * (fall.sqrt() + 1.0) / routers).min(1.0);
    grown.fract() + f64::from(u8::from(grown.fract() <= stands))
}

/// Takes in that servers of so many units have brought a request to its end, for a router of this age.
pub fn record_completion(carried: &mut RoleThroughput, units: f64, age: Millis, now: Millis) {
    let (gap, age) = (now - carried.updated_at, age.max(RATE_MEMORY / 2.0));
    carried.completions = 1.0 + carried.completions * (-gap / RATE_MEMORY).exp();
    // Units that have just left the list still count: they carried part of what is counted.
    carried.capacity_units = units.max(carried.capacity_units * (-gap / RATE_MEMORY).exp()).max(LEAST_WEIGHT);
    let rate = 1000.0 * carried.completions / (RATE_MEMORY * (1.0 - (-age / RATE_MEMORY).exp()));
    carried.peak_rate = (rate / carried.capacity_units).max(carried.peak_rate * (-gap / PEAK_MEMORY).exp());
    carried.updated_at = now;
}

/// How full a server of this warmth is that says it holds so much, in terms of a warm one: it works through it so much
/// more slowly.
pub fn normalized_load(held: f64, warmth: f64) -> f64 {
    held / warmth.max(LEAST)
}

/// The part of a send that a router has to have in credit at a cold server of so many units to go by its
/// word, for a beginning that is asked for as often as keeps so many units busy.
///
/// A word is as old as the server makes it, which nobody is told, and until it changes all routers see the
/// same room. The first home that is not crowded gets what all of them are asked of a hot beginning. So no
/// larger share of the routers goes by the word than takes, of all that they are asked, a half of what the
/// credit leaves of what makes the server fall: the other half is for those that come there by the other way.
pub fn report_threshold(rules: &Rules, units: f64, asked: f64) -> f64 {
    let left = (1.0 - GROWS) / WAYS * rules.overload_multiple * units;
    (1.0 - left / asked.max(LEAST_WEIGHT)).max(MIN_REPORT_THRESHOLD)
}

/// What a router trusts a server with, on behalf of a request.
pub struct Allowance {
    pub capacity_share: f64,
    pub send_credit: f64,
    /// The credit from which its word counts; never where routers do not look.
    pub report_threshold: Option<f64>,
}

impl Allowance {
    /// Whether a server may be sent something: a warm one always, a cold one from credit, or where its word
    /// is fresh and stands for what all routers send it. How much it then gets is for whoever compares its
    /// word with the others'.
    pub fn permits_send(&self, s: &ServerRecord, now: Millis) -> bool {
        let whole = self.capacity_share >= 1.0 || self.send_credit >= 1.0;
        whole || (self.trusts_report() && s.current_load(now, FLEET_REPORT_TTL).is_some())
    }

    /// How many sends a cold server will take from this router; `None` of a warm one, which takes any number.
    pub fn sends_left(&self) -> Option<usize> {
        (self.capacity_share < 1.0).then(|| usize::from(self.trusts_report()))
    }

    /// Whether a cold server's own word stands for what this router sends it. It runs ahead of its credit by
    /// less than a send: of a hot beginning all routers have many, and send them all before the word changes.
    pub fn trusts_report(&self) -> bool {
        self.capacity_share >= 1.0 || self.report_threshold.is_some_and(|ahead| self.send_credit > ahead)
    }
}

#[cfg(test)]
mod tests;
