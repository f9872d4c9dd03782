//! A hold on a request id, which keeps the id in use.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

use glenrail_request_lifecycle::request_ids::{Input, SocketCookie, StreamKey};

use super::RequestIds;

/// Keeps a request id in use until all clones are dropped, and for some time longer if the client has left.
#[derive(Clone)]
pub struct RequestIdHold(Rc<Hold>);

struct Hold {
    ids: RequestIds,
    key: StreamKey<String>,
    /// Whether the id stays in use after the last clone is dropped.
    is_retained: Cell<bool>,
}

impl RequestIdHold {
    pub(super) fn new(ids: RequestIds, key: StreamKey<String>) -> Self {
        RequestIdHold(Rc::new(Hold { ids, key, is_retained: Cell::new(false) }))
    }

    /// Returns the id; `None` for a stream of another process whose id has not been received.
    pub fn request_id(&self) -> Option<String> {
        self.0.ids.name_of(&self.0.key)
    }

    /// Keeps the id in use for some time after its use has ended, because the client has left and the request may have run.
    pub fn retain(&self) {
        self.0.is_retained.set(true);
    }

    /// Tells the successor that it uses the id as well, because it is about to receive the request's stream. `socket` is
    /// the socket of the stream's client.
    pub fn hand_over(&self, socket: SocketCookie) {
        self.0.ids.step(Input::StreamHandedOver { stream: self.0.key.clone(), socket });
    }
}

impl fmt::Debug for RequestIdHold {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "RequestIdHold({:?})", self.0.key)
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        if self.is_retained.get() {
            self.ids.retain(self.key.clone());
        } else {
            self.ids.release(&self.key);
        }
    }
}
