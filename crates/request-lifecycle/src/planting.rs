//! Planting of faults in state machines, to verify that the model checker finds them.
//!
//! Faults can be planted only with the `mutants` feature, which only the model checker enables. In any other build
//! `has_fault` is the constant `false`, and the compiler removes the code that depends on it.

/// Implements the planting of faults of type `$fault` in `$machine`, which stores the planted fault in its field
/// `fault` if the feature is enabled. Must be invoked in a child module of the machine's module.
macro_rules! plantable {
    // With the generic parameters of the machine.
    ([$($parameters:tt)*] $machine:ty, $fault:ty) => {
        #[cfg(feature = "mutants")]
        impl<$($parameters)*> $machine {
            /// Plants a fault in place of any planted before; `None` removes it.
            pub fn plant(&mut self, fault: Option<$fault>) {
                self.fault = fault;
            }

            /// Returns whether this fault is planted.
            pub(super) fn has_fault(&self, fault: $fault) -> bool {
                self.fault == Some(fault)
            }
        }

        #[cfg(not(feature = "mutants"))]
        impl<$($parameters)*> $machine {
            /// Returns `false`, since no fault can be planted without the feature.
            #[inline(always)]
            pub(super) fn has_fault(&self, _: $fault) -> bool {
                false
            }
        }
    };
    ($machine:ty, $fault:ty) => {
        plantable!([] $machine, $fault);
    };
}

pub(crate) use plantable;
