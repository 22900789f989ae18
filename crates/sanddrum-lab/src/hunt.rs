//! Random days, looked through for a broken rule; a day that breaks one is made as small as it goes.

use crate::scenario::Scenario;
use crate::{kinds, play_virtually, product_edge, Outcome};
use sanddrum_net::Rng;
use std::collections::BTreeSet;
use std::fmt::Write;

/// A day in parts, so that parts can be taken out.
#[derive(Clone, Debug)]
pub struct RandomScenario {
    pub seed: u64,
    pub sections: Vec<String>,
    pub faults: Vec<String>,
}

/// A day that breaks something.
#[derive(Clone, Debug)]
pub struct Finding {
    pub scenario: RandomScenario,
    pub violations: Vec<String>,
    /// Runs that it took to make it small.
    pub runs: usize,
}

/// Kinds that want something of the scenario that random days do not have, or that are over at once without it.
const LEFT_OUT: &[&str] = &["key-new", "key-rotate", "key-revoke"];
const OF_TLS: &[&str] = &["certificates", "roots", "impostor"];
const NEEDS_SIZE: &[(&str, f64, f64)] = &[
    ("slow", 2.0, 10.0),
    ("lose-answers", 0.1, 0.9),
    ("load-fails", 0.1, 0.9),
    ("overload", 1.1, 4.0),
    ("hot-functions", 0.2, 0.9),
    ("greedy-customer", 0.2, 0.9),
    ("list-lag", 0.5, 5.0),
];

