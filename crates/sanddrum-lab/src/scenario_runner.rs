//! Plays a scenario's troubles on a stage, in their order, and has the traffic judged.

use crate::checker::{check_log, Verdict};
use crate::environment::Environment;
use crate::fleet::Who;
use crate::recorder::{Log, Recording};
use crate::relay::Fault;
use crate::scenario::{Scenario, ScriptedFault};
use sanddrum_net::{Micros, Rng};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::io;

/// What came of it.
pub struct Outcome {
    pub verdict: Verdict,
    pub seed: u64,
    pub virtual_time: bool,
    pub digest: u64,
    /// What was done when, in words.
    pub timeline: Vec<(Micros, String)>,
    pub executions: usize,
    pub load_commands: usize,
    /// What fell on the list service and on workers.
    pub peak_load: Value,
    /// How the edges behaved as one.
    pub fleet_summary: Value,
}

/// What fell on the list service and on the worst worker in their worst seconds, from all edges together.
fn peak_load(log: &Log) -> Value {
    json!({
        "list": {
            "calls": log.worst(true, |l| l.calls),
            "bytes": log.worst(true, |l| l.bytes),
            "whole_lists": log.sum(true, |l| l.whole_lists),
        },
        "worker": {
            "handshakes": log.worst(false, |l| l.handshakes),
            "probes": log.worst(false, |l| l.probes),
            "asks": log.worst(false, |l| l.load_queries),
            "orders": log.worst(false, |l| l.load_commands),
            "misses": log.worst(false, |l| l.misses),
        },
    })
}

struct Player<'a> {
    stage: &'a mut dyn Environment,
    recording: &'a Recording,
    scenario: Scenario,
    start: Micros,
    struck: BTreeSet<Who>,
    timeline: Vec<(Micros, String)>,
}

/// Calls that are still open when no more are made get this much longer than their time limits.
const AFTER: Micros = 1_000_000;

