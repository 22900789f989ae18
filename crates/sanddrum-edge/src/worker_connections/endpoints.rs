//! The workers of the endpoint list and their connections.

use super::{MessageOutcome, WorkerConnections};
use crate::context::EdgeContext;
use crate::message::MessageKey;
use sanddrum::{Endpoint, Micros, Outcome, WorkerId, WorkerState};
use sanddrum_upstream::{EndpointChange, ListedWorker, WorkerConnectionId};
use sanddrum_wire::{stable_id, EndpointRecord};
use std::collections::BTreeSet;

/// A worker as listed last.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkerEndpoint {
    /// Its name, which its greeting must match.
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

    /// Whether a known worker has another address than this record states.
    pub fn has_moved(&self, record: &EndpointRecord) -> bool {
        self.endpoints
            .get(&WorkerId(stable_id(&record.name)))
            .is_some_and(|endpoint| endpoint.address != record.address)
    }

    /// Other workers listed at the address of this record.
    pub fn workers_sharing_address(&self, record: &EndpointRecord) -> Vec<WorkerId> {
        let others = self.endpoints.iter().filter(|(_, endpoint)| {
            endpoint.address == record.address && endpoint.name != record.name
        });
        others.map(|(worker, _)| *worker).collect()
    }

    /// Known workers that are not in `listed`.
    pub fn workers_except(&self, listed: &BTreeSet<WorkerId>) -> Vec<WorkerId> {
        let workers = self.endpoints.keys();
        workers
            .filter(|worker| !listed.contains(worker))
            .copied()
            .collect()
    }

    /// Adds or updates a worker from the endpoint list.
    pub fn update_endpoint(
        &mut self,
        context: &mut EdgeContext,
        listed: &Endpoint,
        record: &EndpointRecord,
    ) {
        let worker = listed.worker;
        let change = if listed.state == WorkerState::Gone {
            EndpointChange::Removed(worker)
        } else {
            EndpointChange::Listed(ListedWorker {
                worker,
                size: listed.size,
                started_at: listed.started_at,
            })
        };
        context.connection_events.endpoint_changes.push(change);
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

    /// Removes all messages to a worker of which no byte has been written. Used when the worker is draining, gone or
    /// has moved.
    pub fn retract_all(&mut self, worker: WorkerId) -> Vec<MessageOutcome> {
        let mut retracted = Vec::new();
        for id in self.connections_of(worker) {
            let Some(connection) = self.connections.get_mut(&id) else {
                continue;
            };
            for key in connection.in_flight.keys() {
                if connection.outbox.remove_unwritten(key) {
                    retracted.push(retracted_message(*key));
                }
            }
        }
        retracted
    }

    /// Retires all connections to a worker: they take no new messages, and are closed once nothing is in flight.
    pub fn retire_all(&mut self, context: &mut EdgeContext, now: Micros, worker: WorkerId) {
        for id in self.connections_of(worker) {
            self.retire(context, now, id);
        }
    }

    /// Removes a worker, so that no connection to it is opened.
    pub fn remove_endpoint(&mut self, worker: WorkerId) {
        self.endpoints.remove(&worker);
    }
}

/// The outcome of a message retracted because of a change of its worker. A load command counts as rejected, as load
/// commands can't be cancelled.
fn retracted_message(key: MessageKey) -> MessageOutcome {
    let outcome = match key {
        MessageKey::Load(_) => Outcome::Rejected,
        _ => Outcome::CancelledBeforeStart,
    };
    MessageOutcome::of_unread(key, outcome)
}
