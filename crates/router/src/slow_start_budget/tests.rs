//! Slow start by itself: warmth, credits and who may go by a word.

use super::*;
use proptest::prelude::*;

fn rules() -> Rules {
    Rules {
        answer_grace: 8.0,
        drain_grace: 500.0,
        lease_limit: 500.0,
        slow_start_window: 13_000.0,
        slow_start_initial_share: 0.31,
        overload_window: 3_000.0,
        overload_multiple: 4.0,
        discovery_poll_limit: 10_000.0,
    }
}

/// In every window that could make it fall over, a server that started at 0 and can do so many a second when it is warm was sent
/// no more than the rule leaves.
fn stays_up(sent: &[Millis], rules: &Rules, a_second: f64) -> Result<(), TestCaseError> {
    for from in sent {
        let within =
            sent.iter().filter(|at| (*from..from + rules.overload_window).contains(*at)).count() as f64;
        let n = rules.overload_multiple
            * a_second
            * capacity_share(rules, Some(0.0), *from)
            * rules.overload_window
            / 1000.0;
        prop_assert!(within <= n + 2.0 * n.sqrt() + 2.0, "{within} of {n} from {from}");
    }
    Ok(())
}

proptest! {
    /// A server warms up steadily, never beyond its whole capacity, and from no less than the settings say.
    #[test]
    fn warmth_grows_to_the_whole(since in 0.0..1e6, early in 0.0..30_000.0, more in 0.0..30_000.0) {
        let (a, b) = (capacity_share(&rules(), Some(since), since + early), capacity_share(&rules(), Some(since), since + early + more));
        prop_assert!(0.31 <= a && a <= b && b <= 1.0);
        prop_assert_eq!(capacity_share(&rules(), None, early), 1.0);
        prop_assert_eq!(capacity_share(&rules(), Some(since), since + 13_000.0), 1.0);
    }

    /// Whatever the routers' number, and whether each spends at once or all keep what they have for one burst, with none,
    /// a third or all of them begun anew within a second, once or again every second and a half: all together send a cold
    /// server, in any window that could make it fall over, no more than it bears, though they take it for able to do what
    /// it can.
    #[test]
    fn the_sum_of_all_credits_keeps_a_cold_server_up(
        routers in prop::sample::select(vec![3usize, 20, 30, 100, 300]), a_second in 1.0..30.0f64, over in 0.5..1.0f64,
        quiet in 0.0..13_000.0f64, seed in 1u64..u64::MAX, (multiple, fall, from) in
        prop::sample::select(vec![(4.0, 3_000.0, 0.31), (4.0, 2_000.0, 0.26), (2.5, 1_500.0, 0.27)]),
        (every, again) in prop::sample::select(vec![(usize::MAX, 1e9), (3, 1e9), (1, 1e9), (1, 1_500.0)]),
    ) {
        let rules = Rules { overload_multiple: multiple, overload_window: fall, slow_start_initial_share: from, ..rules() };
        let carried = RoleThroughput { peak_rate: over * a_second / routers as f64, ..RoleThroughput::default() };
        let mut random = crate::state::Random::new(seed);
        let begins = |random: &mut crate::state::Random, at| {
            ServerRecord { send_credit: random.next_unit(), credit_updated_at: at, slow_start_since: Some(0.0), ..ServerRecord::default() }
        };
        let mut credits: Vec<ServerRecord> = (0..routers).map(|_| begins(&mut random, 0.0)).collect();
        let mut sent = Vec::new();
        for step in (0..12_000).step_by(50).map(f64::from) {
            let now = quiet + step;
            for (n, s) in credits.iter_mut().enumerate() {
                if (n + 1).is_multiple_of(every) && step % again == 50.0 * (n / every % 20) as f64 {
                    *s = begins(&mut random, now);
                }
                let w = capacity_share(&rules, s.slow_start_since, now);
                let left = send_credit(s, w, &carried, &rules, routers as f64, now);
                if left >= 1.0 && w < 1.0 {
                    (s.send_credit, s.credit_updated_at) = (left - 1.0, now);
                    sent.push(now);
                }
            }
        }
        stays_up(&sent, &rules, a_second)?;
    }

    /// Whatever the server says, as long as it stays the same: a beginning is asked for at all routers, and
    /// all have a fresh word of an empty cold server all the time. They send it, in any window that could
    /// make it fall over, no more than it bears, though each takes the beginning for somewhat more or less
    /// asked for than it is.
    #[test]
    fn a_word_that_stays_the_same_keeps_a_cold_server_up(
        routers in prop::sample::select(vec![20usize, 30, 100, 300]),
        a_second in 1.0..30.0f64, busy in 0.5..1.0f64,
        asked in 0.2..20.0f64, taken_for in 0.8..1.25f64, quiet in 0.0..13_000.0f64, seed in 1u64..u64::MAX,
        (multiple, fall, from) in
        prop::sample::select(vec![(4.0, 3_000.0, 0.31), (4.0, 2_000.0, 0.26), (2.5, 1_500.0, 0.27)]),
    ) {
        let rules = Rules { overload_multiple: multiple, overload_window: fall, slow_start_initial_share: from, ..rules() };
        let carried = RoleThroughput { peak_rate: busy * a_second / routers as f64, ..RoleThroughput::default() };
        let mut random = crate::state::Random::new(seed);
        let begins = |random: &mut crate::state::Random| {
            ServerRecord { send_credit: random.next_unit(), credit_updated_at: quiet, slow_start_since: Some(0.0), ..ServerRecord::default() }
        };
        let mut servers: Vec<ServerRecord> = (0..routers).map(|_| begins(&mut random)).collect();
        let (mut now, mut sent) = (quiet, Vec::new());
        while now < quiet + 12_000.0 {
            now -= (1.0 - random.next_unit()).ln() * 1000.0 / (asked * busy * a_second);
            let s = &mut servers[(random.next_unit() * routers as f64) as usize];
            let warmth = capacity_share(&rules, s.slow_start_since, now);
            let left = send_credit(s, warmth, &carried, &rules, routers as f64, now);
            s.reported_load = Some((0.0, now));
            let trust = Allowance { capacity_share: warmth, send_credit: left, report_threshold: Some(report_threshold(&rules, warmth, asked * taken_for)) };
            if warmth < 1.0 && trust.permits_send(s, now) {
                (s.send_credit, s.credit_updated_at) = (left - 1.0, now);
                sent.push(now);
            }
        }
        stays_up(&sent, &rules, a_second)?;
    }

    /// The more a beginning is asked for, the fewer go by a word; the more the server bears, the more. Never
    /// all, and from a whole send on any.
    #[test]
    fn fewer_go_by_a_word_the_more_is_asked_for(
        a in 0.0..50.0f64, b in 0.0..50.0f64, c in 0.01..10.0f64, d in 0.01..10.0f64,
    ) {
        let of = |units, asked| report_threshold(&rules(), units, asked);
        prop_assert!(of(c, a.min(b)) <= of(c, a.max(b)) && of(c.max(d), a) <= of(c.min(d), a));
        prop_assert!((MIN_REPORT_THRESHOLD..1.0).contains(&of(c, a)));
        prop_assert_eq!(of(c, 0.0), MIN_REPORT_THRESHOLD);
    }

    /// What a cold server holds weighs more, never less, and a warm one's as it is.
    #[test]
    fn a_cold_servers_load_weighs_more(held in 0.0..50.0, a in 0.05..1.0f64, b in 0.05..1.0f64) {
        prop_assert!(normalized_load(held, a.min(b)) >= normalized_load(held, a.max(b)));
        prop_assert_eq!(normalized_load(held, 1.0), held);
    }

    /// A cold server gets nothing on an old word, nor on a fresh one where routers do not look.
    #[test]
    fn a_cold_server_is_sent_something_on_a_fresh_word_only(age in 0.0..5_000.0, credit in 0.0..0.99f64) {
        let s = ServerRecord { reported_load: Some((0.0, 0.0)), ..ServerRecord::default() };
        let may_get = |warmth, credit, ahead| Allowance { capacity_share: warmth, send_credit: credit, report_threshold: ahead }.permits_send(&s, age);
        prop_assert_eq!(may_get(0.4, credit, Some(MIN_REPORT_THRESHOLD)), age <= FLEET_REPORT_TTL && credit > MIN_REPORT_THRESHOLD);
        prop_assert!(!may_get(0.4, credit, None));
        prop_assert!(may_get(1.0, credit, None) && may_get(0.4, 1.0, None));
    }
}
