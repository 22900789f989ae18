//! The bounded set of workers considered for a request, in fleets of any size.

mod common;

use common::{
    endpoint, ready_endpoint, ready_endpoints, router_count, text, FakeHost, Setting, LOAD_COMMANDS,
};
use rstest::rstest;
use sanddrum::{
    CellId, Endpoint, EndpointList, EndpointListKind, EventBatch, Outcome, Request, Value, Warmth,
    WorkerState, ZoneId,
};
use std::collections::{BTreeMap, BTreeSet};

const MANY_ROUTERS: [Setting; 1] = [("routers", Value::Number(4_200.0))];

/// The preferred endpoints of each function.
type PreferredEndpoints = BTreeMap<u64, BTreeSet<u64>>;

/// The preferred endpoints of functions: where routers with this endpoint list dispatch the first request.
fn preferred_endpoints(
    endpoints: &[Endpoint],
    functions: std::ops::Range<u64>,
) -> PreferredEndpoints {
    let mut preferred = PreferredEndpoints::new();
    for seed in 0..12 {
        let mut host = FakeHost::with_seed(seed, 0, &MANY_ROUTERS);
        host.update_endpoints(EndpointListKind::Full, endpoints.to_vec());
        for function in functions.clone() {
            host.send(function, function);
            preferred
                .entry(function)
                .or_default()
                .extend(host.dispatched_to(function));
            host.succeed(function, Warmth::Warm, 1_000);
        }
    }
    preferred
}

/// The number of functions that have a preferred endpoint in common.
fn count_shared(one: &PreferredEndpoints, other: &PreferredEndpoints) -> usize {
    one.iter()
        .filter(|(function, endpoints)| !endpoints.is_disjoint(&other[function]))
        .count()
}

#[rstest]
#[case::draining(WorkerState::Draining)]
#[case::gone(WorkerState::Gone)]
fn requests_go_to_other_workers_when_preferred_endpoints_leave(#[case] state: WorkerState) {
    let mut host = FakeHost::new(400, &MANY_ROUTERS);
    let mut left = BTreeSet::new();
    for id in 0..60 {
        host.send(id, 7);
        let worker = host.dispatched_to(id).expect("a worker");
        assert!(!left.contains(&worker), "{worker} has left");
        host.succeed(id, Warmth::Warm, 10_000);
        left.insert(worker);
        host.update_endpoint(endpoint(worker, state, 0));
    }
    assert_eq!(left.len(), 60);
}

#[rstest]
fn unreachable_endpoints_are_skipped() {
    let health_checks = [("limits.probes", Value::Flag(true))];
    let mut host = FakeHost::new(400, &[&MANY_ROUTERS[..], &health_checks[..]].concat());
    let mut unreachable = BTreeSet::new();
    for id in 0..60 {
        host.send(id, 7);
        unreachable.extend(host.dispatched_to(id));
        host.end_attempt(id, Outcome::NoConnection, Warmth::Unknown, 1_000);
        assert!(
            !unreachable.contains(&host.dispatched_to(id).expect("another worker")),
            "retried at an unreachable worker"
        );
        host.succeed(id, Warmth::Warm, 10_000);
    }
    assert!(unreachable.len() > 10);
}

#[rstest]
fn loss_of_a_zone_moves_only_its_own_preferred_endpoints() {
    let in_zone = |worker: u64| Endpoint {
        zone: ZoneId(worker as usize % 19),
        ..ready_endpoint(worker)
    };
    let all: Vec<_> = (0..1_900).map(in_zone).collect();
    let rest: Vec<_> = all
        .iter()
        .copied()
        .filter(|endpoint| endpoint.zone != ZoneId(3))
        .collect();
    let before = preferred_endpoints(&all, 0..100);
    let after = preferred_endpoints(&rest, 0..100);
    assert!(after.values().flatten().all(|worker| worker % 19 != 3));
    assert!(after.values().all(|endpoints| !endpoints.is_empty()));
    let shared = count_shared(&before, &after);
    assert!(
        shared >= 90,
        "{shared} of 100 functions keep a preferred endpoint"
    );
}

