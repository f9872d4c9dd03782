//! Every decision of the router. The interface (ids, settings, events, actions) is in `api.rs`.
//!
//! Ordinary path: session, else shared beginning, else consistent hash gives the reader; twice the median in
//! flight sends a request elsewhere; the read state goes to the writer with the lowest projected memory.

use std::collections::{hash_map::DefaultHasher, BTreeMap};
use std::hash::BuildHasherDefault;
use std::num::NonZeroUsize;

use lru::LruCache;

use crate::api::*;
use crate::crowd::{self, Next, Sight};
use crate::order;
use crate::state::*;
use crate::warm;

/// Prefix table: most entries kept; a session and a beginning take one each.
const TABLE_CAP: usize = 50_000;
/// Prefix table: an entry older than this is not believed (ms; the design's figure).
const TABLE_EXPIRY: Ms = 30_000.0;
/// Escape: in flight must exceed this many times the median ...
const ESCAPE_TIMES: f64 = 2.0;
/// ... and the median plus this many for the whole fleet (own counts: divided among the routers).
const ESCAPE_FLOOR: f64 = 4.0;
/// Hot beginnings have several homes: above this many reader's parts of the requests in this memory (ms).
const HOT_PARTS: f64 = 1.0;
const ASKED_MEMORY: Ms = 40_000.0;
/// Writer choice: share of memory by which a near writer may lie above the lowest.
const NEAR_MARGIN: f64 = 0.05;
/// Writer choice: a report fades in this time (ms), and what is not known may lie this far above the average.
const REPORT_FADES: Ms = 10_000.0;
const UNSURE: f64 = 0.2;
/// Writer choice: from this projection of the lowest writer on, mixed servers take states too.
const WRITERS_FULL: f64 = 0.85;
/// Health: a first ejection lasts this long (ms), each further one twice as long, up to so many doublings.
const EJECT: Ms = 500.0;
const EJECT_DOUBLINGS: u32 = 4;
/// Health: weights of a broken connection and a spoilt answer (the others eject alone); what success leaves.
const RESET_WEIGHT: f64 = 0.6;
const SPOILT_WEIGHT: f64 = 0.2;
const FORGIVE: f64 = 0.8;
/// Health: when less than this share of a role looks well, soft symptoms are not believed.
const PANIC_SHARE: f64 = 0.5;
/// Tokens of work that every read costs beside its own (keeps short reads comparable).
const FIXED_WORK: f64 = 500.0;
/// Share of a session's prompt that its last reader is taken to have kept.
const SESSION_KEPT: f64 = 0.8;
/// Retry budget: retries earned by a request, and the most that may be saved up.
const RETRY_EARN: f64 = 0.1;
const RETRY_SAVED: f64 = 30.0;
const RETRY_LEAST: f64 = 0.1;
/// Servers not heard from for this long are probed (ms), from so many probes earned by a request.
const PROBE_AFTER: Ms = 1_000.0;
const PROBE_EARN: f64 = 1.0;
/// Among many routers: how many looks are saved up for requests.
const LOOKS_KEPT: f64 = 12.0;
/// Housekeeping period, and the pause before a request that found no server looks again (ms).
const TICK: Ms = 100.0;
const LOOK_AGAIN: Ms = 20.0;
/// Silence: an attempt's server must show a sign of life within this share of the shortest aim.
const SILENCE_OF_AIM: f64 = 3.0;
/// Silence: a server whose reports or probe answers still come is given this many times as long.
const HEARD_PATIENCE: f64 = 2.5;
/// Lost: an attempt that so many later ones at its server have overtaken, after this share of the aim and
/// twice its own work. Its wait tells nothing of the server's queue.
const OVERTAKEN: u32 = 3;
const LOST_OF_AIM: f64 = 0.3;
/// Share of the pin limit after which a held state is let go.
const PIN_USED: f64 = 0.8;
/// Load shedding: share of the aim after which a first token must be expected; for a tenant over its share,
/// who may save up at least so many requests at a router.
const SHED: f64 = 0.7;
const SHED_OVER_SHARE: f64 = 0.35;
const SHARE_SAVED: f64 = 5.0;
/// Weights of a new prompt's length and of a new wait; the times in which a server's and a role's fade (ms).
const BLEND: f64 = 0.05;
const WAIT_BLEND: f64 = 0.3;
const WAIT_FADES: Ms = 1_000.0;
const ROLE_WAIT_FADES: Ms = 4_000.0;
/// At most one line of each kind in the log in this time (ms).
const LOG_EVERY: Ms = 5_000.0;

type FixedHasher = BuildHasherDefault<DefaultHasher>;

impl Job {
    fn expected_out(&self) -> f64 {
        let hint = self.ask.hint.filter(|h| *h > 0.0 && self.class.token_aim > 0.0);
        hint.map_or(self.ask.max_tokens / 2.0, |h| h / self.class.token_aim)
    }
    /// What a reader matched by this key should still keep of the prompt.
    fn kept(&self, key: Option<Key>) -> f64 {
        match key {
            Some(Key::Session(_)) => self.ask.prompt_tokens * SESSION_KEPT,
            Some(Key::Prefix(_)) => self.ask.prefix_tokens,
            None => 0.0,
        }
    }
    /// Share of this server's memory that its answer will hold.
    fn share(&self, at: &Server) -> f64 {
        (self.ask.prompt_tokens + self.expected_out()) / at.memory_tokens
    }
    /// Work of taking in the prompt where so much of it is kept.
    fn work(&self, kept: f64) -> f64 {
        (self.ask.prompt_tokens - kept).max(0.0) + FIXED_WORK
    }
    /// Rule 2: a refusal says that trying again is harmless.
    fn may_refuse(&self) -> bool {
        match self.class.effect {
            Effect::Safe => true,
            Effect::Keyed => self.class.group == Group::All || (self.ran.is_none() && !self.any_out()),
            Effect::Unsafe => self.ran.is_none() && !self.any_out(),
        }
    }
    /// Rule 2: whether another attempt may go to this server.
    fn may_send(&self, to: &Member, now: Ms) -> bool {
        let Some((zone, cell, sent)) = self.ran else { return true };
        let in_group = self.class.group.holds((zone, cell), (to.zone, to.cell));
        match self.class.effect {
            Effect::Safe => true,
            Effect::Keyed => in_group && now < sent + self.class.window,
            Effect::Unsafe => false,
        }
    }
}

