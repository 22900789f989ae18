//! `sanddrum lab fleet`: a scenario with every part as a process of its own, and the stand-ins as those processes.

use crate::lab::{read_scenario, tell, Folder, Shipped, DEMO};
use crate::{exit, fail};
use clap::{Args, ValueEnum};
use sanddrum_emulator::{DiscoveryService, IdempotencyKeys, Shared, Store, Worker};
use sanddrum_lab::{
    play, MakeProcess, Outcome, ProcessEnvironment, ProcessStart, Recording, Scenario, Steered,
    Who, FAULTS, FLEET_DAY, LATE, OURS,
};
use sanddrum_net::{Core, EventLoop, NullObserver};
use serde::de::DeserializeOwned;
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::rc::Rc;

/// What is played where no scenario is given.
const FLEET: Shipped = Shipped {
    name: "fleet-day.sx",
    text: FLEET_DAY,
};

#[derive(Args, Clone, Debug)]
pub struct FleetArgs {
    /// The scenario; half a minute of restarts and broken links where none is given
    pub file: Option<PathBuf>,
    /// So many edges instead of the scenario's
    #[arg(long)]
    pub edges: Option<usize>,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The summary's last line is one JSON object
    #[arg(long)]
    pub json: bool,
    /// A setting over the scenario's, as limits.repeats=100%; may be given several times
    #[arg(long = "set", value_name = "NAME=VALUE")]
    pub set: Vec<String>,
}

/// Each process is this program again.
fn processes(set: &[String]) -> Result<MakeProcess, String> {
    let (program, set) = (
        std::env::current_exe().map_err(|e| e.to_string())?,
        set.to_vec(),
    );
    Ok(Box::new(move |start: &ProcessStart| {
        command(&program, start, &set)
    }))
}

fn command(program: &Path, start: &ProcessStart, set: &[String]) -> Command {
    let scenario = &start.fleet.scenario;
    let file = start.address_file.with_file_name("scenario.sx");
    let mut command = Command::new(program);
    let seed = scenario.seed.to_string();
    match start.who {
        Who::Edge(n) => {
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
                Who::Worker(n) => ("worker", n),
                Who::List => ("list", 0),
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
        FLEET,
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
    match played(scenario, &args.set) {
        Ok((outcome, late, latest, short_of_files, waited)) => {
            let limit = if waited > WAITED {
                "the machine was the limit: "
            } else {
                ""
            };
            let (ms, counts) = (waited / 1000, WAITED / 1000);
            println!("{limit}a process waited up to {ms} ms for a processor within a second (over {counts} ms counts)");
            if short_of_files {
                println!("the machine was the limit: the relays used up the open files that are allowed; take fewer edges or workers");
            }
            if late > 0 {
                println!(
                    "the machine was the limit: this process ran late {late} times, up to {} ms (over {} ms counts)",
                    latest / 1000,
                    LATE / 1000
                );
            }
            tell(&outcome, args.json)
        }
        Err(problem) => fail(exit::TROUBLE, problem),
    }
}

/// A process that waited longer for a processor within a second was held up: a tenth of it.
const WAITED: i64 = 100_000;

fn played(scenario: Scenario, set: &[String]) -> Result<(Outcome, u64, i64, bool, i64), String> {
    let folder = Folder::new().map_err(|e| e.to_string())?;
    let recording = Recording::default();
    let seconds = scenario.length / 1_000_000;
    let make = processes(set)?;
    let mut stage = ProcessEnvironment::new(scenario, &recording, folder.0.clone(), make)
        .map_err(|e| e.to_string())?;
    stage.catch_signals().map_err(|e| e.to_string())?;
    stage.call(&recording).map_err(|e| e.to_string())?;
    let begun = sanddrum_lab::Environment::now(&stage);
    stage.progress = Some(Box::new(move |now| {
        eprint!("\r{} of {seconds} s ", (now - begun) / 1_000_000)
    }));
    let outcome = play(&mut stage, &recording).map_err(|e| e.to_string())?;
    eprintln!();
    let log = &recording.0.borrow().log;
    let processes = log
        .scheduling_delays
        .iter()
        .filter(|(name, _)| *name != OURS);
    let waited = processes
        .map(|(_, waits)| waits.worst_second())
        .max()
        .unwrap_or(0);
    Ok((
        outcome,
        stage.late,
        stage.latest,
        stage.short_of_files,
        waited,
    ))
}

#[derive(Args, Clone, Debug)]
pub struct SizesArgs {
    /// The scenario
    pub file: PathBuf,
    /// Numbers of edges
    #[arg(long, value_delimiter = ',', default_value = "3,30,100,300")]
    pub edges: Vec<usize>,
    /// Each size is played on so many seeds
    #[arg(long, default_value_t = 5)]
    pub seeds: u64,
    /// The first of them
    #[arg(long, default_value_t = 11)]
    pub seed: u64,
    /// Runs at a time; as many as there are processors where none is given
    #[arg(long)]
    pub threads: Option<usize>,
    /// Pictures go here, under the scenario's name
    #[arg(long, value_name = "FOLDER")]
    pub plots: Option<PathBuf>,
}

pub fn sizes(args: &SizesArgs) -> ExitCode {
    let (_, scenario) = match read_scenario(DEMO, Some(&args.file), args.seed, &[], None) {
        Ok(read) => read,
        Err(problem) => return fail(exit::USAGE, problem),
    };
    let threads = args
        .threads
        .or(std::thread::available_parallelism().map(usize::from).ok())
        .unwrap_or(1);
    let runs = args.edges.len() as u64 * args.seeds;
    let told = |done: usize| eprint!("\r{done} of {runs} runs ");
    let all = match sanddrum_lab::sizes(&scenario, &args.edges, args.seeds, threads, told) {
        Ok(all) => all,
        Err(e) => return fail(exit::TROUBLE, e),
    };
    eprintln!();
    println!(
        "mean (least to most) of {} seeds; worst seconds of the list service and of any worker",
        args.seeds
    );
    for of in &all {
        let told = |[mean, least, most]: [f64; 3], digits: usize| {
            format!("{mean:.digits$} ({least:.digits$} to {most:.digits$})")
        };
        println!(
            "{} edges: service {}, nine tenths from second {}, rules broken {}",
            of.edges,
            told(of.service, 3),
            told(of.recovered_at, 1),
            of.violations
        );
        for (name, figure) in &of.worst {
            println!("    {name}: {}", told(*figure, 0));
        }
    }
    let name = args
        .file
        .file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned();
    let drawn = args.plots.as_ref().map_or(Ok(()), |folder| {
        sanddrum_lab::plot_sizes(folder, &name, &all)
    });
    match drawn {
        Ok(()) => ExitCode::from(if all.iter().all(|of| of.violations == 0) {
            exit::GOOD
        } else {
            exit::BAD
        }),
        Err(problem) => fail(exit::TROUBLE, problem),
    }
}

#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Part {
    Worker,
    List,
    Store,
}

/// A stand-in as a process.
#[derive(Args, Clone, Debug)]
pub struct PartArgs {
    pub part: Part,
    /// The scenario
    pub file: PathBuf,
    /// Which worker
    #[arg(long, default_value_t = 0)]
    pub number: usize,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How often it has started
    #[arg(long, default_value_t = 1)]
    pub incarnation: u64,
    /// It starts now, empty and cold; else long ago
    #[arg(long)]
    pub cold: bool,
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: String,
    /// Where others find it, if not where it listens
    #[arg(long)]
    pub known_as: Option<String>,
    #[arg(long, default_value = "")]
    pub list: String,
    #[arg(long, default_value = "")]
    pub store: String,
    /// Where it listens is written here
    #[arg(long)]
    pub address_file: PathBuf,
    /// What is wrong with it, as JSON; looked at as it changes
    #[arg(long)]
    pub faults: PathBuf,
    /// A setting over the scenario's; may be given several times
    #[arg(long = "set", value_name = "NAME=VALUE")]
    pub set: Vec<String>,
}

/// How often a stand-in looks at its faults.
const FAULTS_EVERY: i64 = 10_000;

pub fn part(args: &PartArgs) -> ExitCode {
    match stand_in(args) {
        Ok(()) => ExitCode::from(exit::GOOD),
        Err(problem) => fail(exit::TROUBLE, problem),
    }
}

fn steered<T: DeserializeOwned + Default + 'static>(
    core: impl Core + 'static,
    faults: Shared<T>,
) -> Box<dyn Core> {
    let take = move |text: &str| match serde_json::from_str(text) {
        Ok(read) => *faults.borrow_mut() = read,
        Err(e) => tracing::warn!(reason = "faults", problem = %e, "the faults can't be read"),
    };
    Box::new(Steered::new(Box::new(core), Box::new(take)))
}

