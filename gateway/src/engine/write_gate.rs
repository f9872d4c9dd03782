//! Condition on the first byte of a request, checked at the moment of the write.

use std::cell::{Cell, RefCell};
use std::io;

/// Condition that must hold when the first byte of a request is written.
///
/// The sender has checked it before, but other tasks run and data arrives between that check and the write.
#[derive(Default)]
pub struct WriteGate {
    is_permitted: RefCell<Option<Box<dyn Fn() -> bool>>>,
    has_blocked: Cell<bool>,
}

impl WriteGate {
    /// Sets the condition to check before the next byte is written.
    pub fn arm(&self, is_permitted: impl Fn() -> bool + 'static) {
        self.has_blocked.set(false);
        self.is_permitted.replace(Some(Box::new(is_permitted)));
    }

    /// Removes the condition once the first byte has been written.
    pub fn disarm(&self) {
        self.is_permitted.take();
    }

    /// Returns whether the condition failed, in which case nothing was written.
    pub fn has_blocked(&self) -> bool {
        self.has_blocked.get()
    }

    /// Returns an error unless the next byte may be written. `is_quiet` returns whether the server has neither closed the
    /// connection nor sent anything since its last response.
    pub fn check(&self, is_quiet: impl FnOnce() -> bool) -> io::Result<()> {
        let is_permitted = self.is_permitted.borrow();
        let Some(is_permitted) = is_permitted.as_ref() else { return Ok(()) };
        if !is_permitted() {
            self.has_blocked.set(true);
            return Err(io::Error::other("request withheld: it may no longer be sent"));
        }
        if !is_quiet() {
            return Err(io::Error::other("connection closed, or data received before the request"));
        }
        Ok(())
    }
}
