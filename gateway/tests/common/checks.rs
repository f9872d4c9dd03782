//! Tells a release by which the gateway only checks a connection from those of requests: no attempt came with its id.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

/// The ids of all attempts that have come to a stand-in of this process.
static ATTEMPTED: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());

/// An attempt of this request has come.
pub fn note_attempt(id: &str) {
    ATTEMPTED.lock().unwrap_or_else(PoisonError::into_inner).insert(id.to_string());
}

/// Whether this releases what no request can hold.
pub fn is_check(method: &str, path: &str) -> bool {
    let released = path.strip_prefix("/kv/leases/").filter(|_| method == "DELETE");
    released.is_some_and(|id| !ATTEMPTED.lock().unwrap_or_else(PoisonError::into_inner).contains(id))
}
