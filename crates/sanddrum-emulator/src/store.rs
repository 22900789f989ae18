//! A stand-in for the store that functions are fetched from: slow when many fetch at once, and full beyond a limit.

use crate::faults::{Shared, StoreFaults};
use crate::peers::Peers;
use sanddrum_net::{ConnectionId, Core, Event, Io, Micros};
use sanddrum_wire::{frame::encode_frame, Fetched, FromStore, ToStore};
use std::collections::VecDeque;

#[derive(Clone, Debug)]
pub struct StoreSpec {
    /// Fetches served at full pace at a time.
    pub at_once: usize,
    /// Fetches taken in hand; more are turned away.
    pub most: usize,
    pub us_per_mb: f64,
}

struct Fetching {
    conn: ConnectionId,
    id: u64,
    /// What is left of it, at full pace.
    left: f64,
}

pub struct Store {
    spec: StoreSpec,
    faults: Shared<StoreFaults>,
    peers: Peers,
    in_hand: VecDeque<Fetching>,
    at: Micros,
    pub fetches: u64,
}

impl Store {
    pub fn new(spec: StoreSpec, faults: Shared<StoreFaults>) -> Self {
        Store {
            spec,
            faults,
            peers: Peers::default(),
            in_hand: VecDeque::new(),
            at: 0,
            fetches: 0,
        }
    }
    /// The pace of each fetch: shared once more are in hand than are served at a time.
    fn pace(&self) -> f64 {
        let faults = self.faults.borrow();
        if faults.stalls {
            return 0.0;
        }
        let crowd = self.in_hand.len().max(1) as f64 / self.spec.at_once.max(1) as f64;
        1.0 / crowd.max(1.0) / faults.slower.max(1.0)
    }
    fn advance(&mut self, now: Micros) {
        let done = (now - self.at).max(0) as f64 * self.pace();
        self.at = now;
        self.in_hand.iter_mut().for_each(|f| f.left -= done);
        let (ended, still) = std::mem::take(&mut self.in_hand)
            .into_iter()
            .partition(|f| f.left <= 0.5);
        self.in_hand = still;
        let ended: VecDeque<Fetching> = ended;
        for f in ended {
            self.peers.send(
                f.conn,
                &encode_frame(&FromStore::Fetched(Fetched {
                    id: f.id,
                    is_complete: true,
                })),
            );
        }
    }
}

impl Core for Store {
    fn start(&mut self, now: Micros, _: &mut dyn Io) {
        self.at = now;
    }
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        match event {
            Event::Accepted { conn, .. } => self.peers.add(conn),
            Event::Writable { conn } => self.peers.unblock(conn),
            Event::Closed { conn, .. } => {
                self.advance(now);
                self.peers.remove(conn);
                self.in_hand.retain(|f| f.conn != conn);
            }
            Event::Bytes { conn, bytes } => {
                self.advance(now);
                self.peers.take_in(conn, bytes);
                loop {
                    match self.peers.next_message::<ToStore>(conn) {
                        Ok(Some(ToStore::Fetch(f))) => {
                            self.fetches += 1;
                            if self.faults.borrow().refuses || self.in_hand.len() >= self.spec.most
                            {
                                let refused = Fetched {
                                    id: f.id,
                                    is_complete: false,
                                };
                                self.peers
                                    .send(conn, &encode_frame(&FromStore::Fetched(refused)));
                            } else {
                                let left = (f.size_mb * self.spec.us_per_mb).max(1.0);
                                self.in_hand.push_back(Fetching {
                                    conn,
                                    id: f.id,
                                    left,
                                });
                            }
                        }
                        Ok(None) => break,
                        Err(_) => {
                            self.peers.remove(conn);
                            io.reset(conn);
                            break;
                        }
                    }
                }
            }
            Event::Connected { .. } => {}
        }
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        self.advance(now);
        self.peers.flush(io);
    }
    fn next_wakeup(&self) -> Option<Micros> {
        let least = self.in_hand.iter().map(|f| f.left).min_by(f64::total_cmp)?;
        let pace = self.pace();
        // While it stands still it looks now and then whether it may go on.
        Some(if pace > 0.0 {
            self.at + (least / pace).ceil().max(1.0) as Micros
        } else {
            self.at + 20_000
        })
    }
    fn is_done(&self) -> bool {
        true
    }
}
