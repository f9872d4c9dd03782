//! What the router keeps in mind: plain data and look-ups, no decisions.

use std::collections::BTreeMap;

use crate::api::*;

/// A load seen so long ago needs no second look (ms): a report is refreshed about as seldom.
pub const SEEN: Ms = 500.0;

#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub enum Key {
    Session(u64),
    Prefix(u64),
}

#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub enum Stage {
    #[default]
    Read,
    Write,
}

impl Stage {
    /// The stage at which a request comes to a server of this role first.
    pub fn first(role: Role) -> Self {
        match role {
            Role::Reader => Stage::Read,
            Role::Writer | Role::Mixed => Stage::Write,
        }
    }
}

/// Where a request goes next, at which stage, and how much of its prompt should be kept there.
pub type Pick = (ServerId, Stage, f64);

/// What speaks against a server.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Symptom {
    Error,
    Reset,
    Spoilt,
    Silence,
    NoConnection,
}

impl Symptom {
    /// What the end of an attempt speaks of.
    pub fn of(status: Status) -> Option<Self> {
        match status {
            Status::ConnectFailed => Some(Symptom::NoConnection),
            Status::Error => Some(Symptom::Error),
            Status::Reset => Some(Symptom::Reset),
            Status::Spoilt => Some(Symptom::Spoilt),
            _ => None,
        }
    }
}

/// The time that a unit of work takes.
#[derive(Clone, Copy, Default)]
pub struct Pace {
    /// Follows the fastest samples, which tell a server's own speed whatever its queue.
    pub low: f64,
    pub samples: u32,
}

impl Pace {
    pub fn add(&mut self, sample: f64) {
        let follow = if sample < self.low { 0.5 } else { 0.05 };
        self.low += (sample - self.low) * if self.samples == 0 { 1.0 } else { follow };
        self.samples = self.samples.saturating_add(1);
    }
}

impl Health {
    /// Ejected at this time.
    pub fn suspect(&self, now: Ms) -> bool {
        self.on_trial && now < self.until
    }
    /// It could not be reached, which the panic threshold does not forgive.
    pub fn unreachable(&self) -> bool {
        matches!(self.cause, Some(Symptom::Silence | Symptom::NoConnection))
    }
}

#[derive(Default)]
pub struct Health {
    pub score: f64,
    pub strikes: u32,
    /// Ejected until then; afterwards on trial until an attempt sent since has succeeded.
    pub until: Ms,
    pub ejected_at: Ms,
    pub on_trial: bool,
    /// The symptom that ejected it.
    pub cause: Option<Symptom>,
}

#[derive(Default)]
pub struct Server {
    pub info: Member,
    pub role: Role,
    pub memory_tokens: f64,
    /// Attempts out, and those of them that wait for their read to end or their stream to begin: since when, and
    /// how many that were sent later have moved on.
    pub out: u32,
    pub waiting: BTreeMap<RequestId, (Ms, u32)>,
    pub memory: Option<f64>,
    pub memory_seen: Ms,
    /// Own streams that the last report cannot know of: when sent, share of memory.
    pub recent: BTreeMap<RequestId, (Ms, f64)>,
    /// Time to the end of a read or to the first token, by work; and what of it was waiting.
    pub start: Pace,
    pub wait: Ms,
    pub health: Health,
    pub cold_since: Option<Ms>,
    pub sends: (f64, Ms),
    pub credit: f64,
    pub credit_at: Ms,
    /// Last sign of life of any kind, and last time that an attempt moved on there.
    pub heard: Ms,
    pub probed: Ms,
    /// Requests in flight there as it last said, and when; what this router sent there since counts on top.
    pub seen: Option<(f64, Ms)>,
    pub sent_since: f64,
    pub answered: Ms,
}

