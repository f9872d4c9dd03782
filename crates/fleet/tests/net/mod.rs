//! A simulated network and clock for several members in one process. It loses, duplicates, delays and reorders
//! datagrams, separates partitions, and stops and restarts members. A run is determined by its seed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use glenrail_fleet::{
    Effect, Exchange, Fleet, FleetKey, Incarnation, Keyring, MemberId, MemberState, Settings,
    MAX_DATAGRAM_BYTES,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub struct Node {
    pub fleet: Fleet,
    pub up: bool,
    pub stopped_until: u64,
    /// Incremented by a restart. Timers requested in an earlier generation are ignored.
    generation: u32,
    pub partition: u8,
    pub changes: Vec<(u64, MemberId, Incarnation, MemberState)>,
    pub sent_bytes: u64,
    pub superseded: u32,
}

enum Event {
    Datagram { to: usize, from: SocketAddr, bytes: Vec<u8> },
    Timer { node: usize, generation: u32, token: u64 },
}

pub struct Net {
    pub now: u64,
    pub nodes: Vec<Node>,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    rng: StdRng,
    /// Fraction of datagrams, 0 to 1; the same for `duplication_rate`.
    pub loss_rate: f64,
    pub duplication_rate: f64,
    /// Maximum delay of a datagram. Datagrams are reordered if it exceeds the time between two of them.
    pub max_delay_ms: u64,
    /// Drops datagrams for a stopped member, as if its socket's buffer were full. Otherwise they are delivered when it
    /// continues.
    pub drops_while_stopped: bool,
    pub settings: Settings,
    seed: u64,
    /// Hash of all effects of all members, for comparing runs.
    pub trace: u64,
    /// Copies of the datagrams sent, with their recipients; `None` while nothing is recorded.
    pub recorded: Option<Vec<(usize, Vec<u8>)>>,
    pub exchanges: u32,
}

pub fn keys(byte: u8) -> Keyring {
    Keyring::new(FleetKey::derive(&[byte; 32], "trial").unwrap(), None)
}

pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + node as u16))
}

pub fn id(node: usize) -> MemberId {
    MemberId::of_name(&format!("gw-{node}"))
}

impl Net {
    #[allow(dead_code)]
    pub fn new(nodes: usize, seed: u64, settings: Settings) -> Net {
        Net::of_incarnation(1, nodes, seed, settings)
    }

    pub fn of_incarnation(incarnation: u64, nodes: usize, seed: u64, settings: Settings) -> Net {
        let mut net = Net {
            now: 1_000,
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
            loss_rate: 0.0,
            duplication_rate: 0.0,
            max_delay_ms: 5,
            drops_while_stopped: false,
            settings,
            seed,
            trace: 0,
            recorded: None,
            exchanges: 0,
        };
        for node in 0..nodes {
            let fleet = net.new_fleet(node, incarnation);
            net.nodes.push(Node {
                fleet,
                up: true,
                stopped_until: 0,
                generation: 0,
                partition: 0,
                changes: Vec::new(),
                sent_bytes: 0,
                superseded: 0,
            });
        }
        for node in 0..nodes {
            net.step(node, glenrail_fleet::Fleet::start);
        }
        net
    }

    fn new_fleet(&self, node: usize, incarnation: u64) -> Fleet {
        let seeds = vec![address(0), address(1)];
        let (settings, seed) = (self.settings.clone(), self.seed ^ (node as u64) << 32 ^ incarnation);
        Fleet::new(
            &format!("gw-{node}"),
            Incarnation(incarnation),
            address(node),
            seeds,
            keys(1),
            settings,
            seed,
        )
        .unwrap()
    }

    /// Runs one step of a member and applies its effects.
    pub fn step<T>(&mut self, node: usize, step: impl FnOnce(&mut Fleet, u64, &mut Vec<Effect>) -> T) -> T {
        let mut effects = Vec::new();
        let result = step(&mut self.nodes[node].fleet, self.now, &mut effects);
        for effect in effects {
            self.apply_effect(node, effect);
        }
        result
    }

