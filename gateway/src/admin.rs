//! HTTP front for operators: readiness, counters, maintenance orders and service state, on an address of its own.
//!
//! Each connection serves one request. [`AdminContext`] holds the parts of the gateway that requests read and
//! change; the front has no state of its own. Operators' tools depend on the paths, the texts and the JSON keys.
#![deny(missing_docs)]

use std::rc::Rc;

use http::header::{ALLOW, CONNECTION, CONTENT_TYPE};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use percent_encoding::percent_decode_str;
use serde_json::{json, Map, Value};

use crate::core::Upstream;
use crate::fleet;
use crate::front::{closed_connections, response, Body, Front};
use crate::invariants;
use crate::maintenance::{Maintenance, Order, OrderError};
use crate::metrics::{OutcomeCounts, RequestCounter, RequestMetrics};
use crate::plugin::Plugin;
use crate::pools::Pool;
use crate::response_ends;
use crate::shutdown::Shutdown;

/// Maximum number of operators' connections; fewer are allowed if the process has few file descriptors. At the
/// limit, a new connection evicts the one that has been idle longest.
pub const MAX_CONNECTIONS: usize = 8;

/// Maximum size in bytes of the body of an order, which is not read.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Common prefix of all paths.
const PATH_PREFIX: &str = "/control/";

/// Parts of the gateway that operators can read and change.
pub struct AdminContext<U> {
    /// Returns whether this process can serve requests.
    pub ready: Rc<dyn Fn() -> bool>,
    /// Request counts by class.
    pub metrics: RequestMetrics,
    /// All pools of this gateway; the counters are sums over them.
    pub pools: Vec<Pool>,
    /// Executes maintenance orders, and counts the servers that discovery lists.
    pub maintenance: Rc<Maintenance<U>>,
    /// Takes the gateway out of service and returns it to service.
    pub shutdown: Shutdown,
    /// Fleet that this gateway is a member of; `None` if it is in no fleet.
    pub fleet: Option<fleet::Handle>,
    /// The plug-in; `None` if there is none.
    pub plugin: Option<Rc<Plugin>>,
}

/// Front that serves the requests of operators.
pub struct AdminFront<U>(Rc<AdminContext<U>>);

impl<U> Clone for AdminFront<U> {
    fn clone(&self) -> Self {
        AdminFront(self.0.clone())
    }
}

/// Request of an operator, identified by its path.
enum Call<'a> {
    Ready,
    Counters,
    FleetMembers(&'a fleet::Handle),
    OutOfService,
    InService,
    /// Maintenance order for a server, whose name is percent-encoded.
    Order {
        server: &'a str,
        order: Order,
    },
}

impl<'a> Call<'a> {
    fn parse(path: &'a str, fleet: Option<&'a fleet::Handle>) -> Option<Call<'a>> {
        let segments: Vec<&str> = path.strip_prefix(PATH_PREFIX)?.split('/').collect();
        match segments[..] {
            ["ready"] => Some(Call::Ready),
            ["counters"] => Some(Call::Counters),
            ["fleet"] => fleet.map(Call::FleetMembers),
            ["out-of-service"] => Some(Call::OutOfService),
            ["in-service"] => Some(Call::InService),
            ["engines", "", _] => None,
            ["engines", server, "offline"] => Some(Call::Order { server, order: Order::Offline }),
            ["engines", server, "online"] => Some(Call::Order { server, order: Order::Online }),
            _ => None,
        }
    }

    /// Returns the only HTTP method that the path accepts.
    fn method(&self) -> &'static str {
        match self {
            Call::Ready | Call::Counters | Call::FleetMembers(_) => "GET",
            Call::OutOfService | Call::InService | Call::Order { .. } => "POST",
        }
    }
}

/// Returns a response with one line of text.
fn text_line(status: StatusCode, text: &str) -> Response<Body> {
    response(status, format!("{text}\n"))
}

