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

fn main() {
    println!(
        "members  mean B/s  worst B/s  with headers  datagrams/s  % of a core  held after p50 / p99  gone  met again"
    );
    for members in [3, 12, 50] {
        let mut net = Net::of_incarnation(INCARNATION, members, 1, Settings::default());
        net.loss = 0.01;
        net.until(60_000, Net::all_know_all).expect("all meet");
        for node in 0..members {
            (0..4u8).for_each(|key| net.put(node, 8, &[key], &[key; 64]));
        }
        net.run(10_000);
        let sent = |net: &Net| net.nodes.iter().map(|node| node.sent).collect::<Vec<_>>();
        let datagrams =
            |net: &Net| net.nodes.iter().map(|node| node.fleet.counters().datagrams_out).sum::<u64>() as f64;
        let (before, counted, clock) = (sent(&net), datagrams(&net), Instant::now());
        let mut spread = Vec::new();
        for second in 0..SECONDS {
            let watched = usize::try_from(second).unwrap_or(0) % members;
            let value = [second as u8; 64];
            for node in 0..members {
                net.put(node, 7, b"level", &value);
            }
            let from = net.now;
            let contains = |node: &&net::Node| {
                node.fleet.table().get(id(watched), 7, b"level").is_some_and(|(_, found)| found == value)
            };
            // When each of the members had it.
            let mut holding_before = 0;
            while net.now < from + 1_000 {
                net.run(20);
                let holding = net.nodes.iter().filter(contains).count();
                spread.extend(vec![net.now - from; holding.saturating_sub(holding_before)]);
                holding_before = holding_before.max(holding);
            }
            spread.extend(vec![1_000; members - holding_before]);
        }
        let core = clock.elapsed().as_secs_f64() / SECONDS as f64 / members as f64 * 100.0;
        let rates: Vec<_> =
            sent(&net).iter().zip(&before).map(|(now, then)| (now - then) / SECONDS).collect();
        let mean = rates.iter().sum::<u64>() / members as u64;
        let packets = (datagrams(&net) - counted) / (SECONDS as f64) / members as f64;
        spread.sort();
        // A third is cut off for 10 s, and meets the others again.
        net.nodes[members - members / 3..].iter_mut().for_each(|node| node.group = 1);
        net.run(10_000);
        net.nodes.iter_mut().for_each(|node| node.group = 0);
        let met = net.until(120_000, Net::all_know_all).expect("all meet again");
        net.run(10_000);
        let from = net.now;
        net.kill(members - 1);
        net.until(60_000, |net| {
            net.nodes[..members - 1].iter().all(|node| {
                node.fleet
                    .members()
                    .any(|(it, state)| it.id == id(members - 1) && state == MemberState::Failed)
            })
        });
        println!(
            "{members:7}  {mean:8}  {:9}  {:12.0}  {packets:11.1}  {core:11.2}  {:9} / {} ms  {:4} ms  {met} ms",
            rates.iter().max().unwrap_or(&0),
            mean as f64 + packets * 28.0,
            spread[spread.len() / 2],
            spread[spread.len() * 99 / 100],
            net.now - from,
        );
    }
}
