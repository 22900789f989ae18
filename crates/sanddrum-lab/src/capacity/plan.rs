//! What is to be measured, at which sizes: a deployment, and what each play says beside it.

use super::{model, PLAYS};
use sanddrum_settings::{key, LoadedSettings, Occurrence, Section, SettingsError, ValueType};
use std::path::PathBuf;

/// The operators' sizes; a fifth to a third of an hour.
pub const DEFAULT_PLAN: &str = include_str!("../../scenarios/capacity.sx");
/// The same plays at sizes that take seconds.
pub const SHORT_PLAN: &str = include_str!("../../scenarios/capacity-short.sx");

const DEPLOYMENT: Section = Section {
    name: "capacity",
    prefix: "capacity",
    occurrence: Occurrence::Once,
    description: "what the operators expect to run",
    keys: &[
        key(
            "routers",
            ValueType::Integer(1.0, 1e6),
            Some("4200"),
            "of all zones together",
        ),
        key(
            "workers",
            ValueType::Integer(1.0, 1e6),
            Some("10000"),
            "of all zones together",
        ),
        key(
            "functions",
            ValueType::Integer(1.0, 1e8),
            Some("200000"),
            "that are called at all",
        ),
        key(
            "calls",
            ValueType::Number(0.1, 1e9),
            Some("670000"),
            "a second, at all routers together",
        ),
        key(
            "changes",
            ValueType::Number(0.0, 1e9),
            Some("12000"),
            "of the configuration a day",
        ),
        key(
            "failed",
            ValueType::Number(0.0, 1e6),
            Some("23"),
            "workers that fail on a day",
        ),
        key(
            "replaced",
            ValueType::Number(0.0, 1e6),
            Some("340"),
            "workers restarted or replaced on a day",
        ),
        key(
            "zones",
            ValueType::Integer(1.0, 1e4),
            Some("19"),
            "in all regions",
        ),
        key(
            "regions",
            ValueType::Integer(1.0, 1e3),
            Some("5"),
            "that may lose each other",
        ),
        key(
            "start-within",
            ValueType::Duration,
            Some("1800ms"),
            "a cold start takes no longer for nearly all",
        ),
        key(
            "start-part",
            ValueType::Number(0.0, 1.0),
            Some("99%"),
            "nearly all",
        ),
        key(
            "in-force-within",
            ValueType::Duration,
            Some("15s"),
            "a change of configuration is in force everywhere",
        ),
        key(
            "time-a-point",
            ValueType::Duration,
            Some("60s"),
            "real time after which a point counts as not finished",
        ),
    ],
};

/// The machine's memory, and how much of it a play may use.
#[derive(Clone, Copy, Debug)]
pub struct Memory {
    /// In bytes.
    pub total: u64,
}

impl Memory {
    /// As the kernel tells it.
    ///
    /// # Errors
    /// It doesn't.
    pub fn of_machine() -> Result<Self, String> {
        let file = "/proc/meminfo";
        let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
        let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
        let kilobytes: Option<u64> =
            line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse().ok());
        let total = kilobytes.ok_or_else(|| format!("{file}: no MemTotal"))? * 1024;
        Ok(Memory { total })
    }
    /// Half of it, in bytes.
    pub fn most(self) -> u64 {
        self.total / 2
    }
}

/// A plan that has been read and checked.
#[derive(Clone, Debug)]
pub struct Plan {
    pub settings: LoadedSettings,
    pub text: String,
    pub seed: u64,
    pub memory: Memory,
    /// The program that runs parts as processes; without it those plays are left out.
    pub program: Option<PathBuf>,
}

impl Plan {
    /// Reads a plan and checks it.
    ///
    /// # Errors
    /// What is wrong with it, and where: what can't be played is refused here, with its key.
    pub fn read(file: &str, text: &str, seed: u64, memory: Memory) -> Result<Self, SettingsError> {
        let sections: Vec<Section> = [DEPLOYMENT, model::SECTION]
            .into_iter()
            .chain(PLAYS.iter().map(|play| play.section))
            .collect();
        let settings = sanddrum_settings::read_with(file, text, &sections)?;
        let plan = Plan {
            settings,
            text: text.to_string(),
            seed,
            memory,
            program: None,
        };
        model::check(&plan)?;
        PLAYS.iter().try_for_each(|play| (play.check)(&plan))?;
        Ok(plan)
    }
    /// Refuses sizes that need more than half of the machine's memory.
    ///
    /// # Errors
    /// With this key.
    pub fn fits(&self, key: &str, what: &str, bytes: u64) -> Result<(), SettingsError> {
        let most = self.memory.most();
        if bytes <= most {
            return Ok(());
        }
        let mb = |bytes: u64| bytes / (1 << 20);
        let what = format!(
            "{key}: {what} need about {} MB, more than half of this machine's memory ({} MB)",
            mb(bytes),
            mb(most)
        );
        Err(self.problem(key, what, "set a smaller size"))
    }
    /// A problem that concerns a setting or a list, with its place in the file.
    pub fn problem(
        &self,
        key: &str,
        what: impl Into<String>,
        remedy: impl Into<String>,
    ) -> SettingsError {
        let counted = format!("{key}.count");
        let at = if self.settings.contains(&counted) {
            &counted
        } else {
            key
        };
        self.settings.error_at(at, what, remedy)
    }
    /// A list of sizes; an empty one is refused.
    ///
    /// # Errors
    /// With this key.
    pub fn sizes(&self, key: &str) -> Result<Vec<u64>, SettingsError> {
        let sizes = self.settings.integers(key);
        if sizes.is_empty() {
            return Err(self.problem(key, format!("{key}: no size is named"), "as 10 100 1000"));
        }
        Ok(sizes)
    }
}
