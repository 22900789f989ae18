//! Attempts on the platform's protocol, including races: events between a decision and its write, within a write, and
//! between an answer and its duplicate.

mod harness;

use harness::fastcgi::{
    parse_call_id, request, request_params, CALL_ID, FUNCTION, OTHER_CALL_ID, TIME_LIMIT,
};
use harness::feed::member;
use harness::platform_worker::{COLD_MISS, FINISHED, REJECTED};
use harness::scripted_module::Decision;
use harness::{EdgeHarness, SECOND};
use rstest::rstest;
use sanddrum::{Micros, Outcome, Warmth};
use sanddrum_net::{CloseCause, Event};
use sanddrum_platform::frames;

#[rstest]
fn no_attempt_is_sent_for_a_client_that_left_before_the_worker_connection_opened(
    #[values(false, true)] cancels: bool,
) {
    let mut harness = EdgeHarness::on_platform(&[]);
    let (client, worker) = harness.dispatch_while_connecting();
    harness.cancel_or_disconnect(client, cancels);
    harness.connect(worker);
    harness.advance(SECOND);
    assert_eq!(harness.io.written.get(&worker), None);
    assert_eq!(harness.outcomes(), [Outcome::CancelledBeforeStart]);
}

#[rstest]
fn no_attempt_is_sent_for_a_client_that_left_in_the_same_turn_as_its_request(
    #[values(false, true)] cancels: bool,
) {
    let mut harness = EdgeHarness::on_platform(&[]);
    let client = harness.accept_client();
    harness.plan([Decision::Dispatch(0, TIME_LIMIT)]);
    let bytes = request(1, &request_params(CALL_ID), b"in");
    harness.deliver(Event::Bytes {
        conn: client,
        bytes: &bytes,
    });
    let before = harness.io.connects.len();
    harness.cancel_or_disconnect(client, cancels);
    assert_eq!(
        harness.io.connects.len(),
        before,
        "no connection is opened for it"
    );
    assert_eq!(harness.request_count(), 0);
}

#[rstest]
fn no_retry_is_sent_for_a_client_that_left() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let (client, first) = harness.dispatch_fastcgi_request();
    harness.receive(
        first,
        &frames::response(REJECTED, parse_call_id(CALL_ID), "", b""),
    );
    harness.cancel_or_disconnect(client, true);
    let written = harness.io.written[&first].len();
    harness.decide_on_event(2, [Decision::Dispatch(0, 1_000_000)]);
    harness.advance(SECOND);
    assert_eq!(harness.io.written[&first].len(), written);
    assert_eq!(harness.outcomes()[0], Outcome::Rejected);
}

#[rstest]
fn a_partially_written_attempt_without_a_client_is_completed_soon_or_reset(
    #[values(false, true)] is_reading: bool,
) {
    let mut harness = EdgeHarness::on_platform(&[]);
    let (client, worker) = harness.dispatch_while_connecting();
    harness.io.capacity.insert(worker, 20);
    harness.connect(worker);
    assert_eq!(harness.io.written[&worker].len(), 20);
    harness.cancel_or_disconnect(client, true);
    if is_reading {
        harness.io.capacity.insert(worker, 10_000);
        harness.event(Event::Writable { conn: worker });
        harness.advance(SECOND);
        assert!(
            !harness.io.has_closed(worker),
            "the connection is kept, as other attempts may be in flight on it"
        );
        return;
    }
    harness.advance(SECOND / 10);
    assert!(harness.io.has_reset(worker));
    assert_eq!(harness.outcomes(), [Outcome::NoConnection]);
}

