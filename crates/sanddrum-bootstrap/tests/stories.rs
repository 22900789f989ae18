//! Starts and list services that fail, told to the module alone.

use rstest::rstest;
use sanddrum::{Micros, Settings, Value};
use sanddrum_bootstrap::{Bootstrap, Decisions, DiscoveryEvent, Readiness};

#[derive(Default)]
struct Host {
    calls: Vec<Micros>,
    asks: Vec<Micros>,
    hung_up: Vec<Micros>,
    now: Micros,
    wake: Micros,
}

impl Decisions for Host {
    fn connect(&mut self) {
        self.calls.push(self.now);
    }
    fn poll(&mut self) {
        self.asks.push(self.now);
    }
    fn disconnect(&mut self) {
        self.hung_up.push(self.now);
    }
    fn wake_at(&mut self, at: Micros) {
        self.wake = at;
    }
}

fn edge(seed: u64, edges: f64) -> (Bootstrap, Host) {
    let number = |name: &str, n: f64| (name.to_string(), Value::Number(n));
    let set = [number("routers", edges), number("limits.list-calls", 100.0)];
    (Bootstrap::new(seed, &Settings(set.into())), Host::default())
}

/// Lets time pass, with news at each wake as the service would have it.
fn pass(
    start: &mut Bootstrap,
    host: &mut Host,
    until: Micros,
    news: impl Fn(&Host) -> Vec<DiscoveryEvent>,
) {
    while host.wake <= until {
        host.now = host.wake.max(host.now);
        let (called, asked) = (host.calls.len(), host.asks.len());
        start.handle(host.now, &[], host);
        if host.calls.len() + host.asks.len() > called + asked {
            let news = news(host);
            start.handle(host.now, &news, host);
        }
    }
    host.now = until;
}

#[rstest]
#[case::three(3.0)]
#[case::three_hundred(300.0)]
#[case::three_hundred_set_as_a_hundred(100.0)]
fn first_calls_of_all_are_spread_and_a_kept_list_serves_meanwhile(#[case] set: f64) {
    let edges = if set < 10.0 { 3 } else { 300 };
    let mut calls = Vec::new();
    for n in 0..edges {
        let (mut start, mut host) = edge(n, set);
        start.handle(0, &[DiscoveryEvent::Started { has_cache: true }], &mut host);
        assert_eq!(
            (start.readiness(), start.is_healthy()),
            (Readiness::CachedEndpoints, true)
        );
        pass(&mut start, &mut host, 5_000_000, |_| {
            vec![DiscoveryEvent::Answered]
        });
        assert_eq!(start.readiness(), Readiness::Synced);
        calls.push(host.calls[0]);
    }
    calls.sort();
    let worst = calls
        .iter()
        .map(|at| {
            calls
                .iter()
                .filter(|c| (*at..at + 1_000_000).contains(*c))
                .count()
        })
        .max();
    // Set right, a hundred a second and what chance adds; set wrong by three, three times that.
    let bound = if set == 100.0 { 310 } else { 150 };
    assert!(worst <= Some(bound), "{worst:?}");
    assert!(
        edges > 10 || calls[2] < 100_000,
        "few edges are not slowed: {calls:?}"
    );
}

#[rstest]
fn an_edge_that_knows_no_worker_says_so_and_calls_early() {
    let (mut start, mut host) = edge(1, 300.0);
    start.handle(
        0,
        &[DiscoveryEvent::Started { has_cache: false }],
        &mut host,
    );
    assert!(!start.is_healthy());
    pass(&mut start, &mut host, 750_000, |_| {
        vec![DiscoveryEvent::Answered]
    });
    assert_eq!((host.calls.len(), start.is_healthy()), (1, true));
}

#[rstest]
fn while_the_service_is_away_all_edges_together_keep_to_a_rate() {
    let mut calls = Vec::new();
    for n in 0..300 {
        let (mut start, mut host) = edge(n, 300.0);
        start.handle(
            0,
            &[DiscoveryEvent::Started {
                has_cache: n % 2 == 0,
            }],
            &mut host,
        );
        pass(&mut start, &mut host, 10_000_000, |_| {
            vec![DiscoveryEvent::Disconnected]
        });
        calls.extend(host.calls.iter().map(|at| at / 1_000_000));
    }
    for second in 0..10 {
        let count = calls.iter().filter(|at| **at == second).count();
        assert!(count <= 300, "{count} calls in second {second}");
    }
    assert!(calls.len() < 1700, "{} calls in ten seconds", calls.len());
}

