//! The corners that must be among the explored ones, by name: each is a path that the world allows.

use std::path::Path;

use anyhow::Result;
use glenrail_request_lifecycle::client::Framing;
use glenrail_request_lifecycle::request::{RetrySafety, StreamEnd, Timer};

use crate::request::{Act, Setup};
use crate::{client, trace};

/// A path through the world of a request.
pub struct Corner {
    pub name: &'static str,
    pub about: &'static str,
    pub setup: Setup,
    pub acts: Vec<Act>,
}

const SETUP: Setup = Setup {
    readers: 1,
    writers: 1,
    repeat: RetrySafety::AtMostOnce,
    cancel: true,
    troubles: 3,
    sends: 3,
    cancels: 1,
    releases: 1,
    holds: 1,
    fault: None,
    server_fault: None,
};
const READER: u8 = 0;
const WRITER: u8 = 1;

/// An attempt on its way until its server has all of it.
fn reaches(i: u8, server: u8) -> Vec<Act> {
    vec![Act::Send(server), Act::Dial(i), Act::Up(i), Act::Wrote(i), Act::WroteAll(i)]
}

fn read() -> Vec<Act> {
    [reaches(0, READER), vec![Act::Serves(0), Act::Delivers(0)]].concat()
}

pub fn all() -> Vec<Corner> {
    let corner = |name, about, acts: Vec<Vec<Act>>| Corner { name, about, setup: SETUP, acts: acts.concat() };
    vec![
        corner(
            "cancel-at-first-token",
            "A client's cancel arrives at the same instant as a writer's first token",
            vec![
                read(),
                reaches(1, WRITER),
                vec![Act::Serves(1), Act::ClientGoes, Act::Drops(1), Act::ReleaseArrives],
            ],
        ),
        corner(
            "first-token-just-after-cancel",
            "The first token is delivered to an attempt that has just been called back",
            vec![
                read(),
                reaches(1, WRITER),
                vec![Act::Serves(1), Act::ClientGoes, Act::Delivers(1), Act::ReleaseArrives],
            ],
        ),
        corner(
            "drain-during-state-move",
            "The writer is told to drain while the state moves to it",
            vec![
                read(),
                reaches(1, WRITER),
                vec![Act::DrainTold(WRITER), Act::Serves(1), Act::Delivers(1)],
                vec![Act::StreamEnds(1, StreamEnd::Complete)],
            ],
        ),
        corner(
            "drain-while-dialling",
            "The writer is told to drain while the connection to it comes up: it gets no first byte",
            vec![
                read(),
                vec![Act::Send(WRITER), Act::Dial(1), Act::DrainTold(WRITER), Act::Up(1), Act::Fail],
                vec![Act::ReleaseArrives],
            ],
        ),
        corner(
            "read-ends-well-as-it-is-cut",
            "A read ends well just as its connection is cut, so its state is held and nobody was told",
            vec![
                reaches(0, READER),
                vec![Act::Breaks(0), Act::ServesOrphan(0), Act::ReleaseArrives, Act::Fail],
            ],
        ),
        corner(
            "release-before-the-send-after-it",
            "A release is ordered, then a send: the send waits until the release has arrived",
            vec![
                read(),
                vec![Act::Release, Act::Send(READER), Act::ReleaseArrives, Act::Dial(1), Act::Up(1)],
                vec![Act::WroteAll(1), Act::Serves(1), Act::Delivers(1), Act::Fail, Act::ReleaseArrives],
            ],
        ),
        corner(
            "place-held-after-the-end",
            "A place is held at a writer after its request has ended",
            vec![
                reaches(0, READER),
                vec![Act::Hold(WRITER), Act::ClientGoes, Act::PlaceServed, Act::PlaceSeesCut],
                vec![Act::Drops(0), Act::SeesCut(0), Act::ReleaseArrives],
            ],
        ),
        corner(
            "server-restarts-between-read-and-send",
            "The reader restarts between read and send: the writer finds no state",
            vec![
                read(),
                vec![Act::Restarts(READER)],
                reaches(1, WRITER),
                vec![Act::Serves(1), Act::Delivers(1), Act::Fires(Timer::LeaseLimit)],
                vec![Act::ReleaseArrives, Act::Refuse],
            ],
        ),
        corner(
            "write-in-vain",
            "A write is handed to the machine and never arrives: its state is let go, and it is read and written anew",
            vec![
                read(),
                vec![Act::Send(WRITER), Act::Dial(1), Act::Up(1), Act::WroteInVain(1), Act::Fires(Timer::LeaseLimit)],
                vec![Act::Drops(1), Act::ReleaseArrives, Act::Fail],
            ],
        ),
        corner(
            "slow-first-token",
            "A write has arrived, as a sign shows, and its first token takes longer than its state could wait",
            vec![
                read(),
                reaches(1, WRITER),
                vec![Act::ShowsArrival(1), Act::Serves(1), Act::Delivers(1)],
                vec![Act::StreamEnds(1, StreamEnd::Complete)],
            ],
        ),
        // Found by exploring, each mended in the machine.
        corner(
            "release-ordered-beside-a-write-in-vain",
            "Found: a release that was ordered beside a write in vain waited for its end",
            vec![
                read(),
                vec![Act::Send(WRITER), Act::Dial(1), Act::Up(1), Act::WroteInVain(1), Act::Release],
                vec![Act::Fires(Timer::LeaseLimit), Act::Drops(1), Act::ReleaseArrives, Act::Fail],
            ],
        ),
        corner(
            "place-asked-beside-an-attempt-that-timed-out",
            "Found: a place is held while its call is still out and the attempt beside it has timed out",
            vec![
                vec![Act::Send(READER), Act::Hold(WRITER), Act::TimesOut(0), Act::PlaceServed],
                vec![Act::ReleaseArrives, Act::Fires(Timer::LeaseLimit), Act::ReleaseArrives, Act::Fail],
            ],
        ),
        Corner {
            name: "waiting-attempt-of-a-closed-request",
            about: "Found: where nothing may be called back, an attempt that waited was sent after the end",
            setup: Setup { cancel: false, ..SETUP },
            acts: vec![
                Act::Send(READER),
                Act::TimesOut(0),
                Act::Send(WRITER),
                Act::Fires(Timer::Deadline),
                Act::ReleaseArrives,
            ],
        },
        Corner {
            name: "place-at-another-writer",
            about: "Found: a place at one writer was forgotten when another writer's stream began",
            setup: Setup { writers: 2, ..SETUP },
            acts: [
                reaches(0, READER),
                vec![Act::Hold(2), Act::PlaceServed, Act::PlaceReplies(Some(true))],
                vec![Act::Serves(0), Act::Delivers(0)],
                reaches(1, WRITER),
                vec![Act::Serves(1), Act::Delivers(1), Act::StreamEnds(1, StreamEnd::Complete)],
                vec![Act::ReleaseArrives],
            ]
            .concat(),
        },
        Corner {
            name: "place-call-cut-before-a-stream-ends",
            about: "Found: a release went out at once though a call for a place had just been cut",
            setup: Setup { writers: 2, ..SETUP },
            acts: [
                vec![Act::Send(READER), Act::Hold(2), Act::Dial(0), Act::Up(0), Act::WroteAll(0)],
                vec![Act::Serves(0), Act::Delivers(0)],
                reaches(1, WRITER),
                vec![Act::Serves(1), Act::Delivers(1), Act::ClientGoes],
                vec![Act::StreamEnds(1, StreamEnd::ClientStalled), Act::PlaceServed, Act::PlaceSeesCut],
                vec![Act::ReleaseArrives],
            ]
            .concat(),
        },
        corner(
            "hand-over-between-two-chunks",
            "Another process takes over while a stream stands between two chunks",
            vec![
                read(),
                reaches(1, WRITER),
                vec![Act::Serves(1), Act::Delivers(1), Act::StreamEnds(1, StreamEnd::HandedOver)],
            ],
        ),
    ]
}

