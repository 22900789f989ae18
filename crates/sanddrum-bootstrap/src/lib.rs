//! The steps of an edge's start, and when it may call the list service. The host makes one [`Bootstrap`] an edge and calls
//! `round` with what came in ([`DiscoveryEvent`]) and a writer ([`Decisions`]). All news is recorded first; only then is decided.
//!
//! Hundreds of edges that start at one instant, or that lose the list service at one, must not call it at one instant.
//! Nobody tells an edge whether it is alone in this; so every edge keeps to a part of what the service is to bear from
//! all of them, and draws its moments by chance. The first call of an edge with a kept list is spread over the time that
//! all edges need at that rate, as it serves by the kept list meanwhile; one that knows no worker waits for a quarter of
//! that. Later tries come from a budget, after waits that are drawn anew from the last one and over no less than that time,
//! so that edges which lost the service together spread as wide and ever wider. The number of edges may be set wrong: the rate is then wrong by as much, and nothing else.

#![allow(missing_docs)] // unfinished: docs/ROADMAP.md

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sanddrum::{Micros, Settings};
use sanddrum_limits::TokenBucket;

/// How far an edge's start has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Readiness {
    /// It knows no worker: it can only push back.
    NoEndpoints,
    /// It serves by the list that it had kept, which may be old.
    CachedEndpoints,
    /// The list service has told it the list in this run.
    Synced,
}

impl Readiness {
    /// As the health page and the logs word it.
    pub fn name(self) -> &'static str {
        match self {
            Readiness::NoEndpoints => "no-list",
            Readiness::CachedEndpoints => "kept-list",
            Readiness::Synced => "told",
        }
    }
}

/// What came in since the last round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryEvent {
    /// The process begins, with a kept list or with none.
    Started { has_cache: bool },
    /// The service answered with rows: the whole list, or what follows on what is known.
    Answered,
    /// It told of a change that does not follow on what is known.
    Gap,
    /// The connection could not be made, or ended.
    Disconnected,
}

/// Where decisions are written.
pub trait Decisions {
    /// Call the service now, with the version that is known.
    fn connect(&mut self);
    /// On the connection that is up, ask for all that follows on the version that is known.
    fn poll(&mut self);
    /// The connection leads nowhere: end it.
    fn disconnect(&mut self);
    /// Call again then, if not before.
    fn wake_at(&mut self, at: Micros);
}

/// An edge that knows no worker waits for its first call no longer than this part of the time over which all are spread:
/// its jobs are pushed back meanwhile, while edges with a kept list lose nothing.
const BLIND_PART: f64 = 0.25;
/// A wait is drawn from the least to so many times the last one.
const SPREADS: f64 = 3.0;
/// Calls that an edge may save up; more would add up to a second herd once the first has failed.
const BURST: f64 = 1.0;
/// However wrong the number of edges is set, all are spread over no more than this.
const LONGEST: Micros = 600_000_000;
/// With each try that is not answered the next one is waited for twice as long, up to so many times.
const MOST_PATIENCE: u32 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Line {
    /// No connection: the next call is made then.
    Down { again: Micros },
    /// Called, or asked, and not answered yet: given up then.
    Waits { until: Micros },
    /// Answered; looked after then, as a service that says nothing may be gone.
    Up { check: Micros },
    /// Something is missing: asked for as soon as the budget allows.
    Missing { at: Micros },
}

pub struct Bootstrap {
    step: Readiness,
    line: Line,
    chance: Pcg64Mcg,
    /// Calls a second that this edge may make.
    rate: f64,
    spread: Micros,
    least: Micros,
    most: Micros,
    time_out: Micros,
    check_every: Micros,
    wait: Micros,
    unanswered: u32,
    budget: TokenBucket,
}

