//! Which function a call names: what it needs and which workload it belongs to.

use sanddrum::{FunctionId, Micros, WorkloadId};
use sanddrum_settings::LoadedSettings;
use sanddrum_wire::stable_id;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub(crate) struct Function {
    /// `workload/function`, as workers know it.
    pub name: String,
    pub workload: WorkloadId,
    pub memory_mb: f64,
    pub concurrency: u32,
    pub load: Option<Micros>,
    /// When a job last named it.
    pub last: Micros,
}

/// What is set for functions whose name fits.
struct Pattern {
    name: String,
    any_end: bool,
    workload: String,
    memory_mb: f64,
    concurrency: u32,
    load: Option<Micros>,
}

#[derive(Default)]
pub(crate) struct Functions {
    /// The longest first.
    patterns: Vec<Pattern>,
    pub workloads: Vec<String>,
    /// Workloads whose jobs may run once only.
    run_once: Vec<bool>,
    known: BTreeMap<FunctionId, Function>,
    /// How long one that no job names is known, and when to look for such.
    retention: Micros,
    look: Micros,
}

/// A function that only its jobs tell of is known for so many keep-alives after the last one.
const KEEP_ALIVES_RETAINED: Micros = 8;

/// Why a call names nothing that can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FunctionLookupError {
    Workload,
    Function,
    /// The bound on known functions is reached.
    TooMany,
}

impl Functions {
    pub fn from_settings(settings: &LoadedSettings) -> Self {
        let mut patterns: Vec<Pattern> = (0..settings.count("functions"))
            .map(|n| {
                let at = |key: &str| format!("functions.{n}.{key}");
                let name = settings.text(&at("name"));
                Pattern {
                    name: name.trim_end_matches('*').to_string(),
                    any_end: name.ends_with('*'),
                    workload: settings.text(&at("workload")).to_string(),
                    memory_mb: settings.number(&at("memory-mb")),
                    concurrency: settings.number(&at("lanes")) as u32,
                    load: settings
                        .contains(&at("load-us"))
                        .then(|| settings.duration_us(&at("load-us"))),
                }
            })
            .collect();
        patterns.sort_by_key(|p| (p.any_end, std::cmp::Reverse(p.name.len())));
        // The module forgets one well before, so that none of its decisions names one that is unknown here.
        let retention = KEEP_ALIVES_RETAINED * settings.duration_us("copies.keep-alive-us");
        let workloads = settings.names("workloads");
        let effect = |n: usize| settings.text(&format!("workloads.{n}.effect"));
        let run_once = (0..workloads.len())
            .map(|n| effect(n) == "run-once")
            .collect();
        Functions {
            patterns,
            workloads,
            run_once,
            known: BTreeMap::new(),
            retention,
            look: 0,
        }
    }
    /// Whether jobs of a workload may run once only; so may those of one that is not set.
    pub fn runs_once_only(&self, workload: WorkloadId) -> bool {
        self.run_once.get(workload.0).copied().unwrap_or(true)
    }
    /// A function that its jobs tell of; none where the bound on known functions is reached.
    pub fn observe(
        &mut self,
        now: Micros,
        name: &str,
        workload: WorkloadId,
        (memory_mb, concurrency, load): (f64, u32, Option<Micros>),
        most: usize,
    ) -> Option<FunctionId> {
        if now >= self.look {
            self.look = now + self.retention / KEEP_ALIVES_RETAINED;
            let retention = self.retention;
            self.known
                .retain(|_, function| now < function.last + retention);
        }
        let id = FunctionId(stable_id(name));
        if !self.known.contains_key(&id) && self.known.len() >= most {
            return None;
        }
        let known = self.known.entry(id).or_insert_with(|| {
            let name = name.to_string();
            Function {
                name,
                workload,
                memory_mb,
                concurrency,
                load,
                last: now,
            }
        });
        (known.memory_mb, known.concurrency, known.load, known.last) =
            (memory_mb, concurrency, load, now);
        Some(id)
    }
    pub fn count(&self) -> usize {
        self.known.len()
    }
    pub fn get(&self, id: FunctionId) -> Option<&Function> {
        self.known.get(&id)
    }
    pub fn find(
        &mut self,
        workload: &str,
        function: &str,
        most: usize,
    ) -> Result<(FunctionId, &Function), FunctionLookupError> {
        let name = format!("{workload}/{function}");
        let id = FunctionId(stable_id(&name));
        if !self.known.contains_key(&id) {
            let n = self
                .workloads
                .iter()
                .position(|w| w == workload)
                .ok_or(FunctionLookupError::Workload)?;
            let fits = |p: &&Pattern| {
                let named = if p.any_end {
                    function.starts_with(&p.name)
                } else {
                    function == p.name
                };
                named && p.workload == workload
            };
            let pattern = self
                .patterns
                .iter()
                .find(fits)
                .ok_or(FunctionLookupError::Function)?;
            if self.known.len() >= most {
                return Err(FunctionLookupError::TooMany);
            }
            let (memory_mb, concurrency, load) =
                (pattern.memory_mb, pattern.concurrency, pattern.load);
            self.known.insert(
                id,
                Function {
                    name,
                    workload: WorkloadId(n),
                    memory_mb,
                    concurrency,
                    load,
                    last: 0,
                },
            );
        }
        self.known
            .get(&id)
            .map(|f| (id, f))
            .ok_or(FunctionLookupError::Function)
    }
}
