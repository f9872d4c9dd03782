//! Debug check that the effects of the machines have left nothing undone, by a walk over all requests.

use glenrail_request_lifecycle::request::Timer;

use super::timers::TimerPurpose;
use super::Inner;

impl<R> Inner<R> {
    /// Panics where the state of a request differs from what its machine says.
    pub(super) fn assert_consistent(&self) {
        assert_eq!(self.ids_by_name.len(), self.requests.len(), "a name for each request that is left");
        for (id, request) in &self.requests {
            let machine = &request.machine;
            assert!(!machine.is_finished(), "request {id} has finished and is still stored");
            let attempts = machine.attempts().len();
            assert_eq!(request.calls.len(), attempts, "request {id}: an attempt without its call");
            for timer in [Timer::Deadline, Timer::LeaseLimit] {
                let purpose = TimerPurpose::Request(*id, timer);
                let armed = request.timers.iter().filter(|armed| armed.0 == purpose).count();
                assert_eq!(armed, usize::from(machine.is_armed(timer)), "request {id}: {timer:?}");
            }
        }
    }
}
