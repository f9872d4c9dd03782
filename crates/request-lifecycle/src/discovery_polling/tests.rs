//! Tests of the polling schedule against simulated services and agents that fail in various ways.

use std::collections::VecDeque;

use proptest::prelude::*;

use super::*;

const ZERO: Duration = Duration::ZERO;

/// Policy of a hundred gateways that poll one discovery service.
fn policy_for_100_gateways() -> BackoffPolicy {
    BackoffPolicy::polled(100, Duration::from_secs(10))
}

/// Policy of two gateways that poll one discovery service.
fn policy_for_2_gateways() -> BackoffPolicy {
    BackoffPolicy::polled(2, Duration::from_secs(10))
}

#[test]
fn backoff_doubles_up_to_its_maximum_and_restarts_after_an_answer() {
    let assert_drawn_from = |backoff: Duration, mean: u64| {
        let backoff_ms = backoff.as_millis() as u64;
        assert!((mean / 2..=mean * 3 / 2).contains(&backoff_ms), "{backoff_ms} ms, mean {mean}");
    };
    let mut schedule = PollSchedule::new(policy_for_100_gateways(), 7);
    for mean in [100, 200, 400, 800, 1_600, 2_500, 2_500] {
        assert_drawn_from(schedule.poll_failed(PollFailure::Lost, ZERO), mean);
    }
    for _ in 0..100 {
        assert_drawn_from(schedule.poll_failed(PollFailure::Lost, ZERO), 2_500);
    }
    schedule.poll_succeeded();
    assert_drawn_from(schedule.poll_failed(PollFailure::Lost, ZERO), 100);
    schedule.poll_succeeded();
    for mean in [3_333, 10_000, 20_000, 20_000] {
        assert_drawn_from(schedule.poll_failed(PollFailure::Throttled(None), ZERO), mean);
    }
    for _ in 0..100 {
        assert!(schedule.initial_delay() < policy_for_100_gateways().round);
    }
}

/// Guards the bounds of Retry-After: after repeated rejections it is followed up to a maximum backoff. After
/// the first rejection, or with few gateways, the backoff must leave 1 s of the freshness limit for the
/// response.
#[test]
fn retry_after_is_obeyed_up_to_a_maximum() {
    let throttled = |seconds| PollFailure::Throttled(Some(Duration::from_secs(seconds)));
    let (min, freshness_limit) = (Duration::from_secs(3), Duration::from_secs(5));
    let mut schedule = PollSchedule::new(policy_for_100_gateways(), 7);
    assert!((min..=freshness_limit).contains(&schedule.poll_failed(throttled(3), ZERO)));
    assert!(schedule.poll_failed(throttled(9), ZERO) >= Duration::from_secs(9));
    assert!(
        schedule.poll_failed(throttled(900), ZERO) <= policy_for_100_gateways().max_throttled_backoff * 2
    );
    schedule.poll_succeeded();
    assert!(schedule.poll_failed(throttled(900), ZERO) <= freshness_limit);
    let mut schedule = PollSchedule::new(policy_for_2_gateways(), 7);
    for _ in 0..20 {
        assert!(schedule.poll_failed(throttled(900), ZERO) <= freshness_limit);
    }
}

/// Time for which a gateway waits for a response, in milliseconds.
const CALLER_TIMEOUT: u64 = 2_000;
/// Maximum length of the service's queue, in milliseconds of processing time.
const MAX_QUEUE: u64 = 4_000;

/// Simulated service that processes polls one after another, including those whose callers have timed out, and
/// rejects polls immediately that would wait longer than [`MAX_QUEUE`]. All times are in milliseconds.
struct Service {
    /// Processing time of one poll.
    service_time: u64,
    /// Time before which it rejects every poll.
    down_until: u64,
    /// Time at which its queue will be empty.
    idle_from: u64,
}

/// Cost of a rollout until every gateway was answered.
#[derive(Debug, PartialEq)]
struct Rollout {
    /// Time at which the last gateway was answered, in milliseconds.
    duration: u64,
    polls: usize,
}

/// Simulates gateways that start within 100 ms until each was answered; `None` if that takes more than two minutes.
fn simulate_rollout(gateways: usize, mut service: Service, policy: BackoffPolicy) -> Option<Rollout> {
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
            let poll_duration = if rejected { 0 } else { CALLER_TIMEOUT };
            let failure = PollFailure::Throttled(None);
            let backoff = schedules[gateway].poll_failed(failure, Duration::from_millis(poll_duration));
            due.push_back((now + poll_duration + backoff.as_millis() as u64, gateway));
        } else {
            rollout.duration = rollout.duration.max(now + queued_for);
        }
    }
    Some(rollout)
}

