//! Connections to workers: opened as needed, capped, closed when idle; and how whatever was out on one ended.

use crate::jobs::report_of;
use crate::{Due, Inner, Owner};
use sanddrum::{End, FunctionId, Micros, OrderEnd, ProbeEnd, Warmth, WorkerId};
use sanddrum_net::{Closed, Conn, Event, Io, Outbox};
use sanddrum_wire::{self as wire, frame::frame, Frames, FromWorker, Hello, ToWorker, VERSION};
use std::collections::{BTreeMap, BTreeSet};

/// A piece of what is written to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Mark {
    Execution(u64),
    Order(u64),
    Probe(u64),
    Other,
}

struct Link {
    worker: WorkerId,
    out: Outbox<Mark>,
    frames: Frames,
    /// What is out on it and wants an answer.
    carries: BTreeSet<Mark>,
    up: bool,
    quiet_since: Micros,
}

/// A worker as the list last named it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Target {
    pub name: String,
    pub address: String,
    conns: BTreeSet<Conn>,
}

struct Asked {
    worker: WorkerId,
    function: FunctionId,
    conn: Conn,
    sent: Micros,
    due: Micros,
}

#[derive(Default)]
pub(crate) struct Links {
    links: BTreeMap<Conn, Link>,
    targets: BTreeMap<WorkerId, Target>,
    orders: BTreeMap<u64, Asked>,
    probes: BTreeMap<u64, Asked>,
    asked: u64,
    dirty: BTreeSet<Conn>,
}

impl Links {
    pub fn name(&self, worker: WorkerId) -> Option<&str> {
        self.targets.get(&worker).map(|t| t.name.as_str())
    }
    /// A worker as listed; at a new address the old connections are of no further use and end when idle.
    pub fn set_target(&mut self, worker: WorkerId, name: &str, address: &str) {
        let target = self.targets.entry(worker).or_default();
        if target.address != address {
            target.conns.clear();
        }
        (target.name, target.address) = (name.to_string(), address.to_string());
    }
    /// Takes an execution back of which nothing was written.
    pub fn take_back(&mut self, conn: Conn, execution: u64) -> bool {
        self.links.get_mut(&conn).is_some_and(|link| link.out.retract(&Mark::Execution(execution)))
    }
    pub fn release(&mut self, conn: Conn, execution: u64, now: Micros) {
        self.carried_ends(conn, Mark::Execution(execution), now);
    }
    fn carried_ends(&mut self, conn: Conn, mark: Mark, now: Micros) {
        if let Some(link) = self.links.get_mut(&conn) {
            link.carries.remove(&mark);
            link.quiet_since = now;
        }
    }
    /// The connection to a worker that carries the least, if one has room.
    fn roomy(&self, worker: WorkerId, streams: usize) -> Option<Conn> {
        let conns = self.targets.get(&worker)?.conns.iter();
        let load = conns.filter_map(|conn| self.links.get(conn).map(|link| (link.carries.len(), *conn)));
        load.min().filter(|(n, _)| *n < streams).map(|(_, conn)| conn)
    }
}

impl Inner {
    /// Sends to a worker, or says how that ended: nothing was sent then.
    fn send_marked(
        &mut self,
        now: Micros,
        worker: WorkerId,
        mark: Mark,
        bytes: &[u8],
        io: &mut dyn Io,
    ) -> Result<Conn, End> {
        let conn = match self.links.roomy(worker, self.limits.streams) {
            Some(conn) => conn,
            None => self.open_link(now, worker, io)?,
        };
        let link = self.links.links.get_mut(&conn).ok_or(End::NoConnection)?;
        if link.out.push(mark, bytes).is_err() {
            // It does not read: as good as unreachable.
            self.figures.limit_hit("waiting-per-worker");
            tracing::warn!(
                worker = self.links.name(worker),
                reason = "waiting-per-worker",
                "a worker reads too slowly"
            );
            return Err(End::NoConnection);
        }
        if mark != Mark::Other {
            link.carries.insert(mark);
        }
        self.links.dirty.insert(conn);
        Ok(conn)
    }
    /// Sends an execution; with nought for its number, something that no answer is owed for.
    pub(crate) fn send(
        &mut self,
        now: Micros,
        worker: WorkerId,
        execution: u64,
        bytes: &[u8],
        io: &mut dyn Io,
    ) -> Result<Conn, End> {
        let mark = if execution == 0 { Mark::Other } else { Mark::Execution(execution) };
        self.send_marked(now, worker, mark, bytes, io)
    }
    /// Writes behind what is already on this connection, if it still stands.
    pub(crate) fn tell(&mut self, conn: Conn, bytes: &[u8]) {
        if let Some(link) = self.links.links.get_mut(&conn) {
            if link.out.push(Mark::Other, bytes).is_ok() {
                self.links.dirty.insert(conn);
            }
        }
    }
    fn open_link(&mut self, now: Micros, worker: WorkerId, io: &mut dyn Io) -> Result<Conn, End> {
        let target = self.links.targets.get_mut(&worker).ok_or(End::NoConnection)?;
        if target.conns.len() >= self.limits.connections {
            self.figures.limit_hit("connections");
            tracing::warn!(
                worker = target.name,
                reason = "connections",
                "all connections to a worker are full"
            );
            return Err(End::Full);
        }
        let conn = io.connect_named(&target.address, &target.name);
        target.conns.insert(conn);
        self.owners.insert(conn, Owner::Link);
        let mut out = Outbox::new(self.limits.waiting_per_worker);
        let name = self.settings.text("edge.name").to_string();
        let hello = Hello { version: VERSION, name, incarnation: self.incarnation, age_us: None };
        let _ = out.push(Mark::Other, &frame(&ToWorker::Hello(hello)));
        let frames = Frames::new(self.limits.largest_frame);
        let link = Link { worker, out, frames, carries: BTreeSet::new(), up: false, quiet_since: now };
        self.links.links.insert(conn, link);
        self.due.insert((now + self.limits.connect_time_out, Due::Link(conn)));
        self.figures.links_open.increment(1.0);
        Ok(conn)
    }

