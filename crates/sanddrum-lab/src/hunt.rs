//! Searches random scenarios for rule violations, and reduces a scenario that has one to the parts that it needs.

use crate::scenario::Scenario;
use crate::{kinds, play_virtually, product_edge, Outcome};
use sanddrum_net::Rng;
use std::collections::BTreeSet;
use std::fmt::Write;

/// A random scenario as a list of sections and faults, so that shrinking can remove them one by one.
#[derive(Clone, Debug)]
pub struct RandomScenario {
    pub seed: u64,
    pub sections: Vec<String>,
    pub faults: Vec<String>,
}

/// A scenario that violates a rule, after shrinking.
#[derive(Clone, Debug)]
pub struct Finding {
    pub scenario: RandomScenario,
    pub violations: Vec<String>,
    /// The number of runs that shrinking took.
    pub runs: usize,
}

/// Kinds that have no effect without settings that random scenarios don't have.
const EXCLUDED_KINDS: &[&str] = &["key-new", "key-rotate", "key-revoke"];
/// Kinds that need TLS to the workers.
const TLS_KINDS: &[&str] = &["certificates", "roots", "impostor"];
/// Kinds with a size, and its minimum and maximum.
const SIZE_RANGES: &[(&str, f64, f64)] = &[
    ("slow", 2.0, 10.0),
    ("lose-answers", 0.1, 0.9),
    ("load-fails", 0.1, 0.9),
    ("overload", 1.1, 4.0),
    ("hot-functions", 0.2, 0.9),
    ("greedy-customer", 0.2, 0.9),
    ("list-lag", 0.5, 5.0),
];

