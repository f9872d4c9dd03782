use super::*;

fn keys(first: u8, second: Option<u8>) -> Keyring {
    let key = |byte: u8| FleetKey::derive(&[byte; 32], "test").unwrap();
    Keyring::new(key(first), second.map(key))
}

fn sealer(name: &str, life: u64, keys: Keyring) -> Sealer {
    Sealer::new(MemberId::of_name(name), Life(life), keys, 8)
}

#[test]
fn forged_replayed_foreign_old_and_unknown_are_told_apart() {
    let (a_id, b_id) = (MemberId::of_name("a"), MemberId::of_name("b"));
    let (mut a, mut b) = (sealer("a", 5, keys(1, None)), sealer("b", 7, keys(1, None)));
    let to_b = Some((b_id, Life(7)));
    let good = a.seal(Channel::Datagram, to_b, b"hello");
    for place in 0..good.len() {
        let mut bent = good.clone();
        bent[place] ^= 1;
        let expected = if place == 0 { Refused::Version { found: 0, ours: 1 } } else { Refused::Forged };
        assert_eq!(b.open(Channel::Datagram, 0, &bent), Err(expected));
    }
    assert!(matches!(b.open(Channel::Frame, 0, &good), Err(Refused::Malformed { .. })));
    let (sender, body) = b.open(Channel::Datagram, 0, &good).unwrap();
    assert_eq!((sender.id, sender.life, body), (a_id, Life(5), &b"hello"[..]));
    assert_eq!(b.open(Channel::Datagram, 0, &good), Err(Refused::Replayed { from: a_id, counter: 1 }));
    // The same datagram at another member, and at a later life of the one that it was meant for.
    let foreign = Err(Refused::Foreign { to: b_id, life: Life(7) });
    assert_eq!(sealer("c", 1, keys(1, None)).open(Channel::Datagram, 0, &good), foreign);
    assert_eq!(sealer("b", 8, keys(1, None)).open(Channel::Datagram, 0, &good), foreign);
    let mut later = sealer("a", 6, keys(1, None));
    let newer = later.seal(Channel::Datagram, to_b, b"new");
    assert!(b.open(Channel::Datagram, 0, &newer).is_ok());
    let older = a.seal(Channel::Datagram, to_b, b"old");
    assert_eq!(b.open(Channel::Datagram, 0, &older), Err(Refused::OldLife { from: a_id, life: Life(5) }));
    assert!(matches!(b.open(Channel::Datagram, 0, &older[..20]), Err(Refused::Short { .. })));
}

#[test]
fn keys_are_turned_over_on_a_running_fleet() {
    let to_b = Some((MemberId::of_name("b"), Life(1)));
    let (mut a, mut b) = (sealer("a", 1, keys(1, None)), sealer("b", 1, keys(1, None)));
    let heard = |a: &mut Sealer, b: &mut Sealer| {
        let sealed = a.seal(Channel::Datagram, to_b, b"x");
        b.open(Channel::Datagram, 0, &sealed).map(|(sender, _)| sender.by_second_key)
    };
    // Old signs and new verifies at both; new signs at one, then at both; the old one goes.
    b.turn_keys(keys(1, Some(2)));
    assert_eq!(heard(&mut a, &mut b), Ok(false));
    a.turn_keys(keys(2, Some(1)));
    assert_eq!(heard(&mut a, &mut b), Ok(true));
    b.turn_keys(keys(2, None));
    assert_eq!(heard(&mut a, &mut b), Ok(false));
    a.turn_keys(keys(1, None));
    assert_eq!(heard(&mut a, &mut b), Err(Refused::Forged));
}
