//! Workers as the endpoint list last named them, and which connections each has.

use super::{MessageOutcome, WorkerConnections};
use crate::context::EdgeContext;
use crate::message::MessageKey;
use sanddrum::{Endpoint, Micros, Outcome, WorkerId, WorkerState};
use sanddrum_upstream::{ListedWorker, WorkerConnectionId};
use sanddrum_wire::{stable_id, EndpointRecord};
use std::collections::BTreeSet;

/// A worker as last listed.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkerEndpoint {
    /// Its name, which its greeting has to state.
    pub name: String,
    /// Its `host:port`.
    pub address: String,
    /// Its connections that are not retired.
    pub connections: BTreeSet<WorkerConnectionId>,
}

impl WorkerConnections {
    /// The name of a listed worker.
    pub fn worker_name(&self, worker: WorkerId) -> Option<&str> {
        let endpoint = self.endpoints.get(&worker)?;
        Some(endpoint.name.as_str())
    }

    /// Whether a listed worker has another address than this record says.
    pub fn has_moved(&self, record: &EndpointRecord) -> bool {
        self.endpoints
            .get(&WorkerId(stable_id(&record.name)))
            .is_some_and(|endpoint| endpoint.address != record.address)
    }

    /// Other workers that are listed at the address of this record.
    pub fn workers_sharing_address(&self, record: &EndpointRecord) -> Vec<WorkerId> {
        let others = self.endpoints.iter().filter(|(_, endpoint)| {
            endpoint.address == record.address && endpoint.name != record.name
        });
        others.map(|(worker, _)| *worker).collect()
    }

    /// Workers that have an endpoint and are not among the listed ones.
    pub fn workers_except(&self, listed: &BTreeSet<WorkerId>) -> Vec<WorkerId> {
        let workers = self.endpoints.keys();
        workers
            .filter(|worker| !listed.contains(worker))
            .copied()
            .collect()
    }

    /// Records a worker as listed.
    pub fn update_endpoint(
        &mut self,
        context: &mut EdgeContext,
        listed: &Endpoint,
        record: &EndpointRecord,
    ) {
        let worker = listed.worker;
        let is_gone = listed.state == WorkerState::Gone;
        let events = &mut context.connection_events;
        if is_gone {
            events.removed_workers.push(worker);
        }
        events.listed_workers.push(ListedWorker {
            worker,
            size: listed.size,
            started_at: listed.started_at,
            is_ready: !is_gone,
        });
        let endpoint = self.endpoints.entry(worker).or_default();
        endpoint.name = record.name.clone();
        endpoint.address = record.address.clone();
    }

    /// The connections of a worker that are not retired.
    pub(super) fn connections_of(&self, worker: WorkerId) -> Vec<WorkerConnectionId> {
        self.endpoints
            .get(&worker)
            .map(|endpoint| endpoint.connections.iter().copied().collect())
            .unwrap_or_default()
    }

    /// Removes all messages to a worker of which nothing was written yet. To be used where it drains, is gone or has
    /// moved.
    pub fn retract_all(&mut self, worker: WorkerId) -> Vec<MessageOutcome> {
        let mut retracted = Vec::new();
        for id in self.connections_of(worker) {
            let Some(connection) = self.connections.get_mut(&id) else {
                continue;
            };
            for key in &connection.in_flight {
                if connection.outbox.remove_unwritten(key) {
                    retracted.push(retracted_message(*key));
                }
            }
        }
        retracted
    }

    /// Retires all connections to a worker: answers that are still to come there are awaited, and nothing new is sent.
    pub fn retire_all(&mut self, context: &mut EdgeContext, now: Micros, worker: WorkerId) {
        for id in self.connections_of(worker) {
            self.retire(context, now, id);
        }
    }

    /// Forgets a worker, so that no connection to it is opened.
    pub fn remove_endpoint(&mut self, worker: WorkerId) {
        self.endpoints.remove(&worker);
    }
}

/// A message that was retracted for its worker's sake. A load command can't be cancelled: it counts as rejected.
fn retracted_message(key: MessageKey) -> MessageOutcome {
    let outcome = match key {
        MessageKey::Load(_) => Outcome::Rejected,
        _ => Outcome::CancelledBeforeStart,
    };
    MessageOutcome { key, outcome }
}
