//! Slow start: how much a server that has just started can be trusted with, and what all routers together may send it
//! (rule 4) though none of them sees the others. No clock, no state of its own, no I/O.
//!
//! Where a router sees a good part of the traffic, it spends a credit that grows with its own part of what the server
//! may get. Of a hundred routers each holds a whole send only once in a minute, mostly for servers that its few requests
//! do not need, while those that are warm drown. There a server's own fresh word stands for the sum of all routers.

use crate::api::{Ms, Rules};
use crate::state::{Carried, Server, SEEN};

/// Memory of the rate carried, and of the highest (ms).
const RATE_MEMORY: Ms = 10_000.0;
const PEAK_MEMORY: Ms = 60_000.0;
/// A cold server gets at least this many sends a second from all routers together.
const TRICKLE: f64 = 0.5;
/// The least share of its capacity that a server is taken to start with, whatever the settings say.
const LEAST: f64 = 0.05;
const LEAST_WEIGHT: f64 = 0.01;

/// The share of its capacity that a server can be trusted with which runs since then (`None`: long ago).
pub fn warmth(rules: &Rules, since: Option<Ms>, now: Ms) -> f64 {
    match since {
        Some(at) if now < at + rules.cold => {
            let from = rules.cold_from.clamp(LEAST, 1.0);
            from + (1.0 - from) * ((now - at) / rules.cold.max(1.0)).clamp(0.0, 1.0)
        }
        _ => 1.0,
    }
}

/// What a server counts for at present, beside others of its role.
pub fn units(s: &Server, warmth: f64) -> f64 {
    s.info.weight.max(LEAST_WEIGHT) * warmth
}

/// Sends that a cold server of so many units has left from this router, growing at half of what makes it fall over, by what
/// a unit has carried for this router. Guards rule 4 without knowing capacities; each router uses its own share and
/// starts anywhere below one send, so the sum fits.
pub fn credit(s: &Server, units: f64, carried: &Carried, rules: &Rules, routers: f64, now: Ms) -> f64 {
    let rate = (rules.fall_multiple / 2.0 * units * carried.peak).max(TRICKLE / routers);
    (s.credit + rate * (now - s.credit_at) / 1000.0).min(1.0)
}

/// Takes in that servers of so many units have brought a request to its end, for a router of this age.
pub fn note_success(carried: &mut Carried, units: f64, age: Ms, now: Ms) {
    let (gap, age) = (now - carried.at, age.max(RATE_MEMORY / 2.0));
    carried.count = 1.0 + carried.count * (-gap / RATE_MEMORY).exp();
    // Units that have just left the list still count: they carried part of what is counted.
    carried.units = units.max(carried.units * (-gap / RATE_MEMORY).exp()).max(LEAST_WEIGHT);
    let rate = 1000.0 * carried.count / (RATE_MEMORY * (1.0 - (-age / RATE_MEMORY).exp()));
    carried.peak = (rate / carried.units).max(carried.peak * (-gap / PEAK_MEMORY).exp());
    carried.at = now;
}

/// How full a server of this warmth is that says it holds so much, in terms of a warm one: it works through it so much
/// more slowly.
pub fn as_warm(held: f64, warmth: f64) -> f64 {
    held / warmth.max(LEAST)
}

/// Whether a server may be sent something: a warm one always, a cold one from credit, or where its word is fresh and
/// stands for what all routers send it. How much it then gets is for whoever compares its word with the others'.
pub fn may_get(s: &Server, warmth: f64, credit: f64, looks: bool, now: Ms) -> bool {
    warmth >= 1.0 || credit >= 1.0 || (looks && s.load(now, SEEN).is_some())
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn rules() -> Rules {
        Rules {
            answer_grace: 8.0,
            drain_grace: 500.0,
            pin_limit: 500.0,
            cold: 13_000.0,
            cold_from: 0.31,
            fall: 3_000.0,
            fall_multiple: 4.0,
            ask_within: 10_000.0,
        }
    }

    proptest! {
        /// A server warms up steadily, never beyond its whole capacity, and from no less than the settings say.
        #[test]
        fn warmth_grows_to_the_whole(since in 0.0..1e6, early in 0.0..30_000.0, more in 0.0..30_000.0) {
            let (a, b) = (warmth(&rules(), Some(since), since + early), warmth(&rules(), Some(since), since + early + more));
            prop_assert!(0.31 <= a && a <= b && b <= 1.0);
            prop_assert_eq!(warmth(&rules(), None, early), 1.0);
            prop_assert_eq!(warmth(&rules(), Some(since), since + 13_000.0), 1.0);
        }

        /// Whatever the routers' number and whenever each spends: all of them together send a cold server, in any window that
        /// could make it fall over, less than what would, where a unit carries what the routers have seen it carry.
        #[test]
        fn the_sum_of_all_credits_keeps_a_cold_server_up(routers in 1usize..200, a_second in 1.0..20.0) {
            let rules = rules();
            let carried = Carried { peak: a_second / routers as f64, ..Carried::default() };
            // As they begin by chance, spread evenly.
            let begins = |n| Server { credit: n as f64 / routers as f64, ..Server::default() };
            let mut credits: Vec<Server> = (0..routers).map(begins).collect();
            let mut sent = Vec::new();
            for now in (0..9_000).step_by(50).map(f64::from) {
                let w = warmth(&rules, Some(0.0), now);
                for s in &mut credits {
                    let left = credit(s, w, &carried, &rules, routers as f64, now);
                    if left >= 1.0 {
                        (s.credit, s.credit_at) = (left - 1.0, now);
                        sent.push(now);
                    }
                }
            }
            for from in (0..6_000).step_by(100).map(f64::from) {
                let within = sent.iter().filter(|at| (from..from + rules.fall).contains(*at)).count() as f64;
                let falls = rules.fall_multiple * a_second * warmth(&rules, Some(0.0), from) * rules.fall / 1000.0;
                prop_assert!(within < falls, "{within} of {falls} from {from}");
            }
        }

        /// What a cold server holds weighs more, never less, and a warm one's as it is.
        #[test]
        fn a_cold_servers_load_weighs_more(held in 0.0..50.0, a in 0.05..1.0f64, b in 0.05..1.0f64) {
            prop_assert!(as_warm(held, a.min(b)) >= as_warm(held, a.max(b)));
            prop_assert_eq!(as_warm(held, 1.0), held);
        }

        /// A cold server gets nothing on an old word, nor on a fresh one where routers do not look.
        #[test]
        fn a_cold_server_is_sent_something_on_a_fresh_word_only(age in 0.0..5_000.0, credit in 0.0..0.99f64) {
            let s = Server { seen: Some((0.0, 0.0)), ..Server::default() };
            prop_assert_eq!(may_get(&s, 0.4, credit, true, age), age <= SEEN);
            prop_assert!(!may_get(&s, 0.4, credit, false, age));
            prop_assert!(may_get(&s, 1.0, credit, false, age) && may_get(&s, 0.4, 1.0, false, age));
        }
    }
}
