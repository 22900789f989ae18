//! How long the processes of a fleet waited for a processor: the checker doesn't blame an edge for delays that the
//! machine caused.

use crate::recorder::Log;
use sanddrum_net::Micros;
use std::collections::BTreeMap;

/// Maximum number of samples per second over all processes; it limits the time that this process spends sampling.
const MAX_SAMPLES_PER_SECOND: usize = 400;
/// Shortest interval between two samples of a process, however few processes there are.
const MIN_SAMPLING_INTERVAL: Micros = 25_000;

/// Name that the delays of the process that plays the scenario are recorded under, as measured by its event loop.
pub const RUNNER: &str = "";

/// Samples of the total time that one process has waited, each with the time at which it was taken.
#[derive(Clone, Debug, Default)]
pub struct SchedulingDelays(Vec<(Micros, Micros)>);

impl SchedulingDelays {
    /// Records that the process has waited this much longer since the previous sample.
    pub fn add(&mut self, now: Micros, waited: Micros) {
        let sum = self.0.last().map_or(0, |(_, sum)| *sum);
        self.0.push((now, sum + waited));
    }
    /// The longest time that the process waited within one second.
    pub fn worst_second(&self) -> Micros {
        self.0
            .iter()
            .map(|(at, _)| self.between(*at, at + 1_000_000))
            .max()
            .unwrap_or(0)
    }
    /// How long the process waited between two times, measured from the last sample at or before `from` to the first
    /// at or after `to`.
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

/// Samples how long processes were ready to run but waited for a processor, as reported by the system.
#[derive(Debug, Default)]
pub struct SchedulingDelayMonitor {
    /// By name: the process id, and how long the process had waited in all at the last sample.
    seen: BTreeMap<String, (u32, Micros)>,
}

/// Interval between samples of this many processes.
pub fn sampling_interval(processes: usize) -> Micros {
    MIN_SAMPLING_INTERVAL.max((processes * 1_000_000 / MAX_SAMPLES_PER_SECOND) as Micros)
}

impl SchedulingDelayMonitor {
    /// Samples one process. Where the system has no scheduling statistics, the wait counts as zero.
    pub fn sample(&mut self, log: &mut Log, now: Micros, name: String, pid: u32) {
        let statistics = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).ok();
        let nanos =
            statistics.and_then(|text| text.split_whitespace().nth(1)?.parse::<Micros>().ok());
        let waited = nanos.unwrap_or(0) / 1000;
        let before = self.seen.insert(name.clone(), (pid, waited));
        let before = before
            .filter(|(sampled_pid, _)| *sampled_pid == pid)
            .map_or(0, |(_, waited)| waited);
        log.scheduling_delays
            .entry(name)
            .or_default()
            .add(now, (waited - before).max(0));
    }
}
