//! The hosts of the decision modules: they carry out decisions and report the results.

use super::*;
use sanddrum_upstream::WorkerLoad;

impl Fleet {
    pub(super) fn process_router(&mut self, router: usize) {
        for _ in 0..MAX_ROUNDS_PER_TURN {
            let host = &mut self.hosts[router];
            let due = host.wake.is_some_and(|at| at <= self.now);
            if !due && !host.has_events() {
                break;
            }
            let mut round = std::mem::take(&mut host.round);
            if due {
                (round.timer, host.wake) = (true, None);
            }
            let mut decisions = RecordedDecisions::default();
            let start = ThreadCpuClock::now();
            host.module.handle(self.now, &round, &mut decisions);
            let elapsed = self.clock.elapsed_since(start);
            host.counts.nanoseconds += elapsed;
            if round.requests.is_empty() && round.attempt_results.is_empty() {
                host.counts.control_nanoseconds += elapsed;
            }
            host.counts.rounds += 1;
            if let Some(rounds) = self.rounds.as_mut().filter(|_| router == 0) {
                rounds.push((self.now, round));
            }
            for decision in decisions.0 {
                if let Some(log) = &mut self.log {
                    log.push((self.now, router, decision.clone()));
                }
                self.execute_decision(router, decision);
            }
        }
        self.run_connection_policy(router);
        self.flush(router);
        let host = &mut self.hosts[router];
        let ready_at =
            (host.has_events() || !host.connection_events.is_empty()).then_some(self.now);
        let next_turn = ready_at
            .into_iter()
            .chain(host.wake)
            .chain(host.connection_wake)
            .min();
        let next_turn = next_turn.map(|at| at.max(self.now + 1));
        if let Some(at) = next_turn.filter(|at| host.scheduled_wakeup.is_none_or(|set| *at < set)) {
            host.scheduled_wakeup = Some(at);
            self.schedule(at, Event::RouterWakeup(router));
        }
    }

