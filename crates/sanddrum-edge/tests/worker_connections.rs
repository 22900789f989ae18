//! Connections to workers: opening, limits, protocol violations, rotation and backoff.

mod harness;

use harness::scripted_module::Decision;
use harness::{endpoint, full_update, EdgeHarness, SECOND};
use rstest::rstest;
use sanddrum::Outcome;
use sanddrum_net::{CloseCause, Core, Event};
use sanddrum_wire::{ExecutionStatus, Phase};

#[rstest]
fn a_connection_that_is_not_opened_in_time_is_reset() {
    let mut harness = EdgeHarness::new(&[("limits.connect-time-out", "100ms")]);
    let (_, worker) = harness.dispatch_http_request(5 * SECOND);
    harness.advance(SECOND / 5);
    assert_eq!(harness.outcomes(), [Outcome::NoConnection]);
    assert!(harness.io.has_reset(worker));
}

#[rstest]
fn an_idle_connection_is_retired_at_the_limit_of_worker_connections() {
    let mut harness = EdgeHarness::new(&[("limits.all-connections", "1")]);
    harness.receive_update(&full_update(
        2,
        &[
            endpoint("w", 1, Phase::Ready),
            endpoint("v", 1, Phase::Ready),
        ],
    ));
    let (_, first) = harness.dispatch_http_request(5 * SECOND);
    harness.connect(first);
    let connects = harness.io.connects.len();
    let client = harness.accept_client();
    let dispatch_to_v = |harness: &mut EdgeHarness, id: u64| {
        harness.plan([Decision::DispatchTo(id, 5 * SECOND, "v")]);
        harness.send_http_request(client, &[]);
        harness.process();
    };
    dispatch_to_v(&mut harness, 1);
    assert_eq!(
        (harness.outcomes(), harness.io.connects.len()),
        (vec![Outcome::NoConnection], connects),
        "no connection is idle"
    );
    let id = harness.attempts_to(first)[0];
    harness.answer_attempt(first, id, ExecutionStatus::Finished);
    dispatch_to_v(&mut harness, 2);
    harness.advance(SECOND / 100);
    assert_eq!(harness.io.connects.len(), connects + 1);
    assert!(harness.io.has_closed(first));
}

#[rstest]
#[case::undecodable_content(&[0, 0, 0, 2, 0xff, 0xff])]
#[case::too_large(&[0x7f, 0xff, 0xff, 0xff])]
#[case::single_zero_byte(&[0, 0, 0, 1, 0x00])]
fn a_malformed_frame_resets_the_connection(#[case] bytes: &[u8]) {
    let mut harness = EdgeHarness::new(&[]);
    let (_, worker) = harness.dispatch_http_request(5 * SECOND);
    harness.connect(worker);
    harness.receive(worker, bytes);
    assert_eq!(harness.outcomes(), [Outcome::Reset]);
    assert!(harness.io.has_reset(worker));
}

#[rstest]
fn a_greeting_under_another_name_resets_the_connection() {
    let mut harness = EdgeHarness::new(&[]);
    let (_, worker) = harness.dispatch_http_request(5 * SECOND);
    harness.connect(worker);
    harness.receive_hello(worker, "someone-else", 1, None);
    assert_eq!(harness.outcomes(), [Outcome::Reset]);
}

#[rstest]
fn connections_to_a_worker_are_bounded_and_closed_when_idle() {
    let mut harness = EdgeHarness::new(&[
        ("limits.streams", "1"),
        ("limits.connections", "1"),
        ("limits.idle-close", "2s"),
    ]);
    let (_, worker) = harness.dispatch_http_request(50 * SECOND);
    harness.connect(worker);
    harness.dispatch_http_request(50 * SECOND);
    harness.process();
    assert_eq!(harness.outcomes(), [Outcome::Rejected]);
    harness.advance(5 * SECOND);
    assert!(
        harness.io.closed.is_empty(),
        "an attempt is in flight on it"
    );
    harness.answer_attempt(
        worker,
        harness.attempts_to(worker)[0],
        ExecutionStatus::Finished,
    );
    harness.advance(4 * SECOND);
    assert!(harness.io.has_closed_gracefully(worker));
}

#[rstest]
fn a_worker_that_does_not_read_counts_as_unreachable() {
    let mut harness = EdgeHarness::new(&[("limits.waiting-per-worker", "100 B")]);
    let (_, worker) = harness.dispatch_http_request(5 * SECOND);
    harness.io.capacity.insert(worker, 0);
    harness.connect(worker);
    for _ in 0..5 {
        harness.dispatch_http_request(5 * SECOND);
    }
    harness.process();
    assert!(harness.outcomes().contains(&Outcome::NoConnection));
}

