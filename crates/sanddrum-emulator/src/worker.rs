//! An emulated worker, which connects the worker protocol to an emulated [`Machine`].

use crate::faults::{IdempotencyKeys, Shared, WorkerFaults};
use crate::ground_truth::GroundTruth;
use crate::handshakes::HandshakeWork;
use crate::machine::{Effect, Machine, MachineConfig, Task, Ticket};
use crate::peers::Peers;
use crate::upstream::Upstream;
use sanddrum_limits::RateMeter;
use sanddrum_net::{ConnectionId, Core, Event, Io, Micros, Rng};
use sanddrum_wire::{
    frame::encode_frame, Done, EndpointRecord, Execute, ExecutionStatus, Fetch, FromStore,
    FromWorker, HealthStatus, Heartbeat, Hello, InstanceState, LoadDone, LoadReport, Phase,
    ToDiscovery, ToStore, ToWorker, VERSION,
};
use std::collections::{BTreeMap, BTreeSet};

/// The window over which request rates are measured, as the worker protocol requires.
const RATE_WINDOW: Micros = 1_000_000;
/// Work of a request whose body does not specify it, in microseconds.
const DEFAULT_WORK_US: f64 = 1000.0;
/// A frame of three bytes that do not decode to a message.
const GARBLED_FRAME: [u8; 7] = [0, 0, 0, 3, 0xff, 0xfe, 0xfd];
/// Separates the random numbers of lost answers from those of failed loads.
const ANSWER_LOSS_SEED: u64 = 0x5eed;

/// The configuration of a worker.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    /// Its name in the endpoint list.
    pub name: String,
    /// The address that it listens on.
    pub address: String,
    /// Its availability zone.
    pub zone: String,
    /// Its cell.
    pub cell: u32,
    /// Its kind of machine, as an index into the list in the settings.
    pub kind: u32,
    /// The size and behaviour of its machine.
    pub machine: MachineConfig,
    /// Whether answers report how many requests for the function were in flight.
    pub reports_function_in_flight: bool,
    /// How often the load report is updated.
    pub report_interval: Micros,
    /// The address of the discovery service.
    pub discovery_address: String,
    /// The address of the function store.
    pub store_address: String,
    /// How often it sends a heartbeat to the discovery service, and how long it waits before it reconnects.
    pub heartbeat_interval: Micros,
}

impl WorkerSpec {
    /// Its capacity in the endpoint list: the number of cores times their speed.
    pub fn size(&self) -> f64 {
        self.machine.cores as f64 * self.machine.speed
    }
}

/// An emulated worker, as a core.
pub struct Worker {
    spec: WorkerSpec,
    incarnation: u64,
    started_at: Micros,
    machine: Machine,
    rng: Rng,
    faults: Shared<WorkerFaults>,
    idempotency_keys: Shared<IdempotencyKeys>,
    peers: Peers,
    discovery: Upstream,
    store: Upstream,
    fetches: BTreeSet<u64>,
    customer_rates: BTreeMap<String, RateMeter>,
    total_rate: RateMeter,
    /// The customers of the attempts that are in flight.
    customers: BTreeMap<Ticket, String>,
    handshakes: Option<Shared<HandshakeWork>>,
    ground_truth: Option<Shared<GroundTruth>>,
    is_draining: bool,
    next_heartbeat: Micros,
    report: LoadReport,
    reported_at: Micros,
    has_collapsed: bool,
}

impl Worker {
    /// Creates a worker whose process started at `started_at` (zero or less: long ago). `incarnation` increases with
    /// each start.
    pub fn new(
        spec: WorkerSpec,
        seed: u64,
        started_at: Micros,
        incarnation: u64,
        faults: Shared<WorkerFaults>,
        idempotency_keys: Shared<IdempotencyKeys>,
    ) -> Self {
        Worker {
            machine: Machine::new(spec.machine.clone(), seed, started_at),
            rng: Rng::new(seed ^ ANSWER_LOSS_SEED),
            incarnation,
            started_at,
            faults,
            idempotency_keys,
            peers: Peers::default(),
            discovery: Upstream::new(&spec.discovery_address),
            store: Upstream::new(&spec.store_address),
            fetches: BTreeSet::new(),
            customer_rates: BTreeMap::new(),
            total_rate: RateMeter::default(),
            customers: BTreeMap::new(),
            handshakes: None,
            ground_truth: None,
            is_draining: false,
            next_heartbeat: 0,
            report: LoadReport::default(),
            reported_at: Micros::MIN / 2,
            has_collapsed: false,
            spec,
        }
    }

