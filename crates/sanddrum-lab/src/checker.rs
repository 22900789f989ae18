//! Judges the five rules, and that nothing was lost, from recorded traffic alone.

use crate::recorder::{ClientAttempt, Execution, Log};
use crate::scenario::{Scenario, WorkloadTraffic};
use crate::scheduling_delay::{SchedulingDelays, OURS};
use hdrhistogram::Histogram;
use sanddrum_net::Micros;
use sanddrum_wire::{ExecutionStatus, Phase};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A rule that was broken, once, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// 1 to 5 as the users number them; nought for an account that does not add up.
    pub rule: u8,
    pub at: Micros,
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "rule {} at {:.3} s: {}",
            self.rule,
            self.at as f64 / 1e6,
            self.description
        )
    }
}

pub struct Verdict {
    pub accepted: u64,
    pub finished: u64,
    pub rejected: u64,
    pub failed: u64,
    /// What an edge held when it was killed; its clients may try again.
    pub lost_with_edge: u64,
    /// Calls of which nothing reached any edge.
    pub unreached: u64,
    pub violations: Vec<Violation>,
    /// Importance answered within the start target over importance asked.
    pub service: f64,
    pub latency: Histogram<u64>,
    /// For each customer: calls asked, and those of them in time.
    pub customers: BTreeMap<String, (u64, u64)>,
    /// For each second: calls begun, and those of them in time.
    pub seconds: Vec<(u32, u32)>,
}

/// Broken rules told of one kind; the rest is only counted.
const TOLD: usize = 100;

struct Checker<'a> {
    log: &'a Log,
    scenario: &'a Scenario,
    workloads: BTreeMap<&'a str, &'a WorkloadTraffic>,
    /// What a message takes on its way at most, for comparing times at two ends.
    slack: Micros,
    violations: Vec<Violation>,
}

/// Judges a log that began at `start`; `slack` is what a message takes on its way at most.
pub fn check_log(log: &Log, scenario: &Scenario, start: Micros, slack: Micros) -> Verdict {
    let workloads = scenario
        .calls
        .iter()
        .map(|c| (c.workload.as_str(), c))
        .collect();
    let mut checker = Checker {
        log,
        scenario,
        workloads,
        slack,
        violations: Vec::new(),
    };
    let mut verdict = checker.answers(start);
    checker.sent_after_the_answer();
    checker.effects();
    checker.drains();
    checker.cold();
    checker.ration();
    checker.revoked_keys();
    checker.violations.sort_by_key(|b| (b.at, b.rule));
    checker.violations.iter_mut().for_each(|b| b.at -= start);
    checker.violations.truncate(TOLD);
    verdict.violations = checker.violations;
    verdict
}

