//! What is played with one size of the list service's fleet, one thing after the other, and what is told of it.

use super::discovery_environment::{Cut, DiscoveryEnvironment, SECOND};
use super::metered::ListSecond;
use super::{Plan, Point, Role, Sink, Source};
use sanddrum_net::Micros;
use std::time::Duration;

/// A list that has not reached all by then never will.
pub(super) const NEVER: Micros = 3_600 * SECOND;
const SETTLES: Micros = 30 * SECOND;
/// A play tells a dozen figures at once, and may take as long as so many points.
const POINTS: u32 = 4;
/// Changes that a worker makes as it fails and is back, and as it drains, ends and is back.
const FAILED: f64 = 2.0;
const REPLACED: f64 = 3.0;
/// Seconds.
const DAY: f64 = 86_400.0;
/// An answer that tells nothing new, in bytes as encoded.
const NOTHING_NEW: u64 = 17;
/// How many changes a second, and for how long, show what one costs.
const CHANGES: u64 = 10;
/// A worker is told gone and its notice is over by then.
const GONE: Micros = 10 * SECOND;

/// Where figures go: at one size of one axis.
pub(super) struct Told<'a> {
    pub sink: &'a mut Sink,
    pub axis: &'static str,
    pub at: f64,
    /// What stays as it is along the axis.
    pub with: String,
}

