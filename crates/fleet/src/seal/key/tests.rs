use super::*;

#[test]
fn each_fault_of_a_key_file_has_its_own_error() {
    let line = "ab".repeat(32);
    assert!(Keyring::parse(&format!("# keys\n{line} # old\n\n{line}\n"), "f").is_ok());
    assert_eq!(Keyring::parse("# none\n", "f").unwrap_err(), KeyError::None);
    assert_eq!(Keyring::parse("\nxyz\n", "f").unwrap_err(), KeyError::NotAKey { line: 2 });
    assert_eq!(Keyring::parse(&"+a".repeat(32), "f").unwrap_err(), KeyError::NotAKey { line: 1 });
    let three = format!("{line}\n{line}\n{line}\n");
    assert_eq!(Keyring::parse(&three, "f").unwrap_err(), KeyError::TooMany { found: 3 });
    assert_eq!(FleetKey::derive(b"short", "f").unwrap_err(), KeyError::TooShort { bytes: 5 });
}

#[test]
fn the_same_key_file_gives_each_fleet_its_own_key() {
    let keys = ["one", "two"].map(|fleet| FleetKey::derive(&[7; 32], fleet).unwrap());
    assert_ne!(keys[0].tag(b"x"), keys[1].tag(b"x"));
}
