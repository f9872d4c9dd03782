//! What one process hands over to another that has taken over from it, and the count of what it still waits for.

use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;

use tokio::sync::{mpsc, Notify};

use crate::exchange::Rest;

/// The rest of a stream that goes on in the other process, and the class that it counts for.
pub struct Moved {
    pub rest: Rest,
    pub class: Option<String>,
}

/// A client's connection on its way to the other process: at rest, or with a stream under way.
pub struct Handed {
    pub front: u8,
    pub socket: TcpStream,
    pub stream: Option<Moved>,
    /// The process that hands it over waits for it until it is sent.
    pub guard: Guard,
}

/// Where connections at rest go once another process has taken over.
pub type Heir = mpsc::UnboundedSender<Handed>;

/// The connections that a process waits for before it ends.
#[derive(Clone, Default)]
pub struct Open(Rc<(Cell<usize>, Notify)>);

/// One of them.
pub struct Guard(Open);

impl Drop for Guard {
    fn drop(&mut self) {
        let (count, changed) = &*self.0 .0;
        count.set(count.get() - 1);
        changed.notify_waiters();
    }
}

impl Open {
    pub fn guard(&self) -> Guard {
        let (count, _) = &*self.0;
        count.set(count.get() + 1);
        Guard(self.clone())
    }

    /// Until none is left.
    pub async fn emptied(&self) {
        let (count, empty) = &*self.0;
        loop {
            let changed = empty.notified();
            if count.get() == 0 {
                return;
            }
            changed.await;
        }
    }
}
