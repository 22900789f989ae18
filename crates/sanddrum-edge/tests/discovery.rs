//! Tests of the endpoint list: updates, gaps, worker restarts, the cache and reconnects to the discovery service.

mod harness;

use harness::{delta_update, endpoint, full_update, EdgeHarness, SECOND};
use rstest::rstest;
use sanddrum::{EndpointListKind, Outcome, WorkerState};
use sanddrum_edge::endpoint_cache;
use sanddrum_net::{CloseCause, Event};
use sanddrum_wire::{EndpointRecord, Phase};

#[rstest]
fn an_update_after_a_gap_is_applied_immediately_and_the_gap_is_polled_for_once() {
    let mut harness = EdgeHarness::new(&[]);
    let before = harness.io.written[&harness.discovery].len();
    harness.receive_update(&delta_update(5, 4, &[endpoint("w", 1, Phase::Draining)]));
    let listed = harness.last_list_kind_and_state();
    assert_eq!(
        listed,
        Some((EndpointListKind::Delta, WorkerState::Draining)),
        "a draining worker is reported despite the missed update"
    );
    let polled = harness.io.written[&harness.discovery].len();
    assert!(polled > before, "the missed update is polled for");
    harness.receive_update(&delta_update(6, 5, &[endpoint("w", 1, Phase::Draining)]));
    assert_eq!(
        harness.io.written[&harness.discovery].len(),
        polled,
        "the missed update is polled for only once"
    );
    // An update that is based on the known version is applied.
    harness.receive_update(&delta_update(6, 1, &[endpoint("w", 1, Phase::Ready)]));
    let listed = harness.last_list_kind_and_state();
    assert_eq!(listed, Some((EndpointListKind::Delta, WorkerState::Ready)));
}

#[rstest]
fn a_worker_keeps_its_start_time_until_its_hello_message_reports_a_restart() {
    let mut harness = EdgeHarness::new(&[]);
    let record = |incarnation, age_us| EndpointRecord {
        age_us,
        ..endpoint("w", incarnation, Phase::Ready)
    };
    harness.receive_update(&full_update(2, &[record(2, 500_000)]));
    let first = harness.last_endpoint().started_at;
    assert_eq!(first, harness.now - 500_000);
    harness.now += SECOND;
    harness.receive_update(&full_update(3, &[record(2, 1_700_000)]));
    assert_eq!(
        harness.last_endpoint().started_at,
        first,
        "the record is 200 ms late, the worker has not restarted"
    );
    let (_, worker) = harness.dispatch_http_request(5 * SECOND);
    harness.connect(worker);
    harness.receive_hello(worker, "w", 3, Some(1000));
    let listed = harness.last_endpoint();
    assert_eq!(listed.started_at, harness.now - 1000);
    harness.receive_update(&full_update(4, &[record(2, 9_000_000)]));
    assert_eq!(
        harness.last_endpoint().started_at,
        listed.started_at,
        "a record of an older incarnation is outdated"
    );
}

#[rstest]
fn the_cached_list_is_restored_unless_it_is_corrupt() {
    let mut harness = EdgeHarness::new(&[]);
    harness.advance(SECOND);
    let cached = harness.io.saved.clone().unwrap();
    let restarted = EdgeHarness::with_cached_state(&[], Some(cached.clone()));
    assert_eq!(
        restarted.script.borrow().endpoint_lists[0].kind,
        EndpointListKind::Cached
    );
    assert_eq!(
        restarted.script.borrow().endpoint_lists[0].endpoints[0].state,
        WorkerState::Ready
    );
    for corrupt in [&cached[..cached.len() - 3], b"something else", &[]] {
        assert!(endpoint_cache::read(corrupt).is_err());
        let restarted = EdgeHarness::with_cached_state(&[], Some(corrupt.to_vec()));
        assert!(restarted.script.borrow().endpoint_lists.is_empty());
    }
}

#[rstest]
fn reconnects_to_the_discovery_service_back_off_with_jitter() {
    let mut harness = EdgeHarness::new(&[
        ("limits.list-retry-least", "100ms"),
        ("limits.list-retry-most", "1s"),
    ]);
    harness.event(Event::Closed {
        conn: harness.discovery,
        cause: CloseCause::Reset,
    });
    let mut delays = Vec::new();
    for _ in 0..6 {
        let before = harness.io.connects.len();
        let since = harness.now;
        while harness.io.connects.len() == before {
            harness.advance(10_000);
        }
        delays.push(harness.now - since);
        let conn = harness.last_connection();
        harness.event(Event::Closed {
            conn,
            cause: CloseCause::Refused,
        });
    }
    // Each delay is random between the minimum and three times the previous delay.
    assert!(
        delays[0] <= 310_000
            && delays
                .iter()
                .all(|delay| (90_000..=1_010_000).contains(delay)),
        "{delays:?}"
    );
    assert!(delays.iter().any(|delay| *delay >= 400_000), "{delays:?}");
}

#[rstest]
#[case::clock_stepped_forward_by_an_hour(-3600 * SECOND)]
#[case::clock_stepped_back_by_an_hour(3600 * SECOND)]
fn a_step_of_the_wall_clock_does_not_change_the_ages_of_cached_workers(#[case] clock_step: i64) {
    let record = EndpointRecord {
        age_us: 500_000,
        ..endpoint("w", 1, Phase::Ready)
    };
    let cached = endpoint_cache::CachedState {
        saved_at: 1000 * SECOND + clock_step,
        service_incarnation: 1,
        version: 1,
        endpoints: vec![record],
        ..endpoint_cache::CachedState::default()
    };
    let harness = EdgeHarness::with_cached_state(&[], Some(endpoint_cache::write(&cached)));
    assert_eq!(
        harness.script.borrow().endpoint_lists[0].endpoints[0].started_at,
        1000 * SECOND - 500_000
    );
}

#[rstest]
#[case::draining(Phase::Draining)]
#[case::gone(Phase::Gone)]
fn attempts_to_a_draining_or_gone_worker_are_retracted(#[case] phase: Phase) {
    let mut harness = EdgeHarness::new(&[]);
    let (_, worker) = harness.dispatch_http_request(SECOND);
    harness.receive_update(&full_update(2, &[endpoint("w", 1, phase)]));
    assert_eq!(harness.outcomes(), [Outcome::CancelledBeforeStart]);
    harness.connect(worker);
    assert!(harness.attempts_to(worker).is_empty());
}
