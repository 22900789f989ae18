//! A scenario: a deployment, an emulated fleet, its traffic and the scripted faults.

use crate::relay::Fault;
use crate::schema::{kinds, SCENARIO};
use sanddrum_emulator::{DiscoverySpec, MachineConfig, OnMiss, StoreSpec, WorkerSpec};
use sanddrum_net::{Micros, Rng};
use sanddrum_settings::{LoadedSettings, SettingsError};
use sanddrum_wire::{EndpointRecord, Phase};

/// The traffic of one workload, with the settings of the workload that the lab needs.
#[derive(Clone, Debug)]
pub struct WorkloadTraffic {
    pub workload: String,
    /// Its share of all calls.
    pub share: f64,
    pub mean_work: Micros,
    /// Clients send an estimate of the work.
    pub hints: bool,
    /// The hint is the exact work, for the oracle.
    pub exact_hints: bool,
    pub start_target: Micros,
    pub time_limit: Micros,
    pub importance: f64,
    pub effect: String,
    pub group: String,
    pub repeat_window: Micros,
    /// The common prefix of the names of this workload's functions.
    pub function_prefix: String,
}

/// A fault that the scenario injects at a given time; see `schema::kinds` for the kinds.
#[derive(Clone, Debug)]
pub struct ScriptedFault {
    pub kind: String,
    /// The start of the fault, counted from the start of the run.
    pub at: Micros,
    pub duration: Micros,
    /// The fraction of the workers or edges that it affects.
    pub fraction: Option<f64>,
    /// The number of workers or edges that it affects; takes precedence over `fraction`.
    pub count: Option<usize>,
    /// Only workers or edges of this zone are affected.
    pub zone: Option<String>,
    /// The severity, in the unit of the kind.
    pub size: f64,
    /// For link faults: the connecting and the accepting side.
    pub link: (String, String),
    /// For link faults: only processes of the accepting side in this zone are affected.
    pub to_zone: Option<String>,
    /// For link faults: the fault of the link.
    pub link_fault: Fault,
}

/// A scenario as read from its file, with the settings that it was read from.
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

/// Settings that the lab sets for each edge, so that scenarios can't, and what to do instead.
const PER_EDGE_SETTINGS: &[(&str, &str)] = &[
    ("edge.name", "edges are named by number"),
    (
        "edge.listen",
        "the lab chooses the listen addresses of the edges",
    ),
    (
        "edge.list",
        "the lab chooses the address of the discovery service",
    ),
    (
        "edge.zone",
        "edges are distributed over the zones of the deployment",
    ),
    ("edge.edges", "set fleet.edges or fleet.edges-told"),
    ("edge.number", "edges are numbered from 0"),
    (
        "edge.state-file",
        "the lab chooses the state files of the edges",
    ),
];

/// Overrides settings of the file, each written as `fleet.edges=1000`; `by` names the origin of the overrides.
fn apply_overrides(l: &mut LoadedSettings, set: &[String], by: &str) -> Result<(), SettingsError> {
    for set in set {
        let rejected =
            |what: String, remedy: &str| SettingsError::new(by, format!("{set}: {what}"), remedy);
        let Some((name, value)) = set.split_once('=') else {
            return Err(rejected(
                "it has no =".into(),
                "write it as fleet.edges=1000",
            ));
        };
        if let Some((_, remedy)) = PER_EDGE_SETTINGS.iter().find(|(key, _)| *key == name) {
            return Err(rejected(
                format!("the lab sets {name} for each edge"),
                remedy,
            ));
        }
        l.override_value(name, value, by)
            .map_err(|problem| rejected(problem.message, &problem.remedy))?;
    }
    Ok(())
}

