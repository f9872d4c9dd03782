//! Spendable rates and actual spending stay within the budget, whatever messages are lost, duplicated or late
//! and whatever members are suspended or restarted.

use proptest::prelude::*;

use super::*;
use crate::{wire, Member, Ms};

const MEMBERS: usize = 4;
const CLOCK_OFFSET: Ms = 77_777;

fn config(total: Units, floor: u32, max_clock_drift: u32) -> BudgetConfig {
    BudgetConfig {
        total,
        share_owners: MEMBERS as u32,
        owns_share: true,
        floor,
        lease_duration: 1_000,
        max_clock_drift,
        witnesses: 0,
        burst_duration: 1_000,
    }
}

#[derive(Clone, Debug)]
enum Step {
    Advance(Ms),
    RequestLease(usize, usize, Units),
    RequestDueLeases(usize),
    RequestDueShares(usize, usize),
    Deliver(usize, bool),
    Lose(usize),
    Restart(usize),
    Pause(usize, bool),
    Spend(usize, u8),
}

fn step() -> impl Strategy<Value = Step> {
    let member = 0..MEMBERS;
    prop_oneof![
        4 => (1u64..700).prop_map(Step::Advance),
        3 => (member.clone(), member.clone(), 0u32..40_000)
            .prop_map(|(a, b, wanted_units)| Step::RequestLease(a, b, wanted_units)),
        2 => member.clone().prop_map(Step::RequestDueLeases),
        3 => (member.clone(), 0..=MEMBERS)
            .prop_map(|(a, unreachable)| Step::RequestDueShares(a, unreachable)),
        8 => (any::<usize>(), any::<bool>()).prop_map(|(n, duplicate)| Step::Deliver(n, duplicate)),
        1 => any::<usize>().prop_map(Step::Lose),
        1 => member.clone().prop_map(Step::Restart),
        1 => (member.clone(), any::<bool>()).prop_map(|(n, pause)| Step::Pause(n, pause)),
        3 => (member, 1u8..60).prop_map(|(n, times)| Step::Spend(n, times)),
    ]
}

struct Fleet {
    config: BudgetConfig,
    /// Microseconds of true time.
    at: u64,
    clock_rates: [u64; MEMBERS],
    members: Vec<Budget>,
    paused: [bool; MEMBERS],
    last_incarnation: u64,
    network: Vec<(usize, usize, Message)>,
    spent: u64,
}

impl Fleet {
    fn new(config: BudgetConfig, clock_rates: [u64; MEMBERS]) -> Self {
        let members =
            (0..MEMBERS as u64).map(|n| Budget::new(config, n, n, n * CLOCK_OFFSET).unwrap()).collect();
        let paused = [false; MEMBERS];
        Fleet {
            config,
            at: 0,
            clock_rates,
            members,
            paused,
            last_incarnation: 9,
            network: Vec::new(),
            spent: 0,
        }
    }

