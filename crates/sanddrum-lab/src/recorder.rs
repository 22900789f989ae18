//! Decodes the traffic at clients, workers and the discovery service and records it as a log. The edges' own state and
//! logs are never used.

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

/// The role of a host, which decides how its traffic is decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Callers,
    Worker(usize),
    List,
    /// Not decoded: its traffic is recorded at the other end.
    Other,
}

/// One attempt of a client's call, as the client sent it.
#[derive(Clone, Debug, Default)]
pub struct ClientAttempt {
    pub call: u64,
    pub number: u32,
    pub workload: String,
    pub edge: String,
    pub call_started_at: Micros,
    /// When the attempt had been sent completely.
    pub sent_at: Micros,
    pub time_limit: Micros,
    pub customer: Option<String>,
    /// The id of the key in its token.
    pub key: Option<String>,
    /// When each answer had been received completely, with its status.
    pub answers: Vec<(Micros, u16)>,
    /// When its connection closed, if that left it unanswered.
    pub closed_at: Option<Micros>,
}

/// An execution that a worker received completely.
#[derive(Clone, Debug)]
pub struct Execution {
    pub worker: usize,
    pub edge: String,
    pub received_at: Micros,
    pub call: u64,
    pub number: u32,
    pub workload: String,
    /// The worker's answers, and when it sent them.
    pub answers: Vec<(Micros, ExecutionStatus)>,
}

/// A load command that a worker received.
#[derive(Clone, Debug)]
pub struct LoadCommand {
    pub worker: usize,
    pub edge: String,
    pub received_at: Micros,
    pub instances: u32,
}

/// The state of a worker as the discovery service sent it to an edge.
#[derive(Clone, Debug)]
pub struct EndpointUpdate {
    pub edge: String,
    pub at: Micros,
    pub worker: String,
    pub phase: Phase,
}

/// Everything that the checker knows of a run.
#[derive(Clone, Debug, Default)]
pub struct Log {
    pub client_attempts: Vec<ClientAttempt>,
    pub executions: Vec<Execution>,
    pub load_commands: Vec<LoadCommand>,
    pub endpoint_updates: Vec<EndpointUpdate>,
    /// Cold starts of workers, as the scenario caused them.
    pub worker_starts: Vec<(usize, Micros)>,
    /// When edges were down: the name, from, and until (if they restarted).
    pub edge_downtime: Vec<(String, Micros, Option<Micros>)>,
    /// When edges were paused: they answer nothing meanwhile but keep their state.
    pub edge_pauses: Vec<(String, Micros, Option<Micros>)>,
    /// The longest time that the machine may delay a process.
    pub max_scheduling_delay: Micros,
    /// The delays that were observed, by edge name; empty if they weren't observed.
    pub scheduling_delays: BTreeMap<String, SchedulingDelays>,
    /// Revoked keys, and the time from which no edge may accept a call under them.
    pub revoked: BTreeMap<String, Micros>,
    pub bytes: u64,
    /// The load that all edges together put on the discovery service and on each worker, by second.
    pub loads: BTreeMap<(Target, Micros), Load>,
}

/// The receiver of load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    List,
    Worker(usize),
}

/// The load of one receiver within one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Connections accepted.
    pub handshakes: u64,
    /// Calls to the discovery service.
    pub calls: u64,
    pub full_snapshots: u64,
    /// Bytes that the discovery service sent to edges.
    pub bytes: u64,
    pub health_checks: u64,
    pub load_queries: u64,
    pub load_commands: u64,
    pub cold_misses: u64,
}

impl Log {
    fn load(&mut self, target: Target, now: Micros) -> &mut Load {
        self.loads.entry((target, now / 1_000_000)).or_default()
    }
    /// The maximum of a count in any second, at the discovery service (`list`) or at any worker.
    pub fn max_per_second(&self, list: bool, count: impl Fn(&Load) -> u64) -> u64 {
        let seconds = self
            .loads
            .iter()
            .filter(|((target, _), _)| (*target == Target::List) == list);
        seconds.map(|(_, load)| count(load)).max().unwrap_or(0)
    }
    /// The sum of a count over the whole run.
    pub fn sum(&self, list: bool, count: impl Fn(&Load) -> u64) -> u64 {
        let seconds = self
            .loads
            .iter()
            .filter(|((target, _), _)| (*target == Target::List) == list);
        seconds.map(|(_, load)| count(load)).sum()
    }
}

enum Reader {
    Caller {
        edge: String,
        outgoing: Vec<u8>,
        incoming: Vec<u8>,
        open: Option<usize>,
    },
    Worker {
        n: usize,
        edge: String,
        incoming: FrameDecoder,
        outgoing: FrameDecoder,
        execution_indices: BTreeMap<u64, usize>,
    },
    List {
        name: String,
        edge: Option<String>,
        incoming: FrameDecoder,
        outgoing: FrameDecoder,
    },
}

/// Decodes the traffic of a run into its log.
#[derive(Default)]
pub struct Recorder {
    roles: BTreeMap<HostId, Role>,
    /// Edge names by their addresses.
    edges: BTreeMap<String, String>,
    readers: BTreeMap<(HostId, ConnectionId), Reader>,
    pub log: Log,
    digest: DefaultHasher,
}

/// The longest message that the recorder decodes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