impl Server {
    /// What a report of its memory is still worth, from 1 (just now) to 0 (none yet), fading in that time.
    pub fn trust(&self, now: Ms, fades: Ms) -> f64 {
        self.memory.map_or(0.0, |_| ((self.memory_seen - now) / fades).exp())
    }
    /// Requests in flight there: what it said within this time, and what this router has sent there since.
    pub fn load(&self, now: Ms, within: Ms) -> Option<f64> {
        let (load, _) = self.seen.filter(|(_, at)| now <= at + within)?;
        Some(load + self.sent_since)
    }
    /// How many attempts that were sent here later than this request's have moved on before it.
    pub fn overtaken(&self, id: RequestId) -> u32 {
        self.waiting.get(&id).map_or(0, |w| w.1)
    }
    /// The time that a unit of work takes here. Of few samples all may have waited in a queue, which is no reason to
    /// refuse what an idle server could read: until there are enough its role's speak, and before those nobody.
    pub fn pace(&self, role: Pace, enough: u32) -> f64 {
        let known = [self.start, role].into_iter().find(|p| p.samples >= enough);
        known.map_or(0.0, |p| p.low)
    }
    /// An attempt of this request goes out to it, which leaves it this much of its credit; `fades` (ms): the memory of
    /// its sends.
    pub fn take_on(&mut self, id: RequestId, now: Ms, credit: f64, fades: Ms) {
        self.out += 1;
        self.sent_since += 1.0;
        self.sends = (1.0 + decayed(self.sends, now, fades), now);
        self.waiting.insert(id, (now, 0));
        (self.credit, self.credit_at) = (credit, now);
    }
    /// An attempt of this request has come to its end.
    pub fn let_go(&mut self, id: RequestId) {
        self.out = self.out.saturating_sub(1);
        self.waiting.remove(&id);
        self.recent.remove(&id);
    }
    /// Takes in what it says of itself; `prompt`: mean tokens of a prompt.
    pub fn hear(&mut self, report: Report, prompt: f64, now: Ms) {
        self.heard = now;
        if let Some(load) = report.in_flight {
            (self.seen, self.sent_since) = (Some((sane(load), now)), 0.0);
        }
        // What waits for memory counts as if it held it: a full writer's share alone stops at the top.
        let waits = report.backlog_k.map(|k| sane(k) * 1000.0).or(report.queue.map(|q| sane(q) * prompt));
        let Some(memory) = report.memory.map(|m| sane(m) + waits.unwrap_or(0.0) / self.memory_tokens) else {
            return;
        };
        if self.memory != Some(memory) {
            // A fresh figure: it knows of what was sent before the last sight of the old one.
            let known = self.memory_seen;
            self.recent.retain(|_, r| r.0 >= known);
            self.memory = Some(memory);
        }
        self.memory_seen = now;
    }
    /// Forgets what was measured of its speed.
    pub fn unlearn(&mut self) {
        (self.start, self.wait) = (Pace::default(), 0.0);
    }
    /// A new process runs there: cold, empty, and not to blame for what the old one did.
    pub fn renew(&mut self, since: Option<Ms>, now: Ms, credit: f64) {
        (self.health, self.memory, self.sends) = (Health::default(), None, (0.0, now));
        self.seen = None;
        self.recent.clear();
        self.unlearn();
        self.cool(since, now, credit);
    }
    /// A new process seems to run there: cold from this time on, with this part of a send earned.
    pub fn cool(&mut self, since: Option<Ms>, now: Ms, credit: f64) {
        (self.cold_since, self.credit, self.credit_at) = (since, credit, now);
    }
}

#[derive(Clone, Copy, Default)]
pub struct Attempt {
    pub server: ServerId,
    pub stage: Stage,
    pub sent: Ms,
    pub out: bool,
    pub cancelled: bool,
    pub first: Option<Ms>,
    pub work: f64,
}

#[derive(Default)]
pub struct Job {
    pub ask: Request,
    pub class: Class,
    pub arrived: Ms,
    pub deadline: Ms,
    pub attempts: Vec<Attempt>,
    pub state_at: Option<ServerId>,
    pub idle_since: Ms,
    pub over_share: bool,
    /// The first attempt that may have had an effect: its zone, cell and time.
    pub ran: Option<(u32, u32, Ms)>,
    pub closed: bool,
    /// Servers looked at on its behalf, and when.
    pub looks: Vec<(ServerId, Ms)>,
    /// Until then the timer for its next step is out, and no second one is set.
    pub again: Ms,
}