#[rstest]
fn a_retry_resets_the_connection_of_a_partially_written_attempt() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let (client, first) = harness.dispatch_while_connecting();
    harness.io.capacity.insert(first, 20);
    harness.connect(first);
    harness.decide_on_event(2, [Decision::Cancel(0, 0)]);
    // The first attempt can never be completed, so it can't run concurrently with the second.
    assert!(harness.io.has_reset(first));
    harness.decide_on_event(3, [Decision::Dispatch(0, 1_000_000)]);
    assert_eq!(harness.outcomes(), [Outcome::NoConnection]);
    let second = harness.last_connection();
    assert_ne!(first, second);
    harness.connect(second);
    harness.finish_request(second, CALL_ID, b"out");
    assert_eq!(harness.fastcgi_statuses(client), [(1, 200)]);
}

#[rstest]
fn the_outcome_of_a_cancelled_attempt_follows_once_the_worker_has_read_the_cancellation() {
    let mut harness = EdgeHarness::on_platform(&[("limits.streams", "1")]);
    let client = harness.accept_client();
    for (id, call_id) in [(0, CALL_ID), (1, OTHER_CALL_ID)] {
        harness.plan([Decision::Dispatch(id, TIME_LIMIT)]);
        harness.send_request(client, id as u16 + 1, call_id);
        let conn = harness.last_connection();
        harness.connect(conn);
    }
    let (first, second) = (harness.io.connects[1].0, harness.io.connects[2].0);
    harness.decide_on_event(2, [Decision::Cancel(0, 0), Decision::Cancel(1, 0)]);
    for (conn, call_id) in [(first, CALL_ID), (second, OTHER_CALL_ID)] {
        let health_check = frames::ping(harness.last_health_check(conn).unwrap());
        let expected = [frames::cancel(parse_call_id(call_id)), health_check].concat();
        assert!(harness.io.written[&conn].ends_with(&expected));
    }
    harness.advance(SECOND / 2);
    assert_eq!(harness.outcomes(), [], "both may still run");
    harness.answer_health_check(second);
    assert_eq!(harness.outcomes(), [Outcome::Cancelled]);
    let request = harness.script.borrow().attempt_results[0].request;
    assert_eq!(request.0, 1, "the other one is not known to have ended");
    harness.answer_health_check(first);
    assert_eq!(harness.outcomes(), [Outcome::Cancelled, Outcome::Cancelled]);
}

#[rstest]
fn a_duplicate_answer_does_not_answer_the_next_attempt() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let (client, first) = harness.dispatch_fastcgi_request();
    let rejected = frames::response(REJECTED, parse_call_id(CALL_ID), "", b"");
    harness.receive(first, &rejected);
    harness.decide_on_event(2, [Decision::Dispatch(0, 1_000_000)]);
    let second = harness.last_connection();
    assert_ne!(first, second, "the id is retired on the first connection");
    harness.connect(second);
    harness.receive(first, &rejected);
    assert_eq!(
        harness.outcomes(),
        [Outcome::Rejected],
        "the second attempt is still in flight"
    );
    harness.finish_request(second, CALL_ID, b"out");
    assert_eq!(harness.fastcgi_statuses(client), [(1, 200)]);
}

#[rstest]
fn a_late_answer_does_not_answer_another_client_with_the_same_call_id() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let (client, first) = harness.dispatch_fastcgi_request();
    harness.cancel_or_disconnect(client, true);
    harness.finish_request(first, CALL_ID, b"the first one's");
    let other = harness.accept_client();
    harness.plan([Decision::Dispatch(1, TIME_LIMIT)]);
    harness.send_request(other, 1, CALL_ID);
    let second = harness.last_connection();
    assert_ne!(first, second);
    harness.connect(second);
    harness.finish_request(first, CALL_ID, b"the first one's");
    assert!(harness.fastcgi_responses(other).is_empty());
    harness.finish_request(second, CALL_ID, b"its own");
    assert!(harness.fastcgi_responses(other)[0].1.ends_with("its own"));
}

