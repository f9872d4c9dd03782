//! Turns an HAProxy configuration into the second front's file. What it does not take over it names by line;
//! nothing is left out in silence.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use crate::config::{front_from, Front, Pool, Server};

/// What became of a file.
#[derive(Debug)]
pub struct Imported {
    /// The second front's file.
    pub text: String,
    /// Number of a line and why it was not taken over.
    pub left_out: Vec<(usize, String)>,
}

#[derive(Default)]
struct Backend {
    line: usize,
    servers: Vec<Server>,
    connect_ms: Option<u64>,
    server_ms: Option<u64>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Use {
    Embeddings,
    Chat,
}

#[derive(Default)]
struct Reading {
    left_out: Vec<(usize, String)>,
    bind: Option<(usize, String)>,
    max_connections: Option<usize>,
    /// Figures of `defaults`.
    defaults: Backend,
    client_ms: Option<u64>,
    backends: BTreeMap<String, Backend>,
    acls: BTreeMap<String, Use>,
    /// Which backend a rule names: its line, and for what (`None`: for the rest).
    rules: Vec<(usize, Option<Use>, String)>,
}

pub fn import(path: &Path) -> Result<(), String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let imported = convert(&text)?;
    for (line, why) in &imported.left_out {
        eprintln!("{}: line {line}: not taken over: {why}", path.display());
    }
    print!("{}", imported.text);
    Ok(())
}

pub fn convert(text: &str) -> Result<Imported, String> {
    let mut r = Reading::default();
    let mut section = (String::new(), String::new());
    for (i, raw) in text.lines().enumerate() {
        let line = i + 1;
        let words: Vec<&str> = raw.split('#').next().unwrap_or("").split_whitespace().collect();
        match words.as_slice() {
            [] => {}
            [kind @ ("global" | "defaults" | "frontend" | "backend" | "listen"), rest @ ..] => {
                let name = rest.first().unwrap_or(&"").to_string();
                section = (kind.to_string(), name.clone());
                if matches!(*kind, "backend" | "listen") {
                    r.backends.entry(name.clone()).or_default().line = line;
                }
                if *kind == "listen" {
                    r.rules.push((line, None, name));
                }
            }
            words => {
                if let Err(why) = r.take(line, (&section.0, &section.1), words) {
                    r.left_out.push((line, why));
                }
            }
        }
    }
    r.finish()
}

impl Reading {
    fn take(&mut self, line: usize, (kind, name): (&str, &str), words: &[&str]) -> Result<(), String> {
        let unknown = || Err(format!("{:?} has no counterpart", words.join(" ")));
        match (kind, words) {
            ("", _) => Err("stands before the first section".into()),
            ("frontend" | "listen", ["bind", address, more @ ..]) => {
                if let Some((first, _)) = &self.bind {
                    return Err(format!("one address is served, that of line {first}"));
                }
                self.bind = Some((line, address_of(address).ok_or("no address:port")?));
                extra(more)
            }
            ("global" | "defaults" | "frontend" | "listen", ["maxconn", n]) => {
                let n = n.parse().ok().filter(|n| *n > 0).ok_or("no number above 0")?;
                self.max_connections = Some(self.max_connections.map_or(n, |m| m.min(n)));
                Ok(())
            }
            ("defaults" | "frontend" | "backend" | "listen", ["mode", "http"]) => Ok(()),
            ("defaults" | "frontend" | "backend" | "listen", ["timeout", which, time]) => {
                let ms = milliseconds(time).ok_or_else(|| format!("{time:?} is no time"))?;
                let backend = match kind {
                    "backend" | "listen" => self.backends.entry(name.to_string()).or_default(),
                    _ => &mut self.defaults,
                };
                match *which {
                    "connect" => backend.connect_ms = Some(ms),
                    "server" => backend.server_ms = Some(ms),
                    "client" => self.client_ms = Some(ms),
                    _ => return unknown(),
                }
                Ok(())
            }
            ("frontend" | "listen", ["acl", acl, test, paths @ ..]) => {
                self.acls
                    .insert(acl.to_string(), path_use(test, paths).ok_or("only tests of the API's paths")?);
                Ok(())
            }
            ("frontend" | "listen", ["default_backend", backend]) => {
                self.rules.push((line, None, backend.to_string()));
                Ok(())
            }
            ("frontend" | "listen", ["use_backend", backend, "if", test @ ..]) => {
                let what = match test {
                    ["{", test, paths @ .., "}"] => path_use(test, paths),
                    [acl] => self.acls.get(*acl).copied(),
                    _ => None,
                };
                let what = what.ok_or("only tests of the API's paths, one at a time")?;
                self.rules.push((line, Some(what), backend.to_string()));
                Ok(())
            }
            ("backend" | "listen", ["server", server, address, options @ ..]) => {
                let dial = address_of(address).ok_or("a server needs an IP address and a port")?;
                let (server, left) = server_of(server, dial, options);
                self.backends.entry(name.to_string()).or_default().servers.push(server);
                extra(&left)
            }
            _ => unknown(),
        }
    }

