//! Warm-first placement: which instances are believed, queried or presumed, and which one is chosen.

mod common;

use common::{
    endpoint, ready_endpoint, report, router_count, text, workers_answer_misses, FakeHost,
    LOAD_COMMANDS,
};
use rstest::rstest;
use sanddrum::{Endpoint, EndpointListKind, Micros, Outcome, Value, Warmth, WorkerState};
use std::collections::BTreeSet;

#[rstest]
fn second_request_goes_to_the_instance_of_the_first() {
    let mut host = FakeHost::new(3, &[]);
    host.send(1, 7);
    let first = host.dispatched_to(1);
    host.succeed(1, Warmth::StartedLoad, 900_000);
    host.send(2, 7);
    assert!(first.is_some());
    assert_eq!(host.dispatched_to(2), first);
}

#[rstest]
#[case::within_the_keep_alive(7_000_000, true)]
#[case::after_the_keep_alive(8_100_000, false)]
fn instance_is_believed_loaded_for_its_keep_alive(#[case] idle: Micros, #[case] is_believed: bool) {
    // A router that believes an instance to be loaded does not query. The other requests earn the query budget.
    let mut host = FakeHost::new(3, &[LOAD_COMMANDS]);
    host.send(1, 7);
    host.answer_queries(0);
    host.succeed(1, Warmth::StartedLoad, 900_000);
    for id in 100..104 {
        host.send(id, 8);
        host.answer_queries(0);
        host.succeed(id, Warmth::Warm, 10_000);
    }
    host.advance(idle);
    let queries = host.load_commands(7, 0);
    host.send(2, 7);
    assert_eq!(host.load_commands(7, 0) == queries, is_believed);
}

#[rstest]
fn restarted_worker_is_known_to_have_no_instances() {
    let mut host = FakeHost::new(3, &[workers_answer_misses(), LOAD_COMMANDS]);
    host.send(1, 7);
    host.answer_queries(0);
    let worker = host.complete_first_load(7, 900_000);
    assert_eq!(host.dispatched_to(1), Some(worker));
    host.succeed(1, Warmth::Warm, 100_000);
    host.update_endpoint(endpoint(worker, WorkerState::Ready, host.now));
    host.send(2, 7);
    assert_eq!(host.dispatched_to(2), None);
}

#[rstest]
fn instance_loaded_for_another_router_is_found_by_queries() {
    let mut host = FakeHost::new(9, &[LOAD_COMMANDS]);
    host.send(1, 7);
    assert_eq!(host.dispatched_to(1), None);
    let queried = host.queried_workers(7);
    assert_eq!(
        queried.len(),
        2,
        "all inspected endpoints but the load target, up to the initial query budget"
    );
    host.end_load(queried[0], 7, Outcome::Finished, 0);
    host.end_load(queried[1], 7, Outcome::Finished, 1);
    assert_eq!(host.dispatched_to(1), Some(queried[1]));
}

#[rstest]
#[case::many_routers(200.0, 0)]
#[case::one_router(1.0, 2)]
fn preferred_endpoints_are_presumed_warm_among_many_routers_and_queried_by_one(
    #[case] routers: f64,
    #[case] queries: usize,
) {
    let mut host = FakeHost::new(9, &[LOAD_COMMANDS, router_count(routers)]);
    host.send(1, 7);
    assert_eq!(host.queried_workers(7).len(), queries);
    assert_eq!(host.is_dispatched(1), queries == 0);
}

#[rstest]
fn routers_agree_on_preferred_endpoints_without_communication() {
    let mut preferred = [BTreeSet::new(), BTreeSet::new()];
    for (router, preferred) in (1..).zip(&mut preferred) {
        for attempt in 0..40 {
            let seed = router * 100 + attempt;
            let mut host = FakeHost::with_seed(seed, 60, &[router_count(200.0)]);
            host.send(1, 7);
            preferred.extend(host.dispatched_to(1));
        }
    }
    assert_eq!(preferred[0], preferred[1]);
    assert_eq!(
        preferred[0].len(),
        2,
        "the minimum for a function that was requested once"
    );
}

