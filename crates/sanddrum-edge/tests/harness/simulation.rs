//! A virtual network with an edge that runs the default decision module, and with a fake web server, fake workers and
//! a fake control feed that use the platform's protocols.

use super::platform_worker::{COLD_MISS, FINISHED};
use super::SECOND;
use sanddrum_edge::{Edge, EdgeOptions, Platform};
use sanddrum_fastcgi::{encode_params, write_begin_request, write_stream, Record, RecordType};
use sanddrum_net::{
    ConnectionId, Core, Event, HostId, Io, LinkModel, Micros, NullObserver, VirtualNet,
};
use sanddrum_platform::{frames, StartupConfig};
use sanddrum_wire::http;
use serde_json::{json, Value as Json};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

const EDGE_ADDRESS: &str = "10.0.0.4:8080";
const FEED_ADDRESS: &str = "10.2.0.1:2379";
const WORKERS: [(&str, &str); 3] = [
    ("a", "10.1.0.1:80"),
    ("b", "10.1.0.2:80"),
    ("c", "10.1.0.3:80"),
];
/// The start of a simulation, by the virtual clock.
pub const START: Micros = 1_000 * SECOND;

const NETWORK_SEED: u64 = 7;
const LOAD_TIME: Micros = 300_000;
const SERVICE_TIME: Micros = 40_000;
const REQUEST_INTERVAL: Micros = SECOND / 100;
const POLL_WAIT: Micros = SECOND;
/// Every `RUN_ONCE_EVERY`-th request may run only once.
const RUN_ONCE_EVERY: u64 = 3;
const FUNCTIONS: u64 = 7;

/// Message codes of the platform's frames.
const EXECUTE: u8 = 65;
const LOAD: u8 = 69;
/// Sizes of a frame's head and of its checksum.
const HEAD_BYTES: usize = 16;
const CHECKSUM_BYTES: usize = 4;

/// What the fake peers have observed.
#[derive(Default)]
pub struct Observations {
    /// When each request was sent.
    pub sent_at: BTreeMap<u64, Micros>,
    /// All responses to each request.
    pub responses: BTreeMap<u64, Vec<String>>,
    /// How often each request was executed.
    pub executions: BTreeMap<u64, u32>,
    /// When each worker last received a message.
    pub last_message_at: BTreeMap<&'static str, Micros>,
}

type SharedObservations = Rc<RefCell<Observations>>;

/// A frame that a worker received.
struct Frame {
    code: u8,
    id: u64,
    fields: BTreeMap<String, String>,
    body: Vec<u8>,
}

impl Frame {
    /// Removes a complete frame from the front of `bytes`.
    fn take(bytes: &mut Vec<u8>) -> Option<Frame> {
        let head = *bytes.first_chunk::<HEAD_BYTES>()?;
        let fields_length = usize::from(u16::from_be_bytes([head[2], head[3]]));
        let body_length = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
        let body_at = HEAD_BYTES + fields_length;
        let body_end = body_at + body_length;
        if bytes.len() < body_end + CHECKSUM_BYTES {
            return None;
        }
        let frame: Vec<u8> = bytes.drain(..body_end + CHECKSUM_BYTES).collect();
        let fields = String::from_utf8(frame[HEAD_BYTES..body_at].to_vec()).unwrap();
        let pairs = fields.split(',').filter_map(|field| field.split_once('='));
        Some(Frame {
            code: frame[1],
            id: u64::from_be_bytes(*frame[8..].first_chunk().unwrap()),
            fields: pairs
                .map(|(name, value)| (name.to_string(), value.to_string()))
                .collect(),
            body: frame[body_at..body_end].to_vec(),
        })
    }

    fn field(&self, name: &str) -> String {
        self.fields.get(name).cloned().unwrap_or_default()
    }
}

/// A worker that loads functions on command and answers requests for loaded ones.
struct FakeWorker {
    name: &'static str,
    observations: SharedObservations,
    received: BTreeMap<ConnectionId, Vec<u8>>,
    loaded: BTreeSet<String>,
    /// Pending answers, ordered by the time at which they are written and their sequence number.
    answers: BTreeMap<(Micros, u64), (ConnectionId, Vec<u8>)>,
    answer_count: u64,
    /// Every `malformed_every`-th answer is malformed; zero means none.
    malformed_every: u64,
}

impl FakeWorker {
    fn new(name: &'static str, malformed_every: u64, observations: SharedObservations) -> Self {
        FakeWorker {
            name,
            observations,
            received: BTreeMap::new(),
            loaded: BTreeSet::new(),
            answers: BTreeMap::new(),
            answer_count: 0,
            malformed_every,
        }
    }

