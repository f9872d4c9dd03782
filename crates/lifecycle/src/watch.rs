//! When discovery is called: a watch that holds goes on at once; one that fails is tried again after a pause.
//!
//! Discovery is one service for all gateways: calls wait in turn there, and one that has waited for too long has cost
//! it as much as one that it answers. Gateways start together. Where all call in one moment, and call again as soon as
//! they were turned away, each call keeps the others out for good. So each gateway draws its own moment, from a seed that no
//! two share, out of a time that gives every gateway its turn, and draws from twice the time whenever it is turned away.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How pauses are drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pauses {
    /// The mean pause after a call was lost once: a watch whose next call comes soon enough goes on as the same one.
    pub first: Duration,
    /// The longest mean pause after lost calls, which bounds how late a list is once discovery can be reached again.
    pub most: Duration,
    /// The time in which all gateways together call once; none where a call costs discovery nothing.
    pub round: Duration,
    /// The longest mean pause after calls that were turned away.
    pub longest_round: Duration,
}

/// Why a call brought no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Failed {
    /// It broke, was not answered in time, or could not be read.
    Lost,
    /// Discovery has too much to do; it may say how long it wants to be left alone.
    TurnedAway(Option<Duration>),
}

/// A watch of discovery, as far as its calls are concerned.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Watch {
    pauses: Pauses,
    /// Calls that failed since the last one that was answered.
    failed: u32,
    random: u64,
}

impl Watch {
    /// The calls of one gateway; no two may have the same seed.
    pub fn new(pauses: Pauses, seed: u64) -> Self {
        Watch { pauses, failed: 0, random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1 }
    }

    /// Calls that failed since the last one that was answered.
    pub fn failures(&self) -> u32 {
        self.failed
    }

    /// The pause before the first call of a gateway that can serve by an older list.
    pub fn begin(&mut self) -> Duration {
        self.pauses.round.mul_f64(self.unit())
    }

    /// A call was answered: the next one follows at once, and nothing is held against discovery.
    pub fn answered(&mut self) {
        self.failed = 0;
    }

    /// A call failed: the pause before the next one, from half the mean to one and a half times it.
    pub fn failed(&mut self, why: Failed) -> Duration {
        let doublings = self.failed.min(16);
        self.failed = self.failed.saturating_add(1);
        let Pauses { first, most, round, longest_round } = self.pauses;
        let (least, most) = match why {
            Failed::Lost => (first, most),
            Failed::TurnedAway(_) => (round.max(first), longest_round.max(first)),
        };
        let pause = least.saturating_mul(1 << doublings).min(most).mul_f64(0.5 + self.unit());
        match why {
            // Whoever is told the same time must not come back in the same moment.
            Failed::TurnedAway(Some(wanted)) => pause.max(wanted.min(most) + pause / 2),
            _ => pause,
        }
    }