#[rstest]
fn a_call_id_is_reused_once_no_late_answer_can_come() {
    let mut harness = EdgeHarness::on_platform(&[
        ("limits.idle-close", "1000 s"),
        ("limits.client-idle", "1000 s"),
    ]);
    let (_, first) = harness.dispatch_fastcgi_request();
    harness.finish_request(first, CALL_ID, b"out");
    // The time limit is 10 s.
    harness.advance(21 * SECOND);
    let client = harness.accept_client();
    harness.plan([Decision::Dispatch(1, TIME_LIMIT)]);
    harness.send_request(client, 1, OTHER_CALL_ID);
    let before = harness.io.connects.len();
    harness.finish_request(first, OTHER_CALL_ID, b"out");
    harness.plan([Decision::Dispatch(2, TIME_LIMIT)]);
    harness.send_request(client, 2, CALL_ID);
    assert_eq!(harness.io.connects.len(), before);
}

#[rstest]
#[case::before_its_last_byte(20, Outcome::NoConnection, 0)]
#[case::after_its_last_byte(10_000, Outcome::Cancelled, SECOND)]
fn a_reset_reports_whether_the_attempt_may_have_run(
    #[case] capacity: usize,
    #[case] outcome: Outcome,
    #[case] after: Micros,
) {
    let mut harness = EdgeHarness::on_platform(&[]);
    let (_, worker) = harness.dispatch_while_connecting();
    harness.io.capacity.insert(worker, capacity);
    harness.connect(worker);
    harness.event(Event::Closed {
        conn: worker,
        cause: CloseCause::Reset,
    });
    let lost_workers = harness.script.borrow().lost_workers.len();
    assert_eq!(lost_workers, usize::from(after > 0));
    if after > 0 {
        harness.advance(after - 1);
        assert_eq!(
            harness.outcomes(),
            [],
            "the worker may not have learned of the reset"
        );
    }
    harness.advance(1);
    assert_eq!(harness.outcomes(), [outcome]);
}

#[rstest]
fn an_answer_received_at_the_deadline_is_accepted() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let (client, worker) = harness.dispatch_fastcgi_request();
    harness.now += TIME_LIMIT;
    harness.finish_request(worker, CALL_ID, b"out");
    assert_eq!(harness.fastcgi_statuses(client), [(1, 200)]);
    assert_eq!(harness.outcomes(), [Outcome::Finished]);
}

#[rstest]
fn an_attempt_sent_as_its_connection_closes_may_have_run() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let (client, worker) = harness.dispatch_fastcgi_request();
    harness.finish_request(worker, CALL_ID, b"out");
    harness.plan([Decision::Dispatch(1, 1_000_000)]);
    let bytes = request(2, &request_params(OTHER_CALL_ID), b"in");
    harness.deliver(Event::Bytes {
        conn: client,
        bytes: &bytes,
    });
    harness.process();
    harness.event(Event::Closed {
        conn: worker,
        cause: CloseCause::Orderly,
    });
    assert_eq!(harness.outcomes(), [Outcome::Finished, Outcome::Reset]);
}

#[rstest]
fn a_connection_opened_after_its_request_was_cancelled_is_used_by_the_next() {
    let mut harness = EdgeHarness::on_platform(&[("limits.connect-time-out", "2 s")]);
    let (client, worker) = harness.dispatch_while_connecting();
    harness.cancel_or_disconnect(client, true);
    harness.advance(SECOND);
    harness.connect(worker);
    let before = harness.io.connects.len();
    harness.plan([Decision::Dispatch(1, 1_000_000)]);
    let other = harness.accept_client();
    harness.send_request(other, 1, OTHER_CALL_ID);
    assert_eq!(harness.io.connects.len(), before);
    assert!(harness.io.written.contains_key(&worker));
}

