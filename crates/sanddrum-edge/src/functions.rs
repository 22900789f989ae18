//! The functions that calls name: what each needs and which workload it belongs to.

use sanddrum::{FunctionId, Micros, WorkloadId};
use sanddrum_settings::LoadedSettings;
use sanddrum_wire::stable_id;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use thiserror::Error;

/// A function that only calls describe is remembered for so many keep-alives after the last one.
const KEEP_ALIVES_RETAINED: Micros = 8;

/// What an instance of a function needs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FunctionSpec {
    /// Memory of one instance, in megabytes.
    pub memory_mb: f64,
    /// Requests that one instance serves at a time.
    pub concurrency: u32,
    /// How long a load takes, where that is known.
    pub load_time: Option<Micros>,
}

/// A function that a call has named.
#[derive(Clone, Debug)]
pub(crate) struct Function {
    /// `workload/function`, as workers know it.
    pub name: String,
    /// The workload that it belongs to.
    pub workload: WorkloadId,
    /// What an instance needs.
    pub spec: FunctionSpec,
    /// When a call last described it.
    last_used: Micros,
}

/// The settings of all functions whose name matches.
struct Pattern {
    /// The name, or its prefix.
    name: String,
    is_prefix: bool,
    workload: String,
    spec: FunctionSpec,
}

impl Pattern {
    fn read(settings: &LoadedSettings, index: usize) -> Self {
        let key = |name: &str| format!("functions.{index}.{name}");
        let name = settings.text(&key("name"));
        let load_time = key("load-us");
        Pattern {
            name: name.trim_end_matches('*').to_string(),
            is_prefix: name.ends_with('*'),
            workload: settings.text(&key("workload")).to_string(),
            spec: FunctionSpec {
                memory_mb: settings.number(&key("memory-mb")),
                concurrency: settings.number(&key("lanes")) as u32,
                load_time: settings
                    .contains(&load_time)
                    .then(|| settings.duration_us(&load_time)),
            },
        }
    }

    fn matches(&self, workload: &str, function: &str) -> bool {
        let is_named = if self.is_prefix {
            function.starts_with(&self.name)
        } else {
            function == self.name
        };
        is_named && self.workload == workload
    }
}

/// A workload as set.
struct Workload {
    name: String,
    /// Its requests may run only once.
    runs_once: bool,
    /// The longest time that a client may wait.
    time_limit: Micros,
}

/// Why a call names nothing that can run.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum FunctionLookupError {
    /// No workload of this name is set.
    #[error("no such workload is set")]
    UnknownWorkload,
    /// No function of the workload matches the name.
    #[error("no such function is set for the workload")]
    UnknownFunction,
    /// The bound on remembered functions is reached.
    #[error("as many functions are remembered as may be")]
    TooManyFunctions,
}

/// The workloads as set, and the functions that calls have named.
#[derive(Default)]
pub(crate) struct Functions {
    /// Exact names first, then the longest prefix first.
    patterns: Vec<Pattern>,
    workloads: Vec<Workload>,
    known: BTreeMap<FunctionId, Function>,
    /// How long a function that no call names is remembered.
    retention: Micros,
    next_sweep: Micros,
}

impl Functions {
    /// The workloads and functions as set.
    pub fn from_settings(settings: &LoadedSettings) -> Self {
        let mut patterns: Vec<Pattern> = (0..settings.count("functions"))
            .map(|index| Pattern::read(settings, index))
            .collect();
        patterns.sort_by_key(|pattern| (pattern.is_prefix, Reverse(pattern.name.len())));
        let workload = |(index, name): (usize, String)| Workload {
            name,
            runs_once: settings.text(&format!("workloads.{index}.effect")) == "run-once",
            time_limit: settings.duration_us(&format!("workloads.{index}.time-limit-us")),
        };
        let names = settings.names("workloads").into_iter().enumerate();
        Functions {
            patterns,
            workloads: names.map(workload).collect(),
            known: BTreeMap::new(),
            // The decision module forgets a function well before, so that it never names one that is unknown here.
            retention: KEEP_ALIVES_RETAINED * settings.duration_us("copies.keep-alive-us"),
            next_sweep: 0,
        }
    }

    /// The workload of this name.
    pub fn workload(&self, name: &str) -> Option<WorkloadId> {
        let is_named = |workload: &Workload| workload.name == name;
        self.workloads.iter().position(is_named).map(WorkloadId)
    }

    /// The name of a workload; empty where it is not set.
    pub fn workload_name(&self, workload: WorkloadId) -> &str {
        self.workloads
            .get(workload.0)
            .map_or("", |workload| workload.name.as_str())
    }

    /// The longest time that a client of a workload may wait.
    pub fn time_limit(&self, workload: WorkloadId) -> Micros {
        self.workloads
            .get(workload.0)
            .map_or(0, |workload| workload.time_limit)
    }

    /// Whether requests of a workload may run only once; so may those of one that is not set.
    pub fn runs_once(&self, workload: WorkloadId) -> bool {
        self.workloads
            .get(workload.0)
            .is_none_or(|workload| workload.runs_once)
    }

    /// The number of functions that are remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// A function that is remembered.
    pub fn get(&self, id: FunctionId) -> Option<&Function> {
        self.known.get(&id)
    }

    /// Remembers a function as a call describes it; none where `max_functions` are remembered already.
    pub fn observe(
        &mut self,
        now: Micros,
        name: &str,
        workload: WorkloadId,
        spec: FunctionSpec,
        max_functions: usize,
    ) -> Option<FunctionId> {
        self.sweep(now);
        let id = FunctionId(stable_id(name));
        if !self.known.contains_key(&id) && self.known.len() >= max_functions {
            return None;
        }
        let function = self.known.entry(id).or_insert_with(|| Function {
            name: name.to_string(),
            workload,
            spec,
            last_used: now,
        });
        function.spec = spec;
        function.last_used = now;
        Some(id)
    }

    /// Forgets functions that no call has named for the retention, now and then.
    fn sweep(&mut self, now: Micros) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + self.retention / KEEP_ALIVES_RETAINED;
        let retention = self.retention;
        self.known
            .retain(|_, function| now < function.last_used + retention);
    }

    /// The function that a call names, by the settings.
    ///
    /// # Errors
    /// The workload or the function is not set, or `max_functions` are remembered already.
    pub fn find(
        &mut self,
        workload: &str,
        function: &str,
        max_functions: usize,
    ) -> Result<(FunctionId, &Function), FunctionLookupError> {
        let name = format!("{workload}/{function}");
        let id = FunctionId(stable_id(&name));
        if !self.known.contains_key(&id) {
            let found = self.configured(name, workload, function)?;
            if self.known.len() >= max_functions {
                return Err(FunctionLookupError::TooManyFunctions);
            }
            self.known.insert(id, found);
        }
        self.known
            .get(&id)
            .map(|function| (id, function))
            .ok_or(FunctionLookupError::UnknownFunction)
    }

    fn configured(
        &self,
        name: String,
        workload: &str,
        function: &str,
    ) -> Result<Function, FunctionLookupError> {
        let workload_id = self
            .workload(workload)
            .ok_or(FunctionLookupError::UnknownWorkload)?;
        let pattern = self
            .patterns
            .iter()
            .find(|pattern| pattern.matches(workload, function))
            .ok_or(FunctionLookupError::UnknownFunction)?;
        Ok(Function {
            name,
            workload: workload_id,
            spec: pattern.spec,
            last_used: 0,
        })
    }
}
