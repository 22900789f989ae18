//! Connections to workers: opened as needed, capped, closed when idle; and how whatever was out on one ended.

mod closing;
mod control_commands;
mod deadline_refresh;
mod retraction;
mod send_checks;

use crate::requests::report_of;
use crate::worker_protocol::MessageDecoder;
use crate::{EdgeState, Owner, Timer};
use sanddrum::{
    Endpoint, FunctionId, HealthCheckResult, LoadReport, Micros, Outcome, WorkerId, WorkerState,
};
use sanddrum_net::{CloseCause, ConnectionId, Event, Io, Outbox};
use sanddrum_upstream::{
    ConnectionEvents, ConnectionRequest, ConnectionUtilization, EstablishedConnection,
    ListedWorker, OutdatedConnection, Purpose, RejectReason, RotationRequest, WorkerConnectionId,
    WorkerLoad,
};
use sanddrum_wire::{self as wire, EndpointRecord, FromWorker, Hello, VERSION};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// An attempt that nobody waits for any more begins no later than this: the tenth of a second that the users allow,
/// less a fifth of it for the way.
const WRITTEN_SOON: Micros = 80_000;

/// A piece of what is written to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum MessageKey {
    Attempt(u64),
    Load(u64),
    HealthCheck(u64),
    /// Gives an execution up. It is written at once or the connection ends, which gives up as well.
    Cancel,
    Untracked,
}

/// Something to be written to a worker.
pub(crate) struct OutboundMessage<'a> {
    pub mark: MessageKey,
    /// Under which the worker answers it.
    pub id: u64,
    pub bytes: &'a [u8],
}

struct WorkerConnection {
    worker: WorkerId,
    /// None while it waits to be begun.
    conn: Option<ConnectionId>,
    out: Outbox<MessageKey>,
    frames: MessageDecoder,
    /// What is out on it and wants an answer.
    in_flight: BTreeSet<MessageKey>,
    /// The same by the ids that answers name, where those are not our own.
    ids: BTreeMap<u64, MessageKey>,
    /// Ids that have had their end here, and until when an answer under them may still come. Guards against a second
    /// answer to one attempt, taken for the answer to a later one: what runs then would count as never run.
    retired_ids: BTreeMap<u64, Micros>,
    is_connected: bool,
    /// It gets nothing new, and ends once it carries nothing.
    is_retired: bool,
    idle_since: Micros,
    /// How long it had carried nothing before what it carries now.
    idle_before: Micros,
    /// Since when it carries something.
    busy_since: Micros,
}

/// A worker as the list last named it.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerEndpoint {
    pub name: String,
    pub address: String,
    connections: BTreeSet<WorkerConnectionId>,
}

struct ControlCommand {
    worker: WorkerId,
    function: FunctionId,
    connection: WorkerConnectionId,
    sent: Micros,
    due: Micros,
}

#[derive(Default)]
pub(crate) struct WorkerConnections {
    connections: BTreeMap<WorkerConnectionId, WorkerConnection>,
    endpoints: BTreeMap<WorkerId, WorkerEndpoint>,
    loads: BTreeMap<u64, ControlCommand>,
    health_checks: BTreeMap<u64, ControlCommand>,
    next_command: u64,
    next_connection: u64,
    dirty: BTreeSet<WorkerConnectionId>,
    /// Those on which something is given up; they are written to first.
    cancels_first: BTreeSet<WorkerConnectionId>,
    /// What the connection module is to hear in its next round.
    pub events: ConnectionEvents,
}

