//! Measures the cost of the edge on this machine, against a bare forwarder on the same event loop and codecs. The
//! workers answer at once, so that the cost is that of the edge alone.

use crate::load_generator::{LoadGenerator, LoadGeneratorSpec, LoadMeasurement};
use crate::plaintext_capture::Authority;
use sanddrum::{AttemptLimits, Decisions, EventBatch, Micros, Router, WorkerId, WorkerState};
use sanddrum_edge::{DecisionModule, Edge, EdgeOptions, KEYS_FILE};
use sanddrum_emulator::{DiscoveryService, DiscoverySpec};
use sanddrum_identity::{token, Claims, KeySet, SecretKey};
use sanddrum_net::{ConnectionId, Core, Event, EventLoop, Io, NullObserver};
use sanddrum_settings::LoadedSettings;
use sanddrum_tls::{ClientAuth, ReloadableConfig, TlsLayer, TlsLimits, TlsOptions};
use sanddrum_wire::frame::encode_frame;
use sanddrum_wire::{
    Done, EndpointRecord, ExecutionStatus, FrameDecoder, FromWorker, HealthStatus, Hello,
    InstanceState, LoadDone, LoadReport, Phase, ToWorker, VERSION,
};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::TcpListener;
use std::sync::{
    atomic::{AtomicBool, AtomicU64, Ordering},
    Arc,
};

const TLS_LIMITS: TlsLimits = TlsLimits {
    handshake_timeout: 2_000_000,
    max_handshakes: 256,
    max_buffered: 256 * 1024,
    expiry_warning: 0,
};
const TLS_SESSION_CACHE_SIZE: usize = 4096;
/// Server name of the client listener.
const LISTENER_NAME: &str = "edge.example.org";

/// Workers that answer at once and have every function loaded, one for each listener.
#[derive(Default)]
struct InstantWorkers {
    /// Number of the worker behind the first listener.
    first_worker: usize,
    peers: BTreeMap<ConnectionId, (usize, FrameDecoder, Vec<u8>)>,
    pending_output: BTreeSet<ConnectionId>,
}

impl Core for InstantWorkers {
    fn start(&mut self, _: Micros, _: &mut dyn Io) {}
    fn on_event(&mut self, _: Micros, event: Event<'_>, _: &mut dyn Io) {
        match event {
            Event::Accepted { conn, listener } => {
                self.peers.insert(
                    conn,
                    (
                        self.first_worker + listener.0,
                        FrameDecoder::new(1 << 24),
                        Vec::new(),
                    ),
                );
            }
            Event::Bytes { conn, bytes } => {
                let Some((n, frames, out)) = self.peers.get_mut(&conn) else {
                    return;
                };
                frames.push_bytes(bytes);
                while let Ok(Some(message)) = frames.next_message::<ToWorker>() {
                    let report = Some(LoadReport {
                        in_flight: Some(0.0),
                        queued: Some(0.0),
                        ..LoadReport::default()
                    });
                    let reply = match message {
                        ToWorker::Hello(_) => {
                            let name = format!("worker-{n}");
                            FromWorker::Hello(Hello {
                                version: VERSION,
                                name,
                                incarnation: 1,
                                age_us: None,
                            })
                        }
                        ToWorker::Execute(e) => FromWorker::Done(Done {
                            id: e.id,
                            status: ExecutionStatus::Finished,
                            instance: Some(InstanceState::Warm),
                            function_in_flight: None,
                            report,
                            body: b"done".to_vec(),
                            customer_rate: None,
                            total_rate: None,
                        }),
                        ToWorker::Load(h) => FromWorker::LoadDone(LoadDone {
                            id: h.id,
                            status: ExecutionStatus::Finished,
                            instances: h.instances.max(1),
                        }),
                        ToWorker::HealthCheck(p) => {
                            FromWorker::HealthStatus(HealthStatus { id: p.id, report })
                        }
                        ToWorker::Cancel(_) | ToWorker::Unload(_) => continue,
                    };
                    out.extend_from_slice(&encode_frame(&reply));
                }
                self.pending_output.insert(conn);
            }
            Event::Writable { conn } => drop(self.pending_output.insert(conn)),
            Event::Closed { conn, .. } => drop(self.peers.remove(&conn)),
            Event::Connected { .. } => {}
        }
    }
    fn process(&mut self, _: Micros, io: &mut dyn Io) {
        while let Some(conn) = self.pending_output.pop_first() {
            if let Some((.., out)) = self.peers.get_mut(&conn) {
                let wrote = io.write(conn, out);
                out.drain(..wrote);
            }
        }
    }
    fn next_wakeup(&self) -> Option<Micros> {
        None
    }
}

