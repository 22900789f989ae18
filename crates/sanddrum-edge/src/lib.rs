//! The edge as a core without I/O: a client door (HTTP/1.1), one decision module, connections to workers and to the
//! list service. What came in at one instant becomes one round of the module; what the module decides is carried
//! out as it is decided. The edge itself chooses no worker, repeats nothing and gives no job up but at its own end.

#![allow(clippy::too_many_lines, missing_docs)] // unfinished: docs/ROADMAP.md

mod admission;
mod arrival_time;
mod connection_manager;
mod control_feed;
mod discovery;
mod discovery_version;
mod dispatch;
pub mod endpoint_cache;
mod fastcgi_listener;
mod functions;
mod http_listener;
mod identity;
mod invariants;
mod limits;
mod metrics;
mod requests;
mod worker_connections;
mod worker_protocol;

pub use discovery_version::DiscoveryVersion;
pub use identity::access_rights;
pub use invariants::Invariant;
pub use metrics::EdgeMetrics;

use admission::Admission;
use control_feed::ControlFeed;
use discovery::Discovery;
use fastcgi_listener::FastCgiListener;
use functions::Functions;
use http_listener::HttpListener;
use identity::Identity;
use invariants::Violations;
use limits::Limits;
use requests::Requests;
use sanddrum::{Decisions, EventBatch, Router, Settings};
use sanddrum_bootstrap::DiscoveryEvent;
use sanddrum_net::{ConnectionId, Core, Event, Io, Micros, Rng};
use sanddrum_platform::control_feed::FeedEvents;
use sanddrum_platform::start_times::ClockReading;
use sanddrum_settings::LoadedSettings;
use sanddrum_upstream::{ConnectionPolicy, IdleTimeoutEstimate, WorkerConnectionId};
use std::collections::{BTreeMap, BTreeSet};
use worker_connections::WorkerConnections;
use worker_protocol::WorkerProtocol;

/// What decides: the decision module, or another in its place to compare it with.
pub trait DecisionModule {
    fn handle(&mut self, now: Micros, batch: &EventBatch, out: &mut impl Decisions);
}

impl DecisionModule for Router {
    fn handle(&mut self, now: Micros, batch: &EventBatch, out: &mut impl Decisions) {
        Router::handle(self, now, batch, out);
    }
}

/// What may fall due, besides the module's own wake.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    AttemptTimeout(u64),
    LoadTimeout(u64),
    HealthCheckTimeout(u64),
    WorkerConnection(WorkerConnectionId),
    /// An execution that nobody waits for is not written to its end yet.
    UnwrittenAttempt(WorkerConnectionId, u64),
    ClientConnection(ConnectionId),
    Discovery,
    SaveState,
    /// Nothing that was on its way when this edge was asked to end can still come.
    LateArrivals,
    ShutdownDeadline,
}

/// Whose connection it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owner {
    Client,
    Worker(WorkerConnectionId),
    Discovery,
}

/// The name of the watched file that holds the key set.
pub const KEYS_FILE: &str = "keys";

/// The name of the watched file that holds the platform's start configuration.
pub const CONFIGURATION_FILE: &str = "configuration";

/// An edge on the users' platform: FastCGI at the door, the platform's frames toward workers, its control feed for the
/// list.
pub struct Platform {
    /// The list as the start configuration told it.
    pub initial_events: FeedEvents,
    /// Kinds of machine, in the settings' order.
    pub machine_kinds: Vec<String>,
}

/// What an edge starts with.
pub struct EdgeOptions {
    pub settings: LoadedSettings,
    pub seed: u64,
    /// What it last had kept, if anything; see [`state`].
    pub cached_state: Option<Vec<u8>>,
    /// Larger at each start.
    pub incarnation: u64,
    /// Gives the text of the metrics page.
    pub metrics_page: Option<Box<dyn Fn() -> String>>,
    /// Where it is one on the platform and speaks its protocol.
    pub platform: Option<Platform>,
}

pub struct Edge<M> {
    module: M,
    connections: ConnectionPolicy,
    inner: EdgeState,
}

