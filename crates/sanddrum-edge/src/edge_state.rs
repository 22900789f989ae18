//! The composition of an edge's parts. Each part owns its state and does not depend on the others; the submodules of
//! this module pass events between them.

mod admission;
mod attempt_ends;
mod attempt_logging;
mod attempts;
mod clients;
mod connection_executor;
mod control_commands;
mod discovery;
mod dispatcher;
mod fastcgi;
mod http;
mod requests;
mod send_checks;
mod send_deadlines;
mod shutdown;
mod watched_files;
mod workers;

pub(crate) use connection_executor::ConnectionExecutor;
pub(crate) use dispatcher::Dispatcher;
pub(crate) use shutdown::Shutdown;

use crate::admission::Admission;
use crate::attempt_log::LogBudget;
use crate::context::{ConnectionOwner, EdgeContext};
use crate::control_commands::ControlCommands;
use crate::control_feed::ControlFeed;
use crate::discovery::DiscoveryClient;
use crate::endpoint_table::EndpointTable;
use crate::event_counts::EventCounts;
use crate::fastcgi_listener::FastCgiListener;
use crate::functions::Functions;
use crate::http_listener::HttpListener;
use crate::identity::Identity;
use crate::invariants::Violations;
use crate::limits::Limits;
use crate::metrics::EdgeMetrics;
use crate::requests::Requests;
use crate::timers::{Timer, Timers};
use crate::worker_connections::WorkerConnections;
use crate::worker_protocol::WorkerProtocol;
use crate::{EdgeOptions, ResourceCounts, CONFIGURATION_FILE, KEYS_FILE};
use sanddrum::EventBatch;
use sanddrum_net::{ConnectionId, Event, FileError, FilePart, Io, Micros};
use sanddrum_platform::control_feed::FeedEvents;
use sanddrum_platform::{StartupConfigError, StartupConfigReader};
use sanddrum_settings::LoadedSettings;
use sanddrum_upstream::{ConnectionEvents, ConnectionPolicy};
use std::collections::{BTreeMap, BTreeSet};

/// XORed with the edge's seed, so that the bootstrap policy's random numbers are independent of the other modules'.
const BOOTSTRAP_SEED: u64 = 0x57;

/// The state of an edge without its decision module and connection policy.
pub(crate) struct EdgeState {
    context: EdgeContext,
    started_at: Micros,
    shutdown: Shutdown,
    metrics_page: Option<Box<dyn Fn() -> String>>,
    /// The customers' names, in the order of the settings.
    customers: Vec<Option<String>>,
    http: HttpListener,
    fastcgi: FastCgiListener,
    identity: Identity,
    admission: Admission,
    functions: Functions,
    requests: Requests,
    control_commands: ControlCommands,
    worker_connections: WorkerConnections,
    endpoints: EndpointTable,
    discovery: DiscoveryClient,
    /// The source of the endpoint list on the platform, in place of the discovery service.
    control_feed: Option<ControlFeed>,
    /// The startup configuration that is being read again, or why it can't be used.
    configuration_reader: Option<Result<StartupConfigReader, StartupConfigError>>,
    /// The events of the startup configuration, until the edge starts.
    initial_events: Option<FeedEvents>,
    /// The state that the previous process saved, until the edge starts.
    cached_state: Option<Vec<u8>>,
    is_save_scheduled: bool,
    /// Connections of clients from which input was read in this turn.
    clients_with_input: BTreeSet<ConnectionId>,
    /// The events for the next run of the decision module.
    batch: EventBatch,
    /// When the decision module has to run, at the latest.
    module_wakeup: Option<Micros>,
    /// When the connection policy has to run, at the latest.
    connection_wakeup: Option<Micros>,
    /// Whether the writes of this turn are deferred to the next one.
    are_writes_deferred: bool,
}

