//! Calls to the discovery service when edges start and when the service fails.

use rstest::rstest;
use sanddrum::{Micros, Settings, Value};
use sanddrum_bootstrap::{Bootstrap, Decisions, DiscoveryEvent, Readiness};
use std::collections::BTreeMap;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// The recorded decisions of one edge, each with its instant.
#[derive(Default)]
struct Recorded {
    connects: Vec<Micros>,
    polls: Vec<Micros>,
    disconnects: Vec<Micros>,
    now: Micros,
    wake_at: Micros,
}

impl Decisions for Recorded {
    fn connect(&mut self) {
        self.connects.push(self.now);
    }
    fn poll(&mut self) {
        self.polls.push(self.now);
    }
    fn disconnect(&mut self) {
        self.disconnects.push(self.now);
    }
    fn wake_at(&mut self, at: Micros) {
        self.wake_at = at;
    }
}

/// One edge and its clock.
struct Edge {
    bootstrap: Bootstrap,
    recorded: Recorded,
}

impl Edge {
    /// An edge that starts now; `edges` is the configured number of edges.
    fn started(seed: u64, edges: f64, has_cache: bool) -> Edge {
        let number = |name: &str, value: f64| (name.to_string(), Value::Number(value));
        let settings = [number("routers", edges), number("limits.list-calls", 100.0)];
        let mut edge = Edge {
            bootstrap: Bootstrap::new(seed, &Settings(settings.into())),
            recorded: Recorded::default(),
        };
        edge.handle(&[DiscoveryEvent::Started { has_cache }]);
        edge
    }
    fn handle(&mut self, events: &[DiscoveryEvent]) {
        let now = self.recorded.now;
        self.bootstrap.handle(now, events, &mut self.recorded);
    }
    /// Runs until this instant. `respond` returns the events that immediately follow each call or poll.
    fn run_until(&mut self, until: Micros, respond: impl Fn(&Recorded) -> Vec<DiscoveryEvent>) {
        while self.recorded.wake_at <= until {
            self.recorded.now = self.recorded.wake_at.max(self.recorded.now);
            let calls_before = self.calls();
            self.handle(&[]);
            if self.calls() > calls_before {
                let events = respond(&self.recorded);
                self.handle(&events);
            }
        }
        self.recorded.now = until;
    }
    /// Runs until this instant with a service that answers each call.
    fn run_answered_until(&mut self, until: Micros) {
        self.run_until(until, |_| vec![DiscoveryEvent::Answered]);
    }
    fn calls(&self) -> usize {
        self.recorded.connects.len() + self.recorded.polls.len()
    }
}

#[rstest]
#[case::three(3.0)]
#[case::three_hundred(300.0)]
#[case::three_hundred_configured_as_a_hundred(100.0)]
fn first_calls_are_spread_and_a_cached_list_serves_meanwhile(#[case] configured_edges: f64) {
    let edges = if configured_edges < 10.0 { 3 } else { 300 };
    let mut first_calls = Vec::new();
    for seed in 0..edges {
        let mut edge = Edge::started(seed, configured_edges, true);
        assert_eq!(
            (edge.bootstrap.readiness(), edge.bootstrap.is_healthy()),
            (Readiness::CachedEndpoints, true)
        );
        edge.run_answered_until(5 * SECOND);
        assert_eq!(edge.bootstrap.readiness(), Readiness::Synced);
        first_calls.push(edge.recorded.connects[0]);
    }
    first_calls.sort();
    let busiest_second = first_calls
        .iter()
        .map(|from| {
            first_calls
                .iter()
                .filter(|at| (*from..from + SECOND).contains(*at))
                .count()
        })
        .max();
    // 100 calls per second plus random variation, or three times that if only a third of the edges is configured.
    let bound = if configured_edges == 100.0 { 310 } else { 150 };
    assert!(busiest_second <= Some(bound), "{busiest_second:?}");
    assert!(
        edges > 10 || first_calls[2] < 100 * MILLISECOND,
        "a few edges call almost immediately: {first_calls:?}"
    );
}

#[rstest]
fn an_edge_without_endpoints_is_unhealthy_and_calls_early() {
    let mut edge = Edge::started(1, 300.0, false);
    assert!(!edge.bootstrap.is_healthy());
    edge.run_answered_until(750 * MILLISECOND);
    assert_eq!(
        (edge.recorded.connects.len(), edge.bootstrap.is_healthy()),
        (1, true)
    );
}

