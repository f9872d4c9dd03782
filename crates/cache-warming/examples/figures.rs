//! Effect of cache warming: in a small simulated fleet of three gateways, three of ten prefill servers are
//! replaced, with warming and without.
//! `cargo run --release -p glenrail-cache-warming --example figures`

use std::collections::HashMap;

use glenrail_cache_warming::assignments::ReplacementId;
use glenrail_cache_warming::cutover::{Cutover, CutoverConfig, Input, Side, State};
use glenrail_cache_warming::plan::{plan, Lookups, Plan, Target};
use glenrail_cache_warming::rendezvous::mix;
use glenrail_cache_warming::sketch::Sketch;
use glenrail_cache_warming::sketch_codec::{decode, encode};
use glenrail_cache_warming::{Member, Model, Node, PromptPrefix, Team};

const PREFIXES: u64 = 3000;
const REQUESTS_PER_SECOND: u64 = 120;
const MEMORY_TOKENS: u64 = 400_000;
const PREFILL_TOKENS_PER_SECOND: u64 = 40_000;
const HALF_LIFE: u64 = 30_000;
const CAPACITY: usize = 1024;
/// Maximum size of an encoded sketch in the fleet's table (bytes); the table's whole state is sent over TCP.
const MAX_SKETCH_BYTES: usize = 32_768;
/// Time at which the replacements are ordered (ms).
const REPLACEMENT_TIME: u64 = 120_000;
const CONFIG: CutoverConfig = CutoverConfig {
    slices: 16,
    min_prefilled_share: 0.9,
    move_interval: 500,
    deadline: 30_000,
    min_hit_ratio: 0.5,
    min_sample_tokens: 50_000,
    settle_time: 5_000,
};

/// Prompt tokens cached at a node. The least recently used ones are evicted first.
#[derive(Default)]
struct NodeCache {
    entries: HashMap<u64, (u32, u64)>,
    tokens: u64,
    clock: u64,
}

impl NodeCache {
    fn lookup(&mut self, key: u64, tokens: u32) -> bool {
        self.clock += 1;
        let cached = self.entries.insert(key, (tokens, self.clock)).is_some();
        self.tokens += if cached { 0 } else { u64::from(tokens) };
        while self.tokens > MEMORY_TOKENS {
            let Some((oldest, (tokens, _))) =
                self.entries.iter().min_by_key(|k| k.1 .1).map(|(k, v)| (*k, *v))
            else {
                break;
            };
            self.entries.remove(&oldest);
            self.tokens -= u64::from(tokens);
        }
        cached
    }
}

fn owner(key: u64, nodes: &[u64]) -> u64 {
    nodes.iter().copied().max_by_key(|n| mix(mix(*n) ^ key)).unwrap_or(0)
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
    fn before(&self, key: u64) -> u64 {
        owner(key, &self.0[..10])
    }

    fn after(&self, key: u64) -> u64 {
        if self.1 == Order::OwnName {
            return owner(key, &self.0[3..]);
        }
        let before = self.before(key);
        self.0[..3].iter().position(|n| *n == before).map_or(before, |at| self.0[10 + at])
    }
}

fn tokens(key: u64) -> u32 {
    400 + (mix(key) % 7600) as u32
}

/// Draws a request. Its prefix follows Zipf's law: a few prefixes are requested far more often than the
/// others.
fn request(rng: &mut fastrand::Rng) -> (u64, u32) {
    let key = (PREFIXES as f64).powf(rng.f64()) as u64 * 7919;
    (key, 100 + rng.u32(..900))
}

fn prefix(key: u64) -> PromptPrefix {
    PromptPrefix { team: Team(key % 20), model: Model(0), key }
}

/// Shares of prompt tokens that were cached, for the whole fleet and for the replaced places: in the 10 s
/// before the order, in the 10 s after the last slice has moved, and from the first move until 10 s after the
/// last. `duration_s` is the time from the order to the last move, in seconds.
struct Outcome {
    fleet: [f64; 3],
    places: [f64; 3],
    duration_s: f64,
}

