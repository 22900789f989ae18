//! Shutdown: each request gets its final answer in the same batch, a rejection if the client may safely retry it and a
//! failure otherwise.

mod common;

use common::{text, workers_answer_misses, Action, FakeHost, LOAD_COMMANDS};
use rstest::rstest;
use sanddrum::{EventBatch, Outcome, Warmth};

fn shut_down(host: &mut FakeHost) {
    host.handle(EventBatch {
        shutting_down: true,
        ..EventBatch::default()
    });
}

#[rstest]
#[case::idempotent("restartable", Action::Reject(1))]
#[case::run_once("run-once", Action::Fail(1))]
fn request_in_flight_is_rejected_only_if_a_retry_is_safe(
    #[case] effect: &str,
    #[case] answer: Action,
) {
    let mut host = FakeHost::new(2, &[("workloads.0.effect", text(effect))]);
    host.send(1, 7);
    assert!(host.is_dispatched(1));
    shut_down(&mut host);
    assert_eq!(host.log.actions.last(), Some(&answer));
    host.succeed(1, Warmth::Warm, 50_000);
    assert_eq!(
        host.final_answers(1),
        1,
        "a late outcome causes no second answer"
    );
}

#[rstest]
fn run_once_request_that_never_ran_is_rejected() {
    let mut host = FakeHost::new(1, &[("workloads.0.effect", text("run-once"))]);
    host.send(1, 7);
    host.end_attempt(1, Outcome::Rejected, Warmth::Unknown, 1_000);
    shut_down(&mut host);
    assert_eq!(host.log.actions.last(), Some(&Action::Reject(1)));
}

#[rstest]
fn waiting_requests_are_answered_immediately() {
    let mut host = FakeHost::new(1, &[workers_answer_misses(), LOAD_COMMANDS]);
    (0..20).for_each(|id| host.send(id, id));
    shut_down(&mut host);
    assert!((0..20).all(|id| host.final_answers(id) == 1));
}
