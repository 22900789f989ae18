//! The test environment of a soak run: router processes, the emulated clients, model servers and feed on one event
//! loop, and the injection of faults.

mod fault_injection;

use super::clients::{ClientControl, Clients, RouterTarget};
use super::feed::{Feed, FeedMode, FeedState};
use super::observations::{Drain, FeedFault, RouterId, ServerId, SharedObservations, Span, Start};
use super::routers::Router;
use super::server_control::ServerControl;
use super::servers::Server;
use super::settings::{Fleet, SoakSettings};
use crate::flooding_clients::FloodingClients;
use sanddrum_net::{EventLoop, HostId, ListenerId, Micros, NullObserver, Rng};
use serde_json::{json, Value as Json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::rc::Rc;

const S: Micros = 1_000_000;
/// How often the environment checks processes and scheduled actions.
const STEP: Micros = 2_000;
/// The lab's own loop counts as late if a step takes this much longer than `STEP`.
const LATE: Micros = 10_000;
/// After SIGTERM clients open new connections for this long; on open ones they send requests until SIGKILL.
const CONNECTS_AFTER_SIGTERM: Micros = 300_000;
/// SIGKILL follows SIGTERM after the longest deadline, capped at `KILL_DEADLINE_CAP`, plus `KILL_MARGIN`.
const KILL_MARGIN: Micros = 700_000;
const KILL_DEADLINE_CAP: Micros = 3 * S;
/// Clients notice this long after SIGTERM or SIGKILL, at the earliest, that a router is gone.
const EXIT_NOTICED_AFTER: Micros = 300_000;
/// How long a router that has exited stays down before it is restarted.
const RESTART_DELAY: Micros = 400_000;
/// A server that was frozen has read everything that had arrived, and accepted the waiting connections, within this
/// time.
const UNFREEZE_TIME: Micros = 200_000;
/// How long a server drains before it is replaced.
const DRAIN_DURATION: Micros = 2 * S;
const SERVER_SIZE: f64 = 4.0;
/// Calls of `epoll_ctl` fail this many times less often than a router's other system calls.
const EPOLL_CTL_RATE_DIVISOR: u64 = 50;

/// A slot that is occupied by one model server after the other.
struct ServerSlot {
    host: HostId,
    address: String,
    name: String,
    server: ServerId,
    up_since_ms: i64,
    control: Rc<RefCell<ServerControl>>,
    /// When the draining server is replaced.
    replaced_at: Option<Micros>,
}

/// Where a router is in its restart cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Serving,
    /// SIGTERM or SIGKILL was sent at this time.
    Stopping(Micros),
    StartsAt(Micros),
}

/// A scheduled action, which in most cases ends a fault.
enum ScheduledAction {
    ResumeRouter(usize),
    StopFailingCalls(usize),
    RestoreServer(usize),
    RestoreLink(usize),
    /// Ends a freeze that began at this time.
    UnfreezeServer(usize, Micros),
    RestoreFeed,
    RestoreClients,
    /// Ends the flood that ends at this time.
    EndFlood(Micros),
    RestoreRate,
    MoveFeed,
    EndOutage,
    /// The second part of a fault: a server begins to drain, for this long.
    DrainServer(usize, Micros),
    Signal(usize, SeriesSignal),
}

/// A signal of a `SignalSeries`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SeriesSignal {
    HangUp,
    Terminate,
    Status,
}

/// Events from the start of a feed outage are deemed delivered at the latest this long after that start.
const OUTAGE_DELIVERY_DEADLINE: Micros = 7 * S;

pub struct Environment {
    pub driver: EventLoop,
    pub fleet: Fleet,
    pub settings: SoakSettings,
    pub observations: SharedObservations,
    pub routers: Vec<Router>,
    pub clients: Rc<RefCell<ClientControl>>,
    phases: Vec<Phase>,
    slots: Vec<ServerSlot>,
    feed: Rc<RefCell<FeedState>>,
    rng: Rng,
    program: PathBuf,
    scheduled: Vec<(Micros, ScheduledAction)>,
    servers_started: usize,
    /// When the current outage of the feed ends. Other faults of the feed don't end it earlier.
    outage_ends: Option<Micros>,
    /// No router is started anymore.
    is_shutting_down: bool,
    /// Offset of the servers' wall clock from the lab's.
    servers_clock: Micros,
    /// Offset of each router's wall clock from the lab's.
    router_clocks: Vec<Micros>,
    rate: f64,
    /// When the last step was finished.
    last_step: Micros,
    /// Clients that send at full speed, by the time at which their flood ends.
    floods: BTreeMap<Micros, FloodingClients>,
    /// How often each kind of fault occurred.
    pub fault_counts: BTreeMap<&'static str, u64>,
    /// How often each kind of fault was not injected because an outage of the feed hid it.
    pub hidden_fault_counts: BTreeMap<&'static str, u64>,
}

