//! Simulated workers: handling of messages, and scripted failures.

use super::*;

impl Fleet {
    pub(super) fn handle_message(&mut self, n: usize, router: usize, message: Message) {
        let (now, functions, count) = (self.now, self.functions.clone(), self.workers.len());
        let background_load = self.background_load();
        let every = self.model.report_interval;
        let zone = self.hosts[router].zone;
        let latency = self.latency_between(zone, self.workers[n].zone);
        let worker = &mut self.workers[n];
        worker.machine.advance(now);
        let needed_function = match &message {
            Message::Execute { function, .. } | Message::Load { function, .. } => Some(*function),
            _ => None,
        };
        if let (Some(background), Some(function)) = (self.background, needed_function) {
            worker.add_background_instances(now, background, &functions, function, count);
        }
        match message {
            Message::Execute {
                id,
                function,
                work,
                limit,
            } => {
                let f = &functions.all[function];
                let task = Task {
                    ticket: Ticket {
                        connection: router as u64,
                        id,
                    },
                    function: f.name.clone(),
                    memory_mb: f.memory_mb,
                    concurrency: f.concurrency,
                    work,
                    idempotency_key: None,
                    deadline: now + limit,
                };
                worker.machine.accept(now, task, worker.is_draining);
            }
            Message::Cancel { id } => worker.machine.cancel(Ticket {
                connection: router as u64,
                id,
            }),
            Message::Load {
                id,
                function,
                instances,
            } => {
                let f = &functions.all[function];
                let (function, memory_mb, concurrency) =
                    (f.name.clone(), f.memory_mb, f.concurrency);
                let load = Load {
                    id,
                    function,
                    instances,
                    memory_mb,
                    concurrency,
                };
                worker.machine.load_instances(
                    now,
                    Ticket {
                        connection: router as u64,
                        id,
                    },
                    &load,
                    worker.is_draining,
                );
            }
            Message::Unload { function } => worker.machine.unload(&functions.all[function].name),
            Message::HealthCheck { id } => {
                let report = worker.report(now, every, background_load);
                let answer = Answer::HealthChecked {
                    id,
                    report,
                    worker: n,
                };
                self.schedule(now + latency, Event::ToRouter { router, answer });
            }
        }
    }
    /// The mean number of requests of background routers at a worker.
    pub(super) fn background_load(&self) -> Option<(BackgroundRouters, f64)> {
        let each = |background: BackgroundRouters| {
            let requests = background.request_rate * self.model.work as f64
                / 1e6
                / self.workers.len().max(1) as f64;
            (background, requests)
        };
        self.background.map(each)
    }
    pub(super) fn process_worker(&mut self, n: usize) {
        let (now, every, background_load) =
            (self.now, self.model.report_interval, self.background_load());
        if !self.workers[n].up {
            return;
        }
        self.workers[n].machine.advance(now);
        while !self.workers[n].machine.effects.is_empty() {
            for effect in std::mem::take(&mut self.workers[n].machine.effects) {
                match effect {
                    Effect::Fetch { load, size_mb, .. } => {
                        let duration = match self.loads {
                            LoadTimes::Random => self.model.sample_load_time(&mut self.rng),
                            LoadTimes::Store { us_per_mb } => {
                                let latency = self.latency_between(0, self.workers[n].zone);
                                (size_mb * us_per_mb).max(1.0).ceil() as Micros + 2 * latency
                            }
                        };
                        let incarnation = self.workers[n].incarnation;
                        self.schedule(
                            now + duration,
                            Event::Fetched {
                                worker: n,
                                incarnation,
                                load,
                            },
                        );
                        if let Some(host) = self.hosts.first_mut() {
                            host.counts.loads += 1;
                        }
                    }
                    Effect::Done {
                        ticket:
                            Ticket {
                                connection: router,
                                id,
                            },
                        status,
                        instance,
                        ..
                    } => {
                        let report = self.workers[n].report(now, every, background_load);
                        let answer = Answer::ExecutionDone {
                            id,
                            status,
                            instance,
                            report,
                            worker: n,
                        };
                        self.answer_router(n, router as usize, answer);
                    }
                    Effect::LoadDone {
                        ticket:
                            Ticket {
                                connection: router,
                                id,
                            },
                        status,
                        instances,
                    } => {
                        self.answer_router(
                            n,
                            router as usize,
                            Answer::LoadDone {
                                id,
                                status,
                                instances,
                            },
                        );
                    }
                    Effect::Collapsed => {
                        self.workers[n].up = false;
                        self.break_connections(n);
                    }
                }
            }
        }
        let wake = self.workers[n]
            .machine
            .next_wakeup()
            .map(|at| at.max(now + 1));
        if wake != self.workers[n].wake {
            self.workers[n].wake = wake;
            if let Some(at) = wake {
                self.schedule(at, Event::WorkerWakeup(n));
            }
        }
    }
    pub(super) fn answer_router(&mut self, worker: usize, router: usize, answer: Answer) {
        let Some(host) = self.hosts.get(router) else {
            return;
        };
        let at = self.now + self.latency_between(host.zone, self.workers[worker].zone);
        self.schedule(at, Event::ToRouter { router, answer });
    }

    // ---- Failures

    pub(super) fn apply_scripted(&mut self, event: ScriptedEvent) {
        let in_zone = |fleet: &Self, zone: usize| -> Vec<usize> {
            (0..fleet.workers.len())
                .filter(|n| fleet.workers[*n].zone == zone)
                .collect()
        };
        match event {
            ScriptedEvent::Fail(n) => {
                self.workers[n].up = false;
                self.schedule_publish(vec![n], self.model.heartbeat_timeout);
            }
            ScriptedEvent::Replace(n) => {
                self.workers[n].is_draining = true;
                self.schedule_publish(vec![n], 0);
                let since = self.now;
                self.schedule(
                    self.now + self.model.drain_grace,
                    Event::CheckDrained { worker: n, since },
                );
            }
            ScriptedEvent::ZoneLost(zone) => {
                self.lost_zones.insert(zone);
                let all = in_zone(self, zone);
                all.iter().for_each(|n| self.workers[*n].up = false);
                self.schedule_publish(all, self.model.heartbeat_timeout);
            }
            ScriptedEvent::ZoneRestored(zone) => {
                self.lost_zones.remove(&zone);
                let all = in_zone(self, zone);
                all.iter().for_each(|n| {
                    self.break_connections(*n);
                    self.workers[*n].restart(self.now);
                });
                self.schedule_publish(all, 0);
            }
            ScriptedEvent::Republish(n) => self.schedule_publish(vec![n], 0),
        }
    }
    /// Schedules an endpoint update: the discovery service notices the change after `after` and publishes it after a
    /// further random delay.
    pub(super) fn schedule_publish(&mut self, workers: Vec<usize>, after: Micros) {
        let (least, most) = self.model.publish_delay;
        let delay = least + (self.rng.next_f64() * (most - least) as f64) as Micros;
        self.schedule(self.now + after + delay, Event::EndpointsPublished(workers));
    }
    pub(super) fn check_drained(&mut self, n: usize, since: Micros) {
        if !self.workers[n].machine.is_idle() && self.now < since + MAX_DRAIN_TIME {
            self.schedule(
                self.now + DRAIN_CHECK_INTERVAL,
                Event::CheckDrained { worker: n, since },
            );
            return;
        }
        self.workers[n].up = false;
        self.break_connections(n);
        self.schedule_publish(vec![n], 0);
        self.schedule(self.now + RESTART_DELAY, Event::WorkerBack(n));
    }
}
