//! Connections to workers that stay open although nothing on them is answered any more (review, case 9): they must not be
//! used for further attempts.

mod harness;

use harness::fastcgi::{parse_call_id, CALL_ID, OTHER_CALL_ID, TIME_LIMIT};
use harness::platform_worker::FINISHED;
use harness::scripted_module::Decision;
use harness::{EdgeHarness, SECOND};
use rstest::rstest;
use sanddrum::{Micros, Outcome};
use sanddrum_net::{CloseCause, ConnectionId, Event};
use sanddrum_platform::frames;

/// A connection carries several attempts at a time.
const SETTINGS: [(&str, &str); 1] = [("limits.streams", "4")];
/// How long a connection may be silent where an answer is due.
const MAX_SILENCE: Micros = SECOND;
/// Longer than the platform's longest time limit in these tests, and all that follows it.
const LONG_AFTER: Micros = 4 * SECOND;

fn half_an_answer() -> Vec<u8> {
    let answer = frames::response(FINISHED, parse_call_id(CALL_ID), "remark=hot", b"out");
    answer[..answer.len() / 2].to_vec()
}

/// Sends a further request that is dispatched. Returns the connection to the worker on which it was written, if any.
fn dispatch_another(harness: &mut EdgeHarness, client: ConnectionId) -> Option<ConnectionId> {
    harness.plan([Decision::Dispatch(1, TIME_LIMIT)]);
    let writes = harness.io.writes.len();
    harness.send_request(client, 2, OTHER_CALL_ID);
    let write = harness.io.writes.get(writes)?;
    (write.0 != client).then_some(write.0)
}

#[rstest]
fn a_connection_on_which_an_answer_stops_short_is_given_up() {
    let mut harness = EdgeHarness::on_platform(&SETTINGS);
    let (_, worker) = harness.dispatch_fastcgi_request();
    harness.receive(worker, &half_an_answer());
    harness.advance(MAX_SILENCE - 1);
    assert!(harness.io.finished.is_empty());
    harness.advance(1);
    assert_eq!(harness.io.finished, [worker]);
    let client = harness.accept_client();
    assert_eq!(dispatch_another(&mut harness, client), None);
    let new = harness.last_connection();
    assert_ne!(new, worker);
    harness.connect(new);
    harness.finish_request(new, OTHER_CALL_ID, b"out");
    assert_eq!(harness.fastcgi_statuses(client), [(2, 200)]);
    // The attempt that was not answered may have run; its end is reported once the worker has ended the connection.
    harness.event(Event::Closed {
        conn: worker,
        cause: CloseCause::Orderly,
    });
    harness.advance(0);
    assert_eq!(harness.outcomes(), [Outcome::Finished, Outcome::Reset]);
}

#[rstest]
fn a_connection_on_which_the_rest_of_an_answer_comes_late_is_kept() {
    let mut harness = EdgeHarness::on_platform(&SETTINGS);
    let (client, worker) = harness.dispatch_fastcgi_request();
    let half = half_an_answer();
    harness.receive(worker, &half);
    harness.advance(MAX_SILENCE - 1);
    let answer = frames::response(FINISHED, parse_call_id(CALL_ID), "remark=hot", b"out");
    harness.receive(worker, &answer[half.len()..]);
    harness.advance(MAX_SILENCE);
    assert_eq!(harness.fastcgi_statuses(client), [(1, 200)]);
    assert_eq!(dispatch_another(&mut harness, client), Some(worker));
}

/// The attempt times out, and the worker does not answer the health check that asks whether it has read the cancellation.
#[rstest]
fn a_connection_that_answers_no_health_check_is_not_used_again() {
    let mut harness = EdgeHarness::on_platform(&SETTINGS);
    let (_, worker) = harness.dispatch_fastcgi_request();
    harness.advance(LONG_AFTER);
    let client = harness.accept_client();
    assert_eq!(dispatch_another(&mut harness, client), None);
    let new = harness.last_connection();
    assert_ne!(new, worker);
    harness.connect(new);
    harness.finish_request(new, OTHER_CALL_ID, b"out");
    assert_eq!(harness.fastcgi_statuses(client), [(2, 200)]);
}

#[rstest]
fn a_connection_that_answers_health_checks_is_used_again_after_a_time_out() {
    let mut harness = EdgeHarness::on_platform(&SETTINGS);
    let (_, worker) = harness.dispatch_fastcgi_request();
    harness.advance(TIME_LIMIT);
    harness.answer_health_check(worker);
    harness.advance(MAX_SILENCE);
    let client = harness.accept_client();
    assert_eq!(dispatch_another(&mut harness, client), Some(worker));
}

/// A long request alone says nothing of its connection.
#[rstest]
fn a_connection_with_a_long_request_is_used_for_others() {
    let mut harness = EdgeHarness::on_platform(&SETTINGS);
    let (client, worker) = harness.dispatch_fastcgi_request();
    harness.advance(MAX_SILENCE + SECOND / 10);
    assert_eq!(dispatch_another(&mut harness, client), Some(worker));
}
