//! When the processes of model servers started. The control feed dates a start by a wall clock, and wall clocks are stepped
//! or wrong: theirs, and this machine's. A server that is taken for older than it is would be overloaded in its slow
//! start, so that of all ages that a start may have the least is taken:
//!
//! - by this machine's wall clock as it stands, and as it stood before the last steps seen here;
//! - by the feed: what an answer did not hold has started, or was told, after it.
//!
//! The same date is the same start, however often it is told, and another one a later start, whichever date is earlier.

use crate::control_feed::Member;
use sanddrum::Micros;
use sanddrum_wire::{EndpointRecord, Phase};
use std::collections::{BTreeMap, VecDeque};

/// An instant by both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The driver's clock, which only goes forward.
    pub now: Micros,
    /// The machine's wall clock.
    pub wall: Micros,
}

/// The wall clock's distance from the driver's clock is remembered as it was before so many steps.
const STEPS_REMEMBERED: usize = 4;
/// A distance that differs by less is no step: wall clocks are slewed, too.
const LEAST_STEP: Micros = 500_000;
/// A date so far ahead of a wall clock is still by that clock, which is only a little behind; a date further ahead is by
/// another one, and tells nothing of the age.
const MOST_BEHIND: Micros = 60_000_000;

#[derive(Clone, Copy, Debug)]
struct Start {
    up_since_ms: i64,
    incarnation: u64,
}

/// StartTimes of the model servers that stand.
#[derive(Debug, Default)]
pub struct StartTimes {
    known: BTreeMap<String, Start>,
    /// Distances of the wall clock from the driver's, the newest last.
    distances: VecDeque<Micros>,
    /// When the last answer was taken; nothing that a later one holds had been told by then.
    told_at: Option<Micros>,
    incarnations: u64,
}

impl StartTimes {
    /// Looks at the wall clock. It is to be called with each answer of the feed, before its events are taken.
    pub fn observe_clocks(&mut self, clocks: ClockReading) {
        let distance = clocks.wall - clocks.now;
        if self
            .distances
            .back()
            .is_some_and(|last| (last - distance).abs() < LEAST_STEP)
        {
            return;
        }
        self.distances.push_back(distance);
        if self.distances.len() > STEPS_REMEMBERED {
            self.distances.pop_front();
        }
    }
    /// All that the feed had to tell by now has been taken.
    pub fn finish_batch(&mut self, now: Micros) {
        self.told_at = Some(now);
    }
    /// Rows of one event, each with its start: the incarnation and the age at `now`. A later start has the larger
    /// incarnation.
    pub fn endpoints(
        &mut self,
        now: Micros,
        members: Vec<Member>,
        complete: bool,
    ) -> Vec<EndpointRecord> {
        if complete {
            self.known
                .retain(|name, _| members.iter().any(|member| member.endpoint.name == *name));
        }
        let mut order: Vec<usize> = (0..members.len()).collect();
        order.sort_by_key(|n| members[*n].up_since_ms);
        let ages: BTreeMap<usize, (u64, Micros)> = order
            .into_iter()
            .map(|n| (n, self.start_of(now, &members[n])))
            .collect();
        let row = |(n, member): (usize, Member)| {
            let (incarnation, age_us) = ages.get(&n).copied().unwrap_or((0, -1));
            EndpointRecord {
                incarnation,
                age_us,
                ..member.endpoint
            }
        };
        members.into_iter().enumerate().map(row).collect()
    }
    fn start_of(&mut self, now: Micros, member: &Member) -> (u64, Micros) {
        let (name, up_since_ms) = (&member.endpoint.name, member.up_since_ms);
        let known = self.known.get(name).copied();
        if member.endpoint.phase == Phase::Gone {
            self.known.remove(name);
        }
        let same = known.filter(|known| known.up_since_ms == up_since_ms || up_since_ms <= 0);
        if let Some(Start {
            up_since_ms,
            incarnation,
        }) = same
        {
            return (
                incarnation,
                if up_since_ms > 0 {
                    self.age(now, up_since_ms)
                } else {
                    -1
                },
            );
        }
        let incarnation = if up_since_ms > 0 {
            self.incarnations + 1
        } else {
            0
        };
        self.incarnations = self.incarnations.max(incarnation);
        if member.endpoint.phase != Phase::Gone {
            self.known.insert(
                name.clone(),
                Start {
                    up_since_ms,
                    incarnation,
                },
            );
        }
        (
            incarnation,
            if up_since_ms > 0 {
                self.age(now, up_since_ms)
            } else {
                -1
            },
        )
    }
    /// The least that a start of this date may be old.
    fn age(&self, now: Micros, up_since_ms: i64) -> Micros {
        let by_wall_clock = |distance: &Micros| {
            let age = now + distance - up_since_ms.saturating_mul(1000);
            (age > -MOST_BEHIND).then_some(age.max(0))
        };
        let by_wall_clocks = self
            .distances
            .iter()
            .filter_map(by_wall_clock)
            .min()
            .unwrap_or(0);
        let by_feed = self
            .told_at
            .map_or(Micros::MAX, |told_at| (now - told_at).max(0));
        by_wall_clocks.min(by_feed)
    }
}
