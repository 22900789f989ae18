//! What the edge costs on this machine: itself beside a bare forwarder on the same loop and codecs, with workers that
//! answer at once, so that what is left is the edge.

use crate::load_generator::{LoadGenerator, LoadGeneratorSpec, LoadMeasurement};
use crate::plaintext_capture::Authority;
use sanddrum::{Decisions, EventBatch, Micros, Router, WorkerId, WorkerState};
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

const TLS_BOUNDS: TlsLimits = TlsLimits {
    handshake_timeout: 2_000_000,
    max_handshakes: 256,
    max_buffered: 256 * 1024,
    expiry_warning: 0,
};
const TLS_SESSIONS: usize = 4096;
/// The name of the client door.
const DOOR_NAME: &str = "edge.example.org";

/// Workers that answer at once and hold every function; one for each door.
#[derive(Default)]
struct Instant {
    /// The number of the first door's worker.
    first: usize,
    peers: BTreeMap<ConnectionId, (usize, FrameDecoder, Vec<u8>)>,
    dirty: BTreeSet<ConnectionId>,
}

impl Core for Instant {
    fn start(&mut self, _: Micros, _: &mut dyn Io) {}
    fn on_event(&mut self, _: Micros, event: Event<'_>, _: &mut dyn Io) {
        match event {
            Event::Accepted {
                conn,
                listener: door,
            } => {
                self.peers.insert(
                    conn,
                    (self.first + door.0, FrameDecoder::new(1 << 24), Vec::new()),
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
                    let answer = match message {
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
                    out.extend_from_slice(&encode_frame(&answer));
                }
                self.dirty.insert(conn);
            }
            Event::Writable { conn } => drop(self.dirty.insert(conn)),
            Event::Closed { conn, .. } => drop(self.peers.remove(&conn)),
            Event::Connected { .. } => {}
        }
    }
    fn process(&mut self, _: Micros, io: &mut dyn Io) {
        while let Some(conn) = self.dirty.pop_first() {
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

/// No decision at all: each job goes to the next worker.
#[derive(Default)]
struct Forwarder {
    workers: Vec<WorkerId>,
    next: usize,
}

impl DecisionModule for Forwarder {
    fn handle(&mut self, now: Micros, round: &EventBatch, out: &mut impl Decisions) {
        for row in round.endpoint_lists.iter().flat_map(|list| &list.endpoints) {
            if row.state == WorkerState::Ready && !self.workers.contains(&row.worker) {
                self.workers.push(row.worker);
            }
        }
        for job in &round.requests {
            match self.workers.len() {
                0 => out.reject(job.id, 0),
                n => out.dispatch(job.id, self.workers[self.next % n], job.deadline - now),
            }
            self.next += 1;
        }
        for end in round.attempt_results.iter().filter(|end| !end.is_final) {
            out.fail(end.request);
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decides {
    Module,
    Forwarder,
}

#[derive(Clone, Debug)]
pub struct MeasureSpec {
    pub decides: Decides,
    pub workers: usize,
    pub functions: usize,
    pub connections: usize,
    pub idle_clients: usize,
    pub rate: f64,
    pub length: Micros,
    pub warm_up: Micros,
    /// Workers are spoken to over TLS.
    pub tls: bool,
    /// Callers show so many different tokens; nought: none are asked for.
    pub tokens: usize,
    /// What clients speak.
    pub door: Speaks,
    /// Each call on a connection of its own.
    pub fresh: bool,
    /// Clients take sessions up again.
    pub resumes: bool,
    pub body_bytes: usize,
    /// Connections of somebody who sends tokens with bad signatures as fast as they are refused.
    pub flood: usize,
}

/// What clients of the edge speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Speaks {
    Plain,
    Tls,
    /// And they show a certificate.
    Certificate,
}

pub struct Measured {
    pub load: LoadMeasurement,
    /// Processor time of the edge's thread for each call that it answered.
    pub cpu_us_per_call: f64,
}

/// Processor time of the calling thread, in microseconds.
fn thread_cpu_us() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    text.split_whitespace()
        .next()
        .and_then(|ns| ns.parse::<f64>().ok())
        .unwrap_or(0.0)
        / 1000.0
}

/// Connects so many clients that say nothing.
struct Idle {
    edge: String,
    wanted: usize,
    open: usize,
}

impl Core for Idle {
    fn start(&mut self, _: Micros, io: &mut dyn Io) {
        self.more(io);
    }
    fn on_event(&mut self, _: Micros, event: Event<'_>, io: &mut dyn Io) {
        if let Event::Connected { .. } = event {
            self.more(io);
        }
    }
    fn process(&mut self, _: Micros, _: &mut dyn Io) {}
    fn next_wakeup(&self) -> Option<Micros> {
        None
    }
}

impl Idle {
    fn more(&mut self, io: &mut dyn Io) {
        if self.open < self.wanted {
            self.open += 1;
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

fn settings(listen: &str, list: &str) -> Result<LoadedSettings, String> {
    let mut settings = sanddrum_settings::read("measure", SETTINGS).map_err(|e| e.to_string())?;
    settings
        .override_value("edge.listen", listen, "measure")
        .map_err(|e| e.to_string())?;
    settings
        .override_value("edge.list", list, "measure")
        .map_err(|e| e.to_string())?;
    Ok(settings)
}

/// So many tokens, and the key set that verifies them.
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

/// An edge that has its key set from the start.
struct Keyed {
    core: Box<dyn Core>,
    keys: Vec<u8>,
}

impl Core for Keyed {
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

/// Runs a loop in a thread of its own until told to stop; gives the processor time that it took.
fn in_thread(
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
/// A socket could not be had: mostly too few file descriptors.
pub fn measure(spec: &MeasureSpec) -> Result<Measured, String> {
    let text = |e: io::Error| e.to_string();
    let stop = Arc::new(AtomicBool::new(false));
    let bound: Vec<(TcpListener, String)> = (0..spec.workers)
        .map(|_| EventLoop::bind("127.0.0.1:0"))
        .collect::<io::Result<_>>()
        .map_err(text)?;
    let (list_door, list_at) = EventLoop::bind("127.0.0.1:0").map_err(text)?;
    let (edge_door, edge_at) = EventLoop::bind("127.0.0.1:0").map_err(text)?;
    let row = |(n, (_, at)): (usize, &(TcpListener, String))| EndpointRecord {
        name: format!("worker-{n}"),
        address: at.clone(),
        zone: "here".into(),
        size: 4.0,
        phase: Phase::Ready,
        incarnation: 1,
        age_us: -1,
        ..EndpointRecord::default()
    };
    let rows: Vec<EndpointRecord> = bound.iter().enumerate().map(row).collect();
    let doors: Vec<TcpListener> = bound.into_iter().map(|(listener, _)| listener).collect();
    let authority = Authority::new().map_err(|e| e.to_string())?;
    let worker_terms = match spec.tls {
        true => {
            let terms =
                |n| authority.for_door(&format!("worker-{n}"), ClientAuth::Disabled, TLS_SESSIONS);
            Some(
                (0..spec.workers)
                    .map(terms)
                    .collect::<Result<Vec<_>, _>>()?,
            )
        }
        false => None,
    };
    let edge_terms = spec
        .tls
        .then(|| authority.for_edge(TLS_SESSIONS))
        .transpose()?;
    let (door_side, client_side) = match spec.door {
        Speaks::Plain => (None, None),
        speaks => {
            let asks = if speaks == Speaks::Certificate {
                ClientAuth::Required
            } else {
                ClientAuth::Disabled
            };
            let mut papers = authority.papers("gw-1")?;
            papers.certified_key = papers
                .certified_key
                .filter(|_| speaks == Speaks::Certificate);
            let sessions = if spec.resumes { TLS_SESSIONS } else { 0 };
            let client = ReloadableConfig::new(
                papers,
                TlsOptions {
                    session_cache_size: sessions,
                    ..TlsOptions::default()
                },
            )
            .map_err(|e| e.to_string())?;
            (
                Some(authority.for_door(DOOR_NAME, asks, TLS_SESSIONS)?),
                Some(client),
            )
        }
    };
    let workers = in_thread(stop.clone(), move |driver| {
        let spec = DiscoverySpec {
            min_publish_delay: 0,
            max_publish_delay: 0,
            heartbeat_timeout: Micros::MAX / 4,
            change_history: 16,
            snapshot_cost: 0,
            delta_cost: 0,
            max_pending_watches: 1024,
        };
        let list = DiscoveryService::new(spec, 1, 1, Default::default())
            .with_endpoints(driver.now(), &rows);
        driver.add(Box::new(list), vec![list_door], None)?;
        let Some(terms) = worker_terms else {
            return driver
                .add(Box::new(Instant::default()), doors, None)
                .map(drop);
        };
        for (first, (door, terms)) in doors.into_iter().zip(terms).enumerate() {
            let core = TlsLayer::new(
                Instant {
                    first,
                    ..Instant::default()
                },
                TLS_BOUNDS,
            )
            .with_inbound(terms);
            driver.add(Box::new(core), vec![door], None)?;
        }
        Ok(())
    });
    // The edge's thread tells its processor time every slice; nobody waits for it.
    let cpu_us = Arc::new(AtomicU64::new(0));
    let telling = cpu_us.clone();
    let mut settings = settings(&edge_at, &list_at)?;
    let (tokens, keys) = tokens(spec.tokens)?;
    if spec.door == Speaks::Certificate {
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
    let decides = spec.decides;
    let edge_stop = stop.clone();
    // Named, so that a profiler can tell it from the rest.
    let edge = std::thread::Builder::new()
        .name(format!("edge-{decides:?}"))
        .spawn(move || -> io::Result<()> {
            let mut driver = EventLoop::new(Box::new(NullObserver))?;
            let start = EdgeOptions {
                settings,
                seed: 1,
                cached_state: None,
                incarnation: 1,
                metrics_page: None,
                platform: None,
            };
            let core: Box<dyn Core> = match decides {
                Decides::Module => {
                    let module = Router::new(1, &start.settings.decision_settings());
                    Box::new(Edge::with_module(start, module))
                }
                Decides::Forwarder => Box::new(Edge::with_module(start, Forwarder::default())),
            };
            let core: Box<dyn Core> = match (edge_terms, door_side) {
                (None, None) => core,
                (calls, doors) => {
                    let layer = calls
                        .into_iter()
                        .fold(TlsLayer::new(core, TLS_BOUNDS), TlsLayer::with_outbound);
                    Box::new(doors.into_iter().fold(layer, TlsLayer::with_inbound))
                }
            };
            let core = Keyed { core, keys };
            driver.add(Box::new(core), vec![edge_door], None)?;
            while !edge_stop.load(Ordering::Relaxed) {
                let until = driver.now() + 50_000;
                driver.run_until(until)?;
                telling.store(thread_cpu_us() as u64, Ordering::Relaxed);
            }
            Ok(())
        });
    let edge = edge.map_err(text)?;
    let cpu = || cpu_us.load(Ordering::Relaxed) as f64;
    let mut driver = EventLoop::new(Box::new(NullObserver)).map_err(text)?;
    let wait = |driver: &mut EventLoop, span: Micros| {
        let until = driver.now() + span;
        driver.run_until(until).map_err(text)
    };
    if spec.idle_clients > 0 {
        let idle = Idle {
            edge: edge_at.clone(),
            wanted: spec.idle_clients,
            open: 0,
        };
        driver.add(Box::new(idle), vec![], None).map_err(text)?;
        wait(&mut driver, 200_000 + spec.idle_clients as Micros * 100)?;
    }
    wait(&mut driver, 300_000)?;
    let spec_of = |tokens: Vec<String>| LoadGeneratorSpec {
        edge: edge_at.clone(),
        workload: "job".into(),
        function: "f".into(),
        functions: spec.functions,
        connections: spec.connections,
        rate: spec.rate,
        length: spec.length,
        warm_up: spec.warm_up,
        body: "x".repeat(spec.body_bytes),
        tokens,
        name: (spec.door != Speaks::Plain).then(|| DOOR_NAME.to_string()),
        fresh: spec.fresh,
        reopens: false,
        seed: 1,
    };
    if spec.flood > 0 {
        let bad = tokens
            .iter()
            .chain([&String::new()])
            .take(1)
            .map(|token| format!("{token}AAAA"))
            .collect();
        let spec = LoadGeneratorSpec {
            connections: spec.flood,
            rate: 0.0,
            reopens: true,
            ..spec_of(bad)
        };
        driver
            .add(Box::new(LoadGenerator::new(spec)), vec![], None)
            .map_err(text)?;
    }
    let hammer = LoadGenerator::new(spec_of(tokens));
    let seen = hammer.seen.clone();
    let host = match client_side {
        Some(side) => driver.add(
            Box::new(TlsLayer::new(hammer, TLS_BOUNDS).with_outbound(side)),
            vec![],
            None,
        ),
        None => driver.add(Box::new(hammer), vec![], None),
    };
    let host = host.map_err(text)?;
    wait(&mut driver, spec.warm_up)?;
    let before = cpu();
    wait(&mut driver, spec.length - spec.warm_up)?;
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
            .map_err(|_| "a thread panicked".to_string())?
            .map_err(text)?;
    }
    let load = std::mem::replace(&mut *seen.borrow_mut(), LoadMeasurement::empty());
    let cpu_us_per_call = (after - before) / load.finished.max(1) as f64;
    Ok(Measured {
        load,
        cpu_us_per_call,
    })
}
