//! Cost of the decisions: the size of a report, and the time on one core.

use std::hint::black_box;
use std::time::Instant;

use glenrail_overload::level::{ClassRates, FleetView, MemberReport, ReceivedReport, RoleQueueWait};
use glenrail_overload::priority::{Admission, Request, RetryAfterBounds, ServedSessions, SessionHash};
use glenrail_overload::wire;

const REPETITIONS: u32 = 10_000;

/// Returns the report of a busy member: eight classes, twelve bands.
fn report() -> MemberReport {
    let class = |class| ClassRates {
        class,
        arrivals: 90_000,
        marked_retries: 9_000,
        rejected: 9_000,
        first_attempts: 80_000,
        attempts: 88_000,
    };
    MemberReport {
        incarnation: 1_700_000_000_000,
        sequence: 100_000,
        desired_level: 300,
        pressure: 1_200,
        queue_waits: vec![
            RoleQueueWait { role: 0, wait: 700, target: 600 },
            RoleQueueWait { role: 1, wait: 90, target: 600 },
        ],
        classes: (0..8).map(class).collect(),
        work_by_band: (0..12).map(|n| (n * 4, 900_000)).collect(),
        observed_fleet_attempts: Some(40_000_000),
        spare_units: vec![4_000, 2_000],
    }
}

fn mean_nanoseconds(mut step: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    (0..REPETITIONS).for_each(&mut step);
    start.elapsed().as_nanos() as f64 / f64::from(REPETITIONS)
}

pub fn print() {
    println!("\na report: {} bytes", wire::encode(&report()).map_or(0, |bytes| bytes.len()));
    for members in [3, 12, 50] {
        let reports: Vec<ReceivedReport> =
            (0..members).map(|member| ReceivedReport { member, age: 100, report: report() }).collect();
        let elapsed = mean_nanoseconds(|_| _ = black_box(FleetView::from_reports(black_box(&reports))));
        println!("fleet view from {members} reports: {:.1} us", elapsed / 1_000.0);
    }
    let bounds = RetryAfterBounds { enabled: true, min: 200, max: 5_000 };
    let mut admission = Admission::new(bounds, ServedSessions::new(10_000, 60_000, 0));
    admission.update(
        500,
        0,
        &FleetView::from_reports(&[ReceivedReport { member: 0, age: 0, report: report() }]).work_by_band,
    );
    let decide = mean_nanoseconds(|n| {
        let session = SessionHash::new(&[3; 32], b"owner", &n.to_le_bytes());
        black_box(admission.decide(u64::from(n), &Request { band: 20, session, is_later_turn: false }));
    });
    println!("session hash and decision for a request: {decide:.0} ns");
}
