//! Plug-ins: a Rhai script that is called for each request before it is routed, and again with its outcome.
//!
//! A script may pass, reject or annotate a request. It cannot send, repeat or delay requests: each call is bounded in time,
//! operations and memory, is evaluated on a separate thread, and has no access to the gateway. If a call fails, the failure
//! is counted and logged and the request continues without it. [`Plugin`] keeps no state beyond the request.
#![deny(missing_docs)]

mod built_ins;
mod deadline;
mod failure;
mod fields;
mod printed_text;
mod script;
mod shared_values;
mod time_limit;
mod verdict;
mod worker;

use std::convert::Infallible;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use serde_json::Value;
use tokio::time::Instant;
use tower::{Service, ServiceExt};

use self::failure::HookFailures;
use self::fields::{RequestFields, ResponseFields};
pub use self::script::ScriptError;
use self::script::{REQUEST_HOOK, RESPONSE_HOOK};
use self::verdict::{Note, Verdict};
use self::worker::Worker;
use crate::exchange::{ClientSide, Request, ResponseOutcome};
use crate::log;

/// `Retry-After` of a request that a script rejects.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a script cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum PluginError {
    /// The script's file cannot be read.
    #[error("configuration: --plugin: {}: {error}", path.display())]
    Unreadable {
        /// The argument of `--plugin`.
        path: PathBuf,
        /// The error of the read.
        error: io::Error,
    },
    /// The file does not contain a usable script.
    #[error("configuration: --plugin: {}: {error}", path.display())]
    Script {
        /// The argument of `--plugin`.
        path: PathBuf,
        /// The error in the script.
        error: ScriptError,
    },
}

/// A script whose hooks are evaluated on a separate thread.
pub struct Plugin {
    worker: Worker,
    failures: Arc<HookFailures>,
}

impl Plugin {
    /// Reads the script file given with `--plugin` and starts the script.
    pub fn load(path: &Path) -> Result<Self, PluginError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| PluginError::Unreadable { path: path.into(), error })?;
        Plugin::compile(&text).map_err(|error| PluginError::Script { path: path.into(), error })
    }

    /// Compiles a script's source and starts the script.
    pub fn compile(text: &str) -> Result<Self, ScriptError> {
        Ok(Plugin { worker: Worker::start(text)?, failures: Arc::default() })
    }

    /// Returns the number of failed calls by reason, for the operators' counters.
    pub fn failures(&self) -> Value {
        self.failures.to_json()
    }

    /// Calls the request hook, if there is one, and returns its decision. The request passes if the call fails.
    async fn verdict(&self, fields: &RequestFields) -> Verdict {
        if !self.worker.hooks().on_request {
            return Verdict::Pass(vec![]);
        }
        let fields = fields.clone();
        let verdict = self.worker.call(move |script| script.on_request(&fields)).await;
        verdict.unwrap_or_else(|failure| {
            self.failures.record(REQUEST_HOOK, &failure);
            Verdict::Pass(vec![])
        })
    }

    /// Has the response hook called.
    fn report_response(&self, fields: ResponseFields) {
        let failures = self.failures.clone();
        let call = move |script: &script::Script| script.on_response(&fields);
        let submitted = self.worker.submit(call, move |failure| failures.record(RESPONSE_HOOK, failure));
        if let Err(failure) = submitted {
            self.failures.record(RESPONSE_HOOK, &failure);
        }
    }

    /// Wraps a service so that each request passes through the script first.
    pub fn layer<S>(self: &Rc<Self>, inner: S) -> PluginService<S> {
        PluginService { plugin: self.clone(), inner }
    }
}

/// A service whose requests pass through a plug-in first.
#[derive(Clone)]
pub struct PluginService<S> {
    plugin: Rc<Plugin>,
    inner: S,
}

impl<S> Service<Request> for PluginService<S>
where
    S: Service<Request, Response = ClientSide, Error = Infallible, Future: 'static> + Clone + 'static,
{
    type Response = ClientSide;
    type Error = Infallible;
    type Future = LocalBoxFuture<'static, Result<ClientSide, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, mut request: Request) -> Self::Future {
        let (plugin, inner) = (self.plugin.clone(), self.inner.clone());
        Box::pin(async move {
            let fields = RequestFields::of(&request);
            match plugin.verdict(&fields).await {
                Verdict::Reject(reason) => {
                    log!("plugin: rejected: {reason}");
                    return Ok(ClientSide::rejected(RETRY_AFTER));
                }
                Verdict::Pass(notes) => annotate(&mut request, notes),
            }
            let started = Instant::now();
            let mut response = inner.oneshot(request).await?;
            if plugin.worker.hooks().on_response {
                response.observe(move |outcome| report_end(&plugin, fields, started, outcome));
            }
            Ok(response)
        })
    }
}

/// Has the response hook called with the request's fields, its outcome and its duration.
fn report_end(plugin: &Plugin, request: RequestFields, started: Instant, outcome: ResponseOutcome) {
    plugin.report_response(ResponseFields { request, outcome, elapsed: started.elapsed() });
}

/// Adds notes as headers.
fn annotate(request: &mut Request, notes: Vec<Note>) {
    let Some(payload) = Rc::get_mut(&mut request.payload) else { return };
    for Note { name, value } in notes {
        payload.headers.insert(name, value);
    }
}

#[cfg(test)]
mod tests;