    /// Counts TLS handshakes as work that can make the worker collapse while it warms up.
    pub fn with_handshakes(mut self, work: Shared<HandshakeWork>) -> Self {
        self.handshakes = Some(work);
        self
    }

    /// Publishes the worker's actual state for an oracle.
    pub fn with_ground_truth(mut self, ground_truth: Shared<GroundTruth>) -> Self {
        self.ground_truth = Some(ground_truth);
        self
    }

    /// Microseconds since the process started; negative if it started long ago.
    fn age(&self, now: Micros) -> Micros {
        if self.started_at > 0 {
            now - self.started_at
        } else {
            -1
        }
    }

    fn register(&mut self, now: Micros) {
        let endpoint = EndpointRecord {
            name: self.spec.name.clone(),
            address: self.spec.address.clone(),
            zone: self.spec.zone.clone(),
            cell: self.spec.cell,
            kind: self.spec.kind,
            size: self.spec.size(),
            phase: if self.is_draining {
                Phase::Draining
            } else {
                Phase::Ready
            },
            incarnation: self.incarnation,
            age_us: self.age(now),
        };
        let message = encode_frame(&ToDiscovery::Register(endpoint));
        // Ignored if the outbox is full: the worker registers again when it reconnects.
        let _ = self.discovery.outbox.push((), &message);
    }

    fn current_report(&mut self, now: Micros) -> LoadReport {
        if now >= self.reported_at + self.spec.report_interval {
            self.report = self.machine.load_report();
            self.reported_at = now;
        }
        self.report
    }

    fn on_message(&mut self, now: Micros, connection: ConnectionId, message: ToWorker) {
        let ticket = |id| Ticket {
            connection: connection.0,
            id,
        };
        match message {
            ToWorker::Hello(_) => self.send_hello(now, connection),
            ToWorker::Execute(request) => self.execute(now, ticket(request.id), request),
            ToWorker::Cancel(cancel) => self.machine.cancel(ticket(cancel.id)),
            ToWorker::Load(command) => {
                self.machine
                    .load_instances(now, ticket(command.id), &command, self.is_draining)
            }
            ToWorker::Unload(unload) => self.machine.unload(&unload.function),
            ToWorker::HealthCheck(check) => {
                if !self.faults.borrow().is_hung {
                    let report = Some(self.current_report(now));
                    let status = HealthStatus {
                        id: check.id,
                        report,
                    };
                    let message = FromWorker::HealthStatus(status);
                    self.peers.send(connection, &encode_frame(&message));
                }
            }
        }
    }

    fn send_hello(&mut self, now: Micros, connection: ConnectionId) {
        let hello = Hello {
            version: VERSION,
            name: self.spec.name.clone(),
            incarnation: self.incarnation,
            age_us: Some(self.age(now)).filter(|age| *age >= 0),
        };
        self.peers
            .send(connection, &encode_frame(&FromWorker::Hello(hello)));
    }

    fn execute(&mut self, now: Micros, ticket: Ticket, request: Execute) {
        self.total_rate.record(now, RATE_WINDOW);
        if let Some(customer) = &request.customer {
            self.customer_rates
                .entry(customer.clone())
                .or_default()
                .record(now, RATE_WINDOW);
            self.customers.insert(ticket, customer.clone());
        }
        let is_duplicate = request
            .idempotency_key
            .as_deref()
            .is_some_and(|key| self.idempotency_keys.borrow().is_duplicate(now, key));
        if is_duplicate {
            return self.machine.effects.push(Effect::Done {
                ticket,
                status: ExecutionStatus::Finished,
                instance: Some(InstanceState::Warm),
                function_in_flight: 0,
                idempotency_key: None,
            });
        }
        let task = Task {
            ticket,
            work: requested_work(&request.body).unwrap_or(DEFAULT_WORK_US),
            function: request.function,
            memory_mb: request.memory_mb,
            concurrency: request.concurrency.max(1),
            idempotency_key: request.idempotency_key,
            deadline: now + request.time_limit_us,
        };
        self.machine.accept(now, task, self.is_draining);
    }

