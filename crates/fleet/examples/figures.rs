//! What membership and the table cost: bytes a second of a member, and how long a value takes to reach the others
//! (1,000 ms: not before the next).
//!
//! `cargo run --release -p glenrail-fleet --example figures`
//!
//! Each member says one value of 64 bytes anew every second and holds four that stay. Loss 1%, up to 5 ms on the
//! way. Bytes are those of datagrams and frames, without the headers of IP and UDP (28 bytes a datagram, given
//! beside). Time for one member's share of the process: the whole run's over the number of members.

#[path = "../tests/net/mod.rs"]
mod net;

use std::time::Instant;

use glenrail_fleet::{MemberState, Settings};
use net::{id, Net};

const SECONDS: u64 = 60;
/// As long on the wire as milliseconds since 1970.
const INCARNATION: u64 = 1_796_000_000_000;

/// What a fleet of one size cost.
struct Measurements {
    /// Bytes a second that each member sent.
    bytes_per_second: Vec<u64>,
    /// Datagrams a second and member.
    datagrams_per_second: f64,
    /// Share of a processor core for each member, in percent.
    core_percent: f64,
    /// For each value and member, how long the value took to arrive, in ascending order. Milliseconds.
    propagation_ms: Vec<u64>,
    /// How long the partitions took to meet again, in milliseconds.
    healed_after_ms: u64,
    /// How long the others took to declare a killed member failed, in milliseconds.
    failed_after_ms: u64,
}

fn main() {
    println!(
        "members  mean B/s  worst B/s  with headers  datagrams/s  % of a core  held after p50 / p99  gone  met again"
    );
    for members in [3, 12, 50] {
        print_row(members, &measure(members));
    }
}

fn measure(members: usize) -> Measurements {
    let mut net = connected_net(members);
    let (bytes_before, datagrams_before, started) = (bytes_sent(&net), datagrams_sent(&net), Instant::now());
    let mut propagation_ms = Vec::new();
    for second in 0..SECONDS {
        propagation_ms.extend(propagation_within_a_second(&mut net, second));
    }
    let core_percent = started.elapsed().as_secs_f64() / SECONDS as f64 / members as f64 * 100.0;
    let bytes_per_second =
        bytes_sent(&net).iter().zip(&bytes_before).map(|(now, before)| (now - before) / SECONDS).collect();
    let datagrams_per_second = (datagrams_sent(&net) - datagrams_before) / (SECONDS as f64) / members as f64;
    propagation_ms.sort();
    let healed_after_ms = measure_partition_healing(&mut net);
    net.run(10_000);
    let failed_after_ms = measure_failure_detection(&mut net);
    Measurements {
        bytes_per_second,
        datagrams_per_second,
        core_percent,
        propagation_ms,
        healed_after_ms,
        failed_after_ms,
    }
}

/// A fleet whose members know each other, each with four values.
fn connected_net(members: usize) -> Net {
    let mut net = Net::of_incarnation(INCARNATION, members, 1, Settings::default());
    net.loss_rate = 0.01;
    net.run_until(60_000, Net::all_see_each_other_alive).expect("all meet");
    for node in 0..members {
        (0..4u8).for_each(|key| net.put(node, 8, &[key], &[key; 64]));
    }
    net.run(10_000);
    net
}

/// Bytes that each member sent.
fn bytes_sent(net: &Net) -> Vec<u64> {
    net.nodes.iter().map(|node| node.sent_bytes).collect()
}

/// Datagrams that all members sent.
fn datagrams_sent(net: &Net) -> f64 {
    net.nodes.iter().map(|node| node.fleet.counters().datagrams_out).sum::<u64>() as f64
}

/// Every member sets a value; when that of one of them arrived at each member, within the second.
fn propagation_within_a_second(net: &mut Net, second: u64) -> Vec<u64> {
    let members = net.nodes.len();
    let observed = usize::try_from(second).unwrap_or(0) % members;
    let value = [second as u8; 64];
    for node in 0..members {
        net.put(node, 7, b"level", &value);
    }
    let from = net.now;
    let has_value = |node: &&net::Node| {
        node.fleet.table().get(id(observed), 7, b"level").is_some_and(|(_, found)| found == value)
    };
    let mut propagation_ms = Vec::new();
    while net.now < from + 1_000 {
        net.run(20);
        let arrived = net.nodes.iter().filter(has_value).count();
        propagation_ms.extend(vec![net.now - from; arrived.saturating_sub(propagation_ms.len())]);
    }
    propagation_ms.extend(vec![1_000; members - propagation_ms.len()]);
    propagation_ms
}

/// Cuts a third off for 10 s; how long all took to meet again.
fn measure_partition_healing(net: &mut Net) -> u64 {
    let members = net.nodes.len();
    net.nodes[members - members / 3..].iter_mut().for_each(|node| node.partition = 1);
    net.run(10_000);
    net.nodes.iter_mut().for_each(|node| node.partition = 0);
    net.run_until(120_000, Net::all_see_each_other_alive).expect("all meet again")
}

/// Kills the last member; how long the others took to declare it failed.
fn measure_failure_detection(net: &mut Net) -> u64 {
    let last = net.nodes.len() - 1;
    let from = net.now;
    net.kill(last);
    net.run_until(60_000, |net| {
        net.nodes[..last].iter().all(|node| {
            let mut members = node.fleet.members();
            members.any(|(member, state)| member.id == id(last) && state == MemberState::Failed)
        })
    });
    net.now - from
}

fn print_row(members: usize, measurements: &Measurements) {
    let Measurements {
        bytes_per_second,
        datagrams_per_second,
        core_percent,
        propagation_ms,
        healed_after_ms,
        failed_after_ms,
    } = measurements;
    let mean = bytes_per_second.iter().sum::<u64>() / members as u64;
    println!(
        "{members:7}  {mean:8}  {:9}  {:12.0}  {datagrams_per_second:11.1}  {core_percent:11.2}  {:9} / {} ms  {failed_after_ms:4} ms  {healed_after_ms} ms",
        bytes_per_second.iter().max().unwrap_or(&0),
        mean as f64 + datagrams_per_second * 28.0,
        propagation_ms[propagation_ms.len() / 2],
        propagation_ms[propagation_ms.len() * 99 / 100],
    );
}
