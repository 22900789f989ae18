//! Tests of graceful shutdown.

mod harness;

use harness::fastcgi::{request, request_params, CALL_ID};
use harness::scripted_module::Decision;
use harness::{EdgeHarness, SECOND};
use rstest::rstest;
use sanddrum_net::Core;
use sanddrum_wire::ExecutionStatus;

#[rstest]
fn shutdown_rejects_new_requests_and_answers_open_ones() {
    let mut harness = EdgeHarness::new(&[("limits.stop-within", "3s")]);
    let (client, worker) = harness.dispatch_http_request(50 * SECOND);
    let (second, _) = harness.dispatch_http_request(50 * SECOND);
    let late = harness.accept_client();
    harness.connect(worker);
    harness.edge.shut_down(harness.now, &mut harness.io);
    harness.send_http_request(late, &[]);
    assert_eq!(harness.statuses(late), [503]);
    assert!(harness.io.has_closed_gracefully(late));
    harness.answer_attempt(
        worker,
        harness.attempts_to(worker)[0],
        ExecutionStatus::Finished,
    );
    assert_eq!(harness.statuses(client), [200]);
    assert!(!harness.edge.is_done());
    harness.advance(3 * SECOND);
    assert_eq!(
        harness.statuses(second),
        [502],
        "the request fails at the deadline of the shutdown"
    );
    assert!(harness.edge.is_done());
}

#[rstest]
fn shutdown_waits_for_a_partly_received_request() {
    let mut harness = EdgeHarness::on_platform(&[("limits.late-arrivals", "700 ms")]);
    let client = harness.accept_client();
    let bytes = request(1, &request_params(CALL_ID), b"in");
    let now = harness.now;
    harness.edge.shut_down(now, &mut harness.io);
    harness.advance(SECOND / 2);
    harness.receive(client, &bytes[..40]);
    harness.advance(SECOND / 2);
    assert!(!harness.edge.is_done());
    harness.plan([Decision::Reject(0)]);
    harness.receive(client, &bytes[40..]);
    assert_eq!(harness.fastcgi_statuses(client), [(1, 503)]);
    assert!(harness.edge.is_done());
}

#[rstest]
fn shutdown_does_not_wait_beyond_its_deadline_for_a_partial_request() {
    let mut harness = EdgeHarness::on_platform(&[
        ("limits.stop-within", "1 s"),
        ("limits.head-time-out", "30 s"),
    ]);
    let client = harness.accept_client();
    let now = harness.now;
    harness.receive(client, &request(1, &request_params(CALL_ID), b"in")[..40]);
    harness.edge.shut_down(now, &mut harness.io);
    harness.advance(SECOND + 1);
    assert!(harness.edge.is_done());
}

#[rstest]
fn a_request_accepted_during_shutdown_gets_the_deadline_of_the_shutdown() {
    let mut harness = EdgeHarness::on_platform(&[
        ("limits.stop-within", "1 s"),
        ("limits.late-arrivals", "700 ms"),
    ]);
    let now = harness.now;
    harness.edge.shut_down(now, &mut harness.io);
    let client = harness.accept_client();
    harness.send_request(client, 1, CALL_ID);
    assert_eq!(harness.script.borrow().requests[0].deadline, now + SECOND);
}

#[rstest]
fn shutdown_serves_late_arrivals_and_completes_once_all_requests_are_answered() {
    let mut harness = EdgeHarness::on_platform(&[("limits.late-arrivals", "700 ms")]);
    let now = harness.now;
    harness.edge.shut_down(now, &mut harness.io);
    assert!(harness.edge.accepts_while_draining() && !harness.edge.is_done());
    harness.advance(SECOND / 2);
    let (client, worker) = harness.dispatch_fastcgi_request();
    harness.advance(SECOND / 2);
    assert!(!harness.edge.is_done(), "a request is open");
    harness.finish_request(worker, CALL_ID, b"out");
    assert_eq!(harness.fastcgi_statuses(client), [(1, 200)]);
    assert!(harness.edge.is_done());
}
