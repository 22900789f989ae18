//! The test environment of a soak run: routers as processes, clients, model servers and the feed on one event loop, and the
//! troubles carried out between them.

mod troubles;

use super::clients::{Clients, Front, Steering as ClientSteering};
use super::feed::{Feed, Mood as FeedMood, Tale};
use super::ledger::{Drain, FeedTrouble, RouterId, ServerId, Shared, Span, Start};
use super::routers::Router;
use super::servers::{Mood as ServerMood, Server, Steering as ServerSteering};
use super::settings::{Fleet, Terms};
use sanddrum_net::{EventLoop, HostId, ListenerId, Micros, NullObserver, Rng};
use serde_json::{json, Value as Json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

const S: Micros = 1_000_000;
/// How often the environment looks at processes and troubles.
const LOOK_EVERY: Micros = 2_000;
/// The lab's own loop is late where it comes back so much after that.
const LATE: Micros = 10_000;
/// After SIGTERM the front opens new connections for so long; on open ones it asks until SIGKILL.
const CONNECTS_AFTER_TERM: Micros = 300_000;
/// SIGKILL comes so long after SIGTERM, beyond the longest deadline, which counts as this at the most.
const KILL_AFTER_TERM: Micros = 700_000;
const KILL_LONGEST: Micros = 3 * S;
/// The front learns so long after a kill that a router is gone.
const KILL_NOTICED: Micros = 300_000;
/// A killed router is started again after this.
const KILL_DOWN: Micros = 400_000;
/// A server that was frozen has read all that had come, and accepted who waited, within this.
const THAWED_WITHIN: Micros = 200_000;
/// A drained server leaves after this.
const DRAIN_LASTS: Micros = 2 * S;
const SERVER_SIZE: f64 = 4.0;
/// Changes of what a router's poller watches fail so many times less often than its other calls.
const CONTROLS_FAIL_LESS: u64 = 50;

/// A place at which model servers stand, one after the other.
struct Place {
    host: HostId,
    address: String,
    name: String,
    server: ServerId,
    up_since_ms: i64,
    steering: Rc<RefCell<ServerSteering>>,
    /// It drains, and is replaced then.
    leaves_at: Option<Micros>,
}

/// What happens later to a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Serving,
    /// Asked to end, or killed, then.
    Ending(Micros),
    StartsAt(Micros),
}

/// What ends a trouble.
enum Undo {
    Resume(usize),
    CallsWork(usize),
    Behaves(usize),
    Thaws(usize),
    FeedWell,
    ClientsWell,
    Rate,
    HangUp,
    OutageOver,
    /// Not the end of a trouble but its second part: a server drains, for so long.
    Drains(usize, Micros),
    Signal(usize, SeriesSignal),
}

/// A signal of a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SeriesSignal {
    HangUp,
    Terminate,
    Status,
}

/// What discovery would have told counts as told this long after its outage began, at the latest.
const OUTAGE_TOLD_AFTER: Micros = 7 * S;

pub struct Environment {
    pub driver: EventLoop,
    pub fleet: Fleet,
    pub terms: Terms,
    pub ledger: Shared,
    pub routers: Vec<Router>,
    pub clients: Rc<RefCell<ClientSteering>>,
    phases: Vec<Phase>,
    places: Vec<Place>,
    tale: Rc<RefCell<Tale>>,
    chance: Rng,
    program: PathBuf,
    undo: Vec<(Micros, Undo)>,
    servers_started: usize,
    /// While the feed is out of reach for long, no other trouble of the feed ends that.
    outage_ends: Option<Micros>,
    /// No router is started any more.
    is_over: bool,
    /// How far the servers' wall clock is from the lab's, and each router's.
    servers_clock: Micros,
    router_clocks: Vec<Micros>,
    rate: f64,
    /// When the last step was done.
    stepped: Micros,
    /// How often each kind of trouble came.
    pub came: BTreeMap<&'static str, u64>,
    /// How often each kind was hidden by an outage of the feed, and not played.
    pub hidden: BTreeMap<&'static str, u64>,
}

/// Connections that clients keep to each router, usually and in a crowd.
const KEPT: usize = 3;
const CROWD_KEPT: usize = 60;
/// A crowd asks so many times as often.
const CROWD_RATE: f64 = 4.0;
/// The part of clients that behave badly all the time.
const BAD_CLIENTS: f64 = 0.12;