impl WorkerConnections {
    pub fn all(&self) -> usize {
        self.connections.len()
    }
    /// The connection that has carried nothing for longest and may end.
    fn longest_idle(&self) -> Option<WorkerConnectionId> {
        let idle = self
            .connections
            .iter()
            .filter(|(_, l)| l.is_connected && !l.is_retired && l.in_flight.is_empty());
        idle.min_by_key(|(id, l)| (l.idle_since, **id))
            .map(|(id, _)| *id)
    }
    pub fn name(&self, worker: WorkerId) -> Option<&str> {
        self.endpoints.get(&worker).map(|t| t.name.as_str())
    }
    /// Whether a worker is called elsewhere than this row says.
    pub fn address_changed(&self, record: &EndpointRecord) -> bool {
        let endpoint = self.endpoints.get(&WorkerId(wire::stable_id(&record.name)));
        endpoint.is_some_and(|endpoint| endpoint.address != record.address)
    }
    /// Other workers called at this address.
    pub fn others_at_address(&self, record: &EndpointRecord) -> Vec<WorkerId> {
        let others = self
            .endpoints
            .iter()
            .filter(|(_, t)| t.address == record.address && t.name != record.name);
        others.map(|(worker, _)| *worker).collect()
    }
    /// A worker as listed.
    pub fn update_endpoint(&mut self, endpoint: &Endpoint, name: &str, address: &str) {
        let Endpoint {
            worker,
            size,
            state,
            started_at: started,
            ..
        } = *endpoint;
        if state == WorkerState::Gone {
            self.events.removed_workers.push(worker);
        }
        self.events.listed_workers.push(ListedWorker {
            worker,
            size,
            started_at: started,
            is_ready: state != WorkerState::Gone,
        });
        let endpoint = self.endpoints.entry(worker).or_default();
        (endpoint.name, endpoint.address) = (name.to_string(), address.to_string());
    }
    /// Takes an execution back of which nothing was written.
    pub fn retract_attempt(&mut self, connection: WorkerConnectionId, attempt: u64) -> bool {
        self.retract_message(connection, &MessageKey::Attempt(attempt))
    }
    /// Whether an execution is not written to its last byte.
    fn has_unwritten(&self, connection: WorkerConnectionId, attempt: u64) -> bool {
        self.connections
            .get(&connection)
            .is_some_and(|connection| connection.out.is_pending(&MessageKey::Attempt(attempt)))
    }
    fn retract_message(&mut self, connection: WorkerConnectionId, mark: &MessageKey) -> bool {
        self.connections
            .get_mut(&connection)
            .is_some_and(|connection| connection.out.remove_unwritten(mark))
    }
    /// What a link carried has ended, and its id is not used there again until then; `true` where a retired one has
    /// nothing more to wait for.
    fn finish_message(
        &mut self,
        id: WorkerConnectionId,
        mark: MessageKey,
        now: Micros,
        until: Micros,
    ) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        connection.in_flight.remove(&mark);
        connection.retired_ids.retain(|_, until| *until > now);
        let ended = connection
            .ids
            .iter()
            .find(|(_, of)| **of == mark)
            .map(|(id, _)| *id);
        if let Some(id) = ended {
            connection.ids.remove(&id);
            connection.retired_ids.insert(id, until);
        }
        (connection.idle_since, connection.idle_before) = (now, 0);
        connection.is_retired && connection.in_flight.is_empty()
    }
    /// The connection to a worker that carries the least, if one has room.
    fn least_loaded(
        &self,
        worker: WorkerId,
        streams: usize,
        piece: &OutboundMessage<'_>,
        fresh: impl Fn(Micros) -> bool,
    ) -> Option<WorkerConnectionId> {
        let connections = self.endpoints.get(&worker)?.connections.iter();
        let connections = connections
            .filter_map(|id| self.connections.get(id).map(|connection| (id, connection)));
        // One id stands for one thing on a connection.
        let used = |connection: &WorkerConnection| {
            connection.ids.contains_key(&piece.id) || connection.retired_ids.contains_key(&piece.id)
        };
        let free = connections
            .filter(|(_, connection)| piece.mark == MessageKey::Untracked || !used(connection));
        let fresh = free.filter(|(_, connection)| {
            !connection.in_flight.is_empty()
                || !connection.is_connected
                || fresh(connection.idle_since)
        });
        // Of those that carry nothing, the one that did last: the longest idle may be dead without a word.
        let load = fresh.map(|(id, connection)| {
            (
                connection.in_flight.len(),
                Reverse(connection.idle_since),
                *id,
            )
        });
        load.min().filter(|(n, ..)| *n < streams).map(|(.., id)| id)
    }
    /// Connections to a worker that have carried nothing for too long.
    fn stale(&self, worker: WorkerId, fresh: impl Fn(Micros) -> bool) -> Vec<WorkerConnectionId> {
        let connections = self
            .endpoints
            .get(&worker)
            .into_iter()
            .flat_map(|endpoint| endpoint.connections.iter().copied());
        let stale = |connection: &WorkerConnection| {
            connection.is_connected
                && connection.in_flight.is_empty()
                && !fresh(connection.idle_since)
        };
        connections
            .filter(|id| self.connections.get(id).is_some_and(stale))
            .collect()
    }
    fn is_connecting(&self, worker: WorkerId) -> bool {
        let connections = self
            .endpoints
            .get(&worker)
            .into_iter()
            .flat_map(|endpoint| &endpoint.connections);
        connections
            .filter_map(|id| self.connections.get(id))
            .any(|connection| !connection.is_connected)
    }
    /// What the worker told of itself.
    pub fn record_load_report(&mut self, worker: WorkerId, report: &LoadReport) {
        if let (Some(held), Some(queued)) = (report.in_flight, report.queued) {
            self.events.load_reports.push(WorkerLoad {
                worker,
                requests: held + queued,
            });
        }
    }
    pub fn count(&self, worker: WorkerId) -> usize {
        self.endpoints
            .get(&worker)
            .map_or(0, |endpoint| endpoint.connections.len())
    }
}

