//! What hollow hosts do for their modules: decisions carried out, and what comes back.

use super::*;
use sanddrum_upstream::WorkerLoad;

impl Fleet {
    pub(super) fn router_turn(&mut self, router: usize) {
        for _ in 0..ROUNDS_A_TURN {
            let host = &mut self.hosts[router];
            let due = host.wake.is_some_and(|at| at <= self.now);
            if !due && !host.has_news() {
                break;
            }
            let mut round = std::mem::take(&mut host.round);
            if due {
                (round.timer, host.wake) = (true, None);
            }
            let mut written = Written::default();
            let began = Clock::now();
            host.module.handle(self.now, &round, &mut written);
            let took = self.clock.passed(began);
            host.counts.nanoseconds += took;
            if round.requests.is_empty() && round.attempt_results.is_empty() {
                host.counts.control_nanoseconds += took;
            }
            host.counts.rounds += 1;
            if let Some(rounds) = self.rounds.as_mut().filter(|_| router == 0) {
                rounds.push((self.now, round));
            }
            for decision in written.0 {
                if let Some(log) = &mut self.log {
                    log.push((self.now, router, decision.clone()));
                }
                self.carry_out(router, decision);
            }
        }
        self.connect(router);
        self.flush(router);
        let host = &mut self.hosts[router];
        let news = (host.has_news() || !host.news.is_empty()).then_some(self.now);
        let again = news
            .into_iter()
            .chain(host.wake)
            .chain(host.connect_wake)
            .min();
        let again = again.map(|at| at.max(self.now + 1));
        if let Some(at) = again.filter(|at| host.turn_at.is_none_or(|set| *at < set)) {
            host.turn_at = Some(at);
            self.post(at, Event::Turn(router));
        }
    }

