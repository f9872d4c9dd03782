//! The program itself: its errors, the importer, and the planned end by signal.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};

fn glenrail(args: &[&str], env: &[(&str, &str)]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_glenrail"));
    let command = command.args(args).env_clear().envs(env.iter().copied());
    command.output().expect("the program starts")
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

fn root(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(name)
}

#[test]
fn a_faulty_configuration_ends_the_program_and_names_the_key() {
    let bad_listen = file("bad_listen.json", r#"{"listen":"here","discovery":"127.0.0.1:1","settings":{}}"#);
    let bad_front = file("bad_front.toml", "listen = '127.0.0.1:0'\n[chat]\nservers = []\n");
    let bad_script = file("bad.rhai", "fn on_request(r) {");
    let path = |p: &PathBuf| p.to_str().expect("text").to_string();
    let front = path(&root("examples/front.toml"));
    type Case<'a> = (&'a [&'a str], &'a [(&'a str, &'a str)], &'a str);
    let cases: [Case; 6] = [
        (&[], &[], "EDGE_CONFIG"),
        (&[], &[("EDGE_CONFIG", "/nonexistent")], "EDGE_CONFIG"),
        (&[], &[("EDGE_CONFIG", &path(&bad_listen))], "listen"),
        (&["--front", &path(&bad_front)], &[], "chat.servers"),
        (&["--front", &front, "--plugin", &path(&bad_script)], &[], "--plugin"),
        (&["--unknown"], &[], "--unknown"),
    ];
    for (args, env, key) in cases {
        let out = glenrail(args, env);
        let said = String::from_utf8_lossy(&out.stderr).to_string();
        assert!(!out.status.success() && said.contains(key) && !said.contains("panicked"), "{key}: {said}");
    }
}

#[test]
fn the_files_that_come_with_the_program_load() {
    for name in ["examples/front.toml", "deploy/inference.toml"] {
        glenrail::config::front(&root(name)).expect(name);
    }
    glenrail::plugin::Plugin::load(&root("examples/plugin.rhai")).map(|_| ()).expect("the example plug-in");
}

#[test]
fn an_imported_file_loads_and_what_is_left_out_is_named_by_line() {
    let out = glenrail(&["import-haproxy", root("examples/haproxy.cfg").to_str().expect("text")], &[]);
    assert!(out.status.success());
    let text = String::from_utf8(out.stdout).expect("UTF-8");
    assert_eq!(glenrail::config::parse_front(&text).expect("it loads").max_connections, 300);
    let said = String::from_utf8_lossy(&out.stderr).to_string();
    assert!(said.contains("line 13") && said.contains("line 14"), "{said}");
    assert!(!glenrail(&["import-haproxy", "/nonexistent"], &[]).status.success());
}

struct Running(Child);

impl Running {
    /// Starts the program and reads from its first line where it listens.
    fn start(command: &mut Command, front: &str) -> (Running, SocketAddr) {
        let child = command.stderr(Stdio::piped()).spawn().expect("the program starts");
        let mut running = Running(child);
        let mut log = BufReader::new(running.0.stderr.take().expect("stderr"));
        let mut line = String::new();
        log.read_line(&mut line).expect("a line");
        let address = line.trim().rsplit_once(&format!("{front} front on ")).expect("where it listens").1;
        let address = address.parse().expect("an address");
        // The rest of its log is of no interest, but must go somewhere.
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        (running, address)
    }

    fn signal(&self, name: &str) {
        let id = self.0.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill").success());
    }

    fn terminate(&self) {
        self.signal("-TERM");
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards the way from the platform's configuration to a stream: the known list is used at once, discovery's list
/// after it; a new configuration moves discovery on SIGHUP and a faulty one changes nothing; SIGTERM in the middle
/// of a stream neither cuts it nor makes an error of the end, whatever SIGHUP comes after it.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn the_platforms_gateway_serves_and_shuts_down_gracefully() {
    use common::{answer, ask, post, read, run, stream, until, Act, StandIn, STREAM};
    run(async {
        let reader = StandIn::start(|_, _| read()).await;
        let writer = StandIn::start(|n, _| match n {
            0..3 => stream(),
            _ => {
                let slow = answer(200, &[("content-type", "text/event-stream")], STREAM);
                Act::Later(std::time::Duration::from_millis(1_200), slow)
            }
        })
        .await;
        let host = |name: &str, kind: &str, at: &StandIn| {
            serde_json::json!({"host": name, "dial": at.address.to_string(), "site": "dc", "class": kind,
                "block": 0, "health": "SERVING", "share": 1.0, "born_ms": 0})
        };
        let hosts = serde_json::json!([host("r", "prompt-side", &reader), host("w", "answer-side", &writer)]);
        let list = serde_json::json!({"seq": 3, "whole": true, "hosts": hosts}).to_string();
        let moved = StandIn::start(move |n, _| match n {
            0 => Act::Answer(answer(200, &[], list.clone())),
            _ => Act::Silence,
        })
        .await;
        let same = serde_json::json!({"seq": 8, "whole": true, "hosts": hosts}).to_string();
        let agent = StandIn::start(move |n, _| match n {
            0 => Act::Answer(answer(200, &[], same.clone())),
            _ => Act::Silence,
        })
        .await;
        let config = serde_json::json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
            "discovery": agent.address.to_string(), "limits": {"memory_mb": 192, "sockets": 1024},
            "known": {"seq": 7, "whole": true, "hosts": hosts},
            "settings": {"quantum": 4.0, "zones": ["dc"], "kinds": ["prompt-side", "answer-side"],
                "services": [{"name": "order-chat", "aim": 2500.0, "deadline": 12000.0, "semantics": "single_shot"}],
                "domain": {"stage-of-kind": ["read", "write"], "pin-limit": 500.0},
                "policy-limits": {"max-attempts": 5, "cancel": true, "dial-timeout": 5000.0}}});
        let mut later = config.clone();
        later["discovery"] = moved.address.to_string().into();
        let config = file("platform.json", &config.to_string());
        let mut command = Command::new(env!("CARGO_BIN_EXE_glenrail"));
        let (mut running, address) = Running::start(command.env("EDGE_CONFIG", &config), "platform");
        let chat = || {
            ask(address, post("/v1/chat/completions", &[("req-id", "a1"), ("req-kind", "order-chat")], "{}"))
        };
        let served = chat().await;
        assert_eq!((served.status().as_u16(), served.body().as_deref()), (200, Some(STREAM.as_bytes())));
        until(|| !agent.seen.borrow().is_empty()).await;
        assert_eq!(agent.seen.borrow()[0].path, "/v1/endpoints");
        for text in ["{ half", r#"{"listen": 7, "discovery": "127.0.0.1:1"}"#] {
            std::fs::write(&config, text).expect("a file");
            running.signal("-HUP");
            assert_eq!(chat().await.status(), 200);
        }
        std::fs::write(&config, later.to_string()).expect("a file");
        running.signal("-HUP");
        until(|| moved.seen.borrow().len() == 2).await;
        assert_eq!(moved.seen.borrow()[0].path, "/v1/endpoints");
        let slow = chat();
        tokio::pin!(slow);
        tokio::select! {
            _ = &mut slow => panic!("the answer takes longer"),
            () = until(|| writer.count("POST") == 4) => {}
        }
        running.terminate();
        running.signal("-HUP");
        let slow = slow.await;
        assert_eq!((slow.status().as_u16(), slow.body().as_deref()), (200, Some(STREAM.as_bytes())));
        let mut ended = None;
        until(|| {
            ended = running.0.try_wait().expect("a state");
            ended.is_some()
        })
        .await;
        assert!(ended.expect("an end").success());
    });
}

/// Guards the planned end: SIGTERM lets the program finish and end by itself, without an error.
#[test]
fn sigterm_shuts_the_program_down_gracefully() {
    let text = "listen = '127.0.0.1:0'\n[chat]\nservers = [{ name = 'c', dial = '127.0.0.1:1' }]\n";
    let front = file("sigterm.toml", text);
    let mut command = Command::new(env!("CARGO_BIN_EXE_glenrail"));
    let (mut running, address) = Running::start(command.arg("--front").arg(&front), "second");
    let mut client = TcpStream::connect(address).expect("a connection");
    client.write_all(b"GET /ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").expect("sent");
    let mut said = String::new();
    client.read_to_string(&mut said).expect("an answer");
    assert!(said.starts_with("HTTP/1.1 200"), "{said}");
    running.terminate();
    assert!(running.0.wait().expect("an end").success());
}

/// Guards new connections from a process that has ended to accept but still finishes its streams: they are refused, for
/// the client to go elsewhere at once, and do not wait in a queue that nobody reads.
#[test]
fn after_accepting_has_ended_a_connection_is_refused() {
    use common::{ask, post, run, until, Act, StandIn, STREAM};
    run(async {
        let parts = || STREAM.split_inclusive("\n\n").collect();
        let pause = std::time::Duration::from_millis(1_000);
        let server = StandIn::start(move |_, _| Act::Slowly(parts(), pause)).await;
        let text = "listen = '127.0.0.1:0'\n[chat]\nservers = [{ name = 'c', dial = 'AT' }]\n";
        let front = file("refuses.toml", &text.replace("AT", &server.address.to_string()));
        let mut command = Command::new(env!("CARGO_BIN_EXE_glenrail"));
        let (running, address) = Running::start(command.arg("--front").arg(&front), "second");
        let chat = r#"{"model":"c","stream":true,"messages":[{"role":"user","content":"hi"}]}"#;
        let slow = ask(address, post("/v1/chat/completions", &[], chat));
        tokio::pin!(slow);
        tokio::select! {
            _ = &mut slow => panic!("the answer takes longer"),
            () = until(|| server.count("POST") == 1) => {}
        }
        running.terminate();
        // One after another, sooner than any pause for which accepting would wait.
        let refused = tokio::task::spawn_blocking(move || {
            while TcpStream::connect(address).is_ok() {
                std::thread::sleep(std::time::Duration::from_micros(300));
            }
        });
        tokio::select! {
            _ = &mut slow => panic!("a new connection is taken to the end and never served"),
            refused = refused => refused.expect("refused in the end"),
        }
        let slow = slow.await;
        assert_eq!((slow.status().as_u16(), slow.body().as_deref()), (200, Some(STREAM.as_bytes())));
    });
}

/// Guards the start (30 s at most): with discovery silent a gateway is ready by the list that it was started with, and
/// without one as soon as discovery can be reached.
#[test]
fn a_gateway_is_ready_soon_whatever_discovery_does() {
    use common::{answer, ask, reserved, run, Act, StandIn};
    use std::time::Duration;
    use tokio::time::{sleep, timeout};
    let start = |name: &str, discovery: SocketAddr, known: &serde_json::Value| {
        let config = serde_json::json!({"listen": "127.0.0.1:0", "discovery": discovery.to_string(), "known": known,
            "settings": {"kinds": ["read", "write"], "services": [{"deadline": 12000.0}],
                "domain": {"stage-of-kind": ["read", "write"]}}});
        let config = file(name, &config.to_string());
        let mut command = Command::new(env!("CARGO_BIN_EXE_glenrail"));
        Running::start(command.env("EDGE_CONFIG", &config), "platform")
    };
    let ready = |address: SocketAddr| async move {
        let request = http::Request::get("/ready").body(http_body_util::Full::default());
        ask(address, request.expect("a request")).await.status() == 200
    };
    let soon = |address: SocketAddr| async move {
        let ready = async { while !ready(address).await {} };
        timeout(Duration::from_secs(10), ready).await.expect("ready soon");
    };
    run(async {
        let host = |name: &str, kind: &str| serde_json::json!({"host": name, "dial": "127.0.0.1:1", "class": kind, "health": "SERVING"});
        let hosts = [host("r", "read"), host("w", "write")];
        let list = serde_json::json!({"seq": 7, "whole": true, "hosts": hosts});
        let silent = StandIn::start(|_, _| Act::Silence).await;
        let (_running, address) = start("silent.json", silent.address, &list);
        soon(address).await;
        let (dead, refuses) = reserved();
        let (_running, address) = start("refuses.json", refuses, &serde_json::Value::Null);
        sleep(Duration::from_millis(1_000)).await;
        assert!(!ready(address).await, "there is no list yet");
        let list = list.to_string();
        let told = move |n, _: &common::Seen| match n {
            0 => Act::Answer(answer(200, &[], list.clone())),
            _ => Act::Silence,
        };
        let _agent = StandIn::on(dead.listen(8).expect("it listens"), told);
        soon(address).await;
    });
}
