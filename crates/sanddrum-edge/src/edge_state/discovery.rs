//! The endpoint list: receiving it from the discovery service, the control feed or the cache, applying and saving it.

use super::EdgeState;
use crate::control_feed::FeedAnswer;
use crate::discovery_version::DiscoveryVersion;
use crate::endpoint_cache::{self, CachedState};
use crate::endpoint_freshness::{FreshnessChange, Poll};
use crate::endpoint_table::WorkerStart;
use crate::timers::Timer;
use sanddrum::{EndpointList, EndpointListKind, Micros, WorkerId};
use sanddrum_bootstrap::DiscoveryEvent;
use sanddrum_net::{ConnectionId, Event, Io};
use sanddrum_platform::control_feed::FeedEvents;
use sanddrum_platform::start_times::ClockReading;
use sanddrum_upstream::EndpointChange;
use sanddrum_wire::{stable_id, EndpointRecord, EndpointUpdate, Phase};
use std::collections::BTreeSet;

impl EdgeState {
    /// Starts the edge with the cached state and the events of the startup configuration, and connects to the
    /// discovery service or the control feed.
    pub fn start(&mut self, now: Micros, io: &mut dyn Io) {
        self.started_at = now;
        self.restore_cached_state(now);
        if let Some(events) = self.initial_events.take() {
            self.apply_feed_events(now, events, io);
        }
        if let Some(feed) = &mut self.control_feed {
            feed.start(now);
            self.batch.endpoint_confirmation = Some(feed.confirmation());
        }
        if self.is_on_platform() {
            return self.check_discovery(now, io);
        }
        let has_cache = !self.endpoints.is_empty();
        let events = [DiscoveryEvent::Started { has_cache }];
        self.discovery.run(&mut self.context, now, &events, io);
    }

    fn restore_cached_state(&mut self, now: Micros) {
        let Some(bytes) = self.cached_state.take() else {
            return;
        };
        let state = match endpoint_cache::read(&bytes) {
            Ok(state) => state,
            Err(error) => {
                tracing::warn!(
                    reason = "kept-list",
                    why = %error,
                    "cached endpoint list not used"
                );
                return;
            }
        };
        self.discovery.restore_version(DiscoveryVersion {
            service_incarnation: state.service_incarnation,
            version: state.version,
        });
        self.identity.restore_floor(&state);
        tracing::info!(
            workers = state.endpoints.len(),
            version = state.version,
            "cached endpoint list restored"
        );
        // The time since the state was saved is not added to the workers' ages: only wall clocks could measure it, and
        // they may have been stepped.
        self.apply_endpoints(now, EndpointListKind::Cached, &state.endpoints);
    }

    /// Applies an endpoint list or a delta.
    fn apply_endpoints(&mut self, now: Micros, kind: EndpointListKind, records: &[EndpointRecord]) {
        if kind != EndpointListKind::Delta {
            self.remove_unlisted(now, records);
        }
        let mut list = EndpointList {
            kind,
            endpoints: Vec::new(),
        };
        let listed_now: BTreeSet<WorkerId> = records.iter().map(worker_id).collect();
        for record in records {
            let worker = worker_id(record);
            let start = self.endpoints.start_of(worker, record, now);
            let listed = self.endpoints.endpoint(worker, record, start.started_at);
            self.handle_address_changes(now, worker, record, start, &listed_now);
            self.worker_connections
                .update_endpoint(&mut self.context, &listed, record);
            match record.phase {
                Phase::Ready => {}
                Phase::Draining => self.retract_from_worker(now, worker),
                Phase::Gone => self.remove_worker(now, worker),
            }
            list.endpoints.push(listed);
            self.endpoints.insert(worker, record, start);
        }
        let workers = self.endpoints.len() as f64;
        self.context.metrics.workers_listed.set(workers);
        self.batch.endpoint_lists.push(list);
    }

    /// Removes all workers that a full list does not contain.
    fn remove_unlisted(&mut self, now: Micros, records: &[EndpointRecord]) {
        let listed: BTreeSet<WorkerId> = records.iter().map(worker_id).collect();
        self.endpoints.retain(&listed);
        for worker in self.worker_connections.workers_except(&listed) {
            let events = &mut self.context.connection_events;
            events
                .endpoint_changes
                .push(EndpointChange::Removed(worker));
            self.remove_worker(now, worker);
        }
    }

