//! Implausible settings and events cause no panic and lose no requests.

mod common;

use common::{endpoint, FakeHost, LOAD_COMMANDS};
use rstest::rstest;
use sanddrum::{
    EndpointListKind, EventBatch, HealthCheckResult, Outcome, Request, RequestId, Value, Warmth,
    WorkerId, WorkerState,
};

#[rstest]
#[case::latency_objective("workloads.0.start-target-us")]
#[case::keep_alive("copies.keep-alive-us")]
#[case::slow_start_window("rules.cold-us")]
#[case::collapse_window("rules.fall-us")]
#[case::slow_start_initial_fraction("rules.cold-from")]
#[case::routers("routers")]
#[case::key_window("workloads.0.repeat-window-us")]
#[case::workloads("workloads.count")]
fn setting_of_zero_loses_no_request_and_causes_few_wake_ups(#[case] name: &str) {
    let mut host = FakeHost::new(5, &[(name, Value::Number(0.0)), LOAD_COMMANDS]);
    host.update_endpoint(endpoint(1, WorkerState::Ready, host.now));
    let mut wake_ups = 0;
    for id in 0..40 {
        host.send(id, id % 3);
        host.answer_queries(0);
        if host.is_dispatched(id) {
            host.succeed(id, Warmth::Warm, 50_000);
        }
        wake_ups += host.advance(100_000);
    }
    host.advance(4_000_000);
    let answered = (0..40)
        .filter(|id| host.is_dispatched(*id) || host.final_answers(*id) == 1)
        .count();
    assert_eq!(answered, 40);
    assert!(wake_ups < 40 * 40, "woken {wake_ups} times in four seconds");
}

#[rstest]
fn implausible_events_cause_no_panic() {
    let mut host = FakeHost::new(0, &[]);
    host.send(1, 7);
    host.update_endpoints(EndpointListKind::Full, vec![]);
    let late = Request {
        deadline: host.now - 1,
        concurrency: 0.0,
        memory_mb: 0.0,
        ..host.request(2, 8)
    };
    host.handle(EventBatch {
        requests: vec![late],
        cancelled: vec![RequestId(99)],
        ..EventBatch::default()
    });
    host.end_load(5, 55, Outcome::Finished, 1);
    host.end_attempt(77, Outcome::Finished, Warmth::Warm, 10);
    host.end_attempt(2, Outcome::Finished, Warmth::Warm, 10);
    host.end_attempt(2, Outcome::Finished, Warmth::Warm, 10);
    let unknown_worker = HealthCheckResult {
        worker: WorkerId(5),
        outcome: Outcome::Finished,
        latency: 1,
        report: None,
    };
    host.handle(EventBatch {
        health_check_results: vec![unknown_worker],
        timer: true,
        ..EventBatch::default()
    });
    host.advance(4_000_000);
    assert_eq!((host.final_answers(1), host.final_answers(2)), (1, 1));
}

/// Guards against functions that no worker has and that clients name by the thousand: what is known of them is evicted,
/// and what is known of functions that were served, or that requests wait for, is not.
#[rstest]
fn a_flood_of_unknown_functions_evicts_neither_served_nor_awaited_functions() {
    let mut host = FakeHost::new(3, &[]);
    host.send(1, 7);
    let warm = host.dispatched_to(1);
    host.succeed(1, Warmth::StartedLoad, 900_000);
    host.send(2, 8);
    for number in 10..10_000 {
        host.send(number, 1_000 + number);
        host.handle(EventBatch {
            cancelled: vec![RequestId(number)],
            ..EventBatch::default()
        });
        host.report_outcome(number, Outcome::CancelledBeforeStart, Warmth::Unknown, 1);
        host.now += 1;
    }
    let awaited = host.dispatched_to(2);
    host.succeed(2, Warmth::StartedLoad, 100_000);
    // The flood is over, and its load on the router has decayed.
    host.advance(3_000_000);
    host.send(20_000, 7);
    assert_eq!(host.dispatched_to(20_000), warm, "the instance is known");
    host.send(20_001, 8);
    assert_eq!(host.dispatched_to(20_001), awaited, "the load was awaited");
}
