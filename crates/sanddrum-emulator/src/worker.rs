//! A stand-in worker: the worker protocol on one side, the emulated machine on the other.

use crate::faults::{Marks, Shared, WorkerFaults};
use crate::ground_truth::Truth;
use crate::handshakes::HandshakeWork;
use crate::machine::{Effect, Machine, OnMiss, Size, Task, Ticket};
use crate::peers::Peers;
use sanddrum_limits::RateMeter;
use sanddrum_net::{ConnectionId, Core, Event, Io, Micros, Outbox, Rng};
use sanddrum_wire::{
    frame::frame, Done, EndpointRecord, ExecutionStatus, Fetch, FrameDecoder, FromStore,
    FromWorker, HealthStatus, Heartbeat, Hello, LoadDone, LoadReport, Phase, ToDiscovery, ToStore,
    ToWorker, VERSION,
};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
pub struct WorkerSpec {
    pub name: String,
    pub address: String,
    pub zone: String,
    pub cell: u32,
    pub kind: u32,
    pub cores: usize,
    pub speed: f64,
    pub queue: usize,
    pub memory_mb: f64,
    pub loads_at_once: usize,
    pub keep_alive: Micros,
    pub on_miss: OnMiss,
    pub start_us_per_mb: f64,
    pub cold_from: f64,
    pub cold: Micros,
    pub fall_multiple: f64,
    pub fall: Micros,
    pub tells_crowd: bool,
    pub report_every: Micros,
    pub list: String,
    pub store: String,
    /// How often it tells the list service that it runs, and how long it waits before it calls again.
    pub beat_every: Micros,
}

/// A connection that the worker itself opens and keeps.
struct Upstream {
    address: String,
    conn: Option<ConnectionId>,
    up: bool,
    out: Outbox<()>,
    frames: FrameDecoder,
    again: Micros,
}

const MOST: usize = 16 << 20;
/// Customers' paces are told over a second, as the protocol says.
const PACE_WINDOW: Micros = 1_000_000;

impl Upstream {
    fn new(address: &str) -> Self {
        let (out, frames) = (Outbox::new(MOST), FrameDecoder::new(MOST));
        Upstream {
            address: address.to_string(),
            conn: None,
            up: false,
            out,
            frames,
            again: 0,
        }
    }
    fn call(&mut self, io: &mut dyn Io) {
        (self.conn, self.up) = (Some(io.connect(&self.address)), false);
        (self.out, self.frames) = (Outbox::new(MOST), FrameDecoder::new(MOST));
    }
    fn flush(&mut self, io: &mut dyn Io) {
        if let Some(conn) = self.conn.filter(|_| self.up) {
            self.out.flush(conn, io);
        }
    }
    fn event(&mut self, now: Micros, event: &Event<'_>, again: Micros) {
        match event {
            Event::Connected { .. } => self.up = true,
            Event::Writable { .. } => self.out.unblock(),
            Event::Bytes { bytes, .. } => self.frames.push_bytes(bytes),
            Event::Closed { .. } => (self.conn, self.up, self.again) = (None, false, now + again),
            Event::Accepted { .. } => {}
        }
    }
}

pub struct Worker {
    spec: WorkerSpec,
    /// Grows from start to start.
    incarnation: u64,
    /// When its process started; nought or less: long ago.
    started: Micros,
    machine: Machine,
    chance: Rng,
    faults: Shared<WorkerFaults>,
    marks: Shared<Marks>,
    peers: Peers,
    list: Upstream,
    store: Upstream,
    fetches: BTreeSet<u64>,
    /// Each customer's pace, and whose the executions here are.
    paces: BTreeMap<String, RateMeter>,
    /// What its handshakes cost, where that is played.
    handshakes: Option<Shared<HandshakeWork>>,
    truth: Option<Shared<Truth>>,
    all: RateMeter,
    whose: BTreeMap<Ticket, String>,
    drains: bool,
    beat: Micros,
    report: (Micros, LoadReport),
    fell: bool,
}

