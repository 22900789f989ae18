//! A router as the list service knows it: the product's decisions on when to call and to ask, and on what follows on what
//! is known. It is hollow behind that, as it keeps no rows and serves nobody.

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

/// What one router has been told.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Follower {
    pub known: DiscoveryVersion,
    /// When its present start was told the list first.
    pub told: Option<Micros>,
    /// When the version that it knows was last moved on.
    pub moved: Micros,
}

/// What all routers did and were told.
#[derive(Debug, Default)]
pub struct Followers {
    pub routers: Vec<Follower>,
    /// Calls begun, and those that were refused, broken off or given up.
    pub calls: u64,
    pub losses: u64,
    pub whole_lists: u64,
    pub gaps: u64,
}

pub struct HollowRouterSpec {
    /// Its place among the followers.
    pub number: usize,
    pub name: String,
    /// The list service's address.
    pub list: String,
    pub incarnation: u64,
    pub seed: u64,
    /// What it had kept over its restart.
    pub kept: Option<DiscoveryVersion>,
    /// The largest frame that it takes, in bytes.
    pub largest_frame: usize,
}

pub struct SimulatedRouter {
    spec: HollowRouterSpec,
    start: Bootstrap,
    known: DiscoveryVersion,
    conn: Option<ConnectionId>,
    out: Outbox<()>,
    frames: FrameDecoder,
    /// When to decide again; what fell due before is of an earlier call.
    next: Micros,
    followers: Rc<RefCell<Followers>>,
}

#[derive(Default)]
struct Wanted {
    calls: bool,
    asks: bool,
    hangs_up: bool,
    wake: Micros,
}

impl Decisions for Wanted {
    fn connect(&mut self) {
        self.calls = true;
    }
    fn poll(&mut self) {
        self.asks = true;
    }
    fn disconnect(&mut self) {
        self.hangs_up = true;
    }
    fn wake_at(&mut self, at: Micros) {
        self.wake = at;
    }
}

impl SimulatedRouter {
    /// `settings` are those that the edge gives its module for starts.
    pub fn new(
        spec: HollowRouterSpec,
        settings: &Settings,
        followers: Rc<RefCell<Followers>>,
    ) -> Self {
        SimulatedRouter {
            // The edge's own seed for it.
            start: Bootstrap::new(spec.seed ^ 0x57, settings),
            known: spec.kept.unwrap_or_default(),
            conn: None,
            out: Outbox::new(spec.largest_frame),
            frames: FrameDecoder::new(spec.largest_frame),
            next: 0,
            followers,
            spec,
        }
    }
    fn follow(&mut self, now: Micros, news: &[DiscoveryEvent], io: &mut dyn Io) {
        let mut wanted = Wanted::default();
        self.start.handle(now, news, &mut wanted);
        if wanted.hangs_up {
            self.leave(io);
        }
        if wanted.calls {
            self.call(io);
        }
        if wanted.asks {
            let _ = self
                .out
                .push((), &encode_frame(&ToDiscovery::Watch(self.known.watch())));
            self.flush(io);
        }
        self.next = wanted.wake.max(now + 1);
    }
    fn call(&mut self, io: &mut dyn Io) {
        self.leave(io);
        self.conn = Some(io.connect(&self.spec.list));
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
        let _ = self
            .out
            .push((), &encode_frame(&ToDiscovery::Watch(self.known.watch())));
        self.followers.borrow_mut().calls += 1;
    }
    fn leave(&mut self, io: &mut dyn Io) {
        if let Some(conn) = self.conn.take() {
            io.reset(conn);
            self.followers.borrow_mut().losses += 1;
        }
    }
    fn flush(&mut self, io: &mut dyn Io) {
        self.conn
            .into_iter()
            .for_each(|conn| self.out.flush(conn, io));
    }
    fn rows(&mut self, now: Micros, rows: EndpointUpdateHead, io: &mut dyn Io) {
        if !self.known.is_followed_by(rows) {
            self.followers.borrow_mut().gaps += 1;
            return self.follow(now, &[DiscoveryEvent::Gap], io);
        }
        self.follow(now, &[DiscoveryEvent::Answered], io);
        let before = self.known;
        let taken = self.known.advance(rows);
        let mut followers = self.followers.borrow_mut();
        followers.whole_lists += u64::from(rows.is_full_snapshot);
        if let Some(follower) = followers
            .routers
            .get_mut(self.spec.number)
            .filter(|_| taken)
        {
            follower.known = self.known;
            follower.told = follower.told.or(Some(now));
            if before != self.known {
                follower.moved = now;
            }
        }
    }
    fn read(&mut self, now: Micros, io: &mut dyn Io) {
        while self.conn.is_some() {
            match self.frames.next_message::<FromDiscoveryHead>() {
                Ok(None) => break,
                Ok(Some(FromDiscoveryHead::Endpoints(rows))) => self.rows(now, rows, io),
                Ok(Some(FromDiscoveryHead::Hello(_))) => {}
                Err(_) => {
                    self.leave(io);
                    return self.follow(now, &[DiscoveryEvent::Disconnected], io);
                }
            }
        }
    }
}

impl Core for SimulatedRouter {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        let kept = self.spec.kept.is_some();
        if let Some(follower) = self
            .followers
            .borrow_mut()
            .routers
            .get_mut(self.spec.number)
        {
            *follower = Follower {
                known: self.known,
                ..Follower::default()
            };
        }
        self.follow(now, &[DiscoveryEvent::Started { has_cache: kept }], io);
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
                self.followers.borrow_mut().losses += 1;
                self.follow(now, &[DiscoveryEvent::Disconnected], io);
            }
            Event::Accepted { .. } => {}
        }
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        if now >= self.next {
            self.follow(now, &[], io);
        }
    }
    fn next_wakeup(&self) -> Option<Micros> {
        Some(self.next)
    }
}
