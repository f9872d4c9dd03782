//! Gateways as members of a fleet: several processes of the program on loopback.

mod common;

use std::net::UdpSocket;
use std::path::Path;

use common::member::{directory, wait, write_keys, Plan, Process, KEYS};
use serde_json::Value;

/// Failures are found soon; for tests in which nobody may be taken for gone by mistake, `SLOW`.
const FAST: &str = "probe = 200\nprobe_answer = 90\nsuspect = 1000\nhello = 300";
const SLOW: &str = "suspect = 20000\nhello = 300";

/// The first is the seed of the others.
fn members(directory: &Path, names: &[&str], keys: &Path, settings: &str) -> Vec<Process> {
    let mut processes: Vec<Process> = Vec::new();
    for name in names {
        let seeds = processes.first().map(Process::at).into_iter().collect();
        processes.push(Plan { seeds, more: settings, ..Plan::new(directory, name, keys) }.start());
    }
    for process in &processes {
        let ids: Vec<_> = processes
            .iter()
            .filter(|member| member.id() != process.id())
            .map(|member| member.me()["id"].clone())
            .collect();
        ids.iter().for_each(|id| drop(process.sees(id, "alive")));
    }
    processes
}

/// Guards membership over real sockets: all see all, the dead are found, a restart is a new life, a planned end is
/// told and no failure.
#[test]
fn members_meet_die_return_and_leave() {
    let directory = directory("lives");
    let keys = directory.join("keys");
    write_keys(&keys, &KEYS[..1], 0o600);
    let mut processes = members(&directory, &["a", "b", "c"], &keys, FAST);
    let first = processes[2].me();
    let id = &first["id"];
    processes[2].kill();
    for other in &processes[..2] {
        assert_eq!(other.sees(id, "gone")["life"], first["life"]);
    }
    let seeds = vec![processes[0].at()];
    processes[2] = Plan { seeds, more: FAST, ..Plan::new(&directory, "c", &keys) }.start();
    for other in &processes[..2] {
        let restarted = other.sees(id, "alive");
        assert!(restarted["life"].as_u64() > first["life"].as_u64(), "{restarted}");
        assert_eq!(restarted["address"], processes[2].at().to_string());
    }
    let left = processes[1].me()["id"].clone();
    processes[1].signal("-TERM");
    for other in [&processes[0], &processes[2]] {
        other.sees(&left, "left");
    }
    assert!(processes[1].ended().success());
    wait("figures", || {
        let figures = processes[0].figures();
        (figures["alive"] == 1 && figures["left"] == 1 && figures["gone"] == 0).then_some(())
    });
    std::fs::remove_dir_all(directory).expect("removed");
}

/// Guards the fleet from whoever has no key, or another: nothing changes, and it is counted by reason.
#[test]
fn what_has_no_key_of_the_fleet_is_refused_and_counted() {
    let directory = directory("foreign");
    let (keys, others) = (directory.join("keys"), directory.join("others"));
    write_keys(&keys, &KEYS[..1], 0o600);
    write_keys(&others, &KEYS[1..], 0o600);
    let processes = members(&directory, &["a", "b"], &keys, SLOW);
    let seeds = vec![processes[0].at()];
    let foreign = Plan { seeds, more: SLOW, ..Plan::new(&directory, "x", &others) }.start();
    let refused = |reason: &str| processes[0].figures()["refused"][reason].as_u64();
    wait("forged", || refused("forged").filter(|count| *count >= 2));
    assert!(processes[0].said("was refused: ").contains("the tag fits none of the keys; give all members"));
    let raw = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    raw.send_to(b"abc", processes[0].at()).expect("sent");
    raw.send_to(&[1; 1_300], processes[0].at()).expect("sent");
    wait("short", || refused("short").filter(|count| *count == 1));
    wait("long", || refused("long").filter(|count| *count == 1));
    assert_eq!(processes[0].members()["others"].as_array().map(Vec::len), Some(1));
    assert_eq!(foreign.members()["others"].as_array().map(Vec::len), Some(0));
    std::fs::remove_dir_all(directory).expect("removed");
}