impl Worker {
    pub fn new(
        spec: WorkerSpec,
        seed: u64,
        started: Micros,
        incarnation: u64,
        faults: Shared<WorkerFaults>,
        marks: Shared<Marks>,
    ) -> Self {
        let size = Size {
            cores: spec.cores,
            speed: spec.speed,
            queue: spec.queue,
            memory_mb: spec.memory_mb,
            loads_at_once: spec.loads_at_once,
            keep_alive: spec.keep_alive,
            on_miss: spec.on_miss,
            start_us_per_mb: spec.start_us_per_mb,
            cold_from: spec.cold_from,
            cold: spec.cold,
            fall_multiple: spec.fall_multiple,
            fall: spec.fall,
        };
        Worker {
            machine: Machine::new(size, seed, started),
            chance: Rng::new(seed ^ 0x5eed),
            incarnation,
            started,
            faults,
            marks,
            peers: Peers::default(),
            list: Upstream::new(&spec.list),
            store: Upstream::new(&spec.store),
            fetches: BTreeSet::new(),
            paces: BTreeMap::new(),
            handshakes: None,
            truth: None,
            all: RateMeter::default(),
            whose: BTreeMap::new(),
            drains: false,
            beat: 0,
            report: (Micros::MIN / 2, LoadReport::default()),
            fell: false,
            spec,
        }
    }
    /// Its handshakes count among the work that it bears while cold.
    pub fn with_handshakes(mut self, work: Shared<HandshakeWork>) -> Self {
        self.handshakes = Some(work);
        self
    }
    /// What is true of it is told to an oracle.
    pub fn seen_by(mut self, truth: Shared<Truth>) -> Self {
        self.truth = Some(truth);
        self
    }
    fn age(&self, now: Micros) -> Micros {
        if self.started > 0 {
            now - self.started
        } else {
            -1
        }
    }
    fn register(&mut self, now: Micros) {
        let row = EndpointRecord {
            name: self.spec.name.clone(),
            address: self.spec.address.clone(),
            zone: self.spec.zone.clone(),
            cell: self.spec.cell,
            kind: self.spec.kind,
            size: self.spec.cores as f64 * self.spec.speed,
            phase: if self.drains {
                Phase::Draining
            } else {
                Phase::Ready
            },
            incarnation: self.incarnation,
            age_us: self.age(now),
        };
        let _ = self.list.out.push((), &frame(&ToDiscovery::Register(row)));
    }
    fn current_report(&mut self, now: Micros) -> LoadReport {
        if now >= self.report.0 + self.spec.report_every {
            self.report = (now, self.machine.report());
        }
        self.report.1
    }

    fn message(&mut self, now: Micros, conn: ConnectionId, message: ToWorker) {
        match message {
            ToWorker::Hello(_) => {
                let age_us = Some(self.age(now)).filter(|age| *age >= 0);
                let name = self.spec.name.clone();
                let hello = Hello {
                    version: VERSION,
                    name,
                    incarnation: self.incarnation,
                    age_us,
                };
                self.peers.send(conn, &frame(&FromWorker::Hello(hello)));
            }
            ToWorker::Execute(e) => {
                let ticket = Ticket(conn.0, e.id);
                self.all.record(now, PACE_WINDOW);
                if let Some(customer) = &e.customer {
                    self.paces
                        .entry(customer.clone())
                        .or_default()
                        .record(now, PACE_WINDOW);
                    self.whose.insert(ticket, customer.clone());
                }
                if e.idempotency_key
                    .as_deref()
                    .is_some_and(|mark| self.marks.borrow().is_repeat(now, mark))
                {
                    let copy = Some(sanddrum_wire::InstanceState::Warm);
                    let ended = ExecutionStatus::Finished;
                    return self.machine.effects.push(Effect::Done {
                        ticket,
                        ended,
                        copy,
                        crowd: 0,
                        mark: None,
                    });
                }
                let work = std::str::from_utf8(&e.body)
                    .ok()
                    .and_then(|text| text.strip_prefix("work-us="));
                let work = work.and_then(|us| us.trim().parse().ok()).unwrap_or(1000.0);
                let (memory_mb, lanes, mark) =
                    (e.memory_mb, e.concurrency.max(1), e.idempotency_key);
                let until = now + e.time_limit_us;
                let task = Task {
                    ticket,
                    function: e.function,
                    memory_mb,
                    lanes,
                    work,
                    mark,
                    until,
                };
                self.machine.take(now, task, self.drains);
            }
            ToWorker::Cancel(c) => self.machine.cancel(Ticket(conn.0, c.id)),
            ToWorker::Load(h) => {
                let ticket = Ticket(conn.0, h.id);
                self.machine.hold(now, ticket, &h, self.drains);
            }
            ToWorker::Unload(u) => self.machine.unload(&u.function),
            ToWorker::HealthCheck(p) => {
                if !self.faults.borrow().hangs {
                    let report = Some(self.current_report(now));
                    self.peers.send(
                        conn,
                        &frame(&FromWorker::HealthStatus(HealthStatus { id: p.id, report })),
                    );
                }
            }
        }
    }

