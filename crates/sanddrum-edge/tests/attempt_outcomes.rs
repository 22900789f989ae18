//! Outcomes of attempts, load commands and health checks.

mod harness;

use harness::scripted_module::Decision;
use harness::{EdgeHarness, SECOND};
use rstest::rstest;
use sanddrum::Outcome;
use sanddrum_net::{CloseCause, Event};
use sanddrum_wire::{http, ExecutionStatus, FromWorker, HealthStatus, LoadDone};

#[rstest]
#[case::refused(0, CloseCause::Refused, Outcome::NoConnection)]
#[case::partially_written(60, CloseCause::Reset, Outcome::NoConnection)]
#[case::completely_written(10_000, CloseCause::Reset, Outcome::Reset)]
#[case::closed_gracefully_without_an_answer(10_000, CloseCause::Orderly, Outcome::Reset)]
fn a_lost_connection_reports_whether_the_attempt_may_have_run(
    #[case] capacity: usize,
    #[case] cause: CloseCause,
    #[case] outcome: Outcome,
) {
    let mut harness = EdgeHarness::new(&[]);
    let (_, worker) = harness.dispatch_http_request(5 * SECOND);
    harness.io.capacity.insert(worker, capacity);
    if cause != CloseCause::Refused {
        harness.connect(worker);
    }
    assert_eq!(
        harness.attempts_to(worker).len(),
        usize::from(capacity == 10_000)
    );
    harness.event(Event::Closed {
        conn: worker,
        cause,
    });
    harness.process();
    assert_eq!(harness.outcomes(), [outcome]);
}

#[rstest]
fn an_answer_after_a_cancellation_or_a_duplicate_answer_is_ignored() {
    let mut harness = EdgeHarness::new(&[]);
    let (client, worker) = harness.dispatch_http_request(5 * SECOND);
    harness.connect(worker);
    let id = harness.attempts_to(worker)[0];
    harness.decide(Decision::Cancel(0, 0));
    harness.process();
    assert_eq!(harness.outcomes(), [Outcome::Cancelled]);
    harness.answer_attempt(worker, id, ExecutionStatus::Finished);
    assert_eq!(
        (harness.outcomes().len(), harness.statuses(client).len()),
        (1, 0)
    );
    harness.decide(Decision::Reject(0));
    harness.answer_attempt(worker, id, ExecutionStatus::Finished);
    assert_eq!(harness.statuses(client), [503]);

    let (client, _) = harness.dispatch_http_request(5 * SECOND);
    let id = harness.attempts_to(worker)[1];
    harness.answer_attempt(worker, id, ExecutionStatus::Finished);
    harness.answer_attempt(worker, id, ExecutionStatus::Error);
    assert_eq!(harness.statuses(client), [200]);
    assert!(harness.script.borrow().attempt_results[1].is_final);
    assert_eq!(harness.outcomes().len(), 2);
}

/// Guards against a result that waits for another attempt where nothing proves what workers have read.
#[rstest]
fn the_result_of_a_hedged_request_is_passed_on_at_once() {
    let mut harness = EdgeHarness::new(&[]);
    let (client, worker) = harness.dispatch_http_request(5 * SECOND);
    harness.connect(worker);
    harness.decide(Decision::Dispatch(0, 5 * SECOND));
    harness.process();
    let attempts = harness.attempts_to(worker);
    assert_eq!(attempts.len(), 2);
    harness.answer_attempt(worker, attempts[0], ExecutionStatus::Finished);
    assert_eq!(harness.statuses(client), [200]);
}

#[rstest]
fn an_unwritten_attempt_is_retracted_and_has_not_run() {
    let mut harness = EdgeHarness::new(&[]);
    let (_, worker) = harness.dispatch_http_request(5 * SECOND);
    harness.decide(Decision::Cancel(0, 0));
    harness.process();
    assert_eq!(harness.outcomes(), [Outcome::CancelledBeforeStart]);
    harness.dispatch_http_request(SECOND / 10);
    harness.advance(SECOND / 5);
    assert_eq!(
        harness.outcomes(),
        [Outcome::CancelledBeforeStart, Outcome::NoConnection],
        "the time limit of the second attempt expired before it could be sent"
    );
    harness.connect(worker);
    assert_eq!(harness.attempts_to(worker), [] as [u64; 0]);
}

#[rstest]
fn a_written_attempt_without_an_answer_times_out() {
    let mut harness = EdgeHarness::new(&[]);
    let (client, worker) = harness.dispatch_http_request(SECOND);
    harness.connect(worker);
    harness.advance(2 * SECOND);
    assert_eq!(harness.outcomes(), [Outcome::TimedOut]);
    let id = harness.attempts_to(worker)[0];
    harness.answer_attempt(worker, id, ExecutionStatus::Finished);
    assert_eq!(
        harness.statuses(client),
        [] as [u16; 0],
        "an answer to an attempt that timed out is not forwarded"
    );
}

