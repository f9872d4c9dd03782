//! When discovery is called: a watch that holds goes on at once; one that fails is tried again after a pause.
//!
//! Discovery is one service for all gateways: calls wait in turn there, and one that has waited for too long has cost
//! it as much as one that it answers. Gateways start together. Where all call in one moment, and call again as soon as
//! they were turned away, each call keeps the others out for good. So each gateway draws its own moment, from a seed that no
//! two share, out of a time that gives every gateway its turn, and draws from twice the time whenever it is turned away.
//!
//! Where lists are pushed, calls go to an agent on the gateway's own machine, which answers at once and at no cost, but
//! is silent while discovery is down; and what it has counts as told whether or not anybody asks. So there nothing waits
//! for its turn, and until a call has been answered the whole list is asked for, again and again: an answer to that
//! can be missed after a moment, where one to a watch may be a whole hold away.

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
    /// For so long discovery may keep a watch waiting.
    pub hold: Duration,
    /// A call must be answered so soon after its hold has passed, or it is taken for lost.
    pub late: Duration,
    /// How soon a call for the whole list is answered, where an agent on the same machine does so at once.
    pub at_once: Option<Duration>,
}

/// What the next call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ask {
    /// The whole list; its answer must have begun within this time.
    Whole { within: Duration },
    /// Changes to the version known, for which the call may be held; its answer must have begun within this time.
    Changes { hold: Duration, within: Duration },
}

impl Ask {
    pub fn within(self) -> Duration {
        match self {
            Ask::Whole { within } | Ask::Changes { within, .. } => within,
        }
    }
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
    /// The last call was answered, by the place that is asked now.
    current: bool,
    random: u64,
}

impl Watch {
    /// The calls of one gateway; no two may have the same seed.
    pub fn new(pauses: Pauses, seed: u64) -> Self {
        Watch { pauses, failed: 0, current: false, random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1 }
    }

    /// Calls that failed since the last one that was answered.
    pub fn failures(&self) -> u32 {
        self.failed
    }

    /// The pause before the first call of a gateway that can serve by an older list.
    pub fn begin(&mut self) -> Duration {
        self.pauses.round.mul_f64(self.unit())
    }

    /// What the next call asks for; `known`: there is a version that changes can be told from.
    pub fn ask(&self, known: bool) -> Ask {
        let Pauses { hold, late, at_once, .. } = self.pauses;
        match at_once {
            Some(within) if !self.current => Ask::Whole { within },
            _ if known => Ask::Changes { hold, within: hold + late },
            _ => Ask::Whole { within: hold + late },
        }
    }

    /// A call was answered: the next one follows at once, and nothing is held against discovery.
    pub fn answered(&mut self) {
        (self.failed, self.current) = (0, true);
    }

    /// Discovery has another address: nothing is held against that one.
    pub fn moved(&mut self) {
        (self.failed, self.current) = (0, false);
    }

    /// A call failed: the pause before the next one, from half the mean to one and a half times it.
    pub fn failed(&mut self, why: Failed) -> Duration {
        let doublings = self.failed.min(16);
        (self.failed, self.current) = (self.failed.saturating_add(1), false);
        let Pauses { first, most, round, longest_round, .. } = self.pauses;
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
    use proptest::prelude::*;
    use std::collections::VecDeque;

    const PAUSES: Pauses = Pauses {
        first: Duration::from_millis(100),
        most: Duration::from_millis(2_500),
        round: Duration::from_millis(5_000),
        longest_round: Duration::from_millis(20_000),
        hold: Duration::from_millis(2_000),
        late: Duration::from_millis(1_000),
        at_once: None,
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

    /// Calls of an agent that answers at once.
    const PUSHED: Pauses = Pauses {
        first: Duration::from_millis(60),
        most: Duration::from_millis(60),
        round: Duration::ZERO,
        longest_round: Duration::from_millis(1_000),
        hold: Duration::from_millis(1_000),
        late: Duration::from_millis(500),
        at_once: Some(Duration::from_millis(150)),
    };

    /// Where lists are pushed and where they are asked for.
    fn modes() -> impl Strategy<Value = Pauses> {
        prop_oneof![Just(PUSHED), Just(Pauses { round: Duration::ZERO, ..PAUSES })]
    }

    /// When a change of this moment is heard of, by calls that begin at 0 and are answered at once, but for a time in which
    /// discovery says nothing, and for a moment at which the watch then open falls silent for good.
    fn heard(change: u64, (down, up): (u64, u64), breaks: u64, pauses: Pauses, seed: u64) -> u64 {
        let ms = |d: Duration| d.as_millis() as u64;
        let mut watch = Watch::new(pauses, seed);
        let (mut now, mut known) = (ms(watch.begin()), false);
        loop {
            let ask = watch.ask(known);
            let answer = match ask {
                Ask::Changes { hold, .. } if now < change => change.min(now + ms(hold)),
                _ => now,
            };
            let silent = now < up && answer >= down || (now..answer).contains(&breaks);
            now = if silent { now + ms(ask.within()) } else { answer };
            if silent {
                now += ms(watch.failed(Failed::Lost));
            } else if now >= change {
                return now;
            } else {
                watch.answered();
                known = true;
            }
        }
    }

    proptest! {
        /// Guards the account's clocks: what discovery has counts as told 6 s after a watch has fallen silent, and where lists
        /// are pushed at once, whether or not a watch is open, so also to a new process and after an outage. Drains may
        /// have to be kept within 300 ms of that.
        #[test]
        fn a_change_is_heard_of_before_it_counts_as_told(
            change in 0u64..20_000, down in 0u64..20_000, long in 1u64..10_000, outage: bool,
            pauses in modes(), seed: u64,
        ) {
            let pushed = pauses.at_once.is_some();
            // A watch that falls silent is opened anew well before the 6 s are over.
            let lost = down + if pushed { 2_000 } else { 3_500 };
            let (heard, by) = match outage {
                true => {
                    let has = if (down..down + long).contains(&change) { down + long } else { change };
                    let by = if change >= down { has.max(lost) } else { has };
                    (heard(change, (down, down + long), u64::MAX, pauses, seed), by + if pushed { 250 } else { 6_750 })
                }
                false => {
                    let by = if change >= down { change.max(lost) } else { change };
                    (heard(change, (0, 0), down, pauses, seed), by)
                }
            };
            prop_assert!(heard <= by, "change {change}, silent from {down} on ({long}): {heard}, not by {by}");
        }
    }

    /// Guards a new process, and one whose discovery has moved: the whole list is asked for at once, and again soon.
    #[test]
    fn an_agent_that_has_not_answered_is_asked_for_the_whole_list() {
        let mut watch = Watch::new(PUSHED, 7);
        let whole = Ask::Whole { within: Duration::from_millis(150) };
        assert_eq!((watch.begin(), watch.ask(true)), (Duration::ZERO, whole));
        watch.answered();
        assert!(matches!(watch.ask(true), Ask::Changes { .. }));
        watch.moved();
        assert_eq!(watch.ask(true), whole);
        (0..50).for_each(|_| assert!(watch.failed(Failed::Lost) < Duration::from_millis(100)));
        assert_eq!(watch.ask(true), whole);
        watch.moved();
        assert_eq!(watch.failures(), 0);
    }
}
