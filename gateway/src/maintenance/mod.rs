//! Servers that operators have taken out of rotation: an overlay between discovery's list and those who read it. Such
//! a server is passed on as draining, whatever the list says, until the order is taken back.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::DirBuilder;
use std::io;
use std::os::unix::fs::DirBuilderExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use glenrail_router::ListUpdate;
use percent_encoding::{percent_decode_str, utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};
use tokio::time::sleep;

use crate::core::{Clock, Core, Upstream};
use crate::discovery::{self, Endpoint, EndpointList, SettingsNames};
use crate::engine::Engine;
use crate::log;

/// Orders given to another process of this gateway are seen within this time.
const LOOK: Duration = Duration::from_millis(200);
/// Names of servers keep these characters in the names of their files.
const PLAIN: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_');
/// Longest name of a server that an order is taken for: its file's name must fit.
const NAME: usize = 80;

/// Orders on disk, one empty file for each server that is out: each file appears and goes at once, so processes that
/// share the directory have nothing to merge.
#[derive(Clone, Debug)]
pub struct OrderStore(PathBuf);

impl OrderStore {
    /// The orders of this state directory, which is made if need be. Nobody else may give orders there, or take over.
    pub fn open(state: &Path) -> io::Result<Self> {
        let dir = state.join("offline");
        DirBuilder::new().recursive(true).mode(0o700).create(&dir)?;
        Ok(OrderStore(dir))
    }

    fn file(&self, id: &str) -> PathBuf {
        self.0.join(utf8_percent_encode(id, PLAIN).to_string())
    }

    fn put(&self, id: &str) -> io::Result<()> {
        std::fs::File::create(self.file(id)).map(|_| ())
    }

    fn remove(&self, id: &str) -> io::Result<()> {
        match std::fs::remove_file(self.file(id)) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
            other => other,
        }
    }

    fn all(&self) -> io::Result<BTreeSet<String>> {
        let names = std::fs::read_dir(&self.0)?.map(|entry| Ok(entry?.file_name()));
        let names = names.collect::<io::Result<Vec<_>>>()?;
        let name =
            |n: &std::ffi::OsString| percent_decode_str(n.to_str()?).decode_utf8().ok().map(String::from);
        Ok(names.iter().filter_map(name).collect())
    }
}

/// Why an order was not taken.
#[derive(Debug, PartialEq, Eq)]
pub enum OrderError {
    /// Nobody has this id.
    UnknownServer,
    /// It could not be kept, so it was not carried out either.
    NotPersisted(String),
}

#[derive(Default)]
struct State {
    /// What discovery lists at present.
    listed: BTreeMap<String, Endpoint>,
    out: BTreeSet<String>,
    /// When servers came back, in Unix milliseconds.
    back: BTreeMap<String, f64>,
}

impl State {
    /// The line of a server as it is passed on.
    fn overlaid(&self, host: &Endpoint) -> Endpoint {
        let mut host = host.clone();
        if self.out.contains(&host.host) {
            host.mark_draining();
        }
        // Operators restart what they take out, so it is new from its return on.
        host.started_unix_ms = host.started_unix_ms.max(self.back.get(&host.host).copied().unwrap_or(0.0));
        host
    }
}

pub struct Maintenance<U> {
    names: SettingsNames,
    clock: Clock,
    engine: Engine,
    core: Core<U>,
    orders: Option<OrderStore>,
    state: RefCell<State>,
}

impl<U: Upstream> Maintenance<U> {
    /// Without a place for orders none is taken. Those that stand there hold from the first list on.
    pub fn new(
        names: SettingsNames, clock: Clock, engine: Engine, core: Core<U>, orders: Option<OrderStore>,
    ) -> Self {
        let mut state = State::default();
        if let Some(Err(e)) = orders.as_ref().map(|o| o.all().map(|out| state.out = out)) {
            log!("orders cannot be read: {e}");
        }
        Maintenance { names, clock, engine, core, orders, state: RefCell::new(state) }
    }

    /// Takes a list, or changes to it, from discovery.
    pub fn apply_list(&self, list: &EndpointList, scope: ListUpdate) {
        let passed_on = {
            let mut state = self.state.borrow_mut();
            if scope != ListUpdate::Delta {
                state.listed.clear();
            }
            for host in &list.endpoints {
                if host.is_terminated() {
                    state.listed.remove(&host.host);
                } else {
                    state.listed.insert(host.host.clone(), host.clone());
                }
            }
            let State { listed, back, .. } = &mut *state;
            back.retain(|id, _| listed.contains_key(id));
            list.endpoints.iter().map(|h| state.overlaid(h)).collect()
        };
        self.pass_on(passed_on, scope);
    }

    fn pass_on(&self, hosts: Vec<Endpoint>, scope: ListUpdate) {
        let list = EndpointList { endpoints: hosts, ..EndpointList::default() };
        discovery::apply_list(&list, scope, &self.names, &self.clock, &self.engine, &self.core);
    }

    /// Servers that discovery lists.
    pub fn listed(&self) -> usize {
        self.state.borrow().listed.len()
    }

    /// Takes a server out. Twice is as good as once.
    pub fn offline(&self, id: &str) -> Result<(), OrderError> {
        self.order(id, true)
    }

    /// Puts a server back, whether or not it is listed at present.
    pub fn online(&self, id: &str) -> Result<(), OrderError> {
        self.order(id, false)
    }

    fn order(&self, id: &str, out: bool) -> Result<(), OrderError> {
        self.sync_orders();
        let known = {
            let state = self.state.borrow();
            state.listed.contains_key(id) || state.out.contains(id)
        };
        if !known || id.len() > NAME {
            return Err(OrderError::UnknownServer);
        }
        let orders =
            self.orders.as_ref().ok_or(OrderError::NotPersisted("no place to keep orders".into()))?;
        let kept = if out { orders.put(id) } else { orders.remove(id) };
        kept.map_err(|e| OrderError::NotPersisted(e.to_string()))?;
        self.set(id, out);
        Ok(())
    }

    fn set(&self, id: &str, out: bool) {
        let passed_on = {
            let mut state = self.state.borrow_mut();
            let changed = if out { state.out.insert(id.into()) } else { state.out.remove(id) };
            if !changed {
                return;
            }
            if !out && state.listed.contains_key(id) {
                let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                state.back.insert(id.into(), now.as_secs_f64() * 1000.0);
            }
            state.listed.get(id).map(|h| state.overlaid(h))
        };
        log!("server {id} is {}", if out { "taken out by order" } else { "put back by order" });
        self.pass_on(passed_on.into_iter().collect(), ListUpdate::Delta);
    }

    /// Takes over orders that were given to another process.
    pub fn sync_orders(&self) {
        let Some(orders) = &self.orders else { return };
        let told = match orders.all() {
            Ok(told) => told,
            Err(e) => return log!("orders cannot be read: {e}; all stays as it was"),
        };
        let held = self.state.borrow().out.clone();
        for id in held.symmetric_difference(&told) {
            self.set(id, told.contains(id));
        }
    }

    /// Looks for such orders for as long as the process runs.
    pub async fn watch_orders(&self) {
        loop {
            sleep(LOOK).await;
            self.sync_orders();
        }
    }
}