#[rstest]
#[case::finished(ExecutionStatus::Finished, Outcome::Finished)]
#[case::error(ExecutionStatus::Error, Outcome::Error)]
#[case::rejected(ExecutionStatus::Rejected, Outcome::Rejected)]
#[case::cold_miss(ExecutionStatus::ColdMiss, Outcome::ColdMiss)]
#[case::dropped(ExecutionStatus::Dropped, Outcome::CancelledBeforeStart)]
fn the_status_of_an_answer_becomes_the_outcome(
    #[case] status: ExecutionStatus,
    #[case] outcome: Outcome,
) {
    let mut harness = EdgeHarness::new(&[]);
    let (client, worker) = harness.dispatch_http_request(5 * SECOND);
    harness.connect(worker);
    harness.answer_attempt(worker, harness.attempts_to(worker)[0], status);
    assert_eq!(harness.outcomes(), [outcome]);
    assert_eq!(
        harness.statuses(client).len(),
        usize::from(status == ExecutionStatus::Finished)
    );
}

#[rstest]
fn an_answer_on_another_connection_is_ignored() {
    let mut harness = EdgeHarness::new(&[("limits.streams", "1")]);
    let (first, first_worker) = harness.dispatch_http_request(5 * SECOND);
    let (second, second_worker) = harness.dispatch_http_request(5 * SECOND);
    assert_ne!(
        first_worker, second_worker,
        "one attempt on each connection"
    );
    harness.connect(first_worker);
    harness.connect(second_worker);
    let id = harness.attempts_to(first_worker)[0];
    harness.answer_attempt(second_worker, id, ExecutionStatus::Finished);
    harness.answer_attempt(second_worker, 999, ExecutionStatus::Finished);
    assert!(
        harness.outcomes().is_empty()
            && harness.statuses(first).is_empty()
            && harness.statuses(second).is_empty()
    );
    harness.answer_attempt(first_worker, id, ExecutionStatus::Finished);
    assert_eq!(harness.statuses(first), [200]);
}

#[rstest]
fn each_load_command_and_health_check_has_one_result() {
    let mut harness = EdgeHarness::new(&[("limits.order-time-out", "1s")]);
    let (_, worker) = harness.dispatch_http_request(50 * SECOND);
    harness.connect(worker);
    harness.decide(Decision::Load(1));
    harness.decide(Decision::CheckHealth);
    let load_done = FromWorker::LoadDone(LoadDone {
        id: 1,
        status: ExecutionStatus::Finished,
        instances: 1,
    });
    let health_status = FromWorker::HealthStatus(HealthStatus {
        id: 2,
        report: None,
    });
    for message in [&load_done, &load_done, &health_status, &health_status] {
        harness.receive_message(worker, message);
    }
    harness.decide(Decision::Load(1));
    harness.decide(Decision::CheckHealth);
    harness.advance(2 * SECOND);
    let script = harness.script.borrow();
    assert_eq!(
        script
            .load_results
            .iter()
            .map(|result| result.outcome)
            .collect::<Vec<_>>(),
        [Outcome::Finished, Outcome::TimedOut]
    );
    assert_eq!(
        script
            .health_check_results
            .iter()
            .map(|result| result.outcome)
            .collect::<Vec<_>>(),
        [Outcome::Finished, Outcome::TimedOut]
    );
}

/// The request is rejected or its client disconnects while the connection to the worker is being opened. Its attempt
/// must not be sent once the connection is open.
#[rstest]
fn an_attempt_that_waits_for_its_connection_is_not_sent_after_its_request_is_closed(
    #[values(true, false)] disconnects: bool,
) {
    let mut harness = EdgeHarness::new(&[("limits.connect-time-out", "4s")]);
    let (client, worker) = harness.dispatch_http_request(5 * SECOND);
    harness.advance(SECOND);
    if disconnects {
        harness.event(Event::Closed {
            conn: client,
            cause: CloseCause::Orderly,
        });
    } else {
        harness.decide(Decision::Reject(0));
        assert_eq!(harness.statuses(client), [503]);
    }
    harness.connect(worker);
    harness.advance(SECOND);
    assert_eq!(harness.attempts_to(worker).len(), 0);
    assert_eq!(harness.outcomes(), [Outcome::CancelledBeforeStart]);
}

#[rstest]
#[should_panic(expected = "violation of effect-once")]
fn a_second_attempt_of_a_run_once_request_is_a_violation() {
    let forms =
        r#"(workload "once" (time-limit 10s) (effect run-once)) (function "g*" (workload "once"))"#;
    let mut harness = EdgeHarness::with_forms(&[], forms);
    let client = harness.accept_client();
    harness.plan([Decision::Dispatch(0, SECOND)]);
    harness.receive(
        client,
        &http::encode_request("POST", "/v1/calls/once/g1", &[], b"in"),
    );
    let worker = harness.last_connection();
    harness.connect(worker);
    let first = harness.attempts_to(worker)[0];
    harness.answer_attempt(worker, first, ExecutionStatus::Error);
    harness.decide(Decision::Dispatch(0, SECOND));
}
