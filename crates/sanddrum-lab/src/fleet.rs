//! Creates the cores of a scenario's processes, and holds the handles through which the scenario injects their faults.

use crate::callers::{Callers, TrafficOverrides};
use crate::plaintext_capture::{tls_limits, Authority, PlaintextCapture};
use crate::recorder::{Recording, Role};
use crate::scenario::Scenario;
use crate::token_issuer::TokenIssuer;
use sanddrum_emulator::{
    DiscoveryFaults, DiscoveryService, GroundTruth, HandshakeQueue, HandshakeWork, IdempotencyKeys,
    Shared, Store, StoreFaults, Worker, WorkerFaults,
};
use sanddrum_net::{Core, HostId, Micros};
use sanddrum_settings::{LoadedSettings, SettingsError};
use sanddrum_tls::{ReloadableConfig, TlsLayer, TlsMaterial, TlsOptions};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A process of a scenario, as the target of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Component {
    Worker(usize),
    Edge(usize),
    List,
    Store,
    Callers,
}

/// The listen addresses of a scenario's processes.
#[derive(Clone, Debug, Default)]
pub struct Addresses {
    pub workers: Vec<String>,
    pub edges: Vec<String>,
    pub list: String,
    pub store: String,
}

/// The processes of a scenario, with what persists over their restarts.
pub struct Fleet {
    pub scenario: Scenario,
    pub addresses: Addresses,
    pub workers: Vec<Shared<WorkerFaults>>,
    pub store: Shared<StoreFaults>,
    pub list: Shared<DiscoveryFaults>,
    pub traffic_overrides: Shared<TrafficOverrides>,
    /// Issues the clients' tokens, if the scenario uses tokens.
    pub token_issuer: Option<Shared<TokenIssuer>>,
    /// Signs the certificates of workers, if the scenario uses TLS to workers.
    pub authority: Option<Authority>,
    /// The authority before the last change, while edges trust both.
    previous_authority: Option<Authority>,
    /// The certificate chain and key of each worker.
    worker_certificates: BTreeMap<usize, (Vec<u8>, Vec<u8>)>,
    /// Workers that present a certificate of a foreign authority.
    pub impostors: BTreeSet<usize>,
    pub handshakes: Vec<Shared<HandshakeWork>>,
    /// Where workers publish their true state, if an oracle decides.
    pub ground_truth: Option<Shared<GroundTruth>>,
    recording: Recording,
    /// The idempotency keys of each group of workers that shares them.
    idempotency_keys: Vec<Shared<IdempotencyKeys>>,
    /// The incarnation of each worker.
    incarnations: Vec<u64>,
    /// How often each edge was started.
    edge_starts: Vec<u64>,
    discovery_starts: u64,
}

fn shared<T>(value: T) -> Shared<T> {
    Rc::new(RefCell::new(value))
}

