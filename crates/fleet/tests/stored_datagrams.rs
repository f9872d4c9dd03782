//! Compatibility with sealed messages that an earlier build wrote, tested through the public interface: a member
//! accepts every stored datagram, and responds to a stored exchange with the stored bytes. `src/tests.rs` compares the
//! messages themselves.

use std::net::SocketAddr;

use glenrail_fleet::seal::{Channel, Sealer, SEAL_OVERHEAD_BYTES};
use glenrail_fleet::{
    Effect, Exchange, Fleet, FleetKey, Incarnation, Keyring, Member, MemberId, MemberState, Settings,
    FORMAT_VERSION,
};

/// One message a line: channel, name, and the sealed bytes in hexadecimal digits, in the order of their counters.
const STORED: &str = include_str!("fixtures/stored_datagrams.txt");
/// All bytes that the receiver writes in response to the stored frames, in hexadecimal digits.
const EXCHANGE_ANSWER: &str = include_str!("fixtures/stored_exchange_answer.txt");

const SENDER: (&str, Incarnation) = ("a", Incarnation(5));
const RECEIVER: (&str, Incarnation) = ("b", Incarnation(7));
const THIRD: (&str, Incarnation) = ("c", Incarnation(1_700_000_000_000));
const KIND: u16 = 300;
/// Offset of a body. Sealing adds the header before it and the tag of 16 bytes after it.
const HEADER_BYTES: usize = SEAL_OVERHEAD_BYTES - 16;

/// Index of each message's variant on the wire, which is the first byte of its body.
const NUMBERS: [(&str, u8); 11] = [
    ("datagram hello", 0),
    ("datagram hello_over_ipv6", 0),
    ("datagram swim_announcement", 1),
    ("datagram swim_feed", 1),
    ("datagram cells", 2),
    ("datagram digests", 3),
    ("datagram want", 4),
    ("datagram whole", 5),
    ("frame open", 6),
    ("frame cells", 2),
    ("frame done", 7),
];

fn keys() -> Keyring {
    Keyring::new(FleetKey::derive(&[7; 32], "stored").unwrap(), None)
}

fn id((name, _): (&str, Incarnation)) -> MemberId {
    MemberId::of_name(name)
}

fn address(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 7_000 + u16::from(host)).into()
}

fn sealer(member: (&str, Incarnation)) -> Sealer {
    Sealer::new(id(member), member.1, keys(), 8)
}

fn receiver() -> Fleet {
    let (name, incarnation) = RECEIVER;
    Fleet::new(name, incarnation, address(2), Vec::new(), keys(), Settings::default(), 1).unwrap()
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hexadecimal: &str) -> Vec<u8> {
    let digits = hexadecimal.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).unwrap());
    digits.map(|pair| u8::from_str_radix(pair, 16).unwrap()).collect()
}

/// Channel and name of each stored message, and its sealed bytes.
fn stored() -> Vec<(&'static str, Vec<u8>)> {
    let lines = STORED.lines().map(|line| line.rsplit_once(' ').unwrap());
    lines.map(|(name, sealed)| (name, bytes(sealed))).collect()
}

fn stored_on(channel: &str) -> Vec<(&'static str, Vec<u8>)> {
    stored().into_iter().filter(|(name, _)| name.split(' ').next() == Some(channel)).collect()
}

fn channel(name: &str) -> Channel {
    if name.starts_with("frame ") {
        Channel::Frame
    } else {
        Channel::Datagram
    }
}

