//! Known functions: their resource needs and the workloads they belong to.

use crate::idempotency_key::KeyPolicy;
use sanddrum::{FunctionId, Micros, WorkloadId};
use sanddrum_settings::LoadedSettings;
use sanddrum_wire::stable_id;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Functions described only by requests are retained for this many keep-alive periods after the last such request.
const RETENTION_KEEP_ALIVES: Micros = 8;

/// Functions that requests have named and of which none was served are removed, those named longest ago first, when
/// there may be more than this many: clients can name any number of functions that no worker has.
const MAX_UNSERVED_FUNCTIONS: usize = 4_096;
/// The number of such functions that are retained then.
const RETAINED_UNSERVED_FUNCTIONS: usize = MAX_UNSERVED_FUNCTIONS / 2;

/// The resource needs of an instance of a function.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FunctionSpec {
    /// Memory of one instance, in megabytes.
    pub memory_mb: f64,
    /// Requests that one instance serves concurrently.
    pub concurrency: u32,
    /// How long a load takes, if known.
    pub load_time: Option<Micros>,
}

/// A known function.
#[derive(Clone, Debug)]
pub(crate) struct Function {
    /// The name sent to workers: `workload/function` over HTTP, 16 hex digits over FastCGI.
    pub name: String,
    /// The workload that it belongs to.
    pub workload: WorkloadId,
    /// The needs of an instance.
    pub spec: FunctionSpec,
    /// When a request last described it.
    last_used: Micros,
    /// Whether a request for it has finished or a load of it has succeeded.
    is_served: bool,
}

/// A function entry in the settings, which applies to all functions with a matching name.
struct Pattern {
    /// The exact name, or the prefix without the trailing `*`.
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

/// A workload in the settings.
struct Workload {
    name: String,
    /// Whether its requests may run only once.
    runs_once: bool,
    /// Whether its requests may run again in any case.
    is_restartable: bool,
    /// How workers recognize the idempotency keys of its requests, if these have one.
    key_policy: Option<KeyPolicy>,
    /// The maximum time limit of a request.
    time_limit: Micros,
}

/// Why the function that a request names was not found.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum FunctionLookupError {
    /// The settings have no workload of this name.
    #[error("unknown workload")]
    UnknownWorkload,
    /// No function of the workload matches the name.
    #[error("the workload has no function of this name")]
    UnknownFunction,
    /// The limit of known functions is reached.
    #[error("the limit of known functions is reached")]
    TooManyFunctions,
}

/// The workloads and functions of the settings, and the functions that requests have named.
#[derive(Default)]
pub(crate) struct Functions {
    /// Exact names first, then prefixes from the longest to the shortest.
    patterns: Vec<Pattern>,
    workloads: Vec<Workload>,
    known: BTreeMap<FunctionId, Function>,
    /// How long a function is retained after a request last described it.
    retention: Micros,
    next_sweep: Micros,
    /// The number of functions that were served or in use when unserved ones were last removed.
    other_functions: usize,
}

impl Functions {
    /// Reads the workloads and functions from the settings.
    pub fn from_settings(settings: &LoadedSettings) -> Self {
        let mut patterns: Vec<Pattern> = (0..settings.count("functions"))
            .map(|index| Pattern::read(settings, index))
            .collect();
        patterns.sort_by_key(|pattern| (pattern.is_prefix, Reverse(pattern.name.len())));
        let workload = |(index, name): (usize, String)| {
            let effect = settings.text(&format!("workloads.{index}.effect"));
            Workload {
                name,
                runs_once: effect == "run-once",
                is_restartable: effect == "restartable",
                key_policy: (effect == "fingerprinted")
                    .then(|| KeyPolicy::from_settings(settings, index)),
                time_limit: settings.duration_us(&format!("workloads.{index}.time-limit-us")),
            }
        };
        let names = settings.names("workloads").into_iter().enumerate();
        Functions {
            patterns,
            workloads: names.map(workload).collect(),
            known: BTreeMap::new(),
            // The decision module discards a function well before that, so it never names one that is unknown here.
            retention: RETENTION_KEEP_ALIVES * settings.duration_us("copies.keep-alive-us"),
            next_sweep: 0,
            other_functions: 0,
        }
    }

