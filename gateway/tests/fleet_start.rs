//! What the fleet's file does to the start of the program, and what nothing of it does.

mod common;

use std::collections::BTreeSet;
use std::path::Path;
use std::process::Output;

use common::member::{directory, list, write_keys, Plan, Process, KEYS};
use common::{answer, ask, post, read, run, stream, until, Act, StandIn};

fn startup_error(mut plan: std::process::Command) -> String {
    let Output { status, stderr, .. } = plan.output().expect("it ends by itself");
    let text = String::from_utf8_lossy(&stderr).to_string();
    assert!(!status.success() && !text.contains("panicked"), "{text}");
    text
}

/// Guards the platform's word: where its settings forbid talk, an operators' file does not turn it on.
#[test]
fn talk_that_the_settings_forbid_ends_the_start_by_key_and_setting() {
    let directory = directory("forbidden");
    let keys = directory.join("keys");
    write_keys(&keys, &KEYS[..1], 0o600);
    let plan = Plan { may_tell: false, ..Plan::new(&directory, "a", &keys) };
    let text = startup_error(plan.command());
    for word in ["a.toml", "fleet.bind", "settings.policy-limits.may-tell", "start without --fleet"] {
        assert!(text.contains(word), "{word}: {text}");
    }
    std::fs::remove_dir_all(directory).expect("removed");
}

#[test]
fn a_faulty_fleet_file_ends_the_start_and_is_named() {
    let directory = directory("faulty");
    let (keys, open) = (directory.join("keys"), directory.join("open"));
    write_keys(&keys, &KEYS[..1], 0o600);
    write_keys(&open, &KEYS[..1], 0o640);
    let occupied = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let free = Plan::new(&directory, "a", &keys);
    let address = occupied.local_addr().expect("an address");
    let with = |keys: &Path, more| startup_error(Plan { more, ..Plan::new(&directory, "a", keys) }.command());
    for (text, words) in [
        (with(&open, ""), ["fleet.key_file", "open", "mode 640"]),
        (with(&directory.join("none"), ""), ["fleet.key_file", "none", "key_file in [fleet]"]),
        (with(&keys, "probe_answer = 700"), ["a.toml", "fleet.probe_answer", "at most 499"]),
        (with(&keys, "probes = 7"), ["a.toml", "line 5", "deploy/fleet.toml"]),
        (with(&keys, "advertise = '0.0.0.0:7'"), ["a.toml", "0.0.0.0:7", "set advertise"]),
        (
            startup_error(Plan { bind: address, ..free }.command()),
            ["a.toml", "fleet.bind", "free for UDP and TCP"],
        ),
    ] {
        assert!(words.iter().all(|word| text.contains(word)), "{words:?}: {text}");
    }
    let mut nameless = Plan::new(&directory, "a", &keys).command();
    nameless.env_remove("EDGE_NAME");
    assert!(startup_error(nameless).contains("fleet.member: missing, as is EDGE_NAME"));
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

/// The calls that engines and discovery saw in one run of the program.
#[derive(Debug, PartialEq)]
struct SeenCalls {
    discovery: Vec<String>,
    reader_posts: Vec<String>,
    writer_posts: Vec<String>,
}

fn calls(seen_by: &StandIn) -> Vec<String> {
    seen_by.seen.borrow().iter().map(|request| format!("{} {}", request.method, request.path)).collect()
}

/// Probes come by the clock; all else by what is requested.
fn posts(seen_by: &StandIn) -> Vec<String> {
    calls(seen_by).into_iter().filter(|call| call.starts_with("POST")).collect()
}

/// The program with this discovery and these engines, with or without the fleet's file.
fn command(
    plan: &Plan, directory: &Path, fleet: bool, discovery: &StandIn, engines: serde_json::Value,
) -> std::process::Command {
    let with_fleet = plan.command();
    let path = plan.platform();
    let text = std::fs::read_to_string(&path).expect("text");
    let mut config: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    config["discovery"] = discovery.address.to_string().into();
    config["known"] = engines;
    std::fs::write(&path, config.to_string()).expect("a file");
    if fleet {
        return with_fleet;
    }
    let mut without_fleet = std::process::Command::new(env!("CARGO_BIN_EXE_glenrail"));
    without_fleet.env_clear().env("EDGE_CONFIG", &path).env("TMPDIR", directory);
    without_fleet
}

async fn run_with(fleet: bool, directory: &Path, keys: &Path) -> SeenCalls {
    let reader = StandIn::start(|_, _| read()).await;
    let writer = StandIn::start(|_, _| stream()).await;
    let engines = list(reader.address, writer.address);
    let text = engines.to_string();
    let discovery = StandIn::start(move |index, _| match index {
        0 => Act::Answer(answer(200, &[], text.clone())),
        _ => Act::Silence,
    })
    .await;
    let plan = Plan::new(directory, if fleet { "on" } else { "off" }, keys);
    let process = Process::start(&mut command(&plan, directory, fleet, &discovery, engines));
    let front = process.said("platform front on ").parse().expect("an address");
    for _ in 0..3 {
        let headers = [("req-id", "a1"), ("req-kind", "order-chat")];
        let chat = ask(front, post("/v1/chat/completions", &headers, "{}"));
        assert_eq!(chat.await.status(), 200);
    }
    until(|| discovery.seen.borrow().len() == 2).await;
    if fleet {
        process.at();
    }
    let call = tokio::task::spawn_blocking(move || {
        (udp(&process), process.call("/control/fleet").0, process.figures().is_null())
    });
    let expected = if fleet { (1, 200, false) } else { (0, 404, true) };
    assert_eq!(call.await.expect("figures"), expected);
    SeenCalls { discovery: calls(&discovery), reader_posts: posts(&reader), writer_posts: posts(&writer) }
}

/// Guards both deployments: without a file there is no socket for datagrams, no call for operators, and engines and
/// discovery see the same calls; with one, too.
#[test]
fn without_a_file_nothing_of_the_fleet_is_there() {
    run(async {
        let directory = directory("off");
        let keys = directory.join("keys");
        write_keys(&keys, &KEYS[..1], 0o600);
        let without_fleet = run_with(false, &directory, &keys).await;
        let with_fleet = run_with(true, &directory, &keys).await;
        assert_eq!(without_fleet, with_fleet);
        assert_eq!(without_fleet.reader_posts.len(), 3);
        std::fs::remove_dir_all(directory).expect("removed");
    });
}
