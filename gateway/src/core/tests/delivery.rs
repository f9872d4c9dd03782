//! Tests of delivery confirmation while an attempt claims a lease.

use super::*;

/// The lease limit of the settings, within which the release must be sent.
const LEASE_LIMIT: Duration = Duration::from_millis(500);
/// Additional time that the platform allows until a server has accepted the release.
const RELEASE_SLACK: Duration = Duration::from_millis(50);
/// Time to first token of a slow decode server in milliseconds, far above the lease limit.
const SLOW_DECODE_MS: u64 = 1_500;
/// A class that may be retried, and an at-most-once class.
const CLASSES: [u32; 2] = [0, 1];

/// Servers whose first decode attempt gets `reply` after a delay in milliseconds; every other attempt succeeds after 20 ms.
fn first_decode(delay: u64, reply: ScriptedReply, observations: &[Observation]) -> ScriptedServers {
    let servers = ScriptedServers::new(move |number, server| match number {
        1 => (delay, reply.clone()),
        _ => two_stages(number, server),
    });
    *servers.delivery_observations.borrow_mut() = observations.to_vec();
    servers
}

/// Guards against leases held beyond their limit (soak seeds 9664 and 9684): after a timeout on a connection that was open
/// when the attempt was written, responses on newer connections prove no delivery. The state must be released within the
/// lease limit, and only a request that may be retried is sent again.
#[test]
fn a_doubtful_delivery_is_released_within_the_lease_limit() {
    for class in CLASSES {
        run_paused(async move {
            let observations =
                [Observation::TimeoutOnEarlierConnection, Observation::ResponseOnLaterConnection];
            let servers = first_decode(0, ScriptedReply::NoReply, &observations);
            let core = core(&servers);
            let client = core.submit(request(class, 10_000.0));
            // Duration of the prefill.
            sleep(Duration::from_millis(20)).await;
            let leased_at = Instant::now();
            wait_for_call(&servers, CallKind::Release).await;
            assert!(leased_at.elapsed() <= LEASE_LIMIT, "{:?}", leased_at.elapsed());
            wait_for_call(&servers, CallKind::ReleaseAccepted).await;
            assert!(leased_at.elapsed() <= LEASE_LIMIT + RELEASE_SLACK, "{:?}", leased_at.elapsed());
            let parts = response_parts(client).await;
            let expected = match class {
                0 => ResponsePart::End,
                _ => ResponsePart::Failed(Failure::Upstream),
            };
            assert_eq!(parts.last(), Some(&Some(expected)), "class {class}");
            assert_eq!(servers.attempts(&DECODE_SERVERS), if class == 0 { 2 } else { 1 });
        });
    }
}

/// Guards against the cancellation of slow decodes: once a delivery confirmation succeeds, the attempt continues however late
/// its first token comes.
#[test]
fn a_slow_decode_continues_after_a_delivery_confirmation() {
    for observation in [Observation::ResponseOnEarlierConnection, Observation::ResponseOnLaterConnection] {
        for class in CLASSES {
            run_paused(async move {
                let servers = first_decode(SLOW_DECODE_MS, ScriptedReply::Stream, &[observation]);
                let core = core(&servers);
                let parts = response_parts(core.submit(request(class, 10_000.0))).await;
                assert_eq!(parts.last(), Some(&Some(ResponsePart::End)), "class {class}, {observation:?}");
                assert_eq!(servers.attempts(&DECODE_SERVERS), 1);
                assert_eq!(servers.count(CallKind::Release), 0);
            });
        }
    }
}
