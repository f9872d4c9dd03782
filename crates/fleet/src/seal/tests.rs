use super::*;

fn keys(first: u8, second: Option<u8>) -> Keyring {
    let key = |byte: u8| FleetKey::derive(&[byte; 32], "test").unwrap();
    Keyring::new(key(first), second.map(key))
}

fn sealer(name: &str, incarnation: u64, keys: Keyring) -> Sealer {
    Sealer::new(MemberId::of_name(name), Incarnation(incarnation), keys, 8)
}

#[test]
fn each_kind_of_invalid_message_is_rejected_with_its_own_reason() {
    let (a_id, b_id) = (MemberId::of_name("a"), MemberId::of_name("b"));
    let (mut a, mut b) = (sealer("a", 5, keys(1, None)), sealer("b", 7, keys(1, None)));
    let to_b = Some((b_id, Incarnation(7)));
    let good = a.seal(Channel::Datagram, to_b, b"hello");
    for index in 0..good.len() {
        let mut altered = good.clone();
        altered[index] ^= 1;
        let expected = if index == 0 {
            Rejection::UnknownVersion { version: 0, supported: 1 }
        } else {
            Rejection::Forged
        };
        assert_eq!(b.open(Channel::Datagram, 0, &altered), Err(expected));
    }
    assert!(matches!(b.open(Channel::Frame, 0, &good), Err(Rejection::Malformed { .. })));
    let (sender, body) = b.open(Channel::Datagram, 0, &good).unwrap();
    assert_eq!((sender.id, sender.incarnation, body), (a_id, Incarnation(5), &b"hello"[..]));
    assert_eq!(b.open(Channel::Datagram, 0, &good), Err(Rejection::Replayed { from: a_id, counter: 1 }));
    // The same datagram is rejected by another member, and by a later incarnation of its recipient.
    let foreign = Err(Rejection::WrongRecipient { to: b_id, incarnation: Incarnation(7) });
    assert_eq!(sealer("c", 1, keys(1, None)).open(Channel::Datagram, 0, &good), foreign);
    assert_eq!(sealer("b", 8, keys(1, None)).open(Channel::Datagram, 0, &good), foreign);
    let mut later = sealer("a", 6, keys(1, None));
    let newer = later.seal(Channel::Datagram, to_b, b"new");
    assert!(b.open(Channel::Datagram, 0, &newer).is_ok());
    let older = a.seal(Channel::Datagram, to_b, b"old");
    assert_eq!(
        b.open(Channel::Datagram, 0, &older),
        Err(Rejection::OldIncarnation { from: a_id, incarnation: Incarnation(5) })
    );
    assert!(matches!(b.open(Channel::Datagram, 0, &older[..20]), Err(Rejection::TooShort { .. })));
}

#[test]
fn keys_can_be_rotated_on_a_running_fleet() {
    let to_b = Some((MemberId::of_name("b"), Incarnation(1)));
    let (mut a, mut b) = (sealer("a", 1, keys(1, None)), sealer("b", 1, keys(1, None)));
    let accept = |a: &mut Sealer, b: &mut Sealer| {
        let sealed = a.seal(Channel::Datagram, to_b, b"x");
        b.open(Channel::Datagram, 0, &sealed).map(|(sender, _)| sender.by_second_key)
    };
    // Adds the new key at the recipient, signs with it at the sender, then removes the old key at the recipient,
    // which rejects it from then on.
    b.rotate_keys(keys(1, Some(2)));
    assert_eq!(accept(&mut a, &mut b), Ok(false));
    a.rotate_keys(keys(2, Some(1)));
    assert_eq!(accept(&mut a, &mut b), Ok(true));
    b.rotate_keys(keys(2, None));
    assert_eq!(accept(&mut a, &mut b), Ok(false));
    a.rotate_keys(keys(1, None));
    assert_eq!(accept(&mut a, &mut b), Err(Rejection::Forged));
}
