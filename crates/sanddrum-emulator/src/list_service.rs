//! A stand-in for the service that lists the workers: it knows only which processes run, and tells late.

use crate::faults::{ListFaults, Shared};
use crate::peers::Peers;
use sanddrum_net::{ConnectionId, Core, Event, Io, Micros, Rng};
use sanddrum_wire::{
    frame::frame, EndpointRecord, EndpointUpdate, FromDiscovery, Hello, Phase, ToDiscovery, VERSION,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Clone, Debug)]
pub struct ListSpec {
    /// A start, a drain or a broken connection is told after so long, from and to.
    pub notice: (Micros, Micros),
    /// A process that is not heard for so long counts as gone.
    pub silent_after: Micros,
    /// Changes kept for edges that come back; older ones get the whole list.
    pub changes_kept: usize,
    /// What rendering a whole list takes on its one core, and what an answer of changes takes.
    pub whole: Micros,
    pub change: Micros,
    /// Calls in hand; whoever calls beyond that is closed.
    pub most: usize,
}

struct Member {
    row: EndpointRecord,
    started: Micros,
    heard: Micros,
    conn: Option<ConnectionId>,
}

pub struct ListService {
    spec: ListSpec,
    chance: Rng,
    faults: Shared<ListFaults>,
    /// Differs from one run of the service to the next, unless it kept its list.
    run: u64,
    version: u64,
    peers: Peers,
    watchers: BTreeSet<ConnectionId>,
    /// As told to edges; `seen` is what the service itself knows.
    told: BTreeMap<String, Member>,
    seen: BTreeMap<String, Member>,
    changes: VecDeque<(u64, EndpointRecord, Micros)>,
    due: BTreeSet<(Micros, String)>,
    /// Calls in hand, with the run and the version that each caller knows, and until when its core is at one.
    calls: VecDeque<(ConnectionId, u64, u64)>,
    busy: Micros,
}

impl ListService {
    pub fn new(spec: ListSpec, seed: u64, run: u64, faults: Shared<ListFaults>) -> Self {
        ListService {
            spec,
            chance: Rng::new(seed),
            faults,
            run,
            version: 0,
            peers: Peers::default(),
            watchers: BTreeSet::new(),
            told: BTreeMap::new(),
            seen: BTreeMap::new(),
            changes: VecDeque::new(),
            due: BTreeSet::new(),
            calls: VecDeque::new(),
            busy: 0,
        }
    }
    /// Workers that it knows from the start, as one that kept its list would.
    pub fn with_rows(mut self, now: Micros, rows: &[EndpointRecord]) -> Self {
        for row in rows {
            let started = if row.age_us < 0 { 0 } else { now - row.age_us };
            let member = || Member {
                row: row.clone(),
                started,
                heard: now,
                conn: None,
            };
            self.told.insert(row.name.clone(), member());
            self.seen.insert(row.name.clone(), member());
        }
        self.version = 1;
        self
    }
    fn aged(row: &EndpointRecord, started: Micros, now: Micros) -> EndpointRecord {
        EndpointRecord {
            age_us: if started > 0 { now - started } else { -1 },
            ..row.clone()
        }
    }
    fn whole(&self, now: Micros) -> EndpointUpdate {
        let stands = self.told.values().filter(|m| m.row.phase != Phase::Gone);
        let rows = stands.map(|m| Self::aged(&m.row, m.started, now)).collect();
        EndpointUpdate {
            version: self.version,
            service_incarnation: self.run,
            is_full_snapshot: true,
            base_version: 0,
            endpoints: rows,
        }
    }
    /// Takes the calls in hand up, one after the other, as far as its core gets by now.
    fn answer_calls(&mut self, now: Micros) {
        while self.busy <= now {
            let Some((conn, run, version)) = self.calls.pop_front() else {
                return;
            };
            let rows = self.rows_for(now, run, version);
            self.busy = now
                + if rows.is_full_snapshot {
                    self.spec.whole
                } else {
                    self.spec.change
                };
            self.watchers.insert(conn);
            self.peers
                .send(conn, &frame(&FromDiscovery::Endpoints(rows)));
        }
    }
    fn rows_for(&self, now: Micros, run: u64, version: u64) -> EndpointUpdate {
        let first = self.changes.front().map_or(self.version, |(v, ..)| v - 1);
        if run != self.run || version < first || version > self.version || version == 0 {
            return self.whole(now);
        }
        let since = self.changes.iter().filter(|(v, ..)| *v > version);
        let rows = since
            .map(|(_, row, started)| Self::aged(row, *started, now))
            .collect();
        EndpointUpdate {
            version: self.version,
            service_incarnation: self.run,
            is_full_snapshot: false,
            base_version: version,
            endpoints: rows,
        }
    }
    fn forget(&mut self, conn: ConnectionId) {
        self.peers.remove(conn);
        self.watchers.remove(&conn);
        self.calls.retain(|(caller, ..)| *caller != conn);
    }
    /// Something about a worker has changed; edges are told in a while.
    fn later(&mut self, now: Micros, name: &str) {
        let (from, to) = self.spec.notice;
        let wait = from
            + (self.chance.next_f64() * (to - from) as f64) as Micros
            + self.faults.borrow().lags;
        self.due.insert((now + wait, name.to_string()));
    }
    fn tell(&mut self, now: Micros, name: &str) {
        let Some(seen) = self.seen.get(name) else {
            return;
        };
        let (row, started) = (seen.row.clone(), seen.started);
        if self
            .told
            .get(name)
            .is_some_and(|t| t.row.phase == row.phase && t.row.incarnation == row.incarnation)
        {
            return;
        }
        let member = Member {
            row: row.clone(),
            started,
            heard: now,
            conn: None,
        };
        self.told.insert(name.to_string(), member);
        self.version += 1;
        self.changes.push_back((self.version, row.clone(), started));
        if self.changes.len() > self.spec.changes_kept {
            self.changes.pop_front();
        }
        let rows = vec![Self::aged(&row, started, now)];
        let (version, run) = (self.version, self.run);
        let change = frame(&FromDiscovery::Endpoints(EndpointUpdate {
            version,
            service_incarnation: run,
            is_full_snapshot: false,
            base_version: version - 1,
            endpoints: rows,
        }));
        self.watchers
            .iter()
            .for_each(|conn| self.peers.send(*conn, &change));
    }
    fn message(&mut self, now: Micros, conn: ConnectionId, message: ToDiscovery, io: &mut dyn Io) {
        match message {
            ToDiscovery::Hello(_) => {
                let hello = Hello {
                    version: VERSION,
                    name: "list".into(),
                    incarnation: self.run,
                    age_us: None,
                };
                self.peers.send(conn, &frame(&FromDiscovery::Hello(hello)));
            }
            ToDiscovery::Watch(_) if self.calls.len() >= self.spec.most => {
                self.forget(conn);
                io.reset(conn);
            }
            ToDiscovery::Watch(w) => self
                .calls
                .push_back((conn, w.service_incarnation, w.version)),
            ToDiscovery::Register(row) => {
                let name = row.name.clone();
                if self
                    .seen
                    .get(&name)
                    .is_some_and(|m| m.row.incarnation > row.incarnation)
                {
                    return;
                }
                let started = if row.age_us < 0 { 0 } else { now - row.age_us };
                self.seen.insert(
                    name.clone(),
                    Member {
                        row,
                        started,
                        heard: now,
                        conn: Some(conn),
                    },
                );
                self.later(now, &name);
            }
            ToDiscovery::Heartbeat(beat) => {
                let heard =
                    |m: &&mut Member| m.conn == Some(conn) && m.row.incarnation == beat.incarnation;
                if let Some(member) = self.seen.values_mut().find(heard) {
                    member.heard = now;
                }
            }
        }
    }
    fn lost(&mut self, now: Micros, names: Vec<String>) {
        for name in names {
            if let Some(member) = self.seen.get_mut(&name) {
                (member.row.phase, member.conn) = (Phase::Gone, None);
            }
            self.later(now, &name);
        }
    }
}

