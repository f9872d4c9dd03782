//! Measures the cost of membership and the table: traffic and CPU time per member, and the time in which values,
//! failures and healed partitions become known to the other members.
//!
//! `cargo run --release -p glenrail-fleet --example figures`
//!
//! Each member updates one value of 64 bytes every second and stores four that do not change. The network loses 1% of
//! datagrams and delays the others by up to 5 ms. Bytes are those of datagrams and frames; the column "with headers"
//! adds the headers of IP and UDP (28 bytes per datagram). A propagation time of 1,000 ms means that the value did not
//! arrive before the next update. The CPU time of a member is that of the whole run divided by the number of members.

#[path = "../tests/net/mod.rs"]
mod net;

use std::time::Instant;

use glenrail_fleet::{MemberState, Settings};
use net::{id, Net};

const SECONDS: u64 = 60;
/// Gateways use the Unix time in milliseconds as their incarnation. This value has the same serialized
/// length, so messages are as long as those of gateways.
const INCARNATION: u64 = 1_796_000_000_000;

/// Measurements of a fleet of one size.
struct Measurements {
    /// Bytes sent per second, for each member.
    bytes_per_second: Vec<u64>,
    /// Datagrams sent per second and member.
    datagrams_per_second: f64,
    /// Percentage of a processor core per member.
    core_percent: f64,
    /// Propagation time of each value to each member, in ascending order.
    propagation_ms: Vec<u64>,
    /// Time from the healing of a partition until all members see each other alive.
    healed_after_ms: u64,
    /// Time until all other members have declared a killed member failed.
    failed_after_ms: u64,
}

fn main() {
    println!(
        "members  mean B/s    max B/s  with headers  datagrams/s  % of a core  propagation p50 / p99  failed after  healed after"
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

/// Returns a fleet whose members have discovered each other and store four values each.
fn connected_net(members: usize) -> Net {
    let mut net = Net::of_incarnation(INCARNATION, members, 1, Settings::default());
    net.loss_rate = 0.01;
    net.run_until(60_000, Net::all_see_each_other_alive).expect("all members discover each other");
    for node in 0..members {
        (0..4u8).for_each(|key| net.put(node, 8, &[key], &[key; 64]));
    }
    net.run(10_000);
    net
}

/// Returns the bytes that each member has sent.
fn bytes_sent(net: &Net) -> Vec<u64> {
    net.nodes.iter().map(|node| node.sent_bytes).collect()
}

/// Returns the number of datagrams that all members have sent.
fn datagrams_sent(net: &Net) -> f64 {
    net.nodes.iter().map(|node| node.fleet.counters().datagrams_out).sum::<u64>() as f64
}

/// Updates a value at every member, and returns the propagation time of one of them to each member. Runs for a second.
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

/// Separates a third of the members for 10 s. Returns the time until all members see each other alive again.
fn measure_partition_healing(net: &mut Net) -> u64 {
    let members = net.nodes.len();
    net.nodes[members - members / 3..].iter_mut().for_each(|node| node.partition = 1);
    net.run(10_000);
    net.nodes.iter_mut().for_each(|node| node.partition = 0);
    net.run_until(120_000, Net::all_see_each_other_alive).expect("the partition heals")
}

/// Kills the last member. Returns the time until all others have declared it failed.
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