/// The baseline: makes no decisions, and sends each request to the next worker in turn.
#[derive(Default)]
struct Forwarder {
    workers: Vec<WorkerId>,
    next: usize,
}

impl DecisionModule for Forwarder {
    fn handle(&mut self, now: Micros, batch: &EventBatch, out: &mut impl Decisions) {
        for record in batch.endpoint_lists.iter().flat_map(|list| &list.endpoints) {
            if record.state == WorkerState::Ready && !self.workers.contains(&record.worker) {
                self.workers.push(record.worker);
            }
        }
        for request in &batch.requests {
            match self.workers.len() {
                0 => out.reject(request.id, 0),
                n => {
                    let worker = self.workers[self.next % n];
                    let time_limit = request.deadline - now;
                    let limits = AttemptLimits::without_send_deadline(time_limit);
                    out.dispatch(request.id, worker, limits);
                }
            }
            self.next += 1;
        }
        for result in batch
            .attempt_results
            .iter()
            .filter(|result| !result.is_final)
        {
            out.fail(result.request);
        }
    }
}

/// What chooses a worker for each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dispatcher {
    Module,
    Forwarder,
}

#[derive(Clone, Debug)]
pub struct MeasureSpec {
    pub dispatcher: Dispatcher,
    pub workers: usize,
    pub functions: usize,
    pub connections: usize,
    pub idle_clients: usize,
    pub rate: f64,
    pub duration: Micros,
    pub warm_up: Micros,
    /// The edge reaches workers over TLS.
    pub tls_to_workers: bool,
    /// Number of different tokens that the requests carry; 0: the edge requires none.
    pub tokens: usize,
    /// How clients connect to the edge.
    pub client_protocol: ClientProtocol,
    /// Clients send each request on a connection of its own.
    pub connection_per_request: bool,
    /// Clients resume TLS sessions.
    pub resume_sessions: bool,
    pub body_bytes: usize,
    /// Connections of a client that sends tokens with bad signatures as fast as they are rejected.
    pub bad_token_connections: usize,
}

/// How clients connect to the edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientProtocol {
    Plain,
    Tls,
    /// TLS with a client certificate.
    Certificate,
}

pub struct EdgeMeasurement {
    pub load: LoadMeasurement,
    /// Processor time of the edge's thread per request that finished.
    pub cpu_us_per_request: f64,
}

