//! What handshakes cost an emulated worker: each takes its time on one core, one after the other, and longer while the
//! worker warms up; until it is through, nothing that arrives on its connection is processed.

use crate::faults::Shared;
use sanddrum_net::{ConnectionId, Core, Event, FileError, Io, Micros};
use std::collections::{BTreeMap, VecDeque};

const MICROS_PER_SECOND: Micros = 1_000_000;
/// Below this share of its capacity a machine's handshakes take no longer still.
const MIN_CAPACITY_SHARE: f64 = 0.01;

/// What a worker's handshakes cost, and how many there were.
#[derive(Clone, Debug, Default)]
pub struct HandshakeWork {
    /// Time of one at full speed.
    pub cost: Micros,
    /// Costs of those started and not yet counted among the work that a warming machine bears.
    pub uncounted: Vec<f64>,
    /// How many were started in each second of the clock.
    pub per_second: BTreeMap<Micros, u32>,
}

/// A core whose connections each wait for their handshake.
pub struct HandshakeQueue<C> {
    core: C,
    work: Shared<HandshakeWork>,
    started_at: Micros,
    warm_up: Micros,
    initial_capacity: f64,
    /// What arrived before its connection's handshake was through.
    buffered: BTreeMap<ConnectionId, Vec<u8>>,
    /// When each handshake is through, in order.
    queue: VecDeque<(Micros, ConnectionId)>,
    /// When all handshakes so far are through.
    busy_until: Micros,
}

impl<C: Core> HandshakeQueue<C> {
    /// Puts a core behind its handshakes. The machine started at `started_at` (zero or less: long ago) with a share of
    /// `initial_capacity` of its full capacity, and reaches that over `warm_up`.
    pub fn new(
        core: C,
        work: Shared<HandshakeWork>,
        started_at: Micros,
        warm_up: Micros,
        initial_capacity: f64,
    ) -> Self {
        HandshakeQueue {
            core,
            work,
            started_at,
            warm_up,
            initial_capacity,
            buffered: BTreeMap::new(),
            queue: VecDeque::new(),
            busy_until: 0,
        }
    }

    /// The share of the machine's full capacity now.
    fn capacity_share(&self, now: Micros) -> f64 {
        let age = (now - self.started_at) as f64 / self.warm_up.max(1) as f64;
        if self.started_at <= 0 || age >= 1.0 {
            1.0
        } else {
            self.initial_capacity + (1.0 - self.initial_capacity) * age
        }
    }

    fn start_handshake(&mut self, now: Micros, connection: ConnectionId) {
        let share = self.capacity_share(now).max(MIN_CAPACITY_SHARE);
        let mut work = self.work.borrow_mut();
        let cost = work.cost as f64;
        work.uncounted.push(cost);
        *work.per_second.entry(now / MICROS_PER_SECOND).or_default() += 1;
        self.busy_until = self.busy_until.max(now) + (cost / share) as Micros;
        self.queue.push_back((self.busy_until, connection));
        self.buffered.insert(connection, Vec::new());
    }
}

impl<C: Core> Core for HandshakeQueue<C> {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        self.core.start(now, io);
    }

    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        match &event {
            Event::Accepted { conn, .. } => self.start_handshake(now, *conn),
            Event::Bytes { conn, bytes } => {
                if let Some(buffered) = self.buffered.get_mut(conn) {
                    return buffered.extend_from_slice(bytes);
                }
            }
            Event::Closed { conn, .. } => drop(self.buffered.remove(conn)),
            Event::Connected { .. } | Event::Writable { .. } => {}
        }
        self.core.on_event(now, event, io);
    }

    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        while let Some((_, conn)) = self.queue.front().copied().filter(|(at, _)| *at <= now) {
            self.queue.pop_front();
            let buffered = self.buffered.remove(&conn);
            if let Some(bytes) = buffered.filter(|bytes| !bytes.is_empty()) {
                self.core.on_event(
                    now,
                    Event::Bytes {
                        conn,
                        bytes: &bytes,
                    },
                    io,
                );
            }
        }
        self.core.process(now, io);
    }

    fn next_wakeup(&self) -> Option<Micros> {
        self.core
            .next_wakeup()
            .into_iter()
            .chain(self.queue.front().map(|(at, _)| *at))
            .min()
    }

    fn on_file(
        &mut self,
        now: Micros,
        name: &str,
        content: Result<&[u8], &FileError>,
        io: &mut dyn Io,
    ) {
        self.core.on_file(now, name, content, io);
    }

    fn is_done(&self) -> bool {
        self.core.is_done()
    }
}
