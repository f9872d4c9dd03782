//! What is decided about many routers that cannot see each other: how many homes a beginning has when nobody's own
//! counts show how hot it is, and whom to look at before a request is sent. No clock, no state, no I/O.

use crate::api::{Millis, ServerId};
use crate::slow_start_budget;
use crate::state::{median, ServerRecord, LOAD_REPORT_TTL};

/// Own counts stand for the whole while the escape's floor, divided among the routers, is a request or more.
const FEW_ROUTERS: f64 = 4.0;
/// Homes of a beginning: what is asked for once among few requests is taken to be one of so many alike.
const ALIKE: f64 = 30.0;
/// Homes of a beginning among many routers, at least: its next one is read there already when the first is crowded.
const HOMES: usize = 2;
/// Crowded: in flight exceeds this many times the median, and the median plus this many.
const OVERLOAD_FACTOR: f64 = 2.0;
const OVERLOAD_FLOOR: f64 = 4.0;
/// Loads of so many servers make a median; those not yet heard from are taken to have this much in flight.
const HEARD: usize = 12;
const USUAL: f64 = 1.0;
/// Candidates in order that a request looks at before one elsewhere; an answer is waited for so long (ms). Who is
/// slower than that is taken for busy.
pub const MAX_PROBED_CANDIDATES: usize = 3;
pub const PROBE_TIMEOUT: Millis = 120.0;
const ENOUGH: u32 = 5;
/// Looks that a request can use; those for its reader may cost so much of its worth. Measured: without any, a day with a hot
/// beginning loses 0.3 of its result, a day without one some 0.01.
const MAX_PROBES_PER_REQUEST: f64 = 4.0;
const PROBE_COST_LIMIT: f64 = 0.012;
/// A first look at a writer near a read saves this share of the tokens that would leave their cell, a further one this part
/// of what the one before saved. Measured: 0.96 of the tokens leave with none, 0.48 with one, 0.34 with two (docs/fleet.md).
const LOOK_SAVES: f64 = 0.48;
const FURTHER_SAVES: f64 = 0.29;
pub const MAX_PROBED_DECODE_SERVERS: usize = 4;
/// Loads that lie so near to each other are alike.
const ALIKE_LOAD: f64 = 0.5;
/// What a server said of its load fades in this time (ms).
const SEEN_FADES: Millis = 3_000.0;

/// Whether each router's own counts are too few to tell what all together do.
pub fn is_large_fleet(routers: f64) -> bool {
    routers > FEW_ROUTERS
}

/// Samples of a pace that tell a server's own speed whatever its queue. A router that sees much of the traffic has more
/// the next moment.
pub fn min_service_time_samples(routers: f64) -> u32 {
    if is_large_fleet(routers) {
        ENOUGH
    } else {
        1
    }
}

/// Looks that a request earns, from what a look costs of a request's worth.
pub fn probes_earned(probe: f64) -> f64 {
    (PROBE_COST_LIMIT / probe.max(1e-9)).min(MAX_PROBES_PER_REQUEST)
}

/// Writers near a read to be looked at while it lasts: as many as save more by what they keep in its cell than they cost,
/// where `moved` is taken off for all tokens moved.
pub fn decode_servers_to_probe(probe: f64, moved: f64) -> usize {
    let saves = |n: usize| moved * LOOK_SAVES * FURTHER_SAVES.powi(n as i32);
    (0..MAX_PROBED_DECODE_SERVERS).take_while(|n| saves(*n) > probe).count()
}

/// How many of `readers` a beginning is read at: its share of all requests, in reader's parts. `asked` of `all`
/// own requests were for it, this one included. Among many routers a count of one or two says little, so it is
/// weighed against what one of many alike would show; the more a router has seen, the more its own count tells.
pub fn preferred_servers(asked: f64, all: f64, readers: usize, routers: f64, parts: f64) -> usize {
    let most = readers.max(1);
    if !is_large_fleet(routers) {
        // The request itself is counted already and tells nothing of how often its like come.
        let share = (asked - 1.0) / all.max(1.0);
        return ((share * readers as f64 / parts).round() as usize).clamp(1, most);
    }
    ((request_share(asked, all) * readers as f64 / parts).ceil() as usize).max(HOMES).clamp(1, most)
}

/// A beginning's share of all requests, as a router of many sees it.
fn request_share(asked: f64, all: f64) -> f64 {
    asked / (all + ALIKE)
}

/// What a beginning asks of readers, in units that it keeps busy, by its share of all requests.
pub struct PrefixDemand {
    units: f64,
    preferred: Option<ServerId>,
}

impl PrefixDemand {
    /// Asked for so often `[of all requests, for this beginning]`, of these readers, of which one is the
    /// request's home.
    pub fn new<'a>(
        [all, asked]: [f64; 2], readers: impl Iterator<Item = &'a ServerRecord>, home: Option<&ServerId>,
    ) -> PrefixDemand {
        // The request itself is counted already and tells nothing of how often its like come.
        let asked = (asked - 1.0).max(0.0);
        let units = request_share(asked, all)
            * readers.map(|s| slow_start_budget::capacity_units(s, 1.0)).sum::<f64>();
        PrefixDemand { units, preferred: home.copied() }
    }

    /// What may come to a server: to a home its part, as there are homes for each reader's part; to any other
    /// the whole, since all routers send what overflows to the first that is not crowded.
    pub fn at_server(&self, s: &ServerRecord) -> f64 {
        let part = if self.preferred == Some(s.entry.server) {
            slow_start_budget::capacity_units(s, 1.0)
        } else {
            f64::MAX
        };
        self.units.min(part)
    }
}

