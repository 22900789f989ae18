//! The list service's plays: hollow routers do what whole edges do, and counters that may not grow do not.

use rstest::rstest;
use sanddrum_emulator::DiscoverySpec;
use sanddrum_lab::capacity::{
    run, DiscoveryEnvironment, DiscoveryEnvironmentSpec, Followers, Memory, Plan, Point, Said,
    Sink, Source, Stop,
};
use sanddrum_net::{LinkModel, Micros};
use std::time::Duration;

const MEMORY: Memory = Memory { total: 24 << 30 };
const SECOND: Micros = 1_000_000;

/// A plan with these sizes of the list service's plays.
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
    Plan::read("story", &text, 1, memory)
}

fn stage(
    plan: &Plan,
    routers: usize,
    rows: usize,
    list: DiscoverySpec,
    whole_edges: bool,
) -> DiscoveryEnvironment {
    // Links without chance, so that what others send moves no draw.
    let links = LinkModel {
        jitter: 0.0,
        loss_probability: 0.0,
        split_probability: 0.0,
        ..LinkModel::default()
    };
    let spec = DiscoveryEnvironmentSpec {
        settings: plan.settings.clone(),
        list,
        seed: plan.seed,
        routers,
        rows,
        zones: 2,
        beat_every: 200_000,
        links,
        whole_edges,
    };
    DiscoveryEnvironment::new(spec, Stop::default(), Duration::from_secs(600)).unwrap()
}

fn list(whole: Micros, most: usize) -> DiscoverySpec {
    DiscoverySpec {
        min_publish_delay: 200_000,
        max_publish_delay: SECOND,
        heartbeat_timeout: 3_600 * SECOND,
        change_history: 8,
        snapshot_cost: whole,
        delta_cost: whole / 10,
        max_pending_watches: most,
    }
}

/// Starts, changes, a service that is gone and comes back, and routers that come back with their lists and without.
fn day(seed: u64, list: DiscoverySpec, whole_edges: bool) -> Vec<(Micros, Said)> {
    let mut plan = plan("", "(list-check 3s) (list-retry-most 2s)");
    plan.seed = seed;
    let mut stage = stage(&plan, 5, 12, list, whole_edges);
    stage.tally.borrow_mut().said = Some(Vec::new());
    stage.start_routers(5, false).unwrap();
    stage.run_for(5 * SECOND).unwrap();
    stage.add_workers(12);
    for n in 0..12 {
        stage.run_for(150_000).unwrap();
        stage.restart_worker(n);
    }
    stage.run_for(8 * SECOND).unwrap();
    stage.stop_list();
    stage.run_for(7 * SECOND).unwrap();
    stage.start_list();
    stage.run_for(10 * SECOND).unwrap();
    stage.stop_routers(3);
    (0..4).for_each(|n| stage.restart_worker(n));
    stage.run_for(3 * SECOND).unwrap();
    stage.start_routers(3, true).unwrap();
    stage.run_for(5 * SECOND).unwrap();
    stage.stop_routers(2);
    stage.run_for(SECOND).unwrap();
    stage.start_routers(2, false).unwrap();
    stage.run_for(10 * SECOND).unwrap();
    let said = stage.tally.borrow_mut().said.take();
    said.unwrap()
}

/// Every question and every answer, to the microsecond and to the row.
#[rstest]
#[case::one(1, list(5_000, 64))]
#[case::another(2, list(5_000, 64))]
#[case::that_turns_callers_away(3, list(120_000, 2))]
#[case::that_is_slower_than_it_is_waited_for(4, list(400_000, 64))]
fn hollow_routers_ask_and_are_told_as_whole_edges_are(
    #[case] seed: u64,
    #[case] list: DiscoverySpec,
) {
    let (hollow, whole) = (day(seed, list.clone(), false), day(seed, list, true));
    let asked = hollow
        .iter()
        .filter(|(_, said)| matches!(said, Said::Asks { .. }))
        .count();
    let changes = hollow.iter().filter(|(_, said)| {
        matches!(
            said,
            Said::Told {
                whole: false,
                rows: 1,
                ..
            }
        )
    });
    assert!(
        asked >= 20 && changes.count() >= 50,
        "a day on which little was said: {hollow:?}"
    );
    let differs = hollow
        .iter()
        .zip(&whole)
        .position(|(hollow, whole)| hollow != whole);
    if let Some(n) = differs {
        panic!("message {n}: hollow {:?}, whole {:?}", hollow[n], whole[n]);
    }
    assert_eq!(hollow.len(), whole.len());
}

