//! The client's response: a final response of the gateway, or none because the client disconnected.

use super::planted_faults::Fault;
use super::{Effect, Effects, FinalResponse, Request, ResponseState, RetrySafety};

impl Request {
    /// Sends the client a final response unless one was sent, a stream has begun or the client has disconnected.
    /// Attempts are then cancelled, since their responses can no longer be used.
    pub(super) fn respond(&mut self, response: FinalResponse, effects: &mut Effects) {
        if !self.may_respond() {
            return;
        }
        let response = self.corrected_response(response);
        self.response = ResponseState::Final(response);
        effects.push(Effect::Respond(response));
        self.cancel_all(effects);
    }

    /// Returns whether a final response may be sent: nothing was sent to the client so far, and it is connected.
    fn may_respond(&self) -> bool {
        match self.response {
            ResponseState::Pending => true,
            ResponseState::Final(_) => self.has_fault(Fault::AnswersTwice),
            ResponseState::Streaming => self.has_fault(Fault::AnswersAfterStream),
            ResponseState::StreamEnded | ResponseState::Abandoned => false,
        }
    }

    /// Replaces a rejection by a failure if the request may have run and is not idempotent, because a rejection
    /// guarantees the client that it can safely send the request again.
    fn corrected_response(&self, response: FinalResponse) -> FinalResponse {
        let is_unsafe = response == FinalResponse::Rejected
            && self.policy.retry_safety == RetrySafety::AtMostOnce
            && self.may_have_run()
            && !self.has_fault(Fault::RefusesWhatMayHaveRun);
        if is_unsafe {
            FinalResponse::Failed
        } else {
            response
        }
    }

    /// Sends the final response for a request that a server found invalid. The attempt ends with this reply, so there
    /// is nothing to cancel.
    pub(super) fn respond_unprocessable(&mut self, effects: &mut Effects) {
        if self.response == ResponseState::Pending {
            self.response = ResponseState::Final(FinalResponse::Unprocessable);
            effects.push(Effect::Respond(FinalResponse::Unprocessable));
        }
    }

    /// Handles the client's disconnection, which is ignored once the response has ended.
    pub(super) fn on_client_disconnected(&mut self, effects: &mut Effects) {
        if !self.is_closed() {
            self.response = ResponseState::Abandoned;
            effects.push(Effect::NotifyClientDisconnected);
            self.cancel_all(effects);
        }
    }
}
