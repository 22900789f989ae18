//! Following the list service: whole lists and changes by version, called again after a growing wait.

use crate::discovery_version::Known;
use crate::endpoint_cache::{self, Kept};
use crate::{Due, Inner, Owner};
use sanddrum::{
    CellId, Endpoint, EndpointList, EndpointListKind, KindId, Micros, WorkerId, WorkerState, ZoneId,
};
use sanddrum_bootstrap::{Decisions, DiscoveryEvent};
use sanddrum_net::{ConnectionId, Event, Io, Outbox};
use sanddrum_settings::LoadedSettings;
use sanddrum_upstream::Backoff;
use sanddrum_wire::{
    frame::encode_frame, stable_id, EndpointRecord, EndpointUpdate, FrameDecoder, FromDiscovery,
    Hello, Phase, ToDiscovery, VERSION,
};
use std::collections::{BTreeMap, BTreeSet};

pub(crate) struct List {
    zones: Vec<String>,
    pub conn: Option<ConnectionId>,
    pub up: bool,
    frames: FrameDecoder,
    out: Option<Outbox<()>>,
    known: Known,
    /// The list as it stands, and when each worker's process started (nought: long ago).
    rows: BTreeMap<WorkerId, (EndpointRecord, Micros)>,
    pub backoff: Backoff,
    /// When to look whether it is up, or to call again; what fell due before is of an earlier call.
    pub next: Micros,
    saving: bool,
}

impl List {
    pub fn of(l: &LoadedSettings) -> Self {
        let span = |name: &str| l.duration_us(&format!("limits.list-retry-{name}-us"));
        List {
            zones: l.names("zones"),
            conn: None,
            up: false,
            frames: FrameDecoder::default(),
            out: None,
            known: Known::default(),
            rows: BTreeMap::new(),
            backoff: Backoff::new(span("least"), span("most")),
            next: 0,
            saving: false,
        }
    }
    pub fn count(&self) -> usize {
        self.rows.len()
    }
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
    /// What a worker was last listed as.
    pub fn phase(&self, worker: WorkerId) -> Option<Phase> {
        self.rows.get(&worker).map(|(row, _)| row.phase)
    }
    /// Workers that have gone are not remembered where none comes back under its name.
    pub fn forget_gone(&mut self) {
        self.rows.retain(|_, (row, _)| row.phase != Phase::Gone);
    }
    /// Zones that the settings do not name count as further ones.
    fn zone(&self, name: &str) -> ZoneId {
        ZoneId(
            self.zones
                .iter()
                .position(|z| z == name)
                .unwrap_or(self.zones.len()),
        )
    }
    /// When a worker's process started. The same start stays the same instant, however often it is told, as a
    /// later one would mean a restart; an older incarnation is stale news.
    fn started(&self, worker: WorkerId, row: &EndpointRecord, now: Micros) -> (u64, Micros) {
        match self.rows.get(&worker) {
            Some((known, started)) if known.incarnation >= row.incarnation => {
                (known.incarnation, *started)
            }
            _ if row.age_us < 0 => (row.incarnation, 0),
            _ => (row.incarnation, (now - row.age_us).max(1)),
        }
    }
    fn worker_row(&self, worker: WorkerId, row: &EndpointRecord, started: Micros) -> Endpoint {
        Endpoint {
            worker,
            zone: self.zone(&row.zone),
            cell: CellId(row.cell as usize),
            kind: KindId(row.kind as usize),
            size: row.size,
            state: match row.phase {
                Phase::Ready => WorkerState::Ready,
                Phase::Draining => WorkerState::Draining,
                Phase::Gone => WorkerState::Gone,
            },
            started_at: started,
        }
    }
}

/// What is to be done about the list service.
#[derive(Default)]
struct Wanted {
    calls: bool,
    asks: bool,
    hangs_up: bool,
    wake: Micros,
}

impl Decisions for Wanted {
    fn connect(&mut self) {
        self.calls = true;
    }
    fn poll(&mut self) {
        self.asks = true;
    }
    fn disconnect(&mut self) {
        self.hangs_up = true;
    }
    fn wake_at(&mut self, at: Micros) {
        self.wake = at;
    }
}

impl Inner {
    /// What is kept over a restart: the list, and what must never be forgotten of the keys.
    pub(crate) fn take_up_kept_list(&mut self, now: Micros) {
        let Some(bytes) = self.kept.take() else {
            return;
        };
        match endpoint_cache::read(&bytes) {
            Ok(kept) => {
                self.list.known = Known {
                    run: kept.run,
                    version: kept.version,
                };
                self.identity.remember_floor(&kept);
                // No time is added that has passed since: nothing tells it but a wall clock, which may have been stepped.
                let rows = &kept.rows;
                tracing::info!(
                    workers = rows.len(),
                    version = kept.version,
                    "the kept worker list is taken up"
                );
                self.take_rows(now, EndpointListKind::Cached, rows);
            }
            Err(why) => tracing::warn!(
                reason = "kept-list",
                why,
                "the kept worker list is not used"
            ),
        }
    }

