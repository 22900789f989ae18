//! The FastCGI listener: multiplexed, invalid and cancelled requests, timeouts and limits.

mod harness;

use harness::fastcgi::{request, request_params, request_params_with, CALL_ID, OTHER_CALL_ID};
use harness::scripted_module::Decision;
use harness::{EdgeHarness, SECOND};
use rstest::rstest;
use sanddrum_fastcgi::{encode_header, RecordType, HEADER_BYTES};
use sanddrum_net::{CloseCause, ConnectionId, Event};

#[rstest]
fn a_request_received_at_the_idle_timeout_of_its_connection_is_accepted() {
    let mut harness = EdgeHarness::on_platform(&[("limits.client-idle", "4 s")]);
    let client = harness.accept_client();
    harness.send_request(client, 1, CALL_ID);
    harness.decide_on_event(2, [Decision::Reject(0)]);
    harness.now += 4 * SECOND + 1;
    harness.send_request(client, 2, OTHER_CALL_ID);
    assert_eq!(harness.request_count(), 2);
    assert!(!harness.io.has_closed(client));
}

#[rstest]
fn a_request_that_is_too_large_leaves_others_on_its_connection_open() {
    let mut harness = EdgeHarness::on_platform(&[("limits.largest-body", "16 KB")]);
    let (client, worker) = harness.dispatch_fastcgi_request();
    harness.receive(
        client,
        &request(2, &request_params(OTHER_CALL_ID), &vec![7; 40_000]),
    );
    harness.advance(SECOND);
    assert_eq!(harness.fastcgi_statuses(client), [(2, 413)]);
    harness.finish_request(worker, CALL_ID, b"out");
    assert_eq!(harness.fastcgi_statuses(client).last().unwrap(), &(1, 200));
    assert!(!harness.io.has_closed(client));
}

#[rstest]
fn a_request_that_is_never_completed_leaves_others_on_its_connection_open() {
    let mut harness = EdgeHarness::on_platform(&[("limits.head-time-out", "500 ms")]);
    let (client, worker) = harness.dispatch_fastcgi_request();
    harness.receive(
        client,
        &request(2, &request_params(OTHER_CALL_ID), b"in")[..40],
    );
    harness.advance(SECOND);
    assert!(!harness.io.has_closed(client));
    harness.finish_request(worker, CALL_ID, b"out");
    assert_eq!(harness.fastcgi_statuses(client), [(1, 200)]);
    assert!(
        harness.io.has_closed_gracefully(client),
        "it is closed after the response"
    );
}

#[rstest]
fn a_cancellation_on_a_closing_connection_is_handled() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let client = harness.accept_client();
    // The second request lacks the keep-connection flag, so it is the last on the connection. It is answered first.
    harness.send_request(client, 1, CALL_ID);
    let mut last = request(2, &request_params(OTHER_CALL_ID), b"in");
    last[HEADER_BYTES + 2] = 0;
    harness.plan([Decision::Reject(1)]);
    harness.receive(client, &last);
    assert_eq!(harness.fastcgi_statuses(client), [(2, 503)]);
    harness.send_request(client, 3, "00000000000000bb");
    assert_eq!(
        harness.fastcgi_responses(client).last().unwrap().2,
        2,
        "a further request is rejected at once"
    );
    harness.cancel_or_disconnect(client, true);
    assert_eq!(harness.script.borrow().cancelled.len(), 1);
    assert!(harness.io.has_closed_gracefully(client));
}

#[rstest]
fn a_rejected_request_has_a_retry_after_and_a_failed_one_has_none() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let client = harness.accept_client();
    harness.plan([Decision::Reject(0)]);
    harness.send_request(client, 1, CALL_ID);
    harness.plan([Decision::Fail(1)]);
    harness.send_request(client, 2, CALL_ID);
    let responses = harness.fastcgi_responses(client);
    assert!(
        responses[0].1.starts_with("Status: 503\r\n")
            && responses[0].1.contains("X-Come-Back-Ms: 300\r\n")
    );
    assert!(responses[1].1.starts_with("Status: 502\r\n") && !responses[1].1.contains("Come-Back"));
}

