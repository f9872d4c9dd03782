//! The estimate holds its order and its bounds whatever it is told.

use super::*;
use crate::api::RequestId;
use proptest::prelude::*;

proptest! {
    /// More work, own or new, never ends sooner, and a wait that was met is forgotten with time, but not what is out.
    #[test]
    fn more_work_never_ends_sooner(own in prop::collection::vec(0.0..20_000.0f64, 0..6), work in 500.0..20_000.0f64,
                                   more in 0.0..20_000.0f64, wait in 0.0..5_000.0f64, pace in 0.01..0.5f64) {
        let mut learned = Learned { prompt: 3_000.0, ..Learned::default() };
        learned.pace[Stage::Read as usize].add(pace);
        let waiting = own.iter().zip(0..).map(|(work, id)| {
            (RequestId(id), Waiting { since: 1_000.0, overtaken: 0, work: *work })
        });
        let busy = Server { waiting: waiting.collect(), wait, answered: 1_000.0, ..Server::default() };
        let ends = |s: &Server, work, now| until(s, &learned, 3.0, now, work);
        prop_assert!(ends(&busy, work, 1_000.0) <= ends(&busy, work + more, 1_000.0));
        let idle = Server { wait, answered: 1_000.0, ..Server::default() };
        prop_assert!(ends(&idle, work, 1_000.0) <= ends(&busy, work, 1_000.0) + 1e-9);
        prop_assert!((ends(&idle, work, 60_000.0) - work * pace).abs() < 1.0);
        let out = busy.waiting.len();
        prop_assert!(out == 0 || ends(&busy, work, 60_000.0) >= 59_000.0);
    }

    /// The patience with a server covers its own reads up to then, grows with each, and is finite whatever was learned.
    #[test]
    fn a_server_may_be_busy_for_as_long_as_its_reads_take(own in prop::collection::vec((0.0..9_000.0f64, 0.0..70_000.0f64), 0..6),
                                                          until in 0.0..9_000.0f64, pace in prop::option::of(0.0..0.5f64)) {
        let mut learned = Learned::default();
        pace.iter().for_each(|pace| learned.pace[Stage::Read as usize].add(*pace));
        let waiting = own.iter().zip(0..).map(|((since, work), id)| {
            (RequestId(id), Waiting { since: *since, overtaken: 0, work: *work })
        });
        let server = Server { waiting: waiting.collect(), ..Server::default() };
        let allowed = busy(&server, &learned, 3.0, until);
        let before: f64 = own.iter().filter(|o| o.0 <= until).map(|o| o.1).sum();
        prop_assert!(allowed.is_finite() && allowed >= before * pace.unwrap_or(0.0));
        prop_assert!(busy(&server, &learned, 3.0, until + 1_000.0) >= allowed);
        prop_assert!(before == 0.0 || allowed > 0.0, "nothing learned yet is no reason to be impatient");
        let writer = Server { role: Role::Decode, ..server };
        prop_assert_eq!(busy(&writer, &learned, 3.0, until), 0.0);
    }
}