    /// Retires the connections to the old address or the old process of a worker, and removes workers whose address a later
    /// one has. Requests for a warm worker would otherwise reach a cold one that has its address.
    fn handle_address_changes(
        &mut self,
        now: Micros,
        worker: WorkerId,
        record: &EndpointRecord,
        start: WorkerStart,
        listed_now: &BTreeSet<WorkerId>,
    ) {
        let known = self.endpoints.record(worker);
        let is_new = known.is_none();
        let has_restarted = known.is_some_and(|known| known.incarnation < start.incarnation);
        // Workers of the native protocol greet with their incarnation, so that a new connection need not be replaced.
        let must_reconnect = has_restarted && self.is_on_platform();
        if must_reconnect || self.worker_connections.has_moved(record) {
            self.retire_worker(now, worker);
        }
        if record.phase != Phase::Ready {
            return;
        }
        // The control feed reports changes in their order, so that a new worker is later than one reported before.
        let is_later_than_listed = is_new && self.is_on_platform();
        for other in self.worker_connections.workers_sharing_address(record) {
            let has_older_start = self
                .endpoints
                .record(other)
                .is_none_or(|other| other.incarnation < start.incarnation);
            if has_older_start || (is_later_than_listed && !listed_now.contains(&other)) {
                self.remove_worker(now, other);
            }
        }
    }

    /// Handles a worker's hello message. If it states a later incarnation than the listed one, the worker has
    /// restarted: its instances are gone and it is cold. The record is updated accordingly.
    pub(super) fn on_worker_restart(
        &mut self,
        now: Micros,
        worker: WorkerId,
        incarnation: u64,
        age: Option<Micros>,
    ) {
        let Some(record) = self.endpoints.record(worker) else {
            return;
        };
        let Some(age) = age.filter(|_| incarnation > record.incarnation) else {
            return;
        };
        let record = EndpointRecord {
            incarnation,
            age_us: age,
            ..record.clone()
        };
        tracing::info!(worker = record.name, age_us = age, "worker has restarted");
        self.apply_endpoints(now, EndpointListKind::Delta, &[record]);
    }

    /// Handles the timer of the discovery client or the control feed client.
    pub(super) fn check_discovery(&mut self, now: Micros, io: &mut dyn Io) {
        match &mut self.control_feed {
            Some(feed) => {
                feed.on_timer(&mut self.context, now, io);
                self.report_stale_endpoints(now);
            }
            None => self.discovery.on_timer(&mut self.context, now, io),
        }
    }

    /// Handles an event of the connection to the discovery service or the control feed.
    pub(super) fn on_discovery_event(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        event: Event<'_>,
        io: &mut dyn Io,
    ) {
        if self.is_on_platform() {
            return self.on_feed_event(now, conn, event, io);
        }
        if !self.discovery.owns(conn) {
            return;
        }
        match event {
            Event::Connected { .. } => self.discovery.on_connected(io),
            Event::Writable { .. } => self.discovery.on_writable(io),
            Event::Bytes { bytes, .. } => self.receive_updates(now, bytes, io),
            Event::Closed { .. } => self.discovery.on_closed(&mut self.context, now, io),
            Event::Accepted { .. } => {}
        }
    }

    fn receive_updates(&mut self, now: Micros, bytes: &[u8], io: &mut dyn Io) {
        self.discovery.push_bytes(bytes);
        while let Some(update) = self.discovery.next_update(&mut self.context, now, io) {
            self.on_endpoint_update(now, &update, io);
        }
    }

    fn on_endpoint_update(&mut self, now: Micros, update: &EndpointUpdate, io: &mut dyn Io) {
        let is_next = self.discovery.version().is_followed_by(update.head());
        if !is_next {
            // An update was missed, so the service is polled for all updates after the edge's version. The content of
            // this update is valid nevertheless; if it were ignored, a draining worker would be noticed too late.
            self.apply_endpoints(now, EndpointListKind::Delta, &update.endpoints);
            return self
                .discovery
                .run(&mut self.context, now, &[DiscoveryEvent::Gap], io);
        }
        self.discovery
            .run(&mut self.context, now, &[DiscoveryEvent::Answered], io);
        if !self.discovery.advance(update) {
            return;
        }
        let kind = if update.is_full_snapshot {
            EndpointListKind::Full
        } else {
            EndpointListKind::Delta
        };
        self.apply_endpoints(now, kind, &update.endpoints);
        self.schedule_save(now);
    }

