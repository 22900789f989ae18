//! `sanddrum lab fleet`, `lab sizes` and `lab part`: runs a scenario with every component as its own process, runs it
//! in virtual time with growing numbers of edges, and runs an emulated component as such a process.

use crate::lab::{print_outcome, read_scenario, BuiltInScenario, TemporaryFolder, DEMO_SCENARIO};
use crate::{exit, fail};
use clap::{Args, ValueEnum};
use sanddrum_emulator::{DiscoveryService, IdempotencyKeys, Shared, Store, Worker};
use sanddrum_lab::{
    play, Component, FaultControlled, MakeProcessCommand, Outcome, ProcessEnvironment,
    ProcessOptions, Recording, Scenario, FAULTS_FILE, FLEET_DAY, LATE_THRESHOLD, RUNNER,
};
use sanddrum_net::{Core, EventLoop, NullObserver};
use serde::de::DeserializeOwned;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::rc::Rc;

/// The scenario that runs if none is given.
const DEFAULT_FLEET_SCENARIO: BuiltInScenario = BuiltInScenario {
    name: "fleet-day.sx",
    text: FLEET_DAY,
};

#[derive(Args, Clone, Debug)]
pub struct FleetArgs {
    /// Scenario file; by default the built-in one: half a minute of restarts and broken connections
    pub file: Option<PathBuf>,
    /// Number of edges, instead of the scenario's
    #[arg(long)]
    pub edges: Option<usize>,
    /// Seed of the random choices
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Print the summary as a JSON object on the last line as well
    #[arg(long)]
    pub json: bool,
    /// Override a setting of the scenario, such as limits.repeats=100%; may be given several times
    #[arg(long = "set", value_name = "NAME=VALUE")]
    pub set: Vec<String>,
}

/// Returns a function that makes the command of each process: this program with the arguments of its component.
fn process_commands(set: &[String]) -> Result<MakeProcessCommand, String> {
    let (program, set) = (
        std::env::current_exe().map_err(|e| e.to_string())?,
        set.to_vec(),
    );
    Ok(Box::new(move |start: &ProcessOptions| {
        command(&program, start, &set)
    }))
}

fn command(program: &Path, start: &ProcessOptions, set: &[String]) -> Command {
    let scenario = &start.fleet.scenario;
    let file = start.address_file.with_file_name("scenario.sx");
    let mut command = Command::new(program);
    let seed = scenario.seed.to_string();
    match start.component {
        Component::Edge(n) => {
            command
                .args(["edge", "--scenario", "--settings"])
                .arg(&file);
            command.args([
                "--list",
                start.list,
                "--name",
                &Scenario::edge_name(n),
                "--with-parent",
            ]);
            command.args([
                "--zone",
                &scenario.zones[scenario.zone_of(n)],
                "--number",
                &n.to_string(),
            ]);
            command.args(["--edges", &scenario.configured_edges().to_string()]);
            command.args([
                "--seed",
                &start.seed.wrapping_add(n as u64 * 101).to_string(),
            ]);
            command.arg("--state-file").arg(start.state_file);
        }
        part => {
            let (kind, number) = match part {
                Component::Worker(n) => ("worker", n),
                Component::List => ("list", 0),
                _ => ("store", 0),
            };
            command.args(["lab", "part", kind]).arg(&file);
            command.args(["--number", &number.to_string(), "--seed", &seed]);
            command.args(["--incarnation", &start.incarnation.to_string()]);
            command.args([
                "--known-as",
                start.known_as,
                "--list",
                start.list,
                "--store",
                start.store,
            ]);
            command.arg("--faults").arg(start.faults_file);
            if start.cold {
                command.arg("--cold");
            }
        }
    }
    for set in set {
        command.args(["--set", set]);
    }
    command
        .args(["--listen", "127.0.0.1:0"])
        .arg("--address-file")
        .arg(start.address_file);
    command
}

pub fn run(args: &FleetArgs) -> ExitCode {
    let (name, scenario) = match read_scenario(
        DEFAULT_FLEET_SCENARIO,
        args.file.as_deref(),
        args.seed,
        &args.set,
        args.edges,
    ) {
        Ok(read) => read,
        Err(problem) => return fail(exit::USAGE, problem),
    };
    let (edges, workers) = (scenario.edges, scenario.workers);
    println!(
        "{name}: {edges} edges and {workers} workers as processes, seed {}",
        args.seed
    );
    match run_processes(scenario, &args.set) {
        Ok((outcome, late_iterations, max_loop_delay, near_file_limit, max_wait)) => {
            let prefix = if max_wait > MAX_PROCESSOR_WAIT_US {
                "the machine was the limit: "
            } else {
                ""
            };
            let (ms, limit_ms) = (max_wait / 1000, MAX_PROCESSOR_WAIT_US / 1000);
            println!("{prefix}a process waited up to {ms} ms for a processor within a second (limit {limit_ms} ms)");
            if near_file_limit {
                println!("the machine was the limit: the relays nearly used up the limit of open files; use fewer edges or workers");
            }
            if late_iterations > 0 {
                println!(
                    "the machine was the limit: this process ran late {late_iterations} times, by up to {} ms (limit {} ms)",
                    max_loop_delay / 1000,
                    LATE_THRESHOLD / 1000
                );
            }
            print_outcome(&outcome, args.json)
        }
        Err(problem) => fail(exit::RUNTIME_ERROR, problem),
    }
}

