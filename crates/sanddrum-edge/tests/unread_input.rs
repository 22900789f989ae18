//! Requests that are read while more input of their client is unread.

mod harness;

use harness::fastcgi::{CALL_ID, OTHER_CALL_ID};
use harness::scripted_module::Decision;
use harness::{EdgeHarness, SECOND};
use rstest::rstest;
use sanddrum_net::{Micros, UnreadInput};

/// An attempt may begin this long after its client has left.
const LEAVING_TOLERANCE: Micros = 100_000;

/// Guards against requests that are sent on although their client may have cancelled them long ago, in input behind them.
#[rstest]
fn a_request_before_old_unread_input_is_refused_without_a_decision() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let client = harness.accept_client();
    harness.now += SECOND;
    let since = harness.now - LEAVING_TOLERANCE;
    harness.io.unread.insert(client, UnreadInput::Since(since));
    harness.send_request(client, 1, CALL_ID);
    assert_eq!(harness.fastcgi_statuses(client), [(1, 503)]);
    assert!(harness.fastcgi_responses(client)[0]
        .1
        .contains("X-Come-Back-Ms"));
    assert_eq!(harness.request_count(), 0);
    // Once everything is read, requests are accepted again.
    harness.io.unread.clear();
    harness.send_request(client, 2, OTHER_CALL_ID);
    assert_eq!(harness.request_count(), 1);
}

/// Guards against refusals under usual load, where a connection is read in parts without delay.
#[rstest]
fn a_request_before_recent_unread_input_is_accepted() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let client = harness.accept_client();
    let since = harness.now - LEAVING_TOLERANCE / 2;
    harness.io.unread.insert(client, UnreadInput::Since(since));
    harness.send_request(client, 1, CALL_ID);
    assert_eq!(harness.request_count(), 1);
}

/// Guards against requests that are sent on, and attempts that go on, for a client that has left behind unread input.
#[rstest]
fn a_client_that_has_ended_its_connection_behind_unread_input_has_left() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let client = harness.accept_client();
    harness.plan([Decision::Dispatch(0, SECOND)]);
    harness.send_request(client, 1, CALL_ID);
    harness.io.unread.insert(client, UnreadInput::BeforeEnd);
    harness.send_request(client, 2, OTHER_CALL_ID);
    assert!(harness.io.has_reset(client));
    assert_eq!(harness.request_count(), 1, "the second is not decided on");
    assert_eq!(harness.script.borrow().cancelled.len(), 2);
}

/// Guards against a new client that displaces one whose request has arrived and is unread.
#[rstest]
fn a_connection_with_unread_input_is_not_closed_to_make_room() {
    let mut harness = EdgeHarness::on_platform(&[("limits.max-clients", "2")]);
    let (waiting, idle) = (harness.accept_client(), harness.accept_client());
    let since = harness.now;
    harness.io.unread.insert(waiting, UnreadInput::Since(since));
    harness.accept_client();
    assert!(!harness.io.has_closed(waiting));
    assert!(harness.io.has_closed(idle));
}

/// Guards against time-outs after a stall of the process that close connections whose requests have arrived and are unread:
/// three requests were lost as their connections counted as idle.
#[rstest]
fn a_connection_with_unread_input_does_not_time_out() {
    let timeouts = [
        ("limits.client-idle", "4 s"),
        ("limits.head-time-out", "2 s"),
    ];
    let mut harness = EdgeHarness::on_platform(&timeouts);
    let client = harness.accept_client();
    harness.send_request(client, 1, CALL_ID);
    harness.decide_on_event(2, [Decision::Reject(0)]);
    let since = harness.now + 3 * SECOND;
    harness.io.unread.insert(client, UnreadInput::Since(since));
    harness.advance(5 * SECOND);
    assert!(!harness.io.has_closed(client));
    harness.io.unread.clear();
    harness.advance(SECOND);
    assert!(harness.io.has_closed(client), "once it is read, it is idle");
}
