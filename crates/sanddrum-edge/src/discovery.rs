//! Following the list service: whole lists and changes by version, called again after a growing wait.

use crate::discovery_version::DiscoveryVersion;
use crate::endpoint_cache::{self, CachedState};
use crate::{EdgeState, Owner, Timer};
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

pub(crate) struct Discovery {
    zones: Vec<String>,
    pub conn: Option<ConnectionId>,
    pub is_connected: bool,
    frames: FrameDecoder,
    out: Option<Outbox<()>>,
    known: DiscoveryVersion,
    /// The list as it stands, and when each worker's process started (nought: long ago).
    endpoints: BTreeMap<WorkerId, (EndpointRecord, Micros)>,
    pub backoff: Backoff,
    /// When to look whether it is up, or to call again; what fell due before is of an earlier call.
    pub next: Micros,
    save_scheduled: bool,
}

impl Discovery {
    pub fn from_settings(settings: &LoadedSettings) -> Self {
        let span = |name: &str| settings.duration_us(&format!("limits.list-retry-{name}-us"));
        Discovery {
            zones: settings.names("zones"),
            conn: None,
            is_connected: false,
            frames: FrameDecoder::default(),
            out: None,
            known: DiscoveryVersion::default(),
            endpoints: BTreeMap::new(),
            backoff: Backoff::new(span("least"), span("most")),
            next: 0,
            save_scheduled: false,
        }
    }
    pub fn count(&self) -> usize {
        self.endpoints.len()
    }
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
    /// What a worker was last listed as.
    pub fn phase(&self, worker: WorkerId) -> Option<Phase> {
        self.endpoints
            .get(&worker)
            .map(|(endpoint, _)| endpoint.phase)
    }
    /// Workers that have gone are not remembered where none comes back under its name.
    pub fn remove_gone(&mut self) {
        self.endpoints
            .retain(|_, (endpoint, _)| endpoint.phase != Phase::Gone);
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
    fn started(&self, worker: WorkerId, endpoint: &EndpointRecord, now: Micros) -> (u64, Micros) {
        match self.endpoints.get(&worker) {
            Some((known, started)) if known.incarnation >= endpoint.incarnation => {
                (known.incarnation, *started)
            }
            _ if endpoint.age_us < 0 => (endpoint.incarnation, 0),
            _ => (endpoint.incarnation, (now - endpoint.age_us).max(1)),
        }
    }
    fn endpoint_of(
        &self,
        worker: WorkerId,
        endpoint: &EndpointRecord,
        started: Micros,
    ) -> Endpoint {
        Endpoint {
            worker,
            zone: self.zone(&endpoint.zone),
            cell: CellId(endpoint.cell as usize),
            kind: KindId(endpoint.kind as usize),
            size: endpoint.size,
            state: match endpoint.phase {
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
struct DiscoveryActions {
    connect: bool,
    poll: bool,
    disconnect: bool,
    wake: Micros,
}

impl Decisions for DiscoveryActions {
    fn connect(&mut self) {
        self.connect = true;
    }
    fn poll(&mut self) {
        self.poll = true;
    }
    fn disconnect(&mut self) {
        self.disconnect = true;
    }
    fn wake_at(&mut self, at: Micros) {
        self.wake = at;
    }
}

impl EdgeState {
    /// What is kept over a restart: the list, and what must never be forgotten of the keys.
    pub(crate) fn restore_cached_state(&mut self, now: Micros) {
        let Some(bytes) = self.cached_state.take() else {
            return;
        };
        match endpoint_cache::read(&bytes) {
            Ok(kept) => {
                self.discovery.known = DiscoveryVersion {
                    service_incarnation: kept.service_incarnation,
                    version: kept.version,
                };
                self.identity.restore_floor(&kept);
                // No time is added that has passed since: nothing tells it but a wall clock, which may have been stepped.
                let rows = &kept.endpoints;
                tracing::info!(
                    workers = rows.len(),
                    version = kept.version,
                    "the kept worker list is taken up"
                );
                self.apply_endpoints(now, EndpointListKind::Cached, rows);
            }
            Err(why) => tracing::warn!(
                reason = "kept-list",
                why,
                "the kept worker list is not used"
            ),
        }
    }

    pub(crate) fn apply_endpoints(
        &mut self,
        now: Micros,
        kind: EndpointListKind,
        rows: &[EndpointRecord],
    ) {
        if kind != EndpointListKind::Delta {
            let listed: BTreeSet<WorkerId> = rows
                .iter()
                .map(|endpoint| WorkerId(stable_id(&endpoint.name)))
                .collect();
            self.discovery
                .endpoints
                .retain(|worker, _| listed.contains(worker));
            self.remove_unlisted_workers(now, &listed);
        }
        let mut told = EndpointList {
            kind,
            endpoints: Vec::new(),
        };
        for endpoint in rows {
            let worker = WorkerId(stable_id(&endpoint.name));
            let (incarnation, started) = self.discovery.started(worker, endpoint, now);
            let listed = self.discovery.endpoint_of(worker, endpoint, started);
            self.handle_address_changes(now, worker, endpoint, incarnation);
            self.worker_connections
                .update_endpoint(&listed, &endpoint.name, &endpoint.address);
            match endpoint.phase {
                Phase::Ready => {}
                Phase::Draining => self.retract_unsent(now, worker),
                Phase::Gone => self.remove_worker(now, worker),
            }
            told.endpoints.push(listed);
            self.discovery.endpoints.insert(
                worker,
                (
                    EndpointRecord {
                        incarnation,
                        ..endpoint.clone()
                    },
                    started,
                ),
            );
        }
        self.metrics
            .workers_listed
            .set(self.discovery.endpoints.len() as f64);
        self.batch.endpoint_lists.push(told);
    }

    /// A worker that has moved is called at its new address only, and one whose address a later start has taken over is
    /// called no more. Guards against work for a worker long warm that comes to a cold one in its place.
    fn handle_address_changes(
        &mut self,
        now: Micros,
        worker: WorkerId,
        endpoint: &EndpointRecord,
        incarnation: u64,
    ) {
        if self.worker_connections.address_changed(endpoint) {
            self.retire_worker(now, worker);
        }
        if endpoint.phase != Phase::Ready {
            return;
        }
        for other in self.worker_connections.others_at_address(endpoint) {
            let before = self
                .discovery
                .endpoints
                .get(&other)
                .is_none_or(|(endpoint, _)| endpoint.incarnation < incarnation);
            if before {
                self.remove_worker(now, other);
            }
        }
    }

    /// A worker's greeting tells of a start that the list has not told yet: its copies are gone and it is cold.
    pub(crate) fn on_worker_restart(
        &mut self,
        now: Micros,
        worker: WorkerId,
        incarnation: u64,
        age: Option<Micros>,
    ) {
        let Some((endpoint, _)) = self.discovery.endpoints.get(&worker) else {
            return;
        };
        if incarnation <= endpoint.incarnation {
            return;
        }
        let Some(age) = age else { return };
        let endpoint = EndpointRecord {
            incarnation,
            age_us: age,
            ..endpoint.clone()
        };
        tracing::info!(
            worker = endpoint.name,
            age_us = age,
            "a worker greets after a restart"
        );
        self.apply_endpoints(now, EndpointListKind::Delta, &[endpoint]);
    }

    /// Has the module for starts decide on what came in, and carries it out.
    pub(crate) fn run_bootstrap(
        &mut self,
        now: Micros,
        events: &[DiscoveryEvent],
        io: &mut dyn Io,
    ) {
        let mut wanted = DiscoveryActions::default();
        let before = self.bootstrap.readiness();
        self.bootstrap.handle(now, events, &mut wanted);
        if wanted.disconnect {
            self.disconnect_discovery(io);
        }
        if wanted.connect {
            self.connect_discovery(now, io);
        }
        if wanted.poll {
            let watch = self.discovery.known.watch();
            if let Some(out) = &mut self.discovery.out {
                let _ = out.push((), &encode_frame(&ToDiscovery::Watch(watch)));
            }
            self.discovery
                .conn
                .into_iter()
                .for_each(|conn| self.flush_discovery(conn, io));
        }
        let step = self.bootstrap.readiness();
        if step != before || self.discovery.next == 0 {
            tracing::info!(step = step.name(), "the edge's start");
            self.metrics.readiness_step.set(f64::from(step as u8));
        }
        self.schedule_discovery_check(wanted.wake.max(now + 1));
    }
    fn connect_discovery(&mut self, now: Micros, io: &mut dyn Io) {
        self.disconnect_discovery(io);
        let conn = io.connect(self.settings.text("edge.list"));
        self.connection_owners.insert(conn, Owner::Discovery);
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
            &encode_frame(&ToDiscovery::Watch(self.discovery.known.watch())),
        );
        self.discovery.conn = Some(conn);
        self.discovery.out = Some(out);
        self.discovery.is_connected = false;
        self.discovery.frames = FrameDecoder::new(self.limits.largest_frame);
        tracing::debug!(at = now, "the list service is called");
    }
    /// The list service's time: a call, a check or a question may be due.
    pub(crate) fn check_discovery(&mut self, now: Micros, io: &mut dyn Io) {
        if now >= self.discovery.next {
            self.run_bootstrap(now, &[], io);
        }
    }
    pub(crate) fn schedule_discovery_check(&mut self, at: Micros) {
        self.discovery.next = at;
        self.timers.insert((at, Timer::Discovery));
    }

    fn disconnect_discovery(&mut self, io: &mut dyn Io) {
        if let Some(conn) = self.discovery.conn.take() {
            self.connection_owners.remove(&conn);
            io.reset(conn);
            self.on_discovery_lost();
        }
    }
    fn on_discovery_lost(&mut self) {
        self.discovery.is_connected = false;
        tracing::info!(
            reason = "list-away",
            "the list service does not answer; the last list holds"
        );
        self.metrics.discovery_losses.increment(1);
    }
    pub(crate) fn on_discovery_event(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        event: Event<'_>,
        io: &mut dyn Io,
    ) {
        if self.discovery.conn != Some(conn) {
            return;
        }
        match event {
            Event::Connected { .. } => {
                self.discovery.is_connected = true;
                self.flush_discovery(conn, io);
            }
            Event::Writable { .. } => {
                self.discovery.out.iter_mut().for_each(Outbox::unblock);
                self.flush_discovery(conn, io);
            }
            Event::Bytes { bytes, .. } => {
                self.discovery.frames.push_bytes(bytes);
                loop {
                    match self.discovery.frames.next_message::<FromDiscovery>() {
                        Ok(None) => break,
                        Ok(Some(FromDiscovery::Endpoints(rows))) => {
                            self.on_endpoint_update(now, &rows, io)
                        }
                        Ok(Some(FromDiscovery::Hello(_))) => {}
                        Err(e) => {
                            tracing::warn!(reason = "garbled-list", problem = %e, "the list service is called anew");
                            self.disconnect_discovery(io);
                            return self.run_bootstrap(now, &[DiscoveryEvent::Disconnected], io);
                        }
                    }
                }
            }
            Event::Closed { .. } => {
                self.discovery.conn = None;
                self.on_discovery_lost();
                self.run_bootstrap(now, &[DiscoveryEvent::Disconnected], io);
            }
            Event::Accepted { .. } => {}
        }
    }
    fn flush_discovery(&mut self, conn: ConnectionId, io: &mut dyn Io) {
        self.discovery
            .out
            .iter_mut()
            .for_each(|out| out.flush(conn, io));
    }

    fn on_endpoint_update(&mut self, now: Micros, rows: &EndpointUpdate, io: &mut dyn Io) {
        let head = rows.head();
        if !self.discovery.known.is_followed_by(head) {
            // A change was missed: the service tells what follows on the version that is known, or the whole list. What
            // this one says is true all the same, and a drain that waited for the rest would be found out too late.
            self.apply_endpoints(now, EndpointListKind::Delta, &rows.endpoints);
            return self.run_bootstrap(now, &[DiscoveryEvent::Gap], io);
        }
        self.run_bootstrap(now, &[DiscoveryEvent::Answered], io);
        if !self.discovery.known.advance(head) {
            return;
        }
        let kind = if rows.is_full_snapshot {
            EndpointListKind::Full
        } else {
            EndpointListKind::Delta
        };
        self.apply_endpoints(now, kind, &rows.endpoints);
        if !self.discovery.save_scheduled {
            self.discovery.save_scheduled = true;
            self.timers
                .insert((now + self.limits.save_least, Timer::SaveState));
        }
    }

    pub(crate) fn save_state_now(&mut self, now: Micros, io: &mut dyn Io) {
        self.discovery.save_scheduled = false;
        self.save_state(now, io);
    }
    pub(crate) fn save_state(&self, now: Micros, io: &mut dyn Io) {
        let live = self
            .discovery
            .endpoints
            .values()
            .filter(|(endpoint, _)| endpoint.phase != Phase::Gone);
        let aged = |(endpoint, started): &(EndpointRecord, Micros)| {
            let age_us = if *started > 0 { now - started } else { -1 };
            EndpointRecord {
                age_us,
                ..endpoint.clone()
            }
        };
        let rows = live.map(aged).collect();
        let DiscoveryVersion {
            service_incarnation,
            version,
        } = self.discovery.known;
        let (keys_version, keys_revoked) = self.identity.floor();
        io.save_state(&endpoint_cache::write(&CachedState {
            saved_at: now,
            service_incarnation,
            version,
            endpoints: rows,
            keys_version,
            keys_revoked,
        }));
    }
}