/// Processor time of the calling thread, in microseconds.
fn thread_cpu_us() -> f64 {
    let statistics = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    statistics
        .split_whitespace()
        .next()
        .and_then(|ns| ns.parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1000.0
}

/// Clients that connect one after the other and send nothing.
struct IdleClients {
    edge: String,
    count: usize,
    opened: usize,
}

impl Core for IdleClients {
    fn start(&mut self, _: Micros, io: &mut dyn Io) {
        self.connect_next(io);
    }
    fn on_event(&mut self, _: Micros, event: Event<'_>, io: &mut dyn Io) {
        if let Event::Connected { .. } = event {
            self.connect_next(io);
        }
    }
    fn process(&mut self, _: Micros, _: &mut dyn Io) {}
    fn next_wakeup(&self) -> Option<Micros> {
        None
    }
}

impl IdleClients {
    fn connect_next(&mut self, io: &mut dyn Io) {
        if self.opened < self.count {
            self.opened += 1;
            io.connect(&self.edge);
        }
    }
}

const SETTINGS: &str = r#"
    (workload "job" (start-target 1s) (time-limit 5s) (effect restartable))
    (function "f*" (workload "job") (memory 100MB) (lanes 64))
    (customer "measure" (certificates "gw-*"))
    (limits (max-clients 100000) (client-idle 10min) (largest-body 16MB) (largest-frame 32MB)
            (waiting-per-worker 64MB))"#;

fn settings(listen: &str, discovery_address: &str) -> Result<LoadedSettings, String> {
    let mut settings = sanddrum_settings::read("measure", SETTINGS).map_err(|e| e.to_string())?;
    settings
        .override_value("edge.listen", listen, "measure")
        .map_err(|e| e.to_string())?;
    settings
        .override_value("edge.list", discovery_address, "measure")
        .map_err(|e| e.to_string())?;
    Ok(settings)
}

/// Signed tokens, and the key set that verifies them.
fn tokens(count: usize) -> Result<(Vec<String>, Vec<u8>), String> {
    let secret = SecretKey::from_seed("measure", [5; 32]);
    let mut set = KeySet::default();
    let public_key = secret.public_key().map_err(|e| e.to_string())?;
    set.add("measure", public_key).map_err(|e| e.to_string())?;
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    let exp = now.as_secs() as i64 + 3600;
    let sign = |n: usize| {
        let (sub, aud) = ("measure".to_string(), "sanddrum".to_string());
        token::issue(
            &Claims {
                sub,
                aud,
                exp,
                nbf: None,
                iat: None,
                jti: n.to_string(),
            },
            &secret,
        )
    };
    let signed: Result<_, token::SignError> = (0..count).map(sign).collect();
    Ok((signed.map_err(|e| e.to_string())?, set.write()))
}

/// An edge that gets its key set when it starts, without watching a file.
struct EdgeWithKeySet {
    core: Box<dyn Core>,
    keys: Vec<u8>,
}

impl Core for EdgeWithKeySet {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        self.core.start(now, io);
        self.core.on_file(now, KEYS_FILE, Ok(&self.keys), io);
    }
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        self.core.on_event(now, event, io);
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        self.core.process(now, io);
    }
    fn next_wakeup(&self) -> Option<Micros> {
        self.core.next_wakeup()
    }
}

/// Runs an event loop in a thread of its own until `stop` is set.
fn spawn_event_loop(
    stop: Arc<AtomicBool>,
    make: impl FnOnce(&mut EventLoop) -> io::Result<()> + Send + 'static,
) -> std::thread::JoinHandle<io::Result<()>> {
    std::thread::spawn(move || {
        let mut driver = EventLoop::new(Box::new(NullObserver))?;
        make(&mut driver)?;
        while !stop.load(Ordering::Relaxed) {
            let until = driver.now() + 50_000;
            driver.run_until(until)?;
        }
        Ok(())
    })
}

