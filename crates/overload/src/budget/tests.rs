//! Whatever is lost, doubled, late, stopped or dead: parts and spending stay within the budget.

use proptest::prelude::*;

use super::*;
use crate::{wire, Member, Ms};

const MEMBERS: usize = 4;
const BEGINNING: Ms = 77_777;

fn terms(total: Units, floor: u32, drift: u32) -> Terms {
    Terms {
        total,
        seats: MEMBERS as u32,
        seated: true,
        floor,
        lease: 1_000,
        drift,
        witnesses: 0,
        burst: 1_000,
    }
}

#[derive(Clone, Debug)]
enum Act {
    Pass(Ms),
    Ask(usize, usize, Units),
    Plan(usize),
    Holds(usize, usize),
    Deliver(usize, bool),
    Lose(usize),
    Restart(usize),
    Stop(usize, bool),
    Spend(usize, u8),
}

fn act() -> impl Strategy<Value = Act> {
    let who = 0..MEMBERS;
    prop_oneof![
        4 => (1u64..700).prop_map(Act::Pass),
        3 => (who.clone(), who.clone(), 0u32..40_000).prop_map(|(a, b, want)| Act::Ask(a, b, want)),
        2 => who.clone().prop_map(Act::Plan),
        3 => (who.clone(), 0..=MEMBERS).prop_map(|(a, gone)| Act::Holds(a, gone)),
        8 => (any::<usize>(), any::<bool>()).prop_map(|(n, keep)| Act::Deliver(n, keep)),
        1 => any::<usize>().prop_map(Act::Lose),
        1 => who.clone().prop_map(Act::Restart),
        1 => (who.clone(), any::<bool>()).prop_map(|(n, stop)| Act::Stop(n, stop)),
        3 => (who, 1u8..60).prop_map(|(n, times)| Act::Spend(n, times)),
    ]
}

struct Fleet {
    terms: Terms,
    /// Microseconds of true time.
    at: u64,
    rates: [u64; MEMBERS],
    members: Vec<Budget>,
    stopped: [bool; MEMBERS],
    lives: u64,
    net: Vec<(usize, usize, Message)>,
    spent: u64,
}

impl Fleet {
    fn new(terms: Terms, rates: [u64; MEMBERS]) -> Self {
        let members = (0..MEMBERS as u64).map(|n| Budget::new(terms, n, n, n * BEGINNING).unwrap()).collect();
        let stopped = [false; MEMBERS];
        Fleet { terms, at: 0, rates, members, stopped, lives: 9, net: Vec::new(), spent: 0 }
    }

    fn now(&self, n: usize) -> Ms {
        // Each clock has its own rate, and its own beginning.
        (n as u64) * BEGINNING + self.at * self.rates[n] / 10_000_000
    }

    fn act(&mut self, act: &Act) {
        match *act {
            Act::Pass(ms) => self.at += ms * 1_000,
            Act::Lose(n) if !self.net.is_empty() => _ = self.net.swap_remove(n % self.net.len()),
            Act::Deliver(n, keep) if !self.net.is_empty() => {
                let n = n % self.net.len();
                let (from, to, message) = if keep { self.net[n] } else { self.net.swap_remove(n) };
                let now = self.now(to);
                if !self.stopped[to] {
                    let bytes = wire::encode(&message).unwrap();
                    let message = wire::decode(&bytes).unwrap();
                    let answer = self.members[to].hear(now, from as Member, &message, 1_000);
                    self.net.extend(answer.ok().flatten().map(|m| (to, from, m)));
                }
            }
            Act::Restart(n) => {
                self.lives += 1;
                self.stopped[n] = false;
                self.members[n] = Budget::new(self.terms, n as Member, self.lives, self.now(n)).unwrap();
            }
            Act::Stop(n, stop) => self.stopped[n] = stop,
            Act::Ask(a, b, want) if a != b && !self.stopped[a] => {
                let now = self.now(a);
                let ask = self.members[a].ask(now, b as Member, want);
                self.net.push((a, b, Message::Ask(ask)));
            }
            Act::Plan(a) if !self.stopped[a] => {
                let spares = (0..MEMBERS).filter(|b| *b != a);
                let spares: Vec<Spare> =
                    spares.map(|b| Spare { member: b as Member, units: self.terms.lendable() }).collect();
                let now = self.now(a);
                let asks = self.members[a].plan(now, &spares);
                self.net.extend(asks.into_iter().map(|(b, ask)| (a, b as usize, Message::Ask(ask))));
            }
            Act::Holds(a, gone) if !self.stopped[a] => {
                let others = |b: &Member| *b != a as Member;
                let (gone, living): (Vec<Member>, Vec<Member>) =
                    (0..MEMBERS as Member).filter(others).partition(|b| *b == gone as Member);
                let now = self.now(a);
                let holds = self.members[a].holds(now, &living, &gone);
                self.net.extend(holds.into_iter().map(|(b, hold)| (a, b as usize, Message::Hold(hold))));
            }
            Act::Spend(n, times) if !self.stopped[n] => {
                let now = self.now(n);
                let given = (0..times).filter(|_| self.members[n].spend(now).is_some()).count();
                self.spent += given as u64;
            }
            _ => {}
        }
    }

