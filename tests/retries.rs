//! Retry policy: which requests get another attempt, and where.

mod common;

use common::{endpoint, ready_endpoint, text, Action, FakeHost};
use rstest::rstest;
use sanddrum::{
    Endpoint, EndpointList, EndpointListKind, EventBatch, Micros, Outcome, Value, Warmth,
    WorkerState, ZoneId, NO_SEND_DEADLINE,
};

#[rstest]
#[case::idempotent("restartable", true)]
#[case::run_once("run-once", false)]
fn error_is_retried_only_if_the_request_is_idempotent(
    #[case] effect: &str,
    #[case] is_retried: bool,
) {
    let mut host = FakeHost::new(3, &[("workloads.0.effect", text(effect))]);
    host.send(1, 7);
    host.end_attempt(1, Outcome::Error, Warmth::Unknown, 10_000);
    assert_eq!(host.attempts[&1], if is_retried { 2 } else { 1 });
    assert_eq!(
        host.count(|action| *action == Action::Fail(1)),
        usize::from(!is_retried),
        "a request that is not retried fails immediately"
    );
    assert_eq!(host.count(|action| *action == Action::Reject(1)), 0);
}

#[rstest]
#[case::in_the_same_zone(0, 100_000, true)]
#[case::in_another_zone(1, 100_000, false)]
#[case::after_the_window(0, 600_000, false)]
fn retry_by_idempotency_key_stays_in_scope_and_window(
    #[case] zone: usize,
    #[case] after: Micros,
    #[case] is_retried: bool,
) {
    let settings = [
        ("workloads.0.effect", text("fingerprinted")),
        ("workloads.0.group", text("zone")),
        ("workloads.0.repeat-window-us", Value::Number(500_000.0)),
    ];
    let mut host = FakeHost::new(1, &settings);
    host.send(1, 7);
    let other = Endpoint {
        zone: ZoneId(zone),
        ..ready_endpoint(9)
    };
    let draining = endpoint(0, WorkerState::Draining, 0);
    host.update_endpoints(EndpointListKind::Delta, vec![draining, other]);
    host.end_attempt(1, Outcome::Error, Warmth::Unknown, after);
    assert_eq!(host.attempts[&1], if is_retried { 2 } else { 1 });
    assert_eq!(
        host.count(|action| *action == Action::Reject(1)),
        0,
        "a request that may have run is not rejected"
    );
}

