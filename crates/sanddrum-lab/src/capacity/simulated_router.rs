//! A router as the discovery service sees it. It decides with the product's own code when to connect and to poll and
//! which update follows the known version, but it keeps no endpoints and serves no requests.

use sanddrum::Settings;
use sanddrum_bootstrap::{Bootstrap, Decisions, DiscoveryEvent};
use sanddrum_edge::DiscoveryVersion;
use sanddrum_net::{ConnectionId, Core, Event, Io, Micros, Outbox};
use sanddrum_wire::{
    frame::encode_frame, EndpointUpdateHead, FrameDecoder, FromDiscoveryHead, Hello, ToDiscovery,
    VERSION,
};
use std::cell::RefCell;
use std::rc::Rc;

/// The state of the endpoint list at one router.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Follower {
    pub known_version: DiscoveryVersion,
    /// When the router got its first update since its last start.
    pub first_update: Option<Micros>,
    /// When the known version last advanced.
    pub last_advanced: Micros,
}

/// The state and the counters of all routers.
#[derive(Debug, Default)]
pub struct FollowerStats {
    pub routers: Vec<Follower>,
    /// Connection attempts.
    pub connects: u64,
    /// Connections that were rejected, broken or closed by the router.
    pub disconnects: u64,
    pub full_lists: u64,
    pub gaps: u64,
}

/// The parameters of a simulated router.
pub struct SimulatedRouterSpec {
    /// The router's index in [`FollowerStats::routers`].
    pub index: usize,
    pub name: String,
    /// The address of the discovery service.
    pub discovery_address: String,
    pub incarnation: u64,
    pub seed: u64,
    /// The version of the endpoint list that was cached before the restart.
    pub cached_version: Option<DiscoveryVersion>,
    /// The largest frame that the router accepts, in bytes.
    pub largest_frame: usize,
}

pub struct SimulatedRouter {
    spec: SimulatedRouterSpec,
    bootstrap: Bootstrap,
    known_version: DiscoveryVersion,
    conn: Option<ConnectionId>,
    out: Outbox<()>,
    frames: FrameDecoder,
    /// When to run the bootstrap logic again; replaces earlier wakeups.
    next_wakeup_at: Micros,
    followers: Rc<RefCell<FollowerStats>>,
}

#[derive(Default)]
struct CollectedDecisions {
    connect_requested: bool,
    poll_requested: bool,
    disconnect_requested: bool,
    wakeup: Micros,
}

impl Decisions for CollectedDecisions {
    fn connect(&mut self) {
        self.connect_requested = true;
    }
    fn poll(&mut self) {
        self.poll_requested = true;
    }
    fn disconnect(&mut self) {
        self.disconnect_requested = true;
    }
    fn wake_at(&mut self, at: Micros) {
        self.wakeup = at;
    }
}

