//! `sanddrum demo` and `sanddrum lab`: runs scenarios on sockets with edges as processes, or in virtual time.

use crate::{exit, fail};
use clap::Args;
use sanddrum_lab::{
    hunt::RandomScenario, play, play_virtually, product_edge, report, EdgeMode, Environment,
    Experiment, Outcome, Recording, Scenario, SocketEnvironment, BAD_DAY,
};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode, Stdio};

#[derive(Args, Clone, Debug)]
pub struct RunArgs {
    /// Scenario file; by default the built-in one of the demo
    pub file: Option<PathBuf>,
    /// Run in virtual time within this process: fast, and deterministic for a given seed
    #[arg(long = "virtual")]
    pub in_virtual_time: bool,
    /// Seed of the random choices
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of edges, instead of the scenario's
    #[arg(long)]
    pub edges: Option<usize>,
    /// Print the summary as a JSON object on the last line as well
    #[arg(long)]
    pub json: bool,
    /// Override a setting of the scenario, such as sharing.shares=yes; may be given several times
    #[arg(long = "set", value_name = "NAME=VALUE")]
    pub set: Vec<String>,
}

/// Settings that make a scenario's edges use TLS to workers.
pub const WORKER_TLS: [&str; 2] = ["tls.roots-file=roots.pem", "tls.workers=verified"];

/// A scenario that is built into the program.
#[derive(Clone, Copy, Debug)]
pub struct BuiltInScenario {
    pub name: &'static str,
    pub text: &'static str,
}

/// The scenario of the demo.
pub const DEMO_SCENARIO: BuiltInScenario = BuiltInScenario {
    name: "bad-day.sx",
    text: BAD_DAY,
};

/// Reads a scenario from a file, or the built-in one if no file is given, with the settings of `set` and the number of
/// edges overridden. Returns its name as well.
///
/// # Errors
/// The file can't be read, the scenario or a setting is invalid, or the number of edges is given twice.
pub fn read_scenario(
    built_in: BuiltInScenario,
    file: Option<&Path>,
    seed: u64,
    set: &[String],
    edges: Option<usize>,
) -> Result<(String, Scenario), String> {
    if edges.is_some() && set.iter().any(|set| set.starts_with("fleet.edges=")) {
        return Err(
            "--edges and --set fleet.edges both set the number of edges; use only one of them"
                .into(),
        );
    }
    let (name, text) = match file {
        None => (built_in.name.to_string(), built_in.text.to_string()),
        Some(file) => {
            let text =
                std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
            (file.display().to_string(), text)
        }
    };
    let mut scenario =
        Scenario::read_with(&name, &text, seed, set, "--set").map_err(|e| e.to_string())?;
    scenario.edges = edges.unwrap_or(scenario.edges);
    Ok((name, scenario))
}

pub fn run(args: &RunArgs) -> ExitCode {
    let (name, scenario) = match read_scenario(
        DEMO_SCENARIO,
        args.file.as_deref(),
        args.seed,
        &args.set,
        args.edges,
    ) {
        Ok(read) => read,
        Err(problem) => return fail(exit::USAGE, problem),
    };
    let seconds = scenario.length / 1_000_000;
    let transport = if args.in_virtual_time {
        "in virtual time"
    } else {
        "on loopback sockets"
    };
    let (workers, edges) = (scenario.workers, scenario.edges);
    println!(
        "{name}: {workers} workers, {edges} edges, {seconds} s of requests, seed {}, {transport}",
        args.seed
    );
    let result = if args.in_virtual_time {
        play_virtually(scenario, product_edge()).map_err(|e| e.to_string())
    } else {
        run_on_sockets(scenario, &args.set)
    };
    match result {
        Ok(outcome) => print_outcome(&outcome, args.json),
        Err(problem) => fail(exit::RUNTIME_ERROR, problem),
    }
}

pub fn print_outcome(outcome: &Outcome, json: bool) -> ExitCode {
    print!("{}", outcome.text());
    if json {
        println!("{}", outcome.json());
    }
    ExitCode::from(if outcome.is_good() {
        exit::SUCCESS
    } else {
        exit::CHECK_FAILED
    })
}

