//! Begins and ends faults in the environment of a soak run.

use super::{
    Environment, Phase, ScheduledAction, SeriesSignal, DRAIN_DURATION, EPOLL_CTL_RATE_DIVISOR,
    MISBEHAVING_FRACTION, S, UNFREEZE_TIME,
};
use crate::faults::Word;
use crate::flooding_clients::{Flood, FloodingClients};
use crate::soak::fault_plan::{Fault, Trigger};
use crate::soak::feed::FeedMode;
use crate::soak::link_faults::LinkMode;
use crate::soak::observations::{Effect, RouterId};
use crate::soak::routers::Router;
use crate::soak::server_control::Freeze;
use crate::soak::server_modes::ServerMode;
use sanddrum_net::Micros;
use std::io;

impl Environment {
    /// Returns how often a trigger event has occurred.
    pub fn trigger_count(&self, trigger: Trigger) -> u64 {
        match trigger {
            Trigger::ServerConnection => self.observations.borrow().connections_to_servers,
            Trigger::PartialRequest => self.clients.borrow().partial_requests,
            Trigger::Response => self.clients.borrow().responses,
            Trigger::FeedRequest => self.feed.borrow().requests,
            Trigger::ClientClose => self.observations.borrow().closes_by_clients,
        }
    }
    /// Begins a fault.
    ///
    /// # Errors
    /// A process, file or listener can't be created.
    pub fn begin_fault(&mut self, fault: Fault) -> io::Result<()> {
        let now = self.now();
        if self.outage_ends.is_some() && fault.affects_feed() {
            // The outage hides it, so it isn't injected and doesn't count as having occurred.
            *self.hidden_fault_counts.entry(fault.name()).or_default() += 1;
            return Ok(());
        }
        let mut occurrences = 1;
        match fault {
            Fault::Stop { routers, span } => {
                let chosen = self.random_routers(routers);
                occurrences = chosen.len() as u64;
                for n in chosen {
                    self.routers[n].stop(now);
                    self.scheduled
                        .push((now + span, ScheduledAction::ResumeRouter(n)));
                }
            }
            Fault::Restart { routers } => {
                for n in self.random_routers(routers) {
                    self.routers[n].terminate(now, &self.observations);
                    self.phases[n] = Phase::Stopping(now);
                }
            }
            Fault::Kill { routers } => {
                for n in self.random_routers(routers) {
                    self.routers[n].kill(now, &self.observations);
                    self.phases[n] = Phase::Stopping(now);
                }
            }
            Fault::HangUps { count, gap } => {
                for n in 0..count as Micros {
                    self.scheduled
                        .push((now + n * gap, ScheduledAction::MoveFeed));
                }
            }
            Fault::StepAllClocks { by } => {
                self.servers_clock += by;
                for n in 0..self.routers.len() {
                    self.step_clock(n, by)?;
                }
            }
            Fault::StepSomeClocks { routers, by } => {
                for n in self.random_routers(routers) {
                    self.step_clock(n, by)?;
                }
            }
            Fault::FailingCalls {
                routers,
                rate,
                span,
            } => {
                for n in self.random_routers(routers) {
                    self.set_failing(n, rate)?;
                    self.scheduled
                        .push((now + span, ScheduledAction::StopFailingCalls(n)));
                }
            }
            Fault::Replace {
                servers,
                same_address,
            } => {
                for n in self.random_slots(servers) {
                    self.replace_server(n, same_address)?;
                }
            }
            Fault::Drain { servers } => {
                self.random_slots(servers)
                    .into_iter()
                    .for_each(|n| self.drain_server(now, n, DRAIN_DURATION));
            }
            Fault::Misbehave {
                servers,
                mode,
                span,
            } => {
                for n in self.random_slots(servers) {
                    self.slots[n].control.borrow_mut().mode = mode;
                    self.scheduled
                        .push((now + span, ScheduledAction::RestoreServer(n)));
                }
            }
            Fault::Link {
                servers,
                mode,
                span,
            } => {
                for n in self.random_slots(servers) {
                    self.slots[n].control.borrow_mut().link = mode;
                    self.scheduled
                        .push((now + span, ScheduledAction::RestoreLink(n)));
                }
            }
            Fault::Freeze { servers, span } => {
                for n in self.random_slots(servers) {
                    self.driver.freeze(self.slots[n].host, true);
                    self.scheduled
                        .push((now + span, ScheduledAction::UnfreezeServer(n, now)));
                }
            }
            Fault::Outage {
                servers,
                span,
                drains_after,
                refuses,
            } => {
                self.feed.borrow_mut().mode = if refuses {
                    FeedMode::Resetting
                } else {
                    FeedMode::Silent
                };
                self.begin_outage(now, servers, span, drains_after);
            }
            Fault::SignalSeries { routers, gap } => {
                let series = [
                    SeriesSignal::HangUp,
                    SeriesSignal::HangUp,
                    SeriesSignal::Terminate,
                    SeriesSignal::HangUp,
                    SeriesSignal::Terminate,
                    SeriesSignal::Status,
                    SeriesSignal::Terminate,
                ];
                for n in self.random_routers(routers) {
                    for (index, signal) in series.iter().enumerate() {
                        let at = now + index as Micros * gap;
                        self.scheduled
                            .push((at, ScheduledAction::Signal(n, *signal)));
                    }
                }
            }
            Fault::FeedSilent { span } => self.begin_feed_fault(now, FeedMode::Silent, span, 7 * S),
            Fault::FeedLate { by, span } => {
                self.begin_feed_fault(now, FeedMode::Delayed(by), span, 7 * S)
            }
            Fault::FeedCuts { span } => {
                self.begin_feed_fault(now, FeedMode::Truncating, span, span + 2 * S)
            }
            Fault::BadClients { part, span } => {
                self.clients.borrow_mut().misbehaving_fraction = part;
                self.scheduled
                    .push((now + span, ScheduledAction::RestoreClients));
            }
            Fault::Flood {
                clients,
                flood,
                span,
            } => self.begin_flood(now + span, clients, flood),
            Fault::Burst { times, span } => {
                self.clients.borrow_mut().rate = self.rate * times;
                self.scheduled
                    .push((now + span, ScheduledAction::RestoreRate));
            }
        }
        *self.fault_counts.entry(fault.name()).or_default() += occurrences;
        Ok(())
    }
    fn begin_flood(&mut self, ends: Micros, clients: u64, flood: Flood) {
        for n in self.random_routers(1) {
            let address = self.fleet.router_address(RouterId(n));
            let workload = Effect::Repeatable.class_name();
            let flooding = FloodingClients::start(&address, workload, clients, flood);
            self.floods.insert(ends, flooding);
            self.scheduled.push((ends, ScheduledAction::EndFlood(ends)));
        }
    }
    fn step_clock(&mut self, n: usize, by: Micros) -> io::Result<()> {
        self.router_clocks[n] += by;
        self.routers[n]
            .fault_control
            .step_wall_clock(self.router_clocks[n])
    }
    fn set_failing(&self, n: usize, rate: u64) -> io::Result<()> {
        let rate_words = [
            Word::Accept,
            Word::Socket,
            Word::Connect,
            Word::Receive,
            Word::Send,
            Word::Wait,
        ];
        // The router calls `epoll_ctl` with every wait and loses a connection with each failure, so this rate is lower.
        self.routers[n]
            .fault_control
            .set(Word::Control, rate / EPOLL_CTL_RATE_DIVISOR)?;
        rate_words
            .into_iter()
            .try_for_each(|word| self.routers[n].fault_control.set(word, rate))
    }
    pub(super) fn perform(&mut self, now: Micros, scheduled: ScheduledAction) -> io::Result<()> {
        match scheduled {
            ScheduledAction::ResumeRouter(n) => self.routers[n].resume(now, &self.observations),
            ScheduledAction::StopFailingCalls(n) => self.set_failing(n, 0)?,
            ScheduledAction::RestoreServer(n) => {
                self.slots[n].control.borrow_mut().mode = ServerMode::Normal
            }
            ScheduledAction::RestoreLink(n) => {
                self.slots[n].control.borrow_mut().link = LinkMode::Normal
            }
            ScheduledAction::UnfreezeServer(n, from) => {
                self.slots[n].control.borrow_mut().freeze = Some(Freeze {
                    from,
                    arrivals_unknown_until: now + UNFREEZE_TIME,
                });
                self.driver.freeze(self.slots[n].host, false);
            }
            ScheduledAction::RestoreFeed if self.outage_ends.is_some() => {}
            ScheduledAction::RestoreFeed => self.feed.borrow_mut().mode = FeedMode::Normal,
            ScheduledAction::RestoreClients => {
                self.clients.borrow_mut().misbehaving_fraction = MISBEHAVING_FRACTION
            }
            ScheduledAction::EndFlood(ends) => {
                self.floods.remove(&ends);
            }
            ScheduledAction::RestoreRate => self.clients.borrow_mut().rate = self.rate,
            // The feed doesn't move during an outage: a new configuration would tell the routers of its new address.
            ScheduledAction::MoveFeed if self.outage_ends.is_some() => {}
            ScheduledAction::MoveFeed => self.move_feed(now)?,
            ScheduledAction::EndOutage if self.outage_ends.is_some_and(|at| now < at) => {}
            ScheduledAction::EndOutage => {
                self.outage_ends = None;
                self.feed.borrow_mut().mode = FeedMode::Normal;
            }
            ScheduledAction::DrainServer(n, duration) if self.slots[n].replaced_at.is_none() => {
                self.drain_server(now, n, duration);
            }
            ScheduledAction::DrainServer(..) => {}
            ScheduledAction::Signal(n, signal) => self.send_signal(now, n, signal),
        }
        Ok(())
    }
    fn send_signal(&mut self, now: Micros, n: usize, signal: SeriesSignal) {
        if !self.routers[n].is_running() || matches!(self.phases[n], Phase::StartsAt(_)) {
            return;
        }
        match signal {
            SeriesSignal::HangUp => self.routers[n].reload(),
            SeriesSignal::Status => self.routers[n].request_status(),
            SeriesSignal::Terminate => {
                self.routers[n].terminate(now, &self.observations);
                if self.phases[n] == Phase::Serving {
                    self.phases[n] = Phase::Stopping(now);
                }
            }
        }
    }
    /// Ends the active faults ahead of schedule and drops all other scheduled actions. An outage of the feed does not
    /// end early.
    ///
    /// # Errors
    /// A fault control block can't be written.
    pub fn end_all_faults(&mut self) -> io::Result<()> {
        let now = self.now();
        let scheduled = std::mem::take(&mut self.scheduled);
        scheduled
            .into_iter()
            .filter(|(_, scheduled)| {
                !matches!(
                    scheduled,
                    ScheduledAction::MoveFeed
                        | ScheduledAction::DrainServer(..)
                        | ScheduledAction::Signal(..)
                )
            })
            .try_for_each(|(_, scheduled)| self.perform(now, scheduled))
    }
    /// Sends SIGTERM to all routers and restarts none.
    pub fn terminate_all(&mut self) {
        self.is_shutting_down = true;
        let now = self.now();
        for n in 0..self.routers.len() {
            if self.phases[n] == Phase::Serving && self.routers[n].is_running() {
                self.routers[n].terminate(now, &self.observations);
                self.phases[n] = Phase::Stopping(now);
            }
        }
    }
    pub fn any_running(&self) -> bool {
        self.routers.iter().any(Router::is_running)
    }
}
