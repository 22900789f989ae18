//! What the list service bears: its own core, with routers that decide by the product's modules when to call it, over
//! numbers of routers, of rows and of changes; its worst seconds; and its memory.

use super::hollow_router::Followers;
use super::list_alone::alone;
use super::list_stage::{Cut, ListStage, ListStageSpec, SECOND};
use super::metered::ListSecond;
use super::{Plan, Play, Point, Role, Sink, Source, Stop};
use sanddrum_net::{Links, Micros};
use sanddrum_settings::{key, Kind, Problem, Section};
use sanddrum_worker::ListSpec;
use std::time::Duration;

pub const PLAY: Play = Play {
    name: "list-service",
    section: Section {
        name: "list-service-plays",
        dotted: "list-service-plays",
        named: false,
        repeats: false,
        about: "sizes at which the list service is measured, and the stand-in that it is",
        keys: &[
            key("routers", Kind::Wholes(1.0, 1e5), Some("10 100 1000 4200"), "with the most rows"),
            key("rows", Kind::Wholes(1.0, 1e5), Some("100 1000 10000"), "with so many routers:"),
            key("rows-routers", Kind::Whole(1.0, 1e5), Some("1000"), "while rows or changes grow"),
            key("changes", Kind::Wholes(1.0, 1e5), Some("1 10 100"), "a second, with the most rows"),
            key(
                "beating",
                Kind::Wholes(1.0, 1e5),
                Some("100 1000 10000"),
                "workers that all tell that they run",
            ),
            key("quiet", Kind::Span, Some("60s"), "how long a quiet time is looked at"),
            key("gone", Kind::Span, Some("60s"), "how long the service is gone"),
            key("notice-least", Kind::Span, Some("200ms"), "changes are told after"),
            key("notice-most", Kind::Span, Some("1s"), "and at the latest after"),
            key(
                "whole",
                Kind::Span,
                Some("5ms"),
                "what a whole list takes it on its one core, as the stand-in has it",
            ),
            key("change", Kind::Span, Some("200us"), "what an answer of changes takes it"),
            key(
                "calls",
                Kind::Whole(1.0, 1e6),
                Some("64"),
                "calls in hand; whoever calls beyond that is closed",
            ),
            key("changes-kept", Kind::Whole(1.0, 1e6), Some("256"), "for routers that come back"),
            key("beat-every", Kind::Span, Some("200ms"), "how often a worker tells that it runs"),
        ],
    },
    check,
    play,
};

/// What a row takes at most on its way, in bytes, and how often it may be there at a time: at the service, on the way
/// and where it is read.
const ROW_BYTES: u64 = 60;
const COPIES: u64 = 2;
/// A list that has not reached all by then never will.
const NEVER: Micros = 3_600 * SECOND;
const SETTLES: Micros = 30 * SECOND;
/// How many changes a second, and for how long, show what one costs.
const CHANGES: u64 = 10;
/// A worker is told gone and its notice is over by then.
const GONE: Micros = 10 * SECOND;
/// Nobody is heard in these plays but the workers that are played.
const NEVER_SILENT: Micros = 86_400 * SECOND;
const BEATING: Micros = 2 * SECOND;

fn key_of(name: &str) -> String {
    format!("list-service-plays.{name}")
}

fn check(plan: &Plan) -> Result<(), Problem> {
    let l = &plan.settings;
    let most = |name: &str| plan.sizes(&key_of(name)).map(|sizes| most_of(&sizes));
    let (routers, rows) = (most("routers")?, most("rows")?);
    let base = l.size("list-service-plays.rows-routers") as u64;
    most("changes")?;
    most("beating")?;
    let bytes = routers.max(base) * rows * ROW_BYTES * COPIES;
    plan.fits(&key_of("routers"), &format!("{routers} routers with lists of {rows} rows"), bytes)?;
    let (least, last) =
        (l.span("list-service-plays.notice-least-us"), l.span("list-service-plays.notice-most-us"));
    if least > last {
        let what = "list-service-plays.notice-least is above notice-most";
        return Err(l.problem_at(&key_of("notice-least-us"), what, "as 200ms and 1s"));
    }
    Ok(())
}

