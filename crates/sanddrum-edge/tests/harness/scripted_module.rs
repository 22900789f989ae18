//! A fake decision module that makes the decisions of a test and records the events it receives.

use super::fastcgi::TIME_LIMIT;
use super::worker_id;
use sanddrum::{
    AttemptLimits, AttemptResult, Decisions, EndpointConfirmation, EndpointList, EventBatch,
    FunctionId, HealthCheckResult, LoadResult, Micros, Request, RequestId, WorkerId,
    NO_SEND_DEADLINE,
};
use sanddrum_edge::DecisionModule;
use sanddrum_wire::stable_id;
use std::cell::RefCell;
use std::rc::Rc;

/// A decision for the module to make. Requests are named by id.
#[derive(Clone, Copy, Debug)]
pub enum Decision {
    /// Dispatches a request to the worker `w` within a time limit.
    Dispatch(u64, Micros),
    /// Dispatches a request within a time limit to the worker of this name.
    DispatchTo(u64, Micros, &'static str),
    /// Dispatches a request to the worker `w`, to be sent before this instant.
    DispatchBefore(u64, Micros),
    /// Cancels an attempt of a request, by its index.
    Cancel(u64, usize),
    /// Rejects a request.
    Reject(u64),
    /// Fails a request.
    Fail(u64),
    /// Loads this many instances of the last request's function at `w`.
    Load(u32),
    /// Loads this many instances of the last request's function at `w`, to be sent before this instant.
    LoadBefore(u32, Micros),
    /// Checks the health of `w`.
    CheckHealth,
}

/// The decisions to make, and all events received so far.
#[derive(Default)]
pub struct Script {
    pub planned: Vec<Decision>,
    pub attempt_results: Vec<AttemptResult>,
    pub load_results: Vec<LoadResult>,
    pub health_check_results: Vec<HealthCheckResult>,
    pub requests: Vec<Request>,
    pub cancelled: Vec<RequestId>,
    pub lost_workers: Vec<WorkerId>,
    pub endpoint_lists: Vec<EndpointList>,
    pub confirmations: Vec<EndpointConfirmation>,
}

impl Script {
    fn record(&mut self, batch: &EventBatch) {
        self.attempt_results.extend(&batch.attempt_results);
        self.confirmations.extend(batch.endpoint_confirmation);
        self.load_results.extend(&batch.load_results);
        self.health_check_results
            .extend(&batch.health_check_results);
        self.requests.extend(&batch.requests);
        self.cancelled.extend(&batch.cancelled);
        self.lost_workers.extend(&batch.lost_workers);
        self.endpoint_lists
            .extend(batch.endpoint_lists.iter().cloned());
    }

    /// The function of the last request; `job/f1` before the first one.
    fn last_function(&self) -> FunctionId {
        self.requests
            .last()
            .map_or(FunctionId(stable_id("job/f1")), |request| request.function)
    }
}

/// A decision module that follows a [`Script`].
pub struct ScriptedModule(Rc<RefCell<Script>>);

impl ScriptedModule {
    /// Creates a module that follows a script.
    pub fn new(script: Rc<RefCell<Script>>) -> Self {
        ScriptedModule(script)
    }
}

impl DecisionModule for ScriptedModule {
    fn handle(&mut self, _: Micros, batch: &EventBatch, decisions: &mut impl Decisions) {
        let mut script = self.0.borrow_mut();
        script.record(batch);
        let function = script.last_function();
        for decision in std::mem::take(&mut script.planned) {
            match decision {
                Decision::Dispatch(id, time_limit) => {
                    let limits = AttemptLimits::without_send_deadline(time_limit);
                    decisions.dispatch(RequestId(id), worker_id(), limits);
                }
                Decision::DispatchTo(id, time_limit, name) => {
                    let worker = WorkerId(stable_id(name));
                    let limits = AttemptLimits::without_send_deadline(time_limit);
                    decisions.dispatch(RequestId(id), worker, limits);
                }
                Decision::DispatchBefore(id, send_deadline) => {
                    let limits = AttemptLimits {
                        time_limit: TIME_LIMIT,
                        send_deadline,
                    };
                    decisions.dispatch(RequestId(id), worker_id(), limits);
                }
                Decision::Cancel(id, attempt) => decisions.cancel(RequestId(id), attempt),
                Decision::Reject(id) => decisions.reject(RequestId(id), 300_000),
                Decision::Fail(id) => decisions.fail(RequestId(id)),
                Decision::Load(instances) => {
                    decisions.load(worker_id(), function, instances, NO_SEND_DEADLINE);
                }
                Decision::LoadBefore(instances, send_deadline) => {
                    decisions.load(worker_id(), function, instances, send_deadline);
                }
                Decision::CheckHealth => decisions.check_health(worker_id()),
            }
        }
    }
}
