//! Polls of the control feed that are not answered in time: a slow feed can't be told from a silent one, so that their
//! connections are kept for a while.

mod harness;

use harness::feed::{feed_answer, member, member_event};
use harness::{EdgeHarness, SECOND};
use rstest::rstest;
use sanddrum::WorkerState;
use sanddrum_net::{CloseCause, ConnectionId, Event};
use serde_json::json;

/// Review, case 8: a feed whose answers came later than the client waited for them was never heard.
#[rstest]
fn an_answer_to_an_overdue_poll_is_applied_and_confirms_the_list() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let old = harness.discovery;
    let polled_at = harness.now;
    harness.leave_polls_unanswered(2 * SECOND);
    let polls = harness.polls().len();
    let answer = feed_answer(2, json!([member_event(2, member("w", "terminating"))]));
    harness.receive(old, &answer);
    assert_eq!(harness.last_endpoint().state, WorkerState::Draining);
    assert!(harness.confirmed_at() >= polled_at);
    assert!(harness.io.has_reset(old));
    assert_eq!(harness.polls().len(), polls, "a later poll is outstanding");
}

/// Guards against a poll that is written before its connection is up, which would end that connection.
#[rstest]
fn an_answer_to_an_overdue_poll_leaves_the_new_connection_to_open() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let old = harness.discovery;
    while harness.feed_connections().len() == 1 {
        harness.advance(SECOND / 20);
    }
    let new = *harness.feed_connections().last().unwrap();
    let polls = harness.polls().len();
    harness.receive(old, &feed_answer(1, json!([])));
    assert_eq!(harness.polls().len(), polls);
    assert!(!harness.io.has_reset(new));
    harness.event(Event::Connected { conn: new });
    assert_eq!(harness.polls().len(), polls + 1);
}

#[rstest]
fn polls_of_a_slow_feed_are_awaited_for_as_long_as_its_answers_take() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let old = harness.discovery;
    harness.leave_polls_unanswered(2 * SECOND);
    harness.receive(old, &feed_answer(1, json!([])));
    // The poll that was sent before this answer is given up as early as the first one.
    harness.leave_polls_unanswered(3 * SECOND / 2);
    let connections = harness.feed_connections().len();
    let current = *harness.feed_connections().last().unwrap();
    for _ in 0..4 {
        harness.leave_polls_unanswered(2 * SECOND);
        harness.receive(current, &feed_answer(1, json!([])));
    }
    assert_eq!(harness.feed_connections().len(), connections);
}

#[rstest]
fn the_number_of_connections_with_overdue_polls_is_bounded() {
    const MAX_OPEN: usize = 5;
    let mut harness = EdgeHarness::on_platform(&[]);
    harness.leave_polls_unanswered(20 * SECOND);
    let connections = harness.feed_connections();
    let is_open = |conn: &&ConnectionId| !harness.io.has_reset(**conn);
    assert!(connections.len() > MAX_OPEN);
    assert_eq!(connections.iter().filter(is_open).count(), MAX_OPEN);
    // The oldest ones are ended.
    assert!(harness.io.has_reset(harness.discovery));
}

#[rstest]
fn the_end_of_an_overdue_connection_does_not_affect_the_current_one() {
    let mut harness = EdgeHarness::on_platform(&[]);
    let old = harness.discovery;
    harness.leave_polls_unanswered(2 * SECOND);
    let connections = harness.feed_connections().len();
    harness.event(Event::Closed {
        conn: old,
        cause: CloseCause::Reset,
    });
    let current = *harness.feed_connections().last().unwrap();
    let answer = feed_answer(2, json!([member_event(2, member("w", "terminating"))]));
    harness.receive(current, &answer);
    assert_eq!(harness.last_endpoint().state, WorkerState::Draining);
    assert_eq!(harness.feed_connections().len(), connections);
}
