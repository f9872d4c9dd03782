//! What a class may be: its effect and its window come from the settings alone, whatever its name and its place among the
//! classes. The built program, before a writer that takes each request whole and breaks.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use common::crossing::*;
use common::scripted::*;
use serde_json::{json, Value};

/// The first write's connection ends this long after its last byte.
const BREAKS_AFTER: Duration = Duration::from_millis(400);

/// Asks in this class, where the first write breaks; gives the answer's status and how often it was written.
fn broken_once(name: &str, class: &str, change: impl FnOnce(&mut Value)) -> (u16, usize) {
    let reader = reader();
    let writer = Engine::start(|n, line| match n {
        _ if line.starts_with("DELETE") => EMPTY.into(),
        0 => Says::ByHand(Box::new(|_: &mut TcpStream| {
            std::thread::sleep(BREAKS_AFTER);
            false
        })),
        _ => Says::ByHand(Box::new(|socket: &mut TcpStream| socket.write_all(EVENTS.as_bytes()).is_ok())),
    });
    let program = Program::with(name, &[reader.address], &[writer.address], change);
    let (status, _) = final_answer(Client::ask_as(class, program.front, "a1"));
    (status, writer.count("POST"))
}

/// Guards a class against the effect of another: both ways round, one that is free is repeated and one that runs once is
/// failed.
#[test]
fn idempotency_is_that_of_the_settings() {
    for (swapped, [free, once]) in [(false, ["chat", "order"]), (true, ["order", "chat"])] {
        let change = |settings: &mut Value| {
            if swapped {
                let services = settings["services"].as_array_mut().expect("a list");
                let effects = [services[1]["semantics"].clone(), services[0]["semantics"].clone()];
                services.iter_mut().zip(effects).for_each(|(class, effect)| class["semantics"] = effect);
            }
        };
        assert_eq!(broken_once(&format!("free-{swapped}"), free, change), (200, 2), "{swapped}");
        assert_eq!(broken_once(&format!("once-{swapped}"), once, change), (502, 1), "{swapped}");
    }
}

/// Guards the window for repeats: a class that may be repeated for so long is, and not a moment after. Whoever waits then is
/// refused only where all engines discard a repeat, as it may come again.
#[test]
fn an_idempotency_window_is_that_of_the_settings() {
    let (again, refused, failed) = ((200, 2), (503, 1), (502, 1));
    let cases = [
        (20_000.0, "all", again),
        (20_000.0, "zone", again),
        (200.0, "all", refused),
        (200.0, "zone", failed),
        (0.0, "zone", failed),
    ];
    for (window, group, told) in cases {
        let change = |settings: &mut Value| {
            let class = &mut settings["services"][0];
            (class["semantics"], class["window"], class["group"]) =
                (json!("guarded"), json!(window), json!(group));
        };
        let got = broken_once(&format!("window-{window}-{group}"), "chat", change);
        assert_eq!(got, told, "{window} {group}");
    }
}
