//! Plug-ins: a Rhai script that is asked about each request before the module sees it, and told how it ended.
//!
//! A script may let a request pass, refuse it or annotate it. It has no way to send, repeat or delay one: what
//! it may use is bounded, and nothing of the gateway is in its reach. A script that fails is logged, and the
//! request goes on as if there were none.

use std::convert::Infallible;
use std::path::Path;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use http::{HeaderName, HeaderValue};
use rhai::{CallFnOptions, Dynamic, Engine, EvalAltResult, Map, Scope, AST};
use tokio::time::Instant;
use tower::{Service, ServiceExt};

use crate::exchange::{ClientSide, Request, ResponseOutcome};
use crate::log;

/// Operations that one call of a hook may take: some milliseconds at most.
const OPERATIONS: u64 = 20_000;
const TEXT: usize = 16 << 10;
const ITEMS: usize = 1_000;
/// Notes that one request may be given.
const NOTES: usize = 16;
const NO_SLEEP: &str = "a hook cannot sleep";
/// A client refused by a script is told to come back after this time.
const COME_BACK: Duration = Duration::from_secs(1);

pub struct Plugin {
    engine: Engine,
    script: AST,
    asks: bool,
    tells: bool,
}

#[derive(Debug, PartialEq)]
pub enum Verdict {
    /// It goes on, with these notes for the server.
    Pass(Vec<(String, String)>),
    Refuse(String),
}

impl Plugin {
    pub fn load(path: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|e| format!("configuration: --plugin: {}: {e}", path.display()))?;
        Plugin::compile(&text).map_err(|e| format!("configuration: --plugin: {}: {e}", path.display()))
    }

    pub fn compile(text: &str) -> Result<Self, String> {
        let mut engine = Engine::new();
        engine.set_max_operations(OPERATIONS).set_max_call_levels(16).set_max_expr_depths(32, 32);
        engine.set_max_string_size(TEXT).set_max_array_size(ITEMS).set_max_map_size(ITEMS);
        // A hook may not hold a request up, nor run what it made up.
        engine.disable_symbol("eval");
        engine.register_fn("sleep", |_: i64| -> Result<(), Box<EvalAltResult>> { Err(NO_SLEEP.into()) });
        engine.register_fn("sleep", |_: f64| -> Result<(), Box<EvalAltResult>> { Err(NO_SLEEP.into()) });
        engine.on_print(|words| log!("plugin: {words}"));
        engine.on_debug(|words, _, _| log!("plugin: {words}"));
        let script = engine.compile(text).map_err(|e| e.to_string())?;
        let has = |name: &str| script.iter_functions().any(|f| f.name == name && f.params.len() == 1);
        let (asks, tells) = (has("on_request"), has("on_answer"));
        if !asks && !tells {
            return Err("neither on_request(request) nor on_answer(answer) is defined".into());
        }
        Ok(Plugin { asks, tells, engine, script })
    }

    fn call(&self, hook: &str, about: Map) -> Option<Dynamic> {
        let options = CallFnOptions::new().eval_ast(false);
        let about = (Dynamic::from_map(about),);
        let result = self.engine.call_fn_with_options(options, &mut Scope::new(), &self.script, hook, about);
        result.map_err(|e| log!("plugin: {hook} failed: {e}")).ok()
    }

    /// What the script says of a request; a fault, or an answer that makes no sense, lets it pass.
    pub fn ask(&self, about: Map) -> Verdict {
        let Some(said) = self.asks.then(|| self.call("on_request", about)).flatten() else {
            return Verdict::Pass(vec![]);
        };
        if said.is_string() {
            return Verdict::Refuse(said.into_string().unwrap_or_default());
        }
        if said.as_bool() == Ok(false) {
            return Verdict::Refuse("no reason given".into());
        }
        let notes = said.try_cast::<Map>().unwrap_or_default();
        let notes = notes.into_iter().take(NOTES).map(|(name, value)| (name.to_string(), value.to_string()));
        Verdict::Pass(notes.collect())
    }

    /// The layer in front of a core.
    pub fn layer<S>(self: &Rc<Self>, inner: S) -> Hooked<S> {
        Hooked { plugin: self.clone(), inner }
    }
}

