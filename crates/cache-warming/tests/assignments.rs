//! Assignment of prefills across failures, pauses and late messages. The tests simulate members on one
//! timeline: a message arrives at each member after its own delay or never, one member may consider another
//! failed while a third does not, and paused members resume with old leases.

use std::collections::HashMap;

use glenrail_cache_warming::assignments::{
    assign, AssignmentConfig, Assignments, Claim, Instance, PrefillError, ReplacementId,
};
use glenrail_cache_warming::{Incarnation, Member, Model, Node, PromptPrefix, Team};
use proptest::prelude::*;

const CONFIG: AssignmentConfig = AssignmentConfig { lease: 1000, margin: 100, max_prefills: 64 };
const REPLACEMENT: ReplacementId = ReplacementId { node: Node(7), run: 1 };
const MEMBERS: u64 = 5;

fn prefix(key: u64) -> PromptPrefix {
    PromptPrefix { team: Team(0), model: Model(0), key }
}

fn instance(member: u64, incarnation: u64) -> Instance {
    Instance { member: Member(member), incarnation: Incarnation(incarnation) }
}

/// One event, with the member that it concerns and the delays in ms.
#[derive(Clone, Debug)]
enum Event {
    /// A member does what is due. Its messages reach each member after the given delay, or never if that is
    /// 5000 or more.
    Act {
        member: u64,
        delays: Vec<u64>,
    },
    /// A member claims its prefills, is paused, and sends them when it resumes.
    Pause {
        member: u64,
        duration: u64,
    },
    /// A member fails and restarts as a new incarnation.
    Restart {
        member: u64,
    },
    /// A member considers another one failed or live.
    ConsiderLive {
        member: u64,
        other: u64,
        is_live: bool,
    },
    Wait {
        duration: u64,
    },
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let any_member = || 0..MEMBERS;
    let event = prop_oneof![
        4 => (any_member(), prop::collection::vec(0u64..7000, 5))
            .prop_map(|(member, delays)| Event::Act { member, delays }),
        1 => (any_member(), 0u64..3000).prop_map(|(member, duration)| Event::Pause { member, duration }),
        1 => any_member().prop_map(|member| Event::Restart { member }),
        2 => (any_member(), any_member(), any::<bool>())
            .prop_map(|(member, other, is_live)| Event::ConsiderLive { member, other, is_live }),
        2 => (1u64..2000).prop_map(|duration| Event::Wait { duration }),
    ];
    prop::collection::vec(event, 1..80)
}

struct Simulation {
    now: u64,
    incarnations: Vec<u64>,
    trackers: Vec<Assignments>,
    considered_failed: Vec<Vec<u64>>,
    messages: Vec<(u64, usize, Claim)>,
    paused: Vec<Vec<(u64, Claim)>>,
    prefilled: HashMap<PromptPrefix, Vec<Instance>>,
    assignments: Vec<glenrail_cache_warming::assignments::Assignment>,
}

impl Simulation {
    fn new(prefixes: u64) -> Simulation {
        let instances: Vec<Instance> = (0..MEMBERS).map(|m| instance(m, 1)).collect();
        let holders: Vec<_> =
            (0..prefixes).map(|p| (prefix(p), (0..MEMBERS).map(Member).collect())).collect();
        let assignments = assign(REPLACEMENT.node, &holders, &instances);
        let open_tracker = |s: &Instance| {
            let mut tracker = Assignments::new(*s, CONFIG);
            tracker.open(REPLACEMENT, instance(0, 1), &assignments, 0).expect("within the limit");
            tracker
        };
        Simulation {
            now: 0,
            incarnations: vec![1; MEMBERS as usize],
            trackers: instances.iter().map(open_tracker).collect(),
            considered_failed: vec![Vec::new(); MEMBERS as usize],
            messages: Vec::new(),
            paused: vec![Vec::new(); MEMBERS as usize],
            prefilled: HashMap::new(),
            assignments,
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, in_transit) = std::mem::take(&mut self.messages).into_iter().partition(|m| m.0 <= now);
        self.messages = in_transit;
        let due: Vec<(u64, usize, Claim)> = due;
        due.iter().for_each(|(_, to, message)| self.trackers[*to].apply_claim(message, now));
    }

    fn claim(&mut self, at: usize) -> Vec<Claim> {
        let considered_failed = self.considered_failed[at].clone();
        let is_live = |s: Instance| !considered_failed.contains(&s.member.0);
        let (now, tracker) = (self.now, &mut self.trackers[at]);
        let due = tracker.due(now, &is_live);
        due.iter().filter_map(|(h, b)| tracker.claim(*h, *b, now, &is_live, &|_, _| true).ok()).collect()
    }

