//! Order and bounds of the wait estimate, for any measurements.

use super::*;
use crate::api::RequestId;
use proptest::prelude::*;

/// Returns a server with these pending attempts, given by send time and work in tokens.
fn pending(attempts: impl Iterator<Item = (Millis, f64)>) -> ServerRecord {
    let attempt = |(id, (sent_at, work_tokens))| {
        (RequestId(id), PendingAttempt { sent_at, overtaken_by: 0, work_tokens })
    };
    ServerRecord { pending: (0..).zip(attempts).map(attempt).collect(), ..ServerRecord::default() }
}

proptest! {
    /// More work, pending or new, never shortens the estimate. A measured wait decays over time, and the wait
    /// of a pending attempt does not.
    #[test]
    fn more_work_never_ends_sooner(
        own in prop::collection::vec(0.0..20_000.0f64, 0..6), work in 500.0..20_000.0f64,
        more in 0.0..20_000.0f64,
        queue_wait in 0.0..5_000.0f64, per_token in 0.01..0.5f64,
    ) {
        let mut statistics = RoutingStatistics::default();
        statistics.record_prompt(3_000.0);
        statistics.record_service_time(Stage::Prefill, per_token);
        let busy = pending(own.iter().map(|work| (1_000.0, *work)));
        let busy = ServerRecord { queue_wait, last_progress_at: 1_000.0, ..busy };
        let time = |server: &ServerRecord, work, now| time_to_serve(server, &statistics, 3.0, now, work);
        prop_assert!(time(&busy, work, 1_000.0) <= time(&busy, work + more, 1_000.0));
        let idle = ServerRecord { queue_wait, last_progress_at: 1_000.0, ..ServerRecord::default() };
        prop_assert!(time(&idle, work, 1_000.0) <= time(&busy, work, 1_000.0) + 1e-9);
        prop_assert!((time(&idle, work, 60_000.0) - work * per_token).abs() < 1.0);
        let pending_count = busy.pending.len();
        prop_assert!(pending_count == 0 || time(&busy, work, 60_000.0) >= 59_000.0);
    }

    /// The maximum busy time of a server covers the prefills that were sent to it by the given time, never
    /// decreases as that time advances, and is finite for any measurement. It is 0 for a decode server.
    #[test]
    fn a_server_may_be_busy_for_as_long_as_its_prefills_take(
        own in prop::collection::vec((0.0..9_000.0f64, 0.0..70_000.0f64), 0..6), until in 0.0..9_000.0f64,
        per_token in prop::option::of(0.0..0.5f64),
    ) {
        let mut statistics = RoutingStatistics::default();
        if let Some(per_token) = per_token {
            statistics.record_service_time(Stage::Prefill, per_token);
        }
        let server = pending(own.iter().copied());
        let allowed = max_busy_time(&server, &statistics, 3.0, until);
        let sent_before = own.iter().filter(|(sent_at, _)| *sent_at <= until);
        let work_before: f64 = sent_before.map(|(_, work)| work).sum();
        prop_assert!(allowed.is_finite() && allowed >= work_before * per_token.unwrap_or(0.0));
        prop_assert!(max_busy_time(&server, &statistics, 3.0, until + 1_000.0) >= allowed);
        prop_assert!(work_before == 0.0 || allowed > 0.0, "the maximum busy time is 0 without a measurement");
        let decode_server = ServerRecord { role: Role::Decode, ..server };
        prop_assert_eq!(max_busy_time(&decode_server, &statistics, 3.0, until), 0.0);
    }
}