impl Fleet {
    /// # Errors
    /// The certificate authority can't be created.
    pub fn new(
        scenario: Scenario,
        addresses: Addresses,
        recording: &Recording,
    ) -> std::io::Result<Self> {
        let authority = match scenario.settings.text("tls.workers") {
            "verified" => Some(Authority::new().map_err(std::io::Error::other)?),
            _ => None,
        };
        let l = &scenario.settings;
        let token_issuer = (l.text("identity.tokens") != "off").then(|| {
            let (lifetime, renewal_interval) = (
                l.duration_us("gateways.token-lasts-us"),
                l.duration_us("gateways.renewed-every-us"),
            );
            shared(TokenIssuer::new(
                l.text("identity.audience"),
                lifetime,
                renewal_interval,
                scenario.seed,
            ))
        });
        let window = scenario
            .calls
            .iter()
            .map(|c| c.repeat_window)
            .max()
            .unwrap_or(0);
        Ok(Fleet {
            authority,
            previous_authority: None,
            worker_certificates: BTreeMap::new(),
            impostors: BTreeSet::new(),
            ground_truth: None,
            handshakes: (0..scenario.workers)
                .map(|_| {
                    let cost = l.duration_us("fleet.handshake-us");
                    shared(HandshakeWork {
                        cost,
                        ..HandshakeWork::default()
                    })
                })
                .collect(),
            recording: recording.clone(),
            workers: (0..scenario.workers)
                .map(|_| shared(WorkerFaults::default()))
                .collect(),
            store: shared(StoreFaults::default()),
            list: shared(DiscoveryFaults::default()),
            traffic_overrides: shared(TrafficOverrides::default()),
            idempotency_keys: (0..scenario.workers.max(1))
                .map(|_| shared(IdempotencyKeys::new(window)))
                .collect(),
            token_issuer,
            incarnations: vec![1; scenario.workers],
            edge_starts: vec![0; scenario.edges],
            discovery_starts: 0,
            scenario,
            addresses,
        })
    }
    /// The idempotency keys that worker `n` knows; workers of one group share them.
    fn idempotency_keys_of(&self, n: usize) -> Shared<IdempotencyKeys> {
        let groups: Vec<&str> = self
            .scenario
            .calls
            .iter()
            .map(|c| c.group.as_str())
            .collect();
        let group = if groups.contains(&"cell") {
            n / self.scenario.settings.integer("fleet.cell-size").max(1)
        } else if groups.contains(&"zone") {
            self.scenario.zone_of(n)
        } else {
            0
        };
        self.idempotency_keys[group].clone()
    }
    /// Creates a worker that has been running for a long time, or a `cold` one that starts now with nothing loaded.
    ///
    /// # Errors
    /// Its certificate can't be created.
    pub fn worker(&mut self, n: usize, now: Micros, cold: bool) -> std::io::Result<Box<dyn Core>> {
        if cold {
            self.incarnations[n] += 1;
            let mut faults = self.workers[n].borrow_mut();
            *faults = WorkerFaults::default();
        }
        let a = &self.addresses;
        let spec = self.scenario.worker(n, &a.workers[n], &a.list, &a.store);
        let started = if cold { now } else { 0 };
        let seed = self.scenario.seed.wrapping_mul(31).wrapping_add(n as u64);
        let worker = Worker::new(
            spec,
            seed,
            started,
            self.incarnations[n],
            self.workers[n].clone(),
            self.idempotency_keys_of(n),
        );
        let worker = match &self.ground_truth {
            Some(ground_truth) => worker.with_ground_truth(ground_truth.clone()),
            None => worker,
        };
        let work = self.handshakes[n].clone();
        let has_handshake_cost = work.borrow().cost > 0;
        let worker = if has_handshake_cost {
            worker.with_handshakes(work.clone())
        } else {
            worker
        };
        if self.authority.is_none() {
            return Ok(Box::new(worker));
        }
        let tls_material = self.worker_tls_material(n)?;
        // Record the plaintext inside its TLS layer, under a host id that no driver uses.
        let l = &self.scenario.settings;
        let host = HostId(usize::MAX - n);
        self.recording
            .0
            .borrow_mut()
            .set_role(host, Role::Worker(n));
        let options = TlsOptions {
            session_cache_size: l.integer("tls.sessions"),
            ..TlsOptions::default()
        };
        let inbound =
            ReloadableConfig::new(tls_material, options).map_err(std::io::Error::other)?;
        let captured = PlaintextCapture::new(worker, host, self.recording.clone());
        let layer = TlsLayer::new(captured, tls_limits(l)).with_inbound(inbound);
        let (cold, from) = (l.duration_us("rules.cold-us"), l.number("rules.cold-from"));
        Ok(if has_handshake_cost {
            Box::new(HandshakeQueue::new(layer, work, started, cold, from))
        } else {
            Box::new(layer)
        })
    }
    /// The certificate of a worker and the roots that it trusts.
    ///
    /// # Errors
    /// Its certificate can't be created.
    pub fn worker_tls_material(&mut self, n: usize) -> std::io::Result<TlsMaterial> {
        let Some(authority) = &self.authority else {
            return Ok(TlsMaterial::default());
        };
        let name = Scenario::worker_name(n);
        if self.impostors.contains(&n) {
            let foreign = Authority::new().map_err(std::io::Error::other)?;
            return foreign.tls_material(&name).map_err(std::io::Error::other);
        }
        if let std::collections::btree_map::Entry::Vacant(certificate) =
            self.worker_certificates.entry(n)
        {
            certificate.insert(
                authority
                    .issue_certificate(&name)
                    .map_err(std::io::Error::other)?,
            );
        }
        Ok(TlsMaterial {
            roots: self.roots(),
            certified_key: self.worker_certificates.get(&n).cloned(),
            ..TlsMaterial::default()
        })
    }
    /// The root certificates that edges trust now.
    pub fn roots(&self) -> Vec<u8> {
        self.authority
            .iter()
            .chain(&self.previous_authority)
            .map(Authority::roots_pem)
            .collect::<String>()
            .into_bytes()
    }
    /// Discards the certificates of all workers; new ones are signed by the current authority.
    pub fn renew_certificates(&mut self) {
        self.worker_certificates.clear();
    }
    /// With `keep_old`, replaces the authority and keeps trusting the old one; without, stops trusting the old one.
    ///
    /// # Errors
    /// The new authority can't be created.
    pub fn change_authority(&mut self, keep_old: bool) -> std::io::Result<()> {
        if keep_old && self.authority.is_some() {
            self.previous_authority = self
                .authority
                .replace(Authority::new().map_err(std::io::Error::other)?);
        } else {
            self.previous_authority = None;
        }
        Ok(())
    }
    /// Wraps an edge's core in the TLS layer of its connections to workers.
    ///
    /// # Errors
    /// The authority's certificate can't be parsed.
    pub fn with_tls(&self, edge: Box<dyn Core>) -> std::io::Result<Box<dyn Core>> {
        if self.authority.is_none() {
            return Ok(edge);
        }
        let l = &self.scenario.settings;
        let tls_material = TlsMaterial {
            roots: self.roots(),
            ..TlsMaterial::default()
        };
        let options = TlsOptions {
            session_cache_size: l.integer("tls.sessions"),
            ..TlsOptions::default()
        };
        let outbound =
            ReloadableConfig::new(tls_material, options).map_err(std::io::Error::other)?;
        Ok(Box::new(
            TlsLayer::new(edge, tls_limits(l)).with_outbound(outbound),
        ))
    }
    pub fn store(&self) -> Box<dyn Core> {
        Box::new(Store::new(self.scenario.store(), self.store.clone()))
    }
    pub fn list(&mut self, now: Micros) -> Box<dyn Core> {
        self.discovery_starts += 1;
        let (seed, incarnation) = (self.scenario.seed ^ 0x115, self.discovery_starts);
        let records = self.scenario.endpoint_records(&self.addresses.workers);
        let service =
            DiscoveryService::new(self.scenario.list(), seed, incarnation, self.list.clone());
        Box::new(service.with_endpoints(now, &records))
    }
    /// Creates the clients; `extra_wait` is how long they wait for an answer beyond their time limit.
    pub fn callers(&self, extra_wait: Micros) -> Box<dyn Core> {
        let seed = self.scenario.seed ^ 0xca11;
        let edges = self.addresses.edges.clone();
        let callers = Callers::new(
            &self.scenario,
            edges,
            self.traffic_overrides.clone(),
            self.token_issuer.clone(),
            seed,
        );
        Box::new(callers.with_extra_wait(extra_wait))
    }
    /// The current key set, as edges should have it.
    pub fn keys(&self) -> Option<Vec<u8>> {
        self.token_issuer
            .as_ref()
            .map(|token_issuer| token_issuer.borrow().key_set.write())
    }
    /// An edge's settings, seed and incarnation for its next start.
    ///
    /// # Errors
    /// An address is invalid.
    pub fn edge(&mut self, n: usize) -> Result<(LoadedSettings, u64, u64), SettingsError> {
        self.edge_starts[n] += 1;
        let settings = self
            .scenario
            .edge(n, &self.addresses.edges[n], &self.addresses.list)?;
        let start = self.edge_starts[n];
        let seed = self
            .scenario
            .seed
            .wrapping_mul(1009)
            .wrapping_add(n as u64 * 101 + start);
        Ok((settings, seed, start))
    }
}
