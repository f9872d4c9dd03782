//! Counting of transferred and of wasted KV states.

use super::StateTransfers;
use crate::counts::Prices;
use crate::loss_report::turn::Turn;
use crate::{AttemptRecord, RequestRecord, Stage};

fn prefill(location: (u32, u32), cached_tokens: f64) -> AttemptRecord {
    AttemptRecord {
        location: Some(location),
        outcome: "Read".into(),
        cached_tokens,
        ..AttemptRecord::default()
    }
}

fn decode(location: (u32, u32), answered: bool) -> AttemptRecord {
    AttemptRecord {
        stage: Stage::Execute,
        location: Some(location),
        first_token_ms: answered.then_some(1.0),
        ..AttemptRecord::default()
    }
}

fn transfers(attempts: Vec<AttemptRecord>) -> StateTransfers {
    let record = RequestRecord { prompt_tokens: 1_000.0, attempts, ..RequestRecord::default() };
    let mut transfers = StateTransfers::default();
    transfers.add(&Turn { requests: vec![&record] });
    transfers
}

#[test]
fn a_state_is_transferred_from_its_last_prefill_to_the_decode_server() {
    let within_cell = transfers(vec![prefill((0, 1), 400.0), decode((0, 2), false), decode((0, 1), true)]);
    assert_eq!(
        (
            within_cell.fetched,
            within_cell.cell_transfer_share(),
            within_cell.prefilled,
            within_cell.wasted_share()
        ),
        (1_000.0, 0.0, 600.0, 0.0)
    );
    let across_zones = transfers(vec![prefill((0, 1), 0.0), decode((1, 1), true)]);
    assert_eq!((across_zones.cell_transfer_share(), across_zones.out_of_zone), (1.0, 1_000.0));
    let prices = Prices { cell_transfer: 0.03, waste: 0.16, ..Prices::default() };
    assert!(across_zones.table(&prices).contains("3.00% priced"));
    // The decode server is in another cell of the same zone.
    assert_eq!(transfers(vec![prefill((0, 1), 0.0), decode((0, 2), true)]).out_of_zone, 0.0);
}

/// Guards against counting both prefills of a prompt as fetched when only the second one's state was.
#[test]
fn a_prefill_whose_state_is_not_fetched_is_wasted() {
    let prefilled_twice = transfers(vec![
        prefill((0, 1), 0.0),
        decode((0, 1), false),
        prefill((0, 2), 700.0),
        decode((0, 2), true),
    ]);
    assert_eq!(
        (prefilled_twice.prefilled, prefilled_twice.wasted_share(), prefilled_twice.cell_transfer_share()),
        (1_300.0, 1.0, 0.0)
    );
    assert_eq!(transfers(vec![prefill((0, 1), 900.0)]).wasted_share(), 0.1);
    assert_eq!(
        transfers(vec![decode((0, 1), true)]),
        StateTransfers { prompt_tokens: 1_000.0, ..StateTransfers::default() }
    );
}
