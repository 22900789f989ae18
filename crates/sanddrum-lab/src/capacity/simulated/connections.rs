//! Connections from simulated routers to simulated workers, managed by the real connection policy.

use super::super::decision_host::{MessageTag, WorkerConnection};
use super::*;
use sanddrum_upstream::{
    ConnectionRequest, ConnectionUtilization, Decisions, EndpointChange, EstablishedConnection,
    ListedWorker, OutdatedConnection, Purpose, RejectReason, WorkerConnectionId,
};
use std::cmp::Reverse;

/// The decisions of the connection policy, carried out after its round.
#[derive(Default)]
struct CollectedDecisions(Vec<ConnectionDecision>);

enum ConnectionDecision {
    Open(WorkerConnectionId),
    Prewarm(WorkerId),
    Reject(WorkerConnectionId, RejectReason),
    Retire(WorkerConnectionId),
    WakeAt(Micros),
}

impl Decisions for CollectedDecisions {
    fn open(&mut self, connection: WorkerConnectionId) {
        self.0.push(ConnectionDecision::Open(connection));
    }
    fn prewarm(&mut self, worker: WorkerId) {
        self.0.push(ConnectionDecision::Prewarm(worker));
    }
    fn reject(&mut self, connection: WorkerConnectionId, reason: RejectReason) {
        self.0.push(ConnectionDecision::Reject(connection, reason));
    }
    fn retire(&mut self, old: OutdatedConnection) {
        if let OutdatedConnection::Worker(connection) = old {
            self.0.push(ConnectionDecision::Retire(connection));
        }
    }
    fn wake_at(&mut self, at: Micros) {
        self.0.push(ConnectionDecision::WakeAt(at));
    }
}

impl Fleet {
    /// Queues a message to a worker on the least-used connection, or on a new one if all are full.
    ///
    /// # Errors
    /// The outcome if the worker can't be contacted.
    pub(super) fn send(
        &mut self,
        router: usize,
        worker: WorkerId,
        tag: MessageTag,
        message: Message,
        due: Micros,
    ) -> Result<WorkerConnectionId, Outcome> {
        let streams = self.model.max_streams;
        let host = &self.hosts[router];
        let targets = host.targets.get(&worker).ok_or(Outcome::NoConnection)?;
        let connections = targets
            .iter()
            .filter_map(|id| Some((id, host.connections.get(id)?)));
        let least = connections
            .map(|(id, connection)| {
                (
                    connection.in_flight.len(),
                    Reverse(connection.idle_since),
                    *id,
                )
            })
            .min();
        let id = match least.filter(|(in_flight, ..)| *in_flight < streams) {
            Some((.., id)) => id,
            None => self.new_connection(router, worker)?,
        };
        let host = &mut self.hosts[router];
        let connection = host.connections.get_mut(&id).ok_or(Outcome::NoConnection)?;
        connection.unsent.push((tag, message));
        if tag != MessageTag::Unanswered {
            connection.in_flight.insert(tag);
        }
        let purpose = if matches!(tag, MessageTag::Attempt(_)) {
            Purpose::Request
        } else {
            Purpose::Control
        };
        let utilization = connection.in_flight.len() as f64 / streams as f64;
        if !connection.open_started {
            host.connection_events.requested.push(ConnectionRequest {
                connection: id,
                worker,
                purpose,
                deadline: due,
            });
        }
        host.connection_events
            .utilization
            .push(ConnectionUtilization {
                worker,
                utilization,
            });
        host.connections_to_flush.insert(id);
        Ok(id)
    }
    /// Queues a message without an answer on a given connection, if that still exists.
    pub(super) fn send_unanswered(
        &mut self,
        router: usize,
        id: WorkerConnectionId,
        message: Message,
    ) {
        let host = &mut self.hosts[router];
        if let Some(connection) = host.connections.get_mut(&id) {
            connection.unsent.push((MessageTag::Unanswered, message));
            host.connections_to_flush.insert(id);
        }
    }
    fn new_connection(
        &mut self,
        router: usize,
        worker: WorkerId,
    ) -> Result<WorkerConnectionId, Outcome> {
        let (now, max_connections) = (self.now, self.model.max_connections);
        let to = self
            .by_id
            .get(&worker)
            .copied()
            .ok_or(Outcome::NoConnection)?;
        let host = &mut self.hosts[router];
        let target = host.targets.get_mut(&worker).ok_or(Outcome::NoConnection)?;
        if target.len() >= max_connections {
            return Err(Outcome::Rejected);
        }
        host.connections_created += 1;
        let id = WorkerConnectionId(host.connections_created);
        target.insert(id);
        host.connections
            .insert(id, WorkerConnection::new(to, worker, now));
        Ok(id)
    }
    /// Removes an attempt that isn't written yet from its connection; returns whether there was one.
    pub(super) fn unsend(&mut self, router: usize, id: u64) -> bool {
        let host = &mut self.hosts[router];
        let Some(connection) = host
            .attempts
            .get(&id)
            .and_then(|attempt| host.connections.get_mut(&attempt.connection))
        else {
            return false;
        };
        let before = connection.unsent.len();
        connection
            .unsent
            .retain(|(tag, _)| *tag != MessageTag::Attempt(id));
        connection.unsent.len() < before
    }
    /// Marks a message on a connection as finished.
    pub(super) fn release(&mut self, router: usize, id: WorkerConnectionId, tag: MessageTag) {
        let now = self.now;
        let Some(connection) = self.hosts[router].connections.get_mut(&id) else {
            return;
        };
        connection.in_flight.remove(&tag);
        connection.idle_since = now;
        if connection.retired && connection.in_flight.is_empty() {
            self.schedule(
                now,
                Event::CheckConnection {
                    router,
                    connection: id,
                },
            );
        }
    }

