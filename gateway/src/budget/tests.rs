//! Tests of the size and the lifetime of claims.

use super::*;

/// Guards against memory use beyond the budget: a claim lasts until the last copy of its bytes is dropped, and a claim that
/// does not fit is refused.
#[test]
fn bytes_occupy_their_claim_until_the_last_copy_is_dropped() {
    let budget = Budget::new(10);
    let mut claim = budget.claim(6).expect("enough bytes");
    assert!(!claim.grow(5) && claim.grow(2));
    let bytes = claim.attach(Bytes::from_static(b"12345678"));
    let copy = bytes.slice(2..3);
    drop(bytes);
    assert!(budget.claim(3).is_none());
    drop(copy);
    assert!(budget.claim(10).is_some());
}