    fn sum(&self) -> u64 {
        (0..MEMBERS).map(|n| u64::from(self.members[n].part(self.now(n)))).sum()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, ..ProptestConfig::default() })]

    /// The sum of all parts is within the budget at every moment, and what is spent is within what was earned; a
    /// stopped member counts with what it would spend if it woke now.
    #[test]
    fn the_sum_of_parts_stays_within_the_budget(
        acts in prop::collection::vec(act(), 1..160), total in 1_000u32..200_000, floor in 0u32..=1_000,
        drift in 0u32..1_000, witnesses in 0u32..=2, quick in prop::array::uniform4(any::<bool>()),
    ) {
        let terms = Terms { witnesses, ..terms(total, floor, drift) };
        let rates = quick.map(|q| if q { 10_000 + u64::from(drift) } else { 10_000 - u64::from(drift) });
        let mut fleet = Fleet::new(terms, rates);
        for act in &acts {
            fleet.act(act);
            prop_assert!(fleet.sum() <= u64::from(total), "{} of {total} after {act:?}", fleet.sum());
        }
        // Purses begin empty and fill by their own clocks, which are at most so fast.
        let earned = u128::from(fleet.at) * u128::from(total) * (10_000 + u128::from(drift));
        prop_assert!(u128::from(fleet.spent) <= earned / 10_000 / 1_000_000_000 + 1);
    }

    /// Once all is quiet for the time of a lease, each has its own share again, whatever went before.
    #[test]
    fn parts_come_back(acts in prop::collection::vec(act(), 1..120), floor in 0u32..=1_000) {
        let terms = terms(40_000, floor, 100);
        let mut fleet = Fleet::new(terms, [10_000; MEMBERS]);
        acts.iter().for_each(|act| fleet.act(act));
        fleet.at += (terms.wait(terms.lease) + 1) * 1_000;
        for (n, member) in fleet.members.iter().enumerate() {
            prop_assert_eq!(member.part(fleet.now(n)), terms.home());
        }
    }

    /// While a list of seats grows member by member, the sum of what they own stays within the budget.
    #[test]
    fn a_list_of_seats_may_grow(total in 1u32..1_000_000, seats in 1u32..60, moved in 0u32..60) {
        let home = |seats| u64::from(Terms { total, seats, ..terms(1, 0, 0) }.home());
        let moved = u64::from(moved.min(seats));
        let sum = moved * home(seats + 1) + (u64::from(seats) - moved) * home(seats);
        prop_assert!(sum <= u64::from(total) && (u64::from(seats) + 1) * home(seats + 1) <= u64::from(total));
    }
}

/// Two members who are alone, with their first leases' wait behind them.
fn two() -> (Budget, Budget, Ms) {
    let terms = Terms { seats: 2, ..terms(20_000, 250, 100) };
    let after = terms.wait(terms.lease);
    (Budget::new(terms, 1, 1, 0).unwrap(), Budget::new(terms, 2, 2, 0).unwrap(), after)
}

/// A has what it needs from B, who needs nothing.
fn lends(a: &mut Budget, b: &mut Budget, now: Ms, want: Units) -> Option<Message> {
    let ask = Message::Ask(a.ask(now, 2, want));
    let grant = b.hear(now, 1, &ask, 0).unwrap()?;
    a.hear(now, 2, &grant, 0).unwrap();
    Some(grant)
}

#[test]
fn a_member_that_was_stopped_wakes_without_its_lease() {
    let (mut a, mut b, now) = two();
    lends(&mut a, &mut b, now, 7_500);
    assert_eq!((a.part(now), b.part(now)), (17_500, 2_500));
    let permit = a.spend(now + 900).expect("it has saved up");
    assert!(permit.holds(now + 999) && !permit.holds(now + 8_000));
    // Eight seconds later it has its own alone, and what it saved up of the other's is gone.
    assert_eq!((a.part(now + 8_000), b.part(now + 8_000)), (10_000, 10_000));
    let given = (0..100).filter(|_| a.spend(now + 8_000).is_some()).count();
    assert_eq!(given, 10);
}