    fn carry_out(&mut self, now: Micros, io: &mut dyn Io) {
        let faults = self.faults.borrow().clone();
        while !self.machine.effects.is_empty() {
            for effect in std::mem::take(&mut self.machine.effects) {
                match effect {
                    Effect::Fetch {
                        load,
                        function,
                        size_mb,
                    } => {
                        self.fetches.insert(load);
                        let fetch = ToStore::Fetch(Fetch {
                            id: load,
                            function,
                            size_mb,
                        });
                        if self.store.conn.is_none()
                            || self.store.out.push((), &frame(&fetch)).is_err()
                        {
                            self.fetches.remove(&load);
                            self.machine.fetched(now, load, false);
                        }
                    }
                    Effect::Done {
                        ticket,
                        ended,
                        copy,
                        crowd,
                        mark,
                    } => {
                        let customer = self.whose.remove(&ticket);
                        let pace = customer.and_then(|customer| self.paces.get(&customer));
                        let all_pace = Some(self.all.per_second(now, PACE_WINDOW));
                        let customer_pace = pace.map(|pace| pace.per_second(now, PACE_WINDOW));
                        if let Some(mark) = mark.filter(|_| ended == ExecutionStatus::Finished) {
                            self.marks.borrow_mut().ended(now, &mark);
                        }
                        if faults.hangs || self.chance.random_bool(faults.loses) {
                            continue;
                        }
                        let report = Some(self.current_report(now));
                        let crowd = self.spec.tells_crowd.then_some(crowd);
                        let body = if ended == ExecutionStatus::Finished {
                            b"done".to_vec()
                        } else {
                            Vec::new()
                        };
                        let done = Done {
                            id: ticket.1,
                            status: ended,
                            instance: copy,
                            function_in_flight: crowd,
                            report,
                            body,
                            customer_rate: customer_pace,
                            total_rate: all_pace,
                        };
                        self.peers
                            .send(ConnectionId(ticket.0), &frame(&FromWorker::Done(done)));
                    }
                    Effect::Held {
                        ticket,
                        ended,
                        copies,
                    } => {
                        if !faults.hangs {
                            let held = FromWorker::LoadDone(LoadDone {
                                id: ticket.1,
                                status: ended,
                                instances: copies,
                            });
                            self.peers.send(ConnectionId(ticket.0), &frame(&held));
                        }
                    }
                    Effect::Fell => {
                        tracing::warn!(
                            worker = self.spec.name,
                            "fell over while cold and stays down"
                        );
                        self.fell = true;
                        for conn in self.peers.all() {
                            self.peers.remove(conn);
                            io.reset(conn);
                        }
                    }
                }
            }
        }
    }
}

