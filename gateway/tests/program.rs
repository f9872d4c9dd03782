//! The program itself: its errors, the importer, and the planned end by signal.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
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
    assert_eq!(glenrail::config::front_from(&text).expect("it loads").max_connections, 300);
    let said = String::from_utf8_lossy(&out.stderr).to_string();
    assert!(said.contains("line 13") && said.contains("line 14"), "{said}");
    assert!(!glenrail(&["import-haproxy", "/nonexistent"], &[]).status.success());
}

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards the planned end: SIGTERM lets the program finish and end by itself, without an error.
#[test]
fn sigterm_ends_the_program_in_good_order() {
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    let text = format!("listen = '{free}'\n[chat]\nservers = [{{ name = 'c', dial = '127.0.0.1:1' }}]\n");
    let front = file("sigterm.toml", &text);
    let child = Command::new(env!("CARGO_BIN_EXE_glenrail"))
        .args(["--front", front.to_str().expect("text")])
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut running = Running(child);
    let mut log = BufReader::new(running.0.stderr.take().expect("stderr"));
    let mut line = String::new();
    log.read_line(&mut line).expect("a line");
    assert!(line.contains("second front"), "{line}");
    let mut client = TcpStream::connect(free).expect("a connection");
    client.write_all(b"GET /ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").expect("sent");
    let mut said = String::new();
    client.read_to_string(&mut said).expect("an answer");
    assert!(said.starts_with("HTTP/1.1 200"), "{said}");
    let id = running.0.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &id]).status().expect("kill").success());
    assert!(running.0.wait().expect("an end").success());
}
