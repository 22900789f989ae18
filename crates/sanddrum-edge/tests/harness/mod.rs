//! A test harness: an edge with scripted I/O and a scripted decision module.
#![allow(dead_code)] // Each test binary uses only part of the harness.

pub mod fake_io;
pub mod fastcgi;
pub mod feed;
pub mod platform_worker;
pub mod scripted_module;
pub mod simulation;

use fake_io::FakeIo;
use sanddrum::{Endpoint, EndpointListKind, Micros, Outcome, WorkerId, WorkerState};
use sanddrum_edge::{Edge, EdgeOptions, Platform};
use sanddrum_net::{ConnectionId, Core, Event, ListenerId};
use sanddrum_platform::control_feed::{FeedEvent, FeedEvents, Member, MembershipUpdate};
use sanddrum_wire::frame::encode_frame;
use sanddrum_wire::{
    http, stable_id, Done, EndpointRecord, EndpointUpdate, ExecutionStatus, FrameDecoder,
    FromDiscovery, FromWorker, Hello, Phase, ToWorker,
};
use scripted_module::{Decision, Script, ScriptedModule};
use std::cell::RefCell;
use std::rc::Rc;

/// One second, in microseconds.
pub const SECOND: Micros = 1_000_000;

/// The settings of all tests: a workload, its functions and the zones `a` and `b`.
const SETTINGS: &str = r#"
    (deployment (zones "a" "b"))
    (workload "job" (time-limit 10s) (effect restartable))
    (function "f*" (workload "job"))"#;

/// The maximum frame size that the decoders of the tests accept.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// The worker `w`, which most tests use.
pub fn worker_id() -> WorkerId {
    WorkerId(stable_id("w"))
}

/// An edge with fake I/O and a manual clock.
pub struct EdgeHarness {
    pub edge: Edge<ScriptedModule>,
    pub io: FakeIo,
    pub now: Micros,
    pub script: Rc<RefCell<Script>>,
    /// The connection to the discovery service, or to the control feed.
    pub discovery: ConnectionId,
    accepted: u64,
    is_on_platform: bool,
}

impl EdgeHarness {
    /// An edge with a restartable workload `job`, functions `f*`, one worker `w` and the given settings.
    pub fn new(settings: &[(&str, &str)]) -> Self {
        EdgeHarness::with_forms(settings, "")
    }

    /// Like [`EdgeHarness::new`], with additional forms in the settings file.
    pub fn with_forms(settings: &[(&str, &str)], forms: &str) -> Self {
        let mut harness = EdgeHarness::start(settings, forms, None, None);
        harness.receive_update(&full_update(1, &[endpoint("w", 1, Phase::Ready)]));
        harness
    }

    /// An edge without listed workers that starts with the given cached state.
    pub fn with_cached_state(settings: &[(&str, &str)], cached_state: Option<Vec<u8>>) -> Self {
        EdgeHarness::start(settings, "", cached_state, None)
    }

    /// An edge on the platform whose startup configuration lists one worker `w`.
    pub fn on_platform(settings: &[(&str, &str)]) -> Self {
        EdgeHarness::on_platform_with_forms(settings, "")
    }

    /// Like [`EdgeHarness::on_platform`], with additional forms in the settings file.
    pub fn on_platform_with_forms(settings: &[(&str, &str)], forms: &str) -> Self {
        let members = MembershipUpdate {
            is_full_snapshot: true,
            members: vec![Member {
                endpoint: endpoint("w", 0, Phase::Ready),
                up_since_ms: 0,
            }],
        };
        let initial_events = FeedEvents {
            last_number: 1,
            events: vec![FeedEvent {
                number: 1,
                members: Some(members),
            }],
        };
        EdgeHarness::start_on_platform(settings, forms, initial_events)
    }

    /// An edge on the platform whose startup configuration lists no worker.
    pub fn on_platform_without_workers(settings: &[(&str, &str)]) -> Self {
        EdgeHarness::start_on_platform(settings, "", FeedEvents::default())
    }

    fn start_on_platform(
        settings: &[(&str, &str)],
        forms: &str,
        initial_events: FeedEvents,
    ) -> Self {
        let platform = Platform {
            initial_events,
            machine_kinds: vec![],
        };
        EdgeHarness::start(settings, forms, None, Some(platform))
    }