    pub(crate) fn link_event(&mut self, now: Micros, conn: Conn, event: Event<'_>, io: &mut dyn Io) {
        match event {
            Event::Connected { .. } => {
                if let Some(link) = self.links.links.get_mut(&conn) {
                    (link.up, link.quiet_since) = (true, now);
                    self.links.dirty.insert(conn);
                }
            }
            Event::Writable { .. } => {
                if let Some(link) = self.links.links.get_mut(&conn) {
                    link.out.unblock();
                    self.links.dirty.insert(conn);
                }
            }
            Event::Bytes { bytes, .. } => self.link_bytes(now, conn, bytes, io),
            Event::Closed { how, .. } => self.link_ended(now, conn, how),
            Event::Accepted { .. } => {}
        }
    }

    fn link_bytes(&mut self, now: Micros, conn: Conn, bytes: &[u8], io: &mut dyn Io) {
        let Some(link) = self.links.links.get_mut(&conn) else { return };
        let worker = link.worker;
        let mut frames = std::mem::take(&mut link.frames);
        frames.take_in(bytes);
        loop {
            let problem = match frames.next_message::<FromWorker>() {
                Ok(None) => break,
                Ok(Some(message)) => match self.worker_says(now, conn, worker, message) {
                    Ok(()) => continue,
                    Err(problem) => problem,
                },
                Err(e) => e.to_string(),
            };
            self.figures.garbled_links.increment(1);
            let name = self.links.name(worker).unwrap_or_default();
            tracing::warn!(worker = name, reason = "garbled-worker", problem, "the connection is ended");
            self.owners.remove(&conn);
            io.reset(conn);
            return self.link_ended(now, conn, Closed::Reset);
        }
        if let Some(link) = self.links.links.get_mut(&conn) {
            link.frames = frames;
        }
    }

    fn worker_says(
        &mut self,
        now: Micros,
        conn: Conn,
        worker: WorkerId,
        says: FromWorker,
    ) -> Result<(), String> {
        match says {
            FromWorker::Hello(hello) => {
                let name = self.links.name(worker).unwrap_or_default();
                if hello.name != name {
                    return Err(format!("{:?} answers where {name:?} is listed", hello.name));
                }
                if hello.version == 0 {
                    return Err("version 0 of the protocol does not exist".into());
                }
                self.worker_started(now, worker, hello.incarnation, hello.age_us);
            }
            FromWorker::Done(done) => self.execution_answered(now, conn, done),
            FromWorker::Held(held) => {
                let end = match held.ended {
                    wire::Ended::Finished => End::Finished,
                    wire::Ended::Error | wire::Ended::Miss => End::Error,
                    wire::Ended::Full | wire::Ended::Dropped => End::Full,
                };
                self.order_ended(now, held.id, end, held.copies);
            }
            FromWorker::Probed(probed) => {
                let report = probed.report.as_ref().map(report_of);
                if let Some(asked) = self.probe_over(now, probed.id) {
                    let latency = now - asked.sent;
                    self.round.probes.push(ProbeEnd {
                        worker: asked.worker,
                        end: End::Finished,
                        latency,
                        report,
                    });
                }
            }
        }
        Ok(())
    }

    /// A connection is gone. What was not written to its last byte cannot have been read; what was may have run.
    fn link_ended(&mut self, now: Micros, conn: Conn, how: Closed) {
        let Some(link) = self.links.links.remove(&conn) else { return };
        self.figures.links_open.decrement(1.0);
        self.links.dirty.remove(&conn);
        if let Some(target) = self.links.targets.get_mut(&link.worker) {
            target.conns.remove(&conn);
        }
        if !link.carries.is_empty() {
            let name = self.links.name(link.worker);
            tracing::info!(
                worker = name,
                ?how,
                up = link.up,
                carried = link.carries.len(),
                "a connection ended"
            );
        }
        for mark in &link.carries {
            let unread = !link.up || how == Closed::Refused || link.out.holds(mark);
            let end = if unread { End::NoConnection } else { End::Reset };
            match mark {
                Mark::Execution(id) => self.execution_ended(now, *id, end, Warmth::Unknown, None, None),
                Mark::Order(id) => self.order_ended(now, *id, end, 0),
                Mark::Probe(id) => self.probe_failed(now, *id, end),
                Mark::Other => {}
            }
        }
    }

