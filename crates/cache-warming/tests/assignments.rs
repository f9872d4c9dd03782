//! Assignment of prefills across failures, pauses and late messages. The tests simulate members on one
//! timeline: a message arrives at each member after its own delay or never, one member may consider another
//! failed while a third does not, and paused members resume with old leases.

use std::collections::HashMap;

use glenrail_cache_warming::assignments::{assign, Claim, HandOver, ReadError, Readers, Seat, Terms};
use glenrail_cache_warming::{Beginning, Life, Member, Model, Node, Team};
use proptest::prelude::*;

const TERMS: Terms = Terms { lease: 1000, margin: 100, readings: 64 };
const HAND_OVER: HandOver = HandOver { node: Node(7), run: 1 };
const MEMBERS: u64 = 5;

fn beginning(prefix: u64) -> Beginning {
    Beginning { team: Team(0), model: Model(0), prefix }
}

fn seat(member: u64, life: u64) -> Seat {
    Seat { member: Member(member), life: Life(life) }
}

/// One event, with the member that it concerns and the delays in ms.
#[derive(Clone, Debug)]
enum Event {
    /// A member does what is due. Its messages reach each member after the given delay, or never if that is
    /// 5000 or more.
    Acts {
        member: u64,
        delays: Vec<u64>,
    },
    /// A member claims its prefills, is paused, and sends them when it resumes.
    Stops {
        member: u64,
        length: u64,
    },
    /// A member fails and restarts as a new incarnation.
    Dies {
        member: u64,
    },
    /// A member considers another one failed or live.
    Sees {
        member: u64,
        other: u64,
        alive: bool,
    },
    Waits {
        length: u64,
    },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let who = || 0..MEMBERS;
    let event = prop_oneof![
        4 => (who(), prop::collection::vec(0u64..7000, 5)).prop_map(|(member, delays)| Event::Acts { member, delays }),
        1 => (who(), 0u64..3000).prop_map(|(member, length)| Event::Stops { member, length }),
        1 => who().prop_map(|member| Event::Dies { member }),
        2 => (who(), who(), any::<bool>()).prop_map(|(member, other, alive)| Event::Sees { member, other, alive }),
        2 => (1u64..2000).prop_map(|length| Event::Waits { length }),
    ];
    prop::collection::vec(event, 1..80)
}

struct World {
    now: u64,
    lives: Vec<u64>,
    readers: Vec<Readers>,
    gone: Vec<Vec<u64>>,
    words: Vec<(u64, usize, Claim)>,
    held: Vec<Vec<(u64, Claim)>>,
    read: HashMap<Beginning, Vec<Seat>>,
    assigned: Vec<glenrail_cache_warming::assignments::Assigned>,
}

impl World {
    fn new(prefixes: u64) -> World {
        let seats: Vec<Seat> = (0..MEMBERS).map(|m| seat(m, 1)).collect();
        let holders: Vec<_> =
            (0..prefixes).map(|p| (beginning(p), (0..MEMBERS).map(Member).collect())).collect();
        let assigned = assign(HAND_OVER.node, &holders, &seats);
        let opened = |s: &Seat| {
            let mut readers = Readers::new(*s, TERMS);
            readers.open(HAND_OVER, seat(0, 1), &assigned, 0).expect("within the limit");
            readers
        };
        World {
            now: 0,
            lives: vec![1; MEMBERS as usize],
            readers: seats.iter().map(opened).collect(),
            gone: vec![Vec::new(); MEMBERS as usize],
            words: Vec::new(),
            held: vec![Vec::new(); MEMBERS as usize],
            read: HashMap::new(),
            assigned,
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, late) = std::mem::take(&mut self.words).into_iter().partition(|w| w.0 <= now);
        self.words = late;
        let due: Vec<(u64, usize, Claim)> = due;
        due.iter().for_each(|(_, to, word)| self.readers[*to].heard(word, now));
    }

    fn claim(&mut self, at: usize) -> Vec<Claim> {
        let gone = self.gone[at].clone();
        let alive = |s: Seat| !gone.contains(&s.member.0);
        let (now, readers) = (self.now, &mut self.readers[at]);
        let due = readers.due(now, &alive);
        due.iter().filter_map(|(h, b)| readers.claim(*h, *b, now, &alive, &|_, _| true).ok()).collect()
    }

