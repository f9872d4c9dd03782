//! Tests of the access-log record of a request.

use glenrail_access_log::{RequestRecord, LINE_PREFIX};
use glenrail_router::Idempotency;

use super::super::request_record::{AttemptStart, RecordBuilder};
use super::*;

/// Guards against records without the fields that show which tenants are starved and which state is transferred between cells.
#[test]
fn a_line_has_class_tenant_and_locations() {
    let mut settings = settings();
    settings.classes[0].idempotency = Idempotency::IdempotencyKey;
    let routing = glenrail_router::Request {
        id: RequestId(1),
        class: 0,
        tenant: 2,
        ..glenrail_router::Request::default()
    };
    let mut builder = RecordBuilder::new(&routing, "a", &settings, 10.0, 5e6);
    let location = Some((1, 4));
    builder.attempt_started(AttemptStart {
        server: 7,
        stage: Stage::Prefill,
        location,
        is_slow_start: true,
        at: 12.0,
    });
    let machine = glenrail_request_lifecycle::request::Request::new(
        RequestPolicy { retry_safety: RetrySafety::Idempotent, max_attempts: 5, cancellation: true },
        &mut Vec::new(),
    );
    let line = builder.finish(&machine, 12.0).to_string();
    let record = RequestRecord::parse_line(&format!("{LINE_PREFIX}{line}")).expect("a record");
    assert_eq!((record.class, record.at_most_once, record.tenant), (0, true, 2));
    assert_eq!((record.attempts[0].location, record.attempts[0].slow_start), (location, true));
}

/// Guards against delayed log lines: a line is written even if a server never confirms the close of an interrupted prefill.
#[test]
fn a_request_is_recorded_before_its_closes_are_confirmed() {
    run_paused(async {
        let servers = ScriptedServers::new(|_, _| (0, ScriptedReply::NoReply));
        servers.misses_closes.set(true);
        let core = core(&servers);
        let client = core.submit(request(0, 2_000.0));
        wait_for_call(&servers, CallKind::Attempt).await;
        drop(client);
        wait_for_call(&servers, CallKind::ReleaseAccepted).await;
        sleep(Duration::from_millis(1)).await;
        assert_eq!((core.occupancy().requests, core.occupancy().unrecorded), (1, 0));
    });
}
