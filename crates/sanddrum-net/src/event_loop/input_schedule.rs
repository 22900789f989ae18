//! Decides in which order accepted connections with input are read, and how much of a turn may be spent on that.
//!
//! Connections share the reading time by start-time fair queueing (Goyal, Vin and Cheng, 1996): each connection has a tag
//! in virtual time, the connection with the lowest one is read next, and its tag advances by the time that handling its
//! input took. A connection that sends rarely is thus read before those that always have more.

use super::sources::SourceKey;
use crate::Micros;
use std::collections::BTreeSet;

/// How long a turn may take in which input keeps arriving. What waits for a turn waits about as long.
const TURN_TARGET: Micros = 2_000;
/// The least reading time of a turn, so that input is handled even if the rest of the turn takes longer than the target.
const MIN_READING_TIME: Micros = 200;
/// The reading time of a turn after a stall of the process, in which everything that arrived meanwhile is to be read
/// before timers run.
const CATCH_UP_TIME: Micros = 40_000;

/// An instant of virtual time: the reading time that a connection with input all the time would have had by then.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct VirtualTime(Micros);

/// The connections that may have input, and the reading time that is left in the current turn.
#[derive(Debug)]
pub(super) struct InputSchedule {
    /// The tag of the connection that was read last.
    virtual_now: VirtualTime,
    /// Connections that may have input, by tag.
    ready: BTreeSet<(VirtualTime, SourceKey)>,
    /// The reading time of a turn without a stall.
    reading_time: Micros,
    /// The reading time that the current turn has used.
    used: Micros,
    /// Whether the process was stalled before the current turn.
    is_catching_up: bool,
}

impl InputSchedule {
    /// A schedule without connections.
    pub fn new() -> Self {
        InputSchedule {
            virtual_now: VirtualTime::default(),
            ready: BTreeSet::new(),
            reading_time: TURN_TARGET,
            used: 0,
            is_catching_up: false,
        }
    }

    /// Adds a connection that may have input. `tag` is its tag after it was last read. Time in which it had no input does
    /// not count in its favour.
    pub fn add(&mut self, key: SourceKey, tag: VirtualTime) {
        self.ready.insert((tag.max(self.virtual_now), key));
    }

    /// Gives the current turn more reading time, as the process was stalled.
    pub fn catch_up(&mut self) {
        self.is_catching_up = true;
    }

    /// Removes and returns the connection to be read next with its tag; `None` if there is none, or if the turn's reading
    /// time is used up. In each turn at least one connection is read.
    pub fn next(&mut self) -> Option<(SourceKey, VirtualTime)> {
        let available = match self.is_catching_up {
            true => CATCH_UP_TIME,
            false => self.reading_time,
        };
        if self.used >= available {
            self.ready.clear();
            return None;
        }
        let (tag, key) = self.ready.pop_first()?;
        self.virtual_now = tag;
        Some((key, tag))
    }

    /// Records that handling the input of the connection with this tag took `cost`. Returns the connection's new tag.
    pub fn record_read(&mut self, tag: VirtualTime, cost: Micros) -> VirtualTime {
        let cost = cost.max(1);
        self.used += cost;
        VirtualTime(tag.0 + cost)
    }

    /// Ends a turn that took this long from its input on. The reading time of the next one shrinks if the turn took longer
    /// than the target, and grows again otherwise.
    pub fn end_turn(&mut self, took: Micros) {
        let reading_time = match took > TURN_TARGET {
            true => self.reading_time * TURN_TARGET / took,
            false => self.reading_time * 2,
        };
        self.reading_time = reading_time.clamp(MIN_READING_TIME, TURN_TARGET);
        self.ready.clear();
        self.used = 0;
        self.is_catching_up = false;
    }
}
