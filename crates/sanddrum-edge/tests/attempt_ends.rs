//! The ends of attempts on the platform's protocol, one test for each row of docs/design/attempt-ends.md: what each end
//! proves about the worker, and when another attempt or the final answer may follow.

mod harness;

use harness::fastcgi::{parse_call_id, CALL_ID, OTHER_CALL_ID, TIME_LIMIT};
use harness::platform_worker::{FINISHED, REJECTED};
use harness::scripted_module::Decision;
use harness::{EdgeHarness, SECOND};
use rstest::rstest;
use sanddrum::{Micros, Outcome};
use sanddrum_net::{CloseCause, ConnectionId, Event};
use sanddrum_platform::frames;

const MILLISECOND: Micros = 1_000;

/// How long a new connection may take until its worker has answered.
const CONNECT_TIMEOUT: Micros = 250 * MILLISECOND;

/// An edge whose settings do not allow two attempts of a request at once.
fn edge() -> EdgeHarness {
    edge_with(&[])
}

fn edge_with(settings: &[(&str, &str)]) -> EdgeHarness {
    let mut all = vec![
        ("limits.second-copies", "no"),
        ("limits.connect-time-out", "250 ms"),
    ];
    all.extend(settings);
    EdgeHarness::on_platform(&all)
}

fn close(harness: &mut EdgeHarness, conn: ConnectionId, cause: CloseCause) {
    harness.event(Event::Closed { conn, cause });
}

/// Guards against an attempt on a connection that was accepted and is read late.
#[rstest]
fn nothing_but_a_health_check_is_written_until_the_worker_has_answered_on_a_new_connection() {
    let mut harness = edge();
    let (_, worker) = harness.dispatch_while_connecting();
    harness.event(Event::Connected { conn: worker });
    let id = harness.last_health_check(worker).unwrap();
    harness.advance(CONNECT_TIMEOUT - 1);
    assert_eq!(harness.io.written[&worker], frames::ping(id));
    harness.answer_health_check(worker);
    let written = harness.io.written[&worker].len();
    assert!(written > frames::ping(id).len(), "the attempt follows");
}

/// Guards against a request that waits on a connection that nobody reads.
#[rstest]
fn a_new_connection_that_is_not_read_in_time_proves_that_its_attempt_was_never_read() {
    let mut harness = edge();
    let (_, worker) = harness.dispatch_while_connecting();
    harness.event(Event::Connected { conn: worker });
    harness.advance(CONNECT_TIMEOUT);
    assert!(harness.io.has_reset(worker));
    assert_eq!(harness.outcomes(), [Outcome::NoConnection]);
}

/// Guards against a final answer that waits although nothing was sent.
#[rstest]
fn a_rejection_is_given_at_once_while_the_attempt_is_unwritten() {
    let mut harness = edge();
    let (client, worker) = harness.dispatch_while_connecting();
    harness.event(Event::Connected { conn: worker });
    harness.decide_on_event(2, [Decision::Reject(0)]);
    assert_eq!(harness.fastcgi_statuses(client), [(1, 503)]);
    assert_eq!(harness.outcomes(), [Outcome::CancelledBeforeStart]);
}

#[rstest]
fn an_answer_ends_the_attempt_at_once() {
    let mut harness = edge();
    let (_, worker) = harness.dispatch_fastcgi_request();
    harness.receive(
        worker,
        &frames::response(REJECTED, parse_call_id(CALL_ID), "", b""),
    );
    assert_eq!(harness.outcomes(), [Outcome::Rejected]);
}

/// Guards against a cancelled attempt that counts as running although its worker has answered it.
#[rstest]
fn an_answer_ends_a_cancelled_attempt_and_serves_its_request() {
    let mut harness = edge();
    let (client, worker) = harness.dispatch_fastcgi_request();
    harness.decide_on_event(2, [Decision::Cancel(0, 0)]);
    harness.finish_request(worker, CALL_ID, b"out");
    assert_eq!(harness.outcomes(), [Outcome::Finished]);
    assert_eq!(harness.fastcgi_statuses(client), [(1, 200)]);
}

