//! Plug-ins: a Rhai script that is called for each request before it is routed, and again with its outcome.
//!
//! A script may let a request pass, reject it or annotate it. It cannot send, repeat or delay one: the operations and the
//! memory of a call are bounded, and the script has no access to the gateway. A script that fails is logged, and the
//! request goes on as if there were none. [`Plugin`] is immutable; a call has no state beyond the request.
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

/// Operations that one call of a hook may take: some milliseconds at most.
const MAX_OPERATIONS: u64 = 20_000;
/// Nested calls of functions in one call of a hook.
const MAX_CALL_LEVELS: usize = 16;
/// Nesting of an expression, in the script and in its functions.
const MAX_EXPRESSION_DEPTH: usize = 32;
/// Longest text that a script may build, in bytes.
const MAX_TEXT_BYTES: usize = 16 << 10;
/// Most items of an array or a map.
const MAX_ITEMS: usize = 1_000;
/// Notes that one request may be given.
const MAX_NOTES: usize = 16;
/// `Retry-After` of a request that a script rejects.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The hook that is called before a request is routed.
const REQUEST_HOOK: &str = "on_request";
/// The hook that is called when a response has ended.
const RESPONSE_HOOK: &str = "on_answer";
/// The error of a script that calls `sleep`.
const NO_SLEEP: &str = "a hook cannot sleep";

/// Why a script cannot be used at all.
#[derive(Debug, thiserror::Error)]
pub enum PluginError {
    /// The file cannot be read.
    #[error("configuration: --plugin: {}: {error}", path.display())]
    Unreadable {
        /// The file after `--plugin`.
        path: PathBuf,
        /// Why it cannot be read.
        error: io::Error,
    },
    /// The file is no script that could be called.
    #[error("configuration: --plugin: {}: {error}", path.display())]
    Script {
        /// The file after `--plugin`.
        path: PathBuf,
        /// What is wrong with its text.
        error: ScriptError,
    },
}

/// What is wrong with a script's text.
#[derive(Debug, thiserror::Error)]
pub enum ScriptError {
    /// It is not Rhai, or uses what is switched off.
    #[error("{0}")]
    Syntax(#[from] ParseError),
    /// It would never be called.
    #[error("neither on_request(request) nor on_answer(answer) is defined")]
    NoHook,
}

/// A compiled script.
pub struct Plugin {
    engine: Engine,
    script: AST,
    has_request_hook: bool,
    has_response_hook: bool,
}

/// What a script decides about a request.
#[derive(Debug, PartialEq)]
pub enum Verdict {
    /// The request goes on, with these notes for the server.
    Pass(Vec<(String, String)>),
    /// The request is rejected, for this reason.
    Reject(String),
}

impl Plugin {
    /// Reads and compiles the file after `--plugin`.
    pub fn load(path: &Path) -> Result<Self, PluginError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| PluginError::Unreadable { path: path.into(), error })?;
        Plugin::compile(&text).map_err(|error| PluginError::Script { path: path.into(), error })
    }

    /// Compiles a script's text.
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

    fn call(&self, hook: &str, about: Map) -> Option<Dynamic> {
        let options = CallFnOptions::new().eval_ast(false);
        let arguments = (Dynamic::from_map(about),);
        let result =
            self.engine.call_fn_with_options(options, &mut Scope::new(), &self.script, hook, arguments);
        result.map_err(|e| log!("plugin: {hook} failed: {e}")).ok()
    }

    /// The script's verdict on a request. A script that fails, or returns what makes no sense, lets it pass.
    pub fn verdict(&self, about: Map) -> Verdict {
        let result = self.has_request_hook.then(|| self.call(REQUEST_HOOK, about)).flatten();
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

    /// The layer in front of a core.
    pub fn layer<S>(self: &Rc<Self>, inner: S) -> Hooked<S> {
        Hooked { plugin: self.clone(), inner }
    }
}

/// An engine whose scripts can neither take long nor wait nor run text that they made up.
fn bounded_engine() -> Engine {
    let mut engine = Engine::new();
    engine
        .set_max_operations(MAX_OPERATIONS)
        .set_max_call_levels(MAX_CALL_LEVELS)
        .set_max_expr_depths(MAX_EXPRESSION_DEPTH, MAX_EXPRESSION_DEPTH);
    engine.set_max_string_size(MAX_TEXT_BYTES).set_max_array_size(MAX_ITEMS).set_max_map_size(MAX_ITEMS);
    engine.disable_symbol("eval");
    engine.register_fn("sleep", |_: i64| -> Result<(), Box<EvalAltResult>> { Err(NO_SLEEP.into()) });
    engine.register_fn("sleep", |_: f64| -> Result<(), Box<EvalAltResult>> { Err(NO_SLEEP.into()) });
    engine.on_print(|text| log!("plugin: {text}"));
    engine.on_debug(|text, _, _| log!("plugin: {text}"));
    engine
}

/// A request as scripts see it. The keys are the scripts' interface.
fn describe(request: &Request) -> Map {
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

/// A service behind a plug-in.
#[derive(Clone)]
pub struct Hooked<S> {
    plugin: Rc<Plugin>,
    inner: S,
}

impl<S> Service<Request> for Hooked<S>
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
            let about = describe(&request);
            match plugin.verdict(about.clone()) {
                Verdict::Reject(reason) => {
                    log!("plugin: rejected: {reason}");
                    return Ok(ClientSide::rejected(RETRY_AFTER));
                }
                Verdict::Pass(notes) => annotate(&mut request, &notes),
            }
            let started = Instant::now();
            let mut response = inner.oneshot(request).await?;
            if plugin.has_response_hook {
                response.observe(move |outcome| report_outcome(&plugin, about, started, outcome));
            }
            Ok(response)
        })
    }
}

/// Calls the response hook with the request, its outcome and its time.
fn report_outcome(plugin: &Plugin, mut about: Map, started: Instant, outcome: ResponseOutcome) {
    about.insert("ended".into(), Dynamic::from(script_label(outcome).to_string()));
    let elapsed_ms = millis(started.elapsed());
    about.insert("elapsed_ms".into(), Dynamic::from(elapsed_ms));
    plugin.call(RESPONSE_HOOK, about);
}

/// An outcome as scripts see it.
fn script_label(outcome: ResponseOutcome) -> &'static str {
    match outcome {
        ResponseOutcome::Completed => "served",
        ResponseOutcome::Rejected => "refused",
        ResponseOutcome::Failed => "failed",
        ResponseOutcome::Aborted => "cut",
    }
}

/// Adds notes as headers with a prefix of their own, so that they cannot change one that the request came with.
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