/// Shared connections to each router.
const CONNECTIONS_PER_ROUTER: usize = 3;
/// Shared connections to each router in runs with many clients.
const MANY_CLIENTS_CONNECTIONS: usize = 60;
/// In runs with many clients the request rate is multiplied by this.
const MANY_CLIENTS_RATE_FACTOR: f64 = 4.0;
/// The fraction of requests with which clients misbehave outside of faults.
const MISBEHAVING_FRACTION: f64 = 0.12;

impl Environment {
    /// Sets up the fleet. The routers are started and get no requests until they are ready.
    ///
    /// # Errors
    /// A listener, file or process can't be created.
    pub fn new(
        fleet: Fleet,
        feed_listener: TcpListener,
        settings: SoakSettings,
        rate: f64,
        folder: &Path,
        program: PathBuf,
        observations: SharedObservations,
    ) -> io::Result<Self> {
        let rate = if settings.has_many_clients {
            rate * MANY_CLIENTS_RATE_FACTOR
        } else {
            rate
        };
        let mut driver = EventLoop::new(Box::new(NullObserver))?;
        let (mut slots, mut members) = (Vec::new(), Vec::new());
        for n in 0..fleet.servers {
            let (address, name) = (fleet.server_address(n), format!("s-{n:08x}"));
            let control = Rc::new(RefCell::new(ServerControl::normal()));
            let id = ServerId(n);
            let server = Server::new(
                id,
                SERVER_SIZE,
                None,
                settings.clone(),
                observations.clone(),
                control.clone(),
            );
            let host = driver.add(Box::new(server), vec![EventLoop::bind(&address)?.0], None)?;
            observations.borrow_mut().starts.push(Start {
                server: id,
                at: 0,
                size: SERVER_SIZE,
                before_run: true,
            });
            members.push(member(&name, &address, "in_service", 0));
            slots.push(ServerSlot {
                host,
                address,
                name,
                server: id,
                up_since_ms: 0,
                control,
                replaced_at: None,
            });
        }
        let feed = Rc::new(RefCell::new(FeedState::new(members)));
        let (second_listener, _) = EventLoop::bind(&fleet.feed_address(1))?;
        driver.add(
            Box::new(Feed::new(feed.clone())),
            vec![feed_listener, second_listener],
            None,
        )?;
        let clients = Rc::new(RefCell::new(ClientControl {
            targets: vec![
                RouterTarget {
                    checks_health: true,
                    ..RouterTarget::default()
                };
                fleet.routers
            ],
            rate,
            shared_connections: if settings.has_many_clients {
                MANY_CLIENTS_CONNECTIONS
            } else {
                CONNECTIONS_PER_ROUTER
            },
            misbehaving_fraction: MISBEHAVING_FRACTION,
            stopped: false,
            partial_requests: 0,
            responses: 0,
        }));
        let core = Clients::new(
            fleet.clone(),
            settings.clone(),
            observations.clone(),
            clients.clone(),
        );
        driver.add(Box::new(core), vec![], None)?;
        let routers = (0..fleet.routers).map(|n| Router::new(RouterId(n), folder));
        let routers: Vec<Router> = routers.collect::<io::Result<_>>()?;
        let mut environment = Environment {
            last_step: driver.now(),
            rng: Rng::new(fleet.seed ^ 0xe71),
            phases: vec![Phase::Serving; routers.len()],
            router_clocks: vec![0; routers.len()],
            servers_started: fleet.servers,
            driver,
            fleet,
            settings,
            observations,
            routers,
            clients,
            slots,
            feed,
            program,
            scheduled: Vec::new(),
            outage_ends: None,
            is_shutting_down: false,
            servers_clock: 0,
            rate,
            floods: BTreeMap::new(),
            fault_counts: BTreeMap::new(),
            hidden_fault_counts: BTreeMap::new(),
        };
        for n in 0..environment.routers.len() {
            environment.start_router(n)?;
        }
        Ok(environment)
    }
    pub fn now(&self) -> Micros {
        self.driver.now()
    }
    /// Returns whether every router has been ready since its last start.
    pub fn all_ready(&self) -> bool {
        self.clients
            .borrow()
            .targets
            .iter()
            .all(|target| target.sends_requests)
    }