    fn answer_at(&mut self, at: Micros, conn: ConnectionId, bytes: Vec<u8>) {
        self.answer_count += 1;
        let key = (at, self.answer_count);
        self.answers.insert(key, (conn, bytes));
    }

    fn handle(&mut self, now: Micros, conn: ConnectionId, frame: &Frame) {
        let mut observations = self.observations.borrow_mut();
        observations.last_message_at.insert(self.name, now);
        drop(observations);
        let function = frame.field("thing");
        match frame.code {
            LOAD => self.load(now, conn, frame, function),
            EXECUTE if self.loaded.contains(&function) => self.execute(now, conn, frame),
            EXECUTE => {
                let answer = frames::response(COLD_MISS, frame.id, "", b"");
                self.answer_at(now, conn, answer);
            }
            _ => {}
        }
    }

    fn load(&mut self, now: Micros, conn: ConnectionId, frame: &Frame, function: String) {
        let is_query = frame.field("copies") == "0";
        let is_loaded = self.loaded.contains(&function);
        let load_time = if is_query || is_loaded { 0 } else { LOAD_TIME };
        if !is_query {
            self.loaded.insert(function.clone());
        }
        let instances = u32::from(self.loaded.contains(&function));
        let fields = format!("copies={instances}");
        let answer = frames::response(FINISHED, frame.id, &fields, b"");
        self.answer_at(now + load_time, conn, answer);
    }

    fn execute(&mut self, now: Micros, conn: ConnectionId, frame: &Frame) {
        let mut observations = self.observations.borrow_mut();
        *observations.executions.entry(frame.id).or_default() += 1;
        drop(observations);
        let fields = "remark=hot,report=q:0;rif:1";
        let mut answer = frames::response(FINISHED, frame.id, fields, &frame.body);
        let every = self.malformed_every;
        if every > 0 && self.answer_count.is_multiple_of(every) {
            *answer.last_mut().unwrap() ^= 1;
        }
        self.answer_at(now + SERVICE_TIME, conn, answer);
    }
}

impl Core for FakeWorker {
    fn start(&mut self, _: Micros, _: &mut dyn Io) {}

    fn on_event(&mut self, now: Micros, event: Event<'_>, _: &mut dyn Io) {
        match event {
            Event::Bytes { conn, bytes } => {
                let mut received = self.received.remove(&conn).unwrap_or_default();
                received.extend_from_slice(bytes);
                while let Some(frame) = Frame::take(&mut received) {
                    self.handle(now, conn, &frame);
                }
                self.received.insert(conn, received);
            }
            Event::Closed { conn, .. } => self.answers.retain(|_, (to, _)| *to != conn),
            _ => {}
        }
    }

    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        while let Some(entry) = self.answers.first_entry().filter(|e| e.key().0 <= now) {
            let (conn, bytes) = entry.remove();
            io.write(conn, &bytes);
        }
    }

    fn next_wakeup(&self) -> Option<Micros> {
        self.answers.first_key_value().map(|((at, _), _)| *at)
    }
}

/// A web server that sends a request every ten milliseconds on one connection.
struct FakeWebServer {
    observations: SharedObservations,
    conn: Option<ConnectionId>,
    is_connected: bool,
    free_ids: Vec<u16>,
    /// The number and the partial response of each open request, by FastCGI request id.
    open: BTreeMap<u16, (u64, String)>,
    received: Vec<u8>,
    next_request_at: Micros,
    requests_left: u64,
    request_count: u64,
}

impl FakeWebServer {
    fn new(request_count: u64, observations: SharedObservations) -> Self {
        FakeWebServer {
            observations,
            conn: None,
            is_connected: false,
            free_ids: (1..=32).collect(),
            open: BTreeMap::new(),
            received: Vec::new(),
            next_request_at: 0,
            requests_left: request_count,
            request_count,
        }
    }

    fn receive(&mut self, bytes: &[u8]) {
        self.received.extend_from_slice(bytes);
        while let Some((record, length)) = Record::read(&self.received).unwrap() {
            match record.record_type {
                RecordType::Stdout => {
                    let text = String::from_utf8_lossy(record.content);
                    let (_, response) = self.open.get_mut(&record.id).unwrap();
                    response.push_str(&text);
                }
                RecordType::EndRequest => {
                    let (number, response) = self.open.remove(&record.id).unwrap();
                    let mut observations = self.observations.borrow_mut();
                    let responses = observations.responses.entry(number);
                    responses.or_default().push(response);
                    self.free_ids.push(record.id);
                }
                other => panic!("{other:?}"),
            }
            self.received.drain(..length);
        }
    }