/// The decisions of one dispatcher.
pub struct Router {
    settings: Settings,
    pub(crate) now: Ms,
    random: Random,
    pub(crate) started: Option<Ms>,
    servers: BTreeMap<ServerId, Server>,
    jobs: BTreeMap<RequestId, Job>,
    pub(crate) table: LruCache<Key, (ServerId, Ms), FixedHasher>,
    /// How often each beginning is asked for, and all requests together (`None`).
    asked: LruCache<Option<u64>, (f64, Ms), FixedHasher>,
    pub(crate) pace: [Pace; 2],
    /// What was waited of late at the servers of each role, and when.
    waits: [(f64, Ms); 3],
    /// What each role has carried of late.
    pub(crate) carried: [Carried; 3],
    retries: f64,
    /// Probes earned and not yet sent.
    probes: f64,
    /// Mean tokens of a prompt.
    pub(crate) prompt: f64,
    allowance: Vec<(f64, Ms)>,
    logged: BTreeMap<&'static str, Ms>,
    ask_list_at: Option<Ms>,
    tick_due: Option<Ms>,
}

const TICK_KEY: u64 = 1 << 52;

impl Router {
    pub fn new(seed: u64, settings: Settings) -> Self {
        let cap = NonZeroUsize::new(TABLE_CAP).unwrap_or(NonZeroUsize::MIN);
        let allowance = settings.tenants.iter().map(|_| (SHARE_SAVED, 0.0)).collect();
        Router {
            settings,
            now: 0.0,
            random: Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1),
            started: None,
            servers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            table: LruCache::with_hasher(cap, FixedHasher::default()),
            asked: LruCache::with_hasher(cap, FixedHasher::default()),
            pace: [Pace::default(); 2],
            waits: [(0.0, 0.0); 3],
            carried: [Carried::default(); 3],
            retries: RETRY_SAVED,
            probes: 0.0,
            prompt: 0.0,
            allowance,
            logged: BTreeMap::new(),
            ask_list_at: None,
            tick_due: None,
        }
    }

    /// Takes in one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Ms, event: Event, out: &mut Vec<Action>) {
        self.now = if now.is_finite() { now.max(self.now) } else { self.now };
        self.start(out);
        match event {
            Event::Members { scope, members } => self.on_members(scope, members),
            Event::Request(ask) => self.on_request(ask, out),
            Event::Timer { key: TICK_KEY } => self.on_tick(out),
            Event::Timer { key } => self.on_timer(key, out),
            Event::ClientGone { id } => self.settle(id, out),
            Event::FirstToken { id, attempt, elapsed, .. } => self.on_first(id, attempt, elapsed),
            Event::Outcome(outcome) => self.on_outcome(outcome, out),
            Event::Probed { server, status, report, .. } => self.on_probed(server, status, report, out),
            Event::Place { .. } | Event::Peer { .. } => {}
        }
    }

    /// Whether this server is known and yet gets nothing new at present.
    pub fn avoids(&self, id: ServerId) -> bool {
        let s = self.servers.get(&id);
        s.is_some_and(|s| s.info.state != ServerState::Ready || s.health.suspect(self.now))
    }

    fn start(&mut self, out: &mut Vec<Action>) {
        if self.started.is_none() {
            self.started = Some(self.now);
            self.allowance.iter_mut().for_each(|a| a.1 = self.now);
            if self.settings.discovery == Discovery::Subscribe {
                out.push(Action::Subscribe { on: true });
            }
        }
        // A tick that never came back (a lost timer) must not stop housekeeping for good.
        if self.tick_due.is_none_or(|due| self.now > due + 10.0 * TICK) {
            self.set_tick(out);
        }
    }

    fn routers(&self) -> f64 {
        f64::from(self.settings.routers.max(1))
    }

    fn set_tick(&mut self, out: &mut Vec<Action>) {
        self.tick_due = Some(self.now + TICK);
        out.push(Action::Timer { at: self.now + TICK, key: TICK_KEY, of: None });
    }

    fn log(&mut self, kind: &'static str, words: String, out: &mut Vec<Action>) {
        if self.logged.get(kind).is_none_or(|at| self.now >= at + LOG_EVERY) {
            self.logged.insert(kind, self.now);
            out.push(Action::Log(format!("{kind}: {words}")));
        }
    }

    fn on_members(&mut self, scope: Scope, members: Vec<Member>) {
        if scope == Scope::Failed {
            // Ask again after a pause; the old list still holds.
            self.ask_list_at = Some(self.now + (self.settings.rules.ask_within / 4.0).clamp(TICK, 5_000.0));
            return;
        }
        if scope != Scope::Delta {
            let listed: Vec<ServerId> = members.iter().map(|m| m.server).collect();
            self.servers.retain(|id, _| listed.contains(id));
        }
        for info in members {
            if info.state == ServerState::Gone {
                self.servers.remove(&info.server);
            } else {
                self.on_member(info);
            }
        }
    }

    fn on_member(&mut self, info: Member) {
        let kind = self.settings.kinds.get(info.kind as usize);
        let (now, (role, memory)) =
            (self.now, kind.map_or((Role::Mixed, 0.0), |k| (k.role, k.memory_tokens)));
        if let Some(old) = self.servers.get_mut(&info.server) {
            if info.started.is_some() && info.started != old.info.started {
                old.renew(info.started, now, self.random.unit());
            }
            old.info = info;
            return;
        }
        let server = Server {
            role,
            memory_tokens: if memory > 0.0 { memory } else { 1e5 },
            memory_seen: now,
            cold_since: info.started,
            credit: self.random.unit(),
            credit_at: now,
            heard: now,
            answered: now,
            info,
            ..Server::default()
        };
        self.servers.insert(server.info.server, server);
    }

    /// Slow start: the share of its capacity that a server can be trusted with at present.
    fn warmth(&self, s: &Server) -> f64 {
        warm::warmth(&self.settings.rules, s.cold_since, self.now)
    }

    /// Slow start: sends that a cold server has left from this router.
    fn credit(&self, s: &Server) -> f64 {
        let units = warm::units(s, self.warmth(s));
        warm::credit(s, units, &self.carried[s.role as usize], &self.settings.rules, self.routers(), self.now)
    }

    /// The most that this role has carried a second for this router, by unit of warm weight.
    fn note_success(&mut self, id: ServerId) {
        let Some(role) = self.servers.get(&id).map(|s| s.role) else { return };
        let like = self.servers.values().filter(|s| s.role == role);
        let units = like.map(|s| warm::units(s, self.warmth(s))).sum();
        let age = self.now - self.started.unwrap_or(self.now);
        warm::note_success(&mut self.carried[role as usize], units, age, self.now);
    }

    /// Whether requests go by what servers say when they are asked: routers are too many for own counts.
    fn looks(&self) -> bool {
        crowd::thin(self.routers()) && self.settings.limits.probes
    }

    /// Slow start: whether this server may be sent something now.
    fn may_get(&self, s: &Server) -> bool {
        warm::may_get(s, self.warmth(s), self.credit(s), self.looks(), self.now)
    }

    /// One judgement for every kind of symptom: enough of them eject a server for a while, ever longer.
    /// Harm: a server that is merely busy is skipped; the panic threshold bounds that.
    fn symptom(&mut self, id: ServerId, what: Symptom, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&id) else { return };
        let weights = [(Symptom::Reset, RESET_WEIGHT), (Symptom::Spoilt, SPOILT_WEIGHT)];
        s.health.score += weights.iter().find(|w| w.0 == what).map_or(1.0, |w| w.1);
        let trial = s.health.on_trial && what != Symptom::Spoilt;
        let spared = if trial { now < s.health.until } else { s.health.score < 1.0 };
        if spared {
            return;
        }
        let doublings = s.health.strikes.min(EJECT_DOUBLINGS);
        s.health = Health {
            score: 0.0,
            strikes: doublings + 1,
            until: now + EJECT * f64::from(1u32 << doublings),
            ejected_at: now,
            on_trial: true,
            cause: Some(what),
        };
        s.unlearn();
        let unreachable = s.health.unreachable();
        self.log("ejection", format!("server {:x}, {what:?}", id.0), out);
        if unreachable {
            self.recall(|_, _, a| a.server == id, out);
        }
    }

    /// Attempts taken for lost are called back at once, not at their time-outs, where another may follow: a
    /// read has no effect.
    fn recall(&mut self, lost: impl Fn(&Server, &Job, &Attempt) -> bool, out: &mut Vec<Action>) {
        let Router { jobs, servers, settings, .. } = self;
        for job in jobs.values_mut().filter(|j| settings.limits.cancel && !j.closed && !j.begun()) {
            let Some(a) = job.attempts.last().filter(|a| a.out) else { continue };
            let may = a.stage == Stage::Read || job.class.effect == Effect::Safe;
            if may && servers.get(&a.server).is_some_and(|s| lost(s, job, a)) {
                job.call_back(None, out);
            }
        }
    }

    fn success(&mut self, id: ServerId, sent: Ms) {
        let now = self.now;
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.answered = now;
        s.health.score *= FORGIVE;
        if s.health.on_trial && sent >= s.health.ejected_at {
            // Back: it may have restarted unseen, so it is taken for cold if it could not be reached.
            if s.health.cause == Some(Symptom::NoConnection) {
                s.cool(Some(now), now, self.random.unit());
            }
            s.health.on_trial = false;
            s.health.cause = None;
            s.health.until = now;
        } else if s.health.strikes > 0 && now > s.health.until + EJECT * f64::from(1u32 << s.health.strikes) {
            s.health.strikes -= 1;
        }
    }

    /// Servers of these roles that may get work now: ready, not suspect, and not too cold.
    fn usable(&mut self, roles: &[Role], job: &Job, stage: Stage, out: &mut Vec<Action>) -> Vec<ServerId> {
        let ready: Vec<ServerId> = self
            .servers
            .values()
            .filter(|s| roles.contains(&s.role) && s.info.state == ServerState::Ready)
            .filter(|s| job.may_send(&s.info, self.now))
            .map(|s| s.info.server)
            .collect();
        let well = |me: &Self, id: &ServerId| me.servers.get(id).is_some_and(|s| !s.health.suspect(me.now));
        let mut good: Vec<ServerId> = ready.iter().copied().filter(|id| well(self, id)).collect();
        if (good.len() as f64) < PANIC_SHARE * ready.len() as f64 {
            // Panic threshold: most of a role looks bad, so the cause is not the server.
            let reachable = |id: &ServerId| self.servers.get(id).is_some_and(|s| !s.health.unreachable());
            good = ready.iter().copied().filter(reachable).collect();
            if good.is_empty() {
                good = ready.clone();
            }
            self.log("panic threshold", format!("using {} of {}", good.len(), ready.len()), out);
        }
        // A reader that is cold is looked at first.
        let later = stage == Stage::Read && self.looks();
        good.retain(|id| later || self.servers.get(id).is_some_and(|s| self.may_get(s)));
        let fresh: Vec<ServerId> = good.iter().copied().filter(|id| !job.tried(*id, stage)).collect();
        // All tried already: not again at once, or a refused connection burns every attempt in a moment.
        match fresh.is_empty() && self.now >= job.idle_since + TICK {
            true => good,
            false => fresh,
        }
    }

    fn on_request(&mut self, mut ask: Request, out: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(ask.class as usize).cloned() else {
            out.push(Action::Refuse { id: ask.id, retry_after: 0.0 });
            return;
        };
        if self.jobs.contains_key(&ask.id) {
            return;
        }
        for x in [&mut ask.prompt_tokens, &mut ask.prefix_tokens, &mut ask.max_tokens, &mut ask.patience] {
            *x = sane(*x);
        }
        let blend = if self.prompt > 0.0 { BLEND } else { 1.0 };
        self.prompt += blend * (ask.prompt_tokens - self.prompt);
        let id = ask.id;
        let deadline = self.now + ask.patience;
        self.retries = (self.retries + RETRY_EARN).min((RETRY_SAVED / self.routers()).max(1.0));
        let probe = self.settings.prices.probe;
        let (earn, most) = match crowd::thin(self.routers()) {
            true => (crowd::looks_earned(probe), LOOKS_KEPT + 1.0),
            false => (PROBE_EARN, 2.0),
        };
        self.probes = (self.probes + earn).min(most);
        let now = self.now;
        for key in [None, ask.prefix.or(Some(ask.session))] {
            let e = self.asked.get_or_insert_mut(key, || (0.0, now));
            *e = (1.0 + decayed(*e, now, ASKED_MEMORY), now);
        }
        let over_share = self.over_share(ask.tenant);
        let job = Job { ask, class, arrived: now, deadline, idle_since: now, over_share, ..Job::default() };
        self.jobs.insert(id, job);
        let answer_by = (deadline - 2.0 * self.settings.tick).max(self.now);
        out.push(Action::Timer { at: answer_by, key: id.0 << 1, of: Some(id) });
        self.advance(id, out);
    }

    /// Whether a tenant has used up this router's part of its allowance. It may save up a second's worth, but
    /// some requests at least: one of hundreds of routers is granted less than one a second.
    fn over_share(&mut self, tenant: u32) -> bool {
        let routers = self.routers();
        let Some(t) = self.settings.tenants.get(tenant as usize) else { return false };
        let Some((credit, at)) = self.allowance.get_mut(tenant as usize) else { return false };
        let rate = sane(t.allowance_per_s) / routers;
        let saved = *credit + rate * (self.now - *at) / 1000.0;
        (*credit, *at) = (saved.min(rate.max(SHARE_SAVED)), self.now);
        let over = *credit < 1.0;
        *credit -= f64::from(u8::from(!over));
        over
    }

    /// When a read of this much work would end at a reader, or a stream begin at a writer, if sent now.
    fn expected(&self, id: ServerId, work: f64) -> Ms {
        let Some(s) = self.servers.get(&id) else { return 0.0 };
        let oldest = s.waiting.values().filter(|w| w.1 < OVERTAKEN).map(|w| w.0).fold(self.now, f64::min);
        let trust = if s.waiting.is_empty() { ((s.answered - self.now) / WAIT_FADES).exp() } else { 1.0 };
        let (like, at) = self.waits[s.role as usize];
        // A writer's wait fades into its role's: one of many routers meets it too seldom to have its own.
        let like =
            if s.role == Role::Reader { 0.0 } else { like * ((at - self.now) / ROLE_WAIT_FADES).exp() };
        let pace = s.pace(self.pace[Stage::Read as usize], crowd::enough(self.routers()));
        let wait = (s.wait * trust + like * (1.0 - trust)).max(self.now - oldest);
        let told = crowd::told_wait(s, self.routers(), self.now, pace, 0.5 * self.prompt + FIXED_WORK);
        let wait = if s.role == Role::Reader { wait.max(told) } else { wait };
        wait + if s.role == Role::Reader { work * pace } else { 0.0 }
    }

    fn waited(&mut self, id: ServerId, wait: Ms, sent: Ms) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.waiting.values_mut().filter(|w| w.0 < sent).for_each(|w| w.1 += 1);
        s.wait += WAIT_BLEND * (wait - s.wait);
        let like = &mut self.waits[s.role as usize];
        *like = (like.0 + WAIT_BLEND * (wait - like.0), self.now);
    }

    /// Load shedding: what can hardly be in time is refused at once, over-share tenants first.
    fn shed(&mut self, job: &Job, reader: ServerId, kept: f64) -> bool {
        let writers = self.servers.values().filter(|s| s.role == Role::Writer && !s.health.suspect(self.now));
        let write = writers.map(|s| self.expected(s.info.server, 0.0)).fold(f64::MAX, f64::min);
        let whole = self.servers.get(&reader).is_some_and(|s| s.role != Role::Reader) || write == f64::MAX;
        let first = self.expected(reader, job.work(kept)) + if whole { 0.0 } else { write };
        let part = first / (job.aim() * if job.over_share { SHED_OVER_SHARE } else { SHED }).max(1.0);
        part > 1.0 && self.random.unit() < (3.0 * (part - 1.0)).min(0.95)
    }

    /// Takes the next step for a request that no attempt is out for.
    fn advance(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(mut job) = self.jobs.remove(&id) else { return };
        let done = job.closed || job.begun() || job.any_out();
        let spent = job.attempts.len() as u32 >= self.settings.limits.max_attempts;
        let target = if done || spent {
            None
        } else if job.state_at.is_some() {
            self.choose_writer(&job, out).map(|w| (w, Stage::Write, 0.0))
        } else {
            self.choose_reader(&mut job, out)
        };
        let shed = match target {
            Some((reader, _, kept)) if job.attempts.is_empty() => self.shed(&job, reader, kept),
            None => self.now > job.arrived + job.aim(),
            _ => false,
        };
        let state_held = job.state_at.is_some();
        let pin = job.idle_since + PIN_USED * self.settings.rules.pin_limit;
        let waits = job.again > self.now;
        if target.is_none() && !waits {
            job.again = self.now + LOOK_AGAIN;
        }
        self.jobs.insert(id, job);
        match target {
            _ if done => {}
            _ if shed => {
                self.log("load shedding", "expected after the aim".into(), out);
                self.give_up(id, out);
            }
            Some(pick) => self.send(id, pick, out),
            None if !spent && (!state_held || self.now + LOOK_AGAIN <= pin) => {
                if !waits {
                    out.push(Action::Timer { at: self.now + LOOK_AGAIN, key: id.0 << 1 | 1, of: Some(id) });
                }
            }
            None => self.give_up(id, out),
        }
    }

    /// Session, else shared beginning, else consistent hash; then the twice-the-median escape.
    fn choose_reader(&mut self, job: &mut Job, out: &mut Vec<Action>) -> Option<Pick> {
        let usable = self.usable(&[Role::Reader, Role::Mixed], job, Stage::Read, out);
        let homes = self.homes(job, &usable);
        let by_prefix = job.ask.prefix.filter(|_| homes == 1);
        let keys = [Some(Key::Session(job.ask.session)), by_prefix.map(Key::Prefix)];
        let now = self.now;
        let matched = keys.into_iter().flatten().find_map(|key| {
            let (home, at) = *self.table.get(&key)?;
            let fits = matches!(key, Key::Session(_)) || !self.pressed(home, &usable);
            (now < at + TABLE_EXPIRY && usable.contains(&home) && fits).then_some((home, Some(key)))
        });
        let order = self.hashed(&usable, job, homes);
        let first =
            || order.iter().copied().find(|id| !self.pressed(*id, &usable)).or(order.first().copied());
        let (home, key) = matched.or_else(|| first().map(|s| (s, None)))?;
        let chosen = match self.looks() {
            true => self.look(matched.map(|m| m.0), &order, job, out)?,
            false => self.escape(home, &usable),
        };
        let kept = job.kept(key);
        let stage = match self.servers.get(&chosen)?.role {
            Role::Reader => Stage::Read,
            _ => Stage::Write,
        };
        Some((chosen, stage, if chosen == home { kept } else { 0.0 }))
    }

    /// Exception: a beginning asked for more often than a reader can bear is read at several homes, each
    /// session at one of them: with hundreds of routers nobody's own counts show a home that all overload.
    /// Harm: each further home reads the beginning once.
    fn homes(&self, job: &Job, usable: &[ServerId]) -> usize {
        let asked = |key| self.asked.peek(&key).map_or(0.0, |e| e.0);
        let key = job.ask.prefix.or(Some(job.ask.session));
        crowd::homes(asked(key), asked(None), usable.len(), self.routers(), HOT_PARTS)
    }

    /// A mixed server weighs as much as makes its share of all requests its share of all servers: a reader
    /// reads for the writers too, a mixed one only for itself.
    fn hashed(&self, usable: &[ServerId], job: &Job, homes: usize) -> Vec<ServerId> {
        let count = |role| self.servers.values().filter(|s| s.role == role).count() as f64;
        let (readers, writers) = (count(Role::Reader), count(Role::Writer));
        let mixed = if readers > 0.0 { readers / (readers + writers) } else { 1.0 };
        let is_mixed = |id: &ServerId| self.servers.get(id).is_some_and(|s| s.role == Role::Mixed);
        // Among many routers a cold reader is home to what it can be trusted with, at all of them alike.
        let warmth = |id| self.servers.get(id).filter(|_| self.looks()).map_or(1.0, |s| self.warmth(s));
        let weighed = usable.iter().map(|id| (*id, warmth(id) * if is_mixed(id) { mixed } else { 1.0 }));
        let weighed = weighed.collect();
        order::order(weighed, job.ask.prefix.unwrap_or(job.ask.session), job.ask.session, homes)
    }

    /// Whether this router has lately sent a reader over twice the mean: where requests in flight are too few
    /// to show an overloaded home, what was sent still does.
    fn pressed(&self, id: ServerId, usable: &[ServerId]) -> bool {
        let sends = |id: &ServerId| {
            let s = self.servers.get(id);
            s.map_or(0.0, |s| decayed(s.sends, self.now, ASKED_MEMORY))
        };
        let mean = usable.iter().map(sends).sum::<f64>() / usable.len().max(1) as f64;
        sends(&id) > ESCAPE_TIMES * mean + 1.0
    }

    /// The escape among many routers: the first in order that is not crowded by its own word, asked for it.
    fn look(
        &mut self, matched: Option<ServerId>, order: &[ServerId], job: &mut Job, out: &mut Vec<Action>,
    ) -> Option<ServerId> {
        let now = self.now;
        let rest = order.iter().copied().filter(|id| matched != Some(*id));
        let mut candidates: Vec<ServerId> = matched.into_iter().chain(rest).collect();
        let server = |id: &ServerId| self.servers.get(id);
        let heard = candidates.iter().filter_map(|id| server(id)?.load(now, REPORT_FADES)).collect();
        let usual = crowd::usual(heard);
        // Of the others, one that was looked at or has the fewest in flight as far as is known stands last.
        let mut others = candidates.split_off(candidates.len().min(crowd::HOMES_SEEN));
        others.retain(|id| server(id).is_some_and(|s| self.may_get(s)));
        let seen = others.iter().find(|id| job.looks.iter().any(|l| l.0 == **id)).copied();
        let cold = |s: &Server| self.warmth(s) < 1.0;
        let reckoned = |id: &ServerId| server(id).map_or(f64::MAX, |s| crowd::reckon(s, now, usual, cold(s)));
        let reckoned: Vec<(f64, ServerId)> = others.iter().map(|id| (reckoned(id), *id)).collect();
        let drawn = crowd::least(&reckoned, &mut self.random);
        candidates.extend(seen.or(drawn));
        let server = |id: &ServerId| self.servers.get(id);
        let look = |id: &ServerId| job.looks.iter().find(|l| l.0 == *id).map(|l| l.1);
        let sight = |s: &Server, look| crowd::sight(s, look, now, usual, self.warmth(s));
        let sights = |id: &ServerId| server(id).map_or(Sight::Deaf, |s| sight(s, look(id)));
        // A cold one that says nothing gets nothing.
        let may_look = self.probes >= 1.0;
        let open =
            |id: &ServerId| server(id).is_some_and(|s| self.may_get(s)) || sights(id).may_tell(may_look);
        candidates.retain(open);
        let sights: Vec<Sight> = candidates.iter().map(sights).collect();
        match crowd::next(&sights, may_look) {
            Next::Send(n) => return candidates.get(n).copied(),
            Next::Wait => {}
            Next::Look(which) => {
                for id in which.into_iter().filter_map(|n| candidates.get(n)) {
                    job.looks.push((*id, now));
                    self.look_at(*id, out);
                }
            }
        }
        None
    }

    fn look_at(&mut self, id: ServerId, out: &mut Vec<Action>) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.probed = self.now;
        self.probes -= 1.0;
        out.push(Action::Probe { server: id });
    }

    fn escape(&self, home: ServerId, usable: &[ServerId]) -> ServerId {
        let role = |id: &ServerId| self.servers.get(id).map(|s| s.role);
        let load = |id: &ServerId| self.servers.get(id).map_or(0.0, |s| f64::from(s.out));
        let peers = || usable.iter().copied().filter(|id| role(id) == role(&home));
        let middle = median(peers().map(|id| load(&id)).collect());
        let floor = (ESCAPE_FLOOR / self.routers()).max(1.0);
        if load(&home) <= (ESCAPE_TIMES * middle).max(middle + floor) {
            return home;
        }
        peers().min_by(|a, b| load(a).total_cmp(&load(b))).unwrap_or(home)
    }

    /// Last reported share of memory, believed less with its age (then the average, give or take), plus the
    /// streams sent there since. Own sends stand for those of the other routers only where there are many:
    /// a few among hundreds of routers say nothing, and what all send alike raises all alike.
    fn projections(&mut self, usable: &[ServerId]) -> Vec<(ServerId, f64)> {
        let servers: Vec<&Server> = usable.iter().filter_map(|id| self.servers.get(id)).collect();
        let known = servers.iter().map(|s| (s.memory.unwrap_or(0.0), s.trust(self.now, REPORT_FADES)));
        let (sum, weight) = known.fold((0.0, 1e-9), |a, (m, t)| (a.0 + m * t, a.1 + t));
        let own = servers.iter().map(|s| s.recent.len()).sum::<usize>() as f64;
        let routers = self.routers();
        let times = 1.0 + (routers - 1.0) * (own / routers).min(1.0);
        let (looks, rules) = (self.looks(), &self.settings.rules);
        let warmth = |s: &Server| warm::warmth(rules, s.cold_since, self.now);
        let random = &mut self.random;
        let mut project = |s: &Server, warmth: f64| {
            let unsure = 1.0 - s.trust(self.now, REPORT_FADES);
            let seen = s.memory.unwrap_or(0.0) * (1.0 - unsure) + unsure * (sum / weight);
            let sent: f64 = s.recent.values().map(|r| r.1).sum();
            (s.info.server, warm::as_warm(seen + sent * times, warmth) + unsure * UNSURE * random.unit())
        };
        servers.iter().map(|s| project(s, if looks { warmth(s) } else { 1.0 })).collect()
    }

    fn sure(&self, id: ServerId) -> f64 {
        self.servers.get(&id).map_or(0.0, |s| s.trust(self.now, REPORT_FADES))
    }

    fn choose_writer(&mut self, job: &Job, out: &mut Vec<Action>) -> Option<ServerId> {
        let usable = self.usable(&[Role::Writer], job, Stage::Write, out);
        let mut known = self.projections(&usable);
        // Exception: mixed servers take states too while every writer is known to be nearly full.
        if known.iter().all(|w| w.1 * self.sure(w.0) > WRITERS_FULL) {
            let mixed = self.usable(&[Role::Mixed], job, Stage::Write, out);
            known.extend(self.projections(&mixed));
        }
        let place = |id: &ServerId| self.servers.get(id).map(|s| (s.info.zone, s.info.cell));
        let home = job.state_at.as_ref().and_then(place)?;
        let lowest = |near: &dyn Fn((u32, u32)) -> bool| {
            let mine = known.iter().copied().filter(|w| place(&w.0).is_some_and(near));
            mine.min_by(|a, b| a.1.total_cmp(&b.1))
        };
        let best = lowest(&|_| true)?;
        // What is not known does not speak against a near writer.
        let looks = self.looks();
        let known = |s: &Server| looks && self.now <= s.memory_seen + SEEN;
        let room = |c: &(ServerId, f64)| {
            self.servers.get(&c.0).is_some_and(|s| known(s) && c.1 + job.share(s) <= WRITERS_FULL)
        };
        let fits = |c: &(ServerId, f64)| c.1 <= best.1 + NEAR_MARGIN * (2.0 - self.sure(c.0)) || room(c);
        let near = |c: Option<(ServerId, f64)>| c.filter(fits).map(|c| c.0);
        near(lowest(&|p| p == home)).or(near(lowest(&|p| p.0 == home.0))).or(Some(best.0))
    }

    fn send(&mut self, id: RequestId, (to, stage, kept): Pick, out: &mut Vec<Action>) {
        let now = self.now;
        let credit = self.servers.get(&to).map_or(0.0, |s| self.credit(s));
        let (Some(job), Some(s)) = (self.jobs.get_mut(&id), self.servers.get_mut(&to)) else { return };
        let own = job.work(if stage == Stage::Read { kept } else { 0.0 });
        s.out += 1;
        s.sent_since += 1.0;
        s.sends = (1.0 + decayed(s.sends, now, ASKED_MEMORY), now);
        s.waiting.insert(id, (now, 0));
        (s.credit, s.credit_at) = (credit - 1.0, now);
        if s.health.on_trial {
            // One trial at a time.
            s.health.until = now + EJECT;
        }
        if stage == Stage::Write {
            s.recent.insert(id, (now, job.share(s)));
            if job.ran.is_none() {
                job.ran = Some((s.info.zone, s.info.cell, now));
            }
        }
        // Slow work that moves is left alone: a copy would be read from the start. Silence tells the rest.
        let timeout = (job.deadline - now - 2.0 * self.settings.tick).max(1.0);
        let attempt = Attempt { server: to, stage, sent: now, out: true, work: own, ..Attempt::default() };
        job.attempts.push(attempt);
        out.push(Action::Send { id, server: to, timeout });
        let place = (s.info.zone, s.info.cell);
        if stage == Stage::Read && self.looks() {
            self.look_ahead(place, out);
        }
    }

    /// While the prompt is read, some writers near it are asked for their memory: a state need not leave
    /// its cell for a writer of which no more is known.
    fn look_ahead(&mut self, place: (u32, u32), out: &mut Vec<Action>) {
        let near =
            self.servers.values().filter(|s| s.role == Role::Writer && (s.info.zone, s.info.cell) == place);
        let well = near.filter(|s| s.info.state == ServerState::Ready && !s.health.suspect(self.now));
        let old = well.filter(|s| self.now > s.memory_seen.max(s.probed) + SEEN);
        let mut old: Vec<ServerId> = old.map(|s| s.info.server).collect();
        let Prices { probe, moved } = self.settings.prices;
        for _ in 0..crowd::writers_seen(probe, moved) {
            if old.is_empty() || self.probes < 1.0 {
                return;
            }
            let n = (self.random.unit() * old.len() as f64) as usize;
            self.look_at(old.swap_remove(n.min(old.len() - 1)), out);
        }
    }

    /// Silence: work waits at a server that gave no sign for far longer than such work takes: it is dead, cut
    /// off or stuck. Should also cover hung processes. Harm: a pause as long as that counts too.
    fn check_silence(&mut self, out: &mut Vec<Action>) {
        let aims = self.settings.classes.iter().map(|c| c.aim);
        let least = SILENCE_OF_AIM * aims.fold(f64::MAX, f64::min).min(1e6);
        let late = |s: &Server, since: Ms| {
            let alive = if self.now < s.heard + 2.0 * PROBE_AFTER { HEARD_PATIENCE } else { 1.0 };
            self.now > since.max(s.answered) + alive * least
        };
        let quiet = self.servers.iter().filter(|(_, s)| s.waiting.values().any(|w| late(s, w.0)));
        let silent: Vec<ServerId> = quiet.map(|(id, _)| *id).collect();
        for id in silent {
            self.symptom(id, Symptom::Silence, out);
        }
        let now = self.now;
        let wait = |s: &Server, j: &Job, a: &Attempt| LOST_OF_AIM * j.aim() + 2.0 * a.work * s.start.low;
        let late = |s: &Server, j: &Job, a: &Attempt| now > a.sent + wait(s, j, a);
        self.recall(|s, j, a| s.overtaken(j.ask.id) >= OVERTAKEN && late(s, j, a), out);
    }

    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let retry = if self.settings.limits.retry_after { self.settings.limits.max_retry_after } else { 0.0 };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.closed || job.begun() {
            return;
        }
        out.push(if job.may_refuse() {
            Action::Refuse { id, retry_after: retry.min((job.deadline - self.now).max(0.0) / 4.0) }
        } else {
            Action::Fail { id }
        });
        self.settle(id, out);
    }

    /// After the end: call back what is out, let go of what is held, forget the request when all is in.
    fn settle(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let cancel = self.settings.limits.cancel;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.closed = true;
        if cancel {
            job.call_back(None, out);
        }
        if !job.any_out() {
            if job.state_at.is_some() {
                out.push(Action::Release { id });
            }
            self.jobs.remove(&id);
        }
    }

    fn on_timer(&mut self, key: u64, out: &mut Vec<Action>) {
        let id = RequestId(key >> 1);
        let Some(job) = self.jobs.get(&id) else { return };
        if job.closed || job.begun() {
            return;
        }
        if key & 1 == 1 {
            self.advance(id, out);
        } else {
            self.give_up(id, out);
        }
    }

    /// The session lives at this server from now on, and the shared beginning unless its entry still holds:
    /// one read elsewhere must not move it, or a jam scatters all homes, each move a read from the start.
    fn learn(&mut self, session: u64, prefix: Option<u64>, server: ServerId) {
        self.table.put(Key::Session(session), (server, self.now));
        if let Some(key) = prefix.map(Key::Prefix) {
            let holds = |e: &(ServerId, Ms)| self.now < e.1 + TABLE_EXPIRY && self.servers.contains_key(&e.0);
            if self.table.peek(&key).is_none_or(|e| e.0 == server || !holds(e)) {
                self.table.put(key, (server, self.now));
            }
        }
    }

    fn on_first(&mut self, id: RequestId, attempt: u32, elapsed: Ms) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(a) = job.attempts.get_mut(attempt as usize).filter(|a| a.out) else { return };
        a.first = Some(now);
        job.state_at = None;
        let (server, sent, per_work) = (a.server, a.sent, sane(elapsed) / a.work);
        let whole = job.attempts.iter().all(|a| a.stage == Stage::Write);
        let (session, prefix) = (job.ask.session, job.ask.prefix);
        self.pace[Stage::Write as usize].add(per_work);
        if let Some(s) = self.servers.get_mut(&server) {
            s.start.add(per_work);
            s.waiting.remove(&id);
        }
        self.waited(server, sane(elapsed), sent);
        self.note_success(server);
        if whole {
            self.learn(session, prefix, server);
        }
        self.success(server, sent);
    }

    fn learn_report(&mut self, id: ServerId, report: Option<Report>) {
        let now = self.now;
        let (Some(s), Some(report)) = (self.servers.get_mut(&id), report) else { return };
        s.heard = now;
        if let Some(load) = report.in_flight {
            (s.seen, s.sent_since) = (Some((sane(load), now)), 0.0);
        }
        // What waits for memory counts as if it held it: a full writer's share alone stops at the top.
        let waits =
            report.backlog_k.map(|k| sane(k) * 1000.0).or(report.queue.map(|q| sane(q) * self.prompt));
        let Some(memory) = report.memory.map(|m| sane(m) + waits.unwrap_or(0.0) / s.memory_tokens) else {
            return;
        };
        if s.memory != Some(memory) {
            // A fresh figure: it knows of what was sent before the last sight of the old one.
            let known = s.memory_seen;
            s.recent.retain(|_, r| r.0 >= known);
            s.memory = Some(memory);
        }
        s.memory_seen = now;
    }

    fn on_outcome(&mut self, o: Outcome, out: &mut Vec<Action>) {
        self.learn_report(o.server, o.report);
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&o.id) else { return };
        let Some(a) = job.attempts.get_mut(o.attempt as usize).filter(|a| a.out) else { return };
        a.out = false;
        let (server, stage, sent) = (a.server, a.stage, a.sent);
        let prompt = job.ask.prompt_tokens;
        job.idle_since = now;
        job.closed |= o.closed;
        let never_ran =
            matches!(o.status, Status::Full | Status::ConnectFailed | Status::NotSent | Status::Read);
        let writes = job.attempts.iter().filter(|a| a.stage == Stage::Write).count();
        if stage == Stage::Write && never_ran && writes == 1 {
            job.ran = None;
        }
        if let Some(s) = self.servers.get_mut(&server) {
            s.out = s.out.saturating_sub(1);
            s.waiting.remove(&o.id);
            s.recent.remove(&o.id);
        }
        self.judge(&o, stage, sent, prompt, out);
        if o.status == Status::Read {
            self.note_success(server);
            self.on_read(&o, server);
        }
        // The writer found no state, or has spent it; its reader may only be cut off: let go in any case.
        let gone = o.status == Status::Full && o.note >= 1.0 || o.status == Status::Spoilt;
        let held = |j: &mut Job| j.state_at.take().is_some();
        if gone && self.jobs.get_mut(&o.id).is_some_and(held) {
            out.push(Action::Release { id: o.id });
        }
        self.after_outcome(o.id, o.status, out);
    }

    /// Feeds the health judgement and the paces from one outcome.
    fn judge(&mut self, o: &Outcome, stage: Stage, sent: Ms, prompt: f64, out: &mut Vec<Action>) {
        let (server, now) = (o.server, self.now);
        match o.status {
            Status::Served | Status::Read => {
                self.success(server, sent);
                let Some(s) = self.servers.get_mut(&server) else { return };
                if stage == Stage::Read {
                    let work = (prompt - sane(o.note)).max(0.0) + FIXED_WORK;
                    let per_work = sane(o.elapsed) / work;
                    s.start.add(per_work);
                    let wait = (sane(o.elapsed) - work * s.start.low).max(0.0);
                    self.waited(server, wait, sent);
                    self.pace[Stage::Read as usize].add(per_work);
                }
            }
            Status::ConnectFailed => self.symptom(server, Symptom::NoConnection, out),
            Status::Error => self.symptom(server, Symptom::Error, out),
            Status::Reset => self.symptom(server, Symptom::Reset, out),
            Status::Spoilt => self.symptom(server, Symptom::Spoilt, out),
            Status::Full if o.note < 1.0 => {
                // Turned away: full, whatever the last report said, until a fresh one.
                if let Some(s) = self.servers.get_mut(&server) {
                    s.memory = Some(s.memory.unwrap_or(0.0).max(1.0));
                    s.memory_seen = now;
                }
            }
            _ => {}
        }
    }

    fn on_read(&mut self, o: &Outcome, server: ServerId) {
        let Some(job) = self.jobs.get_mut(&o.id) else { return };
        job.state_at = Some(server);
        let (session, prefix) = (job.ask.session, job.ask.prefix);
        self.learn(session, prefix, server);
    }

    fn after_outcome(&mut self, id: RequestId, status: Status, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.closed {
            return self.settle(id, out);
        }
        if job.any_out() {
            return;
        }
        let left = job.deadline - self.now;
        if status == Status::Read {
            return self.advance(id, out);
        }
        let late = self.now > job.arrived + job.aim();
        // A retry costs what the lost attempt took: quick errors may not use up what few requests earn.
        let took = job.attempts.last().map_or(0.0, |a| self.now - a.sent);
        let cost = match status {
            Status::ConnectFailed => 0.0,
            Status::Cancelled if !late => 0.0,
            _ => (took / job.aim().max(1.0)).clamp(RETRY_LEAST, 1.0),
        };
        if left <= 3.0 * self.settings.tick || self.retries < cost {
            return self.give_up(id, out);
        }
        self.retries -= cost;
        self.advance(id, out);
    }

    fn on_probed(&mut self, server: ServerId, status: Status, report: Option<Report>, out: &mut Vec<Action>) {
        self.learn_report(server, report);
        let now = self.now;
        if let Some(s) = self.servers.get_mut(&server) {
            if status != Status::Served && s.health.unreachable() {
                s.health.until = s.health.until.max(now + EJECT);
            }
        }
        let mut waiting = Vec::new();
        for (id, job) in self.jobs.iter_mut().filter(|(_, j)| !j.closed && !j.any_out()) {
            let Some(look) = job.looks.iter_mut().find(|l| l.0 == server) else { continue };
            if status != Status::Served {
                look.1 = now - crowd::LOOK_WAIT;
            }
            waiting.push(*id);
        }
        waiting.into_iter().for_each(|id| self.advance(id, out));
    }

    /// Spends the probes earned where an answer would change most: where work waits, then longest unheard of.
    fn probe(&mut self, out: &mut Vec<Action>) {
        // Among many routers, probes are kept for the servers that a request is to go to.
        let kept = if crowd::thin(self.routers()) { LOOKS_KEPT } else { 0.0 };
        while self.settings.limits.probes && self.probes >= 1.0 + kept {
            let due = self.servers.values_mut().filter(|s| self.now >= s.heard.max(s.probed) + PROBE_AFTER);
            let urgency = |s: &Server| s.heard.max(s.probed) - if s.waiting.is_empty() { 0.0 } else { 1e12 };
            let Some(s) = due.min_by(|a, b| urgency(a).total_cmp(&urgency(b))) else { return };
            let id = s.info.server;
            self.look_at(id, out);
        }
    }

    fn on_tick(&mut self, out: &mut Vec<Action>) {
        self.set_tick(out);
        self.check_silence(out);
        if self.ask_list_at.is_some_and(|at| self.now >= at) {
            self.ask_list_at = None;
            out.push(Action::Subscribe { on: true });
        }
        self.probe(out);
    }
}
