//! Nothing of one deployment: what its classes, tenants, zones and kinds are called, and in which order its settings tell
//! them, decides nothing; and no name of a known deployment stands in the program.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use glenrail::config::{platform, Platform};
use glenrail_router::*;
use proptest::prelude::*;
use serde_json::{json, Value};

const CLASSES: usize = 3;
const TENANTS: usize = 3;
const ZONES: usize = 3;
const KINDS: usize = 3;

/// What the settings call each class, tenant, zone and kind, and at which place they tell of it.
#[derive(Clone, Debug)]
struct Naming {
    names: Vec<String>,
    classes: Vec<usize>,
    tenants: Vec<usize>,
    zones: Vec<usize>,
    kinds: Vec<usize>,
}

impl Naming {
    fn class(&self, n: usize) -> &str {
        &self.names[n]
    }
    fn tenant(&self, n: usize) -> &str {
        &self.names[CLASSES + n]
    }
    fn zone(&self, n: usize) -> &str {
        &self.names[CLASSES + TENANTS + n]
    }
    fn kind(&self, n: usize) -> &str {
        &self.names[CLASSES + TENANTS + ZONES + n]
    }

    fn settings(&self, routers: u32) -> Value {
        let class = |n: &usize| {
            let effect = ["free", "single_shot", "guarded"][*n];
            json!({"name": self.class(*n), "aim": 1000.0 + 500.0 * *n as f64, "deadline": 6000.0 + 2000.0 * *n as f64,
                "worth": 1 + n, "late-worth": 0.1, "semantics": effect, "group": "zone", "window": 2000.0})
        };
        let per_token = |n: &usize| 40_000.0 + 1_000.0 * *n as f64;
        let allowance = |n: usize| [1.0, 5.0, 40.0][n];
        let tenant = |n: &usize| json!({"name": self.tenant(*n), "allowance-per-s": allowance(*n)});
        let role = |n: &usize| ["read", "write", "both"][*n];
        json!({"balancers": routers, "quantum": 4.0, "zones": self.zones.iter().map(|n| self.zone(*n)).collect::<Vec<_>>(),
            "kinds": self.kinds.iter().map(|n| self.kind(*n)).collect::<Vec<_>>(),
            "services": self.classes.iter().map(class).collect::<Vec<_>>(),
            "tenants": self.tenants.iter().map(tenant).collect::<Vec<_>>(),
            "domain": {"stage-of-kind": self.kinds.iter().map(role).collect::<Vec<_>>(),
                "tokens-by-kind": self.kinds.iter().map(|n| 1e5 + 5e4 * *n as f64).collect::<Vec<_>>(),
                "aim-us-per-1000-prompt-tokens": self.classes.iter().map(per_token).collect::<Vec<_>>(),
                "pin-limit": 500.0, "move-fee": 0.03},
            "policy-limits": {"max-attempts": 5, "cancel": true, "retry-after": true, "max-retry-after": 500.0,
                "probes": true, "dial-timeout": 250.0},
            "prices": {"probe": 0.003}, "over-share-worth": 0.1,
            "rules": {"cold": 13000.0, "cold-from": 0.31, "fall": 3000.0, "fall-multiple": 4.0}})
    }

    /// The program's own reading of a configuration with these names.
    fn read(&self, routers: u32) -> Platform {
        let file = format!("names-{}-{:?}.json", std::process::id(), std::thread::current().id());
        let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
        let config =
            json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": self.settings(routers)});
        std::fs::write(&file, config.to_string()).expect("a file");
        let told = BTreeMap::from([("EDGE_CONFIG", file.display().to_string())]);
        let read = platform(|name| told.get(name).cloned()).expect("a configuration").expect("a platform");
        std::fs::remove_file(&file).expect("removed");
        read
    }
}

fn place(names: &[String], name: &str) -> u32 {
    names.iter().position(|n| n == name).expect("a known name") as u32
}

fn member(p: &Platform, naming: &Naming, n: usize) -> ServerEntry {
    let (kind, zone) =
        (place(&p.kinds, naming.kind(n % KINDS)), place(&p.zones, naming.zone(n / KINDS % ZONES)));
    let started = n.is_multiple_of(4).then_some(1.0);
    ServerEntry {
        server: ServerId(n as u64 + 1),
        zone,
        cell: zone,
        kind,
        weight: 1.0,
        started,
        ..ServerEntry::default()
    }
}

