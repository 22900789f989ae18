//! The HTTP listener: pipelining, malformed requests, timeouts, limits and error responses.

mod harness;

use harness::scripted_module::Decision;
use harness::{EdgeHarness, SECOND};
use rstest::rstest;
use sanddrum::RequestId;
use sanddrum_net::{CloseCause, Event};
use sanddrum_wire::{http, ExecutionStatus};

#[rstest]
fn responses_are_written_in_the_order_of_the_requests() {
    let mut harness = EdgeHarness::new(&[]);
    let client = harness.accept_client();
    harness.plan([
        Decision::Dispatch(0, 5 * SECOND),
        Decision::Dispatch(1, 5 * SECOND),
    ]);
    let two = [
        http::encode_request("POST", "/v1/calls/job/f1", &[], b"a"),
        http::encode_request("POST", "/v1/calls/job/f2", &[], b"b"),
    ];
    harness.receive(client, &two.concat());
    let worker = harness.last_connection();
    harness.connect(worker);
    let ids = harness.attempts_to(worker);
    harness.answer_attempt(worker, ids[1], ExecutionStatus::Finished);
    assert!(
        harness.statuses(client).is_empty(),
        "the first is not answered yet"
    );
    harness.decide(Decision::Reject(0));
    harness.answer_attempt(worker, ids[0], ExecutionStatus::Finished);
    assert_eq!(harness.statuses(client), [503, 200]);
    let first = &harness.responses(client)[0];
    assert_eq!(
        (
            first.field("retry-after"),
            first.field("sanddrum-retry-after-ms")
        ),
        (Some("1"), Some("300"))
    );
    assert_eq!(
        first.field("content-type"),
        Some("application/problem+json")
    );
}

#[rstest]
#[case::little_is_buffered(5, false)]
#[case::more_than_a_request_is_buffered(50, true)]
fn pipelining_is_bounded_and_resumes_with_capacity(#[case] requests: usize, #[case] paused: bool) {
    let mut harness = EdgeHarness::new(&[
        ("limits.pipelined", "2"),
        ("limits.largest-head", "1KB"),
        ("limits.largest-body", "1KB"),
    ]);
    let client = harness.accept_client();
    let one = http::encode_request("POST", "/v1/calls/job/f1", &[], b"");
    harness.receive(client, &one.repeat(requests));
    assert_eq!(harness.request_count(), 2);
    // Only a connection that is not paused notifies the edge when it is closed.
    assert_eq!(harness.io.is_paused(client), paused);
    for id in 0..requests as u64 {
        harness.decide(Decision::Reject(id));
        harness.advance(0);
    }
    assert_eq!(harness.request_count(), requests);
    assert_eq!(harness.statuses(client).len(), requests);
    assert!(!harness.io.is_paused(client));
}

#[rstest]
fn a_request_may_be_received_byte_by_byte_within_its_timeout() {
    let mut harness = EdgeHarness::new(&[("limits.head-time-out", "1s")]);
    let (client, slow) = (harness.accept_client(), harness.accept_client());
    let request = http::encode_request(
        "POST",
        "/v1/calls/job/f1",
        &[("sanddrum-time-limit-ms", "700")],
        b"x",
    );
    request
        .iter()
        .for_each(|byte| harness.receive(client, &[*byte]));
    let deadline = harness.script.borrow().requests[0].deadline;
    assert_eq!(
        deadline,
        harness.now + 700_000 - 20_000,
        "the time limit minus the time reserved for the response"
    );
    harness.receive(slow, b"POST /v1/calls/job/f1 HTTP/1.1\r\nx");
    harness.advance(SECOND / 2);
    harness.receive(slow, b"y");
    harness.advance(SECOND);
    assert_eq!(harness.statuses(slow), [408]);
}