/// Settings of a workload whose requests may run again at workers that recognize their idempotency keys for this long.
fn idempotent_by_key(key_window: Micros) -> [(&'static str, Value); 3] {
    [
        ("workloads.0.effect", text("fingerprinted")),
        ("workloads.0.group", text("all")),
        (
            "workloads.0.repeat-window-us",
            Value::Number(key_window as f64),
        ),
    ]
}

/// Review, case 6: a retry that waits for a connection must not be sent after the key window has closed.
#[rstest]
#[case::window_of_a_second(1_000_000, 920_000)]
#[case::window_shorter_than_a_connect_timeout(200_000, 150_000)]
fn retry_by_idempotency_key_must_be_sent_before_the_key_window_closes(
    #[case] key_window: Micros,
    #[case] fails_after: Micros,
) {
    let mut host = FakeHost::new(2, &idempotent_by_key(key_window));
    host.send(1, 7);
    let dispatched_at = host.now;
    host.end_attempt(1, Outcome::Error, Warmth::Unknown, fails_after);
    assert_eq!(host.attempts[&1], 2);
    let send_deadlines = host.log.attempt_limits.iter();
    let send_deadlines: Vec<Micros> = send_deadlines.map(|limits| limits.send_deadline).collect();
    assert_eq!(
        send_deadlines,
        [NO_SEND_DEADLINE, dispatched_at + key_window],
        "nothing bounds the first attempt, as none can have run before"
    );
}

#[rstest]
fn request_whose_retry_was_not_sent_in_time_fails_immediately() {
    let key_window = 1_000_000;
    let mut host = FakeHost::new(2, &idempotent_by_key(key_window));
    host.send(1, 7);
    let dispatched_at = host.now;
    host.end_attempt(1, Outcome::Error, Warmth::Unknown, key_window - 80_000);
    let waited = dispatched_at + key_window - host.now;
    host.end_attempt(1, Outcome::CancelledBeforeStart, Warmth::Unknown, waited);
    assert_eq!(host.attempts[&1], 2, "the key window has closed");
    assert_eq!(host.final_answers(1), 1);
}

/// Two workers, the settings of requests with idempotency keys, and a request that one worker does not answer. Returns the
/// workers that are checked from then on until shortly before the key window closes.
fn workers_checked_for_a_retry(settings: &[(&'static str, Value)], is_answered: bool) -> Vec<u64> {
    const CONNECT_TIMEOUT: Micros = 100_000;
    let mut all = vec![
        ("limits.probes", Value::Flag(true)),
        (
            "limits.connect-timeout-us",
            Value::Number(CONNECT_TIMEOUT as f64),
        ),
    ];
    all.extend(settings.iter().cloned());
    let mut host = FakeHost::new(2, &all);
    host.send(1, 7);
    let used = host.dispatched_to(1).unwrap();
    if is_answered {
        host.succeed(1, Warmth::Warm, 10_000);
    }
    host.advance(1_000_000 - CONNECT_TIMEOUT);
    let checked = host.log.actions.iter().filter_map(|action| match action {
        Action::CheckHealth(worker) if *worker != used => Some(*worker),
        _ => None,
    });
    checked.collect()
}

/// Review, case 6: the connection to the worker of the retry is opened while there is time for it.
#[rstest]
fn worker_of_a_retry_by_idempotency_key_is_checked_before_the_key_window_closes() {
    let settings = idempotent_by_key(1_000_000);
    assert_eq!(workers_checked_for_a_retry(&settings, false).len(), 1);
}

#[rstest]
#[case::request_is_answered(idempotent_by_key(1_000_000), true)]
#[case::key_window_is_longer_than_the_time_limit(idempotent_by_key(60_000_000), false)]
#[case::retry_may_be_sent_at_any_time(
    [
        ("workloads.0.effect", text("restartable")),
        ("workloads.0.group", text("all")),
        ("workloads.0.repeat-window-us", Value::Number(1e6)),
    ],
    false
)]
fn worker_is_not_checked_where_no_retry_is_prepared(
    #[case] settings: [(&'static str, Value); 3],
    #[case] is_answered: bool,
) {
    assert_eq!(workers_checked_for_a_retry(&settings, is_answered), []);
}

#[rstest]
fn retry_that_may_run_anywhere_has_no_send_deadline() {
    let mut host = FakeHost::new(2, &[]);
    host.send(1, 7);
    host.end_attempt(1, Outcome::Error, Warmth::Unknown, 10_000);
    let limits = host.log.attempt_limits.last().unwrap();
    assert_eq!(limits.send_deadline, NO_SEND_DEADLINE);
}

#[rstest]
#[case::draining(WorkerState::Draining)]
#[case::gone(WorkerState::Gone)]
fn worker_that_drains_or_leaves_in_the_same_batch_gets_nothing(#[case] state: WorkerState) {
    let mut host = FakeHost::new(1, &[]);
    let list = EndpointList {
        kind: EndpointListKind::Delta,
        endpoints: vec![endpoint(0, state, 0)],
    };
    let request = host.request(1, 7);
    host.handle(EventBatch {
        endpoint_lists: vec![list],
        requests: vec![request],
        ..EventBatch::default()
    });
    host.advance(4_000_000);
    assert_eq!(host.count(|a| matches!(a, Action::Dispatch { .. })), 0);
    assert_eq!(host.load_commands(None, 1), 0);
    assert_eq!(host.final_answers(1), 1);
}

#[rstest]
#[case::of_several_functions([0, 1, 2], true)]
#[case::of_one_function([0, 0, 2], false)]
fn router_backs_off_from_a_worker_that_fails_several_functions(
    #[case] failing: [usize; 3],
    #[case] backs_off: bool,
) {
    let mut host = FakeHost::new(2, &[]);
    let mut functions_at_worker = Vec::new();
    for function in 1..30 {
        host.send(function, function);
        if host.dispatched_to(function) == Some(1) {
            functions_at_worker.push(function);
        }
        host.succeed(function, Warmth::StartedLoad, 100_000);
    }
    for (id, which) in (100..).zip(&failing[..2]) {
        host.send(id, functions_at_worker[*which]);
        host.now += 400_000;
        host.report_outcome(id, Outcome::Error, Warmth::Warm, 1_000);
        host.now += 300_000;
    }
    host.send(200, functions_at_worker[failing[2]]);
    assert_eq!(host.dispatched_to(200) != Some(1), backs_off);
}