impl Core for Worker {
    fn start(&mut self, _: Micros, io: &mut dyn Io) {
        self.list.call(io);
        self.store.call(io);
    }

    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        let conn = match event {
            Event::Accepted { conn, .. } if self.fell => return io.reset(conn),
            Event::Accepted { conn, .. } => return self.peers.add(conn),
            Event::Connected { conn }
            | Event::Bytes { conn, .. }
            | Event::Writable { conn }
            | Event::Closed { conn, .. } => conn,
        };
        let again = self.spec.beat_every;
        if self.list.conn == Some(conn) {
            let connected = matches!(event, Event::Connected { .. });
            self.list.event(now, &event, again);
            if connected && !self.fell {
                self.register(now);
            }
        } else if self.store.conn == Some(conn) {
            self.store.event(now, &event, again);
            if self.store.conn.is_none() {
                for load in std::mem::take(&mut self.fetches) {
                    self.machine.fetched(now, load, false);
                }
            }
            while let Ok(Some(FromStore::Fetched(f))) =
                self.store.frames.next_message::<FromStore>()
            {
                self.fetches.remove(&f.id);
                self.machine.fetched(now, f.id, f.is_complete);
            }
        } else {
            match event {
                Event::Writable { .. } => self.peers.unblock(conn),
                Event::Closed { .. } => drop(self.peers.remove(conn)),
                Event::Bytes { bytes, .. } if self.peers.has(conn) => {
                    self.peers.take_in(conn, bytes);
                    self.machine.slower = self.faults.borrow().slower;
                    self.machine.advance(now);
                    loop {
                        match self.peers.next_message::<ToWorker>(conn) {
                            Ok(Some(message)) => self.message(now, conn, message),
                            Ok(None) => break,
                            Err(problem) => {
                                tracing::warn!(worker = self.spec.name, %problem, "an edge's connection is ended");
                                self.peers.remove(conn);
                                io.reset(conn);
                                break;
                            }
                        }
                    }
                }
                _ => {}
            }
        }
    }

    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        {
            let mut faults = self.faults.borrow_mut();
            (self.machine.slower, self.machine.load_fails) = (faults.slower, faults.load_fails);
            if std::mem::take(&mut faults.flush) {
                self.machine.flush();
            }
        }
        let (drains, garbles) = {
            let faults = self.faults.borrow();
            (faults.drains, faults.garbles)
        };
        if let Some(work) = &self.handshakes {
            let came = std::mem::take(&mut work.borrow_mut().came);
            came.into_iter()
                .for_each(|work| self.machine.bear(now, work));
        }
        if drains != self.drains {
            self.drains = drains;
            self.register(now);
        }
        if garbles {
            self.faults.borrow_mut().garbles = false;
            self.peers
                .all()
                .into_iter()
                .for_each(|conn| self.peers.send(conn, &[0, 0, 0, 3, 0xff, 0xfe, 0xfd]));
        }
        if now >= self.beat {
            self.beat = now + self.spec.beat_every;
            if self.list.conn.is_none() && now >= self.list.again {
                self.list.call(io);
            }
            if self.store.conn.is_none() && now >= self.store.again {
                self.store.call(io);
            }
            if !self.fell {
                let _ = self.list.out.push(
                    (),
                    &frame(&ToDiscovery::Heartbeat(Heartbeat {
                        incarnation: self.incarnation,
                    })),
                );
            }
        }
        self.machine.advance(now);
        self.carry_out(now, io);
        if let Some(truth) = &self.truth {
            let serves = !(self.fell || self.drains || self.faults.borrow().hangs);
            let id = sanddrum_wire::id_of(&self.spec.name);
            truth
                .borrow_mut()
                .0
                .insert(id, self.machine.truth(now, serves));
        }
        self.peers.flush(io);
        self.list.flush(io);
        self.store.flush(io);
    }

    fn next_wakeup(&self) -> Option<Micros> {
        let next = self.machine.wake().into_iter().chain([self.beat]).min();
        if self.fell {
            return Some(self.beat);
        }
        next
    }

    fn is_done(&self) -> bool {
        self.machine.is_idle()
    }
}
