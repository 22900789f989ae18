//! How long the machine let the processes of a fleet wait: what an edge was held up by, it did not do.

use crate::recorder::Log;
use sanddrum_net::Micros;
use std::collections::BTreeMap;

/// Looks at processes take no more of this process's time than so many a second do.
const LOOKS_A_SECOND: usize = 400;
/// No more often than this, however few they are.
const EVERY: Micros = 25_000;

/// Whose waits a series tells: the process that plays the scenario, by its loop.
pub const OURS: &str = "";

/// The waits of one process, summed up from its start and looked at now and then.
#[derive(Clone, Debug, Default)]
pub struct SchedulingDelays(Vec<(Micros, Micros)>);

impl SchedulingDelays {
    /// It has waited for so long more by now.
    pub fn add(&mut self, now: Micros, by: Micros) {
        let sum = self.0.last().map_or(0, |(_, sum)| *sum);
        self.0.push((now, sum + by));
    }
    /// The longest that it waited within a second.
    pub fn worst_second(&self) -> Micros {
        self.0
            .iter()
            .map(|(at, _)| self.between(*at, at + 1_000_000))
            .max()
            .unwrap_or(0)
    }
    /// How long it waited from one time to another; the looks nearest beyond both count.
    pub fn between(&self, from: Micros, to: Micros) -> Micros {
        let before = self.0.partition_point(|(at, _)| *at <= from).checked_sub(1);
        let after = self
            .0
            .get(self.0.partition_point(|(at, _)| *at < to))
            .or(self.0.last());
        after
            .map_or(0, |(_, sum)| sum - before.map_or(0, |n| self.0[n].1))
            .max(0)
    }
}

/// Looks at what the system says of processes that are ready to run and wait for a processor.
#[derive(Debug, Default)]
pub struct Watch {
    /// By name: the process, and how long it had waited at the last look.
    seen: BTreeMap<String, (u32, Micros)>,
}

/// How long between looks at so many processes.
pub fn every(processes: usize) -> Micros {
    EVERY.max((processes * 1_000_000 / LOOKS_A_SECOND) as Micros)
}

impl Watch {
    /// Nothing is known of a system that tells nothing: then it held nobody up.
    pub fn look(&mut self, log: &mut Log, now: Micros, name: String, process: u32) {
        let told = std::fs::read_to_string(format!("/proc/{process}/schedstat")).ok();
        let nanos = told.and_then(|text| text.split_whitespace().nth(1)?.parse::<Micros>().ok());
        let waited = nanos.unwrap_or(0) / 1000;
        let before = self.seen.insert(name.clone(), (process, waited));
        let before = before
            .filter(|(same, _)| *same == process)
            .map_or(0, |(_, waited)| waited);
        log.scheduling_delays
            .entry(name)
            .or_default()
            .add(now, (waited - before).max(0));
    }
}
