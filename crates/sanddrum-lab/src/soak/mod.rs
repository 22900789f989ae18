//! The soak test runs a few dozen routers of the platform as real processes on loopback, with emulated clients, model
//! servers and a control feed that misbehave. A seed determines which two or three faults overlap at a time. The run
//! is checked against what the clients, servers and feed observed at their own end of each connection.

pub mod checker;
mod clients;
mod environment;
mod fault_plan;
mod feed;
pub mod link_faults;
pub mod observations;
mod report;
mod router_frames;
mod routers;
mod server_control;
mod server_modes;
mod servers;
pub mod settings;

use checker::{check, Violation};
use environment::Environment;
use fault_plan::{plan, plan_floods, plan_link_faults, plan_only, PlannedFault};
use observations::SharedObservations;
use report::report;
pub use report::SoakReport;
use sanddrum_net::{Micros, Rng};
use settings::{Fleet, SoakSettings};
use std::io;
use std::path::{Path, PathBuf};

const S: Micros = 1_000_000;
/// All routers must be ready within this time from the run's start.
const ALL_READY_WITHIN: Micros = 30 * S;
/// A fault whose trigger event doesn't occur within this time begins without it.
const TRIGGER_TIMEOUT: Micros = S / 2;
/// Time without faults at the end of a run, in which open requests finish and restarted routers get ready.
const RECOVERY_TIME: Micros = 4 * S;
/// How long the run waits for the routers to exit after SIGTERM.
const EXIT_TIMEOUT: Micros = 8 * S;

/// The name of a run without faults, in place of the kind of its faults.
pub const NO_FAULT: &str = "none";

/// The parameters of a soak run.
#[derive(Clone, Debug)]
pub struct SoakSpec {
    pub seed: u64,
    /// For how long faults are injected, in seconds.
    pub seconds: u64,
    pub routers: usize,
    pub servers: usize,
    /// Requests per second for each router.
    pub rate: f64,
    /// Only faults of this kind are injected, by their name in the summary; none at all for [`NO_FAULT`].
    pub only_fault: Option<String>,
    /// The router's program. The library that it preloads for fault injection lies beside the current executable.
    pub program: PathBuf,
    /// The folder for configurations, fault control blocks and logs.
    pub folder: PathBuf,
}

/// Performs a soak run.
///
/// # Errors
/// The environment can't be set up, or its event loop, files or processes fail.
pub fn soak(spec: &SoakSpec) -> io::Result<SoakReport> {
    let mut rng = Rng::new(spec.seed);
    let settings = SoakSettings::random(&mut rng);
    let (fleet, feed_listener) = Fleet::reserve(spec.seed, spec.routers, spec.servers)?;
    let length = spec.seconds as Micros * S;
    let planned = plan_of(spec, &mut rng)?;
    let observations = SharedObservations::default();
    let (folder, program) = (spec.folder.as_path(), spec.program.clone());
    let mut environment = Environment::new(
        fleet,
        feed_listener,
        settings.clone(),
        spec.rate,
        folder,
        program,
        observations.clone(),
    )?;
    wait_until_ready(&mut environment)?;
    inject_faults(&mut environment, &planned, length)?;
    shut_down(&mut environment)?;
    let end = environment.now();
    let violations = check(&observations.borrow(), &settings, end);
    report_failures(&environment, &violations, folder)?;
    let observations = observations.borrow();
    report(spec.seed, &environment, &planned, &observations, violations)
}

/// Returns the faults of a run, ordered by time.
fn plan_of(spec: &SoakSpec, rng: &mut Rng) -> io::Result<Vec<PlannedFault>> {
    let length = spec.seconds as Micros * S;
    let Some(kind) = &spec.only_fault else {
        let mut planned = plan(rng, length, spec.routers, spec.servers);
        planned.extend(plan_link_faults(spec.seed, length, spec.servers));
        planned.extend(plan_floods(spec.seed, length));
        planned.sort_by_key(|planned| planned.earliest);
        return Ok(planned);
    };
    if kind == NO_FAULT {
        return Ok(Vec::new());
    }
    plan_only(kind, spec.seed, length, spec.routers, spec.servers)
        .ok_or_else(|| io::Error::other(format!("there is no kind of fault named {kind}")))
}

