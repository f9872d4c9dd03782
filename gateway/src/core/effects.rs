//! What a request's machine says is to be done, carried out.

use super::*;
use crate::invariants;

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    pub(super) fn carry_out(&self, id: u64, effect: Effect) {
        let mut inner = self.inner.borrow_mut();
        let inner = &mut *inner;
        let Some(job) = inner.jobs.get_mut(&id) else { return };
        match effect {
            Effect::StartAttempt { attempt } => {
                let (cancel, cancelled) = oneshot::channel();
                job.sent[attempt].cancel = Some(cancel);
                invariants::check_start(&job.machine, attempt, &job.payload.request_id);
                let server = ServerId(job.machine.attempts()[attempt].server);
                // While no connection comes up, the time of what is held runs on, and that in which it may be repeated.
                let held = job.written_by(inner.pin_limit);
                let confirm = held.is_some() && inner.settings.limits.probes;
                let by = [held, job.repeat_by()].into_iter().flatten().min();
                let connect = by.map(|until| until.saturating_duration_since(Instant::now()));
                let (core, payload, until) = (self.clone(), job.payload.clone(), job.sent[attempt].until);
                let wanted = job.pieces.as_ref().map_or_else(CancelToken::default, CancelToken::for_response);
                job.sent[attempt].wanted = wanted.clone();
                let call = Call::Attempt {
                    server,
                    payload,
                    deadline: until,
                    connect_timeout: connect,
                    verify_connection: confirm,
                    cancel_token: wanted,
                };
                spawn_local(async move { core.attempt(id, attempt, call, until, cancelled).await });
            }
            Effect::CancelAttempt { attempt } => job.sent[attempt].cancel = None,
            Effect::Release { after_cut } => {
                let (core, call) = (self.clone(), Call::Release { payload: job.payload.clone() });
                let held_since = job.unclaimed_since;
                job.told.release_ordered(inner.clock.at(held_since), inner.clock.now());
                // By then servers let go by themselves, and the process may want to end.
                let until = job.deadline.max(Instant::now() + inner.pin_limit * RELEASE_LIMITS);
                spawn_local(async move {
                    if after_cut {
                        sleep(AFTER_CUT).await;
                    }
                    while core.upstream.clone().oneshot(call.clone()).await.is_err() {
                        if Instant::now() >= until {
                            log!("a lease could not be let go: no server took the call");
                            break;
                        }
                        sleep(RELEASE_AGAIN).await;
                    }
                    core.released(id, held_since);
                });
            }
            Effect::RequestSlot { server } => {
                if !job.machine.has_reservation() {
                    job.unclaimed_since = Instant::now();
                }
                let call = Call::ReserveSlot { server: ServerId(server), payload: job.payload.clone() };
                let (core, call) = (self.clone(), self.upstream.clone().oneshot(call));
                let task = spawn_local(async move {
                    let held = match call.await {
                        Ok(Reply::SlotReserved(held)) => held,
                        // Nothing of it reached the server.
                        Err(CallError::ConnectFailed | CallError::NotSent) => Some(false),
                        _ => None,
                    };
                    core.step(id, Input::SlotAnswered { reserved: held });
                });
                job.place = Some(task.abort_handle());
            }
            Effect::CancelSlotRequest => {
                if let Some(place) = job.place.take() {
                    place.abort();
                }
            }
            Effect::Respond(last) => {
                let piece = match last {
                    FinalResponse::Rejected => ResponsePart::Rejected(job.retry_after),
                    FinalResponse::Failed => ResponsePart::Failed(Failure::Upstream),
                    FinalResponse::DeadlineExceeded => ResponsePart::Failed(Failure::DeadlineExceeded),
                    FinalResponse::Unprocessable => ResponsePart::Failed(Failure::Unprocessable),
                };
                if let Some(pieces) = &job.pieces {
                    // Nothing was passed on before, so there is room.
                    let _ = pieces.try_send(piece);
                }
            }
            // The task that brought it passes it on.
            Effect::ForwardStream { .. } => {}
            Effect::NotifyFirstToken { attempt } => {
                let (server, elapsed) =
                    (ServerId(job.machine.attempts()[attempt].server), job.elapsed(attempt));
                job.told.first(attempt, inner.clock.now());
                let (id, attempt) = (RequestId(id), attempt as u32);
                inner.queue.push_back(Event::FirstToken { id, attempt, server, elapsed });
            }
            Effect::NotifyOutcome { attempt, status, closed } => {
                if status == request::Status::Undelivered {
                    let server = job.machine.attempts()[attempt].server;
                    log!(
                        "request {}: no sign that it arrived at server {server:x}; called back",
                        job.payload.request_id
                    );
                }
                let arrived = job.machine.attempts()[attempt].delivered;
                // What a read that was cut may have left is held from now on.
                let reads = job.machine.attempts()[attempt].stage == Stage::Prefill;
                if arrived || reads && job.sent[attempt].wanted.is_written() {
                    job.unclaimed_since = Instant::now();
                }
                if let Some(written) = job.sent[attempt].wanted.first_byte_at() {
                    job.told.written(attempt, inner.clock.at(written));
                }
                let outcome = AttemptOutcome {
                    id: RequestId(id),
                    attempt: attempt as u32,
                    server: ServerId(job.machine.attempts()[attempt].server),
                    status: told(status),
                    elapsed: job.elapsed(attempt),
                    note: job.sent[attempt].note,
                    closed,
                    delivered: arrived,
                    report: job.sent[attempt].report.take(),
                };
                let AttemptOutcome { status, note, report, .. } = outcome;
                job.told.ended(attempt, status, note, report, inner.clock.now());
                inner.queue.push_back(Event::Outcome(outcome));
            }
            Effect::NotifyClientDisconnected => {
                inner.queue.push_back(Event::ClientDisconnected { id: RequestId(id) })
            }
            Effect::NotifySlot { server, reserved: held } => {
                let attempt = job.sent.len().saturating_sub(1) as u32;
                let (id, server) = (RequestId(id), ServerId(server));
                inner.queue.push_back(Event::SlotReservation { id, attempt, server, reserved: held });
            }
            Effect::ArmTimer(timer) => {
                let at = match timer {
                    request::Timer::Deadline => job.deadline + GUARD,
                    // From when the holding began: what has not arrived since then was never out.
                    request::Timer::LeaseLimit => job.unclaimed_since + inner.pin_limit.mul_f64(PIN_USED),
                };
                let key = inner.timers.arm(at, Due::Request(id, timer));
                job.timers.push((Due::Request(id, timer), key));
                self.wind(inner);
            }
            Effect::DisarmTimer(timer) => {
                let due = Due::Request(id, timer);
                if let Some(at) = job.timers.iter().position(|t| t.0 == due) {
                    inner.timers.disarm(&job.timers.swap_remove(at).1);
                }
            }
            Effect::Finished => {
                if let Some(job) = inner.jobs.remove(&id) {
                    job.watch.abort();
                    job.timers.iter().for_each(|(_, key)| inner.timers.disarm(key));
                    inner.names.remove(&job.payload.request_id);
                    inner.ended = Some(job.payload.request_id.as_str().into());
                    invariants::check_end(&job.machine, &job.payload.request_id);
                    for read in job.given_up() {
                        spawn_local(self.clone().follow_up(read));
                    }
                    let story = job.told.end(&job.machine, inner.clock.now());
                    log!("{}{story}", glenrail_access_log::LINE_PREFIX);
                }
            }
        }
    }
}

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// A release of what has been held since then has come to its end.
    fn released(&self, id: u64, held_since: Instant) {
        {
            let mut inner = self.inner.borrow_mut();
            let now = inner.clock.now();
            let pin_limit = inner.pin_limit;
            if let Some(job) = inner.jobs.get_mut(&id) {
                job.told.release_done(now);
                invariants::check_held(held_since.elapsed(), pin_limit, &job.payload.request_id);
            }
        }
        self.step(id, Input::Released);
    }
}

/// An outcome in the router's terms.
pub(super) fn told(status: request::Status) -> AttemptStatus {
    match status {
        request::Status::Served => AttemptStatus::Served,
        request::Status::Prefilled => AttemptStatus::Prefilled,
        request::Status::Error => AttemptStatus::Error,
        request::Status::Rejected => AttemptStatus::Rejected,
        request::Status::Timeout => AttemptStatus::Timeout,
        request::Status::ConnectFailed => AttemptStatus::ConnectFailed,
        request::Status::Reset => AttemptStatus::Reset,
        request::Status::MalformedResponse => AttemptStatus::MalformedResponse,
        request::Status::Cancelled => AttemptStatus::Cancelled,
        request::Status::Undelivered => AttemptStatus::Undelivered,
        request::Status::NotSent => AttemptStatus::NotSent,
    }
}