/// All but the module, so that the module can be called with a writer on it.
struct EdgeState {
    settings: LoadedSettings,
    limits: Limits,
    rng: Rng,
    incarnation: u64,
    metrics_page: Option<Box<dyn Fn() -> String>>,
    metrics: EdgeMetrics,
    batch: EventBatch,
    connection_owners: BTreeMap<ConnectionId, Owner>,
    http: HttpListener,
    fastcgi: FastCgiListener,
    /// The three seams: what is spoken at the door and with workers, and where the list comes from.
    on_platform: bool,
    protocol: WorkerProtocol,
    control_feed: Option<ControlFeed>,
    initial_events: Option<FeedEvents>,
    requests: Requests,
    functions: Functions,
    identity: Identity,
    admission: Admission,
    worker_connections: WorkerConnections,
    idle_timeout: IdleTimeoutEstimate,
    connection_wakeup: Option<Micros>,
    discovery: Discovery,
    bootstrap: sanddrum_bootstrap::Bootstrap,
    started_at: Micros,
    timers: BTreeSet<(Micros, Timer)>,
    module_wakeup: Option<Micros>,
    /// Asked to end: whatever it holds has its final answer by then.
    shutdown_deadline: Option<Micros>,
    /// That bound is reached: a request that has come in part is not waited for any more.
    shutdown_complete: bool,
    /// What there is to write waits for the next turn, as the process was held up in this one.
    writes_deferred: bool,
    violations: Violations,
    allow_violations: bool,
    cached_state: Option<Vec<u8>>,
}

impl Edge<Router> {
    /// An edge that hosts the decision module.
    pub fn new(start: EdgeOptions) -> Self {
        let module = Router::new(start.seed, &start.settings.values_for_module());
        Edge::with_module(start, module)
    }
    /// The same with settings of its own for the module, where another program is to give it equal ones.
    pub fn with_settings(start: EdgeOptions, settings: &Settings) -> Self {
        let module = Router::new(start.seed, settings);
        Edge::with_module(start, module)
    }
}

/// How much an edge remembers of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceCounts {
    pub requests: usize,
    pub client_connections: usize,
    pub worker_connections: usize,
    pub workers: usize,
    pub functions: usize,
    pub timers: usize,
}

impl<M: DecisionModule> Edge<M> {
    pub fn resource_counts(&self) -> ResourceCounts {
        let inner = &self.inner;
        ResourceCounts {
            requests: inner.requests.requests.len(),
            client_connections: inner.fastcgi.count() + inner.http.count(),
            worker_connections: inner.worker_connections.all(),
            workers: inner.discovery.count(),
            functions: inner.functions.count(),
            timers: inner.timers.len(),
        }
    }
    pub fn with_module(start: EdgeOptions, module: M) -> Self {
        let limits = Limits::from_settings(&start.settings);
        let functions = Functions::from_settings(&start.settings);
        let discovery = Discovery::from_settings(&start.settings);
        let identity = Identity::from_settings(&start.settings);
        let admission = Admission::from_settings(&start.settings);
        // A seed of its own, so that one module's draws do not move the other's.
        let connections = ConnectionPolicy::new(start.seed ^ 0xc0, &start.settings.values);
        let on_platform = start.platform.is_some();
        let platform = start.platform.map(|platform| {
            (
                ControlFeed::new(start.settings.text("edge.list"), platform.machine_kinds),
                platform.initial_events,
            )
        });
        let (control_feed, initial_events) = platform.unzip();
        let idle_timeout = IdleTimeoutEstimate::new(limits.connect_time_out);
        let inner = EdgeState {
            fastcgi: FastCgiListener::default(),
            on_platform,
            protocol: if on_platform {
                WorkerProtocol::Platform
            } else {
                WorkerProtocol::Native
            },
            control_feed,
            initial_events,
            limits,
            rng: Rng::new(start.seed),
            incarnation: start.incarnation,
            metrics_page: start.metrics_page,
            metrics: EdgeMetrics::default(),
            batch: EventBatch::default(),
            connection_owners: BTreeMap::new(),
            http: HttpListener::default(),
            requests: Requests::default(),
            functions,
            identity,
            admission,
            worker_connections: WorkerConnections::default(),
            idle_timeout,
            connection_wakeup: None,
            discovery,
            // A seed of its own, as for the connections.
            bootstrap: sanddrum_bootstrap::Bootstrap::new(
                start.seed ^ 0x57,
                &start.settings.values_for_module(),
            ),
            started_at: 0,
            timers: BTreeSet::new(),
            module_wakeup: None,
            shutdown_deadline: None,
            shutdown_complete: false,
            writes_deferred: false,
            violations: Violations::default(),
            allow_violations: false,
            cached_state: start.cached_state,
            settings: start.settings,
        };
        Edge {
            module,
            connections,
            inner,
        }
    }

    /// The same edge, in which violations of the rules of [`Rule`] are counted and let pass: a checker that judges from
    /// the traffic has to see them.
    pub fn allowing_violations(mut self) -> Self {
        self.inner.allow_violations = true;
        self
    }

