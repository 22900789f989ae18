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

pub use discovery_version::Known;
pub use identity::rights_of;
pub use invariants::Rule;
pub use metrics::Figures;

use admission::Admission;
use control_feed::Feed;
use discovery::List;
use fastcgi_listener::Fronts;
use functions::Functions;
use http_listener::Clients;
use identity::Identity;
use invariants::Violations;
use limits::Limits;
use requests::Jobs;
use sanddrum::{Decisions, EventBatch, Router, Settings};
use sanddrum_bootstrap::DiscoveryEvent;
use sanddrum_net::{ConnectionId, Core, Event, Io, Micros, Rng};
use sanddrum_platform::control_feed::FeedEvents;
use sanddrum_platform::start_times::ClockReading;
use sanddrum_settings::LoadedSettings;
use sanddrum_upstream::{ConnectionPolicy, IdleTimeoutEstimate, WorkerConnectionId};
use std::collections::{BTreeMap, BTreeSet};
use worker_connections::Links;
use worker_protocol::Speech;

/// What decides: the decision module, or another in its place to compare it with.
pub trait DecisionModule {
    fn handle(&mut self, now: Micros, round: &EventBatch, out: &mut impl Decisions);
}

impl DecisionModule for Router {
    fn handle(&mut self, now: Micros, round: &EventBatch, out: &mut impl Decisions) {
        Router::handle(self, now, round, out);
    }
}

/// What may fall due, besides the module's own wake.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Execution(u64),
    Order(u64),
    Probe(u64),
    Link(WorkerConnectionId),
    /// An execution that nobody waits for is not written to its end yet.
    Unwritten(WorkerConnectionId, u64),
    Client(ConnectionId),
    List,
    Save,
    /// Nothing that was on its way when this edge was asked to end can still come.
    Arrivals,
    Stop,
}

/// Whose connection it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owner {
    Client,
    Link(WorkerConnectionId),
    List,
}

/// The name of the watched file that holds the key set.
pub const KEYS: &str = "keys";

/// The name of the watched file that holds the platform's start configuration.
pub const CONFIGURATION: &str = "configuration";

/// An edge on the users' platform: FastCGI at the door, the platform's frames toward workers, its control feed for the
/// list.
pub struct Platform {
    /// The list as the start configuration told it.
    pub known: FeedEvents,
    /// Kinds of machine, in the settings' order.
    pub kinds: Vec<String>,
}

/// What an edge starts with.
pub struct Start {
    pub settings: LoadedSettings,
    pub seed: u64,
    /// What it last had kept, if anything; see [`state`].
    pub kept: Option<Vec<u8>>,
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
    inner: Inner,
}

/// All but the module, so that the module can be called with a writer on it.
struct Inner {
    settings: LoadedSettings,
    limits: Limits,
    chance: Rng,
    incarnation: u64,
    metrics_page: Option<Box<dyn Fn() -> String>>,
    figures: Figures,
    round: EventBatch,
    owners: BTreeMap<ConnectionId, Owner>,
    clients: Clients,
    fronts: Fronts,
    /// The three seams: what is spoken at the door and with workers, and where the list comes from.
    on_platform: bool,
    speech: Speech,
    feed: Option<Feed>,
    known: Option<FeedEvents>,
    jobs: Jobs,
    functions: Functions,
    identity: Identity,
    admission: Admission,
    links: Links,
    rests: IdleTimeoutEstimate,
    connect_wake: Option<Micros>,
    list: List,
    start: sanddrum_bootstrap::Bootstrap,
    began: Micros,
    due: BTreeSet<(Micros, Due)>,
    module_wake: Option<Micros>,
    /// Asked to end: whatever it holds has its final answer by then.
    stop_at: Option<Micros>,
    /// That bound is reached: a request that has come in part is not waited for any more.
    ended: bool,
    /// What there is to write waits for the next turn, as the process was held up in this one.
    writes_put_off: bool,
    violations: Violations,
    violations_pass: bool,
    kept: Option<Vec<u8>>,
}

impl Edge<Router> {
    /// An edge that hosts the decision module.
    pub fn new(start: Start) -> Self {
        let module = Router::new(start.seed, &start.settings.values_for_module());
        Edge::with_module(start, module)
    }
    /// The same with settings of its own for the module, where another program is to give it equal ones.
    pub fn with_settings(start: Start, settings: &Settings) -> Self {
        let module = Router::new(start.seed, settings);
        Edge::with_module(start, module)
    }
}

/// How much an edge remembers of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    pub jobs: usize,
    pub clients: usize,
    pub links: usize,
    pub workers: usize,
    pub functions: usize,
    pub due: usize,
}

