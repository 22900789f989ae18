//! `sanddrum demo` and `sanddrum lab`: scenarios, on sockets with edges as processes, or in virtual time.

use crate::{exit, fail};
use clap::Args;
use sanddrum_lab::{
    hunt::RandomScenario, play, play_virtually, product_edge, report, EdgesAs, Environment,
    Experiment, Outcome, Recording, Scenario, SocketEnvironment, BAD_DAY,
};
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode, Stdio};

#[derive(Args, Clone, Debug)]
pub struct RunArgs {
    /// The scenario; the bad day of the demo where none is given
    pub file: Option<PathBuf>,
    /// In virtual time, in this process: fast, and the same again for the same seed
    #[arg(long = "virtual")]
    pub in_virtual_time: bool,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// So many edges instead of the scenario's
    #[arg(long)]
    pub edges: Option<usize>,
    /// The summary's last line is one JSON object
    #[arg(long)]
    pub json: bool,
    /// A setting over the scenario's, as sharing.shares=yes; may be given several times
    #[arg(long = "set", value_name = "NAME=VALUE")]
    pub set: Vec<String>,
}

/// The settings that have a scenario speak TLS to its workers.
pub const TLS: [&str; 2] = ["tls.roots-file=roots.pem", "tls.workers=verified"];

/// A scenario that the program brings along.
#[derive(Clone, Copy, Debug)]
pub struct Shipped {
    pub name: &'static str,
    pub text: &'static str,
}

/// The demo's.
pub const DEMO: Shipped = Shipped {
    name: "bad-day.sx",
    text: BAD_DAY,
};

/// A scenario's name and what it says, the shipped one's where no file is given, with these settings and so many edges
/// over its own.
///
/// # Errors
/// What is wrong with it.
pub fn read_scenario(
    shipped: Shipped,
    file: Option<&Path>,
    seed: u64,
    set: &[String],
    edges: Option<usize>,
) -> Result<(String, Scenario), String> {
    if edges.is_some() && set.iter().any(|set| set.starts_with("fleet.edges=")) {
        return Err(
            "--edges and --set fleet.edges both say how many edges there are: give one".into(),
        );
    }
    let (name, text) = match file {
        None => (shipped.name.to_string(), shipped.text.to_string()),
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
    let (name, scenario) =
        match read_scenario(DEMO, args.file.as_deref(), args.seed, &args.set, args.edges) {
            Ok(read) => read,
            Err(problem) => return fail(exit::USAGE, problem),
        };
    let seconds = scenario.length / 1_000_000;
    let how = if args.in_virtual_time {
        "in virtual time"
    } else {
        "on loopback sockets"
    };
    let (workers, edges) = (scenario.workers, scenario.edges);
    println!(
        "{name}: {workers} workers, {edges} edges, {seconds} s of calls, seed {}, {how}",
        args.seed
    );
    let played = if args.in_virtual_time {
        play_virtually(scenario, product_edge()).map_err(|e| e.to_string())
    } else {
        on_sockets(scenario, &args.set)
    };
    match played {
        Ok(outcome) => tell(&outcome, args.json),
        Err(problem) => fail(exit::TROUBLE, problem),
    }
}

pub fn tell(outcome: &Outcome, json: bool) -> ExitCode {
    print!("{}", outcome.text());
    if json {
        println!("{}", outcome.json());
    }
    ExitCode::from(if outcome.is_good() {
        exit::GOOD
    } else {
        exit::BAD
    })
}

/// A folder of this run's own that goes with it.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("sanddrum-lab-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(Folder(folder))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Each edge is this program again, started as one.
fn edge_process(
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
    /// The scenario whose fleet is set up; that of the demo where none is given
    pub file: Option<PathBuf>,
    /// The edge's client door
    #[arg(long, default_value = "127.0.0.1:8080", value_name = "ADDRESS")]
    pub listen: String,
}

/// A fleet with one edge and no calls, until a signal.
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
    let kept = || -> Result<(), String> {
        let folder = Folder::new().map_err(|e| e.to_string())?;
        let (recording, edges) = (Recording::default(), processes(&folder, &[])?);
        let file = folder.0.join("scenario.sx");
        std::fs::write(&file, &text).map_err(|e| e.to_string())?;
        let door = [args.listen.as_str()];
        let stage =
            SocketEnvironment::standing(scenario, &recording, edges, folder.0.clone(), &door);
        let mut stage = stage.map_err(|e| format!("{}: {e}", args.listen))?;
        stage.catch_signals().map_err(|e| e.to_string())?;
        println!(
            "an edge answers at {}; functions such as {}; end it with ctrl-c",
            args.listen,
            names.join(", ")
        );
        while !stage.signalled() {
            let next = stage.now() + 100_000;
            stage.run_until(next).map_err(|e| e.to_string())?;
        }
        Ok(())
    };
    match kept() {
        Ok(()) => ExitCode::from(exit::GOOD),
        Err(problem) => fail(exit::TROUBLE, problem),
    }
}