    fn apply_connection_policy(&mut self, now: Micros, io: &mut dyn Io) {
        let due = self.inner.connection_wakeup.is_some_and(|at| at <= now);
        if !due && self.inner.worker_connections.events.is_empty() {
            return;
        }
        self.inner.connection_wakeup = None;
        let events = std::mem::take(&mut self.inner.worker_connections.events);
        self.connections.handle(
            now,
            &events,
            &mut connection_manager::ConnectionExecutor {
                inner: &mut self.inner,
                io,
                now,
            },
        );
        self.inner.metrics.record_connections(&self.connections);
    }

    fn run_decision_module(&mut self, now: Micros) {
        // What carrying out a decision brings at once (a full connection, an ended job) is news of its own.
        for _ in 0..limits::ROUNDS_A_TURN {
            let due = self.inner.module_wakeup.is_some_and(|at| at <= now);
            if !due && !self.inner.has_news() {
                break;
            }
            let mut batch = std::mem::take(&mut self.inner.batch);
            if due {
                batch.timer = true;
                self.inner.module_wakeup = None;
            }
            self.module.handle(
                now,
                &batch,
                &mut dispatch::Dispatcher {
                    inner: &mut self.inner,
                    now,
                },
            );
        }
    }
}

impl EdgeState {
    fn poll_discovery(&mut self, now: Micros, io: &mut dyn Io) {
        match self.on_platform {
            true => self.connect_feed(now, io),
            false => self.check_discovery(now, io),
        }
    }
    /// The platform has replaced the start configuration: the feed may have moved, the rest holds from the next start.
    fn on_configuration_changed(
        &mut self,
        now: Micros,
        content: Result<&[u8], &str>,
        io: &mut dyn Io,
    ) {
        let text = content.map_err(String::from).map(String::from_utf8_lossy);
        match text.and_then(|text| {
            sanddrum_platform::StartupConfig::read(&text).map_err(|e| e.to_string())
        }) {
            Ok(configuration) => self.change_feed_address(now, &configuration.feed, io),
            Err(why) => {
                tracing::error!(
                    reason = "configuration",
                    why,
                    "a configuration is refused; the one before holds"
                )
            }
        }
    }
    fn has_news(&self) -> bool {
        let r = &self.batch;
        !(r.endpoint_lists.is_empty()
            && r.requests.is_empty()
            && r.attempt_results.is_empty()
            && r.load_results.is_empty()
            && r.health_check_results.is_empty()
            && r.gossip.is_empty()
            && r.cancelled.is_empty()
            && !r.shutting_down
            && !self.admission.is_waiting())
    }
    fn fire_timers(&mut self, now: Micros, io: &mut dyn Io) {
        while let Some((at, due)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, due));
            match due {
                Timer::AttemptTimeout(id) => self.attempt_timed_out(now, id),
                Timer::LoadTimeout(id) => self.load_timed_out(now, id),
                Timer::HealthCheckTimeout(id) => self.health_check_timed_out(now, id),
                Timer::WorkerConnection(connection) => {
                    self.check_worker_connection(now, connection, io)
                }
                Timer::UnwrittenAttempt(connection, attempt) => {
                    self.partial_write_timed_out(now, connection, attempt, io)
                }
                Timer::ClientConnection(conn) if self.on_platform => {
                    self.check_fastcgi_connection(now, conn, io)
                }
                Timer::ClientConnection(conn) => self.check_http_connection(now, conn, io),
                Timer::Discovery => self.poll_discovery(now, io),
                Timer::SaveState => self.save_state_now(now, io),
                Timer::LateArrivals => {}
                Timer::ShutdownDeadline => self.batch.shutting_down = true,
            }
        }
    }
}

