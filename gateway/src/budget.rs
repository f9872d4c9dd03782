//! Memory budget for request bodies, shared by all requests. A body that does not fit is rejected before it is read.

#![deny(missing_docs)]

use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::Arc;

use bytes::Bytes;

/// Maximum size in bytes of a small request body.
const SMALL_BODY_BYTES: usize = 16 << 10;

/// Number of bytes that larger request bodies leave to small ones, so that clients with large bodies do not cost others their
/// requests.
const SMALL_BODIES_RESERVE: usize = 2 << 20;

/// The number of bytes that may still be claimed. Clones share the same budget.
#[derive(Clone, Debug)]
pub struct Budget(Arc<AtomicUsize>);

/// A claimed part of a budget, returned on drop.
#[derive(Debug)]
pub struct Claim {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    /// Creates a budget of `bytes` bytes.
    pub fn new(bytes: usize) -> Self {
        Budget(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Claims `bytes` bytes; `None` if fewer are available.
    pub fn claim(&self, bytes: usize) -> Option<Claim> {
        self.try_subtract_leaving(bytes, 0).then(|| Claim { budget: self.clone(), bytes })
    }

    /// Claims `bytes` bytes if at least `reserve` bytes stay available.
    fn try_subtract_leaving(&self, bytes: usize, reserve: usize) -> bool {
        let without = |left: usize| left.checked_sub(bytes).filter(|rest| *rest >= reserve);
        self.0.fetch_update(Relaxed, Relaxed, without).is_ok()
    }
}

impl Claim {
    /// Claims `bytes` more bytes; returns false and claims nothing if fewer are available.
    pub fn grow(&mut self, bytes: usize) -> bool {
        self.grow_leaving(bytes, 0)
    }

    /// Claims `bytes` more bytes of a body. Once the claim exceeds [`SMALL_BODY_BYTES`], [`SMALL_BODIES_RESERVE`] has to stay
    /// available. Returns false and claims nothing if too few bytes are available.
    pub fn grow_body(&mut self, bytes: usize) -> bool {
        let is_small = self.bytes + bytes <= SMALL_BODY_BYTES;
        self.grow_leaving(bytes, if is_small { 0 } else { SMALL_BODIES_RESERVE })
    }

    fn grow_leaving(&mut self, bytes: usize, reserve: usize) -> bool {
        let is_granted = self.budget.try_subtract_leaving(bytes, reserve);
        if is_granted {
            self.bytes += bytes;
        }
        is_granted
    }

    /// Returns a buffer that holds this claim until its last clone or slice is dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ClaimedBytes { bytes, _claim: self })
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.budget.0.fetch_add(self.bytes, Relaxed);
    }
}

struct ClaimedBytes {
    bytes: Bytes,
    _claim: Claim,
}

impl AsRef<[u8]> for ClaimedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
