//! What is decided about many routers that cannot see each other: how many homes a beginning has when nobody's own
//! counts show how hot it is, and whom to look at before a request is sent. No clock, no state, no I/O.

use crate::api::Ms;
use crate::state::median;

/// Own counts stand for the whole while the escape's floor, divided among the routers, is a request or more.
const FEW_ROUTERS: f64 = 4.0;
/// Homes of a beginning: what is asked for once among few requests is taken to be one of so many alike.
const ALIKE: f64 = 30.0;
/// Homes of a beginning among many routers, at least: its next one is read there already when the first is crowded.
const HOMES: usize = 2;
/// Crowded: in flight exceeds this many times the median, and the median plus this many.
const TIMES: f64 = 2.0;
const FLOOR: f64 = 4.0;
/// Loads of so many servers make a median; those not yet heard from are taken to have this much in flight.
const HEARD: usize = 5;
const USUAL: f64 = 1.0;
/// Looks for one request; an answer is waited for so long (ms). Who is slower than that is taken for busy.
pub const LOOKS: usize = 3;
pub const LOOK_WAIT: Ms = 120.0;
/// A load seen so long ago needs no second look (ms): a report is refreshed about as seldom.
pub const SEEN: Ms = 500.0;

/// Whether each router's own counts are too few to tell what all together do.
pub fn thin(routers: f64) -> bool {
    routers > FEW_ROUTERS
}

/// How many of `readers` a beginning is read at: its share of all requests, in reader's parts. `asked` of `all`
/// own requests were for it, this one included. Among many routers a count of one or two says little, so it is
/// weighed against what one of many alike would show; the more a router has seen, the more its own count tells.
pub fn homes(asked: f64, all: f64, readers: usize, routers: f64, parts: f64) -> usize {
    let most = readers.max(1);
    if !thin(routers) {
        // The request itself is counted already and tells nothing of how often its like come.
        let share = (asked - 1.0) / all.max(1.0);
        return ((share * readers as f64 / parts).round() as usize).clamp(1, most);
    }
    let share = asked / (all + ALIKE);
    ((share * readers as f64 / parts).ceil() as usize).max(HOMES).clamp(1, most)
}

/// Whether a server with so much in flight is clearly above the others, whose loads were heard of late. Of too few
/// the hot one would be the median itself.
pub fn crowded(load: f64, mut heard: Vec<f64>) -> bool {
    heard.resize(heard.len().max(HEARD), USUAL);
    let middle = median(heard);
    load > (TIMES * middle).max(middle + FLOOR)
}

/// What is known of a server that a request may go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sight {
    /// In flight there, as far as known, and whether that is crowded.
    Seen(f64, bool),
    /// Nothing fresh, and nobody has asked.
    Unseen,
    /// Asked, and the answer may still come.
    Asked,
    /// Asked, and it did not answer in time, or not well.
    Deaf,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// To the candidate of this number.
    Send(usize),
    /// First look at this one.
    Look(usize),
    Wait,
}

/// The next step for a request whose candidates stand in the order in which all routers would try them: the first
/// that is not crowded gets it. So a hot home overflows to the same next home from every router, and its load is
/// told by the server, not guessed from a router's own few requests. When none of the first few will do, the least
/// loaded of them; when none of them answers, the next in order, unseen.
pub fn next(candidates: &[Sight], may_look: bool) -> Next {
    let first = candidates.get(..LOOKS).unwrap_or(candidates);
    for (n, sight) in first.iter().enumerate() {
        match sight {
            Sight::Seen(_, false) => return Next::Send(n),
            Sight::Seen(_, true) | Sight::Deaf => {}
            Sight::Asked => return Next::Wait,
            Sight::Unseen if may_look => return Next::Look(n),
            Sight::Unseen => return Next::Send(n),
        }
    }
    let load = |s: &Sight| if let Sight::Seen(load, _) = s { Some(*load) } else { None };
    let seen = first.iter().enumerate().filter_map(|(n, s)| Some((n, load(s)?)));
    let least = seen.min_by(|a, b| a.1.total_cmp(&b.1)).map(|s| s.0);
    Next::Send(least.unwrap_or(if candidates.len() > LOOKS { LOOKS } else { 0 }))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn sight() -> impl Strategy<Value = Sight> {
        prop_oneof![
            (0.0..80.0, any::<bool>()).prop_map(|(load, crowded)| Sight::Seen(load, crowded)),
            Just(Sight::Unseen),
            Just(Sight::Asked),
            Just(Sight::Deaf),
        ]
    }

    proptest! {
        /// Whatever is seen, a request goes to one of its candidates, never past one that would do, and what was
        /// asked is never asked again.
        #[test]
        fn the_first_that_will_do_gets_it(sights in prop::collection::vec(sight(), 1..8), may_look: bool) {
            match next(&sights, may_look) {
                Next::Send(n) => {
                    prop_assert!(n < sights.len() && n <= LOOKS);
                    let will_do = |s: &Sight| matches!(s, Sight::Seen(_, false) | Sight::Asked);
                    prop_assert!(!sights[..n.min(LOOKS)].iter().any(will_do));
                    if let Sight::Seen(load, true) = sights[n] {
                        let less = |s: &Sight| matches!(s, Sight::Seen(other, _) if *other < load);
                        prop_assert!(!sights.iter().take(LOOKS).any(less));
                    }
                }
                Next::Look(n) => prop_assert!(may_look && sights[n] == Sight::Unseen),
                Next::Wait => prop_assert!(sights.contains(&Sight::Asked)),
            }
        }

        /// Asking on behalf of a request comes to an end: each answer or silence brings it a step on.
        #[test]
        fn looks_come_to_an_end(answers in prop::collection::vec(sight(), 1..8)) {
            let mut sights = vec![Sight::Unseen; answers.len()];
            for _ in 0..=LOOKS {
                match next(&sights, true) {
                    Next::Send(_) => return Ok(()),
                    Next::Look(n) => {
                        let heard = matches!(answers[n], Sight::Seen(..));
                        sights[n] = if heard { answers[n] } else { Sight::Deaf };
                    }
                    Next::Wait => prop_assert!(false, "nothing is out"),
                }
            }
            prop_assert!(false, "still looking: {sights:?}");
        }

        /// More requests for a beginning never take a home away, and there are never more homes than readers.
        #[test]
        fn homes_grow_with_what_is_asked(asked in 1.0..50.0, more in 0.0..50.0, others in 0.0..200.0,
                                         readers in 1usize..200, routers in 1.0..400.0) {
            let few = homes(asked, asked + others, readers, routers, 1.0);
            let many = homes(asked + more, asked + more + others, readers, routers, 1.0);
            prop_assert!(1 <= few && few <= many && many <= readers);
        }

        /// A server is not crowded for having what the others have, give or take the floor.
        #[test]
        fn the_usual_load_is_not_crowded(loads in prop::collection::vec(0.0..60.0, 1..40)) {
            let middle = median(loads.clone());
            let few = loads.len() < HEARD;
            prop_assert!(few || !crowded(middle, loads.clone()) && !crowded(middle + FLOOR, loads.clone()));
            prop_assert!(crowded(TIMES * middle.max(USUAL) + FLOOR + 0.1, loads));
        }
    }
}