/// A temporary folder of this process, deleted on drop.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn new() -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("sanddrum-lab-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(TemporaryFolder(folder))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The command that runs this program as an edge.
fn edge_command(
    program: &Path,
    settings: &Path,
    scenario: &Scenario,
    n: usize,
    listen: &str,
    list: &str,
) -> Command {
    let mut command = Command::new(program);
    command
        .args(["edge", "--scenario", "--settings"])
        .arg(settings);
    command.args([
        "--listen",
        listen,
        "--list",
        list,
        "--name",
        &Scenario::edge_name(n),
    ]);
    command.args(["--zone", &scenario.zones[scenario.zone_of(n)]]);
    command.args([
        "--number",
        &n.to_string(),
        "--edges",
        &scenario.configured_edges().to_string(),
    ]);
    command.stdin(Stdio::null());
    command
}

#[derive(Args, Clone, Debug)]
pub struct StandArgs {
    /// Scenario file whose workers and services are started; by default the built-in one of the demo
    pub file: Option<PathBuf>,
    /// Address of the edge's client listener
    #[arg(long, default_value = "127.0.0.1:8080", value_name = "ADDRESS")]
    pub listen: String,
}

/// Runs the components of a scenario, with one edge and without generated traffic, until a signal arrives.
pub fn stand(args: &StandArgs) -> ExitCode {
    let read = args
        .file
        .as_ref()
        .map(std::fs::read_to_string)
        .unwrap_or_else(|| Ok(BAD_DAY.to_string()));
    let text = match read {
        Ok(text) => text,
        Err(e) => return fail(exit::USAGE, e),
    };
    let mut scenario = match Scenario::read("scenario", &text, 1) {
        Ok(scenario) => scenario,
        Err(problem) => return fail(exit::USAGE, problem),
    };
    scenario.edges = 1;
    let names: Vec<String> = scenario
        .calls
        .iter()
        .map(|c| format!("{}/{}1", c.workload, c.function_prefix))
        .collect();
    let run_until_signal = || -> Result<(), String> {
        let folder = TemporaryFolder::new().map_err(|e| e.to_string())?;
        let (recording, edges) = (Recording::default(), edge_processes(&folder, &[])?);
        let file = folder.0.join("scenario.sx");
        std::fs::write(&file, &text).map_err(|e| e.to_string())?;
        let listen = [args.listen.as_str()];
        let environment = SocketEnvironment::without_clients(
            scenario,
            &recording,
            edges,
            folder.0.clone(),
            &listen,
        );
        let mut environment = environment.map_err(|e| format!("{}: {e}", args.listen))?;
        environment.catch_signals().map_err(|e| e.to_string())?;
        println!(
            "edge listening on {}; functions such as {}; stop with ctrl-c",
            args.listen,
            names.join(", ")
        );
        while !environment.shutdown_requested() {
            let next = environment.now() + 100_000;
            environment.run_until(next).map_err(|e| e.to_string())?;
        }
        Ok(())
    };
    match run_until_signal() {
        Ok(()) => ExitCode::from(exit::SUCCESS),
        Err(problem) => fail(exit::RUNTIME_ERROR, problem),
    }
}

/// Runs edges as processes of this program, with the scenario file in this folder as their settings.
fn edge_processes(folder: &TemporaryFolder, set: &[String]) -> Result<EdgeMode, String> {
    let settings = folder.0.join("scenario.sx");
    let (folder_path, set) = (folder.0.clone(), set.to_vec());
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    Ok(EdgeMode::Processes(Box::new(
        move |n, fleet, state, seed| {
            let (listen, list) = (&fleet.addresses.edges[n], &fleet.addresses.list);
            let mut command = edge_command(&program, &settings, &fleet.scenario, n, listen, list);
            command
                .arg("--state-file")
                .arg(state)
                .args(["--seed", &seed.to_string()]);
            for set in &set {
                command.args(["--set", set]);
            }
            if fleet.authority.is_some() {
                command.arg("--set").arg(format!(
                    "tls.roots-file={}",
                    folder_path.join("roots.pem").display()
                ));
            }
            if fleet.token_issuer.is_some() {
                let file = folder_path.join(fleet.scenario.settings.text("identity.keys-file"));
                command
                    .arg("--set")
                    .arg(format!("identity.keys-file={}", file.display()));
            }
            command
        },
    )))
}

fn run_on_sockets(scenario: Scenario, set: &[String]) -> Result<Outcome, String> {
    let folder = TemporaryFolder::new().map_err(|e| e.to_string())?;
    let settings = folder.0.join("scenario.sx");
    std::fs::write(&settings, &scenario.text).map_err(|e| e.to_string())?;
    let edges = edge_processes(&folder, set)?;
    let recording = Recording::default();
    let environment = SocketEnvironment::new(scenario, &recording, edges, folder.0.clone());
    let mut environment = environment.map_err(|e| e.to_string())?;
    environment.catch_signals().map_err(|e| e.to_string())?;
    let outcome = play(&mut environment, &recording).map_err(|e| e.to_string())?;
    if environment.shutdown_requested() {
        return Err("stopped by a signal before the end of the scenario".into());
    }
    Ok(outcome)
}

