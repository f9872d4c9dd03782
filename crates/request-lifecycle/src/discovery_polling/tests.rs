//! Polls of discovery, played against services and agents that fail in many ways.

use std::collections::VecDeque;

use proptest::prelude::*;

use super::*;

const NO_TIME: Duration = Duration::ZERO;

/// What a hundred gateways that poll one discovery service use.
fn policy_of_many() -> BackoffPolicy {
    BackoffPolicy::polled(100, Duration::from_secs(10))
}

/// What two gateways that poll one discovery service use.
fn policy_of_few() -> BackoffPolicy {
    BackoffPolicy::polled(2, Duration::from_secs(10))
}

#[test]
fn backoff_doubles_up_to_its_maximum_and_restarts_after_an_answer() {
    let assert_drawn_from = |backoff: Duration, mean: u64| {
        let backoff_ms = backoff.as_millis() as u64;
        assert!((mean / 2..=mean * 3 / 2).contains(&backoff_ms), "{backoff_ms} ms, mean {mean}");
    };
    let mut schedule = PollSchedule::new(policy_of_many(), 7);
    for mean in [100, 200, 400, 800, 1_600, 2_500, 2_500] {
        assert_drawn_from(schedule.poll_failed(PollFailure::Lost, NO_TIME), mean);
    }
    for _ in 0..100 {
        assert_drawn_from(schedule.poll_failed(PollFailure::Lost, NO_TIME), 2_500);
    }
    schedule.poll_succeeded();
    assert_drawn_from(schedule.poll_failed(PollFailure::Lost, NO_TIME), 100);
    schedule.poll_succeeded();
    for mean in [3_333, 10_000, 20_000, 20_000] {
        assert_drawn_from(schedule.poll_failed(PollFailure::Throttled(None), NO_TIME), mean);
    }
    for _ in 0..100 {
        assert!(schedule.initial_delay() < policy_of_many().round);
    }
}

/// Guards against a service that asks for patience repeatedly, and guards the freshness limit against one that asks for
/// it once, or from gateways so few that it has time for all of them.
#[test]
fn retry_after_is_obeyed_up_to_a_maximum() {
    let throttled = |seconds| PollFailure::Throttled(Some(Duration::from_secs(seconds)));
    let (min, freshness_limit) = (Duration::from_secs(3), Duration::from_secs(5));
    let mut schedule = PollSchedule::new(policy_of_many(), 7);
    assert!((min..=freshness_limit).contains(&schedule.poll_failed(throttled(3), NO_TIME)));
    assert!(schedule.poll_failed(throttled(9), NO_TIME) >= Duration::from_secs(9));
    assert!(schedule.poll_failed(throttled(900), NO_TIME) <= policy_of_many().longest_round * 2);
    schedule.poll_succeeded();
    assert!(schedule.poll_failed(throttled(900), NO_TIME) <= freshness_limit);
    let mut schedule = PollSchedule::new(policy_of_few(), 7);
    for _ in 0..20 {
        assert!(schedule.poll_failed(throttled(900), NO_TIME) <= freshness_limit);
    }
}

/// How long a caller waits for an answer, in milliseconds.
const CALLER_TIMEOUT: u64 = 2_000;
/// The longest queue that the service accepts, in milliseconds.
const MAX_QUEUE: u64 = 4_000;

/// A service that works through polls one after the other, also those whose callers have given up, and rejects at once
/// what would wait longer than [`MAX_QUEUE`]. Times in milliseconds.
struct Service {
    /// What one poll takes.
    service_time: u64,
    /// Until then it rejects every poll.
    down_until: u64,
    /// When it will have worked through its queue.
    idle_from: u64,
}

/// What it took until every gateway was answered.
#[derive(Debug, PartialEq)]
struct Rollout {
    /// When the last gateway was answered, in milliseconds.
    duration: u64,
    polls: usize,
}