#[rstest]
fn instances_stay_in_use_when_the_fleet_grows_tenfold_in_one_step() {
    let mut host = FakeHost::new(30, &[]);
    for id in 0..40 {
        host.send(id, id);
        host.succeed(id, Warmth::StartedLoad, 10_000);
    }
    let warm: Vec<_> = (0..40).map(|id| host.dispatched_to(id)).collect();
    host.update_endpoints(EndpointListKind::Full, ready_endpoints(0..300));
    for id in 0..40 {
        host.send(100 + id, id);
        assert_eq!(host.dispatched_to(100 + id), warm[id as usize]);
        host.succeed(100 + id, Warmth::Warm, 10_000);
    }
    let new: BTreeSet<_> = preferred_endpoints(&ready_endpoints(0..300), 0..300)
        .into_values()
        .flatten()
        .filter(|worker| *worker >= 30)
        .collect();
    assert!(
        new.len() > 200,
        "{} of the 270 new workers are preferred endpoints",
        new.len()
    );
}

#[rstest]
fn function_with_a_third_of_all_requests_spreads_over_a_proportional_part_of_the_fleet() {
    let mut host = FakeHost::new(600, &MANY_ROUTERS);
    for id in 0..600 {
        host.send(id, if id % 3 == 0 { 7 } else { 1_000 + id });
        host.succeed(id, Warmth::Warm, 5_000);
    }
    let requests: Vec<Request> = (1_000..1_200).map(|id| host.request(id, 7)).collect();
    host.send_all(requests);
    let mut by_worker = BTreeMap::<Option<u64>, usize>::new();
    for id in 1_000..1_200 {
        *by_worker.entry(host.dispatched_to(id)).or_default() += 1;
    }
    let most = by_worker.values().max().copied().unwrap_or(0);
    assert!(
        by_worker.len() >= 150 && most <= 3,
        "200 requests at {} workers, {most} at one",
        by_worker.len()
    );
}

#[rstest]
#[case::one(1)]
#[case::two(2)]
#[case::five(5)]
fn fleet_smaller_than_the_number_of_inspected_workers_is_used_completely(#[case] workers: u64) {
    let mut host = FakeHost::new(workers, &[]);
    let ids = 0..workers * 3;
    let requests: Vec<Request> = ids.clone().map(|id| host.request(id, 7)).collect();
    host.send_all(requests);
    let used: BTreeSet<_> = ids.filter_map(|id| host.dispatched_to(id)).collect();
    assert_eq!(used.len() as u64, workers);
}

#[rstest]
fn preferred_endpoints_follow_changed_sizes_that_differ_by_a_factor_of_sixteen() {
    let with_size = |worker: u64, large: u64| Endpoint {
        size: if worker % 2 == large { 16.0 } else { 1.0 },
        ..ready_endpoint(worker)
    };
    for large in [0, 1] {
        let mut host = FakeHost::new(0, &MANY_ROUTERS);
        let before = (0..200)
            .map(|worker| with_size(worker, 1 - large))
            .collect();
        let after = (0..200).map(|worker| with_size(worker, large)).collect();
        host.update_endpoints(EndpointListKind::Full, before);
        host.update_endpoints(EndpointListKind::Delta, after);
        let mut at_large = 0;
        for function in 0..400 {
            host.send(function, function);
            let worker = host.dispatched_to(function);
            at_large += usize::from(worker.is_some_and(|worker| worker % 2 == large));
            host.succeed(function, Warmth::Warm, 1_000);
        }
        assert!(at_large >= 360, "{at_large} of 400 at the large workers");
    }
}

