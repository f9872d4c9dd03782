//! Every error of the fleet's driver is on the page for those on call, with what to do about it.

use std::io::Error;
use std::path::PathBuf;

use glenrail::fleet::error::{FleetError, IncarnationError, KeyFileError, WireError};
use glenrail_fleet::{ExchangeError, KeyError, MemberId, SettingsError};

macro_rules! all {
    ($type:ident: $($variant:ident $({ $($field:ident: $value:expr),* })? $(($inner:expr))?),* $(,)?) => {{
        // Every variant is here, or this does not compile.
        let _ = |error: $type| match error { $($type::$variant { .. } => (),)* };
        vec![$({
            let error = $type::$variant $({ $($field: $value),* })? $(($inner))?;
            (concat!(stringify!($type), "::", stringify!($variant)), error.advice())
        }),*]
    }};
}

#[test]
fn the_page_has_every_error_of_the_driver_and_its_advice() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/on-call.md");
    let page = std::fs::read_to_string(page).expect("the page");
    let io = || Error::other("x");
    let at = || ([127, 0, 0, 1], 1).into();
    let file = || PathBuf::from("f");
    let figure = SettingsError::TooSmall { setting: "x", value: 1, min: 2 };
    let all = [
        all!(FleetError: Unreadable { file: file(), error: io() },
            Line { file: file(), line: 1, what: String::new() }, Figure { file: file(), error: figure },
            NoName { file: file() }, Forbidden { file: file() },
            Bind { file: file(), address: at(), error: io() },
            Keys { file: file(), error: KeyFileError::NotAFile },
            Incarnation { file: file(), error: IncarnationError::NotANumber }),
        all!(KeyFileError: Unreadable(io()), NotAFile, TooPermissive { mode: 0o644 }, TooLong { max_bytes: 1 }, NotText,
            Key(KeyError::None)),
        all!(IncarnationError: Unreadable(io()), NotANumber, Unwritable(io())),
        all!(WireError: Send { to: at(), error: io() }, Receive(io()), Accept(io()),
            Broken { with: at(), error: io() }, Closed { with: at() }, TimedOut { with: at(), limit_ms: 1 },
            TooManyStreams { with: at(), limit: 1 },
            Exchange { with: at(), error: ExchangeError::NotAMember { peer: MemberId(1) } }),
    ];
    // What is passed on has the advice of what it passes on, in rows of its own.
    let passed = [
        "FleetError::Figure",
        "FleetError::Keys",
        "FleetError::Incarnation",
        "KeyFileError::Key",
        "WireError::Exchange",
    ];
    for (name, advice) in all.concat() {
        let line = page.lines().find(|line| line.contains(&format!("`{name}`")));
        let line = line.unwrap_or_else(|| panic!("docs/on-call.md lacks {name}: {advice}"));
        assert!(passed.contains(&name) || line.contains(advice), "{name}: {advice}\nnot in: {line}");
    }
}