/// Guards against further messages where an answer that comes anyway is proof enough.
#[rstest]
fn an_answer_to_a_later_message_proves_that_a_cancellation_was_read() {
    let mut harness = edge();
    let (client, worker) = harness.dispatch_fastcgi_request();
    harness.decide_on_event(2, [Decision::Cancel(0, 0)]);
    harness.plan([Decision::Dispatch(1, TIME_LIMIT)]);
    harness.send_request(client, 2, OTHER_CALL_ID);
    harness.finish_request(worker, OTHER_CALL_ID, b"out");
    assert_eq!(harness.outcomes(), [Outcome::Finished, Outcome::Cancelled]);
}

/// Guards against an answer to an earlier message that counts as proof.
#[rstest]
fn an_answer_to_an_earlier_message_proves_nothing_of_a_cancellation() {
    let mut harness = edge();
    let (client, worker) = harness.dispatch_fastcgi_request();
    harness.plan([Decision::Dispatch(1, TIME_LIMIT)]);
    harness.send_request(client, 2, OTHER_CALL_ID);
    harness.decide_on_event(2, [Decision::Cancel(0, 0)]);
    harness.finish_request(worker, OTHER_CALL_ID, b"out");
    assert_eq!(harness.outcomes(), [Outcome::Finished]);
}

/// Guards against messages without end to a worker that does not read.
#[rstest]
fn a_silent_worker_is_asked_for_proof_four_times_and_again_after_it_has_answered() {
    let mut harness = edge();
    let (client, worker) = harness.dispatch_fastcgi_request();
    for number in 1..=5 {
        harness.plan([Decision::Dispatch(number, TIME_LIMIT)]);
        harness.send_request(client, number as u16 + 1, &format!("{number:016x}"));
    }
    for number in 0..=5 {
        harness.decide_on_event(2 + number, [Decision::Cancel(number, 0)]);
    }
    assert_eq!(harness.health_checks(worker).len(), 4);
    for id in harness.health_checks(worker) {
        harness.answer_health_check_of(worker, id);
    }
    assert_eq!(harness.outcomes(), [Outcome::Cancelled; 4]);
    harness.answer_health_check(worker);
    assert_eq!(harness.outcomes(), [Outcome::Cancelled; 6]);
}

#[rstest]
fn a_connection_that_the_worker_closes_proves_that_the_attempt_has_ended() {
    let mut harness = edge();
    let (_, worker) = harness.dispatch_fastcgi_request();
    close(&mut harness, worker, CloseCause::Orderly);
    assert_eq!(harness.outcomes(), [Outcome::Reset]);
}

/// Guards against a second attempt while the worker has not learned of a reset that the edge has seen.
#[rstest]
fn an_attempt_whose_connection_was_reset_counts_as_running_for_a_second() {
    let mut harness = edge();
    let (_, worker) = harness.dispatch_fastcgi_request();
    close(&mut harness, worker, CloseCause::Reset);
    assert_eq!(harness.script.borrow().lost_workers.len(), 1);
    harness.advance(SECOND - 1);
    assert_eq!(harness.outcomes(), []);
    harness.advance(1);
    assert_eq!(harness.outcomes(), [Outcome::Cancelled]);
}

/// Guards against a second attempt before the worker has ended a connection that the edge gives up.
#[rstest]
#[case::the_worker_closes_it(Some(CloseCause::Orderly), Outcome::Reset, 0)]
#[case::it_is_reset(Some(CloseCause::Reset), Outcome::Cancelled, SECOND)]
#[case::the_worker_stays_silent(None, Outcome::Cancelled, 2 * SECOND)]
fn a_connection_that_the_edge_gives_up_proves_nothing_until_the_worker_has_ended_it(
    #[case] cause: Option<CloseCause>,
    #[case] outcome: Outcome,
    #[case] after: Micros,
) {
    let mut harness = edge();
    let (_, worker) = harness.dispatch_fastcgi_request();
    harness.receive(worker, b"noise");
    assert_eq!(harness.io.finished, [worker]);
    assert_eq!(harness.outcomes(), []);
    if let Some(cause) = cause {
        close(&mut harness, worker, cause);
    }
    harness.advance(after);
    assert_eq!(harness.outcomes(), [outcome]);
}

