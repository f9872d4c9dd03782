//! Plug-ins: a Rhai script that is called for each request before it is routed, and again with its outcome.
//!
//! A script may pass, reject or annotate a request. It cannot send, repeat or delay requests: each call is bounded in
//! operations and memory, and the script has no access to the gateway. If a script fails, the error is logged and the request
//! continues without it. [`Plugin`] is immutable; a call keeps no state beyond the request.
#![deny(missing_docs)]

use std::convert::Infallible;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use http::{HeaderName, HeaderValue};
use rhai::{CallFnOptions, Dynamic, Engine, EvalAltResult, Map, ParseError, Scope, AST};
use tokio::time::Instant;
use tower::{Service, ServiceExt};

use crate::core::millis;
use crate::exchange::{ClientSide, Request, ResponseOutcome};
use crate::log;

/// Maximum number of operations in one call of a hook, which take a few milliseconds at most.
const MAX_OPERATIONS: u64 = 20_000;
/// Maximum depth of nested function calls in one call of a hook.
const MAX_CALL_LEVELS: usize = 16;
/// Maximum nesting depth of an expression, in the script and in its functions.
const MAX_EXPRESSION_DEPTH: usize = 32;
/// Maximum length of a string in a script, in bytes.
const MAX_TEXT_BYTES: usize = 16 << 10;
/// Maximum number of items of an array or a map in a script.
const MAX_ITEMS: usize = 1_000;
/// Maximum number of notes that a script may add to one request.
const MAX_NOTES: usize = 16;
/// `Retry-After` of a request that a script rejects.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The hook that is called before a request is routed.
const REQUEST_HOOK: &str = "on_request";
/// The hook that is called when a response has ended.
const RESPONSE_HOOK: &str = "on_answer";
/// The error that a script gets when it calls `sleep`.
const SLEEP_ERROR: &str = "a hook cannot sleep";

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

/// An error in a script's source.
#[derive(Debug, thiserror::Error)]
pub enum ScriptError {
    /// The source is not valid Rhai or uses a disabled feature.
    #[error("{0}")]
    Syntax(#[from] ParseError),
    /// The script defines no hook, so it would never be called.
    #[error("neither on_request(request) nor on_answer(answer) is defined")]
    NoHook,
}

/// A compiled script, with the hooks that it defines.
pub struct Plugin {
    engine: Engine,
    script: AST,
    has_request_hook: bool,
    has_response_hook: bool,
}

/// A script's decision on a request.
#[derive(Debug, PartialEq)]
pub enum Verdict {
    /// The request continues, with these notes (name and value) for the server.
    Pass(Vec<(String, String)>),
    /// The request is rejected for this reason, which is logged.
    Reject(String),
}

impl Plugin {
    /// Reads and compiles the script file given with `--plugin`.
    pub fn load(path: &Path) -> Result<Self, PluginError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| PluginError::Unreadable { path: path.into(), error })?;
        Plugin::compile(&text).map_err(|error| PluginError::Script { path: path.into(), error })
    }

    /// Compiles a script's source.
    pub fn compile(text: &str) -> Result<Self, ScriptError> {
        let engine = bounded_engine();
        let script = engine.compile(text)?;
        let has_hook =
            |name: &str| script.iter_functions().any(|hook| hook.name == name && hook.params.len() == 1);
        let (has_request_hook, has_response_hook) = (has_hook(REQUEST_HOOK), has_hook(RESPONSE_HOOK));
        if !has_request_hook && !has_response_hook {
            return Err(ScriptError::NoHook);
        }
        Ok(Plugin { has_request_hook, has_response_hook, engine, script })
    }

    fn call(&self, hook: &str, fields: Map) -> Option<Dynamic> {
        let options = CallFnOptions::new().eval_ast(false);
        let arguments = (Dynamic::from_map(fields),);
        let result =
            self.engine.call_fn_with_options(options, &mut Scope::new(), &self.script, hook, arguments);
        result.map_err(|e| log!("plugin: {hook} failed: {e}")).ok()
    }

    /// Calls the request hook and returns its decision. The request passes if the script fails or returns a value without
    /// a meaning.
    pub fn verdict(&self, fields: Map) -> Verdict {
        let result = self.has_request_hook.then(|| self.call(REQUEST_HOOK, fields)).flatten();
        let Some(result) = result else {
            return Verdict::Pass(vec![]);
        };
        if result.is_string() {
            return Verdict::Reject(result.into_string().unwrap_or_default());
        }
        if result.as_bool() == Ok(false) {
            return Verdict::Reject("no reason given".into());
        }
        let notes = result.try_cast::<Map>().unwrap_or_default().into_iter().take(MAX_NOTES);
        Verdict::Pass(notes.map(|(name, value)| (name.to_string(), value.to_string())).collect())
    }

    /// Wraps a service so that each request passes through the script first.
    pub fn layer<S>(self: &Rc<Self>, inner: S) -> PluginService<S> {
        PluginService { plugin: self.clone(), inner }
    }
}

