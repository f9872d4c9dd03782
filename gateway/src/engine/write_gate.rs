//! A condition on the first byte of a request, checked in the moment in which that is written.

use std::cell::{Cell, RefCell};
use std::io;

/// What must hold when the first byte of a request is written. The sender checks it before, but other tasks run between
/// that and the write, and the network does not wait.
#[derive(Default)]
pub struct WriteGate {
    is_clear: RefCell<Option<Box<dyn Fn() -> bool>>>,
    has_blocked: Cell<bool>,
}

impl WriteGate {
    /// Checks this condition before the next byte is written.
    pub fn arm(&self, is_clear: impl Fn() -> bool + 'static) {
        self.has_blocked.set(false);
        self.is_clear.replace(Some(Box::new(is_clear)));
    }

    /// Lets the following bytes pass unchecked, once the first has been written.
    pub fn disarm(&self) {
        self.is_clear.take();
    }

    /// Whether the condition did not hold, so that nothing was written.
    pub fn has_blocked(&self) -> bool {
        self.has_blocked.get()
    }

    /// Fails unless the next byte may be written; `is_quiet`: the server has sent nothing since its last response, and has
    /// not closed.
    pub fn check(&self, is_quiet: impl FnOnce() -> bool) -> io::Result<()> {
        let is_clear = self.is_clear.borrow();
        let Some(is_clear) = is_clear.as_ref() else { return Ok(()) };
        if !is_clear() {
            self.has_blocked.set(true);
            return Err(io::Error::other("not to be sent any more"));
        }
        if !is_quiet() {
            return Err(io::Error::other("closed, or an answer before its request"));
        }
        Ok(())
    }
}
