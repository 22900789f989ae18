//! An emulated discovery service: it lists the workers, knows only which processes run, and publishes changes late.

use crate::faults::{DiscoveryFaults, Shared};
use crate::peers::Peers;
use sanddrum_net::{ConnectionId, Core, Event, Io, Micros, Rng};
use sanddrum_wire::{
    frame::encode_frame, EndpointRecord, EndpointUpdate, FromDiscovery, Heartbeat, Hello, Phase,
    ToDiscovery, Watch, VERSION,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How a discovery service is set up.
#[derive(Clone, Debug)]
pub struct DiscoverySpec {
    /// The least time until a start, a drain or a broken connection is published.
    pub min_publish_delay: Micros,
    /// The longest such time; each is drawn between the two.
    pub max_publish_delay: Micros,
    /// A process that sends no heartbeat for so long counts as gone.
    pub heartbeat_timeout: Micros,
    /// Changes that are kept for watchers that come back; older ones get a full snapshot.
    pub change_history: usize,
    /// Time that rendering a full snapshot takes on its one core.
    pub snapshot_cost: Micros,
    /// Time that rendering an answer with changes takes.
    pub delta_cost: Micros,
    /// Calls that wait for an answer; a caller beyond that is disconnected.
    pub max_pending_calls: usize,
}

/// What is known of a worker.
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

/// A change as it was published.
struct Change {
    version: u64,
    endpoint: EndpointRecord,
    started_at: Micros,
}

/// A router's call that waits for its answer.
struct Call {
    connection: ConnectionId,
    /// The incarnation of the service that the caller last heard of.
    service_incarnation: u64,
    /// The version that the caller has; zero for none.
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
    /// What the watchers were told.
    published: BTreeMap<String, Member>,
    /// What the service itself knows.
    members: BTreeMap<String, Member>,
    changes: VecDeque<Change>,
    /// When the state of a worker is to be published, with its name.
    publish_queue: BTreeSet<(Micros, String)>,
    calls: VecDeque<Call>,
    busy_until: Micros,
}

impl DiscoveryService {
    /// A service that knows no worker. `incarnation` differs from one run of the service to the next, unless it kept
    /// its list.
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
            calls: VecDeque::new(),
            busy_until: 0,
        }
    }

    /// Adds workers that it knows from the start, as a service that kept its list does.
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

    /// The answer to a call: what has changed since the caller's version, or a full snapshot where that is not known.
    fn update_since(&self, now: Micros, call: &Call) -> EndpointUpdate {
        let oldest = self
            .changes
            .front()
            .map_or(self.version, |change| change.version - 1);
        let is_known = call.service_incarnation == self.incarnation
            && call.version >= oldest
            && call.version <= self.version
            && call.version != 0;
        if !is_known {
            return self.full_snapshot(now);
        }
        let endpoints = self
            .changes
            .iter()
            .filter(|change| change.version > call.version)
            .map(|change| with_age(&change.endpoint, change.started_at, now))
            .collect();
        EndpointUpdate {
            version: self.version,
            service_incarnation: self.incarnation,
            is_full_snapshot: false,
            base_version: call.version,
            endpoints,
        }
    }

    /// Answers the waiting calls, one after the other, as far as its core gets by now.
    fn answer_calls(&mut self, now: Micros) {
        while self.busy_until <= now {
            let Some(call) = self.calls.pop_front() else {
                return;
            };
            let update = self.update_since(now, &call);
            let cost = if update.is_full_snapshot {
                self.spec.snapshot_cost
            } else {
                self.spec.delta_cost
            };
            self.busy_until = now + cost;
            self.watchers.insert(call.connection);
            let message = FromDiscovery::Endpoints(update);
            self.peers.send(call.connection, &encode_frame(&message));
        }
    }

    fn forget(&mut self, connection: ConnectionId) {
        self.peers.remove(connection);
        self.watchers.remove(&connection);
        self.calls.retain(|call| call.connection != connection);
    }

    fn disconnect(&mut self, connection: ConnectionId, io: &mut dyn Io) {
        self.forget(connection);
        io.reset(connection);
    }

    /// A worker's state has changed: it is published in a while.
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
            ToDiscovery::Hello(_) => self.greet(connection),
            ToDiscovery::Watch(watch) => self.watch(connection, &watch, io),
            ToDiscovery::Register(endpoint) => self.register(now, connection, endpoint),
            ToDiscovery::Heartbeat(heartbeat) => self.heartbeat(now, connection, &heartbeat),
        }
    }

    fn greet(&mut self, connection: ConnectionId) {
        let hello = Hello {
            version: VERSION,
            name: "list".into(),
            incarnation: self.incarnation,
            age_us: None,
        };
        self.peers
            .send(connection, &encode_frame(&FromDiscovery::Hello(hello)));
    }

    fn watch(&mut self, connection: ConnectionId, watch: &Watch, io: &mut dyn Io) {
        if self.calls.len() >= self.spec.max_pending_calls {
            return self.disconnect(connection, io);
        }
        self.calls.push_back(Call {
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

    fn heartbeat(&mut self, now: Micros, connection: ConnectionId, heartbeat: &Heartbeat) {
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

    /// Takes workers whose heartbeats have stopped for gone. Their connections are closed: a worker that is heard again
    /// has to register anew.
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

/// An endpoint with its age as of now.
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
        self.answer_calls(now);
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
        let calls = (!self.calls.is_empty()).then_some(self.busy_until);
        publish.into_iter().chain(timeout).chain(calls).min()
    }

    fn is_done(&self) -> bool {
        true
    }
}
