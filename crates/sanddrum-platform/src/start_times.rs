//! The start times of workers' processes. The control feed dates a start by a wall clock, and wall clocks, the
//! workers' as well as this machine's, may be wrong or stepped. A worker whose age is overestimated would be
//! overloaded during its slow start, so the lowest plausible age is used:
//!
//! - by this machine's wall clock, as it is now and as it was before each of the last steps observed here;
//! - by the feed: a start that a response did not contain took place, or was reported, after that response.
//!
//! The same date means the same start, however often it is reported. A different date means a later start, even if the
//! date is earlier.

use crate::control_feed::{Member, UNKNOWN_AGE_US};
use sanddrum::Micros;
use sanddrum_wire::{EndpointRecord, Phase};
use std::collections::{BTreeMap, VecDeque};

/// The same instant by both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The driver's monotonic clock, in microseconds.
    pub now: Micros,
    /// The machine's wall clock, in microseconds since the Unix epoch.
    pub wall: Micros,
}

/// How many offsets between the clocks are retained: the current one and those from before the wall clock's last steps.
const MAX_CLOCK_OFFSETS: usize = 4;
/// A smaller change of the offset is not a step: wall clocks are also slewed.
const MIN_CLOCK_STEP: Micros = 500_000;
/// A start date may be ahead of a wall clock by up to this much, as the clock may be slow; the age is then zero. A date
/// further ahead was set by a different clock, and its difference from this clock says nothing about the age.
const MAX_CLOCK_LAG: Micros = 60_000_000;

/// A start of a worker's process.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// Its date, in Unix milliseconds; zero for long ago.
    up_since_ms: i64,
    incarnation: u64,
}

/// The start times of the listed workers.
#[derive(Debug, Default)]
pub struct StartTimes {
    /// The last known start of each worker, by the worker's name.
    starts: BTreeMap<String, Start>,
    /// Offsets of the wall clock from the driver's clock, the current one last.
    clock_offsets: VecDeque<Micros>,
    /// When all events of the feed were last known to be processed, by the driver's clock. Starts in later responses
    /// had not been reported by then.
    caught_up_at: Option<Micros>,
    last_incarnation: u64,
}

impl StartTimes {
    /// Observes the wall clock. Must be called with each response of the feed, before its events are processed.
    pub fn observe_clocks(&mut self, clocks: ClockReading) {
        let offset = clocks.wall - clocks.now;
        let is_step = self
            .clock_offsets
            .back()
            .is_none_or(|last| (last - offset).abs() >= MIN_CLOCK_STEP);
        if !is_step {
            return;
        }
        self.clock_offsets.push_back(offset);
        if self.clock_offsets.len() > MAX_CLOCK_OFFSETS {
            self.clock_offsets.pop_front();
        }
    }

    /// Records that all events that the feed had by `now` have been processed.
    pub fn mark_caught_up(&mut self, now: Micros) {
        self.caught_up_at = Some(now);
    }

    /// Returns the endpoints of one event, each with its incarnation and its age at `now`. A later start gets a higher
    /// incarnation.
    pub fn endpoints(
        &mut self,
        now: Micros,
        mut members: Vec<Member>,
        is_full_snapshot: bool,
    ) -> Vec<EndpointRecord> {
        if is_full_snapshot {
            self.starts
                .retain(|name, _| members.iter().any(|member| member.endpoint.name == *name));
        }
        let mut by_start: Vec<&mut Member> = members.iter_mut().collect();
        by_start.sort_by_key(|member| member.up_since_ms);
        for member in by_start {
            let start = self.start_of(member);
            member.endpoint.incarnation = start.incarnation;
            member.endpoint.age_us = self.age(now, start);
        }
        members.into_iter().map(|member| member.endpoint).collect()
    }

    fn start_of(&mut self, member: &Member) -> Start {
        let name = &member.endpoint.name;
        let is_gone = member.endpoint.phase == Phase::Gone;
        let known = self.starts.get(name).copied();
        if is_gone {
            self.starts.remove(name);
        }
        let is_dated = member.up_since_ms > 0;
        match known {
            Some(start) if !is_dated || start.up_since_ms == member.up_since_ms => start,
            _ => {
                let start = self.new_start(member.up_since_ms);
                if !is_gone {
                    self.starts.insert(name.clone(), start);
                }
                start
            }
        }
    }

    fn new_start(&mut self, up_since_ms: i64) -> Start {
        let incarnation = if up_since_ms > 0 {
            self.last_incarnation += 1;
            self.last_incarnation
        } else {
            0
        };
        Start {
            up_since_ms,
            incarnation,
        }
    }

    /// The lowest plausible age of a start.
    fn age(&self, now: Micros, start: Start) -> Micros {
        if start.up_since_ms <= 0 {
            return UNKNOWN_AGE_US;
        }
        let started_at = start.up_since_ms.saturating_mul(1000);
        let age_by_wall_clocks = self
            .clock_offsets
            .iter()
            .map(|offset| now + offset - started_at)
            .filter(|age| *age > -MAX_CLOCK_LAG)
            .map(|age| age.max(0))
            .min()
            .unwrap_or(0);
        let age_by_feed = self
            .caught_up_at
            .map_or(Micros::MAX, |caught_up_at| (now - caught_up_at).max(0));
        age_by_wall_clocks.min(age_by_feed)
    }
}