    pub(super) fn carry_out(&mut self, router: usize, decision: Decision) {
        let now = self.now;
        let host = &mut self.hosts[router];
        match decision {
            Decision::Execute {
                job: id,
                worker,
                limit,
            } => {
                let execution = host.next_execution();
                let Some(job) = host.jobs.get_mut(&id) else {
                    return;
                };
                let (number, limit) = (job.executions.len(), limit.min(job.due - now).max(0));
                job.executions.push(execution);
                job.out += 1;
                let (function, work, closed) = (job.function, job.work, job.closed);
                host.counts.executions += 1;
                let message = Message::Execute {
                    id: execution,
                    function,
                    work,
                    limit,
                };
                let due = now + limit;
                let sent = match closed {
                    true => Err(Outcome::CancelledBeforeStart),
                    false => self.send(router, worker, Mark::Execution(execution), message, due),
                };
                let (link, late) = match sent {
                    Ok(link) => (
                        link,
                        self.post(
                            due,
                            Event::ExecutionLate {
                                router,
                                id: execution,
                            },
                        ),
                    ),
                    Err(_) => (WorkerConnectionId(u64::MAX), (0, 0)),
                };
                let out = Out {
                    job: id,
                    number,
                    worker,
                    sent: now,
                    late,
                    link,
                };
                self.hosts[router].executions.insert(execution, out);
                if let Err(end) = sent {
                    self.end_execution(router, execution, end);
                }
            }
            Decision::Cancel { job, execution } => {
                let Some(job) = host.jobs.get(&job) else {
                    return;
                };
                let Some(id) = job.executions.get(execution).copied() else {
                    return;
                };
                let Some(link) = host.executions.get(&id).map(|out| out.link) else {
                    return;
                };
                if self.take_back(router, id) {
                    return self.end_execution(router, id, Outcome::CancelledBeforeStart);
                }
                self.count_control(router, 1, self.bytes.cancel);
                self.hosts[router].counts.cancels += 1;
                self.tell(router, link, Message::Cancel { id });
                self.end_execution(router, id, Outcome::Cancelled);
            }
            Decision::PushBack { job, .. } => {
                host.counts.pushed_back += 1;
                self.give_up(router, job);
            }
            Decision::Kill { job } => {
                host.counts.killed += 1;
                self.give_up(router, job);
            }
            Decision::Hold {
                worker,
                function,
                copies,
            } => {
                let id = host.next_asked();
                let counted = if copies > 0 {
                    &mut host.counts.orders
                } else {
                    &mut host.counts.asks
                };
                *counted += 1;
                if copies > 0 {
                    host.ordered.insert(function, now);
                }
                let Some(n) = self.by_function.get(&function).copied() else {
                    return;
                };
                self.count_control(router, 2, self.bytes.hold);
                let due = now + self.model.order_time_out;
                let message = Message::Hold {
                    id,
                    function: n,
                    copies,
                };
                match self.send(router, worker, Mark::Order(id), message, due) {
                    Ok(link) => {
                        let late = self.post(due, Event::OrderLate { router, id });
                        let asked = Asked {
                            worker,
                            function,
                            sent: now,
                            late,
                            link,
                        };
                        self.hosts[router].orders.insert(id, asked);
                    }
                    Err(end) => {
                        let end = LoadResult {
                            worker,
                            function,
                            outcome: end,
                            latency: 0,
                            instances: 0,
                        };
                        self.hosts[router].round.load_results.push(end);
                    }
                }
            }
            Decision::Unload { worker, function } => {
                host.counts.unloads += 1;
                let Some(function) = self.by_function.get(&function).copied() else {
                    return;
                };
                self.count_control(router, 1, self.bytes.unload);
                let due = now + self.model.order_time_out;
                // Nothing is owed for it: where it can't be sent the copies lapse by themselves.
                let _ = self.send(
                    router,
                    worker,
                    Mark::Other,
                    Message::Unload { function },
                    due,
                );
            }
            Decision::Probe { worker } => {
                let id = host.next_asked();
                host.counts.probes += 1;
                self.count_control(router, 2, self.bytes.probe);
                let due = now + self.model.probe_time_out;
                match self.send(router, worker, Mark::Probe(id), Message::Probe { id }, due) {
                    Ok(link) => {
                        let late = self.post(due, Event::ProbeLate { router, id });
                        let function = FunctionId::default();
                        let asked = Asked {
                            worker,
                            function,
                            sent: now,
                            late,
                            link,
                        };
                        self.hosts[router].probes.insert(id, asked);
                    }
                    Err(end) => {
                        let end = HealthCheckResult {
                            worker,
                            outcome: end,
                            latency: 0,
                            report: None,
                        };
                        self.hosts[router].round.health_check_results.push(end);
                    }
                }
            }
            Decision::WakeAt(at) => host.wake = Some(host.wake.map_or(at, |set| set.min(at))),
            // The list tells by itself.
            Decision::Subscribe => {}
        }
    }
    pub(super) fn count_control(&mut self, router: usize, messages: u64, bytes: u64) {
        let counts = &mut self.hosts[router].counts;
        (counts.messages, counts.bytes) = (counts.messages + messages, counts.bytes + bytes);
    }