    fn start(
        overrides: &[(&str, &str)],
        forms: &str,
        cached_state: Option<Vec<u8>>,
        platform: Option<Platform>,
    ) -> Self {
        let text = format!("{SETTINGS}{forms}");
        let mut settings = sanddrum_settings::read("test", &text).unwrap();
        // The first connection to the discovery service is made without a random delay.
        let first_connection = ("limits.list-calls", "1000000");
        for (name, value) in [first_connection].iter().chain(overrides) {
            settings.override_value(name, value, "test").unwrap();
        }
        let script = Rc::new(RefCell::new(Script::default()));
        let is_on_platform = platform.is_some();
        let options = EdgeOptions {
            settings,
            seed: 1,
            cached_state,
            incarnation: 7,
            metrics_page: None,
            platform,
        };
        let mut harness = EdgeHarness {
            edge: Edge::with_module(options, ScriptedModule::new(script.clone())),
            io: FakeIo::new(),
            now: 1000 * SECOND,
            script,
            discovery: ConnectionId(0),
            accepted: 0,
            is_on_platform,
        };
        harness.edge.start(harness.now, &mut harness.io);
        harness.advance(1);
        harness.discovery = harness.io.connects[0].0;
        harness.connect(harness.discovery);
        harness
    }

    // ---- Time and events

    /// Delivers an event and ends the turn of the event loop.
    pub fn event(&mut self, event: Event<'_>) {
        self.deliver(event);
        self.process();
    }

    /// Delivers an event without ending the turn, so that further events can follow in the same turn.
    pub fn deliver(&mut self, event: Event<'_>) {
        self.edge.on_event(self.now, event, &mut self.io);
    }

    /// Ends the turn of the event loop.
    pub fn process(&mut self) {
        self.edge.process(self.now, &mut self.io);
    }