impl<M: DecisionModule> Edge<M> {
    pub fn held(&self) -> Held {
        let inner = &self.inner;
        Held {
            jobs: inner.jobs.jobs.len(),
            clients: inner.fronts.count() + inner.clients.count(),
            links: inner.links.all(),
            workers: inner.list.count(),
            functions: inner.functions.count(),
            due: inner.due.len(),
        }
    }
    pub fn with_module(start: Start, module: M) -> Self {
        let limits = Limits::of(&start.settings);
        let functions = Functions::of(&start.settings);
        let list = List::of(&start.settings);
        let identity = Identity::of(&start.settings);
        let admission = Admission::of(&start.settings);
        // A seed of its own, so that one module's draws do not move the other's.
        let connections = ConnectionPolicy::new(start.seed ^ 0xc0, &start.settings.values);
        let on_platform = start.platform.is_some();
        let platform = start.platform.map(|platform| {
            (
                Feed::new(start.settings.text("edge.list"), platform.kinds),
                platform.known,
            )
        });
        let (feed, known) = platform.unzip();
        let rests = IdleTimeoutEstimate::new(limits.connect_time_out);
        let inner = Inner {
            fronts: Fronts::default(),
            on_platform,
            speech: if on_platform {
                Speech::Platform
            } else {
                Speech::Ours
            },
            feed,
            known,
            limits,
            chance: Rng::new(start.seed),
            incarnation: start.incarnation,
            metrics_page: start.metrics_page,
            figures: Figures::default(),
            round: EventBatch::default(),
            owners: BTreeMap::new(),
            clients: Clients::default(),
            jobs: Jobs::default(),
            functions,
            identity,
            admission,
            links: Links::default(),
            rests,
            connect_wake: None,
            list,
            // A seed of its own, as for the connections.
            start: sanddrum_bootstrap::Bootstrap::new(
                start.seed ^ 0x57,
                &start.settings.values_for_module(),
            ),
            began: 0,
            due: BTreeSet::new(),
            module_wake: None,
            stop_at: None,
            ended: false,
            writes_put_off: false,
            violations: Violations::default(),
            violations_pass: false,
            kept: start.kept,
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
    pub fn letting_violations_pass(mut self) -> Self {
        self.inner.violations_pass = true;
        self
    }

    fn connect(&mut self, now: Micros, io: &mut dyn Io) {
        let due = self.inner.connect_wake.is_some_and(|at| at <= now);
        if !due && self.inner.links.news.is_empty() {
            return;
        }
        self.inner.connect_wake = None;
        let news = std::mem::take(&mut self.inner.links.news);
        self.connections.handle(
            now,
            &news,
            &mut connection_manager::Connect {
                inner: &mut self.inner,
                io,
                now,
            },
        );
        self.inner.figures.connecting(&self.connections);
    }

    fn rounds(&mut self, now: Micros) {
        // What carrying out a decision brings at once (a full connection, an ended job) is news of its own.
        for _ in 0..limits::ROUNDS_A_TURN {
            let due = self.inner.module_wake.is_some_and(|at| at <= now);
            if !due && !self.inner.has_news() {
                break;
            }
            let mut round = std::mem::take(&mut self.inner.round);
            if due {
                round.timer = true;
                self.inner.module_wake = None;
            }
            self.module.handle(
                now,
                &round,
                &mut dispatch::Carry {
                    inner: &mut self.inner,
                    now,
                },
            );
        }
    }
}

impl Inner {
    fn call_for_list(&mut self, now: Micros, io: &mut dyn Io) {
        match self.on_platform {
            true => self.call_feed(now, io),
            false => self.look_at_list(now, io),
        }
    }
    /// The platform has replaced the start configuration: the feed may have moved, the rest holds from the next start.
    fn configuration_came(&mut self, now: Micros, content: Result<&[u8], &str>, io: &mut dyn Io) {
        let text = content.map_err(String::from).map(String::from_utf8_lossy);
        match text.and_then(|text| {
            sanddrum_platform::StartupConfig::read(&text).map_err(|e| e.to_string())
        }) {
            Ok(configuration) => self.feed_moved(now, &configuration.feed, io),
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
        let r = &self.round;
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
    fn fall_due(&mut self, now: Micros, io: &mut dyn Io) {
        while let Some((at, due)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
            self.due.remove(&(at, due));
            match due {
                Due::Execution(id) => self.execution_is_late(now, id),
                Due::Order(id) => self.order_is_late(now, id),
                Due::Probe(id) => self.probe_is_late(now, id),
                Due::Link(link) => self.look_at_link(now, link, io),
                Due::Unwritten(link, execution) => self.still_unwritten(now, link, execution, io),
                Due::Client(conn) if self.on_platform => self.look_at_front(now, conn, io),
                Due::Client(conn) => self.look_at_client(now, conn, io),
                Due::List => self.call_for_list(now, io),
                Due::Save => self.save_list(now, io),
                Due::Arrivals => {}
                Due::Stop => self.round.shutting_down = true,
            }
        }
    }
}

impl<M: DecisionModule> Core for Edge<M> {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        self.inner.began = now;
        self.inner.take_up_kept_list(now);
        if let Some(known) = self.inner.known.take() {
            self.inner.take_told(
                ClockReading {
                    now,
                    wall: io.wall_clock(now),
                },
                known,
            );
        }
        if self.inner.on_platform {
            return self.inner.call_for_list(now, io);
        }
        let kept = !self.inner.list.is_empty();
        self.inner
            .follow_list(now, &[DiscoveryEvent::Started { has_cache: kept }], io);
    }

    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        let inner = &mut self.inner;
        let conn = match event {
            Event::Accepted { conn, .. } if inner.on_platform => {
                return inner.front_came(now, conn, io)
            }
            Event::Accepted { conn, .. } => return inner.client_came(now, conn, io),
            Event::Connected { conn }
            | Event::Bytes { conn, .. }
            | Event::Writable { conn }
            | Event::Closed { conn, .. } => conn,
        };
        let Some(owner) = inner.owners.get(&conn).copied() else {
            return;
        };
        if matches!(event, Event::Closed { .. }) {
            inner.owners.remove(&conn);
        }
        match owner {
            Owner::Client if inner.on_platform => inner.front_event(now, conn, event, io),
            Owner::Client => inner.client_event(now, conn, event, io),
            Owner::Link(link) => inner.link_event(now, link, event, io),
            Owner::List if inner.on_platform => inner.feed_event(now, conn, event, io),
            Owner::List => inner.list_event(now, conn, event, io),
        }
    }

    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        self.inner.fall_due(now, io);
        self.inner.admit(now);
        self.rounds(now);
        if self.inner.stop_at.is_some_and(|at| at <= now) {
            self.inner.end_all(now);
            self.inner.ended = true;
        }
        self.connect(now, io);
        // Once in a row: a process that is short of its processor would never write. Guards against an attempt that
        // begins for a client whose end has come since the turn began.
        self.inner.writes_put_off = !self.inner.writes_put_off && io.is_delayed();
        if self.inner.writes_put_off {
            return;
        }
        self.inner.flush_links(now, io);
        self.inner.flush_clients(now, io);
        self.inner.flush_fronts(now, io);
    }

    fn next_wakeup(&self) -> Option<Micros> {
        let inner = &self.inner;
        let is_due = inner.has_news() || !inner.links.news.is_empty() || inner.writes_put_off;
        let news = is_due.then_some(0);
        let due = self.inner.due.first().map(|(at, _)| *at);
        due.into_iter()
            .chain(self.inner.module_wake)
            .chain(self.inner.connect_wake)
            .chain(news)
            .min()
    }

    fn on_file(&mut self, now: Micros, name: &str, content: Result<&[u8], &str>, io: &mut dyn Io) {
        match name {
            KEYS => self.inner.keys_came(now, content, io),
            CONFIGURATION => self.inner.configuration_came(now, content, io),
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
        match self.inner.owners.get(&conn) {
            Some(Owner::Client) => self.inner.client_is_old(now, conn, denied, io),
            Some(Owner::Link(link)) => self.inner.link_is_old(*link, denied),
            _ => {}
        }
    }

    fn shut_down(&mut self, now: Micros, _: &mut dyn Io) {
        if self.inner.stop_at.is_none() {
            tracing::info!(open = self.inner.jobs.open(), "asked to end");
            let stop_at = now + self.inner.limits.stop_within;
            self.inner.stop_at = Some(stop_at);
            self.inner
                .due
                .insert((now + self.inner.limits.late_arrivals, Due::Arrivals));
            self.inner.due.insert((stop_at, Due::Stop));
        }
    }

    fn log_status(&mut self, _: Micros) {
        let held = self.held();
        let (open, violations) = (self.inner.jobs.open(), self.inner.violations.text());
        let Held {
            clients,
            links,
            workers,
            functions,
            ..
        } = held;
        match self.inner.violations.all() {
            0 => tracing::info!(
                open,
                clients,
                links,
                workers,
                functions,
                violations,
                "as it stands"
            ),
            _ => tracing::error!(
                open,
                clients,
                links,
                workers,
                functions,
                violations,
                "as it stands"
            ),
        }
    }

    fn accepts_while_draining(&self) -> bool {
        self.inner.stop_at.is_some() && self.inner.limits.late_arrivals > 0
    }

    fn is_done(&self) -> bool {
        let inner = &self.inner;
        inner.stop_at.is_some()
            && !inner.due.iter().any(|(_, due)| *due == Due::Arrivals)
            && (inner.ended || !(inner.clients.reads_one() || inner.fronts.reads_one()))
            && inner.jobs.open() == 0
            && inner.clients.nothing_to_write()
            && inner.fronts.nothing_to_write()
    }
}
