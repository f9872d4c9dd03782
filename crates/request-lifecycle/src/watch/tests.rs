//! Calls of discovery, played against services and agents.

use super::*;
use proptest::prelude::*;
use std::collections::VecDeque;

/// What a hundred gateways draw, and a few.
fn many() -> BackoffPolicy {
    BackoffPolicy::polled(100, Duration::from_secs(10))
}

fn few() -> BackoffPolicy {
    BackoffPolicy::polled(2, Duration::from_secs(10))
}

const NO_TIME: Duration = Duration::ZERO;

#[test]
fn pauses_double_up_to_the_most_and_begin_anew_after_an_answer() {
    let within = |pause: Duration, mean: u64| {
        let ms = pause.as_millis() as u64;
        assert!((mean / 2..=mean * 3 / 2).contains(&ms), "{ms} ms, mean {mean}");
    };
    let mut watch = PollSchedule::new(many(), 7);
    for mean in [100, 200, 400, 800, 1_600, 2_500, 2_500] {
        within(watch.poll_failed(PollFailure::Lost, NO_TIME), mean);
    }
    (0..100).for_each(|_| within(watch.poll_failed(PollFailure::Lost, NO_TIME), 2_500));
    watch.poll_succeeded();
    within(watch.poll_failed(PollFailure::Lost, NO_TIME), 100);
    watch.poll_succeeded();
    [3_333, 10_000, 20_000, 20_000]
        .into_iter()
        .for_each(|m| within(watch.poll_failed(PollFailure::Throttled(None), NO_TIME), m));
    let begins = (0..100).map(|_| watch.initial_delay());
    assert!(begins.into_iter().all(|b| b < many().round));
}