impl Checker<'_> {
    fn add_violation(&mut self, rule: u8, at: Micros, description: String) {
        self.violations.push(Violation {
            rule,
            at,
            description,
        });
    }
    /// Whether the edge was down, or stood still, at some time between.
    fn down(&self, edge: &str, from: Micros, to: Micros) -> bool {
        let all = self.log.edge_downtime.iter().chain(&self.log.edge_pauses);
        let mut spells = all.filter(|(name, ..)| name == edge);
        spells.any(|(_, down, up)| {
            *down <= to + self.slack && up.is_none_or(|up| up >= from - self.slack)
        })
    }

    /// Whether the edges are processes that were looked at.
    fn watched(&self) -> bool {
        !self.log.scheduling_delays.is_empty()
    }
    /// How long an answer may have been held up: where processes are watched, by what its link is made late, and by
    /// what its edge and this process are seen to have waited as the call was read and as its answer was due.
    fn held_up(&self, t: &ClientAttempt, came: Micros) -> Micros {
        if !self.watched() {
            return self.slack;
        }
        let of = |name: &str, from, to| {
            self.log
                .scheduling_delays
                .get(name)
                .map_or(0, |w: &SchedulingDelays| w.between(from, to))
        };
        // Our loop carries a call once on its way to the edge, and its answer twice: from the edge, and to the client.
        let waited = |ours, from, to| ours * of(OURS, from, to) + of(&t.edge, from, to);
        let ahead = self.scenario.settings.duration_us("limits.answer-ahead-us");
        let reading = waited(1, t.sent_at, t.sent_at + ahead);
        let reading = waited(1, t.sent_at, t.sent_at + reading.max(ahead));
        self.slack - self.log.max_scheduling_delay
            + reading
            + waited(2, t.sent_at + t.time_limit - ahead, came)
    }
    /// Rule 1, and the account.
    fn answers(&mut self, start: Micros) -> Verdict {
        let latency = Histogram::new_with_max(60_000_000, 3);
        let mut latency =
            latency.unwrap_or_else(|_| unreachable!("a minute in three digits is within bounds"));
        latency.auto(true);
        let mut verdict = Verdict {
            accepted: 0,
            finished: 0,
            rejected: 0,
            failed: 0,
            lost_with_edge: 0,
            unreached: 0,
            violations: Vec::new(),
            service: 0.0,
            latency,
            customers: BTreeMap::new(),
            seconds: Vec::new(),
        };
        let mut refused = 0;
        for t in &self.log.client_attempts {
            verdict.accepted += 1;
            let name = format!("call {} try {} at {}", t.call, t.number, t.edge);
            if t.answers.len() > 1 {
                self.add_violation(
                    1,
                    t.answers[1].0,
                    format!("{name} got {} answers", t.answers.len()),
                );
            }
            // What a process answered too late, as clients that stay see it, counts as no answer where it stood still.
            let late = |at: Micros| at > t.sent_at + t.time_limit + self.held_up(t, at);
            let stood_still = |at| {
                self.watched()
                    && late(at)
                    && self.down(&t.edge, t.sent_at, t.sent_at + t.time_limit)
            };
            match t.answers.first() {
                Some((at, _)) if stood_still(*at) => verdict.lost_with_edge += 1,
                Some((at, status)) => {
                    match status {
                        200 => verdict.finished += 1,
                        // Refused for who asks: it has not run, and the client was told.
                        401 | 403 | 503 => verdict.rejected += 1,
                        502 | 504 => verdict.failed += 1,
                        _ => refused += 1,
                    }
                    if late(*at) {
                        let (late, held) = (at - t.sent_at - t.time_limit, self.held_up(t, *at));
                        let what = format!(
                            "{name} was answered {late} us after its client's time, held up {held}"
                        );
                        self.add_violation(1, *at, what);
                    }
                }
                None if self.down(
                    &t.edge,
                    t.sent_at,
                    t.closed_at.unwrap_or(t.sent_at + t.time_limit),
                ) =>
                {
                    verdict.lost_with_edge += 1
                }
                // Its client left before the machine let an edge answer: it was not taken.
                None if t.time_limit < self.log.max_scheduling_delay => verdict.accepted -= 1,
                None => {
                    let at = t.closed_at.unwrap_or(t.sent_at + t.time_limit);
                    self.add_violation(
                        1,
                        at,
                        format!(
                            "{name} got no answer in the {} us its client waited",
                            at - t.sent_at
                        ),
                    );
                }
            }
        }
        verdict.accepted -= refused;
        self.service(start, &mut verdict);
        verdict
    }

    /// A call is served if one of its tries finished within the start target of its beginning.
    fn service(&self, start: Micros, verdict: &mut Verdict) {
        let mut calls: BTreeMap<u64, Vec<&ClientAttempt>> = BTreeMap::new();
        self.log
            .client_attempts
            .iter()
            .for_each(|t| calls.entry(t.call).or_default().push(t));
        let (mut asked, mut earned) = (0.0, 0.0);
        for tries in calls.values() {
            let Some(first) = tries.first() else { continue };
            let Some(calls) = self.workloads.get(first.workload.as_str()) else {
                continue;
            };
            asked += calls.importance;
            let finished = tries
                .iter()
                .flat_map(|t| &t.answers)
                .find(|(_, status)| *status == 200);
            let latency = finished.map(|(at, _)| at - first.call_started_at);
            let in_time = latency.is_some_and(|l| l <= calls.start_target);
            if in_time {
                earned += calls.importance;
            }
            if let Some(l) = latency {
                // An auto-resizing histogram takes any span.
                let _ = verdict.latency.record(l.max(0) as u64);
            }
            if let Some(customer) = &first.customer {
                let of = verdict.customers.entry(customer.clone()).or_default();
                *of = (of.0 + 1, of.1 + u64::from(in_time));
            }
            let second = ((first.call_started_at - start) / 1_000_000).max(0) as usize;
            if verdict.seconds.len() <= second {
                verdict.seconds.resize(second + 1, (0, 0));
            }
            verdict.seconds[second].0 += 1;
            verdict.seconds[second].1 += u32::from(in_time);
        }
        // Calls are numbered through, so what is missing was asked and never got to an edge.
        let numbered = calls.last_key_value().map_or(0, |(last, _)| last + 1);
        verdict.unreached = numbered - calls.len() as u64;
        asked *= numbered as f64 / calls.len().max(1) as f64;
        verdict.service = if asked > 0.0 { earned / asked } else { 1.0 };
    }

    /// Rule 1: nothing more is sent for a job that has its final answer.
    fn sent_after_the_answer(&mut self) {
        let answered: BTreeMap<(u64, u32), Micros> = self
            .log
            .client_attempts
            .iter()
            .filter_map(|t| t.answers.first().map(|(at, _)| ((t.call, t.number), *at)))
            .collect();
        for run in &self.log.executions {
            let Some(at) = answered.get(&(run.call, run.number)) else {
                continue;
            };
            if run.received_at > at + self.slack {
                let (call, n, late) = (run.call, run.number, run.received_at - at);
                let what =
                    format!("call {call} try {n} went to a worker {late} us after its answer");
                self.add_violation(1, run.received_at, what);
            }
        }
    }

    /// Rule 2. An execution that reached a worker may have run unless the worker had answered that it did not.
    fn effects(&mut self) {
        let not_run = |run: &Execution, by: Micros| {
            let no = |e: &ExecutionStatus| {
                matches!(
                    e,
                    ExecutionStatus::Rejected
                        | ExecutionStatus::ColdMiss
                        | ExecutionStatus::Dropped
                )
            };
            run.answers
                .first()
                .is_some_and(|(at, ended)| *at <= by && no(ended))
        };
        let mut runs: BTreeMap<(u64, u32), Vec<&Execution>> = BTreeMap::new();
        self.log
            .executions
            .iter()
            .for_each(|run| runs.entry((run.call, run.number)).or_default().push(run));
        let pushed_back: BTreeMap<(u64, u32), Micros> = self
            .log
            .client_attempts
            .iter()
            .filter_map(|t| {
                t.answers
                    .first()
                    .filter(|(_, s)| *s == 503)
                    .map(|(at, _)| ((t.call, t.number), *at))
            })
            .collect();
        let mut broken = Vec::new();
        for (id, runs) in &runs {
            let Some(calls) = runs
                .first()
                .and_then(|run| self.workloads.get(run.workload.as_str()))
            else {
                continue;
            };
            let mut runs = runs.clone();
            runs.sort_by_key(|run| run.received_at);
            let name = format!("call {} try {} ({})", id.0, id.1, calls.effect);
            for (n, later) in runs.iter().enumerate() {
                let Some(earlier) = runs[..n]
                    .iter()
                    .find(|run| !not_run(run, later.received_at))
                else {
                    continue;
                };
                let allowed = match calls.effect.as_str() {
                    "restartable" => true,
                    "fingerprinted" => {
                        let in_group =
                            self.group(calls, earlier.worker) == self.group(calls, later.worker);
                        in_group
                            && later.received_at
                                < earlier.received_at + calls.repeat_window + self.slack
                    }
                    _ => false,
                };
                if !allowed {
                    let (from, to) = (earlier.worker, later.worker);
                    broken.push((
                        later.received_at,
                        format!("{name} went to worker {to} when it may have run at {from}"),
                    ));
                }
            }
            let harmless = calls.effect == "restartable"
                || (calls.effect == "fingerprinted" && calls.group == "all");
            if let Some(at) = pushed_back.get(id).filter(|_| !harmless) {
                if runs.iter().any(|run| !not_run(run, *at)) {
                    broken.push((*at, format!("{name} was pushed back when it may have run")));
                }
            }
        }
        broken
            .into_iter()
            .for_each(|(at, what)| self.add_violation(2, at, what));
    }
    fn group(&self, calls: &WorkloadTraffic, worker: usize) -> usize {
        match calls.group.as_str() {
            "zone" => self.scenario.zone_of(worker),
            "cell" => worker / self.scenario.settings.integer("fleet.cell-size").max(1),
            _ => 0,
        }
    }

    /// Rule 3: nothing new to a worker that the edge was told drains or is gone, but for a grace.
    fn drains(&mut self) {
        let grace = self.scenario.drain_grace() + self.slack;
        let mut told: BTreeMap<(&str, &str), Vec<(Micros, bool)>> = BTreeMap::new();
        for t in &self.log.endpoint_updates {
            told.entry((&t.edge, &t.worker))
                .or_default()
                .push((t.at, t.phase == Phase::Ready));
        }
        let sent = self
            .log
            .executions
            .iter()
            .map(|r| (r.received_at, r.worker, &r.edge, "a job"));
        let ordered = self
            .log
            .load_commands
            .iter()
            .map(|o| (o.received_at, o.worker, &o.edge, "an order to load"));
        let mut broken = Vec::new();
        for (came, worker, edge, what) in sent.chain(ordered) {
            let name = Scenario::worker_name(worker);
            let Some(words) = told.get(&(edge.as_str(), name.as_str())) else {
                continue;
            };
            // The last word that it was fit, and the first after it that it was not.
            let before = words.iter().take_while(|(at, _)| *at <= came);
            let fit = before
                .clone()
                .filter(|(_, ready)| *ready)
                .map(|(at, _)| *at)
                .last()
                .unwrap_or(Micros::MIN);
            let unfit = before
                .filter(|(at, ready)| !*ready && *at > fit)
                .map(|(at, _)| *at)
                .next();
            if let Some(at) = unfit.filter(|at| came > at + grace) {
                let late = came - at;
                broken.push((
                    came,
                    format!("{edge} sent {what} to {name} {late} us after word that it drains or is gone"),
                ));
            }
        }
        broken
            .into_iter()
            .for_each(|(at, what)| self.add_violation(3, at, what));
    }

    /// Rule 4: what reached a cold worker from all edges, against what it bears.
    fn cold(&mut self) {
        let l = &self.scenario.settings;
        let (cold, from) = (l.duration_us("rules.cold-us"), l.number("rules.cold-from"));
        let (multiple, fall) = (
            l.number("rules.fall-multiple"),
            l.duration_us("rules.fall-us"),
        );
        let mut broken = Vec::new();
        for (worker, started) in &self.log.worker_starts {
            let spec = self.scenario.worker(*worker, "", "", "");
            let capacity = spec.size();
            let mut came: Vec<(Micros, f64)> = self
                .log
                .executions
                .iter()
                .filter(|r| {
                    r.worker == *worker && (*started..started + cold).contains(&r.received_at)
                })
                .filter_map(|r| {
                    self.workloads
                        .get(r.workload.as_str())
                        .map(|c| (r.received_at, c.mean_work as f64))
                })
                .collect();
            came.sort_by_key(|(at, _)| *at);
            let mut first = 0;
            let mut sum = 0.0;
            for (at, work) in &came {
                sum += work;
                while came[first].0 <= at - fall {
                    sum -= came[first].1;
                    first += 1;
                }
                let part = from + (1.0 - from) * (at - started) as f64 / cold.max(1) as f64;
                let bears = multiple * part * capacity * fall as f64;
                if sum > bears {
                    broken.push((
                        *at,
                        format!("worker {worker} got {sum:.0} us of work while cold; it bears {bears:.0}"),
                    ));
                    break;
                }
            }
        }
        broken
            .into_iter()
            .for_each(|(at, what)| self.add_violation(4, at, what));
    }

    /// No call is taken under a key that was revoked, once every edge has had time to hear of it.
    fn revoked_keys(&mut self) {
        let mut broken = Vec::new();
        for t in &self.log.client_attempts {
            let since = t.key.as_ref().and_then(|key| self.log.revoked.get(key));
            let taken = t
                .answers
                .first()
                .is_none_or(|(_, status)| !matches!(status, 401 | 403 | 503));
            if let Some(since) = since.filter(|since| t.sent_at > **since && taken) {
                let late = t.sent_at - since;
                broken.push((
                    t.sent_at,
                    format!(
                        "call {} was taken under a revoked key, {late} us late",
                        t.call
                    ),
                ));
            }
        }
        broken
            .into_iter()
            .for_each(|(at, what)| self.add_violation(0, at, what));
    }

    /// Rule 5: orders to load against jobs taken, by edge. One that was killed knows nothing of what it ordered before,
    /// and begins anew.
    fn ration(&mut self) {
        let l = &self.scenario.settings;
        let window = l.duration_us("copies.load-window-us");
        if window == 0 {
            return;
        }
        let (free, share) = (l.number("copies.load-free"), l.number("copies.load-share"));
        let edges: BTreeSet<&str> = self
            .log
            .load_commands
            .iter()
            .map(|o| o.edge.as_str())
            .collect();
        let mut broken = Vec::new();
        for edge in edges {
            let mut orders: Vec<Micros> = self
                .log
                .load_commands
                .iter()
                .filter(|o| o.edge == edge)
                .map(|o| o.received_at)
                .collect();
            let mut taken: Vec<Micros> = self
                .log
                .client_attempts
                .iter()
                .filter(|t| t.edge == edge)
                .map(|t| t.sent_at)
                .collect();
            let starts: Vec<Micros> = self
                .log
                .edge_downtime
                .iter()
                .filter(|(down, ..)| down == edge)
                .filter_map(|(.., until)| *until)
                .collect();
            orders.sort_unstable();
            taken.sort_unstable();
            for (n, at) in orders.iter().enumerate() {
                // Both are seen at the far ends, so each window is drawn in the edge's favour by the way there.
                let begun = starts.iter().filter(|start| *start <= at).max();
                let since =
                    (at - window + self.slack).max(begun.map_or(Micros::MIN, |start| start - 1));
                let ordered = n + 1 - orders.partition_point(|o| *o <= since);
                let jobs = taken.partition_point(|t| t <= at)
                    - taken.partition_point(|t| *t <= at - window - self.slack);
                let allowed = free + share * jobs as f64;
                if ordered as f64 > allowed {
                    broken.push((
                        *at,
                        format!("{edge} gave {ordered} orders to load in a window that allows {allowed:.1}"),
                    ));
                }
            }
        }
        broken
            .into_iter()
            .for_each(|(at, what)| self.add_violation(5, at, what));
    }
}
