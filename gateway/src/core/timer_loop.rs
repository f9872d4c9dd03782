//! Arms and disarms the core's timers, and runs the task that handles their expiry.

use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;

use glenrail_request_lifecycle::request::{Input, Timer};
use glenrail_router::Event;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio_util::time::delay_queue::Key;

use super::timers::TimerPurpose;
use super::timing::{DEADLINE_TIMER_SLACK, MACHINE_RELEASE_SHARE};
use super::{Core, DecisionPolicy, Inner, Upstream};

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// Arms a timer of the router. A timer that belongs to a request is disarmed when the request finishes.
    pub(super) fn arm_router_timer(&self, at: Instant, key: u64, request: Option<u64>) {
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        let purpose = TimerPurpose::Router { key, request };
        match request.map(|id| inner.requests.get_mut(&id)) {
            // The request has finished already.
            Some(None) => {}
            Some(Some(request)) => request.timers.push((purpose, inner.timers.arm(at, purpose))),
            None => _ = inner.timers.arm(at, purpose),
        }
        self.ensure_timer_task(inner);
    }

    /// Arms a timer of a request's state machine.
    pub(super) fn arm_request_timer(&self, id: u64, timer: Timer) {
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        let Some(request) = inner.requests.get_mut(&id) else { return };
        let at = match timer {
            Timer::Deadline => request.deadline + DEADLINE_TIMER_SLACK,
            // The limit counts from when the lease became unclaimed, which may be earlier than now.
            Timer::LeaseLimit => request.unclaimed_since + inner.lease_limit.mul_f64(MACHINE_RELEASE_SHARE),
        };
        let purpose = TimerPurpose::Request(id, timer);
        let key = inner.timers.arm(at, purpose);
        request.timers.push((purpose, key));
        self.ensure_timer_task(inner);
    }

    /// Disarms a timer of a request's state machine.
    pub(super) fn disarm_request_timer(&self, id: u64, timer: Timer) {
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        let Some(request) = inner.requests.get_mut(&id) else { return };
        let purpose = TimerPurpose::Request(id, timer);
        if let Some(index) = request.timers.iter().position(|armed| armed.0 == purpose) {
            let (_, key) = request.timers.swap_remove(index);
            inner.timers.disarm(&key);
        }
    }

    /// Starts the task that waits for the timers, unless that task is running. The task ends when the core is
    /// dropped.
    fn ensure_timer_task(&self, inner: &mut Inner<R>) {
        if inner.timer_task.is_some() {
            return;
        }
        let (weak, upstream) = (Rc::downgrade(&self.inner), self.upstream.clone());
        let timer_task = spawn_local(async move {
            loop {
                let expired = poll_fn(|context| match weak.upgrade() {
                    Some(inner) => inner.borrow_mut().timers.poll_expired(context).map(Some),
                    None => Poll::Ready(None),
                });
                let Some((key, purpose)) = expired.await else { return };
                let Some(inner) = weak.upgrade() else { return };
                Core { inner, upstream: upstream.clone() }.timer_expired(key, purpose);
            }
        });
        inner.timer_task = Some(timer_task.abort_handle());
    }

    fn timer_expired(&self, key: Key, purpose: TimerPurpose) {
        if let Some(id) = purpose.request() {
            if let Some(request) = self.inner.borrow_mut().requests.get_mut(&id) {
                request.timers.retain(|armed| armed.1 != key);
            }
        }
        match purpose {
            TimerPurpose::Router { key, .. } => self.dispatch(Event::Timer { key }),
            TimerPurpose::Request(id, timer) => self.step(id, Input::TimerExpired(timer)),
        }
    }
}
