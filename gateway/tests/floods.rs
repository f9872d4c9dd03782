//! Floods before the built program: whoever sends much and goes, says little, or fills the door does not keep a good
//! client from its answer, and leaves nothing behind.

mod common;

use common::child::{config, Program};
use common::raw::*;
use common::*;
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

const IDLE_CLIENTS: usize = 800;
const RUDE_CLIENTS: usize = 300;
/// Descriptors of a small gateway, and the places that they leave for clients.
const SOCKETS: usize = 100;
const PLACES: usize = 19;
/// Connections of a gateway whose table is full at once, and a time after which each of them may be evicted.
const SMALL_CAP: usize = 4;
const LONGER_THAN_EVICTION_GRACE: std::time::Duration = std::time::Duration::from_millis(100);
/// Pages of memory that an allocator may keep of what was freed (16 MB).
const KEPT_PAGES: usize = 4_096;

fn limited(mut config: Value, sockets: usize) -> Value {
    config["limits"]["sockets"] = sockets.into();
    config
}

async fn served(program: &Program, id: &str) {
    let mut good = connect(program.address).await;
    say(&good, &request(id).replace("host: a", "host: a\r\nconnection: close"));
    let (answer, reset) = to_the_end(&mut good).await;
    assert!(answer.contains("[DONE]") && answer.ends_with("0\r\n\r\n") && !reset, "{id}: {answer:?}");
}

/// Guards the good client beside hundreds that rest, that send a head byte by byte, or that send most of a body and
/// close or reset: it is served with each of its events passed on as it comes, and when they have gone, so have their
/// descriptors and memory.
#[test]
fn a_good_client_is_served_beside_floods_that_leave_nothing() {
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let (tell, told) = mpsc::unbounded_channel();
        let told = std::cell::RefCell::new(Some(told));
        let writer = StandIn::start(move |_, seen| match seen.id.as_str() {
            "long" => Act::Told(told.take().expect("one stream")),
            _ => stream(),
        })
        .await;
        // More clients' connections than the idle ones.
        let program = Program::start("floods", &limited(config(&reader, &writer), 2_000));
        served(&program, "before").await;
        let mut long = connect(program.address).await;
        say(&long, &request("long"));
        // A stream begins with its head and its first event together.
        tell.send("data: begun\n\n".into()).expect("told");
        comes(&mut long, "data: begun\n\n").await;
        let (descriptors, pages) = (program.descriptors(), program.pages());
        let mut idle = Vec::new();
        for _ in 0..IDLE_CLIENTS {
            idle.push(connect(program.address).await);
        }
        let mut dribbling = Vec::new();
        for n in 0..20 {
            dribbling.push((connect(program.address).await, request(&format!("d{n}"))));
        }
        for n in 0..RUDE_CLIENTS {
            let mut rude = connect(program.address).await;
            rude.write_all(head(&format!("r{n}"), 200_000).as_bytes()).await.expect("sent");
            let _ = rude.write_all("x".repeat(150_000).as_bytes()).await;
            if n % 2 == 0 {
                rude.set_zero_linger().expect("set");
            }
            drop(rude);
            if n % 15 == 0 {
                tell.send(format!("data: event {n}\n\n").into()).expect("told");
                comes(&mut long, &format!("data: event {n}\n\n")).await;
                served(&program, &format!("beside{n}")).await;
                let byte = n / 15;
                for (socket, text) in &dribbling {
                    say(socket, &text[byte..=byte]);
                }
            }
        }
        drop((idle, dribbling));
        until(|| program.descriptors() <= descriptors + 2).await;
        tell.send("data: [DONE]\n\n".into()).expect("told");
        drop(tell);
        comes(&mut long, "0\r\n\r\n").await;
        let grown = program.pages().saturating_sub(pages);
        assert!(grown < KEPT_PAGES, "{grown} pages more than before");
        assert!(!writer.seen.borrow().iter().any(|s| s.id.starts_with(['r', 'd'])));
    });
}

