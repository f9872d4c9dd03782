//! What the fleet's file does to the start of the program, and what nothing of it does.

mod common;

use std::collections::BTreeSet;
use std::path::Path;
use std::process::Output;

use common::member::{directory, list, write_keys, Plan, Process, KEYS};
use common::{answer, ask, post, read, run, stream, until, Act, StandIn};

fn said(mut plan: std::process::Command) -> String {
    let Output { status, stderr, .. } = plan.output().expect("it ends by itself");
    let said = String::from_utf8_lossy(&stderr).to_string();
    assert!(!status.success() && !said.contains("panicked"), "{said}");
    said
}

/// Guards the platform's word: where its settings forbid talk, an operators' file does not turn it on.
#[test]
fn talk_that_the_settings_forbid_ends_the_start_by_key_and_setting() {
    let directory = directory("forbidden");
    let keys = directory.join("keys");
    write_keys(&keys, &KEYS[..1], 0o600);
    let plan = Plan { may_tell: false, ..Plan::new(&directory, "a", &keys) };
    let said = said(plan.command());
    for word in ["a.toml", "fleet.bind", "settings.policy-limits.may-tell", "start without --fleet"] {
        assert!(said.contains(word), "{word}: {said}");
    }
    std::fs::remove_dir_all(directory).expect("removed");
}

#[test]
fn a_faulty_fleet_file_ends_the_start_and_is_named() {
    let directory = directory("faulty");
    let (keys, open) = (directory.join("keys"), directory.join("open"));
    write_keys(&keys, &KEYS[..1], 0o600);
    write_keys(&open, &KEYS[..1], 0o640);
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let free = Plan::new(&directory, "a", &keys);
    let at = taken.local_addr().expect("an address");
    let with = |keys: &Path, more| said(Plan { more, ..Plan::new(&directory, "a", keys) }.command());
    for (said, words) in [
        (with(&open, ""), ["fleet.key_file", "open", "mode 640"]),
        (with(&directory.join("none"), ""), ["fleet.key_file", "none", "key_file in [fleet]"]),
        (with(&keys, "probe_answer = 700"), ["a.toml", "fleet.probe_answer", "at most 499"]),
        (with(&keys, "probes = 7"), ["a.toml", "line 5", "deploy/fleet.toml"]),
        (with(&keys, "advertise = '0.0.0.0:7'"), ["a.toml", "0.0.0.0:7", "set advertise"]),
        (said(Plan { bind: at, ..free }.command()), ["a.toml", "fleet.bind", "free for UDP and TCP"]),
    ] {
        assert!(words.iter().all(|word| said.contains(word)), "{words:?}: {said}");
    }
    let mut nameless = Plan::new(&directory, "a", &keys).command();
    nameless.env_remove("EDGE_NAME");
    assert!(said(nameless).contains("fleet.member: missing, as is EDGE_NAME"));
    std::fs::remove_dir_all(directory).expect("removed");
}

/// UDP sockets of a process.
fn udp(process: &Process) -> usize {
    let of = |path: String| std::fs::read_to_string(path).unwrap_or_default();
    let tables = ["udp", "udp6"].map(|table| of(format!("/proc/{}/net/{table}", process.id())));
    let rows = tables.iter().flat_map(|table| table.lines().skip(1));
    let inodes: BTreeSet<String> = rows
        .filter_map(|row| row.split_whitespace().nth(9))
        .map(|inode| format!("socket:[{inode}]"))
        .collect();
    let open = std::fs::read_dir(format!("/proc/{}/fd", process.id())).expect("descriptors");
    let links = open.filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok());
    links
        .filter(|link| link.to_str().is_some_and(|link| inodes.contains(link)))
        .collect::<BTreeSet<_>>()
        .len()
}

/// Guards both deployments: without a file there is no socket for datagrams, no call for operators, and engines and
/// discovery see the same calls; with one, too.
#[test]
fn without_a_file_nothing_of_the_fleet_is_there() {
    run(async {
        let directory = directory("off");
        let keys = directory.join("keys");
        write_keys(&keys, &KEYS[..1], 0o600);
        let mut seen = Vec::new();
        for fleet in [false, true] {
            let reader = StandIn::start(|_, _| read()).await;
            let writer = StandIn::start(|_, _| stream()).await;
            let list = list(reader.address, writer.address);
            let text = list.to_string();
            let agent = StandIn::start(move |n, _| match n {
                0 => Act::Answer(answer(200, &[], text.clone())),
                _ => Act::Silence,
            })
            .await;
            let plan = Plan::new(&directory, if fleet { "on" } else { "off" }, &keys);
            let mut command = plan.command();
            let path = plan.platform();
            let mut config: serde_json::Value =
                serde_json::from_str(&std::fs::read_to_string(&path).expect("text")).expect("JSON");
            config["discovery"] = agent.address.to_string().into();
            config["known"] = list;
            std::fs::write(&path, config.to_string()).expect("a file");
            if !fleet {
                command = std::process::Command::new(env!("CARGO_BIN_EXE_glenrail"));
                command.env_clear().env("EDGE_CONFIG", &path).env("TMPDIR", &directory);
            }
            let process = Process::start(&mut command);
            let front = process.said("platform front on ").parse().expect("an address");
            let chat = || {
                ask(
                    front,
                    post("/v1/chat/completions", &[("req-id", "a1"), ("req-kind", "order-chat")], "{}"),
                )
            };
            for _ in 0..3 {
                assert_eq!(chat().await.status(), 200);
            }
            until(|| agent.seen.borrow().len() == 2).await;
            if fleet {
                process.at();
            }
            let call = tokio::task::spawn_blocking(move || {
                (udp(&process), process.call("/control/fleet").0, process.figures().is_null())
            });
            let expected = if fleet { (1, 200, false) } else { (0, 404, true) };
            assert_eq!(call.await.expect("figures"), expected);
            let calls = |at: &StandIn| -> Vec<String> {
                at.seen.borrow().iter().map(|s| format!("{} {}", s.method, s.path)).collect()
            };
            // Probes come by the clock; all else by what is asked.
            let posts = |at| calls(at).into_iter().filter(|c| c.starts_with("POST")).collect::<Vec<_>>();
            seen.push((calls(&agent), posts(&reader), posts(&writer)));
        }
        assert_eq!(seen[0], seen[1]);
        assert_eq!(seen[0].1.len(), 3);
        std::fs::remove_dir_all(directory).expect("removed");
    });
}