fn describe(request: &Request) -> Map {
    let (ask, payload) = (&request.routing, &request.payload);
    let text = |t: &str| Dynamic::from(t.to_string());
    Map::from_iter([
        ("name".into(), text(&payload.request_id)),
        ("path".into(), text(payload.uri.path())),
        ("class".into(), Dynamic::from(i64::from(ask.class))),
        ("session".into(), text(&format!("{:016x}", ask.session))),
        ("prompt_tokens".into(), Dynamic::from(ask.prompt_tokens)),
        ("max_tokens".into(), Dynamic::from(ask.max_tokens)),
        ("deadline_ms".into(), Dynamic::from(ask.client_timeout)),
        ("body_bytes".into(), Dynamic::from(payload.body.len() as i64)),
    ])
}

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
            match plugin.ask(about.clone()) {
                Verdict::Refuse(reason) => {
                    log!("plugin: refused: {reason}");
                    return Ok(ClientSide::rejected(COME_BACK));
                }
                Verdict::Pass(notes) => annotate(&mut request, &notes),
            }
            let started = Instant::now();
            let mut answer = inner.oneshot(request).await?;
            if plugin.tells {
                answer.observe(move |ended| {
                    let mut about = about;
                    about.insert("ended".into(), Dynamic::from(word(ended).to_string()));
                    let elapsed = started.elapsed().as_secs_f64() * 1000.0;
                    about.insert("elapsed_ms".into(), Dynamic::from(elapsed));
                    plugin.call("on_answer", about);
                });
            }
            Ok(answer)
        })
    }
}

fn word(ended: ResponseOutcome) -> &'static str {
    match ended {
        ResponseOutcome::Completed => "served",
        ResponseOutcome::Rejected => "refused",
        ResponseOutcome::Failed => "failed",
        ResponseOutcome::Aborted => "cut",
    }
}

/// Notes reach the server as headers of their own, so they can change none that the request came with.
fn annotate(request: &mut Request, notes: &[(String, String)]) {
    let Some(payload) = Rc::get_mut(&mut request.payload) else { return };
    for (name, value) in notes {
        let name = HeaderName::from_bytes(format!("x-note-{name}").as_bytes());
        match (name, HeaderValue::from_str(value)) {
            (Ok(name), Ok(value)) => {
                payload.headers.insert(name, value);
            }
            _ => log!("plugin: a note that is no header is left out"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ask(script: &str) -> Verdict {
        let about = Map::from_iter([("prompt_tokens".into(), Dynamic::from(900.0))]);
        Plugin::compile(script).expect("a script").ask(about)
    }

    #[test]
    fn a_script_passes_refuses_and_annotates() {
        assert_eq!(ask("fn on_request(r) { }"), Verdict::Pass(vec![]));
        assert_eq!(ask("fn on_request(r) { true }"), Verdict::Pass(vec![]));
        let long = "fn on_request(r) { if r.prompt_tokens > 500.0 { \"too long\" } }";
        assert_eq!(ask(long), Verdict::Refuse("too long".into()));
        let note = Verdict::Pass(vec![("tier".into(), "gold".into())]);
        assert_eq!(ask("fn on_request(r) { #{ tier: \"gold\" } }"), note);
    }

    /// Guards against a script that stops the gateway: faults and endless work let the request pass.
    #[test]
    fn a_faulty_or_endless_script_lets_the_request_pass() {
        for script in [
            "fn on_request(r) { throw \"no\" }",
            "fn on_request(r) { r.nothing.at_all }",
            "fn on_request(r) { loop { } }",
            "fn on_request(r) { on_request(r) }",
            "fn on_request(r) { let s = \"x\"; loop { s += s; } }",
        ] {
            assert_eq!(ask(script), Verdict::Pass(vec![]), "{script}");
        }
    }

    /// Guards against a hook that holds requests up.
    #[test]
    fn a_script_cannot_sleep_and_must_hold_a_hook() {
        for script in ["fn on_request(r) { sleep(1); false }", "fn on_request(r) { sleep(0.5); false }"] {
            assert_eq!(ask(script), Verdict::Pass(vec![]));
        }
        assert!(Plugin::compile("fn on_request(r) { eval(\"1\") }").is_err());
        assert!(Plugin::compile("fn on_request(r) {").is_err());
        assert!(Plugin::compile("fn other(r) { }").is_err());
    }
}