#[rstest]
fn all_edges_together_keep_to_the_rate_while_the_service_is_down() {
    let mut seconds_of_calls = Vec::new();
    for seed in 0..300 {
        let mut edge = Edge::started(seed, 300.0, seed % 2 == 0);
        edge.run_until(10 * SECOND, |_| vec![DiscoveryEvent::Disconnected]);
        seconds_of_calls.extend(edge.recorded.connects.iter().map(|at| at / SECOND));
    }
    for second in 0..10 {
        let count = seconds_of_calls
            .iter()
            .filter(|other| **other == second)
            .count();
        assert!(count <= 300, "{count} calls in second {second}");
    }
    assert!(
        seconds_of_calls.len() < 1700,
        "{} calls in ten seconds",
        seconds_of_calls.len()
    );
}

#[rstest]
fn a_service_that_accepts_and_never_answers_is_disconnected_and_retried_with_backoff() {
    let mut edge = Edge::started(7, 3.0, true);
    edge.run_until(60 * SECOND, |_| vec![]);
    let disconnects = &edge.recorded.disconnects;
    assert!((5..20).contains(&disconnects.len()), "{disconnects:?}");
    assert_eq!(edge.bootstrap.readiness(), Readiness::CachedEndpoints);
}

#[rstest]
fn a_quiet_service_is_polled_and_disconnected_when_it_does_not_answer() {
    let mut edge = Edge::started(7, 3.0, true);
    edge.run_until(40 * SECOND, |recorded| {
        if recorded.polls.len() < 2 {
            vec![DiscoveryEvent::Answered]
        } else {
            vec![]
        }
    });
    let Recorded {
        polls, disconnects, ..
    } = &edge.recorded;
    assert!(
        polls.len() >= 2 && !disconnects.is_empty(),
        "{polls:?} {disconnects:?}"
    );
}

#[rstest]
fn repeated_reports_of_a_gap_cause_a_single_poll() {
    let mut edge = Edge::started(7, 300.0, true);
    // After this time the budget has a token again.
    edge.run_answered_until(7 * SECOND);
    for _ in 0..50 {
        edge.recorded.now += MILLISECOND;
        edge.handle(&[DiscoveryEvent::Gap]);
    }
    assert_eq!(edge.recorded.polls.len(), 1);
    // The poll is answered; the next gap waits for the budget.
    edge.handle(&[DiscoveryEvent::Answered]);
    for _ in 0..50 {
        edge.recorded.now += MILLISECOND;
        edge.handle(&[DiscoveryEvent::Gap, DiscoveryEvent::Answered]);
    }
    assert_eq!(edge.recorded.polls.len(), 1, "{:?}", edge.recorded.polls);
}

/// The largest number of calls in one second.
fn max_per_second(calls: &[Micros]) -> Option<usize> {
    let mut seconds = BTreeMap::new();
    for at in calls {
        *seconds.entry(at / SECOND).or_insert(0) += 1;
    }
    seconds.values().copied().max()
}

/// Edges without a cached list make their first call within a quarter of the time, so at four times the rate. Edges
/// with one keep to the rate, even after all of them lose the service at the same instant. The bounds allow for random
/// variation.
#[rstest]
#[case::few(300)]
#[case::thousands(4200)]
fn calls_of_all_edges_keep_to_the_rate_whatever_their_number(#[case] edges: u64) {
    let until = (edges as Micros + 500) * 10 * MILLISECOND;
    let (mut without_cache, mut with_cache, mut after_loss) = (vec![], vec![], vec![]);
    for seed in 0..edges {
        let mut edge = Edge::started(seed, edges as f64, false);
        edge.run_answered_until(until);
        without_cache.push(edge.recorded.connects[0]);

        let mut edge = Edge::started(seed, edges as f64, true);
        edge.run_answered_until(until);
        with_cache.push(edge.recorded.connects[0]);

        // After this time its budget has a token.
        edge.run_answered_until(2 * until);
        edge.recorded.connects.clear();
        edge.handle(&[DiscoveryEvent::Disconnected]);
        edge.run_answered_until(3 * until);
        after_loss.push(edge.recorded.connects[0] - 2 * until);
    }
    let busiest = [&without_cache, &with_cache, &after_loss].map(|calls| max_per_second(calls));
    assert!(busiest[0] <= Some(480), "{busiest:?}");
    assert!(busiest[1] <= Some(150), "{busiest:?}");
    assert!(busiest[2] <= Some(150), "{busiest:?}");
}
