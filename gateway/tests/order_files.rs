//! The folder of maintenance orders, compared with one that an earlier build wrote: an update finds the orders given
//! before it, and processes of both builds share the folder while one takes over from the other.

mod common;

use std::collections::BTreeMap;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use common::gateway::*;
use common::*;
use glenrail::discovery::EndpointList;
use glenrail::engine::Engine;
use glenrail::maintenance::{Maintenance, Order, OrderError, OrderStore};
use glenrail_router::ListUpdate;
use serde_json::{json, Value};

/// The servers that the fixture's orders are for.
const ORDERED: [&str; 8] = [
    "127.0.0.1:9000",
    "..",
    "A-Z_a-z~0-9",
    "name with spaces, 100%",
    "rack/7/slot+3",
    "server-1",
    "säiliö-β",
    // The longest name that an order is taken for, and the longest name of a file that follows from it.
    "////////////////////////////////////////////////////////////////////////////////",
];

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/orders")
}

/// The files of a state directory's folder of orders, with their contents.
fn files(state: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = std::fs::read_dir(state.join("offline")).expect("the folder of orders");
    let file = |entry: std::io::Result<std::fs::DirEntry>| {
        let entry = entry.expect("an entry");
        let name = entry.file_name().into_string().expect("a name in UTF-8");
        (name, std::fs::read(entry.path()).expect("a file"))
    };
    entries.map(file).collect()
}

/// A state directory of one test's own, empty.
fn empty_state(name: &str) -> PathBuf {
    let state =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("order-files-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&state);
    std::fs::create_dir_all(&state).expect("a directory");
    state
}

/// A copy of the fixture, since orders that are taken back remove files.
fn copied_state(name: &str) -> PathBuf {
    let state = empty_state(name);
    std::fs::create_dir(state.join("offline")).expect("a folder");
    for (name, content) in files(&fixture()) {
        std::fs::write(state.join("offline").join(name), content).expect("a file");
    }
    state
}

fn rotation(g: &Gateway, state: &Path) -> Maintenance<Engine> {
    let orders = OrderStore::open(state).expect("the folder of orders");
    Maintenance::new(names(), g.pool.clock, g.pool.engine.clone(), g.pool.core.clone(), Some(orders))
}

/// A list of these servers, all of them serving.
fn list(servers: &[&str], stand_in: &StandIn) -> EndpointList {
    let hosts: Vec<Value> = servers.iter().map(|id| host(id, "answer-side", stand_in, "SERVING")).collect();
    serde_json::from_value(json!({"seq": 1, "whole": true, "hosts": hosts})).expect("a list")
}

/// Guards the orders' files against a change of their names or contents: the same orders leave the same folder.
#[test]
fn the_same_orders_write_the_recorded_files() {
    run(async {
        let stand_in = StandIn::start(|_, _| read()).await;
        let (g, state) = (gateway(&[], &[], None, 1).await, empty_state("written"));
        let rotation = rotation(&g, &state);
        rotation.apply_list(&list(&ORDERED, &stand_in), ListUpdate::Full);
        for id in ORDERED {
            assert_eq!(rotation.order(id, Order::Offline), Ok(()), "{id}");
        }
        assert_eq!(files(&state), files(&fixture()));
        let folder = std::fs::metadata(state.join("offline")).expect("the folder of orders");
        assert_eq!(folder.permissions().mode() & 0o777, 0o700);
        std::fs::remove_dir_all(state).expect("removed");
    });
}

/// Guards orders given before an update: each of the recorded files is read as the order that it stands for, and no
/// other. A server that is not listed may be put back only if an order for it stands.
#[test]
fn the_recorded_files_are_read_as_the_same_orders() {
    run(async {
        let (g, state) = (gateway(&[], &[], None, 1).await, copied_state("read"));
        let rotation = rotation(&g, &state);
        assert_eq!(rotation.order("server-2", Order::Online), Err(OrderError::UnknownServer));
        for (n, id) in ORDERED.into_iter().enumerate() {
            assert_eq!(rotation.order(id, Order::Online), Ok(()), "{id}");
            assert_eq!(files(&state).len(), ORDERED.len() - n - 1, "the file of {id} has gone");
            assert_eq!(rotation.order(id, Order::Online), Err(OrderError::UnknownServer), "{id}");
        }
        std::fs::remove_dir_all(state).expect("removed");
    });
}

/// Guards what the orders are for: from the first list on, the servers of the recorded files get nothing new.
#[test]
fn the_recorded_orders_hold_from_the_first_list_on() {
    run(async {
        let stand_in = StandIn::start(|_, _| read()).await;
        let (g, state) = (gateway(&[], &[], None, 1).await, copied_state("held"));
        let rotation = rotation(&g, &state);
        rotation.apply_list(&list(&[&ORDERED[..], &["server-2"]].concat(), &stand_in), ListUpdate::Full);
        assert_eq!((rotation.listed(), g.pool.core.avoided_servers()), (ORDERED.len() + 1, ORDERED.len()));
        std::fs::remove_dir_all(state).expect("removed");
    });
}

/// Guards the place of the folder: a process finds the orders that were given to another at the same address.
#[test]
fn the_state_directory_is_named_after_the_address() {
    let folder = empty_state("place");
    let file = folder.join("settings.json");
    let settings = json!({"quantum": 4.0, "zones": ["dc"], "kinds": ["prompt-side", "answer-side"],
        "services": [{"name": "item-query", "aim": 8000.0, "deadline": 10000.0, "semantics": "free"}],
        "domain": {"stage-of-kind": ["read", "write"], "pin-limit": 500.0}});
    let settings = json!({"listen": "127.0.0.1:8080", "discovery": "127.0.0.1:1", "settings": settings});
    std::fs::write(&file, settings.to_string()).expect("a file");
    let variable = |name: &str| match name {
        "EDGE_CONFIG" => Some(file.display().to_string()),
        "TMPDIR" => Some("/a/folder".into()),
        _ => None,
    };
    let platform = glenrail::config::platform(variable).expect("a configuration").expect("a platform");
    assert_eq!(platform.state, Path::new("/a/folder/glenrail-127.0.0.1-8080"));
    std::fs::remove_dir_all(folder).expect("removed");
}
