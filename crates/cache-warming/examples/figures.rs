//! Effect of cache warming: in a small simulated fleet of three gateways, three of ten prefill servers are
//! replaced, with warming and without.
//! `cargo run --release -p glenrail-cache-warming --example figures`

use std::collections::HashMap;

use glenrail_cache_warming::assignments::HandOver;
use glenrail_cache_warming::cutover::{Cutover, Input, Side, State, Terms};
use glenrail_cache_warming::plan::{plan, Facts, Plan, Target};
use glenrail_cache_warming::rendezvous::mix;
use glenrail_cache_warming::sketch::Sketch;
use glenrail_cache_warming::sketch_codec::{from_bytes, to_bytes};
use glenrail_cache_warming::{Beginning, Member, Model, Node, Team};

const BEGINNINGS: u64 = 3000;
const REQUESTS_A_SECOND: u64 = 120;
const MEMORY_TOKENS: u64 = 400_000;
const READS_A_SECOND: u64 = 40_000;
const HALF_LIFE: u64 = 30_000;
const CAPACITY: usize = 1024;
/// Maximum size of an encoded sketch in the fleet's table (bytes); the table's whole state is sent over TCP.
const ROOM: usize = 32_768;
/// Time at which the replacements are ordered (ms).
const REPLACED: u64 = 120_000;
const TERMS: Terms = Terms {
    slices: 16,
    target: 0.9,
    gap: 500,
    deadline: 30_000,
    least_found: 0.5,
    enough: 50_000,
    settle: 5_000,
};

/// Prompt tokens cached at a node. The least recently used ones are evicted first.
#[derive(Default)]
struct Kept {
    at: HashMap<u64, (u32, u64)>,
    tokens: u64,
    turn: u64,
}

impl Kept {
    fn find(&mut self, prefix: u64, tokens: u32) -> bool {
        self.turn += 1;
        let found = self.at.insert(prefix, (tokens, self.turn)).is_some();
        self.tokens += if found { 0 } else { u64::from(tokens) };
        while self.tokens > MEMORY_TOKENS {
            let Some((oldest, (tokens, _))) = self.at.iter().min_by_key(|k| k.1 .1).map(|(k, v)| (*k, *v))
            else {
                break;
            };
            self.at.remove(&oldest);
            self.tokens -= u64::from(tokens);
        }
        found
    }
}

fn home(prefix: u64, nodes: &[u64]) -> u64 {
    nodes.iter().copied().max_by_key(|n| mix(mix(*n) ^ prefix)).unwrap_or(0)
}

/// How a replacement enters the server order: under its own name, or in the place of the old node, hashed
/// under the old node's name.
#[derive(Clone, Copy, PartialEq)]
enum Order {
    OwnName,
    InPlace,
}

/// Names of all nodes. The first ten serve at the start, and the first three of them are replaced by the last
/// three.
#[derive(Clone)]
struct Names(Vec<u64>, Order);

impl Names {
    fn was(&self, prefix: u64) -> u64 {
        home(prefix, &self.0[..10])
    }

    fn is(&self, prefix: u64) -> u64 {
        if self.1 == Order::OwnName {
            return home(prefix, &self.0[3..]);
        }
        let was = self.was(prefix);
        self.0[..3].iter().position(|n| *n == was).map_or(was, |at| self.0[10 + at])
    }
}

fn tokens(prefix: u64) -> u32 {
    400 + (mix(prefix) % 7600) as u32
}

/// Draws a request. Its prefix follows Zipf's law: a few prefixes are requested far more often than the
/// others.
fn request(rng: &mut fastrand::Rng) -> (u64, u32) {
    let prefix = (BEGINNINGS as f64).powf(rng.f64()) as u64 * 7919;
    (prefix, 100 + rng.u32(..900))
}

fn beginning(prefix: u64) -> Beginning {
    Beginning { team: Team(prefix % 20), model: Model(0), prefix }
}

