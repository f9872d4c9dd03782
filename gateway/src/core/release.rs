//! Release of the leases that servers hold for a request, with retries.

use glenrail_request_lifecycle::request::Input;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};
use tower::ServiceExt;

use super::timing::{RELEASE_RETRY_DELAY, RELEASE_RETRY_LEASE_LIMITS};
use super::{Core, DecisionPolicy, Upstream};
use crate::invariants;
use crate::log;
use crate::upstream::Call;

/// A release that is in progress.
struct PendingRelease {
    request: u64,
    call: Call,
    /// Whether servers first get a short time to notice that an attempt was interrupted.
    after_interruption: bool,
    /// Start of the time in which no attempt has claimed the lease.
    unclaimed_since: Instant,
    /// Time after which the release is not retried.
    give_up_at: Instant,
}

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// Starts the release of all leases of a request.
    pub(super) fn start_release(&self, id: u64, after_interruption: bool) {
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        let Some(request) = inner.requests.get_mut(&id) else { return };
        let unclaimed_since = request.unclaimed_since;
        request.record.release_started(inner.clock.at(unclaimed_since), inner.clock.now());
        let release = PendingRelease {
            request: id,
            call: Call::Release { payload: request.payload.clone() },
            after_interruption,
            unclaimed_since,
            // By then servers have expired the lease themselves, and a process that shuts down must not wait longer.
            give_up_at: request.deadline.max(Instant::now() + inner.lease_limit * RELEASE_RETRY_LEASE_LIMITS),
        };
        spawn_local(self.clone().run_release(release));
    }

    /// Repeats the release until a server accepts it or the time for retries has passed. After an
    /// interruption, first waits a short time for close confirmations.
    async fn run_release(self, release: PendingRelease) {
        if release.after_interruption {
            self.await_close_confirmations(release.request).await;
            self.step(release.request, Input::ReleaseSent);
        }
        let mut sent_at = Instant::now();
        while self.upstream.clone().oneshot(release.call.clone()).await.is_err() {
            if Instant::now() >= release.give_up_at {
                log!("a lease could not be released: no server accepted the call");
                break;
            }
            sleep(RELEASE_RETRY_DELAY).await;
            sent_at = Instant::now();
        }
        self.release_finished(release.request, release.unclaimed_since, sent_at);
    }

    /// Reports to the state machine that a release has ended, accepted or not; `sent_at` is when its last call was sent.
    fn release_finished(&self, id: u64, unclaimed_since: Instant, sent_at: Instant) {
        {
            let mut inner = self.inner.borrow_mut();
            let now = inner.clock.now();
            let lease_limit = inner.lease_limit;
            if let Some(request) = inner.requests.get_mut(&id) {
                request.record.release_finished(now);
                let name = &request.payload.request_id;
                invariants::check_lease_time(unclaimed_since.elapsed(), lease_limit, name);
                // The release covers everything reserved before it was sent; only later state is still unclaimed.
                request.unclaimed_since = request.unclaimed_since.max(sent_at);
            }
        }
        self.step(id, Input::Released);
    }
}
