//! What crossed the sockets at clients, workers and the list service, read with the codecs and kept as a log. The
//! edges' own state and logs are never looked at.

use crate::scheduling_delay::SchedulingDelays;
use sanddrum_net::{ConnectionId, HostId, Micros, Side, TrafficObserver};
use sanddrum_wire::http::{self, Parsed};
use sanddrum_wire::{
    ExecutionStatus, FrameDecoder, FromDiscovery, FromWorker, Phase, ToDiscovery, ToWorker,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

/// Which of the things that are watched a core is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Callers,
    Worker(usize),
    List,
    /// Not read: what it says is seen at its other end.
    Other,
}

/// A try of a call, as its client sent it.
#[derive(Clone, Debug, Default)]
pub struct ClientAttempt {
    pub call: u64,
    pub number: u32,
    pub workload: String,
    pub edge: String,
    /// When its call began, and when this try had gone out whole.
    pub call_started_at: Micros,
    pub sent_at: Micros,
    pub time_limit: Micros,
    pub customer: Option<String>,
    /// The key that its token names.
    pub key: Option<String>,
    /// When each answer had come whole, with its status.
    pub answers: Vec<(Micros, u16)>,
    /// When the connection ended with the try unanswered.
    pub closed_at: Option<Micros>,
}

/// An execution that reached a worker whole.
#[derive(Clone, Debug)]
pub struct Execution {
    pub worker: usize,
    pub edge: String,
    pub received_at: Micros,
    pub call: u64,
    pub number: u32,
    pub workload: String,
    /// What the worker answered to it, and when that left it.
    pub answers: Vec<(Micros, ExecutionStatus)>,
}

/// An order to load that reached a worker.
#[derive(Clone, Debug)]
pub struct LoadCommand {
    pub worker: usize,
    pub edge: String,
    pub received_at: Micros,
    pub instances: u32,
}

/// What an edge was told of a worker.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    pub edge: String,
    pub at: Micros,
    pub worker: String,
    pub phase: Phase,
}

#[derive(Clone, Debug, Default)]
pub struct Log {
    pub client_attempts: Vec<ClientAttempt>,
    pub executions: Vec<Execution>,
    pub load_commands: Vec<LoadCommand>,
    pub endpoint_updates: Vec<EndpointUpdate>,
    /// Workers' starts, from cold, as the scenario made them.
    pub worker_starts: Vec<(usize, Micros)>,
    /// When edges were down, by name: from, and until (if they came back).
    pub edge_downtime: Vec<(String, Micros, Option<Micros>)>,
    /// When edges stood still, likewise: they answer nobody meanwhile, and remember all.
    pub edge_pauses: Vec<(String, Micros, Option<Micros>)>,
    /// The machine may hold a process up for so long.
    pub max_scheduling_delay: Micros,
    /// How long it did, edges by their names; empty where nobody looked.
    pub scheduling_delays: BTreeMap<String, SchedulingDelays>,
    /// Keys that were revoked, and from when on no edge takes a call under them.
    pub revoked: BTreeMap<String, Micros>,
    pub bytes: u64,
    /// What reached the list service and each worker, from all edges, by second.
    pub loads: BTreeMap<(Target, Micros), Load>,
}

/// Whom a load falls on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    List,
    Worker(usize),
}

/// What fell on it within a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Connections made.
    pub handshakes: u64,
    /// Calls for the list.
    pub calls: u64,
    pub whole_lists: u64,
    pub bytes: u64,
    pub probes: u64,
    pub load_queries: u64,
    pub load_commands: u64,
    pub misses: u64,
}

impl Log {
    fn load(&mut self, target: Target, now: Micros) -> &mut Load {
        self.loads.entry((target, now / 1_000_000)).or_default()
    }
    /// The worst of a figure in any second, over all workers or at the list service.
    pub fn worst(&self, list: bool, figure: impl Fn(&Load) -> u64) -> u64 {
        let of = self
            .loads
            .iter()
            .filter(|((target, _), _)| (*target == Target::List) == list);
        of.map(|(_, load)| figure(load)).max().unwrap_or(0)
    }
    /// The sum of a figure over the whole day.
    pub fn sum(&self, list: bool, figure: impl Fn(&Load) -> u64) -> u64 {
        let of = self
            .loads
            .iter()
            .filter(|((target, _), _)| (*target == Target::List) == list);
        of.map(|(_, load)| figure(load)).sum()
    }
}