/// Plays gateways that start within 100 ms until each has been answered; `None` if that takes more than two minutes.
fn roll_out(gateways: usize, mut service: Service, policy: BackoffPolicy) -> Option<Rollout> {
    let mut schedules: Vec<PollSchedule> =
        (0..gateways).map(|gateway| PollSchedule::new(policy, gateway as u64 + 1)).collect();
    let mut due: VecDeque<(u64, usize)> = VecDeque::new();
    for (gateway, schedule) in schedules.iter_mut().enumerate() {
        due.push_back(((gateway % 100) as u64 + schedule.initial_delay().as_millis() as u64, gateway));
    }
    let mut rollout = Rollout { duration: 0, polls: 0 };
    while let Some(next) = due.iter().min().copied() {
        let (now, gateway) = next;
        due.retain(|poll| *poll != next);
        if now > 120_000 {
            return None;
        }
        rollout.polls += 1;
        service.idle_from = service.idle_from.max(now);
        let queued_for = service.idle_from - now;
        let rejected = now < service.down_until || queued_for > MAX_QUEUE;
        if !rejected {
            service.idle_from += service.service_time;
        }
        if rejected || queued_for > CALLER_TIMEOUT {
            let took = if rejected { 0 } else { CALLER_TIMEOUT };
            let failure = PollFailure::Throttled(None);
            let backoff = schedules[gateway].poll_failed(failure, Duration::from_millis(took));
            due.push_back((now + took + backoff.as_millis() as u64, gateway));
        } else {
            rollout.duration = rollout.duration.max(now + queued_for);
        }
    }
    Some(rollout)
}

/// Polls that are repeated at once lock a hundred gateways out for good; drawn out of a round, all are answered with
/// hardly more polls than gateways.
#[test]
fn gateways_that_start_together_do_not_lock_each_other_out() {
    let service = || Service { service_time: 60, down_until: 0, idle_from: 0 };
    let Rollout { duration, polls } = roll_out(100, service(), policy_of_many()).expect("all answered");
    assert!(duration < 30_000 && polls < 200, "{duration} ms, {polls} polls");
    let eager = BackoffPolicy {
        round: Duration::ZERO,
        longest_round: policy_of_many().initial_backoff,
        freshness_limit: (NO_TIME, NO_TIME),
        ..policy_of_many()
    };
    assert_eq!(roll_out(100, service(), eager), None);
}

/// The same with a service that could answer a fifth of them in time if all polled at once, less than poll in a round.
#[test]
fn service_with_capacity_for_a_fifth_of_the_polls_answers_all_in_the_end() {
    let service = Service { service_time: 100, down_until: 0, idle_from: 0 };
    let Rollout { duration, polls } = roll_out(100, service, policy_of_many()).expect("all answered");
    assert!(duration < 90_000 && polls < 500, "{duration} ms, {polls} polls");
}

/// Ten seconds in which every poll is rejected do not leave all gateways in step.
#[test]
fn end_of_an_outage_does_not_cause_a_second_one() {
    let service = Service { service_time: 60, down_until: 10_000, idle_from: 0 };
    let Rollout { duration, polls } = roll_out(100, service, policy_of_many()).expect("all answered");
    assert!(duration < 40_000 && polls < 500, "{duration} ms, {polls} polls");
}

/// A gateway alone, or one of a few, does not have to wait: discovery has capacity for it.
#[test]
fn few_gateways_poll_nearly_at_once() {
    let service = Service { service_time: 60, down_until: 0, idle_from: 0 };
    let Rollout { duration, polls } = roll_out(2, service, policy_of_few()).expect("answered");
    assert!(duration <= 200 && polls == 2, "{duration} ms, {polls} polls");
}

/// Three hundred are more than discovery can answer in time; they must not lock each other out all the same.
#[test]
fn three_hundred_gateways_are_all_answered_in_the_end() {
    let policy = BackoffPolicy::polled(300, Duration::from_secs(10));
    for down_until in [0, 10_000] {
        let service = Service { service_time: 60, down_until, idle_from: 0 };
        let Rollout { duration, polls } = roll_out(300, service, policy).expect("all answered");
        assert!(duration < 90_000 && polls < 2_000, "{duration} ms, {polls} polls");
    }
}

/// Where lists are pushed, and where they are polled.
fn any_policy() -> impl Strategy<Value = BackoffPolicy> {
    prop_oneof![Just(BackoffPolicy::PUSHED), Just(BackoffPolicy { round: NO_TIME, ..policy_of_few() })]
}

/// When discovery does not answer. Times in milliseconds.
#[derive(Clone, Copy)]
struct Silence {
    /// Discovery answers nothing from the first time to the second.
    outage: (u64, u64),
    /// The poll that is open at this moment is never answered.
    breaks_at: u64,
}

