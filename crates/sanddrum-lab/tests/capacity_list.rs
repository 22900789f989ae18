//! The discovery service benchmark: simulated routers exchange the same messages as real edges, and counters that must
//! stay constant with the fleet size do.

use rstest::rstest;
use sanddrum_emulator::DiscoverySpec;
use sanddrum_lab::capacity::{
    run, DiscoveryEnvironment, DiscoveryEnvironmentSpec, DiscoveryMessage, FollowerStats, Memory,
    Plan, Point, Sink, Source, Stop,
};
use sanddrum_net::{LinkModel, Micros};
use std::time::Duration;

const MEMORY: Memory = Memory { total: 24 << 30 };
const SECOND: Micros = 1_000_000;

/// A plan with these sizes for the discovery service benchmark.
fn plan(sizes: &str, limits: &str) -> Plan {
    read(sizes, limits, MEMORY).unwrap()
}

fn read(
    sizes: &str,
    limits: &str,
    memory: Memory,
) -> Result<Plan, sanddrum_settings::SettingsError> {
    let text = format!(
        r#"(deployment (name "list") (zones "z0" "z1"))
           (workload "call" (start-target 1800ms) (time-limit 10s) (effect restartable))
           (function "f-*" (workload "call") (memory 128MB) (lanes 1))
           (limits {limits})
           (capacity (zones 2) (regions 2) (time-a-point 600s))
           (list-service-plays {sizes})"#
    );
    Plan::read("plan.sx", &text, 1, memory)
}

fn environment(
    plan: &Plan,
    routers: usize,
    rows: usize,
    service: DiscoverySpec,
    real_edges: bool,
) -> DiscoveryEnvironment {
    // Links without randomness: a message of one host must not shift the random numbers of another.
    let links = LinkModel {
        jitter: 0.0,
        loss_probability: 0.0,
        split_probability: 0.0,
        ..LinkModel::default()
    };
    let spec = DiscoveryEnvironmentSpec {
        settings: plan.settings.clone(),
        service,
        seed: plan.seed,
        routers,
        rows,
        zones: 2,
        heartbeat_interval: 200_000,
        links,
        real_edges,
    };
    DiscoveryEnvironment::new(spec, Stop::default(), Duration::from_secs(600)).unwrap()
}

fn service(snapshot_cost: Micros, max_pending_watches: usize) -> DiscoverySpec {
    DiscoverySpec {
        min_publish_delay: 200_000,
        max_publish_delay: SECOND,
        heartbeat_timeout: 3_600 * SECOND,
        change_history: 8,
        snapshot_cost,
        delta_cost: snapshot_cost / 10,
        max_pending_watches,
    }
}

/// Records all messages of a scenario: router starts, worker changes, an outage and restart of the service, and router
/// restarts with and without a cached list.
fn record_messages(
    seed: u64,
    service: DiscoverySpec,
    real_edges: bool,
) -> Vec<(Micros, DiscoveryMessage)> {
    let mut plan = plan("", "(list-check 3s) (list-retry-most 2s)");
    plan.seed = seed;
    let mut environment = environment(&plan, 5, 12, service, real_edges);
    environment.stats.borrow_mut().message_log = Some(Vec::new());
    environment.start_routers(5, false).unwrap();
    environment.run_for(5 * SECOND).unwrap();
    environment.add_workers(12);
    for n in 0..12 {
        environment.run_for(150_000).unwrap();
        environment.restart_worker(n);
    }
    environment.run_for(8 * SECOND).unwrap();
    environment.stop_service();
    environment.run_for(7 * SECOND).unwrap();
    environment.start_service();
    environment.run_for(10 * SECOND).unwrap();
    environment.stop_routers(3);
    (0..4).for_each(|n| environment.restart_worker(n));
    environment.run_for(3 * SECOND).unwrap();
    environment.start_routers(3, true).unwrap();
    environment.run_for(5 * SECOND).unwrap();
    environment.stop_routers(2);
    environment.run_for(SECOND).unwrap();
    environment.start_routers(2, false).unwrap();
    environment.run_for(10 * SECOND).unwrap();
    let log = environment.stats.borrow_mut().message_log.take();
    log.unwrap()
}

/// Compares every watch and every update, to the microsecond and the number of rows.
#[rstest]
#[case::first_seed(1, service(5_000, 64))]
#[case::second_seed(2, service(5_000, 64))]
#[case::rejects_excess_watches(3, service(120_000, 2))]
#[case::slower_than_the_response_timeout(4, service(400_000, 64))]
fn simulated_routers_exchange_the_same_messages_as_real_edges(
    #[case] seed: u64,
    #[case] service: DiscoverySpec,
) {
    let (simulated, real) = (
        record_messages(seed, service.clone(), false),
        record_messages(seed, service, true),
    );
    let watches = simulated
        .iter()
        .filter(|(_, message)| matches!(message, DiscoveryMessage::Watch { .. }))
        .count();
    let changes = simulated.iter().filter(|(_, message)| {
        matches!(
            message,
            DiscoveryMessage::Update {
                is_full: false,
                rows: 1,
                ..
            }
        )
    });
    assert!(
        watches >= 20 && changes.count() >= 50,
        "too few messages to compare: {simulated:?}"
    );
    let differs = simulated
        .iter()
        .zip(&real)
        .position(|(simulated, real)| simulated != real);
    if let Some(n) = differs {
        panic!(
            "message {n}: simulated {:?}, real {:?}",
            simulated[n], real[n]
        );
    }
    assert_eq!(simulated.len(), real.len());
}