struct Fleet {
    caches: HashMap<u64, NodeCache>,
    members: Vec<Sketch>,
    cutovers: Vec<Cutover>,
    queues: Vec<Vec<(PromptPrefix, u32)>>,
    /// For each request: its time, its prompt tokens, those of them that were cached, and whether it belongs
    /// to a replaced place.
    requests: Vec<(u64, u32, u32, bool)>,
}

impl Fleet {
    fn order_replacements(&mut self, names: &Names, warm: bool) {
        let (old, new) = (&names.0[..3], &names.0[10..]);
        let mut fleet = Sketch::new(CAPACITY, HALF_LIFE, REPLACEMENT_TIME);
        for (at, member) in self.members.iter_mut().enumerate() {
            let hot: Vec<PromptPrefix> = member.hottest(CAPACITY).into_iter().map(|(b, _)| b).collect();
            hot.iter().for_each(|b| member.add_holder(b, Member(at as u64)));
            let encoded = encode(member, MAX_SKETCH_BYTES, REPLACEMENT_TIME);
            let received = decode(&encoded, CAPACITY, HALF_LIFE, 0, REPLACEMENT_TIME)
                .expect("a sketch encoded by this build");
            fleet.merge(&received, REPLACEMENT_TIME);
        }
        let target = |node: &u64| Target {
            node: Node(*node),
            max_requests: 200,
            memory_tokens: MEMORY_TOKENS * 8 / 10,
            tokens_per_second: PREFILL_TOKENS_PER_SECOND,
            share_thousandths: 300,
            time_left: CONFIG.deadline,
        };
        let targets: Vec<Target> = new.iter().map(target).collect();
        let lookups = Lookups {
            owners: &|b| vec![Node(names.after(b.key))],
            granted: &|_, _| true,
            cached_tokens: &|_, _| 0,
        };
        let plans: Vec<Plan> = plan(&fleet, &targets, &lookups);
        for (plan, old) in plans.iter().zip(old) {
            let empty = Plan { prefills: Vec::new(), ..plan.clone() };
            let (plan, config) = if warm {
                (plan, CONFIG)
            } else {
                (&empty, CutoverConfig { slices: 1, move_interval: 0, ..CONFIG })
            };
            let replacement = ReplacementId { node: plan.node, run: 1 };
            self.cutovers.push(Cutover::new(replacement, Some(Node(*old)), plan, config, REPLACEMENT_TIME));
            self.queues.push(plan.prefills.iter().rev().map(|r| (r.prefix, r.tokens)).collect());
        }
    }

    /// Prefills one prefix after another, at three tenths of a node's capacity.
    fn prefill(&mut self, now: u64, progress: &mut [f64]) {
        for (at, progress) in progress.iter_mut().enumerate().take(self.cutovers.len()) {
            *progress += 0.3 * PREFILL_TOKENS_PER_SECOND as f64 / 1000.0;
            while let Some((prefix, tokens)) = self.queues[at].last().copied() {
                if *progress < f64::from(tokens) {
                    break;
                }
                *progress -= f64::from(tokens);
                self.queues[at].pop();
                let node = self.cutovers[at].replacement().node.0;
                self.caches.entry(node).or_default().lookup(prefix.key, tokens);
                self.cutovers[at].step(Input::Prefilled(prefix), now);
            }
            self.cutovers[at].step(Input::Tick, now);
        }
    }
}

