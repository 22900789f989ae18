//! The soak test: a few dozen routers of the platform as real processes on loopback, between clients, model servers and a
//! control feed that misbehave, with two or three troubles at a time drawn from a seed, judged from what each party saw at its
//! own end of a connection.

mod clients;
mod environment;
mod feed;
pub mod judge;
pub mod ledger;
mod routers;
mod servers;
pub mod settings;
mod troubles;

use crate::faults::Word;
use environment::Environment;
use judge::{judge, leavings, Break};
use ledger::{Ledger, Shared};
use sanddrum_net::{EventLoop, Micros, Rng};
use serde_json::json;
use settings::{Fleet, Terms};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use troubles::{plan, Planned};

const S: Micros = 1_000_000;
/// Routers have to be ready within this after the run's start.
const ALL_READY_WITHIN: Micros = 30 * S;
/// A moment that a trouble waits for and that never comes is given up after this.
const MOMENT_WITHIN: Micros = S / 2;
/// After the troubles all is quiet for so long, so that each request has its end.
const QUIET: Micros = 4 * S;
/// After SIGTERM routers are waited for no longer than this.
const END_WITHIN: Micros = 8 * S;

/// What is played.
#[derive(Clone, Debug)]
pub struct SoakSpec {
    pub seed: u64,
    /// How long troubles are played.
    pub seconds: u64,
    pub routers: usize,
    pub servers: usize,
    /// Requests a second for each router.
    pub rate: f64,
    /// The router's program, beside which the preloaded library lies.
    pub program: PathBuf,
    /// Configurations, controls and logs go here.
    pub folder: PathBuf,
}

/// What came of a run.
#[derive(Debug)]
pub struct SoakReport {
    pub seed: u64,
    pub breaks: Vec<Break>,
    /// Troubles that were drawn, by kind: how often they came.
    pub troubles: BTreeMap<&'static str, u64>,
    /// Injected faults, by kind: how often they came.
    pub faults: BTreeMap<&'static str, u64>,
    /// Chosen kinds of trouble that never came.
    pub missing: Vec<&'static str>,
    pub counts: BTreeMap<&'static str, u64>,
    pub lab_late_ms: i64,
}

impl SoakReport {
    pub fn is_good(&self) -> bool {
        self.breaks.is_empty() && self.missing.is_empty()
    }
    /// The last line: the seed, and the rule that is broken first.
    pub fn verdict(&self) -> String {
        let seed = self.seed;
        match (self.breaks.first(), self.missing.first()) {
            (Some(first), _) => {
                format!(
                    "seed {seed}: {} broken, {} breaks in all",
                    first.rule.name(),
                    self.breaks.len()
                )
            }
            (None, Some(missing)) => format!("seed {seed}: not passed, as {missing} never came"),
            (None, None) => format!("seed {seed}: every rule kept"),
        }
    }
    pub fn json(&self) -> serde_json::Value {
        let breaks: Vec<String> = self.breaks.iter().map(ToString::to_string).collect();
        json!({"seed": self.seed, "good": self.is_good(), "breaks": breaks, "troubles": self.troubles,
               "faults": self.faults, "missing": self.missing, "counts": self.counts,
               "lab_late_ms": self.lab_late_ms})
    }
}

/// Plays a soak run.
///
/// # Errors
/// The environment can't be set up or kept going.
pub fn soak(spec: &SoakSpec) -> io::Result<SoakReport> {
    let mut chance = Rng::new(spec.seed);
    let terms = Terms::drawn(&mut chance);
    let fleet = free_fleet(spec)?;
    let length = spec.seconds as Micros * S;
    let planned = plan(&mut chance, length, spec.routers, spec.servers);
    let ledger = Shared::default();
    let (folder, program) = (spec.folder.as_path(), spec.program.clone());
    let mut environment = Environment::new(
        fleet,
        terms.clone(),
        spec.rate,
        folder,
        program,
        ledger.clone(),
    )?;
    wait_until_ready(&mut environment)?;
    play(&mut environment, &planned, length)?;
    wind_down(&mut environment)?;
    let end = environment.now();
    let breaks = judge(&ledger.borrow(), &terms, end);
    keep_logs(&environment, &breaks, folder)?;
    let ledger = ledger.borrow();
    report(spec.seed, &environment, &planned, &ledger, breaks)
}

/// A fleet at addresses that no other run has: its feed's first one is free.
fn free_fleet(spec: &SoakSpec) -> io::Result<Fleet> {
    let (routers, servers, feed_door) = (spec.routers, spec.servers, 0);
    let first = Fleet::NETS.start + (spec.seed % Fleet::NETS.len() as u64) as u8;
    let nets = (first..Fleet::NETS.end).chain(Fleet::NETS.start..first);
    let mut fleets = nets.map(|net| Fleet {
        seed: spec.seed,
        net,
        routers,
        servers,
        feed_door,
    });
    let free = fleets.find(|fleet| EventLoop::bind(&fleet.feed_address(0)).is_ok());
    free.ok_or_else(|| io::Error::other("no addresses are free: too many runs at a time"))
}

fn wait_until_ready(environment: &mut Environment) -> io::Result<()> {
    let until = environment.now() + ALL_READY_WITHIN;
    while !environment.all_ready() {
        if environment.now() > until {
            let why = environment
                .routers
                .first()
                .map(|router| router.log())
                .unwrap_or_default();
            return Err(io::Error::other(format!(
                "the routers were not ready in time: {why}"
            )));
        }
        environment.step()?;
    }
    Ok(())
}

