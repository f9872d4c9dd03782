//! Compatibility with sealed messages of every kind that an earlier build wrote: this build must seal the same messages
//! to the same bytes, and open the stored bytes to the same messages.

use crate::membership::{Membership, MembershipOutput};
use crate::seal::{Channel, Sealer};
use crate::table::Digest;
use crate::wire::Body;
use crate::{Cell, CellId, FleetKey, Incarnation, Keyring, Member, MemberId, MemberState, Settings};

/// One message a line: channel, name, and the sealed bytes in hexadecimal digits, in the order of their counters.
const STORED: &str = include_str!("../tests/fixtures/stored_datagrams.txt");

fn keys() -> Keyring {
    Keyring::new(FleetKey::derive(&[7; 32], "stored").unwrap(), None)
}

fn member(name: &str, incarnation: u64, rejoins: u32, host: u8) -> Member {
    let address = ([10, 0, 0, host], 7_000 + u16::from(host)).into();
    Member { id: MemberId::of_name(name), incarnation: Incarnation(incarnation), rejoins, address }
}

fn sender() -> Member {
    member("a", 5, 2, 1)
}

fn receiver() -> Member {
    member("b", 7, 0, 2)
}

fn third() -> Member {
    member("c", 1_700_000_000_000, 300, 3)
}

fn sender_over_ipv6() -> Member {
    let address = ([0x2001, 0xdb8, 0, 0, 0, 0, 0, 1], 65_535).into();
    Member { address, ..sender() }
}

fn membership(member: Member) -> Membership {
    Membership::new(member, &Settings::default(), 1)
}

/// Packet with which a member announces itself to another.
fn announcement(from: Member, to: Member) -> Vec<u8> {
    let mut output = MembershipOutput::default();
    membership(from).announce(to, &mut output).unwrap();
    output.sends.pop().unwrap().1
}

/// The sender's response to the receiver's announcement, when the third member is the only other one in its
/// list of members.
fn feed_packet() -> Vec<u8> {
    let mut sender = membership(sender());
    sender
        .handle_packet(&announcement(third(), sender.local_member()), &mut MembershipOutput::default())
        .unwrap();
    let mut output = MembershipOutput::default();
    sender.handle_packet(&announcement(receiver(), sender.local_member()), &mut output).unwrap();
    output.sends.into_iter().find(|(to, _)| *to == receiver()).unwrap().1
}

fn cell(origin: Member, key: &[u8], version: u64, age: u64, value: Option<&[u8]>) -> Cell {
    let id = CellId { origin: origin.id, kind: 300, key: key.to_vec() };
    Cell::new(id, origin.incarnation, version, age, value.map(<[u8]>::to_vec))
}

fn cells() -> Vec<Cell> {
    vec![
        cell(sender(), b"level", 4, 0, Some(&[3])),
        cell(sender(), b"taken back", 300, 1_501, None),
        cell(third(), &[0, 255], u64::MAX, 12_800, Some(&[])),
    ]
}

fn digest(origin: Member, cells: u32, newest_version: u64, truncated: bool, hash: u64) -> Digest {
    Digest { origin: origin.id, incarnation: origin.incarnation, cells, newest_version, truncated, hash }
}

fn digests() -> Vec<Digest> {
    vec![
        digest(sender(), 2, 300, false, 0x0102_0304_0506_0708),
        digest(third(), 256, u64::MAX, true, u64::MAX),
    ]
}

fn datagrams() -> Vec<(&'static str, Body)> {
    let (from, to) = (MemberId(0), MemberId(u64::MAX));
    vec![
        ("hello", Body::Hello(sender())),
        ("hello_over_ipv6", Body::Hello(sender_over_ipv6())),
        ("swim_announcement", Body::Swim(announcement(sender(), receiver()))),
        ("swim_feed", Body::Swim(feed_packet())),
        ("cells", Body::Cells(cells())),
        ("digests", Body::Digests { from, to, digests: digests() }),
        ("want", Body::Request(vec![digest(receiver(), 0, 0, false, 0)])),
        ("whole", Body::ExchangeNeeded),
    ]
}

