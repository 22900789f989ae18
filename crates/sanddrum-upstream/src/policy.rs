//! The policy: its state, and the order in which it records events and decides.

mod handshake_rate;
mod observations;
mod opening;
mod prewarming;
mod retirement;

use crate::config::Config;
use crate::handshake_costs::HandshakeCosts;
use crate::rotation::Rotation;
use crate::worker::Worker;
use crate::{ConnectionEvents, ConnectionRequest, Decisions, WorkerConnectionId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sanddrum::{Micros, Settings, WorkerId};
use sanddrum_limits::TokenBucket;
use std::collections::{BTreeMap, BTreeSet};

/// A handshake in flight.
struct Handshake {
    worker: WorkerId,
    started_at: Micros,
}

/// Decides on the connections of one edge.
pub struct ConnectionPolicy {
    config: Config,
    rng: Pcg64Mcg,
    workers: BTreeMap<WorkerId, Worker>,
    /// Requested connections whose handshake has not started.
    requested: BTreeMap<WorkerConnectionId, ConnectionRequest>,
    handshakes: BTreeMap<WorkerConnectionId, Handshake>,
    established: BTreeMap<WorkerConnectionId, WorkerId>,
    /// Workers to which a nearly full connection was reported since prewarming was last decided.
    nearly_full: BTreeSet<WorkerId>,
    /// Whether workers or connections have changed, so that a prewarmed connection may be missing.
    prewarm_is_due: bool,
    handshake_costs: HandshakeCosts,
    /// Limits attempts to connect to workers that were unreachable; shared by all requests.
    retry_budget: TokenBucket,
    rotation: Rotation,
}

impl ConnectionPolicy {
    /// A policy without workers. Equal seeds and events give equal decisions.
    pub fn new(seed: u64, settings: &Settings) -> Self {
        let config = Config::new(settings);
        ConnectionPolicy {
            rng: Pcg64Mcg::seed_from_u64(seed),
            workers: BTreeMap::new(),
            requested: BTreeMap::new(),
            handshakes: BTreeMap::new(),
            established: BTreeMap::new(),
            nearly_full: BTreeSet::new(),
            prewarm_is_due: false,
            handshake_costs: HandshakeCosts::new(config.connect_timeout),
            retry_budget: TokenBucket::default(),
            rotation: Rotation::new(config.rotation_period, config.rotation_batch),
            config,
        }
    }
    /// What handshakes cost, as estimated so far.
    pub fn handshake_costs(&self) -> &HandshakeCosts {
        &self.handshake_costs
    }
    /// Handshakes in flight.
    pub fn handshakes_in_flight(&self) -> usize {
        self.handshakes.len()
    }
    /// Requested connections whose handshake has not started.
    pub fn queued_requests(&self) -> usize {
        self.requested.len()
    }
    /// Records the events, then decides.
    pub fn handle(
        &mut self,
        now: Micros,
        events: &ConnectionEvents,
        decisions: &mut impl Decisions,
    ) {
        self.record(now, events);
        self.retire_outdated(now, decisions);
        self.open_requested(now, decisions);
        self.prewarm(now, decisions);
    }

    /// A random number in `[0, 1)`.
    fn random(&mut self) -> f64 {
        self.rng.random()
    }
}