fn play(environment: &mut Environment, planned: &[Planned], length: Micros) -> io::Result<()> {
    let begun = environment.now();
    let mut next = planned.iter().peekable();
    // What waits for its moment: since when, how often the moment was seen before, and from when on it may begin.
    let mut waiting: Vec<(Planned, Micros, u64, Option<Micros>)> = Vec::new();
    let mut weighed = false;
    while environment.now() < begun + length {
        environment.step()?;
        let now = environment.now();
        while let Some(planned) = next.next_if(|planned| begun + planned.from <= now) {
            waiting.push((*planned, now, environment.seen(planned.moment), None));
        }
        let mut still = Vec::new();
        for (planned, since, before, begins) in std::mem::take(&mut waiting) {
            let came = environment.seen(planned.moment) > before || now > since + MOMENT_WITHIN;
            let begins = begins.or(came.then_some(now + planned.after));
            match begins {
                Some(at) if at <= now => environment.begin(planned.trouble)?,
                _ => still.push((planned, since, before, begins)),
            }
        }
        waiting = still;
        if !weighed && now > begun + length / 3 {
            weighed = true;
            environment
                .routers
                .iter()
                .for_each(|router| router.weigh(&environment.ledger));
        }
    }
    Ok(())
}

fn wind_down(environment: &mut Environment) -> io::Result<()> {
    environment.end_all()?;
    // Routers that are being started again get ready first.
    let until = environment.now() + QUIET;
    while environment.now() < until {
        environment.step()?;
    }
    environment
        .routers
        .iter()
        .for_each(|router| router.weigh(&environment.ledger));
    // Clients go on with their requests until the kill.
    environment.ask_all_to_end();
    let until = environment.now() + END_WITHIN;
    while environment.any_running() && environment.now() < until {
        environment.step()?;
    }
    environment.clients.borrow_mut().over = true;
    Ok(())
}

/// Logs of routers are kept beside the report where something broke, else thrown away.
fn keep_logs(environment: &Environment, breaks: &[Break], folder: &Path) -> io::Result<()> {
    if breaks.is_empty() {
        return Ok(());
    }
    let text: Vec<String> = breaks.iter().map(ToString::to_string).collect();
    std::fs::write(folder.join("breaks.txt"), text.join("\n"))?;
    let panics = environment
        .routers
        .iter()
        .filter(|router| router.log().contains("panicked"));
    panics.for_each(|router| eprintln!("router {} panicked:\n{}", router.id.0, router.log()));
    Ok(())
}

fn report(
    seed: u64,
    environment: &Environment,
    planned: &[Planned],
    ledger: &Ledger,
    breaks: Vec<Break>,
) -> io::Result<SoakReport> {
    let words = [
        (Word::WallReadsStepped, "wall-reads-stepped"),
        (Word::AcceptsFailed, "accepts-failed"),
        (Word::SocketsFailed, "sockets-failed"),
        (Word::ConnectsFailed, "connects-failed"),
        (Word::ReceivesFailed, "receives-failed"),
        (Word::SendsFailed, "sends-failed"),
        (Word::WaitsInterrupted, "waits-interrupted"),
        (Word::ControlsFailed, "controls-failed"),
    ];
    let mut faults = BTreeMap::new();
    for (word, name) in words {
        let all: io::Result<Vec<u64>> = environment
            .routers
            .iter()
            .map(|router| router.faults.get(word))
            .collect();
        faults.insert(name, all?.iter().sum());
    }
    let mut missing: Vec<&'static str> = planned
        .iter()
        .map(|planned| planned.trouble.name())
        .filter(|name| environment.came.get(name).copied().unwrap_or(0) == 0)
        .filter(|name| !environment.hidden.contains_key(name))
        .collect();
    let chosen = |name: &str| planned.iter().any(|planned| planned.trouble.name() == name);
    if chosen("failing-calls") && faults["receives-failed"] + faults["sends-failed"] == 0 {
        missing.push("failing-calls");
    }
    if (chosen("step-all-clocks") || chosen("step-some-clocks"))
        && faults["wall-reads-stepped"] == 0
    {
        missing.push("wall-reads-stepped");
    }
    let status = |wanted: fn(u16) -> bool| {
        let answers = ledger
            .requests
            .values()
            .filter_map(|request| request.answers.first());
        answers.filter(|answer| wanted(answer.status)).count() as u64
    };
    let mut counts = BTreeMap::from([
        ("requests", ledger.requests.len() as u64),
        ("attempts", ledger.attempts.len() as u64),
        ("served", status(|status| status == 200)),
        ("refused", status(|status| status == 503 || status == 429)),
        (
            "failed",
            status(|status| status != 200 && status != 503 && status != 429),
        ),
        ("client-connections", ledger.connections_by_clients),
        ("server-connections", ledger.connections_to_servers),
        ("bad-clients", ledger.bad_clients),
        (
            "server-starts",
            ledger.starts.iter().filter(|start| !start.long_ago).count() as u64,
        ),
        (
            "router-starts",
            ledger.lives.values().map(Vec::len).sum::<usize>() as u64,
        ),
    ]);
    counts.insert(
        "troubles-hidden-by-outages",
        environment.hidden.values().sum(),
    );
    counts.extend(
        leavings(ledger)
            .into_iter()
            .map(|(how, count)| (how, count as u64)),
    );
    let lab_late_ms = ledger
        .lab_late
        .iter()
        .map(|span| span.to - span.from)
        .sum::<Micros>()
        / 1000;
    let troubles = environment.came.clone();
    Ok(SoakReport {
        seed,
        breaks,
        troubles,
        faults,
        missing,
        counts,
        lab_late_ms,
    })
}
