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
mod router_frames;
mod routers;
mod server_modes;
mod servers;
pub mod settings;

use crate::faults::Word;
use checker::{check, count_abandoned, Violation};
use environment::Environment;
use fault_plan::{plan, plan_link_faults, plan_only, PlannedFault};
use observations::{Observations, SharedObservations};
use sanddrum_net::{EventLoop, Micros, Rng};
use serde_json::json;
use settings::{Fleet, SoakSettings};
use std::collections::BTreeMap;
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

/// The result of a soak run.
#[derive(Debug)]
pub struct SoakReport {
    pub seed: u64,
    pub violations: Vec<Violation>,
    /// How often each kind of planned fault occurred; `troubles` in the JSON report.
    pub fault_counts: BTreeMap<&'static str, u64>,
    /// How often the preloaded library injected each kind of fault; `faults` in the JSON report.
    pub library_fault_counts: BTreeMap<&'static str, u64>,
    /// Planned kinds of fault that never occurred.
    pub missing: Vec<&'static str>,
    pub counts: BTreeMap<&'static str, u64>,
    /// For how long the lab's own event loop was late, in total.
    pub lab_late_ms: i64,
}

impl SoakReport {
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.missing.is_empty()
    }
    /// Returns the last line of the report: the seed and the first violated rule.
    pub fn verdict(&self) -> String {
        let seed = self.seed;
        match (self.violations.first(), self.missing.first()) {
            (Some(first), _) => {
                format!(
                    "seed {seed}: {} violated, {} violations in total",
                    first.rule.name(),
                    self.violations.len()
                )
            }
            (None, Some(missing)) => {
                format!("seed {seed}: not passed, because {missing} never occurred")
            }
            (None, None) => format!("seed {seed}: every rule kept"),
        }
    }
    pub fn json(&self) -> serde_json::Value {
        let violations: Vec<String> = self.violations.iter().map(ToString::to_string).collect();
        json!({"seed": self.seed, "good": self.passed(), "breaks": violations, "troubles": self.fault_counts,
               "faults": self.library_fault_counts, "missing": self.missing, "counts": self.counts,
               "lab_late_ms": self.lab_late_ms})
    }
}

/// Performs a soak run.
///
/// # Errors
/// The environment can't be set up, or its event loop, files or processes fail.
pub fn soak(spec: &SoakSpec) -> io::Result<SoakReport> {
    let mut rng = Rng::new(spec.seed);
    let settings = SoakSettings::random(&mut rng);
    let fleet = fleet_at_free_addresses(spec)?;
    let length = spec.seconds as Micros * S;
    let planned = plan_of(spec, &mut rng)?;
    let observations = SharedObservations::default();
    let (folder, program) = (spec.folder.as_path(), spec.program.clone());
    let mut environment = Environment::new(
        fleet,
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
        planned.sort_by_key(|planned| planned.earliest);
        return Ok(planned);
    };
    if kind == NO_FAULT {
        return Ok(Vec::new());
    }
    plan_only(kind, spec.seed, length, spec.routers, spec.servers)
        .ok_or_else(|| io::Error::other(format!("there is no kind of fault named {kind}")))
}