pub(super) fn most_of(sizes: &[u64]) -> u64 {
    sizes.iter().copied().max().unwrap_or(1)
}

/// The stand-in as the plan has it.
pub(crate) fn list_spec(plan: &Plan) -> ListSpec {
    let l = &plan.settings;
    let span = |name: &str| l.span(&format!("list-service-plays.{name}-us"));
    ListSpec {
        notice: (span("notice-least"), span("notice-most")),
        silent_after: NEVER_SILENT,
        changes_kept: l.size("list-service-plays.changes-kept"),
        whole: span("whole"),
        change: span("change"),
        most: l.size("list-service-plays.calls"),
    }
}

/// Where figures go: at one size of one axis.
struct Told<'a> {
    sink: &'a mut Sink,
    axis: &'static str,
    at: f64,
    /// What stays as it is along the axis.
    with: String,
}

impl Told<'_> {
    fn tell(
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
    fn worst(&mut self, play: &str, stage: &ListStage, from: Micros, source: Source) -> Result<(), String> {
        for (name, unit, each, figure) in FIGURES {
            let worst = stage.tally.borrow().worst(from, stage.now() + SECOND, figure) as f64 / each;
            self.tell(play, &format!("{name} in the worst second"), unit, worst, source)?;
        }
        Ok(())
    }
    /// And in all.
    fn seconds(&mut self, play: &str, stage: &ListStage, from: Micros, source: Source) -> Result<(), String> {
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
fn source_of(cut: &Result<(), Cut>) -> Source {
    if cut.is_ok() {
        Source::Played
    } else {
        Source::NotFinished
    }
}

struct Played<'a> {
    plan: &'a Plan,
    told: Told<'a>,
    stage: ListStage,
}

impl Played<'_> {
    fn allow(&mut self) {
        let takes = self.plan.settings.span("capacity.time-a-point-us").max(0) as u64;
        self.stage.allow(Duration::from_micros(takes));
    }
    /// Routers start at once; they have their lists once each was told one since.
    fn starts(&mut self, play: &str, count: usize, keep: bool) -> Result<bool, String> {
        self.allow();
        self.stage.stop_routers(count);
        let settled = self.stage.run_for(SETTLES).and_then(|()| self.stage.to_whole_second());
        let Ok(from) = settled else { return Ok(false) };
        let before = self.stage.followers.borrow().whole_lists;
        self.stage.start_routers(count, keep).map_err(|e| e.to_string())?;
        let all_told = self.stage.run_until_true(NEVER, |followers| {
            followers.routers.iter().take(count).all(|follower| follower.told.is_some())
        });
        let source = source_of(&all_told);
        self.told.seconds(play, &self.stage, from, source)?;
        let (whole, last) = {
            let followers = self.stage.followers.borrow();
            let told = followers.routers.iter().take(count).map(|f| f.told.unwrap_or(self.stage.now()));
            (followers.whole_lists - before, told.max().unwrap_or(from) - from)
        };
        self.told.tell(play, "until the last router has its list", "s", seconds(last), source)?;
        self.told.tell(play, "whole lists", "lists", whole as f64, source)?;
        Ok(all_told.is_ok())
    }
    fn quiet(&mut self) -> Result<bool, String> {
        self.allow();
        let span = self.plan.settings.span("list-service-plays.quiet-us");
        let begun = self.stage.run_for(SETTLES).and_then(|()| self.stage.to_whole_second());
        let Ok(from) = begun else { return Ok(false) };
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
            self.told.tell("a quiet time", figure, unit, value * each, source)?;
        }
        Ok(ran.is_ok())
    }
    /// Workers of one zone start anew, one after the other, so many a second: one change each.
    fn changes(&mut self, a_second: u64, workers: usize) -> Result<bool, String> {
        self.allow();
        self.stage.add_workers(workers);
        let count = (a_second * CHANGES).min(workers as u64 * CHANGES).max(1);
        let begun = self.stage.run_for(GONE).and_then(|()| self.stage.to_whole_second());
        let Ok(from) = begun else { return Ok(false) };
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
            // Greetings and calls are answered as well.
            let answers = tally.sum(from, to, |s| s.greetings + s.calls);
            (tally.sum(from, to, |s| s.messages).saturating_sub(answers), tally.sum(from, to, |s| s.bytes))
        };
        let last = self.stage.followers.borrow().routers.iter().map(|f| f.moved).max().unwrap_or(last_change);
        let told = (self.version() - version).max(1) as f64;
        for (figure, unit, value) in [
            ("messages out a change", "messages", messages as f64 / told),
            ("bytes out a change, checks among them", "bytes", bytes as f64 / told),
            ("from the last change to the last router", "s", seconds(last - last_change)),
        ] {
            self.told.tell("changes", figure, unit, value, source)?;
        }
        self.told.worst("changes", &self.stage, from, source)?;
        Ok(ran.is_ok())
    }
    /// Whatever has changed by now is told, and has reached every router.
    fn all_told(&mut self) -> Result<(), Cut> {
        let notice = self.plan.settings.span("list-service-plays.notice-most-us");
        self.stage.run_for(notice + SECOND)?;
        self.stage.run_until_true(NEVER, |f| {
            let newest = f.routers.iter().map(|router| router.known.version).max();
            f.routers.iter().all(|router| Some(router.known.version) == newest)
        })
    }
    fn version(&self) -> u64 {
        self.stage.followers.borrow().routers.iter().map(|f| f.known.version).max().unwrap_or(0)
    }
    fn service_gone(&mut self) -> Result<bool, String> {
        self.allow();
        let play = "the service gone for a minute";
        let settled = self.stage.run_for(SETTLES).and_then(|()| self.stage.to_whole_second());
        let Ok(from) = settled else { return Ok(false) };
        let before = self.stage.followers.borrow().calls;
        self.stage.stop_list();
        let gone = self.stage.run_for(self.plan.settings.span("list-service-plays.gone-us"));
        let vain = self.stage.followers.borrow().calls - before;
        let a_second = vain as f64 / seconds(self.stage.now() - from).max(1.0);
        let back = self.stage.now();
        self.stage.start_list();
        let run = self.stage.list_run();
        let all_told = gone.and_then(|()| {
            self.stage.run_until_true(NEVER, |f| f.routers.iter().all(|router| router.known.run == run))
        });
        let source = source_of(&all_told);
        self.told.tell(play, "calls in vain a second while it is gone", "calls", a_second, source)?;
        self.told.seconds(play, &self.stage, back, source)?;
        let last = self.stage.followers.borrow().routers.iter().map(|f| f.moved).max().unwrap_or(back);
        self.told.tell(play, "until the last router has its list", "s", seconds(last - back), source)?;
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
        let last = self.stage.followers.borrow().routers.iter().map(|f| f.moved).max().unwrap_or(from);
        self.told.tell(play, "until the last router has all of them", "s", seconds(last - from), source)?;
        self.told.tell(play, "workers", "workers", told as f64, source)?;
        Ok(ran.is_ok())
    }
}

fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}

/// One after the other; what was cut short by the time it may take leaves the rest of this size unmeasured.
fn play_all(played: &mut Played<'_>) -> Result<(), String> {
    let l = &played.plan.settings;
    let (zones, regions) = (l.size("capacity.zones").max(1), l.size("capacity.regions").max(1));
    let routers = played.stage.spec().routers;
    let workers = played.stage.spec().rows.div_ceil(zones);
    let _ = played.starts("all routers start", routers, false)?
        && played.quiet()?
        && played.changes(1, 1)?
        && played.starts("all routers start with kept lists", routers, true)?
        && played.starts("one zone's routers start", routers.div_ceil(zones), false)?
        && played.starts("one region's routers start", routers.div_ceil(regions), false)?
        && played.service_gone()?
        && played.workers_return(workers)?;
    Ok(())
}

fn stage_of(plan: &Plan, routers: u64, rows: u64, stop: &Stop) -> Result<ListStage, String> {
    let spec = ListStageSpec {
        settings: plan.settings.clone(),
        list: list_spec(plan),
        seed: plan.seed,
        routers: routers as usize,
        rows: rows as usize,
        links: Links::default(),
        whole_edges: false,
        zones: plan.settings.size("capacity.zones"),
        beat_every: plan.settings.span("list-service-plays.beat-every-us").max(1000),
    };
    ListStage::new(spec, stop.clone(), Duration::MAX / 4).map_err(|e| e.to_string())
}

