//! Once a change is fleet-wide, no member admits a request without it, under any failure that the design
//! covers; and a committed change becomes fleet-wide within its bound.

#[path = "support/fleet.rs"]
mod fleet;

use std::collections::BTreeSet;

use fleet::{Fleet, DRIFT_PPM, LEASE_MS};
use glenrail_grants::revocation::{
    Bound, JournalPosition, LeaseConfig, Lessees, Member, QuorumRule, Stage, StalePolicy, StoreState,
    SyncRequest, VoterConfig, VoterConfigError,
};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Exchange(usize, usize),
    Round,
    SendRequest(usize, usize),
    Deliver(usize, bool),
    LoseMessage(usize),
    Change(usize),
    Block(usize, usize),
    Isolate(usize),
    UnblockAll,
    Pause(usize, bool),
    BackUp(usize),
    Restart(usize, StoreState),
    NextVoterConfig(usize),
    BackToJointConfig(usize),
}

fn step(members: usize) -> impl Strategy<Value = Step> {
    let at = move || 0..members;
    prop_oneof![
        6 => (1..400u64).prop_map(Step::Wait),
        1 => (800..1_300u64).prop_map(Step::Wait),
        8 => (at(), at()).prop_map(|(a, b)| Step::Exchange(a, b)),
        3 => Just(Step::Round),
        4 => (at(), at()).prop_map(|(a, b)| Step::SendRequest(a, b)),
        6 => (0..200usize, any::<bool>()).prop_map(|(which, duplicate)| Step::Deliver(which, duplicate)),
        1 => (0..200usize).prop_map(Step::LoseMessage),
        4 => at().prop_map(Step::Change),
        2 => (at(), at()).prop_map(|(a, b)| Step::Block(a, b)),
        2 => at().prop_map(Step::Isolate),
        1 => Just(Step::UnblockAll),
        2 => (at(), any::<bool>()).prop_map(|(at, paused)| Step::Pause(at, paused)),
        1 => at().prop_map(Step::BackUp),
        1 => at().prop_map(Step::NextVoterConfig),
        1 => at().prop_map(Step::BackToJointConfig),
        2 => (at(), select(&[StoreState::Intact, StoreState::Empty, StoreState::Restored][..]))
            .prop_map(|(at, store_state)| Step::Restart(at, store_state)),
    ]
}

fn run_steps(fleet: &mut Fleet, steps: Vec<Step>) -> Result<(), String> {
    let members = fleet.nodes.len();
    for step in steps {
        match step {
            Step::Wait(time) => fleet.now += time,
            Step::Exchange(from, to) => fleet.exchange(from, to),
            Step::Round => fleet.round(),
            Step::SendRequest(from, to) => fleet.send_request(from, to),
            Step::Deliver(which, duplicate) => fleet.deliver(which, duplicate),
            Step::LoseMessage(which) => fleet.lose_message(which),
            Step::Change(at) => drop(fleet.change(at)),
            Step::Block(from, to) => fleet.block(from, to),
            Step::Isolate(at) => (0..members).for_each(|other| {
                fleet.block(at, other);
                fleet.block(other, at);
            }),
            Step::UnblockAll => fleet.unblock_all(),
            Step::Pause(at, paused) => fleet.pause(at, paused),
            Step::BackUp(at) => fleet.back_up(at),
            Step::NextVoterConfig(at) => fleet.next_voter_config(at),
            Step::BackToJointConfig(at) => fleet.back_to_joint_config(at),
            Step::Restart(at, store_state) => fleet.restart(at, store_state),
        }
        fleet.check()?;
    }
    Ok(())
}

/// Ends all failures and lets the members exchange everything and complete the change of voters.
fn recover(fleet: &mut Fleet) {
    fleet.unblock_all();
    for at in 0..fleet.nodes.len() {
        fleet.pause(at, false);
        fleet.back_to_joint_config(at);
    }
    for config_index in 0..3 {
        for _ in 0..4 {
            fleet.now += 10;
            fleet.round();
        }
        for at in 0..fleet.nodes.len() {
            if fleet.nodes[at].config_index <= config_index {
                fleet.next_voter_config(at);
            }
        }
    }
}