/// Creates an engine that bounds the operations and the memory of scripts, and disables `sleep` and `eval`.
fn bounded_engine() -> Engine {
    let mut engine = Engine::new();
    engine
        .set_max_operations(MAX_OPERATIONS)
        .set_max_call_levels(MAX_CALL_LEVELS)
        .set_max_expr_depths(MAX_EXPRESSION_DEPTH, MAX_EXPRESSION_DEPTH);
    engine.set_max_string_size(MAX_TEXT_BYTES).set_max_array_size(MAX_ITEMS).set_max_map_size(MAX_ITEMS);
    engine.disable_symbol("eval");
    engine.register_fn("sleep", |_: i64| -> Result<(), Box<EvalAltResult>> { Err(SLEEP_ERROR.into()) });
    engine.register_fn("sleep", |_: f64| -> Result<(), Box<EvalAltResult>> { Err(SLEEP_ERROR.into()) });
    engine.on_print(|text| log!("plugin: {text}"));
    engine.on_debug(|text, _, _| log!("plugin: {text}"));
    engine
}

/// Returns the fields of a request that scripts receive. The keys are part of the scripts' interface.
fn script_fields(request: &Request) -> Map {
    let (routing, payload) = (&request.routing, &request.payload);
    let text = |value: &str| Dynamic::from(value.to_string());
    Map::from_iter([
        ("name".into(), text(&payload.request_id)),
        ("path".into(), text(payload.uri.path())),
        ("class".into(), Dynamic::from(i64::from(routing.class))),
        ("session".into(), text(&format!("{:016x}", routing.session))),
        ("prompt_tokens".into(), Dynamic::from(routing.prompt_tokens)),
        ("max_tokens".into(), Dynamic::from(routing.max_tokens)),
        ("deadline_ms".into(), Dynamic::from(routing.client_timeout)),
        ("body_bytes".into(), Dynamic::from(payload.body.len() as i64)),
    ])
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
            let fields = script_fields(&request);
            match plugin.verdict(fields.clone()) {
                Verdict::Reject(reason) => {
                    log!("plugin: rejected: {reason}");
                    return Ok(ClientSide::rejected(RETRY_AFTER));
                }
                Verdict::Pass(notes) => annotate(&mut request, &notes),
            }
            let started = Instant::now();
            let mut response = inner.oneshot(request).await?;
            if plugin.has_response_hook {
                response.observe(move |outcome| call_response_hook(&plugin, fields, started, outcome));
            }
            Ok(response)
        })
    }
}

/// Calls the response hook with the request's fields, its outcome and its duration.
fn call_response_hook(plugin: &Plugin, mut fields: Map, started: Instant, outcome: ResponseOutcome) {
    fields.insert("ended".into(), Dynamic::from(script_label(outcome).to_string()));
    let elapsed_ms = millis(started.elapsed());
    fields.insert("elapsed_ms".into(), Dynamic::from(elapsed_ms));
    plugin.call(RESPONSE_HOOK, fields);
}

/// Returns the name of an outcome in the scripts' interface.
fn script_label(outcome: ResponseOutcome) -> &'static str {
    match outcome {
        ResponseOutcome::Completed => "served",
        ResponseOutcome::Rejected => "refused",
        ResponseOutcome::Failed => "failed",
        ResponseOutcome::Aborted => "cut",
    }
}

/// Adds notes as headers with a prefix of their own, so that they cannot overwrite a header of the client.
fn annotate(request: &mut Request, notes: &[(String, String)]) {
    let Some(payload) = Rc::get_mut(&mut request.payload) else { return };
    for (name, value) in notes {
        let name = HeaderName::from_bytes(format!("x-note-{name}").as_bytes());
        match (name, HeaderValue::from_str(value)) {
            (Ok(name), Ok(value)) => {
                payload.headers.insert(name, value);
            }
            _ => log!("plugin: skipped a note that is not a valid header"),
        }
    }
}

#[cfg(test)]
mod tests;