    pub(crate) fn take_rows(
        &mut self,
        now: Micros,
        kind: EndpointListKind,
        rows: &[EndpointRecord],
    ) {
        if kind != EndpointListKind::Delta {
            let listed: BTreeSet<WorkerId> = rows
                .iter()
                .map(|row| WorkerId(stable_id(&row.name)))
                .collect();
            self.list.rows.retain(|worker, _| listed.contains(worker));
            self.only_these_stand(now, &listed);
        }
        let mut told = EndpointList {
            kind,
            endpoints: Vec::new(),
        };
        for row in rows {
            let worker = WorkerId(stable_id(&row.name));
            let (incarnation, started) = self.list.started(worker, row, now);
            let listed = self.list.worker_row(worker, row, started);
            self.look_at_addresses(now, worker, row, incarnation);
            self.links.set_target(&listed, &row.name, &row.address);
            match row.phase {
                Phase::Ready => {}
                Phase::Draining => self.recall_from(now, worker),
                Phase::Gone => self.worker_gone(now, worker),
            }
            told.endpoints.push(listed);
            self.list.rows.insert(
                worker,
                (
                    EndpointRecord {
                        incarnation,
                        ..row.clone()
                    },
                    started,
                ),
            );
        }
        self.figures.workers_listed.set(self.list.rows.len() as f64);
        self.round.endpoint_lists.push(told);
    }

    /// A worker that has moved is called at its new address only, and one whose address a later start has taken over is
    /// called no more. Guards against work for a worker long warm that comes to a cold one in its place.
    fn look_at_addresses(
        &mut self,
        now: Micros,
        worker: WorkerId,
        row: &EndpointRecord,
        incarnation: u64,
    ) {
        if self.links.has_moved(row) {
            self.leave_worker(now, worker);
        }
        if row.phase != Phase::Ready {
            return;
        }
        for other in self.links.called_at(row) {
            let before = self
                .list
                .rows
                .get(&other)
                .is_none_or(|(row, _)| row.incarnation < incarnation);
            if before {
                self.worker_gone(now, other);
            }
        }
    }

    /// A worker's greeting tells of a start that the list has not told yet: its copies are gone and it is cold.
    pub(crate) fn worker_started(
        &mut self,
        now: Micros,
        worker: WorkerId,
        incarnation: u64,
        age: Option<Micros>,
    ) {
        let Some((row, _)) = self.list.rows.get(&worker) else {
            return;
        };
        if incarnation <= row.incarnation {
            return;
        }
        let Some(age) = age else { return };
        let row = EndpointRecord {
            incarnation,
            age_us: age,
            ..row.clone()
        };
        tracing::info!(
            worker = row.name,
            age_us = age,
            "a worker greets after a restart"
        );
        self.take_rows(now, EndpointListKind::Delta, &[row]);
    }

    /// Has the module for starts decide on what came in, and carries it out.
    pub(crate) fn follow_list(&mut self, now: Micros, news: &[DiscoveryEvent], io: &mut dyn Io) {
        let mut wanted = Wanted::default();
        let before = self.start.readiness();
        self.start.handle(now, news, &mut wanted);
        if wanted.hangs_up {
            self.leave_list(io);
        }
        if wanted.calls {
            self.call_list(now, io);
        }
        if wanted.asks {
            let watch = self.list.known.watch();
            if let Some(out) = &mut self.list.out {
                let _ = out.push((), &encode_frame(&ToDiscovery::Watch(watch)));
            }
            self.list
                .conn
                .into_iter()
                .for_each(|conn| self.flush_list(conn, io));
        }
        let step = self.start.readiness();
        if step != before || self.list.next == 0 {
            tracing::info!(step = step.name(), "the edge's start");
            self.figures.start_step.set(f64::from(step as u8));
        }
        self.look_at_list_at(wanted.wake.max(now + 1));
    }
    fn call_list(&mut self, now: Micros, io: &mut dyn Io) {
        self.leave_list(io);
        let conn = io.connect(self.settings.text("edge.list"));
        self.owners.insert(conn, Owner::List);
        let name = self.settings.text("edge.name").to_string();
        let mut out = Outbox::new(self.limits.largest_frame);
        let hello = Hello {
            version: VERSION,
            name,
            incarnation: self.incarnation,
            age_us: None,
        };
        let _ = out.push((), &encode_frame(&ToDiscovery::Hello(hello)));
        let _ = out.push(
            (),
            &encode_frame(&ToDiscovery::Watch(self.list.known.watch())),
        );
        self.list.conn = Some(conn);
        self.list.out = Some(out);
        self.list.up = false;
        self.list.frames = FrameDecoder::new(self.limits.largest_frame);
        tracing::debug!(at = now, "the list service is called");
    }
    /// The list service's time: a call, a check or a question may be due.
    pub(crate) fn look_at_list(&mut self, now: Micros, io: &mut dyn Io) {
        if now >= self.list.next {
            self.follow_list(now, &[], io);
        }
    }
    pub(crate) fn look_at_list_at(&mut self, at: Micros) {
        self.list.next = at;
        self.due.insert((at, Due::List));
    }