    /// Runs the event loop for a short time, then checks the processes and performs the actions that are due.
    ///
    /// # Errors
    /// The event loop fails, or a process can't be started.
    pub fn step(&mut self) -> io::Result<()> {
        let until = self.now() + STEP;
        self.driver.run_until(until)?;
        let now = self.now();
        let before = std::mem::replace(&mut self.last_step, now);
        if now > before + STEP + LATE {
            self.observations.borrow_mut().lab_delays.push(Span {
                from: before,
                to: now,
            });
        }
        for n in 0..self.routers.len() {
            self.check_router(now, n)?;
        }
        for n in 0..self.slots.len() {
            if self.slots[n].replaced_at.is_some_and(|at| at <= now) {
                self.replace_server(n, true)?;
            }
        }
        let due: Vec<(Micros, ScheduledAction)> = {
            let (due, later) = std::mem::take(&mut self.scheduled)
                .into_iter()
                .partition(|(at, _)| *at <= now);
            self.scheduled = later;
            due
        };
        due.into_iter()
            .try_for_each(|(_, scheduled)| self.perform(now, scheduled))
    }

    // ---- Routers

    fn start_router(&mut self, n: usize) -> io::Result<()> {
        let now = self.now();
        self.routers[n].configure(
            &self.settings,
            &self.fleet,
            self.feed.borrow().start_events(),
        )?;
        self.routers[n].start(now, &self.program, &self.observations)?;
        self.phases[n] = Phase::Serving;
        self.clients.borrow_mut().targets[n] = RouterTarget {
            checks_health: true,
            ..RouterTarget::default()
        };
        Ok(())
    }
    fn check_router(&mut self, now: Micros, n: usize) -> io::Result<()> {
        self.routers[n].poll_exit(now, &self.observations);
        let running = self.routers[n].is_running();
        {
            let mut clients = self.clients.borrow_mut();
            let target = &mut clients.targets[n];
            if let (Some(at), false, Phase::Serving) =
                (target.ready_at, target.sends_requests, self.phases[n])
            {
                (
                    target.opens_connections,
                    target.sends_requests,
                    target.checks_health,
                ) = (true, true, false);
                let mut observations = self.observations.borrow_mut();
                let incarnation = observations
                    .incarnations
                    .get_mut(&RouterId(n))
                    .and_then(|incarnations| incarnations.last_mut());
                incarnation
                    .into_iter()
                    .for_each(|incarnation| incarnation.ready = incarnation.ready.or(Some(at)));
            }
            if let Phase::Stopping(since) = self.phases[n] {
                target.opens_connections &= now < since + CONNECTS_AFTER_SIGTERM;
                target.sends_requests &= now < since + self.exit_time_limit();
            }
        }
        match self.phases[n] {
            Phase::Stopping(since) if running && self.is_exit_overdue(now, n, since) => {
                self.routers[n].kill_after_sigterm(now, &self.observations);
            }
            Phase::Stopping(since) if !running && now >= since + EXIT_NOTICED_AFTER => {
                self.clients.borrow_mut().targets[n] = RouterTarget::default();
                self.phases[n] = Phase::StartsAt(now + RESTART_DELAY);
            }
            Phase::StartsAt(at) if at <= now && !self.is_shutting_down => self.start_router(n)?,
            _ => {}
        }
        Ok(())
    }
    /// Returns how long after SIGTERM a router that is still running is killed.
    fn exit_time_limit(&self) -> Micros {
        self.settings.max_deadline.min(KILL_DEADLINE_CAP) + KILL_MARGIN
    }
    /// Returns whether the time that a router has to exit after SIGTERM is over. Time in which the lab has stopped its
    /// process doesn't count.
    fn is_exit_overdue(&self, now: Micros, n: usize, since: Micros) -> bool {
        let router = &self.routers[n];
        let stopped = self
            .observations
            .borrow()
            .stopped_between(router.id, since, now);
        !router.is_stopped() && now >= since + self.exit_time_limit() + stopped
    }
    /// Returns up to `count` random routers that are serving.
    fn random_routers(&mut self, count: usize) -> Vec<usize> {
        let is_serving =
            |n: &usize| self.phases[*n] == Phase::Serving && self.routers[*n].is_running();
        let mut all: Vec<usize> = (0..self.routers.len()).filter(is_serving).collect();
        let mut chosen = Vec::new();
        while chosen.len() < count && !all.is_empty() {
            chosen.push(all.remove(self.rng.index(all.len())));
        }
        chosen
    }

    // ---- Model servers and the feed