    fn now(&self, n: usize) -> Ms {
        // Each clock has its own rate and its own offset.
        (n as u64) * CLOCK_OFFSET + self.at * self.clock_rates[n] / 10_000_000
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Advance(ms) => self.at += ms * 1_000,
            Step::Lose(n) if !self.network.is_empty() => _ = self.network.swap_remove(n % self.network.len()),
            Step::Deliver(n, duplicate) if !self.network.is_empty() => {
                let n = n % self.network.len();
                let (from, to, message) =
                    if duplicate { self.network[n] } else { self.network.swap_remove(n) };
                let now = self.now(to);
                if !self.paused[to] {
                    let bytes = wire::encode(&message).unwrap();
                    let message = wire::decode(&bytes).unwrap();
                    let reply = self.members[to].handle_message(now, from as Member, &message, 1_000);
                    self.network.extend(reply.ok().flatten().map(|m| (to, from, m)));
                }
            }
            Step::Restart(n) => {
                self.last_incarnation += 1;
                self.paused[n] = false;
                self.members[n] =
                    Budget::new(self.config, n as Member, self.last_incarnation, self.now(n)).unwrap();
            }
            Step::Pause(n, pause) => self.paused[n] = pause,
            Step::RequestLease(a, b, wanted_units) if a != b && !self.paused[a] => {
                let now = self.now(a);
                let request = self.members[a].request_lease(now, b as Member, wanted_units);
                self.network.push((a, b, Message::LeaseRequest(request)));
            }
            Step::RequestDueLeases(a) if !self.paused[a] => {
                let offers = (0..MEMBERS).filter(|b| *b != a);
                let offers: Vec<LendingOffer> = offers
                    .map(|b| LendingOffer { lender: b as Member, units: self.config.lendable_share() })
                    .collect();
                let now = self.now(a);
                let requests = self.members[a].due_lease_requests(now, &offers);
                self.network.extend(
                    requests.into_iter().map(|(b, request)| (a, b as usize, Message::LeaseRequest(request))),
                );
            }
            Step::RequestDueShares(a, unreachable) if !self.paused[a] => {
                let others = |b: &Member| *b != a as Member;
                let (unreachable, reachable): (Vec<Member>, Vec<Member>) =
                    (0..MEMBERS as Member).filter(others).partition(|b| *b == unreachable as Member);
                let now = self.now(a);
                let requests = self.members[a].due_share_requests(now, &reachable, &unreachable);
                self.network.extend(
                    requests.into_iter().map(|(b, request)| (a, b as usize, Message::ShareRequest(request))),
                );
            }
            Step::Spend(n, times) if !self.paused[n] => {
                let now = self.now(n);
                let granted = (0..times).filter(|_| self.members[n].try_spend(now).is_some()).count();
                self.spent += granted as u64;
            }
            _ => {}
        }
    }

    fn total_spendable(&self) -> u64 {
        (0..MEMBERS).map(|n| u64::from(self.members[n].spendable(self.now(n)))).sum()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, ..ProptestConfig::default() })]

    /// The sum of all spendable rates is within the budget at every moment, and what was spent is within what
    /// was earned. A suspended member counts with what it would spend if it resumed now.
    #[test]
    fn sum_of_spendable_rates_stays_within_the_budget(
        steps in prop::collection::vec(step(), 1..160), total in 1_000u32..200_000, floor in 0u32..=1_000,
        drift in 0u32..1_000, witnesses in 0u32..=2, is_fast in prop::array::uniform4(any::<bool>()),
    ) {
        let config = BudgetConfig { witnesses, ..config(total, floor, drift) };
        let clock_rates =
            is_fast.map(|fast| if fast { 10_000 + u64::from(drift) } else { 10_000 - u64::from(drift) });
        let mut fleet = Fleet::new(config, clock_rates);
        for step in &steps {
            fleet.apply(step);
            prop_assert!(
                fleet.total_spendable() <= u64::from(total),
                "{} of {total} after {step:?}", fleet.total_spendable()
            );
        }
        // Buckets start empty and are refilled by their own clocks, which are at most this fast.
        let earned = u128::from(fleet.at) * u128::from(total) * (10_000 + u128::from(drift));
        prop_assert!(u128::from(fleet.spent) <= earned / 10_000 / 1_000_000_000 + 1);
    }

    /// After a lease duration (with clock drift) without any message, each member has its own share again,
    /// whatever happened before.
    #[test]
    fn own_shares_return_after_a_lease_without_messages(
        steps in prop::collection::vec(step(), 1..120), floor in 0u32..=1_000
    ) {
        let config = config(40_000, floor, 100);
        let mut fleet = Fleet::new(config, [10_000; MEMBERS]);
        steps.iter().for_each(|step| fleet.apply(step));
        fleet.at += (config.drift_safe_wait(config.lease_duration) + 1) * 1_000;
        for (n, member) in fleet.members.iter().enumerate() {
            prop_assert_eq!(member.spendable(fleet.now(n)), config.own_share());
        }
    }

    /// While the number of owners is raised member by member, the sum of what they own stays within the
    /// budget.
    #[test]
    fn owner_list_may_grow_member_by_member(
        total in 1u32..1_000_000, share_owners in 1u32..60, moved in 0u32..60
    ) {
        let own_share =
            |share_owners| u64::from(BudgetConfig { total, share_owners, ..config(1, 0, 0) }.own_share());
        let moved = u64::from(moved.min(share_owners));
        let total_owned =
            moved * own_share(share_owners + 1) + (u64::from(share_owners) - moved) * own_share(share_owners);
        prop_assert!(
            total_owned <= u64::from(total)
                && (u64::from(share_owners) + 1) * own_share(share_owners + 1) <= u64::from(total)
        );
    }
}

