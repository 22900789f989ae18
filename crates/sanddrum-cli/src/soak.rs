//! `sanddrum lab soak`: real processes under overlapping troubles, judged from what their peers saw.

use crate::lab::Folder;
use crate::{exit, fail};
use clap::Args;
use sanddrum_lab::soak::{soak, SoakReport, SoakSpec};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args, Clone, Debug)]
pub struct SoakArgs {
    /// Routers on the users' platform, as sanddrum-edge --platform
    #[arg(long, required = true)]
    pub platform: bool,
    /// Settings, troubles and clients are drawn from it
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Plays the run of a find again, as its last line named it
    #[arg(long, value_name = "SEED", conflicts_with = "seed")]
    pub replay: Option<u64>,
    /// How long troubles are played
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
    /// Routers, each a process; as many model servers stand beside them
    #[arg(long, default_value_t = 30)]
    pub routers: usize,
    /// Requests a second for each router
    #[arg(long, default_value_t = 12.0)]
    pub rate: f64,
    /// The last line is one JSON object
    #[arg(long)]
    pub json: bool,
    /// The routers' program, where it is not the one beside this
    #[arg(long, value_name = "FILE")]
    pub program: Option<PathBuf>,
    /// Configurations and logs stay in the folder that the report names
    #[arg(long)]
    pub keep: bool,
}

pub fn run(args: &SoakArgs) -> ExitCode {
    match played(args) {
        Ok(report) => tell(args, &report),
        Err(problem) => fail(exit::TROUBLE, problem),
    }
}

fn played(args: &SoakArgs) -> Result<SoakReport, String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let program = args
        .program
        .clone()
        .unwrap_or_else(|| own.with_file_name("sanddrum-edge"));
    let folder = Folder::new().map_err(|e| e.to_string())?;
    let spec = SoakSpec {
        seed: args.replay.unwrap_or(args.seed),
        seconds: args.seconds,
        routers: args.routers.max(1),
        servers: args.routers.max(2),
        rate: args.rate,
        program,
        folder: folder.0.clone(),
    };
    let report = soak(&spec).map_err(|e| e.to_string())?;
    // Without the routers' logs a break that does not come again can't be traced.
    if args.keep || !report.passed() {
        println!("configurations and logs: {}", folder.0.display());
        std::mem::forget(folder);
    }
    Ok(report)
}

/// Breaks told in full; beyond that only their number.
const BREAKS_TOLD: usize = 20;

fn tell(args: &SoakArgs, report: &SoakReport) -> ExitCode {
    println!("troubles {:?}", report.fault_counts);
    println!("faults {:?}", report.library_fault_counts);
    println!(
        "counts {:?}, the lab itself late for {} ms in all",
        report.counts, report.lab_late_ms
    );
    report
        .violations
        .iter()
        .take(BREAKS_TOLD)
        .for_each(|found| println!("{found}"));
    if args.json {
        println!("{}", report.json());
    }
    println!("{}", report.verdict());
    ExitCode::from(if report.passed() {
        exit::GOOD
    } else {
        exit::BAD
    })
}