#[rstest]
#[case::no_such_workload("SCRIPT_NAME", "/rpc/other", 404)]
#[case::missing_id("HTTP_X_CALL_ID", "", 400)]
#[case::too_long_id("HTTP_X_CALL_ID", "9b1f03aa5c7e2d4100", 400)]
#[case::non_numeric_time_limit("HTTP_X_PATIENCE_MS", "soon", 400)]
#[case::nan_time_limit("HTTP_X_PATIENCE_MS", "NaN", 400)]
#[case::negative_time_limit("HTTP_X_PATIENCE_MS", "-5", 400)]
#[case::huge_time_limit("HTTP_X_PATIENCE_MS", "1e12", 400)]
#[case::zero_concurrency("HTTP_X_INFO", "memory_mb:512;lanes:0;load_ms:640", 400)]
#[case::wrong_content_length("CONTENT_LENGTH", "700", 400)]
fn an_invalid_request_is_answered_at_once_and_its_connection_stays_open(
    #[case] name: &'static str,
    #[case] value: &str,
    #[case] status: u16,
) {
    let mut harness = EdgeHarness::on_platform(&[]);
    let client = harness.accept_client();
    let params = request_params_with(name, value);
    harness.receive(client, &request(1, &params, b"in"));
    assert_eq!(harness.fastcgi_statuses(client), [(1, status)]);
    assert!(harness.script.borrow().requests.is_empty());
    harness.send_request(client, 2, OTHER_CALL_ID);
    assert_eq!(harness.request_count(), 1);
}

#[rstest]
#[case::load_time_above_the_load_timeout("HTTP_X_INFO", "memory_mb:512;lanes:2;load_ms:11500")]
#[case::time_limit_just_above_the_workloads("HTTP_X_PATIENCE_MS", "10001")]
fn parameters_slightly_above_their_limit_are_accepted(
    #[case] name: &'static str,
    #[case] value: &str,
) {
    let mut harness = EdgeHarness::on_platform(&[]);
    let client = harness.accept_client();
    let params = request_params_with(name, value);
    harness.receive(client, &request(1, &params, b"in"));
    assert_eq!(harness.request_count(), 1);
}

#[rstest]
fn a_request_with_an_open_call_id_is_rejected_and_the_first_continues() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let (client, worker) = harness.dispatch_fastcgi_request();
    let second = harness.accept_client();
    harness.receive(
        second,
        &request(1, &request_params(CALL_ID), b"another body"),
    );
    assert_eq!(harness.fastcgi_statuses(second), [(1, 409)]);
    harness.finish_request(worker, CALL_ID, b"out");
    assert_eq!(harness.fastcgi_statuses(client), [(1, 200)]);
}

#[rstest]
fn a_body_that_is_too_large_is_rejected_without_being_read() {
    let mut harness = EdgeHarness::on_platform(&[("limits.largest-body", "16 KB")]);
    let client = harness.accept_client();
    let complete = request(1, &request_params(CALL_ID), &vec![7; 60_000]);
    harness.receive(client, &complete[..40_000]);
    // The rest of the request is neither buffered nor awaited.
    harness.receive(client, &complete[40_000..]);
    assert_eq!(harness.fastcgi_statuses(client), [(1, 413)]);
    assert_eq!(harness.io.closed, [(client, Some(CloseCause::Orderly))]);
}

#[rstest]
#[case::nothing_sent(vec![])]
#[case::incomplete_record(encode_header(RecordType::BeginRequest, 1, 8).to_vec())]
fn a_connection_without_a_complete_request_is_closed_within_its_timeout(#[case] bytes: Vec<u8>) {
    let mut harness = EdgeHarness::on_platform(&[("limits.head-time-out", "2 s")]);
    let client = harness.accept_client();
    if !bytes.is_empty() {
        harness.receive(client, &bytes);
    }
    harness.advance(2 * SECOND + 1);
    assert!(harness.io.has_closed(client));
}