/// The usual load of a server, from those that were heard of late. Of too few, the hot one would be the median itself.
pub fn typical_load(mut heard: Vec<f64>) -> f64 {
    heard.resize(heard.len().max(HEARD), USUAL);
    median(heard)
}

/// Whether a server with so much in flight is clearly above the usual.
pub fn is_overloaded(load: f64, usual: f64) -> bool {
    load > (OVERLOAD_FACTOR * usual).max(usual + OVERLOAD_FLOOR)
}

/// The load to be reckoned with at a server that is not looked at: what it said fades into the usual. A cold one that
/// may get something now is taken for empty: each router may send it little, and few requests would find their way
/// there on their own.
pub fn estimated_load(s: &ServerRecord, now: Millis, usual: f64, cold: bool) -> f64 {
    let Some((load, at)) = s.reported_load else { return if cold { 0.0 } else { usual.max(USUAL) } };
    let trust = ((at - now) / SEEN_FADES).exp();
    (load + s.sent_since_report) * trust + usual.max(USUAL) * (1.0 - trust)
}

/// One of those with the least, drawn by chance: routers that know the same must not all pick the same.
pub fn least_loaded(reckoned: &[(f64, ServerId)], draw: f64) -> Option<ServerId> {
    let lowest = reckoned.iter().map(|r| r.0).fold(f64::MAX, f64::min);
    let near: Vec<ServerId> = reckoned.iter().filter(|r| r.0 <= lowest + ALIKE_LOAD).map(|r| r.1).collect();
    near.get((draw * near.len() as f64) as usize).copied()
}

/// How long what a reader has in hand by its own fresh word will take it, at this pace and with so much work each.
/// Fewer routers know it from what their own requests waited.
pub fn reported_wait(s: &ServerRecord, routers: f64, now: Millis, pace: f64, work: f64) -> Millis {
    s.current_load(now, LOAD_REPORT_TTL)
        .filter(|_| is_large_fleet(routers))
        .map_or(0.0, |load| load * work * pace)
}

/// What a request knows of a server of this warmth, on whose behalf it was last looked at then.
pub fn load_knowledge(
    s: &ServerRecord, looked: Option<Millis>, now: Millis, usual: f64, warmth: f64,
) -> LoadKnowledge {
    match (
        s.current_load(now, LOAD_REPORT_TTL).map(|load| slow_start_budget::normalized_load(load, warmth)),
        looked,
    ) {
        (Some(load), _) => LoadKnowledge::Reported(load, is_overloaded(load, usual)),
        (None, None) => LoadKnowledge::Unknown,
        (None, Some(at)) if now < at + PROBE_TIMEOUT => LoadKnowledge::Probing,
        (None, Some(_)) => LoadKnowledge::NoAnswer,
    }
}

/// What is known of a server that a request may go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadKnowledge {
    /// In flight there in terms of a warm one, as far as known, and whether that is crowded.
    Reported(f64, bool),
    /// Nothing fresh, and nobody has asked.
    Unknown,
    /// Asked, and the answer may still come.
    Probing,
    /// Asked, and it did not answer in time, or not well.
    NoAnswer,
}

impl LoadKnowledge {
    /// Whether its own word is here or can still come.
    pub fn may_be_known(self, may_look: bool) -> bool {
        matches!(self, LoadKnowledge::Reported(..) | LoadKnowledge::Probing)
            || (may_look && self == LoadKnowledge::Unknown)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// To the candidate of this number.
    Send(usize),
    /// First look at these.
    Probe(Vec<usize>),
    Wait,
}

/// The next step for a request whose candidates stand in the order in which all routers would try them: the first
/// that is not crowded gets it. So a hot home overflows to the same next home from every router, and its load is
/// told by the server, not guessed from a router's own few requests. The first is looked at alone, then all others at
/// once. When none will do, the least loaded of them; when none answers, the last, which is the one elsewhere.
pub fn next_step(candidates: &[LoadKnowledge], may_look: bool) -> NextStep {
    for (n, sight) in candidates.iter().enumerate() {
        match sight {
            LoadKnowledge::Reported(_, false) => return NextStep::Send(n),
            LoadKnowledge::Reported(_, true) | LoadKnowledge::NoAnswer => {}
            LoadKnowledge::Probing => return NextStep::Wait,
            LoadKnowledge::Unknown if may_look => {
                let all = if n == 0 { 1 } else { candidates.len() };
                return NextStep::Probe(
                    (n..all).filter(|n| candidates[*n] == LoadKnowledge::Unknown).collect(),
                );
            }
            LoadKnowledge::Unknown => return NextStep::Send(n),
        }
    }
    let load = |s: &LoadKnowledge| if let LoadKnowledge::Reported(load, _) = s { Some(*load) } else { None };
    let seen = candidates.iter().enumerate().filter_map(|(n, s)| Some((n, load(s)?)));
    NextStep::Send(
        seen.min_by(|a, b| a.1.total_cmp(&b.1)).map_or(candidates.len().saturating_sub(1), |s| s.0),
    )
}

#[cfg(test)]
mod tests;
