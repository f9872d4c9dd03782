//! Scenarios with starting servers: size of the fleet, traffic, and faults.

/// Restarts of routers, in consecutive rounds.
#[derive(Clone, Copy)]
pub struct RouterRestarts {
    /// Beginning of the first round, in seconds after the start of the servers.
    pub start: f64,
    /// Share of all routers that restart in each round.
    pub share: f64,
    /// Duration of a round, in seconds.
    pub within: f64,
    pub rounds: usize,
}

pub const NO_RESTARTS: RouterRestarts = RouterRestarts { start: 0.0, share: 0.0, within: 1.0, rounds: 0 };
pub const A_THIRD_RESTARTS: RouterRestarts = RouterRestarts { share: 1.0 / 3.0, rounds: 1, ..NO_RESTARTS };
pub const ALL_RESTART: RouterRestarts = RouterRestarts { share: 1.0, rounds: 1, ..NO_RESTARTS };

/// Increased traffic for two seconds.
#[derive(Clone, Copy)]
pub struct Burst {
    /// Beginning of the burst, in seconds after the start of the servers.
    pub start: f64,
    /// Traffic as a multiple of the usual traffic.
    pub factor: f64,
}

/// Settings that limit slow start.
#[derive(Clone, Copy)]
pub struct SlowStartRules {
    pub overload_multiple: f64,
    /// Length of the window, in milliseconds.
    pub overload_window: f64,
    pub initial_share: f64,
}

/// Parameters of a simulation.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub routers: usize,
    /// Number of prefill servers, and also of decode servers.
    pub servers: usize,
    /// Number of servers of each role that start during the run.
    pub starting: usize,
    pub probes: bool,
    /// Throughput of a server at full capacity, in requests per second.
    pub rate_per_s: f64,
    /// Traffic as a share of the throughput of all servers.
    pub utilization: f64,
    pub burst: Burst,
    /// Share of requests that have the popular prefix.
    pub popular_share: f64,
    /// Interval at which a load report is renewed (ms).
    pub report_interval: f64,
    /// Maximum random part of the response time of a probe (ms).
    pub probe_time: f64,
    pub router_restarts: RouterRestarts,
    /// Whether the starting servers are a zone that was unreachable, to which all open connections of the
    /// routers are dead.
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

/// Slow-start settings of three of the deployments.
pub const RULES: [SlowStartRules; 3] = [
    SlowStartRules { overload_multiple: 2.5, overload_window: 1_500.0, initial_share: 0.27 },
    SlowStartRules { overload_multiple: 4.0, overload_window: 2_000.0, initial_share: 0.26 },
    SlowStartRules { overload_multiple: 4.0, overload_window: 3_000.0, initial_share: 0.31 },
];
/// Scenario with load reports as old as in the deployments.
pub const OLD_REPORTS: Scenario = Scenario { report_interval: 640.0, probe_time: 210.0, ..BASE };
pub const POPULAR_PREFIX: Scenario = Scenario { popular_share: 0.25, ..OLD_REPORTS };

/// Returns a scenario for this number of routers, with a number of servers that is typical for it. A sixth of
/// the servers start, or half of them if a zone returns.
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

/// Returns every kind of scenario with its name.
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
