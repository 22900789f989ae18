//! What hollow workers do with their messages, and what goes wrong with them.

use super::*;

impl Fleet {
    pub(super) fn message(&mut self, n: usize, router: usize, message: Message) {
        let (now, functions, count) = (self.now, self.functions.clone(), self.workers.len());
        let of_others = self.others_jobs();
        let every = self.model.report_every;
        let zone = self.hosts[router].zone;
        let way = self.way(zone, self.workers[n].zone);
        let worker = &mut self.workers[n];
        worker.machine.advance(now);
        let named = match &message {
            Message::Execute { function, .. } | Message::Hold { function, .. } => Some(*function),
            _ => None,
        };
        if let (Some(others), Some(function)) = (self.others, named) {
            worker.others_had(now, others, &functions, function, count);
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
                    concurrency: f.lanes,
                    work,
                    idempotency_key: None,
                    deadline: now + limit,
                };
                worker.machine.accept(now, task, worker.drains);
            }
            Message::Cancel { id } => worker.machine.cancel(Ticket {
                connection: router as u64,
                id,
            }),
            Message::Hold {
                id,
                function,
                copies,
            } => {
                let f = &functions.all[function];
                let (function, memory_mb, lanes) = (f.name.clone(), f.memory_mb, f.lanes);
                let hold = Load {
                    id,
                    function,
                    instances: copies,
                    memory_mb,
                    concurrency: lanes,
                };
                worker.machine.load_instances(
                    now,
                    Ticket {
                        connection: router as u64,
                        id,
                    },
                    &hold,
                    worker.drains,
                );
            }
            Message::Unload { function } => worker.machine.unload(&functions.all[function].name),
            Message::Probe { id } => {
                let report = worker.report(now, every, of_others);
                let answer = Answer::Probed {
                    id,
                    report,
                    worker: n,
                };
                self.post(now + way, Event::ToRouter { router, answer });
            }
        }
    }
    /// Jobs that the others hold at a worker, in the mean.
    pub(super) fn others_jobs(&self) -> Option<(Others, f64)> {
        let each = |others: Others| {
            let jobs =
                others.calls * self.model.work as f64 / 1e6 / self.workers.len().max(1) as f64;
            (others, jobs)
        };
        self.others.map(each)
    }
    pub(super) fn worker_turn(&mut self, n: usize) {
        let (now, every, of_others) = (self.now, self.model.report_every, self.others_jobs());
        if !self.workers[n].up {
            return;
        }
        self.workers[n].machine.advance(now);
        while !self.workers[n].machine.effects.is_empty() {
            for effect in std::mem::take(&mut self.workers[n].machine.effects) {
                match effect {
                    Effect::Fetch { load, size_mb, .. } => {
                        let takes = match self.loads {
                            Loads::Drawn => self.model.draw_load(&mut self.chance),
                            Loads::Store { us_per_mb } => {
                                let way = self.way(0, self.workers[n].zone);
                                (size_mb * us_per_mb).max(1.0).ceil() as Micros + 2 * way
                            }
                        };
                        let incarnation = self.workers[n].incarnation;
                        self.post(
                            now + takes,
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
                        status: ended,
                        instance: copy,
                        ..
                    } => {
                        let report = self.workers[n].report(now, every, of_others);
                        let answer = Answer::Done {
                            id,
                            ended,
                            copy,
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
                        status: ended,
                        instances: copies,
                    } => {
                        self.answer_router(n, router as usize, Answer::Held { id, ended, copies });
                    }
                    Effect::Collapsed => {
                        self.workers[n].up = false;
                        self.break_links(n);
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
                self.post(at, Event::WorkerTurn(n));
            }
        }
    }
    pub(super) fn answer_router(&mut self, worker: usize, router: usize, answer: Answer) {
        let Some(host) = self.hosts.get(router) else {
            return;
        };
        let at = self.now + self.way(host.zone, self.workers[worker].zone);
        self.post(at, Event::ToRouter { router, answer });
    }

    // ---- What goes wrong

    pub(super) fn act(&mut self, act: Act) {
        let in_zone = |fleet: &Self, zone: usize| -> Vec<usize> {
            (0..fleet.workers.len())
                .filter(|n| fleet.workers[*n].zone == zone)
                .collect()
        };
        match act {
            Act::Fail(n) => {
                self.workers[n].up = false;
                self.notice(vec![n], self.model.silent_after);
            }
            Act::Replace(n) => {
                self.workers[n].drains = true;
                self.notice(vec![n], 0);
                let since = self.now;
                self.post(
                    self.now + self.model.drain_grace,
                    Event::Drained { worker: n, since },
                );
            }
            Act::ZoneLost(zone) => {
                self.lost_zones.insert(zone);
                let all = in_zone(self, zone);
                all.iter().for_each(|n| self.workers[*n].up = false);
                self.notice(all, self.model.silent_after);
            }
            Act::ZoneBack(zone) => {
                self.lost_zones.remove(&zone);
                let all = in_zone(self, zone);
                all.iter().for_each(|n| {
                    self.break_links(*n);
                    self.workers[*n].restart(self.now);
                });
                self.notice(all, 0);
            }
            Act::Tell(n) => self.notice(vec![n], 0),
        }
    }
    /// The list service notices after so long, and tells a little later.
    pub(super) fn notice(&mut self, workers: Vec<usize>, after: Micros) {
        let (least, most) = self.model.notice;
        let tells = least + (self.chance.next_f64() * (most - least) as f64) as Micros;
        self.post(self.now + after + tells, Event::Noticed(workers));
    }
    pub(super) fn look_at_drained(&mut self, n: usize, since: Micros) {
        if !self.workers[n].machine.is_idle() && self.now < since + DRAINED_WITHIN {
            self.post(self.now + DRAIN_LOOK, Event::Drained { worker: n, since });
            return;
        }
        self.workers[n].up = false;
        self.break_links(n);
        self.notice(vec![n], 0);
        self.post(self.now + REPLACED_WITHIN, Event::Back(n));
    }
}