    pub(super) fn execute_decision(&mut self, router: usize, decision: Decision) {
        let now = self.now;
        let host = &mut self.hosts[router];
        match decision {
            Decision::Execute {
                job: id,
                worker,
                limits,
            } => {
                let attempt_id = host.next_attempt_id();
                let Some(request) = host.requests.get_mut(&id) else {
                    return;
                };
                let (index, limit) = (
                    request.attempts.len(),
                    limits.time_limit.min(request.deadline - now).max(0),
                );
                request.attempts.push(attempt_id);
                request.in_flight += 1;
                let (function, work, closed) = (request.function, request.work, request.closed);
                host.counts.attempts += 1;
                let message = Message::Execute {
                    id: attempt_id,
                    function,
                    work,
                    limit,
                };
                let due = now + limit;
                let sent = match closed {
                    true => Err(Outcome::CancelledBeforeStart),
                    false => self.send(
                        router,
                        worker,
                        MessageTag::Attempt(attempt_id),
                        message,
                        due,
                    ),
                };
                let (connection, timeout) = match sent {
                    Ok(connection) => (
                        connection,
                        self.schedule(
                            due,
                            Event::AttemptTimeout {
                                router,
                                id: attempt_id,
                            },
                        ),
                    ),
                    Err(_) => (WorkerConnectionId(u64::MAX), (0, 0)),
                };
                let attempt = Attempt {
                    request: id,
                    index,
                    worker,
                    sent: now,
                    timeout,
                    connection,
                };
                self.hosts[router].attempts.insert(attempt_id, attempt);
                if let Err(outcome) = sent {
                    self.end_attempt(router, attempt_id, outcome);
                }
            }
            Decision::Cancel {
                job: request,
                execution: index,
            } => {
                let Some(request) = host.requests.get(&request) else {
                    return;
                };
                let Some(id) = request.attempts.get(index).copied() else {
                    return;
                };
                let Some(connection) = host.attempts.get(&id).map(|attempt| attempt.connection)
                else {
                    return;
                };
                if self.unsend(router, id) {
                    return self.end_attempt(router, id, Outcome::CancelledBeforeStart);
                }
                self.count_control(router, 1, self.message_sizes.cancel);
                self.hosts[router].counts.cancels += 1;
                self.send_unanswered(router, connection, Message::Cancel { id });
                self.end_attempt(router, id, Outcome::Cancelled);
            }
            Decision::PushBack { job, .. } => {
                host.counts.rejected += 1;
                self.end_unfinished_request(router, job);
            }
            Decision::Kill { job } => {
                host.counts.failed += 1;
                self.end_unfinished_request(router, job);
            }
            Decision::Hold {
                worker,
                function,
                copies: instances,
                send_deadline: _,
            } => {
                let id = host.next_control_id();
                let counter = if instances > 0 {
                    &mut host.counts.load_commands
                } else {
                    &mut host.counts.load_queries
                };
                *counter += 1;
                if instances > 0 {
                    host.last_load_sent.insert(function, now);
                }
                let Some(n) = self.by_function.get(&function).copied() else {
                    return;
                };
                self.count_control(router, 2, self.message_sizes.load);
                let due = now + self.model.load_timeout;
                let message = Message::Load {
                    id,
                    function: n,
                    instances,
                };
                match self.send(router, worker, MessageTag::Load(id), message, due) {
                    Ok(connection) => {
                        let timeout = self.schedule(due, Event::LoadTimeout { router, id });
                        let pending = PendingControl {
                            worker,
                            function,
                            sent: now,
                            timeout,
                            connection,
                        };
                        self.hosts[router].load_commands.insert(id, pending);
                    }
                    Err(outcome) => {
                        let result = LoadResult {
                            worker,
                            function,
                            outcome,
                            latency: 0,
                            instances: 0,
                        };
                        self.hosts[router].round.load_results.push(result);
                    }
                }
            }
            Decision::Unload { worker, function } => {
                host.counts.unloads += 1;
                let Some(function) = self.by_function.get(&function).copied() else {
                    return;
                };
                self.count_control(router, 1, self.message_sizes.unload);
                let due = now + self.model.load_timeout;
                // Unload commands have no result. If this one can't be sent, the instances expire after their
                // keep-alive.
                let _ = self.send(
                    router,
                    worker,
                    MessageTag::Unanswered,
                    Message::Unload { function },
                    due,
                );
            }
            Decision::Probe { worker } => {
                let id = host.next_control_id();
                host.counts.health_checks += 1;
                self.count_control(router, 2, self.message_sizes.health_check);
                let due = now + self.model.health_check_timeout;
                match self.send(
                    router,
                    worker,
                    MessageTag::HealthCheck(id),
                    Message::HealthCheck { id },
                    due,
                ) {
                    Ok(connection) => {
                        let timeout = self.schedule(due, Event::HealthCheckTimeout { router, id });
                        let function = FunctionId::default();
                        let pending = PendingControl {
                            worker,
                            function,
                            sent: now,
                            timeout,
                            connection,
                        };
                        self.hosts[router].health_checks.insert(id, pending);
                    }
                    Err(outcome) => {
                        let result = HealthCheckResult {
                            worker,
                            outcome,
                            latency: 0,
                            report: None,
                        };
                        self.hosts[router].round.health_check_results.push(result);
                    }
                }
            }
            Decision::WakeAt(at) => host.wake = Some(host.wake.map_or(at, |set| set.min(at))),
            // Endpoint lists are delivered without a subscription.
            Decision::Subscribe => {}
        }
    }
    pub(super) fn count_control(&mut self, router: usize, messages: u64, bytes: u64) {
        let counts = &mut self.hosts[router].counts;
        (counts.messages, counts.bytes) = (counts.messages + messages, counts.bytes + bytes);
    }