    fn apply_effects(&mut self, now: Micros, io: &mut dyn Io) {
        let faults = self.faults.borrow().clone();
        while !self.machine.effects.is_empty() {
            for effect in std::mem::take(&mut self.machine.effects) {
                self.apply_effect(now, effect, &faults, io);
            }
        }
    }

    fn apply_effect(
        &mut self,
        now: Micros,
        effect: Effect,
        faults: &WorkerFaults,
        io: &mut dyn Io,
    ) {
        match effect {
            Effect::Fetch {
                load,
                function,
                size_mb,
            } => self.fetch(now, load, function, size_mb),
            Effect::Done {
                ticket,
                status,
                instance,
                function_in_flight,
                idempotency_key,
            } => {
                let done = self.done(now, ticket, status, instance, function_in_flight);
                if let Some(key) = idempotency_key.filter(|_| status == ExecutionStatus::Finished) {
                    self.idempotency_keys.borrow_mut().record(now, &key);
                }
                if faults.is_hung || self.rng.random_bool(faults.answer_loss) {
                    return;
                }
                let report = Some(self.current_report(now));
                let message = FromWorker::Done(Done { report, ..done });
                self.peers
                    .send(ConnectionId(ticket.connection), &encode_frame(&message));
            }
            Effect::LoadDone {
                ticket,
                status,
                instances,
            } => {
                if !faults.is_hung {
                    let message = FromWorker::LoadDone(LoadDone {
                        id: ticket.id,
                        status,
                        instances,
                    });
                    self.peers
                        .send(ConnectionId(ticket.connection), &encode_frame(&message));
                }
            }
            Effect::Collapsed => self.collapse(io),
        }
    }

    fn fetch(&mut self, now: Micros, load: u64, function: String, size_mb: f64) {
        let message = ToStore::Fetch(Fetch {
            id: load,
            function,
            size_mb,
        });
        let is_sent = self.store.connection.is_some()
            && self.store.outbox.push((), &encode_frame(&message)).is_ok();
        if is_sent {
            self.fetches.insert(load);
        } else {
            self.machine.finish_fetch(now, load, false);
        }
    }

    /// The answer to an attempt, without the load report.
    fn done(
        &mut self,
        now: Micros,
        ticket: Ticket,
        status: ExecutionStatus,
        instance: Option<InstanceState>,
        function_in_flight: u32,
    ) -> Done {
        let customer = self.customers.remove(&ticket);
        let customer_rate = customer
            .and_then(|customer| self.customer_rates.get(&customer))
            .map(|rate| rate.per_second(now, RATE_WINDOW));
        let body = if status == ExecutionStatus::Finished {
            b"done".to_vec()
        } else {
            Vec::new()
        };
        Done {
            id: ticket.id,
            status,
            instance,
            function_in_flight: self
                .spec
                .reports_function_in_flight
                .then_some(function_in_flight),
            report: None,
            body,
            customer_rate,
            total_rate: Some(self.total_rate.per_second(now, RATE_WINDOW)),
        }
    }

    fn collapse(&mut self, io: &mut dyn Io) {
        tracing::warn!(
            worker = self.spec.name,
            "worker collapsed under overload while warming up and stays down"
        );
        self.has_collapsed = true;
        for connection in self.peers.connections() {
            self.peers.remove(connection);
            io.reset(connection);
        }
    }

    fn on_discovery_event(&mut self, now: Micros, event: &Event<'_>) {
        let is_connected = matches!(event, Event::Connected { .. });
        self.discovery
            .on_event(now, event, self.spec.heartbeat_interval);
        if is_connected && !self.has_collapsed {
            self.register(now);
        }
    }

    fn on_store_event(&mut self, now: Micros, event: &Event<'_>) {
        self.store
            .on_event(now, event, self.spec.heartbeat_interval);
        if self.store.connection.is_none() {
            for load in std::mem::take(&mut self.fetches) {
                self.machine.finish_fetch(now, load, false);
            }
        }
        while let Ok(Some(FromStore::Fetched(fetched))) =
            self.store.frames.next_message::<FromStore>()
        {
            self.fetches.remove(&fetched.id);
            self.machine
                .finish_fetch(now, fetched.id, fetched.is_complete);
        }
    }

