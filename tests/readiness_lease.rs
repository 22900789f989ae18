//! Readiness leases: what a router dispatches, and where, while its endpoint list is no longer confirmed. A
//! worker that drains while the discovery service is unavailable must not go on getting requests (incident 624c95).

mod common;

use common::*;
use rstest::rstest;
use sanddrum::{EndpointConfirmation, EventBatch, Micros, Outcome, Value, Warmth};
use std::collections::BTreeMap;

const SECOND: Micros = 1_000_000;
/// The router may be considered notified of changes this long after the last confirmation, and always is after
/// `MAX_NOTIFICATION_DELAY`.
const MIN_NOTIFICATION_DELAY: Micros = 2 * SECOND;
const MAX_NOTIFICATION_DELAY: Micros = 7 * SECOND;
const DRAIN_GRACE: Micros = 250_000;
const WORK_TIME: Micros = 10_000;
const FUNCTION: u64 = 7;

/// Two workers with one instance each, and an endpoint list that is confirmed as of now.
fn two_warm_workers() -> FakeHost {
    let drain_grace = ("rules.drain-grace-us", Value::Number(DRAIN_GRACE as f64));
    // Longer than any test, so that no instance expires.
    let keep_alive = ("copies.keep-alive-us", Value::Number(6e7));
    let settings = [
        workers_answer_misses(),
        LOAD_COMMANDS,
        drain_grace,
        keep_alive,
    ];
    let mut host = FakeHost::new(2, &settings);
    host.send(1, FUNCTION);
    host.answer_queries(1);
    host.succeed(1, Warmth::Warm, WORK_TIME);
    for worker in 0..2 {
        host.end_load(worker, FUNCTION, Outcome::Finished, 1);
    }
    confirm(&mut host);
    host
}

fn confirm(host: &mut FakeHost) {
    let confirmation = EndpointConfirmation {
        confirmed_at: host.now,
        min_notification_delay: MIN_NOTIFICATION_DELAY,
        max_notification_delay: MAX_NOTIFICATION_DELAY,
    };
    host.handle(EventBatch {
        endpoint_confirmation: Some(confirmation),
        ..EventBatch::default()
    });
}

/// Sends requests one after the other, each answered before the next; returns the workers that served them.
fn serve(host: &mut FakeHost, ids: std::ops::Range<u64>) -> Vec<u64> {
    let mut workers = Vec::new();
    for id in ids {
        host.send(id, FUNCTION);
        if host.final_answers(id) == 0 {
            workers.extend(host.dispatched_to(id));
            host.succeed(id, Warmth::Warm, WORK_TIME);
        }
    }
    workers
}

/// Sends a request that one worker rejects and the other one serves; returns the worker that rejected it.
fn reject_once(host: &mut FakeHost, id: u64) -> u64 {
    host.send(id, FUNCTION);
    let rejecting = host.dispatched_to(id).unwrap();
    host.end_attempt(id, Outcome::Rejected, Warmth::Unknown, 1_000);
    assert_ne!(host.dispatched_to(id), Some(rejecting));
    host.succeed(id, Warmth::Warm, WORK_TIME);
    rejecting
}

#[rstest]
#[case::list_is_current(MIN_NOTIFICATION_DELAY - SECOND, true)]
#[case::list_is_overdue(MIN_NOTIFICATION_DELAY + SECOND / 2, false)]
#[case::list_is_stale(MAX_NOTIFICATION_DELAY + SECOND, false)]
fn rejecting_worker_gets_no_requests_once_its_drain_may_be_missed(
    #[case] age: Micros,
    #[case] is_used: bool,
) {
    let mut host = two_warm_workers();
    let rejecting = reject_once(&mut host, 2);
    // The other worker serves requests until the list has reached this age.
    let mut id = 10;
    while host.now < two_warm_workers().now + age {
        host.advance(SECOND / 4);
        serve(&mut host, id..id + 2);
        id += 2;
    }
    let burst: Vec<_> = (100..106).map(|id| host.request(id, FUNCTION)).collect();
    host.send_all(burst);
    host.advance(DRAIN_GRACE);
    let dispatched = (100..106).filter(|id| host.dispatched_to(*id) == Some(rejecting));
    assert_eq!(dispatched.count() > 0, is_used);
}

#[rstest]
fn attempt_accepted_after_a_rejection_rules_out_a_drain() {
    let mut host = two_warm_workers();
    let rejecting = reject_once(&mut host, 2);
    for first in [10, 20] {
        host.advance(MIN_NOTIFICATION_DELAY / 2);
        // More requests at a time than the other worker can run.
        let pair: Vec<_> = (first..first + 2)
            .map(|id| host.request(id, FUNCTION))
            .collect();
        host.send_all(pair);
        let dispatched: Vec<_> = (first..first + 2)
            .filter_map(|id| host.dispatched_to(id))
            .collect();
        assert!(
            dispatched.contains(&rejecting),
            "at {first}: {dispatched:?}"
        );
        (first..first + 2).for_each(|id| host.succeed(id, Warmth::Warm, WORK_TIME));
    }
}