#[rstest]
fn eviction_takes_silent_connections_first_and_never_one_with_an_open_request() {
    let mut harness = EdgeHarness::on_platform(&[("limits.max-clients", "2")]);
    let (busy, _) = harness.dispatch_fastcgi_request();
    let silent = harness.accept_client();
    harness.advance(SECOND / 4);
    let third = harness.accept_client();
    assert_eq!(harness.io.closed, [(silent, Some(CloseCause::Orderly))]);
    harness.send_request(third, 1, OTHER_CALL_ID);
    harness.accept_client();
    assert!(harness
        .io
        .closed
        .iter()
        .all(|(conn, _)| *conn != busy && *conn != third));
}

#[rstest]
fn eviction_takes_an_idle_connection_before_a_new_one() {
    let mut harness = EdgeHarness::on_platform(&[("limits.max-clients", "2")]);
    let idle = harness.accept_client();
    harness.send_health_check(idle);
    let new_client = harness.accept_client();
    harness.accept_client();
    assert_eq!(harness.io.closed, [(idle, Some(CloseCause::Orderly))]);
    harness.send_request(new_client, 1, CALL_ID);
    assert_eq!(harness.request_count(), 1);
}

#[rstest]
fn a_cancelled_request_gets_no_response_and_a_late_answer_is_ignored() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let (client, worker) = harness.dispatch_fastcgi_request();
    harness.receive(client, &encode_header(RecordType::AbortRequest, 1, 0));
    assert_eq!(harness.script.borrow().cancelled.len(), 1);
    harness.finish_request(worker, CALL_ID, b"out");
    assert_eq!(harness.fastcgi_responses(client), [(1, String::new(), 0)]);
}

#[rstest]
fn interleaved_requests_beyond_the_limit_are_each_answered_once() {
    let mut harness = EdgeHarness::on_platform(&[("limits.pipelined", "32")]);
    let client = harness.accept_client();
    let bytes: Vec<u8> = (1..=40)
        .flat_map(|id| request(id, &request_params(&format!("{id:016x}")), b"in"))
        .collect();
    harness.event(Event::Bytes {
        conn: client,
        bytes: &bytes[..HEADER_BYTES / 2],
    });
    harness.event(Event::Bytes {
        conn: client,
        bytes: &bytes[HEADER_BYTES / 2..],
    });
    assert_eq!(harness.request_count(), 32);
    assert_eq!(
        harness
            .fastcgi_responses(client)
            .iter()
            .filter(|(_, _, status)| *status == 2)
            .count(),
        8
    );
    harness.decide_on_event(2, (0..32).map(Decision::Reject));
    assert_eq!(harness.fastcgi_responses(client).len(), 40);
}

/// The largest body that the tests of partial requests send.
const LARGE_BODY: [u8; 16 * 1024] = [b'x'; 16 * 1024];

/// A request with a large body, split before its last record.
fn split_request(id: u16, call_id: &str) -> (Vec<u8>, Vec<u8>) {
    let mut bytes = request(id, &request_params(call_id), &LARGE_BODY);
    let end = bytes.split_off(bytes.len() - HEADER_BYTES);
    (bytes, end)
}

/// The FastCGI ids and protocol statuses of all responses on a connection.
fn protocol_statuses(harness: &EdgeHarness, client: ConnectionId) -> Vec<(u16, u8)> {
    harness
        .fastcgi_responses(client)
        .iter()
        .map(|(id, _, status)| (*id, *status))
        .collect()
}

/// The protocol status of a request that was shed.
const OVERLOADED: u8 = 2;

fn harness_with_memory_for_one_partial_request() -> EdgeHarness {
    EdgeHarness::on_platform(&[
        ("limits.partial-requests", "30KB"),
        ("limits.largest-body", "16KB"),
    ])
}