impl EdgeState {
    /// The state of an edge that has not been started.
    pub fn new(options: EdgeOptions) -> Self {
        let EdgeOptions {
            settings,
            seed,
            cached_state,
            incarnation,
            metrics_page,
            platform,
        } = options;
        let protocol = match platform {
            Some(_) => WorkerProtocol::Platform,
            None => WorkerProtocol::Native,
        };
        let (control_feed, initial_events) = platform
            .map(|platform| {
                let feed = ControlFeed::new(&settings, platform.machine_kinds, seed);
                (feed, platform.initial_events)
            })
            .unzip();
        let context = new_context(&settings);
        let edge_name = settings.text("edge.name");
        let connect_timeout = context.limits.connect_timeout;
        let confirmation_method = context.limits.confirmation_method;
        EdgeState {
            started_at: 0,
            shutdown: Shutdown::NotRequested,
            metrics_page,
            customers: customer_names(&settings),
            http: HttpListener::default(),
            fastcgi: FastCgiListener::default(),
            identity: Identity::from_settings(&settings),
            admission: Admission::from_settings(&settings),
            functions: Functions::from_settings(&settings),
            requests: Requests::default(),
            control_commands: ControlCommands::default(),
            worker_connections: WorkerConnections::new(
                protocol,
                edge_name,
                incarnation,
                connect_timeout,
                confirmation_method,
            ),
            endpoints: EndpointTable::from_settings(&settings),
            discovery: DiscoveryClient::new(&settings, incarnation, seed ^ BOOTSTRAP_SEED),
            control_feed,
            configuration_reader: None,
            initial_events,
            cached_state,
            is_save_scheduled: false,
            clients_with_input: BTreeSet::new(),
            batch: EventBatch::default(),
            module_wakeup: None,
            connection_wakeup: None,
            are_writes_deferred: false,
            context,
        }
    }

    /// The sizes of the tables.
    pub fn resource_counts(&self) -> ResourceCounts {
        ResourceCounts {
            requests: self.requests.len(),
            client_connections: self.fastcgi.len() + self.http.len(),
            worker_connections: self.worker_connections.len(),
            workers: self.endpoints.len(),
            functions: self.functions.len(),
            timers: self.context.timers.len(),
        }
    }

    /// From now on, violations of invariants are counted but not prevented.
    pub fn allow_violations(&mut self) {
        self.context.violations.allow();
    }

    fn is_on_platform(&self) -> bool {
        self.control_feed.is_some()
    }

    /// Whether there are events for the decision module.
    fn has_events(&self) -> bool {
        let batch = &self.batch;
        let is_empty = batch.endpoint_lists.is_empty()
            && batch.endpoint_confirmation.is_none()
            && batch.requests.is_empty()
            && batch.attempt_results.is_empty()
            && batch.load_results.is_empty()
            && batch.health_check_results.is_empty()
            && batch.gossip.is_empty()
            && batch.cancelled.is_empty()
            && batch.lost_workers.is_empty()
            && !batch.shutting_down;
        !is_empty || self.admission.has_pending()
    }

    /// Takes the events for a run of the decision module; none if it need not run now.
    pub fn take_batch(&mut self, now: Micros) -> Option<EventBatch> {
        let is_due = self.module_wakeup.is_some_and(|at| at <= now);
        if !is_due && !self.has_events() {
            return None;
        }
        let mut batch = std::mem::take(&mut self.batch);
        if is_due {
            batch.timer = true;
            self.module_wakeup = None;
        }
        Some(batch)
    }

    /// Takes the events for a run of the connection policy; none if it need not run now.
    pub fn take_connection_events(&mut self, now: Micros) -> Option<ConnectionEvents> {
        let is_due = self.connection_wakeup.is_some_and(|at| at <= now);
        if !is_due && self.context.connection_events.is_empty() {
            return None;
        }
        self.connection_wakeup = None;
        Some(std::mem::take(&mut self.context.connection_events))
    }

    /// Publishes the state of the connection policy.
    pub fn record_connections(&self, policy: &ConnectionPolicy) {
        self.context.metrics.record_connections(policy);
    }

    /// When the edge has to be processed, at the latest.
    pub fn next_wakeup(&self) -> Option<Micros> {
        let is_due = self.has_events()
            || !self.context.connection_events.is_empty()
            || self.are_writes_deferred;
        let now = is_due.then_some(0);
        let timer = self.context.timers.next_at();
        let wakeups = [timer, self.module_wakeup, self.connection_wakeup, now];
        wakeups.into_iter().flatten().min()
    }

