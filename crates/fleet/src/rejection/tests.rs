use super::*;

#[test]
fn each_reason_has_its_own_index_and_an_advice() {
    let (from, incarnation) = (MemberId(1), Incarnation(1));
    let rejections = [
        Rejection::TooShort { bytes: 1 },
        Rejection::TooLong { bytes: 1, max_bytes: 0 },
        Rejection::UnknownVersion { version: 2, supported: 1 },
        Rejection::Forged,
        Rejection::Replayed { from, counter: 1 },
        Rejection::Stale { from, counter: 1 },
        Rejection::OldIncarnation { from, incarnation },
        Rejection::WrongRecipient { to: from, incarnation },
        Rejection::OwnName { incarnation },
        Rejection::Malformed { from },
        Rejection::Impersonated { from },
        Rejection::Left,
    ];
    for (index, rejection) in rejections.iter().enumerate() {
        assert_eq!(rejection.reason_index(), index);
        assert!(rejection.advice().len() > 20);
    }
}

/// Operators' tools may match these texts.
#[test]
fn texts_that_name_an_incarnation_keep_the_spelling_of_earlier_builds() {
    let (from, incarnation) = (MemberId(1), Incarnation(7));
    let text = |rejection: Rejection| rejection.to_string();
    let old = Rejection::OldIncarnation { from, incarnation };
    assert_eq!(text(old), "member MemberId(1) has a later life than Life(7)");
    let foreign = Rejection::WrongRecipient { to: from, incarnation };
    assert_eq!(text(foreign), "it was meant for member MemberId(1) in its life Life(7)");
    let own_name = Rejection::OwnName { incarnation };
    assert_eq!(text(own_name), "it bears this member's own name, with life Life(7)");
}
