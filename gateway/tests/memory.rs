//! What the core keeps of requests that have ended: nothing that grows with them.

#[path = "common/instant.rs"]
mod instant;

use std::alloc::System;
use std::time::Duration;

use cap::Cap;
use glenrail::core::Occupancy;
use glenrail::exchange::ResponsePart;
use instant::{core, request};
use tokio::task::LocalSet;
use tokio::time::sleep;

#[global_allocator]
static HEAP: Cap<System> = Cap::new(System, usize::MAX);

/// Guards memory from rate times deadline: each timer was a task that slept until its request's deadline, long
/// after its end, so that 200,000 small requests in 30 s left 200 MB behind.
#[test]
fn requests_that_have_ended_leave_nothing() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let core = core(2, 2_000.0);
        let mut after = Vec::new();
        let mut sent = 0u64;
        for until in [20_000, 200_000] {
            while sent < until {
                sent += 1;
                let mut client = core.submit(request(format!("{sent:016x}"), sent, 30_000.0));
                let mut last = client.next_part().await;
                while matches!(last, Some(ResponsePart::Head(..) | ResponsePart::Chunk(_))) {
                    last = client.next_part().await;
                }
                assert_eq!(last, Some(ResponsePart::End), "request {sent}");
            }
            while !core.is_idle() {
                sleep(Duration::from_millis(1)).await;
            }
            // The router's own tick is all that is armed.
            assert_eq!(core.occupancy(), Occupancy { requests: 0, request_ids: 0, timers: 1, unrecorded: 0 });
            after.push(HEAP.allocated());
        }
        let grown = after[1].saturating_sub(after[0]);
        assert!(grown < 10 << 20, "{} bytes after 20,000 requests, {grown} more after 200,000", after[0]);
    });
}