impl EdgeState {
    pub(crate) fn release_message(
        &mut self,
        connection: WorkerConnectionId,
        mark: MessageKey,
        now: Micros,
    ) {
        if self.worker_connections.finish_message(
            connection,
            mark,
            now,
            now + self.limits.answers_late,
        ) {
            self.timers
                .insert((now, Timer::WorkerConnection(connection)));
        }
    }
    /// Sends to a worker, or says how that ended: nothing was sent then.
    pub(crate) fn send(
        &mut self,
        now: Micros,
        worker: WorkerId,
        piece: OutboundMessage<'_>,
        due: Micros,
    ) -> Result<WorkerConnectionId, Outcome> {
        let mark = piece.mark;
        let idle_timeout = self.idle_timeout;
        let fresh = |since: Micros| idle_timeout.is_trusted(now, now - since);
        let id =
            match self
                .worker_connections
                .least_loaded(worker, self.limits.streams, &piece, fresh)
            {
                Some(id) => id,
                None => {
                    let stale = self.worker_connections.stale(worker, fresh);
                    stale
                        .into_iter()
                        .for_each(|id| self.retire_connection(now, id));
                    self.create_connection(now, worker)?
                }
            };
        let connection = self
            .worker_connections
            .connections
            .get_mut(&id)
            .ok_or(Outcome::NoConnection)?;
        if connection.out.push(mark, piece.bytes).is_err() {
            // It does not read: as good as unreachable.
            self.metrics.record_limit_hit("waiting-per-worker");
            tracing::warn!(
                worker = self.worker_connections.name(worker),
                reason = "waiting-per-worker",
                "a worker reads too slowly"
            );
            return Err(Outcome::NoConnection);
        }
        if mark != MessageKey::Untracked {
            if connection.in_flight.is_empty() {
                (connection.idle_before, connection.busy_since) =
                    (now - connection.idle_since, now);
            }
            connection.in_flight.insert(mark);
            if self.protocol.uses_call_ids() {
                connection.ids.insert(piece.id, mark);
            }
        }
        let need = if matches!(mark, MessageKey::Attempt(_)) {
            Purpose::Request
        } else {
            Purpose::Control
        };
        let full = connection.in_flight.len() as f64 / self.limits.streams_wanted as f64;
        let waits = connection.conn.is_none();
        let events = &mut self.worker_connections.events;
        if waits {
            events.requested.push(ConnectionRequest {
                connection: id,
                worker,
                purpose: need,
                deadline: due,
            });
        }
        events.utilization.push(ConnectionUtilization {
            worker,
            utilization: full,
        });
        self.worker_connections.dirty.insert(id);
        Ok(id)
    }
    /// Writes behind what is already on this connection, if it still stands.
    pub(crate) fn send_cancel(&mut self, id: WorkerConnectionId, bytes: &[u8]) {
        if let Some(connection) = self.worker_connections.connections.get_mut(&id) {
            if connection.out.push(MessageKey::Cancel, bytes).is_ok() {
                self.worker_connections.dirty.insert(id);
                self.worker_connections.cancels_first.insert(id);
            }
        }
    }
    /// A connection that is to be; the connection module says when it is begun.
    fn create_connection(
        &mut self,
        now: Micros,
        worker: WorkerId,
    ) -> Result<WorkerConnectionId, Outcome> {
        let endpoint = self
            .worker_connections
            .endpoints
            .get_mut(&worker)
            .ok_or(Outcome::NoConnection)?;
        if endpoint.connections.len() >= self.limits.connections {
            self.metrics.record_limit_hit("connections");
            tracing::warn!(
                worker = endpoint.name,
                reason = "connections",
                "all connections to a worker are full"
            );
            return Err(Outcome::Rejected);
        }
        // Guards against workers' connections that leave no descriptor for clients': their requests would lie
        // unaccepted until their time is up.
        if self.worker_connections.all() >= self.limits.all_connections {
            self.metrics.record_limit_hit("all-connections");
            let idle = self
                .worker_connections
                .longest_idle()
                .ok_or(Outcome::NoConnection)?;
            self.retire_connection(now, idle);
        }
        self.worker_connections.next_connection += 1;
        let id = WorkerConnectionId(self.worker_connections.next_connection);
        if let Some(endpoint) = self.worker_connections.endpoints.get_mut(&worker) {
            endpoint.connections.insert(id);
        }
        let mut out = Outbox::new(self.limits.waiting_per_worker);
        let name = self.settings.text("edge.name").to_string();
        let hello = Hello {
            version: VERSION,
            name,
            incarnation: self.incarnation,
            age_us: None,
        };
        if let Some(hello) = self.protocol.hello(hello) {
            let _ = out.push(MessageKey::Untracked, &hello);
        }
        let connection = WorkerConnection {
            worker,
            conn: None,
            out,
            frames: self.protocol.decoder(self.limits.largest_frame),
            in_flight: BTreeSet::new(),
            ids: BTreeMap::new(),
            retired_ids: BTreeMap::new(),
            is_connected: false,
            is_retired: false,
            idle_since: now,
            idle_before: 0,
            busy_since: now,
        };
        self.worker_connections.connections.insert(id, connection);
        self.metrics.links_open.increment(1.0);
        Ok(id)
    }
    /// Begins a connection that has waited.
    pub(crate) fn open_connection(&mut self, now: Micros, id: WorkerConnectionId, io: &mut dyn Io) {
        let Some(connection) = self
            .worker_connections
            .connections
            .get_mut(&id)
            .filter(|connection| connection.conn.is_none())
        else {
            return;
        };
        let Some(endpoint) = self.worker_connections.endpoints.get(&connection.worker) else {
            return;
        };
        let conn = io.connect_named(&endpoint.address, &endpoint.name);
        connection.conn = Some(conn);
        self.connection_owners.insert(conn, Owner::Worker(id));
        self.timers.insert((
            now + self.limits.connect_time_out,
            Timer::WorkerConnection(id),
        ));
    }
    /// One that nothing waits for yet.
    pub(crate) fn prewarm_connection(&mut self, now: Micros, worker: WorkerId) {
        let all = self.worker_connections.all() >= self.limits.all_connections;
        if all
            || self.worker_connections.is_connecting(worker)
            || self.worker_connections.count(worker) >= self.limits.connections
        {
            return;
        }
        if let Ok(connection) = self.create_connection(now, worker) {
            let due = now + self.limits.connect_time_out;
            self.worker_connections
                .events
                .requested
                .push(ConnectionRequest {
                    connection,
                    worker,
                    purpose: Purpose::Prewarm,
                    deadline: due,
                });
        }
    }
    /// What waits for a connection is told that it does not come.
    pub(crate) fn reject_connection(
        &mut self,
        now: Micros,
        id: WorkerConnectionId,
        why: RejectReason,
    ) {
        self.metrics.record_limit_hit(why.reason());
        let end = if why == RejectReason::HandshakeBudget {
            Outcome::Rejected
        } else {
            Outcome::NoConnection
        };
        self.remove_connection(now, id, |_| end, false);
    }
    pub(crate) fn retire_connection(&mut self, now: Micros, id: WorkerConnectionId) {
        let Some(connection) = self.worker_connections.connections.get_mut(&id) else {
            return;
        };
        connection.is_retired = true;
        let worker = connection.worker;
        if let Some(endpoint) = self.worker_connections.endpoints.get_mut(&worker) {
            endpoint.connections.remove(&id);
        }
        self.timers.insert((now, Timer::WorkerConnection(id)));
    }
    /// A connection was made on terms that are past.
    pub(crate) fn worker_credentials_changed(&mut self, id: WorkerConnectionId, denied: bool) {
        let Some(connection) = self.worker_connections.connections.get(&id) else {
            return;
        };
        let in_flight = connection.in_flight.len();
        match denied {
            true => self
                .worker_connections
                .events
                .revoked
                .push(OutdatedConnection::Worker(id)),
            false => self
                .worker_connections
                .events
                .outdated
                .push(RotationRequest {
                    connection: OutdatedConnection::Worker(id),
                    in_flight,
                }),
        }
    }

