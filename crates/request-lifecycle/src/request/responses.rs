//! The client's one answer: a final answer of the gateway's own, or nothing because the client left.

use super::planted_faults::Fault;
use super::{Effect, Effects, FinalResponse, Request, ResponseState, RetrySafety};

impl Request {
    /// Gives the final answer, unless one was given or a stream has begun. What is in flight is then of use to nobody.
    pub(super) fn respond(&mut self, response: FinalResponse, effects: &mut Effects) {
        if !self.may_respond() {
            return;
        }
        let response = self.truthful(response);
        self.response = ResponseState::Final(response);
        effects.push(Effect::Respond(response));
        self.cancel_all(effects);
    }

    /// Whether the client has received neither an answer nor the beginning of one.
    fn may_respond(&self) -> bool {
        match self.response {
            ResponseState::Pending => true,
            ResponseState::Final(_) => self.has_fault(Fault::AnswersTwice),
            ResponseState::Streaming => self.has_fault(Fault::AnswersAfterStream),
            ResponseState::StreamEnded | ResponseState::Abandoned => false,
        }
    }

    /// A rejection tells the client that it may safely send the request again: of a request that may have run and is
    /// not idempotent, that would be untrue, so it becomes a failure.
    fn truthful(&self, response: FinalResponse) -> FinalResponse {
        let misleading = response == FinalResponse::Rejected
            && self.policy.retry_safety == RetrySafety::AtMostOnce
            && self.may_have_run()
            && !self.has_fault(Fault::RefusesWhatMayHaveRun);
        if misleading {
            FinalResponse::Failed
        } else {
            response
        }
    }

    /// A server found the request itself at fault, which is final. The attempt has ended by this, so there is nothing to
    /// cancel.
    pub(super) fn respond_unprocessable(&mut self, effects: &mut Effects) {
        if self.response == ResponseState::Pending {
            self.response = ResponseState::Final(FinalResponse::Unprocessable);
            effects.push(Effect::Respond(FinalResponse::Unprocessable));
        }
    }

    /// The client disconnected.
    pub(super) fn abandon(&mut self, effects: &mut Effects) {
        if !self.is_closed() {
            self.response = ResponseState::Abandoned;
            effects.push(Effect::NotifyClientDisconnected);
            self.cancel_all(effects);
        }
    }
}