/// A process that waited longer than this for a processor within one second was held up by the machine.
const MAX_PROCESSOR_WAIT_US: i64 = 100_000;

/// Runs the scenario with processes. Returns its outcome, how often this process ran late and by how many microseconds
/// at most, whether the limit of open files was nearly reached, and the longest wait of any process for a processor
/// within one second, in microseconds.
fn run_processes(
    scenario: Scenario,
    set: &[String],
) -> Result<(Outcome, u64, i64, bool, i64), String> {
    let folder = TemporaryFolder::new().map_err(|e| e.to_string())?;
    let recording = Recording::default();
    let seconds = scenario.length / 1_000_000;
    let make = process_commands(set)?;
    let mut environment = ProcessEnvironment::new(scenario, &recording, folder.0.clone(), make)
        .map_err(|e| e.to_string())?;
    environment.catch_signals().map_err(|e| e.to_string())?;
    environment
        .start_clients(&recording)
        .map_err(|e| e.to_string())?;
    let start = sanddrum_lab::Environment::now(&environment);
    environment.progress = Some(Box::new(move |now| {
        eprint!("\r{} of {seconds} s ", (now - start) / 1_000_000)
    }));
    let outcome = play(&mut environment, &recording).map_err(|e| e.to_string())?;
    eprintln!();
    let log = &recording.0.borrow().log;
    let processes = log
        .scheduling_delays
        .iter()
        .filter(|(name, _)| *name != RUNNER);
    let max_wait = processes
        .map(|(_, waits)| waits.worst_second())
        .max()
        .unwrap_or(0);
    Ok((
        outcome,
        environment.late_iterations,
        environment.max_loop_delay,
        environment.near_file_limit,
        max_wait,
    ))
}

#[derive(Args, Clone, Debug)]
pub struct SizesArgs {
    /// Scenario file
    pub file: PathBuf,
    /// Numbers of edges to run with
    #[arg(long, value_delimiter = ',', default_value = "3,30,100,300")]
    pub edges: Vec<usize>,
    /// Number of seeds for each number of edges
    #[arg(long, default_value_t = 5)]
    pub seeds: u64,
    /// First seed
    #[arg(long, default_value_t = 11)]
    pub seed: u64,
    /// Number of parallel runs; the number of processors by default
    #[arg(long)]
    pub threads: Option<usize>,
    /// Folder for plots, which are named after the scenario
    #[arg(long, value_name = "FOLDER")]
    pub plots: Option<PathBuf>,
}

pub fn sizes(args: &SizesArgs) -> ExitCode {
    let (_, scenario) = match read_scenario(DEMO_SCENARIO, Some(&args.file), args.seed, &[], None) {
        Ok(read) => read,
        Err(problem) => return fail(exit::USAGE, problem),
    };
    let threads = args
        .threads
        .or(std::thread::available_parallelism().map(usize::from).ok())
        .unwrap_or(1);
    let runs = args.edges.len() as u64 * args.seeds;
    let print_progress = |done: usize| eprint!("\r{done} of {runs} runs ");
    let all = match sanddrum_lab::sizes(&scenario, &args.edges, args.seeds, threads, print_progress)
    {
        Ok(all) => all,
        Err(e) => return fail(exit::RUNTIME_ERROR, e),
    };
    eprintln!();
    println!(
        "mean (minimum to maximum) of {} seeds; worst seconds of the discovery service and of any worker",
        args.seeds
    );
    for size in &all {
        let format_range = |[mean, min, max]: [f64; 3], digits: usize| {
            format!("{mean:.digits$} ({min:.digits$} to {max:.digits$})")
        };
        println!(
            "{} edges: in time {}, at least 90% in time from second {}, rules violated {}",
            size.edges,
            format_range(size.service, 3),
            format_range(size.recovered_at, 1),
            size.violations
        );
        for (name, value) in &size.worst {
            println!("    {name}: {}", format_range(*value, 0));
        }
    }
    let name = args
        .file
        .file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned();
    let plotted = args.plots.as_ref().map_or(Ok(()), |folder| {
        sanddrum_lab::plot_sizes(folder, &name, &all)
    });
    match plotted {
        Ok(()) => ExitCode::from(if all.iter().all(|size| size.violations == 0) {
            exit::SUCCESS
        } else {
            exit::CHECK_FAILED
        }),
        Err(problem) => fail(exit::RUNTIME_ERROR, problem),
    }
}

#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Part {
    Worker,
    List,
    Store,
}

