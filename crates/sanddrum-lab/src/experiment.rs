//! Runs variants of one scenario with the same seeds, and estimates how significant their differences are.

use crate::baselines::{Baseline, BaselineKind};
use crate::environment::{product_edge, MakeEdge, VirtualEnvironment};
use crate::recorder::Recording;
use crate::scenario::Scenario;
use crate::{play, Outcome};
use sanddrum_edge::Edge;
use sanddrum_emulator::GroundTruth;
use sanddrum_net::{LinkModel, Rng};
use sanddrum_settings::SettingsError;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// A variant of the scenario.
#[derive(Clone, Debug)]
pub struct Variant {
    pub name: String,
    /// Settings that override those of the scenario, as `limits.repeats=100%`.
    pub set: Vec<String>,
    /// The baseline that replaces the decision module, if any.
    pub decides: Option<BaselineKind>,
}

#[derive(Clone, Debug)]
pub struct Experiment {
    pub file: String,
    pub text: String,
    pub seeds: u64,
    pub variants: Vec<Variant>,
}

/// The result of one run.
#[derive(Clone, Debug, Default)]
pub struct RunResult {
    pub service: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub finished: f64,
    pub rejected: f64,
    pub executions: f64,
    pub load_commands: f64,
    pub violations: f64,
    /// For each second: the number of calls started, and of those answered in time.
    pub seconds: Vec<(u32, u32)>,
}

