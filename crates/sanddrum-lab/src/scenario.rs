//! A scenario: a deployment, a fleet of stand-ins, traffic and troubles.

use crate::relay::Fault;
use crate::schema::{kinds, SCENARIO};
use sanddrum_emulator::{DiscoverySpec, MachineConfig, OnMiss, StoreSpec, WorkerSpec};
use sanddrum_net::{Micros, Rng};
use sanddrum_settings::{LoadedSettings, SettingsError};
use sanddrum_wire::{EndpointRecord, Phase};

#[derive(Clone, Debug)]
pub struct WorkloadTraffic {
    pub workload: String,
    pub share: f64,
    pub mean_work: Micros,
    pub hints: bool,
    /// Hints are the work itself, for an oracle.
    pub exact_hints: bool,
    pub start_target: Micros,
    pub time_limit: Micros,
    pub importance: f64,
    pub effect: String,
    pub group: String,
    pub repeat_window: Micros,
    /// The functions' common beginning, as set for this workload.
    pub function_prefix: String,
}

#[derive(Clone, Debug)]
pub struct ScriptedFault {
    pub kind: String,
    pub at: Micros,
    pub duration: Micros,
    pub fraction: Option<f64>,
    pub count: Option<usize>,
    pub zone: Option<String>,
    pub size: f64,
    /// A link's two sides, the zone that its other side is in, and what is wrong with it.
    pub link: (String, String),
    pub to_zone: Option<String>,
    pub link_fault: Fault,
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub settings: LoadedSettings,
    pub text: String,
    pub seed: u64,
    pub zones: Vec<String>,
    pub workers: usize,
    pub edges: usize,
    pub length: Micros,
    pub calls: Vec<WorkloadTraffic>,
    pub faults: Vec<ScriptedFault>,
}

fn link_fault(name: &str, size: f64) -> Fault {
    match name {
        "delay" => Fault::Delay((size * 1e6) as Micros),
        "silent-to" => Fault::SilentTo,
        "unanswered" => Fault::Unanswered,
        "refused" => Fault::Refused,
        "slow" => Fault::Slow(size),
        _ => Fault::SilentFrom,
    }
}

/// What a scenario tells each edge for itself, and what to give in its place.
const EACH_EDGES: &[(&str, &str)] = &[
    ("edge.name", "edges are named by their number"),
    ("edge.listen", "the lab chooses where edges listen"),
    ("edge.list", "the lab chooses where the list service is"),
    (
        "edge.zone",
        "edges are spread over the zones that the file names",
    ),
    ("edge.edges", "give fleet.edges, or fleet.edges-told"),
    ("edge.number", "edges are counted from 0 on"),
    (
        "edge.state-file",
        "the lab chooses where edges keep their state",
    ),
];

/// Gives settings over those of the file, each as `fleet.edges=1000`; `by` says whose they are.
fn give_over(l: &mut LoadedSettings, set: &[String], by: &str) -> Result<(), SettingsError> {
    for set in set {
        let refused =
            |what: String, remedy: &str| SettingsError::new(by, format!("{set}: {what}"), remedy);
        let Some((name, value)) = set.split_once('=') else {
            return Err(refused("it has no =".into(), "as fleet.edges=1000"));
        };
        if let Some((_, remedy)) = EACH_EDGES.iter().find(|(own, _)| *own == name) {
            return Err(refused(
                format!("{name} is told to each edge by the lab"),
                remedy,
            ));
        }
        l.override_value(name, value, by)
            .map_err(|problem| refused(problem.message, &problem.remedy))?;
    }
    Ok(())
}

