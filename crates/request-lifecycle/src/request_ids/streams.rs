//! Ids of streams that are handed over: the message that names the id and the stream itself arrive on different links, in
//! either order.

use super::{Arbiter, Effect, Fault, LinkId, Message, RequestIdTable, SocketCookie, StreamKey, User};

/// A stream that this process continues, or is about to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum ContinuedStream<K> {
    /// The id is known, and the stream has not arrived.
    Announced { id: K, predecessor: LinkId },
    /// The stream runs in this process.
    Running { id: K },
    /// The stream runs in this process, and the message that names its id has not arrived.
    Unnamed,
    /// The stream was handed over to the process behind this link before that message arrived.
    UnnamedElsewhere(LinkId),
    /// The stream has ended here. Kept while the predecessor's message may still arrive.
    Ended,
}

impl<K: Ord + Clone> RequestIdTable<K> {
    /// Returns the id of a stream that this process continues, by the socket of its client; `None` if it is not known.
    pub fn continued_stream_id(&self, socket: SocketCookie) -> Option<&K> {
        match self.streams.get(&socket)? {
            ContinuedStream::Announced { id, .. } | ContinuedStream::Running { id } => Some(id),
            ContinuedStream::Unnamed | ContinuedStream::UnnamedElsewhere(_) | ContinuedStream::Ended => None,
        }
    }

    /// Tells the successor which id the stream has that it is about to receive.
    pub(super) fn hand_over_stream(
        &mut self, stream: StreamKey<K>, socket: SocketCookie, effects: &mut Vec<Effect<K>>,
    ) {
        let Arbiter::Link(link) = self.arbiter else { return };
        if self.successor != Some(link) || self.has_fault(Fault::ForgetsStream) {
            return;
        }
        match stream {
            StreamKey::Request(id) => self.send_stream_id(link, id, socket, effects),
            StreamKey::Continued(stream) => match self.streams.get_mut(&stream) {
                Some(ContinuedStream::Running { id }) => {
                    let id = id.clone();
                    self.send_stream_id(link, id, socket, effects);
                }
                Some(stream @ ContinuedStream::Unnamed) => *stream = ContinuedStream::UnnamedElsewhere(link),
                _ => {}
            },
        }
    }

    fn send_stream_id(&mut self, link: LinkId, id: K, socket: SocketCookie, effects: &mut Vec<Effect<K>>) {
        effects.push(Effect::Send(link, Message::ContinueStream(id.clone(), socket)));
        // The successor uses the id from the moment in which it receives the message.
        self.add_user(id, User::Link(link), effects);
    }

    /// The predecessor names the id of a stream.
    pub(super) fn announce_stream(
        &mut self, link: LinkId, id: K, socket: SocketCookie, effects: &mut Vec<Effect<K>>,
    ) {
        let stream = match self.streams.get(&socket) {
            Some(ContinuedStream::UnnamedElsewhere(successor)) if self.links.contains(successor) => {
                let successor = *successor;
                self.streams.insert(socket, ContinuedStream::Ended);
                return self.send_stream_id(successor, id, socket, effects);
            }
            Some(ContinuedStream::UnnamedElsewhere(_) | ContinuedStream::Ended) => {
                return effects.push(Effect::Send(link, Message::Released(id)));
            }
            Some(ContinuedStream::Unnamed | ContinuedStream::Running { .. }) => {
                ContinuedStream::Running { id: id.clone() }
            }
            Some(ContinuedStream::Announced { .. }) | None if self.refuses_streams => {
                return effects.push(Effect::Send(link, Message::Released(id)));
            }
            Some(ContinuedStream::Announced { .. }) | None => {
                ContinuedStream::Announced { id: id.clone(), predecessor: link }
            }
        };
        self.streams.insert(socket, stream);
        self.add_user(id, User::Stream(socket), effects);
    }

    pub(super) fn start_stream(&mut self, socket: SocketCookie, effects: &mut Vec<Effect<K>>) {
        let stream = match self.streams.remove(&socket) {
            Some(ContinuedStream::Announced { id, .. }) => {
                self.add_user(id.clone(), User::Stream(socket), effects);
                ContinuedStream::Running { id }
            }
            _ => ContinuedStream::Unnamed,
        };
        self.streams.insert(socket, stream);
    }

    pub(super) fn end_stream(&mut self, socket: SocketCookie, effects: &mut Vec<Effect<K>>) {
        if let Some(ContinuedStream::UnnamedElsewhere(_)) = self.streams.get(&socket) {
            return;
        }
        let stream = self.streams.remove(&socket);
        if self.predecessor.is_some() {
            self.streams.insert(socket, ContinuedStream::Ended);
        }
        if let Some(ContinuedStream::Running { id }) = stream {
            self.remove_user(&id, User::Stream(socket), effects);
        }
    }

    /// No stream arrives any more; the predecessor goes on with those that it cannot hand over.
    pub(super) fn refuse_streams(&mut self, effects: &mut Vec<Effect<K>>) {
        self.refuses_streams = true;
        for (socket, id, _) in self.announced_streams() {
            self.streams.remove(&socket);
            self.remove_user(&id, User::Stream(socket), effects);
        }
    }

    fn announced_streams(&self) -> Vec<(SocketCookie, K, LinkId)> {
        let announced = self.streams.iter().filter_map(|(socket, stream)| match stream {
            ContinuedStream::Announced { id, predecessor } => Some((*socket, id.clone(), *predecessor)),
            _ => None,
        });
        announced.collect()
    }

    /// The predecessor has ended. Streams that have not arrived may still be on their way, for the retention at most.
    pub(super) fn end_stream_announcements(&mut self, link: LinkId, effects: &mut Vec<Effect<K>>) {
        self.streams.retain(|_, stream| {
            !matches!(stream, ContinuedStream::Ended | ContinuedStream::UnnamedElsewhere(_))
        });
        if !self.announced_streams().is_empty() {
            effects.push(Effect::StartRetention(link));
        }
    }

    /// Whether a stream runs here whose id this process does not know.
    pub(super) fn has_unnamed_stream(&self) -> bool {
        self.streams.values().any(|stream| *stream == ContinuedStream::Unnamed)
    }

    /// Streams of this predecessor that have not arrived will not arrive any more.
    pub(super) fn drop_announced_streams(&mut self, link: LinkId, effects: &mut Vec<Effect<K>>) {
        for (socket, id, predecessor) in self.announced_streams() {
            if predecessor == link {
                self.streams.remove(&socket);
                self.remove_user(&id, User::Stream(socket), effects);
            }
        }
    }
}
