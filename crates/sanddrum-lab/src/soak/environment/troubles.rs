//! Troubles carried out in the environment of a soak run: how each begins, and how it ends.

use super::{
    Environment, Phase, SeriesSignal, Undo, BAD_CLIENTS, CONTROLS_FAIL_LESS, DRAIN_LASTS, S,
    THAWED_WITHIN,
};
use crate::faults::Word;
use crate::soak::feed::Mood as FeedMood;
use crate::soak::routers::Router;
use crate::soak::servers::Mood as ServerMood;
use crate::soak::troubles::{Moment, Trouble};
use sanddrum_net::Micros;
use std::io;

impl Environment {
    /// How often a moment was seen.
    pub fn seen(&self, moment: Moment) -> u64 {
        match moment {
            Moment::Dial => self.ledger.borrow().connections_to_servers,
            Moment::HalfWritten => self.clients.borrow().half_written,
            Moment::Answer => self.clients.borrow().answers,
            Moment::Watch => self.tale.borrow().asked,
            Moment::Close => self.ledger.borrow().closes_by_clients,
        }
    }
    /// Begins a trouble.
    ///
    /// # Errors
    /// A process, file or listener can't be made.
    pub fn begin(&mut self, trouble: Trouble) -> io::Result<()> {
        let now = self.now();
        if self.outage_ends.is_some() && trouble.concerns_feed() {
            // It can't be seen behind the outage, and has not come.
            *self.hidden.entry(trouble.name()).or_default() += 1;
            return Ok(());
        }
        let mut came = 1;
        match trouble {
            Trouble::Stop { routers, span } => {
                let drawn = self.some_routers(routers);
                came = drawn.len() as u64;
                for n in drawn {
                    self.routers[n].stop(now);
                    self.undo.push((now + span, Undo::Resume(n)));
                }
            }
            Trouble::Restart { routers } => {
                for n in self.some_routers(routers) {
                    self.routers[n].ask_to_end(now, &self.ledger);
                    self.phases[n] = Phase::Ending(now);
                }
            }
            Trouble::Kill { routers } => {
                for n in self.some_routers(routers) {
                    self.routers[n].kill(now, &self.ledger);
                    self.phases[n] = Phase::Ending(now);
                }
            }
            Trouble::HangUps { count, gap } => {
                for n in 0..count as Micros {
                    self.undo.push((now + n * gap, Undo::HangUp));
                }
            }
            Trouble::StepAllClocks { by } => {
                self.servers_clock += by;
                for n in 0..self.routers.len() {
                    self.step_clock(n, by)?;
                }
            }
            Trouble::StepSomeClocks { routers, by } => {
                for n in self.some_routers(routers) {
                    self.step_clock(n, by)?;
                }
            }
            Trouble::FailingCalls {
                routers,
                rate,
                span,
            } => {
                for n in self.some_routers(routers) {
                    self.set_failing(n, rate)?;
                    self.undo.push((now + span, Undo::CallsWork(n)));
                }
            }
            Trouble::Replace {
                servers,
                same_address,
            } => {
                for n in self.some_places(servers) {
                    self.replace_server(n, same_address)?;
                }
            }
            Trouble::Drain { servers } => {
                self.some_places(servers)
                    .into_iter()
                    .for_each(|n| self.drain_server(now, n, DRAIN_LASTS));
            }
            Trouble::Misbehave {
                servers,
                mood,
                span,
            } => {
                for n in self.some_places(servers) {
                    self.places[n].steering.borrow_mut().mood = mood;
                    self.undo.push((now + span, Undo::Behaves(n)));
                }
            }
            Trouble::Freeze { servers, span } => {
                for n in self.some_places(servers) {
                    self.driver.freeze(self.places[n].host, true);
                    self.undo.push((now + span, Undo::Thaws(n)));
                }
            }
            Trouble::Outage {
                servers,
                span,
                drains_after,
                refuses,
            } => {
                self.tale.borrow_mut().mood = if refuses {
                    FeedMood::Refuses
                } else {
                    FeedMood::Silent
                };
                self.begin_outage(now, servers, span, drains_after);
            }
            Trouble::SignalSeries { routers, gap } => {
                let series = [
                    SeriesSignal::HangUp,
                    SeriesSignal::HangUp,
                    SeriesSignal::Terminate,
                    SeriesSignal::HangUp,
                    SeriesSignal::Terminate,
                    SeriesSignal::Status,
                    SeriesSignal::Terminate,
                ];
                for n in self.some_routers(routers) {
                    for (place, signal) in series.iter().enumerate() {
                        let at = now + place as Micros * gap;
                        self.undo.push((at, Undo::Signal(n, *signal)));
                    }
                }
            }
            Trouble::FeedSilent { span } => self.feed_trouble(now, FeedMood::Silent, span, 7 * S),
            Trouble::FeedLate { by, span } => {
                self.feed_trouble(now, FeedMood::Late(by), span, 7 * S)
            }
            Trouble::FeedCuts { span } => {
                self.feed_trouble(now, FeedMood::Cuts, span, span + 2 * S)
            }
            Trouble::BadClients { part, span } => {
                self.clients.borrow_mut().bad = part;
                self.undo.push((now + span, Undo::ClientsWell));
            }
            Trouble::Burst { times, span } => {
                self.clients.borrow_mut().rate = self.rate * times;
                self.undo.push((now + span, Undo::Rate));
            }
        }
        *self.came.entry(trouble.name()).or_default() += came;
        Ok(())
    }
    fn step_clock(&mut self, n: usize, by: Micros) -> io::Result<()> {
        self.router_clocks[n] += by;
        self.routers[n]
            .faults
            .step_wall_clock(self.router_clocks[n])
    }
    fn set_failing(&self, n: usize, rate: u64) -> io::Result<()> {
        let words = [
            Word::Accept,
            Word::Socket,
            Word::Connect,
            Word::Receive,
            Word::Send,
            Word::Wait,
        ];
        // What the poller watches is changed with every wait, and a failure costs a whole connection.
        self.routers[n]
            .faults
            .set(Word::Control, rate / CONTROLS_FAIL_LESS)?;
        words
            .into_iter()
            .try_for_each(|word| self.routers[n].faults.set(word, rate))
    }
    pub(super) fn end_trouble(&mut self, now: Micros, undo: Undo) -> io::Result<()> {
        match undo {
            Undo::Resume(n) => self.routers[n].resume(now, &self.ledger),
            Undo::CallsWork(n) => self.set_failing(n, 0)?,
            Undo::Behaves(n) => self.places[n].steering.borrow_mut().mood = ServerMood::Well,
            Undo::Thaws(n) => {
                let until = now + THAWED_WITHIN;
                self.places[n].steering.borrow_mut().arrivals_unknown_until = until;
                self.driver.freeze(self.places[n].host, false);
            }
            Undo::FeedWell if self.outage_ends.is_some() => {}
            Undo::FeedWell => self.tale.borrow_mut().mood = FeedMood::Well,
            Undo::ClientsWell => self.clients.borrow_mut().bad = BAD_CLIENTS,
            Undo::Rate => self.clients.borrow_mut().rate = self.rate,
            // The feed can't move while it is out of reach: all routers would hear of a new address.
            Undo::HangUp if self.outage_ends.is_some() => {}
            Undo::HangUp => self.move_feed(now)?,
            Undo::OutageOver if self.outage_ends.is_some_and(|at| now < at) => {}
            Undo::OutageOver => {
                self.outage_ends = None;
                self.tale.borrow_mut().mood = FeedMood::Well;
            }
            Undo::Drains(n, lasts) if self.places[n].leaves_at.is_none() => {
                self.drain_server(now, n, lasts);
            }
            Undo::Drains(..) => {}
            Undo::Signal(n, signal) => self.send_of_series(now, n, signal),
        }
        Ok(())
    }
    fn send_of_series(&mut self, now: Micros, n: usize, signal: SeriesSignal) {
        if !self.routers[n].is_running() || matches!(self.phases[n], Phase::StartsAt(_)) {
            return;
        }
        match signal {
            SeriesSignal::HangUp => self.routers[n].hang_up(),
            SeriesSignal::Status => self.routers[n].ask_for_status(),
            SeriesSignal::Terminate => {
                self.routers[n].ask_to_end(now, &self.ledger);
                if self.phases[n] == Phase::Serving {
                    self.phases[n] = Phase::Ending(now);
                }
            }
        }
    }
    /// Ends every trouble that still goes on.
    ///
    /// # Errors
    /// A control block can't be written.
    pub fn end_all(&mut self) -> io::Result<()> {
        let now = self.now();
        let undo = std::mem::take(&mut self.undo);
        undo.into_iter()
            .filter(|(_, undo)| !matches!(undo, Undo::HangUp | Undo::Drains(..) | Undo::Signal(..)))
            .try_for_each(|(_, undo)| self.end_trouble(now, undo))
    }
    /// Asks all routers to end; none is started again.
    pub fn ask_all_to_end(&mut self) {
        self.is_over = true;
        let now = self.now();
        for n in 0..self.routers.len() {
            if self.phases[n] == Phase::Serving && self.routers[n].is_running() {
                self.routers[n].ask_to_end(now, &self.ledger);
                self.phases[n] = Phase::Ending(now);
            }
        }
    }
    pub fn any_running(&self) -> bool {
        self.routers.iter().any(Router::is_running)
    }
}
