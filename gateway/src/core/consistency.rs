//! Debug check, over all requests, that the core's state matches the requests' state machines.

use std::collections::HashSet;

use glenrail_request_lifecycle::request::Timer;

use super::timers::TimerPurpose;
use super::Inner;

impl<R> Inner<R> {
    /// Panics if the state of a request differs from its state machine.
    pub(super) fn assert_consistent(&self) {
        let names: HashSet<&str> =
            self.requests.values().map(|request| request.payload.request_id.as_str()).collect();
        assert_eq!(names.len(), self.requests.len(), "no two stored requests have the same name");
        for (id, request) in &self.requests {
            let machine = &request.machine;
            let name = &request.payload.request_id;
            assert!(self.request_ids.is_in_use(name), "request {id}: its name {name} is in use");
            assert!(!machine.is_finished(), "request {id} has finished but is still stored");
            let attempts = machine.attempts().len();
            assert_eq!(request.calls.len(), attempts, "request {id}: one call is stored for each attempt");
            for timer in [Timer::Deadline, Timer::LeaseLimit] {
                let purpose = TimerPurpose::Request(*id, timer);
                let armed = request.timers.iter().filter(|armed| armed.0 == purpose).count();
                assert_eq!(
                    armed,
                    usize::from(machine.is_armed(timer)),
                    "request {id}: number of armed {timer:?} timers"
                );
            }
        }
    }
}
