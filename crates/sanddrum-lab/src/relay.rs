//! A relay on the link between two processes, whose faults a test controls. It accepts connections, connects each to
//! the process behind it, and forwards, delays, slows down or withholds the bytes. The only part of them that it
//! decodes is the greeting with the caller's name.

use sanddrum_emulator::Shared;
use sanddrum_net::{CloseCause, ConnectionId, Core, Event, Io, Micros, Outbox};
use sanddrum_wire::{FrameDecoder, ToDiscovery, ToWorker};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A fault of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Every message takes this much longer, in each direction.
    Delay(Micros),
    /// What the caller sends doesn't arrive until the fault is cleared.
    SilentTo,
    /// What is sent to the caller doesn't arrive until the fault is cleared.
    SilentFrom,
    /// Connections are accepted, but never answered.
    Unanswered,
    /// Existing connections are reset, and new ones as soon as they are accepted.
    Refused,
    /// Each connection carries at most this many bytes per second in each direction.
    Slow(f64),
}

/// The protocol whose greeting tells a relay the name of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Greeting {
    /// Callers aren't identified.
    Anonymous,
    /// The protocol that workers speak with edges.
    Worker,
    /// The protocol of the discovery service.
    Discovery,
}

/// The state that controls a relay; tests and environments change it while the relay runs.
#[derive(Clone, Debug, Default)]
pub struct RelayControl {
    /// Address that the process behind the relay listens on; none while it isn't running.
    pub target: Option<String>,
    /// Faults by the name of the caller; `None` applies to all callers that have no fault of their own.
    pub faults: BTreeMap<Option<String>, Fault>,
    /// Callers whose connections the relay resets next; `None` stands for all of them.
    pub pending_resets: Vec<Option<String>>,
    /// Incremented by every change, so that the relay notices it.
    pub revision: u64,
}

impl RelayControl {
    pub fn set_fault(&mut self, caller: Option<&str>, fault: Option<Fault>) {
        let caller = caller.map(String::from);
        match fault {
            Some(fault) => drop(self.faults.insert(caller, fault)),
            None => drop(self.faults.remove(&caller)),
        }
        self.revision += 1;
    }
    pub fn reset_connections(&mut self, caller: Option<&str>) {
        self.pending_resets.push(caller.map(String::from));
        self.revision += 1;
    }
    pub fn set_target(&mut self, target: Option<String>) {
        self.target = target;
        self.revision += 1;
    }
    fn fault_for(&self, caller: &str) -> Option<Fault> {
        self.faults
            .get(&Some(caller.to_string()))
            .or(self.faults.get(&None))
            .copied()
    }
}

enum Chunk {
    Bytes(Vec<u8>),
    End(CloseCause),
}

/// One direction of a relayed connection.
struct Direction {
    queue: VecDeque<(Micros, Chunk)>,
    queued_bytes: usize,
    /// On a slow link, nothing more is forwarded before this time.
    next_send: Micros,
    outbox: Outbox<()>,
}

/// The connection that a caller opened, and the one that the relay opened to the process behind it.
struct ConnectionPair {
    upstream: Option<ConnectionId>,
    upstream_connected: bool,
    caller_name: Option<String>,
    greeting: FrameDecoder,
    to_upstream: Direction,
    to_caller: Direction,
    paused: bool,
}

/// Once more bytes than this are queued in one direction, the relay stops reading from both connections.
const MAX_QUEUED_BYTES: usize = 1 << 20;
/// Limit of the bytes that wait for a socket, and of a greeting's size.
const MAX_OUTBOX_BYTES: usize = 64 << 20;

pub struct Relay {
    greeting_protocol: Greeting,
    control: Shared<RelayControl>,
    seen_revision: u64,
    pairs: BTreeMap<ConnectionId, ConnectionPair>,
    /// The caller's connection for each upstream connection.
    caller_conns: BTreeMap<ConnectionId, ConnectionId>,
    /// Pairs with new events or queued bytes.
    active: BTreeSet<ConnectionId>,
}

fn new_direction() -> Direction {
    Direction {
        queue: VecDeque::new(),
        queued_bytes: 0,
        next_send: 0,
        outbox: Outbox::new(MAX_OUTBOX_BYTES),
    }
}

