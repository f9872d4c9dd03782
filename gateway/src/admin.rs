//! The operators' front: one call a connection, at an address of its own.

use std::rc::Rc;

use http::header::{ALLOW, CONNECTION, CONTENT_TYPE};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use percent_encoding::percent_decode_str;
use serde_json::{json, Map, Value};

use crate::core::Upstream;
use crate::fleet;
use crate::front::{response, Body, Front};
use crate::invariants;
use crate::maintenance::{Maintenance, OrderError};
use crate::metrics::{OutcomeCounts, RequestCounter, RequestMetrics};
use crate::pools::Pool;
use crate::shutdown::Shutdown;

/// Connections of operators where there are descriptors enough; where more come, the one that has been silent longest gives
/// way.
pub const CONNECTIONS: usize = 8;

/// What operators may ask and order.
pub struct AdminContext<U> {
    pub ready: Rc<dyn Fn() -> bool>,
    pub counters: RequestMetrics,
    pub pools: Vec<Pool>,
    pub rotation: Rc<Maintenance<U>>,
    pub shutdown: Shutdown,
    /// `None`: no file names one.
    pub fleet: Option<fleet::Handle>,
}

pub struct AdminFront<U>(Rc<AdminContext<U>>);

impl<U> Clone for AdminFront<U> {
    fn clone(&self) -> Self {
        AdminFront(self.0.clone())
    }
}

fn word(status: StatusCode, what: &str) -> Response<Body> {
    response(status, format!("{what}\n"))
}

fn shown(figures: &Value) -> Response<Body> {
    let mut answer = word(StatusCode::OK, &figures.to_string());
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

fn only(method: &'static str) -> Response<Body> {
    let mut answer = word(StatusCode::METHOD_NOT_ALLOWED, &format!("{method} wanted"));
    answer.headers_mut().insert(ALLOW, HeaderValue::from_static(method));
    answer
}

fn order_status(error: &OrderError) -> StatusCode {
    match error {
        OrderError::UnknownServer => StatusCode::NOT_FOUND,
        OrderError::NoStore | OrderError::NotPersisted(_) => StatusCode::INTERNAL_SERVER_ERROR,
    }
}

impl<U: Upstream> AdminFront<U> {
    pub fn new(desk: AdminContext<U>) -> Self {
        AdminFront(Rc::new(desk))
    }

    fn figures(&self) -> Value {
        let desk = &self.0;
        let by_class = |count: fn(&OutcomeCounts) -> u64| -> Map<String, Value> {
            desk.counters
                .snapshot()
                .iter()
                .map(|(class, counts)| (class.clone(), count(counts).into()))
                .collect()
        };
        let sum = |figure: fn(&Pool) -> usize| desk.pools.iter().map(figure).sum::<usize>();
        let mut figures = json!({
            "fulfilled": by_class(|c| c.fulfilled),
            "throttled": by_class(|c| c.throttled),
            "faulted": by_class(|c| c.faulted),
            "relayed": desk.pools.iter().map(|p| p.engine.attempts_written()).sum::<u64>(),
            "open_requests": sum(Pool::open_requests),
            "registry_entries": desk.rotation.listed(),
            "out_of_rotation": sum(|p| p.core.avoided_servers()),
        });
        figures["invariants_broken"] =
            invariants::counts().map(|(name, count)| (name.to_string(), Value::from(count))).collect();
        if let Some(fleet) = &desk.fleet {
            figures["fleet"] = fleet.counters();
        }
        figures
    }

    fn order(&self, id: &str, order: &str) -> Response<Body> {
        let Ok(id) = percent_decode_str(id).decode_utf8() else {
            return word(StatusCode::BAD_REQUEST, "the engine's id is not UTF-8");
        };
        let done = match order {
            "offline" => self.0.rotation.offline(&id),
            _ => self.0.rotation.online(&id),
        };
        match done {
            Ok(()) => word(StatusCode::OK, &format!("{id}: {order}")),
            Err(error) => word(order_status(&error), &format!("{id}: {error}")),
        }
    }

    fn call(&self, method: &Method, path: &str) -> Response<Body> {
        let desk = &self.0;
        let parts: Vec<&str> = path.strip_prefix("/control/").unwrap_or("").split('/').collect();
        let wanted = match parts[..] {
            ["ready" | "counters"] => "GET",
            ["fleet"] if desk.fleet.is_some() => "GET",
            ["out-of-service" | "in-service"] => "POST",
            ["engines", id, "offline" | "online"] if !id.is_empty() => "POST",
            _ => return word(StatusCode::NOT_FOUND, "no such call"),
        };
        if method.as_str() != wanted {
            return only(wanted);
        }
        match parts[..] {
            ["ready"] if (desk.ready)() => word(StatusCode::OK, "ready"),
            ["ready"] => word(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            ["counters"] => shown(&self.figures()),
            ["fleet"] => shown(&desk.fleet.as_ref().map_or(Value::Null, fleet::Handle::members)),
            ["out-of-service"] => {
                desk.shutdown.take_out_of_service();
                word(StatusCode::OK, "out of service")
            }
            ["in-service"] => {
                desk.shutdown.return_to_service();
                word(StatusCode::OK, "in service")
            }
            ["engines", id, order] => self.order(id, order),
            _ => word(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}

impl<U: Upstream> Front for AdminFront<U> {
    async fn answer(self, request: Request<Incoming>) -> Response<Body> {
        let mut answer = self.call(request.method(), request.uri().path());
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        answer
    }

    /// Calls of operators are no requests.
    fn request_counter(&self, _: &Request<Incoming>) -> Option<RequestCounter> {
        None
    }
}
