//! Injects a scenario's faults into an environment, in their order, and checks the recorded traffic afterwards.

use crate::checker::{check_log, Verdict};
use crate::environment::Environment;
use crate::fleet::Component;
use crate::recorder::{Log, Recording};
use crate::relay::Fault;
use crate::scenario::{Scenario, ScriptedFault};
use sanddrum_net::{Micros, Rng};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::io;

/// The result of one run of a scenario.
pub struct Outcome {
    pub verdict: Verdict,
    pub seed: u64,
    pub virtual_time: bool,
    pub digest: u64,
    /// The faults that began and ended, with their times since the start.
    pub timeline: Vec<(Micros, String)>,
    pub executions: usize,
    pub load_commands: usize,
    /// The highest load within one second on the discovery service and on any worker; see `peak_load`.
    pub peak_load: Value,
    /// How the edges performed together; see `fleet_summary`.
    pub fleet_summary: Value,
}

/// The highest load within one second that all edges together put on the discovery service and on any worker; each
/// count may be of another second and another worker.
fn peak_load(log: &Log) -> Value {
    json!({
        "list": {
            "calls": log.max_per_second(true, |l| l.calls),
            "bytes": log.max_per_second(true, |l| l.bytes),
            "whole_lists": log.sum(true, |l| l.full_snapshots),
        },
        "worker": {
            "handshakes": log.max_per_second(false, |l| l.handshakes),
            "probes": log.max_per_second(false, |l| l.health_checks),
            "asks": log.max_per_second(false, |l| l.load_queries),
            "orders": log.max_per_second(false, |l| l.load_commands),
            "misses": log.max_per_second(false, |l| l.cold_misses),
        },
    })
}

struct Runner<'a> {
    environment: &'a mut dyn Environment,
    recording: &'a Recording,
    scenario: Scenario,
    start: Micros,
    faulted: BTreeSet<Component>,
    timeline: Vec<(Micros, String)>,
}

/// Calls that are open at the end of the traffic get this much longer than the longest time limit.
const DRAIN_TIME: Micros = 1_000_000;

/// Faults that have no workers or edges as targets.
const UNTARGETED_FAULTS: &[&str] = &[
    "store-stall",
    "store-refuse",
    "list-away",
    "list-lag",
    "list-stop",
    "overload",
    "hot-functions",
    "greedy-customer",
    "key-new",
    "key-rotate",
    "key-revoke",
    "certificates",
    "roots",
];
/// Faults whose targets stay available to other faults: those that are over at once, and those of links.
const INSTANT_FAULTS: &[&str] = &["flush", "tear", "garble", "link", "link-break"];

/// Runs a scenario to its end.
///
/// # Errors
/// The environment failed, for example because a port was lost.
pub fn play(environment: &mut dyn Environment, recording: &Recording) -> io::Result<Outcome> {
    let scenario = environment.fleet().scenario.clone();
    let start = environment.now();
    // The longest time that a message may be in transit, link delays of the scenario included.
    let link_delays = scenario.faults.iter().map(|fault| match fault.link_fault {
        Fault::Delay(by) if fault.kind == "link" => by,
        _ => 0,
    });
    let (seed, slack) = (
        scenario.seed,
        environment.slack() + link_delays.max().unwrap_or(0),
    );
    let mut runner = Runner {
        environment,
        recording,
        scenario: scenario.clone(),
        start,
        faulted: BTreeSet::new(),
        timeline: Vec::new(),
    };
    runner.run()?;
    recording.0.borrow_mut().log.max_scheduling_delay = runner.environment.max_scheduling_delay();
    let timeline = runner.timeline;
    let recorder = recording.0.borrow();
    let verdict = check_log(&recorder.log, &scenario, start, slack);
    let (executions, load_commands) = (
        recorder.log.executions.len(),
        recorder.log.load_commands.len(),
    );
    let (peak_load, fleet_summary) = (
        peak_load(&recorder.log),
        crate::fleet_summary::of(&recorder.log, &scenario),
    );
    Ok(Outcome {
        verdict,
        seed,
        virtual_time: false,
        digest: recorder.digest(),
        timeline,
        executions,
        load_commands,
        peak_load,
        fleet_summary,
    })
}