impl RandomScenario {
    /// Generates a scenario from a seed.
    pub fn generate(seed: u64) -> RandomScenario {
        let mut rng = Rng::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        let pick = |rng: &mut Rng, of: &[&str]| of[rng.index(of.len())].to_string();
        let zones = 1 + rng.index(3);
        let (workers, edges, cores) = (3 + rng.index(14), 1 + rng.index(5), 1 + rng.index(6));
        let work_ms = 10 + rng.index(60);
        let load = 0.2 + rng.next_f64();
        let rate =
            ((workers * cores) as f64 * 1000.0 / work_ms as f64 * load).clamp(20.0, 900.0) as usize;
        let names: Vec<String> = ["a", "b", "c"]
            .iter()
            .take(zones)
            .map(|z| format!("{z:?}"))
            .collect();
        let tls = rng.random_bool(0.15);
        let (share, run_once_share) = (rng.next_f64(), rng.next_f64());
        let mut sections = vec![
            format!("(deployment (zones {}))", names.join(" ")),
            "(workload \"re\" (start-target 1s) (time-limit 3s) (effect restartable))".into(),
            format!(
                "(workload \"fi\" (start-target 800ms) (time-limit 2500ms) (effect fingerprinted) (group {}) \
                 (repeat-window 2s))",
                pick(&mut rng, &["zone", "all", "cell"])
            ),
            "(workload \"on\" (start-target 1s) (time-limit 2s) (effect run-once))".into(),
            format!("(function \"re-*\" (workload \"re\") (memory 200MB) (lanes {}))", 1 + rng.index(4)),
            "(function \"fi-*\" (workload \"fi\") (memory 150MB) (lanes 2))".into(),
            "(function \"on-*\" (workload \"on\") (memory 300MB) (lanes 1))".into(),
            format!("(copies (on-miss {}) (keep-alive {}s))", pick(&mut rng, &["load", "miss"]), 2 + rng.index(8)),
            format!(
                "(rules (cold-from {}%) (cold {}s) (drain-grace 2s))",
                10 + rng.index(50),
                2 + rng.index(8)
            ),
            format!("(fleet (workers {workers}) (edges {edges}) (cores {cores}) (memory {}GB))", 1 + rng.index(5)),
            format!("(list-service (notice-least 200ms) (notice-most {}ms) (silent-after 2s))", 400 + rng.index(1500)),
            format!(
                "(traffic (length 10s) (rate {rate}) (functions {}) (retries {}) (retry-wait 100ms) (heeds {}%))",
                1 + rng.index(40),
                rng.index(4),
                rng.index(101)
            ),
            format!("(calls \"re\" (share {:.2}) (work {work_ms}ms))", 0.1 + 0.8 * share),
            format!("(calls \"fi\" (share {:.2}) (work {work_ms}ms))", (0.9 - 0.8 * share) * run_once_share),
            format!("(calls \"on\" (share {:.2}) (work {work_ms}ms))", (0.9 - 0.8 * share) * (1.0 - run_once_share)),
        ];
        if rng.random_bool(0.4) {
            sections.push("(customer \"one\" (share 60%)) (customer \"two\" (share 30%))".into());
        }
        if rng.random_bool(0.3) {
            sections.push("(sharing (shares yes))".into());
        }
        if tls {
            sections.push("(tls (workers verified) (roots-file \"roots.pem\"))".into());
        }
        let is_allowed =
            |kind: &&&str| !EXCLUDED_KINDS.contains(kind) && (tls || !TLS_KINDS.contains(kind));
        let kinds: Vec<&str> = kinds().iter().filter(is_allowed).copied().collect();
        let faults = (0..1 + rng.index(7))
            .map(|_| Self::fault(&mut rng, &kinds, zones))
            .collect();
        RandomScenario {
            seed,
            sections,
            faults,
        }
    }
    fn fault(rng: &mut Rng, kinds: &[&str], zones: usize) -> String {
        let kind = kinds[rng.index(kinds.len())];
        let (at, length) = (rng.index(8000), 200 + rng.index(4000));
        let mut out = format!("(trouble {kind:?} (at {at}ms) (length {length}ms)");
        let zone = ["a", "b", "c"][rng.index(zones)];
        if kind == "zone-loss" || rng.random_bool(0.2) {
            let _ = write!(out, " (zone {zone:?})");
        }
        match rng.index(3) {
            0 => drop(write!(out, " (count {})", 1 + rng.index(3))),
            1 => drop(write!(out, " (part {}%)", 10 + rng.index(60))),
            _ => {}
        }
        if kind == "link" {
            let to = ["workers", "workers", "list"][rng.index(3)];
            let fault = ["silent-to", "silent-from", "unanswered", "refused"][rng.index(4)];
            let _ = write!(out, " (to {to}) (fault {fault})");
        }
        if let Some((_, min, max)) = SIZE_RANGES.iter().find(|(of, ..)| *of == kind) {
            let _ = write!(out, " (size {:.2})", min + (max - min) * rng.next_f64());
        }
        out + ")"
    }
    /// The text of the scenario.
    pub fn text(&self) -> String {
        self.sections
            .iter()
            .chain(&self.faults)
            .fold(String::new(), |text, line| text + line + "\n")
    }
    /// Runs the scenario in virtual time.
    ///
    /// # Errors
    /// It is not a valid scenario, or can't be set up.
    pub fn play(&self) -> Result<Outcome, String> {
        let scenario = Scenario::read("day", &self.text(), self.seed).map_err(|e| e.to_string())?;
        play_virtually(scenario, product_edge()).map_err(|e| e.to_string())
    }
    /// The rules that it violates, with the first few violations. 0 stands for requests that are unaccounted for.
    ///
    /// # Errors
    /// It can't be run.
    pub fn violations(&self) -> Result<(BTreeSet<u8>, Vec<String>), String> {
        let outcome = self.play()?;
        let mut rules: BTreeSet<u8> = outcome.verdict.violations.iter().map(|b| b.rule).collect();
        let mut descriptions: Vec<String> = outcome
            .verdict
            .violations
            .iter()
            .take(3)
            .map(ToString::to_string)
            .collect();
        if rules.is_empty() && !outcome.is_good() {
            rules.insert(0);
            descriptions.push("accepted and answered requests do not add up".into());
        }
        Ok((rules, descriptions))
    }
    /// Removes every section and fault without which the scenario still violates one of the same rules.
    ///
    /// # Errors
    /// The scenario can't be run.
    pub fn shrink(self) -> Result<Finding, String> {
        self.shrink_with(RandomScenario::violations)
    }
    /// Like `shrink`, with another way to find violations.
    ///
    /// # Errors
    /// `violations` fails for the full scenario.
    pub fn shrink_with(
        mut self,
        violations: impl Fn(&RandomScenario) -> Result<(BTreeSet<u8>, Vec<String>), String>,
    ) -> Result<Finding, String> {
        let (rules, mut found) = violations(&self)?;
        let mut runs = 1;
        let mut has_shrunk = true;
        while has_shrunk {
            has_shrunk = false;
            let (sections, faults) = (self.sections.len(), self.faults.len());
            for n in (0..sections + faults).rev() {
                let mut smaller = self.clone();
                match n.checked_sub(sections) {
                    Some(n) => drop(smaller.faults.remove(n)),
                    None => drop(smaller.sections.remove(n)),
                }
                runs += 1;
                // Skip what is not a valid scenario without this part.
                let Ok((still_violated, descriptions)) = violations(&smaller) else {
                    continue;
                };
                if still_violated.intersection(&rules).next().is_some() {
                    (self, found, has_shrunk) = (smaller, descriptions, true);
                    break;
                }
            }
        }
        Ok(Finding {
            scenario: self,
            violations: found,
            runs,
        })
    }
}

impl Finding {
    /// The text of a scenario file, with the violations in a comment at the top.
    pub fn text(&self) -> String {
        let violations: String = self.violations.iter().map(|b| format!("; {b}\n")).collect();
        format!(
            "; Found by a hunt; run it with seed {}. Violations:\n{violations}\n{}",
            self.scenario.seed,
            self.scenario.text()
        )
    }
}