    fn broadcast(&mut self, claim: Claim, delays: &[u64]) {
        let arrival = |(to, delay): (usize, &u64)| (*delay < 5000).then_some((self.now + delay, to, claim));
        let messages: Vec<_> = delays.iter().enumerate().filter_map(arrival).collect();
        self.messages.extend(messages);
    }

    fn send(&mut self, at: usize, claim: Claim, delays: &[u64]) {
        if self.trackers[at].authorize_send(&claim, self.now, &|_, _| true, Some(b"text")).is_ok() {
            self.prefilled.entry(claim.prefix).or_default().push(claim.sender);
            let message = self.trackers[at].finish(&claim, true);
            self.broadcast(message, delays);
        }
    }

    fn apply(&mut self, event: &Event) {
        self.deliver();
        match event {
            Event::Act { member, delays } => {
                let at = *member as usize;
                let was_paused = std::mem::take(&mut self.paused[at]);
                let (ready, still_paused): (Vec<_>, Vec<_>) =
                    was_paused.into_iter().partition(|(resumes_at, _)| *resumes_at <= self.now);
                self.paused[at] = still_paused;
                ready.into_iter().for_each(|(_, claim)| self.send(at, claim, delays));
                for claim in self.claim(at) {
                    self.broadcast(claim, delays);
                    self.send(at, claim, delays);
                }
            }
            Event::Pause { member, duration } => {
                let at = *member as usize;
                for claim in self.claim(at) {
                    self.broadcast(claim, &[0; MEMBERS as usize]);
                    self.paused[at].push((self.now + duration, claim));
                }
            }
            Event::Restart { member } => {
                let at = *member as usize;
                self.incarnations[at] += 1;
                let mut tracker = Assignments::new(instance(*member, self.incarnations[at]), CONFIG);
                // The announcement of the replacement is still in the table.
                tracker
                    .open(REPLACEMENT, instance(0, 1), &self.assignments, self.now)
                    .expect("within the limit");
                self.trackers[at] = tracker;
                self.paused[at].clear();
                (0..MEMBERS as usize).for_each(|m| self.considered_failed[m].push(*member));
            }
            Event::ConsiderLive { member, other, is_live } => {
                self.considered_failed[*member as usize].retain(|m| m != other);
                if !is_live {
                    self.considered_failed[*member as usize].push(*other);
                }
            }
            Event::Wait { duration } => self.now += duration,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against repeated prefills: whatever happens, a prefix is prefilled at most twice, and never
    /// twice by the same incarnation.
    #[test]
    fn a_prefix_is_prefilled_at_most_twice(events in events()) {
        let mut simulation = Simulation::new(4);
        for event in &events {
            simulation.apply(event);
            for (prefix, instances) in &simulation.prefilled {
                prop_assert!(instances.len() <= 2, "{prefix:?} prefilled by {instances:?}");
                prop_assert!(instances.len() < 2 || instances[0] != instances[1]);
            }
        }
    }

    /// Without failures, and with any delays, each prefix is prefilled exactly once.
    #[test]
    fn without_failures_each_prefix_is_prefilled_once(
        activity in prop::collection::vec((0..MEMBERS, 0u64..3000), 1..40)
    ) {
        let mut simulation = Simulation::new(4);
        let all = (0..MEMBERS).map(|member| (member, 0));
        for (member, delay) in activity.into_iter().chain(all) {
            simulation.apply(&Event::Act { member, delays: vec![delay; 5] });
            simulation.apply(&Event::Wait { duration: 50 });
        }
        prop_assert_eq!(simulation.prefilled.len(), 4);
        prop_assert!(simulation.prefilled.values().all(|by| by.len() == 1));
    }

    /// If the primary fails before its prefill, whether its claim was received or not, the backup prefills
    /// within lease and margin.
    #[test]
    fn the_backup_takes_over_from_a_failed_primary(claims: bool) {
        let mut simulation = Simulation::new(6);
        let failed = simulation.assignments[0].primary.member.0;
        if claims {
            simulation.apply(&Event::Pause { member: failed, duration: 9000 });
        }
        simulation.apply(&Event::Wait { duration: 10 });
        simulation.apply(&Event::Restart { member: failed });
        for _ in 0..(CONFIG.lease + CONFIG.margin) / 50 + 1 {
            (0..MEMBERS).for_each(|member| simulation.apply(&Event::Act { member, delays: vec![0; 5] }));
            simulation.apply(&Event::Wait { duration: 50 });
        }
        prop_assert_eq!(simulation.prefilled.len(), 6);
        prop_assert!(simulation.prefilled.values().all(|by| by.len() == 1));
    }
}

#[test]
fn a_paused_primary_loses_its_lease_and_the_backup_waits_for_its_end() {
    let mut simulation = Simulation::new(1);
    let (primary, backup) =
        (simulation.assignments[0].primary, simulation.assignments[0].backup.expect("five members"));
    let claim = simulation.claim(primary.member.0 as usize)[0];
    simulation.trackers[backup.member.0 as usize].apply_claim(&claim, 40);
    let due = |simulation: &Simulation, now| {
        simulation.trackers[backup.member.0 as usize].due(now, &|s| s != primary).len()
    };
    assert_eq!((due(&simulation, 1139), due(&simulation, 1140)), (0, 1));
    let authorize = |now| {
        simulation.trackers[primary.member.0 as usize].authorize_send(
            &claim,
            now,
            &|_, _| true,
            Some(b"text"),
        )
    };
    assert_eq!(authorize(999), Ok(&b"text"[..]));
    assert_eq!(authorize(1000), Err(PrefillError::LeaseExpired(prefix(0))));
}

#[test]
fn nothing_is_prefilled_without_a_grant_or_after_the_end() {
    let mut simulation = Simulation::new(1);
    let primary = simulation.assignments[0].primary;
    let (all, none) = (|_: Team, _: Model| true, |_: Team, _: Model| false);
    let tracker = &mut simulation.trackers[primary.member.0 as usize];
    let rejected = tracker.claim(REPLACEMENT, prefix(0), 0, &|_| true, &none);
    assert_eq!(rejected, Err(PrefillError::NotGranted(prefix(0))));
    let claim = tracker.claim(REPLACEMENT, prefix(0), 0, &|_| true, &all).expect("granted again");
    // Revoked between the claim and the prefill.
    assert_eq!(
        tracker.authorize_send(&claim, 1, &none, Some(b"text")),
        Err(PrefillError::NotGranted(prefix(0)))
    );
    assert_eq!(tracker.authorize_send(&claim, 1, &all, None), Err(PrefillError::TextNotCached(prefix(0))));
    tracker.close(REPLACEMENT);
    assert_eq!(
        tracker.authorize_send(&claim, 1, &all, Some(b"text")),
        Err(PrefillError::UnknownReplacement(REPLACEMENT))
    );
    assert_eq!(
        tracker.open(REPLACEMENT, primary, &simulation.assignments, 2),
        Err(PrefillError::UnknownReplacement(REPLACEMENT))
    );
    tracker
        .open(ReplacementId { run: 2, ..REPLACEMENT }, primary, &simulation.assignments, 2)
        .expect("a newer run");
    tracker.retain(&none);
    assert!(tracker.is_empty());
}

/// Guards against two openers of one replacement: in whichever order their announcements are received, all
/// members derive the same assignment, and the prefix is prefilled once.
#[test]
fn one_of_two_openers_prevails() {
    let holders = [(prefix(0), (0..MEMBERS).map(Member).collect::<Vec<_>>())];
    let sides: Vec<_> = [[0, 1], [2, 3]]
        .iter()
        .map(|side| assign(REPLACEMENT.node, &holders, &[instance(side[0], 1), instance(side[1], 1)]))
        .collect();
    let due = |order: [usize; 2]| {
        let due = |member| {
            let mut tracker = Assignments::new(instance(member, 1), CONFIG);
            order.iter().for_each(|s| {
                tracker.open(REPLACEMENT, instance(*s as u64 * 2, 1), &sides[*s], 0).expect("few")
            });
            tracker.due(0, &|_| true).len()
        };
        (0..MEMBERS).map(due).collect::<Vec<_>>()
    };
    assert_eq!(due([0, 1]), due([1, 0]));
    assert_eq!(due([0, 1]).iter().sum::<usize>(), 1);
}

#[test]
fn messages_are_decoded_and_other_formats_are_rejected() {
    use glenrail_cache_warming::message_codec::{
        decode, encode, MessageDecodeError, ReplacementAnnouncement,
    };
    let assignments = Simulation::new(3).assignments;
    let announcement =
        ReplacementAnnouncement { replacement: REPLACEMENT, opener: instance(0, 1), assignments };
    let mut bytes = encode(&announcement);
    assert_eq!(decode::<ReplacementAnnouncement>(&bytes), Ok(announcement));
    (0..bytes.len()).for_each(|to| {
        assert_eq!(decode::<ReplacementAnnouncement>(&bytes[..to]), Err(MessageDecodeError::Malformed))
    });
    bytes[0] = 2;
    assert_eq!(decode::<ReplacementAnnouncement>(&bytes), Err(MessageDecodeError::Format { found: 2 }));
}
