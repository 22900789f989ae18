//! The capacity plays: slopes, files, and plans that can't be.

use rstest::rstest;
use sanddrum_lab::capacity::{fit, slopes, Memory, Output, Plan, Point, Role, Shape, Sink, Source, Summary};
use sanddrum_lab::capacity::{DEFAULT_PLAN, SHORT_PLAN};

const MEMORY: Memory = Memory { total: 24 << 30 };

fn over(sizes: &[f64], of: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    sizes.iter().map(|at| (*at, of(*at))).collect()
}

fn point(at: f64, value: f64, source: Source) -> Point {
    let (play, figure) = ("a play".to_string(), "a figure".to_string());
    Point { role: Role::Router, play, figure, unit: "us", axis: "workers", at, value, source }
}

#[rstest]
#[case::line(|at| 3.0 + 0.02 * at, Shape::Line)]
#[case::power(|at: f64| 6.0 * at.powf(0.5), Shape::Power)]
#[case::flat(|at: f64| if at > 500.0 { 10.1 } else { 9.9 }, Shape::Flat)]
#[case::nought(|_| 0.0, Shape::Flat)]
#[case::steps(|at: f64| if at > 5000.0 { 900.0 } else if at > 500.0 { 1.0 } else { 40.0 }, Shape::Neither)]
fn a_slope_is_told_as_what_it_is(#[case] of: fn(f64) -> f64, #[case] shape: Shape) {
    let fit = fit(&over(&[100.0, 1000.0, 10000.0], of));
    assert_eq!(fit.shape, shape, "{fit:?}");
    let close = fit.residual() < 0.02;
    assert_eq!(close, shape != Shape::Neither, "{fit:?}");
}

#[rstest]
fn fits_find_the_figures_that_made_the_points() {
    let sizes = [100.0, 1000.0, 10000.0];
    let line = fit(&over(&sizes, |at| 3.0 + 0.02 * at));
    assert!((line.line.0 - 3.0).abs() < 1e-6 && (line.line.1 - 0.02).abs() < 1e-9, "{line:?}");
    let power = fit(&over(&sizes, |at| 6.0 * at.powf(0.5))).power.unwrap();
    assert!((power.0 - 6.0).abs() < 1e-6 && (power.1 - 0.5).abs() < 1e-9, "{power:?}");
}

#[rstest]
fn two_points_and_equal_sizes_make_no_slope() {
    assert_eq!(fit(&[]).shape, Shape::TooFew);
    assert_eq!(fit(&[(1.0, 2.0), (10.0, 20.0)]).shape, Shape::TooFew);
    let again: Vec<Point> = (0..3).map(|n| point(10.0, f64::from(n), Source::Played)).collect();
    let slopes = slopes(&again);
    assert_eq!((slopes.len(), slopes[0].points.as_slice()), (1, [(10.0, 1.0)].as_slice()));
    assert_eq!(slopes[0].fit.shape, Shape::TooFew, "a size measured three times is one point");
}

#[rstest]
fn what_was_not_finished_is_told_beside_the_slope() {
    let mut points: Vec<Point> = [10.0, 100.0, 1000.0].map(|at| point(at, 2.0 * at, Source::Played)).to_vec();
    points.push(point(10000.0, 7.0, Source::NotFinished));
    let slope = &slopes(&points)[0];
    assert_eq!((slope.points.len(), slope.not_finished.as_slice()), (3, [(10000.0, 7.0)].as_slice()));
    assert_eq!(slope.fit.shape, Shape::Line);
}

#[rstest]
#[case::default(DEFAULT_PLAN)]
#[case::short(SHORT_PLAN)]
fn the_shipped_plans_are_good(#[case] text: &str) {
    Plan::read("capacity.sx", text, 1, MEMORY).unwrap();
}

#[rstest]
fn a_run_that_is_cut_short_leaves_a_readable_file_that_says_so() {
    let folder = std::env::temp_dir().join(format!("sanddrum-capacity-{}", std::process::id()));
    let read = || -> serde_json::Value {
        serde_json::from_slice(&std::fs::read(folder.join("capacity.json")).unwrap()).unwrap()
    };
    let summary = Summary { plan: SHORT_PLAN.into(), seed: 7, ..Summary::default() };
    let mut sink = Sink::new(Output::new(&folder).unwrap(), summary);
    sink.point(point(10.0, 1.0, Source::Played)).unwrap();
    let cut = read();
    assert_eq!((&cut["complete"], &cut["points"][0]["at"]), (&false.into(), &10.0.into()));
    assert_eq!((&cut["seed"], &cut["slopes"][0]["fit"]["shape"]), (&7.into(), &"too-few".into()));
    sink.finish(true).unwrap();
    assert_eq!(read()["complete"], true);
    let rows = std::fs::read_to_string(folder.join("points.csv")).unwrap();
    assert_eq!(rows.lines().nth(1), Some("router,a play,a figure,us,workers,10.0,1.0,played"));
    std::fs::remove_dir_all(&folder).unwrap();
}