/// Guards a service that asks for patience again and again, and the list's time against one that asks for it once, or
/// of gateways so few that it has time for all of them.
#[test]
fn what_discovery_asks_for_is_given_up_to_the_most() {
    let asks = |seconds| PollFailure::Throttled(Some(Duration::from_secs(seconds)));
    let (least, told) = (Duration::from_secs(3), Duration::from_secs(5));
    let mut watch = PollSchedule::new(many(), 7);
    assert!((least..=told).contains(&watch.poll_failed(asks(3), NO_TIME)));
    assert!(watch.poll_failed(asks(9), NO_TIME) >= Duration::from_secs(9));
    assert!(watch.poll_failed(asks(900), NO_TIME) <= many().longest_round * 2);
    watch.poll_succeeded();
    assert!(watch.poll_failed(asks(900), NO_TIME) <= told);
    let mut watch = PollSchedule::new(few(), 7);
    (0..20).for_each(|_| assert!(watch.poll_failed(asks(900), NO_TIME) <= told));
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
fn all_told(gateways: usize, mut service: Service, pauses: BackoffPolicy) -> Option<(u64, usize)> {
    let mut watches: Vec<PollSchedule> =
        (0..gateways).map(|n| PollSchedule::new(pauses, n as u64 + 1)).collect();
    let mut due: VecDeque<(u64, usize)> = VecDeque::new();
    for (n, watch) in watches.iter_mut().enumerate() {
        due.push_back(((n % 100) as u64 + watch.initial_delay().as_millis() as u64, n));
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
            let took = if full { 0 } else { 2_000 };
            let pause = watches[n].poll_failed(PollFailure::Throttled(None), Duration::from_millis(took));
            due.push_back((now + took + pause.as_millis() as u64, n));
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
    let (took, calls) = all_told(100, service(), many()).expect("all told");
    assert!(took < 30_000 && calls < 200, "{took} ms, {calls} calls");
    let eager = BackoffPolicy {
        round: Duration::ZERO,
        longest_round: many().initial_backoff,
        freshness_limit: (NO_TIME, NO_TIME),
        ..many()
    };
    assert_eq!(all_told(100, service(), eager), None);
}

/// The same with a service that could answer a fifth of them in time if all called at once, less than calls in a round.
#[test]
fn a_service_for_a_fifth_of_the_calls_tells_all_in_the_end() {
    let (took, calls) = all_told(100, Service { every: 100, down: 0, free: 0 }, many()).expect("all told");
    assert!(took < 90_000 && calls < 500, "{took} ms, {calls} calls");
}

/// Ten seconds in which every call is turned away do not leave all gateways in step.
#[test]
fn an_outage_that_ends_for_all_at_once_is_no_second_one() {
    let service = Service { every: 60, down: 10_000, free: 0 };
    let (took, calls) = all_told(100, service, many()).expect("all told");
    assert!(took < 40_000 && calls < 500, "{took} ms, {calls} calls");
}

/// A gateway alone, or of a few, is not made to wait: discovery has room for it.
#[test]
fn few_gateways_call_nearly_at_once() {
    let (took, calls) = all_told(2, Service { every: 60, down: 0, free: 0 }, few()).expect("told");
    assert!(took <= 200 && calls == 2, "{took} ms, {calls} calls");
}

/// Where lists are pushed and where they are asked for.
fn modes() -> impl Strategy<Value = BackoffPolicy> {
    prop_oneof![Just(BackoffPolicy::PUSHED), Just(BackoffPolicy { round: NO_TIME, ..few() })]
}

/// When a change of this moment is heard of, by calls that begin at 0 and are answered at once, but for a time in which
/// discovery says nothing, and for a moment at which the watch then open falls silent for good.
fn heard(change: u64, (down, up): (u64, u64), breaks: u64, pauses: BackoffPolicy, seed: u64) -> u64 {
    let ms = |d: Duration| d.as_millis() as u64;
    let mut watch = PollSchedule::new(pauses, seed);
    let (mut now, mut known) = (ms(watch.initial_delay()), false);
    loop {
        let ask = watch.next_poll(known);
        let answer = match ask {
            Poll::Changes { hold, .. } if now < change => change.min(now + ms(hold)),
            _ => now,
        };
        let silent = now < up && answer >= down || (now..answer).contains(&breaks);
        let took = watch.limits(ask).first_byte;
        now = if silent { now + ms(took) } else { answer };
        if silent {
            now += ms(watch.poll_failed(PollFailure::Lost, took));
        } else if now >= change {
            return now;
        } else {
            watch.poll_succeeded();
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
        let pushed = pauses.full_list_timeout.is_some();
        // A watch that falls silent is opened anew well before the 6 s are over.
        let lost = down + if pushed { 2_000 } else { 3_500 };
        let (heard, by) = match outage {
            true => {
                let has = if (down..down + long).contains(&change) { down + long } else { change };
                let by = if change >= down { has.max(lost) } else { has };
                (heard(change, (down, down + long), u64::MAX, pauses, seed), by + if pushed { 250 } else { 6_000 })
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
    let mut watch = PollSchedule::new(BackoffPolicy::PUSHED, 7);
    let whole = Poll::FullList { within: Duration::from_millis(150) };
    assert_eq!((watch.initial_delay(), watch.next_poll(true)), (Duration::ZERO, whole));
    watch.poll_succeeded();
    assert!(matches!(watch.next_poll(true), Poll::Changes { .. }));
    watch.address_changed();
    assert_eq!(watch.next_poll(true), whole);
    (0..50).for_each(|_| assert!(watch.poll_failed(PollFailure::Lost, NO_TIME) < Duration::from_millis(100)));
    assert_eq!(watch.next_poll(true), whole);
    watch.address_changed();
    assert_eq!(watch.failures(), 0);
}

/// What becomes of a call while discovery brings nothing.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Refused,
    TurnedAway(Option<u64>),
    Silent,
    /// Its answer begins after so long, and stops.
    Half(u64),
    Reset(u64),
}

fn faults() -> impl Strategy<Value = Vec<Fault>> {
    let one = prop_oneof![
        Just(Fault::Refused),
        prop::option::of(0u64..1_000_000).prop_map(Fault::TurnedAway),
        Just(Fault::Silent),
        (0u64..5_000).prop_map(Fault::Half),
        (0u64..5_000).prop_map(Fault::Reset),
    ];
    prop::collection::vec(one, 1..12)
}

/// How long such a call takes, and how it is judged.
fn spoilt(fault: Fault, limits: Limits) -> (Duration, PollFailure) {
    let ms = Duration::from_millis;
    match fault {
        Fault::Refused => (NO_TIME, PollFailure::Lost),
        Fault::TurnedAway(after) => (NO_TIME, PollFailure::Throttled(after.map(ms))),
        Fault::Silent => (limits.first_byte, PollFailure::Lost),
        Fault::Half(begins) => {
            ((ms(begins).min(limits.first_byte) + limits.between_parts).min(limits.total), PollFailure::Lost)
        }
        Fault::Reset(at) => (ms(at).min(limits.total), PollFailure::Lost),
    }
}

/// The longest time from a moment at which discovery can be reached to its list: a call that has begun by then is spoilt
/// all the same, in whatever way, and the next one is answered 1 s after it began.
fn latest(watch: &mut PollSchedule, known: bool, faults: &[Fault]) -> Duration {
    let mut latest = if known { watch.initial_delay() } else { NO_TIME };
    for fault in faults {
        let (took, why) = spoilt(*fault, watch.limits(watch.next_poll(known)));
        latest = latest.max(took + watch.poll_failed(why, took));
    }
    latest + Duration::from_secs(1)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards the strict term: what discovery has counts as told 6 s after it could be reached, 4 s after it has moved,
    /// whatever failed, was refused or given up between.
    #[test]
    fn one_bound_holds_over_all_calls_and_pauses(
        routers in 1u32..=16, known: bool, moved: bool, faults in faults(), seed: u64,
    ) {
        let mut watch = PollSchedule::new(BackoffPolicy::polled(routers, Duration::from_secs(10)), seed);
        if moved {
            watch.address_changed();
        }
        let latest = latest(&mut watch, known && !moved, &faults);
        prop_assert!(latest <= Duration::from_secs(if moved { 4 } else { 6 }), "{latest:?}");
    }

    /// The same for a fleet that discovery cannot answer in that time: as long as a gateway is turned away once.
    #[test]
    fn a_call_turned_away_once_costs_no_list_its_time(
        routers in 17u32..400, known: bool, faults in faults(), at: prop::sample::Index, wanted: Option<u64>,
        seed: u64,
    ) {
        let mut faults: Vec<Fault> =
            faults.into_iter().filter(|fault| !matches!(fault, Fault::TurnedAway(_))).collect();
        faults.insert(at.index(faults.len() + 1), Fault::TurnedAway(wanted));
        let mut watch = PollSchedule::new(BackoffPolicy::polled(routers, Duration::from_secs(10)), seed);
        let latest = latest(&mut watch, known, &faults);
        prop_assert!(latest <= Duration::from_secs(6), "{latest:?}");
    }

    /// Guards drains that have to be kept within 250 ms where lists are pushed: what the agent has counts as told as soon as
    /// it speaks. It answers at once or not at all; its answer may stop, or be turned away by whatever stands before it.
    #[test]
    fn an_agent_that_speaks_again_is_heard_at_once(known: bool, moved: bool, faults in faults(), seed: u64) {
        let at_once = |fault| match fault {
            Fault::Half(at) => Fault::Half(at % 10),
            Fault::Reset(at) => Fault::Reset(at % 10),
            other => other,
        };
        let faults: Vec<Fault> = faults.into_iter().map(at_once).collect();
        let mut watch = PollSchedule::new(BackoffPolicy::PUSHED, seed);
        if moved {
            watch.address_changed();
        }
        let latest = latest(&mut watch, known && !moved, &faults) - Duration::from_secs(1);
        prop_assert!(latest <= Duration::from_millis(210), "{latest:?}");
    }
}

/// Three hundred are more than discovery can tell in time; they must not keep each other out all the same.
#[test]
fn three_hundred_gateways_are_all_told_in_the_end() {
    let pauses = BackoffPolicy::polled(300, Duration::from_secs(10));
    for down in [0, 10_000] {
        let (took, calls) = all_told(300, Service { every: 60, down, free: 0 }, pauses).expect("all told");
        assert!(took < 90_000 && calls < 2_000, "{took} ms, {calls} calls");
    }
}