/// Returns the number of cases. `PROPTEST_CASES` overrides the default.
fn cases(default: u32) -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

const CLOCK_RATES: [u64; 4] = [910, 1_090, 1_000, 950];

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(400), ..ProptestConfig::default() })]

    #[test]
    fn no_member_admits_requests_without_a_fleet_wide_change(
        steps in vec(step(4), 0..120),
        quorum_rule in select(&[QuorumRule::Majority, QuorumRule::Every][..]),
        turn in 0..4usize,
    ) {
        let mut clock_rates = CLOCK_RATES;
        clock_rates.rotate_left(turn);
        let mut fleet = Fleet::new(4, 3, quorum_rule, &clock_rates);
        fleet.round();
        run_steps(&mut fleet, steps).map_err(TestCaseError::fail)?;
        // After recovery all members have valid leases and the same changes, and a new change is fleet-wide
        // at once or within its bound.
        recover(&mut fleet);
        fleet.check().map_err(TestCaseError::fail)?;
        for at in 0..4 {
            prop_assert!(fleet.admits(at), "node {} has no valid lease", at);
            prop_assert_eq!(&fleet.nodes[at].stored, &fleet.nodes[0].stored);
        }
        let change = fleet.change(3).unwrap();
        fleet.round();
        fleet.round();
        let progress = fleet.progress(3, change).unwrap();
        prop_assert_eq!((progress.confirmed, progress.total), (3, 3));
        let lease_bound = LeaseConfig::new(LEASE_MS, DRIFT_PPM, 0).unwrap().lease_bound_ms();
        match progress.bound {
            Bound::Reached => {}
            Bound::WithinMs(time) => {
                prop_assert!(time <= lease_bound);
                fleet.now += lease_bound * 1_000 / 910 + 2;
                prop_assert_eq!(fleet.progress(3, change).unwrap().stage, Stage::FleetWide);
            }
            Bound::AfterCommit { .. } => prop_assert!(false, "the change is not committed"),
        }
    }
}

#[test]
fn an_isolated_member_becomes_stale_by_the_bound_of_the_change() {
    let mut fleet = Fleet::new(5, 5, QuorumRule::Majority, &[1_000]);
    fleet.now += 5_000;
    fleet.round();
    for other in 0..4 {
        fleet.block(4, other);
        fleet.block(other, 4);
    }
    let change = fleet.change(0).unwrap();
    assert_eq!(fleet.progress(0, change).unwrap().stage, Stage::Local);
    fleet.round();
    fleet.round();
    let progress = fleet.progress(0, change).unwrap();
    let lease_bound = LeaseConfig::new(LEASE_MS, DRIFT_PPM, 0).unwrap().lease_bound_ms();
    assert_eq!((progress.stage, progress.confirmed, progress.total), (Stage::Propagating, 3, 4));
    assert_eq!((progress.missing.len(), progress.bound), (1, Bound::WithinMs(lease_bound)));
    assert!(fleet.admits(4));
    fleet.now += lease_bound;
    assert_eq!(fleet.progress(0, change).unwrap().stage, Stage::FleetWide);
    assert!(!fleet.admits(4));
    // The other members renew their leases.
    fleet.round();
    assert!((0..4).all(|at| fleet.admits(at)));
}

#[test]
fn a_change_on_the_smaller_side_of_a_partition_has_a_bound_only_with_the_every_rule() {
    for (quorum_rule, committed) in [(QuorumRule::Majority, false), (QuorumRule::Every, true)] {
        let mut fleet = Fleet::new(5, 5, quorum_rule, &[1_000]);
        fleet.now += 5_000;
        fleet.round();
        for (one, other) in [0, 1].into_iter().flat_map(|one| (2..5).map(move |other| (one, other))) {
            fleet.block(one, other);
            fleet.block(other, one);
        }
        let change = fleet.change(0).unwrap();
        fleet.round();
        fleet.round();
        let after_ms = LeaseConfig::new(LEASE_MS, DRIFT_PPM, 0).unwrap().lease_bound_ms();
        fleet.now += after_ms;
        let progress = fleet.progress(0, change).unwrap();
        match committed {
            false => {
                assert_eq!(progress.bound, Bound::AfterCommit { after_ms, missing: vec![102, 103, 104] })
            }
            true => assert_eq!(progress.stage, Stage::FleetWide),
        }
        // A majority keeps its leases. If every voter is required, all members become stale.
        fleet.round();
        assert_eq!(
            (0..5).map(|at| fleet.admits(at)).collect::<Vec<_>>(),
            match committed {
                false => [false, false, true, true, true],
                true => [false; 5],
            }
        );
    }
}