/// Guards against a final answer before the worker has read the attempt.
#[rstest]
fn a_failure_at_the_deadline_waits_until_the_worker_has_read_the_attempt() {
    let mut harness = edge();
    let (client, worker) = harness.dispatch_fastcgi_request();
    harness.advance(TIME_LIMIT + 80 * MILLISECOND);
    harness.decide_on_event(2, [Decision::Fail(0)]);
    harness.advance(100 * MILLISECOND);
    assert!(harness.fastcgi_statuses(client).is_empty());
    harness.answer_health_check(worker);
    assert_eq!(harness.fastcgi_statuses(client), [(1, 504)]);
}

/// Guards against an answer that waits for a silent worker until its request counts as lost.
#[rstest]
fn a_failure_waits_at_most_until_400_ms_after_the_deadline() {
    let mut harness = edge();
    let (client, _) = harness.dispatch_fastcgi_request();
    let deadline = harness.script.borrow().requests[0].deadline;
    harness.advance(deadline - harness.now);
    harness.decide_on_event(2, [Decision::Fail(0)]);
    harness.advance(400 * MILLISECOND - 1);
    assert!(harness.fastcgi_statuses(client).is_empty());
    harness.advance(1);
    assert_eq!(harness.fastcgi_statuses(client), [(1, 504)]);
    let counts = harness.edge.resource_counts();
    assert_eq!(counts.requests, 0, "nothing of the request is left");
}

/// Guards against an answer that waits although the attempt was read long ago.
#[rstest]
fn a_failure_is_given_at_once_if_the_worker_is_known_to_have_read_the_attempt() {
    let mut harness = edge();
    let (client, worker) = harness.dispatch_fastcgi_request();
    harness.plan([Decision::Dispatch(1, TIME_LIMIT)]);
    harness.send_request(client, 2, OTHER_CALL_ID);
    harness.finish_request(worker, OTHER_CALL_ID, b"out");
    let deadline = harness.script.borrow().requests[0].deadline;
    harness.advance(deadline - harness.now);
    harness.decide_on_event(2, [Decision::Fail(0)]);
    assert_eq!(harness.fastcgi_statuses(client), [(2, 200), (1, 504)]);
}

/// Guards against a result that is passed on while the worker of another attempt may still have to read it.
#[rstest]
fn a_result_waits_until_the_worker_of_another_attempt_has_read_it() {
    let mut harness = edge_with(&[("limits.second-copies", "yes")]);
    let (client, first) = harness.dispatch_fastcgi_request();
    harness.decide_on_event(2, [Decision::Dispatch(0, TIME_LIMIT)]);
    let second = harness.last_connection();
    harness.connect(second);
    harness.finish_request(second, CALL_ID, b"out");
    assert!(harness.fastcgi_statuses(client).is_empty());
    let is_final = harness.script.borrow().attempt_results[0].is_final;
    assert!(is_final, "the module starts no further attempt");
    harness.answer_health_check(first);
    assert_eq!(harness.fastcgi_statuses(client), [(1, 200)]);
    assert_eq!(harness.outcomes(), [Outcome::Finished, Outcome::Cancelled]);
}

/// Guards against a result that a silent worker delays for longer than links usually take.
#[rstest]
fn a_result_waits_at_most_a_second_from_the_write_of_another_attempt() {
    let mut harness = edge_with(&[("limits.second-copies", "yes")]);
    let (client, _) = harness.dispatch_fastcgi_request();
    harness.advance(SECOND / 2);
    harness.decide_on_event(2, [Decision::Dispatch(0, SECOND / 2)]);
    let second = harness.last_connection();
    harness.connect(second);
    harness.finish_request(second, CALL_ID, b"out");
    harness.advance(SECOND / 2 - 1);
    assert!(harness.fastcgi_statuses(client).is_empty());
    harness.advance(1);
    assert_eq!(harness.fastcgi_statuses(client), [(1, 200)]);
}