#[rstest]
fn with_a_stale_list_only_workers_that_recently_accepted_an_attempt_are_used() {
    let mut host = two_warm_workers();
    let begun = host.now;
    // One worker accepts requests all the time; the other one has a long request in flight and gets no more.
    host.send(2, FUNCTION);
    let other = host.dispatched_to(2).unwrap();
    let mut id = 10;
    while host.now < begun + MAX_NOTIFICATION_DELAY {
        host.advance(SECOND / 2);
        assert!(!serve(&mut host, id..id + 1).contains(&other));
        id += 1;
    }
    // The long request is answered now, but was dispatched seven seconds ago.
    host.succeed(2, Warmth::Warm, 0);
    let loads_before = host.load_commands(None, 1);
    let burst: Vec<_> = (100..110).map(|id| host.request(id, FUNCTION)).collect();
    host.send_all(burst);
    host.advance(DRAIN_GRACE);
    let dispatched = (100..110).filter(|id| host.dispatched_to(*id) == Some(other));
    assert_eq!(dispatched.count(), 0, "no attempt without a lease");
    let commands = host.log.actions.iter().filter(
        |action| matches!(action, Action::Load { worker, instances, .. } if *worker == other && *instances > 0),
    );
    assert_eq!(commands.count(), 0, "no load command without a lease");
    assert!(host.load_commands(None, 1) >= loads_before);
}

#[rstest]
fn with_a_stale_list_and_no_lease_requests_are_rejected_immediately() {
    let mut host = two_warm_workers();
    host.advance(MAX_NOTIFICATION_DELAY + SECOND);
    let before = host.attempts.len();
    host.send(2, FUNCTION);
    assert_eq!(host.final_answers(2), 1);
    assert!(host.log.retry_afters.last().is_some_and(|after| *after > 0));
    assert_eq!(host.attempts.len(), before);
    // A confirmed list is current again.
    confirm(&mut host);
    assert_eq!(serve(&mut host, 3..4).len(), 1);
}

/// Review, case 7: leases were extended again and again by an attempt of long ago, so that a worker that had begun to
/// drain after it was sent requests for as long as the outage lasted.
#[rstest]
#[case::just_before_its_drain_counts_as_notified(MAX_NOTIFICATION_DELAY - SECOND, true)]
#[case::once_its_drain_counts_as_notified(MAX_NOTIFICATION_DELAY, false)]
#[case::much_later(30 * SECOND, false)]
fn expired_leases_are_extended_until_a_later_drain_counts_as_notified(
    #[case] pause: Micros,
    #[case] is_used: bool,
) {
    let mut host = two_warm_workers();
    host.advance(MIN_NOTIFICATION_DELAY + SECOND);
    let accepted_at = host.now;
    let accepting = serve(&mut host, 2..3);
    // The module runs now and then in the pause, which must not renew anything.
    while host.now < accepted_at + pause {
        host.advance(SECOND / 2);
    }
    let used = serve(&mut host, 3..4);
    assert_eq!(used, if is_used { accepting } else { vec![] });
    assert_eq!(host.final_answers(3), usize::from(!is_used));
}

#[rstest]
fn each_accepted_attempt_renews_an_extended_lease() {
    let mut host = two_warm_workers();
    host.advance(MIN_NOTIFICATION_DELAY + SECOND);
    for id in 2..10 {
        assert_eq!(serve(&mut host, id..id + 1).len(), 1, "request {id}");
        host.advance(3 * SECOND);
    }
}

#[rstest]
fn attempt_before_the_overdue_phase_extends_no_lease() {
    let mut host = two_warm_workers();
    host.advance(MIN_NOTIFICATION_DELAY - SECOND);
    assert_eq!(serve(&mut host, 2..3).len(), 1);
    host.advance(MAX_NOTIFICATION_DELAY - SECOND);
    assert_eq!(serve(&mut host, 3..4), []);
}

/// A request that no worker may receive must not wait for one, although a worker has accepted something recently.
#[rstest]
fn with_a_stale_list_requests_are_rejected_immediately_if_the_last_used_worker_rejects() {
    let mut host = two_warm_workers();
    let begun = host.now;
    // One worker has a long request in flight, so that only the other one is used.
    host.send(2, FUNCTION);
    let mut id = 10;
    while host.now < begun + MAX_NOTIFICATION_DELAY {
        host.advance(SECOND / 2);
        assert_eq!(serve(&mut host, id..id + 1).len(), 1);
        id += 1;
    }
    host.advance(DRAIN_GRACE);
    host.send(100, FUNCTION);
    host.end_attempt(100, Outcome::Rejected, Warmth::Unknown, 1_000);
    assert_eq!(host.final_answers(100), 1);
    let before = host.attempts.len();
    host.send(101, FUNCTION);
    assert_eq!((host.final_answers(101), host.attempts.len()), (1, before));
    assert!(host.log.retry_afters.last().is_some_and(|after| *after > 0));
}

