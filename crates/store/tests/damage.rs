//! Files that are cut, damaged, or not of this store.

use std::path::Path;

use glenrail_store::disk::Disk;
use glenrail_store::sim::SimDisk;
use glenrail_store::{check, salvage, Batch, Durability, Error, Folder, Keyspace, Log, Options, Store};

const WORDS: Keyspace<str, String> = Keyspace::new(1);
const COUNTS: Keyspace<u64, u64> = Keyspace::new(2);

fn options() -> Options {
    let mut options = Options { segment_bytes: 400, ..Options::default() };
    options.compaction.min_dead_bytes = 1;
    options
}

/// Writes a store with every kind of record: several files, one of them compacted, batches over both
/// keyspaces, deletions, expiries, and a batch larger than a file. Returns the contents after each batch.
fn write_store(disk: &SimDisk) -> Vec<Vec<(String, String)>> {
    let (mut log, _) = Log::open(disk.clone(), options()).expect("opened");
    let mut states = vec![Vec::new()];
    for n in 0..40u64 {
        let word = format!("w{}", n % 5);
        let batch = match n % 8 {
            3 => Batch::new().delete(&WORDS, &word),
            5 => Batch::new().put_until(&WORDS, &word, &"soon".to_string(), 1_000).expect("a batch"),
            7 => Batch::new().put(&WORDS, &word, &"long".repeat(200)).expect("a batch"),
            _ => Batch::new()
                .put(&WORDS, &word, &n.to_string())
                .and_then(|b| b.put(&COUNTS, &n, &n))
                .expect("a batch"),
        };
        log.stage(&batch).expect("staged");
        log.flush().expect("flushed");
        if n == 20 {
            log.sync().expect("synced");
            while log.compact(0, 1 << 20).expect("compacted") {}
        }
        states.push(words(&log));
    }
    assert!(log.copied_bytes > 0 && log.file_count() > 3, "compacted, and several files");
    states
}

fn words(log: &Log<SimDisk>) -> Vec<(String, String)> {
    WORDS.scan(&log.view(), "", 0).expect("readable")
}

/// After a restart, the newest file opens to an earlier state wherever it was cut. An older file was durable,
/// so that a cut in it is reported as damage.
#[test]
fn a_file_cut_at_any_byte_opens_to_a_prefix_or_is_reported() {
    let disk = SimDisk::default();
    let states = write_store(&disk);
    let mut names = disk.list().expect("listed");
    names.sort();
    for name in &names {
        let (whole, newest) = (disk.bytes(name).expect("the file exists"), Some(name) == names.last());
        for cut in 0..whole.len() {
            let copy = disk.copy();
            copy.overwrite(name, whole[..cut].to_vec());
            match Log::open(copy, options()) {
                Ok((log, report)) => {
                    assert!(newest, "{name} cut at {cut} must be reported");
                    let n = report.last_sequence as usize;
                    assert_eq!(words(&log), states[n], "{name} cut at {cut}");
                }
                Err(Error::Damaged { file, .. }) => {
                    // Reported for the file itself, or for the next one if the cut file ends with a whole
                    // batch.
                    assert!(
                        !newest && (file == *name || names.contains(&file)),
                        "{name} cut at {cut}: {file}"
                    );
                }
                Err(e) => panic!("{name} cut at {cut}: {e}"),
            }
        }
    }
}

/// Whichever bit of a file is flipped, no value is returned that was not written.
#[test]
fn a_flipped_bit_is_never_returned() {
    let disk = SimDisk::default();
    let states = write_store(&disk);
    for name in disk.list().expect("listed") {
        let whole = disk.bytes(&name).expect("the file exists");
        for offset in 0..whole.len() {
            let copy = disk.copy();
            let mut bytes = whole.clone();
            bytes[offset] ^= 1 << (offset % 8);
            copy.overwrite(&name, bytes);
            if let Ok((log, report)) = Log::open(copy, options()) {
                assert_eq!(
                    words(&log),
                    states[report.last_sequence as usize],
                    "{name} with a flipped bit at {offset}"
                );
            }
        }
    }
    // A view can still be read after its log was closed.
    let (log, _) = Log::open(disk.copy(), options()).expect("opened");
    let view = log.view();
    drop(log);
    assert!(WORDS.scan(&view, "", 0).is_ok());
}

