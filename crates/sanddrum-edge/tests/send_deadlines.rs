//! Send deadlines of attempts and load commands (review, case 6): an attempt that waits for its connection, behind other bytes or in a
//! stopped process must not reach its worker after the conditions under which it was decided have expired.

mod harness;

use harness::fastcgi::{
    parse_call_id, request, request_params_with, CALL_ID, OTHER_CALL_ID, TIME_LIMIT,
};
use harness::feed::member;
use harness::scripted_module::Decision;
use harness::{EdgeHarness, SECOND};
use rstest::rstest;
use sanddrum::{Micros, Outcome};
use sanddrum_net::{ConnectionId, Event};
use sanddrum_platform::frames;
use serde_json::json;

/// From the dispatch of an attempt to its send deadline.
const SEND_TIME: Micros = 75_000;
/// The status code of an attempt that ended with an error.
const ERROR: u8 = 101;
/// The size of a part of an attempt's frame.
const PARTIAL_FRAME: usize = 20;

/// An edge that dispatches an attempt with a send deadline while the connection to its worker is being opened. Returns
/// that connection as well.
fn dispatch_with_deadline() -> (EdgeHarness, ConnectionId) {
    let mut harness = EdgeHarness::on_platform(&[]);
    let client = harness.accept_client();
    let send_deadline = harness.now + SEND_TIME;
    harness.plan([Decision::DispatchBefore(0, send_deadline)]);
    harness.send_request(client, 1, CALL_ID);
    let worker = harness.last_connection();
    (harness, worker)
}

#[rstest]
#[case::before_its_deadline(SEND_TIME - 1, true)]
#[case::at_its_deadline(SEND_TIME, false)]
#[case::after_its_deadline(SEND_TIME + 50_000, false)]
fn an_attempt_whose_connection_opens_late_is_sent_only_before_its_send_deadline(
    #[case] opens_after: Micros,
    #[case] is_sent: bool,
) {
    let (mut harness, worker) = dispatch_with_deadline();
    harness.advance(opens_after);
    harness.connect(worker);
    harness.advance(SECOND / 10);
    let is_written = harness
        .io
        .written
        .get(&worker)
        .is_some_and(|bytes| !bytes.is_empty());
    assert_eq!(is_written, is_sent);
    let outcomes = harness.outcomes();
    assert_eq!(outcomes == [Outcome::CancelledBeforeStart], !is_sent);
}

#[rstest]
fn an_attempt_is_withdrawn_at_its_send_deadline_and_not_later() {
    let (mut harness, _) = dispatch_with_deadline();
    harness.advance(SEND_TIME - 1);
    assert_eq!(harness.outcomes(), []);
    harness.advance(1);
    assert_eq!(harness.outcomes(), [Outcome::CancelledBeforeStart]);
}

#[rstest]
fn an_attempt_behind_bytes_that_the_worker_does_not_read_is_withdrawn() {
    let (mut harness, worker) = dispatch_with_deadline();
    harness.io.capacity.insert(worker, 0);
    harness.connect(worker);
    harness.advance(SEND_TIME);
    assert_eq!(harness.outcomes(), [Outcome::CancelledBeforeStart]);
    harness.io.capacity.insert(worker, 10_000);
    harness.event(Event::Writable { conn: worker });
    assert!(harness.io.written[&worker].is_empty());
}

#[rstest]
#[case::while_it_waits(0)]
#[case::within_a_turn_of_the_event_loop(SEND_TIME)]
fn an_attempt_of_which_a_part_is_written_never_reaches_the_worker_whole(
    #[case] turn_duration: Micros,
) {
    let (mut harness, worker) = dispatch_with_deadline();
    harness.io.capacity.insert(worker, PARTIAL_FRAME);
    harness.connect(worker);
    assert_eq!(harness.io.written[&worker].len(), PARTIAL_FRAME);
    harness.io.turn_duration = turn_duration;
    harness.advance(SEND_TIME - turn_duration);
    harness.io.capacity.insert(worker, 10_000);
    harness.event(Event::Writable { conn: worker });
    assert_eq!(harness.io.written[&worker].len(), PARTIAL_FRAME);
    assert!(harness.io.has_reset(worker));
    harness.advance(0);
    assert_eq!(harness.outcomes(), [Outcome::NoConnection]);
}