impl Direction {
    fn push(&mut self, at: Micros, chunk: Chunk) {
        if let Chunk::Bytes(bytes) = &chunk {
            self.queued_bytes += bytes.len();
        }
        self.queue.push_back((at, chunk));
    }
    fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.outbox.pending_bytes() == 0
    }
    /// Forwards what is due. Returns how the sender closed its connection, once everything before that was forwarded.
    fn forward(&mut self, now: Micros, fault: Option<Fault>, withheld: bool) -> Option<CloseCause> {
        let delay = if let Some(Fault::Delay(delay_us)) = fault {
            delay_us
        } else {
            0
        };
        while let Some((at, chunk)) = self.queue.front() {
            if withheld || at + delay > now || self.next_send > now {
                return None;
            }
            match chunk {
                Chunk::End(cause) => return Some(*cause),
                Chunk::Bytes(bytes) => {
                    if let Some(Fault::Slow(bytes_per_s)) = fault {
                        self.next_send =
                            now + (bytes.len() as f64 / bytes_per_s.max(1.0) * 1e6) as Micros;
                    }
                    self.queued_bytes -= bytes.len();
                    let _ = self.outbox.push((), bytes);
                    self.queue.pop_front();
                }
            }
        }
        None
    }
    fn next_due(&self, fault: Option<Fault>, withheld: bool) -> Option<Micros> {
        let delay = if let Some(Fault::Delay(delay_us)) = fault {
            delay_us
        } else {
            0
        };
        let first = self.queue.front().filter(|_| !withheld);
        first.map(|(at, _)| (at + delay).max(self.next_send))
    }
}

impl ConnectionPair {
    /// Whether the fault withholds what is sent to the upstream, and what is sent to the caller.
    fn withheld(fault: Option<Fault>) -> (bool, bool) {
        let unanswered = fault == Some(Fault::Unanswered);
        (
            unanswered || fault == Some(Fault::SilentTo),
            unanswered || fault == Some(Fault::SilentFrom),
        )
    }
}