/// Guards against a permanent overload: a hundred gateways that repeat rejected polls at once are never all
/// answered. With polls spread over a round all are answered, with fewer than two polls for each gateway.
#[test]
fn gateways_that_start_together_are_all_answered() {
    let service = || Service { service_time: 60, down_until: 0, idle_from: 0 };
    let Rollout { duration, polls } =
        simulate_rollout(100, service(), policy_for_100_gateways()).expect("every gateway is answered");
    assert!(duration < 30_000 && polls < 200, "{duration} ms, {polls} polls");
    let without_rounds = BackoffPolicy {
        round: Duration::ZERO,
        max_throttled_backoff: policy_for_100_gateways().initial_backoff,
        freshness_limit: (ZERO, ZERO),
        ..policy_for_100_gateways()
    };
    assert_eq!(simulate_rollout(100, service(), without_rounds), None);
}

/// Guards against a permanent overload of a slower service, which can answer only a fifth of the gateways in
/// time if all poll at once, and about half of them if they poll within one round.
#[test]
fn service_with_capacity_for_a_fifth_of_the_polls_answers_all_in_the_end() {
    let service = Service { service_time: 100, down_until: 0, idle_from: 0 };
    let Rollout { duration, polls } =
        simulate_rollout(100, service, policy_for_100_gateways()).expect("every gateway is answered");
    assert!(duration < 90_000 && polls < 500, "{duration} ms, {polls} polls");
}

/// Guards against synchronized polls after an outage of ten seconds in which every poll is rejected.
#[test]
fn end_of_an_outage_does_not_cause_a_second_one() {
    let service = Service { service_time: 60, down_until: 10_000, idle_from: 0 };
    let Rollout { duration, polls } =
        simulate_rollout(100, service, policy_for_100_gateways()).expect("every gateway is answered");
    assert!(duration < 40_000 && polls < 500, "{duration} ms, {polls} polls");
}

/// Guards against needless delays: two gateways are answered within 200 ms, each at its first poll.
#[test]
fn few_gateways_poll_nearly_at_once() {
    let service = Service { service_time: 60, down_until: 0, idle_from: 0 };
    let Rollout { duration, polls } =
        simulate_rollout(2, service, policy_for_2_gateways()).expect("every gateway is answered");
    assert!(duration <= 200 && polls == 2, "{duration} ms, {polls} polls");
}

/// Guards against a permanent overload by three hundred gateways, more than discovery can answer in time.
#[test]
fn three_hundred_gateways_are_all_answered_in_the_end() {
    let policy = BackoffPolicy::polled(300, Duration::from_secs(10));
    for down_until in [0, 10_000] {
        let service = Service { service_time: 60, down_until, idle_from: 0 };
        let Rollout { duration, polls } =
            simulate_rollout(300, service, policy).expect("every gateway is answered");
        assert!(duration < 90_000 && polls < 2_000, "{duration} ms, {polls} polls");
    }
}

/// Generates the policy of push mode or that of polling by two gateways, without rounds.
fn any_policy() -> impl Strategy<Value = BackoffPolicy> {
    prop_oneof![Just(BackoffPolicy::PUSHED), Just(BackoffPolicy { round: ZERO, ..policy_for_2_gateways() })]
}

/// Times at which discovery does not respond, in milliseconds.
#[derive(Clone, Copy)]
struct FailureTimes {
    /// Start and end of an outage, during which no poll is answered.
    outage: (u64, u64),
    /// Time of a failure after which the poll in flight is never answered.
    failure_at: u64,
}

/// Returns when a gateway that polls from 0 on receives a change made at `change`, in milliseconds. Outside the given
/// failures every poll is answered immediately.
fn change_received_at(change: u64, failures: FailureTimes, policy: BackoffPolicy, seed: u64) -> u64 {
    let millis = |duration: Duration| duration.as_millis() as u64;
    let (down, up) = failures.outage;
    let mut schedule = PollSchedule::new(policy, seed);
    let mut now = millis(schedule.initial_delay());
    let mut known = false;
    loop {
        let poll = schedule.next_poll(known);
        let answer = match poll {
            Poll::Changes { hold, .. } if now < change => change.min(now + millis(hold)),
            _ => now,
        };
        let is_unanswered = now < up && answer >= down || (now..answer).contains(&failures.failure_at);
        let poll_duration = schedule.limits(poll).first_byte;
        if is_unanswered {
            now += millis(poll_duration);
            now += millis(schedule.poll_failed(PollFailure::Lost, poll_duration));
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
    /// Guards the protocol's time limits. Where discovery is polled, a gateway is expected to have the list 6 s
    /// after a watch became unresponsive. In push mode it is expected to have it immediately, whether or not a
    /// watch is open, so also in a new process and after an outage; a drain may have to be obeyed within 250 ms.
    #[test]
    fn change_is_received_in_time(
        change in 0u64..20_000, down in 0u64..20_000, length in 1u64..10_000, outage: bool,
        policy in any_policy(), seed: u64,
    ) {
        let pushed = policy.full_list_timeout.is_some();
        // An unresponsive watch is reopened well within the 6 s.
        let reopened = down + if pushed { 2_000 } else { 3_500 };
        let (received, limit) = if outage {
            let up = down + length;
            let failures = FailureTimes { outage: (down, up), failure_at: u64::MAX };
            let available = if (down..up).contains(&change) { up } else { change };
            let from = if change >= down { available.max(reopened) } else { available };
            let limit = from + if pushed { 250 } else { 6_000 };
            (change_received_at(change, failures, policy, seed), limit)
        } else {
            let failures = FailureTimes { outage: (0, 0), failure_at: down };
            let limit = if change >= down { change.max(reopened) } else { change };
            (change_received_at(change, failures, policy, seed), limit)
        };
        prop_assert!(
            received <= limit,
            "change at {change}, failure at {down} (length {length}): received at {received}, limit {limit}"
        );
    }
}

/// Guards a new process and one whose discovery has moved: the full list is requested immediately, and repeated soon.
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
        assert!(schedule.poll_failed(PollFailure::Lost, ZERO) < Duration::from_millis(100));
    }
    assert_eq!(schedule.next_poll(true), full_list);
    schedule.address_changed();
    assert_eq!(schedule.failures(), 0);
}