/// Returns two members, and the time from which neither has to wait for leases of a former incarnation.
fn two() -> (Budget, Budget, Ms) {
    let config = BudgetConfig { share_owners: 2, ..config(20_000, 250, 100) };
    let after = config.drift_safe_wait(config.lease_duration);
    (Budget::new(config, 1, 1, 0).unwrap(), Budget::new(config, 2, 2, 0).unwrap(), after)
}

/// Lends `wanted_units` units of B, which needs none, to A, and returns the grant.
fn lend(a: &mut Budget, b: &mut Budget, now: Ms, wanted_units: Units) -> Option<Message> {
    let request = Message::LeaseRequest(a.request_lease(now, 2, wanted_units));
    let grant = b.handle_message(now, 1, &request, 0).unwrap()?;
    a.handle_message(now, 2, &grant, 0).unwrap();
    Some(grant)
}

#[test]
fn paused_process_resumes_without_its_expired_lease() {
    let (mut a, mut b, now) = two();
    lend(&mut a, &mut b, now, 7_500);
    assert_eq!((a.spendable(now), b.spendable(now)), (17_500, 2_500));
    let permit = a.try_spend(now + 900).expect("tokens are saved up");
    assert!(permit.is_valid(now + 999) && !permit.is_valid(now + 8_000));
    // Eight seconds later A has only its own share, and has lost what it saved up from the lease.
    assert_eq!((a.spendable(now + 8_000), b.spendable(now + 8_000)), (10_000, 10_000));
    let granted = (0..100).filter(|_| a.try_spend(now + 8_000).is_some()).count();
    assert_eq!(granted, 10);
}

#[test]
fn unused_units_are_lent_and_returned() {
    let (mut a, mut b, now) = two();
    (0..40).for_each(|_| _ = a.try_spend(now));
    let offers = [LendingOffer { lender: 2, units: b.spare_units(now) }];
    let requests = a.due_lease_requests(now, &offers);
    assert_eq!(requests.len(), 1);
    let grant = b.handle_message(now, 1, &Message::LeaseRequest(requests[0].1), 0).unwrap().unwrap();
    a.handle_message(now, 2, &grant, 0).unwrap();
    assert_eq!((a.spendable(now), b.spendable(now)), (17_500, 2_500));
    // The demand of the previous second still counts, so that nothing is given back yet. Once the lease is
    // given back, the lender may spend its units at once.
    let later_requests = a.due_lease_requests(now + 500 + 1_500 - 1_001, &[]);
    assert!(later_requests.iter().all(|(_, request)| request.wanted_units > 0));
    lend(&mut a, &mut b, now + 400, 7_500);
    let give_back = Message::LeaseRequest(a.request_lease(now + 500, 2, 0));
    b.handle_message(now + 500, 1, &give_back, 0).unwrap();
    assert_eq!((a.spendable(now + 500), b.spendable(now + 500)), (10_000, 10_000));
}