impl SimulatedRouter {
    /// `settings` are those that an edge passes to its bootstrap logic.
    pub fn new(
        spec: SimulatedRouterSpec,
        settings: &Settings,
        followers: Rc<RefCell<FollowerStats>>,
    ) -> Self {
        SimulatedRouter {
            // Derives the same seed as an edge.
            bootstrap: Bootstrap::new(spec.seed ^ 0x57, settings),
            known_version: spec.cached_version.unwrap_or_default(),
            conn: None,
            out: Outbox::new(spec.largest_frame),
            frames: FrameDecoder::new(spec.largest_frame),
            next_wakeup_at: 0,
            followers,
            spec,
        }
    }
    fn run_bootstrap(&mut self, now: Micros, events: &[DiscoveryEvent], io: &mut dyn Io) {
        let mut decisions = CollectedDecisions::default();
        self.bootstrap.handle(now, events, &mut decisions);
        if decisions.disconnect_requested {
            self.disconnect(io);
        }
        if decisions.connect_requested {
            self.connect(io);
        }
        if decisions.poll_requested {
            let _ = self.out.push(
                (),
                &encode_frame(&ToDiscovery::Watch(self.known_version.watch())),
            );
            self.flush(io);
        }
        self.next_wakeup_at = decisions.wakeup.max(now + 1);
    }
    fn connect(&mut self, io: &mut dyn Io) {
        self.disconnect(io);
        self.conn = Some(io.connect(&self.spec.discovery_address));
        self.out = Outbox::new(self.spec.largest_frame);
        self.frames = FrameDecoder::new(self.spec.largest_frame);
        let (name, incarnation) = (self.spec.name.clone(), self.spec.incarnation);
        let hello = Hello {
            version: VERSION,
            name,
            incarnation,
            age_us: None,
        };
        let _ = self.out.push((), &encode_frame(&ToDiscovery::Hello(hello)));
        let _ = self.out.push(
            (),
            &encode_frame(&ToDiscovery::Watch(self.known_version.watch())),
        );
        self.followers.borrow_mut().connects += 1;
    }
    fn disconnect(&mut self, io: &mut dyn Io) {
        if let Some(conn) = self.conn.take() {
            io.reset(conn);
            self.followers.borrow_mut().disconnects += 1;
        }
    }
    fn flush(&mut self, io: &mut dyn Io) {
        self.conn
            .into_iter()
            .for_each(|conn| drop(self.out.flush(conn, io)));
    }
    fn apply_update(&mut self, now: Micros, update: EndpointUpdateHead, io: &mut dyn Io) {
        if !self.known_version.is_followed_by(update) {
            self.followers.borrow_mut().gaps += 1;
            return self.run_bootstrap(now, &[DiscoveryEvent::Gap], io);
        }
        self.run_bootstrap(now, &[DiscoveryEvent::Answered], io);
        let before = self.known_version;
        let is_newer = self.known_version.advance(update);
        let mut followers = self.followers.borrow_mut();
        followers.full_lists += u64::from(update.is_full_snapshot);
        if let Some(follower) = followers
            .routers
            .get_mut(self.spec.index)
            .filter(|_| is_newer)
        {
            follower.known_version = self.known_version;
            follower.first_update = follower.first_update.or(Some(now));
            if before != self.known_version {
                follower.last_advanced = now;
            }
        }
    }
    fn read(&mut self, now: Micros, io: &mut dyn Io) {
        while self.conn.is_some() {
            match self.frames.next_message::<FromDiscoveryHead>() {
                Ok(None) => break,
                Ok(Some(FromDiscoveryHead::Endpoints(update))) => {
                    self.apply_update(now, update, io)
                }
                Ok(Some(FromDiscoveryHead::Hello(_))) => {}
                Err(_) => {
                    self.disconnect(io);
                    return self.run_bootstrap(now, &[DiscoveryEvent::Disconnected], io);
                }
            }
        }
    }
}

impl Core for SimulatedRouter {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        let has_cache = self.spec.cached_version.is_some();
        if let Some(follower) = self.followers.borrow_mut().routers.get_mut(self.spec.index) {
            *follower = Follower {
                known_version: self.known_version,
                ..Follower::default()
            };
        }
        self.run_bootstrap(now, &[DiscoveryEvent::Started { has_cache }], io);
    }
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        let conn = match event {
            Event::Connected { conn }
            | Event::Writable { conn }
            | Event::Bytes { conn, .. }
            | Event::Closed { conn, .. }
            | Event::Accepted { conn, .. } => conn,
        };
        if self.conn != Some(conn) {
            return;
        }
        match event {
            Event::Connected { .. } => self.flush(io),
            Event::Writable { .. } => {
                self.out.unblock();
                self.flush(io);
            }
            Event::Bytes { bytes, .. } => {
                self.frames.push_bytes(bytes);
                self.read(now, io);
            }
            Event::Closed { .. } => {
                self.conn = None;
                self.followers.borrow_mut().disconnects += 1;
                self.run_bootstrap(now, &[DiscoveryEvent::Disconnected], io);
            }
            Event::Accepted { .. } => {}
        }
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        if now >= self.next_wakeup_at {
            self.run_bootstrap(now, &[], io);
        }
    }
    fn next_wakeup(&self) -> Option<Micros> {
        Some(self.next_wakeup_at)
    }
}
