//! The table over the simulated network of `net`: convergence, bounds, replays and forgeries, determinism.

mod net;

use glenrail_fleet::{Effect, Fleet, Incarnation, MemberState, Rejection, Settings};
use net::{address, keys, Net};

#[test]
fn tables_converge_despite_datagram_loss() {
    for (nodes, loss) in [(3, 0.2), (12, 0.1), (20, 0.2)] {
        let mut net = Net::new(nodes, 5, Settings { entry_age: 20_000, ..Settings::default() });
        (net.loss_rate, net.duplication_rate, net.max_delay_ms) = (loss, 0.1, 300);
        assert!(net.run_until(60_000, Net::all_see_each_other_alive).is_some());
        for node in 0..nodes {
            (0..5u8).for_each(|key| net.put(node, 7, &[key], &[key; 60]));
        }
        net.put(0, 65_000, b"of a later build", b"replicated");
        for write in 0..20u8 {
            net.put(0, 7, &[0], &[write; 60]);
            net.run(50);
        }
        assert!(
            net.run_until(30_000, |net| net.same_values_everywhere(7, 5 * nodes)).is_some(),
            "{nodes} nodes"
        );
        assert!(net.run_until(30_000, |net| net.same_values_everywhere(65_000, 1)).is_some());
        net.step(0, |fleet, now, _| fleet.delete(now, 7, &[0])).unwrap();
        assert!(net.run_until(30_000, |net| net.same_values_everywhere(7, 5 * nodes - 1)).is_some());
        // As its origin renews it, a value is retained for much longer than its maximum age.
        net.run(3 * net.settings.entry_age);
        assert!(net.run_until(10_000, |net| net.same_values_everywhere(7, 5 * nodes - 1)).is_some());
    }
}

#[test]
fn cells_that_do_not_fit_into_datagrams_are_sent_over_a_stream() {
    let mut net = Net::new(3, 6, Settings::default());
    net.run(5_000);
    net.put(0, 7, b"large", &vec![1; 20_000]);
    (0..100u8).for_each(|key| net.put(1, 8, &[key], &[key; 300]));
    assert!(net
        .run_until(20_000, |net| net.same_values_everywhere(7, 1) && net.same_values_everywhere(8, 100))
        .is_some());
    assert!(net.exchanges > 0);
    // A member that joins later receives all cells too.
    net.kill(2);
    net.restart(2, 2);
    assert!(net
        .run_until(20_000, |net| net.same_values_everywhere(7, 1) && net.same_values_everywhere(8, 100))
        .is_some());
}

#[test]
fn a_large_value_does_not_wait_for_the_next_anti_entropy_round() {
    let mut net = Net::new(12, 12, Settings { repair: 10_000, ..Settings::default() });
    net.run(15_000);
    net.put(0, 7, b"large", &vec![1; 5_000]);
    let arrival = net.run_until(60_000, |net| net.same_values_everywhere(7, 1));
    assert!(arrival.is_some_and(|arrival| arrival < 5_000), "{arrival:?}");
}

#[test]
fn cells_of_a_killed_member_expire_at_their_maximum_age() {
    let mut net = Net::new(4, 7, Settings::default());
    net.run(5_000);
    net.put(3, 7, b"k", b"v");
    assert!(net.run_until(10_000, |net| net.same_values_everywhere(7, 1)).is_some());
    net.kill(3);
    net.run(net.settings.entry_age + 3_000);
    assert!(net.same_values_everywhere(7, 0));
}

#[test]
fn an_origin_that_floods_stays_within_its_bounds() {
    let wide = Settings { entries_per_origin: 5_000, bytes_per_origin: 1 << 20, ..Settings::default() };
    let narrow =
        Settings { entries_per_origin: 20, bytes_per_origin: 30_000, bytes_total: 40_000, ..wide.clone() };
    let mut net = Net::new(4, 8, narrow);
    // The last member runs with wider bounds than the others.
    net.settings = wide;
    net.kill(3);
    net.restart(3, 2);
    net.run(5_000);
    (0..3).for_each(|node| net.put(node, 7, b"quiet", b"value"));
    let before: Vec<_> = net.nodes.iter().map(|node| node.sent_bytes).collect();
    for write in 0..1_000u32 {
        net.put(3, 7, &write.to_le_bytes(), &[7; 100]);
        net.run(10);
    }
    net.run(5_000);
    // After the flood, the cells that exceed the bounds are not requested repeatedly.
    let exchanges_requested =
        |net: &Net| net.nodes.iter().map(|node| node.fleet.counters().exchanges_requested).sum::<u64>();
    let before_quiet = exchanges_requested(&net);
    net.run(20_000);
    assert_eq!(exchanges_requested(&net), before_quiet);
    for (node, before) in net.nodes.iter().zip(before).take(3) {
        let table = node.fleet.table();
        assert!(table.bytes() <= 40_000);
        assert!(table.values_of_kind(7).count() <= 20 + 3);
        let quiet = table.values_of_kind(7).filter(|cell| cell.key == b"quiet").count();
        assert_eq!(quiet, 3, "the cells of the other members are retained");
        let sent = (node.sent_bytes - before) / 35;
        assert!(sent < 20_000, "{sent} bytes per second");
    }
}