    fn on_peer_bytes(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        bytes: &[u8],
        io: &mut dyn Io,
    ) {
        self.peers.push_bytes(connection, bytes);
        self.machine.slowdown = self.faults.borrow().slowdown;
        self.machine.advance(now);
        loop {
            match self.peers.next_message::<ToWorker>(connection) {
                Ok(Some(message)) => self.on_message(now, connection, message),
                Ok(None) => return,
                Err(problem) => {
                    tracing::warn!(
                        worker = self.spec.name,
                        %problem,
                        "invalid frame from a router; closing its connection"
                    );
                    self.peers.remove(connection);
                    return io.reset(connection);
                }
            }
        }
    }

    fn apply_faults(&mut self, now: Micros) {
        let (is_draining, garble_once) = {
            let mut faults = self.faults.borrow_mut();
            self.machine.slowdown = faults.slowdown;
            self.machine.load_failure_probability = faults.load_failure;
            if std::mem::take(&mut faults.invalidate_once) {
                self.machine.invalidate_instances();
            }
            let garble_once = std::mem::take(&mut faults.garble_once);
            (faults.is_draining, garble_once)
        };
        if let Some(work) = &self.handshakes {
            let uncounted = std::mem::take(&mut work.borrow_mut().uncounted);
            for work in uncounted {
                self.machine.record_work(now, work);
            }
        }
        if is_draining != self.is_draining {
            self.is_draining = is_draining;
            self.register(now);
        }
        if garble_once {
            for connection in self.peers.connections() {
                self.peers.send(connection, &GARBLED_FRAME);
            }
        }
    }

    fn send_heartbeat(&mut self, now: Micros, io: &mut dyn Io) {
        self.next_heartbeat = now + self.spec.heartbeat_interval;
        for upstream in [&mut self.discovery, &mut self.store] {
            if upstream.connection.is_none() && now >= upstream.retry_at {
                upstream.connect(io);
            }
        }
        if !self.has_collapsed {
            let message = ToDiscovery::Heartbeat(Heartbeat {
                incarnation: self.incarnation,
            });
            // Ignored if the outbox is full: the next heartbeat follows.
            let _ = self.discovery.outbox.push((), &encode_frame(&message));
        }
    }

    fn publish_ground_truth(&self, now: Micros) {
        let Some(ground_truth) = &self.ground_truth else {
            return;
        };
        let is_hung = self.faults.borrow().is_hung;
        let is_serving = !(self.has_collapsed || self.is_draining || is_hung);
        let id = sanddrum_wire::stable_id(&self.spec.name);
        let worker = self.machine.ground_truth(now, is_serving);
        ground_truth.borrow_mut().0.insert(id, worker);
    }
}

/// The work that a request's body specifies in the form `work-us=20000`.
fn requested_work(body: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(body).ok()?;
    text.strip_prefix("work-us=")?.trim().parse().ok()
}

impl Core for Worker {
    fn start(&mut self, _: Micros, io: &mut dyn Io) {
        self.discovery.connect(io);
        self.store.connect(io);
    }

    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        let connection = match event {
            Event::Accepted { conn, .. } if self.has_collapsed => return io.reset(conn),
            Event::Accepted { conn, .. } => return self.peers.add(conn),
            Event::Connected { conn }
            | Event::Bytes { conn, .. }
            | Event::Writable { conn }
            | Event::Closed { conn, .. } => conn,
        };
        if self.discovery.connection == Some(connection) {
            return self.on_discovery_event(now, &event);
        }
        if self.store.connection == Some(connection) {
            return self.on_store_event(now, &event);
        }
        match event {
            Event::Writable { .. } => self.peers.unblock(connection),
            Event::Closed { .. } => drop(self.peers.remove(connection)),
            Event::Bytes { bytes, .. } if self.peers.contains(connection) => {
                self.on_peer_bytes(now, connection, bytes, io);
            }
            _ => {}
        }
    }

    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        self.apply_faults(now);
        if now >= self.next_heartbeat {
            self.send_heartbeat(now, io);
        }
        self.machine.advance(now);
        self.apply_effects(now, io);
        self.publish_ground_truth(now);
        self.peers.flush(io);
        self.discovery.flush(io);
        self.store.flush(io);
    }

    fn next_wakeup(&self) -> Option<Micros> {
        if self.has_collapsed {
            return Some(self.next_heartbeat);
        }
        let machine = self.machine.next_wakeup();
        machine.into_iter().chain([self.next_heartbeat]).min()
    }

    fn is_done(&self) -> bool {
        self.machine.is_idle()
    }
}