#[rstest]
#[case::in_one_turn(0, SEND_TIME)]
#[case::between_two_turns(SEND_TIME, 0)]
fn an_attempt_is_not_sent_by_a_process_that_was_stopped_past_its_send_deadline(
    #[case] between_turns: Micros,
    #[case] within_turn: Micros,
) {
    let (mut harness, worker) = dispatch_with_deadline();
    harness.event(Event::Connected { conn: worker });
    // The process stands still: the worker's answer waits, and no timer fires meanwhile.
    harness.now += between_turns;
    harness.io.turn_duration = within_turn;
    harness.answer_verification(worker);
    harness.io.turn_duration = 0;
    harness.advance(0);
    let written = harness.io.written.get(&worker);
    assert!(written.is_none_or(Vec::is_empty));
    assert_eq!(harness.outcomes(), [Outcome::CancelledBeforeStart]);
}

#[rstest]
fn an_attempt_that_was_sent_in_time_is_not_affected_by_its_send_deadline() {
    let (mut harness, worker) = dispatch_with_deadline();
    harness.connect(worker);
    harness.advance(2 * SEND_TIME);
    assert_eq!(harness.outcomes(), []);
    harness.finish_request(worker, CALL_ID, b"out");
    assert_eq!(harness.outcomes(), [Outcome::Finished]);
}

#[rstest]
#[case::in_time(SEND_TIME - 1, true)]
#[case::too_late(SEND_TIME, false)]
fn a_load_command_is_sent_only_before_its_send_deadline(
    #[case] opens_after: Micros,
    #[case] is_sent: bool,
) {
    let mut harness = EdgeHarness::on_platform(&[]);
    let client = harness.accept_client();
    let send_deadline = harness.now + SEND_TIME;
    harness.plan([Decision::LoadBefore(1, send_deadline)]);
    harness.send_request(client, 1, CALL_ID);
    let worker = harness.last_connection();
    harness.advance(opens_after);
    harness.connect(worker);
    harness.advance(SECOND / 10);
    let written = harness.io.written.get(&worker);
    assert_eq!(written.is_some_and(|bytes| !bytes.is_empty()), is_sent);
    let script = harness.script.borrow();
    let outcomes: Vec<Outcome> = script
        .load_results
        .iter()
        .map(|load| load.outcome)
        .collect();
    assert_eq!(outcomes == [Outcome::CancelledBeforeStart], !is_sent);
}

#[rstest]
#[should_panic(expected = "violation of send-deadline")]
fn an_attempt_that_is_dispatched_after_its_send_deadline_violates_an_invariant() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let (client, worker) = harness.dispatch_fastcgi_request();
    let send_deadline = harness.now;
    harness.finish_request(worker, CALL_ID, b"out");
    harness.plan([Decision::DispatchBefore(1, send_deadline)]);
    harness.send_request(client, 2, OTHER_CALL_ID);
}

const KEYED: &str = r#"
    (workload "keyed" (time-limit 10s) (effect fingerprinted) (group zone) (repeat-window 1s))"#;

/// Sends a request that a worker in zone `a` answers with an error, and has the module retry it after `pause` at a worker
/// in another zone or the same one. Returns whether the retry was sent.
fn retry_by_key(zone: &str, pause: Micros) -> bool {
    let mut harness = EdgeHarness::on_platform_with_forms(&[], KEYED);
    let mut other = member("v", "in_service");
    other["locality"] = json!(zone);
    other["host_port"] = json!("10.0.0.2:7001");
    harness.receive_member(2, other);
    let client = harness.accept_client();
    harness.plan([Decision::Dispatch(0, TIME_LIMIT)]);
    let params = request_params_with("SCRIPT_NAME", "/rpc/keyed");
    harness.receive(client, &request(1, &params, b"in"));
    let first = harness.last_connection();
    harness.connect(first);
    let answer = frames::response(ERROR, parse_call_id(CALL_ID), "", b"");
    harness.receive(first, &answer);
    harness.advance(pause);
    harness.decide_on_event(3, [Decision::DispatchTo(0, TIME_LIMIT, "v")]);
    let second = harness.last_connection();
    assert_ne!(first, second);
    harness.connect(second);
    let written = harness.io.written.get(&second);
    written.is_some_and(|bytes| !bytes.is_empty())
}

#[rstest]
fn a_retry_by_key_is_sent_to_a_worker_that_recognizes_the_key() {
    assert!(retry_by_key("a", SECOND / 2));
}

#[rstest]
#[case::out_of_scope("b", SECOND / 2)]
#[case::after_the_window("a", SECOND)]
#[should_panic(expected = "violation of effect-once")]
fn a_retry_by_key_to_a_worker_that_does_not_recognize_the_key_violates_an_invariant(
    #[case] zone: &str,
    #[case] pause: Micros,
) {
    retry_by_key(zone, pause);
}