/// Troubles that strike no worker or edge by name, and those that are over as soon as they are there.
const NOBODYS: &[&str] = &[
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
const AT_ONCE: &[&str] = &["flush", "tear", "garble", "link", "link-break"];

/// Plays a scenario to its end.
///
/// # Errors
/// The stage could not go on, as when a port was lost.
pub fn play(stage: &mut dyn Environment, recording: &Recording) -> io::Result<Outcome> {
    let scenario = stage.fleet().scenario.clone();
    let start = stage.now();
    // What a message takes on its way, over links that are made late as well.
    let late = scenario.faults.iter().map(|t| match t.link_fault {
        Fault::Delay(by) if t.kind == "link" => by,
        _ => 0,
    });
    let (seed, slack) = (scenario.seed, stage.slack() + late.max().unwrap_or(0));
    let mut player = Player {
        stage,
        recording,
        scenario: scenario.clone(),
        start,
        struck: BTreeSet::new(),
        timeline: Vec::new(),
    };
    player.all()?;
    recording.0.borrow_mut().log.max_scheduling_delay = player.stage.max_scheduling_delay();
    let acts = player.timeline;
    let recorder = recording.0.borrow();
    let verdict = check_log(&recorder.log, &scenario, start, slack);
    let (runs, orders) = (
        recorder.log.executions.len(),
        recorder.log.load_commands.len(),
    );
    let (peak_load, whole) = (
        peak_load(&recorder.log),
        crate::fleet_summary::of(&recorder.log, &scenario),
    );
    Ok(Outcome {
        verdict,
        seed,
        virtual_time: false,
        digest: recorder.digest(),
        timeline: acts,
        executions: runs,
        load_commands: orders,
        peak_load,
        fleet_summary: whole,
    })
}

impl Player<'_> {
    fn all(&mut self) -> io::Result<()> {
        let mut ahead: Vec<(Micros, bool, usize)> = Vec::new();
        for (n, t) in self.scenario.faults.iter().enumerate() {
            ahead.push((t.at, true, n));
            ahead.push((t.at + t.duration, false, n));
        }
        ahead.sort_by_key(|(at, begins, n)| (*at, *begins, *n));
        let mut targets: Vec<Vec<Who>> = vec![Vec::new(); self.scenario.faults.len()];
        for (at, begins, n) in ahead {
            if at > self.scenario.length && begins {
                continue;
            }
            self.stage.run_until(self.start + at)?;
            let trouble = self.scenario.faults[n].clone();
            if begins {
                targets[n] = self.targets(n, &trouble);
                if trouble.duration > 0 && !AT_ONCE.contains(&trouble.kind.as_str()) {
                    self.struck.extend(&targets[n]);
                }
                self.begin(&trouble, &targets[n])?;
                if trouble.kind.starts_with("key-") {
                    self.change_keys(&trouble)?;
                }
                self.change_certificates(&trouble, &targets[n], true)?;
            } else {
                let whom = std::mem::take(&mut targets[n]);
                self.end(&trouble, &whom)?;
                self.change_certificates(&trouble, &whom, false)?;
                self.struck.retain(|who| !whom.contains(who));
            }
        }
        self.stage.run_until(self.start + self.scenario.length)?;
        let longest = self
            .scenario
            .calls
            .iter()
            .map(|c| c.time_limit)
            .max()
            .unwrap_or(0);
        let last = self.stage.now() + longest + AFTER;
        while !self.stage.is_traffic_finished() && self.stage.now() < last {
            let next = self.stage.now() + 20_000;
            self.stage.run_until(next)?;
        }
        // What is still on its way, an execution sent too late say, is seen, too.
        let next = self.stage.now() + AFTER;
        self.stage.run_until(next)
    }

    fn targets(&self, n: usize, t: &ScriptedFault) -> Vec<Who> {
        if NOBODYS.contains(&t.kind.as_str()) {
            return Vec::new();
        }
        let edges = if t.kind.starts_with("link") {
            t.link.0 == "edges" || t.link == ("callers".into(), "edges".into())
        } else {
            t.kind.starts_with("edge-")
        };
        let count = if edges {
            self.scenario.edges
        } else {
            self.scenario.workers
        };
        let in_zone = |n: &usize| {
            t.zone
                .as_ref()
                .is_none_or(|z| *z == self.scenario.zones[self.scenario.zone_of(*n)])
        };
        let who = |n| if edges { Who::Edge(n) } else { Who::Worker(n) };
        let mut fit: Vec<Who> = (0..count)
            .filter(in_zone)
            .map(who)
            .filter(|w| !self.struck.contains(w))
            .collect();
        let all = ["zone-loss", "flush", "link", "link-break"].contains(&t.kind.as_str())
            && t.fraction.is_none()
            && t.count.is_none();
        let wanted = match (t.count, t.fraction) {
            (Some(count), _) => count,
            (None, Some(part)) => ((fit.len() as f64 * part).round() as usize).max(1),
            _ if all => fit.len(),
            _ => 1,
        };
        let mut chance = Rng::new(self.scenario.seed ^ (0x7a46 + n as u64));
        while fit.len() > wanted {
            fit.remove(chance.index(fit.len()));
        }
        fit
    }

    fn act(&mut self, what: &str, whom: &[Who]) {
        let now = self.stage.now() - self.start;
        let whom = if whom.is_empty() {
            String::new()
        } else {
            format!(" {whom:?}")
        };
        tracing::info!(at_ms = now / 1000, "{what}{whom}");
        self.timeline.push((now, format!("{what}{whom}")));
    }
    fn faults(&mut self, whom: &[Who], set: impl Fn(&mut sanddrum_emulator::WorkerFaults)) {
        for who in whom {
            if let Who::Worker(n) = who {
                set(&mut self.stage.fleet().workers[*n].borrow_mut());
            }
        }
    }
    fn kill(&mut self, whom: &[Who]) {
        whom.iter().for_each(|who| self.stage.kill(*who));
        self.log_down(whom);
    }
    fn edges(whom: &[Who]) -> impl Iterator<Item = String> + '_ {
        let number = |who: &Who| {
            if let Who::Edge(n) = who {
                Some(*n)
            } else {
                None
            }
        };
        whom.iter().filter_map(number).map(Scenario::edge_name)
    }
    fn log_down(&mut self, whom: &[Who]) {
        let now = self.stage.now();
        let down = Self::edges(whom).map(|edge| (edge, now, None));
        self.recording.0.borrow_mut().log.edge_downtime.extend(down);
    }
    fn bring_back(&mut self, whom: &[Who]) -> io::Result<()> {
        for who in whom {
            self.stage.kill(*who);
            self.stage.start(*who)?;
            let now = self.stage.now();
            let log = &mut self.recording.0.borrow_mut().log;
            match who {
                Who::Worker(n) => log.worker_starts.push((*n, now)),
                Who::Edge(n) => {
                    let name = Scenario::edge_name(*n);
                    if let Some(spell) = log
                        .edge_downtime
                        .iter_mut()
                        .rev()
                        .find(|(edge, ..)| *edge == name)
                    {
                        spell.2 = Some(now);
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Certificates and roots change; impostors come and go as workers that start anew.
    fn change_certificates(
        &mut self,
        t: &ScriptedFault,
        whom: &[Who],
        begins: bool,
    ) -> io::Result<()> {
        match (t.kind.as_str(), begins) {
            ("certificates", true) => self.stage.fleet().renew_certificates(),
            ("roots", _) => self.stage.fleet().change_authority(begins)?,
            ("impostor", _) => {
                for who in whom {
                    if let Who::Worker(n) = who {
                        let impostors = &mut self.stage.fleet().impostors;
                        if begins {
                            impostors.insert(*n)
                        } else {
                            impostors.remove(n)
                        };
                    }
                }
                return self.bring_back(whom);
            }
            _ => return Ok(()),
        }
        self.stage.distribute_certificates()
    }

    fn change_keys(&mut self, t: &ScriptedFault) -> io::Result<()> {
        let now = self.stage.now();
        if let Some(token_issuer) = self.stage.fleet().token_issuer.clone() {
            let mut token_issuer = token_issuer.borrow_mut();
            match t.kind.as_str() {
                "key-new" => token_issuer.add(),
                "key-rotate" => token_issuer.rotate(now, t.duration),
                _ => token_issuer.revoke(now),
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
        self.stage.distribute_keys()
    }

    /// The links of these, as calling sides or as those called by the clients.
    fn links(&self, t: &ScriptedFault, whom: &[Who]) -> Vec<(Who, Who)> {
        let zone = |n: &usize| {
            t.to_zone
                .as_ref()
                .is_none_or(|z| *z == self.scenario.zones[self.scenario.zone_of(*n)])
        };
        let others: Vec<Who> = match t.link.1.as_str() {
            "list" => vec![Who::List],
            "store" => vec![Who::Store],
            "workers" => (0..self.scenario.workers)
                .filter(zone)
                .map(Who::Worker)
                .collect(),
            _ => (0..self.scenario.edges)
                .filter(zone)
                .map(Who::Edge)
                .collect(),
        };
        if t.link.0 == "callers" {
            return whom.iter().map(|who| (Who::Callers, *who)).collect();
        }
        whom.iter()
            .flat_map(|from| others.iter().map(|to| (*from, *to)))
            .collect()
    }

    fn begin(&mut self, t: &ScriptedFault, whom: &[Who]) -> io::Result<()> {
        self.act(&format!("{} begins", t.kind), whom);
        let size = t.size;
        match t.kind.as_str() {
            "crash" | "edge-crash" | "edge-anew" | "zone-loss" => self.kill(whom),
            "edge-end" => {
                whom.iter().for_each(|who| self.stage.shut_down(*who));
                self.log_down(whom);
            }
            "list-stop" => self.stage.freeze(Who::List, true),
            "link" => {
                for (from, to) in self.links(t, whom) {
                    self.stage.set_link_fault(from, to, Some(t.link_fault))?;
                }
            }
            "link-break" => {
                for (from, to) in self.links(t, whom) {
                    self.stage.break_link(from, to)?;
                }
            }
            "silent" => whom.iter().for_each(|who| self.stage.freeze(*who, true)),
            "edge-stop" => {
                whom.iter().for_each(|who| self.stage.freeze(*who, true));
                let now = self.stage.now();
                let stopped = Self::edges(whom).map(|edge| (edge, now, None));
                self.recording
                    .0
                    .borrow_mut()
                    .log
                    .edge_pauses
                    .extend(stopped);
            }
            "hang" => self.faults(whom, |f| f.is_hung = true),
            "slow" => self.faults(whom, |f| f.slowdown = size),
            "lose-answers" => self.faults(whom, |f| f.answer_loss = size.min(1.0)),
            "load-fails" => self.faults(whom, |f| f.load_failure = size.min(1.0)),
            "garble" => self.faults(whom, |f| f.garble_once = true),
            "drain" => self.faults(whom, |f| f.is_draining = true),
            "flush" => self.faults(whom, |f| f.invalidate_once = true),
            "tear" => whom
                .iter()
                .for_each(|who| self.stage.reset_on_next_write(*who)),
            "store-stall" => self.stage.fleet().store.borrow_mut().is_stalled = true,
            "store-refuse" => self.stage.fleet().store.borrow_mut().rejects_all = true,
            "list-away" => self.kill(&[Who::List]),
            "list-lag" => self.stage.fleet().list.borrow_mut().delay = (size * 1e6) as Micros,
            "overload" => {
                self.stage
                    .fleet()
                    .traffic_overrides
                    .borrow_mut()
                    .rate_factor = size
            }
            "hot-functions" => {
                self.stage
                    .fleet()
                    .traffic_overrides
                    .borrow_mut()
                    .hot_function_fraction = size.min(1.0)
            }
            "greedy-customer" => {
                self.stage
                    .fleet()
                    .traffic_overrides
                    .borrow_mut()
                    .last_customer_fraction = size.min(1.0)
            }
            _ => {}
        }
        Ok(())
    }

    fn end(&mut self, t: &ScriptedFault, whom: &[Who]) -> io::Result<()> {
        match t.kind.as_str() {
            "crash" | "edge-crash" | "edge-end" | "zone-loss" | "silent" | "drain" => {
                self.bring_back(whom)?
            }
            "edge-anew" => {
                whom.iter()
                    .for_each(|who| self.stage.clear_saved_state(*who));
                self.bring_back(whom)?;
            }
            "edge-stop" => {
                whom.iter().for_each(|who| self.stage.freeze(*who, false));
                let (now, names) = (self.stage.now(), Self::edges(whom).collect::<BTreeSet<_>>());
                let log = &mut self.recording.0.borrow_mut().log;
                let open = log
                    .edge_pauses
                    .iter_mut()
                    .filter(|(edge, _, until)| until.is_none() && names.contains(edge));
                open.for_each(|spell| spell.2 = Some(now));
            }
            "list-stop" => self.stage.freeze(Who::List, false),
            "link" => {
                for (from, to) in self.links(t, whom) {
                    self.stage.set_link_fault(from, to, None)?;
                }
            }
            "hang" => self.faults(whom, |f| f.is_hung = false),
            "slow" => self.faults(whom, |f| f.slowdown = 0.0),
            "lose-answers" => self.faults(whom, |f| f.answer_loss = 0.0),
            "load-fails" => self.faults(whom, |f| f.load_failure = 0.0),
            "store-stall" => self.stage.fleet().store.borrow_mut().is_stalled = false,
            "store-refuse" => self.stage.fleet().store.borrow_mut().rejects_all = false,
            "list-away" => self.bring_back(&[Who::List])?,
            "list-lag" => self.stage.fleet().list.borrow_mut().delay = 0,
            "overload" => {
                self.stage
                    .fleet()
                    .traffic_overrides
                    .borrow_mut()
                    .rate_factor = 1.0
            }
            "hot-functions" => {
                self.stage
                    .fleet()
                    .traffic_overrides
                    .borrow_mut()
                    .hot_function_fraction = 0.0
            }
            "greedy-customer" => {
                self.stage
                    .fleet()
                    .traffic_overrides
                    .borrow_mut()
                    .last_customer_fraction = 0.0
            }
            _ => return Ok(()),
        }
        self.act(&format!("{} ends", t.kind), whom);
        Ok(())
    }
}

impl Outcome {
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        (self.verdict.latency.value_at_quantile(quantile) as f64 / 1000.0 * 100.0).round() / 100.0
    }
    /// The summary's last line.
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
            "customers": v.customers.iter().map(|(name, (asked, in_time))| {
                (name.clone(), json!((*in_time as f64 / (*asked).max(1) as f64 * 1e4).round() / 1e4))
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
    /// Whether all was answered once and every rule held.
    pub fn is_good(&self) -> bool {
        let v = &self.verdict;
        v.violations.is_empty()
            && v.accepted == v.finished + v.rejected + v.failed + v.lost_with_edge
    }
    /// The summary for people.
    pub fn text(&self) -> String {
        use std::fmt::Write;
        let v = &self.verdict;
        let mut out = String::new();
        for (at, act) in &self.timeline {
            let _ = writeln!(out, "  {:7.3} s  {act}", *at as f64 / 1e6);
        }
        let _ = writeln!(out, "service a second (calls in time of calls begun):");
        for (n, (begun, in_time)) in v.seconds.iter().enumerate() {
            let part = f64::from(*in_time) / f64::from((*begun).max(1));
            let bar = "#".repeat((part * 40.0).round() as usize);
            let _ = writeln!(out, "  {n:3} s  {bar:40} {in_time:4} of {begun:4}");
        }
        let _ = writeln!(
            out,
            "jobs taken {}: finished {}, pushed back {}, killed {}, lost with a killed edge {}; calls that reached no edge {}",
            v.accepted, v.finished, v.rejected, v.failed, v.lost_with_edge, v.unreached
        );
        let _ = writeln!(
            out,
            "executions {}, orders to load {}",
            self.executions, self.load_commands
        );
        let (each, edges) = (
            &self.fleet_summary["for_each_finished"],
            &self.fleet_summary["edges"],
        );
        let _ = writeln!(
            out,
            "for each finished job {} executions ({} misses), {} probes, {} asks, {} orders, {} handshakes",
            each["executions"],
            each["misses"],
            each["probes"],
            each["asks"],
            each["orders"],
            each["handshakes"]
        );
        let _ = writeln!(
            out,
            "importance turned away while less dear work was served: {} of it; edges served from {} to {}",
            self.fleet_summary["inversions"], edges["worst"], edges["best"]
        );
        let (list, worker) = (&self.peak_load["list"], &self.peak_load["worker"]);
        let _ = writeln!(
            out,
            "worst second of the list service: {} calls, {} bytes (whole lists in all: {})",
            list["calls"], list["bytes"], list["whole_lists"]
        );
        let _ = writeln!(
            out,
            "worst second of a worker: {} handshakes, {} probes, {} asks, {} orders, {} misses",
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
            "service {:.3}; finished calls took {p50} ms (p50), {p99} (p99), {p999} (p999)",
            v.service
        );
        for (name, (asked, in_time)) in &v.customers {
            let part = *in_time as f64 / (*asked).max(1) as f64;
            let _ = writeln!(out, "  {name}: {in_time} of {asked} in time ({part:.3})");
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