impl Relay {
    pub fn new(greeting_protocol: Greeting, control: Shared<RelayControl>) -> Self {
        let (pairs, caller_conns, active) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        Relay {
            greeting_protocol,
            control,
            seen_revision: 0,
            pairs,
            caller_conns,
            active,
        }
    }
    fn fault(&self, pair: &ConnectionPair) -> Option<Fault> {
        self.control
            .borrow()
            .fault_for(pair.caller_name.as_deref().unwrap_or_default())
    }
    fn read_greeting(&mut self, caller_conn: ConnectionId, bytes: &[u8]) {
        let greeting_protocol = self.greeting_protocol;
        let Some(pair) = self
            .pairs
            .get_mut(&caller_conn)
            .filter(|p| p.caller_name.is_none())
        else {
            return;
        };
        pair.greeting.push_bytes(bytes);
        pair.caller_name = match greeting_protocol {
            Greeting::Anonymous => None,
            Greeting::Worker => match pair.greeting.next_message::<ToWorker>() {
                Ok(Some(ToWorker::Hello(hello))) => Some(hello.name),
                _ => None,
            },
            // A worker names itself in the endpoint record that it registers with.
            Greeting::Discovery => match pair.greeting.next_message::<ToDiscovery>() {
                Ok(Some(ToDiscovery::Hello(hello))) => Some(hello.name),
                Ok(Some(ToDiscovery::Register(record))) => Some(record.name),
                _ => None,
            },
        };
    }
    fn connect_upstream(&mut self, caller_conn: ConnectionId, io: &mut dyn Io) {
        let target = self.control.borrow().target.clone();
        let Some(pair) = self
            .pairs
            .get_mut(&caller_conn)
            .filter(|p| p.upstream.is_none() && p.caller_name.is_some())
        else {
            return;
        };
        let fault = self
            .control
            .borrow()
            .fault_for(pair.caller_name.as_deref().unwrap_or_default());
        match (fault, target) {
            (Some(Fault::Unanswered), _) => {}
            (Some(Fault::Refused), _) | (_, None) => {
                self.close_pair(caller_conn, io, CloseCause::Reset, true)
            }
            (_, Some(target)) => {
                let upstream = io.connect(&target);
                pair.upstream = Some(upstream);
                self.caller_conns.insert(upstream, caller_conn);
            }
        }
    }
    /// Closes or resets those connections of the pair that are still open.
    fn close_pair(
        &mut self,
        caller_conn: ConnectionId,
        io: &mut dyn Io,
        cause: CloseCause,
        caller_open: bool,
    ) {
        let Some(pair) = self.pairs.remove(&caller_conn) else {
            return;
        };
        let sides = [
            caller_open.then_some(caller_conn),
            pair.upstream.filter(|b| self.caller_conns.contains_key(b)),
        ];
        if let Some(upstream) = pair.upstream {
            self.caller_conns.remove(&upstream);
        }
        for conn in sides.into_iter().flatten() {
            if cause == CloseCause::Orderly {
                io.close(conn)
            } else {
                io.reset(conn)
            }
        }
    }
    fn serve_pair(
        &mut self,
        now: Micros,
        caller_conn: ConnectionId,
        pending_resets: &[Option<String>],
        io: &mut dyn Io,
    ) {
        self.connect_upstream(caller_conn, io);
        let Some(pair) = self.pairs.get(&caller_conn) else {
            return;
        };
        let reset_requested = pending_resets
            .iter()
            .any(|caller| caller.is_none() || *caller == pair.caller_name);
        let fault = self.fault(pair);
        if reset_requested || fault == Some(Fault::Refused) {
            return self.close_pair(caller_conn, io, CloseCause::Reset, true);
        }
        let (withhold_to_upstream, withhold_to_caller) = ConnectionPair::withheld(fault);
        let Some(pair) = self.pairs.get_mut(&caller_conn) else {
            return;
        };
        let upstream = pair.upstream.filter(|_| pair.upstream_connected);
        let end_to_upstream =
            upstream.and_then(|_| pair.to_upstream.forward(now, fault, withhold_to_upstream));
        let end_to_caller = pair.to_caller.forward(now, fault, withhold_to_caller);
        upstream
            .iter()
            .for_each(|upstream| drop(pair.to_upstream.outbox.flush(*upstream, io)));
        pair.to_caller.outbox.flush(caller_conn, io);
        if pair.paused
            && pair
                .to_upstream
                .queued_bytes
                .max(pair.to_caller.queued_bytes)
                * 2
                < MAX_QUEUED_BYTES
        {
            pair.paused = false;
            io.pause(caller_conn, false);
            pair.upstream
                .iter()
                .for_each(|upstream| io.pause(*upstream, false));
        }
        let flushed = |direction: &Direction, cause: CloseCause| {
            direction.outbox.pending_bytes() == 0 || cause != CloseCause::Orderly
        };
        match (end_to_caller, end_to_upstream) {
            (Some(cause), _) if flushed(&pair.to_caller, cause) => {
                self.close_pair(caller_conn, io, cause, true)
            }
            (_, Some(cause)) if flushed(&pair.to_upstream, cause) => {
                self.close_pair(caller_conn, io, cause, false)
            }
            _ => {}
        }
    }
    fn enqueue(&mut self, now: Micros, conn: ConnectionId, chunk: Chunk, io: &mut dyn Io) {
        let caller_conn = self.caller_conns.get(&conn).copied().unwrap_or(conn);
        if let Chunk::Bytes(bytes) = &chunk {
            if caller_conn == conn {
                self.read_greeting(caller_conn, bytes);
            }
        }
        let Some(pair) = self.pairs.get_mut(&caller_conn) else {
            return;
        };
        let direction = if caller_conn == conn {
            &mut pair.to_upstream
        } else {
            &mut pair.to_caller
        };
        direction.push(now, chunk);
        if direction.queued_bytes > MAX_QUEUED_BYTES && !pair.paused {
            pair.paused = true;
            io.pause(caller_conn, true);
            pair.upstream
                .iter()
                .for_each(|upstream| io.pause(*upstream, true));
        }
        self.connect_upstream(caller_conn, io);
    }
}

