//! Simulated servers of a replay.

use super::*;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum StartedCall {
    Attempt,
    Release,
    SlotRequest,
}

/// Servers that reply when the replay sends the reply. Clones share the same state.
#[derive(Clone, Default)]
pub(super) struct ReplayServers(pub(super) Rc<RefCell<PendingCalls>>);

#[derive(Default)]
pub(super) struct PendingCalls {
    /// All calls, in order.
    pub(super) started: Vec<StartedCall>,
    pub(super) attempts: Vec<oneshot::Sender<Result<Reply, CallError>>>,
    /// The token of each attempt, in the order of `attempts`.
    pub(super) tokens: Vec<CancelToken>,
    pub(super) release: Option<oneshot::Sender<()>>,
    pub(super) slot_request: Option<oneshot::Sender<Option<bool>>>,
    /// Whether delivery confirmations succeed.
    pub(super) is_reachable: bool,
    in_flight: usize,
    pub(super) max_in_flight: usize,
}

struct AttemptInFlight(ReplayServers);

impl AttemptInFlight {
    fn new(servers: ReplayServers) -> Self {
        {
            let mut pending = servers.0.borrow_mut();
            pending.in_flight += 1;
            pending.max_in_flight = pending.max_in_flight.max(pending.in_flight);
        }
        AttemptInFlight(servers)
    }
}

impl Drop for AttemptInFlight {
    fn drop(&mut self) {
        self.0 .0.borrow_mut().in_flight -= 1;
    }
}

impl ReplayServers {
    pub(super) async fn answer(self, call: Call) -> Result<Reply, CallError> {
        match call {
            Call::Attempt { cancel_token, .. } => {
                cancel_token.set_written(true);
                self.0.borrow_mut().tokens.push(cancel_token);
                self.attempt().await
            }
            Call::Release { .. } => {
                let (reply, replied) = oneshot::channel();
                self.0.borrow_mut().started.push(StartedCall::Release);
                self.0.borrow_mut().release = Some(reply);
                replied.await.map(|()| Reply::Done).map_err(|_| CallError::ConnectFailed)
            }
            Call::ReserveSlot { .. } => {
                let (reply, replied) = oneshot::channel();
                self.0.borrow_mut().started.push(StartedCall::SlotRequest);
                self.0.borrow_mut().slot_request = Some(reply);
                replied.await.map(Reply::SlotReserved).map_err(|_| CallError::Reset)
            }
            Call::ConfirmDelivery { .. } if self.0.borrow().is_reachable => {
                Ok(Reply::DeliveryObserved(Observation::ResponseOnLaterConnection))
            }
            Call::ConfirmDelivery { .. } => Err(CallError::ConnectFailed),
            _ => Ok(Reply::Done),
        }
    }

    async fn attempt(self) -> Result<Reply, CallError> {
        let (reply, replied) = oneshot::channel();
        self.0.borrow_mut().started.push(StartedCall::Attempt);
        self.0.borrow_mut().attempts.push(reply);
        let in_flight = AttemptInFlight::new(self);
        let reply = replied.await.unwrap_or(Err(CallError::Reset))?;
        Ok(match reply {
            Reply::Response { head, frames, timing } => {
                let frames = frames.inspect(move |_| _ = &in_flight).boxed_local();
                Reply::Response { head, frames, timing }
            }
            reply => reply,
        })
    }
}
