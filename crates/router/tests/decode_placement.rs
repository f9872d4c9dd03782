//! Decode placement: the decode server with the lowest projected memory use is selected, or one near the
//! prefill server if the difference is small.

mod common;

use common::*;
use glenrail_router::*;

#[test]
fn the_state_goes_to_the_lowest_memory_unless_a_nearby_server_is_about_as_low() {
    for (near, far, expect_near) in [(0.5, 0.45, true), (0.5, 0.2, false)] {
        let mut router = TestRouter::with_defaults();
        let prefill_server = router.prefill_server_for(sample_request(1));
        let neighbour = prefill_server + 10;
        for id in DECODE_SERVERS {
            router.report_memory(id, if id == neighbour { near } else { far });
        }
        let decode_server = router.decode_server_after(1, prefill_server);
        assert_eq!(decode_server == neighbour, expect_near, "near {near} far {far}");
    }
}

#[test]
fn own_sends_raise_the_projection_until_a_fresh_report() {
    let mut router = TestRouter::with_defaults();
    DECODE_SERVERS.iter().for_each(|id| router.report_memory(*id, 0.3));
    let mut chosen = Vec::new();
    for id in 1..=9 {
        let large = Request { prompt_tokens: 20_000.0, ..sample_request(id) };
        let prefill_server = router.prefill_server_for(large);
        chosen.push(router.decode_server_after(id, prefill_server));
    }
    assert!(
        DECODE_SERVERS.iter().all(|id| chosen.contains(id)),
        "not distributed over all servers: {chosen:?}"
    );
}

#[test]
fn mixed_servers_decode_for_others_only_while_decode_servers_are_full() {
    for (memory_share, expect_mixed) in [(0.4, false), (0.97, true)] {
        let mut servers = sample_servers();
        servers.push(server_entry(31, MIXED, 0));
        let mut router = TestRouter::new(settings(), servers);
        router.report_memory(31, 0.1);
        DECODE_SERVERS.iter().for_each(|id| router.report_memory(*id, memory_share));
        let (prefill_server, id) = (1..50)
            .map(|id| (router.prefill_server_for(request_with_prefix(id, id)), id))
            .find(|(server, _)| *server != 31)
            .expect("a prefill server");
        let decode_server = router.decode_server_after(id, prefill_server);
        assert_eq!(decode_server == 31, expect_mixed);
    }
}

#[test]
fn unknown_memory_does_not_count_against_a_nearby_decode_server() {
    let mut far = 0;
    for seed in 1..=40 {
        let mut router = TestRouter::seeded(seed, settings(), sample_servers());
        let prefill_server = router.prefill_server_for(sample_request(1));
        let decode_server = router.decode_server_after(1, prefill_server);
        far += u32::from(decode_server != prefill_server + 10);
    }
    assert!(far <= 20, "{far} of 40 states left the prefill server's cell without any load report");
}