/// Guards against partial requests that together take any amount of memory: of two that do not fit, the one that has
/// taken its memory for longer is shed at once, and the other one is accepted.
#[rstest]
fn partial_requests_are_bounded_over_all_connections() {
    let mut harness = harness_with_memory_for_one_partial_request();
    let (first, second) = (harness.accept_client(), harness.accept_client());
    let (one, end_of_one) = split_request(1, CALL_ID);
    let (other, end_of_other) = split_request(1, OTHER_CALL_ID);
    harness.receive(first, &one);
    harness.advance(1000);
    harness.receive(second, &other);
    assert_eq!(protocol_statuses(&harness, first), [(1, OVERLOADED)]);
    harness.receive(first, &end_of_one);
    harness.receive(second, &end_of_other);
    assert_eq!(harness.request_count(), 1);
    assert_eq!(protocol_statuses(&harness, second), []);
    // The memory of the shed request no longer counts.
    let (again, end_of_again) = split_request(2, CALL_ID);
    harness.receive(first, &again);
    harness.receive(first, &end_of_again);
    assert_eq!(harness.request_count(), 2);
    assert!(!harness.io.has_closed(first));
}

/// Guards against a client that fills the limit and has others shed: one that has sent a complete request before keeps
/// its partial one, however old it is.
#[rstest]
fn a_client_that_has_sent_a_complete_request_is_shed_last() {
    let mut harness = harness_with_memory_for_one_partial_request();
    let (usual, flooding) = (harness.accept_client(), harness.accept_client());
    harness.send_health_check(usual);
    let (begin, end) = split_request(1, CALL_ID);
    harness.receive(usual, &begin);
    harness.advance(SECOND);
    let (flood, _) = split_request(1, OTHER_CALL_ID);
    harness.receive(flooding, &flood);
    assert_eq!(protocol_statuses(&harness, flooding), [(1, OVERLOADED)]);
    harness.receive(usual, &end);
    assert_eq!(harness.request_count(), 1);
}

/// Guards against a limit that counts whole records only: of an incomplete record every received byte counts, and
/// many connections each hold one.
#[rstest]
fn incomplete_records_count_towards_the_limit_of_partial_requests() {
    let mut harness = harness_with_memory_for_one_partial_request();
    let clients = [(); 4].map(|()| harness.accept_client());
    for (client, call_id) in clients.iter().zip(1..) {
        let (begin, _) = split_request(1, &format!("{call_id:016x}"));
        harness.receive(*client, &begin[..begin.len() - 1]);
    }
    let shed = clients
        .iter()
        .filter(|client| protocol_statuses(&harness, **client) == [(1, OVERLOADED)]);
    assert_eq!(shed.count(), 3);
}

/// Guards against a body that is received before its length is checked: the header of its record suffices.
#[rstest]
fn a_body_that_is_too_large_by_its_header_is_rejected_before_it_is_received() {
    let mut harness = EdgeHarness::on_platform(&[("limits.largest-body", "16KB")]);
    let client = harness.accept_client();
    let mut bytes = request(1, &request_params(CALL_ID), &[7; 60_000]);
    bytes.truncate(bytes.len() - 59_000);
    harness.receive(client, &bytes);
    assert_eq!(harness.fastcgi_statuses(client), [(1, 413)]);
}

/// Guards against one time-out for all requests of a connection: a web server that passes bodies on as they arrive has
/// one incomplete at any time, and its connection was closed while requests on it were under way.
#[rstest]
fn overlapping_requests_are_not_cut_off_however_long_one_is_incomplete() {
    let mut harness = EdgeHarness::on_platform(&[("limits.head-time-out", "2 s")]);
    let client = harness.accept_client();
    let mut pending = split_request(100, "0000000000000f00");
    harness.receive(client, &pending.0);
    let count = 60;
    for id in 1..=count {
        let next = split_request(id, &format!("{:016x}", 0xf00 + id));
        harness.advance(SECOND / 10);
        harness.receive(client, &next.0);
        let request = harness.request_count() as u64;
        harness.plan([Decision::Reject(request)]);
        harness.receive(client, &pending.1);
        pending = next;
    }
    assert!(!harness.io.has_closed(client));
    let answers = harness.fastcgi_statuses(client);
    assert!(answers.iter().all(|(_, status)| *status == 503));
    assert_eq!(answers.len(), usize::from(count));
}

