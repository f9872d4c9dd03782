//! Request ids in use across the processes of an upgrade: an id belongs to at most one request at any time.
//!
//! During an upgrade several processes of one gateway admit requests. One of them is the arbiter, which alone grants
//! ids; the others claim each id from it before they admit a request. A predecessor hands arbitration over before its
//! successor accepts connections, and the successor returns it when it shuts down. Both sides of a link report the ids
//! that they use, so that the other side knows them when it becomes the arbiter.
//!
//! [`RequestIdTable`] owns the state of one process. The driver owns the links and the clock, and delivers the messages
//! of a link in order. Without a link the process is the arbiter and a claim is granted at once.

mod arbitration;
mod messages;
mod planted_faults;
mod retention;
mod streams;
mod usage;

use std::collections::{BTreeMap, BTreeSet};

pub use self::messages::{ClaimNumber, Decision, Effect, Input, LinkId, Message, SocketCookie, StreamKey};
#[cfg(not(feature = "mutants"))]
use self::planted_faults::Fault;
#[cfg(feature = "mutants")]
pub use self::planted_faults::Fault;
pub use self::retention::{RetentionQueue, MAX_RETAINED_IDS};
use self::streams::ContinuedStream;

/// Who uses an id. An id can have several users for one request, as while its stream continues in another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum User {
    /// A request of this process.
    Request,
    /// A stream that this process continues for the process that admitted the request.
    Stream(SocketCookie),
    /// A process behind this link.
    Link(LinkId),
    /// A process that ended without releasing the id; its servers may still work on the request.
    EndedProcess(LinkId),
}

/// Who waits for the arbiter's decision about an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Claimant {
    /// A request of this process.
    Request,
    /// A process behind this link, with the number of its claim.
    Link(LinkId, ClaimNumber),
}

/// A claim that waits for the arbiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct WaitingClaim {
    claimant: Claimant,
    /// Number under which the arbiter was asked.
    number: ClaimNumber,
}

/// Which process grants ids.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Arbiter {
    /// This process.
    #[default]
    ThisProcess,
    /// The process behind this link.
    Link(LinkId),
    /// A successor that may still serve, though its link has ended. Claims wait until its end is known.
    Unreachable,
}

/// The ids that this process knows to be in use, and the claims that wait for the arbiter. `K` is the type of an id.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestIdTable<K: Ord> {
    users: BTreeMap<K, BTreeSet<User>>,
    claims: BTreeMap<K, WaitingClaim>,
    last_claim: ClaimNumber,
    /// Streams that this process continues for its predecessor.
    streams: BTreeMap<SocketCookie, ContinuedStream<K>>,
    /// Whether this process shuts down and receives no more streams.
    refuses_streams: bool,
    links: BTreeSet<LinkId>,
    arbiter: Arbiter,
    /// Link to the process that this one takes over from.
    predecessor: Option<LinkId>,
    /// Link to the process that takes over from this one, until that process no longer serves.
    successor: Option<LinkId>,
    /// Whether the successor has handed arbitration to a successor of its own.
    arbitration_passed_on: bool,
    #[cfg(feature = "mutants")]
    fault: Option<Fault>,
}

impl<K: Ord> Default for RequestIdTable<K> {
    fn default() -> Self {
        RequestIdTable {
            users: BTreeMap::new(),
            claims: BTreeMap::new(),
            last_claim: ClaimNumber(0),
            streams: BTreeMap::new(),
            refuses_streams: false,
            links: BTreeSet::new(),
            arbiter: Arbiter::ThisProcess,
            predecessor: None,
            successor: None,
            arbitration_passed_on: false,
            #[cfg(feature = "mutants")]
            fault: None,
        }
    }
}

impl<K: Ord + Clone> RequestIdTable<K> {
    /// Processes one input and appends the resulting effects, which the driver executes in order. Inputs about unknown
    /// links, ids or streams change nothing.
    pub fn step(&mut self, input: Input<K>, effects: &mut Vec<Effect<K>>) {
        match input {
            Input::Claimed(id) => self.claim(id, Claimant::Request, effects),
            Input::ClaimWithdrawn(id) => self.withdraw(&id, effects),
            Input::RequestFinished(id) => self.remove_user(&id, User::Request, effects),
            Input::StreamHandedOver { stream, socket } => self.hand_over_stream(stream, socket, effects),
            Input::StreamArrived(socket) => self.start_stream(socket, effects),
            Input::StreamEnded(socket) => self.end_stream(socket, effects),
            Input::SuccessorConnected(link) => self.connect_successor(link, effects),
            Input::PredecessorConnected(link) => {
                self.links.insert(link);
                self.predecessor = Some(link);
            }
            Input::Received(link, message) => self.receive(link, message, effects),
            Input::Disconnected(link) => self.disconnect(link, effects),
            Input::SuccessorEnded => self.end_successor(effects),
            Input::ShutdownStarted => {
                self.refuse_streams(effects);
                self.return_arbitration(effects);
            }
            // An unnamed stream may have any of the ids.
            Input::RetentionElapsed(link) if self.has_unnamed_stream() => {
                effects.push(Effect::StartRetention(link));
            }
            Input::RetentionElapsed(link) => {
                self.drop_announced_streams(link, effects);
                self.remove_user_everywhere(User::EndedProcess(link), effects);
            }
        }
    }

    /// Whether a request, here or in a process behind a link, uses this id or claims it.
    pub fn is_in_use(&self, id: &K) -> bool {
        self.users.contains_key(id) || self.claims.contains_key(id)
    }

    /// Number of ids in use, those of processes behind links included.
    pub fn len(&self) -> usize {
        self.users.len()
    }

    /// Whether no id is in use.
    pub fn is_empty(&self) -> bool {
        self.users.is_empty()
    }

    /// Whether this process may hand arbitration to a successor.
    pub fn is_arbiter(&self) -> bool {
        self.arbiter == Arbiter::ThisProcess
    }

    fn receive(&mut self, link: LinkId, message: Message<K>, effects: &mut Vec<Effect<K>>) {
        if !self.links.contains(&link) {
            return;
        }
        match message {
            Message::InUse(id) => self.add_user(id, User::Link(link), effects),
            Message::Released(id) => self.release(link, &id, effects),
            // A claim that crossed the return of arbitration; its sender is the arbiter now and decides it.
            Message::Claim(..) if self.arbiter == Arbiter::Link(link) => {}
            Message::Claim(id, number) => self.claim(id, Claimant::Link(link, number), effects),
            Message::Decided(id, number, decision) => {
                self.apply_decision(link, id, number, decision, effects);
            }
            Message::ContinueStream(id, socket) => self.announce_stream(link, id, socket, effects),
            Message::Arbitrate => self.take_arbitration(link, effects),
            Message::ArbitrationPassedOn => self.arbitration_passed_on = true,
            Message::ArbitrationResumed => self.arbitration_passed_on = false,
        }
    }
}

#[cfg(test)]
mod tests;