    /// Advances the clock, processing every wake-up that becomes due.
    pub fn advance(&mut self, duration: Micros) {
        let until = self.now + duration;
        while let Some(at) = self.edge.next_wakeup().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.process();
        }
        self.now = until;
        self.process();
    }

    /// Establishes a connection that the edge has initiated. On the platform its worker also answers the message that
    /// verifies it, which is not recorded as written.
    pub fn connect(&mut self, conn: ConnectionId) {
        if !self.is_on_platform {
            return self.event(Event::Connected { conn });
        }
        let capacity = self.io.capacity.remove(&conn);
        self.event(Event::Connected { conn });
        let capacity = capacity.map(|capacity| self.io.capacity.insert(conn, capacity));
        if capacity.is_none() {
            self.io.capacity.remove(&conn);
        }
        self.answer_verification(conn);
    }

    /// Delivers bytes that the peer of a connection has sent.
    pub fn receive(&mut self, conn: ConnectionId, bytes: &[u8]) {
        self.event(Event::Bytes { conn, bytes });
    }

    /// The connection that the edge has initiated last.
    pub fn last_connection(&self) -> ConnectionId {
        self.io.connects.last().unwrap().0
    }

    // ---- Decisions

    /// Has the module make these decisions in its next run.
    pub fn plan(&mut self, decisions: impl IntoIterator<Item = Decision>) {
        self.script.borrow_mut().planned.extend(decisions);
    }

    /// Has the module make a decision now, by delivering an endpoint list update, which runs it.
    pub fn decide(&mut self, decision: Decision) {
        self.plan([decision]);
        self.receive_update(&full_update(2, &[endpoint("w", 1, Phase::Ready)]));
    }

    /// The outcomes of attempts that were reported to the module.
    pub fn outcomes(&self) -> Vec<Outcome> {
        let script = self.script.borrow();
        let results = script.attempt_results.iter();
        results.map(|result| result.outcome).collect()
    }

    /// The number of requests that were reported to the module.
    pub fn request_count(&self) -> usize {
        self.script.borrow().requests.len()
    }

    /// The first endpoint of the last endpoint list that was reported to the module.
    pub fn last_endpoint(&self) -> Endpoint {
        let script = self.script.borrow();
        script.endpoint_lists.last().unwrap().endpoints[0]
    }

    /// The kind of the last endpoint list, and the state of its first endpoint.
    pub fn last_list_kind_and_state(&self) -> Option<(EndpointListKind, WorkerState)> {
        let script = self.script.borrow();
        let list = script.endpoint_lists.last()?;
        Some((list.kind, list.endpoints[0].state))
    }

    // ---- Clients

    /// Accepts a client connection.
    pub fn accept_client(&mut self) -> ConnectionId {
        self.accepted += 1;
        let conn = ConnectionId(self.accepted);
        self.event(Event::Accepted {
            conn,
            listener: ListenerId(0),
        });
        conn
    }

    /// Delivers an HTTP request for the function `f1` with these header fields.
    pub fn send_http_request(&mut self, conn: ConnectionId, fields: &[(&str, &str)]) {
        let request = http::encode_request("POST", "/v1/calls/job/f1", fields, b"in");
        self.receive(conn, &request);
    }

    /// Accepts a client whose request is dispatched immediately. Returns the connections of the client and the worker.
    pub fn dispatch_http_request(&mut self, time_limit: Micros) -> (ConnectionId, ConnectionId) {
        let client = self.accept_client();
        let request = self.request_count() as u64;
        self.plan([Decision::Dispatch(request, time_limit)]);
        self.send_http_request(client, &[]);
        (client, self.last_connection())
    }

    /// The complete HTTP responses that were written to a client.
    pub fn responses(&self, conn: ConnectionId) -> Vec<http::Response> {
        let mut bytes = self.io.written.get(&conn).cloned().unwrap_or_default();
        let mut responses = Vec::new();
        while let Ok(Some((response, length))) = http::parse_response(&bytes) {
            bytes.drain(..length);
            responses.push(response);
        }
        responses
    }

    /// The status codes of these responses.
    pub fn statuses(&self, conn: ConnectionId) -> Vec<u16> {
        let responses = self.responses(conn);
        responses.iter().map(|response| response.status).collect()
    }

    // ---- Workers

    /// The complete messages that were written to a worker.
    pub fn messages_to(&self, conn: ConnectionId) -> Vec<ToWorker> {
        let mut decoder = FrameDecoder::new(MAX_FRAME_BYTES);
        decoder.push_bytes(self.io.written.get(&conn).map_or(&[][..], Vec::as_slice));
        std::iter::from_fn(|| decoder.next_message().ok().flatten()).collect()
    }

    /// The ids of the attempts that were written to a worker.
    pub fn attempts_to(&self, conn: ConnectionId) -> Vec<u64> {
        let attempt = |message| match message {
            ToWorker::Execute(execute) => Some(execute.id),
            _ => None,
        };
        self.messages_to(conn)
            .into_iter()
            .filter_map(attempt)
            .collect()
    }

    /// Delivers a message from a worker.
    pub fn receive_message(&mut self, conn: ConnectionId, message: &FromWorker) {
        self.receive(conn, &encode_frame(message));
    }

    /// Delivers a worker's answer to an attempt.
    pub fn answer_attempt(&mut self, conn: ConnectionId, id: u64, status: ExecutionStatus) {
        let done = Done {
            id,
            status,
            instance: None,
            function_in_flight: None,
            report: None,
            body: b"out".to_vec(),
            customer_rate: None,
            total_rate: None,
        };
        self.receive_message(conn, &FromWorker::Done(done));
    }

    /// Delivers a worker's hello message.
    pub fn receive_hello(
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
        self.receive_message(conn, &FromWorker::Hello(hello));
    }

    // ---- The discovery service

    /// Delivers an update from the discovery service.
    pub fn receive_update(&mut self, update: &EndpointUpdate) {
        let message = FromDiscovery::Endpoints(update.clone());
        self.receive(self.discovery, &encode_frame(&message));
    }
}

/// A full snapshot of the endpoint list.
pub fn full_update(version: u64, endpoints: &[EndpointRecord]) -> EndpointUpdate {
    EndpointUpdate {
        version,
        service_incarnation: 1,
        is_full_snapshot: true,
        base_version: 0,
        endpoints: endpoints.to_vec(),
    }
}

/// An update with the changes of the endpoint list since `base_version`.
pub fn delta_update(
    version: u64,
    base_version: u64,
    endpoints: &[EndpointRecord],
) -> EndpointUpdate {
    EndpointUpdate {
        is_full_snapshot: false,
        base_version,
        ..full_update(version, endpoints)
    }
}

/// The record of a worker that started long ago.
pub fn endpoint(name: &str, incarnation: u64, phase: Phase) -> EndpointRecord {
    EndpointRecord {
        name: name.into(),
        address: format!("10.0.0.1:{}", 7000 + name.len()),
        zone: "a".into(),
        size: 4.0,
        phase,
        incarnation,
        age_us: -1,
        ..EndpointRecord::default()
    }
}