    /// Its connection is not up in time, or carries nothing for long.
    pub(crate) fn look_at_link(&mut self, now: Micros, conn: Conn, io: &mut dyn Io) {
        let Some(link) = self.links.links.get(&conn) else { return };
        if !link.up {
            self.owners.remove(&conn);
            io.reset(conn);
            return self.link_ended(now, conn, Closed::Refused);
        }
        let idle = link.quiet_since + self.limits.idle_close;
        if link.carries.is_empty() && link.out.waiting() == 0 && idle <= now {
            self.owners.remove(&conn);
            io.close(conn);
            return self.link_ended(now, conn, Closed::InOrder);
        }
        let again = if link.carries.is_empty() { idle } else { now + self.limits.idle_close };
        self.due.insert((again.max(now + 1), Due::Link(conn)));
    }

    pub(crate) fn flush_links(&mut self, _now: Micros, io: &mut dyn Io) {
        for conn in std::mem::take(&mut self.links.dirty) {
            if let Some(link) = self.links.links.get_mut(&conn).filter(|link| link.up) {
                link.out.flush(conn, io);
            }
        }
    }

    // ---- Orders and probes

    pub(crate) fn order(
        &mut self,
        now: Micros,
        worker: WorkerId,
        function: FunctionId,
        copies: u32,
        io: &mut dyn Io,
    ) {
        self.links.asked += 1;
        let id = self.links.asked;
        let Some(known) = self.functions.get(function) else {
            let end = End::Error;
            return self.round.orders.push(OrderEnd { worker, function, end, latency: 0, copies: 0 });
        };
        let hold = wire::Hold {
            id,
            function: known.name.clone(),
            copies,
            memory_mb: known.memory_mb,
            lanes: known.lanes,
        };
        if copies > 0 {
            self.figures.orders.increment(1);
        }
        let sent = self.send_marked(now, worker, Mark::Order(id), &frame(&ToWorker::Hold(hold)), io);
        let due = now + self.limits.order_time_out;
        match sent {
            Ok(conn) => {
                self.links.orders.insert(id, Asked { worker, function, conn, sent: now, due });
                self.due.insert((due, Due::Order(id)));
            }
            Err(end) => self.round.orders.push(OrderEnd { worker, function, end, latency: 0, copies: 0 }),
        }
    }
    fn order_ended(&mut self, now: Micros, id: u64, end: End, copies: u32) {
        let Some(asked) = self.links.orders.remove(&id) else { return };
        self.due.remove(&(asked.due, Due::Order(id)));
        self.links.carried_ends(asked.conn, Mark::Order(id), now);
        let (worker, function, latency) = (asked.worker, asked.function, now - asked.sent);
        self.round.orders.push(OrderEnd { worker, function, end, latency, copies });
    }
    pub(crate) fn order_is_late(&mut self, now: Micros, id: u64) {
        self.order_ended(now, id, End::TimedOut, 0);
    }

    pub(crate) fn probe(&mut self, now: Micros, worker: WorkerId, io: &mut dyn Io) {
        self.links.asked += 1;
        let id = self.links.asked;
        self.figures.probes.increment(1);
        let bytes = frame(&ToWorker::Probe(wire::Probe { id }));
        let due = now + self.limits.probe_time_out;
        match self.send_marked(now, worker, Mark::Probe(id), &bytes, io) {
            Ok(conn) => {
                let function = FunctionId::default();
                self.links.probes.insert(id, Asked { worker, function, conn, sent: now, due });
                self.due.insert((due, Due::Probe(id)));
            }
            Err(end) => self.round.probes.push(ProbeEnd { worker, end, latency: 0, report: None }),
        }
    }
    fn probe_over(&mut self, now: Micros, id: u64) -> Option<Asked> {
        let asked = self.links.probes.remove(&id)?;
        self.due.remove(&(asked.due, Due::Probe(id)));
        self.links.carried_ends(asked.conn, Mark::Probe(id), now);
        Some(asked)
    }
    fn probe_failed(&mut self, now: Micros, id: u64, end: End) {
        if let Some(asked) = self.probe_over(now, id) {
            let (worker, latency) = (asked.worker, now - asked.sent);
            self.round.probes.push(ProbeEnd { worker, end, latency, report: None });
        }
    }
    pub(crate) fn probe_is_late(&mut self, now: Micros, id: u64) {
        self.probe_failed(now, id, End::TimedOut);
    }
}
