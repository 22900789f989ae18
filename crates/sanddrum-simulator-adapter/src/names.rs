//! Maps the names of requests, workers and functions on the wire to identifiers and back.

use sanddrum::{FunctionId, RequestId, WorkerId};
use serde_json::Value as Json;
use std::collections::HashMap;

/// The name of a request, retained as long as messages may refer to the request.
struct RequestName {
    text: String,
    attempts_in_flight: usize,
    is_finished: bool,
}

/// The names known to one instance. Identifiers of workers and functions are the same at every instance; those of
/// requests are numbered consecutively per instance.
#[derive(Default)]
pub(crate) struct Names {
    request_ids: HashMap<String, RequestId>,
    requests: HashMap<RequestId, RequestName>,
    next_request: u64,
    workers: HashMap<WorkerId, String>,
    functions: HashMap<FunctionId, String>,
}

impl Names {
    /// Assigns an identifier to a new request.
    pub fn add_request(&mut self, text: &str) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.request_ids.insert(text.to_string(), id);
        let name = RequestName {
            text: text.to_string(),
            attempts_in_flight: 0,
            is_finished: false,
        };
        self.requests.insert(id, name);
        id
    }

    /// The identifier of a request; `None` if it has been removed.
    pub fn request_id(&self, text: &str) -> Option<RequestId> {
        self.request_ids.get(text).copied()
    }

    /// Records that an attempt was dispatched.
    pub fn record_dispatch(&mut self, id: RequestId) {
        if let Some(name) = self.requests.get_mut(&id) {
            name.attempts_in_flight += 1;
        }
    }

    /// Records that an attempt ended. `is_final` states whether the request ended with it.
    pub fn record_attempt_end(&mut self, id: RequestId, is_final: bool) {
        if let Some(name) = self.requests.get_mut(&id) {
            name.attempts_in_flight = name.attempts_in_flight.saturating_sub(1);
            name.is_finished |= is_final;
        }
        self.remove_if_done(id);
    }

    /// Records that a request ended; attempts may still be in flight.
    pub fn record_request_end(&mut self, id: RequestId) {
        if let Some(name) = self.requests.get_mut(&id) {
            name.is_finished = true;
        }
        self.remove_if_done(id);
    }

    /// Removes a request if no further message can refer to it.
    fn remove_if_done(&mut self, id: RequestId) {
        let name = self.requests.get(&id);
        if !name.is_some_and(|name| name.is_finished && name.attempts_in_flight == 0) {
            return;
        }
        if let Some(name) = self.requests.remove(&id) {
            self.request_ids.remove(&name.text);
        }
    }

    /// Records the name of a worker.
    pub fn add_worker(&mut self, id: WorkerId, text: &str) {
        self.workers.insert(id, text.to_string());
    }

    /// Records the name of a function.
    pub fn add_function(&mut self, id: FunctionId, text: &str) {
        self.functions.entry(id).or_insert_with(|| text.to_string());
    }

    /// The name of a request on the wire; null if it has been removed.
    pub fn request(&self, id: RequestId) -> Json {
        let name = self.requests.get(&id);
        name.map_or(Json::Null, |name| name.text.as_str().into())
    }

    /// The name of a worker on the wire; null if unknown.
    pub fn worker(&self, id: WorkerId) -> Json {
        let name = self.workers.get(&id);
        name.map_or(Json::Null, |name| name.as_str().into())
    }

    /// The name of a function on the wire; null if unknown.
    pub fn function(&self, id: FunctionId) -> Json {
        let name = self.functions.get(&id);
        name.map_or(Json::Null, |name| name.as_str().into())
    }
}
