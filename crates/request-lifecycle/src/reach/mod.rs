//! Which servers can be reached, as far as calls have shown, and whom to ask to let go of what is held for a request.
//!
//! Any server that runs takes a release, and it has to come to one in time. So nobody waits for a server that may be
//! cut off: the surest is asked first, and while nobody has answered, others beside it, of another zone each time,
//! since servers are cut off by zones.

use std::collections::{BTreeMap, VecDeque};

/// Milliseconds on one clock of the caller's.
pub type Millis = u64;

/// While nobody has answered, further servers are asked after each such pause: an idle server answers within it.
pub const PAUSE: Millis = 50;
/// So many servers are asked after a pause. The first is asked alone: mostly it answers.
const BESIDE: usize = 2;
/// A call that has stood unanswered for so long speaks against its server.
const UNANSWERED: Millis = 100;

/// What calls have shown of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reachability {
    /// When it last answered anything.
    answered: Option<Millis>,
    /// When a call to it was last lost: no connection came up, or a short call went unanswered.
    query_lost: Option<Millis>,
    /// Since when short calls have been out with no word from it.
    waiting: Option<Millis>,
}

impl Reachability {
    /// A short call goes out, of which an answer is due at once.
    pub fn query_sent(&mut self, now: Millis) {
        self.waiting.get_or_insert(now);
    }

    /// It answered.
    pub fn answered(&mut self, now: Millis) {
        (self.answered, self.waiting) = (Some(now), None);
    }

    /// A call to it came to nothing.
    pub fn query_lost(&mut self, now: Millis) {
        (self.query_lost, self.waiting) = (Some(now), None);
    }

    /// When it last failed to answer in time, if it has not answered since.
    fn suspected_since(&self, now: Millis) -> Option<Millis> {
        let waiting = self.waiting.filter(|since| now >= since + UNANSWERED);
        self.query_lost.max(waiting).filter(|at| self.answered.is_none_or(|heard| heard < *at))
    }
}

/// A server that may be asked.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<S> {
    pub server: S,
    pub zone: u32,
    /// A connection to it stands ready.
    pub has_idle_connection: bool,
    pub reachability: Reachability,
}

/// The servers in the order in which they are to be asked: of each zone the surest first, the zones in turn.
pub fn order<S: Copy + Ord>(candidates: &[Candidate<S>], now: Millis) -> Vec<S> {
    // A zone is doubted while the last word from any of its servers is older than the last call lost there.
    let mut zones: BTreeMap<u32, (Option<Millis>, Option<Millis>)> = BTreeMap::new();
    for c in candidates {
        let (heard, doubted) = zones.entry(c.zone).or_default();
        *heard = (*heard).max(c.reachability.answered);
        *doubted = (*doubted).max(c.reachability.suspected_since(now));
    }
    let doubted = |zone: u32| zones.get(&zone).is_some_and(|(heard, doubted)| doubted > heard);
    let mut sure: Vec<&Candidate<S>> = candidates.iter().collect();
    sure.sort_by_key(|c| {
        let known = std::cmp::Reverse(c.reachability.answered);
        (
            c.reachability.suspected_since(now).is_some(),
            doubted(c.zone),
            !c.has_idle_connection,
            known,
            c.server,
        )
    });
    let mut by_zone: Vec<(u32, VecDeque<S>)> = Vec::new();
    for c in sure {
        match by_zone.iter_mut().find(|z| z.0 == c.zone) {
            Some((_, servers)) => servers.push_back(c.server),
            None => by_zone.push((c.zone, VecDeque::from([c.server]))),
        }
    }
    let mut order = Vec::with_capacity(candidates.len());
    while order.len() < candidates.len() {
        order.extend(by_zone.iter_mut().filter_map(|(_, servers)| servers.pop_front()));
    }
    order
}

/// One release under way: who is asked when. It has come to its end once one has answered.
#[derive(Clone, Debug)]
pub struct Release<S> {
    left: VecDeque<S>,
    out: usize,
    due: Millis,
    until: Millis,
    begun: bool,
}

impl<S: Copy> Release<S> {
    /// These are asked in turn, until one answers or this time has come.
    pub fn new(order: Vec<S>, now: Millis, until: Millis) -> Self {
        Release { left: order.into(), out: 0, due: now, until, begun: false }
    }

    /// Whom to ask now.
    pub fn ask(&mut self, now: Millis) -> Vec<S> {
        if now < self.due || now >= self.until {
            return Vec::new();
        }
        let most = if std::mem::replace(&mut self.begun, true) { BESIDE } else { 1 };
        let asked: Vec<S> = self.left.drain(..most.min(self.left.len())).collect();
        self.out += asked.len();
        self.due = now + PAUSE;
        asked
    }