enum Reader {
    Caller {
        edge: String,
        out: Vec<u8>,
        inn: Vec<u8>,
        open: Option<usize>,
    },
    Worker {
        n: usize,
        edge: String,
        inn: FrameDecoder,
        out: FrameDecoder,
        runs: BTreeMap<u64, usize>,
    },
    List {
        name: String,
        edge: Option<String>,
        inn: FrameDecoder,
        out: FrameDecoder,
    },
}

#[derive(Default)]
pub struct Recorder {
    roles: BTreeMap<HostId, Role>,
    /// Edge names by their addresses.
    edges: BTreeMap<String, String>,
    readers: BTreeMap<(HostId, ConnectionId), Reader>,
    pub log: Log,
    digest: DefaultHasher,
}

const MOST: usize = 64 << 20;

impl Recorder {
    pub fn role(&mut self, host: HostId, role: Role) {
        self.roles.insert(host, role);
    }
    pub fn edge(&mut self, address: &str, name: &str) {
        self.edges.insert(address.into(), name.into());
    }
    /// A figure of everything that crossed, when and where: equal timelines have equal ones.
    pub fn digest(&self) -> u64 {
        self.digest.finish()
    }

    fn caller_sent(
        log: &mut Log,
        now: Micros,
        edge: &str,
        out: &mut Vec<u8>,
        open: &mut Option<usize>,
    ) {
        while let Ok(Parsed::Complete(request, took)) = http::parse_request(out, MOST, MOST) {
            out.drain(..took);
            let trace = request.field("sanddrum-trace").unwrap_or_default();
            let Some((call, number, since)) = read_trace(trace) else {
                continue;
            };
            let limit = request
                .field("sanddrum-time-limit-ms")
                .and_then(|ms| ms.parse::<Micros>().ok());
            let workload = request
                .path
                .split('/')
                .nth(3)
                .unwrap_or_default()
                .to_string();
            let token = request
                .field("authorization")
                .and_then(|a| a.split(' ').next_back());
            *open = Some(log.client_attempts.len());
            log.client_attempts.push(ClientAttempt {
                call,
                number,
                workload,
                edge: edge.to_string(),
                call_started_at: now - since,
                sent_at: now,
                time_limit: limit.unwrap_or(0) * 1000,
                customer: request.field("sanddrum-customer").map(String::from),
                key: token.and_then(sanddrum_identity::token::unverified_key_id),
                ..ClientAttempt::default()
            });
        }
    }
}

/// `c<call>.<try>.<microseconds since the call began>`.
fn read_trace(trace: &str) -> Option<(u64, u32, Micros)> {
    let mut parts = trace.strip_prefix('c')?.split('.');
    let call = parts.next()?.parse().ok()?;
    let number = parts.next()?.parse().ok()?;
    Some((
        call,
        number,
        parts.next().and_then(|us| us.parse().ok()).unwrap_or(0),
    ))
}

/// The recorder as a tap that a driver holds while the player holds it, too.
#[derive(Clone, Default)]
pub struct Recording(pub Rc<RefCell<Recorder>>);

impl TrafficObserver for Recording {
    fn opened(&mut self, now: Micros, host: HostId, conn: ConnectionId, side: Side, to: &str) {
        let mut this = self.0.borrow_mut();
        (now, host, conn, 0u8).hash(&mut this.digest);
        let role = this.roles.get(&host).copied().unwrap_or(Role::Other);
        let reader = match (role, side) {
            (Role::Callers, Side::Connected) => {
                let edge = this.edges.get(to).cloned().unwrap_or_default();
                Reader::Caller {
                    edge,
                    out: Vec::new(),
                    inn: Vec::new(),
                    open: None,
                }
            }
            (Role::Worker(n), Side::Accepted) => {
                this.log.load(Target::Worker(n), now).handshakes += 1;
                let (inn, out) = (FrameDecoder::new(MOST), FrameDecoder::new(MOST));
                Reader::Worker {
                    n,
                    edge: String::new(),
                    inn,
                    out,
                    runs: BTreeMap::new(),
                }
            }
            (Role::List, Side::Accepted) => Reader::List {
                name: String::new(),
                edge: None,
                inn: FrameDecoder::new(MOST),
                out: FrameDecoder::new(MOST),
            },
            _ => return,
        };
        this.readers.insert((host, conn), reader);
    }