#[rstest]
fn each_attempt_has_the_idempotency_key_of_its_request() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let client = harness.accept_client();
    let mut params = request_params(CALL_ID);
    params.push(("HTTP_X_DEDUPE_KEY", "order-17".into()));
    harness.plan([Decision::Dispatch(0, TIME_LIMIT)]);
    harness.receive(client, &request(1, &params, b"in"));
    let first = harness.last_connection();
    harness.connect(first);
    let (id, key) = (parse_call_id(CALL_ID), Some("order-17"));
    assert_eq!(
        harness.io.written[&first],
        frames::request_with_key(id, "job", FUNCTION, TIME_LIMIT, key, b"in")
    );
    harness.receive(first, &frames::response(REJECTED, id, "", b""));
    harness.decide_on_event(2, [Decision::Dispatch(0, 1_000_000)]);
    let second = harness.last_connection();
    harness.connect(second);
    assert_eq!(
        harness.io.written[&second],
        frames::request_with_key(id, "job", FUNCTION, 1_000_000, key, b"in")
    );
}

#[rstest]
fn a_request_and_its_answer_are_forwarded_unchanged() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let (client, worker) = harness.dispatch_fastcgi_request();
    let sent = frames::request(parse_call_id(CALL_ID), "job", FUNCTION, TIME_LIMIT, b"in");
    assert_eq!(harness.io.written[&worker], sent);
    harness.receive(
        worker,
        &frames::response(
            FINISHED,
            parse_call_id(CALL_ID),
            "remark=started,report=rif:3",
            b"\x00out",
        ),
    );
    let (id, text, status) = harness.fastcgi_responses(client).remove(0);
    assert_eq!((id, status), (1, 0));
    assert!(
        text.starts_with("Status: 200\r\n") && text.ends_with("\r\n\r\n\0out"),
        "{text}"
    );
    let result = harness.script.borrow().attempt_results[0];
    assert_eq!(
        (
            result.outcome,
            result.warmth,
            result.report.unwrap().in_flight
        ),
        (Outcome::Finished, Warmth::StartedLoad, Some(3.0))
    );
}

#[rstest]
#[case::not_a_frame(b"noise".to_vec())]
#[case::wrong_checksum({ let mut f = frames::response(FINISHED, parse_call_id(CALL_ID), "", b"out"); f[17] ^= 1; f })]
#[case::length_of_three_gigabytes({ let mut f = frames::response(FINISHED, parse_call_id(CALL_ID), "", b"out"); f[4] = 0xc0; f })]
fn a_malformed_answer_ends_the_connection_and_is_not_forwarded(#[case] bytes: Vec<u8>) {
    let mut harness = EdgeHarness::on_platform(&[]);
    let (client, worker) = harness.dispatch_fastcgi_request();
    harness.receive(worker, &bytes);
    assert_eq!(harness.io.finished, [worker]);
    harness.finish_request(worker, CALL_ID, b"out");
    assert_eq!(
        harness.outcomes(),
        [],
        "what follows on the connection is not read, and the attempt may still run"
    );
    harness.event(Event::Closed {
        conn: worker,
        cause: CloseCause::Orderly,
    });
    assert_eq!(harness.outcomes(), [Outcome::Reset], "it may have run");
    assert!(harness.fastcgi_responses(client).is_empty());
}

#[rstest]
fn answers_that_match_no_attempt_are_ignored() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let (client, worker) = harness.dispatch_fastcgi_request();
    harness.receive(worker, &frames::response(FINISHED, 77, "", b"for nobody"));
    let out = frames::response(FINISHED, parse_call_id(CALL_ID), "", b"out");
    harness.receive(worker, &[out.clone(), out].concat());
    assert_eq!(harness.fastcgi_statuses(client), [(1, 200)]);
    assert_eq!(harness.outcomes(), [Outcome::Finished]);
}

#[rstest]
fn a_retry_is_sent_on_another_connection_after_the_cancellation() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let (_, first) = harness.dispatch_fastcgi_request();
    harness.decide_on_event(2, [Decision::Cancel(0, 0)]);
    harness.answer_health_check(first);
    assert_eq!(harness.outcomes(), [Outcome::Cancelled]);
    harness.decide_on_event(3, [Decision::Dispatch(0, 1_000_000)]);
    let second = harness.last_connection();
    assert_ne!(first, second);
    harness.connect(second);
    // A late answer to the first attempt does not answer the second.
    harness.receive(
        first,
        &frames::response(COLD_MISS, parse_call_id(CALL_ID), "", b""),
    );
    assert_eq!(harness.outcomes(), [Outcome::Cancelled]);
    harness.finish_request(second, CALL_ID, b"out");
    assert_eq!(harness.outcomes(), [Outcome::Cancelled, Outcome::Finished]);
}