    pub(crate) fn on_worker_event(
        &mut self,
        now: Micros,
        id: WorkerConnectionId,
        event: Event<'_>,
        io: &mut dyn Io,
    ) {
        match event {
            Event::Connected { conn } => {
                if let Some(connection) = self.worker_connections.connections.get_mut(&id) {
                    (connection.is_connected, connection.idle_since) = (true, now);
                    let resumed = io.peer(conn).is_some_and(|peer| peer.resumed);
                    self.worker_connections
                        .events
                        .established
                        .push(EstablishedConnection {
                            connection: id,
                            resumed,
                        });
                    self.worker_connections.dirty.insert(id);
                }
            }
            Event::Writable { .. } => {
                if let Some(connection) = self.worker_connections.connections.get_mut(&id) {
                    connection.out.unblock();
                    self.worker_connections.dirty.insert(id);
                }
            }
            Event::Bytes { bytes, .. } => self.on_worker_bytes(now, id, bytes, io),
            Event::Closed { cause: how, .. } => self.connection_lost(now, id, how, false),
            Event::Accepted { .. } => {}
        }
    }

    fn on_worker_bytes(
        &mut self,
        now: Micros,
        id: WorkerConnectionId,
        bytes: &[u8],
        io: &mut dyn Io,
    ) {
        let Some(connection) = self.worker_connections.connections.get_mut(&id) else {
            return;
        };
        let worker = connection.worker;
        let mut frames = std::mem::take(&mut connection.frames);
        frames.push_bytes(bytes);
        loop {
            let Some(connection) = self.worker_connections.connections.get(&id) else {
                return;
            };
            let problem = match frames.next_message(&connection.ids) {
                Ok(None) => break,
                Ok(Some(message)) => match self.on_worker_message(now, id, worker, message) {
                    Ok(()) => continue,
                    Err(problem) => problem,
                },
                Err(problem) => problem,
            };
            self.metrics.malformed_worker_streams.increment(1);
            let name = self.worker_connections.name(worker).unwrap_or_default();
            tracing::warn!(
                worker = name,
                reason = "garbled-worker",
                problem,
                "the connection is ended"
            );
            self.reset_connection(id, io);
            return self.connection_lost(now, id, CloseCause::Reset, true);
        }
        if let Some(connection) = self.worker_connections.connections.get_mut(&id) {
            connection.frames = frames;
        }
    }
    fn reset_connection(&mut self, id: WorkerConnectionId, io: &mut dyn Io) {
        if let Some(conn) = self
            .worker_connections
            .connections
            .get(&id)
            .and_then(|connection| connection.conn)
        {
            self.connection_owners.remove(&conn);
            io.reset(conn);
        }
    }

