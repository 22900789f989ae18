//! Capacity plans: the expected deployment and the sizes at which each benchmark measures.

use super::{model, BENCHMARKS};
use sanddrum_settings::{key, LoadedSettings, Occurrence, Section, SettingsError, ValueType};
use std::path::PathBuf;

/// The sizes that the operators expect; takes 12 to 20 minutes.
pub const DEFAULT_PLAN: &str = include_str!("../../scenarios/capacity.sx");
/// The benchmarks of [`DEFAULT_PLAN`] at sizes that take seconds.
pub const SHORT_PLAN: &str = include_str!("../../scenarios/capacity-short.sx");

const DEPLOYMENT: Section = Section {
    name: "capacity",
    prefix: "capacity",
    occurrence: Occurrence::Once,
    description: "the deployment that the operators expect",
    keys: &[
        key(
            "routers",
            ValueType::Integer(1.0, 1e6),
            Some("4200"),
            "number of routers in all zones",
        ),
        key(
            "workers",
            ValueType::Integer(1.0, 1e6),
            Some("10000"),
            "number of workers in all zones",
        ),
        key(
            "functions",
            ValueType::Integer(1.0, 1e8),
            Some("200000"),
            "number of functions that are called at all",
        ),
        key(
            "calls",
            ValueType::Number(0.1, 1e9),
            Some("670000"),
            "requests a second at all routers together",
        ),
        key(
            "changes",
            ValueType::Number(0.0, 1e9),
            Some("12000"),
            "configuration changes a day",
        ),
        key(
            "failed",
            ValueType::Number(0.0, 1e6),
            Some("23"),
            "workers that fail a day",
        ),
        key(
            "replaced",
            ValueType::Number(0.0, 1e6),
            Some("340"),
            "workers restarted or replaced a day",
        ),
        key(
            "zones",
            ValueType::Integer(1.0, 1e4),
            Some("19"),
            "number of zones in all regions",
        ),
        key(
            "regions",
            ValueType::Integer(1.0, 1e3),
            Some("5"),
            "number of regions, which may lose contact with each other",
        ),
        key(
            "start-within",
            ValueType::Duration,
            Some("1800ms"),
            "the time within which nearly all cold starts complete",
        ),
        key(
            "start-part",
            ValueType::Number(0.0, 1.0),
            Some("99%"),
            "the fraction of cold starts that counts as nearly all",
        ),
        key(
            "in-force-within",
            ValueType::Duration,
            Some("15s"),
            "the time within which a configuration change applies everywhere",
        ),
        key(
            "time-a-point",
            ValueType::Duration,
            Some("60s"),
            "real time after which a point is reported as not finished",
        ),
    ],
};

/// The machine's memory, and how much of it a benchmark may use.
#[derive(Clone, Copy, Debug)]
pub struct Memory {
    /// The machine's memory in bytes.
    pub total: u64,
}

impl Memory {
    /// Reads the size from `/proc/meminfo`.
    ///
    /// # Errors
    /// The file can't be read or doesn't contain the size.
    pub fn of_machine() -> Result<Self, String> {
        let file = "/proc/meminfo";
        let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
        let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
        let kilobytes: Option<u64> =
            line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse().ok());
        let total = kilobytes.ok_or_else(|| format!("{file}: no MemTotal"))? * 1024;
        Ok(Memory { total })
    }
    /// The memory that a benchmark may use, in bytes: half of the total.
    pub fn limit(self) -> u64 {
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
    /// The executable that runs an edge as a process of its own; measurements that need it are skipped without it.
    pub program: Option<PathBuf>,
}

impl Plan {
    /// Parses and validates a plan.
    ///
    /// # Errors
    /// The plan can't be parsed or can't be measured; the error names the key and its position.
    pub fn read(file: &str, text: &str, seed: u64, memory: Memory) -> Result<Self, SettingsError> {
        let sections: Vec<Section> = [DEPLOYMENT, model::SECTION]
            .into_iter()
            .chain(BENCHMARKS.iter().map(|benchmark| benchmark.section))
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
        BENCHMARKS
            .iter()
            .try_for_each(|benchmark| (benchmark.check)(&plan))?;
        Ok(plan)
    }
    /// Rejects sizes that need more than half of the machine's memory.
    ///
    /// # Errors
    /// `bytes` is above that limit; the error names `key`.
    pub fn check_memory(&self, key: &str, what: &str, bytes: u64) -> Result<(), SettingsError> {
        let limit = self.memory.limit();
        if bytes <= limit {
            return Ok(());
        }
        let mb = |bytes: u64| bytes / (1 << 20);
        let what = format!(
            "{key}: {what} need about {} MB, more than half of this machine's memory ({} MB)",
            mb(bytes),
            mb(limit)
        );
        Err(self.error(key, what, "set a smaller size"))
    }
    /// An error about a setting or a list of settings, with its position in the file.
    pub fn error(
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
    /// A list of sizes.
    ///
    /// # Errors
    /// The list is empty; the error names `key`.
    pub fn sizes(&self, key: &str) -> Result<Vec<u64>, SettingsError> {
        let sizes = self.settings.integers(key);
        if sizes.is_empty() {
            return Err(self.error(
                key,
                format!("{key}: no size is named"),
                "for example 10 100 1000",
            ));
        }
        Ok(sizes)
    }
}