/// A damaged batch is not mistaken for a torn end, because a later batch counts it as synced. A salvage keeps
/// all other batches and reports the lost one.
#[test]
fn damage_in_the_middle_is_reported_and_salvage_reports_what_it_dropped() {
    let disk = SimDisk::default();
    let (mut log, _) = Log::open(disk.clone(), Options::default()).expect("opened");
    for n in 0..10u64 {
        log.stage(&Batch::new().put(&COUNTS, &n, &n).expect("a batch")).expect("staged");
        log.flush().expect("flushed");
        log.sync().expect("synced");
    }
    drop(log);
    let name = disk.list().expect("listed")[0].clone();
    let mut bytes = disk.bytes(&name).expect("the file exists");
    let flipped = bytes.len() / 2;
    bytes[flipped] ^= 0x10;
    let damaged = disk.copy();
    damaged.overwrite(&name, bytes.clone());
    let Err(Error::Damaged { file, offset, .. }) = check(damaged.copy(), None) else {
        panic!("the damage was not reported")
    };
    assert!(
        file == name && (offset as usize) <= flipped && flipped - (offset as usize) < 64,
        "{file} {offset} {flipped}"
    );
    let to = SimDisk::default();
    let salvaged = salvage(damaged, to.clone(), None).expect("salvaged");
    assert_eq!((salvaged.keys, salvaged.unreadable.len(), salvaged.missing_batches.len()), (9, 1, 1));
    assert_eq!(salvaged.unreadable[0].offset, offset);
    let lost_sequence = salvaged.missing_batches[0].0;
    let (log, _) = Log::open(to.copy(), Options::default()).expect("opened");
    let kept = COUNTS.scan(&log.view(), &0, 0);
    assert!(kept.is_ok());
    for n in 0..10u64 {
        let found = COUNTS.get(&log.view(), &n, 0).expect("readable");
        assert_eq!(found, (n + 1 != lost_sequence).then_some(n));
    }
}

/// Files of another program, another format version or another key are rejected, and so is a folder that is
/// already open.
#[test]
fn foreign_files_and_wrong_keys_are_rejected() {
    let disk = SimDisk::default();
    write_store(&disk);
    let first = disk.list().expect("listed")[0].clone();
    let open = |disk: SimDisk, mac_key| {
        Log::open(disk, Options { mac_key, ..options() }).map(|_| ()).expect_err("rejected")
    };
    let foreign = disk.copy();
    foreign.overwrite("notes.txt", b"hello".to_vec());
    assert!(matches!(open(foreign, None), Error::Foreign { file } if file == "notes.txt"));
    let newer = disk.copy();
    let mut header = glenrail_store::frame::FileHeader {
        number: 1,
        first_sequence: 1,
        last_sequence: 0,
        compacted: false,
        keyed: false,
    }
    .encode();
    header[8] = 9;
    let crc = crc32fast_of(&header[..40]);
    header[40..].copy_from_slice(&crc.to_le_bytes());
    newer.overwrite(&first, header.to_vec());
    assert!(matches!(open(newer, None), Error::Version { version: 9, .. }));
    assert!(matches!(open(disk.copy(), Some([1; 32])), Error::KeyMismatch { .. }));
    let locked = disk.copy();
    let (_open_log, _) = Log::open(locked.clone(), options()).expect("opened");
    assert!(matches!(open(locked, None), Error::Locked));
    let with_key = SimDisk::default();
    let mac_key = Some([1; 32]);
    let (mut log, _) = Log::open(with_key.clone(), Options { mac_key, ..options() }).expect("opened");
    log.stage(&Batch::new().put(&COUNTS, &1, &1).expect("a batch"))
        .and_then(|_| log.flush())
        .expect("written");
    assert!(matches!(
        open(with_key.copy(), Some([2; 32])),
        Error::Damaged { what: "written with another key", .. }
    ));
    assert!(Log::open(with_key.copy(), Options { mac_key, ..options() }).is_ok());
}

fn crc32fast_of(bytes: &[u8]) -> u32 {
    crc32fast::hash(bytes)
}