/// Edges as processes of this program, with the scenario's text in this folder as their settings.
fn processes(folder: &Folder, set: &[String]) -> Result<EdgesAs, String> {
    let settings = folder.0.join("scenario.sx");
    let (home, set) = (folder.0.clone(), set.to_vec());
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    Ok(EdgesAs::Processes(Box::new(
        move |n, fleet, state, seed| {
            let (listen, list) = (&fleet.addresses.edges[n], &fleet.addresses.list);
            let mut command = edge_process(&program, &settings, &fleet.scenario, n, listen, list);
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
                    home.join("roots.pem").display()
                ));
            }
            if fleet.token_issuer.is_some() {
                let file = home.join(fleet.scenario.settings.text("identity.keys-file"));
                command
                    .arg("--set")
                    .arg(format!("identity.keys-file={}", file.display()));
            }
            command
        },
    )))
}

fn on_sockets(scenario: Scenario, set: &[String]) -> Result<Outcome, String> {
    let folder = Folder::new().map_err(|e| e.to_string())?;
    let settings = folder.0.join("scenario.sx");
    std::fs::write(&settings, &scenario.text).map_err(|e| e.to_string())?;
    let edges = processes(&folder, set)?;
    let recording = Recording::default();
    let stage = SocketEnvironment::new(scenario, &recording, edges, folder.0.clone());
    let mut stage = stage.map_err(|e| e.to_string())?;
    stage.catch_signals().map_err(|e| e.to_string())?;
    let outcome = play(&mut stage, &recording).map_err(|e| e.to_string())?;
    if stage.signalled() {
        return Err("ended by a signal before the scenario was over".into());
    }
    Ok(outcome)
}

#[derive(Args, Clone, Debug)]
pub struct ExperimentArgs {
    /// The scenario with its variants
    pub file: PathBuf,
    /// Each variant is run on so many seeds; what the scenario says where none is given
    #[arg(long)]
    pub seeds: Option<u64>,
    /// Runs at a time; as many as there are processors where none is given
    #[arg(long)]
    pub threads: Option<usize>,
    /// One HTML page with all figures goes here
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
    let told = |done: usize| {
        if done.is_multiple_of(threads) || done == all {
            eprint!("\r{done} of {all} runs ");
        }
    };
    let figures = match experiment.run_all(threads, told) {
        Ok(figures) => figures,
        Err(e) => return fail(exit::TROUBLE, e),
    };
    eprintln!();
    print!("{}", report::text(&experiment, &figures));
    if let Some(file) = &args.report {
        let written = report::html(&experiment, &figures).and_then(|page| {
            std::fs::write(file, page).map_err(|e| format!("{}: {e}", file.display()))
        });
        if let Err(problem) = written {
            return fail(exit::TROUBLE, problem);
        }
    }
    ExitCode::from(exit::GOOD)
}

#[derive(Args, Clone, Debug)]
pub struct HuntArgs {
    /// No further day is begun after so long
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
    /// No more days than this
    #[arg(long, default_value_t = 100_000)]
    pub days: u64,
    /// The first day's seed
    #[arg(long, default_value_t = 1)]
    pub from: u64,
    #[arg(long)]
    pub threads: Option<usize>,
    /// Finds are kept here
    #[arg(long, value_name = "FOLDER", default_value = "finds")]
    pub keep: PathBuf,
}

pub fn hunt(args: &HuntArgs) -> ExitCode {
    use std::sync::atomic::{AtomicU64, Ordering};
    let threads = args
        .threads
        .or(std::thread::available_parallelism().map(usize::from).ok())
        .unwrap_or(1);
    let began = std::time::Instant::now();
    let (next, played, found) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let one = |seed: u64| -> Result<(), String> {
        let day = RandomScenario::generate(seed);
        let (rules, _) = day.violations().map_err(|e| format!("day {seed}: {e}"))?;
        played.fetch_add(1, Ordering::Relaxed);
        if rules.is_empty() {
            return Ok(());
        }
        found.fetch_add(1, Ordering::Relaxed);
        let find = day.shrink()?;
        std::fs::create_dir_all(&args.keep).map_err(|e| e.to_string())?;
        let file = args.keep.join(format!("day-{seed}.sx"));
        std::fs::write(&file, find.text()).map_err(|e| format!("{}: {e}", file.display()))?;
        println!(
            "{}: {} after {} runs",
            file.display(),
            find.violations.join("; "),
            find.runs
        );
        Ok(())
    };
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while began.elapsed().as_secs() < args.seconds {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    if n >= args.days {
                        break;
                    }
                    if let Err(problem) = one(args.from + n) {
                        eprintln!("{problem}");
                    }
                }
            });
        }
    });
    let (played, found) = (played.into_inner(), found.into_inner());
    println!("{played} days played, {found} broke a rule");
    ExitCode::from(if found == 0 { exit::GOOD } else { exit::BAD })
}
