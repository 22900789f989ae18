//! Stories of the bounded set of workers that a job is decided among, in fleets of any size.

mod host;
use host::*;
use rstest::rstest;
use sanddrum::*;
use std::collections::{BTreeMap, BTreeSet};

const MANY: [(&str, Value); 1] = [("routers", Value::Number(4_200.0))];

fn ready(workers: std::ops::Range<u64>) -> Vec<Endpoint> {
    workers.map(|w| row(w, WorkerState::Ready, 0)).collect()
}

/// The homes of each function, by where routers with such a list send their first job of it.
fn homes(rows: &[Endpoint], functions: std::ops::Range<u64>) -> BTreeMap<u64, BTreeSet<u64>> {
    let mut homes: BTreeMap<u64, BTreeSet<u64>> = BTreeMap::new();
    for seed in 0..12 {
        let mut host = Host::seeded(seed, 0, &MANY);
        host.list(EndpointListKind::Full, rows.to_vec());
        for function in functions.clone() {
            host.job(function, function);
            homes
                .entry(function)
                .or_default()
                .extend(host.sent(function));
            host.finish(function, Warmth::Warm, 1_000);
        }
    }
    homes
}

/// How many functions find a home that they have with another list, too.
fn shared(one: &BTreeMap<u64, BTreeSet<u64>>, other: &BTreeMap<u64, BTreeSet<u64>>) -> usize {
    one.iter()
        .filter(|(function, homes)| !homes.is_disjoint(&other[function]))
        .count()
}

#[rstest]
#[case::draining(WorkerState::Draining)]
#[case::gone(WorkerState::Gone)]
fn with_all_homes_of_a_function_away_its_jobs_go_elsewhere(#[case] state: WorkerState) {
    let mut host = Host::new(400, &MANY);
    let mut away = BTreeSet::new();
    for id in 0..60 {
        host.job(id, 7);
        let home = host.sent(id).expect("a home");
        assert!(!away.contains(&home), "{home} is away");
        host.finish(id, Warmth::Warm, 10_000);
        away.insert(home);
        host.list(EndpointListKind::Delta, vec![row(home, state, 0)]);
    }
    assert_eq!(away.len(), 60);
}

#[rstest]
fn silent_homes_are_passed_over() {
    let mut host = Host::new(
        400,
        &[&MANY[..], &[("limits.probes", Value::Flag(true))]].concat(),
    );
    let mut silent = BTreeSet::new();
    for id in 0..60 {
        host.job(id, 7);
        silent.extend(host.sent(id));
        host.end(id, Outcome::NoConnection, Warmth::Unknown, 1_000);
        assert!(
            !silent.contains(&host.sent(id).expect("another")),
            "not where it could not be reached"
        );
        host.finish(id, Warmth::Warm, 10_000);
    }
    assert!(silent.len() > 10);
}

#[rstest]
fn a_zone_gone_at_once_takes_only_its_own_homes_along() {
    let zoned = |w: u64| Endpoint {
        zone: ZoneId(w as usize % 19),
        ..row(w, WorkerState::Ready, 0)
    };
    let all: Vec<_> = (0..1_900).map(zoned).collect();
    let rest: Vec<_> = all
        .iter()
        .copied()
        .filter(|row| row.zone != ZoneId(3))
        .collect();
    let (before, after) = (homes(&all, 0..100), homes(&rest, 0..100));
    assert!(after.values().flatten().all(|w| w % 19 != 3));
    assert!(after.values().all(|homes| !homes.is_empty()));
    let still = shared(&before, &after);
    assert!(still >= 90, "{still} of 100 keep a home");
}

#[rstest]
fn a_list_grown_tenfold_in_one_step_leaves_copies_where_they_are_believed() {
    let mut host = Host::new(30, &[]);
    for id in 0..40 {
        host.job(id, id);
        host.finish(id, Warmth::StartedLoad, 10_000);
    }
    let warm: Vec<_> = (0..40).map(|id| host.sent(id)).collect();
    host.list(EndpointListKind::Full, ready(0..300));
    for id in 0..40 {
        host.job(100 + id, id);
        assert_eq!(host.sent(100 + id), warm[id as usize]);
        host.finish(100 + id, Warmth::Warm, 10_000);
    }
    let new: BTreeSet<_> = homes(&ready(0..300), 0..300)
        .into_values()
        .flatten()
        .filter(|w| *w >= 30)
        .collect();
    assert!(
        new.len() > 200,
        "{} of the 270 new ones are homes",
        new.len()
    );
}

#[rstest]
fn a_function_with_a_third_of_all_calls_spreads_over_its_part_of_the_fleet() {
    let mut host = Host::new(600, &MANY);
    for id in 0..600 {
        host.job(id, if id % 3 == 0 { 7 } else { 1_000 + id });
        host.end(id, Outcome::Finished, Warmth::Warm, 5_000);
    }
    let jobs: Vec<Request> = (1_000..1_200).map(|id| host.draft(id, 7)).collect();
    host.handle(EventBatch {
        requests: jobs,
        ..EventBatch::default()
    });
    let mut sent = BTreeMap::<Option<u64>, usize>::new();
    (1_000..1_200).for_each(|id| *sent.entry(host.sent(id)).or_default() += 1);
    let most = sent.values().max().copied().unwrap_or(0);
    assert!(
        sent.len() >= 150 && most <= 3,
        "200 jobs at {} workers, {most} at one",
        sent.len()
    );
}

