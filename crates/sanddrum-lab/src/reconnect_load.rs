//! Measures the load of reconnecting: a zone is lost and returns cold, and every edge reconnects over TLS. This runs
//! in virtual time, with real TLS handshakes that cost the workers time. Connections are opened either as the
//! connection module decides or on demand.

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
    /// Time of a handshake on one core of a worker.
    pub handshake_ms: usize,
    /// Opens connections only when something is to be sent, without limits on concurrent handshakes and without
    /// backoff.
    pub on_demand: bool,
    pub seed: u64,
}

#[derive(Clone, Debug)]
pub struct ReconnectLoad {
    pub service: f64,
    /// For each second, the fraction of its requests that were answered in time.
    pub in_time_fractions: Vec<f64>,
    /// Seconds from the zone's return until the fraction in time stays within 0.05 of its mean in the 3 s before the
    /// loss, or above it.
    pub recovery_s: f64,
    /// Highest number of handshakes of any worker within one second after the zone's return.
    pub max_handshakes_per_s: u32,
    pub handshakes: u32,
    /// Number of rule violations.
    pub violations: usize,
    pub p99_ms: f64,
}

const LOSS_AT_S: i64 = 6;
const RETURN_AT_S: i64 = 9;
const DURATION_S: i64 = 24;

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
        (traffic (length {DURATION_S}s) (rate {rate}) (functions 200) (zipf 1.0))
        (calls "job" (share 1) (work 30ms))
        (trouble "zone-loss" (at {LOSS_AT_S}s) (length {}s) (zone "b"))
        (trouble "tear" (at {RETURN_AT_S}s) (part 100%))"#,
        RETURN_AT_S - LOSS_AT_S
    )
}

/// Plays the loss and return of a zone once.
///
/// # Errors
/// The scenario can't be set up.
pub fn run_reconnect_load(spec: &ReconnectLoadSpec) -> io::Result<ReconnectLoad> {
    let scenario = Scenario::read("storm", &scenario(spec), spec.seed).map_err(io::Error::other)?;
    let recording = Recording::default();
    let mut environment =
        VirtualEnvironment::new(scenario, LinkModel::default(), &recording, product_edge())?;
    let start_s = environment.now() / 1_000_000;
    let outcome = play(&mut environment, &recording)?;
    let handshake_work = &environment.fleet().handshakes;
    let in_second = |second: i64| {
        handshake_work
            .iter()
            .filter_map(move |w| w.borrow().per_second.get(&(start_s + second)).copied())
    };
    Ok(summarize(
        &outcome,
        (RETURN_AT_S..DURATION_S)
            .map(|s| in_second(s).collect())
            .collect(),
        handshake_work
            .iter()
            .map(|w| w.borrow().per_second.values().sum::<u32>())
            .sum(),
    ))
}

fn summarize(outcome: &Outcome, after: Vec<Vec<u32>>, handshakes: u32) -> ReconnectLoad {
    let fraction =
        |(started, in_time): &(u32, u32)| f64::from(*in_time) / f64::from((*started).max(1));
    let in_time_fractions: Vec<f64> = outcome.verdict.seconds.iter().map(fraction).collect();
    let range = |from: i64, to: i64| {
        in_time_fractions
            .iter()
            .skip(from as usize)
            .take((to - from) as usize)
    };
    let before = range(LOSS_AT_S - 3, LOSS_AT_S).sum::<f64>() / 3.0;
    let last_low = in_time_fractions
        .iter()
        .take(DURATION_S as usize)
        .rposition(|fraction| *fraction < before - 0.05);
    ReconnectLoad {
        service: outcome.verdict.service,
        recovery_s: last_low.map_or(0.0, |n| (n as i64 + 1 - RETURN_AT_S).max(0) as f64),
        max_handshakes_per_s: after.iter().flatten().copied().max().unwrap_or(0),
        handshakes,
        violations: outcome.verdict.violations.len(),
        p99_ms: outcome.latency_ms(0.99),
        in_time_fractions,
    }
}