#[rstest]
#[case::head_too_large(
    "GET /health HTTP/1.1\r\nx: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy",
    431
)]
#[case::body_too_large("POST /v1/calls/job/f1 HTTP/1.1\r\ncontent-length: 999\r\n\r\n", 413)]
#[case::invalid_bytes("\u{1}\u{2}\u{3}\r\n\r\n", 400)]
#[case::chunked_body("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n", 411)]
fn a_malformed_request_is_answered_and_its_connection_closed_after_lingering(
    #[case] text: &str,
    #[case] status: u16,
) {
    let mut harness = EdgeHarness::new(&[
        ("limits.largest-head", "60 B"),
        ("limits.largest-body", "50 B"),
        ("limits.linger", "1s"),
    ]);
    let client = harness.accept_client();
    harness.receive(client, text.as_bytes());
    harness.receive(client, b"and more of it");
    assert_eq!(harness.statuses(client), [status]);
    assert!(harness.io.closed.is_empty());
    harness.advance(2 * SECOND);
    assert_eq!(harness.io.closed, [(client, Some(CloseCause::Orderly))]);
}

#[rstest]
#[case::invalid_bytes("\u{1}\u{2}\r\n\r\n", 400)]
#[case::never_completed("POST /v1/calls/job/f1 HT", 408)]
fn a_malformed_request_leaves_earlier_requests_on_its_connection_open(
    #[case] text: &str,
    #[case] status: u16,
) {
    let mut harness = EdgeHarness::new(&[
        ("limits.linger", "100ms"),
        ("limits.head-time-out", "500ms"),
    ]);
    let (client, worker) = harness.dispatch_http_request(50 * SECOND);
    harness.connect(worker);
    harness.receive(client, text.as_bytes());
    harness.advance(2 * SECOND);
    assert!(harness.io.closed.is_empty());
    harness.answer_attempt(
        worker,
        harness.attempts_to(worker)[0],
        ExecutionStatus::Finished,
    );
    assert_eq!(harness.statuses(client), [200, status]);
    harness.advance(SECOND);
    assert_eq!(harness.io.closed, [(client, Some(CloseCause::Orderly))]);
}

#[rstest]
#[case::incomplete_path("POST", "/v1/calls/job", 404)]
#[case::unknown_workload("POST", "/v1/calls/jib/f1", 404)]
#[case::unknown_function("POST", "/v1/calls/job/g", 404)]
#[case::wrong_method("GET", "/v1/calls/job/f1", 405)]
#[case::health_check("GET", "/health", 200)]
fn a_request_that_calls_no_function_is_answered_without_a_decision(
    #[case] method: &str,
    #[case] path: &str,
    #[case] status: u16,
) {
    let mut harness = EdgeHarness::new(&[]);
    let client = harness.accept_client();
    harness.receive(client, &http::encode_request(method, path, &[], b""));
    assert_eq!(harness.statuses(client), [status]);
    assert!(harness.script.borrow().requests.is_empty());
}

#[rstest]
fn requests_beyond_the_open_limit_are_rejected_without_a_decision() {
    let mut harness = EdgeHarness::new(&[("limits.max-open", "2")]);
    let clients: Vec<_> = (0..3).map(|_| harness.accept_client()).collect();
    clients
        .iter()
        .for_each(|client| harness.send_http_request(*client, &[]));
    assert_eq!(
        (harness.statuses(clients[1]), harness.statuses(clients[2])),
        (vec![], vec![503])
    );
    assert!(String::from_utf8_lossy(&harness.responses(clients[2])[0].body).contains("max-open"));
    assert_eq!(harness.request_count(), 2);
}

#[rstest]
fn eviction_takes_silent_connections_first_and_never_one_with_an_open_request() {
    let mut harness =
        EdgeHarness::new(&[("limits.max-clients", "2"), ("limits.client-idle", "3s")]);
    let (silent, calling) = (harness.accept_client(), harness.accept_client());
    harness.advance(SECOND);
    harness.send_http_request(calling, &[]);
    let third = harness.accept_client();
    assert_eq!(harness.io.closed, [(silent, Some(CloseCause::Orderly))]);
    harness.send_http_request(third, &[]);
    let fourth = harness.accept_client();
    assert_eq!(
        harness.io.closed[1..],
        [(fourth, Some(CloseCause::Reset))],
        "the other two connections have open requests"
    );
    harness.advance(9 * SECOND);
    assert!(
        !harness
            .io
            .closed
            .iter()
            .any(|(conn, _)| [calling, third].contains(conn)),
        "a connection with an open request does not time out"
    );
}

