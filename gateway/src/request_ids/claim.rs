//! A claim on a request id, and the wait for the arbiter's decision.

use std::time::Duration;

use glenrail_request_lifecycle::request_ids::{Decision, Input, StreamKey};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::{RequestIdHold, RequestIds};

/// Maximum time that a request waits for the other process of an upgrade.
const DECISION_TIMEOUT: Duration = Duration::from_millis(250);

/// Result of a claim.
pub enum Claim {
    /// The id belongs to the request.
    Granted(RequestIdHold),
    /// Another request uses the id.
    InUse,
    /// The other process of an upgrade decides.
    Pending(PendingClaim),
}

/// Why an id was not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// Another request uses the id.
    #[error("another request with this id is open")]
    InUse,
    /// The other process of an upgrade has not decided in time.
    #[error("the other process of the upgrade has not decided within {DECISION_TIMEOUT:?}")]
    Undecided,
}

/// A claim that the other process decides. Dropping it withdraws the claim.
pub struct PendingClaim {
    ids: RequestIds,
    id: String,
    decision: oneshot::Receiver<Decision>,
}

impl PendingClaim {
    pub(super) fn new(ids: RequestIds, id: &str, decision: oneshot::Receiver<Decision>) -> Self {
        PendingClaim { ids, id: id.to_owned(), decision }
    }

    /// Waits for the decision, for a limited time.
    pub async fn decided(mut self) -> Result<RequestIdHold, ClaimError> {
        match timeout(DECISION_TIMEOUT, &mut self.decision).await {
            Ok(Ok(Decision::Granted)) => Ok(self.ids.hold(StreamKey::Request(self.id.clone()))),
            Ok(Ok(Decision::InUse)) => Err(ClaimError::InUse),
            Ok(Err(_)) | Err(_) => Err(ClaimError::Undecided),
        }
    }
}

impl Drop for PendingClaim {
    fn drop(&mut self) {
        match self.decision.try_recv() {
            // The id was granted, but nobody has received the decision.
            Ok(Decision::Granted) => self.ids.step(Input::RequestFinished(self.id.clone())),
            Ok(Decision::InUse) | Err(oneshot::error::TryRecvError::Closed) => {}
            Err(oneshot::error::TryRecvError::Empty) => {
                self.ids.0.borrow_mut().waiting.remove(&self.id);
                self.ids.step(Input::ClaimWithdrawn(self.id.clone()));
            }
        }
    }
}