/// A measure that is compared: its name, whether more is better, and its value in a result.
pub type Measure = (&'static str, bool, fn(&RunResult) -> f64);
pub const MEASURES: [Measure; 8] = [
    ("service", true, |f| f.service),
    ("p50 ms", false, |f| f.p50_ms),
    ("p99 ms", false, |f| f.p99_ms),
    ("finished", true, |f| f.finished),
    ("rejected", false, |f| f.rejected),
    ("executions", false, |f| f.executions),
    ("load commands", false, |f| f.load_commands),
    ("rule violations", false, |f| f.violations),
];

/// The results of fewer seeds than this come with a warning.
pub const FEW_SEEDS: u64 = 10;
const RESAMPLES: usize = 2000;

impl Experiment {
    /// Reads the experiment and its variants from the text of a scenario.
    ///
    /// # Errors
    /// The text is not a valid scenario, has fewer than two variants, or a variant is invalid.
    pub fn read(file: &str, text: &str, seeds: Option<u64>) -> Result<Self, SettingsError> {
        let scenario = Scenario::read(file, text, 1)?;
        let l = &scenario.settings;
        let variant = |(n, name): (usize, String)| Variant {
            set: l.names(&format!("variants.{n}.set")),
            decides: BaselineKind::of(l.text(&format!("variants.{n}.decides"))),
            name,
        };
        let variants: Vec<Variant> = l
            .names("variants")
            .into_iter()
            .enumerate()
            .map(variant)
            .collect();
        let invalid = |what: String, remedy: &str| SettingsError::new(file, what, remedy);
        if variants.len() < 2 {
            let remedy = "add (variant \"as built\") and (variant \"another\" (set \"limits.repeats=100%\"))";
            return Err(invalid(
                "an experiment needs at least two variants".into(),
                remedy,
            ));
        }
        let seeds = seeds.unwrap_or(l.integer("experiment.seeds") as u64);
        let experiment = Experiment {
            file: file.into(),
            text: text.into(),
            seeds,
            variants,
        };
        // Validate every variant before the first run.
        for variant in &experiment.variants {
            experiment.scenario(variant, 1)?;
        }
        Ok(experiment)
    }
    fn scenario(&self, variant: &Variant, seed: u64) -> Result<Scenario, SettingsError> {
        Scenario::read_with(&self.file, &self.text, seed, &variant.set, &variant.name)
    }
    fn run(&self, variant: &Variant, seed: u64) -> io::Result<RunResult> {
        let mut scenario = self.scenario(variant, seed).map_err(io::Error::other)?;
        let is_oracle = variant.decides == Some(BaselineKind::Oracle);
        scenario
            .calls
            .iter_mut()
            .for_each(|calls| calls.exact_hints = is_oracle);
        let truth = Rc::new(RefCell::new(GroundTruth::default()));
        let make: MakeEdge = match variant.decides {
            None => product_edge(),
            Some(choice) => {
                let truth = truth.clone();
                Box::new(move |options| {
                    let values = options.settings.decision_settings();
                    let module = Baseline::new(choice, options.seed, values, truth.clone());
                    Box::new(Edge::with_module(options, module))
                })
            }
        };
        let recording = Recording::default();
        let truth = is_oracle.then_some(truth);
        let mut environment = VirtualEnvironment::with_ground_truth(
            scenario,
            LinkModel::default(),
            &recording,
            make,
            truth,
        )?;
        Ok(RunResult::of(&play(&mut environment, &recording)?))
    }
    /// Runs every variant with every seed on `threads` threads, and returns the results by variant and seed. `progress`
    /// is called with the number of finished runs.
    ///
    /// # Errors
    /// A run could not be set up.
    pub fn run_all(
        &self,
        threads: usize,
        progress: impl Fn(usize) + Sync,
    ) -> io::Result<Vec<Vec<RunResult>>> {
        let all: Vec<(usize, u64)> = (1..=self.seeds)
            .flat_map(|seed| (0..self.variants.len()).map(move |v| (v, seed)))
            .collect();
        let (next, done) = (AtomicUsize::new(0), Arc::new(Mutex::new(Vec::new())));
        std::thread::scope(|scope| {
            for _ in 0..threads.max(1) {
                scope.spawn(|| {
                    while let Some((variant, seed)) = all.get(next.fetch_add(1, Ordering::Relaxed))
                    {
                        let results = self.run(&self.variants[*variant], *seed);
                        let Ok(mut done) = done.lock() else { return };
                        done.push((*variant, *seed, results));
                        progress(done.len());
                    }
                });
            }
        });
        let mut done = std::mem::take(
            &mut *done
                .lock()
                .map_err(|_| io::Error::other("a thread panicked"))?,
        );
        done.sort_by_key(|(variant, seed, _)| (*variant, *seed));
        let mut results = vec![Vec::new(); self.variants.len()];
        for (variant, _, of) in done {
            results[variant].push(of?);
        }
        Ok(results)
    }
}

impl RunResult {
    fn of(outcome: &Outcome) -> RunResult {
        let v = &outcome.verdict;
        RunResult {
            service: v.service,
            p50_ms: outcome.latency_ms(0.5),
            p99_ms: outcome.latency_ms(0.99),
            finished: v.finished as f64,
            rejected: v.rejected as f64,
            executions: outcome.executions as f64,
            load_commands: outcome.load_commands as f64,
            violations: v.violations.len() as f64,
            seconds: v.seconds.clone(),
        }
    }
}

/// The mean difference of paired runs, with its confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference {
    pub mean: f64,
    /// The bounds of the 95 % interval of the mean, by the bootstrap over seeds (percentiles of resampled means).
    pub lower: f64,
    pub upper: f64,
}

impl Difference {
    /// Whether the interval excludes zero.
    pub fn is_clear(&self) -> bool {
        self.lower > 0.0 || self.upper < 0.0
    }
}

/// The difference `other - first`, paired by seed.
pub fn difference(first: &[f64], other: &[f64]) -> Difference {
    let each: Vec<f64> = first.iter().zip(other).map(|(a, b)| b - a).collect();
    let mean = |of: &[f64]| of.iter().sum::<f64>() / of.len().max(1) as f64;
    let mut rng = Rng::new(0xb007);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            let resampled: Vec<f64> = each.iter().map(|_| each[rng.index(each.len())]).collect();
            mean(&resampled)
        })
        .collect();
    means.sort_by(f64::total_cmp);
    let at = |part: f64| means[((RESAMPLES as f64 * part) as usize).min(RESAMPLES - 1)];
    Difference {
        mean: mean(&each),
        lower: at(0.025),
        upper: at(0.975),
    }
}