/// When a change made at `change` is received by a gateway that polls from 0 on, in milliseconds. Outside of the
/// silence every poll is answered at once.
fn change_received_at(change: u64, silence: Silence, policy: BackoffPolicy, seed: u64) -> u64 {
    let millis = |duration: Duration| duration.as_millis() as u64;
    let (down, up) = silence.outage;
    let mut schedule = PollSchedule::new(policy, seed);
    let mut now = millis(schedule.initial_delay());
    let mut known = false;
    loop {
        let poll = schedule.next_poll(known);
        let answer = match poll {
            Poll::Changes { hold, .. } if now < change => change.min(now + millis(hold)),
            _ => now,
        };
        let silent = now < up && answer >= down || (now..answer).contains(&silence.breaks_at);
        let took = schedule.limits(poll).first_byte;
        if silent {
            now += millis(took);
            now += millis(schedule.poll_failed(PollFailure::Lost, took));
            continue;
        }
        now = answer;
        if now >= change {
            return now;
        }
        schedule.poll_succeeded();
        known = true;
    }
}

proptest! {
    /// Guards the protocol's clocks: what discovery has counts as known 6 s after a watch became unresponsive; where lists
    /// are pushed, at once, whether or not a watch is open, so also to a new process and after an outage. A drain may
    /// have to be obeyed within 300 ms of that.
    #[test]
    fn change_is_received_before_it_counts_as_known(
        change in 0u64..20_000, down in 0u64..20_000, length in 1u64..10_000, outage: bool,
        policy in any_policy(), seed: u64,
    ) {
        let pushed = policy.full_list_timeout.is_some();
        // A watch that becomes unresponsive is opened anew well before the 6 s are over.
        let reopened = down + if pushed { 2_000 } else { 3_500 };
        let (received, limit) = if outage {
            let up = down + length;
            let silence = Silence { outage: (down, up), breaks_at: u64::MAX };
            let available = if (down..up).contains(&change) { up } else { change };
            let from = if change >= down { available.max(reopened) } else { available };
            let limit = from + if pushed { 250 } else { 6_000 };
            (change_received_at(change, silence, policy, seed), limit)
        } else {
            let silence = Silence { outage: (0, 0), breaks_at: down };
            let limit = if change >= down { change.max(reopened) } else { change };
            (change_received_at(change, silence, policy, seed), limit)
        };
        prop_assert!(
            received <= limit,
            "change {change}, silent from {down} on ({length}): {received}, not by {limit}"
        );
    }
}

/// Guards a new process, and one whose discovery has moved: the full list is requested at once, and soon again.
#[test]
fn agent_that_has_not_answered_is_polled_for_the_full_list() {
    let mut schedule = PollSchedule::new(BackoffPolicy::PUSHED, 7);
    let full_list = Poll::FullList { within: Duration::from_millis(150) };
    assert_eq!((schedule.initial_delay(), schedule.next_poll(true)), (Duration::ZERO, full_list));
    schedule.poll_succeeded();
    assert!(matches!(schedule.next_poll(true), Poll::Changes { .. }));
    schedule.address_changed();
    assert_eq!(schedule.next_poll(true), full_list);
    for _ in 0..50 {
        assert!(schedule.poll_failed(PollFailure::Lost, NO_TIME) < Duration::from_millis(100));
    }
    assert_eq!(schedule.next_poll(true), full_list);
    schedule.address_changed();
    assert_eq!(schedule.failures(), 0);
}

/// How a poll fails while discovery brings nothing. Times in milliseconds.
#[derive(Clone, Copy, Debug)]
enum PollFault {
    ConnectionRefused,
    /// Rejected, with a Retry-After or without.
    Rejected(Option<u64>),
    Unresponsive,
    /// Its answer begins after so long, and stops.
    StopsMidAnswer(u64),
    /// Its connection is reset after so long.
    Reset(u64),
}

fn any_faults() -> impl Strategy<Value = Vec<PollFault>> {
    let fault = prop_oneof![
        Just(PollFault::ConnectionRefused),
        prop::option::of(0u64..1_000_000).prop_map(PollFault::Rejected),
        Just(PollFault::Unresponsive),
        (0u64..5_000).prop_map(PollFault::StopsMidAnswer),
        (0u64..5_000).prop_map(PollFault::Reset),
    ];
    prop::collection::vec(fault, 1..12)
}

