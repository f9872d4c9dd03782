//! The estimate holds its order and its bounds whatever it is told.

use super::*;
use crate::api::RequestId;
use proptest::prelude::*;

proptest! {
    /// More work, own or new, never ends sooner, and a wait that was met is forgotten with time, but not what is out.
    #[test]
    fn more_work_never_ends_sooner(own in prop::collection::vec(0.0..20_000.0f64, 0..6), work in 500.0..20_000.0f64,
                                   more in 0.0..20_000.0f64, wait in 0.0..5_000.0f64, pace in 0.01..0.5f64) {
        let mut learned = RoutingStatistics { mean_prompt_tokens: 3_000.0, ..RoutingStatistics::default() };
        learned.service_time_by_stage[Stage::Prefill as usize].record(pace);
        let waiting = own.iter().zip(0..).map(|(work, id)| {
            (RequestId(id), PendingAttempt { sent_at: 1_000.0, overtaken_by: 0, work: *work })
        });
        let busy = ServerRecord { pending: waiting.collect(), queue_wait: wait, last_progress_at: 1_000.0, ..ServerRecord::default() };
        let ends = |s: &ServerRecord, work, now| time_to_serve(s, &learned, 3.0, now, work);
        prop_assert!(ends(&busy, work, 1_000.0) <= ends(&busy, work + more, 1_000.0));
        let idle = ServerRecord { queue_wait: wait, last_progress_at: 1_000.0, ..ServerRecord::default() };
        prop_assert!(ends(&idle, work, 1_000.0) <= ends(&busy, work, 1_000.0) + 1e-9);
        prop_assert!((ends(&idle, work, 60_000.0) - work * pace).abs() < 1.0);
        let out = busy.pending.len();
        prop_assert!(out == 0 || ends(&busy, work, 60_000.0) >= 59_000.0);
    }

    /// The patience with a server covers its own reads up to then, grows with each, and is finite whatever was learned.
    #[test]
    fn a_server_may_be_busy_for_as_long_as_its_reads_take(own in prop::collection::vec((0.0..9_000.0f64, 0.0..70_000.0f64), 0..6),
                                                          until in 0.0..9_000.0f64, pace in prop::option::of(0.0..0.5f64)) {
        let mut learned = RoutingStatistics::default();
        pace.iter().for_each(|pace| learned.service_time_by_stage[Stage::Prefill as usize].record(*pace));
        let waiting = own.iter().zip(0..).map(|((since, work), id)| {
            (RequestId(id), PendingAttempt { sent_at: *since, overtaken_by: 0, work: *work })
        });
        let server = ServerRecord { pending: waiting.collect(), ..ServerRecord::default() };
        let allowed = max_busy_time(&server, &learned, 3.0, until);
        let before: f64 = own.iter().filter(|o| o.0 <= until).map(|o| o.1).sum();
        prop_assert!(allowed.is_finite() && allowed >= before * pace.unwrap_or(0.0));
        prop_assert!(max_busy_time(&server, &learned, 3.0, until + 1_000.0) >= allowed);
        prop_assert!(before == 0.0 || allowed > 0.0, "nothing learned yet is no reason to be impatient");
        let writer = ServerRecord { role: Role::Decode, ..server };
        prop_assert_eq!(max_busy_time(&writer, &learned, 3.0, until), 0.0);
    }
}
