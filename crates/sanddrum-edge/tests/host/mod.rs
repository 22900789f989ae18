//! An edge between a scripted network and a puppet in the module's place.
#![allow(dead_code)]

pub mod platform;

use sanddrum::*;
use sanddrum_edge::{DecisionModule, Edge, EdgeOptions, Platform};
use sanddrum_net::{CloseCause, ConnectionId, Core, Event, Io, ListenerId, PeerIdentity};
use sanddrum_platform::control_feed::{FeedEvent, FeedEvents, Member, MembershipUpdate};
use sanddrum_wire::frame::encode_frame;
use sanddrum_wire::{
    http, Done, EndpointRecord, EndpointUpdate, ExecutionStatus, FrameDecoder, FromDiscovery,
    FromWorker, Hello, Phase, ToWorker,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What the puppet is told to decide in its next round.
#[derive(Clone, Copy, Debug)]
pub enum Do {
    Execute(u64, Micros),
    /// At the worker of this name.
    ExecuteAt(u64, Micros, &'static str),
    Cancel(u64, usize),
    PushBack(u64),
    Kill(u64),
    Hold(u32),
    Probe,
}

#[derive(Default)]
pub struct Strings {
    pub deeds: Vec<Do>,
    pub ends: Vec<AttemptResult>,
    pub orders: Vec<LoadResult>,
    pub probes: Vec<HealthCheckResult>,
    pub jobs: Vec<Request>,
    pub left: Vec<RequestId>,
    pub lists: Vec<EndpointList>,
}

pub struct Puppet(Rc<RefCell<Strings>>);

pub fn worker_id() -> WorkerId {
    WorkerId(sanddrum_wire::stable_id("w"))
}

impl DecisionModule for Puppet {
    fn handle(&mut self, _: Micros, round: &EventBatch, out: &mut impl Decisions) {
        let mut strings = self.0.borrow_mut();
        strings.ends.extend(&round.attempt_results);
        strings.orders.extend(&round.load_results);
        strings.probes.extend(&round.health_check_results);
        strings.jobs.extend(&round.requests);
        strings.left.extend(&round.cancelled);
        strings.lists.extend(round.endpoint_lists.iter().cloned());
        // The function of the newest job, whatever door it came by.
        let named = strings.jobs.last().map(|job| job.function);
        let function = named.unwrap_or(FunctionId(sanddrum_wire::stable_id("job/f1")));
        for deed in std::mem::take(&mut strings.deeds) {
            match deed {
                Do::Execute(job, limit) => out.dispatch(RequestId(job), worker_id(), limit),
                Do::ExecuteAt(job, limit, name) => out.dispatch(
                    RequestId(job),
                    WorkerId(sanddrum_wire::stable_id(name)),
                    limit,
                ),
                Do::Cancel(job, n) => out.cancel(RequestId(job), n),
                Do::PushBack(job) => out.reject(RequestId(job), 300_000),
                Do::Kill(job) => out.fail(RequestId(job)),
                Do::Hold(copies) => out.load(worker_id(), function, copies),
                Do::Probe => out.check_health(worker_id()),
            }
        }
    }
}

/// Connections as the edge sees them, with what it wrote to each.
pub struct Wires {
    pub wrote: BTreeMap<ConnectionId, Vec<u8>>,
    /// The same in the order in which it was written.
    pub writes: Vec<(ConnectionId, Vec<u8>)>,
    pub connects: Vec<(ConnectionId, String)>,
    pub closed: Vec<(ConnectionId, Option<CloseCause>)>,
    pub paused: BTreeMap<ConnectionId, bool>,
    /// Bytes that connections still take; no bound where nothing is said.
    pub room: BTreeMap<ConnectionId, usize>,
    pub saved: Option<Vec<u8>>,
    pub audit: Vec<String>,
    /// What the next client has proved.
    pub peer_of_next: Option<PeerIdentity>,
    next: u64,
}

impl Io for Wires {
    fn connect(&mut self, to: &str) -> ConnectionId {
        self.next += 1;
        self.connects
            .push((ConnectionId(self.next), to.to_string()));
        ConnectionId(self.next)
    }
    fn peer(&self, _: ConnectionId) -> Option<PeerIdentity> {
        self.peer_of_next.clone()
    }
    fn write(&mut self, conn: ConnectionId, bytes: &[u8]) -> usize {
        let room = self.room.entry(conn).or_insert(usize::MAX / 2);
        let n = bytes.len().min(*room);
        *room -= n;
        self.wrote
            .entry(conn)
            .or_default()
            .extend_from_slice(&bytes[..n]);
        self.writes.push((conn, bytes[..n].to_vec()));
        n
    }
    fn close(&mut self, conn: ConnectionId) {
        self.closed.push((conn, Some(CloseCause::Orderly)));
    }
    fn reset(&mut self, conn: ConnectionId) {
        self.closed.push((conn, Some(CloseCause::Reset)));
    }
    fn pause(&mut self, conn: ConnectionId, paused: bool) {
        self.paused.insert(conn, paused);
    }
    fn save_state(&mut self, state: &[u8]) {
        self.saved = Some(state.to_vec());
    }
    fn audit(&mut self, line: &str) {
        self.audit.push(line.to_string());
    }
}

pub struct Host {
    pub edge: Edge<Puppet>,
    pub io: Wires,
    pub now: Micros,
    pub strings: Rc<RefCell<Strings>>,
    pub list: ConnectionId,
    came: u64,
}

pub const S: Micros = 1_000_000;

impl Host {
    /// An edge with a restartable workload `job`, functions `f*`, one worker `w`, and what the story sets.
    pub fn new(set: &[(&str, &str)]) -> Host {
        let mut host = Host::bare(set, None);
        host.list_says(&host.rows(1, true, 0, &[row("w", 1, Phase::Ready)]));
        host
    }
    /// The same with more forms in its settings.
    pub fn with(set: &[(&str, &str)], more: &str) -> Host {
        let mut host = Host::made(set, more, None);
        host.list_says(&host.rows(1, true, 0, &[row("w", 1, Phase::Ready)]));
        host
    }
    /// An edge on the platform: its list as the start configuration told it, with one worker `w`.
    pub fn on_platform(set: &[(&str, &str)]) -> Host {
        let members = vec![Member {
            endpoint: row("w", 0, Phase::Ready),
            up_since_ms: 0,
        }];
        let members = Some(MembershipUpdate {
            is_full_snapshot: true,
            members,
        });
        let known = FeedEvents {
            last_number: 1,
            events: vec![FeedEvent { number: 1, members }],
        };
        Host::begun(
            set,
            "",
            None,
            Some(Platform {
                initial_events: known,
                machine_kinds: vec![],
            }),
        )
    }
    /// The same where the start configuration told of no list.
    pub fn without_list(set: &[(&str, &str)]) -> Host {
        Host::begun(
            set,
            "",
            None,
            Some(Platform {
                initial_events: FeedEvents::default(),
                machine_kinds: vec![],
            }),
        )
    }
    pub fn bare(set: &[(&str, &str)], kept: Option<Vec<u8>>) -> Host {
        Host::made(set, "", kept)
    }
    fn made(set: &[(&str, &str)], more: &str, kept: Option<Vec<u8>>) -> Host {
        Host::begun(set, more, kept, None)
    }
    fn begun(
        set: &[(&str, &str)],
        more: &str,
        kept: Option<Vec<u8>>,
        platform: Option<Platform>,
    ) -> Host {
        let text = r#"
            (deployment (zones "a" "b"))
            (workload "job" (time-limit 10s) (effect restartable))
            (function "f*" (workload "job"))"#;
        let mut settings = sanddrum_settings::read("story", &format!("{text}{more}")).unwrap();
        // Stories begin with the first call for the list, which is not spread here.
        settings
            .override_value("limits.list-calls", "1000000", "story")
            .unwrap();
        set.iter()
            .for_each(|(name, value)| settings.override_value(name, value, "story").unwrap());
        let strings = Rc::new(RefCell::new(Strings::default()));
        let start = EdgeOptions {
            settings,
            seed: 1,
            cached_state: kept,
            incarnation: 7,
            metrics_page: None,
            platform,
        };
        let edge = Edge::with_module(start, Puppet(strings.clone()));
        let io = Wires {
            wrote: BTreeMap::new(),
            writes: Vec::new(),
            connects: Vec::new(),
            closed: Vec::new(),
            paused: BTreeMap::new(),
            room: BTreeMap::new(),
            saved: None,
            audit: Vec::new(),
            peer_of_next: None,
            next: 1000,
        };
        let mut host = Host {
            edge,
            io,
            now: 1000 * S,
            strings,
            list: ConnectionId(0),
            came: 0,
        };
        host.edge.start(host.now, &mut host.io);
        host.wait(1);
        host.list = host.io.connects[0].0;
        host.event(Event::Connected { conn: host.list });
        host
    }
    pub fn event(&mut self, event: Event<'_>) {
        self.edge.on_event(self.now, event, &mut self.io);
        self.turn();
    }
    pub fn turn(&mut self) {
        self.edge.process(self.now, &mut self.io);
    }
    /// Lets time pass, with every wake on the way.
    pub fn wait(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(at) = self.edge.next_wakeup().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.turn();
        }
        self.now = until;
        self.turn();
    }
    pub fn decide(&mut self, deed: Do) {
        self.strings.borrow_mut().deeds.push(deed);
        // Any news calls the module; a client that asks for its health is not even that.
        self.list_says(&self.rows(2, true, 0, &[row("w", 1, Phase::Ready)]));
    }

    // ---- Clients

    pub fn client(&mut self) -> ConnectionId {
        self.came += 1;
        let conn = ConnectionId(self.came);
        self.event(Event::Accepted {
            conn,
            listener: ListenerId(0),
        });
        conn
    }
    pub fn says(&mut self, conn: ConnectionId, bytes: &[u8]) {
        self.event(Event::Bytes { conn, bytes });
    }
    pub fn calls(&mut self, conn: ConnectionId, fields: &[(&str, &str)]) {
        self.says(
            conn,
            &http::encode_request("POST", "/v1/calls/job/f1", fields, b"in"),
        );
    }
    /// A client with a call that the puppet sends to the worker at once.
    pub fn call_out(&mut self, limit: Micros) -> (ConnectionId, ConnectionId) {
        let client = self.client();
        let job = self.strings.borrow().jobs.len() as u64;
        self.strings
            .borrow_mut()
            .deeds
            .push(Do::Execute(job, limit));
        self.calls(client, &[]);
        let worker = self.io.connects.last().unwrap().0;
        (client, worker)
    }
    pub fn answers(&self, conn: ConnectionId) -> Vec<http::Response> {
        let mut bytes = self.io.wrote.get(&conn).cloned().unwrap_or_default();
        let mut answers = Vec::new();
        while let Ok(Some((answer, took))) = http::parse_response(&bytes) {
            bytes.drain(..took);
            answers.push(answer);
        }
        answers
    }
    pub fn statuses(&self, conn: ConnectionId) -> Vec<u16> {
        self.answers(conn).iter().map(|a| a.status).collect()
    }

    // ---- Workers

    pub fn up(&mut self, conn: ConnectionId) {
        self.event(Event::Connected { conn });
    }
    pub fn ends(&self) -> Vec<Outcome> {
        self.strings
            .borrow()
            .ends
            .iter()
            .map(|e| e.outcome)
            .collect()
    }
    /// What a worker has read whole.
    pub fn read_by(&self, conn: ConnectionId) -> Vec<ToWorker> {
        let mut frames = FrameDecoder::new(1 << 20);
        frames.push_bytes(self.io.wrote.get(&conn).map_or(&[][..], Vec::as_slice));
        std::iter::from_fn(|| frames.next_message().ok().flatten()).collect()
    }
    pub fn executions_read(&self, conn: ConnectionId) -> Vec<u64> {
        let each = |m| {
            if let ToWorker::Execute(e) = m {
                Some(e.id)
            } else {
                None
            }
        };
        self.read_by(conn).into_iter().filter_map(each).collect()
    }
    pub fn worker_says(&mut self, conn: ConnectionId, message: &FromWorker) {
        self.says(conn, &encode_frame(message));
    }
    pub fn done(&mut self, conn: ConnectionId, id: u64, ended: ExecutionStatus) {
        let done = Done {
            id,
            status: ended,
            instance: None,
            function_in_flight: None,
            report: None,
            body: b"out".to_vec(),
            customer_rate: None,
            total_rate: None,
        };
        self.worker_says(conn, &FromWorker::Done(done));
    }
    pub fn greets(
        &mut self,
        conn: ConnectionId,
        name: &str,
        incarnation: u64,
        age_us: Option<i64>,
    ) {
        let hello = Hello {
            version: 1,
            name: name.into(),
            incarnation,
            age_us,
        };
        self.worker_says(conn, &FromWorker::Hello(hello));
    }

    // ---- The list service

    pub fn rows(
        &self,
        version: u64,
        whole: bool,
        after: u64,
        rows: &[EndpointRecord],
    ) -> EndpointUpdate {
        EndpointUpdate {
            version,
            service_incarnation: 1,
            is_full_snapshot: whole,
            base_version: after,
            endpoints: rows.to_vec(),
        }
    }
    pub fn list_says(&mut self, rows: &EndpointUpdate) {
        self.says(
            self.list,
            &encode_frame(&FromDiscovery::Endpoints(rows.clone())),
        );
    }
}

pub fn row(name: &str, incarnation: u64, phase: Phase) -> EndpointRecord {
    let (address, zone) = (format!("10.0.0.1:{}", 7000 + name.len()), "a".to_string());
    EndpointRecord {
        name: name.into(),
        address,
        zone,
        size: 4.0,
        phase,
        incarnation,
        age_us: -1,
        ..EndpointRecord::default()
    }
}