impl Environment {
    /// Sets the fleet up; routers are started and not yet asked.
    ///
    /// # Errors
    /// A listener, file or process can't be made.
    pub fn new(
        fleet: Fleet,
        terms: Terms,
        rate: f64,
        folder: &Path,
        program: PathBuf,
        ledger: Shared,
    ) -> io::Result<Self> {
        let rate = if terms.has_crowd {
            rate * CROWD_RATE
        } else {
            rate
        };
        let mut driver = EventLoop::new(Box::new(NullObserver))?;
        let (mut places, mut members) = (Vec::new(), Vec::new());
        for n in 0..fleet.servers {
            let (address, name) = (fleet.server_address(n), format!("s-{n:08x}"));
            let steering = Rc::new(RefCell::new(ServerSteering {
                mood: ServerMood::Well,
                drains: false,
                arrivals_unknown_until: 0,
            }));
            let id = ServerId(n);
            let server = Server::new(
                id,
                SERVER_SIZE,
                None,
                terms.clone(),
                ledger.clone(),
                steering.clone(),
            );
            let host = driver.add(Box::new(server), vec![EventLoop::bind(&address)?.0], None)?;
            ledger.borrow_mut().starts.push(Start {
                server: id,
                at: 0,
                size: SERVER_SIZE,
                long_ago: true,
            });
            members.push(member(&name, &address, "in_service", 0));
            places.push(Place {
                host,
                address,
                name,
                server: id,
                up_since_ms: 0,
                steering,
                leaves_at: None,
            });
        }
        let tale = Rc::new(RefCell::new(Tale::of(members)));
        let doors = [0, 1].map(|door| EventLoop::bind(&fleet.feed_address(door)));
        let [first, second] = doors;
        driver.add(
            Box::new(Feed::new(tale.clone())),
            vec![first?.0, second?.0],
            None,
        )?;
        let clients = Rc::new(RefCell::new(ClientSteering {
            fronts: vec![
                Front {
                    looks: true,
                    ..Front::default()
                };
                fleet.routers
            ],
            rate,
            kept: if terms.has_crowd { CROWD_KEPT } else { KEPT },
            bad: BAD_CLIENTS,
            over: false,
            half_written: 0,
            answers: 0,
        }));
        let core = Clients::new(
            fleet.clone(),
            terms.clone(),
            ledger.clone(),
            clients.clone(),
        );
        driver.add(Box::new(core), vec![], None)?;
        let routers = (0..fleet.routers).map(|n| Router::new(RouterId(n), folder));
        let routers: Vec<Router> = routers.collect::<io::Result<_>>()?;
        let mut environment = Environment {
            stepped: driver.now(),
            chance: Rng::new(fleet.seed ^ 0xe71),
            phases: vec![Phase::Serving; routers.len()],
            router_clocks: vec![0; routers.len()],
            servers_started: fleet.servers,
            driver,
            fleet,
            terms,
            ledger,
            routers,
            clients,
            places,
            tale,
            program,
            undo: Vec::new(),
            outage_ends: None,
            is_over: false,
            servers_clock: 0,
            rate,
            came: BTreeMap::new(),
            hidden: BTreeMap::new(),
        };
        for n in 0..environment.routers.len() {
            environment.start_router(n)?;
        }
        Ok(environment)
    }
    pub fn now(&self) -> Micros {
        self.driver.now()
    }
    /// Whether every router has been ready since its last start.
    pub fn all_ready(&self) -> bool {
        self.clients.borrow().fronts.iter().all(|front| front.asks)
    }

    /// Runs for a moment, and looks at processes and at what ends.
    ///
    /// # Errors
    /// The loop can't go on, or a process can't be started.
    pub fn step(&mut self) -> io::Result<()> {
        let until = self.now() + LOOK_EVERY;
        self.driver.run_until(until)?;
        let now = self.now();
        let before = std::mem::replace(&mut self.stepped, now);
        if now > before + LOOK_EVERY + LATE {
            self.ledger.borrow_mut().lab_late.push(Span {
                from: before,
                to: now,
            });
        }
        for n in 0..self.routers.len() {
            self.look_at_router(now, n)?;
        }
        for n in 0..self.places.len() {
            if self.places[n].leaves_at.is_some_and(|at| at <= now) {
                self.replace_server(n, true)?;
            }
        }
        let due: Vec<(Micros, Undo)> = {
            let (due, later) = std::mem::take(&mut self.undo)
                .into_iter()
                .partition(|(at, _)| *at <= now);
            self.undo = later;
            due
        };
        due.into_iter()
            .try_for_each(|(_, undo)| self.end_trouble(now, undo))
    }

