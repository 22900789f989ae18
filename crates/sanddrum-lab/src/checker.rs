//! Checks the five rules, and that no request is lost, from recorded traffic alone.

use crate::recorder::{ClientAttempt, Execution, Log};
use crate::scenario::{Scenario, WorkloadTraffic};
use crate::scheduling_delay::{SchedulingDelays, RUNNER};
use hdrhistogram::Histogram;
use sanddrum_net::Micros;
use sanddrum_wire::{ExecutionStatus, Phase};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// 1 to 5 as the users number the rules; 0 for a violation of none of them, such as a call under a revoked key.
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

/// The result of a check: the counts of client attempts by their outcome, the violations and the service level.
pub struct Verdict {
    pub accepted: u64,
    pub finished: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Attempts in flight at an edge that was killed or paused; their clients may retry.
    pub lost_with_edge: u64,
    /// Calls that reached no edge.
    pub unreached: u64,
    pub violations: Vec<Violation>,
    /// The importance of the calls that were answered within their start target, as a fraction of that of all calls.
    pub service: f64,
    pub latency: Histogram<u64>,
    /// For each customer: the number of calls, and of those answered in time.
    pub customers: BTreeMap<String, (u64, u64)>,
    /// For each second: the number of calls started, and of those answered in time.
    pub seconds: Vec<(u32, u32)>,
}

/// The most violations that a verdict lists; later ones are dropped.
const MAX_VIOLATIONS: usize = 100;

struct Checker<'a> {
    log: &'a Log,
    scenario: &'a Scenario,
    workloads: BTreeMap<&'a str, &'a WorkloadTraffic>,
    /// The longest time that a message may be in transit, for comparing times at its two ends.
    slack: Micros,
    violations: Vec<Violation>,
}

