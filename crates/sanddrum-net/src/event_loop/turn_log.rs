//! Counts what the loop does between two waits for input, and logs turns in which everything else had to wait for long.

use crate::{ConnectionId, Micros};

/// A turn that takes longer than this is logged.
const SLOW_TURN: Micros = 100_000;
/// At most one slow turn is logged in this time.
const LOG_INTERVAL: Micros = 1_000_000;

/// The input that was read from one connection without a read from another in between.
#[derive(Clone, Copy, Debug)]
struct ConnectionInput {
    conn: ConnectionId,
    bytes: usize,
}

/// What the loop has done in the current turn.
#[derive(Debug, Default)]
struct Turn {
    polls: usize,
    reads: usize,
    bytes: usize,
    accepted: usize,
    current: Option<ConnectionInput>,
    busiest: Option<ConnectionInput>,
}

/// The counts of the current turn, and when a slow one was last logged.
#[derive(Debug, Default)]
pub(super) struct TurnLog {
    turn: Turn,
    next_log_at: Micros,
    /// Slow turns that were not logged since the last one that was.
    left_out: u64,
}

impl TurnLog {
    /// Counts a poll.
    pub fn record_poll(&mut self) {
        self.turn.polls += 1;
    }

    /// Counts an accepted connection.
    pub fn record_accept(&mut self) {
        self.turn.accepted += 1;
    }

    /// Counts a read from a connection.
    pub fn record_read(&mut self, conn: ConnectionId, bytes: usize) {
        let turn = &mut self.turn;
        turn.reads += 1;
        turn.bytes += bytes;
        let before = turn.current.filter(|current| current.conn == conn);
        let current = ConnectionInput {
            conn,
            bytes: before.map_or(0, |before| before.bytes) + bytes,
        };
        turn.current = Some(current);
        if turn
            .busiest
            .is_none_or(|busiest| busiest.bytes < current.bytes)
        {
            turn.busiest = Some(current);
        }
    }

    /// Ends a turn whose input was available since `began`, and logs it if it was slow.
    pub fn end_turn(&mut self, began: Micros, now: Micros) {
        let turn = std::mem::take(&mut self.turn);
        let took_us = now - began;
        if took_us <= SLOW_TURN {
            return;
        }
        if now < self.next_log_at {
            self.left_out += 1;
            return;
        }
        self.next_log_at = now + LOG_INTERVAL;
        let Turn {
            polls,
            reads,
            bytes,
            accepted,
            busiest,
            ..
        } = turn;
        tracing::warn!(
            reason = "slow-turn",
            took_us,
            polls,
            reads,
            bytes,
            accepted,
            busiest_conn = busiest.map(|busiest| busiest.conn.0),
            busiest_bytes = busiest.map(|busiest| busiest.bytes),
            left_out = std::mem::take(&mut self.left_out),
            "the event loop was held up by its input, or the process was not scheduled"
        );
    }
}