    fn finish(mut self) -> Result<Imported, String> {
        let (_, listen) = self.bind.take().ok_or("no bind line that could be taken over")?;
        let mut chosen: [Option<(usize, String)>; 2] = [None, None];
        // Rules with a test come before the rest, as they do in HAProxy.
        self.rules.sort_by_key(|r| r.1.is_none());
        for (line, what, name) in std::mem::take(&mut self.rules) {
            if !self.backends.contains_key(&name) {
                self.left_out.push((line, format!("there is no backend {name:?}")));
                continue;
            }
            let by_name =
                if name.contains("embed") || name.contains("rerank") { Use::Embeddings } else { Use::Chat };
            let what = what.unwrap_or(by_name);
            let place = &mut chosen[usize::from(what == Use::Chat)];
            match place {
                Some((_, taken)) if *taken != name => {
                    let why = format!("{taken:?} has that part already, and a part has one backend");
                    self.left_out.push((line, why));
                }
                _ => *place = Some((line, name)),
            }
        }
        for (name, backend) in &self.backends {
            if !chosen.iter().flatten().any(|(_, n)| n == name) {
                self.left_out
                    .push((backend.line, format!("backend {name:?} is used by no rule that was taken")));
            }
        }
        let mut server_ms = None;
        let mut pool = |chosen: &Option<(usize, String)>| {
            let backend = &self.backends[&chosen.as_ref()?.1];
            let waits = backend.server_ms.or(self.defaults.server_ms);
            server_ms = server_ms.max(waits);
            let mut pool: Pool = toml::from_str("").ok()?;
            pool.connect_ms = backend.connect_ms.or(self.defaults.connect_ms).unwrap_or(pool.connect_ms);
            pool.servers = backend.servers.clone();
            Some(pool)
        };
        let (embeddings, chat) = (pool(&chosen[0]), pool(&chosen[1]));
        let mut front: Front = toml::from_str(&format!("listen = {listen:?}")).map_err(|e| e.to_string())?;
        front.max_connections = self.max_connections.unwrap_or(front.max_connections);
        front.deadline_ms = server_ms.unwrap_or(front.deadline_ms);
        front.max_deadline_ms = self.client_ms.unwrap_or(front.max_deadline_ms).max(front.deadline_ms);
        (front.embeddings, front.chat) = (embeddings, chat);
        self.left_out.sort();
        let mut text = String::from("# From an HAProxy configuration.\n");
        for (line, why) in &self.left_out {
            text += &format!("# line {line} was not taken over: {why}\n");
        }
        text += &toml::to_string(&front).map_err(|e| e.to_string())?;
        // What comes out must load; else say why it cannot.
        front_from(&text).map_err(|e| format!("nothing that could be served comes out: {e}"))?;
        Ok(Imported { text, left_out: self.left_out })
    }
}

fn extra(words: &[&str]) -> Result<(), String> {
    match words {
        [] => Ok(()),
        words => Err(format!("of this line, {:?} has no counterpart; the rest was taken", words.join(" "))),
    }
}

fn address_of(text: &str) -> Option<String> {
    let text = text.strip_prefix("ipv4@").unwrap_or(text);
    let port = text.strip_prefix("*:").or(text.strip_prefix(':'));
    let address = port.map_or(text.to_string(), |p| format!("0.0.0.0:{p}"));
    address.parse::<SocketAddr>().ok().map(|_| address)
}

