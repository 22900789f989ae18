//! The load that all routers together put on a worker and on the function store, computed from the counts of a single
//! router.

use super::{Plan, Point, Role, Sink, Source};

/// The benchmark run whose points over the number of workers the derived points are computed from.
const SOURCE_NAME: &str = "router among others, orders on";
const DERIVED_NAME: &str = "all routers, worked out";

/// Adds the points of the workers and of the function store for each number of workers that a single router was
/// measured with.
///
/// # Errors
/// The result files could not be written.
pub(crate) fn derive_points(plan: &Plan, sink: &mut Sink) -> Result<(), String> {
    let l = &plan.settings;
    let (calls, routers) = (l.number("capacity.calls"), l.number("capacity.routers"));
    let from =
        |p: &&Point| p.play == SOURCE_NAME && p.axis == "workers" && p.source == Source::Played;
    let router_points: Vec<Point> = sink.points().iter().filter(from).cloned().collect();
    for p in router_points {
        let worker = |figure: &str, unit, all: f64| {
            Some((Role::Worker, figure.to_string(), unit, all / p.at))
        };
        let derived = match p.figure.as_str() {
            "asks a call" => worker("asks a second", "1/s", p.value * calls),
            "orders a call" => worker("orders a second", "1/s", p.value * calls),
            "probes a call" => worker("probes a second", "1/s", p.value * calls),
            "executions a call" => worker("executions a second", "1/s", p.value * calls),
            "handshakes a second" => worker("handshakes a second", "1/s", p.value * routers),
            "connections kept" => worker("connections kept", "", p.value * routers),
            "loads a call" => Some((
                Role::Store,
                "fetches a second".into(),
                "1/s",
                p.value * calls,
            )),
            _ => None,
        };
        if let Some((role, figure, unit, value)) = derived {
            let (axis, at, source) = (p.axis, p.at, Source::WorkedOut);
            sink.point(Point {
                role,
                play: DERIVED_NAME.into(),
                figure,
                unit,
                axis,
                at,
                value,
                source,
            })?;
        }
    }
    Ok(())
}