fn played(plan: &Plan) -> Vec<Point> {
    let mut sink = Sink::quiet();
    run(plan, &["list-service".into()], &mut sink, &Stop::default()).unwrap();
    sink.points().to_vec()
}

/// A figure by its size, in the order of sizes.
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
fn what_the_list_service_says_grows_as_the_page_has_it() {
    let points = played(&plan(SMALL, ""));
    assert!(
        points.iter().all(|p| p.source != Source::NotFinished),
        "{points:?}"
    );
    // One message to each router for each change, however many rows there are and however fast they change.
    for (at, messages) in figures(&points, "changes", "routers", "messages out a change") {
        assert_eq!(messages, at as f64, "at {at} routers");
    }
    for axis in ["rows", "changes a second"] {
        for (at, messages) in figures(&points, "changes", axis, "messages out a change") {
            assert_eq!(messages, 6.0, "at {at} {axis}");
        }
    }
    // A router that starts without a list, or after the service has, is told one whole list.
    for play in [
        "all routers start, ",
        "one zone's routers start",
        "one region's routers start",
    ] {
        for axis in ["routers", "rows"] {
            let lists = figures(&points, play, axis, "whole lists");
            let told = |at: u64| if axis == "rows" { 6 } else { at };
            let each = if play.starts_with("all") { 1 } else { 2 };
            assert!(
                lists
                    .iter()
                    .all(|(at, lists)| *lists == told(*at).div_ceil(each) as f64),
                "{play}: {lists:?}"
            );
        }
    }
    // One that kept its list is not.
    let kept = figures(
        &points,
        "all routers start with kept lists",
        "routers",
        "whole lists",
    );
    assert!(kept.iter().all(|(_, lists)| *lists == 0.0), "{kept:?}");
    // A message of a change is as long for each router, and a zone of 27 workers has 81 changes in a minute.
    let bytes = figures(&points, "changes", "routers", "bytes out a change");
    let each: Vec<f64> = bytes.iter().map(|(at, bytes)| bytes / *at as f64).collect();
    assert!(
        each.windows(2).all(|two| (two[0] - two[1]).abs() < 1.0),
        "{bytes:?}"
    );
    let rolls = figures(
        &points,
        "a zone's workers replaced in a minute",
        "routers",
        "messages out a second",
    );
    assert!(
        rolls
            .iter()
            .all(|(at, a_second)| (a_second - 1.35 * *at as f64).abs() < 1e-9),
        "{rolls:?}"
    );
    // Workers beat five times a second each.
    let beats = figures(&points, "all workers beat", "rows", "beats a second");
    assert!(
        beats.iter().all(|(at, beats)| *beats == 5.0 * *at as f64),
        "{beats:?}"
    );
    // A quiet time asks once in about ten seconds, whatever the rows.
    let quiet = figures(&points, "a quiet time", "rows", "messages out a second");
    assert!(
        quiet.windows(2).all(|two| two[0].1 == two[1].1),
        "{quiet:?}"
    );
}

/// A whole list has each row once.
#[rstest]
#[case(3)]
#[case(30)]
#[case(300)]
fn a_whole_list_has_as_many_rows_as_there_are_workers(#[case] rows: usize) {
    let mut stage = stage(&plan("", ""), 3, rows, list(5_000, 64), false);
    stage.tally.borrow_mut().said = Some(Vec::new());
    stage.start_routers(3, false).unwrap();
    let told = |f: &Followers| f.routers.iter().all(|router| router.told.is_some());
    stage.run_until_true(60 * SECOND, told).unwrap();
    let said = stage.tally.borrow_mut().said.take().unwrap();
    let lists: Vec<usize> = said
        .iter()
        .filter_map(|(_, said)| match said {
            Said::Told {
                whole: true, rows, ..
            } => Some(*rows),
            _ => None,
        })
        .collect();
    assert_eq!(lists, vec![rows; 3]);
}