impl Job {
    /// Whether it waits for its answer to begin.
    pub fn open(&self) -> bool {
        !self.closed && !self.begun()
    }
    /// Tokens of its answer, by its hint or else half of what is permitted.
    pub fn expected_out(&self) -> f64 {
        let hint = self.ask.hint.filter(|h| *h > 0.0 && self.class.token_aim > 0.0);
        hint.map_or(self.ask.max_tokens / 2.0, |h| h / self.class.token_aim)
    }
    /// Share of this server's memory that its answer will hold.
    pub fn share(&self, at: &Server) -> f64 {
        (self.ask.prompt_tokens + self.expected_out()) / at.memory_tokens
    }
    /// By when the first token is wanted, from the arrival on.
    pub fn aim(&self) -> Ms {
        self.class.aim + self.class.aim_per_1000_tokens * self.ask.prompt_tokens / 1000.0
    }
    pub fn any_out(&self) -> bool {
        self.attempts.iter().any(|a| a.out)
    }
    pub fn begun(&self) -> bool {
        self.attempts.iter().any(|a| a.out && a.first.is_some())
    }
    /// The answer of one of its attempts that are out begins; gives that attempt, or none if there is no such one.
    pub fn begin(&mut self, attempt: u32, now: Ms) -> Option<Attempt> {
        let a = self.attempts.get_mut(attempt as usize).filter(|a| a.out)?;
        a.first = Some(now);
        self.state_at = None;
        Some(*a)
    }
    /// One of its attempts that were out has come to this end; gives that attempt, or none if there is no such one.
    pub fn end(&mut self, o: &Outcome, now: Ms) -> Option<Attempt> {
        let a = self.attempts.get_mut(o.attempt as usize).filter(|a| a.out)?;
        a.out = false;
        let ended = *a;
        self.idle_since = now;
        self.closed |= o.closed;
        if o.status == Status::Read {
            self.state_at = Some(ended.server);
        }
        let writes = self.attempts.iter().filter(|a| a.stage == Stage::Write).count();
        if ended.stage == Stage::Write && o.status.never_ran() && writes == 1 {
            self.ran = None;
        }
        Some(ended)
    }
    /// Calls back what is out and has not begun, wherever it is.
    pub fn call_back(&mut self, out: &mut Vec<Action>) {
        for (n, a) in self.attempts.iter_mut().enumerate() {
            if a.out && !a.cancelled && a.first.is_none() {
                a.cancelled = true;
                out.push(Action::Cancel { id: self.ask.id, attempt: n as u32 });
            }
        }
    }
    pub fn tried(&self, server: ServerId, stage: Stage) -> bool {
        self.attempts.iter().any(|a| a.server == server && a.stage == stage)
    }
}

impl Request {
    /// Puts right what cannot be meant.
    pub fn sanitise(&mut self) {
        for x in [&mut self.prompt_tokens, &mut self.prefix_tokens, &mut self.max_tokens, &mut self.patience]
        {
            *x = sane(*x);
        }
    }
    /// What it is read by when it has no home yet: the beginning it shares with others, or else its session.
    pub fn beginning(&self) -> u64 {
        self.prefix.unwrap_or(self.session)
    }
}

impl Status {
    /// Whether it proves that a write did not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Status::Full | Status::ConnectFailed | Status::NotSent | Status::Read)
    }
}

impl Member {
    /// Its zone, and its cell in it.
    pub fn place(&self) -> (u32, u32) {
        (self.zone, self.cell)
    }
}

impl Group {
    /// Whether two places, each a zone and a cell in it, share the group.
    pub fn holds(self, a: (u32, u32), b: (u32, u32)) -> bool {
        match self {
            Group::All => true,
            Group::Zone => a.0 == b.0,
            Group::Cell => a == b,
        }
    }
}

pub fn sane(x: f64) -> f64 {
    if x.is_finite() {
        x.clamp(0.0, 1e12)
    } else {
        0.0
    }
}

/// What is left of a count, last touched at the second value, that fades in that time.
pub fn decayed((count, at): (f64, Ms), now: Ms, fades: Ms) -> f64 {
    count * ((at - now) / fades).exp()
}

pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}

/// A seeded random source (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }
    /// The next number in [0, 1).
    pub fn unit(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// What all requests have taught: the mean tokens of a prompt; by stage, the pace of all servers; by role, what was
/// waited of late and when, and what its servers have carried.
#[derive(Clone, Copy, Default)]
pub struct Learned {
    pub prompt: f64,
    pub pace: [Pace; 2],
    pub waits: [(f64, Ms); 3],
    pub carried: [Carried; 3],
}

/// What the servers of a role have carried: decayed count of successes, warm weight that carried it, and the highest
/// rate a unit of weight.
#[derive(Clone, Copy, Default)]
pub struct Carried {
    pub count: f64,
    pub at: Ms,
    pub units: f64,
    pub peak: f64,
}
