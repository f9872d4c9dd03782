//! What each observation proves.

use super::Observation;

const ALL: [Observation; 6] = [
    Observation::Connected,
    Observation::OwnClose,
    Observation::AnswerHere,
    Observation::AnswerElsewhere,
    Observation::ServerClose,
    Observation::Reset,
];

fn which(proves: fn(Observation) -> bool) -> Vec<Observation> {
    ALL.into_iter().filter(|observation| proves(*observation)).collect()
}

/// Guards against the mistake behind four incidents: what is done or seen elsewhere, or done by the gateway itself, proves
/// nothing about this connection; a reset is presumed to.
#[test]
fn only_what_comes_from_the_server_on_the_same_connection_proves_something_about_it() {
    assert_eq!(
        which(Observation::proves_work_ended),
        [Observation::AnswerHere, Observation::ServerClose, Observation::Reset]
    );
    assert_eq!(which(Observation::proves_connection_works), [Observation::AnswerHere]);
    assert_eq!(
        which(Observation::suggests_delivery),
        [Observation::AnswerHere, Observation::AnswerElsewhere]
    );
}