#[rstest]
fn a_plan_that_needs_more_than_half_of_the_memory_is_refused_by_its_key() {
    // Other plays' sizes fit.
    let sizes = "(routers 4 40000) (rows 10 10000)";
    let problem = read(sizes, "", MEMORY).unwrap_err();
    assert!(
        problem.to_string().contains("list-service-plays.routers"),
        "{problem}"
    );
}

#[rstest]
#[case::notice("(notice-least 2s)", "notice-least")]
#[case::no_sizes("(routers)", "list-service-plays.routers")]
fn a_plan_that_cannot_be_is_refused(#[case] sizes: &str, #[case] named: &str) {
    let problem = read(sizes, "", MEMORY).unwrap_err();
    assert!(problem.to_string().contains(named), "{problem}");
}

#[rstest]
fn told_to_stop_it_leaves_what_was_measured() {
    let stop = Stop::default();
    stop.set();
    let mut sink = Sink::quiet();
    run(&plan(SMALL, ""), &["list-service".into()], &mut sink, &stop).unwrap();
    assert!(sink.points().is_empty() && !sink.summary().complete);
}

#[rstest]
fn time_that_is_up_is_told_as_not_finished() {
    let text_time = plan(SMALL, "");
    let mut hurried = text_time.clone();
    hurried
        .settings
        .override_value("capacity.time-a-point", "0s", "story")
        .unwrap();
    let points = played(&hurried);
    assert!(
        points.iter().any(|p| p.source == Source::NotFinished),
        "{points:?}"
    );
}

/// No mechanism carries the configuration to routers today, and the row says so.
#[rstest]
fn the_configurations_row_says_that_nothing_carries_it() {
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

/// Four times list-calls whatever the number of routers, and what chance adds (docs/measurements.md): as all start
/// without lists and with, and as a service is back that was gone.
#[rstest]
#[case::no_more_than_start_in_five_seconds(80)]
#[case::four_times_as_many(320)]
#[case::sixteen_times(1280)]
fn calls_in_the_worst_second_do_not_grow_with_the_fleet(#[case] routers: usize) {
    const LIST_CALLS: f64 = 16.0;
    let bound = (4.0 * LIST_CALLS * 1.5) as u64;
    // Standing connections are asked about apart from calls.
    let plan = plan("", "(list-calls 16) (list-check 3000s)");
    let mut stage = stage(&plan, routers, 3, list(1_000, 1_000), false);
    let told = |f: &Followers| f.routers.iter().all(|router| router.told.is_some());
    let within = (routers as f64 / LIST_CALLS + 10.0) as Micros * SECOND;
    for keep in [false, true] {
        let from = stage.to_whole_second().unwrap();
        stage.start_routers(routers, keep).unwrap();
        stage.run_until_true(within, told).unwrap();
        let worst = stage
            .tally
            .borrow()
            .worst(from, stage.now() + SECOND, |s| s.calls);
        assert!(
            worst <= bound,
            "{worst} calls in the worst second of a start, kept lists: {keep}"
        );
        stage.stop_routers(routers);
        stage.run_for(SECOND).unwrap();
    }
    stage.start_routers(routers, true).unwrap();
    stage.run_until_true(within, told).unwrap();
    stage.run_for(within).unwrap();
    stage.stop_list();
    stage.run_for(SECOND).unwrap();
    stage.start_list();
    let (from, run) = (stage.now(), stage.list_run());
    stage
        .run_until_true(2 * within, |f| {
            f.routers
                .iter()
                .all(|router| router.known.service_incarnation == run)
        })
        .unwrap();
    let worst = stage
        .tally
        .borrow()
        .worst(from, stage.now() + SECOND, |s| s.calls);
    assert!(
        worst <= bound,
        "{worst} calls in the worst second after the service was gone"
    );
}
