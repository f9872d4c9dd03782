//! What a way of admitting decides; the world asks it.

use glenrail_overload::priority::SessionHash;
use glenrail_overload::Ms;

use super::{coordinated::CoordinatedGateways, independent::IndependentGateways};

pub const GATEWAY_COUNT: usize = 3;
/// To the first token.
pub const FIRST_TOKEN_TARGET: Ms = 2_000;

/// How gateways decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// As the program does today.
    Independent,
    /// This crate's decisions without talk.
    Standalone,
    /// And with it.
    Coordinated,
}

/// One turn of a session at a gateway.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    pub class: u8,
    pub band: u8,
    pub work: u32,
    pub session: SessionHash,
    pub is_later_turn: bool,
    pub is_marked_retry: bool,
}

pub trait AdmissionPolicy {
    /// Time passes: each 10 ms. `wait`: how long a request would wait at the engines.
    fn tick(&mut self, now: Ms, wait: Ms);
    fn stop_gateway(&mut self, gateway: usize);
    fn admits(&mut self, now: Ms, gateway: usize, turn: &Turn, wait: Ms) -> bool;
    /// An attempt goes out; a first one or a further one.
    fn record_attempt(&mut self, now: Ms, gateway: usize, turn: &Turn, is_first: bool);
    /// Whether an attempt that erred at once may be followed by another.
    fn may_retry(&mut self, now: Ms, gateway: usize) -> bool;
    fn record_served(&mut self, now: Ms, gateway: usize, turn: &Turn);
}

pub fn build_policy(kind: PolicyKind, seed: u64) -> Box<dyn AdmissionPolicy> {
    match kind {
        PolicyKind::Independent => Box::new(IndependentGateways::new(seed)),
        PolicyKind::Standalone => Box::new(CoordinatedGateways::new(false, seed)),
        PolicyKind::Coordinated => Box::new(CoordinatedGateways::new(true, seed)),
    }
}