/// The certificates change while an attempt is in flight. The attempt is answered on its connection, later ones are
/// sent on a new connection, and the old one is closed once nothing is in flight on it.
#[rstest]
fn a_connection_with_outdated_credentials_is_drained_and_replaced() {
    let mut harness = EdgeHarness::new(&[("limits.retire-within", "1s")]);
    let (client, old) = harness.dispatch_http_request(5 * SECOND);
    harness.connect(old);
    let first = harness.attempts_to(old)[0];
    let now = harness.now;
    harness
        .edge
        .on_credentials_changed(now, old, false, &mut harness.io);
    harness.process();
    harness.process();
    let new = harness.last_connection();
    assert_ne!(new, old, "a new connection is opened");
    harness.connect(new);
    let (other, _) = harness.dispatch_http_request(5 * SECOND);
    assert_eq!(
        (
            harness.attempts_to(old).len(),
            harness.attempts_to(new).len()
        ),
        (1, 1)
    );
    harness.advance(2 * SECOND);
    assert!(!harness.io.has_closed(old), "an attempt is in flight on it");
    harness.answer_attempt(old, first, ExecutionStatus::Finished);
    harness.advance(SECOND);
    assert!(harness.io.has_closed_gracefully(old));
    let second = harness.attempts_to(new)[0];
    harness.answer_attempt(new, second, ExecutionStatus::Finished);
    assert_eq!(
        (harness.statuses(client), harness.statuses(other)),
        (vec![200], vec![200])
    );
}

#[rstest]
fn a_worker_with_denied_credentials_gets_no_new_attempt() {
    let mut harness = EdgeHarness::new(&[]);
    let (_, old) = harness.dispatch_http_request(5 * SECOND);
    harness.connect(old);
    let now = harness.now;
    harness
        .edge
        .on_credentials_changed(now, old, true, &mut harness.io);
    harness.process();
    harness.dispatch_http_request(5 * SECOND);
    assert_eq!(harness.attempts_to(old).len(), 1);
}

/// After a connection was refused, attempts fail at once and no connection is opened until the backoff has elapsed.
#[rstest]
fn an_unreachable_worker_is_not_connected_to_during_its_backoff() {
    let mut harness = EdgeHarness::new(&[("limits.left-alone-least", "400ms")]);
    let (_, worker) = harness.dispatch_http_request(5 * SECOND);
    harness.event(Event::Closed {
        conn: worker,
        cause: CloseCause::Refused,
    });
    let connects = harness.io.connects.len();
    for _ in 0..3 {
        harness.plan([Decision::CheckHealth]);
        harness.dispatch_http_request(5 * SECOND);
        harness.process();
    }
    assert_eq!(harness.io.connects.len(), connects);
    assert!(
        harness
            .outcomes()
            .iter()
            .all(|outcome| *outcome == Outcome::NoConnection)
            && harness.outcomes().len() == 4,
        "{:?}",
        harness.outcomes()
    );
    harness.advance(SECOND);
    harness.dispatch_http_request(5 * SECOND);
    assert_eq!(harness.io.connects.len(), connects + 1);
}

#[rstest]
fn a_worker_with_a_wrong_name_is_not_connected_to_during_its_backoff() {
    let mut harness = EdgeHarness::new(&[]);
    let (_, worker) = harness.dispatch_http_request(5 * SECOND);
    harness.connect(worker);
    harness.receive_hello(worker, "somebody", 1, None);
    let connects = harness.io.connects.len();
    harness.dispatch_http_request(5 * SECOND);
    harness.process();
    assert_eq!(harness.io.connects.len(), connects);
    assert_eq!(harness.outcomes(), [Outcome::Reset, Outcome::NoConnection]);
}

/// Guards against frames that workers begin and never end: each is within its own limit, and hundreds of connections
/// together took any amount of memory. The connection whose frame takes the most is reset.
#[rstest]
fn incomplete_frames_are_bounded_over_all_workers() {
    let mut harness = EdgeHarness::new(&[
        ("limits.worker-frames", "25KB"),
        ("limits.largest-frame", "1MB"),
    ]);
    let workers = [
        endpoint("w", 1, Phase::Ready),
        endpoint("v", 1, Phase::Ready),
    ];
    harness.receive_update(&full_update(2, &workers));
    let (_, first) = harness.dispatch_http_request(5 * SECOND);
    harness.connect(first);
    let client = harness.accept_client();
    harness.plan([Decision::DispatchTo(1, 5 * SECOND, "v")]);
    harness.send_http_request(client, &[]);
    let second = harness.last_connection();
    harness.connect(second);
    let frame = |length: usize| [&100_000u32.to_be_bytes()[..], &vec![0; length]].concat();
    harness.receive(first, &frame(20_000));
    assert!(!harness.io.has_reset(first));
    harness.receive(second, &frame(10_000));
    assert!(harness.io.has_reset(first));
    assert!(!harness.io.has_reset(second));
    // What the reset connection had taken no longer counts.
    harness.receive(second, &[0; 5_000]);
    assert!(!harness.io.has_reset(second));
}
