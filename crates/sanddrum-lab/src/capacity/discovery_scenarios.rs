//! The scenarios that run one after the other at each size of the discovery service benchmark, and their figures.

use super::discovery_environment::{DiscoveryEnvironment, Interrupted, SECOND};
use super::metered::SecondStats;
use super::{Plan, Point, Role, Sink, Source};
use sanddrum_net::Micros;
use std::time::Duration;

/// A list that hasn't reached all routers by then is considered never to arrive.
pub(super) const MAX_WAIT: Micros = 3_600 * SECOND;
const SETTLE_TIME: Micros = 30 * SECOND;
/// A scenario's limit on real time is this many times that of a point, because it yields about a dozen figures.
const TIME_LIMIT_POINTS: u32 = 4;
/// Changes of a worker that fails and returns.
const CHANGES_PER_FAILURE: f64 = 2.0;
/// Changes of a worker that drains, ends and returns.
const CHANGES_PER_REPLACEMENT: f64 = 3.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// The encoded size of an update without changes, in bytes.
const EMPTY_UPDATE_BYTES: u64 = 17;
/// Seconds for which changes are made to measure the cost of one; also the largest number of changes per worker.
const CHANGE_SECONDS: u64 = 10;
/// Time by which a failed worker has been published as gone.
const REMOVAL_TIME: Micros = 10 * SECOND;

/// Records figures at one position on an axis.
pub(super) struct Reporter<'a> {
    pub sink: &'a mut Sink,
    pub axis: &'static str,
    pub at: f64,
    /// The quantities that are fixed along the axis, in words.
    pub fixed: String,
}

impl Reporter<'_> {
    pub fn record(
        &mut self,
        play: &str,
        figure: &str,
        unit: &'static str,
        value: f64,
        source: Source,
    ) -> Result<(), String> {
        self.sink.point(Point {
            role: Role::ListService,
            play: format!("{play}, {}", self.fixed),
            figure: figure.into(),
            unit,
            axis: self.axis,
            at: self.at,
            value,
            source,
        })
    }
    /// Records the load on the service in the worst second since `from`.
    fn record_worst_second(
        &mut self,
        play: &str,
        environment: &DiscoveryEnvironment,
        from: Micros,
        source: Source,
    ) -> Result<(), String> {
        for (name, unit, scale, figure) in METRICS {
            let worst = environment
                .stats
                .borrow()
                .worst(from, environment.now() + SECOND, figure) as f64
                / scale;
            self.record(
                play,
                &format!("{name} in the worst second"),
                unit,
                worst,
                source,
            )?;
        }
        Ok(())
    }
    /// Records the load in the worst second and in total since `from`.
    fn record_worst_and_total(
        &mut self,
        play: &str,
        environment: &DiscoveryEnvironment,
        from: Micros,
        source: Source,
    ) -> Result<(), String> {
        self.record_worst_second(play, environment, from, source)?;
        for (name, unit, scale, figure) in METRICS {
            let all = environment
                .stats
                .borrow()
                .sum(from, environment.now() + SECOND, figure) as f64
                / scale;
            self.record(play, &format!("{name} in all"), unit, all, source)?;
        }
        Ok(())
    }
}

type Metric = (&'static str, &'static str, f64, fn(&SecondStats) -> u64);

/// The figures of the load on the service: name, unit, counts per unit, and the counter.
const METRICS: [Metric; 6] = [
    ("calls", "calls", 1.0, |s| s.watches),
    ("connections", "connections", 1.0, |s| s.connections),
    ("turned away", "calls", 1.0, |s| s.resets),
    ("messages out", "messages", 1.0, |s| s.messages),
    ("bytes out", "bytes", 1.0, |s| s.bytes),
    ("processor time", "ms", 1e6, |s| s.nanoseconds),
];

/// The source of points from a run: an interrupted run is reported as not finished.
pub(super) fn source_from(result: &Result<(), Interrupted>) -> Source {
    if result.is_ok() {
        Source::Played
    } else {
        Source::NotFinished
    }
}

/// Messages and bytes sent, per second or per change.
#[derive(Clone, Copy, Debug)]
pub(super) struct Traffic {
    pub messages: f64,
    pub bytes: f64,
}

