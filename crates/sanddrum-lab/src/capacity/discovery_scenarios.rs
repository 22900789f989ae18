//! What is played with one size of the list service's fleet, one thing after the other, and what is told of it.

use super::discovery_environment::{DiscoveryEnvironment, Interrupted, SECOND};
use super::metered::SecondStats;
use super::{Plan, Point, Role, Sink, Source};
use sanddrum_net::Micros;
use std::time::Duration;

/// A list that has not reached all by then never will.
pub(super) const MAX_WAIT: Micros = 3_600 * SECOND;
const SETTLE_TIME: Micros = 30 * SECOND;
/// A play tells a dozen figures at once, and may take as long as so many points.
const POINTS_PER_RUN: u32 = 4;
/// Changes that a worker makes as it fails and is back, and as it drains, ends and is back.
const CHANGES_PER_FAILURE: f64 = 2.0;
const CHANGES_PER_REPLACEMENT: f64 = 3.0;
/// Seconds.
const SECONDS_PER_DAY: f64 = 86_400.0;
/// An answer that tells nothing new, in bytes as encoded.
const EMPTY_UPDATE_BYTES: u64 = 17;
/// How many changes a second, and for how long, show what one costs.
const CHANGE_SECONDS: u64 = 10;
/// A worker is told gone and its notice is over by then.
const REMOVAL_TIME: Micros = 10 * SECOND;