    /// Runs a round of the connection policy if its timer is due or it has events.
    pub(super) fn run_connection_policy(&mut self, router: usize) {
        let now = self.now;
        let host = &mut self.hosts[router];
        let due = host.connection_wake.is_some_and(|at| at <= now);
        if !due && host.connection_events.is_empty() {
            return;
        }
        host.connection_wake = None;
        let (events, mut decided) = (
            std::mem::take(&mut host.connection_events),
            CollectedDecisions::default(),
        );
        let start = ThreadCpuClock::now();
        host.connection_policy.handle(now, &events, &mut decided);
        host.counts.connection_nanoseconds += self.clock.elapsed_since(start);
        for decision in decided.0 {
            match decision {
                ConnectionDecision::Open(connection) => self.open_connection(router, connection),
                ConnectionDecision::Prewarm(worker) => self.prewarm_connection(router, worker),
                ConnectionDecision::Reject(connection, reason) => {
                    let outcome = if reason == RejectReason::HandshakeBudget {
                        Outcome::Rejected
                    } else {
                        Outcome::NoConnection
                    };
                    self.end_connection(router, connection, outcome);
                }
                ConnectionDecision::Retire(connection) => {
                    self.retire_connection(router, connection)
                }
                ConnectionDecision::WakeAt(at) => {
                    let wake = &mut self.hosts[router].connection_wake;
                    *wake = Some(wake.map_or(at, |set| set.min(at)));
                }
            }
        }
    }
    fn open_connection(&mut self, router: usize, id: WorkerConnectionId) {
        let now = self.now;
        let hellos = self.message_sizes.hello_exchange;
        let host = &mut self.hosts[router];
        let zone = host.zone;
        let Some(connection) = host
            .connections
            .get_mut(&id)
            .filter(|connection| !connection.open_started)
        else {
            return;
        };
        let worker = &self.workers[connection.to];
        (connection.open_started, connection.incarnation) = (true, worker.incarnation);
        let (up, to_zone) = (worker.up, worker.zone);
        host.counts.handshakes += 1;
        (host.counts.messages, host.counts.bytes) =
            (host.counts.messages + 2, host.counts.bytes + hellos);
        if up {
            let latency = self.latency_between(zone, to_zone);
            self.schedule(
                now + 2 * latency,
                Event::ConnectionUp {
                    router,
                    connection: id,
                },
            );
        }
        self.schedule(
            now + self.model.connect_timeout,
            Event::CheckConnection {
                router,
                connection: id,
            },
        );
    }
    fn prewarm_connection(&mut self, router: usize, worker: WorkerId) {
        let host = &self.hosts[router];
        let Some(target) = host.targets.get(&worker) else {
            return;
        };
        let is_opening = target
            .iter()
            .filter_map(|id| host.connections.get(id))
            .any(|connection| !connection.up);
        if is_opening || target.len() >= self.model.max_connections {
            return;
        }
        if let Ok(connection) = self.new_connection(router, worker) {
            let due = self.now + self.model.connect_timeout;
            self.hosts[router]
                .connection_events
                .requested
                .push(ConnectionRequest {
                    connection,
                    worker,
                    purpose: Purpose::Prewarm,
                    deadline: due,
                });
        }
    }
    pub(super) fn connection_up(&mut self, router: usize, id: WorkerConnectionId) {
        let (now, host) = (self.now, &mut self.hosts[router]);
        if let Some(connection) = host.connections.get_mut(&id) {
            (connection.up, connection.idle_since) = (true, now);
            host.connection_events
                .established
                .push(EstablishedConnection {
                    connection: id,
                    resumed: false,
                });
            host.connections_to_flush.insert(id);
            self.routers_to_process.insert(router);
        }
    }
    /// Ends a connection that isn't established in time, has been idle for too long, or is retired and unused.
    pub(super) fn check_connection(&mut self, router: usize, id: WorkerConnectionId) {
        let (now, idle_close) = (self.now, self.model.idle_close);
        let Some(connection) = self.hosts[router].connections.get(&id) else {
            return;
        };
        self.routers_to_process.insert(router);
        let idle = connection.idle_since + idle_close;
        if !connection.up && connection.open_started && !connection.retired {
            return self.end_connection(router, id, Outcome::NoConnection);
        }
        let empty = connection.in_flight.is_empty();
        if empty && (connection.retired || (connection.unsent.is_empty() && idle <= now)) {
            return self.end_connection(router, id, Outcome::Reset);
        }
        if !connection.retired {
            let next_check = if empty { idle } else { now + idle_close };
            self.schedule(
                next_check.max(now + 1),
                Event::CheckConnection {
                    router,
                    connection: id,
                },
            );
        }
    }
    /// Removes a connection and ends everything on it with this outcome.
    pub(super) fn end_connection(
        &mut self,
        router: usize,
        id: WorkerConnectionId,
        outcome: Outcome,
    ) {
        let host = &mut self.hosts[router];
        let Some(connection) = host.connections.remove(&id) else {
            return;
        };
        host.connections_to_flush.remove(&id);
        if let Some(target) = host.targets.get_mut(&connection.worker) {
            target.remove(&id);
        }
        let failed = connection.open_started && !connection.up && !connection.retired;
        if failed {
            &mut host.connection_events.failed
        } else {
            &mut host.connection_events.closed
        }
        .push(id);
        for tag in connection.in_flight {
            match tag {
                MessageTag::Attempt(id) => self.end_attempt(router, id, outcome),
                MessageTag::Load(id) => self.end_load(router, id, outcome, 0),
                MessageTag::HealthCheck(id) => self.end_health_check(router, id, outcome, None),
                MessageTag::Unanswered => {}
            }
        }
        self.routers_to_process.insert(router);
    }
    fn retire_connection(&mut self, router: usize, id: WorkerConnectionId) {
        let host = &mut self.hosts[router];
        let Some(connection) = host.connections.get_mut(&id) else {
            return;
        };
        connection.retired = true;
        if let Some(target) = host.targets.get_mut(&connection.worker) {
            target.remove(&id);
        }
        self.schedule(
            self.now,
            Event::CheckConnection {
                router,
                connection: id,
            },
        );
    }
    /// Sends the queued messages of established connections.
    pub(super) fn flush(&mut self, router: usize) {
        let now = self.now;
        for id in std::mem::take(&mut self.hosts[router].connections_to_flush) {
            let zone = self.hosts[router].zone;
            let Some(connection) = self.hosts[router]
                .connections
                .get_mut(&id)
                .filter(|connection| connection.up)
            else {
                continue;
            };
            let (worker, incarnation) = (connection.to, connection.incarnation);
            let unsent = std::mem::take(&mut connection.unsent);
            let latency = self.latency_between(zone, self.workers[worker].zone);
            for (_, message) in unsent {
                self.schedule(
                    now + latency,
                    Event::ToWorker {
                        worker,
                        incarnation,
                        router,
                        message,
                    },
                );
            }
        }
    }