/// Checks a log that began at `start`; `slack` is the longest time that a message may be in transit.
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
    checker.executions_after_answer();
    checker.duplicate_executions();
    checker.use_after_drain();
    checker.cold_worker_load();
    checker.load_command_rate();
    checker.revoked_keys();
    checker.violations.sort_by_key(|b| (b.at, b.rule));
    checker.violations.iter_mut().for_each(|b| b.at -= start);
    checker.violations.truncate(MAX_VIOLATIONS);
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
    /// Whether the edge was down or paused at any time between `from` and `to`.
    fn was_down(&self, edge: &str, from: Micros, to: Micros) -> bool {
        let all = self.log.edge_downtime.iter().chain(&self.log.edge_pauses);
        let mut outages = all.filter(|(name, ..)| name == edge);
        outages.any(|(_, down, up)| {
            *down <= to + self.slack && up.is_none_or(|up| up >= from - self.slack)
        })
    }

    /// Whether the edges are processes whose scheduling delays were recorded.
    fn has_scheduling_delays(&self) -> bool {
        !self.log.scheduling_delays.is_empty()
    }
    /// How late an answer may be without a violation. If scheduling delays were recorded, this is the delay of the link
    /// plus the time that the edge and the lab's process waited for a processor, both while the request was read and
    /// from shortly before its time limit until the answer arrived.
    fn allowed_delay(&self, attempt: &ClientAttempt, received_at: Micros) -> Micros {
        if !self.has_scheduling_delays() {
            return self.slack;
        }
        let of = |name: &str, from, to| {
            self.log
                .scheduling_delays
                .get(name)
                .map_or(0, |w: &SchedulingDelays| w.between(from, to))
        };
        // The lab's event loop handles a request once on its way to the edge, and its answer twice: from the edge, and
        // to the client.
        let waited = |passes, from, to| passes * of(RUNNER, from, to) + of(&attempt.edge, from, to);
        let ahead = self.scenario.settings.duration_us("limits.answer-ahead-us");
        let reading = waited(1, attempt.sent_at, attempt.sent_at + ahead);
        let reading = waited(1, attempt.sent_at, attempt.sent_at + reading.max(ahead));
        self.slack - self.log.max_scheduling_delay
            + reading
            + waited(2, attempt.sent_at + attempt.time_limit - ahead, received_at)
    }
    /// Rule 1 (each request gets exactly one answer, in time), and the counts of the verdict.
    fn answers(&mut self, start: Micros) -> Verdict {
        let latency = Histogram::new_with_max(60_000_000, 3);
        let mut latency = latency.unwrap_or_else(|_| {
            unreachable!("one minute with three digits is a valid histogram range")
        });
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
        let mut other = 0;
        for attempt in &self.log.client_attempts {
            verdict.accepted += 1;
            let name = format!(
                "call {} try {} at {}",
                attempt.call, attempt.number, attempt.edge
            );
            if attempt.answers.len() > 1 {
                self.add_violation(
                    1,
                    attempt.answers[1].0,
                    format!("{name} got {} answers", attempt.answers.len()),
                );
            }
            // A client that keeps waiting also receives an answer that a paused edge sends too late; such an answer
            // doesn't count.
            let late = |at: Micros| {
                at > attempt.sent_at + attempt.time_limit + self.allowed_delay(attempt, at)
            };
            let was_paused = |at| {
                self.has_scheduling_delays()
                    && late(at)
                    && self.was_down(
                        &attempt.edge,
                        attempt.sent_at,
                        attempt.sent_at + attempt.time_limit,
                    )
            };
            match attempt.answers.first() {
                Some((at, _)) if was_paused(*at) => verdict.lost_with_edge += 1,
                Some((at, status)) => {
                    match status {
                        200 => verdict.finished += 1,
                        // Rejected, also by authorization: it has not run, and the client knows that.
                        401 | 403 | 503 => verdict.rejected += 1,
                        502 | 504 => verdict.failed += 1,
                        _ => other += 1,
                    }
                    if late(*at) {
                        let (late, allowed_delay) = (
                            at - attempt.sent_at - attempt.time_limit,
                            self.allowed_delay(attempt, *at),
                        );
                        let what = format!(
                            "{name} was answered {late} us after its time limit; allowed delay {allowed_delay} us"
                        );
                        self.add_violation(1, *at, what);
                    }
                }
                None if self.was_down(
                    &attempt.edge,
                    attempt.sent_at,
                    attempt
                        .closed_at
                        .unwrap_or(attempt.sent_at + attempt.time_limit),
                ) =>
                {
                    verdict.lost_with_edge += 1
                }
                // The client left so early that scheduling delays alone may have kept the edge from answering, so the
                // attempt doesn't count as accepted.
                None if attempt.time_limit < self.log.max_scheduling_delay => verdict.accepted -= 1,
                None => {
                    let at = attempt
                        .closed_at
                        .unwrap_or(attempt.sent_at + attempt.time_limit);
                    self.add_violation(
                        1,
                        at,
                        format!(
                            "{name} got no answer in the {} us that its client waited",
                            at - attempt.sent_at
                        ),
                    );
                }
            }
        }
        verdict.accepted -= other;
        self.service(start, &mut verdict);
        verdict
    }

    /// A call is served if one of its attempts finished within the start target, counted from the start of the call.
    fn service(&self, start: Micros, verdict: &mut Verdict) {
        let mut calls: BTreeMap<u64, Vec<&ClientAttempt>> = BTreeMap::new();
        self.log
            .client_attempts
            .iter()
            .for_each(|attempt| calls.entry(attempt.call).or_default().push(attempt));
        let (mut total, mut served) = (0.0, 0.0);
        for attempts in calls.values() {
            let Some(first) = attempts.first() else {
                continue;
            };
            let Some(traffic) = self.workloads.get(first.workload.as_str()) else {
                continue;
            };
            total += traffic.importance;
            let finished = attempts
                .iter()
                .flat_map(|attempt| &attempt.answers)
                .find(|(_, status)| *status == 200);
            let latency = finished.map(|(at, _)| at - first.call_started_at);
            let in_time = latency.is_some_and(|l| l <= traffic.start_target);
            if in_time {
                served += traffic.importance;
            }
            if let Some(l) = latency {
                // An auto-resizing histogram accepts any value.
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
        // Calls are numbered consecutively, so a missing number is a call that never reached an edge.
        let numbered = calls.last_key_value().map_or(0, |(last, _)| last + 1);
        verdict.unreached = numbered - calls.len() as u64;
        total *= numbered as f64 / calls.len().max(1) as f64;
        verdict.service = if total > 0.0 { served / total } else { 1.0 };
    }

    /// Rule 1: no execution is sent for a request that has its final answer.
    fn executions_after_answer(&mut self) {
        let answered: BTreeMap<(u64, u32), Micros> = self
            .log
            .client_attempts
            .iter()
            .filter_map(|attempt| {
                attempt
                    .answers
                    .first()
                    .map(|(at, _)| ((attempt.call, attempt.number), *at))
            })
            .collect();
        for execution in &self.log.executions {
            let Some(at) = answered.get(&(execution.call, execution.number)) else {
                continue;
            };
            if execution.received_at > at + self.slack {
                let (call, n, late) =
                    (execution.call, execution.number, execution.received_at - at);
                let what =
                    format!("call {call} try {n} was sent to a worker {late} us after its answer");
                self.add_violation(1, execution.received_at, what);
            }
        }
    }

    /// Rule 2: a request is executed again only if its effect allows that. An execution that reached a worker may have
    /// run, unless the worker had answered that it did not.
    fn duplicate_executions(&mut self) {
        let has_not_run = |execution: &Execution, by: Micros| {
            let no = |e: &ExecutionStatus| {
                matches!(
                    e,
                    ExecutionStatus::Rejected
                        | ExecutionStatus::ColdMiss
                        | ExecutionStatus::Dropped
                )
            };
            execution
                .answers
                .first()
                .is_some_and(|(at, ended)| *at <= by && no(ended))
        };
        let mut executions: BTreeMap<(u64, u32), Vec<&Execution>> = BTreeMap::new();
        self.log.executions.iter().for_each(|execution| {
            executions
                .entry((execution.call, execution.number))
                .or_default()
                .push(execution)
        });
        let rejected: BTreeMap<(u64, u32), Micros> = self
            .log
            .client_attempts
            .iter()
            .filter_map(|attempt| {
                attempt
                    .answers
                    .first()
                    .filter(|(_, s)| *s == 503)
                    .map(|(at, _)| ((attempt.call, attempt.number), *at))
            })
            .collect();
        let mut violations = Vec::new();
        for (id, executions) in &executions {
            let Some(traffic) = executions
                .first()
                .and_then(|execution| self.workloads.get(execution.workload.as_str()))
            else {
                continue;
            };
            let mut executions = executions.clone();
            executions.sort_by_key(|execution| execution.received_at);
            let name = format!("call {} try {} ({})", id.0, id.1, traffic.effect);
            for (n, later) in executions.iter().enumerate() {
                let Some(earlier) = executions[..n]
                    .iter()
                    .find(|execution| !has_not_run(execution, later.received_at))
                else {
                    continue;
                };
                let allowed = match traffic.effect.as_str() {
                    "restartable" => true,
                    "fingerprinted" => {
                        let in_group = self.group(traffic, earlier.worker)
                            == self.group(traffic, later.worker);
                        in_group
                            && later.received_at
                                < earlier.received_at + traffic.repeat_window + self.slack
                    }
                    _ => false,
                };
                if !allowed {
                    let (from, to) = (earlier.worker, later.worker);
                    violations.push((
                        later.received_at,
                        format!("{name} was sent to worker {to} although it may have run at worker {from}"),
                    ));
                }
            }
            let harmless = traffic.effect == "restartable"
                || (traffic.effect == "fingerprinted" && traffic.group == "all");
            if let Some(at) = rejected.get(id).filter(|_| !harmless) {
                if executions
                    .iter()
                    .any(|execution| !has_not_run(execution, *at))
                {
                    violations.push((*at, format!("{name} was rejected although it may have run")));
                }
            }
        }
        violations
            .into_iter()
            .for_each(|(at, what)| self.add_violation(2, at, what));
    }
    fn group(&self, traffic: &WorkloadTraffic, worker: usize) -> usize {
        match traffic.group.as_str() {
            "zone" => self.scenario.zone_of(worker),
            "cell" => worker / self.scenario.settings.integer("fleet.cell-size").max(1),
            _ => 0,
        }
    }

    /// Rule 3: an edge sends nothing new to a worker that it knows is draining or gone, after a grace period.
    fn use_after_drain(&mut self) {
        let grace = self.scenario.drain_grace() + self.slack;
        let mut updates_by_worker: BTreeMap<(&str, &str), Vec<(Micros, bool)>> = BTreeMap::new();
        for update in &self.log.endpoint_updates {
            updates_by_worker
                .entry((&update.edge, &update.worker))
                .or_default()
                .push((update.at, update.phase == Phase::Ready));
        }
        let sent = self
            .log
            .executions
            .iter()
            .map(|r| (r.received_at, r.worker, &r.edge, "a request"));
        let commands = self
            .log
            .load_commands
            .iter()
            .map(|o| (o.received_at, o.worker, &o.edge, "a load command"));
        let mut violations = Vec::new();
        for (received_at, worker, edge, what) in sent.chain(commands) {
            let name = Scenario::worker_name(worker);
            let Some(updates) = updates_by_worker.get(&(edge.as_str(), name.as_str())) else {
                continue;
            };
            // The last update that it was ready, and the first one after it that it was not.
            let before = updates.iter().take_while(|(at, _)| *at <= received_at);
            let ready_since = before
                .clone()
                .filter(|(_, ready)| *ready)
                .map(|(at, _)| *at)
                .last()
                .unwrap_or(Micros::MIN);
            let unavailable_since = before
                .filter(|(at, ready)| !*ready && *at > ready_since)
                .map(|(at, _)| *at)
                .next();
            if let Some(at) = unavailable_since.filter(|at| received_at > at + grace) {
                let late = received_at - at;
                violations.push((
                    received_at,
                    format!("{edge} sent {what} to {name} {late} us after the update that it is draining or gone"),
                ));
            }
        }
        violations
            .into_iter()
            .for_each(|(at, what)| self.add_violation(3, at, what));
    }

    /// Rule 4: the work that all edges together send to a cold worker stays below the load at which it collapses.
    fn cold_worker_load(&mut self) {
        let l = &self.scenario.settings;
        let (cold_time, from) = (l.duration_us("rules.cold-us"), l.number("rules.cold-from"));
        let (multiple, window) = (
            l.number("rules.fall-multiple"),
            l.duration_us("rules.fall-us"),
        );
        let mut violations = Vec::new();
        for (worker, started) in &self.log.worker_starts {
            let spec = self.scenario.worker(*worker, "", "", "");
            let capacity = spec.size();
            let mut arrivals: Vec<(Micros, f64)> = self
                .log
                .executions
                .iter()
                .filter(|r| {
                    r.worker == *worker && (*started..started + cold_time).contains(&r.received_at)
                })
                .filter_map(|r| {
                    self.workloads
                        .get(r.workload.as_str())
                        .map(|c| (r.received_at, c.mean_work as f64))
                })
                .collect();
            arrivals.sort_by_key(|(at, _)| *at);
            let mut first = 0;
            let mut sum = 0.0;
            for (at, work) in &arrivals {
                sum += work;
                while arrivals[first].0 <= at - window {
                    sum -= arrivals[first].1;
                    first += 1;
                }
                let capacity_fraction =
                    from + (1.0 - from) * (at - started) as f64 / cold_time.max(1) as f64;
                let max_work_in_window = multiple * capacity_fraction * capacity * window as f64;
                if sum > max_work_in_window {
                    violations.push((
                        *at,
                        format!("worker {worker} got {sum:.0} us of work while cold; the limit is {max_work_in_window:.0}"),
                    ));
                    break;
                }
            }
        }
        violations
            .into_iter()
            .for_each(|(at, what)| self.add_violation(4, at, what));
    }

    /// No call is accepted under a revoked key, once the revocation has had time to reach every edge.
    fn revoked_keys(&mut self) {
        let mut violations = Vec::new();
        for attempt in &self.log.client_attempts {
            let since = attempt
                .key
                .as_ref()
                .and_then(|key| self.log.revoked.get(key));
            let accepted = attempt
                .answers
                .first()
                .is_none_or(|(_, status)| !matches!(status, 401 | 403 | 503));
            if let Some(since) = since.filter(|since| attempt.sent_at > **since && accepted) {
                let late = attempt.sent_at - since;
                violations.push((
                    attempt.sent_at,
                    format!(
                        "call {} was accepted under a revoked key, {late} us after its revocation took effect",
                        attempt.call
                    ),
                ));
            }
        }
        violations
            .into_iter()
            .for_each(|(at, what)| self.add_violation(0, at, what));
    }

    /// Rule 5: the load commands of each edge stay within the allowance for the requests that it received. An edge that
    /// was killed doesn't remember its earlier load commands and starts from zero.
    fn load_command_rate(&mut self) {
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
        let mut violations = Vec::new();
        for edge in edges {
            let mut commands: Vec<Micros> = self
                .log
                .load_commands
                .iter()
                .filter(|o| o.edge == edge)
                .map(|o| o.received_at)
                .collect();
            let mut attempts: Vec<Micros> = self
                .log
                .client_attempts
                .iter()
                .filter(|attempt| attempt.edge == edge)
                .map(|attempt| attempt.sent_at)
                .collect();
            let starts: Vec<Micros> = self
                .log
                .edge_downtime
                .iter()
                .filter(|(down, ..)| down == edge)
                .filter_map(|(.., until)| *until)
                .collect();
            commands.sort_unstable();
            attempts.sort_unstable();
            for (n, at) in commands.iter().enumerate() {
                // Both are recorded at the remote ends, so each window is adjusted by the
                // transit time in the edge's favour.
                let last_start = starts.iter().filter(|start| *start <= at).max();
                let since = (at - window + self.slack)
                    .max(last_start.map_or(Micros::MIN, |start| start - 1));
                let commands_in_window = n + 1 - commands.partition_point(|o| *o <= since);
                let attempts_in_window = attempts.partition_point(|sent| sent <= at)
                    - attempts.partition_point(|sent| *sent <= at - window - self.slack);
                let allowed = free + share * attempts_in_window as f64;
                if commands_in_window as f64 > allowed {
                    violations.push((
                        *at,
                        format!("{edge} sent {commands_in_window} load commands in a window that allows {allowed:.1}"),
                    ));
                }
            }
        }
        violations
            .into_iter()
            .for_each(|(at, what)| self.add_violation(5, at, what));
    }
}
