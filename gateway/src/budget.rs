//! Memory for bodies, shared by all requests: what does not fit is refused before it is read.

use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

use bytes::Bytes;

/// Bytes that may still be claimed.
#[derive(Clone, Debug)]
pub struct Budget(Arc<AtomicUsize>);

/// A part of the budget, given back when it is dropped.
#[derive(Debug)]
pub struct Claim {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    pub fn new(bytes: usize) -> Self {
        Budget(Arc::new(AtomicUsize::new(bytes)))
    }

    pub fn claim(&self, bytes: usize) -> Option<Claim> {
        self.take(bytes).then(|| Claim { budget: self.clone(), bytes })
    }

    fn take(&self, bytes: usize) -> bool {
        self.0.fetch_update(Relaxed, Relaxed, |left| left.checked_sub(bytes)).is_ok()
    }
}

impl Claim {
    /// Claims more; false where there is no more.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let more = self.budget.take(bytes);
        self.bytes += if more { bytes } else { 0 };
        more
    }

    /// Bytes that hold on to this claim until the last copy of them is gone, wherever that is.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Held { bytes, _claim: self })
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.budget.0.fetch_add(self.bytes, Relaxed);
    }
}

struct Held {
    bytes: Bytes,
    _claim: Claim,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards the limit on memory: bytes count until their last copy is gone, and what does not fit is not taken.
    #[test]
    fn bytes_hold_their_claim_to_the_last_copy() {
        let budget = Budget::new(10);
        let mut claim = budget.claim(6).expect("room");
        assert!(!claim.grow(5) && claim.grow(2));
        let bytes = claim.hold(Bytes::from_static(b"12345678"));
        let copy = bytes.slice(2..3);
        drop(bytes);
        assert!(budget.claim(3).is_none());
        drop(copy);
        assert!(budget.claim(10).is_some());
    }
}