/// Shares of prompt tokens that were cached, for the whole fleet and for the replaced places: in the 10 s
/// before the order, in the 10 s after the last slice has moved, and from the first move until 10 s after the
/// last. `took` is the time from the order to the last move, in seconds.
struct Figures {
    fleet: [f64; 3],
    places: [f64; 3],
    took: f64,
}

struct Fleet {
    kept: HashMap<u64, Kept>,
    members: Vec<Sketch>,
    cutovers: Vec<Cutover>,
    queues: Vec<Vec<(Beginning, u32)>>,
    /// For each request: its time, its prompt tokens, those of them that were cached, and whether it belongs
    /// to a replaced place.
    seen: Vec<(u64, u32, u32, bool)>,
}

impl Fleet {
    fn order(&mut self, names: &Names, warm: bool) {
        let (old, new) = (&names.0[..3], &names.0[10..]);
        let mut fleet = Sketch::new(CAPACITY, HALF_LIFE, REPLACED);
        for (at, member) in self.members.iter_mut().enumerate() {
            let hot: Vec<Beginning> = member.hottest(CAPACITY).into_iter().map(|(b, _)| b).collect();
            hot.iter().for_each(|b| member.holds(b, Member(at as u64)));
            let word = to_bytes(member, ROOM, REPLACED);
            let heard =
                from_bytes(&word, CAPACITY, HALF_LIFE, 0, REPLACED).expect("a sketch encoded by this build");
            fleet.merge(&heard, REPLACED);
        }
        let target = |node: &u64| Target {
            node: Node(*node),
            sends: 200,
            memory_tokens: MEMORY_TOKENS * 8 / 10,
            tokens_a_second: READS_A_SECOND,
            share: 300,
            time: TERMS.deadline,
        };
        let targets: Vec<Target> = new.iter().map(target).collect();
        let facts =
            Facts { homes: &|b| vec![Node(names.is(b.prefix))], granted: &|_, _| true, kept: &|_, _| 0 };
        let plans: Vec<Plan> = plan(&fleet, &targets, &facts);
        for (plan, old) in plans.iter().zip(old) {
            let empty = Plan { readings: Vec::new(), ..plan.clone() };
            let (plan, terms) =
                if warm { (plan, TERMS) } else { (&empty, Terms { slices: 1, gap: 0, ..TERMS }) };
            let hand_over = HandOver { node: plan.node, run: 1 };
            self.cutovers.push(Cutover::new(hand_over, Some(Node(*old)), plan, terms, REPLACED));
            self.queues.push(plan.readings.iter().rev().map(|r| (r.beginning, r.tokens)).collect());
        }
    }

    /// Prefills one prefix after another, at three tenths of a node's capacity.
    fn read(&mut self, now: u64, done: &mut [f64]) {
        for (at, done) in done.iter_mut().enumerate().take(self.cutovers.len()) {
            *done += 0.3 * READS_A_SECOND as f64 / 1000.0;
            while let Some((beginning, tokens)) = self.queues[at].last().copied() {
                if *done < f64::from(tokens) {
                    break;
                }
                *done -= f64::from(tokens);
                self.queues[at].pop();
                let node = self.cutovers[at].hand_over().node.0;
                self.kept.entry(node).or_default().find(beginning.prefix, tokens);
                self.cutovers[at].step(Input::Read(beginning), now);
            }
            self.cutovers[at].step(Input::Tick, now);
        }
    }
}

