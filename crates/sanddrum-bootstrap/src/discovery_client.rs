//! The state machine of an edge's calls to the discovery service.

use crate::{Decisions, DiscoveryEvent, Readiness};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sanddrum::{Micros, Settings};
use sanddrum_limits::TokenBucket;

/// An edge without endpoints makes its first call within this fraction of the time over which all are spread: it rejects
/// its requests meanwhile, while edges with a cached list lose nothing.
const NO_CACHE_SPREAD: f64 = 0.25;
/// A retry delay is drawn between the least delay and this multiple of the last one (decorrelated jitter).
const MAX_DELAY_GROWTH: f64 = 3.0;
/// The burst of an edge's call budget: more would cause a second burst of all edges once the first has failed.
const CALL_BURST: f64 = 1.0;
/// Calls are spread over ten minutes at most, however wrong the number of edges is configured.
const MAX_SPREAD: Micros = 600_000_000;
/// The time-out for an answer doubles with each unanswered call, this many times at most.
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;
/// A check follows after a random time between this many check intervals and one more, so that edges that were answered
/// together do not check together.
const MIN_CHECK_INTERVALS: f64 = 0.5;

/// The state of the connection to the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// There is no connection; the next one is opened at `retry_at`.
    Disconnected { retry_at: Micros },
    /// A call or poll has not been answered; the connection is given up at `deadline`.
    AwaitingAnswer { deadline: Micros },
    /// Up to date. The service is polled at `check_at`, as a silent one may be gone.
    Watching { check_at: Micros },
    /// Changes are missing; they are polled at `poll_at`, or once the budget allows.
    Behind { poll_at: Micros },
}

/// Decides when an edge calls the discovery service, and how ready the edge is.
pub struct Bootstrap {
    readiness: Readiness,
    state: ConnectionState,
    rng: Pcg64Mcg,
    /// Calls a second that this edge may make.
    call_rate: f64,
    /// The time that all edges need for one call each.
    spread: Micros,
    min_retry_delay: Micros,
    max_retry_delay: Micros,
    connect_timeout: Micros,
    check_interval: Micros,
    /// The last retry delay; zero after an answer.
    retry_delay: Micros,
    /// Calls in a row without an answer.
    unanswered: u32,
    budget: TokenBucket,
}

impl Bootstrap {
    /// An edge that has not started. Equal seeds and events give equal decisions.
    pub fn new(seed: u64, settings: &Settings) -> Self {
        let number = |name: &str, default: f64| settings.number(name).unwrap_or(default);
        let duration = |name: &str, default: f64| number(name, default).max(1.0) as Micros;
        let fleet_call_rate = number("limits.list-calls", 100.0).max(f64::MIN_POSITIVE);
        let call_rate = fleet_call_rate / number("routers", 1.0).max(1.0);
        let min_retry_delay = duration("limits.list-retry-least-us", 1e5);
        Bootstrap {
            readiness: Readiness::NoEndpoints,
            state: ConnectionState::Disconnected {
                retry_at: Micros::MAX,
            },
            rng: Pcg64Mcg::seed_from_u64(seed),
            call_rate,
            spread: (1e6 / call_rate).min(MAX_SPREAD as f64) as Micros,
            min_retry_delay,
            max_retry_delay: duration("limits.list-retry-most-us", 5e6).max(min_retry_delay),
            connect_timeout: duration("limits.connect-time-out-us", 1e6),
            check_interval: duration("limits.list-check-us", 1e7),
            retry_delay: 0,
            unanswered: 0,
            budget: TokenBucket::default(),
        }
    }
    /// How far the start has come.
    pub fn readiness(&self) -> Readiness {
        self.readiness
    }
    /// Whether the edge can serve clients: it knows an endpoint list.
    pub fn is_healthy(&self) -> bool {
        self.readiness > Readiness::NoEndpoints
    }
    /// Records the events, then decides.
    pub fn handle(
        &mut self,
        now: Micros,
        events: &[DiscoveryEvent],
        decisions: &mut impl Decisions,
    ) {
        for event in events {
            self.record(now, *event);
        }
        self.decide(now, decisions);
        decisions.wake_at(match self.state {
            ConnectionState::Disconnected { retry_at } => retry_at,
            ConnectionState::AwaitingAnswer { deadline } => deadline,
            ConnectionState::Watching { check_at } => check_at,
            ConnectionState::Behind { poll_at } => poll_at,
        });
    }