/// The same for a client's connection.
pub fn of_client() -> Vec<(&'static str, &'static str, client::Setup, Vec<client::Act>)> {
    use client::Act::*;
    let setup = client::Setup { requests: 2, stalls: 1, fault: None };
    let one = [HeadBegins, HeadEnds(Framing::Complete), Passed];
    let over = vec![StreamLeaves, Stalls(true), Asked, Stalls(false), Asked];
    let next = vec![
        StreamLeaves,
        Pipelines,
        AnswerEnds,
        HeadEnds(Framing::Complete),
        Passed,
        Asked,
        AnswerEnds,
        Due,
    ];
    vec![
        (
            "client-handed-over-between-two-chunks",
            "The client's connection goes over with its stream once what was written is out",
            setup,
            [&one[..], &over].concat(),
        ),
        (
            "client-next-request-after-a-stream-that-could-leave",
            "Found: after an answer that could have gone over, the next request went over unanswered",
            setup,
            [&one[..], &next].concat(),
        ),
    ]
}

/// Writes each as a trace, and tells whether all end as they should.
pub fn write(folder: &Path) -> Result<bool> {
    std::fs::create_dir_all(folder)?;
    let mut well = true;
    for corner in all() {
        let path = folder.join(format!("{}.jsonl", corner.name));
        trace::write(&corner.setup, &corner.acts, corner.about, &path)?;
        well &= trace::replay(&path)?.broke.is_none();
        println!("{}", path.display());
    }
    for (name, about, setup, acts) in of_client() {
        let path = folder.join(format!("{name}.jsonl"));
        trace::write(&setup, &acts, about, &path)?;
        well &= trace::replay(&path)?.broke.is_none();
        println!("{}", path.display());
    }
    Ok(well)
}