/// A way in which a poll fails. All times are in milliseconds.
#[derive(Clone, Copy, Debug)]
enum PollFault {
    ConnectionRefused,
    /// Rejected, with the given Retry-After or without one.
    Rejected(Option<u64>),
    Unresponsive,
    /// The response begins after this time, and stops before it is complete.
    StopsMidAnswer(u64),
    /// The connection is reset after this time.
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

/// Returns the duration of a poll with this fault, and how the failure is classified.
fn failed_poll(fault: PollFault, limits: Limits) -> (Duration, PollFailure) {
    let millis = Duration::from_millis;
    match fault {
        PollFault::ConnectionRefused => (ZERO, PollFailure::Lost),
        PollFault::Rejected(retry_after) => (ZERO, PollFailure::Throttled(retry_after.map(millis))),
        PollFault::Unresponsive => (limits.first_byte, PollFailure::Lost),
        PollFault::StopsMidAnswer(begins) => {
            let first_part = millis(begins).min(limits.first_byte);
            ((first_part + limits.between_parts).min(limits.total), PollFailure::Lost)
        }
        PollFault::Reset(after) => (millis(after).min(limits.total), PollFailure::Lost),
    }
}

/// Returns the maximum time from when discovery becomes reachable until its list is received: a poll that began
/// earlier still fails with one of these faults, and the next one is answered 1 s after it began.
fn longest_until_list(schedule: &mut PollSchedule, known: bool, faults: &[PollFault]) -> Duration {
    let mut longest = if known { schedule.initial_delay() } else { ZERO };
    for fault in faults {
        let limits = schedule.limits(schedule.next_poll(known));
        let (poll_duration, failure) = failed_poll(*fault, limits);
        longest = longest.max(poll_duration + schedule.poll_failed(failure, poll_duration));
    }
    longest + Duration::from_secs(1)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards the freshness limit: a gateway must have the list 6 s after discovery became reachable, or 4 s after
    /// it has moved, whichever polls failed, timed out or were rejected in between.
    #[test]
    fn freshness_limit_holds_over_all_polls_and_backoffs(
        gateway_count in 1u32..=16, known: bool, moved: bool, faults in any_faults(), seed: u64,
    ) {
        let policy = BackoffPolicy::polled(gateway_count, Duration::from_secs(10));
        let mut schedule = PollSchedule::new(policy, seed);
        if moved {
            schedule.address_changed();
        }
        let longest = longest_until_list(&mut schedule, known && !moved, &faults);
        prop_assert!(longest <= Duration::from_secs(if moved { 4 } else { 6 }), "{longest:?}");
    }

    /// Guards the freshness limit of 6 s with more gateways than discovery can answer in that time, if a
    /// gateway is rejected only once.
    #[test]
    fn freshness_limit_holds_if_a_gateway_is_rejected_once(
        gateway_count in 17u32..400, known: bool, faults in any_faults(), position: prop::sample::Index,
        retry_after: Option<u64>, seed: u64,
    ) {
        let mut faults: Vec<PollFault> =
            faults.into_iter().filter(|fault| !matches!(fault, PollFault::Rejected(_))).collect();
        faults.insert(position.index(faults.len() + 1), PollFault::Rejected(retry_after));
        let policy = BackoffPolicy::polled(gateway_count, Duration::from_secs(10));
        let mut schedule = PollSchedule::new(policy, seed);
        let longest = longest_until_list(&mut schedule, known, &faults);
        prop_assert!(longest <= Duration::from_secs(6), "{longest:?}");
    }

    /// Guards drains that must be obeyed within 250 ms in push mode: a gateway is expected to have the agent's list
    /// as soon as the agent responds. The agent responds immediately or not at all; a response may stop, or a proxy
    /// in front of the agent may reject the poll.
    #[test]
    fn list_of_a_recovered_agent_is_received_at_once(
        known: bool, moved: bool, faults in any_faults(), seed: u64,
    ) {
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
