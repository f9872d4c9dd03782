//! Drivers of the fleet in one process: entries over datagrams and streams, bounds of streams, the end of a life.

mod common;

use std::net::SocketAddr;
use std::path::Path;

use common::member::{directory, write_keys, Plan, KEYS};
use common::{run, until};
use glenrail::fleet::{start, Handle, MemberConfig};
use glenrail::shutdown::Shutdown;
use glenrail_fleet::Keyring;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CADENCE: &str = "hello = 200\nrepair = 100\nexchange_apart = 100\nsuspect = 20000\nexchanges = 2";

struct Node {
    handle: Handle,
    shutdown: Shutdown,
    at: SocketAddr,
}

fn read(
    directory: &Path, name: &str, bind: SocketAddr, seeds: Vec<SocketAddr>, more: &str,
) -> (MemberConfig, Keyring) {
    let keys = directory.join("keys");
    write_keys(&keys, &KEYS[..1], 0o600);
    let life = directory.join(format!("{name}.life"));
    let more = format!("{CADENCE}\nmember = '{name}'\nlife_file = {life:?}\n{more}");
    let file = Plan { bind, seeds, more: &more, ..Plan::new(directory, name, &keys) }.file();
    MemberConfig::read(&file, None, None).expect("a file")
}

/// A member at a free port.
fn node(directory: &Path, name: &str, seeds: Vec<SocketAddr>, more: &str) -> Node {
    let bind = ([127, 0, 0, 1], 0).into();
    let shutdown = Shutdown::default();
    let handle = start(read(directory, name, bind, seeds, more), false, &shutdown).expect("it starts");
    let at = handle.driver().expect("a life").inspect(|fleet| fleet.local_member().address);
    Node { handle, shutdown, at }
}

/// A process that comes after another at this port.
fn after(directory: &Path, name: &str, at: SocketAddr, seeds: Vec<SocketAddr>) -> Node {
    let shutdown = Shutdown::default();
    let handle = start(read(directory, name, at, seeds, ""), true, &shutdown).expect("it starts");
    Node { handle, shutdown, at }
}

impl Node {
    fn value(&self, of: &Node, key: &[u8]) -> Option<Vec<u8>> {
        let origin = of.handle.driver()?.inspect(|fleet| fleet.local_member().id);
        self.handle
            .driver()?
            .inspect(|fleet| fleet.table().get(origin, 7, key).map(|(_, value)| value.to_vec()))
    }

    fn figure(&self, name: &str) -> u64 {
        self.handle.counters()[name].as_u64().expect("a figure")
    }
}

/// Guards both ways of an entry: small ones ride in datagrams, one that fits into none comes over a stream, and news
/// wake whoever waits for them.
#[test]
fn cells_reach_all_members_by_datagram_or_stream() {
    run(async {
        let directory = directory("entries");
        let a = node(&directory, "a", vec![], "");
        let others = ["b", "c"].map(|name| node(&directory, name, vec![a.at], ""));
        // The greeting to the seed is out before the runtime has looked at the socket for the first time.
        assert!(others.iter().all(|node| node.figure("datagrams_out") == 1 && node.figure("unsent") == 0));
        let driver = a.handle.driver().expect("a life");
        let mut updates = others[0].handle.driver().expect("a life").updates();
        driver.put(7, b"small", vec![1]).expect("room");
        driver.put(7, b"large", vec![2; 20_000]).expect("room");
        while others[0].value(&a, b"small").is_none() || others[0].value(&a, b"large").is_none() {
            updates.changed().await.expect("a driver");
        }
        until(|| others[1].value(&a, b"large") == Some(vec![2; 20_000])).await;
        assert!(others.iter().all(|node| node.figure("exchanges_broken") == 0));
        driver.delete(7, b"small").expect("room");
        until(|| others.iter().all(|node| node.value(&a, b"small").is_none())).await;
        a.handle.leave();
        until(|| others.iter().all(|node| node.figure("left") == 1 && node.figure("gone") == 0)).await;
        assert!(a.handle.driver().is_none());
        std::fs::remove_dir_all(directory).expect("removed");
    });
}

/// Guards the port for streams: a frame over the bound and bytes without a key are cut off, one that says nothing goes
/// after its time, and one too many at once; members get through after it.
#[test]
fn strangers_at_the_port_for_streams_are_cut_off() {
    run(async {
        let directory = directory("strangers");
        let a = node(&directory, "a", vec![], "exchange_time = 60000");
        for bytes in [&[255; 4][..], &[3, 0, 0, 0, 1, 2, 3]] {
            let mut stream = TcpStream::connect(a.at).await.expect("a connection");
            stream.write_all(bytes).await.expect("sent");
            assert!(matches!(stream.read(&mut [0]).await, Ok(0) | Err(_)));
        }
        assert_eq!(
            (a.figure("exchanges_broken"), a.handle.counters()["refused"]["short"].as_u64()),
            (2, Some(1))
        );
        let mut silent = Vec::new();
        for _ in 0..3 {
            silent.push(TcpStream::connect(a.at).await.expect("a connection"));
        }
        // The third is closed, the first two have time left.
        assert!(matches!(silent[2].read(&mut [0]).await, Ok(0) | Err(_)));
        assert_eq!(a.figure("exchanges_broken"), 3);
        drop(silent);
        until(|| a.figure("exchanges_broken") == 5).await;
        let b = node(&directory, "b", vec![a.at], "exchange_time = 200");
        b.handle.driver().expect("a life").put(7, b"large", vec![2; 20_000]).expect("room");
        until(|| a.value(&b, b"large").is_some()).await;
        let broken = b.figure("exchanges_broken");
        let mut silent = TcpStream::connect(b.at).await.expect("a connection");
        assert!(matches!(silent.read(&mut [0]).await, Ok(0) | Err(_)));
        assert!(b.figure("exchanges_broken") > broken);
        std::fs::remove_dir_all(directory).expect("removed");
    });
}

/// Guards the hand-over of the port: a process that comes after another waits for it; superseded, a member lets go of it
/// without a word of leaving; with its heir gone, it goes on there with a later life.
#[test]
fn a_member_releases_its_port_to_a_successor_and_binds_it_again() {
    run(async {
        let directory = directory("heir");
        let other = node(&directory, "other", vec![], "");
        let seeds = vec![other.at];
        let first = node(&directory, "a", seeds.clone(), "");
        let after = |first: &Node| after(&directory, "a", first.at, seeds.clone());
        let second = after(&first);
        assert!(second.handle.driver().is_none(), "the first one has the port");
        let life = |node: &Node| {
            node.handle.driver().map(|driver| driver.inspect(|fleet| fleet.local_member().incarnation))
        };
        let began = life(&first);
        first.shutdown.set_successor(Some(tokio::sync::mpsc::unbounded_channel().0));
        until(|| life(&second) > began).await;
        assert_eq!(life(&first), None);
        until(|| other.figure("alive") == 1).await;
        let third = after(&first);
        second.shutdown.set_successor(Some(tokio::sync::mpsc::unbounded_channel().0));
        until(|| life(&third).is_some()).await;
        let between = life(&third);
        second.shutdown.set_successor(None);
        third.handle.leave();
        until(|| life(&second) > between).await;
        let driver = second.handle.driver().expect("a life");
        driver.put(7, b"again", vec![3]).expect("room");
        until(|| other.value(&second, b"again").is_some()).await;
        std::fs::remove_dir_all(directory).expect("removed");
    });
}