    fn tell(&mut self, claim: Claim, delays: &[u64]) {
        let arrives = |(to, delay): (usize, &u64)| (*delay < 5000).then_some((self.now + delay, to, claim));
        let words: Vec<_> = delays.iter().enumerate().filter_map(arrives).collect();
        self.words.extend(words);
    }

    fn send(&mut self, at: usize, claim: Claim, delays: &[u64]) {
        if self.readers[at].may_read(&claim, self.now, &|_, _| true, Some(b"text")).is_ok() {
            self.read.entry(claim.beginning).or_default().push(claim.by);
            let word = self.readers[at].ended(&claim, true);
            self.tell(word, delays);
        }
    }

    fn happens(&mut self, event: &Event) {
        self.deliver();
        match event {
            Event::Acts { member, delays } => {
                let at = *member as usize;
                let old = std::mem::take(&mut self.held[at]);
                let (ready, asleep): (Vec<_>, Vec<_>) =
                    old.into_iter().partition(|(until, _)| *until <= self.now);
                self.held[at] = asleep;
                ready.into_iter().for_each(|(_, claim)| self.send(at, claim, delays));
                for claim in self.claim(at) {
                    self.tell(claim, delays);
                    self.send(at, claim, delays);
                }
            }
            Event::Stops { member, length } => {
                let at = *member as usize;
                for claim in self.claim(at) {
                    self.tell(claim, &[0; MEMBERS as usize]);
                    self.held[at].push((self.now + length, claim));
                }
            }
            Event::Dies { member } => {
                let at = *member as usize;
                self.lives[at] += 1;
                let mut readers = Readers::new(seat(*member, self.lives[at]), TERMS);
                // The announcement of the replacement is still in the table.
                readers.open(HAND_OVER, seat(0, 1), &self.assigned, self.now).expect("within the limit");
                self.readers[at] = readers;
                self.held[at].clear();
                (0..MEMBERS as usize).for_each(|m| self.gone[m].push(*member));
            }
            Event::Sees { member, other, alive } => {
                self.gone[*member as usize].retain(|m| m != other);
                if !alive {
                    self.gone[*member as usize].push(*other);
                }
            }
            Event::Waits { length } => self.now += length,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against repeated prefills: whatever happens, a prefix is prefilled at most twice, and never
    /// twice by the same incarnation.
    #[test]
    fn at_most_one_doubled_reading(events in events()) {
        let mut world = World::new(4);
        for event in &events {
            world.happens(event);
            for (beginning, by) in &world.read {
                prop_assert!(by.len() <= 2, "{beginning:?} prefilled by {by:?}");
                prop_assert!(by.len() < 2 || by[0] != by[1]);
            }
        }
    }

    /// Without failures, and with any delays, each prefix is prefilled exactly once.
    #[test]
    fn without_deaths_each_is_read_once(acts in prop::collection::vec((0..MEMBERS, 0u64..3000), 1..40)) {
        let mut world = World::new(4);
        let all = (0..MEMBERS).map(|member| (member, 0));
        for (member, delay) in acts.into_iter().chain(all) {
            world.happens(&Event::Acts { member, delays: vec![delay; 5] });
            world.happens(&Event::Waits { length: 50 });
        }
        prop_assert_eq!(world.read.len(), 4);
        prop_assert!(world.read.values().all(|by| by.len() == 1));
    }

    /// If the primary fails before its prefill, whether its claim was received or not, the backup prefills
    /// within lease and margin.
    #[test]
    fn a_dead_readers_beginnings_are_taken_over(claims: bool) {
        let mut world = World::new(6);
        let dead = world.assigned[0].first.member.0;
        if claims {
            world.happens(&Event::Stops { member: dead, length: 9000 });
        }
        world.happens(&Event::Waits { length: 10 });
        world.happens(&Event::Dies { member: dead });
        for _ in 0..(TERMS.lease + TERMS.margin) / 50 + 1 {
            (0..MEMBERS).for_each(|member| world.happens(&Event::Acts { member, delays: vec![0; 5] }));
            world.happens(&Event::Waits { length: 50 });
        }
        prop_assert_eq!(world.read.len(), 6);
        prop_assert!(world.read.values().all(|by| by.len() == 1));
    }
}

#[test]
fn a_stopped_reader_wakes_without_its_lease_and_a_stand_in_waits_for_its_end() {
    let mut world = World::new(1);
    let (first, second) = (world.assigned[0].first, world.assigned[0].stand_in.expect("five members"));
    let claim = world.claim(first.member.0 as usize)[0];
    world.readers[second.member.0 as usize].heard(&claim, 40);
    let due = |world: &World, now| world.readers[second.member.0 as usize].due(now, &|s| s != first).len();
    assert_eq!((due(&world, 1139), due(&world, 1140)), (0, 1));
    let may = |now| world.readers[first.member.0 as usize].may_read(&claim, now, &|_, _| true, Some(b"text"));
    assert_eq!(may(999), Ok(&b"text"[..]));
    assert_eq!(may(1000), Err(ReadError::LeaseEnded(beginning(0))));
}

#[test]
fn nothing_is_read_without_a_grant_or_after_the_end() {
    let mut world = World::new(1);
    let first = world.assigned[0].first;
    let (all, none) = (|_: Team, _: Model| true, |_: Team, _: Model| false);
    let readers = &mut world.readers[first.member.0 as usize];
    let refused = readers.claim(HAND_OVER, beginning(0), 0, &|_| true, &none);
    assert_eq!(refused, Err(ReadError::NotGranted(beginning(0))));
    let claim = readers.claim(HAND_OVER, beginning(0), 0, &|_| true, &all).expect("granted again");
    // Revoked between the claim and the prefill.
    assert_eq!(readers.may_read(&claim, 1, &none, Some(b"text")), Err(ReadError::NotGranted(beginning(0))));
    assert_eq!(readers.may_read(&claim, 1, &all, None), Err(ReadError::NoText(beginning(0))));
    readers.close(HAND_OVER);
    assert_eq!(readers.may_read(&claim, 1, &all, Some(b"text")), Err(ReadError::Unknown(HAND_OVER)));
    assert_eq!(readers.open(HAND_OVER, first, &world.assigned, 2), Err(ReadError::Unknown(HAND_OVER)));
    readers.open(HandOver { run: 2, ..HAND_OVER }, first, &world.assigned, 2).expect("a newer run");
    readers.retain(&none);
    assert!(readers.is_empty());
}

/// Guards against two openers of one replacement: in whichever order their announcements are received, all
/// members derive the same assignment, and the prefix is prefilled once.
#[test]
fn of_two_openers_one_holds() {
    let holders = [(beginning(0), (0..MEMBERS).map(Member).collect::<Vec<_>>())];
    let sides: Vec<_> = [[0, 1], [2, 3]]
        .iter()
        .map(|side| assign(HAND_OVER.node, &holders, &[seat(side[0], 1), seat(side[1], 1)]))
        .collect();
    let due = |order: [usize; 2]| {
        let due = |member| {
            let mut readers = Readers::new(seat(member, 1), TERMS);
            order
                .iter()
                .for_each(|s| readers.open(HAND_OVER, seat(*s as u64 * 2, 1), &sides[*s], 0).expect("few"));
            readers.due(0, &|_| true).len()
        };
        (0..MEMBERS).map(due).collect::<Vec<_>>()
    };
    assert_eq!(due([0, 1]), due([1, 0]));
    assert_eq!(due([0, 1]).iter().sum::<usize>(), 1);
}

#[test]
fn words_travel_and_foreign_ones_are_refused_by_name() {
    use glenrail_cache_warming::message_codec::{from_bytes, to_bytes, BytesError, Opening};
    let assigned = World::new(3).assigned;
    let opening = Opening { hand_over: HAND_OVER, opener: seat(0, 1), assigned };
    let mut bytes = to_bytes(&opening);
    assert_eq!(from_bytes::<Opening>(&bytes), Ok(opening));
    (0..bytes.len())
        .for_each(|to| assert_eq!(from_bytes::<Opening>(&bytes[..to]), Err(BytesError::Malformed)));
    bytes[0] = 2;
    assert_eq!(from_bytes::<Opening>(&bytes), Err(BytesError::Format { found: 2 }));
}
