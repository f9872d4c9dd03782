//! Interface of the admission policies that the simulation compares.

use glenrail_overload::priority::SessionHash;
use glenrail_overload::Ms;

use super::{coordinated::CoordinatedGateways, independent::IndependentGateways};

pub const GATEWAY_COUNT: usize = 3;
/// Target (ms) for the time to the first token.
pub const FIRST_TOKEN_TARGET: Ms = 2_000;

/// Admission policies that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// Each gateway decides independently by the router's rules, without this crate.
    Independent,
    /// This crate's decisions without messages between gateways.
    Standalone,
    /// This crate's decisions with messages between gateways.
    Coordinated,
}

/// One turn of a session, as it arrives at a gateway.
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
    /// Advances the time; called every 10 ms. `wait` is the time that a request would wait at the engines.
    fn tick(&mut self, now: Ms, wait: Ms);
    fn stop_gateway(&mut self, gateway: usize);
    fn admits(&mut self, now: Ms, gateway: usize, turn: &Turn, wait: Ms) -> bool;
    /// Records that an attempt is sent: the first one of a request or a further one.
    fn record_attempt(&mut self, now: Ms, gateway: usize, turn: &Turn, is_first: bool);
    /// Returns whether an attempt that failed at once may be followed by another.
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