    fn send_request(&mut self, now: Micros, id: u16, io: &mut dyn Io) {
        self.requests_left -= 1;
        let number = self.request_count - self.requests_left;
        let path = if number.is_multiple_of(RUN_ONCE_EVERY) {
            "/rpc/once"
        } else {
            "/rpc/again"
        };
        let call_id = format!("{number:016x}");
        let function = format!("{:016x}", number % FUNCTIONS);
        let params = [
            ("SCRIPT_NAME", path),
            ("HTTP_X_CALL_ID", &call_id),
            ("HTTP_X_PATIENCE_MS", "2000"),
            ("HTTP_X_ENTITY", &function),
            ("HTTP_X_INFO", "memory_mb:100;lanes:4;load_ms:300"),
        ];
        let mut records = Vec::new();
        write_begin_request(&mut records, id, true);
        write_stream(
            &mut records,
            RecordType::Params,
            id,
            &encode_params(&params),
        );
        write_stream(&mut records, RecordType::Stdin, id, call_id.as_bytes());
        io.write(self.conn.unwrap(), &records);
        self.open.insert(id, (number, String::new()));
        self.observations.borrow_mut().sent_at.insert(number, now);
    }
}

impl Core for FakeWebServer {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        self.conn = Some(io.connect(EDGE_ADDRESS));
        self.next_request_at = now + SECOND / 10;
    }

    fn on_event(&mut self, _: Micros, event: Event<'_>, _: &mut dyn Io) {
        match event {
            Event::Connected { .. } => self.is_connected = true,
            Event::Bytes { bytes, .. } => self.receive(bytes),
            Event::Closed { .. } => {
                let is_idle = self.open.is_empty();
                assert!(is_idle, "a connection with open requests is not closed");
                self.is_connected = false;
            }
            _ => {}
        }
    }

    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        while self.is_connected && self.requests_left > 0 && self.next_request_at <= now {
            self.next_request_at += REQUEST_INTERVAL;
            if let Some(id) = self.free_ids.pop() {
                self.send_request(now, id, io);
            }
        }
    }

    fn next_wakeup(&self) -> Option<Micros> {
        (self.requests_left > 0).then_some(self.next_request_at)
    }
}

/// A control feed that holds each poll until an event occurs or the wait ends.
struct FakeFeed {
    /// All events after the first, with the time at which each occurs.
    events: Vec<(Micros, Json)>,
    /// Outstanding polls: the last event that the client has, and the end of the wait.
    polls: BTreeMap<ConnectionId, (u64, Micros)>,
    received: BTreeMap<ConnectionId, String>,
    now: Micros,
}

impl Core for FakeFeed {
    fn start(&mut self, _: Micros, _: &mut dyn Io) {}

    fn on_event(&mut self, now: Micros, event: Event<'_>, _: &mut dyn Io) {
        match event {
            Event::Bytes { conn, bytes } => {
                let text = self.received.entry(conn).or_default();
                text.push_str(&String::from_utf8_lossy(bytes));
                if text.ends_with("\r\n\r\n") {
                    let query = text.split("SUB=").nth(1);
                    let number = query.and_then(|rest| rest.split('&').next()?.parse().ok());
                    self.polls.insert(conn, (number.unwrap(), now + POLL_WAIT));
                    text.clear();
                }
            }
            Event::Closed { conn, .. } => drop(self.polls.remove(&conn)),
            _ => {}
        }
    }

    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        self.now = now;
        let past = self.events.iter().filter(|(at, _)| *at <= now).count();
        let last = past as u64 + 1;
        let due: Vec<ConnectionId> = self
            .polls
            .iter()
            .filter(|(_, (seen, until))| last > *seen || *until <= now)
            .map(|(conn, _)| *conn)
            .collect();
        for conn in due {
            let (seen, _) = self.polls.remove(&conn).unwrap();
            let unseen: Vec<_> = (seen..last)
                .map(|number| self.events[number as usize - 1].1.clone())
                .collect();
            let body = json!({"n": last, "events": unseen}).to_string();
            io.write(
                conn,
                &http::encode_response(200, &[], body.as_bytes(), true),
            );
        }
    }

    fn next_wakeup(&self) -> Option<Micros> {
        let events = self.events.iter().map(|(at, _)| *at);
        let next = events.filter(|at| *at > self.now);
        let until = self.polls.values().map(|(_, until)| *until);
        next.chain(until).min()
    }
}

fn member(id: &str, address: &str, phase: &str) -> Json {
    json!({"id": id, "host_port": address, "locality": "here", "phase": phase, "size": 4, "up_since_ms": 0})
}

