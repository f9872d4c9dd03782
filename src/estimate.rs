//! When a server would come to a request sent now, by what this router has seen of it. No clock, no state, no I/O.

use crate::api::{Ms, Role};
use crate::crowd;
use crate::state::{Learned, Server, Stage, Waiting};

/// Of this router's own work that waits at a server, what a new one waits for: a server takes in several at once.
const OWN_COUNTS: f64 = 0.5;
/// Time that a token's reading takes while nothing has been read yet (ms).
const UNKNOWN_PACE: Ms = 0.06;
/// Tokens of work that every read costs beside its own (keeps short reads comparable).
pub const FIXED_WORK: f64 = 500.0;
/// The times in which a server's wait and its role's fade (ms).
const WAIT_FADES: Ms = 1_000.0;
const ROLE_WAIT_FADES: Ms = 4_000.0;

/// The work of a usual read, in tokens.
pub fn usual_work(learned: &Learned) -> f64 {
    0.5 * learned.prompt + FIXED_WORK
}

/// How long it takes (ms) until a read of this much work has ended at a reader, or a stream begins at a writer or a mixed
/// server, if sent now. A server of which nothing is known is taken for idle.
pub fn until(s: &Server, learned: &Learned, routers: f64, now: Ms, work: f64) -> Ms {
    let counts = |w: &&Waiting| w.counts();
    let oldest = s.waiting.values().filter(counts).map(|w| w.since).fold(now, f64::min);
    let trust = if s.waiting.is_empty() { ((s.answered - now) / WAIT_FADES).exp() } else { 1.0 };
    let (like, at) = learned.waits[s.role as usize];
    // A writer's wait fades into its role's: one of many routers meets it too seldom to have its own.
    let writer = s.role == Role::Writer;
    let like = if writer { like * ((at - now) / ROLE_WAIT_FADES).exp() } else { 0.0 };
    let wait = (s.wait * trust + like * (1.0 - trust)).max(now - oldest);
    if writer {
        return wait;
    }
    let pace = s.pace(learned.pace[Stage::Read as usize], crowd::enough(routers));
    let told = crowd::told_wait(s, routers, now, pace, usual_work(learned));
    // Outcomes come too late to tell of what this router has sent there just now.
    let own: f64 = s.waiting.values().filter(counts).map(|w| w.work).sum();
    // One of many routers has few samples for long, and refuses nothing for what it only guesses.
    let pace = if pace > 0.0 || crowd::thin(routers) { pace } else { UNKNOWN_PACE };
    wait.max(told).max(own * OWN_COUNTS * pace) + work * pace
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::RequestId;
    use proptest::prelude::*;

    proptest! {
        /// More work, own or new, never ends sooner, and a wait that was met is forgotten with time, but not what is out.
        #[test]
        fn more_work_never_ends_sooner(own in prop::collection::vec(0.0..20_000.0f64, 0..6), work in 500.0..20_000.0f64,
                                       more in 0.0..20_000.0f64, wait in 0.0..5_000.0f64, pace in 0.01..0.5f64) {
            let mut learned = Learned { prompt: 3_000.0, ..Learned::default() };
            learned.pace[Stage::Read as usize].add(pace);
            let waiting = own.iter().zip(0..).map(|(work, id)| {
                (RequestId(id), Waiting { since: 1_000.0, overtaken: 0, work: *work })
            });
            let busy = Server { waiting: waiting.collect(), wait, answered: 1_000.0, ..Server::default() };
            let ends = |s: &Server, work, now| until(s, &learned, 3.0, now, work);
            prop_assert!(ends(&busy, work, 1_000.0) <= ends(&busy, work + more, 1_000.0));
            let idle = Server { wait, answered: 1_000.0, ..Server::default() };
            prop_assert!(ends(&idle, work, 1_000.0) <= ends(&busy, work, 1_000.0) + 1e-9);
            prop_assert!((ends(&idle, work, 60_000.0) - work * pace).abs() < 1.0);
            let out = busy.waiting.len();
            prop_assert!(out == 0 || ends(&busy, work, 60_000.0) >= 59_000.0);
        }
    }
}
