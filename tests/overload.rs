//! Overload as seen by one router of many: admission, retries, Retry-After, and the detection of its end.

mod common;

use common::{report, router_count, FakeHost};
use rstest::rstest;
use sanddrum::{Micros, Outcome, Request, Value, Warmth};
use std::collections::BTreeSet;

/// The client's time limit of three seconds, by which the router knows how much time a retry has already used up.
const TIME_LIMIT: (&str, Value) = ("workloads.0.time-limit-us", Value::Number(3e6));

/// A host with twelve workers that have answered in time and report `queued` of 40 requests as queued.
fn host_with_queues(queued: f64, routers: f64) -> FakeHost {
    let mut host = FakeHost::new(12, &[router_count(routers), TIME_LIMIT]);
    host.report = report(40.0, queued);
    for id in 0..120 {
        host.send(id, id % 12);
        host.succeed(id, Warmth::Warm, 20_000);
    }
    host
}

/// Sends a client's retry that has `time_left` until its deadline.
fn send_retry(host: &mut FakeHost, id: u64, function: u64, time_left: Micros) {
    host.send_all(vec![Request {
        is_retry: true,
        deadline: host.now + time_left,
        ..host.request(id, function)
    }]);
}

/// Sends requests whose attempts all have the same outcome; returns how many were rejected.
fn count_rejected(host: &mut FakeHost, ids: std::ops::Range<u64>, outcome: Outcome) -> usize {
    let before = host.log.retry_afters.len();
    for id in ids {
        host.send(id, id % 12);
        if host.final_answers(id) == 0 {
            host.report_outcome(id, outcome, Warmth::Warm, 10_000);
        }
        host.advance(10_000);
    }
    host.log.retry_afters.len() - before
}

/// Sends requests whose attempts are all rejected, unless the router itself rejects them.
fn reject_all(host: &mut FakeHost, ids: std::ops::Range<u64>) {
    for id in ids {
        host.send(id, id % 12);
        if host.final_answers(id) == 0 {
            host.end_attempt(id, Outcome::Rejected, Warmth::Unknown, 100);
        }
    }
}

#[rstest]
#[case::under_overload(30.0, 1..=15)]
#[case::without_overload_as_after_a_crash(0.0, 25..=500)]
fn requests_rejected_by_full_workers_get_few_retries_under_overload(
    #[case] queued: f64,
    #[case] expected: std::ops::RangeInclusive<usize>,
) {
    let mut host = host_with_queues(queued, 200.0);
    let mut retries = 0;
    for id in 200..300 {
        host.send(id, id % 12);
        for _ in 0..4 {
            if host.final_answers(id) == 0 {
                host.end_attempt(id, Outcome::Rejected, Warmth::Unknown, 10_000);
            }
        }
        let attempts = host.attempts.get(&id).copied().unwrap_or(0);
        retries += attempts.saturating_sub(1);
    }
    assert!(
        expected.contains(&retries),
        "{retries} retries of 100 requests"
    );
}

#[rstest]
fn admitted_fraction_falls_with_rejections_and_rises_fast_without_queues() {
    let mut host = host_with_queues(30.0, 200.0);
    count_rejected(&mut host, 200..260, Outcome::Rejected);
    let rejected = count_rejected(&mut host, 300..400, Outcome::Finished);
    assert!(rejected >= 30, "{rejected} of 100 rejected");
    host.report = report(1.0, 0.0);
    count_rejected(&mut host, 400..500, Outcome::Finished);
    assert_eq!(
        count_rejected(&mut host, 500..600, Outcome::Finished),
        0,
        "the overload is over"
    );
}

#[rstest]
fn end_of_an_overload_is_detected_from_the_newest_reports() {
    let mut host = host_with_queues(30.0, 200.0);
    host.report = report(1.0, 0.0);
    host.advance(1_100_000);
    // Three workers have answered since; the reports of the others are over a second old.
    let before = host.log.retry_afters.len();
    for id in 200..203 {
        host.send(id, id % 12);
        host.succeed(id, Warmth::Warm, 20_000);
    }
    host.advance(100_000);
    for id in 300..320 {
        // Its latency objective has passed, so it is admitted only without overload.
        send_retry(&mut host, id, id % 12, 100_000);
        host.report_outcome(id, Outcome::Finished, Warmth::Warm, 20_000);
    }
    assert_eq!(host.log.retry_afters.len(), before);
}

#[rstest]
#[case::objective_has_passed(1_500_000, true)]
#[case::objective_has_not_passed(2_500_000, false)]
fn retry_is_admitted_under_overload_until_its_objective_has_passed(
    #[case] time_left: Micros,
    #[case] is_rejected: bool,
) {
    let mut host = FakeHost::new(6, &[TIME_LIMIT]);
    host.report = report(40.0, 30.0);
    for id in 0..60 {
        host.send(id, id % 6);
        host.succeed(id, Warmth::Warm, 20_000);
    }
    send_retry(&mut host, 100, 1, time_left);
    assert_eq!(host.final_answers(100) > 0, is_rejected);
}

#[rstest]
fn retry_after_has_jitter_and_grows_with_rejections() {
    let by_rejections = [0, 30].map(|rejections| {
        let mut host = host_with_queues(30.0, 200.0);
        reject_all(&mut host, 200..200 + rejections);
        let before = host.log.retry_afters.len();
        for id in 300..320 {
            // Its latency objective has passed.
            send_retry(&mut host, id, id % 12, 1_500_000);
        }
        host.log.retry_afters.split_off(before)
    });
    for retry_afters in &by_rejections {
        assert!(retry_afters.len() > 10, "{retry_afters:?}");
        assert_eq!(
            retry_afters.iter().collect::<BTreeSet<_>>().len(),
            retry_afters.len(),
            "not all different: {retry_afters:?}"
        );
        assert!(
            retry_afters.iter().all(|span| *span <= 1_000_000),
            "not within the latency objective: {retry_afters:?}"
        );
    }
    let mean = |spans: &[Micros]| spans.iter().sum::<Micros>() / spans.len() as Micros;
    assert!(
        3 * mean(&by_rejections[0]) < mean(&by_rejections[1]),
        "not three times as long after 30 rejections: {by_rejections:?}"
    );
}

#[rstest]
fn router_that_sheds_everything_admits_a_request_once_it_has_no_recent_report() {
    let mut host = host_with_queues(30.0, 12.0);
    reject_all(&mut host, 200..260);
    let admitted = |host: &mut FakeHost, ids: std::ops::Range<u64>| {
        ids.clone().for_each(|id| host.send(id, id % 12));
        ids.filter(|id| host.is_dispatched(*id)).count()
    };
    assert!(
        admitted(&mut host, 300..320) <= 2,
        "hardly any request is admitted"
    );
    host.advance(1_500_000);
    host.send(400, 0);
    assert!(host.is_dispatched(400));
}