fn json_line(value: &Value) -> Response<Body> {
    let mut response = text_line(StatusCode::OK, &value.to_string());
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn method_not_allowed(allowed: &'static str) -> Response<Body> {
    let mut response = text_line(StatusCode::METHOD_NOT_ALLOWED, &format!("{allowed} wanted"));
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    response
}

fn order_status(error: &OrderError) -> StatusCode {
    match error {
        OrderError::UnknownServer => StatusCode::NOT_FOUND,
        OrderError::NoStore | OrderError::NotPersisted(_) => StatusCode::INTERNAL_SERVER_ERROR,
    }
}

impl<U: Upstream> AdminFront<U> {
    /// Creates a front that reads and changes the given parts of the gateway.
    pub fn new(context: AdminContext<U>) -> Self {
        AdminFront(Rc::new(context))
    }

    fn counters(&self) -> Value {
        let context = &self.0;
        let sum = |count: fn(&Pool) -> usize| context.pools.iter().map(count).sum::<usize>();
        let relayed: u64 = context.pools.iter().map(|pool| pool.engine.attempts_written()).sum();
        let unreadable_reports: u64 =
            context.pools.iter().map(|pool| pool.engine.unreadable_load_reports()).sum();
        let mut counters = json!({
            "fulfilled": self.by_class(|counts| counts.fulfilled),
            "throttled": self.by_class(|counts| counts.throttled),
            "faulted": self.by_class(|counts| counts.faulted),
            "relayed": relayed,
            "open_requests": sum(Pool::open_requests),
            "registry_entries": context.maintenance.listed(),
            "out_of_rotation": sum(|pool| pool.core.avoided_servers()),
            "retained_request_ids": context.pools.first().map_or(0, |pool| pool.core.retained_request_ids()),
            "unreadable_load_reports": unreadable_reports,
        });
        counters["invariants_broken"] =
            invariants::counts().map(|(name, count)| (name.to_string(), Value::from(count))).collect();
        counters["connections_closed"] = closed_connections::to_json();
        counters["responses_ended_early"] = response_ends::to_json();
        counters["malformed_responses"] = response_ends::malformed_to_json();
        if let Some(plugin) = &context.plugin {
            counters["hook_failures"] = plugin.failures();
        }
        if let Some(fleet) = &context.fleet {
            counters["fleet"] = fleet.counters();
        }
        counters
    }

    fn by_class(&self, count: fn(&OutcomeCounts) -> u64) -> Map<String, Value> {
        let classes = self.0.metrics.snapshot().into_iter();
        classes.map(|(class, counts)| (class, count(&counts).into())).collect()
    }

    fn execute_order(&self, encoded_server: &str, order: Order) -> Response<Body> {
        let Ok(server) = percent_decode_str(encoded_server).decode_utf8() else {
            return text_line(StatusCode::BAD_REQUEST, "the engine's id is not UTF-8");
        };
        match self.0.maintenance.order(&server, order) {
            Ok(()) => text_line(StatusCode::OK, &format!("{server}: {}", order.name())),
            Err(error) => text_line(order_status(&error), &format!("{server}: {error}")),
        }
    }

    fn respond(&self, method: &Method, path: &str) -> Response<Body> {
        let context = &self.0;
        let Some(call) = Call::parse(path, context.fleet.as_ref()) else {
            return text_line(StatusCode::NOT_FOUND, "no such call");
        };
        if method.as_str() != call.method() {
            return method_not_allowed(call.method());
        }
        match call {
            Call::Ready if (context.ready)() => text_line(StatusCode::OK, "ready"),
            Call::Ready => text_line(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            Call::Counters => json_line(&self.counters()),
            Call::FleetMembers(fleet) => json_line(&fleet.members()),
            Call::OutOfService => {
                context.shutdown.take_out_of_service();
                text_line(StatusCode::OK, "out of service")
            }
            Call::InService => {
                context.shutdown.return_to_service();
                text_line(StatusCode::OK, "in service")
            }
            Call::Order { server, order } => self.execute_order(server, order),
        }
    }
}

impl<U: Upstream> Front for AdminFront<U> {
    fn max_body_bytes(&self) -> usize {
        MAX_BODY_BYTES
    }

    async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let mut response = self.respond(request.method(), request.uri().path());
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        response
    }

    /// Requests of operators are not counted.
    fn request_counter(&self, _: &Request<Incoming>) -> Option<RequestCounter> {
        None
    }
}