/// Guards against a result that is passed on at the deadline while another attempt may be unread.
#[rstest]
fn a_result_waits_past_the_deadline_for_an_attempt_that_may_be_unread() {
    let mut harness = edge_with(&[("limits.second-copies", "yes")]);
    let (client, first) = harness.dispatch_fastcgi_request();
    let deadline = harness.script.borrow().requests[0].deadline;
    harness.advance(deadline - harness.now - SECOND / 2);
    harness.decide_on_event(2, [Decision::Dispatch(0, SECOND / 2)]);
    let second = harness.last_connection();
    harness.connect(second);
    harness.finish_request(first, CALL_ID, b"out");
    harness.advance(SECOND / 2 + 400 * MILLISECOND - 1);
    assert!(harness.fastcgi_statuses(client).is_empty());
    harness.advance(1);
    assert_eq!(harness.fastcgi_statuses(client), [(1, 200)]);
}

/// Guards against a result that ends the wait for one attempt while a further one may be unread.
#[rstest]
fn a_result_waits_for_a_further_attempt_although_another_answer_has_waited_before() {
    let mut harness = edge_with(&[("limits.second-copies", "yes")]);
    let (client, first) = harness.dispatch_fastcgi_request();
    let deadline = harness.script.borrow().requests[0].deadline;
    harness.advance(deadline - harness.now - SECOND / 2);
    harness.decide_on_event(2, [Decision::Dispatch(0, SECOND / 2)]);
    let second = harness.last_connection();
    harness.connect(second);
    harness.advance(SECOND / 2);
    harness.decide_on_event(3, [Decision::Fail(0)]);
    assert!(harness.fastcgi_statuses(client).is_empty());
    harness.finish_request(first, CALL_ID, b"out");
    assert!(harness.fastcgi_statuses(client).is_empty());
    harness.answer_health_check(second);
    assert_eq!(harness.fastcgi_statuses(client), [(1, 200)]);
}

/// Guards against cancellations where the settings forbid them.
#[rstest]
fn nothing_is_cancelled_where_the_settings_forbid_it() {
    let mut harness = edge_with(&[("limits.cancel", "no")]);
    let (_, worker) = harness.dispatch_fastcgi_request();
    harness.advance(TIME_LIMIT);
    let id = harness.last_health_check(worker).unwrap();
    let cancelled = [frames::cancel(parse_call_id(CALL_ID)), frames::ping(id)].concat();
    assert!(!harness.io.written[&worker].ends_with(&cancelled));
}

/// Guards against proof that is asked for where the settings forbid it.
#[rstest]
#[case::health_checks("yes", "yes", Some(67))]
#[case::queries("no", "yes", Some(69))]
#[case::nothing("no", "no", Some(65))]
fn a_new_connection_is_verified_by_what_the_settings_allow(
    #[case] probes: &str,
    #[case] orders: &str,
    #[case] first_code: Option<u8>,
) {
    let mut harness = edge_with(&[("limits.probes", probes), ("copies.orders", orders)]);
    let (_, worker) = harness.dispatch_while_connecting();
    harness.event(Event::Connected { conn: worker });
    assert_eq!(harness.io.written[&worker].get(1).copied(), first_code);
}

/// Guards against a second attempt where nothing may ask for proof: the attempt runs until an answer shows its end.
#[rstest]
fn without_means_of_proof_a_cancelled_attempt_runs_until_its_connection_shows_its_end() {
    let mut harness = edge_with(&[("limits.probes", "no"), ("copies.orders", "no")]);
    let (_, worker) = harness.dispatch_fastcgi_request();
    harness.decide_on_event(2, [Decision::Cancel(0, 0)]);
    harness.advance(SECOND / 2);
    assert_eq!(harness.outcomes(), []);
    let answer = frames::response(FINISHED, parse_call_id(CALL_ID), "", b"out");
    harness.receive(worker, &answer);
    assert_eq!(harness.outcomes(), [Outcome::Finished]);
}

/// Guards against a second attempt that the decision module starts while the first may still run.
#[rstest]
#[should_panic(expected = "violation of one-attempt")]
fn a_second_attempt_at_once_is_a_violation_where_copies_are_not_allowed() {
    let mut harness = edge();
    harness.dispatch_fastcgi_request();
    harness.decide_on_event(2, [Decision::Dispatch(0, TIME_LIMIT)]);
    let second = harness.last_connection();
    harness.connect(second);
}