    /// Looks up a workload by name.
    pub fn workload(&self, name: &str) -> Option<WorkloadId> {
        let is_named = |workload: &Workload| workload.name == name;
        self.workloads.iter().position(is_named).map(WorkloadId)
    }

    /// The name of a workload; empty if the settings do not have it.
    pub fn workload_name(&self, workload: WorkloadId) -> &str {
        self.workloads
            .get(workload.0)
            .map_or("", |workload| workload.name.as_str())
    }

    /// The maximum time limit of a workload's requests; zero if the settings do not have the workload.
    pub fn time_limit(&self, workload: WorkloadId) -> Micros {
        self.workloads
            .get(workload.0)
            .map_or(0, |workload| workload.time_limit)
    }

    /// Whether requests of a workload may run only once. True for a workload that the settings do not have.
    pub fn runs_once(&self, workload: WorkloadId) -> bool {
        self.workloads
            .get(workload.0)
            .is_none_or(|workload| workload.runs_once)
    }

    /// Whether requests of a workload may run again in any case. False for a workload that the settings do not have.
    pub fn is_restartable(&self, workload: WorkloadId) -> bool {
        self.workloads
            .get(workload.0)
            .is_some_and(|workload| workload.is_restartable)
    }

    /// How workers recognize the idempotency keys of a workload's requests, if these have one.
    pub fn key_policy(&self, workload: WorkloadId) -> Option<KeyPolicy> {
        self.workloads.get(workload.0)?.key_policy
    }

    /// The number of known functions.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns a known function.
    pub fn get(&self, id: FunctionId) -> Option<&Function> {
        self.known.get(&id)
    }

    /// Adds or updates a function that a request describes. Returns `None` if it is new and `max_functions` are known.
    pub fn upsert(
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
            is_served: false,
        });
        function.spec = spec;
        function.last_used = now;
        Some(id)
    }

    /// Records that a request for a function has finished or that it was loaded.
    pub fn mark_served(&mut self, id: FunctionId) {
        if let Some(function) = self.known.get_mut(&id) {
            function.is_served = true;
        }
    }

    /// Whether unserved functions have to be removed, with [`remove_unserved`](Self::remove_unserved), before the next
    /// one is added.
    pub fn may_have_many_unserved(&self) -> bool {
        self.known.len() >= self.other_functions + MAX_UNSERVED_FUNCTIONS
    }

    /// Removes the functions that were never served and are not in use, but for those that were named last.
    pub fn remove_unserved(&mut self, in_use: &BTreeSet<FunctionId>) {
        let mut unserved: Vec<_> = self
            .known
            .iter()
            .filter(|(id, function)| !function.is_served && !in_use.contains(id))
            .map(|(id, function)| (function.last_used, *id))
            .collect();
        unserved.sort_unstable();
        let retained = unserved.len().min(RETAINED_UNSERVED_FUNCTIONS);
        unserved.truncate(unserved.len() - retained);
        for (_, id) in unserved {
            self.known.remove(&id);
        }
        self.other_functions = self.known.len() - retained;
    }

    /// Removes functions past their retention time. Runs at most once per keep-alive period.
    fn sweep(&mut self, now: Micros) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + self.retention / RETENTION_KEEP_ALIVES;
        let retention = self.retention;
        self.known
            .retain(|_, function| now < function.last_used + retention);
    }

    /// Finds a function by name, adding it from the settings at its first use.
    ///
    /// # Errors
    /// The settings have no such workload or function, or `max_functions` are known already.
    pub fn find(
        &mut self,
        workload: &str,
        function: &str,
        max_functions: usize,
    ) -> Result<(FunctionId, &Function), FunctionLookupError> {
        let name = format!("{workload}/{function}");
        let id = FunctionId(stable_id(&name));
        if !self.known.contains_key(&id) {
            let found = self.find_in_settings(name, workload, function)?;
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

    fn find_in_settings(
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
            is_served: false,
        })
    }
}