    /// One of those asked could not be reached, or did not take it: the next need not wait for the pause.
    pub fn failed(&mut self, now: Millis) {
        self.out = self.out.saturating_sub(1);
        self.due = self.due.min(now);
    }

    /// When to come back if nobody answers before; `None` once nothing more can come of it.
    pub fn wake(&self, now: Millis) -> Option<Millis> {
        match (self.left.is_empty(), self.out) {
            _ if now >= self.until => None,
            (true, 0) => None,
            (true, _) => Some(self.until),
            (false, _) => Some(self.due.min(self.until)),
        }
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn candidate(server: u32, zone: u32) -> Candidate<u32> {
        Candidate { server, zone, has_idle_connection: false, reachability: Reachability::default() }
    }

    /// Plays one release against servers of which some answer after so long, the others never, and gives the time at
    /// which it first came to one that answers.
    fn play(
        order: Vec<u32>, answers: impl Fn(u32) -> Option<Millis>, limit: Millis,
    ) -> (Option<Millis>, usize) {
        let (mut release, mut now, mut asked, mut due) = (Release::new(order, 0, limit), 0, 0, Vec::new());
        loop {
            for server in release.ask(now) {
                asked += 1;
                due.extend(answers(server).map(|after| now + after));
            }
            let Some(wake) = release.wake(now) else { return (None, asked) };
            match due.iter().min() {
                Some(at) if *at <= wake => return (Some(*at), asked),
                _ => now = wake.max(now),
            }
        }
    }

    /// A zone cut off for 6 s while 40 states are held there and no connection comes up: each release comes to a
    /// server of another zone long before the pin limit, whoever was heard last. One server after the other, 100 ms
    /// each and five in all, would end at 500 ms with nothing.
    #[test]
    fn a_zone_that_is_cut_off_holds_up_no_release() {
        for round in 0..40u32 {
            // Those of the zone that is cut off were heard last, and have connections that stand.
            let all = (0..30).map(|n| {
                let (server, zone) = (n * 40 + round, n % 3);
                let mut c = candidate(server, zone);
                c.reachability.answered(if zone == 1 { 900 + u64::from(n) } else { 500 });
                c.has_idle_connection = zone == 1;
                c
            });
            let all: Vec<Candidate<u32>> = all.collect();
            let cut = |server: u32| all.iter().any(|c| c.server == server && c.zone == 1);
            let answers = |server: u32| (!cut(server)).then_some(5);
            let (at, asked) = play(order(&all, 1_000), answers, 600);
            assert_eq!((at, asked), (Some(PAUSE + 5), 3));
        }
    }

    /// Once a call to a zone was lost and nobody there was heard since, it is asked last.
    #[test]
    fn a_zone_known_to_be_cut_off_is_asked_last() {
        let mut all: Vec<Candidate<u32>> = (0..9).map(|n| candidate(n, n % 3)).collect();
        all.iter_mut().for_each(|c| c.reachability.answered(100));
        all[1].reachability.query_lost(200);
        assert_ne!(order(&all, 300)[0] % 3, 1);
        assert_eq!(order(&all, 300).last(), Some(&1));
        all[4].reachability.answered(250);
        assert_eq!(order(&all, 300)[0], 4);
        // A short call that stands unanswered speaks against a server before it is lost.
        all[4].reachability.query_sent(260);
        assert_eq!(order(&all, 300)[0], 4);
        assert_ne!(order(&all, 400)[0] % 3, 1);
    }

    proptest! {
        /// Whoever is cut off, one server that answers is enough: every server is asked in time, each once.
        #[test]
        fn one_that_answers_is_found(zones in prop::collection::vec(0u32..4, 1..24), only in 0usize..24, pace in 1u64..400) {
            let all: Vec<Candidate<u32>> = zones.iter().enumerate().map(|(n, z)| candidate(n as u32, *z)).collect();
            let only = (only % all.len()) as u32;
            let order = order(&all, 0);
            let mut sorted = order.clone();
            sorted.sort_unstable();
            prop_assert_eq!(sorted, (0..all.len() as u32).collect::<Vec<_>>());
            let rounds = (order.iter().position(|s| *s == only).unwrap_or(0) as u64).div_ceil(BESIDE as u64);
            let (at, _) = play(order, |s| (s == only).then_some(pace), 10_000);
            prop_assert_eq!(at, Some(rounds * PAUSE + pace));
        }

        /// It ends in time, also when nobody answers.
        #[test]
        fn it_ends_when_nobody_answers(servers in 0usize..60, limit in 1u64..2_000) {
            let (at, asked) = play((0..servers as u32).collect(), |_| None, limit);
            prop_assert_eq!(at, None);
            prop_assert!(asked <= servers);
        }
    }
}
