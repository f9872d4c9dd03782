//! Request ids in use: each id belongs to at most one open request of the gateway, over upgrades too.
//!
//! [`RequestIds`] drives the process's [`RequestIdTable`], which all pools share. The core claims an id before it admits
//! a request and holds it until the request has finished; `upgrade` connects the tables of two processes. The clock is
//! tokio's.
#![deny(missing_docs)]

mod claim;
mod hold;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use glenrail_request_lifecycle::request_ids::{
    Decision, Effect, Input, LinkId, RequestIdTable, RetentionQueue, SocketCookie, StreamKey,
};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

pub use self::claim::{Claim, ClaimError, PendingClaim};
pub use self::hold::RequestIdHold;
use crate::log;

/// A message about request ids.
pub type Message = glenrail_request_lifecycle::request_ids::Message<String>;

/// Time for which the ids of a process are kept that ended without releasing them, and the ids of requests whose clients have
/// left: the longest time-out of a client, for which a server may still work on a request, and 30 s for what the network holds
/// back.
const RETENTION: Duration = Duration::from_secs(90);
/// Maximum number of messages that wait to be written to a link. The link is closed beyond that, because the other process
/// does not read.
const MAX_QUEUED_MESSAGES: usize = 1 << 16;
/// Maximum time that the transfer of a stream and the exit of the process wait until all messages are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// The request ids in use. Clones share the same state.
#[derive(Clone, Default)]
pub struct RequestIds(Rc<RefCell<State>>);

#[derive(Default)]
struct State {
    table: RequestIdTable<String>,
    /// Ids of requests whose clients have left.
    retained: RetentionQueue<StreamKey<String>, Instant>,
    /// Channels of the claims that wait for a decision.
    waiting: HashMap<String, oneshot::Sender<Decision>>,
    links: HashMap<LinkId, OpenLink>,
    last_link: u32,
}

struct OpenLink {
    queue: mpsc::Sender<Message>,
    /// Number of messages that have not been written.
    unwritten: watch::Sender<usize>,
}

/// An open link to another process: its number, and the messages to write to it.
pub struct Link {
    /// Number of the link.
    pub id: LinkId,
    /// Messages to write; the end of the channel closes the link.
    pub outgoing: mpsc::Receiver<Message>,
}

impl RequestIds {
    /// Number of ids that open requests use, including those of other processes.
    pub fn len(&self) -> usize {
        let state = self.0.borrow();
        state.table.len().saturating_sub(state.retained.len())
    }

    /// Whether no open request uses an id.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of ids that stay in use though their requests have ended, because their clients have left.
    pub fn retained(&self) -> usize {
        self.0.borrow().retained.len()
    }

    /// Whether a request uses or claims this id.
    pub fn is_in_use(&self, id: &str) -> bool {
        self.0.borrow().table.is_in_use(&id.to_owned())
    }

    /// Claims an id for a request that has arrived.
    pub fn claim(&self, id: &str) -> Claim {
        self.release_expired();
        let mut effects = Vec::new();
        self.0.borrow_mut().table.step(Input::Claimed(id.to_owned()), &mut effects);
        // A decision that this process makes itself is the last effect of the claim.
        let decision = match effects.last() {
            Some(Effect::Decided(_, decision)) => Some(*decision),
            _ => None,
        };
        let claim = match decision {
            Some(Decision::Granted) => Claim::Granted(self.hold(StreamKey::Request(id.to_owned()))),
            Some(Decision::InUse) => Claim::InUse,
            None => {
                let (sender, receiver) = oneshot::channel();
                self.0.borrow_mut().waiting.insert(id.to_owned(), sender);
                Claim::Pending(PendingClaim::new(self.clone(), id, receiver))
            }
        };
        self.apply(effects);
        claim
    }

    /// Returns the request id of a stream, if this process knows it.
    fn name_of(&self, stream: &StreamKey<String>) -> Option<String> {
        match stream {
            StreamKey::Request(id) => Some(id.clone()),
            StreamKey::Continued(socket) => self.0.borrow().table.continued_stream_id(*socket).cloned(),
        }
    }

    /// Returns the hold on the id of a stream that this process continues, by the socket of its client. Its id is known
    /// to the table as soon as the predecessor's message has arrived.
    pub fn hold_continued_stream(&self, socket: SocketCookie) -> RequestIdHold {
        self.step(Input::StreamArrived(socket));
        self.hold(StreamKey::Continued(socket))
    }

    /// Opens the link to a process that is about to take over, and hands arbitration over to it. `None` if another
    /// process is the arbiter.
    pub fn open_successor_link(&self) -> Option<Link> {
        if !self.0.borrow().table.is_arbiter() {
            return None;
        }
        let link = self.open_link();
        self.step(Input::SuccessorConnected(link.id));
        Some(link)
    }