    /// The next number in [0, 1) (xorshift).
    fn unit(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::VecDeque;

    const PAUSES: Pauses = Pauses {
        first: Duration::from_millis(100),
        most: Duration::from_millis(2_500),
        round: Duration::from_millis(5_000),
        longest_round: Duration::from_millis(20_000),
    };

    #[test]
    fn pauses_double_up_to_the_most_and_begin_anew_after_an_answer() {
        let within = |pause: Duration, mean: u64| {
            let ms = pause.as_millis() as u64;
            assert!((mean / 2..=mean * 3 / 2).contains(&ms), "{ms} ms, mean {mean}");
        };
        let mut watch = Watch::new(PAUSES, 7);
        for mean in [100, 200, 400, 800, 1_600, 2_500, 2_500] {
            within(watch.failed(Failed::Lost), mean);
        }
        (0..100).for_each(|_| within(watch.failed(Failed::Lost), 2_500));
        watch.answered();
        within(watch.failed(Failed::Lost), 100);
        watch.answered();
        [5_000, 10_000, 20_000, 20_000]
            .into_iter()
            .for_each(|m| within(watch.failed(Failed::TurnedAway(None)), m));
        let begins = (0..100).map(|_| watch.begin());
        assert!(begins.into_iter().all(|b| b < PAUSES.round));
    }

    /// Guards against a service that asks for patience in vain, and one that asks for too much.
    #[test]
    fn what_discovery_asks_for_is_given_up_to_the_most() {
        let mut watch = Watch::new(PAUSES, 7);
        let asks = |seconds| Failed::TurnedAway(Some(Duration::from_secs(seconds)));
        assert!(watch.failed(asks(9)) >= Duration::from_secs(9));
        assert!(watch.failed(asks(900)) <= PAUSES.longest_round * 2);
    }

    /// A service that takes calls in turn, so many a second, works through those whose callers have given up after 2 s
    /// too, and turns away at once what would wait longer than 4 s; for `down` ms it turns away everything.
    struct Service {
        every: u64,
        down: u64,
        free: u64,
    }

    /// When each of `gateways` that start within 100 ms has been answered, and how many calls that took; none if it takes
    /// longer than two minutes.
    fn all_told(gateways: usize, mut service: Service, pauses: Pauses) -> Option<(u64, usize)> {
        let mut watches: Vec<Watch> = (0..gateways).map(|n| Watch::new(pauses, n as u64 + 1)).collect();
        let mut due: VecDeque<(u64, usize)> = VecDeque::new();
        for (n, watch) in watches.iter_mut().enumerate() {
            due.push_back(((n % 100) as u64 + watch.begin().as_millis() as u64, n));
        }
        let (mut calls, mut last) = (0, 0);
        while let Some(next) = due.iter().min().copied() {
            let (now, n) = next;
            due.retain(|d| *d != next);
            if now > 120_000 {
                return None;
            }
            calls += 1;
            service.free = service.free.max(now);
            let waits = service.free - now;
            let full = now < service.down || waits > 4_000;
            if !full {
                service.free += service.every;
            }
            if full || waits > 2_000 {
                let pause = watches[n].failed(Failed::TurnedAway(None)).as_millis() as u64;
                due.push_back((now + if full { 0 } else { 2_000 } + pause, n));
            } else {
                last = last.max(now + waits);
            }
        }
        Some((last, calls))
    }

    /// Calls that come back at once keep a hundred gateways out for good; drawn out of a round they are all told, with hardly
    /// more calls than gateways.
    #[test]
    fn gateways_that_start_together_do_not_keep_each_other_out() {
        let service = || Service { every: 60, down: 0, free: 0 };
        let (took, calls) = all_told(100, service(), PAUSES).expect("all told");
        assert!(took < 30_000 && calls < 200, "{took} ms, {calls} calls");
        let eager = Pauses { round: Duration::ZERO, longest_round: PAUSES.first, ..PAUSES };
        assert_eq!(all_told(100, service(), eager), None);
    }

    /// The same with a service that could answer a fifth of them in time if all called at once, less than calls in a round.
    #[test]
    fn a_service_for_a_fifth_of_the_calls_tells_all_in_the_end() {
        let (took, calls) =
            all_told(100, Service { every: 100, down: 0, free: 0 }, PAUSES).expect("all told");
        assert!(took < 90_000 && calls < 500, "{took} ms, {calls} calls");
    }

    /// Ten seconds in which every call is turned away do not leave all gateways in step.
    #[test]
    fn an_outage_that_ends_for_all_at_once_is_no_second_one() {
        let service = Service { every: 60, down: 10_000, free: 0 };
        let (took, calls) = all_told(100, service, PAUSES).expect("all told");
        assert!(took < 40_000 && calls < 500, "{took} ms, {calls} calls");
    }

    /// A gateway alone, or of a few, is not made to wait: discovery has room for it.
    #[test]
    fn few_gateways_call_nearly_at_once() {
        let pauses = Pauses { round: Duration::from_millis(100), ..PAUSES };
        let (took, calls) = all_told(2, Service { every: 60, down: 0, free: 0 }, pauses).expect("told");
        assert!(took <= 200 && calls == 2, "{took} ms, {calls} calls");
    }
}