fn frames() -> Vec<(&'static str, Body)> {
    vec![
        ("open", Body::ExchangeOpen(digests())),
        ("cells", Body::Cells(vec![cell(sender(), b"level", 301, 100, Some(&[9, 8, 7]))])),
        ("done", Body::ExchangeDone(vec![digest(sender(), 1, 301, false, 1)])),
    ]
}

/// Every message with its channel and its name, in the order in which the sender seals them.
fn messages() -> Vec<(Channel, &'static str, Body)> {
    let of = |channel| move |(name, body)| (channel, name, body);
    let datagrams = datagrams().into_iter().map(of(Channel::Datagram));
    datagrams.chain(frames().into_iter().map(of(Channel::Frame))).collect()
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hexadecimal: &str) -> Vec<u8> {
    let digits = hexadecimal.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).unwrap());
    digits.map(|pair| u8::from_str_radix(pair, 16).unwrap()).collect()
}

/// The sealed bytes of each line of the fixture.
fn stored() -> Vec<Vec<u8>> {
    STORED.lines().map(|line| bytes(line.rsplit(' ').next().unwrap())).collect()
}

/// A hello message has no recipient; all other messages are addressed to the receiver.
fn addressee(body: &Body) -> Option<(MemberId, Incarnation)> {
    let greeting = matches!(body, Body::Hello(_));
    (!greeting).then_some((receiver().id, receiver().incarnation))
}

fn sealed_line(sealer: &mut Sealer, channel: Channel, name: &str, body: &Body) -> String {
    let sealed = sealer.seal(channel, addressee(body), &body.to_bytes());
    format!("{} {name} {}\n", format!("{channel:?}").to_lowercase(), hexadecimal(&sealed))
}

#[test]
fn the_same_messages_are_sealed_to_the_same_bytes() {
    let mut sealer = Sealer::new(sender().id, sender().incarnation, keys(), 8);
    let line = |(channel, name, body)| sealed_line(&mut sealer, channel, name, &body);
    let sealed: String = messages().into_iter().map(line).collect();
    assert!(sealed == STORED, "the sealed messages differ from the stored ones; they are:\n{sealed}");
}

#[test]
fn stored_bytes_open_to_the_same_messages() {
    let mut opener = Sealer::new(receiver().id, receiver().incarnation, keys(), 8);
    let (stored, messages) = (stored(), messages());
    assert_eq!(stored.len(), messages.len());
    for (sealed, (channel, name, expected)) in stored.iter().zip(messages) {
        let (from, body) = opener.open(channel, 0, sealed).unwrap();
        assert_eq!((from.id, from.incarnation), (sender().id, sender().incarnation), "{name}");
        assert_eq!(from.addressed, addressee(&expected).is_some(), "{name}");
        assert_eq!(Body::parse(body), Some(expected), "{name}");
    }
}

#[test]
fn stored_membership_packets_introduce_the_sender_and_the_third() {
    let mut opener = Sealer::new(receiver().id, receiver().incarnation, keys(), 8);
    let mut receiver = membership(receiver());
    let mut packets = 0;
    for sealed in stored().iter().take(datagrams().len()) {
        let (_, body) = opener.open(Channel::Datagram, 0, sealed).unwrap();
        let Some(Body::Swim(packet)) = Body::parse(body) else { continue };
        assert_eq!(Membership::packet_source(&packet), Some(sender()));
        receiver.handle_packet(&packet, &mut MembershipOutput::default()).unwrap();
        packets += 1;
    }
    assert_eq!(packets, 2);
    let mut expected = vec![(sender(), MemberState::Alive), (third(), MemberState::Alive)];
    expected.sort_by_key(|(member, _)| member.id);
    assert_eq!(receiver.take_changes(|_, _| false), expected);
}
