//! What a way of admitting decides; the world asks it.

use glenrail_overload::priority::Place;
use glenrail_overload::Ms;

use super::{coordinated::Talking, independent::Lone};

pub const GATEWAYS: usize = 3;
/// To the first token.
pub const AIM: Ms = 2_000;

/// How gateways decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// As the program does today.
    Lone,
    /// This crate's decisions without talk.
    NoTalk,
    /// And with it.
    Talking,
}

/// One turn of a session at a gateway.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    pub class: u8,
    pub band: u8,
    pub work: u32,
    pub place: Place,
    pub later: bool,
    pub marked: bool,
}

pub trait Gates {
    /// Time passes: each 10 ms. `wait`: how long a request would wait at the engines.
    fn tick(&mut self, now: Ms, wait: Ms);
    fn kill(&mut self, gateway: usize);
    fn admits(&mut self, now: Ms, gateway: usize, turn: &Turn, wait: Ms) -> bool;
    /// An attempt goes out; a first one or a further one.
    fn sent(&mut self, now: Ms, gateway: usize, turn: &Turn, first: bool);
    /// Whether an attempt that erred at once may be followed by another.
    fn again(&mut self, now: Ms, gateway: usize) -> bool;
    fn served(&mut self, now: Ms, gateway: usize, turn: &Turn);
}

pub fn gates(way: Way, seed: u64) -> Box<dyn Gates> {
    match way {
        Way::Lone => Box::new(Lone::new(seed)),
        Way::NoTalk => Box::new(Talking::new(false, seed)),
        Way::Talking => Box::new(Talking::new(true, seed)),
    }
}