    fn wall_ms(&self, now: Micros) -> i64 {
        (now + self.servers_clock) / 1000
    }
    fn random_slots(&mut self, count: usize) -> Vec<usize> {
        let is_available = |n: &usize| self.slots[*n].replaced_at.is_none();
        let mut all: Vec<usize> = (0..self.slots.len()).filter(is_available).collect();
        let mut chosen = Vec::new();
        while chosen.len() < count && all.len() > self.slots.len() / 2 {
            chosen.push(all.remove(self.rng.index(all.len())));
        }
        chosen
    }
    /// Kills the server in a slot and starts another one at the same or another address. The feed announces both.
    fn replace_server(&mut self, n: usize, same_address: bool) -> io::Result<()> {
        let now = self.now();
        self.servers_started += 1;
        let id = ServerId(self.servers_started);
        let address = match same_address {
            true => self.slots[n].address.clone(),
            false => self
                .fleet
                .server_address(self.fleet.servers + self.servers_started % 100),
        };
        let control = Rc::new(RefCell::new(ServerControl::normal()));
        let (settings, observations) = (self.settings.clone(), self.observations.clone());
        let server = Server::new(
            id,
            SERVER_SIZE,
            Some(now),
            settings,
            observations,
            control.clone(),
        );
        self.driver.kill(self.slots[n].host);
        let listener = EventLoop::bind(&address)?.0;
        self.driver
            .replace(self.slots[n].host, Box::new(server), vec![listener], None)?;
        let (host, up_since_ms) = (self.slots[n].host, self.wall_ms(now));
        let name = format!("s-{:08x}", id.0);
        let old = &self.slots[n];
        let old_member = member(&old.name, &old.address, "terminated", old.up_since_ms);
        let new_member = member(&name, &address, "in_service", up_since_ms);
        self.feed.borrow_mut().change(vec![old_member, new_member]);
        {
            let mut observations = self.observations.borrow_mut();
            observations.end_server(now, old.server);
            observations.drains.push(Drain {
                server: old.server,
                announced_at: now,
            });
            observations.starts.push(Start {
                server: id,
                at: now,
                size: SERVER_SIZE,
                before_run: false,
            });
        }
        self.slots[n] = ServerSlot {
            host,
            address,
            name,
            server: id,
            up_since_ms,
            control,
            replaced_at: None,
        };
        Ok(())
    }
    /// Lets a server drain, in which time it rejects new requests, before it is replaced.
    fn drain_server(&mut self, now: Micros, n: usize, duration: Micros) {
        let slot = &mut self.slots[n];
        slot.replaced_at = Some(now + duration);
        slot.control.borrow_mut().is_draining = true;
        let draining_member = member(&slot.name, &slot.address, "terminating", slot.up_since_ms);
        self.feed.borrow_mut().change(vec![draining_member]);
        self.observations.borrow_mut().drains.push(Drain {
            server: slot.server,
            announced_at: now,
        });
    }
    fn begin_feed_fault(
        &mut self,
        now: Micros,
        mode: FeedMode,
        span: Micros,
        deemed_delivered_after: Micros,
    ) {
        self.feed.borrow_mut().mode = mode;
        // Events from shortly before the fault may be in a response that is cut off or delayed.
        let affected = Span {
            from: now - S / 2,
            to: now + span + S / 2,
        };
        self.observations.borrow_mut().feed_faults.push(FeedFault {
            span: affected,
            deemed_delivered_after,
            is_outage: false,
        });
        self.scheduled
            .push((now + span, ScheduledAction::RestoreFeed));
    }
    /// Records an outage of the feed, which lasts longer than the timeouts in the platform's documentation. Schedules its
    /// end and the drains of some servers, which begin just after its start. The caller sets the feed's mode.
    fn begin_outage(&mut self, now: Micros, servers: usize, span: Micros, drains_after: Micros) {
        self.observations.borrow_mut().feed_faults.push(FeedFault {
            span: Span {
                from: now,
                to: now + span + S / 2,
            },
            deemed_delivered_after: OUTAGE_DELIVERY_DEADLINE,
            is_outage: true,
        });
        self.outage_ends = Some(now + span);
        self.scheduled
            .push((now + span, ScheduledAction::EndOutage));
        for n in self.random_slots(servers) {
            let duration = span - drains_after + DRAIN_DURATION;
            self.scheduled.push((
                now + drains_after,
                ScheduledAction::DrainServer(n, duration),
            ));
        }
    }
    /// Moves the feed to its other address, writes the new configuration of each router and makes running routers
    /// reload it.
    fn move_feed(&mut self, now: Micros) -> io::Result<()> {
        self.fleet.feed_listener = 1 - self.fleet.feed_listener;
        self.feed.borrow_mut().listener = ListenerId(self.fleet.feed_listener);
        let span = Span {
            from: now - S / 2,
            to: now + S,
        };
        self.observations.borrow_mut().feed_faults.push(FeedFault {
            span,
            deemed_delivered_after: 4 * S,
            is_outage: false,
        });
        for router in &self.routers {
            router.configure(
                &self.settings,
                &self.fleet,
                self.feed.borrow().start_events(),
            )?;
            if router.is_running() {
                router.reload();
            }
        }
        Ok(())
    }
}

fn member(name: &str, address: &str, phase: &str, up_since_ms: i64) -> Json {
    json!({"id": name, "host_port": address, "locality": "here", "flavor": "std", "cell": 0,
           "phase": phase, "size": SERVER_SIZE, "up_since_ms": up_since_ms})
}