#[test]
fn replays_and_forgeries_change_nothing() {
    let mut net = Net::new(3, 9, Settings::default());
    net.run(5_000);
    net.recorded = Some(Vec::new());
    net.put(0, 7, b"k", b"first");
    net.run(2_000);
    let recorded = net.recorded.take().unwrap();
    net.put(0, 7, b"k", b"second");
    net.run(3_000);
    assert!(net.same_values_everywhere(7, 1) && recorded.len() > 10);
    for (to, bytes) in &recorded {
        // Each datagram is replayed to its recipient and to every other member, and sent altered. Below it is sent to a
        // later incarnation of the recipient.
        for node in 0..3 {
            let rejection =
                net.step(node, |fleet, now, effects| fleet.handle_datagram(now, address(9), bytes, effects));
            let is_replayed = matches!(rejection, Err(Rejection::Replayed { .. }));
            let is_for_another =
                matches!(rejection, Err(Rejection::WrongRecipient { .. } | Rejection::OwnName { .. }));
            assert!(if node == *to { is_replayed } else { is_for_another }, "{rejection:?}");
        }
        let mut altered = bytes.clone();
        altered[30] ^= 4;
        let rejection =
            net.step(*to, |fleet, now, effects| fleet.handle_datagram(now, address(9), &altered, effects));
        assert_eq!(rejection, Err(Rejection::Forged));
    }
    assert_eq!(net.nodes[1].fleet.table().get(net::id(0), 7, b"k").unwrap().1, b"second");
    net.kill(1);
    net.restart(1, 2);
    for (to, bytes) in recorded.iter().filter(|(to, _)| *to == 1) {
        let rejection =
            net.step(*to, |fleet, now, effects| fleet.handle_datagram(now, address(9), bytes, effects));
        assert!(matches!(rejection, Err(Rejection::WrongRecipient { .. })));
    }
    let counted = &net.nodes[0].fleet.counters().rejected;
    assert!(counted[Rejection::Forged.reason_index()] > 0);
}

#[test]
fn a_member_with_another_key_is_rejected_and_declared_failed() {
    let mut net = Net::new(3, 10, Settings::default());
    net.run(5_000);
    net.step(2, |fleet, _, _| fleet.rotate_keys(keys(2)));
    net.run(15_000);
    for node in 0..2 {
        assert!(net.nodes[node].fleet.counters().rejected[Rejection::Forged.reason_index()] > 0);
        let state = net.nodes[node].fleet.members().find(|(member, _)| member.id == net::id(2)).unwrap().1;
        assert_eq!(state, MemberState::Failed);
    }
}

#[test]
fn a_second_process_under_the_same_name_is_reported() {
    let mut net = Net::new(2, 11, Settings::default());
    net.run(5_000);
    let (settings, seeds) = (Settings::default(), vec![address(0)]);
    let mut second = Fleet::new("gw-0", Incarnation(5), address(2), seeds, keys(1), settings, 1).unwrap();
    let mut effects = Vec::new();
    second.start(0, &mut effects);
    let Effect::Send { bytes, .. } = &effects[0] else { panic!("{effects:?}") };
    let rejection = net.step(0, |fleet, now, effects| fleet.handle_datagram(now, address(2), bytes, effects));
    assert_eq!(rejection, Err(Rejection::OwnName { incarnation: Incarnation(5) }));
    assert_eq!(net.nodes[0].superseded, 1);
}

#[test]
fn runs_with_the_same_seed_are_identical() {
    let run = |seed| {
        let mut net = Net::new(6, seed, Settings::default());
        (net.loss_rate, net.duplication_rate, net.max_delay_ms) = (0.15, 0.1, 200);
        net.run(4_000);
        net.put(1, 7, b"k", b"v");
        net.nodes[4].partition = 1;
        net.run(8_000);
        net.nodes[4].partition = 0;
        net.run(8_000);
        net.trace
    };
    assert_eq!(run(3), run(3));
    assert_ne!(run(3), run(4));
}
