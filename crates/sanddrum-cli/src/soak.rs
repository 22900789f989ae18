//! `sanddrum lab soak`: runs router processes under overlapping faults and checks them by what their peers observed.

use crate::lab::TemporaryFolder;
use crate::{exit, fail};
use clap::Args;
use sanddrum_lab::soak::{soak, SoakReport, SoakSpec};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args, Clone, Debug)]
pub struct SoakArgs {
    /// Run routers on the platform, as sanddrum-edge --platform does
    #[arg(long, required = true)]
    pub platform: bool,
    /// Seed from which settings, faults and clients are generated
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Repeat the run with this seed, which the last line of a failed run names
    #[arg(long, value_name = "SEED", conflicts_with = "seed")]
    pub replay: Option<u64>,
    /// Number of seconds for which faults are injected
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
    /// Number of router processes; as many emulated model servers run with them
    #[arg(long, default_value_t = 30)]
    pub routers: usize,
    /// Requests per second for each router
    #[arg(long, default_value_t = 12.0)]
    pub rate: f64,
    /// Inject faults of this kind only, by its name in the report's troubles; "none" injects no faults
    #[arg(long, value_name = "KIND")]
    pub fault: Option<String>,
    /// Print the report as a JSON object as well
    #[arg(long)]
    pub json: bool,
    /// Program of the routers; sanddrum-edge in the folder of this program by default
    #[arg(long, value_name = "FILE")]
    pub program: Option<PathBuf>,
    /// Keep the configurations and logs in the folder that the report names
    #[arg(long)]
    pub keep: bool,
}

pub fn run(args: &SoakArgs) -> ExitCode {
    match run_soak(args) {
        Ok(report) => print_report(args, &report),
        Err(problem) => fail(exit::RUNTIME_ERROR, problem),
    }
}

fn run_soak(args: &SoakArgs) -> Result<SoakReport, String> {
    let current_program = std::env::current_exe().map_err(|e| e.to_string())?;
    let program = args
        .program
        .clone()
        .unwrap_or_else(|| current_program.with_file_name("sanddrum-edge"));
    let folder = TemporaryFolder::new().map_err(|e| e.to_string())?;
    let spec = SoakSpec {
        seed: args.replay.unwrap_or(args.seed),
        seconds: args.seconds,
        routers: args.routers.max(1),
        servers: args.routers.max(2),
        rate: args.rate,
        only_fault: args.fault.clone(),
        program,
        folder: folder.0.clone(),
    };
    let report = soak(&spec).map_err(|e| e.to_string())?;
    // A violation that does not occur again on replay can only be diagnosed from the routers' logs.
    if args.keep || !report.passed() {
        println!("configurations and logs: {}", folder.0.display());
        std::mem::forget(folder);
    }
    Ok(report)
}

/// Number of violations that are printed one by one; the verdict counts all of them.
const MAX_PRINTED_VIOLATIONS: usize = 20;

fn print_report(args: &SoakArgs, report: &SoakReport) -> ExitCode {
    println!("troubles {:?}", report.fault_counts);
    println!("faults {:?}", report.library_fault_counts);
    println!(
        "counts {:?}, the lab itself late for {} ms in total",
        report.counts, report.lab_late_ms
    );
    report
        .violations
        .iter()
        .take(MAX_PRINTED_VIOLATIONS)
        .for_each(|violation| println!("{violation}"));
    if args.json {
        println!("{}", report.json());
    }
    println!("{}", report.verdict());
    ExitCode::from(if report.passed() {
        exit::SUCCESS
    } else {
        exit::CHECK_FAILED
    })
}
