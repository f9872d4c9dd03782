//! What signs of an attempt's delivery bring about, while a lease waits for it.

use super::*;

/// The release goes out within the lease limit of the settings.
const LEASE_LIMIT: Duration = Duration::from_millis(500);
/// The platform allows so much more until a server has taken it.
const RELEASE_SLACK: Duration = Duration::from_millis(50);
/// A decode server's time to its first token, far above the lease limit (ms).
const SLOW_DECODE_MS: u64 = 1_500;
/// By class: one that may be repeated, and one that must not.
const CLASSES: [u32; 2] = [0, 1];

/// Servers whose first decode attempt does this after a delay in milliseconds, and which answer every other one at once.
fn first_decode(delay: u64, reply: ScriptedReply, signs: &[Observation]) -> ScriptedServers {
    let servers = ScriptedServers::new(move |number, server| match number {
        1 => (delay, reply.clone()),
        _ => two_stages(number, server),
    });
    *servers.delivery_signs.borrow_mut() = signs.to_vec();
    servers
}

/// Guards soak seeds 9664 and 9684: once a connection that stood at the write is silent, what newer ones answer delivers nothing.
/// The state is released within the lease limit, and only a request that may be repeated is sent again.
#[test]
fn a_doubted_delivery_ends_in_a_release_in_time() {
    for class in CLASSES {
        paused(async move {
            let signs = [Observation::TimeoutOnEarlierConnection, Observation::ResponseOnLaterConnection];
            let servers = first_decode(0, ScriptedReply::NoReply, &signs);
            let core = core(&servers);
            let client = core.submit(request(class, 10_000.0));
            // The prefill takes this long.
            sleep(Duration::from_millis(20)).await;
            let leased = Instant::now();
            wait_for_call(&servers, CallKind::Release).await;
            assert!(leased.elapsed() <= LEASE_LIMIT, "{:?}", leased.elapsed());
            wait_for_call(&servers, CallKind::ReleaseAccepted).await;
            assert!(leased.elapsed() <= LEASE_LIMIT + RELEASE_SLACK, "{:?}", leased.elapsed());
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

/// Guards slow decode servers: one that answers on a standing connection keeps its request, however late the first sign comes.
#[test]
fn a_slow_decode_is_kept_once_a_standing_connection_has_answered() {
    for sign in [Observation::ResponseOnEarlierConnection, Observation::ResponseOnLaterConnection] {
        for class in CLASSES {
            paused(async move {
                let servers = first_decode(SLOW_DECODE_MS, ScriptedReply::Stream, &[sign]);
                let core = core(&servers);
                let parts = response_parts(core.submit(request(class, 10_000.0))).await;
                assert_eq!(parts.last(), Some(&Some(ResponsePart::End)), "class {class}, {sign:?}");
                assert_eq!(servers.attempts(&DECODE_SERVERS), 1);
                assert_eq!(servers.count(CallKind::Release), 0);
            });
        }
    }
}