    pub(super) fn end_attempt(&mut self, router: usize, id: u64, outcome: Outcome) {
        if let Some(attempt) =
            self.hosts[router].attempt_ended(self.now, id, outcome, Warmth::Unknown, None, None)
        {
            self.queue.remove(&attempt.timeout);
            self.release(router, attempt.connection, MessageTag::Attempt(id));
        }
        self.routers_to_process.insert(router);
    }
    pub(super) fn end_load(&mut self, router: usize, id: u64, outcome: Outcome, instances: u32) {
        if let Some(pending) = self.hosts[router].load_ended(self.now, id, outcome, instances) {
            self.queue.remove(&pending.timeout);
            self.release(router, pending.connection, MessageTag::Load(id));
        }
        self.routers_to_process.insert(router);
    }
    pub(super) fn end_health_check(
        &mut self,
        router: usize,
        id: u64,
        outcome: Outcome,
        report: Option<WireLoadReport>,
    ) {
        let report = report.as_ref().map(report_from_wire);
        if let Some(pending) = self.hosts[router].health_check_ended(self.now, id, outcome, report)
        {
            self.queue.remove(&pending.timeout);
            self.release(router, pending.connection, MessageTag::HealthCheck(id));
        }
        self.routers_to_process.insert(router);
    }
    pub(super) fn attempt_timed_out(&mut self, router: usize, id: u64) {
        let outcome = if self.unsend(router, id) {
            Outcome::NoConnection
        } else {
            Outcome::TimedOut
        };
        self.end_attempt(router, id, outcome);
    }
    /// Ends a request that got a final answer other than *finished*.
    pub(super) fn end_unfinished_request(&mut self, router: usize, id: RequestId) {
        let Some(request) = self.hosts[router]
            .requests
            .get(&id)
            .filter(|request| !request.closed)
        else {
            return;
        };
        let (rare, arrived) = (self.functions.all[request.function].rare, request.arrived);
        let loads = self.waited_for_load(router, request, self.now);
        self.starts.record(arrived, rare, loads, None);
        self.close_request(router, id);
    }
    /// Whether a load command for the request's function was sent between the request's arrival and `until`.
    pub(super) fn waited_for_load(
        &self,
        router: usize,
        request: &HostedRequest,
        until: Micros,
    ) -> bool {
        let function = self.functions.all[request.function].id;
        self.hosts[router]
            .last_load_sent
            .get(&function)
            .is_some_and(|at| (request.arrived..until).contains(at))
    }
    /// Closes a request and withdraws its unsent attempts.
    pub(super) fn close_request(&mut self, router: usize, id: RequestId) {
        let all = self.hosts[router]
            .requests
            .get(&id)
            .map(|request| request.attempts.clone())
            .unwrap_or_default();
        self.hosts[router].close(id);
        for attempt_id in all {
            if self.unsend(router, attempt_id) {
                self.end_attempt(router, attempt_id, Outcome::CancelledBeforeStart);
            }
        }
    }

    pub(super) fn handle_answer(&mut self, router: usize, answer: Answer) {
        let now = self.now;
        match answer {
            Answer::ExecutionDone {
                id,
                status,
                instance,
                report,
                worker,
            } => {
                let host = &self.hosts[router];
                let Some(attempt) = host.attempts.get(&id).copied() else {
                    return;
                };
                let (outcome, warmth) = (execution_outcome(status), warmth_from_wire(instance));
                let open = host
                    .requests
                    .get(&attempt.request)
                    .filter(|request| !request.closed);
                if let (Outcome::Finished, Some(request)) = (outcome, open) {
                    let (rare, arrived, work) = (
                        self.functions.all[request.function].rare,
                        request.arrived,
                        request.work,
                    );
                    let loads = matches!(warmth, Warmth::StartedLoad | Warmth::WaitedForLoad)
                        || self.waited_for_load(router, request, attempt.sent);
                    let latency =
                        self.latency_between(self.hosts[router].zone, self.workers[worker].zone);
                    self.starts.record(
                        arrived,
                        rare,
                        loads,
                        Some(now - latency - work as Micros - arrived),
                    );
                    self.hosts[router].counts.finished += 1;
                    self.close_request(router, attempt.request);
                }
                let report = Some(report_from_wire(&report));
                let ended =
                    self.hosts[router].attempt_ended(now, id, outcome, warmth, None, report);
                if let Some(attempt) = ended {
                    self.queue.remove(&attempt.timeout);
                    self.release(router, attempt.connection, MessageTag::Attempt(id));
                }
                self.report_to_connection_policy(router, worker, report.as_ref());
                self.routers_to_process.insert(router);
            }
            Answer::LoadDone {
                id,
                status,
                instances,
            } => {
                self.end_load(router, id, load_outcome(status), instances);
            }
            Answer::HealthChecked { id, report, worker } => {
                self.report_to_connection_policy(router, worker, Some(&report_from_wire(&report)));
                self.end_health_check(router, id, Outcome::Finished, Some(report));
            }
        }
    }
    /// Passes the number of requests in a worker's load report to the connection policy.
    fn report_to_connection_policy(
        &mut self,
        router: usize,
        worker: usize,
        report: Option<&LoadReport>,
    ) {
        let in_progress = report.and_then(|report| Some(report.in_flight? + report.queued?));
        let id = self.workers[worker].id;
        self.hosts[router]
            .connection_events
            .load_reports
            .extend(in_progress.map(|requests| WorkerLoad {
                worker: id,
                requests,
            }));
    }
}
