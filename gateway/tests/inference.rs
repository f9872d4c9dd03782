//! The second front over the whole gateway: embeddings and rerank beside chat, with stand-in servers.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use common::*;
use glenrail::budget::Budget;
use glenrail::config::{parse_front, InferenceFrontConfig};
use glenrail::engine::{EngineLimits, ServerAddress, ServerApi};
use glenrail::front::server;
use glenrail::metrics::RequestMetrics;
use glenrail::pools::{InferencePools, PlatformChat, Pool};
use glenrail::shutdown::Shutdown;
use glenrail_router::{ListUpdate, ServerEntry, ServerId};
use http::HeaderValue;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

const EMBED: &str = r#"{"model":"e","input":["sword","shield"]}"#;
const VECTORS: &str = r#"{"object":"list","data":[{"index":0,"embedding":[0.1]}]}"#;

struct Gateway {
    address: SocketAddr,
    second: InferencePools,
    file: InferenceFrontConfig,
}

fn pool(servers: &[(&str, &StandIn, bool)]) -> String {
    let server = |(name, at, drain): &(&str, &StandIn, bool)| {
        format!("{{ name = '{name}', dial = '{}', drain = {drain} }}", at.address)
    };
    format!("connect_ms = 5000\nservers = [{}]", servers.iter().map(server).collect::<Vec<_>>().join(", "))
}

fn file(embeddings: &[(&str, &StandIn, bool)], chat: &[(&str, &StandIn, bool)]) -> InferenceFrontConfig {
    let mut text = "listen = '127.0.0.1:0'\ndeadline_ms = 20000\nmax_deadline_ms = 25000\n".to_string();
    for (name, servers) in [("embeddings", embeddings), ("chat", chat)] {
        if !servers.is_empty() {
            text += &format!("[{name}]\n{}\n", pool(servers));
        }
    }
    parse_front(&text).expect("a file")
}

async fn gateway(file: InferenceFrontConfig) -> Gateway {
    let budget = Budget::new(64 << 20);
    let slots = Arc::new(Semaphore::new(300));
    let second =
        InferencePools::new(&file, None, &None, slots, budget, RequestMetrics::default()).expect("a front");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn_local(server::serve(listener, second.front.clone(), 200, Shutdown::default()));
    Gateway { address, second, file }
}

fn vectors() -> Act {
    Act::Answer(answer(200, &[("content-type", "application/json")], VECTORS))
}

fn error_of(answer: &http::Response<Option<bytes::Bytes>>) -> serde_json::Value {
    let v: serde_json::Value = serde_json::from_slice(answer.body().as_ref().expect("a body")).expect("JSON");
    assert!(v["error"]["message"].is_string() && v["error"]["type"].is_string(), "{v}");
    v["error"].clone()
}

#[test]
fn each_path_reaches_its_own_pool_and_bytes_pass_unchanged() {
    run(async {
        let embedder = StandIn::start(|_, _| vectors()).await;
        let talker = StandIn::start(|_, _| stream()).await;
        let g = gateway(file(&[("e", &embedder, false)], &[("c", &talker, false)])).await;
        let rerank = r#"{"model":"r", "query":"gift","documents":["a","b"]}"#;
        for (path, body) in [("/v1/embeddings", EMBED), ("/v1/rerank", rerank)] {
            let answer = ask(g.address, post(path, &[("authorization", "Bearer k")], body)).await;
            assert_eq!((answer.status().as_u16(), answer.body().as_deref()), (200, Some(VECTORS.as_bytes())));
            let seen = embedder.seen.borrow().last().cloned().expect("a request");
            assert_eq!((seen.path.as_str(), &seen.body[..]), (path, body.as_bytes()));
            assert_eq!(seen.headers["authorization"], "Bearer k");
        }
        let chat = r#"{"model":"c","messages":[{"role":"user","content":"hi"}],"stream":true}"#;
        let answer = ask(g.address, post("/v1/chat/completions", &[], chat)).await;
        assert_eq!((answer.status().as_u16(), answer.body().as_deref()), (200, Some(STREAM.as_bytes())));
        assert_eq!((embedder.seen.borrow().len(), talker.seen.borrow().len()), (2, 1));
        let ready = http::Request::get("/ready").body(Default::default()).expect("a request");
        assert_eq!(ask(g.address, ready).await.status(), 200);
    });
}

