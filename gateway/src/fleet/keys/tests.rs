use std::os::unix::fs::PermissionsExt;

use super::*;

#[test]
fn a_key_file_accessible_to_other_users_is_rejected() {
    let file = std::env::temp_dir().join(format!("glenrail-keys-{}", std::process::id()));
    let write = |text: &[u8], mode| {
        std::fs::write(&file, text).expect("a file");
        std::fs::set_permissions(&file, PermissionsExt::from_mode(mode)).expect("a mode");
    };
    let key = "ab".repeat(32);
    for mode in [0o640, 0o604, 0o620, 0o644, 0o601] {
        write(key.as_bytes(), mode);
        assert!(
            matches!(read(&file, "f"), Err(KeyFileError::TooPermissive { mode: found }) if found == mode)
        );
    }
    write(format!("{key}\n{key}").as_bytes(), 0o600);
    assert!(read(&file, "f").is_ok());
    write(b"\xff\xfe", 0o400);
    assert!(matches!(read(&file, "f"), Err(KeyFileError::NotText)));
    std::fs::remove_file(&file).expect("removed");
    write(&[b'#'; MAX_FILE_BYTES + 1], 0o600);
    assert!(matches!(read(&file, "f"), Err(KeyFileError::TooLong { max_bytes: MAX_FILE_BYTES })));
    std::fs::remove_file(&file).expect("removed");
    assert!(matches!(read(&file, "f"), Err(KeyFileError::Unreadable(_))));
    assert!(matches!(read(&std::env::temp_dir(), "f"), Err(KeyFileError::NotAFile)));
}
