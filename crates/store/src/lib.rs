//! A small embedded store: a log in segments on the disk, an index in memory, group commit on a separate
//! thread, compaction in steps between the groups, and recovery that never returns a record that was not
//! written.
//!
//! Guarantees:
//!
//! - A batch is applied completely or not at all.
//! - After a crash the store holds a prefix of the accepted batches, in their order. Batches acknowledged as
//!   [`Durability::Flushed`] survive the end of the process, and those acknowledged as [`Durability::Synced`]
//!   survive a crash of the machine.
//! - Data that cannot be read completely is never returned: each read verifies the frame that it comes from.
//! - After a failed sync no more writes are accepted, because it is unknown what the disk holds.
//!
//! ```
//! use glenrail_store::{Batch, Durability, Folder, Keyspace, Options, Store};
//!
//! const BANS: Keyspace<str, u64> = Keyspace::new(1);
//! let folder = tempfile::tempdir()?;
//! let (store, _) = Store::open(Folder::new(folder.path())?, Options::default())?;
//! store.write(Batch::new().put(&BANS, "s-5be2a07c", &7)?, Durability::Synced)?;
//! assert_eq!(BANS.get(&store.view(), "s-5be2a07c", 0)?, Some(7));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod batch;
pub mod disk;
mod error;
pub mod frame;
mod log;
mod packed;
pub mod plan;
mod recover;
pub mod sim;
mod store;
mod view;

pub use batch::{Batch, Key, Keyspace};
pub use disk::{Disk, Folder};
pub use error::{Error, Result};
pub use frame::MacKey;
pub use log::{Log, Options};
pub use recover::{check, salvage, RecoveryReport, SalvageReport, UnreadableRange};
pub use store::{Durability, Stats, Store};
pub use view::View;
