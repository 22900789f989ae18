//! Capacity benchmarks: what routers, workers, the function store, the discovery service and configuration changes
//! cost as a deployment grows. Each figure is measured at several sizes and fitted to a slope. Simulated parts run the
//! product's own cores and decision modules; only the peers that these exchange messages with are simplified.

mod charts;
mod configuration;
mod cpu_clock;
pub mod decision_host;
mod derived;
mod discovery_environment;
mod discovery_load;
mod discovery_microbench;
mod discovery_scenarios;
mod edge_comparison;
mod edge_process;
mod fit;
mod memory;
mod message_sizes;
mod metered;
pub mod model;
mod output;
mod plan;
mod point;
pub mod real_edge;
mod result_sink;
pub mod router;
pub mod simulated;
mod simulated_router;
pub mod start_stats;
mod start_target;

pub use charts::draw;
pub use discovery_environment::{DiscoveryEnvironment, DiscoveryEnvironmentSpec, Interrupted};
pub use fit::{fit, Fit, FitShape};
pub use metered::{DiscoveryMessage, DiscoveryStats, Metered, SecondStats};
pub use output::{Output, Summary};
pub use plan::{Memory, Plan, DEFAULT_PLAN, SHORT_PLAN};
pub use point::{slopes, Point, Role, Slope, Source};
pub use result_sink::{Sink, Stop};
pub use simulated_router::{Follower, FollowerStats, SimulatedRouter, SimulatedRouterSpec};

use sanddrum_settings::{Section, SettingsError};

/// A benchmark: its settings, the validation of a plan and the measurement. Plans and reports call it a play.
pub struct Benchmark {
    /// The name on the command line.
    pub name: &'static str,
    pub section: Section,
    /// Rejects invalid settings before anything starts; the error names the key.
    pub check: fn(&Plan) -> Result<(), SettingsError>,
    /// Adds each point to the sink as soon as it is measured, and returns early when `Stop` is set.
    pub run: fn(&Plan, &mut Sink, &Stop) -> Result<(), String>,
}

/// All benchmarks, in the order in which they run.
pub const BENCHMARKS: &[Benchmark] = &[
    router::BENCHMARK,
    start_target::BENCHMARK,
    discovery_load::BENCHMARK,
    configuration::BENCHMARK,
];

/// Runs the named benchmarks, or all if `only` is empty, until they are done or `stop` is set. The sink holds the
/// points measured so far in either case.
///
/// # Errors
/// A benchmark could not be set up, or the result files could not be written.
pub fn run(plan: &Plan, only: &[String], sink: &mut Sink, stop: &Stop) -> Result<(), String> {
    for benchmark in BENCHMARKS
        .iter()
        .filter(|benchmark| only.is_empty() || only.iter().any(|name| name == benchmark.name))
    {
        if stop.is_set() {
            break;
        }
        (benchmark.run)(plan, sink, stop).map_err(|e| format!("{}: {e}", benchmark.name))?;
    }
    sink.finish(!stop.is_set())
}