/// Returns a receiver that has handled all stored datagrams, and the effects of each.
fn after_the_datagrams() -> (Fleet, Vec<(&'static str, Vec<Effect>)>) {
    let mut fleet = receiver();
    let mut effects = Vec::new();
    for (name, sealed) in stored_on("datagram") {
        let mut step_effects = Vec::new();
        assert_eq!(fleet.handle_datagram(0, address(9), &sealed, &mut step_effects), Ok(()), "{name}");
        effects.push((name, step_effects));
    }
    (fleet, effects)
}

#[test]
fn the_fixture_has_every_kind_of_message() {
    let number = |(name, sealed): (&'static str, Vec<u8>)| (name, sealed[HEADER_BYTES]);
    assert_eq!(stored().into_iter().map(number).collect::<Vec<_>>(), NUMBERS);
    assert!(stored().iter().all(|(_, sealed)| sealed[0] == FORMAT_VERSION));
}

#[test]
fn stored_bodies_are_sealed_to_the_stored_bytes() {
    let (mut seals, mut opens) = (sealer(SENDER), sealer(RECEIVER));
    for (name, sealed) in stored() {
        let (from, body) = opens.open(channel(name), 0, &sealed).unwrap();
        assert_eq!((from.id, from.incarnation, from.by_second_key), (id(SENDER), SENDER.1, false), "{name}");
        let to = from.addressed.then_some((id(RECEIVER), RECEIVER.1));
        assert_eq!(hexadecimal(&seals.seal(channel(name), to, body)), hexadecimal(&sealed), "{name}");
    }
}

#[test]
fn a_member_accepts_the_stored_datagrams() {
    let (fleet, _) = after_the_datagrams();
    let mut expected = vec![
        Member { id: id(SENDER), incarnation: SENDER.1, rejoins: 2, address: address(1) },
        Member { id: id(THIRD), incarnation: THIRD.1, rejoins: 300, address: address(3) },
    ];
    expected.sort_by_key(|member| member.id);
    let members: Vec<_> = fleet.members().map(|(member, state)| (*member, state)).collect();
    assert_eq!(members, expected.into_iter().map(|m| (m, MemberState::Alive)).collect::<Vec<_>>());
    let table = fleet.table();
    assert_eq!(table.get(id(SENDER), KIND, b"level"), Some((4, &[3][..])));
    assert_eq!(table.get(id(SENDER), KIND, b"taken back"), None);
    assert_eq!(table.get(id(THIRD), KIND, &[0, 255]), Some((u64::MAX, &[][..])));
    assert_eq!((table.len(), fleet.counters().entries_merged), (3, 3));
}

#[test]
fn a_member_answers_the_stored_datagrams() {
    let (_, effects) = after_the_datagrams();
    let of = |expected_name: &str| &effects.iter().find(|(name, _)| *name == expected_name).unwrap().1;
    let sends =
        |expected_name: &str| of(expected_name).iter().filter(|e| matches!(e, Effect::Send { .. })).count();
    assert_eq!(sends("datagram hello"), 1);
    assert_eq!(sends("datagram swim_announcement"), 1);
    assert_eq!(of("datagram cells").iter().filter(|e| matches!(e, Effect::CellChanged { .. })).count(), 3);
    assert!(sends("datagram digests") > 0);
    assert_eq!(of("datagram whole")[..], [Effect::OpenExchange { peer: id(SENDER), to: address(1) }]);
}

#[test]
fn a_member_answers_the_stored_exchange_with_the_same_bytes() {
    let mut fleet = receiver();
    fleet.put(0, KIND, b"own", vec![1, 2, 3]).unwrap();
    fleet.delete(0, KIND, b"own").unwrap();
    fleet.put(0, KIND, b"other", Vec::new()).unwrap();
    let (mut exchange, mut written, mut is_finished) = (Exchange::accept(), Vec::new(), false);
    for (name, sealed) in stored_on("frame") {
        assert!(!is_finished, "{name}");
        let framed = [&(sealed.len() as u32).to_le_bytes()[..], &sealed].concat();
        let step = fleet.handle_exchange_bytes(0, &mut exchange, &framed, &mut Vec::new()).unwrap();
        written.extend(step.write);
        is_finished = step.is_finished;
    }
    assert!(is_finished);
    assert_eq!(hexadecimal(&written), EXCHANGE_ANSWER.trim_end());
    assert_eq!(fleet.table().get(id(SENDER), KIND, b"level"), Some((301, &[9, 8, 7][..])));
}
