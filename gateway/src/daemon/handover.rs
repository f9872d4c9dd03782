//! Upgrades as the daemon runs them: takes over from a predecessor at the start, and waits for a successor after it.

use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::listeners::ListenerCopies;
use crate::shutdown::Shutdown;
use crate::upgrade::{
    self, ReservedHalf, RoutingStateTransfer, SharedLimits, TransferInbox, TransferInboxes, UpgradeLink,
};

/// A process that takes over looks this often whether it can serve.
const READINESS_INTERVAL: Duration = Duration::from_millis(20);

/// A process at the same address that hands over to this one.
struct Predecessor {
    link: UpgradeLink,
    /// Its part of the limits.
    reserved: ReservedHalf,
}

/// What a front gets from a predecessor: its listener at once, connections as they become idle.
pub(super) struct InheritedFront {
    pub(super) listener: Option<TcpListener>,
    pub(super) inbox: TransferInbox,
}

/// The fronts' inheritance.
pub(super) struct Inheritance {
    pub(super) platform: InheritedFront,
    pub(super) second: InheritedFront,
}

/// What a process needs before it accepts in place of its predecessor, and what goes from one to the next.
pub(super) struct HandoverHooks {
    /// Whether this process can do all that its predecessor could.
    pub(super) can_take_over: Rc<dyn Fn() -> bool>,
    pub(super) routing_state: RoutingStateTransfer,
}

impl Default for HandoverHooks {
    /// Nothing to wait for, and nothing learned.
    fn default() -> Self {
        HandoverHooks {
            can_take_over: Rc::new(|| true),
            routing_state: RoutingStateTransfer { export: Rc::new(Vec::new), import: Rc::new(|_| {}) },
        }
    }
}

/// This process's part in upgrades.
pub(super) struct Handover {
    /// Where processes at the same address meet; `None`: there are no upgrades.
    state: Option<PathBuf>,
    limits: SharedLimits,
    inboxes: Rc<TransferInboxes>,
    predecessor: Option<Predecessor>,
    accepting: watch::Sender<bool>,
}

impl Handover {
    /// Requests the listeners of a predecessor, if there is one, and leaves it half of the limits.
    pub(super) async fn request(state: Option<PathBuf>, limits: SharedLimits) -> (Handover, Inheritance) {
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
        // After a predecessor, this process accepts only once it can do all that the other could.
        let accepting = watch::Sender::new(predecessor.is_none());
        (Handover { state, limits, inboxes, predecessor, accepting }, inheritance)
    }

    /// Whether this process accepts connections yet, and the change of that.
    pub(super) fn accepting(&self) -> watch::Receiver<bool> {
        self.accepting.subscribe()
    }

    pub(super) fn has_predecessor(&self) -> bool {
        self.predecessor.is_some()
    }

    /// Takes over from the predecessor as soon as possible, then waits for successors.
    ///
    /// Without a state directory there are no upgrades. The copies of the listeners are closed then: they would keep the
    /// sockets listening after the fronts have stopped accepting. What is returned keeps the fronts' inboxes open.
    pub(super) fn start(
        self, copies: ListenerCopies, hooks: HandoverHooks, shutdown: &Shutdown,
    ) -> Option<Handover> {
        let Some(state) = self.state.clone() else { return Some(self) };
        spawn_local(self.run(state, copies, hooks, shutdown.clone()));
        None
    }

    async fn run(self, state: PathBuf, copies: ListenerCopies, hooks: HandoverHooks, shutdown: Shutdown) {
        let Handover { limits, inboxes, predecessor, accepting, .. } = self;
        let HandoverHooks { can_take_over, routing_state } = hooks;
        if let Some(Predecessor { link, reserved }) = predecessor {
            while !can_take_over() {
                sleep(READINESS_INTERVAL).await;
            }
            accepting.send_replace(true);
            spawn_local(upgrade::serve_as_successor(
                link,
                inboxes.clone(),
                routing_state.clone(),
                shutdown.clone(),
                reserved,
            ));
        }
        let listeners = copies.into_inner();
        upgrade::serve_as_predecessor(state, listeners, inboxes, routing_state, shutdown, limits).await;
    }
}