/// The send deadline of the attempt that was dispatched last, from this instant on.
fn last_send_time(host: &FakeHost, from: Micros) -> Micros {
    let limits = host.log.attempt_limits.last().unwrap();
    limits.send_deadline - from
}

/// Review, case 6: an attempt may wait for its connection for longer than the lease that it was decided under lasts.
#[rstest]
fn attempt_must_be_sent_before_a_drain_that_was_missed_counts_as_notified() {
    let mut host = two_warm_workers();
    let confirmed_at = host.now;
    host.send(2, FUNCTION);
    let list_expires_after = MAX_NOTIFICATION_DELAY + DRAIN_GRACE;
    assert_eq!(last_send_time(&host, confirmed_at), list_expires_after);
    host.succeed(2, Warmth::Warm, WORK_TIME);
    // From then on the attempt is bounded by the lease of its worker, once that is longer.
    host.advance(MAX_NOTIFICATION_DELAY - SECOND / 2);
    let mut served_at = BTreeMap::new();
    for id in 3..5 {
        let at = host.now;
        served_at.extend(serve(&mut host, id..id + 1).into_iter().map(|w| (w, at)));
    }
    host.send(5, FUNCTION);
    let worker = host.dispatched_to(5).unwrap();
    let lease_expires_after = MIN_NOTIFICATION_DELAY + DRAIN_GRACE;
    assert_eq!(
        last_send_time(&host, served_at[&worker]),
        lease_expires_after
    );
}

#[rstest]
fn load_command_must_be_sent_before_a_drain_that_was_missed_counts_as_notified() {
    let mut host = two_warm_workers();
    let confirmed_at = host.now;
    host.send(2, FUNCTION + 1);
    host.answer_queries(0);
    let send_deadline = *host.log.load_deadlines.last().unwrap();
    let list_expires_after = MAX_NOTIFICATION_DELAY + DRAIN_GRACE;
    assert_eq!(send_deadline - confirmed_at, list_expires_after);
}

#[rstest]
fn list_without_confirmations_does_not_become_stale() {
    let mut host = FakeHost::new(2, &[]);
    serve(&mut host, 1..3);
    host.advance(60 * SECOND);
    assert_eq!(serve(&mut host, 3..5).len(), 2);
}

#[rstest]
#[case::list_is_overdue(MIN_NOTIFICATION_DELAY + SECOND, true)]
#[case::list_is_current(0, false)]
fn lost_worker_that_answers_again_is_cold_while_its_restart_may_be_missed(
    #[case] age: Micros,
    #[case] is_cold: bool,
) {
    let mut host = two_warm_workers();
    host.advance(age);
    serve(&mut host, 2..4);
    host.send(4, FUNCTION);
    let lost = host.dispatched_to(4).unwrap();
    host.end_attempt(4, Outcome::Reset, Warmth::Unknown, 1_000);
    host.answer_queries(1);
    // The worker answers its check. The number of requests dispatched to it is limited if it may have restarted.
    let burst: Vec<_> = (100..160).map(|id| host.request(id, FUNCTION)).collect();
    host.send_all(burst);
    for _ in 0..20 {
        host.answer_queries(1);
        host.advance(20_000);
    }
    let dispatched = (100..160).filter(|id| host.dispatched_to(*id) == Some(lost));
    assert_eq!(dispatched.count() < 3, is_cold);
}

#[rstest]
#[case::list_is_confirmed(true)]
#[case::list_is_stale(false)]
fn instances_are_kept_pre_warmed_only_at_workers_that_hold_a_lease(#[case] is_confirmed: bool) {
    let prewarmed = ("design.pre-warmed", Value::Number(1.0));
    let mut host = FakeHost::new(1, &[workers_answer_misses(), LOAD_COMMANDS, prewarmed]);
    confirm(&mut host);
    host.send(1, FUNCTION);
    host.complete_first_load(FUNCTION, WORK_TIME);
    host.succeed(1, Warmth::Warm, WORK_TIME);
    host.advance(MAX_NOTIFICATION_DELAY);
    let before = host.load_commands(FUNCTION, 1);
    for _ in 0..10 {
        if is_confirmed {
            confirm(&mut host);
        }
        host.end_load(0, FUNCTION, Outcome::Finished, 1);
        host.advance(SECOND);
    }
    assert_eq!(host.load_commands(FUNCTION, 1) > before, is_confirmed);
}
