//! Maintenance mode: servers that operators have taken out of rotation.
//!
//! The module is an overlay between discovery and the router and engine client: such a server is passed on as draining,
//! whatever its listed state, until operators put it back. The orders are stored on disk ([`OrderStore`]), shared by
//! all processes of this gateway. This module owns the unmodified list of discovery. Times are Unix times of the
//! system clock.
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

/// Interval at which orders given to other processes of this gateway are applied.
const SYNC_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum length of a server name in an order, in bytes. The escaped name must fit into a file name.
const MAX_SERVER_NAME_BYTES: usize = 80;

/// Reason why an order was not applied.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// The server is neither listed by discovery nor out of rotation by an order.
    #[error("no such engine")]
    UnknownServer,
    /// The order store could not be opened at the start, so no order can be stored.
    #[error("the order cannot be kept: no place to keep orders")]
    NoStore,
    /// The order could not be stored, so it was not applied.
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

/// Maintenance order for a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Takes the server out of rotation: it completes its open requests and receives no new ones. Idempotent.
    Offline,
    /// Returns the server to rotation, whether or not it is currently listed. Idempotent while it is listed.
    Online,
}

impl Order {
    /// Returns the name of the order in the requests and responses of the operators' interface.
    pub fn name(self) -> &'static str {
        match self {
            Order::Offline => "offline",
            Order::Online => "online",
        }
    }
}

#[derive(Default)]
struct State {
    /// Servers that discovery currently lists, by name.
    listed: BTreeMap<String, Endpoint>,
    /// Names of the servers that are out of rotation, listed or not.
    offline: BTreeSet<String>,
    /// Time at which each listed server was returned to rotation, in Unix milliseconds.
    returned_unix_ms: BTreeMap<String, f64>,
}

impl State {
    /// Returns the line of a server with the orders applied.
    fn overlaid(&self, endpoint: &Endpoint) -> Endpoint {
        let mut endpoint = endpoint.clone();
        if self.offline.contains(&endpoint.host) {
            endpoint.mark_draining();
        }
        // Operators usually restart a server during maintenance, so its return is treated as its start.
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

    /// Records an order; returns false if the server was already in that state.
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

/// Maintenance overlay in front of the router and engine client of one pool.
pub struct Maintenance<U> {
    names: SettingsNames,
    clock: Clock,
    engine: Engine,
    core: Core<U>,
    orders: Option<OrderStore>,
    state: RefCell<State>,
}

impl<U: Upstream> Maintenance<U> {
    /// Creates the overlay. Stored orders apply from the first list on. Without a store, new orders are rejected.
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

    /// Applies a full list or changes from discovery, subject to the orders in effect.
    pub fn apply_list(&self, list: &EndpointList, scope: ListUpdate) {
        let overlaid = {
            let mut state = self.state.borrow_mut();
            state.record_listed(list, scope);
            list.endpoints.iter().map(|endpoint| state.overlaid(endpoint)).collect()
        };
        self.forward_list(overlaid, scope);
    }

    fn forward_list(&self, endpoints: Vec<Endpoint>, scope: ListUpdate) {
        let list = EndpointList { endpoints, ..EndpointList::default() };
        discovery::apply_list(&list, scope, &self.names, &self.clock, &self.engine, &self.core);
    }

    /// Returns the number of servers that discovery currently lists.
    pub fn listed(&self) -> usize {
        self.state.borrow().listed.len()
    }

    /// Stores an order, then applies it.
    pub fn order(&self, server: &str, order: Order) -> Result<(), OrderError> {
        self.sync_orders();
        if !self.is_known(server) || server.len() > MAX_SERVER_NAME_BYTES {
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
        self.forward_list(overlaid.into_iter().collect(), ListUpdate::Delta);
    }

    /// Applies stored orders that were given to other processes of this gateway.
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

    /// Calls [`Maintenance::sync_orders`] periodically until the process exits.
    pub async fn watch_orders(&self) {
        loop {
            sleep(SYNC_INTERVAL).await;
            self.sync_orders();
        }
    }
}
