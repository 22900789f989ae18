//! One connection to a worker.

use crate::message::{AttemptId, CommandId, MessageKey, OutboundMessage};
use crate::worker_protocol::MessageDecoder;
use sanddrum::{Micros, WorkerId};
use sanddrum_net::{ConnectionId, Io, Outbox};
use std::collections::BTreeMap;

/// The state of the transport connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Transport {
    /// The connection policy has not opened it yet.
    Pending,
    /// The connection is being opened.
    Connecting(ConnectionId),
    /// The connection is open, and the worker has not answered the first message, the only one that was written.
    Verifying(ConnectionId),
    /// The connection is open, and the worker reads it.
    Connected(ConnectionId),
    /// The edge has ended its output and waits for the worker to end the connection.
    Closing(ConnectionId),
}

impl Transport {
    pub fn conn(self) -> Option<ConnectionId> {
        match self {
            Transport::Pending => None,
            Transport::Connecting(conn)
            | Transport::Verifying(conn)
            | Transport::Connected(conn)
            | Transport::Closing(conn) => Some(conn),
        }
    }

    pub fn is_connected(self) -> bool {
        matches!(self, Transport::Connected(_))
    }

    /// Whether it has been opened by the connection policy and is not usable yet.
    pub fn is_opening(self) -> bool {
        matches!(self, Transport::Connecting(_) | Transport::Verifying(_))
    }

    pub fn is_closing(self) -> bool {
        matches!(self, Transport::Closing(_))
    }
}

/// The position of a message among all messages of its connection, in the order of writing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position(u64);

pub(super) struct WorkerConnection {
    pub worker: WorkerId,
    pub transport: Transport,
    pub outbox: Outbox<MessageKey>,
    pub decoder: MessageDecoder,
    /// Messages that await their answers.
    pub in_flight: BTreeMap<MessageKey, Position>,
    /// Unanswered messages that only ask for proof of what the worker has read.
    pub confirmations: BTreeMap<CommandId, Position>,
    /// Whether proof is to be asked for once one of them is answered.
    pub owes_confirmation: bool,
    /// Written or queued cancellations of attempts in flight.
    pub cancellations: BTreeMap<AttemptId, Position>,
    /// The messages in `in_flight` and `confirmations` by the ids that answers carry, on the platform's protocol only.
    pub keys_by_wire_id: BTreeMap<u64, MessageKey>,
    /// Ids of messages that have ended, with the time until which a late answer may arrive. Until then an id is not
    /// reused: a duplicate answer to the earlier attempt would be taken for the answer to the later one, which would
    /// then count as not run although it runs.
    pub retired_wire_ids: BTreeMap<u64, Micros>,
    /// Since when a message that the worker answers at once has been unanswered, or since the last message received after
    /// it.
    pub check_unanswered_since: Option<Micros>,
    /// Since when a received frame has been incomplete.
    pub incomplete_since: Option<Micros>,
    /// Whether a timer will check the incomplete frame.
    pub is_frame_timer_scheduled: bool,
    /// Whether it takes no new messages and is closed once nothing is in flight.
    pub is_retired: bool,
    /// When its transport was opened.
    pub opened_at: Micros,
    /// When the current step has to be complete: the connect, the verification or the end by the worker.
    pub step_deadline: Micros,
    /// When it last became idle.
    pub idle_since: Micros,
    /// How long it was idle before it last became busy.
    pub idle_before: Micros,
    /// When it last became busy.
    pub busy_since: Micros,
    /// The position of the message queued last.
    last_position: Position,
    /// The worker has read all messages up to this one.
    read_through: Position,
}