    fn on_worker_message(
        &mut self,
        now: Micros,
        connection: WorkerConnectionId,
        worker: WorkerId,
        says: FromWorker,
    ) -> Result<(), String> {
        match says {
            FromWorker::Hello(hello) => {
                // One that was told as gone meanwhile has no name to compare.
                let Some(name) = self.worker_connections.name(worker) else {
                    return Ok(());
                };
                if hello.name != name {
                    return Err(format!("{:?} answers where {name:?} is listed", hello.name));
                }
                if hello.version == 0 {
                    return Err("version 0 of the protocol does not exist".into());
                }
                self.on_worker_restart(now, worker, hello.incarnation, hello.age_us);
            }
            FromWorker::Done(done) => self.attempt_answered(now, connection, done),
            FromWorker::LoadDone(held) => {
                let end = match held.status {
                    wire::ExecutionStatus::Finished => Outcome::Finished,
                    wire::ExecutionStatus::Error | wire::ExecutionStatus::ColdMiss => {
                        Outcome::Error
                    }
                    wire::ExecutionStatus::Rejected | wire::ExecutionStatus::Dropped => {
                        Outcome::Rejected
                    }
                };
                self.load_ended(now, held.id, end, held.instances);
            }
            FromWorker::HealthStatus(probed) => {
                let report = probed.report.as_ref().map(report_of);
                if let Some(asked) = self.take_health_check(now, probed.id) {
                    report.iter().for_each(|report| {
                        self.worker_connections
                            .record_load_report(asked.worker, report)
                    });
                    let latency = now - asked.sent;
                    self.batch.health_check_results.push(HealthCheckResult {
                        worker: asked.worker,
                        outcome: Outcome::Finished,
                        latency,
                        report,
                    });
                }
            }
        }
        Ok(())
    }
}
