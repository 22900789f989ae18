//! The state machine of an edge's calls to the discovery service.

use crate::{Decisions, DiscoveryEvent, Readiness};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sanddrum::{Micros, Settings};
use sanddrum_limits::TokenBucket;

/// An edge without endpoints makes its first call within this fraction of the time over which all first calls are
/// spread: it rejects its requests until then, while edges with a cached list serve theirs.
const NO_CACHE_SPREAD: f64 = 0.25;
/// A retry delay is random between the minimum delay and this multiple of the previous one (decorrelated jitter).
const MAX_DELAY_GROWTH: f64 = 3.0;
/// The burst of an edge's call budget. A larger one would let all edges call again at once after a failed first call.
const CALL_BURST: f64 = 1.0;
/// Calls are spread over at most ten minutes, even if the configured number of edges is far too large.
const MAX_SPREAD: Micros = 600_000_000;
/// The maximum number of times that the answer time-out doubles, once for each unanswered call.
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;
/// The next check follows after a random time between this many check intervals and one more, so that edges that were
/// answered at the same time do not check at the same time.
const MIN_CHECK_INTERVALS: f64 = 0.5;

/// The state of the connection to the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// There is no connection; the next one is opened at `retry_at`.
    Disconnected { retry_at: Micros },
    /// A call or poll has not been answered; the connection is closed at `deadline`.
    AwaitingAnswer { deadline: Micros },
    /// Up to date. The service is polled at `check_at`, as it may be gone if it is silent.
    Watching { check_at: Micros },
    /// Changes are missing. They are polled at `poll_at`, or as soon as the budget allows.
    Behind { poll_at: Micros },
}

/// Decides when an edge calls the discovery service and tracks the edge's readiness.
pub struct Bootstrap {
    readiness: Readiness,
    state: ConnectionState,
    rng: Pcg64Mcg,
    /// The calls per second that this edge may make.
    call_rate: f64,
    /// The time in which all edges can make one call each at the permitted rate.
    spread: Micros,
    min_retry_delay: Micros,
    max_retry_delay: Micros,
    connect_timeout: Micros,
    check_interval: Micros,
    /// The last retry delay; zero after an answer.
    retry_delay: Micros,
    /// The number of consecutive unanswered calls.
    unanswered: u32,
    budget: TokenBucket,
}

impl Bootstrap {
    /// The state of an edge that has not started. Equal seeds and events result in equal decisions.
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
    /// The edge's readiness.
    pub fn readiness(&self) -> Readiness {
        self.readiness
    }
    /// Whether the edge has an endpoint list and can serve clients.
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
                // In the other states, the next call or the one in flight covers the gap.
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
    /// Schedules a retry after the connection was lost. All edges may have lost it at the same instant, so the delay is
    /// spread over the time that all of them need: shorter delays would make them reconnect at the same time.
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
    /// Sets the deadline of the call or poll. The time-out grows with each unanswered call, as abandoned and repeated
    /// calls only add load to a slow service.
    fn await_answer(&mut self, now: Micros) {
        let timeout = self.connect_timeout << self.unanswered.min(MAX_TIMEOUT_DOUBLINGS);
        self.state = ConnectionState::AwaitingAnswer {
            deadline: now + timeout,
        };
    }
}
