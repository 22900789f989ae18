//! An emulated discovery service. It lists the workers, knows only which processes run, and publishes changes with a
//! delay.

use crate::faults::{DiscoveryFaults, Shared};
use crate::peers::Peers;
use sanddrum_net::{ConnectionId, Core, Event, Io, Micros, Rng};
use sanddrum_wire::{
    frame::encode_frame, EndpointRecord, EndpointUpdate, FromDiscovery, Heartbeat, Hello, Phase,
    ToDiscovery, Watch, VERSION,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The configuration of a discovery service.
#[derive(Clone, Debug)]
pub struct DiscoverySpec {
    /// The minimum delay until a start, a drain or a lost connection is published.
    pub min_publish_delay: Micros,
    /// The maximum delay. Each delay is chosen at random between the two.
    pub max_publish_delay: Micros,
    /// A worker that sends no heartbeat for this long is considered gone.
    pub heartbeat_timeout: Micros,
    /// The number of past changes that are retained for watchers that reconnect. A watcher that misses older changes
    /// gets a full snapshot.
    pub change_history: usize,
    /// Time that encoding a full snapshot takes on the service's only core.
    pub snapshot_cost: Micros,
    /// Time that encoding a delta takes.
    pub delta_cost: Micros,
    /// Watch requests that may wait for an answer. A router that sends a further one is disconnected.
    pub max_pending_watches: usize,
}

/// A worker as the service knows it.
struct Member {
    endpoint: EndpointRecord,
    started_at: Micros,
    last_heartbeat: Micros,
    connection: Option<ConnectionId>,
}

impl Member {
    fn new(endpoint: EndpointRecord, now: Micros, connection: Option<ConnectionId>) -> Self {
        let started_at = if endpoint.age_us < 0 {
            0
        } else {
            now - endpoint.age_us
        };
        Member {
            endpoint,
            started_at,
            last_heartbeat: now,
            connection,
        }
    }

    fn is_present(&self) -> bool {
        self.endpoint.phase != Phase::Gone
    }
}

/// A published change.
struct Change {
    version: u64,
    endpoint: EndpointRecord,
    started_at: Micros,
}

/// A router's watch request that waits for its answer.
struct PendingWatch {
    connection: ConnectionId,
    /// The incarnation of the service from which the router has its version.
    service_incarnation: u64,
    /// The version that the router has; zero for none.
    version: u64,
}

/// An emulated discovery service, as a core.
pub struct DiscoveryService {
    spec: DiscoverySpec,
    rng: Rng,
    faults: Shared<DiscoveryFaults>,
    incarnation: u64,
    version: u64,
    peers: Peers,
    watchers: BTreeSet<ConnectionId>,
    /// The workers as published to the watchers.
    published: BTreeMap<String, Member>,
    /// The workers as the service knows them, including changes that are not published yet.
    members: BTreeMap<String, Member>,
    changes: VecDeque<Change>,
    /// The workers whose state is to be published, by name, each with the time of publication.
    publish_queue: BTreeSet<(Micros, String)>,
    pending_watches: VecDeque<PendingWatch>,
    busy_until: Micros,
}

impl DiscoveryService {
    /// Creates a service without workers. `incarnation` differs between processes of the service, unless a process has
    /// retained the list of the previous one.
    pub fn new(
        spec: DiscoverySpec,
        seed: u64,
        incarnation: u64,
        faults: Shared<DiscoveryFaults>,
    ) -> Self {
        DiscoveryService {
            spec,
            rng: Rng::new(seed),
            faults,
            incarnation,
            version: 0,
            peers: Peers::default(),
            watchers: BTreeSet::new(),
            published: BTreeMap::new(),
            members: BTreeMap::new(),
            changes: VecDeque::new(),
            publish_queue: BTreeSet::new(),
            pending_watches: VecDeque::new(),
            busy_until: 0,
        }
    }

    /// Adds workers that the service knows from the start, like a service that has retained its list.
    pub fn with_endpoints(mut self, now: Micros, endpoints: &[EndpointRecord]) -> Self {
        for endpoint in endpoints {
            let member = || Member::new(endpoint.clone(), now, None);
            self.published.insert(endpoint.name.clone(), member());
            self.members.insert(endpoint.name.clone(), member());
        }
        self.version = 1;
        self
    }

    fn full_snapshot(&self, now: Micros) -> EndpointUpdate {
        let endpoints = self
            .published
            .values()
            .filter(|member| member.is_present())
            .map(|member| with_age(&member.endpoint, member.started_at, now))
            .collect();
        EndpointUpdate {
            version: self.version,
            service_incarnation: self.incarnation,
            is_full_snapshot: true,
            base_version: 0,
            endpoints,
        }
    }

    /// The answer to a watch request: the changes since the router's version, or a full snapshot if they are not
    /// retained.
    fn update_since(&self, now: Micros, watch: &PendingWatch) -> EndpointUpdate {
        let oldest = self
            .changes
            .front()
            .map_or(self.version, |change| change.version - 1);
        let is_retained = watch.service_incarnation == self.incarnation
            && watch.version >= oldest
            && watch.version <= self.version
            && watch.version != 0;
        if !is_retained {
            return self.full_snapshot(now);
        }
        let endpoints = self
            .changes
            .iter()
            .filter(|change| change.version > watch.version)
            .map(|change| with_age(&change.endpoint, change.started_at, now))
            .collect();
        EndpointUpdate {
            version: self.version,
            service_incarnation: self.incarnation,
            is_full_snapshot: false,
            base_version: watch.version,
            endpoints,
        }
    }

    /// Answers pending watch requests in order while the service's only core is free. Encoding an answer occupies it.
    fn answer_watches(&mut self, now: Micros) {
        while self.busy_until <= now {
            let Some(watch) = self.pending_watches.pop_front() else {
                return;
            };
            let update = self.update_since(now, &watch);
            let cost = if update.is_full_snapshot {
                self.spec.snapshot_cost
            } else {
                self.spec.delta_cost
            };
            self.busy_until = now + cost;
            self.watchers.insert(watch.connection);
            let message = FromDiscovery::Endpoints(update);
            self.peers.send(watch.connection, &encode_frame(&message));
        }
    }

    fn forget(&mut self, connection: ConnectionId) {
        self.peers.remove(connection);
        self.watchers.remove(&connection);
        self.pending_watches
            .retain(|watch| watch.connection != connection);
    }

    fn disconnect(&mut self, connection: ConnectionId, io: &mut dyn Io) {
        self.forget(connection);
        io.reset(connection);
    }

    /// Schedules the publication of a worker's changed state.
    fn schedule_publish(&mut self, now: Micros, name: &str) {
        let min = self.spec.min_publish_delay;
        let spread = (self.spec.max_publish_delay - min) as f64;
        let delay = min + (self.rng.next_f64() * spread) as Micros + self.faults.borrow().delay;
        self.publish_queue.insert((now + delay, name.to_string()));
    }

    fn publish(&mut self, now: Micros, name: &str) {
        let Some(member) = self.members.get(name) else {
            return;
        };
        let (endpoint, started_at) = (member.endpoint.clone(), member.started_at);
        let is_published = self.published.get(name).is_some_and(|published| {
            published.endpoint.phase == endpoint.phase
                && published.endpoint.incarnation == endpoint.incarnation
        });
        if is_published {
            return;
        }
        let published = Member {
            endpoint: endpoint.clone(),
            started_at,
            last_heartbeat: now,
            connection: None,
        };
        self.published.insert(name.to_string(), published);
        self.version += 1;
        self.changes.push_back(Change {
            version: self.version,
            endpoint: endpoint.clone(),
            started_at,
        });
        if self.changes.len() > self.spec.change_history {
            self.changes.pop_front();
        }
        let message = encode_frame(&FromDiscovery::Endpoints(EndpointUpdate {
            version: self.version,
            service_incarnation: self.incarnation,
            is_full_snapshot: false,
            base_version: self.version - 1,
            endpoints: vec![with_age(&endpoint, started_at, now)],
        }));
        for watcher in &self.watchers {
            self.peers.send(*watcher, &message);
        }
    }

    fn on_message(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        message: ToDiscovery,
        io: &mut dyn Io,
    ) {
        match message {
            ToDiscovery::Hello(_) => self.send_hello(connection),
            ToDiscovery::Watch(watch) => self.queue_watch(connection, &watch, io),
            ToDiscovery::Register(endpoint) => self.register(now, connection, endpoint),
            ToDiscovery::Heartbeat(heartbeat) => self.record_heartbeat(now, connection, &heartbeat),
        }
    }

    fn send_hello(&mut self, connection: ConnectionId) {
        let hello = Hello {
            version: VERSION,
            name: "list".into(),
            incarnation: self.incarnation,
            age_us: None,
        };
        self.peers
            .send(connection, &encode_frame(&FromDiscovery::Hello(hello)));
    }

    fn queue_watch(&mut self, connection: ConnectionId, watch: &Watch, io: &mut dyn Io) {
        if self.pending_watches.len() >= self.spec.max_pending_watches {
            return self.disconnect(connection, io);
        }
        self.pending_watches.push_back(PendingWatch {
            connection,
            service_incarnation: watch.service_incarnation,
            version: watch.version,
        });
    }

    fn register(&mut self, now: Micros, connection: ConnectionId, endpoint: EndpointRecord) {
        let name = endpoint.name.clone();
        let is_outdated = self
            .members
            .get(&name)
            .is_some_and(|member| member.endpoint.incarnation > endpoint.incarnation);
        if is_outdated {
            return;
        }
        let member = Member::new(endpoint, now, Some(connection));
        self.members.insert(name.clone(), member);
        self.schedule_publish(now, &name);
    }

    fn record_heartbeat(&mut self, now: Micros, connection: ConnectionId, heartbeat: &Heartbeat) {
        let is_sender = |member: &&mut Member| {
            member.connection == Some(connection)
                && member.endpoint.incarnation == heartbeat.incarnation
        };
        if let Some(member) = self.members.values_mut().find(is_sender) {
            member.last_heartbeat = now;
        }
    }

    fn mark_gone(&mut self, now: Micros, names: Vec<String>) {
        for name in names {
            if let Some(member) = self.members.get_mut(&name) {
                member.endpoint.phase = Phase::Gone;
                member.connection = None;
            }
            self.schedule_publish(now, &name);
        }
    }

    /// Marks workers whose heartbeats have stopped as gone, and closes their connections, so that a worker that
    /// recovers has to register again.
    fn expire_members(&mut self, now: Micros, io: &mut dyn Io) {
        let oldest = now - self.spec.heartbeat_timeout;
        let (names, connections): (Vec<String>, Vec<Option<ConnectionId>>) = self
            .members
            .values()
            .filter(|member| member.is_present() && member.last_heartbeat < oldest)
            .map(|member| (member.endpoint.name.clone(), member.connection))
            .unzip();
        self.mark_gone(now, names);
        for connection in connections.into_iter().flatten() {
            self.peers.remove(connection);
            io.reset(connection);
        }
    }

    fn on_bytes(&mut self, now: Micros, connection: ConnectionId, bytes: &[u8], io: &mut dyn Io) {
        self.peers.push_bytes(connection, bytes);
        loop {
            match self.peers.next_message::<ToDiscovery>(connection) {
                Ok(Some(message)) => self.on_message(now, connection, message, io),
                Ok(None) => return,
                Err(_) => return self.disconnect(connection, io),
            }
        }
    }
}

/// The endpoint with its current age.
fn with_age(endpoint: &EndpointRecord, started_at: Micros, now: Micros) -> EndpointRecord {
    EndpointRecord {
        age_us: if started_at > 0 { now - started_at } else { -1 },
        ..endpoint.clone()
    }
}

impl Core for DiscoveryService {
    fn start(&mut self, now: Micros, _: &mut dyn Io) {
        for member in self.members.values_mut() {
            member.last_heartbeat = now;
        }
    }

    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        match event {
            Event::Accepted { conn, .. } => self.peers.add(conn),
            Event::Writable { conn } => self.peers.unblock(conn),
            Event::Closed { conn, .. } => {
                self.forget(conn);
                let names = self
                    .members
                    .values()
                    .filter(|member| member.connection == Some(conn))
                    .map(|member| member.endpoint.name.clone())
                    .collect();
                self.mark_gone(now, names);
            }
            Event::Bytes { conn, bytes } => self.on_bytes(now, conn, bytes, io),
            Event::Connected { .. } => {}
        }
    }

    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        self.expire_members(now, io);
        while let Some((at, name)) = self.publish_queue.first().cloned() {
            if at > now {
                break;
            }
            self.publish_queue.pop_first();
            self.publish(now, &name);
        }
        self.answer_watches(now);
        self.peers.flush(io);
    }

    fn next_wakeup(&self) -> Option<Micros> {
        let publish = self.publish_queue.first().map(|(at, _)| *at);
        let timeout = self
            .members
            .values()
            .filter(|member| member.is_present())
            .map(|member| member.last_heartbeat + self.spec.heartbeat_timeout + 1)
            .min();
        let answer = (!self.pending_watches.is_empty()).then_some(self.busy_until);
        publish.into_iter().chain(timeout).chain(answer).min()
    }

    fn is_done(&self) -> bool {
        true
    }
}