    // ---- Routers

    fn start_router(&mut self, n: usize) -> io::Result<()> {
        let now = self.now();
        self.routers[n].configure(&self.terms, &self.fleet, self.tale.borrow().known())?;
        self.routers[n].start(now, &self.program, &self.ledger)?;
        self.phases[n] = Phase::Serving;
        self.clients.borrow_mut().fronts[n] = Front {
            looks: true,
            ..Front::default()
        };
        Ok(())
    }
    fn look_at_router(&mut self, now: Micros, n: usize) -> io::Result<()> {
        self.routers[n].look(now, &self.ledger);
        let running = self.routers[n].is_running();
        {
            let mut clients = self.clients.borrow_mut();
            let front = &mut clients.fronts[n];
            if let (Some(at), false, Phase::Serving) = (front.ready_at, front.asks, self.phases[n])
            {
                (front.connects, front.asks, front.looks) = (true, true, false);
                let mut ledger = self.ledger.borrow_mut();
                let life = ledger
                    .lives
                    .get_mut(&RouterId(n))
                    .and_then(|lives| lives.last_mut());
                life.into_iter()
                    .for_each(|life| life.ready = life.ready.or(Some(at)));
            }
            if let Phase::Ending(since) = self.phases[n] {
                front.connects &= now < since + CONNECTS_AFTER_TERM;
                front.asks &= now < since + self.time_to_end();
            }
        }
        match self.phases[n] {
            Phase::Ending(since) if running && self.is_time_to_end_over(now, n, since) => {
                self.routers[n].kill_after_asked(now, &self.ledger);
            }
            Phase::Ending(since) if !running && now >= since + KILL_NOTICED => {
                self.clients.borrow_mut().fronts[n] = Front::default();
                self.phases[n] = Phase::StartsAt(now + KILL_DOWN);
            }
            Phase::StartsAt(at) if at <= now && !self.is_over => self.start_router(n)?,
            _ => {}
        }
        Ok(())
    }
    /// How long after SIGTERM SIGKILL comes.
    fn time_to_end(&self) -> Micros {
        self.terms.longest_deadline.min(KILL_LONGEST) + KILL_AFTER_TERM
    }
    /// Whether a router that was asked to end has had its time for that. While the lab itself stops its process it has none.
    fn is_time_to_end_over(&self, now: Micros, n: usize, since: Micros) -> bool {
        let router = &self.routers[n];
        let stopped = self.ledger.borrow().stopped_between(router.id, since, now);
        !router.is_stopped() && now >= since + self.time_to_end() + stopped
    }
    /// Routers that serve, drawn, so many at the most.
    fn some_routers(&mut self, count: usize) -> Vec<usize> {
        let serving =
            |n: &usize| self.phases[*n] == Phase::Serving && self.routers[*n].is_running();
        let mut all: Vec<usize> = (0..self.routers.len()).filter(serving).collect();
        let mut drawn = Vec::new();
        while drawn.len() < count && !all.is_empty() {
            drawn.push(all.remove(self.chance.index(all.len())));
        }
        drawn
    }

    // ---- Model servers and the feed