fn play(plan: &Plan, sink: &mut Sink, stop: &Stop) -> Result<(), String> {
    let sizes = |name: &str| plan.sizes(&key_of(name)).map_err(|e| e.to_string());
    let (routers, rows) = (sizes("routers")?, sizes("rows")?);
    let base = plan.settings.size("list-service-plays.rows-routers") as u64;
    let most_rows = most_of(&rows);
    alone(plan, &routers, &rows, sink, stop)?;
    for at in sizes("beating")? {
        beats(plan, at, sink, stop)?;
    }
    let fleet = |axis, at: u64, with, routers: u64, rows: u64, sink: &mut Sink| -> Result<(), String> {
        if stop.is_set() {
            return Ok(());
        }
        let stage = stage_of(plan, routers, rows, stop)?;
        play_all(&mut Played { plan, told: Told { sink, axis, at: at as f64, with }, stage })
    };
    for at in &rows {
        fleet("rows", *at, format!("{base} routers"), base, *at, sink)?;
    }
    for at in &routers {
        fleet("routers", *at, format!("{most_rows} rows"), *at, most_rows, sink)?;
    }
    for at in sizes("changes")? {
        if stop.is_set() {
            return Ok(());
        }
        let stage = stage_of(plan, base, most_rows, stop)?;
        let with = format!("{base} routers and {most_rows} rows");
        let told = Told { sink, axis: "changes a second", at: at as f64, with };
        let mut played = Played { plan, told, stage };
        played.stage.start_routers(base as usize, false).map_err(|e| e.to_string())?;
        let all = |f: &Followers| f.routers.iter().all(|router| router.told.is_some());
        played.allow();
        if played.stage.run_until_true(NEVER, all).is_ok() {
            let zone = (most_rows as usize).div_ceil(plan.settings.size("capacity.zones").max(1));
            played.changes(at, zone)?;
        }
    }
    Ok(())
}

/// Workers that all tell that they run, and nobody asks.
fn beats(plan: &Plan, workers: u64, sink: &mut Sink, stop: &Stop) -> Result<(), String> {
    if stop.is_set() {
        return Ok(());
    }
    let stage = stage_of(plan, 1, workers, stop)?;
    let told = Told { sink, axis: "rows", at: workers as f64, with: "no router".into() };
    let mut played = Played { plan, told, stage };
    played.allow();
    played.stage.add_workers(workers as usize);
    let begun = played.stage.run_for(SECOND).and_then(|()| played.stage.to_whole_second());
    let from = *begun.as_ref().unwrap_or(&played.stage.now());
    let ran = begun.and_then(|_| played.stage.run_for(BEATING));
    let source = source_of(&ran);
    let (beats, nanoseconds) = {
        let tally = played.stage.tally.borrow();
        let to = played.stage.now();
        (tally.sum(from, to, |s| s.beats) as f64, tally.sum(from, to, |s| s.nanoseconds) as f64)
    };
    let span = seconds(played.stage.now() - from).max(seconds(SECOND) / 10.0);
    played.told.tell("all workers beat", "beats a second", "beats", beats / span, source)?;
    played.told.tell(
        "all workers beat",
        "processor time a second",
        "ms",
        nanoseconds / 1e6 / span,
        source,
    )?;
    played.told.tell(
        "all workers beat",
        "processor time a beat",
        "us",
        nanoseconds / 1e3 / beats.max(1.0),
        source,
    )
}
