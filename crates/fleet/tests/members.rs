//! Membership over a simulated network that loses, duplicates and reorders datagrams, is partitioned, and stops
//! members.

mod net;

use glenrail_fleet::{Incarnation, MemberState, Settings};
use net::{id, Net};

fn connected_net(nodes: usize, seed: u64, loss: f64) -> Net {
    let mut net = Net::new(nodes, seed, Settings::default());
    (net.loss_rate, net.duplication_rate, net.max_delay_ms) = (loss, 0.1, 60);
    net.run_until(60_000, Net::all_see_each_other_alive)
        .expect("all members discover each other within a minute");
    net
}

#[test]
fn members_discover_each_other_despite_datagram_loss() {
    for (nodes, loss) in [(2, 0.0), (3, 0.2), (8, 0.1), (20, 0.2)] {
        for seed in 1..=3 {
            connected_net(nodes, seed, loss);
        }
    }
}

#[test]
fn a_killed_member_is_reported_failed_and_a_leaving_one_left() {
    for seed in 1..=5 {
        let mut net = connected_net(5, seed, 0.1);
        net.kill(4);
        let left_at = net.now;
        net.step(3, glenrail_fleet::Fleet::leave);
        net.kill(3);
        let observed = net.run_until(30_000, |net| {
            net.nodes[..3].iter().all(|node| {
                let state =
                    |of| node.fleet.members().find(|(member, _)| member.id == of).map(|(_, state)| state);
                state(id(4)) == Some(MemberState::Failed) && state(id(3)) == Some(MemberState::Left)
            })
        });
        assert!(observed.is_some(), "seed {seed}");
        // The announcement of the leave arrives long before a probe could detect the end of the process.
        let observed_in_time = net.nodes.iter().flat_map(|node| &node.changes).any(|(time, of, _, state)| {
            *of == id(3) && *state == MemberState::Left && *time <= left_at + net.max_delay_ms
        });
        assert!(observed_in_time, "seed {seed}");
        net.run(200_000);
        let state =
            net.nodes[0].fleet.members().find(|(member, _)| member.id == id(3)).map(|(_, state)| state);
        assert_eq!(state, Some(MemberState::Left), "a left member stays left after its announcement expired");
    }
}

#[test]
fn a_leave_reaches_all_members_in_the_time_of_one_datagram() {
    let mut net = connected_net(12, 1, 0.0);
    net.step(7, glenrail_fleet::Fleet::leave);
    net.kill(7);
    net.run(net.max_delay_ms);
    let has_seen_the_leave = |node: &&net::Node| {
        node.fleet.members().any(|(member, state)| member.id == id(7) && state == MemberState::Left)
    };
    assert_eq!(net.nodes.iter().filter(has_seen_the_leave).count(), 11);
}

#[test]
fn partitions_rejoin_once_the_network_heals() {
    for seed in 1..=3 {
        let mut net = connected_net(8, seed, 0.05);
        net.nodes[5..].iter_mut().for_each(|node| node.partition = 1);
        net.run(10_000);
        let declared_failed = net.nodes[0].changes.iter().any(|(.., state)| *state == MemberState::Failed);
        assert!(declared_failed, "a partition of 10 s is detected");
        net.nodes.iter_mut().for_each(|node| node.partition = 0);
        let healed = net.run_until(30_000, Net::all_see_each_other_alive);
        assert!(healed.is_some(), "seed {seed}");
        assert!(
            net.nodes.iter().all(|node| node.fleet.local_member().incarnation == Incarnation(1)),
            "a partition does not change the incarnation"
        );
    }
}

#[test]
fn a_restart_under_the_same_name_is_a_new_incarnation() {
    for seed in 1..=5 {
        let mut net = connected_net(5, seed, 0.1);
        net.put(2, 7, b"old", b"first incarnation");
        assert!(net.run_until(20_000, |net| net.same_values_everywhere(7, 1)).is_some());
        net.kill(2);
        net.run(300);
        net.restart(2, 2);
        let known_after = net.run_until(30_000, |net| {
            net.all_see_each_other_alive()
                && net.nodes.iter().enumerate().all(|(node, view)| {
                    node == 2
                        || view
                            .fleet
                            .members()
                            .any(|(member, _)| member.id == id(2) && member.incarnation == Incarnation(2))
                })
        });
        assert!(known_after.is_some(), "seed {seed}");
        assert!(net.same_values_everywhere(7, 0), "cells of the earlier incarnation are dropped");
    }
}

#[test]
fn members_restarted_within_a_second_discover_each_others_new_incarnations() {
    for seed in 1..=3 {
        let mut net = connected_net(8, seed, 0.1);
        for node in 0..8 {
            net.kill(node);
            net.run(60);
            net.restart(node, 2);
            net.run(60);
        }
        let met_again = net.run_until(30_000, |net| {
            let new = |node: &net::Node| {
                node.fleet.members().all(|(member, _)| member.incarnation == Incarnation(2))
            };
            net.all_see_each_other_alive() && net.nodes.iter().all(new)
        });
        assert!(met_again.is_some(), "seed {seed}");
    }
}

#[test]
fn a_member_stopped_for_8_s_declares_no_member_failed_when_it_continues() {
    for seed in 1..=5 {
        let mut net = connected_net(5, seed, 0.0);
        net.put(1, 7, b"k", b"v");
        net.run(5_000);
        net.nodes[1].stopped_until = net.now + 8_000;
        net.run(7_900);
        let seen_inactive =
            net.nodes[0].fleet.members().any(|(member, state)| member.id == id(1) && !state.is_active());
        assert!(seen_inactive, "seed {seed}: a stop of 8 s exceeds the suspicion timeout");
        let continued_at = net.now;
        assert!(net.run_until(20_000, Net::all_see_each_other_alive).is_some(), "seed {seed}");
        let declared_failed = net.nodes[1]
            .changes
            .iter()
            .any(|(time, .., state)| *time > continued_at && *state == MemberState::Failed);
        assert!(
            !declared_failed,
            "seed {seed}: the stopped member must not declare responsive members failed"
        );
        assert_eq!(net.nodes[1].fleet.local_member().incarnation, Incarnation(1));
        assert!(
            net.run_until(10_000, |net| net.same_values_everywhere(7, 1)).is_some(),
            "its cells stay valid"
        );
    }
}

#[test]
fn a_suspicion_that_timed_out_during_a_stop_is_extended() {
    let mut suspicions = 0;
    for seed in 1..=5 {
        let mut net = connected_net(3, seed, 0.0);
        let state_of_the_last = |net: &Net| {
            net.nodes[1].fleet.members().find(|(member, _)| member.id == id(2)).map(|(_, state)| state)
        };
        // The last member is suspected because of a partition, which ends when the suspecting member is stopped.
        net.nodes[2].partition = 1;
        assert!(net.run_until(20_000, |net| state_of_the_last(net) != Some(MemberState::Alive)).is_some());
        net.nodes[2].partition = 0;
        net.drops_while_stopped = true;
        suspicions += u32::from(state_of_the_last(&net) == Some(MemberState::Suspect));
        net.nodes[1].stopped_until = net.now + 8_000;
        let changes_before = net.nodes[1].changes.len();
        net.run(20_000);
        let declared_failed = net.nodes[1].changes[changes_before..]
            .iter()
            .any(|(_, of, _, state)| *of == id(2) && *state == MemberState::Failed);
        assert!(!declared_failed, "seed {seed}");
        assert!(net.run_until(20_000, Net::all_see_each_other_alive).is_some(), "seed {seed}");
    }
    assert!(suspicions > 0);
}