    /// Handles a transport event.
    pub fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        let conn = match event {
            Event::Accepted { conn, .. } => return self.accept_client(now, conn, io),
            Event::Connected { conn }
            | Event::Bytes { conn, .. }
            | Event::Writable { conn }
            | Event::Closed { conn, .. } => conn,
        };
        let owners = &mut self.context.connection_owners;
        let Some(owner) = owners.get(&conn).copied() else {
            return;
        };
        if matches!(event, Event::Closed { .. }) {
            owners.remove(&conn);
        }
        match owner {
            ConnectionOwner::Client => self.on_client_event(now, conn, event, io),
            ConnectionOwner::Worker(id) => self.on_worker_event(now, id, event, io),
            ConnectionOwner::Discovery => self.on_discovery_event(now, conn, event, io),
        }
    }

    /// Handles a change of a watched file.
    pub fn on_file(
        &mut self,
        now: Micros,
        name: &str,
        content: Result<&[u8], &FileError>,
        io: &mut dyn Io,
    ) {
        match name {
            KEYS_FILE => self.on_keys_changed(now, content, io),
            CONFIGURATION_FILE => self.on_whole_configuration(now, content, io),
            _ => {}
        }
    }

    /// Handles the next part of a large watched file.
    pub fn on_file_part(&mut self, now: Micros, name: &str, part: FilePart<'_>, io: &mut dyn Io) {
        if name == CONFIGURATION_FILE {
            self.on_configuration_part(now, part, io);
        }
    }

    /// Handles a change of the credentials that a connection was established with.
    pub fn on_credentials_changed(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        is_denied: bool,
        io: &mut dyn Io,
    ) {
        match self.context.connection_owners.get(&conn).copied() {
            Some(ConnectionOwner::Client) => {
                self.client_credentials_changed(now, conn, is_denied, io);
            }
            Some(ConnectionOwner::Worker(id)) => {
                self.worker_connections
                    .credentials_changed(&mut self.context, id, is_denied);
            }
            Some(ConnectionOwner::Discovery) | None => {}
        }
    }

    /// Fires all timers that are due.
    pub fn fire_timers(&mut self, now: Micros, io: &mut dyn Io) {
        while let Some(timer) = self.context.timers.pop_due(now) {
            match timer {
                Timer::AttemptTimeout(id) => self.attempt_timed_out(now, id),
                Timer::SendDeadline(key) => self.send_deadline_passed(now, key),
                Timer::LostAttempt(id) => self.lost_attempt_settled(now, id),
                Timer::DeferredAnswer(id) => self.give_deferred_answer(now, id),
                Timer::LoadTimeout(id) => self.load_timed_out(now, id),
                Timer::HealthCheckTimeout(id) => self.health_check_timed_out(now, id),
                Timer::WorkerConnection(id) => self.check_worker_connection(now, id, io),
                Timer::IncompleteFrame(id) => self.check_incomplete_frame(now, id, io),
                Timer::PartialWrite(id, attempt) => self.reset_partial_write(now, id, attempt, io),
                Timer::ClientConnection(conn) => self.check_client(now, conn, io),
                Timer::Discovery => self.check_discovery(now, io),
                Timer::SaveState => self.save_state_as_scheduled(now, io),
                Timer::LateArrivals => {}
                Timer::ShutdownDeadline => self.batch.shutting_down = true,
            }
        }
    }

    /// Writes the queued bytes of all connections. If the process was delayed, the writes are deferred to the next
    /// turn, which polls for input first, so that no attempt is started for a client that has disconnected meanwhile.
    /// Writes are not deferred twice in a row, because a process that is always delayed would otherwise never write.
    pub fn flush(&mut self, now: Micros, io: &mut dyn Io) {
        self.are_writes_deferred = !self.are_writes_deferred && io.is_poll_overdue();
        if self.are_writes_deferred {
            return;
        }
        self.flush_workers(now, io);
        self.flush_clients(now, io);
    }

    /// Logs the sizes of the tables, the event counts and the violations of invariants.
    pub fn log_status(&self) {
        let ResourceCounts {
            client_connections,
            worker_connections,
            workers,
            functions,
            ..
        } = self.resource_counts();
        let open_requests = self.requests.open_count();
        let violations = self.context.violations.summary();
        let counts = self.context.counts.to_string();
        let last_event = self.control_feed.as_ref().map(ControlFeed::last_event);
        if self.context.violations.total() == 0 {
            tracing::info!(
                open_requests,
                client_connections,
                worker_connections,
                workers,
                functions,
                violations,
                counts,
                last_event,
                "edge status"
            );
        } else {
            tracing::error!(
                open_requests,
                client_connections,
                worker_connections,
                workers,
                functions,
                violations,
                counts,
                last_event,
                "edge status"
            );
        }
    }
}

fn new_context(settings: &LoadedSettings) -> EdgeContext {
    EdgeContext {
        limits: Limits::from_settings(settings),
        metrics: EdgeMetrics::default(),
        counts: EventCounts::default(),
        log_budget: LogBudget::default(),
        timers: Timers::default(),
        violations: Violations::default(),
        connection_owners: BTreeMap::new(),
        connection_events: ConnectionEvents::default(),
    }
}

fn customer_names(settings: &LoadedSettings) -> Vec<Option<String>> {
    let name = |index| settings.values.text(&format!("customers.{index}.name"));
    (0..settings.count("customers"))
        .map(|index| name(index).map(String::from))
        .collect()
}