fn event(number: u64, members: &[Json], complete: bool) -> Json {
    json!({"n": number, "members": {"complete": complete, "members": members}})
}

/// An event that changes the phase of the worker `a`.
pub fn phase_event(number: u64, phase: &str) -> Json {
    let (name, address) = WORKERS[0];
    event(number, &[member(name, address, phase)], false)
}

fn startup_config() -> StartupConfig {
    let members = WORKERS.map(|(name, address)| member(name, address, "in_service"));
    let class = |name, effect| json!({"name": name, "aim-us": 1000000, "deadline-us": 2000000, "effect": effect, "worth": 1});
    let config = json!({
        "name": "n", "listen": EDGE_ADDRESS, "seed": "5", "feed": FEED_ADDRESS,
        "known": {"n": 1, "events": [event(1, &members, true)]},
        "limits": {"sockets": 256, "memory_mb": 32},
        "settings": {
            "azs": ["here"], "az": 0, "me": 0, "balancers": 1,
            "classes": [class("once", "once"), class("again", "repeatable")],
            "family-info": {"if-cold": "miss", "placement-calls": true, "idle-life-us": 9000000},
            "limits": {"cancel": true, "may-duplicate": false, "try-limit": 5},
        },
    });
    StartupConfig::read(&config.to_string()).unwrap()
}

fn edge() -> Box<dyn Core> {
    let config = startup_config();
    let options = EdgeOptions {
        settings: config.deployment_settings().unwrap(),
        seed: config.seed,
        cached_state: None,
        incarnation: 1,
        metrics_page: None,
        platform: Some(Platform {
            initial_events: config.known_events.clone(),
            machine_kinds: config.worker_kinds(),
        }),
    };
    Box::new(Edge::with_settings(options, &config.decision_settings()))
}

/// A virtual network with an edge and its fake peers.
pub struct Simulation {
    pub net: VirtualNet,
    pub observations: SharedObservations,
    pub workers: Vec<HostId>,
}

impl Simulation {
    /// A network whose web server sends `request_count` requests. Every `malformed_every`-th answer of a worker is
    /// malformed (zero means none), and each event of the feed occurs at the given time after the start.
    pub fn new(request_count: u64, malformed_every: u64, events: Vec<(Micros, Json)>) -> Self {
        let observations = SharedObservations::default();
        let observer = Box::new(NullObserver);
        let mut net = VirtualNet::new(NETWORK_SEED, START, LinkModel::default(), observer);
        let workers = WORKERS.map(|(name, address)| {
            let worker = FakeWorker::new(name, malformed_every, observations.clone());
            net.add(0, &[address], Box::new(worker))
        });
        let events = events.into_iter();
        let feed = FakeFeed {
            events: events
                .map(|(after, event)| (START + after, event))
                .collect(),
            polls: BTreeMap::new(),
            received: BTreeMap::new(),
            now: 0,
        };
        net.add(0, &[FEED_ADDRESS], Box::new(feed));
        net.add(0, &[EDGE_ADDRESS], edge());
        let web_server = FakeWebServer::new(request_count, observations.clone());
        net.add(0, &[], Box::new(web_server));
        Simulation {
            net,
            observations,
            workers: workers.to_vec(),
        }
    }

    /// Runs until `duration` after the start.
    pub fn run_for(&mut self, duration: Micros) {
        self.net.run_until(START + duration);
    }

    /// Verifies that `request_count` requests were sent, that each has exactly one response, that none that may run
    /// only once has run twice, and that results are forwarded unchanged. Returns the number of finished requests.
    pub fn verify(&self, request_count: u64) -> usize {
        let seen = self.observations.borrow();
        assert_eq!(seen.sent_at.len() as u64, request_count);
        for number in seen.sent_at.keys() {
            let responses = seen.responses.get(number).map_or(0, Vec::len);
            assert_eq!(responses, 1, "request {number}");
            let executions = seen.executions.get(number).copied().unwrap_or(0);
            assert!(
                !number.is_multiple_of(RUN_ONCE_EVERY) || executions <= 1,
                "request {number} ran {executions} times"
            );
        }
        let is_finished = |(number, responses): &(&u64, &Vec<String>)| {
            let is_finished = responses[0].starts_with("Status: 200\r\n");
            let is_own = responses[0].ends_with(&format!("\r\n\r\n{number:016x}"));
            assert!(
                !is_finished || is_own,
                "the response has the request's own body, unchanged"
            );
            is_finished
        };
        seen.responses.iter().filter(is_finished).count()
    }
}