/// What the settings say of each class, tenant and kind, in an order of the test's own.
fn read_back(naming: &Naming, routers: u32) -> Vec<String> {
    let p = naming.read(routers);
    let at = |names: &[String], name| place(names, name) as usize;
    let classes = (0..CLASSES).map(|n| format!("{:?}", p.settings.classes[at(&p.classes, naming.class(n))]));
    let tenants = (0..TENANTS).map(|n| format!("{:?}", p.settings.tenants[at(&p.tenants, naming.tenant(n))]));
    let kinds = (0..KINDS).map(|n| format!("{:?}", p.settings.kinds[at(&p.kinds, naming.kind(n))]));
    classes.chain(tenants).chain(kinds).collect()
}

/// What the router decides over a stretch of requests, each of which is answered as its server's place in the list says:
/// some read, some fail, some are full.
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn decisions(naming: &Naming, routers: u32, asked: &[(usize, usize, u64)]) -> Vec<Action> {
    let p = naming.read(routers);
    let mut router = Router::new(5, p.settings.clone());
    let members = (0..12).map(|n| member(&p, naming, n)).collect();
    let mut decided = Vec::new();
    router.handle(1.0, Event::ServerList { update: ListUpdate::Full, servers: members }, &mut decided);
    let (mut done, mut tries) = (0, BTreeMap::<RequestId, u32>::new());
    for (n, (class, tenant, session)) in asked.iter().enumerate() {
        let (now, id) = (10.0 + 25.0 * n as f64, RequestId(n as u64));
        let ask = Request {
            id,
            class: place(&p.classes, naming.class(*class)),
            tenant: place(&p.tenants, naming.tenant(*tenant)),
            session: *session,
            prefix: Some(session % 3),
            prompt_tokens: 2_000.0,
            prefix_tokens: 1_000.0,
            max_tokens: 200.0,
            client_timeout: 4_000.0,
            ..Request::default()
        };
        router.handle(now, Event::Request(ask), &mut decided);
        // An answer to each send and probe, whatever it leads to; the end of a chain is that all servers were tried.
        while let Some(action) = decided.get(done).cloned() {
            done += 1;
            let report =
                Some(LoadReport { in_flight: Some(1.0), memory_share: Some(0.3), ..LoadReport::default() });
            match action {
                Action::Probe { server } => {
                    let status = AttemptStatus::Served;
                    router.handle(
                        now,
                        Event::ProbeResult { server, status, elapsed: 5.0, report },
                        &mut decided,
                    );
                }
                Action::Send { id, server, .. } => {
                    let next = tries.entry(id).or_default();
                    let attempt = std::mem::replace(next, *next + 1);
                    let role = (server.0 as usize - 1) % KINDS;
                    let status = match (server.0 + id.0) % 7 {
                        0 => AttemptStatus::Error,
                        1 => AttemptStatus::Rejected,
                        _ if role == 0 => AttemptStatus::Prefilled,
                        _ => AttemptStatus::Served,
                    };
                    let closed = status == AttemptStatus::Served;
                    let (elapsed, status_detail) = (50.0, 0.0);
                    let arrived = status.may_have_arrived();
                    let outcome = AttemptOutcome {
                        id,
                        attempt,
                        server,
                        status,
                        elapsed,
                        status_detail,
                        closed,
                        delivered: arrived,
                        report,
                    };
                    router.handle(now + 5.0, Event::Outcome(outcome), &mut decided);
                }
                Action::Timer { at, key, .. } if at <= now + 25.0 => {
                    router.handle(at.max(now), Event::Timer { key }, &mut decided);
                }
                _ => {}
            }
        }
    }
    decided
}