#[rstest]
fn an_attempt_that_times_out_is_cancelled_at_the_worker() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let (_, worker) = harness.dispatch_fastcgi_request();
    harness.advance(TIME_LIMIT);
    let health_check = frames::ping(harness.last_health_check(worker).unwrap());
    let expected = [frames::cancel(parse_call_id(CALL_ID)), health_check].concat();
    assert!(harness.io.written[&worker].ends_with(&expected));
    assert_eq!(harness.outcomes(), []);
    harness.answer_health_check(worker);
    assert_eq!(harness.outcomes(), [Outcome::TimedOut]);
}

#[rstest]
fn a_load_command_is_answered_under_its_own_id() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let (_, worker) = harness.dispatch_fastcgi_request();
    harness.decide_on_event(2, [Decision::Load(2)]);
    let load = frames::load(1, FUNCTION, 2);
    assert!(harness.io.written[&worker].ends_with(&load));
    harness.receive(worker, &frames::response(FINISHED, 1, "copies=2", b""));
    let result = harness.script.borrow().load_results[0];
    assert_eq!((result.outcome, result.instances), (Outcome::Finished, 2));
}

#[rstest]
fn memory_does_not_grow_with_the_number_of_requests_served() {
    let mut harness = EdgeHarness::on_platform(&[
        ("copies.keep-alive", "1 s"),
        ("limits.head-time-out", "100 ms"),
    ]);
    for n in 0..3_000u64 {
        let client = harness.accept_client();
        let mut params = request_params(&format!("{n:016x}"));
        params.retain(|(name, _)| *name != "HTTP_X_ENTITY");
        params.push(("HTTP_X_ENTITY", format!("{:016x}", n / 2)));
        let phase = if n % 2 == 0 {
            "in_service"
        } else {
            "terminated"
        };
        harness.receive_member(n + 2, member(&format!("v{}", n / 2), phase));
        harness.plan([Decision::Reject(n)]);
        harness.receive(client, &request(1, &params, b"in"));
        harness.event(Event::Closed {
            conn: client,
            cause: CloseCause::Orderly,
        });
        harness.advance(SECOND / 100);
    }
    let counts = harness.edge.resource_counts();
    assert!(
        counts.requests == 0
            && counts.client_connections == 0
            && counts.worker_connections <= 1
            && counts.workers <= 2,
        "{counts:?}"
    );
    assert!(counts.functions < 1_000, "{counts:?}");
    assert!(counts.timers < 50, "{counts:?}");
}

#[rstest]
fn a_retry_after_a_malformed_answer_connects_at_once() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let (client, first) = harness.dispatch_fastcgi_request();
    harness.receive(first, b"noise");
    harness.event(Event::Closed {
        conn: first,
        cause: CloseCause::Orderly,
    });
    harness.decide_on_event(2, [Decision::Dispatch(0, 1_000_000)]);
    let second = harness.last_connection();
    assert_ne!(first, second);
    harness.connect(second);
    harness.finish_request(second, CALL_ID, b"out");
    assert_eq!(harness.fastcgi_statuses(client), [(1, 200)]);
    assert_eq!(harness.outcomes(), [Outcome::Reset, Outcome::Finished]);
}

#[rstest]
#[should_panic(expected = "violation of endpoint-listed")]
fn an_attempt_to_a_draining_worker_is_a_violation() {
    let mut harness = EdgeHarness::on_platform(&[]);
    harness.receive_member(2, member("w", "terminating"));
    harness.dispatch_fastcgi_request();
}
