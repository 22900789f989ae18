//! What a host (the simulator's adapter, later a real router) and the decision module say to each other.
//! The decisions are all in [`logic`]; this file only names the things they are about.

pub mod logic;
pub mod rendezvous;
mod state;
mod statistics;

pub use logic::Router;
use std::collections::BTreeMap;

/// Whole microseconds, as an instant of the host's clock or as a span.
pub type Micros = i64;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u64);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FunctionId(pub u64);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkloadId(pub usize);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerId(pub usize);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub usize);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub usize);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub usize);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId(pub usize);

/// One plain value of the settings.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Number(f64),
    Text(String),
    Flag(bool),
}

/// Dotted names to plain values, as `workloads.0.start-target-us`; a list also has its `.count`.
#[derive(Clone, Debug, Default)]
pub struct Settings(pub BTreeMap<String, Value>);

impl Settings {
    pub fn number(&self, name: &str) -> Option<f64> {
        match self.0.get(name) {
            Some(Value::Number(n)) => Some(*n),
            _ => None,
        }
    }
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.0.get(name) {
            Some(Value::Text(t)) => Some(t),
            _ => None,
        }
    }
    pub fn flag(&self, name: &str) -> Option<bool> {
        match self.0.get(name) {
            Some(Value::Flag(f)) => Some(*f),
            _ => None,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub id: JobId,
    pub function: FunctionId,
    pub workload: WorkloadId,
    pub customer: CustomerId,
    /// When the client gives this try up.
    pub due: Micros,
    pub memory_mb: f64,
    /// Jobs that one loaded copy runs at a time.
    pub lanes: f64,
    /// The usual time of a load, where told.
    pub load: Option<Micros>,
    /// The expected work, where hinted.
    pub work: Option<Micros>,
    /// A client's repeat, where clients mark it.
    pub repeat: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    Ready,
    Draining,
    #[default]
    Gone,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerRow {
    pub worker: WorkerId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub kind: KindId,
    pub size: f64,
    pub state: WorkerState,
    /// When it last started; nought or less means long ago.
    pub started: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The whole list.
    Full,
    /// The whole list as this router last had it, perhaps stale.
    Cached,
    /// Only what changed.
    Changes,
    /// A call for the list failed, or the subscription broke; the list before holds, and there are no rows.
    Failed,
}

#[derive(Clone, Debug)]
pub struct WorkerList {
    pub kind: ListKind,
    pub rows: Vec<WorkerRow>,
}

/// How an execution, an order or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Finished,
    Error,
    /// Turned away unlooked at: no room, or draining.
    Full,
    TimedOut,
    NoConnection,
    Reset,
    Cancelled,
    /// Never sent.
    Moot,
    /// The function is not loaded there.
    Miss,
}

/// What an end tells of the copy that served it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Warmth {
    Unknown,
    Stood,
    BeganLoad,
    WaitedForLoad,
    LoadFailed,
}

/// A worker's report of its load; what it does not tell is absent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    pub held: Option<f64>,
    pub queued: Option<f64>,
    pub busy: Option<f64>,
    pub latency_ms: Option<f64>,
    pub finished_per_s: Option<f64>,
    pub errors_per_s: Option<f64>,
    pub memory_pinned: Option<f64>,
    pub loads: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
pub struct ExecutionEnd {
    pub job: JobId,
    /// Executions of a job count from nought in the order they were sent.
    pub execution: usize,
    pub worker: WorkerId,
    pub end: End,
    pub latency: Micros,
    /// The job has its final answer.
    pub settled: bool,
    pub warmth: Warmth,
    /// Jobs of the same function that the worker held when this one came, where told.
    pub crowd: Option<u32>,
    pub report: Option<Report>,
}

#[derive(Clone, Copy, Debug)]
pub struct OrderEnd {
    pub worker: WorkerId,
    pub function: FunctionId,
    pub end: End,
    pub latency: Micros,
    /// Copies that stand loaded there.
    pub copies: u32,
}

#[derive(Clone, Copy, Debug)]
pub struct ProbeEnd {
    pub worker: WorkerId,
    pub end: End,
    pub latency: Micros,
    pub report: Option<Report>,
}

#[derive(Clone, Debug)]
pub struct PeerNote {
    pub from: PeerId,
    pub content: Vec<u8>,
}

/// All that came in since the last round, one list for each kind of news.
#[derive(Clone, Debug, Default)]
pub struct Round {
    pub lists: Vec<WorkerList>,
    pub jobs: Vec<Job>,
    pub ends: Vec<ExecutionEnd>,
    pub orders: Vec<OrderEnd>,
    pub probes: Vec<ProbeEnd>,
    pub notes: Vec<PeerNote>,
    /// Jobs whose client left.
    pub left: Vec<JobId>,
    pub timer: bool,
    /// The host ends now: whatever is held gets its final answer in this round.
    pub closing: bool,
}

/// Where the module writes its decisions; they take effect in the order written.
pub trait Decisions {
    /// Start an execution; it is cut off after `limit`.
    fn execute(&mut self, job: JobId, worker: WorkerId, limit: Micros);
    /// Stop waiting for an execution; its end still comes.
    fn cancel(&mut self, job: JobId, execution: usize);
    /// Final answer: trying again is harmless, best after `wait`.
    fn push_back(&mut self, job: JobId, wait: Micros);
    /// Final answer: failed, with no promise.
    fn kill(&mut self, job: JobId);
    /// Have at least so many copies stand there; nought only asks.
    fn hold(&mut self, worker: WorkerId, function: FunctionId, copies: u32);
    /// Have the idle copies unloaded.
    fn unload(&mut self, worker: WorkerId, function: FunctionId);
    fn probe(&mut self, worker: WorkerId);
    /// Ask to be told of changes to the list from now on; a list answers, or a failed one. Hosts that are told
    /// anyway need not do anything.
    fn subscribe(&mut self) {}
    /// A message to one other router, or to all.
    fn tell(&mut self, peer: Option<PeerId>, content: &[u8]);
    /// Be called again at this instant.
    fn wake_at(&mut self, at: Micros);
    /// A line for the report.
    fn note(&mut self, text: &str);
}