/// Names of every kind, some of them odd, no two alike.
fn naming() -> impl Strategy<Value = Naming> {
    // A header carries no blank at its value's ends.
    let name =
        "[a-z0-9-]{1,12}|\\PC{1,8}".prop_filter("a blank at an end", |name: &String| name == name.trim());
    let names = prop::collection::btree_set(name, CLASSES + TENANTS + ZONES + KINDS);
    let names = names.prop_map(|names| names.into_iter().collect::<Vec<_>>()).prop_shuffle();
    let order = |n: usize| Just((0..n).collect::<Vec<_>>()).prop_shuffle();
    (names, order(CLASSES), order(TENANTS), order(ZONES), order(KINDS))
        .prop_map(|(names, classes, tenants, zones, kinds)| Naming { names, classes, tenants, zones, kinds })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Whatever a deployment calls its classes, tenants, zones and kinds, and in whichever order it tells them, the same
    /// requests lead to the same decisions.
    #[test]
    fn names_and_their_order_decide_nothing(
        one in naming(), other in naming(), routers in prop::sample::select(vec![1u32, 3, 30, 300]),
        asked in prop::collection::vec((0..CLASSES, 0..TENANTS, 0u64..9), 20..80),
    ) {
        let (some, others) = (decisions(&one, routers, &asked), decisions(&other, routers, &asked));
        prop_assert_eq!(read_back(&one, routers), read_back(&other, routers));
        prop_assert!(some.iter().any(|a| matches!(a, Action::Send { .. })), "nothing was sent");
        prop_assert_eq!(some, others);
    }
}

/// What the known deployments call themselves, their fleets, zones, kinds, classes and tenants.
const NAMES: [&str; 21] = [
    "shop-assist-ahd",
    "ahd-dc1",
    "model-fleet",
    "prompt-side",
    "answer-side",
    "item-query",
    "order-chat",
    "jyvaskyla",
    "hall-a",
    "hall-b",
    "hall-c",
    "report-fleet",
    "mark-entry",
    "bluebonnet",
    "kiln-assist",
    "member-chat",
    "slot-plan",
    "book-firing",
    "hill-country-clay",
    "gulf-coast-pottery",
    "panhandle-kilns",
];
/// The same, where the name is a word that may stand within another text: a literal may not be just that.
const WORDS: [&str; 7] = ["prefill", "decode", "mixed", "feedback", "plano", "irving", "garland"];

/// The text literals of a source, without comments.
fn literals(source: &str) -> Vec<String> {
    let mut found = Vec::new();
    let mut rest = source.chars().peekable();
    while let Some(c) = rest.next() {
        match c {
            '/' if rest.peek() == Some(&'/') => while rest.next().is_some_and(|c| c != '\n') {},
            '\'' => {
                // A character, which may be a quotation mark, or a lifetime.
                let mut ahead = rest.clone();
                match (ahead.next(), ahead.next()) {
                    (Some('\\'), _) => _ = rest.nth(1),
                    (Some(_), Some('\'')) => _ = rest.nth(1),
                    _ => {}
                }
            }
            '"' => {
                let mut text = String::new();
                while let Some(c) = rest.next().filter(|c| *c != '"') {
                    text.push(c);
                    if c == '\\' {
                        text.extend(rest.next());
                    }
                }
                found.push(text);
            }
            _ => {}
        }
    }
    found
}

fn sources(folder: &Path, into: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, into);
        } else if path.extension().is_some_and(|e| e == "rs")
            && path.file_name().is_some_and(|n| n != "tests.rs")
        {
            into.push(path);
        }
    }
}

fn named(literal: &str) -> bool {
    NAMES.iter().any(|name| literal.contains(name)) || WORDS.contains(&literal)
}

#[test]
fn no_name_of_a_deployment_stands_in_the_program() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut files = Vec::new();
    let crates = std::fs::read_dir(root.join("crates")).expect("a folder");
    let crates = crates.map(|entry| entry.expect("an entry").path().join("src"));
    let program = ["gateway/src", "simulator-adapter/src"].map(|folder| root.join(folder));
    program.into_iter().chain(crates).for_each(|folder| sources(&folder, &mut files));
    assert!(files.len() > 80, "{} files", files.len());
    let mut read = 0;
    for file in files {
        let text = std::fs::read_to_string(&file).expect("a source");
        // Tests stand last in a file.
        let program = text.split("#[cfg(test)]\nmod tests {").next().unwrap_or_default();
        let literals = literals(program);
        read += literals.len();
        let names: Vec<&String> = literals.iter().filter(|l| named(l)).collect();
        assert!(names.is_empty(), "{}: {names:?}", file.display());
    }
    assert!(read > 500, "{read} literals");
    // The check itself: what it finds, and what it leaves.
    let source = "// \"plano\"\nlet a = '\"'; let b: &'a str = \"hall-a \\\" x\"; expect(\"decode it\"); f(\"decode\")";
    assert_eq!(literals(source).iter().filter(|l| named(l)).count(), 2);
}
