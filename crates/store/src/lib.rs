//! A small embedded store: a log in segments on the disk, an index in memory, group commit on a thread of its own,
//! compaction beside reads and writes, and recovery that never invents a record.
//!
//! What is promised after which call:
//!
//! - A batch is all there or not at all.
//! - After a crash the store holds a prefix of the batches it had taken, in their order. Those acknowledged as
//!   [`Durability::Flushed`] survive the end of the process, those as [`Durability::Synced`] that of the machine.
//! - What cannot be read whole is never returned: each read checks the frame that it comes from.
//! - After a failed sync nothing more is taken, as nobody can tell what is on the disk.
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
pub use frame::Secret;
pub use log::{Log, Options};
pub use recover::{check, salvage, Dropped, Recovered, Salvaged};
pub use store::{Durability, Figures, Store};
pub use view::View;