/// Returns a fleet at addresses that no other run uses. They are considered free if the first feed address is.
fn fleet_at_free_addresses(spec: &SoakSpec) -> io::Result<Fleet> {
    let (routers, servers, feed_listener) = (spec.routers, spec.servers, 0);
    let first = Fleet::NETS.start + (spec.seed % Fleet::NETS.len() as u64) as u8;
    let nets = (first..Fleet::NETS.end).chain(Fleet::NETS.start..first);
    let mut fleets = nets.map(|net| Fleet {
        seed: spec.seed,
        net,
        routers,
        servers,
        feed_listener,
    });
    let free = fleets.find(|fleet| EventLoop::bind(&fleet.feed_address(0)).is_ok());
    free.ok_or_else(|| io::Error::other("no loopback addresses are free: too many concurrent runs"))
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

fn inject_faults(
    environment: &mut Environment,
    planned: &[PlannedFault],
    length: Micros,
) -> io::Result<()> {
    let start = environment.now();
    let mut next = planned.iter().peekable();
    // Faults waiting for their trigger event: since when, how often the event had occurred by then, and when the fault
    // begins.
    let mut waiting: Vec<(PlannedFault, Micros, u64, Option<Micros>)> = Vec::new();
    let mut resources_recorded = false;
    while environment.now() < start + length {
        environment.step()?;
        let now = environment.now();
        while let Some(planned) = next.next_if(|planned| start + planned.earliest <= now) {
            waiting.push((
                *planned,
                now,
                environment.trigger_count(planned.trigger),
                None,
            ));
        }
        let mut still_waiting = Vec::new();
        for (planned, since, count_before, begins) in std::mem::take(&mut waiting) {
            let occurred = environment.trigger_count(planned.trigger) > count_before
                || now > since + TRIGGER_TIMEOUT;
            let begins = begins.or(occurred.then_some(now + planned.delay));
            match begins {
                Some(at) if at <= now => environment.begin_fault(planned.fault)?,
                _ => still_waiting.push((planned, since, count_before, begins)),
            }
        }
        waiting = still_waiting;
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

fn report(
    seed: u64,
    environment: &Environment,
    planned: &[PlannedFault],
    observations: &Observations,
    violations: Vec<Violation>,
) -> io::Result<SoakReport> {
    let counters = [
        (Word::WallReadsStepped, "wall-reads-stepped"),
        (Word::AcceptsFailed, "accepts-failed"),
        (Word::SocketsFailed, "sockets-failed"),
        (Word::ConnectsFailed, "connects-failed"),
        (Word::ReceivesFailed, "receives-failed"),
        (Word::SendsFailed, "sends-failed"),
        (Word::WaitsInterrupted, "waits-interrupted"),
        (Word::ControlsFailed, "controls-failed"),
    ];
    let mut library_fault_counts = BTreeMap::new();
    for (counter, name) in counters {
        let all: io::Result<Vec<u64>> = environment
            .routers
            .iter()
            .map(|router| router.fault_control.get(counter))
            .collect();
        library_fault_counts.insert(name, all?.iter().sum());
    }
    let mut missing: Vec<&'static str> = planned
        .iter()
        .map(|planned| planned.fault.name())
        .filter(|name| environment.fault_counts.get(name).copied().unwrap_or(0) == 0)
        .filter(|name| !environment.hidden_fault_counts.contains_key(name))
        .collect();
    let is_planned = |name: &str| planned.iter().any(|planned| planned.fault.name() == name);
    if is_planned("failing-calls")
        && library_fault_counts["receives-failed"] + library_fault_counts["sends-failed"] == 0
    {
        missing.push("failing-calls");
    }
    if (is_planned("step-all-clocks") || is_planned("step-some-clocks"))
        && library_fault_counts["wall-reads-stepped"] == 0
    {
        missing.push("wall-reads-stepped");
    }
    let status = |predicate: fn(u16) -> bool| {
        let responses = observations
            .requests
            .values()
            .filter_map(|request| request.responses.first());
        responses
            .filter(|response| predicate(response.status))
            .count() as u64
    };
    let mut counts = BTreeMap::from([
        ("requests", observations.requests.len() as u64),
        ("attempts", observations.attempts.len() as u64),
        ("served", status(|status| status == 200)),
        ("refused", status(|status| status == 503 || status == 429)),
        (
            "failed",
            status(|status| status != 200 && status != 503 && status != 429),
        ),
        ("client-connections", observations.connections_by_clients),
        ("server-connections", observations.connections_to_servers),
        ("probes", observations.probes),
        ("median-response-us", median_response_time(observations)),
        ("bad-clients", observations.malformed_requests),
        (
            "server-starts",
            observations
                .starts
                .iter()
                .filter(|start| !start.before_run)
                .count() as u64,
        ),
        (
            "router-starts",
            observations
                .incarnations
                .values()
                .map(Vec::len)
                .sum::<usize>() as u64,
        ),
    ]);
    counts.insert(
        "troubles-hidden-by-outages",
        environment.hidden_fault_counts.values().sum(),
    );
    counts.extend(
        count_abandoned(observations)
            .into_iter()
            .map(|(kind, count)| (kind, count as u64)),
    );
    let lab_late_ms = observations
        .lab_delays
        .iter()
        .map(|span| span.to - span.from)
        .sum::<Micros>()
        / 1000;
    let fault_counts = environment.fault_counts.clone();
    Ok(SoakReport {
        seed,
        violations,
        fault_counts,
        library_fault_counts,
        missing,
        counts,
        lab_late_ms,
    })
}

/// Returns the median time in microseconds from the sending of a request to its response with a result.
fn median_response_time(observations: &Observations) -> u64 {
    let requests = observations.requests.values();
    let served = requests.filter_map(|request| {
        let response = request.responses.first()?;
        (response.status == 200).then(|| (response.at - request.sent) as u64)
    });
    let mut times: Vec<u64> = served.collect();
    times.sort_unstable();
    times.get(times.len() / 2).copied().unwrap_or_default()
}
