//! Stories of a pressed router among many: what it takes, tries again, tells clients, and how it hears of the end.

mod host;

use host::Host;
use rstest::rstest;
use sanddrum::*;
use std::collections::BTreeSet;

/// Twelve workers that have answered in time, with so many of forty jobs waiting at each.
fn told_to_wait(queued: f64, routers: f64) -> Host {
    let set = [
        ("routers", Value::Number(routers)),
        ("workloads.0.time-limit-us", Value::Number(3e6)),
    ];
    let mut host = Host::new(12, &set);
    host.report = Some(LoadReport {
        in_flight: Some(40.0),
        queued: Some(queued),
        ..LoadReport::default()
    });
    for id in 0..120 {
        host.job(id, id % 12);
        host.finish(id, Warmth::Warm, 20_000);
    }
    host
}

#[rstest]
#[case::while_pressed(30.0, 1..=15)]
#[case::not_after_a_crash(0.0, 25..=500)]
fn jobs_turned_away_by_full_workers_are_not_tried_all_around(
    #[case] queued: f64,
    #[case] further: std::ops::RangeInclusive<usize>,
) {
    let mut host = told_to_wait(queued, 200.0);
    let mut more = 0;
    for id in 200..300 {
        host.job(id, id % 12);
        for _ in 0..4 {
            if host.finals(id) == 0 {
                host.end(id, Outcome::Rejected, Warmth::Unknown, 10_000);
            }
        }
        more += host
            .tries
            .get(&id)
            .map_or(0, |tries| tries.saturating_sub(1));
    }
    assert!(
        further.contains(&more),
        "{more} further executions of 100 jobs"
    );
}

#[rstest]
fn what_is_taken_falls_with_full_answers_and_rises_fast_where_nothing_waits() {
    let mut host = told_to_wait(30.0, 200.0);
    let pushed = |host: &mut Host, ids: std::ops::Range<u64>, end: Outcome| {
        let before = host.log.waits.len();
        for id in ids {
            host.job(id, id % 12);
            if host.finals(id) == 0 {
                host.answer(id, end, Warmth::Warm, 10_000);
            }
            host.pass(10_000);
        }
        host.log.waits.len() - before
    };
    pushed(&mut host, 200..260, Outcome::Rejected);
    let shed = pushed(&mut host, 300..400, Outcome::Finished);
    assert!(shed >= 30, "{shed} of 100 turned away");
    host.report = Some(LoadReport {
        in_flight: Some(1.0),
        queued: Some(0.0),
        ..LoadReport::default()
    });
    pushed(&mut host, 400..500, Outcome::Finished);
    assert_eq!(
        pushed(&mut host, 500..600, Outcome::Finished),
        0,
        "it is over"
    );
}

#[rstest]
fn the_end_of_an_overload_is_heard_from_the_newest_reports() {
    let mut host = told_to_wait(30.0, 200.0);
    host.report = Some(LoadReport {
        in_flight: Some(1.0),
        queued: Some(0.0),
        ..LoadReport::default()
    });
    host.pass(1_100_000);
    // Three workers have answered since, the word of the others is over a second old.
    let before = host.log.waits.len();
    for id in 200..203 {
        host.job(id, id % 12);
        host.finish(id, Warmth::Warm, 20_000);
    }
    host.pass(100_000);
    for id in 300..320 {
        // Its target is gone, so it is taken by a calm fleet only.
        let late = Request {
            is_retry: true,
            deadline: host.now + 100_000,
            ..host.draft(id, id % 12)
        };
        host.handle(EventBatch {
            requests: vec![late],
            ..EventBatch::default()
        });
        host.answer(id, Outcome::Finished, Warmth::Warm, 20_000);
    }
    assert_eq!(host.log.waits.len(), before);
}

#[rstest]
#[case::its_target_is_gone(1_500_000, true)]
#[case::some_is_left(2_500_000, false)]
fn a_repeat_is_served_under_pressure_as_long_as_its_target_lasts(
    #[case] left: Micros,
    #[case] back: bool,
) {
    let set = [("workloads.0.time-limit-us", Value::Number(3e6))];
    let mut host = Host::new(6, &set);
    host.report = Some(LoadReport {
        in_flight: Some(40.0),
        queued: Some(30.0),
        ..LoadReport::default()
    });
    for id in 0..60 {
        host.job(id, id % 6);
        host.finish(id, Warmth::Warm, 20_000);
    }
    let repeat = Request {
        is_retry: true,
        deadline: host.now + left,
        ..host.draft(100, 1)
    };
    host.handle(EventBatch {
        requests: vec![repeat],
        ..EventBatch::default()
    });
    assert_eq!(host.finals(100) > 0, back);
}

#[rstest]
fn times_to_come_back_are_drawn_and_grow_with_what_is_shed() {
    let told = [0, 30].map(|full| {
        let mut host = told_to_wait(30.0, 200.0);
        for id in 200..200 + full {
            host.job(id, id % 12);
            if host.finals(id) == 0 {
                host.end(id, Outcome::Rejected, Warmth::Unknown, 100);
            }
        }
        // Nothing is left of the targets of these.
        let before = host.log.waits.len();
        for id in 300..320 {
            let late = Request {
                is_retry: true,
                deadline: host.now + 1_500_000,
                ..host.draft(id, id % 12)
            };
            host.handle(EventBatch {
                requests: vec![late],
                ..EventBatch::default()
            });
        }
        host.log.waits.split_off(before)
    });
    for waits in &told {
        assert!(waits.len() > 10, "{waits:?}");
        assert_eq!(
            waits.iter().collect::<BTreeSet<_>>().len(),
            waits.len(),
            "they differ: {waits:?}"
        );
        assert!(
            waits.iter().all(|wait| *wait <= 1_000_000),
            "within the start target"
        );
    }
    let mean = |waits: &[Micros]| waits.iter().sum::<Micros>() / waits.len() as Micros;
    assert!(3 * mean(&told[0]) < mean(&told[1]), "they grow: {told:?}");
}

#[rstest]
fn a_router_that_turns_all_away_looks_whether_it_is_over_once_it_hears_of_nobody() {
    let mut host = told_to_wait(30.0, 12.0);
    for id in 200..260 {
        host.job(id, id % 12);
        if host.finals(id) == 0 {
            host.end(id, Outcome::Rejected, Warmth::Unknown, 100);
        }
    }
    let taken = |host: &mut Host, ids: std::ops::Range<u64>| {
        ids.clone().for_each(|id| host.job(id, id % 12));
        ids.filter(|id| host.sent(*id).is_some()).count()
    };
    assert!(taken(&mut host, 300..320) <= 2, "hardly any is taken");
    host.pass(1_500_000);
    host.job(400, 0);
    assert!(host.sent(400).is_some(), "one looks");
}
