//! The files of a store as an earlier build wrote them: the present code writes the same bytes and reads them
//! back.
//!
//! If the bytes differ, the written files are kept under the target folder, at the path in the failure
//! message.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use glenrail_store::disk::{Disk, LOCK_FILE};
use glenrail_store::sim::SimDisk;
use glenrail_store::{Batch, Folder, Keyspace, Log, Options, RecoveryReport, Store, View};

const WORDS: Keyspace<str, String> = Keyspace::new(1);
const COUNTS: Keyspace<u64, u64> = Keyspace::new(2);
const PARTS: Keyspace<[u8], Vec<u8>> = Keyspace::new(0x0301);

/// Time of the compaction (ms). One value has expired by then, another one has not.
const COMPACTION_TIME_MS: u64 = 2_000;

type Files = BTreeMap<String, Vec<u8>>;

fn options(with_key: bool) -> Options {
    let mac_key = with_key.then_some([7; 32]);
    let mut options = Options { segment_bytes: 300, mac_key, ..Options::default() };
    options.compaction.min_dead_bytes = 1;
    options
}

/// Returns options with which opening a store does not change its files.
fn without_compaction(with_key: bool) -> Options {
    Options { compaction: Options::default().compaction, ..options(with_key) }
}

fn word(key: &str, value: &str) -> Batch {
    Batch::new().put(&WORDS, key, &value.to_string()).expect("a batch")
}

fn word_until(key: &str, value: &str, expires: u64) -> Batch {
    Batch::new().put_until(&WORDS, key, &value.to_string(), expires).expect("a batch")
}

/// Returns the batches with versions 1 to 12, each of which is flushed alone.
fn before_compaction() -> Vec<Batch> {
    let mut batches = vec![
        word("kept", "first").put(&COUNTS, &7, &49).expect("a batch"),
        word_until("expired", "soon", 1_000),
        word("removed", "not seen again"),
    ];
    batches.extend((1..=6).map(|n| word("status", &n.to_string().repeat(60))));
    batches.push(Batch::new().delete(&WORDS, "removed"));
    batches.push(Batch::new().put(&PARTS, &[0, 255], &vec![1, 2, 3]).expect("a batch"));
    batches.push(word_until("expires", "later", 5_000));
    batches
}

/// Returns the batches with versions 13 to 16, which are flushed together, so that one file has several
/// frames.
fn after_compaction() -> Vec<Batch> {
    vec![
        word("status", "last"),
        Batch::new().put(&COUNTS, &u64::MAX, &u64::MAX).expect("a batch"),
        word("kept", "second").expect(&WORDS, "kept", Some(1)),
        word("short", "").delete(&WORDS, "removed"),
    ]
}

fn write(with_key: bool) -> SimDisk {
    let disk = SimDisk::default();
    let (mut log, _) = Log::open(disk.clone(), options(with_key)).expect("opened");
    for batch in before_compaction() {
        log.stage(&batch).expect("staged");
        log.flush().expect("flushed");
    }
    log.sync().expect("synced");
    while log.compact(COMPACTION_TIME_MS, 1 << 20).expect("compacted") {}
    assert!(log.copied_bytes > 0, "something was compacted");
    for batch in after_compaction() {
        log.stage(&batch).expect("staged");
    }
    log.flush().expect("flushed");
    log.sync().expect("synced");
    disk
}

/// Returns a snapshot of the stored files that were written without a key.
fn snapshot() -> SimDisk {
    let (store, _) = Store::open(disk_of(&stored("plain")), without_compaction(false)).expect("opened");
    let copy = SimDisk::default();
    store.snapshot(copy.clone(), 0).expect("copied");
    copy
}

fn files(disk: &SimDisk) -> Files {
    let names = disk.list().expect("listed").into_iter();
    names.map(|name| (name.clone(), disk.bytes(&name).expect("the file exists"))).collect()
}

fn disk_of(files: &Files) -> SimDisk {
    let disk = SimDisk::default();
    files.iter().for_each(|(name, bytes)| disk.overwrite(name, bytes.clone()));
    disk
}

