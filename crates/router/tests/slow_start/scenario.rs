//! Scenarios of servers that start: how many routers and servers, what traffic, and what goes wrong.

/// Routers that restart: this share of them, within so long, in so many rounds one after the other.
#[derive(Clone, Copy)]
pub struct RouterRestarts {
    /// Begin of the first round, in seconds after the start of the servers.
    pub start: f64,
    /// Share of all routers that restart in each round.
    pub share: f64,
    /// Length of a round, in seconds.
    pub within: f64,
    pub rounds: usize,
}

pub const NO_RESTARTS: RouterRestarts = RouterRestarts { start: 0.0, share: 0.0, within: 1.0, rounds: 0 };
pub const A_THIRD_RESTARTS: RouterRestarts = RouterRestarts { share: 1.0 / 3.0, rounds: 1, ..NO_RESTARTS };
pub const ALL_RESTART: RouterRestarts = RouterRestarts { share: 1.0, rounds: 1, ..NO_RESTARTS };

/// More traffic for two seconds.
#[derive(Clone, Copy)]
pub struct Burst {
    /// Its begin, in seconds after the start of the servers.
    pub start: f64,
    /// The traffic is so many times the usual.
    pub factor: f64,
}

/// The settings that bound slow start.
#[derive(Clone, Copy)]
pub struct SlowStartRules {
    pub overload_multiple: f64,
    /// In milliseconds.
    pub overload_window: f64,
    pub initial_share: f64,
}

/// One scenario.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub routers: usize,
    /// Prefill servers, and as many decode servers.
    pub servers: usize,
    /// How many of each role start during the run.
    pub starting: usize,
    pub probes: bool,
    /// Requests a second that a server completes at full capacity.
    pub rate_per_s: f64,
    /// Traffic, as a share of what all servers can do.
    pub utilization: f64,
    pub burst: Burst,
    /// Share of requests with one and the same prefix.
    pub popular_share: f64,
    /// Interval at which a load report is renewed (ms).
    pub report_interval: f64,
    /// Longest time that the answer to a probe takes (ms).
    pub probe_time: f64,
    pub router_restarts: RouterRestarts,
    /// The starting servers are a zone that was unreachable, and each router's open connections to it are
    /// dead.
    pub zone_returns: bool,
    pub rules: SlowStartRules,
    pub seed: u64,
}

pub const BASE: Scenario = Scenario {
    routers: 300,
    servers: 48,
    starting: 8,
    probes: true,
    rate_per_s: 3.0,
    utilization: 0.7,
    burst: Burst { start: 1.0, factor: 1.5 },
    popular_share: 0.0,
    report_interval: 300.0,
    probe_time: 120.0,
    router_restarts: NO_RESTARTS,
    zone_returns: false,
    rules: RULES[0],
    seed: 1,
};

/// The rules of two of the deployments, and a third's.
pub const RULES: [SlowStartRules; 3] = [
    SlowStartRules { overload_multiple: 2.5, overload_window: 1_500.0, initial_share: 0.27 },
    SlowStartRules { overload_multiple: 4.0, overload_window: 2_000.0, initial_share: 0.26 },
    SlowStartRules { overload_multiple: 4.0, overload_window: 3_000.0, initial_share: 0.31 },
];
/// Load reports as old as the deployments make them.
pub const OLD_REPORTS: Scenario = Scenario { report_interval: 640.0, probe_time: 210.0, ..BASE };
pub const POPULAR_PREFIX: Scenario = Scenario { popular_share: 0.25, ..OLD_REPORTS };

/// A fleet of so many routers with as many servers as they would have. A sixth of them start, or half where a
/// zone returns.
pub fn sized(routers: usize, scenario: Scenario) -> Scenario {
    let servers = match routers {
        0..10 => 8,
        10..25 => 12,
        25..50 => 18,
        _ => 24,
    };
    let starting = if scenario.zone_returns { servers / 2 } else { servers / 6 };
    Scenario { routers, servers, starting, ..scenario }
}

/// Every kind of scenario, by name.
pub fn scenarios() -> Vec<(&'static str, Scenario)> {
    let repeated = RouterRestarts { share: 0.97, within: 1.5, rounds: 4, ..NO_RESTARTS };
    vec![
        ("quiet", OLD_REPORTS),
        ("burst", Scenario { burst: Burst { start: 1.0, factor: 2.5 }, ..OLD_REPORTS }),
        ("popular prefix", POPULAR_PREFIX),
        ("a third restarts", Scenario { router_restarts: A_THIRD_RESTARTS, ..OLD_REPORTS }),
        ("all restart", Scenario { router_restarts: ALL_RESTART, ..OLD_REPORTS }),
        ("repeated restarts", Scenario { router_restarts: repeated, ..OLD_REPORTS }),
        ("zone returns", Scenario { zone_returns: true, ..OLD_REPORTS }),
    ]
}