#[rstest]
#[case::one(1)]
#[case::two(2)]
#[case::five(5)]
fn fewer_workers_than_are_looked_at_are_all_used(#[case] workers: u64) {
    let mut host = Host::new(workers, &[]);
    let jobs: Vec<Request> = (0..workers * 3).map(|id| host.draft(id, 7)).collect();
    host.handle(EventBatch {
        requests: jobs,
        ..EventBatch::default()
    });
    let used: BTreeSet<_> = (0..workers * 3).filter_map(|id| host.sent(id)).collect();
    assert_eq!(used.len() as u64, workers);
}

#[rstest]
fn homes_follow_sizes_that_differ_by_sixteen_and_change() {
    let sized = |w: u64, large: u64| {
        let size = if w % 2 == large { 16.0 } else { 1.0 };
        Endpoint {
            size,
            ..row(w, WorkerState::Ready, 0)
        }
    };
    for large in [0, 1] {
        let mut host = Host::new(0, &MANY);
        host.list(
            EndpointListKind::Full,
            (0..200).map(|w| sized(w, 1 - large)).collect(),
        );
        host.list(
            EndpointListKind::Delta,
            (0..200).map(|w| sized(w, large)).collect(),
        );
        let mut there = 0;
        for function in 0..400 {
            host.job(function, function);
            there += usize::from(host.sent(function).is_some_and(|w| w % 2 == large));
            host.finish(function, Warmth::Warm, 1_000);
        }
        assert!(there >= 360, "{there} of 400 at the large ones");
    }
}

#[rstest]
fn a_keyed_job_finds_the_only_other_worker_of_its_cell() {
    let text = |t: &str| Value::Text(t.into());
    let set = [
        ("workloads.0.effect", text("fingerprinted")),
        ("workloads.0.group", text("cell")),
        ("workloads.0.repeat-window-us", Value::Number(2e6)),
    ];
    let mut host = Host::new(0, &[&MANY[..], &set[..]].concat());
    let celled = |w: u64| Endpoint {
        cell: CellId(w as usize / 2),
        ..row(w, WorkerState::Ready, 0)
    };
    host.list(EndpointListKind::Full, (0..2_000).map(celled).collect());
    for id in 0..20 {
        host.job(id, id);
        let first = host.sent(id).expect("a home");
        host.end(id, Outcome::Error, Warmth::Unknown, 10_000);
        assert_eq!(host.sent(id), Some(first ^ 1), "its twin, and no other");
        host.finish(id, Warmth::Warm, 10_000);
    }
}

#[rstest]
fn a_list_in_each_round_moves_no_home() {
    let rows = ready(0..500);
    let mut seen: BTreeMap<u64, BTreeSet<u64>> = BTreeMap::new();
    for seed in 0..12 {
        let mut host = Host::seeded(seed, 0, &MANY);
        for function in 0..50 {
            let mut rows = rows.clone();
            rows.rotate_left(function as usize * 7);
            let job = host.draft(function, function);
            let lists = vec![EndpointList {
                kind: EndpointListKind::Full,
                endpoints: rows,
            }];
            host.handle(EventBatch {
                endpoint_lists: lists,
                requests: vec![job],
                ..EventBatch::default()
            });
            seen.entry(function)
                .or_default()
                .extend(host.sent(function));
            host.finish(function, Warmth::Warm, 1_000);
        }
    }
    assert_eq!(seen, homes(&rows, 0..50));
}

#[rstest]
fn routers_whose_lists_differ_by_some_rows_share_nearly_all_homes() {
    let shared = shared(
        &homes(&ready(0..1_000), 0..200),
        &homes(&ready(5..1_005), 0..200),
    );
    assert!(shared >= 194, "{shared} of 200");
}

/// Functions called now and then by few routers: each miss would ask.
fn asks_a_job_in_time(workers: u64) -> f64 {
    let set = [
        ("copies.orders", Value::Flag(true)),
        ("routers", Value::Number(2.0)),
    ];
    let mut host = Host::new(workers, &set);
    let jobs = 600;
    for id in 0..jobs {
        host.job(id, id % 150);
        host.answer_asks(0);
        if host.sent(id).is_some() {
            host.finish(id, Warmth::Warm, 40_000);
        }
    }
    host.count(|did| matches!(did, Did::Hold(_, _, 0))) as f64 / jobs as f64
}

#[rstest]
fn asks_are_paid_for_by_answers_and_do_not_grow_with_the_fleet() {
    let asks = [30, 300, 3_000].map(asks_a_job_in_time);
    assert!(
        asks.iter().all(|asks| *asks > 0.1 && *asks <= 1.0),
        "{asks:?}"
    );
    assert!(asks[2] <= asks[0] * 1.1, "{asks:?}");
}

#[rstest]
fn lapsed_copies_do_not_hide_those_that_stand() {
    let mut host = Host::new(300, &[]);
    host.job(0, 7);
    host.finish(0, Warmth::StartedLoad, 10_000);
    (0..250).for_each(|w| host.order_end(w, 7, Outcome::Finished, 1));
    host.pass(9_000_000);
    host.order_end(299, 7, Outcome::Finished, 1);
    for id in 1..10 {
        host.job(id, 7);
        assert_eq!(host.sent(id), Some(299));
        host.finish(id, Warmth::Warm, 10_000);
    }
}