impl Core for ListService {
    fn start(&mut self, now: Micros, _: &mut dyn Io) {
        self.seen.values_mut().for_each(|m| m.heard = now);
    }
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        match event {
            Event::Accepted { conn, .. } => self.peers.add(conn),
            Event::Writable { conn } => self.peers.unblock(conn),
            Event::Closed { conn, .. } => {
                self.forget(conn);
                let owned = self.seen.values().filter(|m| m.conn == Some(conn));
                let names = owned.map(|m| m.row.name.clone()).collect();
                self.lost(now, names);
            }
            Event::Bytes { conn, bytes } => {
                self.peers.take_in(conn, bytes);
                loop {
                    match self.peers.next_message::<ToDiscovery>(conn) {
                        Ok(Some(message)) => self.message(now, conn, message, io),
                        Ok(None) => break,
                        Err(_) => {
                            self.forget(conn);
                            io.reset(conn);
                            break;
                        }
                    }
                }
            }
            Event::Connected { .. } => {}
        }
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        let silent = now - self.spec.silent_after;
        let gone = self
            .seen
            .values()
            .filter(|m| m.row.phase != Phase::Gone && m.heard < silent);
        let (names, conns): (Vec<String>, Vec<Option<ConnectionId>>) =
            gone.map(|m| (m.row.name.clone(), m.conn)).unzip();
        self.lost(now, names);
        // One that is heard again has to tell of itself anew.
        for conn in conns.into_iter().flatten() {
            self.peers.remove(conn);
            io.reset(conn);
        }
        while let Some((at, name)) = self.due.first().cloned().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, name.clone()));
            self.tell(now, &name);
        }
        self.answer_calls(now);
        self.peers.flush(io);
    }
    fn next_wakeup(&self) -> Option<Micros> {
        let due = self.due.first().map(|(at, _)| *at);
        let stands = self.seen.values().filter(|m| m.row.phase != Phase::Gone);
        let silent = stands.map(|m| m.heard + self.spec.silent_after + 1).min();
        let calls = (!self.calls.is_empty()).then_some(self.busy);
        due.into_iter().chain(silent).chain(calls).min()
    }
    fn is_done(&self) -> bool {
        true
    }
}
