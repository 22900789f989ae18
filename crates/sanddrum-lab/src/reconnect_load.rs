//! A zone is lost and back cold, and every edge reconnects over TLS, in virtual time with real handshakes that take
//! their time at the workers: once as the connection module decides, once with connections opened on demand.

use crate::environment::{product_edge, Environment, VirtualEnvironment};
use crate::recorder::Recording;
use crate::scenario::Scenario;
use crate::{play, Outcome};
use sanddrum_net::LinkModel;
use std::io;

#[derive(Clone, Copy, Debug)]
pub struct ReconnectLoadSpec {
    pub edges: usize,
    pub workers: usize,
    pub rate: usize,
    /// What a handshake takes a worker.
    pub handshake_ms: usize,
    /// Connections are opened when something is sent, all at once, however it went before.
    pub on_demand: bool,
    pub seed: u64,
}

#[derive(Clone, Debug)]
pub struct ReconnectLoad {
    pub service: f64,
    /// The part of the calls of each second that were answered in time.
    pub seconds: Vec<f64>,
    /// Seconds from the zone's return until service is for good what it was before its loss, less a twentieth.
    pub calm: f64,
    /// Handshakes in the worst second of the worst worker, after the return.
    pub worst: u32,
    pub handshakes: u32,
    pub broken: usize,
    pub p99_ms: f64,
}

const LOST: i64 = 6;
const BACK: i64 = 9;
const LENGTH: i64 = 24;

fn scenario(spec: &ReconnectLoadSpec) -> String {
    let on_demand = "(handshakes-out 100000) (handshakes-per-worker 10000) (connections-ahead 0)
        (connect-again 100000) (left-alone-least 1ms) (left-alone-most 1ms) (handshake-part 0)";
    let ReconnectLoadSpec {
        edges,
        workers,
        rate,
        handshake_ms,
        ..
    } = spec;
    let limits = if spec.on_demand { on_demand } else { "" };
    format!(
        r#"(deployment (zones "a" "b" "c"))
        (workload "job" (start-target 1s) (time-limit 3s) (effect restartable))
        (function "f-*" (workload "job") (memory 200MB) (lanes 2))
        (rules (cold-from 20%) (cold 6s) (fall-multiple 3) (fall 3s))
        (limits {limits})
        (tls (workers verified) (roots-file "roots.pem"))
        (fleet (workers {workers}) (edges {edges}) (cores 4) (memory 5GB) (handshake {handshake_ms}ms))
        (list-service (notice-least 300ms) (notice-most 1200ms) (silent-after 2s))
        (traffic (length {LENGTH}s) (rate {rate}) (functions 200) (zipf 1.0))
        (calls "job" (share 1) (work 30ms))
        (trouble "zone-loss" (at {LOST}s) (length {}s) (zone "b"))
        (trouble "tear" (at {BACK}s) (part 100%))"#,
        BACK - LOST
    )
}

/// Plays one storm.
///
/// # Errors
/// The scenario can't be set up.
pub fn storm(spec: &ReconnectLoadSpec) -> io::Result<ReconnectLoad> {
    let scenario = Scenario::read("storm", &scenario(spec), spec.seed).map_err(io::Error::other)?;
    let recording = Recording::default();
    let mut stage =
        VirtualEnvironment::new(scenario, LinkModel::default(), &recording, product_edge())?;
    let begun = stage.now() / 1_000_000;
    let outcome = play(&mut stage, &recording)?;
    let work = &stage.fleet().handshakes;
    let in_second = |second: i64| {
        work.iter()
            .filter_map(move |w| w.borrow().per_second.get(&(begun + second)).copied())
    };
    Ok(figures(
        &outcome,
        (BACK..LENGTH).map(|s| in_second(s).collect()).collect(),
        work.iter()
            .map(|w| w.borrow().per_second.values().sum::<u32>())
            .sum(),
    ))
}

fn figures(outcome: &Outcome, after: Vec<Vec<u32>>, handshakes: u32) -> ReconnectLoad {
    let part = |(begun, in_time): &(u32, u32)| f64::from(*in_time) / f64::from((*begun).max(1));
    let seconds: Vec<f64> = outcome.verdict.seconds.iter().map(part).collect();
    let of = |from: i64, to: i64| {
        seconds
            .iter()
            .skip(from as usize)
            .take((to - from) as usize)
    };
    let before = of(LOST - 3, LOST).sum::<f64>() / 3.0;
    let last_low = seconds
        .iter()
        .take(LENGTH as usize)
        .rposition(|part| *part < before - 0.05);
    ReconnectLoad {
        service: outcome.verdict.service,
        calm: last_low.map_or(0.0, |n| (n as i64 + 1 - BACK).max(0) as f64),
        worst: after.iter().flatten().copied().max().unwrap_or(0),
        handshakes,
        broken: outcome.verdict.violations.len(),
        p99_ms: outcome.latency_ms(0.99),
        seconds,
    }
}
