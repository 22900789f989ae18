//! What routers, workers, the store, the list service and the configuration cost as a deployment grows: measured over
//! several sizes, each figure with its slope. Hollow parts run the product's own cores and decision modules and are
//! hollow at their ends only.

mod beside;
mod clock;
mod configuration;
pub mod decision_host;
mod discovery_alone;
mod discovery_environment;
mod discovery_load;
mod discovery_scenarios;
mod edge_process;
mod fit;
mod memory;
mod metered;
pub mod model;
mod output;
mod pictures;
mod plan;
mod point;
pub mod real;
mod result_sink;
pub mod router;
pub mod simulated;
mod simulated_router;
mod sizes;
mod start_target;
pub mod starts;
mod workers;

pub use discovery_environment::{Cut, DiscoveryEnvironment, DiscoveryEnvironmentSpec};
pub use fit::{fit, Fit, Form};
pub use metered::{ListSecond, Metered, Said, Tally};
pub use output::{Output, Summary};
pub use pictures::draw;
pub use plan::{Memory, Plan, DEFAULT_PLAN, SHORT_PLAN};
pub use point::{slopes, Point, Role, Slope, Source};
pub use result_sink::{Sink, Stop};
pub use simulated_router::{Follower, Followers, HollowRouterSpec, SimulatedRouter};

use sanddrum_settings::{Section, SettingsError};

/// A play: what its plan may say, what is wrong with a plan, and what it measures.
pub struct Play {
    /// As it is named on the command line.
    pub name: &'static str,
    pub section: Section,
    /// What can't be is refused before anything starts, with the key named.
    pub check: fn(&Plan) -> Result<(), SettingsError>,
    /// Gives its points to the sink as they are measured, and ends early where it is asked to.
    pub play: fn(&Plan, &mut Sink, &Stop) -> Result<(), String>,
}

/// All plays, in the order in which they run.
pub const PLAYS: &[Play] = &[
    router::PLAY,
    start_target::PLAY,
    discovery_load::PLAY,
    configuration::PLAY,
];

/// Plays those named, or all, until done or told to stop; what was measured is with the sink.
///
/// # Errors
/// A play could not be set up, or the files could not be written.
pub fn run(plan: &Plan, only: &[String], sink: &mut Sink, stop: &Stop) -> Result<(), String> {
    for play in PLAYS
        .iter()
        .filter(|p| only.is_empty() || only.iter().any(|name| name == p.name))
    {
        if stop.is_set() {
            break;
        }
        (play.play)(plan, sink, stop).map_err(|e| format!("{}: {e}", play.name))?;
    }
    sink.finish(!stop.is_set())
}
