//! The operators' command line.

use clap::{Args, Parser, Subcommand};
use sanddrum_cli::{
    call, capacity, certs, config, edge, exit, fail, fleet, keys, lab, load, logs, soak,
};
use std::path::PathBuf;
use std::process::ExitCode;

/// A gateway that runs calls on workers which load functions on demand
#[derive(Parser)]
#[command(
    name = "sanddrum",
    version,
    after_help = "Examples:
  sanddrum demo                                   the bad day, on loopback sockets
  sanddrum lab run day.sx --virtual --seed 7      a scenario in virtual time
  sanddrum config check armor.sx                  what is wrong with a settings file, and where
  sanddrum call trace-pass pick-1 --body hello    one call through an edge

Exit codes: 0 all well; 1 it ran and found something not well; 2 wrong arguments or settings; 3 it could not go on."
)]
struct Cli {
    #[command(subcommand)]
    command: What,
    #[command(flatten)]
    logs: logs::Logs,
}

#[derive(Subcommand)]
enum What {
    /// Start everything on loopback, play the scripted bad day and judge it from the traffic
    Demo(DemoArgs),
    /// Scenarios
    #[command(subcommand)]
    Lab(Lab),
    /// Settings files
    #[command(subcommand)]
    Config(Config),
    /// The keys that tokens are signed with
    #[command(subcommand)]
    Keys(keys::Keys),
    /// Tokens
    #[command(subcommand)]
    Token(keys::Token),
    /// Certificates for tests
    #[command(subcommand)]
    Certs(certs::Certs),
    /// Who may run what
    #[command(subcommand)]
    Rights(keys::RightsCommand),
    /// Make one call through an edge
    #[command(
        after_help = "Example:\n  sanddrum call trace-pass trace-1 --edge 127.0.0.1:8080 --time-limit 2000 --body hello"
    )]
    Call(call::CallArgs),
    /// Run an edge, as sanddrum-edge does
    #[command(hide = true)]
    Edge(edge::EdgeArgs),
}

#[derive(Args)]
struct DemoArgs {
    /// The summary's last line is one JSON object
    #[arg(long)]
    json: bool,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Workers prove their names: everything between edges and workers goes over TLS
    #[arg(long)]
    tls: bool,
}

#[derive(Subcommand)]
enum Lab {
    /// Play a scenario and judge it
    #[command(after_help = "Examples:
  sanddrum lab run                                the bad day on sockets
  sanddrum lab run --virtual --seed 7 --json      in virtual time: equal seeds give equal timelines")]
    Run(lab::RunArgs),
    /// Play a scenario with every edge, every worker, the list service and the store as a process of its own
    #[command(after_help = "Example:\n  sanddrum lab fleet cold.sx --edges 300 --seed 11")]
    Fleet(fleet::FleetArgs),
    /// Play a scenario in virtual time with ever more edges, on the same seeds
    #[command(
        after_help = "Example:\n  sanddrum lab sizes cold.sx --edges 3,30,100,300 --seeds 5 --plots docs/plots"
    )]
    Sizes(fleet::SizesArgs),
    /// Run a stand-in as a process: a worker, the list service or the store of a scenario
    Part(fleet::PartArgs),
    /// Set up a small fleet on loopback with an edge on a known port, and keep it running
    #[command(after_help = "Example:\n  sanddrum lab stand --listen 127.0.0.1:8080")]
    Stand(lab::StandArgs),
    /// Put load on an edge, open loop, and tell its latencies
    #[command(
        after_help = "Example:\n  sanddrum lab load trace-pass trace- --functions 8 --rate 200 --body work-us=5000"
    )]
    Load(load::LoadArgs),
    /// Draw random days and look for one that breaks a rule; a find is made small and kept as a scenario
    #[command(after_help = "Example:\n  sanddrum lab hunt --seconds 600 --from 1 --keep finds/")]
    Hunt(lab::HuntArgs),
    /// Run variants of a scenario on the same seeds, and tell what their differences are worth
    #[command(
        after_help = "Example:\n  sanddrum lab experiment overload.sx --seeds 20 --report overload.html\n\n\
                            The scenario names its variants: (variant \"no budget\" (set \"limits.repeats=100%\")),\n\
                            (variant \"random\" (decides random))."
    )]
    Experiment(lab::ExperimentArgs),
    /// Play routers as processes under overlapping troubles, and judge them from what their peers saw
    #[command(after_help = "Examples:
  sanddrum lab soak --platform --seed 7           a minute of troubles among 30 routers
  sanddrum lab soak --platform --replay 7 --keep  the run of a find again, with its logs")]
    Soak(soak::SoakArgs),
    /// Measure what each part of a deployment costs as it grows, and the slope of each figure
    #[command(after_help = "Examples:
  sanddrum lab capacity --out capacity            all plays at the operators' expected sizes
  sanddrum lab capacity --short --only router     one play, at sizes that take seconds")]
    Capacity(capacity::CapacityArgs),
    /// Measure what an edge costs on this machine, beside a bare forwarder
    Measure(load::MeasureArgs),
}

#[derive(Subcommand)]
enum Config {
    /// Say what is wrong with a settings file, with line and column
    Check {
        file: PathBuf,
        /// It is a scenario
        #[arg(long)]
        scenario: bool,
    },
    /// Every value in force, with where it came from
    Show {
        file: PathBuf,
        /// It is a scenario
        #[arg(long)]
        scenario: bool,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Err(problem) = logs::begin(&cli.logs) {
        return fail(exit::USAGE, problem);
    }
    match &cli.command {
        What::Demo(args) => {
            let args = lab::RunArgs {
                file: None,
                in_virtual_time: false,
                seed: args.seed,
                edges: None,
                json: args.json,
                set: if args.tls {
                    lab::TLS.map(String::from).to_vec()
                } else {
                    Vec::new()
                },
            };
            lab::run(&args)
        }
        What::Lab(Lab::Run(args)) => lab::run(args),
        What::Lab(Lab::Fleet(args)) => fleet::run(args),
        What::Lab(Lab::Sizes(args)) => fleet::sizes(args),
        What::Lab(Lab::Part(args)) => fleet::part(args),
        What::Lab(Lab::Stand(args)) => lab::stand(args),
        What::Lab(Lab::Load(args)) => load::load(args),
        What::Lab(Lab::Experiment(args)) => lab::experiment(args),
        What::Lab(Lab::Hunt(args)) => lab::hunt(args),
        What::Lab(Lab::Soak(args)) => soak::run(args),
        What::Lab(Lab::Capacity(args)) => capacity::run(args),
        What::Lab(Lab::Measure(args)) => load::run(args),
        What::Config(Config::Check { file, scenario }) => config::check(file, *scenario),
        What::Config(Config::Show { file, scenario }) => config::show(file, *scenario),
        What::Keys(command) => keys::keys(command),
        What::Token(command) => keys::token(command),
        What::Certs(command) => certs::run(command),
        What::Rights(command) => keys::rights(command),
        What::Call(args) => call::run(args),
        What::Edge(args) => edge::run(args),
    }
}
