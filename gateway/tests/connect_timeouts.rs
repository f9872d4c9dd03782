//! Connections to engines that never come up, before the built program: a dial is given up after the time that the settings
//! name, what could not be connected never ran, and its request is served all the same.

mod common;

use std::net::SocketAddr;

use common::crossing::*;
use common::scripted::*;
use serde_json::json;

/// The machine itself would dial again a second later, and come up late.
const DIAL_TIMEOUT: f64 = 250.0;

fn program(name: &str, reader: SocketAddr, writers: &[SocketAddr]) -> Program {
    Program::with(name, &[reader], writers, |settings| {
        settings["policy-limits"]["dial-timeout"] = json!(DIAL_TIMEOUT);
        settings["policy-limits"]["cancel"] = json!(true);
    })
}

fn writer() -> Engine {
    Engine::start(|_, line| if line.starts_with("DELETE") { EMPTY } else { EVENTS }.into())
}

/// Guards both kinds of class where no connection to one of two writers ever comes up: each request is answered by the other,
/// once.
#[test]
fn an_unreachable_decode_server_costs_no_request() {
    const REQUESTS: usize = 24;
    let (lost, reader, writer) = (Full::start(), reader(), writer());
    let program = program("never-writer", reader.address, &[lost.address(), writer.address]);
    std::thread::scope(|s| {
        s.spawn(|| {
            for n in 0..REQUESTS {
                let class = ["chat", "order"][n % 2];
                let (status, body) = final_answer(Client::ask_as(class, program.front, &format!("a{n}")));
                assert_eq!((status, body.ends_with("0\r\n\r\n")), (200, true), "{class} {n}: {body}");
            }
        });
        lost.dialled();
    });
    assert_eq!(writer.count("POST"), REQUESTS);
}

/// Guards the only engine of its role, of whose connections one never came up: its request is served over the next one.
#[test]
fn an_engine_is_used_again_after_a_connect_timeout() {
    let (mut late, writer) = (Full::start(), writer());
    let program = program("never-once", late.address(), &[writer.address]);
    let client = Client::ask(program.front, "a1");
    let first = late.dialled();
    let socket = late.accept();
    assert_ne!(socket.peer_addr().expect("an address").port(), first);
    let reader = Engine::taking(socket, |_, _| READ.into());
    assert_eq!(final_answer(client).0, 200);
    assert_eq!((reader.count("POST"), writer.count("POST")), (1, 1));
}
