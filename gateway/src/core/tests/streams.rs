//! Time limits of streams beside slow clients.

use super::*;

/// Guards streams of slow clients: time in which nothing is read from the server does not count as its silence, and the limit
/// applies again once the client has taken what was read.
#[test]
fn a_client_that_reads_slowly_does_not_use_up_its_servers_time() {
    run_paused(async {
        let events = 20;
        let servers = prefilled_then(ScriptedReply::SlowStream(vec![0; events]));
        let core = core(&servers);
        let mut client = core.submit(request(0, 10_000.0));
        assert!(matches!(client.next_part().await, Some(ResponsePart::Head(..))));
        // The queue of the client is full, and one more event waits for it.
        sleep(Duration::from_secs(12)).await;
        let (resumed_at, mut chunks) = (Instant::now(), 0);
        while let Some(ResponsePart::Chunk(_)) = client.next_part().await {
            chunks += 1;
        }
        assert_eq!(chunks, events);
        let waited = resumed_at.elapsed();
        assert!(waited > Duration::from_secs(4) && waited < Duration::from_secs(5), "{waited:?}");
        wait_until_idle(&core).await;
    });
}