fn run(seed: u64, order: Order, warm: bool) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let names = Names((0..13).map(|n| mix(seed * 100 + n)).collect(), order);
    let (old, new) = (&names.0[..3], &names.0[10..]);
    let sketch = Sketch::new(CAPACITY, HALF_LIFE, 0);
    let mut fleet = Fleet {
        caches: HashMap::new(),
        members: vec![sketch; 3],
        cutovers: Vec::new(),
        queues: Vec::new(),
        requests: Vec::new(),
    };
    let (mut first_move, mut last_move, mut progress) = (None, None, [0.0; 3]);
    let mut now = 0;
    while last_move.is_none_or(|last_move| now <= last_move + 10_000) {
        now += 1;
        if now == REPLACEMENT_TIME {
            fleet.order_replacements(&names, warm);
        }
        fleet.prefill(now, &mut progress);
        if first_move.is_none() && fleet.cutovers.iter().any(|c| c.stats().moved > 0) {
            first_move = Some(now);
        }
        let all = |c: &Cutover| matches!(c.state(), State::Settling | State::Done);
        if last_move.is_none() && now > REPLACEMENT_TIME && fleet.cutovers.iter().all(all) {
            last_move = Some(now);
        }
        let arrivals = u64::from(rng.u64(..1000) < REQUESTS_PER_SECOND);
        for _ in 0..arrivals {
            let (key, other_tokens) = request(&mut rng);
            // The order before the replacements decides, unless the new order names a new node and the slice
            // has moved to it. Keys that move between other nodes because an old node leaves belong to its
            // place, too.
            let (before, after) = (names.before(key), names.after(key));
            let cutover = fleet.cutovers.iter().position(|c| c.replacement().node.0 == after);
            let side = cutover.and_then(|at| fleet.cutovers[at].side(&prefix(key)));
            let old_node_left = last_move.is_some() && old.contains(&before);
            let node = if side == Some(Side::New) || old_node_left { after } else { before };
            let cached = fleet.caches.entry(node).or_default().lookup(key, tokens(key));
            let member = rng.usize(..3);
            fleet.members[member].record_request(prefix(key), tokens(key), Some(Node(node)), now);
            if let Some(at) = cutover.filter(|_| node == after) {
                let cached = if cached { tokens(key) } else { 0 };
                fleet.cutovers[at].step(Input::Requested { tokens: tokens(key), cached }, now);
            }
            let at_replaced_place = old.contains(&before) || new.contains(&after);
            fleet.requests.push((
                now,
                tokens(key) + other_tokens,
                if cached { tokens(key) } else { 0 },
                at_replaced_place,
            ));
        }
    }
    let (first_move, last_move) = (first_move.unwrap_or(now), last_move.unwrap_or(now));
    let share = |from: u64, to: u64, places: bool| {
        let within = fleet.requests.iter().filter(|s| s.0 > from && s.0 <= to && (s.3 || !places));
        let (all, cached) = within.fold((0, 0), |sum, s| (sum.0 + u64::from(s.1), sum.1 + u64::from(s.2)));
        cached as f64 / all.max(1) as f64
    };
    let spans = [
        (REPLACEMENT_TIME - 10_000, REPLACEMENT_TIME),
        (last_move, last_move + 10_000),
        (first_move, last_move + 10_000),
    ];
    let shares = |places| spans.map(|(from, to)| share(from, to, places));
    Outcome {
        fleet: shares(false),
        places: shares(true),
        duration_s: (last_move - REPLACEMENT_TIME) as f64 / 1000.0,
    }
}

fn main() {
    let orders =
        [(Order::InPlace, "in the places of the old nodes"), (Order::OwnName, "under their own names")];
    let cases = orders.iter().flat_map(|order| [(*order, false), (*order, true)]);
    for ((order, placement), warm) in cases {
        let runs: Vec<Outcome> = (1..=5).map(|seed| run(seed, order, warm)).collect();
        println!("{}, {placement}", if warm { "with warming" } else { "without warming" });
        type Select = fn(&Outcome) -> [f64; 3];
        for (name, select) in [("whole fleet", (|f| f.fleet) as Select), ("replaced places", |f| f.places)] {
            let mean = |at: usize| runs.iter().map(|f| select(f)[at]).sum::<f64>() / runs.len() as f64;
            let ratio = |at: usize| runs.iter().map(move |f| select(f)[at] / select(f)[0]);
            let worst = |at| ratio(at).fold(f64::INFINITY, f64::min);
            let of_before = |at| ratio(at).sum::<f64>() / runs.len() as f64;
            println!(
                "  {name}: before {:.3}; 10 s after {:.3}, ratio to before mean {:.3} worst {:.3}; from the first move on \
                 mean {:.3} worst {:.3}",
                mean(0), mean(1), of_before(1), worst(1), of_before(2), worst(2)
            );
        }
        let duration_s = runs.iter().map(|f| f.duration_s).fold(0.0, f64::max);
        println!("  from the order to the last move: at most {duration_s:.1} s");
    }
}