impl Core for Relay {
    fn start(&mut self, _: Micros, _: &mut dyn Io) {}
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        let (Event::Accepted { conn, .. }
        | Event::Connected { conn }
        | Event::Bytes { conn, .. }
        | Event::Writable { conn }
        | Event::Closed { conn, .. }) = event;
        self.active
            .insert(self.caller_conns.get(&conn).copied().unwrap_or(conn));
        match event {
            Event::Accepted { conn, .. } => {
                let caller_name = (self.greeting_protocol == Greeting::Anonymous).then(String::new);
                let (to_upstream, to_caller, greeting) = (
                    new_direction(),
                    new_direction(),
                    FrameDecoder::new(MAX_OUTBOX_BYTES),
                );
                let pair = ConnectionPair {
                    upstream: None,
                    upstream_connected: false,
                    caller_name,
                    greeting,
                    to_upstream,
                    to_caller,
                    paused: false,
                };
                self.pairs.insert(conn, pair);
                self.connect_upstream(conn, io);
            }
            Event::Connected { conn } => {
                if let Some(pair) = self
                    .caller_conns
                    .get(&conn)
                    .and_then(|caller_conn| self.pairs.get_mut(caller_conn))
                {
                    pair.upstream_connected = true;
                }
            }
            Event::Bytes { conn, bytes } => {
                self.enqueue(now, conn, Chunk::Bytes(bytes.to_vec()), io)
            }
            Event::Writable { conn } => {
                let caller_conn = self.caller_conns.get(&conn).copied().unwrap_or(conn);
                if let Some(pair) = self.pairs.get_mut(&caller_conn) {
                    let direction = if caller_conn == conn {
                        &mut pair.to_caller
                    } else {
                        &mut pair.to_upstream
                    };
                    direction.outbox.unblock();
                }
            }
            Event::Closed { conn, cause } => {
                if let Some(caller_conn) = self.caller_conns.get(&conn).copied() {
                    self.caller_conns.remove(&conn);
                    let cause = if cause == CloseCause::Refused {
                        CloseCause::Reset
                    } else {
                        cause
                    };
                    if let Some(pair) = self.pairs.get_mut(&caller_conn) {
                        pair.to_caller.push(now, Chunk::End(cause));
                    }
                } else if let Some(pair) = self.pairs.get_mut(&conn) {
                    pair.to_upstream.push(now, Chunk::End(cause));
                    // Without an upstream connection there is nowhere to forward what the caller sent.
                    if pair.upstream.is_none() || !pair.upstream_connected {
                        self.close_pair(conn, io, cause, false);
                    }
                }
            }
        }
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        let revision = self.control.borrow().revision;
        let pending_resets = std::mem::take(&mut self.control.borrow_mut().pending_resets);
        if self.seen_revision != revision {
            self.active.extend(self.pairs.keys());
        }
        self.seen_revision = revision;
        for caller_conn in self.active.iter().copied().collect::<Vec<_>>() {
            self.serve_pair(now, caller_conn, &pending_resets, io);
            let has_queued =
                |p: &ConnectionPair| !(p.to_upstream.is_empty() && p.to_caller.is_empty());
            if !self.pairs.get(&caller_conn).is_some_and(has_queued) {
                self.active.remove(&caller_conn);
            }
        }
    }
    fn next_wakeup(&self) -> Option<Micros> {
        if self.seen_revision != self.control.borrow().revision {
            return Some(0);
        }
        let active = self
            .active
            .iter()
            .filter_map(|caller_conn| self.pairs.get(caller_conn));
        let due = active.flat_map(|pair| {
            let fault = self.fault(pair);
            let (withhold_to_upstream, withhold_to_caller) = ConnectionPair::withheld(fault);
            let to_upstream = pair
                .upstream
                .filter(|_| pair.upstream_connected)
                .and_then(|_| pair.to_upstream.next_due(fault, withhold_to_upstream));
            [
                to_upstream,
                pair.to_caller.next_due(fault, withhold_to_caller),
            ]
        });
        due.flatten().min()
    }
    fn is_done(&self) -> bool {
        true
    }
}