impl Bootstrap {
    pub fn new(seed: u64, settings: &Settings) -> Self {
        let number = |name: &str, otherwise: f64| settings.number(name).unwrap_or(otherwise);
        let span = |name: &str, otherwise: f64| number(name, otherwise).max(1.0) as Micros;
        let rate = number("limits.list-calls", 100.0).max(f64::MIN_POSITIVE)
            / number("routers", 1.0).max(1.0);
        let least = span("limits.list-retry-least-us", 1e5);
        Bootstrap {
            step: Readiness::NoEndpoints,
            line: Line::Down { again: Micros::MAX },
            chance: Pcg64Mcg::seed_from_u64(seed),
            rate,
            spread: (1e6 / rate).min(LONGEST as f64) as Micros,
            least,
            most: span("limits.list-retry-most-us", 5e6).max(least),
            time_out: span("limits.connect-time-out-us", 1e6),
            check_every: span("limits.list-check-us", 1e7),
            wait: 0,
            unanswered: 0,
            budget: TokenBucket::default(),
        }
    }
    pub fn readiness(&self) -> Readiness {
        self.step
    }
    /// An edge that knows a worker is of use to clients.
    pub fn is_healthy(&self) -> bool {
        self.step > Readiness::NoEndpoints
    }
    pub fn handle(&mut self, now: Micros, news: &[DiscoveryEvent], out: &mut impl Decisions) {
        news.iter().for_each(|news| self.record(now, *news));
        self.decide(now, out);
        let next = match self.line {
            Line::Down { again } => again,
            Line::Waits { until } => until,
            Line::Up { check } => check,
            Line::Missing { at } => at,
        };
        out.wake_at(next);
    }

    fn part(&mut self) -> f64 {
        self.chance.random()
    }
    fn record(&mut self, now: Micros, news: DiscoveryEvent) {
        match news {
            DiscoveryEvent::Started { has_cache: kept } => {
                self.step = if kept {
                    Readiness::CachedEndpoints
                } else {
                    Readiness::NoEndpoints
                };
                let over = self.spread as f64 * if kept { 1.0 } else { BLIND_PART };
                self.line = Line::Down {
                    again: now + (over * self.part()) as Micros,
                };
            }
            DiscoveryEvent::Answered => {
                self.step = Readiness::Synced;
                (self.wait, self.unanswered) = (0, 0);
                // Drawn, so that edges that were answered together do not look together.
                let every = self.check_every as f64 * (0.5 + self.part());
                if !matches!(self.line, Line::Missing { .. }) {
                    self.line = Line::Up {
                        check: now + every as Micros,
                    };
                }
            }
            DiscoveryEvent::Gap => {
                // One that is asked about already is not asked about again.
                if matches!(self.line, Line::Up { .. }) {
                    self.line = Line::Missing { at: now };
                }
            }
            DiscoveryEvent::Disconnected => self.lost(now),
        }
    }
    fn lost(&mut self, now: Micros) {
        self.unanswered += 1;
        // All may have lost it at one instant: spread by the waits of few edges they would come at one again.
        let last = self.wait.max(self.least) as f64;
        let widest = (last * SPREADS).max(self.spread as f64);
        let drawn = self.least as f64 + self.part() * (widest - self.least as f64);
        self.wait = (drawn as Micros).min(self.most.max(self.spread));
        self.line = Line::Down {
            again: now + self.wait,
        };
    }
    /// How long an answer is waited for: longer each time, as a service that is only slow is not helped by calls that
    /// are given up and made again.
    fn patience(&self) -> Micros {
        self.time_out << self.unanswered.min(MOST_PATIENCE)
    }
    fn decide(&mut self, now: Micros, out: &mut impl Decisions) {
        match self.line {
            Line::Down { again } if again <= now => match self.budget.take(now, self.rate, BURST) {
                Ok(()) => {
                    self.line = Line::Waits {
                        until: now + self.patience(),
                    };
                    out.connect();
                }
                Err(wait) => {
                    self.line = Line::Down {
                        again: now + wait.retry_after.min(self.most),
                    }
                }
            },
            Line::Waits { until } if until <= now => {
                out.disconnect();
                self.lost(now);
            }
            Line::Up { check } if check <= now => {
                self.line = Line::Waits {
                    until: now + self.patience(),
                };
                out.poll();
            }
            Line::Missing { at } if at <= now => match self.budget.take(now, self.rate, BURST) {
                Ok(()) => {
                    self.line = Line::Waits {
                        until: now + self.patience(),
                    };
                    out.poll();
                }
                Err(wait) => {
                    self.line = Line::Missing {
                        at: now + wait.retry_after.min(self.most),
                    }
                }
            },
            _ => {}
        }
    }
}
