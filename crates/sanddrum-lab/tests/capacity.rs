//! The capacity benchmarks: slopes, result files and invalid plans.

use rstest::rstest;
use sanddrum_lab::capacity::decision_host::Counts;
use sanddrum_lab::capacity::model::{Functions, Popularity};
use sanddrum_lab::capacity::router::{measure, module_settings, single_router_fleet, Size};
use sanddrum_lab::capacity::simulated::{RunStatus, ScriptedEvent, START_TIME};
use sanddrum_lab::capacity::{
    fit, run, slopes, Memory, Output, Plan, Point, Role, Sink, Source, Stop, Summary,
};
use sanddrum_lab::capacity::{FitShape, DEFAULT_PLAN, SHORT_PLAN};
use std::time::{Duration, Instant};

const MEMORY: Memory = Memory { total: 24 << 30 };

fn over(sizes: &[f64], of: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    sizes.iter().map(|at| (*at, of(*at))).collect()
}

fn point(at: f64, value: f64, source: Source) -> Point {
    let (play, figure) = ("a play".to_string(), "a figure".to_string());
    Point {
        role: Role::Router,
        play,
        figure,
        unit: "us",
        axis: "workers",
        at,
        value,
        source,
    }
}

#[rstest]
#[case::line(|at| 3.0 + 0.02 * at, FitShape::Line)]
#[case::power(|at: f64| 6.0 * at.powf(0.5), FitShape::Power)]
#[case::flat(|at: f64| if at > 500.0 { 10.1 } else { 9.9 }, FitShape::Flat)]
#[case::zero(|_| 0.0, FitShape::Flat)]
#[case::steps(|at: f64| if at > 5000.0 { 900.0 } else if at > 500.0 { 1.0 } else { 40.0 }, FitShape::Neither)]
fn a_slope_has_the_shape_of_its_points(#[case] of: fn(f64) -> f64, #[case] shape: FitShape) {
    let fit = fit(&over(&[100.0, 1000.0, 10000.0], of));
    assert_eq!(fit.shape, shape, "{fit:?}");
    let close = fit.residual() < 0.02;
    assert_eq!(close, shape != FitShape::Neither, "{fit:?}");
}

#[rstest]
fn fits_recover_the_parameters_of_the_points() {
    let sizes = [100.0, 1000.0, 10000.0];
    let line = fit(&over(&sizes, |at| 3.0 + 0.02 * at));
    assert!(
        (line.line.0 - 3.0).abs() < 1e-6 && (line.line.1 - 0.02).abs() < 1e-9,
        "{line:?}"
    );
    let power = fit(&over(&sizes, |at| 6.0 * at.powf(0.5))).power.unwrap();
    assert!(
        (power.0 - 6.0).abs() < 1e-6 && (power.1 - 0.5).abs() < 1e-9,
        "{power:?}"
    );
}

#[rstest]
fn two_points_or_equal_sizes_have_no_slope() {
    assert_eq!(fit(&[]).shape, FitShape::TooFew);
    assert_eq!(fit(&[(1.0, 2.0), (10.0, 20.0)]).shape, FitShape::TooFew);
    let again: Vec<Point> = (0..3)
        .map(|n| point(10.0, f64::from(n), Source::Played))
        .collect();
    let slopes = slopes(&again);
    assert_eq!(
        (slopes.len(), slopes[0].points.as_slice()),
        (1, [(10.0, 1.0)].as_slice())
    );
    assert_eq!(
        slopes[0].fit.shape,
        FitShape::TooFew,
        "a size measured three times is one point"
    );
}

#[rstest]
fn unfinished_points_are_listed_separately_from_the_slope() {
    let mut points: Vec<Point> = [10.0, 100.0, 1000.0]
        .map(|at| point(at, 2.0 * at, Source::Played))
        .to_vec();
    points.push(point(10000.0, 7.0, Source::NotFinished));
    let slope = &slopes(&points)[0];
    assert_eq!(
        (slope.points.len(), slope.not_finished.as_slice()),
        (3, [(10000.0, 7.0)].as_slice())
    );
    assert_eq!(slope.fit.shape, FitShape::Line);
}

#[rstest]
#[case::default(DEFAULT_PLAN)]
#[case::short(SHORT_PLAN)]
fn the_shipped_plans_are_valid(#[case] text: &str) {
    Plan::read("capacity.sx", text, 1, MEMORY).unwrap();
}