pub(super) struct DiscoveryRun<'a> {
    pub plan: &'a Plan,
    pub reporter: Reporter<'a>,
    pub environment: DiscoveryEnvironment,
}

impl DiscoveryRun<'_> {
    pub fn reset_time_limit(&mut self) {
        let limit = self
            .plan
            .settings
            .duration_us("capacity.time-a-point-us")
            .max(0) as u64;
        self.environment
            .set_time_limit(Duration::from_micros(limit) * TIME_LIMIT_POINTS);
    }
    /// Starts routers simultaneously and waits until each has got a list.
    fn measure_router_start(
        &mut self,
        play: &str,
        count: usize,
        keep_cache: bool,
    ) -> Result<bool, String> {
        self.reset_time_limit();
        self.environment.stop_routers(count);
        let settled = self
            .environment
            .run_for(SETTLE_TIME)
            .and_then(|()| self.environment.run_to_next_second());
        let Ok(from) = settled else { return Ok(false) };
        let before = self.environment.followers.borrow().full_lists;
        self.environment
            .start_routers(count, keep_cache)
            .map_err(|e| e.to_string())?;
        let all_updated = self.environment.run_until_true(MAX_WAIT, |followers| {
            followers
                .routers
                .iter()
                .take(count)
                .all(|follower| follower.first_update.is_some())
        });
        let source = source_from(&all_updated);
        self.reporter
            .record_worst_and_total(play, &self.environment, from, source)?;
        let (full_lists, last) = {
            let followers = self.environment.followers.borrow();
            let update_times = followers
                .routers
                .iter()
                .take(count)
                .map(|f| f.first_update.unwrap_or(self.environment.now()));
            (
                followers.full_lists - before,
                update_times.max().unwrap_or(from) - from,
            )
        };
        self.reporter.record(
            play,
            "until the last router has its list",
            "s",
            seconds(last),
            source,
        )?;
        self.reporter
            .record(play, "whole lists", "lists", full_lists as f64, source)?;
        Ok(all_updated.is_ok())
    }
    fn measure_idle(&mut self) -> Result<Option<Traffic>, String> {
        self.reset_time_limit();
        let span = self
            .plan
            .settings
            .duration_us("list-service-plays.quiet-us");
        let second_start = self
            .environment
            .run_for(SETTLE_TIME)
            .and_then(|()| self.environment.run_to_next_second());
        let Ok(from) = second_start else {
            return Ok(None);
        };
        let ran = self.environment.run_for(span);
        let source = source_from(&ran);
        let all: [u64; 4] = {
            let stats = self.environment.stats.borrow();
            let figures: [fn(&SecondStats) -> u64; 4] = [
                |s| s.watches,
                |s| s.messages,
                |s| s.bytes,
                |s| s.nanoseconds,
            ];
            figures.map(|figure| stats.sum(from, self.environment.now(), figure))
        };
        let scale = 1.0 / seconds(self.environment.now() - from).max(1.0);
        for (figure, unit, value) in [
            ("calls a second", "calls", all[0] as f64),
            ("messages out a second", "messages", all[1] as f64),
            ("bytes out a second", "bytes", all[2] as f64),
            ("processor time a second", "ms", all[3] as f64 / 1e6),
        ] {
            self.reporter
                .record("a quiet time", figure, unit, value * scale, source)?;
        }
        let (messages, bytes) = (all[1] as f64 * scale, all[2] as f64 * scale);
        Ok(ran.is_ok().then_some(Traffic { messages, bytes }))
    }
    /// Restarts workers of one zone one after the other at this rate, with one change each.
    pub fn measure_changes(
        &mut self,
        per_second: u64,
        workers: usize,
    ) -> Result<Option<Traffic>, String> {
        self.reset_time_limit();
        self.environment.add_workers(workers);
        let count = (per_second * CHANGE_SECONDS)
            .min(workers as u64 * CHANGE_SECONDS)
            .max(1);
        let second_start = self
            .environment
            .run_for(REMOVAL_TIME)
            .and_then(|()| self.environment.run_to_next_second());
        let Ok(from) = second_start else {
            return Ok(None);
        };
        let (version, mut last_change) = (self.version(), from);
        let mut ran = Ok(());
        for n in 0..count {
            last_change = self.environment.now();
            self.environment.restart_worker(n as usize % workers.max(1));
            ran = ran.and_then(|()| self.environment.run_for(SECOND / per_second as Micros));
        }
        ran = ran.and_then(|()| self.wait_until_all_updated());
        let source = source_from(&ran);
        let (messages, bytes) = {
            let (stats, to) = (self.environment.stats.borrow(), self.environment.now());
            // Answers to hello messages and watches don't count as changes. No router connects during this time.
            let answers = stats.sum(from, to, |s| s.hellos + s.watches);
            let bytes = stats
                .sum(from, to, |s| s.bytes)
                .saturating_sub(answers * EMPTY_UPDATE_BYTES);
            (
                stats.sum(from, to, |s| s.messages).saturating_sub(answers) as f64,
                bytes as f64,
            )
        };
        let last = self
            .environment
            .followers
            .borrow()
            .routers
            .iter()
            .map(|f| f.last_advanced)
            .max()
            .unwrap_or(last_change);
        let published = (self.version() - version).max(1) as f64;
        for (figure, unit, value) in [
            ("messages out a change", "messages", messages / published),
            ("bytes out a change", "bytes", bytes / published),
            (
                "from the last change to the last router",
                "s",
                seconds(last - last_change),
            ),
        ] {
            self.reporter
                .record("changes", figure, unit, value, source)?;
        }
        self.reporter
            .record_worst_second("changes", &self.environment, from, source)?;
        Ok(ran.is_ok().then_some(Traffic {
            messages: messages / published,
            bytes: bytes / published,
        }))
    }
    /// Measures the idle load and the cost of a change, and derives the load on an ordinary day and while a zone's
    /// workers are replaced.
    fn measure_ordinary_day(&mut self, workers: usize) -> Result<bool, String> {
        let Some(quiet) = self.measure_idle()? else {
            return Ok(false);
        };
        let Some(change) = self.measure_changes(1, 1)? else {
            return Ok(false);
        };
        let l = &self.plan.settings;
        let routers = self.environment.spec().routers as f64;
        let changes_per_day = l.number("capacity.failed") * CHANGES_PER_FAILURE
            + l.number("capacity.replaced") * CHANGES_PER_REPLACEMENT;
        let per_second = workers as f64 * CHANGES_PER_REPLACEMENT / 60.0;
        for (play, figure, unit, value) in [
            (
                "an ordinary day",
                "messages out",
                "messages",
                quiet.messages * SECONDS_PER_DAY + changes_per_day * change.messages,
            ),
            (
                "an ordinary day",
                "bytes out",
                "bytes",
                quiet.bytes * SECONDS_PER_DAY + changes_per_day * change.bytes,
            ),
            (
                "a zone's workers replaced in a minute",
                "messages out a second",
                "messages",
                per_second * change.messages,
            ),
            (
                "a zone's workers replaced in a minute",
                "bytes out a second",
                "bytes",
                per_second * change.bytes,
            ),
            (
                "a zone's workers replaced in a minute",
                "bytes to a router a second",
                "bytes",
                per_second * change.bytes / routers,
            ),
        ] {
            self.reporter
                .record(play, figure, unit, value, Source::WorkedOut)?;
        }
        Ok(true)
    }
    /// Waits until all changes made so far have been published and have reached every router.
    fn wait_until_all_updated(&mut self) -> Result<(), Interrupted> {
        let publish_delay = self
            .plan
            .settings
            .duration_us("list-service-plays.notice-most-us");
        self.environment.run_for(publish_delay + SECOND)?;
        self.environment.run_until_true(MAX_WAIT, |f| {
            let newest = f
                .routers
                .iter()
                .map(|router| router.known_version.version)
                .max();
            f.routers
                .iter()
                .all(|router| Some(router.known_version.version) == newest)
        })
    }
    fn version(&self) -> u64 {
        self.environment
            .followers
            .borrow()
            .routers
            .iter()
            .map(|f| f.known_version.version)
            .max()
            .unwrap_or(0)
    }
    fn measure_outage(&mut self) -> Result<bool, String> {
        self.reset_time_limit();
        let play = "the service gone for a minute";
        let settled = self
            .environment
            .run_for(SETTLE_TIME)
            .and_then(|()| self.environment.run_to_next_second());
        let Ok(from) = settled else { return Ok(false) };
        let before = self.environment.followers.borrow().connects;
        self.environment.stop_service();
        let outage = self
            .environment
            .run_for(self.plan.settings.duration_us("list-service-plays.gone-us"));
        let failed_connects = self.environment.followers.borrow().connects - before;
        let per_second = failed_connects as f64 / seconds(self.environment.now() - from).max(1.0);
        let restarted = self.environment.now();
        self.environment.start_service();
        let service_incarnation = self.environment.service_incarnation();
        let all_updated = outage.and_then(|()| {
            self.environment.run_until_true(MAX_WAIT, |f| {
                f.routers
                    .iter()
                    .all(|router| router.known_version.service_incarnation == service_incarnation)
            })
        });
        let source = source_from(&all_updated);
        self.reporter.record(
            play,
            "calls in vain a second while it is gone",
            "calls",
            per_second,
            source,
        )?;
        self.reporter
            .record_worst_and_total(play, &self.environment, restarted, source)?;
        let last = self
            .environment
            .followers
            .borrow()
            .routers
            .iter()
            .map(|f| f.last_advanced)
            .max()
            .unwrap_or(restarted);
        self.reporter.record(
            play,
            "until the last router has its list",
            "s",
            seconds(last - restarted),
            source,
        )?;
        Ok(all_updated.is_ok())
    }
    /// Stops the workers of a zone and restarts them simultaneously.
    fn measure_zone_return(&mut self, workers: usize) -> Result<bool, String> {
        self.reset_time_limit();
        let play = "a zone of workers returns";
        self.environment.add_workers(workers);
        let mut ran = self.environment.run_for(REMOVAL_TIME);
        self.environment.stop_workers();
        ran = ran.and_then(|()| self.environment.run_for(REMOVAL_TIME));
        let count = self.environment.workers() as u64;
        ran = ran.and_then(|()| self.wait_until_all_updated());
        self.reset_time_limit();
        let from = match ran.and_then(|()| self.environment.run_to_next_second()) {
            Ok(from) => from,
            Err(_) => return Ok(false),
        };
        (0..self.environment.workers()).for_each(|n| self.environment.restart_worker(n));
        let ran = self.wait_until_all_updated();
        let source = source_from(&ran);
        self.reporter
            .record_worst_and_total(play, &self.environment, from, source)?;
        let last = self
            .environment
            .followers
            .borrow()
            .routers
            .iter()
            .map(|f| f.last_advanced)
            .max()
            .unwrap_or(from);
        self.reporter.record(
            play,
            "until the last router has all of them",
            "s",
            seconds(last - from),
            source,
        )?;
        self.reporter
            .record(play, "workers", "workers", count as f64, source)?;
        Ok(ran.is_ok())
    }
}

pub(super) fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}

/// Runs all scenarios one after the other. If one exceeds its limit on real time, the rest is skipped at this size.
pub(super) fn run_all(run: &mut DiscoveryRun<'_>) -> Result<(), String> {
    let l = &run.plan.settings;
    let (zones, regions) = (
        l.integer("capacity.zones").max(1),
        l.integer("capacity.regions").max(1),
    );
    let routers = run.environment.spec().routers;
    let workers = run.environment.spec().rows.div_ceil(zones);
    let complete = run.measure_router_start("all routers start", routers, false)?
        && run.measure_ordinary_day(workers)?
        && run.measure_router_start("all routers start with kept lists", routers, true)?
        && run.measure_router_start("one zone's routers start", routers.div_ceil(zones), false)?
        && run.measure_router_start(
            "one region's routers start",
            routers.div_ceil(regions),
            false,
        )?
        && run.measure_outage()?
        && run.measure_zone_return(workers)?;
    if !complete {
        run.reporter.sink.progress(&format!(
            "{routers} routers, {}: interrupted, the remaining scenarios are skipped",
            run.reporter.fixed
        ));
    }
    Ok(())
}
