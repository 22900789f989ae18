//! What is expected of jobs, workers and loads: times, pressure, crowds, and where a function has its homes.

use super::constants::*;
use super::Router;
use crate::state::*;
use crate::statistics::{decayed, median, tie_break, unit_interval};
use crate::*;

impl Router {
    /// What a job takes when calm: the geometric mean of what its function (its workload, before any answer)
    /// takes and what it is hinted to, both being rough, scaled by what hinted jobs took.
    pub(super) fn work_of(&self, job: &Request) -> f64 {
        let scale = if self.hinted.1 > 0.0 {
            self.hinted.0 / self.hinted.1
        } else {
            1.0
        };
        self.unscaled_work(job)
            * if job.expected_work.is_some_and(|hint| hint > 0) {
                scale
            } else {
                1.0
            }
    }
    pub(super) fn usual_work(&self, id: WorkloadId) -> f64 {
        self.usual
            .get(&id)
            .map_or(self.target(id) as f64 * GUESS_OF_TARGET, |(work, _)| *work)
    }
    pub(super) fn unscaled_work(&self, job: &Request) -> f64 {
        let learned = self.functions.get(job.function).filter(|f| f.answered);
        let learned = learned.map_or(self.usual_work(job.workload), |f| f.work);
        job.expected_work
            .filter(|hint| *hint > 0)
            .map_or(learned, |hint| (learned * hint as f64).sqrt())
    }
    pub(super) fn inflow_now(&self) -> f64 {
        self.inflow * (-(self.now - self.inflow_at) as f64 / self.terms.fall).exp()
    }
    pub(super) fn look_over_fleet(&mut self) {
        let now = self.now;
        // Those heard of last stand for all: the fleet may be far larger than what this router hears of.
        let last = self
            .told
            .iter()
            .rev()
            .filter_map(|(_, w)| self.workers.get(w))
            .filter(|w| w.ready());
        let last: Vec<&Worker> = last.take(HEARD_LAST).collect();
        let typical =
            |figure: &dyn Fn(&Worker) -> f64| median(last.iter().map(|w| figure(w)).collect());
        let (pace, crowding) = (typical(&|w| w.pace_now(now)), typical(&|w| w.crowding(now)));
        let loads = typical(&|w| w.report.loads_in_progress.unwrap_or(0.0));
        let size = |w: &Worker| w.row.size.max(f64::MIN_POSITIVE);
        let held = last.iter().filter(|w| w.report_at > 0);
        let held = median(
            held.filter_map(|w| w.report.in_flight.map(|held| held / size(w)))
                .collect(),
        );
        // The middle one's, as most answers come from the crowded; newest, or the end is heard of late.
        let fresh = last
            .iter()
            .filter(|w| w.report_at > (now - REPORT_FADES_US as Micros).max(0));
        let told = fresh.filter_map(|w| {
            Some((
                now - w.report_at,
                w.waiting_for_cores(!self.terms.answers_miss)?,
            ))
        });
        let told: Vec<(Micros, f64)> = told.collect();
        let (few, fresh) = (
            (last.len() as f64).sqrt().max(FEW_REPORTS),
            self.terms.tightest,
        );
        let newest = told
            .iter()
            .enumerate()
            .take_while(|(n, (age, _))| (*n as f64) < few || *age < fresh);
        let others = self.terms.routers / self.listed.len().max(1) as Micros;
        self.heard = told
            .first()
            .is_some_and(|(age, _)| *age < fresh * others.max(1));
        self.waits = if told.is_empty() {
            0.0
        } else {
            median(newest.map(|(_, (_, part))| *part).collect())
        };
        self.middle = Middle {
            pace,
            crowding,
            loads,
            held,
        };
        let workers = &self.workers;
        let ill = |w: &Worker| w.suspect && w.row.state == WorkerState::Ready;
        self.suspects.retain(|w| workers.get(w).is_some_and(ill));
        // Where most workers look ill, this router's own view is the likelier cause; the rest would drown.
        self.most_suspect = self.suspects.len() * 2 > self.listed.len();
    }
    pub(super) fn pressed(&self) -> bool {
        self.middle.crowding > PRESSED || self.waits > WAITING
    }
    pub(super) fn load_pace_now(&self) -> f64 {
        decayed(
            self.load_pace,
            1.0,
            self.now - self.load_pace_at,
            PACE_FADES_US,
        )
    }
    /// Guards against a crowded or stopped store and load queues: loads take longer than told or usual.
    pub(super) fn loads_pressed(&self) -> bool {
        self.load_pace_now() > PRESSED || self.middle.loads > LOADS_WAIT
    }
    /// Guards against what this router cannot see, the others' jobs: a worker that reports far more than the
    /// middle one for its size, was full of late, owes a late answer with no report since, or is slow.
    pub(super) fn crowded(&self, w: &Worker) -> bool {
        let late = w
            .out
            .iter()
            .any(|(_, late, ..)| *late <= self.now && w.report_at < *late);
        let uneven = w.held_now(self.now, self.middle.held) > UNEVEN * self.middle.held;
        let pace = w.pace_now(self.now);
        late || uneven
            || w.jammed > self.now
            || pace > (CROWDED * w.calm).min(SLOW * self.middle.pace)
    }
    /// It last reported that much of what it holds waits, or reports nothing of that.
    pub(super) fn queues(&self, w: &Worker) -> bool {
        w.waiting(!self.terms.answers_miss)
            .is_none_or(|part| part > WAITING)
    }
    /// Own jobs in flight below what it bears; guards against overload of any cause.
    pub(super) fn has_room(&self, w: &Worker, share: f64) -> bool {
        f64::from(w.own) < w.limit * share && w.barred <= self.now
    }
    /// By its workload's work: what a function was seen to take under pressure would shed it for ever.
    pub(super) fn earning(&self, job: &Request) -> f64 {
        let usual = self.usual_work(job.workload);
        let work = job
            .expected_work
            .filter(|hint| *hint > 0)
            .map_or(usual, |hint| (usual * hint as f64).sqrt());
        self.workload(job.workload).importance
            / if self.terms.importance_by_work {
                1.0
            } else {
                work.max(1.0)
            }
    }
    /// How many homes a function needs by its share of this router's jobs; one call asks for no more.
    pub(super) fn width(&self, function: &Function) -> usize {
        let fleet = self.listed.len();
        let sure = (function.calls - 1.0).max(0.0);
        let part = if self.terms.answers_miss {
            HOME_PART / 2.0
        } else {
            HOME_PART
        };
        let wanted = sure / self.calls.max(1.0) * fleet as f64 / part;
        (wanted.ceil() as usize).max(FEW_HOMES).min(fleet)
    }
    /// A draw by which the lowest of several workers is each in proportion to its size over what it holds.
    pub(super) fn drawn(&self, by: u64, w: &Worker) -> f64 {
        let size = w.row.size.max(f64::MIN_POSITIVE);
        let held = 1.0 + w.held_now(self.now, self.middle.held);
        -unit_interval(tie_break(FunctionId(by), w.row.worker)).ln() / size * held
    }
    /// A function's homes where a job may go, by draws that favour large workers: all routers find the same
    /// ones and share copies. Guards against a pass over a large fleet for each job: the next is found when
    /// it is needed. Only where hardly any may be called (a keyed job's group) a further try looks at all.
    pub(super) fn homes<'a>(
        &'a self,
        held: &'a Held,
        key: u64,
        work: f64,
    ) -> impl Iterator<Item = &'a Worker> + 'a {
        let fits = move |w: &&Worker| self.may_get(held, w, work);
        let drawn = move || self.listed.ranking(key).take(2 * HOMES * LOOKS);
        let drawn = move || {
            drawn()
                .filter_map(|w| self.workers.get(&WorkerId(w)))
                .filter(fits)
        };
        let few = !held.executions.is_empty() && drawn().nth(FEW_HOMES - 1).is_none();
        drawn().chain(self.workers.values().filter(move |w| few && fits(w)))
    }
    pub(super) fn may_get(&self, held: &Held, w: &Worker, work: f64) -> bool {
        self.may_go(held, w) && self.cold_room(w, held.job.id, work)
    }
    /// A copy is believed while jobs run on it and, after the last, for the keep-alive.
    pub(super) fn stands(&self, place: &Place) -> bool {
        place.copies > 0 && (place.own > 0 || self.now < place.until)
    }
}