impl Told<'_> {
    pub fn tell(
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
        stage: &DiscoveryEnvironment,
        from: Micros,
        source: Source,
    ) -> Result<(), String> {
        for (name, unit, each, figure) in FIGURES {
            let worst = stage
                .tally
                .borrow()
                .worst(from, stage.now() + SECOND, figure) as f64
                / each;
            self.tell(
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
        stage: &DiscoveryEnvironment,
        from: Micros,
        source: Source,
    ) -> Result<(), String> {
        self.worst(play, stage, from, source)?;
        for (name, unit, each, figure) in FIGURES {
            let all = stage.tally.borrow().sum(from, stage.now() + SECOND, figure) as f64 / each;
            self.tell(play, &format!("{name} in all"), unit, all, source)?;
        }
        Ok(())
    }
}

type Figure = (&'static str, &'static str, f64, fn(&ListSecond) -> u64);

/// What is told of seconds: its name and unit, and how many of what was counted make one.
const FIGURES: [Figure; 6] = [
    ("calls", "calls", 1.0, |s| s.calls),
    ("connections", "connections", 1.0, |s| s.connections),
    ("turned away", "calls", 1.0, |s| s.turned_away),
    ("messages out", "messages", 1.0, |s| s.messages),
    ("bytes out", "bytes", 1.0, |s| s.bytes),
    ("processor time", "ms", 1e6, |s| s.nanoseconds),
];

/// Ends a play at one size: what was measured until then is told as not finished.
pub(super) fn source_of(cut: &Result<(), Cut>) -> Source {
    if cut.is_ok() {
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

pub(super) struct Played<'a> {
    pub plan: &'a Plan,
    pub told: Told<'a>,
    pub stage: DiscoveryEnvironment,
}

impl Played<'_> {
    pub fn allow(&mut self) {
        let takes = self
            .plan
            .settings
            .duration_us("capacity.time-a-point-us")
            .max(0) as u64;
        self.stage.allow(Duration::from_micros(takes) * POINTS);
    }
    /// Routers start at once; they have their lists once each was told one since.
    fn starts(&mut self, play: &str, count: usize, keep: bool) -> Result<bool, String> {
        self.allow();
        self.stage.stop_routers(count);
        let settled = self
            .stage
            .run_for(SETTLES)
            .and_then(|()| self.stage.to_whole_second());
        let Ok(from) = settled else { return Ok(false) };
        let before = self.stage.followers.borrow().whole_lists;
        self.stage
            .start_routers(count, keep)
            .map_err(|e| e.to_string())?;
        let all_told = self.stage.run_until_true(NEVER, |followers| {
            followers
                .routers
                .iter()
                .take(count)
                .all(|follower| follower.told.is_some())
        });
        let source = source_of(&all_told);
        self.told.seconds(play, &self.stage, from, source)?;
        let (whole, last) = {
            let followers = self.stage.followers.borrow();
            let told = followers
                .routers
                .iter()
                .take(count)
                .map(|f| f.told.unwrap_or(self.stage.now()));
            (
                followers.whole_lists - before,
                told.max().unwrap_or(from) - from,
            )
        };
        self.told.tell(
            play,
            "until the last router has its list",
            "s",
            seconds(last),
            source,
        )?;
        self.told
            .tell(play, "whole lists", "lists", whole as f64, source)?;
        Ok(all_told.is_ok())
    }
    fn quiet(&mut self) -> Result<Option<Traffic>, String> {
        self.allow();
        let span = self
            .plan
            .settings
            .duration_us("list-service-plays.quiet-us");
        let begun = self
            .stage
            .run_for(SETTLES)
            .and_then(|()| self.stage.to_whole_second());
        let Ok(from) = begun else { return Ok(None) };
        let ran = self.stage.run_for(span);
        let source = source_of(&ran);
        let all: [u64; 4] = {
            let tally = self.stage.tally.borrow();
            let figures: [fn(&ListSecond) -> u64; 4] =
                [|s| s.calls, |s| s.messages, |s| s.bytes, |s| s.nanoseconds];
            figures.map(|figure| tally.sum(from, self.stage.now(), figure))
        };
        let each = 1.0 / seconds(self.stage.now() - from).max(1.0);
        for (figure, unit, value) in [
            ("calls a second", "calls", all[0] as f64),
            ("messages out a second", "messages", all[1] as f64),
            ("bytes out a second", "bytes", all[2] as f64),
            ("processor time a second", "ms", all[3] as f64 / 1e6),
        ] {
            self.told
                .tell("a quiet time", figure, unit, value * each, source)?;
        }
        let (messages, bytes) = (all[1] as f64 * each, all[2] as f64 * each);
        Ok(ran.is_ok().then_some(Traffic { messages, bytes }))
    }
    /// Workers of one zone start anew, one after the other, so many a second: one change each.
    pub fn changes(&mut self, a_second: u64, workers: usize) -> Result<Option<Traffic>, String> {
        self.allow();
        self.stage.add_workers(workers);
        let count = (a_second * CHANGES).min(workers as u64 * CHANGES).max(1);
        let begun = self
            .stage
            .run_for(GONE)
            .and_then(|()| self.stage.to_whole_second());
        let Ok(from) = begun else { return Ok(None) };
        let (version, mut last_change) = (self.version(), from);
        let mut ran = Ok(());
        for n in 0..count {
            last_change = self.stage.now();
            self.stage.restart_worker(n as usize % workers.max(1));
            ran = ran.and_then(|()| self.stage.run_for(SECOND / a_second as Micros));
        }
        ran = ran.and_then(|()| self.all_told());
        let source = source_of(&ran);
        let (messages, bytes) = {
            let (tally, to) = (self.stage.tally.borrow(), self.stage.now());
            // Greetings and calls are answered as well, and nobody greets here.
            let answers = tally.sum(from, to, |s| s.greetings + s.calls);
            let bytes = tally
                .sum(from, to, |s| s.bytes)
                .saturating_sub(answers * NOTHING_NEW);
            (
                tally.sum(from, to, |s| s.messages).saturating_sub(answers) as f64,
                bytes as f64,
            )
        };
        let last = self
            .stage
            .followers
            .borrow()
            .routers
            .iter()
            .map(|f| f.moved)
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
            self.told.tell("changes", figure, unit, value, source)?;
        }
        self.told.worst("changes", &self.stage, from, source)?;
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
        let routers = self.stage.spec().routers as f64;
        let a_day = l.number("capacity.failed") * FAILED + l.number("capacity.replaced") * REPLACED;
        let a_second = workers as f64 * REPLACED / 60.0;
        for (play, figure, unit, value) in [
            (
                "an ordinary day",
                "messages out",
                "messages",
                quiet.messages * DAY + a_day * change.messages,
            ),
            (
                "an ordinary day",
                "bytes out",
                "bytes",
                quiet.bytes * DAY + a_day * change.bytes,
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
            self.told
                .tell(play, figure, unit, value, Source::WorkedOut)?;
        }
        Ok(true)
    }
    /// Whatever has changed by now is told, and has reached every router.
    fn all_told(&mut self) -> Result<(), Cut> {
        let notice = self
            .plan
            .settings
            .duration_us("list-service-plays.notice-most-us");
        self.stage.run_for(notice + SECOND)?;
        self.stage.run_until_true(NEVER, |f| {
            let newest = f.routers.iter().map(|router| router.known.version).max();
            f.routers
                .iter()
                .all(|router| Some(router.known.version) == newest)
        })
    }
    fn version(&self) -> u64 {
        self.stage
            .followers
            .borrow()
            .routers
            .iter()
            .map(|f| f.known.version)
            .max()
            .unwrap_or(0)
    }
    fn service_gone(&mut self) -> Result<bool, String> {
        self.allow();
        let play = "the service gone for a minute";
        let settled = self
            .stage
            .run_for(SETTLES)
            .and_then(|()| self.stage.to_whole_second());
        let Ok(from) = settled else { return Ok(false) };
        let before = self.stage.followers.borrow().calls;
        self.stage.stop_list();
        let gone = self
            .stage
            .run_for(self.plan.settings.duration_us("list-service-plays.gone-us"));
        let vain = self.stage.followers.borrow().calls - before;
        let a_second = vain as f64 / seconds(self.stage.now() - from).max(1.0);
        let back = self.stage.now();
        self.stage.start_list();
        let run = self.stage.list_run();
        let all_told = gone.and_then(|()| {
            self.stage.run_until_true(NEVER, |f| {
                f.routers
                    .iter()
                    .all(|router| router.known.service_incarnation == run)
            })
        });
        let source = source_of(&all_told);
        self.told.tell(
            play,
            "calls in vain a second while it is gone",
            "calls",
            a_second,
            source,
        )?;
        self.told.seconds(play, &self.stage, back, source)?;
        let last = self
            .stage
            .followers
            .borrow()
            .routers
            .iter()
            .map(|f| f.moved)
            .max()
            .unwrap_or(back);
        self.told.tell(
            play,
            "until the last router has its list",
            "s",
            seconds(last - back),
            source,
        )?;
        Ok(all_told.is_ok())
    }
    /// A zone's workers are lost, and come back at one instant.
    fn workers_return(&mut self, workers: usize) -> Result<bool, String> {
        self.allow();
        let play = "a zone of workers returns";
        self.stage.add_workers(workers);
        let mut ran = self.stage.run_for(GONE);
        self.stage.stop_workers();
        ran = ran.and_then(|()| self.stage.run_for(GONE));
        let told = self.stage.workers() as u64;
        ran = ran.and_then(|()| self.all_told());
        self.allow();
        let from = match ran.and_then(|()| self.stage.to_whole_second()) {
            Ok(from) => from,
            Err(_) => return Ok(false),
        };
        (0..self.stage.workers()).for_each(|n| self.stage.restart_worker(n));
        let ran = self.all_told();
        let source = source_of(&ran);
        self.told.seconds(play, &self.stage, from, source)?;
        let last = self
            .stage
            .followers
            .borrow()
            .routers
            .iter()
            .map(|f| f.moved)
            .max()
            .unwrap_or(from);
        self.told.tell(
            play,
            "until the last router has all of them",
            "s",
            seconds(last - from),
            source,
        )?;
        self.told
            .tell(play, "workers", "workers", told as f64, source)?;
        Ok(ran.is_ok())
    }
}

pub(super) fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}

/// One after the other; what was cut short by the time it may take leaves the rest of this size unmeasured.
pub(super) fn play_all(played: &mut Played<'_>) -> Result<(), String> {
    let l = &played.plan.settings;
    let (zones, regions) = (
        l.integer("capacity.zones").max(1),
        l.integer("capacity.regions").max(1),
    );
    let routers = played.stage.spec().routers;
    let workers = played.stage.spec().rows.div_ceil(zones);
    let whole = played.starts("all routers start", routers, false)?
        && played.ordinary(workers)?
        && played.starts("all routers start with kept lists", routers, true)?
        && played.starts("one zone's routers start", routers.div_ceil(zones), false)?
        && played.starts(
            "one region's routers start",
            routers.div_ceil(regions),
            false,
        )?
        && played.service_gone()?
        && played.workers_return(workers)?;
    if !whole {
        played.told.sink.told(&format!(
            "{routers} routers, {}: cut short, the rest isn't played",
            played.told.with
        ));
    }
    Ok(())
}
