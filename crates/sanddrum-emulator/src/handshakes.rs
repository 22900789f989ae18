//! What handshakes cost a stand-in worker: each takes its time on one core, one after the other, longer while the worker
//! is cold; until then nothing that came on its connection is heard.

use crate::faults::Shared;
use sanddrum_net::{ConnectionId, Core, Event, Io, Micros};
use std::collections::{BTreeMap, VecDeque};

/// What a worker's handshakes are to take, and what became of them.
#[derive(Clone, Debug, Default)]
pub struct HandshakeWork {
    /// Of one, at full speed.
    pub takes: Micros,
    /// Begun and not yet counted among the work that a cold machine bears.
    pub came: Vec<f64>,
    /// Begun in each second.
    pub seconds: BTreeMap<Micros, u32>,
}

/// A core behind its handshakes.
pub struct Slowed<C> {
    core: C,
    work: Shared<HandshakeWork>,
    started: Micros,
    cold: Micros,
    cold_from: f64,
    held: BTreeMap<ConnectionId, Vec<u8>>,
    queue: VecDeque<(Micros, ConnectionId)>,
    free: Micros,
}

impl<C: Core> Slowed<C> {
    pub fn new(
        core: C,
        work: Shared<HandshakeWork>,
        started: Micros,
        cold: Micros,
        cold_from: f64,
    ) -> Self {
        Slowed {
            core,
            work,
            started,
            cold,
            cold_from,
            held: BTreeMap::new(),
            queue: VecDeque::new(),
            free: 0,
        }
    }
    fn begin(&mut self, now: Micros, conn: ConnectionId) {
        let age = (now - self.started) as f64 / self.cold.max(1) as f64;
        let warm = self.started <= 0 || age >= 1.0;
        let part = if warm {
            1.0
        } else {
            self.cold_from + (1.0 - self.cold_from) * age
        };
        let mut work = self.work.borrow_mut();
        let takes = work.takes as f64;
        work.came.push(takes);
        *work.seconds.entry(now / 1_000_000).or_default() += 1;
        self.free = self.free.max(now) + (takes / part.max(0.01)) as Micros;
        self.queue.push_back((self.free, conn));
        self.held.insert(conn, Vec::new());
    }
}

impl<C: Core> Core for Slowed<C> {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        self.core.start(now, io);
    }
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        match &event {
            Event::Accepted { conn, .. } => self.begin(now, *conn),
            Event::Bytes { conn, bytes } => {
                if let Some(held) = self.held.get_mut(conn) {
                    return held.extend_from_slice(bytes);
                }
            }
            Event::Closed { conn, .. } => drop(self.held.remove(conn)),
            Event::Connected { .. } | Event::Writable { .. } => {}
        }
        self.core.on_event(now, event, io);
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        while let Some((_, conn)) = self.queue.front().copied().filter(|(at, _)| *at <= now) {
            self.queue.pop_front();
            if let Some(bytes) = self.held.remove(&conn).filter(|bytes| !bytes.is_empty()) {
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
    fn on_file(&mut self, now: Micros, name: &str, content: Result<&[u8], &str>, io: &mut dyn Io) {
        self.core.on_file(now, name, content, io);
    }
    fn is_done(&self) -> bool {
        self.core.is_done()
    }
}