    /// A random number in `[0, 1)`.
    fn random(&mut self) -> f64 {
        self.rng.random()
    }

    fn record(&mut self, now: Micros, event: DiscoveryEvent) {
        match event {
            DiscoveryEvent::Started { has_cache } => self.record_start(now, has_cache),
            DiscoveryEvent::Answered => self.record_answer(now),
            DiscoveryEvent::Gap => {
                // A poll that is in flight already covers it.
                if matches!(self.state, ConnectionState::Watching { .. }) {
                    self.state = ConnectionState::Behind { poll_at: now };
                }
            }
            DiscoveryEvent::Disconnected => self.schedule_retry(now),
        }
    }
    fn record_start(&mut self, now: Micros, has_cache: bool) {
        let (readiness, spread_fraction) = if has_cache {
            (Readiness::CachedEndpoints, 1.0)
        } else {
            (Readiness::NoEndpoints, NO_CACHE_SPREAD)
        };
        self.readiness = readiness;
        let spread = self.spread as f64 * spread_fraction;
        self.state = ConnectionState::Disconnected {
            retry_at: now + (spread * self.random()) as Micros,
        };
    }
    fn record_answer(&mut self, now: Micros) {
        self.readiness = Readiness::Synced;
        (self.retry_delay, self.unanswered) = (0, 0);
        let interval = self.check_interval as f64 * (MIN_CHECK_INTERVALS + self.random());
        if !matches!(self.state, ConnectionState::Behind { .. }) {
            self.state = ConnectionState::Watching {
                check_at: now + interval as Micros,
            };
        }
    }
    /// The connection is lost. All edges may have lost it at the same instant, so that the delay is spread over the time
    /// that all of them need: with the delays of a few edges they would return together.
    fn schedule_retry(&mut self, now: Micros) {
        self.unanswered += 1;
        let last = self.retry_delay.max(self.min_retry_delay) as f64;
        let max = (last * MAX_DELAY_GROWTH).max(self.spread as f64);
        let min = self.min_retry_delay as f64;
        let delay = min + self.random() * (max - min);
        self.retry_delay = (delay as Micros).min(self.max_retry_delay.max(self.spread));
        self.state = ConnectionState::Disconnected {
            retry_at: now + self.retry_delay,
        };
    }

    fn decide(&mut self, now: Micros, decisions: &mut impl Decisions) {
        match self.state {
            ConnectionState::Disconnected { retry_at } if retry_at <= now => {
                match self.budget.take(now, self.call_rate, CALL_BURST) {
                    Ok(()) => {
                        self.await_answer(now);
                        decisions.connect();
                    }
                    Err(no_token) => {
                        self.state = ConnectionState::Disconnected {
                            retry_at: now + no_token.retry_after.min(self.max_retry_delay),
                        }
                    }
                }
            }
            ConnectionState::AwaitingAnswer { deadline } if deadline <= now => {
                decisions.disconnect();
                self.schedule_retry(now);
            }
            ConnectionState::Watching { check_at } if check_at <= now => {
                self.await_answer(now);
                decisions.poll();
            }
            ConnectionState::Behind { poll_at } if poll_at <= now => {
                match self.budget.take(now, self.call_rate, CALL_BURST) {
                    Ok(()) => {
                        self.await_answer(now);
                        decisions.poll();
                    }
                    Err(no_token) => {
                        self.state = ConnectionState::Behind {
                            poll_at: now + no_token.retry_after.min(self.max_retry_delay),
                        }
                    }
                }
            }
            _ => {}
        }
    }
    /// The time-out grows with each unanswered call: a service that is only slow is not helped by calls that are given
    /// up and made again.
    fn await_answer(&mut self, now: Micros) {
        let timeout = self.connect_timeout << self.unanswered.min(MAX_TIMEOUT_DOUBLINGS);
        self.state = ConnectionState::AwaitingAnswer {
            deadline: now + timeout,
        };
    }
}