fn wait_until_ready(environment: &mut Environment) -> io::Result<()> {
    let until = environment.now() + ALL_READY_WITHIN;
    while !environment.all_ready() {
        if environment.now() > until {
            let log = environment
                .routers
                .first()
                .map(|router| router.log())
                .unwrap_or_default();
            return Err(io::Error::other(format!(
                "the routers were not ready in time: {log}"
            )));
        }
        environment.step()?;
    }
    Ok(())
}

/// A planned fault that waits for its trigger event.
struct WaitingFault {
    planned: PlannedFault,
    since: Micros,
    /// How often the trigger event had occurred when the wait began.
    count_before: u64,
    /// When the fault begins; `None` until the event has occurred.
    begins: Option<Micros>,
}

impl WaitingFault {
    /// Sets when the fault begins, once its trigger event has occurred or has been awaited for too long.
    fn check_trigger(&mut self, now: Micros, environment: &Environment) {
        let count = environment.trigger_count(self.planned.trigger);
        let has_occurred = count > self.count_before || now > self.since + TRIGGER_TIMEOUT;
        if has_occurred && self.begins.is_none() {
            self.begins = Some(now + self.planned.delay);
        }
    }
}

fn inject_faults(
    environment: &mut Environment,
    planned: &[PlannedFault],
    length: Micros,
) -> io::Result<()> {
    let start = environment.now();
    let mut next = planned.iter().peekable();
    let mut waiting: Vec<WaitingFault> = Vec::new();
    let mut resources_recorded = false;
    while environment.now() < start + length {
        environment.step()?;
        let now = environment.now();
        while let Some(planned) = next.next_if(|planned| start + planned.earliest <= now) {
            waiting.push(WaitingFault {
                planned: *planned,
                since: now,
                count_before: environment.trigger_count(planned.trigger),
                begins: None,
            });
        }
        for fault in &mut waiting {
            fault.check_trigger(now, environment);
        }
        let is_due = |fault: &WaitingFault| fault.begins.is_some_and(|at| at <= now);
        let (due, still_waiting) = waiting.into_iter().partition(is_due);
        waiting = still_waiting;
        for fault in due {
            environment.begin_fault(fault.planned.fault)?;
        }
        if !resources_recorded && now > start + length / 3 {
            resources_recorded = true;
            environment
                .routers
                .iter()
                .for_each(|router| router.record_resources(&environment.observations));
        }
    }
    Ok(())
}

fn shut_down(environment: &mut Environment) -> io::Result<()> {
    environment.end_all_faults()?;
    // Routers that are being restarted get ready before the shutdown.
    let until = environment.now() + RECOVERY_TIME;
    while environment.now() < until {
        environment.step()?;
    }
    environment
        .routers
        .iter()
        .for_each(|router| router.record_resources(&environment.observations));
    // Clients keep sending requests until the time of SIGKILL.
    environment.terminate_all();
    let until = environment.now() + EXIT_TIMEOUT;
    while environment.any_running() && environment.now() < until {
        environment.step()?;
    }
    environment.clients.borrow_mut().stopped = true;
    Ok(())
}

/// Writes the violations, if there are any, to `breaks.txt` and prints the logs of routers that panicked.
fn report_failures(
    environment: &Environment,
    violations: &[Violation],
    folder: &Path,
) -> io::Result<()> {
    if violations.is_empty() {
        return Ok(());
    }
    let text: Vec<String> = violations.iter().map(ToString::to_string).collect();
    std::fs::write(folder.join("breaks.txt"), text.join("\n"))?;
    let panics = environment
        .routers
        .iter()
        .filter(|router| router.log().contains("panicked"));
    panics.for_each(|router| eprintln!("router {} panicked:\n{}", router.id.0, router.log()));
    Ok(())
}