const DEPLOYMENT: &str = r#"(deployment (name "capacity") (zones "a" "b" "c"))
(workload "call" (start-target 1800ms) (time-limit 10s) (effect restartable))
(function "f-*" (workload "call") (memory 128MB))
"#;

#[rstest]
#[case::no_workers("(router-plays (workers))", "router-plays.workers: no size is named")]
#[case::zero_workers(
    "(router-plays (workers 10 0))",
    "workers: 0 is not between 1 and 1000000"
)]
#[case::memory(
    "(router-plays (workers 10 900000))",
    "router-plays.workers: 900000 workers need about"
)]
#[case::memory_of_functions(
    "(router-plays (functions 90000000))",
    "router-plays.functions: 90000000 functions need"
)]
#[case::workers_of_other_axes(
    "(router-plays (at-workers 900000))",
    "router-plays.at-workers: 900000 workers need"
)]
#[case::nothing_counted(
    "(router-plays (length 0s))",
    "router-plays.length: nothing would be counted in 0s"
)]
#[case::many_routers(
    "(start-target-plays (routers 4200) (workers 10000) (functions 200000))",
    "start-target-plays.routers: 4200 routers and 10000 workers, 2 runs at a time, need about"
)]
#[case::different_list_lengths(
    "(start-target-plays (routers 4 42))",
    "start-target-plays.workers has 3 sizes, and routers has 2"
)]
#[case::no_request_counted(
    "(start-target-plays (length 0s))",
    "start-target-plays.length: no request would be counted in 0s"
)]
#[case::large_instance(
    "(model (memory 100MB))",
    "an instance takes 128 MB, which is more than model.memory holds"
)]
#[case::instances(
    "(model (memory 200MB) (work 1s))",
    "start-target-plays.workers: requests of 4 routers keep 638 instances"
)]
#[case::publish_delay(
    "(model (notice-least 2s))",
    "model.notice-least is above model.notice-most"
)]
fn an_invalid_plan_is_rejected_with_its_key(#[case] added: &str, #[case] what: &str) {
    let text = format!("{DEPLOYMENT}{added}");
    let error = Plan::read("plan.sx", &text, 1, Memory { total: 8 << 30 }).unwrap_err();
    assert!(error.message.starts_with(what), "{error}");
}

#[rstest]
#[case::no_functions("(workload \"a\")", "no function is set")]
#[case::other_workload(
    "(workload \"a\") (workload \"b\") (function \"f\" (workload \"b\"))",
    "functions.0.workload"
)]
fn a_plan_without_possible_requests_is_rejected(#[case] text: &str, #[case] what: &str) {
    let error = Plan::read("plan.sx", text, 1, MEMORY).unwrap_err();
    assert!(error.message.starts_with(what), "{error}");
}

#[rstest]
fn the_plan_without_the_invalid_setting_is_accepted() {
    Plan::read("plan.sx", DEPLOYMENT, 1, Memory { total: 8 << 30 }).unwrap();
}

/// The counts of a router without requests that receives `changes` changes of its endpoint list.
fn counts_after_changes(workers: usize, changes: usize) -> Counts {
    let text = DEPLOYMENT.to_string() + "(capacity (routers 4200) (calls 1))";
    let plan = Plan::read("plan.sx", &text, 1, MEMORY).unwrap();
    let size = Size {
        workers,
        functions: 10,
        calls: 1e-9,
        routers: 4200,
    };
    let settings = module_settings(&plan, 0, 4200, true).unwrap();
    let mut fleet = single_router_fleet(&plan, &size, settings, false, START_TIME);
    (0..changes).for_each(|n| {
        fleet.schedule_event(
            START_TIME + n as i64 * 10_000,
            ScriptedEvent::Republish(n % workers),
        )
    });
    let hour = Instant::now() + Duration::from_secs(3600);
    assert_eq!(
        fleet.run_until(START_TIME + 60_000_000, hour, &Stop::default()),
        RunStatus::Done
    );
    fleet.counts()
}

#[rstest]
fn a_list_change_is_one_message_of_one_row_at_any_fleet_size() {
    let of_changes = [30, 100, 300]
        .map(|workers| counts_after_changes(workers, 50).since(&counts_after_changes(workers, 0)));
    for counts in &of_changes {
        assert_eq!((counts.messages, counts.rows), (50, 50));
        assert_eq!(counts.bytes, of_changes[0].bytes);
    }
}

