//! Protection of a member from members that hold the key but are faulty or malicious.

use super::*;
use crate::seal::{FleetKey, SEAL_OVERHEAD_BYTES};
use crate::wire::MAX_FRAME_BYTES;

fn keys() -> Keyring {
    Keyring::new(FleetKey::derive(&[3; 32], "test").unwrap(), None)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

/// Two members that have discovered each other, with no datagram in flight.
fn pair() -> (Fleet, Fleet) {
    let make = |name, port, seed| {
        let seeds = vec![address(1), address(2)];
        Fleet::new(name, Incarnation(5), address(port), seeds, keys(), Settings::default(), seed).unwrap()
    };
    let (mut a, mut b) = (make("a", 1, 1), make("b", 2, 2));
    let mut effects = Vec::new();
    a.start(0, &mut effects);
    for _ in 0..8 {
        let mut next = Vec::new();
        for effect in effects {
            let Effect::Send { to, bytes } = effect else { continue };
            let fleet = if to == address(1) { &mut a } else { &mut b };
            fleet.handle_datagram(0, address(9), &bytes, &mut next).unwrap();
        }
        effects = next;
    }
    assert!(a.active_count() == 2 && b.active_count() == 2);
    (a, b)
}

/// Sends `body` from one member to another, and returns the recipient's result and effects.
fn send(from: &mut Fleet, to: &mut Fleet, body: &Body) -> (Result<(), Rejection>, Vec<Effect>) {
    let mut effects = Vec::new();
    from.send(&to.local_member(), body, &mut effects);
    let Some(Effect::Send { bytes, .. }) = effects.pop() else { panic!("nothing sent") };
    let result = to.handle_datagram(0, address(9), &bytes, &mut effects);
    (result, effects)
}

fn cell(origin: MemberId, incarnation: u64, version: u64) -> Cell {
    Cell::new(
        CellId { origin, kind: 7, key: b"k".to_vec() },
        Incarnation(incarnation),
        version,
        0,
        Some(b"lie".to_vec()),
    )
}

#[test]
fn cells_of_the_recipient_and_of_other_incarnations_of_members_are_ignored() {
    let (mut a, mut b) = pair();
    b.put(0, 7, b"k", b"truth".to_vec()).unwrap();
    let invalid_cells = vec![
        cell(b.local_member().id, 5, 99),
        cell(b.local_member().id, 6, 1),
        cell(a.local_member().id, 4, 9),
        cell(a.local_member().id, 9, 9),
    ];
    let (result, effects) = send(&mut a, &mut b, &Body::Cells(invalid_cells));
    assert_eq!((result, effects), (Ok(()), Vec::new()));
    assert_eq!(b.table().get(b.local_member().id, 7, b"k"), Some((1, &b"truth"[..])));
    assert_eq!(b.table().len(), 1);
    // Cells of origins that are not members, and of the sender's current incarnation, are merged.
    let valid_cells = vec![cell(MemberId(77), 1, 1), cell(a.local_member().id, 5, 1)];
    let (_, effects) = send(&mut a, &mut b, &Body::Cells(valid_cells));
    assert_eq!((effects.len(), b.table().len()), (2, 3));
}

#[test]
fn impersonated_and_malformed_messages_are_rejected_and_counted() {
    let (mut a, mut b) = pair();
    let from = a.local_member().id;
    let other = Member { id: MemberId(77), ..a.local_member() };
    assert_eq!(send(&mut a, &mut b, &Body::Hello(other)).0, Err(Rejection::Impersonated { from }));
    let malformed = Err(Rejection::Malformed { from });
    assert_eq!(send(&mut a, &mut b, &Body::Swim(vec![255; 9])).0, malformed);
    assert_eq!(send(&mut a, &mut b, &Body::ExchangeOpen(Vec::new())).0, malformed);
    // Only a hello message may lack a recipient.
    let bytes = a.sealer.seal(Channel::Datagram, None, &Body::ExchangeNeeded.to_bytes());
    assert_eq!(b.handle_datagram(0, address(1), &bytes, &mut Vec::new()), malformed);
    let long = vec![0; MAX_DATAGRAM_BYTES + 1];
    assert!(matches!(
        b.handle_datagram(0, address(1), &long, &mut Vec::new()),
        Err(Rejection::TooLong { .. })
    ));
    let counted = &b.counters().rejected;
    assert_eq!((counted[Rejection::Malformed { from }.reason_index()], counted.iter().sum()), (3, 5));
}

#[test]
fn exchanges_are_requested_one_at_a_time() {
    let (mut a, mut b) = pair();
    let is_requested =
        |effects: Vec<Effect>| matches!(effects[..], [Effect::OpenExchange { to, .. }] if to == address(1));
    assert!(is_requested(send(&mut a, &mut b, &Body::ExchangeNeeded).1));
    assert!(send(&mut a, &mut b, &Body::ExchangeNeeded).1.is_empty());
}

#[test]
fn an_exchange_over_its_bounds_or_out_of_turn_is_aborted() {
    let (mut a, mut b) = pair();
    let mut effects = Vec::new();
    let none = MemberId(1);
    assert!(matches!(a.open_exchange(none), Err(ExchangeError::NotAMember { peer }) if peer == none));
    let mut accepted = Exchange::accept();
    let long = ((MAX_FRAME_BYTES + 1) as u32).to_le_bytes();
    let ended = b.handle_exchange_bytes(0, &mut accepted, &long, &mut effects);
    assert_eq!(ended, Err(ExchangeError::TooLong { bytes: MAX_FRAME_BYTES + 1, max_bytes: MAX_FRAME_BYTES }));
    // The first frame must contain the opener's digests.
    let mut write = Vec::new();
    a.write_frame((b.local_member().id, Incarnation(5)), &Body::ExchangeDone(Vec::new()), &mut write);
    let ended = b.handle_exchange_bytes(0, &mut Exchange::accept(), &write, &mut effects);
    assert_eq!(ended, Err(ExchangeError::OutOfTurn { peer: a.local_member().id }));
    // A recorded first frame is replayed.
    let (_, first) = a.open_exchange(b.local_member().id).unwrap();
    assert!(b.handle_exchange_bytes(0, &mut Exchange::accept(), &first, &mut effects).is_ok());
    let ended = b.handle_exchange_bytes(0, &mut Exchange::accept(), &first, &mut effects);
    assert!(matches!(ended, Err(ExchangeError::Rejection(Rejection::Replayed { .. }))));
    assert_eq!(b.counters().rejected[4], 1);
    // An incomplete frame has no effect, wherever it is cut.
    let (_, first) = a.open_exchange(b.local_member().id).unwrap();
    let mut accepted = Exchange::accept();
    for byte in &first[..first.len() - 1] {
        assert!(b.handle_exchange_bytes(0, &mut accepted, &[*byte], &mut effects).unwrap().write.is_empty());
    }
    assert!(
        b.handle_exchange_bytes(0, &mut accepted, &first[first.len() - 1..], &mut effects)
            .unwrap()
            .write
            .len()
            > SEAL_OVERHEAD_BYTES
    );
}

#[test]
fn bounds_of_own_cells_are_named_and_nothing_is_handled_after_a_leave() {
    let (mut a, mut b) = pair();
    assert!(matches!(a.put(0, 0, b"", Vec::new()), Err(TableError::Reserved { kind: 0 })));
    assert!(matches!(a.put(0, 7, &[0; 200], Vec::new()), Err(TableError::Key { kind: 7, .. })));
    assert!(matches!(a.put(0, 7, b"k", vec![0; 30_000]), Err(TableError::Value { kind: 7, .. })));
    let rejected_put = (0..).find_map(|key: u32| a.put(0, 7, &key.to_le_bytes(), vec![0; 9]).err());
    assert_eq!(rejected_put, Some(TableError::Entries { kind: 7, entries: 256 }));
    assert!(a.put(0, 7, &0u32.to_le_bytes(), vec![1; 9]).is_ok(), "an existing cell can be updated");
    let mut effects = Vec::new();
    a.leave(0, &mut effects);
    assert_eq!(send(&mut b, &mut a, &Body::ExchangeNeeded).0, Err(Rejection::Left));
    let settings = Settings { ..Settings::default() };
    let unreachable =
        Fleet::new("a", Incarnation(1), ([0, 0, 0, 0], 7).into(), Vec::new(), keys(), settings, 1);
    assert!(matches!(unreachable, Err(SettingsError::Address { .. })));
}
