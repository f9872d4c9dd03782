//! Inputs, effects and messages of the table of request ids.

use serde::{Deserialize, Serialize};

/// Number of a link to another process, unique within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LinkId(pub u32);

/// Number that identifies a client's socket in all processes that have it, as the kernel assigns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SocketCookie(pub u64);

/// Number of a claim, unique among those of its sender, so that a late answer is not taken for that to a later claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimNumber(pub u64);

/// How the driver identifies a stream that it hands over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StreamKey<K> {
    /// Stream of a request of this process, by the request's id.
    Request(K),
    /// Stream that this process continues, by its client's socket.
    Continued(SocketCookie),
}

/// An event in this process or on a link.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input<K> {
    /// A request with this id has arrived. Answered by [`Effect::Decided`].
    Claimed(K),
    /// The request of an undecided claim is no longer to be admitted.
    ClaimWithdrawn(K),
    /// The request with this id has finished, its releases included.
    RequestFinished(K),
    /// A stream is about to be sent to the successor. This process still uses the id until it reports the end.
    StreamHandedOver {
        /// The stream.
        stream: StreamKey<K>,
        /// Socket of the stream's client.
        socket: SocketCookie,
    },
    /// A stream has arrived that this process continues.
    StreamArrived(SocketCookie),
    /// A stream that this process continued has ended here, or was handed over.
    StreamEnded(SocketCookie),
    /// A successor has connected and is about to serve.
    SuccessorConnected(LinkId),
    /// This process has connected to its predecessor.
    PredecessorConnected(LinkId),
    /// A message has arrived.
    Received(LinkId, Message<K>),
    /// A link has ended; all of its messages have been received.
    Disconnected(LinkId),
    /// The successor no longer serves in place of this process. Its link may outlast this.
    SuccessorEnded,
    /// This process stops accepting connections; its predecessor, if there is one, accepts again.
    ShutdownStarted,
    /// The time after the end of this link has passed for which the ids of its process are kept.
    RetentionElapsed(LinkId),
}

/// An action for the driver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect<K> {
    /// Pass the decision to the request that claimed this id.
    Decided(K, Decision),
    /// Send a message.
    Send(LinkId, Message<K>),
    /// Report [`Input::RetentionElapsed`] later.
    StartRetention(LinkId),
}

/// The arbiter's decision about a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// The id was free and now belongs to the claimant.
    Granted,
    /// Another request uses the id.
    InUse,
}

/// A message to the process at the other end of a link.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message<K> {
    /// The sender, or a process behind it, uses this id.
    InUse(K),
    /// Neither the sender nor a process behind it uses or claims this id any longer.
    Released(K),
    /// The sender asks the arbiter for this id.
    Claim(K, ClaimNumber),
    /// The arbiter's answer to the claim with this number.
    Decided(K, ClaimNumber, Decision),
    /// The receiver continues the stream of the request with this id, on this client's socket.
    ContinueStream(K, SocketCookie),
    /// The receiver is the arbiter from now on. All ids that the sender uses have been sent before.
    Arbitrate,
    /// The sender, a successor, has handed arbitration to a successor of its own and passes claims on to it.
    ArbitrationPassedOn,
    /// The sender is the arbiter again.
    ArbitrationResumed,
}