#[test]
fn voters_change_through_a_joint_configuration() {
    let mut fleet = Fleet::new(4, 3, QuorumRule::Majority, &[1_000]);
    fleet.round();
    let next = || VoterConfig::new(101..104, QuorumRule::Majority).unwrap();
    let joint = next().joint_with(&VoterConfig::new(100..103, QuorumRule::Majority).unwrap());
    let member = &mut fleet.nodes[0].member;
    assert_eq!(member.set_voter_config(next(), 0), Err(VoterConfigError::InvalidTransition));
    assert_eq!(member.set_voter_config(joint, 0), Ok(()));
    assert_eq!(member.set_voter_config(next(), 0), Err(VoterConfigError::NoLease));
    assert_eq!(VoterConfig::new([], QuorumRule::Every).unwrap_err(), VoterConfigError::NoVoters);
}

#[test]
fn a_retired_process_grants_no_leases() {
    let mut fleet = Fleet::new(2, 1, QuorumRule::Majority, &[1_000]);
    fleet.nodes[0].member.retire();
    fleet.round();
    assert!(!fleet.admits(1));
}

#[test]
fn a_change_that_all_members_confirm_is_fleet_wide_at_once() {
    let mut fleet = Fleet::new(4, 3, QuorumRule::Majority, &[1_000]);
    fleet.now += 5_000;
    fleet.round();
    let change = fleet.change(3).unwrap();
    fleet.round();
    fleet.round();
    assert_eq!(fleet.progress(3, change).unwrap().stage, Stage::FleetWide);
}

#[test]
fn an_empty_member_is_ready_with_a_lease_or_after_the_wait() {
    let mut fleet = Fleet::new(3, 3, QuorumRule::Majority, &[1_000]);
    let change = fleet.change(0).unwrap();
    fleet.round();
    fleet.restart(2, StoreState::Empty);
    let is_ready = |fleet: &Fleet| fleet.nodes[2].member.is_ready(fleet.clock(2));
    assert!(!is_ready(&fleet) && !fleet.admits(2));
    fleet.exchange(2, 1);
    assert!(!is_ready(&fleet), "an empty member needs the leases of two other voters and has one");
    fleet.exchange(2, 0);
    assert!(is_ready(&fleet) && fleet.admits(2) && fleet.nodes[2].stored.contains(&change));
    // Isolated from all others, the member is ready after the wait, and stale.
    for other in 0..2 {
        fleet.block(2, other);
        fleet.block(other, 2);
    }
    fleet.restart(2, StoreState::Empty);
    fleet.round();
    assert!(!is_ready(&fleet));
    fleet.now += 3_000;
    assert!(is_ready(&fleet) && !fleet.admits(2));
    // If all members start empty, no change can be missing, and they do not wait.
    let mut fleet = Fleet::new(3, 3, QuorumRule::Majority, &[1_000]);
    (0..3).for_each(|at| fleet.restart_unchecked(at, StoreState::Empty));
    fleet.round();
    fleet.round();
    assert!((0..3).all(|at| fleet.admits(at)));
}