impl<M: DecisionModule> Core for Edge<M> {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        self.inner.started_at = now;
        self.inner.restore_cached_state(now);
        if let Some(known) = self.inner.initial_events.take() {
            self.inner.apply_feed_events(
                ClockReading {
                    now,
                    wall: io.wall_clock(now),
                },
                known,
            );
        }
        if self.inner.on_platform {
            return self.inner.poll_discovery(now, io);
        }
        let kept = !self.inner.discovery.is_empty();
        self.inner
            .run_bootstrap(now, &[DiscoveryEvent::Started { has_cache: kept }], io);
    }

    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        let inner = &mut self.inner;
        let conn = match event {
            Event::Accepted { conn, .. } if inner.on_platform => {
                return inner.accept_fastcgi(now, conn, io)
            }
            Event::Accepted { conn, .. } => return inner.accept_http(now, conn, io),
            Event::Connected { conn }
            | Event::Bytes { conn, .. }
            | Event::Writable { conn }
            | Event::Closed { conn, .. } => conn,
        };
        let Some(owner) = inner.connection_owners.get(&conn).copied() else {
            return;
        };
        if matches!(event, Event::Closed { .. }) {
            inner.connection_owners.remove(&conn);
        }
        match owner {
            Owner::Client if inner.on_platform => inner.on_fastcgi_event(now, conn, event, io),
            Owner::Client => inner.on_http_event(now, conn, event, io),
            Owner::Worker(connection) => inner.on_worker_event(now, connection, event, io),
            Owner::Discovery if inner.on_platform => inner.on_feed_event(now, conn, event, io),
            Owner::Discovery => inner.on_discovery_event(now, conn, event, io),
        }
    }

    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        self.inner.fire_timers(now, io);
        self.inner.run_admission(now);
        self.run_decision_module(now);
        if self.inner.shutdown_deadline.is_some_and(|at| at <= now) {
            self.inner.fail_open_requests(now);
            self.inner.shutdown_complete = true;
        }
        self.apply_connection_policy(now, io);
        // Once in a row: a process that is short of its processor would never write. Guards against an attempt that
        // begins for a client whose end has come since the turn began.
        self.inner.writes_deferred = !self.inner.writes_deferred && io.is_delayed();
        if self.inner.writes_deferred {
            return;
        }
        self.inner.flush_worker_connections(now, io);
        self.inner.flush_http(now, io);
        self.inner.flush_fastcgi(now, io);
    }

    fn next_wakeup(&self) -> Option<Micros> {
        let inner = &self.inner;
        let is_due = inner.has_news()
            || !inner.worker_connections.events.is_empty()
            || inner.writes_deferred;
        let events = is_due.then_some(0);
        let due = self.inner.timers.first().map(|(at, _)| *at);
        due.into_iter()
            .chain(self.inner.module_wakeup)
            .chain(self.inner.connection_wakeup)
            .chain(events)
            .min()
    }

    fn on_file(&mut self, now: Micros, name: &str, content: Result<&[u8], &str>, io: &mut dyn Io) {
        match name {
            KEYS_FILE => self.inner.on_keys_changed(now, content, io),
            CONFIGURATION_FILE => self.inner.on_configuration_changed(now, content, io),
            _ => {}
        }
    }

    fn on_credentials_changed(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        denied: bool,
        io: &mut dyn Io,
    ) {
        match self.inner.connection_owners.get(&conn) {
            Some(Owner::Client) => self.inner.client_credentials_changed(now, conn, denied, io),
            Some(Owner::Worker(connection)) => {
                self.inner.worker_credentials_changed(*connection, denied)
            }
            _ => {}
        }
    }

    fn shut_down(&mut self, now: Micros, _: &mut dyn Io) {
        if self.inner.shutdown_deadline.is_none() {
            tracing::info!(open = self.inner.requests.open(), "asked to end");
            let shutdown_deadline = now + self.inner.limits.stop_within;
            self.inner.shutdown_deadline = Some(shutdown_deadline);
            self.inner
                .timers
                .insert((now + self.inner.limits.late_arrivals, Timer::LateArrivals));
            self.inner
                .timers
                .insert((shutdown_deadline, Timer::ShutdownDeadline));
        }
    }

    fn log_status(&mut self, _: Micros) {
        let held = self.resource_counts();
        let (open, violations) = (self.inner.requests.open(), self.inner.violations.text());
        let ResourceCounts {
            client_connections,
            worker_connections,
            workers,
            functions,
            ..
        } = held;
        match self.inner.violations.all() {
            0 => tracing::info!(
                open,
                client_connections,
                worker_connections,
                workers,
                functions,
                violations,
                "as it stands"
            ),
            _ => tracing::error!(
                open,
                client_connections,
                worker_connections,
                workers,
                functions,
                violations,
                "as it stands"
            ),
        }
    }

    fn accepts_while_draining(&self) -> bool {
        self.inner.shutdown_deadline.is_some() && self.inner.limits.late_arrivals > 0
    }

    fn is_done(&self) -> bool {
        let inner = &self.inner;
        inner.shutdown_deadline.is_some()
            && !inner
                .timers
                .iter()
                .any(|(_, due)| *due == Timer::LateArrivals)
            && (inner.shutdown_complete
                || !(inner.http.has_partial_request() || inner.fastcgi.has_partial_request()))
            && inner.requests.open() == 0
            && inner.http.is_flushed()
            && inner.fastcgi.is_flushed()
    }
}
