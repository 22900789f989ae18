//! The operators' command line.

use clap::{Args, Parser, Subcommand};
use sanddrum_cli::{
    call, capacity, certs, config, edge, exit, fail, fleet, keys, lab, load, logs, soak,
};
use std::path::PathBuf;
use std::process::ExitCode;

/// A gateway that routes requests to workers, which load functions on demand
#[derive(Parser)]
#[command(
    name = "sanddrum",
    version,
    after_help = "Examples:
  sanddrum demo                                   the built-in scenario on loopback sockets
  sanddrum lab run day.sx --virtual --seed 7      a scenario in virtual time
  sanddrum config check armor.sx                  check a settings file
  sanddrum call trace-pass pick-1 --body hello    send a request through an edge

Exit codes: 0 success; 1 a check failed or a request did not finish; 2 invalid arguments or settings; 3 runtime error."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
    #[command(flatten)]
    logs: logs::Logs,
}

#[derive(Subcommand)]
enum Command {
    /// Run the built-in scenario on loopback sockets and check the observed traffic for rule violations
    Demo(DemoArgs),
    /// Run scenarios, generate load and measure costs
    #[command(subcommand)]
    Lab(Lab),
    /// Check and print settings files
    #[command(subcommand)]
    Config(Config),
    /// Manage the keys that sign tokens
    #[command(subcommand)]
    Keys(keys::Keys),
    /// Issue and inspect tokens
    #[command(subcommand)]
    Token(keys::Token),
    /// Create and manage certificates for tests
    #[command(subcommand)]
    Certs(certs::Certs),
    /// Show which customers may run which functions
    #[command(subcommand)]
    Rights(keys::RightsCommand),
    /// Send a request through an edge
    #[command(
        after_help = "Example:\n  sanddrum call trace-pass trace-1 --edge 127.0.0.1:8080 --time-limit 2000 --body hello"
    )]
    Call(call::CallArgs),
    /// Run an edge, like sanddrum-edge
    #[command(hide = true)]
    Edge(edge::EdgeArgs),
}

#[derive(Args)]
struct DemoArgs {
    /// Print the summary as a JSON object on the last line as well
    #[arg(long)]
    json: bool,
    /// Seed of the random choices
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Use TLS between edges and workers, with verified certificate names
    #[arg(long)]
    tls: bool,
}

#[derive(Subcommand)]
enum Lab {
    /// Run a scenario and check it
    #[command(after_help = "Examples:
  sanddrum lab run                                the built-in scenario on sockets
  sanddrum lab run --virtual --seed 7 --json      in virtual time: the same seed gives the same timeline")]
    Run(lab::RunArgs),
    /// Run a scenario with each edge, each worker, the discovery service and the store as its own process
    #[command(after_help = "Example:\n  sanddrum lab fleet cold.sx --edges 300 --seed 11")]
    Fleet(fleet::FleetArgs),
    /// Run a scenario in virtual time with increasing numbers of edges, on the same seeds
    #[command(
        after_help = "Example:\n  sanddrum lab sizes cold.sx --edges 3,30,100,300 --seeds 5 --plots docs/plots"
    )]
    Sizes(fleet::SizesArgs),
    /// Run one emulated component of a scenario as a process: a worker, the discovery service or the store
    Part(fleet::PartArgs),
    /// Run a scenario's workers and services on loopback without traffic, with one edge on a known port, until
    /// interrupted
    #[command(after_help = "Example:\n  sanddrum lab stand --listen 127.0.0.1:8080")]
    Stand(lab::StandArgs),
    /// Generate open-loop load on an edge and report latencies
    #[command(
        after_help = "Example:\n  sanddrum lab load trace-pass trace- --functions 8 --rate 200 --body work-us=5000"
    )]
    Load(load::LoadArgs),
    /// Run random scenarios in search of a rule violation; each scenario that violates one is minimized and saved
    #[command(after_help = "Example:\n  sanddrum lab hunt --seconds 600 --from 1 --keep finds/")]
    Hunt(lab::HuntArgs),
    /// Run variants of a scenario on the same seeds and compare them by confidence intervals
    #[command(
        after_help = "Example:\n  sanddrum lab experiment overload.sx --seeds 20 --report overload.html\n\n\
                            The scenario names its variants: (variant \"no budget\" (set \"limits.repeats=100%\")),\n\
                            (variant \"random\" (decides random))."
    )]
    Experiment(lab::ExperimentArgs),
    /// Run routers as processes under overlapping faults and check them by what their clients and servers observed
    #[command(after_help = "Examples:
  sanddrum lab soak --platform --seed 7           a minute of faults among 30 routers
  sanddrum lab soak --platform --replay 7 --keep  repeat the run with seed 7 and keep its logs")]
    Soak(soak::SoakArgs),
    /// Measure what each part of a deployment costs as it grows, and the slope of each cost
    #[command(after_help = "Examples:
  sanddrum lab capacity --out capacity            all benchmarks, at the sizes that operators expect
  sanddrum lab capacity --short --only router     one benchmark, at sizes that take seconds")]
    Capacity(capacity::CapacityArgs),
    /// Measure the cost of an edge on this machine, compared with a plain forwarder
    Measure(load::MeasureArgs),
}

#[derive(Subcommand)]
enum Config {
    /// Check a settings file and report an error with line and column
    Check {
        /// Settings file, or a scenario with --scenario
        file: PathBuf,
        /// Treat the file as a scenario
        #[arg(long)]
        scenario: bool,
    },
    /// Print every effective setting, where its value comes from and what it means
    Show {
        /// Settings file, or a scenario with --scenario
        file: PathBuf,
        /// Treat the file as a scenario
        #[arg(long)]
        scenario: bool,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Err(problem) = logs::init(&cli.logs) {
        return fail(exit::USAGE, problem);
    }
    match &cli.command {
        Command::Demo(args) => {
            let args = lab::RunArgs {
                file: None,
                in_virtual_time: false,
                seed: args.seed,
                edges: None,
                json: args.json,
                set: if args.tls {
                    lab::WORKER_TLS.map(String::from).to_vec()
                } else {
                    Vec::new()
                },
            };
            lab::run(&args)
        }
        Command::Lab(Lab::Run(args)) => lab::run(args),
        Command::Lab(Lab::Fleet(args)) => fleet::run(args),
        Command::Lab(Lab::Sizes(args)) => fleet::sizes(args),
        Command::Lab(Lab::Part(args)) => fleet::part(args),
        Command::Lab(Lab::Stand(args)) => lab::stand(args),
        Command::Lab(Lab::Load(args)) => load::load(args),
        Command::Lab(Lab::Experiment(args)) => lab::experiment(args),
        Command::Lab(Lab::Hunt(args)) => lab::hunt(args),
        Command::Lab(Lab::Soak(args)) => soak::run(args),
        Command::Lab(Lab::Capacity(args)) => capacity::run(args),
        Command::Lab(Lab::Measure(args)) => load::run(args),
        Command::Config(Config::Check { file, scenario }) => config::check(file, *scenario),
        Command::Config(Config::Show { file, scenario }) => config::show(file, *scenario),
        Command::Keys(command) => keys::keys(command),
        Command::Token(command) => keys::token(command),
        Command::Certs(command) => certs::run(command),
        Command::Rights(command) => keys::rights(command),
        Command::Call(args) => call::run(args),
        Command::Edge(args) => edge::run(args),
    }
}
