//! Which function a call names: what it needs and which workload it belongs to.

use sanddrum::{FunctionId, Micros, WorkloadId};
use sanddrum_settings::Loaded;
use sanddrum_wire::id_of;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub(crate) struct Function {
    /// `workload/function`, as workers know it.
    pub name: String,
    pub workload: WorkloadId,
    pub memory_mb: f64,
    pub lanes: u32,
    pub load: Option<Micros>,
}

/// What is set for functions whose name fits.
struct Pattern {
    name: String,
    any_end: bool,
    workload: String,
    memory_mb: f64,
    lanes: u32,
    load: Option<Micros>,
}

#[derive(Default)]
pub(crate) struct Functions {
    /// The longest first.
    patterns: Vec<Pattern>,
    pub workloads: Vec<String>,
    known: BTreeMap<FunctionId, Function>,
}

/// Why a call names nothing that can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unknown {
    Workload,
    Function,
    /// The bound on known functions is reached.
    TooMany,
}

impl Functions {
    pub fn of(l: &Loaded) -> Self {
        let mut patterns: Vec<Pattern> = (0..l.count("functions"))
            .map(|n| {
                let at = |key: &str| format!("functions.{n}.{key}");
                let name = l.text(&at("name"));
                Pattern {
                    name: name.trim_end_matches('*').to_string(),
                    any_end: name.ends_with('*'),
                    workload: l.text(&at("workload")).to_string(),
                    memory_mb: l.number(&at("memory-mb")),
                    lanes: l.number(&at("lanes")) as u32,
                    load: l.has(&at("load-us")).then(|| l.span(&at("load-us"))),
                }
            })
            .collect();
        patterns.sort_by_key(|p| (p.any_end, std::cmp::Reverse(p.name.len())));
        Functions { patterns, workloads: l.names("workloads"), known: BTreeMap::new() }
    }
    pub fn get(&self, id: FunctionId) -> Option<&Function> {
        self.known.get(&id)
    }
    pub fn find(
        &mut self,
        workload: &str,
        function: &str,
        most: usize,
    ) -> Result<(FunctionId, &Function), Unknown> {
        let name = format!("{workload}/{function}");
        let id = FunctionId(id_of(&name));
        if !self.known.contains_key(&id) {
            let n = self.workloads.iter().position(|w| w == workload).ok_or(Unknown::Workload)?;
            let fits = |p: &&Pattern| {
                let named = if p.any_end { function.starts_with(&p.name) } else { function == p.name };
                named && p.workload == workload
            };
            let pattern = self.patterns.iter().find(fits).ok_or(Unknown::Function)?;
            if self.known.len() >= most {
                return Err(Unknown::TooMany);
            }
            let (memory_mb, lanes, load) = (pattern.memory_mb, pattern.lanes, pattern.load);
            self.known.insert(id, Function { name, workload: WorkloadId(n), memory_mb, lanes, load });
        }
        self.known.get(&id).map(|f| (id, f)).ok_or(Unknown::Function)
    }
}