fn shared<T: Default>() -> Shared<T> {
    Rc::new(RefCell::new(T::default()))
}

fn stand_in(args: &PartArgs) -> Result<(), String> {
    end_with_parent();
    let (_, scenario) = read_scenario(DEMO, Some(&args.file), args.seed, &args.set, None)?;
    let (door, at) = EventLoop::bind(&args.listen).map_err(|e| format!("{}: {e}", args.listen))?;
    let mut driver = EventLoop::new(Box::new(NullObserver)).map_err(|e| e.to_string())?;
    driver.catch_signals().map_err(|e| e.to_string())?;
    let now = driver.now();
    let core = match args.part {
        Part::Worker => {
            let known_as = args.known_as.as_deref().unwrap_or(&at);
            let spec = scenario.worker(args.number, known_as, &args.list, &args.store);
            let seed = args.seed.wrapping_mul(31).wrapping_add(args.number as u64);
            let (faults, marks) = (shared(), Rc::new(RefCell::new(IdempotencyKeys::new(0))));
            let started = if args.cold { now } else { 0 };
            steered(
                Worker::new(spec, seed, started, args.incarnation, faults.clone(), marks),
                faults,
            )
        }
        Part::Store => {
            let faults = shared();
            steered(Store::new(scenario.store(), faults.clone()), faults)
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
            steered(
                list.with_endpoints(now, &scenario.endpoint_records(&workers)),
                faults,
            )
        }
    };
    let host = driver
        .add(core, vec![door], None)
        .map_err(|e| e.to_string())?;
    driver.watch_file(host, FAULTS, args.faults.clone(), FAULTS_EVERY);
    tell_address(&args.address_file, &at)
        .map_err(|e| format!("{}: {e}", args.address_file.display()))?;
    while !driver.shutdown_requested() {
        let next = driver.now() + 1_000_000;
        driver.run_until(next).map_err(|e| e.to_string())?;
    }
    Ok(())
}

/// Writes where a process listens into a file, whole or not at all.
///
/// # Errors
/// The file can't be written.
pub fn tell_address(file: &Path, at: &str) -> std::io::Result<()> {
    let beside = file.with_extension("address-beside");
    std::fs::write(&beside, at)?;
    std::fs::rename(beside, file)
}

/// Ends this process once whoever started it has gone: its standard input ends then.
pub fn end_with_parent() {
    std::thread::spawn(|| {
        let _ = std::io::copy(&mut std::io::stdin(), &mut std::io::sink());
        std::process::exit(i32::from(exit::TROUBLE));
    });
}
