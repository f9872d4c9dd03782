//! The daemon's side of upgrades: takes over from a predecessor at the start, then waits for a successor.

use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::listeners::ListenerCopies;
use crate::request_ids::RequestIds;
use crate::shutdown::Shutdown;
use crate::upgrade::{
    self, ReservedHalf, RoutingStateTransfer, SharedLimits, TransferInbox, TransferInboxes, UpgradeLink,
};

/// Interval at which a successor checks whether it is ready to serve.
const READINESS_INTERVAL: Duration = Duration::from_millis(20);

/// Predecessor process at the same address, which hands over to this one.
struct Predecessor {
    link: UpgradeLink,
    /// Half of the limits, reserved for the predecessor.
    reserved: ReservedHalf,
}

/// A front's inheritance from a predecessor: the listener at the start, then connections as they become idle or with a
/// stream in flight.
pub(super) struct InheritedFront {
    pub(super) listener: Option<TcpListener>,
    pub(super) inbox: TransferInbox,
}

/// Inheritance of both fronts.
pub(super) struct Inheritance {
    pub(super) platform: InheritedFront,
    pub(super) second: InheritedFront,
}

/// Callbacks for a handover: the readiness check of a successor, and the export and import of routing state.
pub(super) struct HandoverHooks {
    /// Returns whether this process is ready to replace its predecessor.
    pub(super) can_take_over: Rc<dyn Fn() -> bool>,
    pub(super) routing_state: RoutingStateTransfer,
}

impl Default for HandoverHooks {
    /// Ready at once, with no routing state to transfer.
    fn default() -> Self {
        HandoverHooks {
            can_take_over: Rc::new(|| true),
            routing_state: RoutingStateTransfer { export: Rc::new(Vec::new), import: Rc::new(|_| {}) },
        }
    }
}

/// Upgrade state of this process, as successor and as predecessor.
pub(super) struct Handover {
    /// State directory with the socket of the handover; `None` disables upgrades.
    state: Option<PathBuf>,
    limits: SharedLimits,
    inboxes: Rc<TransferInboxes>,
    request_ids: RequestIds,
    predecessor: Option<Predecessor>,
    accepting: watch::Sender<bool>,
}

impl Handover {
    /// Requests the listeners of a predecessor, if there is one, and reserves half of the limits for it.
    pub(super) async fn request(
        state: Option<PathBuf>, limits: SharedLimits, request_ids: RequestIds,
    ) -> (Handover, Inheritance) {
        let handover_state = match &state {
            Some(state) => upgrade::request_handover(state).await,
            None => None,
        };
        let (inboxes, [platform_inbox, second_inbox]) = TransferInboxes::new();
        let ([platform_listener, second_listener], predecessor) = match handover_state {
            Some(received) => {
                let predecessor = Predecessor { link: received.link, reserved: limits.reserve_half() };
                (received.listeners, Some(predecessor))
            }
            None => ([None, None], None),
        };
        let inheritance = Inheritance {
            platform: InheritedFront { listener: platform_listener, inbox: platform_inbox },
            second: InheritedFront { listener: second_listener, inbox: second_inbox },
        };
        // With a predecessor, this process accepts connections only once `HandoverHooks::can_take_over` returns true.
        let accepting = watch::Sender::new(predecessor.is_none());
        (Handover { state, limits, inboxes, request_ids, predecessor, accepting }, inheritance)
    }

    /// Returns a receiver of whether this process accepts connections, notified when that changes.
    pub(super) fn accepting(&self) -> watch::Receiver<bool> {
        self.accepting.subscribe()
    }

    pub(super) fn has_predecessor(&self) -> bool {
        self.predecessor.is_some()
    }

    /// Spawns the task that takes over from the predecessor as soon as this process is ready, then waits for
    /// successors.
    ///
    /// Without a state directory, upgrades are disabled and `self` is returned, to keep the fronts' inboxes open. The
    /// copies of the listeners are closed in this case: they would keep the sockets listening after the fronts stop
    /// accepting.
    pub(super) fn start(
        self, copies: ListenerCopies, hooks: HandoverHooks, shutdown: &Shutdown,
    ) -> Option<Handover> {
        let Some(state) = self.state.clone() else { return Some(self) };
        spawn_local(self.run(state, copies, hooks, shutdown.clone()));
        None
    }

    async fn run(self, state: PathBuf, copies: ListenerCopies, hooks: HandoverHooks, shutdown: Shutdown) {
        let Handover { limits, inboxes, request_ids, predecessor, accepting, .. } = self;
        let HandoverHooks { can_take_over, routing_state } = hooks;
        if let Some(Predecessor { link, reserved }) = predecessor {
            while !can_take_over() {
                sleep(READINESS_INTERVAL).await;
            }
            // The ids of open requests are known before the first request is accepted.
            upgrade::connect_request_ids(&state, &request_ids).await;
            accepting.send_replace(true);
            spawn_local(upgrade::serve_as_successor(
                link,
                inboxes.clone(),
                routing_state.clone(),
                request_ids.clone(),
                shutdown.clone(),
                reserved,
            ));
        }
        let listeners = copies.into_inner();
        upgrade::serve_as_predecessor(
            state,
            listeners,
            inboxes,
            routing_state,
            request_ids,
            shutdown,
            limits,
        )
        .await;
    }
}