/// A server and the options that are not taken over.
fn server_of<'a>(name: &str, dial: String, options: &[&'a str]) -> (Server, Vec<&'a str>) {
    let mut server = Server { name: name.to_string(), dial, weight: 1.0, drain: false };
    let mut left = Vec::new();
    let mut options = options.iter();
    while let Some(option) = options.next() {
        match *option {
            "weight" => match options.next().map(|w| (*w, w.parse::<u32>())) {
                // No weight means no new work, which is what a drain is.
                Some((_, Ok(0))) => server.drain = true,
                Some((_, Ok(w))) => server.weight = f64::from(w) / 100.0,
                Some((word, Err(_))) => left.extend(["weight", word]),
                None => left.push("weight"),
            },
            "disabled" => server.drain = true,
            other => left.push(other),
        }
    }
    (server, left)
}

/// Which of the API's parts a test of the path selects.
fn path_use(test: &str, paths: &[&str]) -> Option<Use> {
    if !matches!(test, "path" | "path_beg") || paths.is_empty() {
        return None;
    }
    let one = |path: &&str| match *path {
        "/v1/embeddings" | "/v1/rerank" => Some(Use::Embeddings),
        "/v1/chat" | "/v1/chat/" | "/v1/chat/completions" => Some(Use::Chat),
        _ => None,
    };
    let first = one(&paths[0]);
    first.filter(|_| paths.iter().all(|p| one(p) == first))
}

fn milliseconds(text: &str) -> Option<u64> {
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let number: u64 = digits.parse().ok().filter(|n| *n > 0)?;
    Some(match &text[digits.len()..] {
        "" | "ms" => number,
        "s" => number.checked_mul(1_000)?,
        "m" => number.checked_mul(60_000)?,
        "h" => number.checked_mul(3_600_000)?,
        "us" => number.div_ceil(1_000),
        _ => return None,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    const FILE: &str = "\
global
    maxconn 300
    daemon
defaults
    mode http
    timeout connect 200ms
    timeout server 20s
    timeout client 1m
frontend search
    bind 127.0.0.1:8080 ssl
    use_backend vectors if { path_beg /v1/embeddings /v1/rerank }
    default_backend talk   # the rest
backend vectors
    balance leastconn
    server e1 127.0.0.1:9001 weight 50 check
    server e2 127.0.0.1:9002 disabled
backend talk
    server c1 127.0.0.1:9101
    server c2 chat.internal:80
backend unused
    server u 127.0.0.1:9
";

    #[test]
    fn a_file_is_turned_into_one_that_loads() {
        let imported = convert(FILE).expect("a file");
        let front = front_from(&imported.text).expect("it loads");
        assert_eq!((front.listen.as_str(), front.max_connections), ("127.0.0.1:8080", 300));
        assert_eq!((front.deadline_ms, front.max_deadline_ms), (20_000, 60_000));
        let embeddings = front.embeddings.expect("a pool");
        assert_eq!((embeddings.connect_ms, embeddings.servers[0].weight), (200, 0.5));
        assert!(embeddings.servers[1].drain);
        assert_eq!(front.chat.expect("a pool").servers.len(), 1);
    }

    /// Guards against a line that is dropped in silence.
    #[test]
    fn every_line_left_out_is_named() {
        let lines: Vec<usize> = convert(FILE).expect("a file").left_out.iter().map(|l| l.0).collect();
        assert_eq!(lines, [3, 10, 14, 15, 19, 20]);
    }

    #[test]
    fn a_file_with_nothing_to_serve_is_an_error() {
        for text in ["", "frontend f\n bind 127.0.0.1:1\n default_backend b\nbackend b\n", "backend b\n"] {
            assert!(convert(text).is_err(), "{text}");
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

        /// Whatever the text, there is no panic, and what comes out loads.
        #[test]
        fn any_text_is_survived(lines in prop::collection::vec(
            prop::sample::select(FILE.lines().collect::<Vec<_>>()), 0..30), noise in ".{0,40}") {
            if let Ok(imported) = convert(&format!("{}\n{noise}", lines.join("\n"))) {
                prop_assert!(front_from(&imported.text).is_ok());
            }
        }
    }
}
