//! What hollow hosts do for their modules: decisions carried out, and what comes back.

use super::*;

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
            host.module.round(self.now, &round, &mut written);
            let took = self.clock.passed(began);
            host.counts.nanoseconds += took;
            if round.jobs.is_empty() && round.ends.is_empty() {
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
        let host = &mut self.hosts[router];
        let again = if host.has_news() { Some(self.now) } else { host.wake };
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
            Decision::Execute { job: id, worker, limit } => {
                let execution = host.next_execution();
                let Some(job) = host.jobs.get_mut(&id) else { return };
                let (number, limit) = (job.executions.len(), limit.min(job.due - now).max(0));
                job.executions.push(execution);
                job.out += 1;
                let (function, work, closed) = (job.function, job.work, job.closed);
                host.counts.executions += 1;
                let none = (0, 0);
                let out = Out { job: id, number, worker, sent: now, late: none, way: none, written: now };
                host.executions.insert(execution, out);
                let message = Message::Execute { id: execution, function, work, limit };
                match closed {
                    true => self.end_execution(router, execution, End::Moot),
                    false => {
                        let late = self.post(now + limit, Event::ExecutionLate { router, id: execution });
                        let sent = self.send(router, worker, message, Sent::Execution(execution));
                        let out = self.hosts[router].executions.get_mut(&execution);
                        if let (Some(out), Some((way, written))) = (out, sent) {
                            (out.late, out.way, out.written) = (late, way, written);
                        } else {
                            self.queue.remove(&late);
                            self.end_execution(router, execution, End::NoConnection);
                        }
                    }
                }
            }
            Decision::Cancel { job, execution } => {
                let Some(job) = host.jobs.get(&job) else { return };
                let Some(id) = job.executions.get(execution).copied() else { return };
                let Some(worker) = host.executions.get(&id).map(|out| out.worker) else { return };
                if self.take_back(router, id) {
                    return self.end_execution(router, id, End::Moot);
                }
                self.count_control(router, 1, self.bytes.cancel);
                self.hosts[router].counts.cancels += 1;
                self.send(router, worker, Message::Cancel { id }, Sent::Other);
                self.end_execution(router, id, End::Cancelled);
            }
            Decision::PushBack { job, .. } => {
                host.counts.pushed_back += 1;
                self.give_up(router, job);
            }
            Decision::Kill { job } => {
                host.counts.killed += 1;
                self.give_up(router, job);
            }
            Decision::Hold { worker, function, copies } => {
                let id = host.next_asked();
                let counted = if copies > 0 { &mut host.counts.orders } else { &mut host.counts.asks };
                *counted += 1;
                if copies > 0 {
                    host.ordered.insert(function, now);
                }
                let Some(n) = self.by_function.get(&function).copied() else { return };
                self.count_control(router, 2, self.bytes.hold);
                let late = self.post(now + self.model.order_time_out, Event::OrderLate { router, id });
                self.hosts[router].orders.insert(id, Asked { worker, function, sent: now, late });
                let message = Message::Hold { id, function: n, copies };
                if self.send(router, worker, message, Sent::Order(id)).is_none() {
                    self.end_order(router, id, End::NoConnection, 0);
                }
            }
            Decision::Unload { worker, function } => {
                host.counts.unloads += 1;
                let Some(function) = self.by_function.get(&function).copied() else { return };
                self.count_control(router, 1, self.bytes.unload);
                self.send(router, worker, Message::Unload { function }, Sent::Other);
            }
            Decision::Probe { worker } => {
                let id = host.next_asked();
                host.counts.probes += 1;
                self.count_control(router, 2, self.bytes.probe);
                let late = self.post(now + self.model.probe_time_out, Event::ProbeLate { router, id });
                let asked = Asked { worker, function: FunctionId::default(), sent: now, late };
                self.hosts[router].probes.insert(id, asked);
                if self.send(router, worker, Message::Probe { id }, Sent::Probe(id)).is_none() {
                    self.end_probe(router, id, End::NoConnection, None);
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

    /// Sends to a worker; tells the message's place in the queue, and when it is written. None where no such worker is.
    pub(super) fn send(
        &mut self,
        router: usize,
        worker: WorkerId,
        message: Message,
        sent: Sent,
    ) -> Option<((Micros, u64), Micros)> {
        let worker = self.by_id.get(&worker).copied()?;
        let (now, to) = (self.now, &self.workers[worker]);
        let way = self.way(self.hosts[router].zone, to.zone);
        let (up, incarnation) = (to.up, to.incarnation);
        let host = &mut self.hosts[router];
        let idle_close = self.model.idle_close;
        let link = host.links.get(&worker).copied();
        let link = link.filter(|link| link.incarnation == incarnation && now - link.last < idle_close);
        let up_at = match link {
            Some(link) => link.up_at,
            None if up => {
                host.counts.handshakes += 1;
                host.counts.messages += 2;
                host.counts.bytes += self.bytes.hellos;
                now + 2 * way
            }
            None => {
                let at = now + self.model.connect_time_out;
                let answer = Answer::Unreached(sent);
                return Some((self.post(at, Event::ToRouter { router, answer }), at));
            }
        };
        let link = Link { up_at, last: now.max(up_at), incarnation };
        self.hosts[router].links.insert(worker, link);
        let written = now.max(up_at);
        let key = self.post(written + way, Event::ToWorker { worker, incarnation, router, message });
        Some((key, written))
    }
    /// Takes an execution back of which nothing was written.
    pub(super) fn take_back(&mut self, router: usize, id: u64) -> bool {
        let Some(out) = self.hosts[router].executions.get(&id) else { return false };
        let unwritten = out.written > out.sent && self.now <= out.written;
        unwritten && self.queue.remove(&out.way).is_some()
    }
    pub(super) fn end_execution(&mut self, router: usize, id: u64, end: End) {
        if let Some(out) = self.hosts[router].execution_ended(self.now, id, end, Warmth::Unknown, None, None)
        {
            self.queue.remove(&out.late);
        }
        self.touched_routers.insert(router);
    }
    pub(super) fn end_order(&mut self, router: usize, id: u64, end: End, copies: u32) {
        if let Some(asked) = self.hosts[router].order_ended(self.now, id, end, copies) {
            self.queue.remove(&asked.late);
        }
        self.touched_routers.insert(router);
    }
    pub(super) fn end_probe(&mut self, router: usize, id: u64, end: End, report: Option<LoadReport>) {
        let report = report.as_ref().map(report_of);
        if let Some(asked) = self.hosts[router].probe_ended(self.now, id, end, report) {
            self.queue.remove(&asked.late);
        }
        self.touched_routers.insert(router);
    }
    pub(super) fn execution_late(&mut self, router: usize, id: u64) {
        let end = if self.take_back(router, id) { End::NoConnection } else { End::TimedOut };
        self.end_execution(router, id, end);
    }
    /// A final answer that is not *finished*.
    pub(super) fn give_up(&mut self, router: usize, id: JobId) {
        let Some(job) = self.hosts[router].jobs.get(&id).filter(|job| !job.closed) else { return };
        let (rare, came) = (self.functions.all[job.function].rare, job.came);
        let loads = self.needed_load(router, job);
        self.starts.call(came, rare, loads, None);
        self.recall(router, id);
    }
    /// It ordered a copy of the job's function while it held the job.
    pub(super) fn needed_load(&self, router: usize, job: &HostedJob) -> bool {
        let function = self.functions.all[job.function].id;
        self.hosts[router].ordered.get(&function).is_some_and(|at| *at >= job.came)
    }
    /// Closes a job; what still waits to be written for it is not sent any more.
    pub(super) fn recall(&mut self, router: usize, id: JobId) {
        let all = self.hosts[router].jobs.get(&id).map(|job| job.executions.clone()).unwrap_or_default();
        self.hosts[router].close(id);
        for execution in all {
            if self.take_back(router, execution) {
                self.end_execution(router, execution, End::Moot);
            }
        }
    }

    pub(super) fn answer(&mut self, router: usize, answer: Answer) {
        let now = self.now;
        let heard = match &answer {
            Answer::Done { worker, .. } | Answer::Held { worker, .. } | Answer::Probed { worker, .. } => {
                Some(*worker)
            }
            Answer::Unreached(_) => None,
        };
        if let Some(link) = heard.and_then(|worker| self.hosts[router].links.get_mut(&worker)) {
            link.last = link.last.max(now);
        }
        match answer {
            Answer::Done { id, ended, copy, report, worker } => {
                let host = &self.hosts[router];
                let Some(out) = host.executions.get(&id).copied() else { return };
                let (end, warmth) = (end_of(ended), warmth_of(copy));
                let open = host.jobs.get(&out.job).filter(|job| !job.closed);
                if let (End::Finished, Some(job)) = (end, open) {
                    let (rare, came, work) = (self.functions.all[job.function].rare, job.came, job.work);
                    let loads = matches!(warmth, Warmth::BeganLoad | Warmth::WaitedForLoad)
                        || self.needed_load(router, job);
                    let way = self.way(self.hosts[router].zone, self.workers[worker].zone);
                    self.starts.call(came, rare, loads, Some(now - way - work as Micros - came));
                    self.hosts[router].counts.finished += 1;
                    self.recall(router, out.job);
                }
                let report = Some(report_of(&report));
                let ended = self.hosts[router].execution_ended(now, id, end, warmth, None, report);
                ended.into_iter().for_each(|out| drop(self.queue.remove(&out.late)));
                self.touched_routers.insert(router);
            }
            Answer::Held { id, ended, copies, .. } => {
                self.end_order(router, id, order_end_of(ended), copies);
            }
            Answer::Probed { id, report, .. } => self.end_probe(router, id, End::Finished, Some(report)),
            Answer::Unreached(Sent::Execution(id)) => self.end_execution(router, id, End::NoConnection),
            Answer::Unreached(Sent::Order(id)) => self.end_order(router, id, End::NoConnection, 0),
            Answer::Unreached(Sent::Probe(id)) => self.end_probe(router, id, End::NoConnection, None),
            Answer::Unreached(Sent::Other) => {}
        }
    }
}