/// Guards a turn-over of keys on a running fleet, in three steps, with a faulty file in between: nobody is lost, and
/// the old key is worth nothing after it.
#[test]
fn keys_are_turned_over_by_signal() {
    let directory = directory("turn");
    let keys = directory.join("keys");
    write_keys(&keys, &KEYS[..1], 0o600);
    let processes = members(&directory, &["a", "b", "c"], &keys, SLOW);
    let mut key_reads = 0;
    let mut step = |lines: &[&str]| {
        key_reads += 1;
        write_keys(&keys, lines, 0o600);
        // One after another, so that each step is seen half done.
        for member in &processes {
            member.signal("-HUP");
            wait("read anew", || (member.figures()["key_reads"] == key_reads).then_some(()));
            wait_for_datagrams(member);
        }
    };
    step(&[KEYS[0], KEYS[1]]);
    write_keys(&keys, &["not a key"], 0o600);
    processes[0].signal("-HUP");
    let log_line = processes[0].said("fleet.key_file: ");
    assert!(
        log_line.contains("turn") && log_line.contains("line 1") && log_line.contains("stay as they were"),
        "{log_line}"
    );
    step(&[KEYS[1], KEYS[0]]);
    assert!(processes.iter().any(|member| member.figures()["by_second_key"].as_u64() > Some(0)));
    step(&[KEYS[1]]);
    for member in &processes {
        let seen = member.members();
        let others = seen["others"].as_array().expect("members");
        let is_unaffected = |member: &Value| member["state"] == "alive" && member["returns"] == 0;
        assert!(others.len() == 2 && others.iter().all(is_unaffected), "{seen}");
        assert_eq!(member.figures()["refused"]["forged"], 0);
    }
    let old = directory.join("old");
    write_keys(&old, &KEYS[..1], 0o600);
    let seeds = vec![processes[0].at()];
    let _late = Plan { seeds, more: SLOW, ..Plan::new(&directory, "x", &old) }.start();
    wait("forged", || processes[0].figures()["refused"]["forged"].as_u64().filter(|count| *count > 0));
    std::fs::remove_dir_all(directory).expect("removed");
}

/// Waits until this member has taken some more datagrams than before.
fn wait_for_datagrams(member: &Process) {
    let accepted_datagrams = || {
        let figures = member.figures();
        let refused = figures["refused"].as_object().expect("counts");
        let refused: u64 = refused.values().filter_map(Value::as_u64).sum();
        figures["datagrams_in"].as_u64().map(|count| count - refused)
    };
    let before = accepted_datagrams();
    wait("heard", || (accepted_datagrams() >= before.map(|count| count + 3)).then_some(()));
}

/// Guards the upgrade: the process that takes over has the port and goes on as the member, with a later life; the
/// first one's end is not told as the member's.
#[test]
fn at_an_upgrade_the_second_process_goes_on_as_the_member() {
    let directory = directory("upgrade");
    let keys = directory.join("keys");
    write_keys(&keys, &KEYS[..1], 0o600);
    let mut processes = members(&directory, &["a", "b"], &keys, SLOW);
    let first = processes[1].me();
    let (bind, seeds) = (processes[1].at(), vec![processes[0].at()]);
    let second = Plan { bind, seeds, more: SLOW, ..Plan::new(&directory, "b", &keys) }.start();
    assert_eq!(second.at(), bind);
    let later = wait("a later life", || {
        let seen = processes[0].sees(&first["id"], "alive");
        (seen["life"].as_u64() > first["life"].as_u64()).then_some(seen)
    });
    assert_eq!(processes[1].call("/control/fleet").1.trim(), "null");
    processes[1].signal("-TERM");
    assert!(processes[1].ended().success());
    wait_for_datagrams(&second);
    assert_eq!(processes[0].sees(&first["id"], "alive"), later);
    std::fs::remove_dir_all(directory).expect("removed");
}
