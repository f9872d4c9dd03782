//! Checks that the on-call page lists every error of the crate with its advice.

use glenrail_fleet::{ExchangeError, Incarnation, KeyError, MemberId, Rejection, SettingsError, TableError};

/// Returns the name of an error's variant, and its advice.
fn named(error: &dyn std::fmt::Debug, advice: &'static str) -> (String, &'static str) {
    let shown = format!("{error:?}");
    let name = shown.split([' ', '(', '{']).next().unwrap_or_default();
    (name.to_string(), advice)
}

macro_rules! all {
    ($type:ident: $($variant:ident $({ $($field:ident: $value:expr),* })? $(($inner:expr))?),* $(,)?) => {{
        // Does not compile unless every variant is listed.
        let _ = |error: $type| match error { $($type::$variant { .. } => (),)* };
        [$($type::$variant $({ $($field: $value),* })? $(($inner))?),*].map(|error| {
            let (name, advice) = named(&error, error.advice());
            (format!("{}::{name}", stringify!($type)), advice)
        })
    }};
}

#[test]
fn the_page_has_every_error_and_its_advice() {
    let page =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/on-call.md")).unwrap();
    let (from, to, peer, incarnation) = (MemberId(1), MemberId(2), MemberId(3), Incarnation(1));
    let rejections = all!(Rejection: TooShort { bytes: 1 }, TooLong { bytes: 2, max_bytes: 1 }, UnknownVersion { version: 2, supported: 1 }, Forged,
        Replayed { from: from, counter: 1 }, Stale { from: from, counter: 1 }, OldIncarnation { from: from, incarnation: incarnation },
        WrongRecipient { to: to, incarnation: incarnation }, OwnName { incarnation: incarnation }, Malformed { from: from }, Impersonated { from: from },
        Left);
    let exchange = all!(ExchangeError: NotAMember { peer: peer }, TooLong { bytes: 2, max_bytes: 1 },
        TooManyBytes { bytes: 2, max_bytes: 1 }, Rejection(Rejection::Forged), OutOfTurn { peer: peer });
    let keys = all!(KeyError: None, TooMany { found: 3 }, NotAKey { line: 1 }, TooShort { bytes: 1 });
    let settings = all!(SettingsError: TooSmall { setting: "x", value: 1, min: 2 },
        TooLarge { setting: "x", value: 2, max: 1 }, Address { address: ([0, 0, 0, 0], 0).into() });
    let table = all!(TableError: Key { kind: 1, bytes: 2, max_bytes: 1 }, Value { kind: 1, bytes: 2, max_bytes: 1 },
        Entries { kind: 1, entries: 1 }, Bytes { kind: 1, bytes: 2, max_bytes: 1 }, Reserved { kind: 0 });
    let every = rejections.iter().chain(&exchange).chain(&keys).chain(&settings).chain(&table);
    for (name, advice) in every {
        // A rejection within an exchange has the advice of the rejection, which has a row of its own.
        let line = page.lines().find(|line| line.contains(&format!("`{name}`")));
        let line = line.unwrap_or_else(|| panic!("docs/on-call.md lacks {name}: {advice}"));
        assert!(
            name == "ExchangeError::Rejection" || line.contains(advice),
            "{name}: {advice}\nnot in: {line}"
        );
    }
}