    fn leave_list(&mut self, io: &mut dyn Io) {
        if let Some(conn) = self.list.conn.take() {
            self.owners.remove(&conn);
            io.reset(conn);
            self.list_is_away();
        }
    }
    fn list_is_away(&mut self) {
        self.list.up = false;
        tracing::info!(
            reason = "list-away",
            "the list service does not answer; the last list holds"
        );
        self.figures.list_losses.increment(1);
    }
    pub(crate) fn list_event(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        event: Event<'_>,
        io: &mut dyn Io,
    ) {
        if self.list.conn != Some(conn) {
            return;
        }
        match event {
            Event::Connected { .. } => {
                self.list.up = true;
                self.flush_list(conn, io);
            }
            Event::Writable { .. } => {
                self.list.out.iter_mut().for_each(Outbox::unblock);
                self.flush_list(conn, io);
            }
            Event::Bytes { bytes, .. } => {
                self.list.frames.push_bytes(bytes);
                loop {
                    match self.list.frames.next_message::<FromDiscovery>() {
                        Ok(None) => break,
                        Ok(Some(FromDiscovery::Endpoints(rows))) => self.list_rows(now, &rows, io),
                        Ok(Some(FromDiscovery::Hello(_))) => {}
                        Err(e) => {
                            tracing::warn!(reason = "garbled-list", problem = %e, "the list service is called anew");
                            self.leave_list(io);
                            return self.follow_list(now, &[DiscoveryEvent::Disconnected], io);
                        }
                    }
                }
            }
            Event::Closed { .. } => {
                self.list.conn = None;
                self.list_is_away();
                self.follow_list(now, &[DiscoveryEvent::Disconnected], io);
            }
            Event::Accepted { .. } => {}
        }
    }
    fn flush_list(&mut self, conn: ConnectionId, io: &mut dyn Io) {
        self.list.out.iter_mut().for_each(|out| out.flush(conn, io));
    }

    fn list_rows(&mut self, now: Micros, rows: &EndpointUpdate, io: &mut dyn Io) {
        let head = rows.head();
        if !self.list.known.is_followed_by(head) {
            // A change was missed: the service tells what follows on the version that is known, or the whole list. What
            // this one says is true all the same, and a drain that waited for the rest would be found out too late.
            self.take_rows(now, EndpointListKind::Delta, &rows.endpoints);
            return self.follow_list(now, &[DiscoveryEvent::Gap], io);
        }
        self.follow_list(now, &[DiscoveryEvent::Answered], io);
        if !self.list.known.take(head) {
            return;
        }
        let kind = if rows.is_full_snapshot {
            EndpointListKind::Full
        } else {
            EndpointListKind::Delta
        };
        self.take_rows(now, kind, &rows.endpoints);
        if !self.list.saving {
            self.list.saving = true;
            self.due.insert((now + self.limits.save_least, Due::Save));
        }
    }

    pub(crate) fn save_list(&mut self, now: Micros, io: &mut dyn Io) {
        self.list.saving = false;
        self.save_state(now, io);
    }
    pub(crate) fn save_state(&self, now: Micros, io: &mut dyn Io) {
        let stands = self
            .list
            .rows
            .values()
            .filter(|(row, _)| row.phase != Phase::Gone);
        let aged = |(row, started): &(EndpointRecord, Micros)| {
            let age_us = if *started > 0 { now - started } else { -1 };
            EndpointRecord {
                age_us,
                ..row.clone()
            }
        };
        let rows = stands.map(aged).collect();
        let Known { run, version } = self.list.known;
        let (keys_version, keys_revoked) = self.identity.floor();
        io.save_state(&endpoint_cache::write(&Kept {
            at: now,
            run,
            version,
            rows,
            keys_version,
            keys_revoked,
        }));
    }
}