    fn apply_effect(&mut self, node: usize, effect: Effect) {
        self.add_to_trace(format!("{node} {effect:?}").as_bytes());
        match effect {
            Effect::Send { to, bytes } => {
                assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "a datagram of {} bytes", bytes.len());
                self.nodes[node].sent_bytes += bytes.len() as u64;
                let to = usize::from(to.port()) - 7_000;
                if let Some(recorded) = &mut self.recorded {
                    recorded.push((to, bytes.clone()));
                }
                let copies = 1 + usize::from(self.rng.random_bool(self.duplication_rate));
                for _ in 0..copies {
                    let due_at = self.now + self.rng.random_range(0..=self.max_delay_ms);
                    if !self.rng.random_bool(self.loss_rate)
                        && self.nodes[node].partition == self.nodes[to].partition
                    {
                        self.push(due_at, Event::Datagram { to, from: address(node), bytes: bytes.clone() });
                    }
                }
            }
            Effect::Timer { delay_ms, token } => {
                let generation = self.nodes[node].generation;
                self.push(self.now + delay_ms, Event::Timer { node, generation, token });
            }
            Effect::MemberChanged { member, state } => {
                self.nodes[node].changes.push((self.now, member.id, member.incarnation, state));
            }
            Effect::OpenExchange { peer, to } => self.exchange(node, usize::from(to.port()) - 7_000, peer),
            Effect::Superseded { .. } => self.nodes[node].superseded += 1,
            Effect::CellChanged { .. } => {}
        }
    }

    /// Runs an exchange over a stream whose bytes are read in chunks of random length.
    fn exchange(&mut self, opener: usize, acceptor: usize, peer: MemberId) {
        let acceptor_node = &self.nodes[acceptor];
        if !acceptor_node.up
            || acceptor_node.stopped_until > self.now
            || acceptor_node.partition != self.nodes[opener].partition
        {
            return;
        }
        self.exchanges += 1;
        let (first, write) = self.nodes[opener].fleet.open_exchange(peer).unwrap();
        let mut sides = [(opener, first), (acceptor, Exchange::accept())];
        let (mut in_flight, mut turn) = (write, 1);
        while !in_flight.is_empty() {
            self.nodes[sides[1 - turn].0].sent_bytes += in_flight.len() as u64;
            let mut answer = Vec::new();
            while !in_flight.is_empty() {
                let cut = self.rng.random_range(1..=in_flight.len().min(5_000));
                let chunk: Vec<u8> = in_flight.drain(..cut).collect();
                let (node, side) = &mut sides[turn];
                let mut effects = Vec::new();
                let step =
                    self.nodes[*node].fleet.handle_exchange_bytes(self.now, side, &chunk, &mut effects);
                let node = *node;
                effects.into_iter().for_each(|effect| self.apply_effect(node, effect));
                // After an error the driver closes the stream.
                let Ok(step) = step else { return };
                answer.extend(step.write);
            }
            (in_flight, turn) = (answer, 1 - turn);
        }
    }

    fn push(&mut self, due_at: u64, event: Event) {
        self.sequence += 1;
        self.queue.insert((due_at, self.sequence), event);
    }

    fn add_to_trace(&mut self, event: &[u8]) {
        for byte in self.now.to_le_bytes().iter().chain(event) {
            self.trace = (self.trace ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
        }
    }

    /// Simulates `duration_ms` milliseconds.
    pub fn run(&mut self, duration_ms: u64) {
        let until = self.now + duration_ms;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((due_at, _), event) = entry.remove_entry();
            self.now = self.now.max(due_at);
            let node = match event {
                Event::Datagram { to, .. } => to,
                Event::Timer { node, .. } => node,
            };
            let Node { up, stopped_until, generation, .. } = self.nodes[node];
            if up && stopped_until > self.now {
                if !self.drops_while_stopped || matches!(event, Event::Timer { .. }) {
                    self.push(stopped_until, event);
                }
                continue;
            }
            match event {
                _ if !up => {}
                Event::Datagram { from, bytes, .. } => {
                    let _ = self
                        .step(node, |fleet, now, effects| fleet.handle_datagram(now, from, &bytes, effects));
                }
                Event::Timer { generation: set_in, token, .. } if set_in == generation => {
                    self.step(node, |fleet, now, effects| fleet.handle_timer(now, token, effects));
                }
                Event::Timer { .. } => {}
            }
        }
        self.now = until;
    }

    /// Simulates until `done`, which is checked every 100 ms. Returns the time it took in milliseconds, or `None` after
    /// `max_ms`.
    #[allow(dead_code)]
    pub fn run_until(&mut self, max_ms: u64, done: impl Fn(&Net) -> bool) -> Option<u64> {
        let from = self.now;
        while !done(self) {
            if self.now - from >= max_ms {
                return None;
            }
            self.run(100);
        }
        Some(self.now - from)
    }

    #[allow(dead_code)]
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].up = false;
    }

    #[allow(dead_code)]
    pub fn restart(&mut self, node: usize, incarnation: u64) {
        self.nodes[node].fleet = self.new_fleet(node, incarnation);
        self.nodes[node].up = true;
        self.nodes[node].generation += 1;
        self.step(node, glenrail_fleet::Fleet::start);
    }

    pub fn put(&mut self, node: usize, kind: u16, key: &[u8], value: &[u8]) {
        self.step(node, |fleet, now, _| fleet.put(now, kind, key, value.to_vec()).map(|_| ())).unwrap();
    }

    /// Whether every running member sees exactly the other running members as alive, and none as suspect.
    pub fn all_see_each_other_alive(&self) -> bool {
        let up: Vec<_> = (0..self.nodes.len()).filter(|node| self.nodes[*node].up).collect();
        up.iter().all(|node| {
            let fleet = &self.nodes[*node].fleet;
            let mut alive: Vec<_> =
                fleet.members().filter(|(_, state)| *state == MemberState::Alive).collect();
            alive.sort_by_key(|(member, _)| member.id);
            let mut expected: Vec<_> =
                up.iter().filter(|other| *other != node).map(|other| id(*other)).collect();
            expected.sort();
            let suspects = fleet.members().any(|(_, state)| state == MemberState::Suspect);
            !suspects && alive.iter().map(|(member, _)| member.id).eq(expected)
        })
    }

    /// Whether all running members store the same `expected_count` values of `kind`.
    #[allow(dead_code)]
    pub fn same_values_everywhere(&self, kind: u16, expected_count: usize) -> bool {
        let mut tables = self.nodes.iter().filter(|node| node.up).map(|node| {
            node.fleet.table().values_of_kind(kind).map(|cell| format!("{cell:?}")).collect::<Vec<_>>()
        });
        let Some(first) = tables.next() else { return true };
        first.len() == expected_count && tables.all(|table| table == first)
    }
}
