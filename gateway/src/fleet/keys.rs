//! The key file: only its owner may use it.

use std::fs::OpenOptions;
use std::io::Read;
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::Path;

use glenrail_fleet::Keyring;
use rustix::fs::OFlags;

use super::error::KeyFileError;

/// Two keys and a page of comments fit.
const MOST: usize = 8 * 1024;
/// Rights of the group and of all others.
const OTHERS: u32 = 0o077;

/// Reads the keys of the fleet named `fleet`. What is checked is what is read: the file stays open between.
pub fn read(file: &Path, fleet: &str) -> Result<Keyring, KeyFileError> {
    // A pipe without a writer would be waited for.
    let flags = OFlags::NONBLOCK.bits() as i32;
    let open = OpenOptions::new().read(true).custom_flags(flags).open(file)?;
    let about = open.metadata()?;
    if !about.is_file() {
        return Err(KeyFileError::NotAFile);
    }
    let mode = about.mode() & 0o777;
    if mode & OTHERS != 0 {
        return Err(KeyFileError::Open { mode });
    }
    let mut bytes = Vec::new();
    open.take(MOST as u64 + 1).read_to_end(&mut bytes)?;
    if bytes.len() > MOST {
        return Err(KeyFileError::Long { most: MOST });
    }
    let text = String::from_utf8(bytes).map_err(|_| KeyFileError::NotText)?;
    Ok(Keyring::parse(&text, fleet)?)
}

#[cfg(test)]
mod tests {
    use std::os::unix::fs::PermissionsExt;

    use super::*;

    #[test]
    fn a_file_that_others_may_use_is_refused_whatever_it_holds() {
        let file = std::env::temp_dir().join(format!("glenrail-keys-{}", std::process::id()));
        let write = |text: &[u8], mode| {
            std::fs::write(&file, text).expect("a file");
            std::fs::set_permissions(&file, PermissionsExt::from_mode(mode)).expect("a mode");
        };
        let key = "ab".repeat(32);
        for mode in [0o640, 0o604, 0o620, 0o644, 0o601] {
            write(key.as_bytes(), mode);
            assert!(matches!(read(&file, "f"), Err(KeyFileError::Open { mode: found }) if found == mode));
        }
        write(format!("{key}\n{key}").as_bytes(), 0o600);
        assert!(read(&file, "f").is_ok());
        write(b"\xff\xfe", 0o400);
        assert!(matches!(read(&file, "f"), Err(KeyFileError::NotText)));
        std::fs::remove_file(&file).expect("removed");
        write(&[b'#'; MOST + 1], 0o600);
        assert!(matches!(read(&file, "f"), Err(KeyFileError::Long { most: MOST })));
        std::fs::remove_file(&file).expect("removed");
        assert!(matches!(read(&file, "f"), Err(KeyFileError::Unreadable(_))));
        assert!(matches!(read(&std::env::temp_dir(), "f"), Err(KeyFileError::NotAFile)));
    }
}