#[rstest]
#[case::live("live", true)]
#[case::nominal("nominal", false)]
fn live_sizes_do_not_move_preferred_endpoints(#[case] sizes: &str, #[case] is_same: bool) {
    let preferred = [3, 7].map(|factor: u64| {
        let settings = [router_count(200.0), ("sizes", text(sizes))];
        let sized = |worker: u64| Endpoint {
            size: ((worker * factor + factor) % 9 + 1) as f64 / 4.0,
            ..ready_endpoint(worker)
        };
        let dispatched = (0..160).map(|n| {
            let function = n % 8;
            let mut host = FakeHost::with_seed(n / 8, 60, &settings);
            host.update_endpoints(EndpointListKind::Full, (0..60).map(sized).collect());
            host.send(1, function);
            (function, host.dispatched_to(1))
        });
        dispatched.collect::<BTreeSet<_>>()
    });
    assert_eq!(preferred[0] == preferred[1], is_same);
}

#[rstest]
fn preferred_endpoint_without_an_instance_loads_one_for_later_requests() {
    let settings = [workers_answer_misses(), LOAD_COMMANDS, router_count(200.0)];
    let mut host = FakeHost::new(6, &settings);
    for id in 0..8 {
        host.send(id, 7);
        let missed_at = host.dispatched_to(id);
        host.end_attempt(id, Outcome::ColdMiss, Warmth::Unknown, 1_000);
        if host.dispatched_to(id) != missed_at {
            host.succeed(id, Warmth::Warm, 50_000);
        }
    }
    assert!(host.load_commands(7, 1) > 0);
}

#[rstest]
#[case::as_many_as_others(4.0, true)]
#[case::far_more(40.0, false)]
fn worker_that_reports_far_more_requests_than_others_is_avoided(
    #[case] in_flight: f64,
    #[case] is_chosen: bool,
) {
    let mut host = FakeHost::new(3, &[router_count(200.0), LOAD_COMMANDS]);
    let mut serve = |id: u64, function: u64, in_flight: f64| {
        host.send(id, function);
        let worker = host.dispatched_to(id);
        host.report = report(in_flight, 0.0);
        host.succeed(id, Warmth::Warm, 50_000);
        worker
    };
    // Establishes the median from reports of enough other workers.
    for id in 0..30 {
        serve(id, id, 4.0);
    }
    let first = serve(100, 99, in_flight);
    host.advance(200_000);
    host.send(101, 99);
    assert_eq!(host.dispatched_to(101) == first, is_chosen);
}

#[rstest]
#[case::wrong_presumption_costs_a_miss("miss", 30.0, 5)]
#[case::wrong_presumption_costs_a_load("load", 30.0, 4)]
#[case::nothing_is_queued("load", 0.0, 2)]
fn congested_preferred_endpoints_are_replaced_by_fallbacks(
    #[case] on_miss: &str,
    #[case] queued: f64,
    #[case] endpoints: usize,
) {
    let settings = [
        router_count(400.0),
        ("copies.on-miss", Value::Text(on_miss.into())),
    ];
    let mut host = FakeHost::new(25, &settings);
    // Every worker reports a low load; those that then serve function 99 report a high one.
    for id in 0..400 {
        host.send(id, 1_000 + id);
        host.report = report(4.0, 0.0);
        host.succeed(id, Warmth::Warm, 20_000);
    }
    let mut used = BTreeSet::new();
    for id in 400..410 {
        host.send(id, 99);
        used.extend(host.dispatched_to(id));
        host.report = report(40.0, queued);
        host.succeed(id, Warmth::Warm, 20_000);
    }
    assert_eq!(used.len(), endpoints);
}