    fn wall_ms(&self, now: Micros) -> i64 {
        (now + self.servers_clock) / 1000
    }
    fn some_places(&mut self, count: usize) -> Vec<usize> {
        let stands = |n: &usize| self.places[*n].leaves_at.is_none();
        let mut all: Vec<usize> = (0..self.places.len()).filter(stands).collect();
        let mut drawn = Vec::new();
        while drawn.len() < count && all.len() > self.places.len() / 2 {
            drawn.push(all.remove(self.chance.index(all.len())));
        }
        drawn
    }
    /// The server at a place goes, and another one starts there, or at another address; the feed tells both.
    fn replace_server(&mut self, n: usize, same_address: bool) -> io::Result<()> {
        let now = self.now();
        self.servers_started += 1;
        let id = ServerId(self.servers_started);
        let address = match same_address {
            true => self.places[n].address.clone(),
            false => self
                .fleet
                .server_address(self.fleet.servers + self.servers_started % 100),
        };
        let steering = Rc::new(RefCell::new(ServerSteering {
            mood: ServerMood::Well,
            drains: false,
            arrivals_unknown_until: 0,
        }));
        let (terms, ledger) = (self.terms.clone(), self.ledger.clone());
        let server = Server::new(id, SERVER_SIZE, Some(now), terms, ledger, steering.clone());
        self.driver.kill(self.places[n].host);
        let door = EventLoop::bind(&address)?.0;
        self.driver
            .replace(self.places[n].host, Box::new(server), vec![door], None)?;
        let (host, up_since_ms) = (self.places[n].host, self.wall_ms(now));
        let name = format!("s-{:08x}", id.0);
        let old = &self.places[n];
        let gone = member(&old.name, &old.address, "terminated", old.up_since_ms);
        let new = member(&name, &address, "in_service", up_since_ms);
        self.tale.borrow_mut().change(vec![gone, new]);
        {
            let mut ledger = self.ledger.borrow_mut();
            ledger.drains.push(Drain {
                server: old.server,
                told: now,
            });
            ledger.starts.push(Start {
                server: id,
                at: now,
                size: SERVER_SIZE,
                long_ago: false,
            });
        }
        self.places[n] = Place {
            host,
            address,
            name,
            server: id,
            up_since_ms,
            steering,
            leaves_at: None,
        };
        Ok(())
    }
    /// A server drains for a while, in which it rejects what is new, and leaves.
    fn drain_server(&mut self, now: Micros, n: usize, lasts: Micros) {
        let place = &mut self.places[n];
        place.leaves_at = Some(now + lasts);
        place.steering.borrow_mut().drains = true;
        let drains = member(
            &place.name,
            &place.address,
            "terminating",
            place.up_since_ms,
        );
        self.tale.borrow_mut().change(vec![drains]);
        self.ledger.borrow_mut().drains.push(Drain {
            server: place.server,
            told: now,
        });
    }
    fn feed_trouble(&mut self, now: Micros, mood: FeedMood, span: Micros, told_after: Micros) {
        self.tale.borrow_mut().mood = mood;
        // What was told shortly before may be under way in an answer that is cut or late.
        let span_of = Span {
            from: now - S / 2,
            to: now + span + S / 2,
        };
        self.ledger.borrow_mut().feed_troubles.push(FeedTrouble {
            span: span_of,
            told_after,
            is_outage: false,
        });
        self.undo.push((now + span, Undo::FeedWell));
    }
    /// The feed is out of reach for longer than the pages' clocks; busy servers drain just after that begins.
    fn begin_outage(&mut self, now: Micros, servers: usize, span: Micros, drains_after: Micros) {
        self.ledger.borrow_mut().feed_troubles.push(FeedTrouble {
            span: Span {
                from: now,
                to: now + span + S / 2,
            },
            told_after: OUTAGE_TOLD_AFTER,
            is_outage: true,
        });
        self.outage_ends = Some(now + span);
        self.undo.push((now + span, Undo::OutageOver));
        for n in self.some_places(servers) {
            let lasts = span - drains_after + DRAIN_LASTS;
            self.undo.push((now + drains_after, Undo::Drains(n, lasts)));
        }
    }
    /// The feed moves to its other address, and all routers are told by a new configuration.
    fn move_feed(&mut self, now: Micros) -> io::Result<()> {
        self.fleet.feed_door = 1 - self.fleet.feed_door;
        self.tale.borrow_mut().door = ListenerId(self.fleet.feed_door);
        let span = Span {
            from: now - S / 2,
            to: now + S,
        };
        self.ledger.borrow_mut().feed_troubles.push(FeedTrouble {
            span,
            told_after: 4 * S,
            is_outage: false,
        });
        for router in &self.routers {
            router.configure(&self.terms, &self.fleet, self.tale.borrow().known())?;
            if router.is_running() {
                router.hang_up();
            }
        }
        Ok(())
    }
}

fn member(name: &str, address: &str, phase: &str, up_since_ms: i64) -> Json {
    json!({"id": name, "host_port": address, "locality": "here", "flavor": "std", "cell": 0,
           "phase": phase, "size": SERVER_SIZE, "up_since_ms": up_since_ms})
}