impl Recorder {
    pub fn set_role(&mut self, host: HostId, role: Role) {
        self.roles.insert(host, role);
    }
    pub fn set_edge_name(&mut self, address: &str, name: &str) {
        self.edges.insert(address.into(), name.into());
    }
    /// A hash of all recorded traffic with its times, hosts and connections; equal timelines have equal digests.
    pub fn digest(&self) -> u64 {
        self.digest.finish()
    }

    fn record_requests(
        log: &mut Log,
        now: Micros,
        edge: &str,
        outgoing: &mut Vec<u8>,
        open: &mut Option<usize>,
    ) {
        while let Ok(Parsed::Complete(request, length)) =
            http::parse_request(outgoing, MAX_MESSAGE_BYTES, MAX_MESSAGE_BYTES)
        {
            outgoing.drain(..length);
            let trace = request.field("sanddrum-trace").unwrap_or_default();
            let Some((call, number, age)) = parse_trace(trace) else {
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
                call_started_at: now - age,
                sent_at: now,
                time_limit: limit.unwrap_or(0) * 1000,
                customer: request.field("sanddrum-customer").map(String::from),
                key: token.and_then(sanddrum_identity::token::unverified_key_id),
                ..ClientAttempt::default()
            });
        }
    }
}

/// Parses `c<call>.<attempt>.<microseconds since the start of the call>`.
fn parse_trace(trace: &str) -> Option<(u64, u32, Micros)> {
    let mut parts = trace.strip_prefix('c')?.split('.');
    let call = parts.next()?.parse().ok()?;
    let number = parts.next()?.parse().ok()?;
    Some((
        call,
        number,
        parts.next().and_then(|us| us.parse().ok()).unwrap_or(0),
    ))
}

/// A shared handle to the recorder; the driver and the scenario runner both hold one.
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
                    outgoing: Vec::new(),
                    incoming: Vec::new(),
                    open: None,
                }
            }
            (Role::Worker(n), Side::Accepted) => {
                this.log.load(Target::Worker(n), now).handshakes += 1;
                let (incoming, outgoing) = (
                    FrameDecoder::new(MAX_MESSAGE_BYTES),
                    FrameDecoder::new(MAX_MESSAGE_BYTES),
                );
                Reader::Worker {
                    n,
                    edge: String::new(),
                    incoming,
                    outgoing,
                    execution_indices: BTreeMap::new(),
                }
            }
            (Role::List, Side::Accepted) => Reader::List {
                name: String::new(),
                edge: None,
                incoming: FrameDecoder::new(MAX_MESSAGE_BYTES),
                outgoing: FrameDecoder::new(MAX_MESSAGE_BYTES),
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
            Some(Reader::Caller { incoming, open, .. }) => {
                incoming.extend_from_slice(bytes);
                while let Ok(Some((answer, length))) = http::parse_response(incoming) {
                    incoming.drain(..length);
                    // An answer without an open attempt is a surplus answer of the last one.
                    let at = open.take().or(log.client_attempts.len().checked_sub(1));
                    if let Some(t) = at.and_then(|at| log.client_attempts.get_mut(at)) {
                        t.answers.push((now, answer.status));
                    }
                }
            }
            Some(Reader::Worker {
                n,
                edge,
                incoming,
                execution_indices,
                ..
            }) => {
                incoming.push_bytes(bytes);
                while let Ok(Some(message)) = incoming.next_message::<ToWorker>() {
                    match message {
                        ToWorker::Hello(hello) => *edge = hello.name,
                        ToWorker::Execute(e) => {
                            let trace = e.trace.as_deref().and_then(parse_trace);
                            let Some((call, number, _)) = trace else {
                                continue;
                            };
                            execution_indices.insert(e.id, log.executions.len());
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
                        ToWorker::HealthCheck(_) => {
                            log.load(Target::Worker(*n), now).health_checks += 1
                        }
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
                name,
                edge,
                incoming,
                ..
            }) => {
                incoming.push_bytes(bytes);
                while let Ok(Some(message)) = incoming.next_message::<ToDiscovery>() {
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
                edge,
                outgoing,
                open,
                ..
            }) => {
                outgoing.extend_from_slice(bytes);
                Recorder::record_requests(log, now, edge, outgoing, open);
            }
            Some(Reader::Worker {
                n,
                outgoing,
                execution_indices,
                ..
            }) => {
                outgoing.push_bytes(bytes);
                while let Ok(Some(message)) = outgoing.next_message::<FromWorker>() {
                    let FromWorker::Done(done) = message else {
                        continue;
                    };
                    log.load(Target::Worker(*n), now).cold_misses +=
                        u64::from(done.status == ExecutionStatus::ColdMiss);
                    if let Some(execution) = execution_indices
                        .get(&done.id)
                        .and_then(|at| log.executions.get_mut(*at))
                    {
                        execution.answers.push((now, done.status));
                    }
                }
            }
            Some(Reader::List {
                edge: Some(edge),
                outgoing,
                ..
            }) => {
                outgoing.push_bytes(bytes);
                log.load(Target::List, now).bytes += bytes.len() as u64;
                while let Ok(Some(message)) = outgoing.next_message::<FromDiscovery>() {
                    let FromDiscovery::Endpoints(rows) = message else {
                        continue;
                    };
                    log.load(Target::List, now).full_snapshots += u64::from(rows.is_full_snapshot);
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