impl RandomScenario {
    /// A day drawn from a seed.
    pub fn generate(seed: u64) -> RandomScenario {
        let mut chance = Rng::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        let pick = |chance: &mut Rng, of: &[&str]| of[chance.index(of.len())].to_string();
        let zones = 1 + chance.index(3);
        let (workers, edges, cores) = (
            3 + chance.index(14),
            1 + chance.index(5),
            1 + chance.index(6),
        );
        let work_ms = 10 + chance.index(60);
        let load = 0.2 + chance.next_f64();
        let rate =
            ((workers * cores) as f64 * 1000.0 / work_ms as f64 * load).clamp(20.0, 900.0) as usize;
        let names: Vec<String> = ["a", "b", "c"]
            .iter()
            .take(zones)
            .map(|z| format!("{z:?}"))
            .collect();
        let tls = chance.random_bool(0.15);
        let (share, once) = (chance.next_f64(), chance.next_f64());
        let mut sections = vec![
            format!("(deployment (zones {}))", names.join(" ")),
            "(workload \"re\" (start-target 1s) (time-limit 3s) (effect restartable))".into(),
            format!(
                "(workload \"fi\" (start-target 800ms) (time-limit 2500ms) (effect fingerprinted) (group {}) \
                 (repeat-window 2s))",
                pick(&mut chance, &["zone", "all", "cell"])
            ),
            "(workload \"on\" (start-target 1s) (time-limit 2s) (effect run-once))".into(),
            format!("(function \"re-*\" (workload \"re\") (memory 200MB) (lanes {}))", 1 + chance.index(4)),
            "(function \"fi-*\" (workload \"fi\") (memory 150MB) (lanes 2))".into(),
            "(function \"on-*\" (workload \"on\") (memory 300MB) (lanes 1))".into(),
            format!("(copies (on-miss {}) (keep-alive {}s))", pick(&mut chance, &["load", "miss"]), 2 + chance.index(8)),
            format!(
                "(rules (cold-from {}%) (cold {}s) (drain-grace 2s))",
                10 + chance.index(50),
                2 + chance.index(8)
            ),
            format!("(fleet (workers {workers}) (edges {edges}) (cores {cores}) (memory {}GB))", 1 + chance.index(5)),
            format!("(list-service (notice-least 200ms) (notice-most {}ms) (silent-after 2s))", 400 + chance.index(1500)),
            format!(
                "(traffic (length 10s) (rate {rate}) (functions {}) (retries {}) (retry-wait 100ms) (heeds {}%))",
                1 + chance.index(40),
                chance.index(4),
                chance.index(101)
            ),
            format!("(calls \"re\" (share {:.2}) (work {work_ms}ms))", 0.1 + 0.8 * share),
            format!("(calls \"fi\" (share {:.2}) (work {work_ms}ms))", (0.9 - 0.8 * share) * once),
            format!("(calls \"on\" (share {:.2}) (work {work_ms}ms))", (0.9 - 0.8 * share) * (1.0 - once)),
        ];
        if chance.random_bool(0.4) {
            sections.push("(customer \"one\" (share 60%)) (customer \"two\" (share 30%))".into());
        }
        if chance.random_bool(0.3) {
            sections.push("(sharing (shares yes))".into());
        }
        if tls {
            sections.push("(tls (workers verified) (roots-file \"roots.pem\"))".into());
        }
        let fits = |kind: &&&str| !LEFT_OUT.contains(kind) && (tls || !OF_TLS.contains(kind));
        let fit: Vec<&str> = kinds().iter().filter(fits).copied().collect();
        let faults = (0..1 + chance.index(7))
            .map(|_| Self::fault(&mut chance, &fit, zones))
            .collect();
        RandomScenario {
            seed,
            sections,
            faults,
        }
    }
    fn fault(chance: &mut Rng, fit: &[&str], zones: usize) -> String {
        let kind = fit[chance.index(fit.len())];
        let (at, length) = (chance.index(8000), 200 + chance.index(4000));
        let mut out = format!("(trouble {kind:?} (at {at}ms) (length {length}ms)");
        let zone = ["a", "b", "c"][chance.index(zones)];
        if kind == "zone-loss" || chance.random_bool(0.2) {
            let _ = write!(out, " (zone {zone:?})");
        }
        match chance.index(3) {
            0 => drop(write!(out, " (count {})", 1 + chance.index(3))),
            1 => drop(write!(out, " (part {}%)", 10 + chance.index(60))),
            _ => {}
        }
        if kind == "link" {
            let to = ["workers", "workers", "list"][chance.index(3)];
            let fault = ["silent-to", "silent-from", "unanswered", "refused"][chance.index(4)];
            let _ = write!(out, " (to {to}) (fault {fault})");
        }
        if let Some((_, least, most)) = NEEDS_SIZE.iter().find(|(of, ..)| *of == kind) {
            let _ = write!(
                out,
                " (size {:.2})",
                least + (most - least) * chance.next_f64()
            );
        }
        out + ")"
    }
    pub fn text(&self) -> String {
        self.sections
            .iter()
            .chain(&self.faults)
            .fold(String::new(), |text, line| text + line + "\n")
    }
    /// Plays it.
    ///
    /// # Errors
    /// It is no scenario, or can't be set up.
    pub fn play(&self) -> Result<Outcome, String> {
        let scenario = Scenario::read("day", &self.text(), self.seed).map_err(|e| e.to_string())?;
        play_virtually(scenario, product_edge()).map_err(|e| e.to_string())
    }
    /// Which rules it breaks; nought stands for an account that does not add up.
    pub fn violations(&self) -> Result<(BTreeSet<u8>, Vec<String>), String> {
        let outcome = self.play()?;
        let mut rules: BTreeSet<u8> = outcome.verdict.violations.iter().map(|b| b.rule).collect();
        let mut told: Vec<String> = outcome
            .verdict
            .violations
            .iter()
            .take(3)
            .map(ToString::to_string)
            .collect();
        if rules.is_empty() && !outcome.is_good() {
            rules.insert(0);
            told.push("jobs taken and jobs answered do not add up".into());
        }
        Ok((rules, told))
    }
    /// The smallest day that still breaks one of the same rules, by taking out what it does not need.
    ///
    /// # Errors
    /// It can't be played.
    pub fn shrink(self) -> Result<Finding, String> {
        self.shrink_with(RandomScenario::violations)
    }
    /// The same with another judge.
    ///
    /// # Errors
    /// The judge can't judge the whole day.
    pub fn shrink_with(
        mut self,
        breaks: impl Fn(&RandomScenario) -> Result<(BTreeSet<u8>, Vec<String>), String>,
    ) -> Result<Finding, String> {
        let (rules, mut broken) = breaks(&self)?;
        let mut runs = 1;
        let mut gone_on = true;
        while gone_on {
            gone_on = false;
            let (sections, faults) = (self.sections.len(), self.faults.len());
            for n in (0..sections + faults).rev() {
                let mut less = self.clone();
                match n.checked_sub(sections) {
                    Some(n) => drop(less.faults.remove(n)),
                    None => drop(less.sections.remove(n)),
                }
                runs += 1;
                // What is no scenario any more is not smaller.
                let Ok((still, told)) = breaks(&less) else {
                    continue;
                };
                if still.intersection(&rules).next().is_some() {
                    (self, broken, gone_on) = (less, told, true);
                    break;
                }
            }
        }
        Ok(Finding {
            scenario: self,
            violations: broken,
            runs,
        })
    }
}

impl Finding {
    /// As a scenario file, with what it breaks in front.
    pub fn text(&self) -> String {
        let broken: String = self.violations.iter().map(|b| format!("; {b}\n")).collect();
        format!(
            "; Found by a hunt; play it with seed {}. It breaks:\n{broken}\n{}",
            self.scenario.seed,
            self.scenario.text()
        )
    }
}