#[test]
fn busy_lender_lends_by_the_borrowers_traffic_share() {
    let (mut a, mut b, now) = two();
    (0..40).for_each(|_| _ = b.try_spend(now));
    let request = Message::LeaseRequest(a.request_lease(now, 2, 7_500));
    // The lender grants by the traffic share that others observe, whatever amount the borrower requests.
    let Message::LeaseGrant(grant) = b.handle_message(now, 1, &request, 400).unwrap().unwrap() else {
        panic!("the reply is not a grant")
    };
    assert_eq!(grant.amount, 3_000);
    // A repeated request gets the same reply, and an older one is rejected.
    assert_eq!(b.handle_message(now + 1, 1, &request, 1_000), Ok(Some(Message::LeaseGrant(grant))));
    let newer = Message::LeaseRequest(a.request_lease(now + 2, 2, 0));
    b.handle_message(now + 3, 1, &newer, 0).unwrap();
    assert_eq!(b.handle_message(now + 4, 1, &request, 1_000), Err(MessageError::StaleRequest));
}

#[test]
fn retired_member_neither_spends_lends_nor_borrows() {
    let (mut a, mut b, now) = two();
    let request = Message::LeaseRequest(a.request_lease(now, 2, 5_000));
    let grant = b.handle_message(now, 1, &request, 0).unwrap().unwrap();
    a.retire(now + 1);
    assert_eq!(a.handle_message(now + 2, 2, &grant, 0), Err(MessageError::OtherIncarnation));
    assert!(a.spendable(now + 900) == 0 && a.try_spend(now + 900).is_none());
    assert!(a.due_lease_requests(now + 900, &[LendingOffer { lender: 2, units: 9_000 }]).is_empty());
    let request = Message::LeaseRequest(b.request_lease(now + 900, 1, 5_000));
    assert!(matches!(
        a.handle_message(now + 900, 2, &request, 1_000),
        Ok(Some(Message::LeaseGrant(LeaseGrant { amount: 0, .. })))
    ));
}

#[test]
fn share_of_a_failed_member_is_inherited_and_returned() {
    let config = BudgetConfig { total: 30_000, share_owners: 3, witnesses: 1, ..config(1, 0, 100) };
    let mut members: Vec<Budget> = (0..3).map(|n| Budget::new(config, n, n, 0).unwrap()).collect();
    let round = |members: &mut Vec<Budget>, now: Ms, reachable: &[Member], unreachable: &[Member]| {
        for n in reachable {
            let others: Vec<Member> = reachable.iter().copied().filter(|o| o != n).collect();
            for (to, request) in members[*n as usize].due_share_requests(now, &others, unreachable) {
                let reply = members[to as usize].handle_message(now, *n, &Message::ShareRequest(request), 0);
                if let Some(vote) = reply.ok().flatten() {
                    members[*n as usize].handle_message(now, to, &vote, 0).unwrap();
                }
            }
        }
        members.iter().map(|m| m.spendable(now)).collect::<Vec<Units>>()
    };
    let start = config.drift_safe_wait(config.vote_duration());
    assert_eq!(round(&mut members, start - 1, &[0, 1, 2], &[]), [0, 0, 0]);
    assert_eq!(round(&mut members, start, &[0, 1, 2], &[]), [10_000; 3]);
    // The third member fails: no member holds its share until all votes for it have expired, then one of the
    // others does.
    let mut now = start;
    while now < start + config.drift_safe_wait(config.vote_duration()) {
        assert_eq!(round(&mut members, now, &[0, 1], &[2])[..2], [10_000; 2]);
        now += 300;
    }
    let spendable = round(&mut members, now, &[0, 1], &[2]);
    assert_eq!(spendable[0] + spendable[1], 30_000);
    // The third member is back, and the successor gives the share up within a vote duration by the voters'
    // clocks.
    members[2] = Budget::new(config, 2, 9, now).unwrap();
    for _ in 0..20 {
        now += 300;
        let spendable = round(&mut members, now, &[0, 1, 2], &[]);
        assert!(spendable.iter().sum::<Units>() <= 30_000);
    }
    assert_eq!(round(&mut members, now, &[0, 1, 2], &[]), [10_000; 3]);
    // Without the others it keeps its share for a vote duration and no longer.
    now += config.vote_duration();
    assert_eq!(members[2].spendable(now), 0);
    let invalid = BudgetConfig { witnesses: 2, ..config };
    assert_eq!(invalid.check(), Err(ConfigError::TooManyWitnesses { witnesses: 2, share_owners: 3 }));
}