#[rstest]
fn retry_by_idempotency_key_finds_the_only_other_worker_of_its_cell() {
    let by_key = [
        ("workloads.0.effect", text("fingerprinted")),
        ("workloads.0.group", text("cell")),
        ("workloads.0.repeat-window-us", Value::Number(2e6)),
    ];
    let mut host = FakeHost::new(0, &[&MANY_ROUTERS[..], &by_key[..]].concat());
    let in_cell = |worker: u64| Endpoint {
        cell: CellId(worker as usize / 2),
        ..ready_endpoint(worker)
    };
    host.update_endpoints(EndpointListKind::Full, (0..2_000).map(in_cell).collect());
    for id in 0..20 {
        host.send(id, id);
        let first = host.dispatched_to(id).expect("a worker");
        host.end_attempt(id, Outcome::Error, Warmth::Unknown, 10_000);
        assert_eq!(
            host.dispatched_to(id),
            Some(first ^ 1),
            "the other worker of its cell"
        );
        host.succeed(id, Warmth::Warm, 10_000);
    }
}

#[rstest]
fn order_of_endpoints_in_full_snapshots_moves_no_preferred_endpoint() {
    let endpoints = ready_endpoints(0..500);
    let mut preferred = PreferredEndpoints::new();
    for seed in 0..12 {
        let mut host = FakeHost::with_seed(seed, 0, &MANY_ROUTERS);
        for function in 0..50 {
            let mut endpoints = endpoints.clone();
            endpoints.rotate_left(function as usize * 7);
            let request = host.request(function, function);
            host.handle(EventBatch {
                endpoint_lists: vec![EndpointList {
                    kind: EndpointListKind::Full,
                    endpoints,
                }],
                requests: vec![request],
                ..EventBatch::default()
            });
            preferred
                .entry(function)
                .or_default()
                .extend(host.dispatched_to(function));
            host.succeed(function, Warmth::Warm, 1_000);
        }
    }
    assert_eq!(preferred, preferred_endpoints(&endpoints, 0..50));
}

#[rstest]
fn routers_whose_lists_differ_slightly_share_nearly_all_preferred_endpoints() {
    let shared = count_shared(
        &preferred_endpoints(&ready_endpoints(0..1_000), 0..200),
        &preferred_endpoints(&ready_endpoints(5..1_005), 0..200),
    );
    assert!(shared >= 194, "{shared} of 200");
}

/// Queries per request, for functions that few routers request now and then, so that each miss would cause queries.
fn queries_per_request(workers: u64) -> f64 {
    const REQUESTS: u64 = 600;
    let mut host = FakeHost::new(workers, &[LOAD_COMMANDS, router_count(2.0)]);
    for id in 0..REQUESTS {
        host.send(id, id % 150);
        host.answer_queries(0);
        if host.is_dispatched(id) {
            host.succeed(id, Warmth::Warm, 40_000);
        }
    }
    host.load_commands(None, 0) as f64 / REQUESTS as f64
}

#[rstest]
fn queries_stay_within_their_budget_and_do_not_grow_with_the_fleet() {
    let queries = [30, 300, 3_000].map(queries_per_request);
    assert!(
        queries.iter().all(|rate| *rate > 0.1 && *rate <= 1.0),
        "{queries:?}"
    );
    assert!(queries[2] <= queries[0] * 1.1, "{queries:?}");
}

#[rstest]
fn expired_instances_do_not_hide_loaded_ones() {
    let mut host = FakeHost::new(300, &[]);
    host.send(0, 7);
    host.succeed(0, Warmth::StartedLoad, 10_000);
    (0..250).for_each(|worker| host.end_load(worker, 7, Outcome::Finished, 1));
    host.advance(9_000_000);
    host.end_load(299, 7, Outcome::Finished, 1);
    for id in 1..10 {
        host.send(id, 7);
        assert_eq!(host.dispatched_to(id), Some(299));
        host.succeed(id, Warmth::Warm, 10_000);
    }
}