/// Arguments of an emulated component that runs as a process.
#[derive(Args, Clone, Debug)]
pub struct PartArgs {
    /// Kind of component
    pub part: Part,
    /// Scenario file
    pub file: PathBuf,
    /// Number of the worker
    #[arg(long, default_value_t = 0)]
    pub number: usize,
    /// Seed of the random choices
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Incarnation: number of this start of the component, from 1
    #[arg(long, default_value_t = 1)]
    pub incarnation: u64,
    /// Start cold, without loaded functions, instead of as a worker that has run for long
    #[arg(long)]
    pub cold: bool,
    /// Address to listen on
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: String,
    /// Address at which other components reach this one; the listening address by default
    #[arg(long)]
    pub known_as: Option<String>,
    /// Address of the discovery service
    #[arg(long, default_value = "")]
    pub list: String,
    /// Address of the function store
    #[arg(long, default_value = "")]
    pub store: String,
    /// Write the listening address to this file
    #[arg(long)]
    pub address_file: PathBuf,
    /// JSON file with the component's faults, which is reloaded when it changes
    #[arg(long)]
    pub faults: PathBuf,
    /// Override a setting of the scenario; may be given several times
    #[arg(long = "set", value_name = "NAME=VALUE")]
    pub set: Vec<String>,
}

/// Interval at which a component checks its faults file, in microseconds.
const FAULTS_CHECK_INTERVAL_US: i64 = 10_000;

pub fn part(args: &PartArgs) -> ExitCode {
    match run_part(args) {
        Ok(()) => ExitCode::from(exit::SUCCESS),
        Err(problem) => fail(exit::RUNTIME_ERROR, problem),
    }
}

fn with_faults<T: DeserializeOwned + Default + 'static>(
    core: impl Core + 'static,
    faults: Shared<T>,
) -> Box<dyn Core> {
    let apply = move |text: &str| match serde_json::from_str(text) {
        Ok(read) => *faults.borrow_mut() = read,
        Err(e) => {
            tracing::warn!(reason = "faults", problem = %e, "invalid faults file; the previous faults stay in force")
        }
    };
    Box::new(FaultControlled::new(Box::new(core), Box::new(apply)))
}

fn shared<T: Default>() -> Shared<T> {
    Rc::new(RefCell::new(T::default()))
}

fn run_part(args: &PartArgs) -> Result<(), String> {
    exit_with_parent();
    let (_, scenario) = read_scenario(DEMO_SCENARIO, Some(&args.file), args.seed, &args.set, None)?;
    let (listener, address) =
        EventLoop::bind(&args.listen).map_err(|e| format!("{}: {e}", args.listen))?;
    let mut driver = EventLoop::new(Box::new(NullObserver)).map_err(|e| e.to_string())?;
    driver.catch_signals().map_err(|e| e.to_string())?;
    let now = driver.now();
    let core = match args.part {
        Part::Worker => {
            let known_as = args.known_as.as_deref().unwrap_or(&address);
            let spec = scenario.worker(args.number, known_as, &args.list, &args.store);
            let seed = args.seed.wrapping_mul(31).wrapping_add(args.number as u64);
            let (faults, idempotency_keys) =
                (shared(), Rc::new(RefCell::new(IdempotencyKeys::new(0))));
            let started = if args.cold { now } else { 0 };
            with_faults(
                Worker::new(
                    spec,
                    seed,
                    started,
                    args.incarnation,
                    faults.clone(),
                    idempotency_keys,
                ),
                faults,
            )
        }
        Part::Store => {
            let faults = shared();
            with_faults(Store::new(scenario.store(), faults.clone()), faults)
        }
        Part::List => {
            let faults = shared();
            let workers =
                std::fs::read_to_string(args.file.with_file_name("workers")).unwrap_or_default();
            let workers: Vec<String> = workers.lines().map(String::from).collect();
            let list = DiscoveryService::new(
                scenario.list(),
                args.seed ^ 0x115,
                args.incarnation,
                faults.clone(),
            );
            with_faults(
                list.with_endpoints(now, &scenario.endpoint_records(&workers)),
                faults,
            )
        }
    };
    let host = driver
        .add(core, vec![listener], None)
        .map_err(|e| e.to_string())?;
    driver.watch_file(
        host,
        FAULTS_FILE,
        args.faults.clone(),
        FAULTS_CHECK_INTERVAL_US,
    );
    write_address_file(&args.address_file, &address)
        .map_err(|e| format!("{}: {e}", args.address_file.display()))?;
    while !driver.shutdown_requested() {
        let next = driver.now() + 1_000_000;
        driver.run_until(next).map_err(|e| e.to_string())?;
    }
    Ok(())
}

/// Writes the address at which a process listens to a file, atomically.
///
/// # Errors
/// The file can't be written.
pub fn write_address_file(file: &Path, address: &str) -> std::io::Result<()> {
    let temporary = file.with_extension("address-beside");
    std::fs::write(&temporary, address)?;
    std::fs::rename(temporary, file)
}

/// Exits this process once its parent has exited, which closes the pipe to this process's standard input.
pub fn exit_with_parent() {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(i32::from(exit::RUNTIME_ERROR));
    });
}