#[rstest]
fn one_that_takes_the_call_and_says_nothing_is_left_and_called_ever_less_often() {
    let (mut start, mut host) = edge(7, 3.0);
    start.handle(0, &[DiscoveryEvent::Started { has_cache: true }], &mut host);
    pass(&mut start, &mut host, 60_000_000, |_| vec![]);
    assert!((5..20).contains(&host.hung_up.len()), "{:?}", host.hung_up);
    assert_eq!(start.readiness(), Readiness::CachedEndpoints);
}

#[rstest]
fn a_quiet_service_is_looked_after_and_left_when_it_does_not_answer() {
    let (mut start, mut host) = edge(7, 3.0);
    start.handle(0, &[DiscoveryEvent::Started { has_cache: true }], &mut host);
    pass(&mut start, &mut host, 40_000_000, |host| {
        if host.asks.len() < 2 {
            vec![DiscoveryEvent::Answered]
        } else {
            vec![]
        }
    });
    assert!(
        host.asks.len() >= 2 && !host.hung_up.is_empty(),
        "{:?} {:?}",
        host.asks,
        host.hung_up
    );
}

#[rstest]
fn a_gap_is_asked_about_once_however_often_it_shows() {
    let (mut start, mut host) = edge(7, 300.0);
    start.handle(0, &[DiscoveryEvent::Started { has_cache: true }], &mut host);
    // By now there is a permit again.
    pass(&mut start, &mut host, 7_000_000, |_| {
        vec![DiscoveryEvent::Answered]
    });
    for _ in 0..50 {
        host.now += 1_000;
        start.handle(host.now, &[DiscoveryEvent::Gap], &mut host);
    }
    assert_eq!(host.asks.len(), 1);
    // The answer came, and the next gap waits for the budget.
    start.handle(host.now, &[DiscoveryEvent::Answered], &mut host);
    for _ in 0..50 {
        host.now += 1_000;
        start.handle(
            host.now,
            &[DiscoveryEvent::Gap, DiscoveryEvent::Answered],
            &mut host,
        );
    }
    assert_eq!(host.asks.len(), 1, "{:?}", host.asks);
}

/// However many edges there are: a quarter of the time for those without a list, so four times the rate, and the rate
/// once all lose the service at one instant; and what chance adds.
#[rstest]
#[case::few(300)]
#[case::thousands(4200)]
fn calls_of_all_keep_to_the_rate_whatever_their_number(#[case] edges: u64) {
    let until = (edges as i64 + 500) * 10_000;
    let mut calls = [Vec::new(), Vec::new(), Vec::new()];
    for n in 0..edges {
        for kept in [false, true] {
            let (mut start, mut host) = edge(n, edges as f64);
            start.handle(0, &[DiscoveryEvent::Started { has_cache: kept }], &mut host);
            pass(&mut start, &mut host, until, |_| {
                vec![DiscoveryEvent::Answered]
            });
            calls[usize::from(kept)].push(host.calls[0]);
            if kept {
                // It has been up for long, so that it has a permit.
                pass(&mut start, &mut host, 2 * until, |_| {
                    vec![DiscoveryEvent::Answered]
                });
                host.calls.clear();
                start.handle(host.now, &[DiscoveryEvent::Disconnected], &mut host);
                pass(&mut start, &mut host, 3 * until, |_| {
                    vec![DiscoveryEvent::Answered]
                });
                calls[2].push(host.calls[0] - 2 * until);
            }
        }
    }
    let worst = |calls: &[i64]| {
        let mut seconds = std::collections::BTreeMap::new();
        calls
            .iter()
            .for_each(|at| *seconds.entry(at / 1_000_000).or_insert(0) += 1);
        seconds.values().copied().max()
    };
    let [blind, kept, lost] = calls;
    assert!(worst(&blind) <= Some(480), "{:?}", worst(&blind));
    assert!(worst(&kept) <= Some(150), "{:?}", worst(&kept));
    assert!(worst(&lost) <= Some(150), "{:?}", worst(&lost));
}
