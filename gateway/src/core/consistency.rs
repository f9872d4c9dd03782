//! Debug check, over all requests, that the core's state matches the requests' state machines.

use glenrail_request_lifecycle::request::Timer;

use super::timers::TimerPurpose;
use super::Inner;

impl<R> Inner<R> {
    /// Panics if the state of a request differs from its state machine.
    pub(super) fn assert_consistent(&self) {
        assert_eq!(
            self.ids_by_name.len(),
            self.requests.len(),
            "one name is registered for each stored request"
        );
        for (id, request) in &self.requests {
            let machine = &request.machine;
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
