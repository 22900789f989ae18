//! `sanddrum lab capacity`: what everything costs as a deployment grows.

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
    /// The plan; the operators' expected sizes where none is given
    pub file: Option<PathBuf>,
    /// Only these plays; may be given several times
    #[arg(long, value_name = "PLAY", value_parser = plays())]
    pub only: Vec<String>,
    /// The short plan, which takes seconds
    #[arg(long, conflicts_with = "file")]
    pub short: bool,
    /// The files go here: capacity.json, points.csv, slopes.csv
    #[arg(long, value_name = "FOLDER", default_value = "capacity-results")]
    pub out: PathBuf,
    /// Pictures of the slopes go here
    #[arg(long, value_name = "FOLDER")]
    pub plots: Option<PathBuf>,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

fn plays() -> clap::builder::PossibleValuesParser {
    BENCHMARKS
        .iter()
        .map(|benchmark| benchmark.name)
        .collect::<Vec<_>>()
        .into()
}

pub fn run(args: &CapacityArgs) -> ExitCode {
    let shipped = if args.short { SHORT_PLAN } else { DEFAULT_PLAN };
    let text = args
        .file
        .as_ref()
        .map_or(Ok(shipped.to_string()), std::fs::read_to_string);
    let name = args
        .file
        .as_ref()
        .map_or("the shipped plan".into(), |file| file.display().to_string());
    let text = match text {
        Ok(text) => text,
        Err(e) => return fail(exit::USAGE, format!("{name}: {e}")),
    };
    let memory = match Memory::of_machine() {
        Ok(memory) => memory,
        Err(problem) => return fail(exit::TROUBLE, problem),
    };
    let mut plan = match Plan::read(&name, &text, args.seed, memory) {
        Ok(plan) => plan,
        Err(problem) => return fail(exit::USAGE, problem),
    };
    plan.program = std::env::current_exe().ok();
    let stop = Stop::default();
    for signal in [SIGINT, SIGTERM] {
        if let Err(e) = signal_hook::flag::register(signal, stop.flag()) {
            return fail(exit::TROUBLE, e);
        }
    }
    let output = match Output::new(&args.out) {
        Ok(output) => output,
        Err(problem) => return fail(exit::TROUBLE, problem),
    };
    let summary = Summary {
        plan: text,
        seed: args.seed,
        ..Summary::default()
    };
    let mut sink = Sink::new(output, summary);
    let ran = capacity::run(&plan, &args.only, &mut sink, &stop);
    print!("{}", sink.summary().text());
    let drawn = args
        .plots
        .as_ref()
        .map_or(Ok(()), |folder| capacity::draw(folder, sink.points()));
    match ran.and(drawn) {
        Err(problem) => fail(exit::TROUBLE, problem),
        Ok(()) if stop.is_set() => {
            println!(
                "cut short by a signal: {} has what was measured until then",
                args.out.display()
            );
            ExitCode::from(exit::BAD)
        }
        Ok(()) => ExitCode::from(exit::GOOD),
    }
}