/// How long a poll with this fault takes, and why it counts as failed.
fn failed_poll(fault: PollFault, limits: Limits) -> (Duration, PollFailure) {
    let millis = Duration::from_millis;
    match fault {
        PollFault::ConnectionRefused => (NO_TIME, PollFailure::Lost),
        PollFault::Rejected(retry_after) => (NO_TIME, PollFailure::Throttled(retry_after.map(millis))),
        PollFault::Unresponsive => (limits.first_byte, PollFailure::Lost),
        PollFault::StopsMidAnswer(begins) => {
            let first_part = millis(begins).min(limits.first_byte);
            ((first_part + limits.between_parts).min(limits.total), PollFailure::Lost)
        }
        PollFault::Reset(after) => (millis(after).min(limits.total), PollFailure::Lost),
    }
}

/// The longest time from a moment at which discovery can be reached until its list is here: a poll that has begun by
/// then fails all the same, with any of these faults, and the next one is answered 1 s after it began.
fn longest_until_list(schedule: &mut PollSchedule, known: bool, faults: &[PollFault]) -> Duration {
    let mut longest = if known { schedule.initial_delay() } else { NO_TIME };
    for fault in faults {
        let limits = schedule.limits(schedule.next_poll(known));
        let (took, failure) = failed_poll(*fault, limits);
        longest = longest.max(took + schedule.poll_failed(failure, took));
    }
    longest + Duration::from_secs(1)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards the freshness limit: what discovery has counts as known 6 s after it could be reached, 4 s after it has
    /// moved, whatever failed, was rejected or given up in between.
    #[test]
    fn freshness_limit_holds_over_all_polls_and_backoffs(
        routers in 1u32..=16, known: bool, moved: bool, faults in any_faults(), seed: u64,
    ) {
        let policy = BackoffPolicy::polled(routers, Duration::from_secs(10));
        let mut schedule = PollSchedule::new(policy, seed);
        if moved {
            schedule.address_changed();
        }
        let longest = longest_until_list(&mut schedule, known && !moved, &faults);
        prop_assert!(longest <= Duration::from_secs(if moved { 4 } else { 6 }), "{longest:?}");
    }

    /// The same for a fleet that discovery cannot answer in that time, as long as a gateway is rejected only once.
    #[test]
    fn freshness_limit_holds_if_a_gateway_is_rejected_once(
        routers in 17u32..400, known: bool, faults in any_faults(), position: prop::sample::Index,
        retry_after: Option<u64>, seed: u64,
    ) {
        let mut faults: Vec<PollFault> =
            faults.into_iter().filter(|fault| !matches!(fault, PollFault::Rejected(_))).collect();
        faults.insert(position.index(faults.len() + 1), PollFault::Rejected(retry_after));
        let policy = BackoffPolicy::polled(routers, Duration::from_secs(10));
        let mut schedule = PollSchedule::new(policy, seed);
        let longest = longest_until_list(&mut schedule, known, &faults);
        prop_assert!(longest <= Duration::from_secs(6), "{longest:?}");
    }

    /// Guards drains that must be obeyed within 250 ms where lists are pushed: what the agent has counts as known as soon
    /// as it answers. It answers at once or not at all; its answer may stop, or be rejected by a proxy before it.
    #[test]
    fn agent_that_recovers_is_heard_at_once(known: bool, moved: bool, faults in any_faults(), seed: u64) {
        let answers_at_once = |fault| match fault {
            PollFault::StopsMidAnswer(begins) => PollFault::StopsMidAnswer(begins % 10),
            PollFault::Reset(after) => PollFault::Reset(after % 10),
            other => other,
        };
        let faults: Vec<PollFault> = faults.into_iter().map(answers_at_once).collect();
        let mut schedule = PollSchedule::new(BackoffPolicy::PUSHED, seed);
        if moved {
            schedule.address_changed();
        }
        let longest = longest_until_list(&mut schedule, known && !moved, &faults) - Duration::from_secs(1);
        prop_assert!(longest <= Duration::from_millis(210), "{longest:?}");
    }
}
