//! Summation and pricing of the counts of many gateways.

use super::{ConnectionsOpened, Counts, Prices, LOG_PREFIX};

fn counts(started_unix_ms: f64, probes: u64) -> Counts {
    let prices = Prices { probe: 0.003, handshake: 0.01, discovery: 0.5, ..Prices::default() };
    let connections_opened = ConnectionsOpened { attempt: 10, probe: 5, ..ConnectionsOpened::default() };
    Counts { started_unix_ms, probes, connections_opened, discovery_lines: 40, prices, ..Counts::default() }
}

#[test]
fn counts_are_parsed_with_other_text_around_them() {
    let written = counts(7.0, 3);
    assert_eq!(
        Counts::parse_line(&format!("24.1 glenrail: {LOG_PREFIX}{written} (2 like it left out)")),
        Some(written)
    );
    assert_eq!(Counts::parse_line("24.1 glenrail: counts of nothing"), None);
}

/// Guards against counting a process's earlier lines in addition to its last one, and against omitting the counts of a
/// process that was killed.
#[test]
fn only_the_last_line_of_each_process_is_summed() {
    let named = |name: &str, c| (name.to_string(), c);
    let lines = [
        named("n1", counts(1.0, 30)),
        named("n1", counts(1.0, 20)),
        named("n1", counts(2.0, 7)),
        named("n2", counts(1.0, 5)),
    ];
    let sum = Counts::sum(lines);
    assert_eq!((sum.probes, sum.connections_opened.total(), sum.discovery_lines), (42, 45, 120));
}

#[test]
fn the_price_follows_the_prices_of_the_settings() {
    let price = counts(1.0, 200).price(100);
    assert!((price - (0.003 * 2.0 + 0.01 * 0.15 + 0.5 * 0.4 / 100.0)).abs() < 1e-12, "{price}");
    assert!(counts(1.0, 200).table(100).contains("0.60% priced"));
}

/// Guards against an overflow caused by a damaged line, which may contain any number.
#[test]
fn sums_saturate_at_the_largest_number() {
    let connections_opened =
        ConnectionsOpened { attempt: u64::MAX - 1, probe: 7, ..ConnectionsOpened::default() };
    let damaged = Counts { connections_opened, probes: u64::MAX, ..counts(1.0, 0) };
    let sum = Counts::sum([("n1".to_string(), damaged), ("n2".to_string(), counts(1.0, 5))]);
    assert_eq!((sum.probes, sum.connections_opened.total(), sum.discovery_lines), (u64::MAX, u64::MAX, 80));
    assert!(sum.table(10).contains("probes"));
}