#[rstest]
fn an_idle_connection_is_closed() {
    let mut harness = EdgeHarness::new(&[("limits.client-idle", "3s")]);
    let silent = harness.accept_client();
    harness.advance(9 * SECOND);
    assert_eq!(harness.io.closed, [(silent, Some(CloseCause::Orderly))]);
}

#[rstest]
fn a_client_that_reads_too_slowly_is_reset() {
    let mut harness = EdgeHarness::new(&[("limits.waiting-per-client", "500 B")]);
    let client = harness.accept_client();
    harness.io.capacity.insert(client, 10);
    for id in 0..4 {
        harness.send_http_request(client, &[]);
        harness.decide(Decision::Reject(id));
    }
    harness.send_http_request(client, &[]);
    assert!(harness.io.has_reset(client));
}

#[rstest]
fn a_disconnect_cancels_open_requests_and_gets_no_response() {
    let mut harness = EdgeHarness::new(&[]);
    let (client, worker) = harness.dispatch_http_request(5 * SECOND);
    harness.connect(worker);
    harness.event(Event::Closed {
        conn: client,
        cause: CloseCause::Orderly,
    });
    harness.process();
    assert_eq!(harness.script.borrow().cancelled, [RequestId(0)]);
    harness.answer_attempt(
        worker,
        harness.attempts_to(worker)[0],
        ExecutionStatus::Finished,
    );
    assert!(harness.script.borrow().attempt_results[0].is_final);
    assert!(harness.statuses(client).is_empty());
}

#[rstest]
fn a_request_that_is_decided_more_than_once_gets_one_response() {
    let mut harness = EdgeHarness::new(&[]);
    let (client, _) = harness.dispatch_http_request(5 * SECOND);
    for decision in [Decision::Fail(0), Decision::Reject(0), Decision::Fail(0)] {
        harness.decide(decision);
    }
    assert_eq!(harness.statuses(client), [502]);
    harness.decide(Decision::Dispatch(0, SECOND));
    harness.process();
    assert!(
        !harness.outcomes().is_empty(),
        "an attempt of a closed request is not sent"
    );
}

#[rstest]
#[case::after_the_deadline(11, 504)]
#[case::before_the_deadline(1, 502)]
fn a_failed_request_reports_whether_its_deadline_has_passed(
    #[case] seconds: i64,
    #[case] status: u16,
) {
    let mut harness = EdgeHarness::new(&[]);
    let client = harness.accept_client();
    harness.send_http_request(client, &[]);
    harness.now += seconds * SECOND;
    harness.decide(Decision::Fail(0));
    assert_eq!(harness.statuses(client), [status]);
}

#[rstest]
fn a_customer_over_its_rate_is_rejected_with_an_accurate_retry_after() {
    let customers = r#"(customer "a" (share 50%) (rate 4)) (customer "b" (share 50%))"#;
    let mut harness = EdgeHarness::with_forms(&[], customers);
    let client = harness.accept_client();
    for _ in 0..3 {
        harness.send_http_request(client, &[("sanddrum-customer", "a")]);
    }
    let other = harness.accept_client();
    harness.send_http_request(other, &[("sanddrum-customer", "b")]);
    assert_eq!(harness.request_count(), 2, "one request of each customer");
    harness.decide(Decision::Reject(0));
    let responses = harness.responses(client);
    let last = responses.last().unwrap();
    assert!(String::from_utf8_lossy(&last.body).contains("over-rate"));
    let wait: i64 = last
        .field("sanddrum-retry-after-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!(
        (150..=250).contains(&wait),
        "a permit is issued every 250 ms: {wait}"
    );
    harness.advance(wait * 1000 + 1000);
    harness.send_http_request(client, &[("sanddrum-customer", "a")]);
    assert_eq!(harness.request_count(), 3);
}
