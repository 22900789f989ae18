//! Admission: which requests are rejected because they can't be in time or because the fleet is overloaded.

mod common;

use common::{report, router_count, workers_answer_misses, FakeHost};
use rstest::rstest;
use sanddrum::{EventBatch, LoadReport, Outcome, Request, RequestId, Value, Warmth, WorkloadId};

#[rstest]
fn request_without_time_for_a_load_is_rejected_at_once() {
    let mut host = FakeHost::new(3, &[]);
    host.send_all(vec![Request {
        deadline: host.now + 390_000,
        ..host.request(1, 7)
    }]);
    assert_eq!(host.rejections(), 1);
    assert_eq!(host.final_answers(1), 1);
}

#[rstest]
fn congested_fleet_admits_only_what_fits_the_latency_objective() {
    let mut host = FakeHost::new(1, &[]);
    for burst in 0..40 {
        let latency = if burst < 15 { 150_000 } else { 950_000 };
        let ids = burst * 6..burst * 6 + 6;
        ids.clone().for_each(|id| host.send(id, id % 6));
        host.now += latency;
        ids.for_each(|id| host.report_outcome(id, Outcome::Finished, Warmth::Warm, latency));
        assert!(burst >= 15 || host.rejections() == 0, "not congested yet");
    }
    assert!(host.rejections() > 0);
}

#[rstest]
fn hints_that_are_far_too_low_cause_no_rejections() {
    let mut host = FakeHost::new(1, &[]);
    for id in 0..60 {
        let hint = if id % 2 == 0 { 1_000 } else { 200_000 };
        host.send_all(vec![Request {
            expected_work: Some(hint),
            ..host.request(id, 7)
        }]);
        host.succeed(id, Warmth::Warm, 100_000);
    }
    assert_eq!(host.rejections(), 0);
}

#[rstest]
fn overloaded_fleet_sheds_low_value_requests_first() {
    let settings = [
        ("workloads.count", Value::Number(2.0)),
        ("workloads.1.start-target-us", Value::Number(1e6)),
        ("workloads.1.importance", Value::Number(9.0)),
        router_count(200.0),
    ];
    let mut host = FakeHost::new(6, &settings);
    host.report = report(40.0, 30.0);
    let send = |host: &mut FakeHost, id: u64| {
        host.send_all(vec![Request {
            workload: WorkloadId(id as usize % 2),
            ..host.request(id, id % 2)
        }]);
    };
    for id in 0..120 {
        send(&mut host, id);
        host.succeed(id, Warmth::Warm, 100_000);
    }
    for id in 120..127 {
        send(&mut host, id);
        if host.final_answers(id) == 0 {
            host.succeed(id, Warmth::Warm, 1_100_000);
        }
    }
    let mut rejected = [0, 0];
    for id in 127..327 {
        send(&mut host, id);
        rejected[id as usize % 2] += host.final_answers(id);
        host.handle(EventBatch {
            cancelled: vec![RequestId(id)],
            ..EventBatch::default()
        });
    }
    assert!(
        rejected[0] >= 55 && rejected[1] <= 35,
        "of 100 each: {rejected:?} rejected"
    );
}

#[rstest]
#[case::at_two_of_six(2, true)]
#[case::at_all(6, false)]
fn queues_at_a_few_workers_cause_no_rejections(#[case] congested: u64, #[case] admits_all: bool) {
    let mut host = FakeHost::new(6, &[router_count(200.0)]);
    for id in 0..200 {
        host.send(id, id);
        let is_congested = host.dispatched_to(id).is_some_and(|w| w < congested);
        let (queued, latency) = if is_congested {
            (40.0, 1_020_000)
        } else {
            (0.0, 150_000)
        };
        host.report = report(40.0, queued);
        if host.final_answers(id) == 0 {
            host.succeed(id, Warmth::Warm, latency);
        }
    }
    let rejected = host.rejections();
    assert_eq!(rejected == 0, admits_all, "{rejected} rejected");
}

#[rstest]
#[case::nothing_queued(0.0, None, Warmth::Warm, 0)]
#[case::three_in_ten_queued(12.0, None, Warmth::Warm, 0)]
#[case::most_queued(30.0, None, Warmth::Warm, 20)]
#[case::most_queued_for_cores(30.0, Some(1.0), Warmth::Warm, 20)]
#[case::most_queued_while_cores_are_idle(30.0, Some(0.5), Warmth::Warm, 0)]
#[case::late_answers_waited_for_a_load(30.0, None, Warmth::WaitedForLoad, 0)]
fn reported_queues_with_late_answers_cause_rejections(
    #[case] queued: f64,
    #[case] busy: Option<f64>,
    #[case] warmth: Warmth,
    #[case] least_rejected: usize,
) {
    let mut host = FakeHost::new(6, &[router_count(200.0), workers_answer_misses()]);
    host.report = Some(LoadReport {
        in_flight: Some(40.0),
        queued: Some(queued),
        busy,
        ..LoadReport::default()
    });
    for id in 0..120 {
        host.send(id, 7);
        if host.final_answers(id) == 0 {
            host.succeed(id, warmth, 1_100_000);
        }
    }
    let rejected = host.rejections();
    let is_expected = if least_rejected == 0 {
        rejected == 0
    } else {
        rejected >= least_rejected
    };
    assert!(is_expected, "{rejected} rejected");
}

#[rstest]
fn admitted_fraction_keeps_falling_while_a_quarter_of_answers_is_late() {
    let mut host = FakeHost::new(6, &[router_count(200.0)]);
    host.report = report(40.0, 30.0);
    let mut rejected = Vec::new();
    for id in 0..800 {
        host.send(id, 7);
        rejected.push(host.final_answers(id));
        if host.final_answers(id) == 0 {
            let latency = if id % 4 == 0 { 1_100_000 } else { 200_000 };
            host.succeed(id, Warmth::Warm, latency);
        }
    }
    let rejected_of_last_200 = rejected[600..].iter().sum::<usize>();
    assert!(
        rejected_of_last_200 >= 150,
        "{rejected_of_last_200} of the last 200 rejected"
    );
}