fn open(path: &Path) -> Store {
    let options = Options { segment_bytes: 4_096, ..Options::default() };
    Store::open(Folder::new(path).expect("a folder"), options).expect("opened").0
}

/// On a real file system and with the store's thread, acknowledged writes are there after a restart, a view
/// does not change while writers and compaction continue, a snapshot can be opened as a store, and a folder
/// that is open cannot be opened again.
#[test]
fn the_file_system_keeps_acknowledged_writes() {
    let top = tempfile::tempdir().expect("a folder");
    let (path, copy) = (top.path().join("store"), top.path().join("copy"));
    let store = open(&path);
    assert!(matches!(
        Store::open(Folder::new(&path).expect("a folder"), Options::default()),
        Err(Error::Locked)
    ));
    let put = |n: u64, v: u64| Batch::new().put(&COUNTS, &n, &v).expect("a batch");
    for n in 0..500 {
        store.write(put(n % 50, n), Durability::Flushed).expect("written");
    }
    let before = store.view();
    for n in 500..5_000 {
        store.submit(put(n % 50, n), Durability::Buffered, |_| ()).expect("accepted");
        if n % 1_000 == 0 {
            store.write(Batch::new(), Durability::Synced).expect("synced");
        }
    }
    let last = store.write(put(7, 1_000_000), Durability::Synced).expect("written");
    assert_eq!(COUNTS.get(&before, &7, 0).expect("readable"), Some(457), "a view does not change");
    let (value, version) =
        COUNTS.get_versioned(&store.view(), &7, 0).expect("readable").expect("the key exists");
    assert_eq!((value, version), (1_000_000, last));
    // Compare-and-set succeeds only with the latest version.
    let stale = put(7, 1).expect(&COUNTS, &7, Some(version - 1));
    assert!(matches!(store.write(stale, Durability::Flushed), Err(Error::VersionConflict)));
    store.write(put(7, 8).expect(&COUNTS, &7, Some(version)), Durability::Flushed).expect("written");
    store.snapshot(Folder::new(&copy).expect("a folder"), 0).expect("copied");
    let stats = store.stats();
    assert!(stats.groups < stats.batches, "{stats:?}");
    drop(store);
    for path in [&path, &copy] {
        let store = open(path);
        assert_eq!(COUNTS.scan(&store.view(), &0, 0).map(|_| store.view().len()).expect("readable"), 50);
        assert_eq!(COUNTS.get(&store.view(), &7, 0).expect("readable"), Some(8));
        assert_eq!(COUNTS.get(&store.view(), &49, 0).expect("readable"), Some(4_999));
    }
}

/// Values cannot be read from their expiry on, compaction removes them, and they never reappear.
#[test]
fn expired_values_do_not_reappear() {
    let disk = SimDisk::default();
    let (mut log, _) = Log::open(disk.clone(), options()).expect("opened");
    let put = |log: &mut Log<SimDisk>, v: &str, until: Option<u64>| {
        let batch = match until {
            Some(until) => Batch::new().put_until(&WORDS, "w", &v.to_string(), until),
            None => Batch::new().put(&WORDS, "w", &v.to_string()),
        };
        log.stage(&batch.expect("a batch")).and_then(|_| log.flush()).expect("written");
    };
    put(&mut log, "old", None);
    put(&mut log, &"x".repeat(500), Some(10));
    put(&mut log, "soon", Some(100));
    assert_eq!(WORDS.get(&log.view(), "w", 99).expect("readable"), Some("soon".into()));
    assert_eq!(WORDS.get(&log.view(), "w", 100).expect("readable"), None);
    for n in 0..40u64 {
        log.stage(&Batch::new().put(&COUNTS, &0, &n).expect("a batch"))
            .and_then(|_| log.flush())
            .expect("written");
    }
    while log.compact(1_000, 100).expect("compacted") {}
    drop(log);
    let (log, _) = Log::open(disk.copy(), options()).expect("opened");
    assert_eq!(WORDS.get(&log.view(), "w", 0).expect("readable"), None);
    assert_eq!(COUNTS.get(&log.view(), &0, 0).expect("readable"), Some(39));
}