fn run(seed: u64, order: Order, warm: bool) -> Figures {
    let mut rng = fastrand::Rng::with_seed(seed);
    let names = Names((0..13).map(|n| mix(seed * 100 + n)).collect(), order);
    let (old, new) = (&names.0[..3], &names.0[10..]);
    let sketch = Sketch::new(CAPACITY, HALF_LIFE, 0);
    let mut fleet = Fleet {
        kept: HashMap::new(),
        members: vec![sketch; 3],
        cutovers: Vec::new(),
        queues: Vec::new(),
        seen: Vec::new(),
    };
    let (mut first, mut last, mut done) = (None, None, [0.0; 3]);
    let mut now = 0;
    while last.is_none_or(|last| now <= last + 10_000) {
        now += 1;
        if now == REPLACED {
            fleet.order(&names, warm);
        }
        fleet.read(now, &mut done);
        if first.is_none() && fleet.cutovers.iter().any(|c| c.figures().moved > 0) {
            first = Some(now);
        }
        let all = |c: &Cutover| matches!(c.state(), State::Settling | State::Done);
        if last.is_none() && now > REPLACED && fleet.cutovers.iter().all(all) {
            last = Some(now);
        }
        let asks = u64::from(rng.u64(..1000) < REQUESTS_A_SECOND);
        for _ in 0..asks {
            let (prefix, rest) = request(&mut rng);
            // The order before the replacements decides, unless the new order names a new node and the slice
            // has moved to it. Keys that move between other nodes because an old node leaves belong to its
            // place, too.
            let (was, is) = (names.was(prefix), names.is(prefix));
            let cutover = fleet.cutovers.iter().position(|c| c.hand_over().node.0 == is);
            let side = cutover.and_then(|at| fleet.cutovers[at].side(&beginning(prefix)));
            let gone = last.is_some() && old.contains(&was);
            let node = if side == Some(Side::New) || gone { is } else { was };
            let found = fleet.kept.entry(node).or_default().find(prefix, tokens(prefix));
            let member = rng.usize(..3);
            fleet.members[member].asked(beginning(prefix), tokens(prefix), Some(Node(node)), now);
            if let Some(at) = cutover.filter(|_| node == is) {
                let found = if found { tokens(prefix) } else { 0 };
                fleet.cutovers[at].step(Input::Asked { tokens: tokens(prefix), found }, now);
            }
            let place = old.contains(&was) || new.contains(&is);
            fleet.seen.push((now, tokens(prefix) + rest, if found { tokens(prefix) } else { 0 }, place));
        }
    }
    let (first, last) = (first.unwrap_or(now), last.unwrap_or(now));
    let share = |from: u64, to: u64, places: bool| {
        let within = fleet.seen.iter().filter(|s| s.0 > from && s.0 <= to && (s.3 || !places));
        let (all, found) = within.fold((0, 0), |sum, s| (sum.0 + u64::from(s.1), sum.1 + u64::from(s.2)));
        found as f64 / all.max(1) as f64
    };
    let spans = [(REPLACED - 10_000, REPLACED), (last, last + 10_000), (first, last + 10_000)];
    let shares = |places| spans.map(|(from, to)| share(from, to, places));
    Figures { fleet: shares(false), places: shares(true), took: (last - REPLACED) as f64 / 1000.0 }
}

fn main() {
    let orders =
        [(Order::InPlace, "in the places of the old nodes"), (Order::OwnName, "under their own names")];
    let cases = orders.iter().flat_map(|order| [(*order, false), (*order, true)]);
    for ((order, placed), warm) in cases {
        let runs: Vec<Figures> = (1..=5).map(|seed| run(seed, order, warm)).collect();
        println!("{}, {placed}", if warm { "with warming" } else { "without warming" });
        type Of = fn(&Figures) -> [f64; 3];
        for (name, of) in [("whole fleet", (|f| f.fleet) as Of), ("replaced places", |f| f.places)] {
            let mean = |at: usize| runs.iter().map(|f| of(f)[at]).sum::<f64>() / runs.len() as f64;
            let ratio = |at: usize| runs.iter().map(move |f| of(f)[at] / of(f)[0]);
            let worst = |at| ratio(at).fold(f64::INFINITY, f64::min);
            let of_before = |at| ratio(at).sum::<f64>() / runs.len() as f64;
            println!(
                "  {name}: before {:.3}; 10 s after {:.3}, ratio to before mean {:.3} worst {:.3}; from the first move on \
                 mean {:.3} worst {:.3}",
                mean(0), mean(1), of_before(1), worst(1), of_before(2), worst(2)
            );
        }
        let took = runs.iter().map(|f| f.took).fold(0.0, f64::max);
        println!("  from the order to the last move: at most {took:.1} s");
    }
}
