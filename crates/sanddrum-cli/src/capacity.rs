//! `sanddrum lab capacity`: measures what each part of a deployment costs as the deployment grows.

use crate::{exit, fail};
use clap::Args;
use sanddrum_lab::capacity::{
    self, Memory, Output, Plan, Sink, Stop, Summary, BENCHMARKS, DEFAULT_PLAN, SHORT_PLAN,
};
use signal_hook::consts::{SIGINT, SIGTERM};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args, Clone, Debug)]
pub struct CapacityArgs {
    /// Capacity plan; by default a the built-in plan with the sizes that operators expect
    pub file: Option<PathBuf>,
    /// Run only this benchmark; may be given several times
    #[arg(long, value_name = "PLAY", value_parser = play_names())]
    pub only: Vec<String>,
    /// Use the short built-in plan, which takes seconds
    #[arg(long, conflicts_with = "file")]
    pub short: bool,
    /// Folder for the results: capacity.json, points.csv and slopes.csv
    #[arg(long, value_name = "FOLDER", default_value = "capacity-results")]
    pub out: PathBuf,
    /// Folder for plots of the slopes
    #[arg(long, value_name = "FOLDER")]
    pub plots: Option<PathBuf>,
    /// Seed of the random choices
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

fn play_names() -> clap::builder::PossibleValuesParser {
    BENCHMARKS
        .iter()
        .map(|benchmark| benchmark.name)
        .collect::<Vec<_>>()
        .into()
}

pub fn run(args: &CapacityArgs) -> ExitCode {
    let built_in = if args.short { SHORT_PLAN } else { DEFAULT_PLAN };
    let text = args
        .file
        .as_ref()
        .map_or(Ok(built_in.to_string()), std::fs::read_to_string);
    let name = args
        .file
        .as_ref()
        .map_or("the built-in plan".into(), |file| {
            file.display().to_string()
        });
    let text = match text {
        Ok(text) => text,
        Err(e) => return fail(exit::USAGE, format!("{name}: {e}")),
    };
    let memory = match Memory::of_machine() {
        Ok(memory) => memory,
        Err(problem) => return fail(exit::RUNTIME_ERROR, problem),
    };
    let mut plan = match Plan::read(&name, &text, args.seed, memory) {
        Ok(plan) => plan,
        Err(problem) => return fail(exit::USAGE, problem),
    };
    plan.program = std::env::current_exe().ok();
    let stop = Stop::default();
    for signal in [SIGINT, SIGTERM] {
        if let Err(e) = signal_hook::flag::register(signal, stop.flag()) {
            return fail(exit::RUNTIME_ERROR, e);
        }
    }
    let output = match Output::new(&args.out) {
        Ok(output) => output,
        Err(problem) => return fail(exit::RUNTIME_ERROR, problem),
    };
    let summary = Summary {
        plan: text,
        seed: args.seed,
        ..Summary::default()
    };
    let mut sink = Sink::new(output, summary);
    let measured = capacity::run(&plan, &args.only, &mut sink, &stop);
    print!("{}", sink.summary().text());
    let plotted = args
        .plots
        .as_ref()
        .map_or(Ok(()), |folder| capacity::draw(folder, sink.points()));
    match measured.and(plotted) {
        Err(problem) => fail(exit::RUNTIME_ERROR, problem),
        Ok(()) if stop.is_set() => {
            println!(
                "interrupted by a signal: {} holds the measurements taken so far",
                args.out.display()
            );
            ExitCode::from(exit::CHECK_FAILED)
        }
        Ok(()) => ExitCode::from(exit::SUCCESS),
    }
}