#[test]
fn unused_parts_are_lent_on_and_given_back() {
    let (mut a, mut b, now) = two();
    (0..40).for_each(|_| _ = a.spend(now));
    let spares = [Spare { member: 2, units: b.spare(now) }];
    let asks = a.plan(now, &spares);
    assert_eq!(asks.len(), 1);
    let grant = b.hear(now, 1, &Message::Ask(asks[0].1), 0).unwrap().unwrap();
    a.hear(now, 2, &grant, 0).unwrap();
    assert_eq!((a.part(now), b.part(now)), (17_500, 2_500));
    // Two quiet seconds later it needs no more, and the lender has it back at once.
    let back = a.plan(now + 500 + 1_500 - 1_001, &[]);
    assert!(back.iter().all(|(_, ask)| ask.want > 0));
    lends(&mut a, &mut b, now + 400, 7_500);
    let give = Message::Ask(a.ask(now + 500, 2, 0));
    b.hear(now + 500, 1, &give, 0).unwrap();
    assert_eq!((a.part(now + 500), b.part(now + 500)), (10_000, 10_000));
}

#[test]
fn who_needs_its_own_lends_by_traffic_alone() {
    let (mut a, mut b, now) = two();
    (0..40).for_each(|_| _ = b.spend(now));
    let ask = Message::Ask(a.ask(now, 2, 7_500));
    // Whatever a member says of itself, it gets what others see of it.
    let Message::Grant(grant) = b.hear(now, 1, &ask, 400).unwrap().unwrap() else { panic!("an ask") };
    assert_eq!(grant.amount, 3_000);
    // The same again answers the same, and an older one nothing.
    assert_eq!(b.hear(now + 1, 1, &ask, 1_000), Ok(Some(Message::Grant(grant))));
    let newer = Message::Ask(a.ask(now + 2, 2, 0));
    b.hear(now + 3, 1, &newer, 0).unwrap();
    assert_eq!(b.hear(now + 4, 1, &ask, 1_000), Err(HearError::OldAsk));
}

#[test]
fn who_has_retired_spends_lends_and_takes_nothing() {
    let (mut a, mut b, now) = two();
    let ask = Message::Ask(a.ask(now, 2, 5_000));
    let grant = b.hear(now, 1, &ask, 0).unwrap().unwrap();
    a.retire(now + 1);
    assert_eq!(a.hear(now + 2, 2, &grant, 0), Err(HearError::OtherLife));
    assert!(a.part(now + 900) == 0 && a.spend(now + 900).is_none());
    assert!(a.plan(now + 900, &[Spare { member: 2, units: 9_000 }]).is_empty());
    let ask = Message::Ask(b.ask(now + 900, 1, 5_000));
    assert!(matches!(a.hear(now + 900, 2, &ask, 1_000), Ok(Some(Message::Grant(Grant { amount: 0, .. })))));
}

#[test]
fn what_a_dead_member_owned_is_inherited_and_goes_back() {
    let terms = Terms { total: 30_000, seats: 3, witnesses: 1, ..terms(1, 0, 100) };
    let mut members: Vec<Budget> = (0..3).map(|n| Budget::new(terms, n, n, 0).unwrap()).collect();
    let round = |members: &mut Vec<Budget>, now: Ms, living: &[Member], gone: &[Member]| {
        for n in living {
            let others: Vec<Member> = living.iter().copied().filter(|o| o != n).collect();
            for (to, hold) in members[*n as usize].holds(now, &others, gone) {
                let answer = members[to as usize].hear(now, *n, &Message::Hold(hold), 0);
                if let Some(held) = answer.ok().flatten() {
                    members[*n as usize].hear(now, to, &held, 0).unwrap();
                }
            }
        }
        members.iter().map(|m| m.part(now)).collect::<Vec<Units>>()
    };
    let begin = terms.wait(terms.tenure());
    assert_eq!(round(&mut members, begin - 1, &[0, 1, 2], &[]), [0, 0, 0]);
    assert_eq!(round(&mut members, begin, &[0, 1, 2], &[]), [10_000; 3]);
    // The third dies: its share is nobody's until all that was pledged to it has ended, then one of the others has it.
    let mut now = begin;
    while now < begin + terms.wait(terms.tenure()) {
        assert_eq!(round(&mut members, now, &[0, 1], &[2])[..2], [10_000; 2]);
        now += 300;
    }
    let parts = round(&mut members, now, &[0, 1], &[2]);
    assert_eq!(parts[0] + parts[1], 30_000);
    // It is back, and the heir lets go within a tenure by the voters' clocks.
    members[2] = Budget::new(terms, 2, 9, now).unwrap();
    for _ in 0..20 {
        now += 300;
        let parts = round(&mut members, now, &[0, 1, 2], &[]);
        assert!(parts.iter().sum::<Units>() <= 30_000);
    }
    assert_eq!(round(&mut members, now, &[0, 1, 2], &[]), [10_000; 3]);
    // Alone it keeps its share for a tenure and no longer.
    now += terms.tenure();
    assert_eq!(members[2].part(now), 0);
    let wrong = Terms { witnesses: 2, ..terms };
    assert_eq!(wrong.check(), Err(TermsError::TooManyWitnesses { witnesses: 2, seats: 3 }));
}
