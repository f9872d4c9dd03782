//! Releases of the leases that servers hold for a request.

use glenrail_request_lifecycle::request::Input;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};
use tower::ServiceExt;

use super::timing::{RELEASE_RETRY_DELAY, RELEASE_RETRY_LEASE_LIMITS};
use super::{Core, DecisionPolicy, Upstream};
use crate::invariants;
use crate::log;
use crate::upstream::Call;

/// A release that is in flight.
struct PendingRelease {
    request: u64,
    call: Call,
    /// Whether it waits before its first call for servers to notice a cut.
    after_cut: bool,
    /// Since when the lease is unclaimed.
    unclaimed_since: Instant,
    /// When the release is given up.
    give_up_at: Instant,
}

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// Starts the release of all leases of a request.
    pub(super) fn start_release(&self, id: u64, after_cut: bool) {
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        let Some(request) = inner.requests.get_mut(&id) else { return };
        let unclaimed_since = request.unclaimed_since;
        request.record.release_started(inner.clock.at(unclaimed_since), inner.clock.now());
        let release = PendingRelease {
            request: id,
            call: Call::Release { payload: request.payload.clone() },
            after_cut,
            unclaimed_since,
            // By then servers release by themselves, and the process may be about to end.
            give_up_at: request.deadline.max(Instant::now() + inner.lease_limit * RELEASE_RETRY_LEASE_LIMITS),
        };
        spawn_local(self.clone().run_release(release));
    }

    /// Calls until a server has accepted the release, or its time is over.
    async fn run_release(self, release: PendingRelease) {
        if release.after_cut {
            self.await_close_notices(release.request).await;
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

    /// Reports to the machine that a release has ended, accepted or not; `sent_at` is when its last call was sent.
    fn release_finished(&self, id: u64, unclaimed_since: Instant, sent_at: Instant) {
        {
            let mut inner = self.inner.borrow_mut();
            let now = inner.clock.now();
            let lease_limit = inner.lease_limit;
            if let Some(request) = inner.requests.get_mut(&id) {
                request.record.release_finished(now);
                let name = &request.payload.request_id;
                invariants::check_lease_time(unclaimed_since.elapsed(), lease_limit, name);
                // What is reserved from here on was reserved after this release.
                request.unclaimed_since = request.unclaimed_since.max(sent_at);
            }
        }
        self.step(id, Input::Released);
    }
}