impl WorkerConnection {
    pub fn new(
        worker: WorkerId,
        now: Micros,
        outbox: Outbox<MessageKey>,
        decoder: MessageDecoder,
    ) -> Self {
        WorkerConnection {
            worker,
            transport: Transport::Pending,
            outbox,
            decoder,
            in_flight: BTreeMap::new(),
            confirmations: BTreeMap::new(),
            owes_confirmation: false,
            cancellations: BTreeMap::new(),
            keys_by_wire_id: BTreeMap::new(),
            retired_wire_ids: BTreeMap::new(),
            check_unanswered_since: None,
            incomplete_since: None,
            is_frame_timer_scheduled: false,
            is_retired: false,
            opened_at: now,
            step_deadline: now,
            idle_since: now,
            idle_before: 0,
            busy_since: now,
            last_position: Position::default(),
            read_through: Position::default(),
        }
    }

    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Whether a message that the worker answers at once is unanswered.
    pub fn is_check_in_flight(&self) -> bool {
        let is_health_check = |key: &MessageKey| matches!(key, MessageKey::HealthCheck(_));
        !self.confirmations.is_empty() || self.in_flight.keys().any(is_health_check)
    }

    /// Whether this id is in flight, or retired and not reusable yet.
    pub fn uses_wire_id(&self, wire_id: u64) -> bool {
        self.keys_by_wire_id.contains_key(&wire_id) || self.retired_wire_ids.contains_key(&wire_id)
    }

    /// The position of the next message that is queued.
    pub fn next_position(&mut self) -> Position {
        self.last_position.0 += 1;
        self.last_position
    }

    /// Records that a message has been queued and awaits its answer.
    pub fn track(&mut self, now: Micros, message: &OutboundMessage, uses_call_ids: bool) {
        if self.is_idle() {
            self.idle_before = now - self.idle_since;
            self.busy_since = now;
        }
        let is_check = matches!(message.key, MessageKey::HealthCheck(_));
        if is_check && self.transport.is_connected() {
            self.check_unanswered_since.get_or_insert(now);
        }
        let position = self.next_position();
        self.in_flight.insert(message.key, position);
        if uses_call_ids {
            self.keys_by_wire_id.insert(message.wire_id, message.key);
        }
    }

    /// Records that a message has ended. Its id is not reused on this connection before `reusable_at`.
    pub fn untrack(&mut self, now: Micros, key: MessageKey, reusable_at: Micros) {
        self.in_flight.remove(&key);
        if let MessageKey::Attempt(attempt) = key {
            self.cancellations.remove(&attempt);
        }
        self.retired_wire_ids.retain(|_, until| *until > now);
        let retired = self
            .keys_by_wire_id
            .iter()
            .find(|(_, tracked)| **tracked == key)
            .map(|(wire_id, _)| *wire_id);
        if let Some(wire_id) = retired {
            self.keys_by_wire_id.remove(&wire_id);
            self.retired_wire_ids.insert(wire_id, reusable_at);
        }
        self.idle_since = now;
        self.idle_before = 0;
    }

    /// Writes the message that verifies the connection: the first one.
    pub fn flush_verification(&mut self, conn: ConnectionId, io: &mut dyn Io) -> Vec<MessageKey> {
        let Some(first) = self.confirmations.keys().next_back().copied() else {
            return Vec::new();
        };
        let is_first = |key: &MessageKey| *key == MessageKey::Confirmation(first);
        self.outbox.flush_through(is_first, conn, io)
    }

    /// Records that the worker has answered a message, so that it has read this one and all before it.
    pub fn record_answer(&mut self, key: MessageKey) {
        let position = match key {
            MessageKey::Confirmation(id) => self.confirmations.get(&id),
            _ => self.in_flight.get(&key),
        };
        if let Some(position) = position {
            self.read_through = self.read_through.max(*position);
        }
    }

    /// Whether the worker is known to have read a message in flight.
    pub fn is_known_read(&self, key: MessageKey) -> bool {
        self.in_flight
            .get(&key)
            .is_some_and(|position| *position <= self.read_through)
    }

    /// The attempts whose cancellations the worker is known to have read.
    pub fn confirmed_cancellations(&self) -> Vec<AttemptId> {
        self.cancellations
            .iter()
            .filter(|(_, position)| **position <= self.read_through)
            .map(|(attempt, _)| *attempt)
            .collect()
    }

    /// Whether a queued or written message will confirm everything that has been queued so far.
    pub fn has_pending_confirmation(&self) -> bool {
        self.confirmations
            .values()
            .any(|position| *position == self.last_position)
    }
}