fn run_benchmark(plan: &Plan) -> Vec<Point> {
    let mut sink = Sink::quiet();
    run(plan, &["list-service".into()], &mut sink, &Stop::default()).unwrap();
    sink.points().to_vec()
}

/// The values of a figure with their sizes, in the order of measurement.
fn figures(points: &[Point], play: &str, axis: &str, figure: &str) -> Vec<(u64, f64)> {
    let of = |p: &&Point| p.play.starts_with(play) && p.axis == axis && p.figure == figure;
    let found: Vec<(u64, f64)> = points
        .iter()
        .filter(of)
        .map(|p| (p.at as u64, p.value))
        .collect();
    assert!(!found.is_empty(), "{play} by {axis}: {figure}");
    found
}

const SMALL: &str =
    "(routers 4 12 36) (rows 6 18 54) (rows-routers 6) (changes 1 4 16) (beating 6 18 54)
                     (quiet 20s) (gone 20s)";

#[rstest]
fn discovery_traffic_grows_as_documented() {
    let points = run_benchmark(&plan(SMALL, ""));
    assert!(
        points.iter().all(|p| p.source != Source::NotFinished),
        "{points:?}"
    );
    // Each change sends one message to each router, independent of the number of rows and the rate of changes.
    for (at, messages) in figures(&points, "changes", "routers", "messages out a change") {
        assert_eq!(messages, at as f64, "at {at} routers");
    }
    for axis in ["rows", "changes a second"] {
        for (at, messages) in figures(&points, "changes", axis, "messages out a change") {
            assert_eq!(messages, 6.0, "at {at} {axis}");
        }
    }
    // A router that starts without a cached list, or after the service restarted, receives one full list.
    for play in [
        "all routers start, ",
        "one zone's routers start",
        "one region's routers start",
    ] {
        for axis in ["routers", "rows"] {
            let lists = figures(&points, play, axis, "whole lists");
            let expected = |at: u64| if axis == "rows" { 6 } else { at };
            let each = if play.starts_with("all") { 1 } else { 2 };
            assert!(
                lists
                    .iter()
                    .all(|(at, lists)| *lists == expected(*at).div_ceil(each) as f64),
                "{play}: {lists:?}"
            );
        }
    }
    // A router with a cached list receives no full list.
    let cached = figures(
        &points,
        "all routers start with kept lists",
        "routers",
        "whole lists",
    );
    assert!(cached.iter().all(|(_, lists)| *lists == 0.0), "{cached:?}");
    // The message of a change has the same length for each router. Replacing a zone of 27 workers in a minute makes 81
    // changes.
    let bytes = figures(&points, "changes", "routers", "bytes out a change");
    let each: Vec<f64> = bytes.iter().map(|(at, bytes)| bytes / *at as f64).collect();
    assert!(
        each.windows(2).all(|two| (two[0] - two[1]).abs() < 1.0),
        "{bytes:?}"
    );
    let replacements = figures(
        &points,
        "a zone's workers replaced in a minute",
        "routers",
        "messages out a second",
    );
    assert!(
        replacements
            .iter()
            .all(|(at, a_second)| (a_second - 1.35 * *at as f64).abs() < 1e-9),
        "{replacements:?}"
    );
    // Each worker sends five heartbeats a second.
    let beats = figures(&points, "all workers beat", "rows", "beats a second");
    assert!(
        beats.iter().all(|(at, beats)| *beats == 5.0 * *at as f64),
        "{beats:?}"
    );
    // Without changes, routers poll about once in ten seconds, independent of the number of rows.
    let quiet = figures(&points, "a quiet time", "rows", "messages out a second");
    assert!(
        quiet.windows(2).all(|two| two[0].1 == two[1].1),
        "{quiet:?}"
    );
}

/// A full list contains each worker once.
#[rstest]
#[case(3)]
#[case(30)]
#[case(300)]
fn a_full_list_has_one_row_per_worker(#[case] rows: usize) {
    let mut environment = environment(&plan("", ""), 3, rows, service(5_000, 64), false);
    environment.stats.borrow_mut().message_log = Some(Vec::new());
    environment.start_routers(3, false).unwrap();
    let updated = |f: &FollowerStats| f.routers.iter().all(|router| router.first_update.is_some());
    environment.run_until_true(60 * SECOND, updated).unwrap();
    let log = environment.stats.borrow_mut().message_log.take().unwrap();
    let lists: Vec<usize> = log
        .iter()
        .filter_map(|(_, message)| match message {
            DiscoveryMessage::Update {
                is_full: true,
                rows,
                ..
            } => Some(*rows),
            _ => None,
        })
        .collect();
    assert_eq!(lists, vec![rows; 3]);
}

