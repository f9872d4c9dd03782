//! Maintenance mode: servers that operators have taken out of rotation.
//!
//! An overlay between discovery's list and those who read it: such a server is passed on as draining, whatever the list
//! says, until operators put it back. The orders are on disk ([`OrderStore`]), where all processes of this gateway see
//! them; this module owns the list as discovery gave it. Times are Unix times of the machine's clock.
#![deny(missing_docs)]

mod orders;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use glenrail_router::ListUpdate;
use tokio::time::sleep;

pub use self::orders::OrderStore;
use crate::core::{millis, Clock, Core, Upstream};
use crate::discovery::{self, Endpoint, EndpointList, SettingsNames};
use crate::engine::Engine;
use crate::log;

/// Orders given to another process of this gateway take effect here within this time.
const SYNC_INTERVAL: Duration = Duration::from_millis(200);
/// Longest name of a server, in bytes, that an order is accepted for: its file's name must fit.
const MAX_SERVER_NAME: usize = 80;

/// Why an order was not carried out.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// Discovery lists no such server, and no order stands for it.
    #[error("no such engine")]
    UnknownServer,
    /// The state directory could not be opened at the start, so no order can be stored.
    #[error("the order cannot be kept: no place to keep orders")]
    NoStore,
    /// The order could not be stored, so it was not carried out either.
    #[error("the order cannot be kept: {0}")]
    NotPersisted(#[from] io::Error),
}

impl PartialEq for OrderError {
    fn eq(&self, other: &Self) -> bool {
        match (self, other) {
            (OrderError::UnknownServer, OrderError::UnknownServer) => true,
            (OrderError::NoStore, OrderError::NoStore) => true,
            (OrderError::NotPersisted(left), OrderError::NotPersisted(right)) => left.kind() == right.kind(),
            _ => false,
        }
    }
}

impl Eq for OrderError {}

/// What operators order for a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Out of rotation: it finishes what it has and gets no new work. Idempotent.
    Offline,
    /// Back in rotation, whether or not it is listed at present. Idempotent while it is listed.
    Online,
}

impl Order {
    /// As it stands in the operators' calls and their answers.
    pub fn name(self) -> &'static str {
        match self {
            Order::Offline => "offline",
            Order::Online => "online",
        }
    }
}

#[derive(Default)]
struct State {
    /// What discovery lists at present, by the servers' names.
    listed: BTreeMap<String, Endpoint>,
    /// Servers that are out of rotation, listed or not.
    offline: BTreeSet<String>,
    /// When listed servers were put back, in Unix milliseconds.
    returned_unix_ms: BTreeMap<String, f64>,
}

impl State {
    /// The line of a server as it is passed on.
    fn overlaid(&self, endpoint: &Endpoint) -> Endpoint {
        let mut endpoint = endpoint.clone();
        if self.offline.contains(&endpoint.host) {
            endpoint.mark_draining();
        }
        // Operators restart what they take out, so it counts as started at its return.
        let returned = self.returned_unix_ms.get(&endpoint.host).copied().unwrap_or(0.0);
        endpoint.started_unix_ms = endpoint.started_unix_ms.max(returned);
        endpoint
    }

    fn record_listed(&mut self, list: &EndpointList, scope: ListUpdate) {
        if scope != ListUpdate::Delta {
            self.listed.clear();
        }
        for endpoint in &list.endpoints {
            if endpoint.is_terminated() {
                self.listed.remove(&endpoint.host);
            } else {
                self.listed.insert(endpoint.host.clone(), endpoint.clone());
            }
        }
        let listed = &self.listed;
        self.returned_unix_ms.retain(|server, _| listed.contains_key(server));
    }

    /// Notes an order; false where the server was in that state already.
    fn record_order(&mut self, server: &str, order: Order) -> bool {
        let changed = match order {
            Order::Offline => self.offline.insert(server.into()),
            Order::Online => self.offline.remove(server),
        };
        if changed && order == Order::Online && self.listed.contains_key(server) {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            self.returned_unix_ms.insert(server.into(), millis(now));
        }
        changed
    }
}

/// The overlay in front of one pool's router and engine client.
pub struct Maintenance<U> {
    names: SettingsNames,
    clock: Clock,
    engine: Engine,
    core: Core<U>,
    orders: Option<OrderStore>,
    state: RefCell<State>,
}

impl<U: Upstream> Maintenance<U> {
    /// Orders that stand in the store take effect from the first list on. Without a store, orders are refused.
    pub fn new(
        names: SettingsNames, clock: Clock, engine: Engine, core: Core<U>, orders: Option<OrderStore>,
    ) -> Self {
        let mut state = State::default();
        if let Some(orders) = &orders {
            match orders.servers() {
                Ok(servers) => state.offline = servers,
                Err(e) => log!("maintenance orders cannot be read: {e}"),
            }
        }
        Maintenance { names, clock, engine, core, orders, state: RefCell::new(state) }
    }

    /// Applies a list from discovery, or changes to it, under the orders that stand.
    pub fn apply_list(&self, list: &EndpointList, scope: ListUpdate) {
        let overlaid = {
            let mut state = self.state.borrow_mut();
            state.record_listed(list, scope);
            list.endpoints.iter().map(|endpoint| state.overlaid(endpoint)).collect()
        };
        self.pass_on(overlaid, scope);
    }

    fn pass_on(&self, endpoints: Vec<Endpoint>, scope: ListUpdate) {
        let list = EndpointList { endpoints, ..EndpointList::default() };
        discovery::apply_list(&list, scope, &self.names, &self.clock, &self.engine, &self.core);
    }

    /// Number of servers that discovery lists.
    pub fn listed(&self) -> usize {
        self.state.borrow().listed.len()
    }

    /// Carries an order out, once it is stored.
    pub fn order(&self, server: &str, order: Order) -> Result<(), OrderError> {
        self.sync_orders();
        if !self.is_known(server) || server.len() > MAX_SERVER_NAME {
            return Err(OrderError::UnknownServer);
        }
        let orders = self.orders.as_ref().ok_or(OrderError::NoStore)?;
        match order {
            Order::Offline => orders.add(server)?,
            Order::Online => orders.remove(server)?,
        }
        self.apply_order(server, order);
        Ok(())
    }

    fn is_known(&self, server: &str) -> bool {
        let state = self.state.borrow();
        state.listed.contains_key(server) || state.offline.contains(server)
    }

    fn apply_order(&self, server: &str, order: Order) {
        let overlaid = {
            let mut state = self.state.borrow_mut();
            if !state.record_order(server, order) {
                return;
            }
            state.listed.get(server).map(|endpoint| state.overlaid(endpoint))
        };
        let change = match order {
            Order::Offline => "taken out of service by order",
            Order::Online => "back in service by order",
        };
        log!("server {server} is {change}");
        self.pass_on(overlaid.into_iter().collect(), ListUpdate::Delta);
    }

    /// Applies orders that were given to another process.
    pub fn sync_orders(&self) {
        let Some(orders) = &self.orders else { return };
        let stored = match orders.servers() {
            Ok(servers) => servers,
            Err(e) => return log!("maintenance orders cannot be read: {e}; they are unchanged"),
        };
        let applied = self.state.borrow().offline.clone();
        for server in applied.symmetric_difference(&stored) {
            let order = if stored.contains(server) { Order::Offline } else { Order::Online };
            self.apply_order(server, order);
        }
    }

    /// Applies such orders for as long as the process runs.
    pub async fn watch_orders(&self) {
        loop {
            sleep(SYNC_INTERVAL).await;
            self.sync_orders();
        }
    }
}
