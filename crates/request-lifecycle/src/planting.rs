//! How a fault is planted in a machine, to show that the model checker finds it.
//!
//! Only the `mutants` feature, which the model checker alone enables, can plant one. In any other build `has_fault` is
//! the constant `false`, and the compiler removes what depends on it.

/// Lets faults of type `$fault` be planted in `$machine`, which keeps the planted one in its field `fault` under the feature.
/// Called in a module below the machine's own.
macro_rules! plantable {
    ($machine:ty, $fault:ty) => {
        #[cfg(feature = "mutants")]
        impl $machine {
            /// Plants a fault, or removes the one planted.
            pub fn plant(&mut self, fault: Option<$fault>) {
                self.fault = fault;
            }

            /// Whether this fault is planted.
            pub(super) fn has_fault(&self, fault: $fault) -> bool {
                self.fault == Some(fault)
            }
        }

        #[cfg(not(feature = "mutants"))]
        impl $machine {
            /// Whether this fault is planted: never, in a build without the feature.
            #[inline(always)]
            pub(super) fn has_fault(&self, _: $fault) -> bool {
                false
            }
        }
    };
}

pub(crate) use plantable;
