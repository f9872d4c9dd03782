//! Reads that were given up and whose server may not know it: a close that is handed to the machine may never arrive, and a
//! read that goes on to its end leaves a state that no release has met.

use super::*;

/// While the server gives no sign, what it may have come to hold is let go again after this share of the pin limit.
const AGAIN: f64 = 0.4;

/// A read that was given up on an open connection.
pub(super) struct GivenUp {
    server: ServerId,
    payload: Rc<Payload>,
    /// What its server was told: it does no work for it later.
    until: Instant,
}

impl RequestState {
    /// The reads of a request at its end of which nobody can say that their servers have seen the close.
    pub(super) fn given_up(&self) -> Vec<GivenUp> {
        let unseen = |status| {
            matches!(
                status,
                request::Status::Cancelled | request::Status::Timeout | request::Status::Undelivered
            )
        };
        let attempts = self.machine.attempts().iter().zip(&self.sent);
        let given_up = attempts.filter(|(attempt, sent)| {
            let closed_here = matches!(attempt.state, AttemptState::Ended(status) if unseen(status));
            attempt.stage == Stage::Prefill && closed_here && sent.wanted.is_written()
        });
        let told = |(attempt, sent): (&request::Attempt, &AttemptCall)| GivenUp {
            server: ServerId(attempt.server),
            payload: self.payload.clone(),
            until: sent.until,
        };
        given_up.map(told).collect()
    }
}

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// Lets go of what such a read may come to hold, until its server gives a sign: what passes then, the close has passed
    /// before.
    pub(super) async fn follow_up(self, read: GivenUp) {
        let pause = self.inner.borrow().pin_limit.mul_f64(AGAIN);
        loop {
            let seen = self.check(read.server).await;
            sleep(if seen { AFTER_CUT } else { pause }).await;
            // A request of the same name would lose what it holds.
            if self.inner.borrow().names.contains_key(&read.payload.request_id) {
                return;
            }
            let call = Call::Release { payload: read.payload.clone() };
            // Nobody may be reachable; the next round asks again.
            let _ = self.upstream.clone().oneshot(call).await;
            if seen || Instant::now() >= read.until {
                return;
            }
        }
    }
}