    /// Opens the link to the process that this one takes over from.
    pub fn open_predecessor_link(&self) -> Link {
        let link = self.open_link();
        self.step(Input::PredecessorConnected(link.id));
        link
    }

    /// Processes a message of another process.
    pub fn receive(&self, link: LinkId, message: Message) {
        self.step(Input::Received(link, message));
    }

    /// Processes the end of a link.
    pub fn disconnect(&self, link: LinkId) {
        self.0.borrow_mut().links.remove(&link);
        self.step(Input::Disconnected(link));
    }

    /// The successor no longer serves in place of this process.
    pub fn end_successor(&self) {
        self.step(Input::SuccessorEnded);
    }

    /// This process stops accepting connections, and its predecessor accepts again.
    pub fn return_arbitration(&self) {
        self.step(Input::ShutdownStarted);
    }

    /// Reports that this number of a link's messages has been written.
    pub fn note_written(&self, link: LinkId, count: usize) {
        if let Some(link) = self.0.borrow().links.get(&link) {
            link.unwritten.send_modify(|unwritten| *unwritten -= count);
        }
    }

    /// Waits until all messages so far have been written, for a limited time. What is written reaches the other process even
    /// if this one is killed.
    pub async fn flush(&self) {
        let links = self.0.borrow().links.values().map(|link| link.unwritten.subscribe()).collect::<Vec<_>>();
        let written = async {
            for mut unwritten in links {
                // An error means that the link has closed.
                let _ = unwritten.wait_for(|count| *count == 0).await;
            }
        };
        if timeout(FLUSH_TIMEOUT, written).await.is_err() {
            log!("upgrade: the other process has not received all messages about request ids in time");
        }
    }

    /// Keeps an id in use for [`RETENTION`].
    fn retain(&self, key: StreamKey<String>) {
        self.release_expired();
        let released = self.0.borrow_mut().retained.retain(key, Instant::now() + RETENTION);
        if let Some(released) = released {
            self.release(&released);
        }
    }

    /// Releases the ids whose retention has ended. Their number is bounded, so this needs no timer.
    fn release_expired(&self) {
        let now = Instant::now();
        loop {
            let expired = self.0.borrow_mut().retained.pop_expired(now);
            let Some(expired) = expired else { return };
            self.release(&expired);
        }
    }

    /// Ends one use of an id.
    fn release(&self, key: &StreamKey<String>) {
        self.step(match key {
            StreamKey::Request(id) => Input::RequestFinished(id.clone()),
            StreamKey::Continued(socket) => Input::StreamEnded(*socket),
        });
    }

    fn hold(&self, key: StreamKey<String>) -> RequestIdHold {
        RequestIdHold::new(self.clone(), key)
    }

    fn open_link(&self) -> Link {
        let mut state = self.0.borrow_mut();
        state.last_link += 1;
        let id = LinkId(state.last_link);
        let (queue, outgoing) = mpsc::channel(MAX_QUEUED_MESSAGES);
        state.links.insert(id, OpenLink { queue, unwritten: watch::Sender::new(0) });
        Link { id, outgoing }
    }

    fn step(&self, input: Input<String>) {
        let mut effects = Vec::new();
        self.0.borrow_mut().table.step(input, &mut effects);
        self.apply(effects);
    }

    fn apply(&self, effects: Vec<Effect<String>>) {
        for effect in effects {
            match effect {
                Effect::Decided(id, decision) => self.notify(&id, decision),
                Effect::Send(link, message) => self.send(link, message),
                Effect::StartRetention(link) => self.start_retention(link),
            }
        }
    }

    /// Passes a decision to the request that waits for it. A claim that is decided at once has no channel.
    fn notify(&self, id: &str, decision: Decision) {
        if let Some(waiting) = self.0.borrow_mut().waiting.remove(id) {
            // The claim releases the id if it no longer waits.
            let _ = waiting.send(decision);
        }
    }

    fn send(&self, link: LinkId, message: Message) {
        let mut state = self.0.borrow_mut();
        let Some(open) = state.links.get(&link) else { return };
        open.unwritten.send_modify(|unwritten| *unwritten += 1);
        if open.queue.try_send(message).is_err() {
            log!("upgrade: the other process does not read the request ids in use; its link is closed");
            state.links.remove(&link);
        }
    }

    fn start_retention(&self, link: LinkId) {
        log!("upgrade: a process has ended with ids in use; they stay in use for {RETENTION:?} at most");
        let ids = self.clone();
        spawn_local(async move {
            sleep(RETENTION).await;
            ids.step(Input::RetentionElapsed(link));
        });
    }
}

#[cfg(test)]
mod tests;
