//! How much of the work is turned away. Each member makes a *wish* from its own pressure, with hysteresis, and tells
//! it with its traffic ([`Word`]); the fleet's level is the mean of the wishes, weighed by traffic that is capped by
//! what others see ([`Fleet`]). The mean is a function of the words and their ages alone, in whole numbers, so that all
//! members come to the same from the same words in any order; what each acts on follows it at a bounded rate
//! ([`Level`]), and whoever has heard the same for [`SETTLES`] milliseconds stands at the same.

mod applied;
mod desired;
mod fleet;
mod report;
mod traffic;

pub use applied::{Level, MOST_A_SECOND, SETTLES};
pub use desired::{Wish, CALM, FULL};
pub use fleet::{Fleet, Heard, FRESH, GONE};
pub use report::{Class, RoleWait, Word, WordError};
pub use traffic::{capped, Told};

#[cfg(test)]
mod tests;