impl Scenario {
    /// Reads a scenario from a text.
    ///
    /// # Errors
    /// What is wrong with it, and where.
    pub fn read(file: &str, text: &str, seed: u64) -> Result<Self, SettingsError> {
        Self::read_with(file, text, seed, &[], "")
    }
    /// The same with settings over its own, each as `fleet.edges=1000`; `by` says whose they are, for a problem. All that
    /// the scenario says is taken after them.
    ///
    /// # Errors
    /// What is wrong with it, and where; a setting that is none, or that would change nothing, by its name.
    pub fn read_with(
        file: &str,
        text: &str,
        seed: u64,
        set: &[String],
        by: &str,
    ) -> Result<Self, SettingsError> {
        let mut l = sanddrum_settings::read_with(file, text, SCENARIO)?;
        if !set.is_empty() {
            give_over(&mut l, set, by)?;
            sanddrum_settings::check(&l)?;
        }
        let problem = |what: String, remedy: &str| SettingsError::new(file, what, remedy);
        let workloads = l.names("workloads");
        let mut calls = Vec::new();
        for n in 0..l.count("calls") {
            let name = l.text(&format!("calls.{n}.name")).to_string();
            let Some(w) = workloads.iter().position(|w| *w == name) else {
                return Err(problem(
                    format!("calls of {name:?}, which is no workload"),
                    "name one that is set",
                ));
            };
            let at = |key: &str| format!("calls.{n}.{key}");
            let of = |key: &str| format!("workloads.{w}.{key}");
            let function = (0..l.count("functions"))
                .find(|f| l.text(&format!("functions.{f}.workload")) == name);
            let Some(function) = function else {
                return Err(problem(
                    format!("no function is set for {name:?}"),
                    "add (function \"a-*\" (workload ...))",
                ));
            };
            calls.push(WorkloadTraffic {
                share: l.number(&at("share")),
                mean_work: l.duration_us(&at("work-us")),
                hints: l.flag(&at("hints")),
                exact_hints: false,
                start_target: l.duration_us(&of("start-target-us")),
                time_limit: l.duration_us(&of("time-limit-us")),
                importance: l.number(&of("importance")),
                effect: l.text(&of("effect")).to_string(),
                group: l.text(&of("group")).to_string(),
                repeat_window: l.duration_us(&of("repeat-window-us")),
                function_prefix: l
                    .text(&format!("functions.{function}.name"))
                    .trim_end_matches('*')
                    .to_string(),
                workload: name,
            });
        }
        if calls.is_empty() {
            return Err(problem(
                "nothing is called".into(),
                "add (calls \"a-workload\" (share 1) (work 30ms))",
            ));
        }
        let mut faults = Vec::new();
        for n in 0..l.count("troubles") {
            let at = |key: &str| format!("troubles.{n}.{key}");
            let kind = l.text(&at("name")).to_string();
            if !kinds().contains(&kind.as_str()) {
                let remedy = format!("known are {}", kinds().join(", "));
                return Err(problem(format!("{kind:?} is no kind of trouble"), &remedy));
            }
            let zone = l
                .contains(&at("zone"))
                .then(|| l.text(&at("zone")).to_string());
            if zone.as_ref().is_some_and(|z| !l.names("zones").contains(z))
                || (kind == "zone-loss" && zone.is_none())
            {
                return Err(problem(
                    format!("{kind}: a zone is wanted that is set"),
                    "add (zone \"...\")",
                ));
            }
            faults.push(ScriptedFault {
                at: l.duration_us(&at("at-us")),
                duration: l.duration_us(&at("length-us")),
                fraction: l.contains(&at("part")).then(|| l.number(&at("part"))),
                count: l.contains(&at("count")).then(|| l.integer(&at("count"))),
                link: (
                    l.text(&at("from")).to_string(),
                    l.text(&at("to")).to_string(),
                ),
                to_zone: l
                    .contains(&at("to-zone"))
                    .then(|| l.text(&at("to-zone")).to_string()),
                link_fault: link_fault(l.text(&at("fault")), l.number(&at("size"))),
                size: l.number(&at("size")),
                kind,
                zone,
            });
        }
        Ok(Scenario {
            seed,
            zones: l.names("zones"),
            workers: l.integer("fleet.workers"),
            edges: l.integer("fleet.edges"),
            length: l.duration_us("traffic.length-us"),
            calls,
            faults,
            text: text.to_string(),
            settings: l,
        })
    }
    /// How many edges there are as edges are told, which may be wrong.
    pub fn configured_edges(&self) -> usize {
        ((self.edges as f64 * self.settings.number("fleet.edges-told")).round() as usize).max(1)
    }
    pub fn zone_of(&self, n: usize) -> usize {
        n % self.zones.len().max(1)
    }
    pub fn grace(&self) -> Micros {
        self.settings.duration_us("rules.drain-grace-us")
    }
    pub fn worker_name(n: usize) -> String {
        format!("worker-{n}")
    }
    pub fn edge_name(n: usize) -> String {
        format!("edge-{n}")
    }
    /// A worker as it stands in the fleet, at these addresses.
    pub fn worker(&self, n: usize, address: &str, list: &str, store: &str) -> WorkerSpec {
        let l = &self.settings;
        let slow = Rng::new(self.seed ^ (n as u64 + 1).wrapping_mul(0x9e37_79b9))
            .random_bool(l.number("fleet.slow-part"));
        WorkerSpec {
            name: Self::worker_name(n),
            address: address.into(),
            zone: self.zones[self.zone_of(n)].clone(),
            cell: (n / l.integer("fleet.cell-size").max(1)) as u32,
            kind: u32::from(slow),
            machine: MachineConfig {
                cores: l.integer("fleet.cores"),
                speed: l.number(if slow {
                    "fleet.slow-speed"
                } else {
                    "fleet.speed"
                }),
                queue_limit: l.integer("fleet.queue"),
                memory_mb: l.number("fleet.memory-mb"),
                concurrent_loads: l.integer("fleet.loads-at-once"),
                keep_alive: l.duration_us("copies.keep-alive-us"),
                on_miss: if l.text("copies.on-miss") == "miss" {
                    OnMiss::Miss
                } else {
                    OnMiss::Load
                },
                start_us_per_mb: l.number("fleet.start-per-mb-us"),
                initial_capacity: l.number("rules.cold-from"),
                warm_up: l.duration_us("rules.cold-us"),
                collapse_multiple: l.number("rules.fall-multiple"),
                collapse_window: l.duration_us("rules.fall-us"),
            },
            reports_function_in_flight: l.flag("fleet.tells-crowd"),
            report_interval: l.duration_us("fleet.report-every-us"),
            discovery_address: list.into(),
            store_address: store.into(),
            heartbeat_interval: l.duration_us("fleet.beat-every-us").max(1000),
        }
    }
    pub fn store(&self) -> StoreSpec {
        let l = &self.settings;
        StoreSpec {
            full_speed_fetches: l.integer("store.at-once"),
            max_fetches: l.integer("store.most"),
            us_per_mb: l.number("store.per-mb-us"),
        }
    }
    pub fn list(&self) -> DiscoverySpec {
        let l = &self.settings;
        DiscoverySpec {
            min_publish_delay: l.duration_us("list-service.notice-least-us"),
            max_publish_delay: l.duration_us("list-service.notice-most-us"),
            heartbeat_timeout: l.duration_us("list-service.silent-after-us"),
            change_history: l.integer("list-service.changes-kept"),
            snapshot_cost: l.duration_us("list-service.whole-us"),
            delta_cost: l.duration_us("list-service.change-us"),
            max_pending_calls: l.integer("list-service.calls"),
        }
    }
    /// The workers at these addresses, as the list service knows them from the start.
    pub fn endpoint_records(&self, addresses: &[String]) -> Vec<EndpointRecord> {
        let row = |(n, address): (usize, &String)| {
            let spec = self.worker(n, address, "", "");
            EndpointRecord {
                size: spec.size(),
                phase: Phase::Ready,
                incarnation: 1,
                age_us: -1,
                name: spec.name,
                address: spec.address,
                zone: spec.zone,
                cell: spec.cell,
                kind: spec.kind,
            }
        };
        addresses.iter().enumerate().map(row).collect()
    }
    /// An edge's settings, at these addresses.
    ///
    /// # Errors
    /// An address is none.
    pub fn edge(
        &self,
        n: usize,
        listen: &str,
        list: &str,
    ) -> Result<LoadedSettings, SettingsError> {
        let mut l = self.settings.clone();
        for (name, value) in [
            ("edge.name", Self::edge_name(n)),
            ("edge.listen", listen.to_string()),
            ("edge.list", list.to_string()),
            ("edge.zone", self.zones[self.zone_of(n)].clone()),
            ("edge.edges", self.configured_edges().to_string()),
            ("edge.number", n.to_string()),
        ] {
            l.override_value(name, &value, "scenario")?;
        }
        Ok(l)
    }
}