#[rstest]
fn a_plan_that_needs_more_than_half_of_the_memory_is_rejected_with_its_key() {
    // The sizes of the other benchmarks fit.
    let sizes = "(routers 4 40000) (rows 10 10000)";
    let error = read(sizes, "", MEMORY).unwrap_err();
    assert!(
        error.to_string().contains("list-service-plays.routers"),
        "{error}"
    );
}

#[rstest]
#[case::publish_delay("(notice-least 2s)", "notice-least")]
#[case::no_sizes("(routers)", "list-service-plays.routers")]
fn an_invalid_plan_is_rejected(#[case] sizes: &str, #[case] named: &str) {
    let error = read(sizes, "", MEMORY).unwrap_err();
    assert!(error.to_string().contains(named), "{error}");
}

#[rstest]
fn a_stopped_run_is_incomplete_and_measures_nothing_more() {
    let stop = Stop::default();
    stop.set();
    let mut sink = Sink::quiet();
    run(&plan(SMALL, ""), &["list-service".into()], &mut sink, &stop).unwrap();
    assert!(sink.points().is_empty() && !sink.summary().complete);
}

#[rstest]
fn points_over_the_time_limit_are_reported_as_not_finished() {
    let base = plan(SMALL, "");
    let mut without_time = base.clone();
    without_time
        .settings
        .override_value("capacity.time-a-point", "0s", "test")
        .unwrap();
    let points = run_benchmark(&without_time);
    assert!(
        points.iter().any(|p| p.source == Source::NotFinished),
        "{points:?}"
    );
}

/// No mechanism distributes the configuration to all routers today; the report must say so.
#[rstest]
fn the_configuration_benchmark_reports_that_no_mechanism_exists() {
    let mut sink = Sink::quiet();
    run(
        &plan(SMALL, ""),
        &["configuration".into()],
        &mut sink,
        &Stop::default(),
    )
    .unwrap();
    let of = |p: &&Point| {
        p.play
            .contains("no mechanism today carries it to all routers")
    };
    let row = sink.points().iter().find(of).unwrap();
    assert_eq!(
        (row.at, row.value, row.source),
        (4200.0, 0.0, Source::WorkedOut)
    );
}

/// The bound is four times `list-calls` plus half of that for random variation (docs/measurements.md), independent of
/// the number of routers: when all start without or with cached lists, and when the service restarts after an outage.
#[rstest]
#[case::routers_that_can_start_in_five_seconds(80)]
#[case::four_times_as_many(320)]
#[case::sixteen_times(1280)]
fn calls_in_the_worst_second_do_not_grow_with_the_fleet(#[case] routers: usize) {
    const LIST_CALLS: f64 = 16.0;
    let bound = (4.0 * LIST_CALLS * 1.5) as u64;
    // Polls on open connections would count as well, so this interval is longer than the test.
    let plan = plan("", "(list-calls 16) (list-check 3000s)");
    let mut environment = environment(&plan, routers, 3, service(1_000, 1_000), false);
    let updated = |f: &FollowerStats| f.routers.iter().all(|router| router.first_update.is_some());
    let within = (routers as f64 / LIST_CALLS + 10.0) as Micros * SECOND;
    for keep_cache in [false, true] {
        let from = environment.run_to_next_second().unwrap();
        environment.start_routers(routers, keep_cache).unwrap();
        environment.run_until_true(within, updated).unwrap();
        let worst = environment
            .stats
            .borrow()
            .worst(from, environment.now() + SECOND, |s| s.watches);
        assert!(
            worst <= bound,
            "{worst} calls in the worst second of a start, cached lists: {keep_cache}"
        );
        environment.stop_routers(routers);
        environment.run_for(SECOND).unwrap();
    }
    environment.start_routers(routers, true).unwrap();
    environment.run_until_true(within, updated).unwrap();
    environment.run_for(within).unwrap();
    environment.stop_service();
    environment.run_for(SECOND).unwrap();
    environment.start_service();
    let (from, incarnation) = (environment.now(), environment.service_incarnation());
    environment
        .run_until_true(2 * within, |f| {
            f.routers
                .iter()
                .all(|router| router.known_version.service_incarnation == incarnation)
        })
        .unwrap();
    let worst = environment
        .stats
        .borrow()
        .worst(from, environment.now() + SECOND, |s| s.watches);
    assert!(
        worst <= bound,
        "{worst} calls in the worst second after the service restarted"
    );
}
