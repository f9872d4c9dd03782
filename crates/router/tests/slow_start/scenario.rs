//! A day of the cold servers: who is there, what is asked for, and what goes wrong.

/// Routers that begin anew: this share of them, within so long (s), so many times, one round after the other.
#[derive(Clone, Copy)]
pub struct Anew {
    /// After the start of the cold servers (s).
    pub from: f64,
    pub share: f64,
    pub within: f64,
    pub rounds: usize,
}

pub const NONE_ANEW: Anew = Anew { from: 0.0, share: 0.0, within: 1.0, rounds: 0 };
pub const A_THIRD_ANEW: Anew = Anew { share: 1.0 / 3.0, rounds: 1, ..NONE_ANEW };
pub const ALL_ANEW: Anew = Anew { share: 1.0, rounds: 1, ..NONE_ANEW };

/// One day: who is there, what is asked for, and how late words are.
#[derive(Clone, Copy)]
pub struct Day {
    pub routers: usize,
    /// Readers, and as many writers; so many of each start anew.
    pub servers: usize,
    pub cold: usize,
    pub probes: bool,
    /// What a warm server can do a second, and the share of what all can do that is asked for.
    pub a_second: f64,
    pub asked: f64,
    /// Times as much is asked for from then on (s after the start), for two seconds.
    pub burst: (f64, f64),
    /// The share of requests with one and the same beginning.
    pub hot: f64,
    /// A report is refreshed so often, and a look takes so long at the most (ms).
    pub refresh: f64,
    pub look: f64,
    pub anew: Anew,
    /// The cold servers are a zone that was away, and what each router still keeps of connections to it is dead.
    pub zone: bool,
    /// The settings' multiple, window and share that a cold server begins with.
    pub rules: (f64, f64, f64),
    pub seed: u64,
}

pub const DAY: Day = Day {
    routers: 300,
    servers: 48,
    cold: 8,
    probes: true,
    a_second: 3.0,
    asked: 0.7,
    burst: (1.0, 1.5),
    hot: 0.0,
    refresh: 300.0,
    look: 120.0,
    anew: NONE_ANEW,
    zone: false,
    rules: (2.5, 1_500.0, 0.27),
    seed: 1,
};

/// The settings' multiple, window and share to begin with: two of the deployments', and a third's.
pub const RULES: [(f64, f64, f64); 3] = [(2.5, 1_500.0, 0.27), (4.0, 2_000.0, 0.26), (4.0, 3_000.0, 0.31)];
/// Reports as old as the deployments make them.
pub const OLD: Day = Day { refresh: 640.0, look: 210.0, ..DAY };
pub const HOT: Day = Day { hot: 0.25, ..OLD };

/// A fleet of so many routers before as many servers as they would have, a sixth of them cold, or half where a zone returns.
pub fn sized(routers: usize, day: Day) -> Day {
    let servers = match routers {
        0..10 => 8,
        10..25 => 12,
        25..50 => 18,
        _ => 24,
    };
    Day { routers, servers, cold: if day.zone { servers / 2 } else { servers / 6 }, ..day }
}

pub fn days() -> Vec<(&'static str, Day)> {
    // 97 in a hundred begin anew within 1.5 s, and again, and again.
    let again = Anew { share: 0.97, within: 1.5, rounds: 4, ..NONE_ANEW };
    vec![
        ("quiet", OLD),
        ("rush", Day { burst: (1.0, 2.5), ..OLD }),
        ("hot", HOT),
        ("a third anew", Day { anew: A_THIRD_ANEW, ..OLD }),
        ("all anew", Day { anew: ALL_ANEW, ..OLD }),
        ("anew again and again", Day { anew: again, ..OLD }),
        ("zone", Day { zone: true, ..OLD }),
    ]
}