/// Guards whoever comes with a crowd: more clients than there are places lie in the queue with their requests as the
/// gateway looks again, beside resting ones or streams that hold every place. Each is answered, if only with 503, and
/// none is closed or reset without a word.
#[test]
fn a_crowd_at_the_door_is_answered_to_the_last() {
    for streams in [0, PLACES] {
        run(async {
            let reader = StandIn::start(|_, _| read()).await;
            let writer = StandIn::start(|_, seen| match seen.id.starts_with("open") {
                true => Act::Stuck("data: {}\n\n"),
                false => stream(),
            })
            .await;
            let program =
                Program::start(&format!("door-{streams}"), &limited(config(&reader, &writer), SOCKETS));
            let mut held: Vec<TcpStream> = Vec::new();
            for n in 0..streams {
                let socket = connect(program.address).await;
                say(&socket, &request(&format!("open{n}")));
                socket.peek(&mut [0]).await.expect("it has begun");
                held.push(socket);
            }
            for _ in streams..PLACES {
                held.push(connect(program.address).await);
            }
            program.halt();
            let mut crowd: Vec<_> =
                (0..100).map(|n| queued(program.address, &request(&format!("c{n}")))).collect();
            program.go_on();
            let mut served = 0;
            for (n, socket) in crowd.iter_mut().enumerate() {
                let answer = answer_of(socket).await;
                assert!(
                    answer.starts_with("HTTP/1.1 200") || answer.starts_with("HTTP/1.1 503"),
                    "{n}: {answer:?}"
                );
                served += usize::from(answer.starts_with("HTTP/1.1 200"));
            }
            assert!(streams == PLACES || served > 0);
            assert!(program.descriptors() <= SOCKETS, "{} descriptors", program.descriptors());
        });
    }
}

/// Guards the bound on clients' connections: each resting one has a request unread as as many new ones come. None of
/// them gives way, so the new ones are refused; chosen to give way and then served, it had its place twice.
#[test]
fn a_connection_with_a_request_unread_keeps_its_one_place() {
    for bytes_first in [false, true] {
        run(async {
            let reader = StandIn::start(|_, _| read()).await;
            let writer = StandIn::start(|_, seen| match seen.id.starts_with("open") {
                true => Act::Stuck("data: {}\n\n"),
                false => stream(),
            })
            .await;
            let name = format!("places-{bytes_first}");
            let program = Program::start(&name, &limited(config(&reader, &writer), SOCKETS));
            let mut resting = Vec::new();
            for _ in 0..PLACES {
                let socket = connect(program.address).await;
                say(&socket, "GET /ready HTTP/1.1\r\nhost: a\r\n\r\n");
                resting.push(socket);
            }
            for socket in &mut resting {
                comes(socket, "ready\n").await;
            }
            program.halt();
            let ask = |resting: &[TcpStream]| {
                for (n, socket) in resting.iter().enumerate() {
                    say(socket, &request(&format!("open-r{n}")));
                }
            };
            if bytes_first {
                ask(&resting);
            }
            let mut new: Vec<_> =
                (0..PLACES).map(|n| queued(program.address, &request(&format!("open-n{n}")))).collect();
            if !bytes_first {
                ask(&resting);
            }
            program.go_on();
            for socket in &mut resting {
                comes(socket, "HTTP/1.1 200").await;
            }
            for (n, socket) in new.iter_mut().enumerate() {
                let (answer, reset) = to_the_end(socket).await;
                let refused =
                    answer.starts_with("HTTP/1.1 503") && answer.ends_with("too many connections\n");
                assert!(refused && !reset, "{n}, bytes first: {bytes_first}: {answer:?}, reset: {reset}");
            }
        });
    }
}

/// Guards a client whose request crosses its eviction: the connection ends in order, which says that the request is unread; a
/// reset would not tell.
#[test]
fn a_request_that_crosses_an_eviction_meets_an_orderly_end() {
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let writer = StandIn::start(|_, _| stream()).await;
        let gateway = gateway::gateway(&[&reader], &[&writer], None, SMALL_CAP).await;
        let mut resting = Vec::new();
        for _ in 0..SMALL_CAP {
            resting.push(connect(gateway.address).await);
        }
        tokio::time::sleep(LONGER_THAN_EVICTION_GRACE).await;
        let mut newcomer = connect(gateway.address).await;
        until(|| closed_by_peer(&resting[0])).await;
        say(&resting[0], &request("crossing"));
        assert_eq!(to_the_end(&mut resting[0]).await, (String::new(), false));
        say(&newcomer, &request("new"));
        assert!(answer_of(&mut newcomer).await.starts_with("HTTP/1.1 200"));
        assert_eq!(reader.count("POST"), 1);
    });
}
