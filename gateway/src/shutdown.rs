//! The end of the process, in steps: serving, leaving (still accepting), closing (no new connections).

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::{watch, Notify};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Serving,
    /// Told to end; connections still come and are served.
    Leaving,
    /// Accepting has ended; what was taken is finished.
    Closing,
}

#[derive(Clone)]
pub struct Shutdown {
    phase: Rc<watch::Sender<Phase>>,
    open: Rc<Cell<usize>>,
    empty: Rc<Notify>,
}

/// One connection that the process waits for.
pub struct Guard(Shutdown);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.empty.notify_waiters();
    }
}

impl Default for Shutdown {
    fn default() -> Self {
        let phase = Rc::new(watch::Sender::new(Phase::Serving));
        Shutdown { phase, open: Rc::default(), empty: Rc::default() }
    }
}

impl Shutdown {
    pub fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }
    pub async fn reached(&self, phase: Phase) {
        let mut seen = self.phase.subscribe();
        // The sender lives as long as `self` does.
        let _ = seen.wait_for(|p| *p >= phase).await;
    }
    pub fn guard(&self) -> Guard {
        self.open.set(self.open.get() + 1);
        Guard(self.clone())
    }
    /// Until no connection is left.
    pub async fn emptied(&self) {
        loop {
            let changed = self.empty.notified();
            if self.open.get() == 0 {
                return;
            }
            changed.await;
        }
    }
}