impl Runner<'_> {
    fn run(&mut self) -> io::Result<()> {
        let mut schedule: Vec<(Micros, bool, usize)> = Vec::new();
        for (n, fault) in self.scenario.faults.iter().enumerate() {
            schedule.push((fault.at, true, n));
            schedule.push((fault.at + fault.duration, false, n));
        }
        schedule.sort_by_key(|(at, begins, n)| (*at, *begins, *n));
        let mut targets: Vec<Vec<Component>> = vec![Vec::new(); self.scenario.faults.len()];
        for (at, begins, n) in schedule {
            if at > self.scenario.length && begins {
                continue;
            }
            self.environment.run_until(self.start + at)?;
            let fault = self.scenario.faults[n].clone();
            if begins {
                targets[n] = self.targets(n, &fault);
                if fault.duration > 0 && !INSTANT_FAULTS.contains(&fault.kind.as_str()) {
                    self.faulted.extend(&targets[n]);
                }
                self.begin(&fault, &targets[n])?;
                if fault.kind.starts_with("key-") {
                    self.change_keys(&fault)?;
                }
                self.change_certificates(&fault, &targets[n], true)?;
            } else {
                let targets = std::mem::take(&mut targets[n]);
                self.end(&fault, &targets)?;
                self.change_certificates(&fault, &targets, false)?;
                self.faulted
                    .retain(|component| !targets.contains(component));
            }
        }
        self.environment
            .run_until(self.start + self.scenario.length)?;
        let longest = self
            .scenario
            .calls
            .iter()
            .map(|c| c.time_limit)
            .max()
            .unwrap_or(0);
        let last = self.environment.now() + longest + DRAIN_TIME;
        while !self.environment.is_traffic_finished() && self.environment.now() < last {
            let next = self.environment.now() + 20_000;
            self.environment.run_until(next)?;
        }
        // Run on so that late messages, such as an execution after the deadline, are recorded too.
        let next = self.environment.now() + DRAIN_TIME;
        self.environment.run_until(next)
    }

    fn targets(&self, n: usize, fault: &ScriptedFault) -> Vec<Component> {
        if UNTARGETED_FAULTS.contains(&fault.kind.as_str()) {
            return Vec::new();
        }
        let edges = if fault.kind.starts_with("link") {
            fault.link.0 == "edges" || fault.link == ("callers".into(), "edges".into())
        } else {
            fault.kind.starts_with("edge-")
        };
        let count = if edges {
            self.scenario.edges
        } else {
            self.scenario.workers
        };
        let in_zone = |n: &usize| {
            fault
                .zone
                .as_ref()
                .is_none_or(|z| *z == self.scenario.zones[self.scenario.zone_of(*n)])
        };
        let component = |n| {
            if edges {
                Component::Edge(n)
            } else {
                Component::Worker(n)
            }
        };
        let mut candidates: Vec<Component> = (0..count)
            .filter(in_zone)
            .map(component)
            .filter(|w| !self.faulted.contains(w))
            .collect();
        let affects_all = ["zone-loss", "flush", "link", "link-break"]
            .contains(&fault.kind.as_str())
            && fault.fraction.is_none()
            && fault.count.is_none();
        let wanted = match (fault.count, fault.fraction) {
            (Some(count), _) => count,
            (None, Some(fraction)) => {
                ((candidates.len() as f64 * fraction).round() as usize).max(1)
            }
            _ if affects_all => candidates.len(),
            _ => 1,
        };
        let mut rng = Rng::new(self.scenario.seed ^ (0x7a46 + n as u64));
        while candidates.len() > wanted {
            candidates.remove(rng.index(candidates.len()));
        }
        candidates
    }

    fn record(&mut self, what: &str, targets: &[Component]) {
        let now = self.environment.now() - self.start;
        let targets = if targets.is_empty() {
            String::new()
        } else {
            format!(" {targets:?}")
        };
        tracing::info!(at_ms = now / 1000, "{what}{targets}");
        self.timeline.push((now, format!("{what}{targets}")));
    }
    fn set_worker_faults(
        &mut self,
        targets: &[Component],
        set: impl Fn(&mut sanddrum_emulator::WorkerFaults),
    ) {
        for component in targets {
            if let Component::Worker(n) = component {
                set(&mut self.environment.fleet().workers[*n].borrow_mut());
            }
        }
    }
    fn kill(&mut self, targets: &[Component]) {
        targets
            .iter()
            .for_each(|component| self.environment.kill(*component));
        self.record_downtime(targets);
    }
    fn edges(targets: &[Component]) -> impl Iterator<Item = String> + '_ {
        let number = |component: &Component| {
            if let Component::Edge(n) = component {
                Some(*n)
            } else {
                None
            }
        };
        targets.iter().filter_map(number).map(Scenario::edge_name)
    }
    fn record_downtime(&mut self, targets: &[Component]) {
        let now = self.environment.now();
        let down = Self::edges(targets).map(|edge| (edge, now, None));
        self.recording.0.borrow_mut().log.edge_downtime.extend(down);
    }
    fn restart(&mut self, targets: &[Component]) -> io::Result<()> {
        for component in targets {
            self.environment.kill(*component);
            self.environment.start(*component)?;
            let now = self.environment.now();
            let log = &mut self.recording.0.borrow_mut().log;
            match component {
                Component::Worker(n) => log.worker_starts.push((*n, now)),
                Component::Edge(n) => {
                    let name = Scenario::edge_name(*n);
                    if let Some(downtime) = log
                        .edge_downtime
                        .iter_mut()
                        .rev()
                        .find(|(edge, ..)| *edge == name)
                    {
                        downtime.2 = Some(now);
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Applies faults of certificates. An impostor is a worker that restarts with a certificate of a foreign authority.
    fn change_certificates(
        &mut self,
        fault: &ScriptedFault,
        targets: &[Component],
        begins: bool,
    ) -> io::Result<()> {
        match (fault.kind.as_str(), begins) {
            ("certificates", true) => self.environment.fleet().renew_certificates(),
            ("roots", _) => self.environment.fleet().change_authority(begins)?,
            ("impostor", _) => {
                for component in targets {
                    if let Component::Worker(n) = component {
                        let impostors = &mut self.environment.fleet().impostors;
                        if begins {
                            impostors.insert(*n)
                        } else {
                            impostors.remove(n)
                        };
                    }
                }
                return self.restart(targets);
            }
            _ => return Ok(()),
        }
        self.environment.distribute_certificates()
    }

    fn change_keys(&mut self, fault: &ScriptedFault) -> io::Result<()> {
        let now = self.environment.now();
        if let Some(token_issuer) = self.environment.fleet().token_issuer.clone() {
            let mut token_issuer = token_issuer.borrow_mut();
            match fault.kind.as_str() {
                "key-new" => token_issuer.add_key(),
                "key-rotate" => token_issuer.rotate_keys(now, fault.duration),
                _ => token_issuer.revoke_oldest_key(now),
            }
            let reach = self
                .scenario
                .settings
                .duration_us("gateways.keys-reach-edges-us");
            let bound = reach
                + self
                    .scenario
                    .settings
                    .duration_us("identity.watch-every-us");
            let revoked = token_issuer
                .revoked
                .iter()
                .map(|(kid, at)| (kid.clone(), at + bound));
            self.recording.0.borrow_mut().log.revoked = revoked.collect();
        }
        self.environment.distribute_keys()
    }

    /// The links from the targets to the accepting side of the fault, or from the clients to the targets.
    fn links(&self, fault: &ScriptedFault, targets: &[Component]) -> Vec<(Component, Component)> {
        let zone = |n: &usize| {
            fault
                .to_zone
                .as_ref()
                .is_none_or(|z| *z == self.scenario.zones[self.scenario.zone_of(*n)])
        };
        let others: Vec<Component> = match fault.link.1.as_str() {
            "list" => vec![Component::List],
            "store" => vec![Component::Store],
            "workers" => (0..self.scenario.workers)
                .filter(zone)
                .map(Component::Worker)
                .collect(),
            _ => (0..self.scenario.edges)
                .filter(zone)
                .map(Component::Edge)
                .collect(),
        };
        if fault.link.0 == "callers" {
            return targets
                .iter()
                .map(|component| (Component::Callers, *component))
                .collect();
        }
        targets
            .iter()
            .flat_map(|from| others.iter().map(|to| (*from, *to)))
            .collect()
    }

    fn begin(&mut self, fault: &ScriptedFault, targets: &[Component]) -> io::Result<()> {
        self.record(&format!("{} begins", fault.kind), targets);
        let size = fault.size;
        match fault.kind.as_str() {
            "crash" | "edge-crash" | "edge-anew" | "zone-loss" => self.kill(targets),
            "edge-end" => {
                targets
                    .iter()
                    .for_each(|component| self.environment.shut_down(*component));
                self.record_downtime(targets);
            }
            "list-stop" => self.environment.freeze(Component::List, true),
            "link" => {
                for (from, to) in self.links(fault, targets) {
                    self.environment
                        .set_link_fault(from, to, Some(fault.link_fault))?;
                }
            }
            "link-break" => {
                for (from, to) in self.links(fault, targets) {
                    self.environment.break_link(from, to)?;
                }
            }
            "silent" => targets
                .iter()
                .for_each(|component| self.environment.freeze(*component, true)),
            "edge-stop" => {
                targets
                    .iter()
                    .for_each(|component| self.environment.freeze(*component, true));
                let now = self.environment.now();
                let stopped = Self::edges(targets).map(|edge| (edge, now, None));
                self.recording
                    .0
                    .borrow_mut()
                    .log
                    .edge_pauses
                    .extend(stopped);
            }
            "hang" => self.set_worker_faults(targets, |f| f.is_hung = true),
            "slow" => self.set_worker_faults(targets, |f| f.slowdown = size),
            "lose-answers" => self.set_worker_faults(targets, |f| f.answer_loss = size.min(1.0)),
            "load-fails" => self.set_worker_faults(targets, |f| f.load_failure = size.min(1.0)),
            "garble" => self.set_worker_faults(targets, |f| f.garble_once = true),
            "drain" => self.set_worker_faults(targets, |f| f.is_draining = true),
            "flush" => self.set_worker_faults(targets, |f| f.invalidate_once = true),
            "tear" => targets
                .iter()
                .for_each(|component| self.environment.reset_on_next_write(*component)),
            "store-stall" => self.environment.fleet().store.borrow_mut().is_stalled = true,
            "store-refuse" => self.environment.fleet().store.borrow_mut().rejects_all = true,
            "list-away" => self.kill(&[Component::List]),
            "list-lag" => self.environment.fleet().list.borrow_mut().delay = (size * 1e6) as Micros,
            "overload" => {
                self.environment
                    .fleet()
                    .traffic_overrides
                    .borrow_mut()
                    .rate_factor = size
            }
            "hot-functions" => {
                self.environment
                    .fleet()
                    .traffic_overrides
                    .borrow_mut()
                    .hot_function_fraction = size.min(1.0)
            }
            "greedy-customer" => {
                self.environment
                    .fleet()
                    .traffic_overrides
                    .borrow_mut()
                    .last_customer_fraction = size.min(1.0)
            }
            _ => {}
        }
        Ok(())
    }

    fn end(&mut self, fault: &ScriptedFault, targets: &[Component]) -> io::Result<()> {
        match fault.kind.as_str() {
            "crash" | "edge-crash" | "edge-end" | "zone-loss" | "silent" | "drain" => {
                self.restart(targets)?
            }
            "edge-anew" => {
                targets
                    .iter()
                    .for_each(|component| self.environment.clear_saved_state(*component));
                self.restart(targets)?;
            }
            "edge-stop" => {
                targets
                    .iter()
                    .for_each(|component| self.environment.freeze(*component, false));
                let (now, names) = (
                    self.environment.now(),
                    Self::edges(targets).collect::<BTreeSet<_>>(),
                );
                let log = &mut self.recording.0.borrow_mut().log;
                let open = log
                    .edge_pauses
                    .iter_mut()
                    .filter(|(edge, _, until)| until.is_none() && names.contains(edge));
                open.for_each(|pause| pause.2 = Some(now));
            }
            "list-stop" => self.environment.freeze(Component::List, false),
            "link" => {
                for (from, to) in self.links(fault, targets) {
                    self.environment.set_link_fault(from, to, None)?;
                }
            }
            "hang" => self.set_worker_faults(targets, |f| f.is_hung = false),
            "slow" => self.set_worker_faults(targets, |f| f.slowdown = 0.0),
            "lose-answers" => self.set_worker_faults(targets, |f| f.answer_loss = 0.0),
            "load-fails" => self.set_worker_faults(targets, |f| f.load_failure = 0.0),
            "store-stall" => self.environment.fleet().store.borrow_mut().is_stalled = false,
            "store-refuse" => self.environment.fleet().store.borrow_mut().rejects_all = false,
            "list-away" => self.restart(&[Component::List])?,
            "list-lag" => self.environment.fleet().list.borrow_mut().delay = 0,
            "overload" => {
                self.environment
                    .fleet()
                    .traffic_overrides
                    .borrow_mut()
                    .rate_factor = 1.0
            }
            "hot-functions" => {
                self.environment
                    .fleet()
                    .traffic_overrides
                    .borrow_mut()
                    .hot_function_fraction = 0.0
            }
            "greedy-customer" => {
                self.environment
                    .fleet()
                    .traffic_overrides
                    .borrow_mut()
                    .last_customer_fraction = 0.0
            }
            _ => return Ok(()),
        }
        self.record(&format!("{} ends", fault.kind), targets);
        Ok(())
    }
}

impl Outcome {
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        (self.verdict.latency.value_at_quantile(quantile) as f64 / 1000.0 * 100.0).round() / 100.0
    }
    /// The summary as JSON, which is the last line of the output.
    pub fn json(&self) -> Value {
        let v = &self.verdict;
        let mut line = json!({
            "jobs_taken": v.accepted,
            "finished": v.finished,
            "pushed_back": v.rejected,
            "killed": v.failed,
            "lost_with_edge": v.lost_with_edge,
            "unreached": v.unreached,
            "rules_broken": v.violations.iter().map(ToString::to_string).collect::<Vec<_>>(),
            "service": (v.service * 1e4).round() / 1e4,
            "latency_ms": {
                "p50": self.latency_ms(0.5),
                "p99": self.latency_ms(0.99),
                "p999": self.latency_ms(0.999),
            },
            "customers": v.customers.iter().map(|(name, (calls, in_time))| {
                (name.clone(), json!((*in_time as f64 / (*calls).max(1) as f64 * 1e4).round() / 1e4))
            }).collect::<serde_json::Map<String, Value>>(),
            "seconds": v.seconds,
            "worst_second": self.peak_load,
            "whole": self.fleet_summary,
            "seed": self.seed,
        });
        if self.virtual_time {
            line["timeline_digest"] = json!(format!("{:016x}", self.digest));
        }
        line
    }
    /// Whether every accepted call was answered exactly once and every rule held.
    pub fn is_good(&self) -> bool {
        let v = &self.verdict;
        v.violations.is_empty()
            && v.accepted == v.finished + v.rejected + v.failed + v.lost_with_edge
    }
    /// The summary as text.
    pub fn text(&self) -> String {
        use std::fmt::Write;
        let v = &self.verdict;
        let mut out = String::new();
        for (at, event) in &self.timeline {
            let _ = writeln!(out, "  {:7.3} s  {event}", *at as f64 / 1e6);
        }
        let _ = writeln!(out, "service by second (calls in time / calls started):");
        for (n, (begun, in_time)) in v.seconds.iter().enumerate() {
            let part = f64::from(*in_time) / f64::from((*begun).max(1));
            let bar = "#".repeat((part * 40.0).round() as usize);
            let _ = writeln!(out, "  {n:3} s  {bar:40} {in_time:4} of {begun:4}");
        }
        let _ = writeln!(
            out,
            "requests accepted {}: finished {}, rejected {}, failed {}, lost with a killed edge {}; calls that reached no edge {}",
            v.accepted, v.finished, v.rejected, v.failed, v.lost_with_edge, v.unreached
        );
        let _ = writeln!(
            out,
            "executions {}, load commands {}",
            self.executions, self.load_commands
        );
        let (each, edges) = (
            &self.fleet_summary["for_each_finished"],
            &self.fleet_summary["edges"],
        );
        let _ = writeln!(
            out,
            "for each finished request {} executions ({} cold misses), {} health checks, {} load queries, {} load commands, {} handshakes",
            each["executions"],
            each["misses"],
            each["probes"],
            each["asks"],
            each["orders"],
            each["handshakes"]
        );
        let _ = writeln!(
            out,
            "rejected importance that less important work displaced: {} of all rejected; service of the edges from {} to {}",
            self.fleet_summary["inversions"], edges["worst"], edges["best"]
        );
        let (list, worker) = (&self.peak_load["list"], &self.peak_load["worker"]);
        let _ = writeln!(
            out,
            "worst second of the discovery service: {} calls, {} bytes (full snapshots in all: {})",
            list["calls"], list["bytes"], list["whole_lists"]
        );
        let _ = writeln!(
            out,
            "worst second of a worker: {} handshakes, {} health checks, {} load queries, {} load commands, {} cold misses",
            worker["handshakes"],
            worker["probes"],
            worker["asks"],
            worker["orders"],
            worker["misses"]
        );
        let (p50, p99, p999) = (
            self.latency_ms(0.5),
            self.latency_ms(0.99),
            self.latency_ms(0.999),
        );
        let _ = writeln!(
            out,
            "service {:.3}; latency of finished calls {p50} ms (p50), {p99} ms (p99), {p999} ms (p999)",
            v.service
        );
        for (name, (calls, in_time)) in &v.customers {
            let part = *in_time as f64 / (*calls).max(1) as f64;
            let _ = writeln!(out, "  {name}: {in_time} of {calls} in time ({part:.3})");
        }
        for b in &v.violations {
            let _ = writeln!(out, "BROKEN {b}");
        }
        if v.violations.is_empty() {
            out.push_str("all five rules held, as seen from the traffic\n");
        }
        out
    }
}
