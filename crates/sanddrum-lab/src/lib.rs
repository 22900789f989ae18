//! The lab: runs scenarios with scripted faults through the real edge, on sockets or in virtual time, and checks the
//! users' five rules from the recorded traffic alone.

#![allow(
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    clippy::wildcard_imports,
    missing_docs
)] // unfinished: docs/ROADMAP.md

mod baselines;
mod callers;
pub mod capacity;
pub mod checker;
pub mod cold;
mod environment;
mod experiment;
pub mod faults;
mod fleet;
pub mod flooding_clients;
pub mod hunt;
mod limits_size;
mod load_generator;
mod measure;
mod plaintext_capture;
mod plots;
mod port_reservation;
mod processes;
mod reconnect_load;
pub mod recorder;
mod relay;
pub mod report;
mod scenario;
mod scenario_runner;
mod schema;
mod sizes;
pub mod soak;
mod sockets;
pub use plaintext_capture::tls_limits;
pub mod fleet_summary;
mod scheduling_delay;
mod token_issuer;

pub use baselines::{Baseline, BaselineKind};
pub use callers::{Callers, TrafficOverrides};
pub use environment::{product_edge, Environment, MakeEdge, VirtualEnvironment};
pub use experiment::{difference, Difference, Experiment, RunResult, Variant, FEW_SEEDS, MEASURES};
pub use fleet::{Addresses, Component, Fleet};
pub use limits_size::{measure_limits, LimitsResult, Policy, QuotaSimulation, RequestStream};
pub use load_generator::{LoadGenerator, LoadGeneratorSpec, LoadMeasurement};
pub use measure::{measure_edge, ClientProtocol, Dispatcher, EdgeMeasurement, MeasureSpec};
pub use plots::{write_line_chart, Series};
pub use processes::{
    FaultControlled, MakeProcessCommand, ProcessEnvironment, ProcessOptions, FAULTS_FILE,
    LATE_THRESHOLD,
};
pub use reconnect_load::{run_reconnect_load, ReconnectLoad, ReconnectLoadSpec};
pub use recorder::Recording;
pub use relay::{Fault, Greeting, Relay, RelayControl};
pub use scenario::{Scenario, ScriptedFault, WorkloadTraffic};
pub use scenario_runner::{play, Outcome};
pub use scheduling_delay::{SchedulingDelays, RUNNER};
pub use schema::{kinds, SCENARIO};
pub use sizes::{plot_sizes, sizes, FleetSizeResult};
pub use sockets::{EdgeMode, SocketEnvironment};

use sanddrum_net::LinkModel;
use std::io;

/// The scenario that the demo runs: many faults in one run.
pub const BAD_DAY: &str = include_str!("../scenarios/bad-day.sx");

/// The default scenario of a fleet of processes; the bad day has faults that a fleet of processes can't apply.
pub const FLEET_DAY: &str = include_str!("../scenarios/fleet-day.sx");

/// Runs a scenario in virtual time.
///
/// # Errors
/// The scenario can't be set up.
pub fn play_virtually(scenario: Scenario, make_edge: MakeEdge) -> io::Result<Outcome> {
    let recording = Recording::default();
    let mut environment =
        VirtualEnvironment::new(scenario, LinkModel::default(), &recording, make_edge)?;
    let mut outcome = play(&mut environment, &recording)?;
    outcome.virtual_time = true;
    Ok(outcome)
}