impl Scenario {
    /// Reads a scenario from its text; `file` names it in error messages.
    ///
    /// # Errors
    /// The text is not a valid scenario; the error names the place.
    pub fn read(file: &str, text: &str, seed: u64) -> Result<Self, SettingsError> {
        Self::read_with(file, text, seed, &[], "")
    }
    /// Reads a scenario and overrides settings of it, each written as `fleet.edges=1000`; `by` names the origin of the
    /// overrides in error messages. All values of the scenario are read after the overrides are applied.
    ///
    /// # Errors
    /// The text is not a valid scenario, or an override (which the error names) is unknown, invalid or without effect.
    pub fn read_with(
        file: &str,
        text: &str,
        seed: u64,
        set: &[String],
        by: &str,
    ) -> Result<Self, SettingsError> {
        let mut l = sanddrum_settings::read_with(file, text, SCENARIO)?;
        if !set.is_empty() {
            apply_overrides(&mut l, set, by)?;
            sanddrum_settings::check(&l)?;
        }
        let invalid = |what: String, remedy: &str| SettingsError::new(file, what, remedy);
        let workloads = l.names("workloads");
        let mut calls = Vec::new();
        for n in 0..l.count("calls") {
            let name = l.text(&format!("calls.{n}.name")).to_string();
            let Some(w) = workloads.iter().position(|w| *w == name) else {
                return Err(invalid(
                    format!("calls of {name:?}, which is not a workload of this scenario"),
                    "name a workload that the scenario defines",
                ));
            };
            let at = |key: &str| format!("calls.{n}.{key}");
            let of = |key: &str| format!("workloads.{w}.{key}");
            let function = (0..l.count("functions"))
                .find(|f| l.text(&format!("functions.{f}.workload")) == name);
            let Some(function) = function else {
                return Err(invalid(
                    format!("no function is defined for workload {name:?}"),
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
            return Err(invalid(
                "the scenario has no calls".into(),
                "add (calls \"a-workload\" (share 1) (work 30ms))",
            ));
        }
        let mut faults = Vec::new();
        for n in 0..l.count("troubles") {
            let at = |key: &str| format!("troubles.{n}.{key}");
            let kind = l.text(&at("name")).to_string();
            if !kinds().contains(&kind.as_str()) {
                let remedy = format!("use one of: {}", kinds().join(", "));
                return Err(invalid(
                    format!("{kind:?} is not a known kind of fault"),
                    &remedy,
                ));
            }
            let zone = l
                .contains(&at("zone"))
                .then(|| l.text(&at("zone")).to_string());
            if zone.as_ref().is_some_and(|z| !l.names("zones").contains(z))
                || (kind == "zone-loss" && zone.is_none())
            {
                return Err(invalid(
                    format!("{kind} needs a zone of the deployment"),
                    "add (zone \"...\") with one of its zones",
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
    /// The number of edges that edges are configured with, which may differ from the real one.
    pub fn configured_edges(&self) -> usize {
        ((self.edges as f64 * self.settings.number("fleet.edges-told")).round() as usize).max(1)
    }
    pub fn zone_of(&self, n: usize) -> usize {
        n % self.zones.len().max(1)
    }
    /// How long an edge may still use a worker after it has been notified that the worker is draining or gone.
    pub fn drain_grace(&self) -> Micros {
        self.settings.duration_us("rules.drain-grace-us")
    }
    pub fn worker_name(n: usize) -> String {
        format!("worker-{n}")
    }
    pub fn edge_name(n: usize) -> String {
        format!("edge-{n}")
    }
    /// The specification of worker `n`, with the addresses of itself, the discovery service and the store.
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
            max_pending_watches: l.integer("list-service.calls"),
        }
    }
    /// The workers at these addresses as endpoint records, as the discovery service has them from the start.
    pub fn endpoint_records(&self, addresses: &[String]) -> Vec<EndpointRecord> {
        let record = |(n, address): (usize, &String)| {
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
        addresses.iter().enumerate().map(record).collect()
    }
    /// The settings of edge `n`, with the addresses of itself and the discovery service.
    ///
    /// # Errors
    /// An address is invalid.
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