    pub(super) fn end_execution(&mut self, router: usize, id: u64, end: Outcome) {
        if let Some(out) =
            self.hosts[router].execution_ended(self.now, id, end, Warmth::Unknown, None, None)
        {
            self.queue.remove(&out.late);
            self.release(router, out.link, Mark::Execution(id));
        }
        self.touched_routers.insert(router);
    }
    pub(super) fn end_order(&mut self, router: usize, id: u64, end: Outcome, copies: u32) {
        if let Some(asked) = self.hosts[router].order_ended(self.now, id, end, copies) {
            self.queue.remove(&asked.late);
            self.release(router, asked.link, Mark::Order(id));
        }
        self.touched_routers.insert(router);
    }
    pub(super) fn end_probe(
        &mut self,
        router: usize,
        id: u64,
        end: Outcome,
        report: Option<WireLoadReport>,
    ) {
        let report = report.as_ref().map(report_of);
        if let Some(asked) = self.hosts[router].probe_ended(self.now, id, end, report) {
            self.queue.remove(&asked.late);
            self.release(router, asked.link, Mark::Probe(id));
        }
        self.touched_routers.insert(router);
    }
    pub(super) fn execution_late(&mut self, router: usize, id: u64) {
        let end = if self.take_back(router, id) {
            Outcome::NoConnection
        } else {
            Outcome::TimedOut
        };
        self.end_execution(router, id, end);
    }
    /// A final answer that is not *finished*.
    pub(super) fn give_up(&mut self, router: usize, id: RequestId) {
        let Some(job) = self.hosts[router].jobs.get(&id).filter(|job| !job.closed) else {
            return;
        };
        let (rare, came) = (self.functions.all[job.function].rare, job.came);
        let loads = self.waited_for_load(router, job, self.now);
        self.starts.call(came, rare, loads, None);
        self.recall(router, id);
    }
    /// A copy of the job's function was ordered while it was held here, before what is sent at this instant.
    pub(super) fn waited_for_load(&self, router: usize, job: &HostedJob, sent: Micros) -> bool {
        let function = self.functions.all[job.function].id;
        self.hosts[router]
            .ordered
            .get(&function)
            .is_some_and(|at| (job.came..sent).contains(at))
    }
    /// Closes a job; what still waits to be written for it is not sent any more.
    pub(super) fn recall(&mut self, router: usize, id: RequestId) {
        let all = self.hosts[router]
            .jobs
            .get(&id)
            .map(|job| job.executions.clone())
            .unwrap_or_default();
        self.hosts[router].close(id);
        for execution in all {
            if self.take_back(router, execution) {
                self.end_execution(router, execution, Outcome::CancelledBeforeStart);
            }
        }
    }

    pub(super) fn answer(&mut self, router: usize, answer: Answer) {
        let now = self.now;
        match answer {
            Answer::Done {
                id,
                ended,
                copy,
                report,
                worker,
            } => {
                let host = &self.hosts[router];
                let Some(out) = host.executions.get(&id).copied() else {
                    return;
                };
                let (end, warmth) = (end_of(ended), warmth_of(copy));
                let open = host.jobs.get(&out.job).filter(|job| !job.closed);
                if let (Outcome::Finished, Some(job)) = (end, open) {
                    let (rare, came, work) =
                        (self.functions.all[job.function].rare, job.came, job.work);
                    let loads = matches!(warmth, Warmth::StartedLoad | Warmth::WaitedForLoad)
                        || self.waited_for_load(router, job, out.sent);
                    let way = self.way(self.hosts[router].zone, self.workers[worker].zone);
                    self.starts
                        .call(came, rare, loads, Some(now - way - work as Micros - came));
                    self.hosts[router].counts.finished += 1;
                    self.recall(router, out.job);
                }
                let report = Some(report_of(&report));
                let ended = self.hosts[router].execution_ended(now, id, end, warmth, None, report);
                if let Some(out) = ended {
                    self.queue.remove(&out.late);
                    self.release(router, out.link, Mark::Execution(id));
                }
                self.reported(router, worker, report.as_ref());
                self.touched_routers.insert(router);
            }
            Answer::Held { id, ended, copies } => {
                self.end_order(router, id, order_end_of(ended), copies);
            }
            Answer::Probed { id, report, worker } => {
                self.reported(router, worker, Some(&report_of(&report)));
                self.end_probe(router, id, Outcome::Finished, Some(report));
            }
        }
    }
    /// What a worker told of itself, for the connection module.
    fn reported(&mut self, router: usize, worker: usize, report: Option<&LoadReport>) {
        let told = report.and_then(|report| Some(report.in_flight? + report.queued?));
        let id = self.workers[worker].id;
        self.hosts[router]
            .news
            .load_reports
            .extend(told.map(|requests| WorkerLoad {
                worker: id,
                requests,
            }));
    }
}