    fn schedule_save(&mut self, now: Micros) {
        if self.is_save_scheduled {
            return;
        }
        self.is_save_scheduled = true;
        let save_at = now + self.context.limits.min_save_interval;
        self.context.timers.schedule(save_at, Timer::SaveState);
    }

    /// Handles the save timer.
    pub(super) fn save_state_as_scheduled(&mut self, now: Micros, io: &mut dyn Io) {
        self.is_save_scheduled = false;
        // The save is asynchronous, so that responses do not wait for the disk. A list that is lost in a crash is
        // received again.
        io.save_state_later(&self.state_to_save(now));
    }

    /// Saves the state for the next start synchronously, so that revoked keys stay revoked after a crash.
    pub(super) fn save_state(&self, now: Micros, io: &mut dyn Io) {
        io.save_state(&self.state_to_save(now));
    }

    fn state_to_save(&self, now: Micros) -> Vec<u8> {
        let DiscoveryVersion {
            service_incarnation,
            version,
        } = self.discovery.version();
        let floor = self.identity.floor();
        endpoint_cache::write(&CachedState {
            saved_at: now,
            service_incarnation,
            version,
            endpoints: self.endpoints.aged_records(now),
            keys_version: floor.version,
            keys_revoked: floor.revoked.iter().cloned().collect(),
        })
    }

    fn on_feed_event(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        event: Event<'_>,
        io: &mut dyn Io,
    ) {
        let Some(feed) = self.control_feed.as_mut().filter(|feed| feed.owns(conn)) else {
            return;
        };
        let context = &mut self.context;
        match event {
            Event::Connected { .. } => feed.on_connected(context, now, io),
            Event::Bytes { bytes, .. } => match feed.receive(context, conn, bytes, io) {
                Ok(None) => {}
                Ok(Some(answer)) => self.on_feed_answer(now, answer, io),
                Err(error) => feed.on_invalid_answer(context, now, conn, &error, io),
            },
            Event::Closed { .. } => feed.on_closed(context, now, conn, io),
            Event::Accepted { .. } | Event::Writable { .. } => {}
        }
    }

    fn on_feed_answer(&mut self, now: Micros, answer: FeedAnswer, io: &mut dyn Io) {
        let FeedAnswer { events, poll } = answer;
        let has_events = !events.events.is_empty();
        self.apply_feed_events(now, events, io);
        self.record_feed_answer(now, poll, has_events, io.is_poll_overdue());
        if let Some(feed) = &mut self.control_feed {
            feed.poll(&mut self.context, now, io);
        }
    }

    fn record_feed_answer(
        &mut self,
        now: Micros,
        poll: Option<Poll>,
        has_events: bool,
        is_poll_overdue: bool,
    ) {
        let Some(feed) = &mut self.control_feed else {
            return;
        };
        let change = feed.record_answer(now, poll, has_events, is_poll_overdue);
        self.batch.endpoint_confirmation = Some(feed.confirmation());
        if let Some(FreshnessChange::Current) = change {
            tracing::warn!(
                reason = "list-current",
                last_event = feed.last_event(),
                counts = %self.context.counts,
                "the control feed answers again; the endpoint list is current"
            );
        }
    }

    /// Logs that the endpoint list has become stale, once per outage.
    fn report_stale_endpoints(&mut self, now: Micros) {
        let Some(feed) = &mut self.control_feed else {
            return;
        };
        if let Some((FreshnessChange::Stale { age }, why)) = feed.check_freshness(now) {
            tracing::warn!(
                reason = "list-stale",
                why,
                age_us = age,
                last_event = feed.last_event(),
                counts = %self.context.counts,
                "the control feed is unavailable; the endpoint list is stale"
            );
        }
    }

    /// Applies each event of the control feed once, in order.
    pub(super) fn apply_feed_events(&mut self, now: Micros, events: FeedEvents, io: &dyn Io) {
        let Some(feed) = &mut self.control_feed else {
            return;
        };
        let wall = io.wall_clock(now);
        for change in feed.apply(ClockReading { now, wall }, events) {
            self.apply_endpoints(now, change.kind, &change.endpoints);
            self.endpoints.remove_gone();
        }
    }
}

fn worker_id(record: &EndpointRecord) -> WorkerId {
    WorkerId(stable_id(&record.name))
}
