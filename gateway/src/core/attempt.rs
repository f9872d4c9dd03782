//! Runs one attempt: makes its call, waits for the result and forwards a response stream to the client.

use futures_util::stream::StreamExt;
use glenrail_request_lifecycle::request::{AttemptState, Input, Reply as MachineReply, StreamEnd};
use glenrail_request_lifecycle::response_timing::{Progress, ResponseTiming};
use glenrail_router::ServerId;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{timeout_at, Instant};
use tower::ServiceExt;

use super::forwarding::{forward_remaining, send_part, StreamSummary};
use super::request_state::ServerReport;
use super::{Core, DecisionPolicy, Upstream};
use crate::exchange::{CancelToken, ResponseHead, ResponsePart};
use crate::request_ids::RequestIdHold;
use crate::response_ends::{self, EndedResponse, ResponseEnd};
use crate::upstream::{Call, CallError, Frame, Frames, Reply};

impl<U: Upstream, R: DecisionPolicy> Core<U, R> {
    /// Sends an attempt once, unless its deadline has passed, and feeds its result to the request's state
    /// machine.
    pub(super) async fn run_attempt(
        &self, id: u64, attempt: usize, call: Call, deadline: Instant, cancelled: oneshot::Receiver<()>,
    ) {
        if deadline <= Instant::now() {
            // The attempt had to wait for a release until its own deadline had passed.
            return self.step(id, Input::Replied { attempt, reply: MachineReply::NotSent });
        }
        let Call::Attempt { cancel_token, server, .. } = &call else { return };
        let (cancel_token, server) = (cancel_token.clone(), *server);
        let call = self.upstream.clone().oneshot(call);
        let reply = async {
            let reply = tokio::select! {
                biased;
                reply = timeout_at(deadline, call) => reply,
                never = self.confirm_delivery(id, attempt, server, &cancel_token) => match never {},
            };
            if matches!(reply, Ok(Err(CallError::Reset))) {
                self.resolve_reset(id, attempt, &cancel_token, deadline).await;
            }
            reply
        };
        let reply = tokio::select! {
            biased;
            _ = cancelled => return self.step(id, cancelled_input(attempt, &cancel_token)),
            reply = reply => reply,
        };
        match reply {
            Err(_) => self.step(id, Input::TimedOut { attempt }),
            Ok(Ok(Reply::Response { head, frames, timing })) => {
                self.forward_response(id, attempt, server, head, frames, *timing).await;
            }
            Ok(Err(CallError::ResponseExpired(expiry))) => {
                self.report_early_end(id, server, ResponseEnd::Expired(expiry));
                self.step(id, Input::TimedOut { attempt });
            }
            Ok(reply) => {
                if let Err(CallError::MalformedResponse(malformation)) = &reply {
                    self.report_early_end(id, server, ResponseEnd::Malformed(*malformation));
                }
                let (mut reply, report) = machine_reply(reply);
                if reply == MachineReply::Reset && self.has_prefill_ended(id, attempt, &cancel_token) {
                    reply = MachineReply::ResetAndEnded;
                }
                self.store_report(id, attempt, report);
                self.step(id, Input::Replied { attempt, reply });
            }
        }
    }

    /// Reports a response that ended before its first event.
    fn report_early_end(&self, id: u64, server: ServerId, reason: ResponseEnd) {
        let inner = self.inner.borrow();
        let request = inner.requests.get(&id).map(|request| request.payload.request_id.as_str());
        let response = EndedResponse { request, server: Some(server), since_last_event: None };
        response_ends::report(reason, response);
    }

    /// Waits for the first event of a response and reports it to the state machine. Forwards the response to
    /// the client if the attempt is then in the state [`AttemptState::Streaming`], and drops it otherwise.
    async fn forward_response(
        &self, id: u64, attempt: usize, server: ServerId, head: ResponseHead, mut frames: Frames,
        mut timing: ResponseTiming<Instant>,
    ) {
        let Some(Ok(Frame::Data(first))) = frames.next().await else {
            return self.step(id, Input::Replied { attempt, reply: MachineReply::Reset });
        };
        timing.observe(Progress::EventComplete, Instant::now());
        self.step(id, Input::Replied { attempt, reply: MachineReply::FirstEvent });
        let Some((client, id_hold)) = self.client_channel(id, attempt) else {
            drop(frames);
            return self.step(id, Input::CancelCompleted { attempt });
        };
        let summary = match send_part(&client, ResponsePart::Head(head, first)).await {
            true => forward_remaining(&client, frames, timing, Some(server), Some(id_hold)).await,
            false => StreamEnd::ClientStalled.into(),
        };
        let StreamSummary { end, cached_tokens, load } = summary;
        self.store_report(id, attempt, ServerReport { status_detail: cached_tokens, load });
        self.step(id, Input::StreamEnded { attempt, end });
    }

    /// Returns the channel to the client and the hold on the request's id if the attempt is in the state
    /// [`AttemptState::Streaming`].
    fn client_channel(&self, id: u64, attempt: usize) -> Option<(mpsc::Sender<ResponsePart>, RequestIdHold)> {
        let inner = self.inner.borrow();
        let request = inner.requests.get(&id)?;
        match request.machine.attempts()[attempt].state {
            AttemptState::Streaming => Some((request.response.clone()?, request.id_hold.clone())),
            _ => None,
        }
    }

    /// Stores a server's report until the outcome of the attempt is reported to the router.
    fn store_report(&self, id: u64, attempt: usize, report: ServerReport) {
        if let Some(request) = self.inner.borrow_mut().requests.get_mut(&id) {
            request.calls[attempt].report = report;
        }
    }
}

/// Returns the state machine's input for an attempt that was cancelled.
fn cancelled_input(attempt: usize, cancel_token: &CancelToken) -> Input {
    if cancel_token.is_written() {
        return Input::CancelCompleted { attempt };
    }
    // The attempt was cancelled before a byte was written, so it never claimed the lease. With `NotSent` the
    // time of the unclaimed lease is not restarted.
    Input::Replied { attempt, reply: MachineReply::NotSent }
}

/// Converts the result of a call without a response stream to a reply for the state machine. Also returns the
/// server's report.
fn machine_reply(reply: Result<Reply, CallError>) -> (MachineReply, ServerReport) {
    let report = |load| ServerReport { status_detail: 0.0, load };
    match reply {
        Ok(Reply::Prefilled { cached_tokens, report: load }) => {
            (MachineReply::Prefilled, ServerReport { status_detail: cached_tokens, load })
        }
        Ok(Reply::Rejected { state_missing, report: load }) => {
            let status_detail = f64::from(u8::from(state_missing));
            (MachineReply::Rejected, ServerReport { status_detail, load })
        }
        Ok(Reply::Unprocessable { report: load }) => (MachineReply::Unprocessable, report(load)),
        Ok(Reply::Error { report: load }) => (MachineReply::Error, report(load)),
        Ok(_) => (MachineReply::Error, ServerReport::default()),
        Err(CallError::ConnectFailed) => (MachineReply::ConnectFailed, ServerReport::default()),
        Err(CallError::Reset) => (MachineReply::Reset, ServerReport::default()),
        Err(CallError::MalformedResponse(_)) => (MachineReply::MalformedResponse, ServerReport::default()),
        // Such a call ends as a time-out before this.
        Err(CallError::ResponseExpired(_)) => (MachineReply::Error, ServerReport::default()),
        Err(CallError::NotSent) => (MachineReply::NotSent, ServerReport::default()),
    }
}
