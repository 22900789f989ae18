//! The edge as a core without I/O. It accepts clients' requests, hosts one decision module, and holds connections to
//! the workers and to the discovery service or control feed.
//!
//! All input of one turn of the event loop becomes one batch of events for the decision module, whose decisions are
//! carried out as it makes them. The edge itself never chooses a worker or retries, and it fails an accepted
//! request on its own only at the deadline of its graceful shutdown.

mod admission;
mod arrival_time;
mod attempt_end;
mod attempt_log;
mod audit;
mod context;
mod control_commands;
mod control_feed;
mod discovery;
mod discovery_version;
mod edge_state;
pub mod endpoint_cache;
mod endpoint_freshness;
mod endpoint_table;
mod event_counts;
mod fastcgi_listener;
mod feed_connection;
mod feed_reload;
mod functions;
mod http_listener;
mod idempotency_key;
mod identity;
mod invariants;
mod limits;
mod listener;
mod message;
mod metrics;
mod options;
mod recent_calls;
mod requests;
mod responses;
mod timers;
mod unread_input;
mod worker_connections;
mod worker_protocol;

pub use discovery_version::DiscoveryVersion;
pub use identity::access_rights;
pub use invariants::Invariant;
pub use options::{EdgeOptions, Platform, CONFIGURATION_FILE, KEYS_FILE};

use edge_state::{ConnectionExecutor, Dispatcher, EdgeState};
use limits::MAX_BATCHES_PER_TURN;
use sanddrum::{Decisions, EventBatch, Router, Settings};
use sanddrum_net::{ConnectionId, Core, Event, FileError, FilePart, Io, Micros};
use sanddrum_upstream::ConnectionPolicy;

/// XORed with the edge's seed, so that the connection policy's random numbers are independent of the decision
/// module's.
const CONNECTION_POLICY_SEED: u64 = 0xc0;

/// A decision module: [`Router`], or a replacement that it is compared with.
pub trait DecisionModule {
    /// Handles a batch of events and reports its decisions to `decisions`.
    fn handle(&mut self, now: Micros, batch: &EventBatch, decisions: &mut impl Decisions);
}

impl DecisionModule for Router {
    fn handle(&mut self, now: Micros, batch: &EventBatch, decisions: &mut impl Decisions) {
        Router::handle(self, now, batch, decisions);
    }
}

/// The sizes of an edge's tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceCounts {
    /// Requests that are open or have attempts in flight.
    pub requests: usize,
    /// Client connections.
    pub client_connections: usize,
    /// Connections to workers.
    pub worker_connections: usize,
    /// Listed workers.
    pub workers: usize,
    /// Functions that requests have named.
    pub functions: usize,
    /// Scheduled timers.
    pub timers: usize,
}

/// An edge that hosts the decision module `M`.
pub struct Edge<M> {
    module: M,
    connection_policy: ConnectionPolicy,
    state: EdgeState,
}

impl Edge<Router> {
    /// An edge with the default decision module, configured from the edge's settings.
    pub fn new(options: EdgeOptions) -> Self {
        let settings = options.settings.decision_settings();
        Edge::with_settings(options, &settings)
    }

    /// Like [`Edge::new`], but with separate settings for the decision module. On the platform they are derived from
    /// its startup configuration, as in any other program that hosts the module.
    pub fn with_settings(options: EdgeOptions, settings: &Settings) -> Self {
        let module = Router::new(options.seed, settings);
        Edge::with_module(options, module)
    }
}

impl<M: DecisionModule> Edge<M> {
    /// An edge with the given decision module.
    pub fn with_module(options: EdgeOptions, module: M) -> Self {
        let seed = options.seed ^ CONNECTION_POLICY_SEED;
        let connection_policy = ConnectionPolicy::new(seed, &options.settings.values);
        Edge {
            module,
            connection_policy,
            state: EdgeState::new(options),
        }
    }

    /// Makes the edge count violations of [`Invariant`]s without preventing them, so that tests can verify that a
    /// checker detects them in the traffic.
    pub fn allowing_violations(mut self) -> Self {
        self.state.allow_violations();
        self
    }

    /// The sizes of the edge's tables.
    pub fn resource_counts(&self) -> ResourceCounts {
        self.state.resource_counts()
    }

    /// Runs the decision module until no events are pending, at most [`MAX_BATCHES_PER_TURN`] times. Carrying out a
    /// decision can produce further events immediately, such as a full connection or a request that has ended.
    fn run_decision_module(&mut self, now: Micros) {
        for _ in 0..MAX_BATCHES_PER_TURN {
            let Some(batch) = self.state.take_batch(now) else {
                return;
            };
            let mut dispatcher = Dispatcher::new(&mut self.state, now);
            self.module.handle(now, &batch, &mut dispatcher);
        }
    }

    fn run_connection_policy(&mut self, now: Micros, io: &mut dyn Io) {
        let Some(events) = self.state.take_connection_events(now) else {
            return;
        };
        let mut executor = ConnectionExecutor::new(&mut self.state, now, io);
        self.connection_policy.handle(now, &events, &mut executor);
        self.state.record_connections(&self.connection_policy);
    }
}

impl<M: DecisionModule> Core for Edge<M> {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        self.state.start(now, io);
    }

    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        self.state.on_event(now, event, io);
    }

    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        self.state.fire_timers(now, io);
        self.state.check_unread_input(now, io);
        self.state.run_admission(now);
        self.run_decision_module(now);
        self.state.enforce_shutdown_deadline(now);
        self.run_connection_policy(now, io);
        self.state.flush(now, io);
    }

    fn next_wakeup(&self) -> Option<Micros> {
        self.state.next_wakeup()
    }

    fn on_file(
        &mut self,
        now: Micros,
        name: &str,
        content: Result<&[u8], &FileError>,
        io: &mut dyn Io,
    ) {
        self.state.on_file(now, name, content, io);
    }

    fn on_file_part(&mut self, now: Micros, name: &str, part: FilePart<'_>, io: &mut dyn Io) {
        self.state.on_file_part(now, name, part, io);
    }

    fn on_credentials_changed(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        denied: bool,
        io: &mut dyn Io,
    ) {
        self.state.on_credentials_changed(now, conn, denied, io);
    }

    fn shut_down(&mut self, now: Micros, _: &mut dyn Io) {
        self.state.shut_down(now);
    }

    fn log_status(&mut self, _: Micros) {
        self.state.log_status();
    }

    fn accepts_while_draining(&self) -> bool {
        self.state.accepts_while_draining()
    }

    fn is_done(&self) -> bool {
        self.state.is_done()
    }

    fn ends_by(&self) -> Option<Micros> {
        self.state.ends_by()
    }
}