    fn received(&mut self, now: Micros, host: HostId, conn: ConnectionId, bytes: &[u8]) {
        let this = &mut *self.0.borrow_mut();
        (now, host, conn, 1u8, bytes).hash(&mut this.digest);
        this.log.bytes += bytes.len() as u64;
        let log = &mut this.log;
        match this.readers.get_mut(&(host, conn)) {
            Some(Reader::Caller { inn, open, .. }) => {
                inn.extend_from_slice(bytes);
                while let Ok(Some((answer, took))) = http::parse_response(inn) {
                    inn.drain(..took);
                    // An answer with no try open belongs to the last one: it is one too many.
                    let at = open.take().or(log.client_attempts.len().checked_sub(1));
                    if let Some(t) = at.and_then(|at| log.client_attempts.get_mut(at)) {
                        t.answers.push((now, answer.status));
                    }
                }
            }
            Some(Reader::Worker {
                n, edge, inn, runs, ..
            }) => {
                inn.push_bytes(bytes);
                while let Ok(Some(message)) = inn.next_message::<ToWorker>() {
                    match message {
                        ToWorker::Hello(hello) => *edge = hello.name,
                        ToWorker::Execute(e) => {
                            let trace = e.trace.as_deref().and_then(read_trace);
                            let Some((call, number, _)) = trace else {
                                continue;
                            };
                            runs.insert(e.id, log.executions.len());
                            let (worker, edge) = (*n, edge.clone());
                            let (workload, answers) = (e.workload, Vec::new());
                            log.executions.push(Execution {
                                worker,
                                edge,
                                received_at: now,
                                call,
                                number,
                                workload,
                                answers,
                            });
                        }
                        ToWorker::Load(h) if h.instances == 0 => {
                            log.load(Target::Worker(*n), now).load_queries += 1
                        }
                        ToWorker::HealthCheck(_) => log.load(Target::Worker(*n), now).probes += 1,
                        ToWorker::Load(h) => {
                            log.load(Target::Worker(*n), now).load_commands += 1;
                            log.load_commands.push(LoadCommand {
                                worker: *n,
                                edge: edge.clone(),
                                received_at: now,
                                instances: h.instances,
                            });
                        }
                        _ => {}
                    }
                }
            }
            Some(Reader::List {
                name, edge, inn, ..
            }) => {
                inn.push_bytes(bytes);
                while let Ok(Some(message)) = inn.next_message::<ToDiscovery>() {
                    match message {
                        ToDiscovery::Hello(hello) => *name = hello.name,
                        ToDiscovery::Watch(_) => {
                            log.load(Target::List, now).calls += 1;
                            *edge = Some(name.clone());
                        }
                        _ => {}
                    }
                }
            }
            None => {}
        }
    }

    fn sent(&mut self, now: Micros, host: HostId, conn: ConnectionId, bytes: &[u8]) {
        let this = &mut *self.0.borrow_mut();
        (now, host, conn, 2u8, bytes).hash(&mut this.digest);
        let log = &mut this.log;
        match this.readers.get_mut(&(host, conn)) {
            Some(Reader::Caller {
                edge, out, open, ..
            }) => {
                out.extend_from_slice(bytes);
                Recorder::caller_sent(log, now, edge, out, open);
            }
            Some(Reader::Worker { n, out, runs, .. }) => {
                out.push_bytes(bytes);
                while let Ok(Some(message)) = out.next_message::<FromWorker>() {
                    let FromWorker::Done(done) = message else {
                        continue;
                    };
                    log.load(Target::Worker(*n), now).misses +=
                        u64::from(done.status == ExecutionStatus::ColdMiss);
                    if let Some(run) = runs
                        .get(&done.id)
                        .and_then(|at| log.executions.get_mut(*at))
                    {
                        run.answers.push((now, done.status));
                    }
                }
            }
            Some(Reader::List {
                edge: Some(edge),
                out,
                ..
            }) => {
                out.push_bytes(bytes);
                log.load(Target::List, now).bytes += bytes.len() as u64;
                while let Ok(Some(message)) = out.next_message::<FromDiscovery>() {
                    let FromDiscovery::Endpoints(rows) = message else {
                        continue;
                    };
                    log.load(Target::List, now).whole_lists += u64::from(rows.is_full_snapshot);
                    for row in rows.endpoints {
                        log.endpoint_updates.push(EndpointUpdate {
                            edge: edge.clone(),
                            at: now,
                            worker: row.name,
                            phase: row.phase,
                        });
                    }
                }
            }
            _ => {}
        }
    }

    fn closed(&mut self, now: Micros, host: HostId, conn: ConnectionId) {
        let this = &mut *self.0.borrow_mut();
        (now, host, conn, 3u8).hash(&mut this.digest);
        if let Some(Reader::Caller { open: Some(at), .. }) = this.readers.remove(&(host, conn)) {
            if let Some(t) = this.log.client_attempts.get_mut(at) {
                t.closed_at = Some(now);
            }
        }
    }
}
