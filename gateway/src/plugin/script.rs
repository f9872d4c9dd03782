//! A compiled Rhai script and the evaluation of its hooks, bounded in time, operations and memory.
//!
//! The hook worker owns the [`Script`] and evaluates one call at a time; no state is kept between calls. Between two
//! operations of the interpreter a call is cut off at its time limit. A built-in function cannot be interrupted, so
//! [`built_ins`](super::built_ins) replaces those whose running time or memory is not limited by the size of their arguments.

use std::panic::{self, AssertUnwindSafe};
use std::rc::Rc;
use std::time::Duration;

use rhai::{CallFnOptions, Dynamic, Engine, Map, ParseError, Scope, AST};

use super::built_ins;
use super::failure::HookFailure;
use super::fields::{RequestFields, ResponseFields};
use super::printed_text::printed_text;
use super::shared_values::SharedValues;
use super::time_limit::TimeLimit;
use super::verdict::Verdict;
use crate::log;

/// Maximum processor time of one evaluation.
pub const MAX_EVALUATION_TIME: Duration = Duration::from_millis(3);
/// Maximum number of operations in one evaluation.
const MAX_OPERATIONS: u64 = 20_000;
/// Maximum depth of nested function calls in one evaluation.
const MAX_CALL_LEVELS: usize = 16;
/// Maximum nesting depth of an expression, in the script and in its functions.
const MAX_EXPRESSION_DEPTH: usize = 32;
/// Maximum length of a string in a script, in bytes.
pub const MAX_TEXT_BYTES: usize = 16 << 10;
/// Maximum number of items of an array or a map in a script.
pub const MAX_ITEMS: usize = 1_000;

/// The hook that is called before a request is routed.
pub const REQUEST_HOOK: &str = "on_request";
/// The hook that is called when a response has ended.
pub const RESPONSE_HOOK: &str = "on_answer";

/// An error in a script's source or at its start.
#[derive(Debug, thiserror::Error)]
pub enum ScriptError {
    /// The source is not valid Rhai or uses a disabled feature.
    #[error("{0}")]
    Syntax(#[from] ParseError),
    /// The script defines no hook, so it would never be called.
    #[error("neither on_request(request) nor on_answer(answer) is defined")]
    NoHook,
    /// The statements outside of functions exceed a limit.
    #[error("the statements outside of functions were cut off: {0}; move them into a hook or remove them")]
    TopLevel(HookFailure),
    /// The script is not ready in time.
    #[error("the script is not ready after {} ms; remove the statements outside of functions", .0.as_millis())]
    NotReady(Duration),
    /// The thread that evaluates hooks cannot be started.
    #[error("the thread for hooks cannot be started: {0}; check the limit on threads")]
    Thread(std::io::Error),
}

/// Which hooks a script defines.
#[derive(Clone, Copy, Debug)]
pub struct DefinedHooks {
    /// Whether [`REQUEST_HOOK`] is defined.
    pub on_request: bool,
    /// Whether [`RESPONSE_HOOK`] is defined.
    pub on_response: bool,
}

/// A compiled script.
pub struct Script {
    engine: Engine,
    syntax_tree: AST,
    hooks: DefinedHooks,
    time_limit: Rc<TimeLimit>,
    shared_values: SharedValues,
}

impl Script {
    /// Compiles a script's source and runs the statements outside of its functions once.
    pub fn start(source: &str) -> Result<Self, ScriptError> {
        let script = Script::compile(source)?;
        match script.evaluate(|script| script.engine.run_ast(&script.syntax_tree)) {
            Ok(()) => {}
            // Hooks do not depend on these statements.
            Err(HookFailure::Script(error)) => {
                log!("plugin: the statements outside of functions failed: {error}");
            }
            Err(limit) => return Err(ScriptError::TopLevel(limit)),
        }
        Ok(script)
    }