    /// Applies an endpoint list to the connections: updates the targets, and withdraws unsent messages to workers that
    /// are no longer ready.
    pub(super) fn apply_endpoint_list(&mut self, router: usize, list: &EndpointList) {
        for row in &list.endpoints {
            let (worker, is_present) = (row.worker, row.state != WorkerState::Gone);
            let host = &mut self.hosts[router];
            let change = if is_present {
                EndpointChange::Listed(ListedWorker {
                    worker,
                    size: row.size,
                    started_at: row.started_at,
                })
            } else {
                EndpointChange::Removed(worker)
            };
            host.connection_events.endpoint_changes.push(change);
            host.targets.entry(worker).or_default();
            if row.state == WorkerState::Ready {
                continue;
            }
            self.unsend_from_worker(router, worker);
            if !is_present {
                let connections = self.hosts[router]
                    .targets
                    .remove(&worker)
                    .unwrap_or_default();
                connections
                    .into_iter()
                    .for_each(|id| self.retire_connection(router, id));
            }
        }
    }
    fn unsend_from_worker(&mut self, router: usize, worker: WorkerId) {
        let host = &mut self.hosts[router];
        let mut withdrawn = Vec::new();
        for id in host.targets.get(&worker).into_iter().flatten() {
            if let Some(connection) = host.connections.get_mut(id) {
                withdrawn.extend(
                    connection
                        .unsent
                        .iter()
                        .map(|(tag, _)| *tag)
                        .filter(|tag| *tag != MessageTag::Unanswered),
                );
                connection
                    .unsent
                    .retain(|(tag, _)| *tag == MessageTag::Unanswered);
            }
        }
        for tag in withdrawn {
            match tag {
                MessageTag::Attempt(id) => {
                    self.end_attempt(router, id, Outcome::CancelledBeforeStart)
                }
                MessageTag::Load(id) => self.end_load(router, id, Outcome::Rejected, 0),
                MessageTag::HealthCheck(id) => {
                    self.end_health_check(router, id, Outcome::CancelledBeforeStart, None)
                }
                MessageTag::Unanswered => {}
            }
        }
    }
    /// Breaks all connections to a worker whose process has ended.
    pub(super) fn break_connections(&mut self, worker: usize) {
        for router in 0..self.hosts.len() {
            let host = &self.hosts[router];
            let at = self.now + self.latency_between(host.zone, self.workers[worker].zone);
            let of = |(id, connection): (&WorkerConnectionId, &WorkerConnection)| {
                (connection.to == worker).then_some(*id)
            };
            let broken: Vec<WorkerConnectionId> = host.connections.iter().filter_map(of).collect();
            broken.into_iter().for_each(|connection| {
                self.schedule(at, Event::ConnectionBroken { router, connection });
            });
        }
    }
}