#[test]
fn errors_have_the_public_shape() {
    run(async {
        let embedder = StandIn::start(|_, _| vectors()).await;
        let mut f = file(&[("e", &embedder, false)], &[]);
        f.max_body = 1_000;
        let g = gateway(f).await;
        let big = format!(r#"{{"model":"e","input":"{}"}}"#, "x".repeat(2_000));
        for (path, headers, body, status) in [
            ("/v1/embeddings", &[][..], "{", 400),
            ("/v1/embeddings", &[], r#"{"model":"e"}"#, 400),
            ("/v1/embeddings", &[("x-request-timeout", "soon")], EMBED, 400),
            ("/v1/embeddings", &[], &big, 413),
            ("/v1/chat/completions", &[], "{}", 404),
            ("/v1/images", &[], "{}", 404),
        ] {
            let answer = ask(g.address, post(path, headers, body.to_string())).await;
            assert_eq!(answer.status(), status, "{path}");
            assert_eq!(error_of(&answer)["type"], "invalid_request_error");
        }
        let get = http::Request::get("/v1/embeddings").body(Default::default()).expect("a request");
        assert_eq!(ask(g.address, get).await.status(), 405);
        assert_eq!(embedder.seen.borrow().len(), 0);
    });
}

#[test]
fn upstream_trouble_is_mapped() {
    run(async {
        type Case = (u16, &'static [(&'static str, &'static str)], u16);
        let cases: [Case; 4] = [
            // The client's own mistake passes on; a server's fault does not, and an embedding may be asked again.
            (422, &[], 422),
            (500, &[], 503),
            (503, &[("srv-declined", "1")], 503),
            (429, &[], 503),
        ];
        for (told, headers, wanted) in cases {
            let server = StandIn::start(move |_, _| Act::Answer(answer(told, headers, "{}"))).await;
            let g = gateway(file(&[("e", &server, false)], &[])).await;
            let answer = ask(g.address, post("/v1/embeddings", &[("x-request-timeout", "15")], EMBED)).await;
            assert_eq!(answer.status(), wanted, "{told}");
            if wanted == 503 {
                assert!(
                    answer.headers()["retry-after"].to_str().expect("text").parse::<u64>().expect("s") > 0
                );
                error_of(&answer);
            }
        }
    });
}

#[test]
fn the_deadline_comes_from_the_header_and_ends_in_504() {
    run(async {
        let server = StandIn::start(|_, _| Act::Silence).await;
        let g = gateway(file(&[("e", &server, false)], &[])).await;
        let start = Instant::now();
        let answer = ask(g.address, post("/v1/embeddings", &[("x-request-timeout", "0.4")], EMBED)).await;
        assert_eq!(answer.status(), 504);
        error_of(&answer);
        // Far from the default of 20 s, and the server was told how long it has.
        assert!(start.elapsed() < Duration::from_secs(10));
        let told = server.seen.borrow()[0].headers["req-deadline"].to_str().expect("text").to_string();
        assert!(told.parse::<f64>().expect("seconds") <= 0.4);
    });
}

#[test]
fn the_deadline_is_capped() {
    run(async {
        let server = StandIn::start(|_, _| vectors()).await;
        let g = gateway(file(&[("e", &server, false)], &[])).await;
        for (asked, most) in [("9999", 25.0), ("3", 3.0)] {
            ask(g.address, post("/v1/embeddings", &[("x-request-timeout", asked)], EMBED)).await;
            let told = server.seen.borrow().last().expect("one").headers["req-deadline"].clone();
            let told: f64 = told.to_str().expect("text").parse().expect("seconds");
            assert!(told <= most && told > most - 3.0, "{told}");
        }
    });
}

/// Guards the hard case of the brief: the server that has the batch is told to drain and then breaks it off.
#[test]
fn a_batch_survives_a_server_that_drains_halfway() {
    run(async {
        let first = StandIn::start(|n, _| if n == 0 { Act::Silence } else { vectors() }).await;
        let second = StandIn::start(|_, _| vectors()).await;
        let mut f = file(&[("a", &first, false), ("b", &second, true)], &[]);
        let g = gateway(f.clone()).await;
        let asking = ask(g.address, post("/v1/embeddings", &[], EMBED));
        tokio::pin!(asking);
        tokio::select! {
            _ = &mut asking => panic!("the first server is silent"),
            () = until(|| first.seen.borrow().len() == 1) => {}
        }
        // Told by a new list: the first drains, the second serves.
        let pool = f.embeddings.as_mut().expect("a pool");
        (pool.servers[0].drain, pool.servers[1].drain) = (true, false);
        g.second.reload(&f);
        let more = ask(g.address, post("/v1/embeddings", &[], EMBED)).await;
        assert_eq!(more.status(), 200);
        first.stop();
        let answer = asking.await;
        assert_eq!((answer.status().as_u16(), answer.body().as_deref()), (200, Some(VECTORS.as_bytes())));
        assert_eq!((first.seen.borrow().len(), second.seen.borrow().len()), (1, 2));
    });
}

/// Guards against an answer that is passed on in part: a whole document that breaks is asked for again.
#[test]
fn a_batch_that_breaks_in_its_answer_is_repeated_whole() {
    run(async {
        let broke = Rc::new(Cell::new(false));
        let script = |broke: Rc<Cell<bool>>| {
            move |_: usize, _: &Seen| if broke.replace(true) { vectors() } else { Act::Part("{\"obj") }
        };
        let a = StandIn::start(script(broke.clone())).await;
        let b = StandIn::start(script(broke)).await;
        let g = gateway(file(&[("a", &a, false), ("b", &b, false)], &[])).await;
        let answer = ask(g.address, post("/v1/embeddings", &[], EMBED)).await;
        assert_eq!((answer.status().as_u16(), answer.body().as_deref()), (200, Some(VECTORS.as_bytes())));
        assert_eq!(a.seen.borrow().len() + b.seen.borrow().len(), 2);
    });
}

/// Guards chat's class: what may have run is not sent again unless the pool says so.
#[test]
fn a_chat_that_may_have_run_is_not_repeated() {
    run(async {
        let a = StandIn::start(|_, _| Act::Break).await;
        let b = StandIn::start(|_, _| Act::Break).await;
        let g = gateway(file(&[], &[("a", &a, false), ("b", &b, false)])).await;
        let chat = r#"{"model":"c","messages":[{"role":"user","content":"hi"}]}"#;
        assert_eq!(ask(g.address, post("/v1/chat/completions", &[], chat)).await.status(), 502);
        assert_eq!(a.seen.borrow().len() + b.seen.borrow().len(), 1);
    });
}

/// Guards the rule on cold servers: one that could not be reached and is back gets its work step by step.
#[test]
fn a_server_that_comes_back_is_spared_at_first() {
    run(async {
        let (dead, at) = reserved();
        let steady = StandIn::start(|_, _| vectors()).await;
        let text = format!(
            "listen = '127.0.0.1:0'\n[embeddings]\nservers = [{{ name = 'cold', dial = '{at}' }}, \
             {{ name = 'steady', dial = '{}' }}]",
            steady.address
        );
        let g = gateway(parse_front(&text).expect("a file")).await;
        let send = |n: usize| async move {
            for _ in 0..n {
                assert_eq!(ask(g.address, post("/v1/embeddings", &[], EMBED)).await.status(), 200);
            }
            g
        };
        // Some of these find the dead server; it is ejected, and all are answered by the other.
        let g = send(20).await;
        assert_eq!(steady.seen.borrow().len(), 20);
        let cold = StandIn::on(dead.listen(64).expect("it listens"), |_, _| vectors());
        while cold.seen.borrow().is_empty() {
            assert_eq!(ask(g.address, post("/v1/embeddings", &[], EMBED)).await.status(), 200);
            sleep(Duration::from_millis(5)).await;
        }
        let before = steady.seen.borrow().len();
        for _ in 0..60 {
            assert_eq!(ask(g.address, post("/v1/embeddings", &[], EMBED)).await.status(), 200);
        }
        // Even shares would be 30 and 30.
        let (cold, steady) = (cold.seen.borrow().len(), steady.seen.borrow().len() - before);
        assert!(cold < steady / 2, "{cold} to the cold server, {steady} to the other");
    });
}

/// Guards the rule on cold servers for one that a later file brings in.
#[test]
fn a_server_that_a_later_file_adds_is_spared_at_first() {
    run(async {
        let (steady, fresh) =
            (StandIn::start(|_, _| vectors()).await, StandIn::start(|_, _| vectors()).await);
        let g = gateway(file(&[("steady", &steady, false)], &[])).await;
        for _ in 0..20 {
            assert_eq!(ask(g.address, post("/v1/embeddings", &[], EMBED)).await.status(), 200);
        }
        g.second.reload(&file(&[("steady", &steady, false), ("fresh", &fresh, false)], &[]));
        for _ in 0..60 {
            assert_eq!(ask(g.address, post("/v1/embeddings", &[], EMBED)).await.status(), 200);
        }
        let (fresh, steady) = (fresh.seen.borrow().len(), steady.seen.borrow().len() - 20);
        assert!(fresh < steady / 2, "{fresh} to the new server, {steady} to the other");
    });
}

/// Guards the shared core: without a pool of its own, chat of this front goes to the platform's servers, through
/// both stages and under a class that is never repeated, and embeddings still have their own.
#[test]
fn chat_may_go_to_the_platforms_servers() {
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let writer = StandIn::start(|_, _| stream()).await;
        let embedder = StandIn::start(|_, _| vectors()).await;
        let settings = glenrail_settings::parse_settings(&json!({"quantum": 4.0,
            "services": [{"aim": 2000.0, "deadline": 10000.0, "semantics": "free"},
                {"aim": 2500.0, "deadline": 12000.0, "semantics": "single_shot"}],
            "domain": {"stage-of-kind": ["read", "write"], "pin-limit": 500.0},
            "policy-limits": {"max-attempts": 5, "cancel": true}}));
        let (slots, budget) = (Arc::new(Semaphore::new(100)), Budget::new(64 << 20));
        let limits = EngineLimits {
            connect_timeout: Duration::from_secs(5),
            probes: false,
            idle_timeout: AGES,
            server_api: ServerApi::Platform,
        };
        let classes = settings.classes.clone();
        let pool = Pool::new(1, settings, limits, slots.clone(), budget.clone());
        let (ids, kinds) = ([ServerId(1), ServerId(2)], [0, 1]);
        let member =
            |i: usize| ServerEntry { server: ids[i], kind: kinds[i], weight: 1.0, ..ServerEntry::default() };
        let dial = |i: usize, at: &StandIn| ServerAddress {
            server: ids[i],
            address: at.address.to_string(),
            is_serving: true,
            ..ServerAddress::default()
        };
        pool.engine.update_servers(true, &[dial(0, &reader), dial(1, &writer)], &[]);
        pool.core.update_servers(ListUpdate::Full, vec![member(0), member(1)]);
        let names = vec![("item-query".to_string(), 10_000.0), ("order-chat".to_string(), 12_000.0)];
        let platform = PlatformChat { names, classes, pool };
        let file = file(&[("e", &embedder, false)], &[]);
        let second =
            InferencePools::new(&file, Some(platform), &None, slots, budget, RequestMetrics::default())
                .expect("a front");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        spawn_local(server::serve(listener, second.front.clone(), 200, Shutdown::default()));
        let chat = r#"{"model":"c","messages":[{"role":"user","content":"hi"}],"stream":true}"#;
        let answer = ask(
            address,
            post("/v1/chat/completions", &[("req-id", "own"), ("req-kind", "item-query")], chat),
        )
        .await;
        assert_eq!((answer.status().as_u16(), answer.body().as_deref()), (200, Some(STREAM.as_bytes())));
        assert_eq!(ask(address, post("/v1/embeddings", &[], EMBED)).await.status(), 200);
        let (read, written) = (reader.seen.borrow()[0].clone(), writer.seen.borrow()[0].clone());
        assert_eq!(
            (&read.id, &read.headers["req-kind"]),
            (&written.id, &HeaderValue::from_static("order-chat"))
        );
        assert_eq!(read.headers.get_all("req-kind").iter().count(), 1);
        // The gateway names the request itself, so no client can take another's lease.
        assert_ne!(read.id, "own");
        assert_eq!((read.body, embedder.seen.borrow().len()), (chat.into(), 1));
    });
}

fn documents() -> String {
    let documents: Vec<String> =
        (0..500).map(|i| format!("item {i}: {}", "a shield of oak ".repeat(120))).collect();
    json!({"model": "r", "query": "a gift", "documents": documents}).to_string()
}

/// The share of chats answered whole within their aim, while so many batches are under way at once.
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
async fn chat_worth(batches: usize) -> (f64, usize) {
    // A stand-in serves eight at a time, each in 25 ms.
    let limited = |slots: usize, ms: u64| {
        let free = Rc::new(Cell::new(slots));
        move |_: usize, _: &Seen| {
            let left = free.get();
            if left == 0 {
                return Act::Answer(answer(503, &[("srv-declined", "1")], ""));
            }
            free.set(left - 1);
            spawn_local({
                let free = free.clone();
                async move {
                    sleep(Duration::from_millis(ms)).await;
                    free.set(free.get() + 1);
                }
            });
            let body = answer(200, &[("content-type", "text/event-stream")], STREAM);
            Act::Later(Duration::from_millis(ms), body)
        }
    };
    let talkers = [StandIn::start(limited(40, 25)).await, StandIn::start(limited(40, 25)).await];
    let embedders = [StandIn::start(limited(2, 60)).await, StandIn::start(limited(2, 60)).await];
    let g = gateway(file(
        &[("e1", &embedders[0], false), ("e2", &embedders[1], false)],
        &[("c1", &talkers[0], false), ("c2", &talkers[1], false)],
    ))
    .await;
    assert_eq!(g.file.max_body, 4 << 20);
    let answered = Rc::new(Cell::new(0));
    let body = documents();
    assert!(body.len() > 900_000, "500 documents of some length");
    let rush = (0..batches).map(|_| {
        let (address, body, answered) = (g.address, body.clone(), answered.clone());
        spawn_local(async move {
            let status = ask(address, post("/v1/rerank", &[], body)).await.status().as_u16();
            // One final answer each: served, or refused with leave to come again.
            assert!(status == 200 || status == 503, "{status}");
            answered.set(answered.get() + 1);
        })
    });
    let rush: Vec<_> = rush.collect();
    let aim = Duration::from_secs(5);
    let chats = (0..200u64).map(|i| {
        let address = g.address;
        spawn_local(async move {
            sleep(Duration::from_millis(10 * i)).await;
            let (start, words) = (Instant::now(), format!("hello {i}"));
            let chat =
                json!({"model": "c", "stream": true, "messages": [{"role": "user", "content": words}]});
            let answer = ask(address, post("/v1/chat/completions", &[], chat.to_string())).await;
            let whole = answer.body().as_deref() == Some(STREAM.as_bytes());
            (whole && start.elapsed() <= aim, start.elapsed())
        })
    });
    let chats: Vec<_> = chats.collect();
    let (mut good, mut times) = (0, Vec::new());
    for chat in chats {
        let (in_time, took) = chat.await.expect("a chat");
        good += usize::from(in_time);
        times.push(took);
    }
    for batch in rush {
        batch.await.expect("a batch");
    }
    let strays =
        talkers.iter().flat_map(|t| t.seen.borrow().clone()).filter(|s| s.path != "/v1/chat/completions");
    assert_eq!(strays.count(), 0, "a batch landed at a chat server");
    times.sort();
    println!(
        "{batches} batches: {good} of 200 chats in time, median {:?}, slowest {:?}",
        times[100], times[199]
    );
    (good as f64 / 200.0, answered.get())
}

/// The brief's claim: batches of 500 documents in a rush cost chat no more than 2% of its worth.
#[test]
fn a_rush_of_batches_leaves_chat_its_worth() {
    run(async {
        let (alone, _) = chat_worth(0).await;
        let (beside, answered) = chat_worth(24).await;
        assert_eq!(answered, 24);
        assert!(alone > 0.9, "{alone}");
        assert!(beside >= 0.98 * alone, "{beside} beside batches, {alone} alone");
    });
}

/// Guards streams of public APIs, whose servers pause and write slowly: no limit of the platform applies to them.
#[test]
fn a_slow_stream_of_a_public_server_is_not_cut() {
    let pause = Duration::from_millis(5_500);
    let paused = ["data: a\n\n", "data: b\n\n", "data: [DONE]\n\n"];
    let in_pieces = ["data: a\n\nda", "ta: b", "\n\ndata: [DONE]\n\n"];
    run(async move {
        let slow = async |parts: [&'static str; 3]| {
            let talker = StandIn::start(move |_, _| Act::Slowly(parts.to_vec(), pause)).await;
            let g = gateway(file(&[], &[("c", &talker, false)])).await;
            let chat = r#"{"model":"c","messages":[{"role":"user","content":"hi"}],"stream":true}"#;
            let answer = ask(g.address, post("/v1/chat/completions", &[], chat)).await;
            assert_eq!(answer.status(), 200);
            assert_eq!(answer.body().as_deref(), Some(parts.concat().as_bytes()));
        };
        tokio::join!(slow(paused), slow(in_pieces));
    });
}

/// Guards requests to public servers with time left: a head that comes in pieces is no failure.
#[test]
fn a_slow_head_of_a_public_server_is_read() {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    let talker = scripted::Engine::start(move |_, _| {
        scripted::Says::ByHand(Box::new(move |socket: &mut std::net::TcpStream| {
            use std::io::Write;
            for piece in head.as_bytes().chunks(10) {
                socket.write_all(piece).expect("written");
                std::thread::sleep(Duration::from_millis(250));
            }
            socket.write_all(b"9\r\ndata: a\n\n\r\n0\r\n\r\n").is_ok()
        }))
    });
    run(async move {
        let text = format!(
            "listen = '127.0.0.1:0'\n[chat]\nconnect_ms = 5000\nservers = [{{ name = 'c', dial = '{}' }}]",
            talker.address
        );
        let g = gateway(parse_front(&text).expect("a file")).await;
        let chat = r#"{"model":"c","messages":[{"role":"user","content":"hi"}],"stream":true}"#;
        let answer = ask(g.address, post("/v1/chat/completions", &[], chat)).await;
        assert_eq!((answer.status().as_u16(), answer.body().as_deref()), (200, Some(&b"data: a\n\n"[..])));
    });
}

/// Returns a public server that begins a stream with one event, and then writes these bytes, one piece each `pause`.
fn spoiling_talker(then: &'static str, piece: &'static str, pause: Duration) -> scripted::Engine {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    scripted::Engine::start(move |_, _| {
        scripted::Says::ByHand(Box::new(move |socket: &mut std::net::TcpStream| {
            use std::io::Write;
            write!(socket, "{head}9\r\ndata: a\n\n\r\n{then}").expect("written");
            let until = std::time::Instant::now() + Duration::from_millis(9_000);
            while std::time::Instant::now() < until && socket.write_all(piece.as_bytes()).is_ok() {
                std::thread::sleep(pause);
            }
            false
        }))
    })
}

/// Guards clients of public servers from being left waiting in a chunk or a size line that does not end, whatever comes in it.
#[test]
fn a_stream_of_a_public_server_ends_in_time_behind_malformed_framing() {
    let pause = Duration::from_millis(300);
    run(async move {
        let ends = async |then: &'static str, piece: &'static str| {
            let talker = spoiling_talker(then, piece, pause);
            let text = format!(
                "listen = '127.0.0.1:0'\n[chat]\nconnect_ms = 5000\nservers = [{{ name = 'c', dial = '{}' }}]",
                talker.address
            );
            let g = gateway(parse_front(&text).expect("a file")).await;
            let chat = r#"{"model":"c","messages":[{"role":"user","content":"hi"}],"stream":true}"#;
            let asked = Instant::now();
            let answer = ask(g.address, post("/v1/chat/completions", &[], chat)).await;
            assert_eq!((answer.status().as_u16(), answer.body()), (200, &None), "{then:?}");
            assert!(asked.elapsed() < Duration::from_secs(5), "{then:?}: {:?}", asked.elapsed());
        };
        tokio::join!(
            ends("c0000000\r\n", "data: b\n\n"),
            ends("7fffffffffffffff\r\n", ": comment\n\n"),
            ends("0", "0"),
            ends("9;a=", "b"),
        );
    });
}

/// Guards requests for embeddings from an answer that states gigabytes: it is a failed attempt at once, and another server
/// answers.
#[test]
fn an_answer_of_gigabytes_to_embeddings_is_a_failed_attempt() {
    let spoilt = scripted::Engine::start(move |_, _| {
        scripted::Says::ByHand(Box::new(move |socket: &mut std::net::TcpStream| {
            use std::io::Write;
            let head =
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 3221225472\r\n\r\n{";
            socket.write_all(head.as_bytes()).expect("written");
            std::thread::sleep(Duration::from_secs(9));
            false
        }))
    });
    run(async move {
        let sound = StandIn::start(|_, _| vectors()).await;
        let text = format!(
            "listen = '127.0.0.1:0'\n[embeddings]\nconnect_ms = 5000\nservers = [{{ name = 'a', dial = '{}' }}, \
             {{ name = 'b', dial = '{}' }}]",
            spoilt.address, sound.address
        );
        let g = gateway(parse_front(&text).expect("a file")).await;
        for _ in 0..4 {
            let asked = Instant::now();
            let answer = ask(g.address, post("/v1/embeddings", &[], EMBED)).await;
            assert_eq!(answer.status(), 200, "{:?}", answer.body());
            assert!(asked.elapsed() < Duration::from_secs(2), "{:?}", asked.elapsed());
        }
        assert!(spoilt.count("POST") > 0);
    });
}