#[test]
fn no_lease_is_granted_before_all_changes_are_transferred() {
    let lease_config = LeaseConfig::new(LEASE_MS, DRIFT_PPM, 0).unwrap();
    let voter_config = || VoterConfig::new([1], QuorumRule::Majority).unwrap();
    let mut voter = Member::new(
        (1, 1),
        lease_config,
        StalePolicy::RefuseAll,
        voter_config(),
        StoreState::Intact,
        0..600u32,
        0,
    );
    let mut other =
        Member::new((2, 1), lease_config, StalePolicy::RefuseAll, voter_config(), StoreState::Empty, [], 0);
    let mut keys = BTreeSet::new();
    for (turn, last) in [(0, false), (1, false), (2, true)] {
        let request = other.sync_request(1, turn);
        let response = voter.handle_request(&request, turn).unwrap();
        assert_eq!((response.has_more, response.grants_lease), (!last, last));
        keys.extend(response.keys.iter().copied());
        assert!(other.handle_response(&response));
        assert!(!other.handle_response(&response), "a duplicate response has an effect");
        assert_eq!(other.has_valid_lease(turn), last);
    }
    assert_eq!(keys.len(), 600);
    // Without new changes, a request and its response take few bytes.
    let request = other.sync_request(1, 3);
    let response = voter.handle_request(&request, 3).unwrap();
    assert!(postcard::to_stdvec(&request).unwrap().len() <= 64);
    assert!(postcard::to_stdvec(&response).unwrap().len() <= 64);
}

#[test]
fn a_late_request_does_not_overwrite_newer_lessees() {
    let lease_config = LeaseConfig::new(LEASE_MS, DRIFT_PPM, 0).unwrap();
    let member = |id| {
        let voter_config = VoterConfig::new([1, 2, 3], QuorumRule::Majority).unwrap();
        Member::<u32>::new(
            (id, 1),
            lease_config,
            StalePolicy::RefuseAll,
            voter_config,
            StoreState::Intact,
            [],
            0,
        )
    };
    let (mut one, mut other, now) = (member(1), member(2), lease_config.lease_bound_ms());
    let change = one.record_change(7);
    one.track(change, now);
    let early = SyncRequest { lessees: Lessees::Known(Vec::new()), ..other.sync_request(1, now) };
    let received = JournalPosition { incarnation: 1, sequence: change };
    let late = SyncRequest { received, lessees: Lessees::Known(vec![(4, 1)]), ..other.sync_request(1, now) };
    for request in [&late, &early] {
        one.handle_request(request, now).unwrap();
        let progress = one.progress(change, &BTreeSet::from([2, 4]), now).unwrap();
        assert_eq!((progress.stage, progress.confirmed), (Stage::Propagating, 1));
    }
}

#[test]
fn a_restart_without_a_store_resets_confirmations() {
    let mut fleet = Fleet::new(3, 2, QuorumRule::Majority, &[1_000]);
    fleet.round();
    let change = fleet.change(0).unwrap();
    fleet.round();
    fleet.round();
    assert_eq!(fleet.progress(0, change).unwrap().confirmed, 2);
    fleet.restart(2, StoreState::Empty);
    fleet.send_request(2, 0);
    fleet.deliver(0, false);
    let progress = fleet.progress(0, change).unwrap();
    assert_eq!((progress.confirmed, progress.missing), (1, vec![102]));
}

#[test]
fn a_response_under_the_previous_voter_configuration_grants_no_lease_under_the_next() {
    let lease_config = LeaseConfig::new(LEASE_MS, DRIFT_PPM, 0).unwrap();
    let voter_config = |quorum_rule| VoterConfig::new([1], quorum_rule).unwrap();
    let member = |id| {
        Member::<u32>::new(
            (id, 1),
            lease_config,
            StalePolicy::RefuseAll,
            voter_config(QuorumRule::Majority),
            StoreState::Intact,
            [],
            0,
        )
    };
    let (mut voter, mut other) = (member(1), member(2));
    let responses = [0, 1].map(|now| voter.handle_request(&other.sync_request(1, now), now).unwrap());
    assert!(other.handle_response(&responses[0]) && other.has_valid_lease(2));
    other
        .set_voter_config(voter_config(QuorumRule::Every).joint_with(&voter_config(QuorumRule::Majority)), 2)
        .unwrap();
    assert!(other.handle_response(&responses[1]) && !other.has_valid_lease(2));
}