/// A request that is never completed costs only itself: it is answered in time, and others that overlap with it are
/// accepted.
#[rstest]
fn a_request_that_is_never_completed_does_not_end_overlapping_ones() {
    let mut harness = EdgeHarness::on_platform(&[("limits.head-time-out", "2 s")]);
    let client = harness.accept_client();
    harness.send_health_check(client);
    let (never_completed, _) = split_request(2, CALL_ID);
    harness.receive(client, &never_completed);
    harness.advance(SECOND * 19 / 10);
    let (begin, end) = split_request(3, OTHER_CALL_ID);
    harness.receive(client, &begin);
    harness.advance(SECOND / 5);
    assert_eq!(harness.fastcgi_statuses(client).last(), Some(&(2, 408)));
    assert!(!harness.io.has_closed(client));
    harness.receive(client, &end);
    assert_eq!(harness.request_count(), 1);
}

/// Guards against eviction of a connection on which a request is under way.
#[rstest]
fn eviction_takes_an_idle_connection_before_one_with_a_partial_request() {
    let mut harness = EdgeHarness::on_platform(&[("limits.max-clients", "2")]);
    let (receiving, idle) = (harness.accept_client(), harness.accept_client());
    harness.send_health_check(receiving);
    harness.receive(receiving, &split_request(2, CALL_ID).0);
    harness.advance(SECOND / 2);
    harness.send_health_check(idle);
    harness.accept_client();
    assert_eq!(harness.io.closed, [(idle, Some(CloseCause::Orderly))]);
}

/// Guards against responses that hundreds of clients do not read, each within its own limit: the client with the most
/// loses its connection, and the others get their responses.
#[rstest]
fn unread_responses_are_bounded_over_all_connections() {
    let mut harness = EdgeHarness::on_platform(&[("limits.unread-responses", "25KB")]);
    let (first, worker) = harness.dispatch_fastcgi_request();
    let second = harness.accept_client();
    harness.plan([Decision::Dispatch(1, SECOND)]);
    harness.send_request(second, 1, OTHER_CALL_ID);
    let second_worker = harness.last_connection();
    if second_worker != worker {
        harness.connect(second_worker);
    }
    harness.io.capacity.insert(first, 0);
    harness.io.capacity.insert(second, 0);
    harness.finish_request(worker, CALL_ID, &[1; 20_000]);
    assert!(!harness.io.has_closed(first));
    harness.finish_request(second_worker, OTHER_CALL_ID, &[2; 10_000]);
    assert!(harness.io.has_reset(first));
    assert!(!harness.io.has_closed(second));
    harness.io.capacity.remove(&second);
    harness.event(Event::Writable { conn: second });
    assert_eq!(harness.fastcgi_statuses(second), [(1, 200)]);
}

/// Guards against clients that name functions which no worker has: they filled the table of functions, so that new ones
/// of other clients were rejected. Functions that were served and those in use remain.
#[rstest]
fn functions_of_refused_requests_make_room_for_others() {
    let mut harness = EdgeHarness::on_platform(&[("limits.max-functions", "6000")]);
    let (client, worker) = harness.dispatch_fastcgi_request();
    harness.finish_request(worker, CALL_ID, b"out");
    let (_, in_use) = {
        let client = harness.accept_client();
        harness.plan([Decision::Dispatch(1, 100 * SECOND)]);
        let params = request_params_with("HTTP_X_ENTITY", "00000000000000aa");
        harness.receive(client, &request(1, &params, b"in"));
        (client, harness.last_connection())
    };
    if in_use != worker {
        harness.connect(in_use);
    }
    for number in 0..20_000u64 {
        let request_number = harness.request_count() as u64;
        harness.plan([Decision::Reject(request_number)]);
        let mut params = request_params_with("HTTP_X_ENTITY", &format!("{:016x}", 0x1000 + number));
        for (name, value) in &mut params {
            if *name == "HTTP_X_CALL_ID" {
                *value = format!("{:016x}", 0x1000 + number);
            }
        }
        harness.receive(client, &request(2, &params, b""));
    }
    let statuses = harness.fastcgi_statuses(client);
    assert_eq!(statuses.len(), 20_001);
    assert_eq!(
        harness.request_count(),
        20_002,
        "none was rejected for a full table"
    );
    let functions = harness.edge.resource_counts().functions;
    assert!(functions < 5_000, "{functions}");
}