fn files_of_folder(folder: &Path) -> Files {
    let read = |path: PathBuf| {
        let name = path.file_name().expect("a name").to_string_lossy().into_owned();
        (name, fs::read(&path).expect("readable"))
    };
    let entries = fs::read_dir(folder).expect("a folder");
    entries.map(|entry| read(entry.expect("an entry").path())).collect()
}

fn stored(name: &str) -> Files {
    files_of_folder(&Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name))
}

fn write_to_folder(files: &Files, folder: &Path) {
    fs::create_dir_all(folder).expect("a folder");
    for (name, bytes) in files {
        fs::write(folder.join(name), bytes).expect("written");
    }
}

fn assert_same_as_stored(name: &str, written: &Files) {
    if *written == stored(name) {
        return;
    }
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("stored_files").join(name);
    write_to_folder(written, &folder);
    panic!("the files differ from tests/fixtures/{name}; what was written is in {}", folder.display());
}

fn owned(pairs: &[(&str, &str)]) -> Vec<(String, String)> {
    pairs.iter().map(|(key, value)| (key.to_string(), value.to_string())).collect()
}

/// Checks the values and versions that each of the stored sets of files holds.
fn assert_contents(view: &View) {
    let lasting = [("kept", "second"), ("short", ""), ("status", "last")];
    let before_expiry = [("expires", "later"), lasting[0], lasting[1], lasting[2]];
    assert_eq!(WORDS.scan(view, "", 4_999).expect("readable"), owned(&before_expiry));
    assert_eq!(WORDS.scan(view, "", 5_000).expect("readable"), owned(&lasting));
    assert_eq!(WORDS.get(view, "expired", 0).expect("readable"), None);
    assert_eq!(COUNTS.get_versioned(view, &7, 0).expect("readable"), Some((49, 1)));
    assert_eq!(COUNTS.get_versioned(view, &u64::MAX, 0).expect("readable"), Some((u64::MAX, 14)));
    assert_eq!(PARTS.get_versioned(view, &[0, 255], 0).expect("readable"), Some((vec![1, 2, 3], 11)));
    let version = |key| WORDS.get_versioned(view, key, 0).expect("readable").map(|found| found.1);
    assert_eq!(["expires", "kept", "short", "status"].map(version), [12, 15, 16, 13].map(Some));
    assert_eq!(view.len(), 7);
}

/// Checks that stored files open on the simulated disk, and that nothing in them is cut, removed or changed.
fn assert_opens(name: &str, with_key: bool) {
    let stored = stored(name);
    let disk = disk_of(&stored);
    let (log, recovered) = Log::open(disk.clone(), without_compaction(with_key)).expect("opened");
    assert_contents(&log.view());
    let bytes = stored.values().map(|file| file.len() as u64).sum();
    let expected = RecoveryReport {
        files: stored.len(),
        keys: 7,
        bytes,
        last_sequence: 16,
        ..RecoveryReport::default()
    };
    assert_eq!(recovered, expected);
    assert_eq!(files(&disk), stored);
}

#[test]
fn the_same_batches_are_written_as_the_same_bytes() {
    assert_same_as_stored("plain", &files(&write(false)));
}

#[test]
fn the_same_batches_are_written_with_a_key_as_the_same_bytes() {
    assert_same_as_stored("sealed", &files(&write(true)));
}

#[test]
fn a_snapshot_of_the_stored_files_has_the_same_bytes() {
    assert_same_as_stored("snapshot", &files(&snapshot()));
}

#[test]
fn stored_files_open_to_their_contents() {
    assert_opens("plain", false);
}

#[test]
fn stored_files_with_a_key_open_to_their_contents() {
    assert_opens("sealed", true);
}

#[test]
fn a_stored_snapshot_opens_to_its_contents() {
    assert_opens("snapshot", false);
}

#[test]
fn stored_files_open_from_a_folder_and_stay_as_they_are() {
    let (folder, stored) = (tempfile::tempdir().expect("a folder"), stored("sealed"));
    write_to_folder(&stored, folder.path());
    let disk = Folder::new(folder.path()).expect("a folder");
    let (store, _) = Store::open(disk, without_compaction(true)).expect("opened");
    assert_contents(&store.view());
    drop(store);
    let mut after = files_of_folder(folder.path());
    assert_eq!(after.remove(LOCK_FILE), Some(Vec::new()));
    assert_eq!(after, stored);
}