#[rstest]
fn equal_seeds_give_equal_runs() {
    let plan = Plan::read("capacity.sx", SHORT_PLAN, 3, MEMORY).unwrap();
    let size = Size {
        workers: 20,
        functions: 100,
        calls: 50.0,
        routers: 42,
    };
    let settings = module_settings(&plan, 0, 42, true).unwrap();
    let counts = |background| {
        let measured = measure(&plan, &size, &settings, background, &Stop::default());
        assert_eq!(measured.status, RunStatus::Done);
        Counts {
            nanoseconds: 0,
            control_nanoseconds: 0,
            connection_nanoseconds: 0,
            ..measured.counts
        }
    };
    assert_eq!(counts(true), counts(true));
    assert!(
        counts(true).loads < counts(false).loads,
        "instances loaded for background routers need not be loaded again"
    );
}

#[rstest]
fn a_stopped_run_keeps_the_points_measured_so_far() {
    let plan = Plan::read("capacity.sx", SHORT_PLAN, 1, MEMORY).unwrap();
    let (mut sink, stop) = (Sink::quiet(), Stop::default());
    sink.point(point(10.0, 1.0, Source::Played)).unwrap();
    stop.set();
    run(&plan, &[], &mut sink, &stop).unwrap();
    assert_eq!((sink.points().len(), sink.summary().complete), (1, false));
}

#[rstest]
fn a_run_over_the_time_limit_is_out_of_time() {
    let plan = Plan::read(
        "capacity.sx",
        &SHORT_PLAN.replace("(time-a-point 10s)", "(time-a-point 0s)"),
        1,
        MEMORY,
    );
    let size = Size {
        workers: 20,
        functions: 100,
        calls: 50.0,
        routers: 42,
    };
    let plan = plan.unwrap();
    let settings = module_settings(&plan, 0, 42, true).unwrap();
    assert_eq!(
        measure(&plan, &size, &settings, true, &Stop::default()).status,
        RunStatus::OutOfTime
    );
}

#[rstest]
fn nine_in_ten_functions_are_called_less_than_once_a_minute() {
    let plan = Plan::read("capacity.sx", DEFAULT_PLAN, 1, MEMORY).unwrap();
    let request_rate = 67_000.0;
    let shape = Popularity::Rare {
        zipf: 1.1,
        fraction: 0.9,
        request_rate,
    };
    let functions = Functions::new(&plan.settings, 20_000, shape, 1);
    let per_minute = |n: usize| functions.fraction(n) * request_rate * 60.0;
    let rare = (0..20_000).filter(|n| per_minute(*n) < 1.0).count();
    assert_eq!(
        (rare, functions.all.iter().filter(|f| f.rare).count()),
        (18_000, 18_000)
    );
    let all: f64 = (0..20_000).map(|n| functions.fraction(n)).sum();
    assert!((all - 1.0).abs() < 1e-9, "{all}");
}

#[rstest]
fn an_interrupted_run_leaves_a_readable_file_marked_incomplete() {
    let folder = std::env::temp_dir().join(format!("sanddrum-capacity-{}", std::process::id()));
    let read = || -> serde_json::Value {
        serde_json::from_slice(&std::fs::read(folder.join("capacity.json")).unwrap()).unwrap()
    };
    let summary = Summary {
        plan: SHORT_PLAN.into(),
        seed: 7,
        ..Summary::default()
    };
    let mut sink = Sink::new(Output::new(&folder).unwrap(), summary);
    sink.point(point(10.0, 1.0, Source::Played)).unwrap();
    let partial = read();
    assert_eq!(
        (&partial["complete"], &partial["points"][0]["at"]),
        (&false.into(), &10.0.into())
    );
    assert_eq!(
        (&partial["seed"], &partial["slopes"][0]["fit"]["shape"]),
        (&7.into(), &"too-few".into())
    );
    sink.finish(true).unwrap();
    assert_eq!(read()["complete"], true);
    let rows = std::fs::read_to_string(folder.join("points.csv")).unwrap();
    assert_eq!(
        rows.lines().nth(1),
        Some("router,a play,a figure,us,workers,10.0,1.0,played")
    );
    std::fs::remove_dir_all(&folder).unwrap();
}