#[derive(Args, Clone, Debug)]
pub struct ExperimentArgs {
    /// Scenario file that names the variants to compare
    pub file: PathBuf,
    /// Number of seeds for each variant; the scenario's by default
    #[arg(long)]
    pub seeds: Option<u64>,
    /// Number of parallel runs; the number of processors by default
    #[arg(long)]
    pub threads: Option<usize>,
    /// Write an HTML report with all results to this file
    #[arg(long, value_name = "FILE")]
    pub report: Option<PathBuf>,
}

pub fn experiment(args: &ExperimentArgs) -> ExitCode {
    let text = match std::fs::read_to_string(&args.file) {
        Ok(text) => text,
        Err(e) => return fail(exit::USAGE, format!("{}: {e}", args.file.display())),
    };
    let experiment = match Experiment::read(&args.file.display().to_string(), &text, args.seeds) {
        Ok(experiment) => experiment,
        Err(problem) => return fail(exit::USAGE, problem),
    };
    let all = experiment.seeds as usize * experiment.variants.len();
    let threads = args
        .threads
        .or(std::thread::available_parallelism().map(usize::from).ok())
        .unwrap_or(1);
    let print_progress = |done: usize| {
        if done.is_multiple_of(threads) || done == all {
            eprint!("\r{done} of {all} runs ");
        }
    };
    let results = match experiment.run_all(threads, print_progress) {
        Ok(results) => results,
        Err(e) => return fail(exit::RUNTIME_ERROR, e),
    };
    eprintln!();
    print!("{}", report::text(&experiment, &results));
    if let Some(file) = &args.report {
        let written = report::html(&experiment, &results).and_then(|page| {
            std::fs::write(file, page).map_err(|e| format!("{}: {e}", file.display()))
        });
        if let Err(problem) = written {
            return fail(exit::RUNTIME_ERROR, problem);
        }
    }
    ExitCode::from(exit::SUCCESS)
}

#[derive(Args, Clone, Debug)]
pub struct HuntArgs {
    /// Start no further run after this many seconds
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
    /// Maximum number of runs, each of one generated scenario
    #[arg(long, default_value_t = 100_000)]
    pub days: u64,
    /// Seed of the first run
    #[arg(long, default_value_t = 1)]
    pub from: u64,
    /// Number of parallel runs; the number of processors by default
    #[arg(long)]
    pub threads: Option<usize>,
    /// Folder in which scenarios that violate a rule are saved, reduced to what the violation needs
    #[arg(long, value_name = "FOLDER", default_value = "finds")]
    pub keep: PathBuf,
}

pub fn hunt(args: &HuntArgs) -> ExitCode {
    use std::sync::atomic::{AtomicU64, Ordering};
    let threads = args
        .threads
        .or(std::thread::available_parallelism().map(usize::from).ok())
        .unwrap_or(1);
    let started = std::time::Instant::now();
    let (next, runs, violating) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let run_scenario = |seed: u64| -> Result<(), String> {
        let scenario = RandomScenario::generate(seed);
        let (rules, _) = scenario
            .violations()
            .map_err(|e| format!("scenario with seed {seed}: {e}"))?;
        runs.fetch_add(1, Ordering::Relaxed);
        if rules.is_empty() {
            return Ok(());
        }
        violating.fetch_add(1, Ordering::Relaxed);
        let shrunk = scenario.shrink()?;
        std::fs::create_dir_all(&args.keep).map_err(|e| e.to_string())?;
        let file = args.keep.join(format!("day-{seed}.sx"));
        std::fs::write(&file, shrunk.text()).map_err(|e| format!("{}: {e}", file.display()))?;
        println!(
            "{}: {} after {} runs",
            file.display(),
            shrunk.violations.join("; "),
            shrunk.runs
        );
        Ok(())
    };
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while started.elapsed().as_secs() < args.seconds {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    if n >= args.days {
                        break;
                    }
                    if let Err(problem) = run_scenario(args.from + n) {
                        eprintln!("{problem}");
                    }
                }
            });
        }
    });
    let (runs, violating) = (runs.into_inner(), violating.into_inner());
    println!("{runs} runs, {violating} with a rule violation");
    ExitCode::from(if violating == 0 {
        exit::SUCCESS
    } else {
        exit::CHECK_FAILED
    })
}
