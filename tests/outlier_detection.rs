//! Outlier detection: workers that do not answer are checked and ejected, and their requests are retried elsewhere.

mod common;

use common::{endpoint, ready_endpoint, text, Action, FakeHost};
use rstest::rstest;
use sanddrum::{EndpointListKind, Outcome, Value, Warmth, WorkerState};

const HEALTH_CHECKS: (&str, Value) = ("limits.probes", Value::Flag(true));

#[rstest]
fn unresponsive_worker_is_checked_and_ejected_and_its_requests_are_hedged() {
    let hedging = ("limits.second-copies", Value::Flag(true));
    let mut host = FakeHost::new(2, &[HEALTH_CHECKS, hedging]);
    host.send(0, 7);
    host.succeed(0, Warmth::StartedLoad, 900_000);
    host.send(1, 7);
    let unresponsive = host.dispatched_to(1).unwrap_or(9);
    host.advance(1_000_000);
    assert!(host.count(|action| *action == Action::CheckHealth(unresponsive)) > 1);
    assert_eq!(
        host.attempts[&1], 2,
        "a hedged attempt besides the first one"
    );
    assert_ne!(host.dispatched_to(1), Some(unresponsive));
    host.send(2, 8);
    assert_ne!(host.dispatched_to(2), Some(unresponsive));
}

#[rstest]
fn run_once_request_at_an_unresponsive_worker_fails_at_its_deadline() {
    let mut host = FakeHost::new(
        2,
        &[HEALTH_CHECKS, ("workloads.0.effect", text("run-once"))],
    );
    host.send(1, 7);
    host.advance(2_990_000);
    assert_eq!((host.attempts[&1], host.final_answers(1)), (1, 0));
    host.advance(20_000);
    assert_eq!(host.count(|action| *action == Action::Fail(1)), 1);
    host.end_attempt(1, Outcome::TimedOut, Warmth::Unknown, 1_000);
    assert_eq!(host.final_answers(1), 1, "a late outcome changes nothing");
}

#[rstest]
#[case::one_of_three(1, 0, false)]
#[case::two_of_three(2, 1, false)]
#[case::two_of_three_that_left_and_returned(2, 1, true)]
fn ejections_are_ignored_while_most_workers_are_ejected(
    #[case] unreachable: u64,
    #[case] used: usize,
    #[case] leave_and_return: bool,
) {
    let mut host = FakeHost::new(3, &[HEALTH_CHECKS]);
    for id in 0..unreachable {
        host.send(id, id);
        host.end_attempt(id, Outcome::NoConnection, Warmth::Unknown, 1_000);
        // Each request is retried elsewhere and succeeds.
        host.succeed(id, Warmth::StartedLoad, 900_000);
    }
    let ejected: Vec<u64> = (0..3)
        .filter(|worker| host.count(|action| *action == Action::CheckHealth(*worker)) > 0)
        .collect();
    if leave_and_return {
        let gone = |worker: &u64| endpoint(*worker, WorkerState::Gone, 0);
        host.update_endpoints(EndpointListKind::Delta, ejected.iter().map(gone).collect());
        for id in 50..60 {
            host.send(id, id);
            host.succeed(id, Warmth::StartedLoad, 300_000);
            host.advance(700_000);
        }
        let ready = |worker: &u64| ready_endpoint(*worker);
        host.update_endpoints(EndpointListKind::Delta, ejected.iter().map(ready).collect());
        host.advance(200_000);
    }
    let before = host.log.actions.len();
    (10..30).for_each(|id| host.send(id, id));
    let is_to_ejected = |action: &Action| matches!(action, Action::Dispatch { worker, .. } if ejected.contains(worker));
    let uses_ejected = host.log.actions[before..].iter().any(is_to_ejected);
    assert_eq!(ejected.len() as u64, unreachable);
    assert_eq!(usize::from(uses_ejected), used);
}

#[rstest]
fn long_request_is_not_retried_elsewhere_where_workers_cannot_be_checked() {
    let mut host = FakeHost::new(2, &[]);
    host.send(0, 7);
    host.succeed(0, Warmth::StartedLoad, 900_000);
    host.send(1, 7);
    host.advance(2_000_000);
    assert_eq!(host.attempts[&1], 1);
    assert_eq!(host.count(|a| matches!(a, Action::Cancel { .. })), 0);
    host.succeed(1, Warmth::Warm, 0);
    assert_eq!(
        host.final_answers(1),
        0,
        "it succeeded, and is neither rejected nor failed"
    );
}

#[rstest]
fn unreachable_worker_is_ejected_and_later_tried_again_by_requests() {
    let mut host = FakeHost::new(5, &[]);
    host.send(0, 0);
    let unreachable = host.dispatched_to(0).unwrap();
    host.end_attempt(0, Outcome::NoConnection, Warmth::Unknown, 1_000);
    let dispatched_there = |host: &mut FakeHost, ids: std::ops::Range<u64>| {
        ids.filter(|id| {
            host.send(*id, *id);
            let worker = host.dispatched_to(*id);
            if worker.is_some_and(|worker| worker != unreachable) {
                host.succeed(*id, Warmth::StartedLoad, 20_000);
            }
            worker == Some(unreachable)
        })
        .count()
    };
    assert_eq!(dispatched_there(&mut host, 1..4), 0);
    host.advance(1_000_000);
    assert!(
        dispatched_there(&mut host, 4..40) > 0,
        "only a request can show that the worker is back"
    );
}

/// A load command that was not sent shows nothing of its worker, unlike one that the worker answered.
#[rstest]
#[case::withdrawn(Outcome::CancelledBeforeStart, false)]
#[case::rejected_by_the_worker(Outcome::Rejected, true)]
fn ejected_worker_returns_only_with_an_answer_to_a_load_command(
    #[case] outcome: Outcome,
    #[case] returns: bool,
) {
    let mut host = FakeHost::new(3, &[HEALTH_CHECKS]);
    host.send(0, 7);
    let unreachable = host.dispatched_to(0).unwrap();
    host.end_attempt(0, Outcome::NoConnection, Warmth::Unknown, 1_000);
    host.end_load(unreachable, 8, outcome, 0);
    let burst: Vec<_> = (100..130).map(|id| host.request(id, id)).collect();
    host.send_all(burst);
    let is_used = (100..130).any(|id| host.dispatched_to(id) == Some(unreachable));
    assert_eq!(is_used, returns);
}
