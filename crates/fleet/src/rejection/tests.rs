use super::*;

#[test]
fn each_reason_has_a_place_of_its_own_and_an_advice() {
    let (from, life) = (MemberId(1), Life(1));
    let all = [
        Refused::Short { bytes: 1 },
        Refused::Long { bytes: 1, most: 0 },
        Refused::Version { found: 2, ours: 1 },
        Refused::Forged,
        Refused::Replayed { from, counter: 1 },
        Refused::Stale { from, counter: 1 },
        Refused::OldLife { from, life },
        Refused::Foreign { to: from, life },
        Refused::Ourselves { life },
        Refused::Malformed { from },
        Refused::Borrowed { from },
        Refused::Left,
    ];
    for (place, refused) in all.iter().enumerate() {
        assert_eq!(refused.reason(), place);
        assert!(refused.advice().len() > 20);
    }
}