/// Where figures go: at one size of one axis.
pub(super) struct Reporter<'a> {
    pub sink: &'a mut Sink,
    pub axis: &'static str,
    pub at: f64,
    /// What stays as it is along the axis.
    pub with: String,
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
            play: format!("{play}, {}", self.with),
            figure: figure.into(),
            unit,
            axis: self.axis,
            at: self.at,
            value,
            source,
        })
    }
    /// What fell on the service in its worst seconds since then.
    fn worst(
        &mut self,
        play: &str,
        environment: &DiscoveryEnvironment,
        from: Micros,
        source: Source,
    ) -> Result<(), String> {
        for (name, unit, each, figure) in METRICS {
            let worst = environment
                .stats
                .borrow()
                .worst(from, environment.now() + SECOND, figure) as f64
                / each;
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
    /// And in all.
    fn seconds(
        &mut self,
        play: &str,
        environment: &DiscoveryEnvironment,
        from: Micros,
        source: Source,
    ) -> Result<(), String> {
        self.worst(play, environment, from, source)?;
        for (name, unit, each, figure) in METRICS {
            let all = environment
                .stats
                .borrow()
                .sum(from, environment.now() + SECOND, figure) as f64
                / each;
            self.record(play, &format!("{name} in all"), unit, all, source)?;
        }
        Ok(())
    }
}

type Metric = (&'static str, &'static str, f64, fn(&SecondStats) -> u64);

/// What is told of seconds: its name and unit, and how many of what was counted make one.
const METRICS: [Metric; 6] = [
    ("calls", "calls", 1.0, |s| s.watches),
    ("connections", "connections", 1.0, |s| s.connections),
    ("turned away", "calls", 1.0, |s| s.resets),
    ("messages out", "messages", 1.0, |s| s.messages),
    ("bytes out", "bytes", 1.0, |s| s.bytes),
    ("processor time", "ms", 1e6, |s| s.nanoseconds),
];

/// Ends a play at one size: what was measured until then is told as not finished.
pub(super) fn source_of(result: &Result<(), Interrupted>) -> Source {
    if result.is_ok() {
        Source::Played
    } else {
        Source::NotFinished
    }
}

/// Messages and bytes out, a second or a change.
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
            .set_time_limit(Duration::from_micros(limit) * POINTS_PER_RUN);
    }
    /// Routers start at once; they have their lists once each was told one since.
    fn starts(&mut self, play: &str, count: usize, keep: bool) -> Result<bool, String> {
        self.reset_time_limit();
        self.environment.stop_routers(count);
        let settled = self
            .environment
            .run_for(SETTLE_TIME)
            .and_then(|()| self.environment.to_whole_second());
        let Ok(from) = settled else { return Ok(false) };
        let before = self.environment.followers.borrow().full_lists;
        self.environment
            .start_routers(count, keep)
            .map_err(|e| e.to_string())?;
        let all_updated = self.environment.run_until_true(MAX_WAIT, |followers| {
            followers
                .routers
                .iter()
                .take(count)
                .all(|follower| follower.first_update.is_some())
        });
        let source = source_of(&all_updated);
        self.reporter
            .seconds(play, &self.environment, from, source)?;
        let (whole, last) = {
            let followers = self.environment.followers.borrow();
            let told = followers
                .routers
                .iter()
                .take(count)
                .map(|f| f.first_update.unwrap_or(self.environment.now()));
            (
                followers.full_lists - before,
                told.max().unwrap_or(from) - from,
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
            .record(play, "whole lists", "lists", whole as f64, source)?;
        Ok(all_updated.is_ok())
    }
    fn quiet(&mut self) -> Result<Option<Traffic>, String> {
        self.reset_time_limit();
        let span = self
            .plan
            .settings
            .duration_us("list-service-plays.quiet-us");
        let begun = self
            .environment
            .run_for(SETTLE_TIME)
            .and_then(|()| self.environment.to_whole_second());
        let Ok(from) = begun else { return Ok(None) };
        let ran = self.environment.run_for(span);
        let source = source_of(&ran);
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
        let each = 1.0 / seconds(self.environment.now() - from).max(1.0);
        for (figure, unit, value) in [
            ("calls a second", "calls", all[0] as f64),
            ("messages out a second", "messages", all[1] as f64),
            ("bytes out a second", "bytes", all[2] as f64),
            ("processor time a second", "ms", all[3] as f64 / 1e6),
        ] {
            self.reporter
                .record("a quiet time", figure, unit, value * each, source)?;
        }
        let (messages, bytes) = (all[1] as f64 * each, all[2] as f64 * each);
        Ok(ran.is_ok().then_some(Traffic { messages, bytes }))
    }
    /// Workers of one zone start anew, one after the other, so many a second: one change each.
    pub fn changes(&mut self, a_second: u64, workers: usize) -> Result<Option<Traffic>, String> {
        self.reset_time_limit();
        self.environment.add_workers(workers);
        let count = (a_second * CHANGE_SECONDS)
            .min(workers as u64 * CHANGE_SECONDS)
            .max(1);
        let begun = self
            .environment
            .run_for(REMOVAL_TIME)
            .and_then(|()| self.environment.to_whole_second());
        let Ok(from) = begun else { return Ok(None) };
        let (version, mut last_change) = (self.version(), from);
        let mut ran = Ok(());
        for n in 0..count {
            last_change = self.environment.now();
            self.environment.restart_worker(n as usize % workers.max(1));
            ran = ran.and_then(|()| self.environment.run_for(SECOND / a_second as Micros));
        }
        ran = ran.and_then(|()| self.all_updated());
        let source = source_of(&ran);
        let (messages, bytes) = {
            let (stats, to) = (self.environment.stats.borrow(), self.environment.now());
            // Greetings and calls are answered as well, and nobody greets here.
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
        let told = (self.version() - version).max(1) as f64;
        for (figure, unit, value) in [
            ("messages out a change", "messages", messages / told),
            ("bytes out a change", "bytes", bytes / told),
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
            .worst("changes", &self.environment, from, source)?;
        Ok(ran.is_ok().then_some(Traffic {
            messages: messages / told,
            bytes: bytes / told,
        }))
    }
    /// A quiet time and changes, and what comes of both on an ordinary day and as a zone is replaced.
    fn ordinary(&mut self, workers: usize) -> Result<bool, String> {
        let Some(quiet) = self.quiet()? else {
            return Ok(false);
        };
        let Some(change) = self.changes(1, 1)? else {
            return Ok(false);
        };
        let l = &self.plan.settings;
        let routers = self.environment.spec().routers as f64;
        let a_day = l.number("capacity.failed") * CHANGES_PER_FAILURE
            + l.number("capacity.replaced") * CHANGES_PER_REPLACEMENT;
        let a_second = workers as f64 * CHANGES_PER_REPLACEMENT / 60.0;
        for (play, figure, unit, value) in [
            (
                "an ordinary day",
                "messages out",
                "messages",
                quiet.messages * SECONDS_PER_DAY + a_day * change.messages,
            ),
            (
                "an ordinary day",
                "bytes out",
                "bytes",
                quiet.bytes * SECONDS_PER_DAY + a_day * change.bytes,
            ),
            (
                "a zone's workers replaced in a minute",
                "messages out a second",
                "messages",
                a_second * change.messages,
            ),
            (
                "a zone's workers replaced in a minute",
                "bytes out a second",
                "bytes",
                a_second * change.bytes,
            ),
            (
                "a zone's workers replaced in a minute",
                "bytes to a router a second",
                "bytes",
                a_second * change.bytes / routers,
            ),
        ] {
            self.reporter
                .record(play, figure, unit, value, Source::WorkedOut)?;
        }
        Ok(true)
    }
    /// Whatever has changed by now is told, and has reached every router.
    fn all_updated(&mut self) -> Result<(), Interrupted> {
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
    fn service_gone(&mut self) -> Result<bool, String> {
        self.reset_time_limit();
        let play = "the service gone for a minute";
        let settled = self
            .environment
            .run_for(SETTLE_TIME)
            .and_then(|()| self.environment.to_whole_second());
        let Ok(from) = settled else { return Ok(false) };
        let before = self.environment.followers.borrow().connects;
        self.environment.stop_list();
        let gone = self
            .environment
            .run_for(self.plan.settings.duration_us("list-service-plays.gone-us"));
        let failed_connects = self.environment.followers.borrow().connects - before;
        let a_second = failed_connects as f64 / seconds(self.environment.now() - from).max(1.0);
        let back = self.environment.now();
        self.environment.start_list();
        let run = self.environment.service_incarnation();
        let all_updated = gone.and_then(|()| {
            self.environment.run_until_true(MAX_WAIT, |f| {
                f.routers
                    .iter()
                    .all(|router| router.known_version.service_incarnation == run)
            })
        });
        let source = source_of(&all_updated);
        self.reporter.record(
            play,
            "calls in vain a second while it is gone",
            "calls",
            a_second,
            source,
        )?;
        self.reporter
            .seconds(play, &self.environment, back, source)?;
        let last = self
            .environment
            .followers
            .borrow()
            .routers
            .iter()
            .map(|f| f.last_advanced)
            .max()
            .unwrap_or(back);
        self.reporter.record(
            play,
            "until the last router has its list",
            "s",
            seconds(last - back),
            source,
        )?;
        Ok(all_updated.is_ok())
    }
    /// A zone's workers are lost, and come back at one instant.
    fn workers_return(&mut self, workers: usize) -> Result<bool, String> {
        self.reset_time_limit();
        let play = "a zone of workers returns";
        self.environment.add_workers(workers);
        let mut ran = self.environment.run_for(REMOVAL_TIME);
        self.environment.stop_workers();
        ran = ran.and_then(|()| self.environment.run_for(REMOVAL_TIME));
        let told = self.environment.workers() as u64;
        ran = ran.and_then(|()| self.all_updated());
        self.reset_time_limit();
        let from = match ran.and_then(|()| self.environment.to_whole_second()) {
            Ok(from) => from,
            Err(_) => return Ok(false),
        };
        (0..self.environment.workers()).for_each(|n| self.environment.restart_worker(n));
        let ran = self.all_updated();
        let source = source_of(&ran);
        self.reporter
            .seconds(play, &self.environment, from, source)?;
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
            .record(play, "workers", "workers", told as f64, source)?;
        Ok(ran.is_ok())
    }
}

pub(super) fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}

/// One after the other; what was cut short by the time it may take leaves the rest of this size unmeasured.
pub(super) fn run_all(run: &mut DiscoveryRun<'_>) -> Result<(), String> {
    let l = &run.plan.settings;
    let (zones, regions) = (
        l.integer("capacity.zones").max(1),
        l.integer("capacity.regions").max(1),
    );
    let routers = run.environment.spec().routers;
    let workers = run.environment.spec().rows.div_ceil(zones);
    let whole = run.starts("all routers start", routers, false)?
        && run.ordinary(workers)?
        && run.starts("all routers start with kept lists", routers, true)?
        && run.starts("one zone's routers start", routers.div_ceil(zones), false)?
        && run.starts(
            "one region's routers start",
            routers.div_ceil(regions),
            false,
        )?
        && run.service_gone()?
        && run.workers_return(workers)?;
    if !whole {
        run.reporter.sink.progress(&format!(
            "{routers} routers, {}: cut short, the rest isn't played",
            run.reporter.with
        ));
    }
    Ok(())
}