/// Measures one edge, in one thread, under load from another, with its workers in a third.
///
/// # Errors
/// A socket can't be opened, mostly for lack of file descriptors, or a key, token or certificate can't be made.
pub fn measure_edge(spec: &MeasureSpec) -> Result<EdgeMeasurement, String> {
    let error_text = |e: io::Error| e.to_string();
    let stop = Arc::new(AtomicBool::new(false));
    let bound_workers: Vec<(TcpListener, String)> = (0..spec.workers)
        .map(|_| EventLoop::bind("127.0.0.1:0"))
        .collect::<io::Result<_>>()
        .map_err(error_text)?;
    let (discovery_listener, discovery_address) =
        EventLoop::bind("127.0.0.1:0").map_err(error_text)?;
    let (edge_listener, edge_address) = EventLoop::bind("127.0.0.1:0").map_err(error_text)?;
    let record = |(n, (_, at)): (usize, &(TcpListener, String))| EndpointRecord {
        name: format!("worker-{n}"),
        address: at.clone(),
        zone: "here".into(),
        size: 4.0,
        phase: Phase::Ready,
        incarnation: 1,
        age_us: -1,
        ..EndpointRecord::default()
    };
    let records: Vec<EndpointRecord> = bound_workers.iter().enumerate().map(record).collect();
    let worker_listeners: Vec<TcpListener> = bound_workers
        .into_iter()
        .map(|(listener, _)| listener)
        .collect();
    let authority = Authority::new().map_err(|e| e.to_string())?;
    let worker_configs = match spec.tls_to_workers {
        true => {
            let worker_config = |n| {
                authority.inbound_config(
                    &format!("worker-{n}"),
                    ClientAuth::Disabled,
                    TLS_SESSION_CACHE_SIZE,
                )
            };
            Some(
                (0..spec.workers)
                    .map(worker_config)
                    .collect::<Result<Vec<_>, _>>()?,
            )
        }
        false => None,
    };
    let outbound_config = spec
        .tls_to_workers
        .then(|| authority.outbound_config(TLS_SESSION_CACHE_SIZE))
        .transpose()?;
    let (inbound_config, client_config) = match spec.client_protocol {
        ClientProtocol::Plain => (None, None),
        protocol => {
            let client_auth = if protocol == ClientProtocol::Certificate {
                ClientAuth::Required
            } else {
                ClientAuth::Disabled
            };
            let mut tls_material = authority.tls_material("gw-1")?;
            tls_material.certified_key = tls_material
                .certified_key
                .filter(|_| protocol == ClientProtocol::Certificate);
            let sessions = if spec.resume_sessions {
                TLS_SESSION_CACHE_SIZE
            } else {
                0
            };
            let client = ReloadableConfig::new(
                tls_material,
                TlsOptions {
                    session_cache_size: sessions,
                    ..TlsOptions::default()
                },
            )
            .map_err(|e| e.to_string())?;
            (
                Some(authority.inbound_config(
                    LISTENER_NAME,
                    client_auth,
                    TLS_SESSION_CACHE_SIZE,
                )?),
                Some(client),
            )
        }
    };
    let workers = spawn_event_loop(stop.clone(), move |driver| {
        let spec = DiscoverySpec {
            min_publish_delay: 0,
            max_publish_delay: 0,
            heartbeat_timeout: Micros::MAX / 4,
            change_history: 16,
            snapshot_cost: 0,
            delta_cost: 0,
            max_pending_watches: 1024,
        };
        let discovery = DiscoveryService::new(spec, 1, 1, Default::default())
            .with_endpoints(driver.now(), &records);
        driver.add(Box::new(discovery), vec![discovery_listener], None)?;
        let Some(configs) = worker_configs else {
            return driver
                .add(Box::new(InstantWorkers::default()), worker_listeners, None)
                .map(drop);
        };
        for (first_worker, (listener, config)) in
            worker_listeners.into_iter().zip(configs).enumerate()
        {
            let core = TlsLayer::new(
                InstantWorkers {
                    first_worker,
                    ..InstantWorkers::default()
                },
                TLS_LIMITS,
            )
            .with_inbound(config);
            driver.add(Box::new(core), vec![listener], None)?;
        }
        Ok(())
    });
    // The edge's thread publishes its processor time after every slice of its event loop.
    let cpu_us = Arc::new(AtomicU64::new(0));
    let published_cpu_us = cpu_us.clone();
    let mut settings = settings(&edge_address, &discovery_address)?;
    let (tokens, keys) = tokens(spec.tokens)?;
    if spec.client_protocol == ClientProtocol::Certificate {
        for (name, value) in [
            ("door.certificate-file", "door.pem"),
            ("door.key-file", "door.key"),
            ("door.roots-file", "roots.pem"),
            ("door.speaks", "tls"),
            ("door.certificates", "required"),
        ] {
            settings
                .override_value(name, value, "measure")
                .map_err(|e| e.to_string())?;
        }
    }
    if spec.tokens > 0 {
        for (name, value) in [
            ("identity.keys-file", "keys"),
            ("identity.tokens", "required"),
            ("identity.token-checks", "10000000"),
        ] {
            settings
                .override_value(name, value, "measure")
                .map_err(|e| e.to_string())?;
        }
    }
    let dispatcher = spec.dispatcher;
    let edge_stop = stop.clone();
    // The name identifies the thread in a profiler.
    let edge = std::thread::Builder::new()
        .name(format!("edge-{dispatcher:?}"))
        .spawn(move || -> io::Result<()> {
            let mut driver = EventLoop::new(Box::new(NullObserver))?;
            let options = EdgeOptions {
                settings,
                seed: 1,
                cached_state: None,
                incarnation: 1,
                metrics_page: None,
                platform: None,
            };
            let core: Box<dyn Core> = match dispatcher {
                Dispatcher::Module => {
                    let module = Router::new(1, &options.settings.decision_settings());
                    Box::new(Edge::with_module(options, module))
                }
                Dispatcher::Forwarder => Box::new(Edge::with_module(options, Forwarder::default())),
            };
            let core: Box<dyn Core> = match (outbound_config, inbound_config) {
                (None, None) => core,
                (outbound, inbound) => {
                    let layer = outbound
                        .into_iter()
                        .fold(TlsLayer::new(core, TLS_LIMITS), TlsLayer::with_outbound);
                    Box::new(inbound.into_iter().fold(layer, TlsLayer::with_inbound))
                }
            };
            let core = EdgeWithKeySet { core, keys };
            driver.add(Box::new(core), vec![edge_listener], None)?;
            while !edge_stop.load(Ordering::Relaxed) {
                let until = driver.now() + 50_000;
                driver.run_until(until)?;
                published_cpu_us.store(thread_cpu_us() as u64, Ordering::Relaxed);
            }
            Ok(())
        });
    let edge = edge.map_err(error_text)?;
    let cpu = || cpu_us.load(Ordering::Relaxed) as f64;
    let mut driver = EventLoop::new(Box::new(NullObserver)).map_err(error_text)?;
    let wait = |driver: &mut EventLoop, span: Micros| {
        let until = driver.now() + span;
        driver.run_until(until).map_err(error_text)
    };
    if spec.idle_clients > 0 {
        let idle = IdleClients {
            edge: edge_address.clone(),
            count: spec.idle_clients,
            opened: 0,
        };
        driver
            .add(Box::new(idle), vec![], None)
            .map_err(error_text)?;
        wait(&mut driver, 200_000 + spec.idle_clients as Micros * 100)?;
    }
    wait(&mut driver, 300_000)?;
    let generator_spec = |tokens: Vec<String>| LoadGeneratorSpec {
        edge: edge_address.clone(),
        workload: "job".into(),
        function: "f".into(),
        functions: spec.functions,
        connections: spec.connections,
        rate: spec.rate,
        duration: spec.duration,
        warm_up: spec.warm_up,
        body: "x".repeat(spec.body_bytes),
        tokens,
        tls_name: (spec.client_protocol != ClientProtocol::Plain)
            .then(|| LISTENER_NAME.to_string()),
        connection_per_request: spec.connection_per_request,
        reopen_closed: false,
        seed: 1,
    };
    if spec.bad_token_connections > 0 {
        let bad = tokens
            .iter()
            .chain([&String::new()])
            .take(1)
            .map(|token| format!("{token}AAAA"))
            .collect();
        let spec = LoadGeneratorSpec {
            connections: spec.bad_token_connections,
            rate: 0.0,
            reopen_closed: true,
            ..generator_spec(bad)
        };
        driver
            .add(Box::new(LoadGenerator::new(spec)), vec![], None)
            .map_err(error_text)?;
    }
    let generator = LoadGenerator::new(generator_spec(tokens));
    let measurement = generator.measurement.clone();
    let host = match client_config {
        Some(config) => driver.add(
            Box::new(TlsLayer::new(generator, TLS_LIMITS).with_outbound(config)),
            vec![],
            None,
        ),
        None => driver.add(Box::new(generator), vec![], None),
    };
    let host = host.map_err(error_text)?;
    wait(&mut driver, spec.warm_up)?;
    let before = cpu();
    wait(&mut driver, spec.duration - spec.warm_up)?;
    let after = cpu();
    for _ in 0..100 {
        if driver.is_core_done(host) {
            break;
        }
        wait(&mut driver, 20_000)?;
    }
    stop.store(true, Ordering::Relaxed);
    for thread in [workers, edge] {
        thread
            .join()
            .map_err(|_| "a worker or edge thread panicked".to_string())?
            .map_err(error_text)?;
    }
    let load = std::mem::replace(&mut *measurement.borrow_mut(), LoadMeasurement::empty());
    let cpu_us_per_request = (after - before) / load.finished.max(1) as f64;
    Ok(EdgeMeasurement {
        load,
        cpu_us_per_request,
    })
}