    /// Compiles a script's source.
    pub fn compile(source: &str) -> Result<Self, ScriptError> {
        let time_limit = Rc::new(TimeLimit::new(MAX_EVALUATION_TIME));
        let mut engine = bounded_engine(time_limit.clone());
        let shared_values = SharedValues::collect_from(&mut engine);
        let syntax_tree = engine.compile(source)?;
        let defines =
            |name: &str| syntax_tree.iter_functions().any(|hook| hook.name == name && hook.params.len() == 1);
        let hooks = DefinedHooks { on_request: defines(REQUEST_HOOK), on_response: defines(RESPONSE_HOOK) };
        if !hooks.on_request && !hooks.on_response {
            return Err(ScriptError::NoHook);
        }
        Ok(Script { engine, syntax_tree, hooks, time_limit, shared_values })
    }

    /// Returns which hooks the script defines.
    pub fn hooks(&self) -> DefinedHooks {
        self.hooks
    }

    /// Calls the request hook and returns its decision.
    pub fn on_request(&self, fields: &RequestFields) -> Result<Verdict, HookFailure> {
        self.call(REQUEST_HOOK, fields.to_map(), Verdict::from_script)
    }

    /// Calls the response hook, whose result has no meaning.
    pub fn on_response(&self, fields: &ResponseFields) -> Result<(), HookFailure> {
        self.call(RESPONSE_HOOK, fields.to_map(), drop)
    }

    fn call<T>(&self, hook: &str, fields: Map, convert: impl FnOnce(Dynamic) -> T) -> Result<T, HookFailure> {
        let options = CallFnOptions::new().eval_ast(false);
        let arguments = (Dynamic::from_map(fields),);
        self.evaluate(|script| {
            let mut scope = Scope::new();
            let syntax_tree = &script.syntax_tree;
            script.engine.call_fn_with_options(options, &mut scope, syntax_tree, hook, arguments).map(convert)
        })
    }

    /// Evaluates within the time limit, and then frees what the evaluation has allocated.
    fn evaluate<T>(
        &self, evaluation: impl FnOnce(&Script) -> Result<T, Box<rhai::EvalAltResult>>,
    ) -> Result<T, HookFailure> {
        self.time_limit.start();
        let evaluated = panic::catch_unwind(AssertUnwindSafe(|| evaluation(self)));
        let result = match evaluated {
            Ok(result) => result.map_err(|error| HookFailure::from_script(&error)),
            Err(_) => Err(HookFailure::Panic),
        };
        self.shared_values.clear();
        result
    }
}

/// Creates an engine that bounds the time, the operations and the memory of scripts, and disables `sleep` and `eval`.
fn bounded_engine(time_limit: Rc<TimeLimit>) -> Engine {
    let mut engine = Engine::new();
    engine
        .set_max_operations(MAX_OPERATIONS)
        .set_max_call_levels(MAX_CALL_LEVELS)
        .set_max_expr_depths(MAX_EXPRESSION_DEPTH, MAX_EXPRESSION_DEPTH);
    engine.set_max_string_size(MAX_TEXT_BYTES).set_max_array_size(MAX_ITEMS).set_max_map_size(MAX_ITEMS);
    engine.disable_symbol("eval");
    engine.on_progress(move |_| time_limit.is_reached().then_some(Dynamic::UNIT));
    built_ins::replace(&mut engine);
    engine.on_print(|text| log!("plugin: {}", printed_text(text)));
    engine.on_debug(|text, _, _| log!("plugin: {}", printed_text(text)));
    engine
}

#[cfg(test)]
impl Script {
    /// Returns the functions that scripts can call, as JSON.
    pub fn registered_functions(&self) -> String {
        self.engine.gen_fn_metadata_to_json(true).expect("JSON")
    }

    /// Evaluates a statement with these variables, within the limits of a hook. Returns `None` if it does not compile.
    pub fn evaluate_statement(&self, statement: &str, scope: &mut Scope) -> Option<Result<(), HookFailure>> {
        let syntax_tree = self.engine.compile(statement).ok()?;
        Some(self.evaluate(|script| script.engine.run_ast_with_scope(scope, &syntax_tree)))
    }
}
