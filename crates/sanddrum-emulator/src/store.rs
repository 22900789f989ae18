//! An emulated function store. Concurrent fetches slow each other down, and the store rejects fetches above a limit.

use crate::faults::{Shared, StoreFaults};
use crate::peers::Peers;
use sanddrum_net::{ConnectionId, Core, Event, Io, Micros};
use sanddrum_wire::{frame::encode_frame, Fetch, Fetched, FromStore, ToStore};
use std::collections::VecDeque;

/// A fetch with at most this much time remaining, in microseconds, is complete, as floating-point sums are not exact.
const COMPLETE_BELOW_US: f64 = 0.5;
/// How often a stalled store checks whether it may continue.
const STALL_CHECK_INTERVAL: Micros = 20_000;

/// The configuration of a store.
#[derive(Clone, Debug)]
pub struct StoreSpec {
    /// Concurrent fetches that are served at full speed; more fetches share that speed.
    pub full_speed_fetches: usize,
    /// Concurrent fetches that are accepted; further ones are rejected.
    pub max_fetches: usize,
    /// The time of a fetch at full speed, per megabyte.
    pub us_per_mb: f64,
}

struct PendingFetch {
    connection: ConnectionId,
    id: u64,
    /// The remaining time at full speed, in microseconds.
    remaining_us: f64,
}

/// An emulated store, as a core.
pub struct Store {
    spec: StoreSpec,
    faults: Shared<StoreFaults>,
    peers: Peers,
    pending: VecDeque<PendingFetch>,
    advanced_to: Micros,
}

impl Store {
    /// Creates a store without pending fetches.
    pub fn new(spec: StoreSpec, faults: Shared<StoreFaults>) -> Self {
        Store {
            spec,
            faults,
            peers: Peers::default(),
            pending: VecDeque::new(),
            advanced_to: 0,
        }
    }

    /// The current speed of each fetch, as a fraction of the full speed.
    fn speed(&self) -> f64 {
        let faults = self.faults.borrow();
        if faults.is_stalled {
            return 0.0;
        }
        let fetches = self.pending.len().max(1) as f64;
        let contention = fetches / self.spec.full_speed_fetches.max(1) as f64;
        1.0 / contention.max(1.0) / faults.slowdown.max(1.0)
    }

    fn advance(&mut self, now: Micros) {
        let progress = (now - self.advanced_to).max(0) as f64 * self.speed();
        self.advanced_to = now;
        for fetch in &mut self.pending {
            fetch.remaining_us -= progress;
        }
        let (complete, pending): (VecDeque<PendingFetch>, VecDeque<PendingFetch>) =
            std::mem::take(&mut self.pending)
                .into_iter()
                .partition(|fetch| fetch.remaining_us <= COMPLETE_BELOW_US);
        self.pending = pending;
        for fetch in complete {
            self.answer(fetch.connection, fetch.id, true);
        }
    }

    fn answer(&mut self, connection: ConnectionId, id: u64, is_complete: bool) {
        let message = FromStore::Fetched(Fetched { id, is_complete });
        self.peers.send(connection, &encode_frame(&message));
    }

    fn fetch(&mut self, connection: ConnectionId, fetch: &Fetch) {
        let is_full = self.pending.len() >= self.spec.max_fetches;
        if self.faults.borrow().rejects_all || is_full {
            return self.answer(connection, fetch.id, false);
        }
        self.pending.push_back(PendingFetch {
            connection,
            id: fetch.id,
            remaining_us: (fetch.size_mb * self.spec.us_per_mb).max(1.0),
        });
    }

    fn on_bytes(&mut self, now: Micros, connection: ConnectionId, bytes: &[u8], io: &mut dyn Io) {
        self.advance(now);
        self.peers.push_bytes(connection, bytes);
        loop {
            match self.peers.next_message::<ToStore>(connection) {
                Ok(Some(ToStore::Fetch(fetch))) => self.fetch(connection, &fetch),
                Ok(None) => return,
                Err(_) => {
                    self.peers.remove(connection);
                    return io.reset(connection);
                }
            }
        }
    }
}

impl Core for Store {
    fn start(&mut self, now: Micros, _: &mut dyn Io) {
        self.advanced_to = now;
    }

    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        match event {
            Event::Accepted { conn, .. } => self.peers.add(conn),
            Event::Writable { conn } => self.peers.unblock(conn),
            Event::Closed { conn, .. } => {
                self.advance(now);
                self.peers.remove(conn);
                self.pending.retain(|fetch| fetch.connection != conn);
            }
            Event::Bytes { conn, bytes } => self.on_bytes(now, conn, bytes, io),
            Event::Connected { .. } => {}
        }
    }

    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        self.advance(now);
        self.peers.flush(io);
    }

    fn next_wakeup(&self) -> Option<Micros> {
        let shortest = self
            .pending
            .iter()
            .map(|fetch| fetch.remaining_us)
            .min_by(f64::total_cmp)?;
        let speed = self.speed();
        let wait = if speed > 0.0 {
            (shortest / speed).ceil().max(1.0) as Micros
        } else {
            STALL_CHECK_INTERVAL
        };
        Some(self.advanced_to + wait)
    }

    fn is_done(&self) -> bool {
        true
    }
}
