//! Detection of starved classes and tenants.

use super::{Owner, ServedShares, STARVED_CLASS_THRESHOLD, STARVED_TENANT_THRESHOLD};
use crate::loss_report::turn::Turn;
use crate::{AttemptRecord, RequestOutcome, RequestRecord};

fn request(class: u32, session: u64, served: bool) -> RequestRecord {
    let decode = AttemptRecord { first_token_ms: Some(100.0), ..AttemptRecord::default() };
    let (final_outcome, all_attempts) =
        if served { (RequestOutcome::Served, vec![decode]) } else { (RequestOutcome::Rejected, vec![]) };
    RequestRecord {
        class,
        session,
        outcome: final_outcome,
        attempts: all_attempts,
        at_most_once: class == 2,
        latency_objective_ms: 500.0,
        priority_weight: 1.0,
        ..RequestRecord::default()
    }
}

fn by_class(request: &RequestRecord) -> Owner {
    Owner { id: request.class, at_most_once: request.at_most_once }
}

/// Tenants are not evaluated because of a single request of a class that must not be retried.
fn by_tenant(request: &RequestRecord) -> Owner {
    Owner { id: request.class, at_most_once: false }
}

fn shares(requests: &[RequestRecord]) -> ServedShares {
    let mut shares = ServedShares::default();
    requests.iter().for_each(|record| shares.add(&Turn { requests: vec![record] }, by_class));
    shares
}

/// Guards against a starved class that is hidden by a good mean, in particular a rare one that must not be retried.
#[test]
fn starved_classes_are_reported_worst_first() {
    let mostly_served = (0..98).map(|n| request(0, n, n % 10 != 0));
    let rarely_served = (0..10).map(|n| request(1, n, n < 3));
    let rare = [request(2, 0, false), request(3, 0, false)];
    let shares = shares(&mostly_served.chain(rarely_served).chain(rare).collect::<Vec<_>>());
    let starved_classes: Vec<u32> =
        shares.starved(STARVED_CLASS_THRESHOLD).owners.iter().map(|starved| starved.0).collect();
    assert_eq!(starved_classes, [2, 1]);
    assert_eq!(shares.starved(STARVED_TENANT_THRESHOLD).owners.len(), 1);
    // A tenant with one request of such a class is not evaluated.
    let mut tenants = ServedShares::default();
    let single_requests = [request(2, 0, false)].into_iter().chain((1..60).map(|n| request(0, n, true)));
    let single_requests: Vec<RequestRecord> = single_requests.collect();
    single_requests.iter().for_each(|record| tenants.add(&Turn { requests: vec![record] }, by_tenant));
    assert_eq!(tenants.starved(STARVED_TENANT_THRESHOLD).owners, []);
    assert!(shares
        .table("class", STARVED_CLASS_THRESHOLD)
        .contains("SHORT: class 2, not to be repeated: 0.00% in time"));
}

#[test]
fn the_results_of_a_class_add_up() {
    let shares = shares(&(0..30).map(|n| request(n as u32 % 3, n, n % 4 != 0)).collect::<Vec<_>>());
    for share in shares.0.values() {
        let sum = share.in_time + share.late + share.rejected + share.failed;
        assert!((sum - share.requested_weight).abs() < 1e-9 && share.turns == 10, "{share:?}");
    }
}
