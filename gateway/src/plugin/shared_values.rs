//! Frees the values that closures share with the function that creates them.
//!
//! A closure that is stored in a variable which it captures is a reference cycle, which would never be freed. After each call
//! the contents of all shared variables are discarded, which breaks every cycle.

use std::cell::RefCell;
use std::rc::Rc;

use rhai::{Dynamic, Engine};

/// The shared values that variables of the current call refer to.
pub struct SharedValues(Rc<RefCell<Vec<Dynamic>>>);

impl SharedValues {
    /// Collects the shared values of all later evaluations of an engine. A variable has to be accessed by its name before a
    /// closure can be stored in it.
    pub fn collect_from(engine: &mut Engine) -> Self {
        let values = Rc::<RefCell<Vec<Dynamic>>>::default();
        let collected = values.clone();
        #[expect(deprecated, reason = "marked as volatile, not as deprecated")]
        engine.on_var(move |name, _, context| {
            if let Some(value) = context.scope().get(name).filter(|value| value.is_shared()) {
                collected.borrow_mut().push(value.clone());
            }
            Ok(None)
        });
        SharedValues(values)
    }

    /// Discards the contents of the collected values.
    pub fn clear(&self) {
        let values = self.0.take();
        for mut value in values {
            if let Some(mut contents) = value.write_lock::<Dynamic>() {
                *contents = Dynamic::UNIT;
            };
        }
    }
}
