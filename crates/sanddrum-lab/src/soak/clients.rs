//! The emulated web servers of a soak run: FastCGI clients that send requests to each router. Most behave well, some
//! misbehave in the ways that the platform's documentation describes. They record the responses in the observations.

use super::observations::{
    request_body, Abandonment, Effect, Request, RequestId, Response, RouterId, SharedObservations,
};
use super::settings::{Fleet, SoakSettings};
use sanddrum_fastcgi::{
    encode_header, encode_params, write_begin_request, write_stream, Record, RecordType,
};
use sanddrum_net::{CloseCause, ConnectionId, Core, Event, Io, Micros, Rng};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// The protocol's limit of open requests on a connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// A client closes a shared connection that has been idle for this long.
const IDLE_TIMEOUT: Micros = 4_000_000;
const FUNCTIONS: usize = 24;
/// One in so many requests may be repeated by its key.
const BY_KEY_INTERVAL: u64 = 4;

/// How a client behaves with a single request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientBehavior {
    Normal,
    /// Sends the request in fragments with pauses between them.
    Fragmented,
    /// Sends the request with a short time limit.
    ShortTimeLimit,
    Aborts(Micros),
    Closes(Micros),
    Resets(Micros),
    /// Closes the connection after sending a part of the request.
    ClosesMidRequest,
    /// Sends random bytes.
    Garbage,
}

/// What clients know of a router, and what they may send to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouterTarget {
    /// Whether clients open new connections to this router.
    pub opens_connections: bool,
    /// Whether clients send requests to this router.
    pub sends_requests: bool,
    /// Whether clients send health checks to this router until one succeeds.
    pub checks_health: bool,
    pub ready_at: Option<Micros>,
}

/// How the environment controls the clients while they run.
#[derive(Debug)]
pub struct ClientControl {
    pub targets: Vec<RouterTarget>,
    /// Requests per second for each router.
    pub rate: f64,
    /// Number of shared connections to each router.
    pub shared_connections: usize,
    /// The fraction of requests with which clients misbehave.
    pub misbehaving_fraction: f64,
    /// No more new requests are sent.
    pub stopped: bool,
    /// Number of requests sent in part or in fragments. Like `responses`, it counts events that can trigger a fault.
    pub partial_requests: u64,
    /// Number of responses received.
    pub responses: u64,
}

/// What a client does with its request or connection after it has started sending.
enum FollowUp {
    Abort(u16),
    Close,
    Reset,
}

struct Connection {
    router: RouterId,
    is_connected: bool,
    /// Whether the connection is not shared with other requests.
    is_exclusive: bool,
    is_health_check: bool,
    sends_garbage: bool,
    free_ids: Vec<u16>,
    /// Requests without a response so far. Those that were sent completely are in the observations.
    open: BTreeMap<u16, RequestId>,
    requests_sent: u64,
    stdout: BTreeMap<u16, Vec<u8>>,
    bytes: Vec<u8>,
    /// Bytes still to be written: the earliest time, and the request that they complete.
    pending_writes: VecDeque<(Micros, Vec<u8>, Option<RequestId>)>,
    follow_up: Option<(Micros, FollowUp)>,
    idle_since: Micros,
}

struct UnsentRequest {
    effect: Effect,
    time_limit: Micros,
    first_on_connection: bool,
    /// Since when its connection had been idle.
    idle_since: Micros,
}

/// All clients of all routers.
pub struct Clients {
    fleet: Fleet,
    settings: SoakSettings,
    observations: SharedObservations,
    control: Rc<RefCell<ClientControl>>,
    rng: Rng,
    next_request_id: u64,
    next_request_at: Vec<Micros>,
    next_health_check_at: Vec<Micros>,
    connections: BTreeMap<ConnectionId, Connection>,
    unsent: BTreeMap<RequestId, UnsentRequest>,
    now: Micros,
}

impl Clients {
    pub fn new(
        fleet: Fleet,
        settings: SoakSettings,
        observations: SharedObservations,
        control: Rc<RefCell<ClientControl>>,
    ) -> Self {
        let routers = fleet.routers;
        Clients {
            rng: Rng::new(fleet.seed ^ 0xc11e),
            next_request_id: fleet.seed << 32,
            fleet,
            settings,
            observations,
            control,
            next_request_at: vec![0; routers],
            next_health_check_at: vec![0; routers],
            connections: BTreeMap::new(),
            unsent: BTreeMap::new(),
            now: 0,
        }
    }

    // ---- Requests

    fn random_behavior(&mut self) -> ClientBehavior {
        let misbehaving_fraction = self.control.borrow().misbehaving_fraction;
        if !self.rng.random_bool(misbehaving_fraction) {
            return if self.rng.random_bool(0.15) {
                ClientBehavior::Fragmented
            } else {
                ClientBehavior::Normal
            };
        }
        let after = self.rng.index(60_000) as Micros;
        match self.rng.index(7) {
            0 => ClientBehavior::ShortTimeLimit,
            1 => ClientBehavior::Aborts(after),
            2 => ClientBehavior::Closes(after),
            3 => ClientBehavior::Resets(after),
            4 => ClientBehavior::ClosesMidRequest,
            5 => ClientBehavior::Garbage,
            _ => ClientBehavior::Fragmented,
        }
    }
    fn connect(
        &mut self,
        now: Micros,
        router: RouterId,
        is_exclusive: bool,
        io: &mut dyn Io,
    ) -> ConnectionId {
        let conn = io.connect(&self.fleet.router_address(router));
        self.observations.borrow_mut().connections_by_clients += 1;
        let connection = Connection {
            router,
            is_connected: false,
            is_exclusive,
            is_health_check: false,
            sends_garbage: false,
            free_ids: (1..=MAX_OPEN_REQUESTS as u16).rev().collect(),
            open: BTreeMap::new(),
            requests_sent: 0,
            stdout: BTreeMap::new(),
            bytes: Vec::new(),
            pending_writes: VecDeque::new(),
            follow_up: None,
            idle_since: now,
        };
        self.connections.insert(conn, connection);
        conn
    }
    /// Returns a shared connection that can take another request, or opens one.
    fn shared_connection(
        &mut self,
        now: Micros,
        router: RouterId,
        io: &mut dyn Io,
    ) -> Option<ConnectionId> {
        let shared = self
            .connections
            .iter()
            .filter(|(_, c)| c.router == router && !c.is_exclusive);
        let count = shared.clone().count();
        let available = shared
            .filter(|(_, c)| !c.free_ids.is_empty())
            .min_by_key(|(_, c)| c.open.len());
        let found = available.map(|(conn, c)| (*conn, c.open.len()));
        let control = self.control.borrow();
        let (opens_connections, limit) = (
            control.targets[router.0].opens_connections,
            control.shared_connections,
        );
        drop(control);
        match found {
            Some((conn, 0)) => Some(conn),
            found if count >= limit || !opens_connections => found.map(|(conn, _)| conn),
            _ => Some(self.connect(now, router, false, io)),
        }
    }
    fn send_request(&mut self, now: Micros, router: RouterId, io: &mut dyn Io) {
        let behavior = self.random_behavior();
        let may_share = matches!(
            behavior,
            ClientBehavior::Normal
                | ClientBehavior::Fragmented
                | ClientBehavior::ShortTimeLimit
                | ClientBehavior::Aborts(_)
        );
        let forces_new = self.rng.random_bool(0.2);
        let opens_connections = self.control.borrow().targets[router.0].opens_connections;
        let conn = match may_share && !forces_new {
            true => self.shared_connection(now, router, io),
            false if opens_connections => Some(self.connect(now, router, true, io)),
            false => None,
        };
        let Some(conn) = conn else { return };
        if behavior == ClientBehavior::Garbage {
            return self.send_garbage(now, conn);
        }
        self.next_request_id += 1;
        let request_id = RequestId(self.next_request_id);
        let effect = match self.rng.random_bool(0.5) {
            _ if self.next_request_id.is_multiple_of(BY_KEY_INTERVAL) => Effect::ByKey,
            true => Effect::Once,
            false => Effect::Repeatable,
        };
        let time_limit = match behavior {
            ClientBehavior::ShortTimeLimit => 1_000 * (1 + self.rng.index(80) as Micros),
            _ => self.settings.max_deadline / 1000 * (500 + self.rng.index(500) as Micros),
        };
        let function = self.rng.index(FUNCTIONS);
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let Some(fastcgi_id) = connection.free_ids.pop() else {
            return;
        };
        let bytes = encode_request(fastcgi_id, request_id, effect, time_limit, function);
        let first_on_connection = connection.requests_sent == 0;
        let idle_since = if connection.open.is_empty() {
            connection.idle_since
        } else {
            now
        };
        connection.requests_sent += 1;
        match behavior {
            ClientBehavior::Fragmented => {
                self.control.borrow_mut().partial_requests += 1;
                let fragment_count = 2 + self.rng.index(3);
                let size = bytes.len().div_ceil(fragment_count);
                let fragments: Vec<&[u8]> = bytes.chunks(size).collect();
                let last = fragments.len() - 1;
                for (n, fragment) in fragments.into_iter().enumerate() {
                    let at = now + n as Micros * self.rng.index(20_000) as Micros;
                    connection.pending_writes.push_back((
                        at,
                        fragment.to_vec(),
                        (n == last).then_some(request_id),
                    ));
                }
            }
            ClientBehavior::ClosesMidRequest => {
                self.control.borrow_mut().partial_requests += 1;
                let part = 1 + self.rng.index(bytes.len() - 1);
                connection
                    .pending_writes
                    .push_back((now, bytes[..part].to_vec(), None));
                connection.follow_up =
                    Some((now + self.rng.index(30_000) as Micros, FollowUp::Close));
                return;
            }
            _ => connection
                .pending_writes
                .push_back((now, bytes, Some(request_id))),
        }
        connection.open.insert(fastcgi_id, request_id);
        connection.follow_up = match behavior {
            ClientBehavior::Aborts(after) if connection.is_exclusive => {
                Some((now + after, FollowUp::Abort(fastcgi_id)))
            }
            ClientBehavior::Closes(after) => Some((now + after, FollowUp::Close)),
            ClientBehavior::Resets(after) => Some((now + after, FollowUp::Reset)),
            _ => connection.follow_up.take(),
        };
        self.unsent.insert(
            request_id,
            UnsentRequest {
                effect,
                time_limit,
                first_on_connection,
                idle_since,
            },
        );
    }
    fn send_garbage(&mut self, now: Micros, conn: ConnectionId) {
        let length = 1 + self.rng.index(4000);
        let random_bytes: Vec<u8> = (0..length).map(|_| self.rng.next_u64() as u8).collect();
        self.observations.borrow_mut().malformed_requests += 1;
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        connection.sends_garbage = true;
        connection
            .pending_writes
            .push_back((now, random_bytes, None));
        connection.follow_up = Some((now + 3_000_000, FollowUp::Close));
    }
    fn send_health_check(&mut self, now: Micros, router: RouterId, io: &mut dyn Io) {
        let conn = self.connect(now, router, true, io);
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        connection.is_health_check = true;
        let mut out = Vec::new();
        write_begin_request(&mut out, 1, false);
        write_stream(
            &mut out,
            RecordType::Params,
            1,
            &encode_params(&[("SCRIPT_NAME", "/health")]),
        );
        write_stream(&mut out, RecordType::Stdin, 1, b"");
        connection.pending_writes.push_back((now, out, None));
        connection.follow_up = Some((now + 1_000_000, FollowUp::Close));
    }

    // ---- Writing

    fn write(&mut self, now: Micros, conn: ConnectionId, io: &mut dyn Io) {
        let Some(connection) = self.connections.get_mut(&conn).filter(|c| c.is_connected) else {
            return;
        };
        while let Some((at, bytes, completed)) = connection.pending_writes.front_mut() {
            if *at > now {
                return;
            }
            let written = io.write(conn, bytes);
            if written < bytes.len() {
                bytes.drain(..written);
                return;
            }
            if let Some((request_id, unsent)) = completed
                .and_then(|request_id| Some((request_id, self.unsent.remove(&request_id)?)))
            {
                let request = Request {
                    router: connection.router,
                    effect: unsent.effect,
                    time_limit: unsent.time_limit,
                    sent: now,
                    first_on_connection: unsent.first_on_connection,
                    idle_before: now - unsent.idle_since,
                    abandoned: None,
                    responses: Vec::new(),
                    closed_unanswered: None,
                    malformed: false,
                };
                self.observations
                    .borrow_mut()
                    .requests
                    .insert(request_id, request);
            }
            connection.pending_writes.pop_front();
        }
    }
    /// Performs the connection's follow-up action if it is due.
    fn perform_follow_up(&mut self, now: Micros, conn: ConnectionId, io: &mut dyn Io) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        if connection
            .follow_up
            .as_ref()
            .is_none_or(|(at, _)| *at > now)
        {
            return;
        }
        let Some((_, follow_up)) = connection.follow_up.take() else {
            return;
        };
        match follow_up {
            FollowUp::Abort(fastcgi_id) => {
                // An abort may only follow the complete request.
                if !connection.is_connected || !connection.pending_writes.is_empty() {
                    connection.follow_up = Some((now + 1_000, FollowUp::Abort(fastcgi_id)));
                    return;
                }
                if let Some(request_id) = connection.open.get(&fastcgi_id).copied() {
                    io.write(
                        conn,
                        &encode_header(RecordType::AbortRequest, fastcgi_id, 0),
                    );
                    self.observations.borrow_mut().aborts_by_clients += 1;
                    self.mark_abandoned(now, &[request_id], Abandonment::Aborted);
                }
            }
            FollowUp::Close => {
                self.mark_all_abandoned(now, conn, Abandonment::Closed);
                io.close(conn);
                self.connections.remove(&conn);
            }
            FollowUp::Reset => {
                self.mark_all_abandoned(now, conn, Abandonment::Reset);
                io.reset(conn);
                self.connections.remove(&conn);
            }
        }
    }
    fn mark_all_abandoned(&mut self, now: Micros, conn: ConnectionId, how: Abandonment) {
        let Some(connection) = self.connections.get(&conn) else {
            return;
        };
        let request_ids: Vec<RequestId> = connection.open.values().copied().collect();
        self.observations.borrow_mut().closes_by_clients += 1;
        self.mark_abandoned(now, &request_ids, how);
    }
    fn mark_abandoned(&mut self, now: Micros, request_ids: &[RequestId], how: Abandonment) {
        let mut observations = self.observations.borrow_mut();
        for request_id in request_ids {
            if let Some(request) = observations
                .requests
                .get_mut(request_id)
                .filter(|r| r.responses.is_empty())
            {
                request.abandoned = request.abandoned.or(Some((now, how)));
            }
        }
    }

    // ---- Responses

    fn receive(&mut self, now: Micros, conn: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        connection.bytes.extend_from_slice(bytes);
        connection.idle_since = now;
        loop {
            let Some(connection) = self.connections.get_mut(&conn) else {
                return;
            };
            let (record_type, fastcgi_id, content, length) = match Record::read(&connection.bytes) {
                Ok(Some((record, length))) => (
                    record.record_type,
                    record.id,
                    record.content.to_vec(),
                    length,
                ),
                Ok(None) => return,
                Err(_) => {
                    let request_ids: Vec<RequestId> = connection.open.values().copied().collect();
                    let mut observations = self.observations.borrow_mut();
                    request_ids.iter().for_each(|request_id| {
                        observations
                            .requests
                            .entry(*request_id)
                            .and_modify(|request| request.malformed = true);
                    });
                    connection.bytes.clear();
                    return;
                }
            };
            connection.bytes.drain(..length);
            match record_type {
                RecordType::Stdout => connection
                    .stdout
                    .entry(fastcgi_id)
                    .or_default()
                    .extend_from_slice(&content),
                RecordType::EndRequest => self.record_response(now, conn, fastcgi_id),
                _ => {}
            }
        }
    }
    fn record_response(&mut self, now: Micros, conn: ConnectionId, fastcgi_id: u16) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let output = connection.stdout.remove(&fastcgi_id).unwrap_or_default();
        let (status, body) = split_cgi_response(&output);
        let mut observations = self.observations.borrow_mut();
        if connection.sends_garbage {
            observations.malformed_requests_served += u64::from(status == 200);
            return;
        }
        if connection.is_health_check {
            if status == 200 {
                let mut control = self.control.borrow_mut();
                let target = &mut control.targets[connection.router.0];
                target.ready_at = target.ready_at.or(Some(now));
            }
            return;
        }
        let Some(request_id) = connection.open.remove(&fastcgi_id) else {
            return;
        };
        connection.free_ids.push(fastcgi_id);
        self.control.borrow_mut().responses += 1;
        if let Some(request) = observations.requests.get_mut(&request_id) {
            request.responses.push(Response {
                at: now,
                status,
                body: body.to_vec(),
            });
        }
    }
    fn on_closed(&mut self, now: Micros, conn: ConnectionId) {
        let Some(connection) = self.connections.remove(&conn) else {
            return;
        };
        let mut observations = self.observations.borrow_mut();
        for request_id in connection.open.values() {
            if let Some(request) = observations
                .requests
                .get_mut(request_id)
                .filter(|r| r.responses.is_empty())
            {
                request.closed_unanswered = Some(now);
            }
        }
    }
}

/// Splits a CGI response into its status, 0 if it has none, and its body.
fn split_cgi_response(output: &[u8]) -> (u16, &[u8]) {
    let header = output.windows(4).position(|four| four == b"\r\n\r\n");
    let (header, body) = header.map_or((output, &[][..]), |at| (&output[..at], &output[at + 4..]));
    let header = String::from_utf8_lossy(header);
    let status = header
        .lines()
        .find_map(|line| line.strip_prefix("Status: "));
    let status = status.and_then(|status| status.split(' ').next()?.parse().ok());
    (status.unwrap_or(0), body)
}

fn encode_request(
    fastcgi_id: u16,
    request_id: RequestId,
    effect: Effect,
    time_limit: Micros,
    function: usize,
) -> Vec<u8> {
    let (number, time_limit) = (
        format!("{:016x}", request_id.0),
        (time_limit / 1000).max(1).to_string(),
    );
    let (path, function) = (
        format!("/rpc/{}", effect.class_name()),
        format!("{:016x}", 0xf000 + function),
    );
    let pairs = [
        ("SCRIPT_NAME", path.as_str()),
        ("HTTP_X_CALL_ID", number.as_str()),
        ("HTTP_X_PATIENCE_MS", time_limit.as_str()),
        ("HTTP_X_ENTITY", function.as_str()),
        ("HTTP_X_INFO", "memory_mb:100;lanes:4;load_ms:200"),
    ];
    let mut out = Vec::new();
    write_begin_request(&mut out, fastcgi_id, true);
    write_stream(
        &mut out,
        RecordType::Params,
        fastcgi_id,
        &encode_params(&pairs),
    );
    write_stream(
        &mut out,
        RecordType::Stdin,
        fastcgi_id,
        &request_body(request_id),
    );
    out
}

impl Core for Clients {
    fn start(&mut self, now: Micros, _: &mut dyn Io) {
        self.next_request_at.iter_mut().for_each(|at| *at = now);
    }
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        match event {
            Event::Connected { conn } => {
                if let Some(connection) = self.connections.get_mut(&conn) {
                    connection.is_connected = true;
                }
                self.write(now, conn, io);
            }
            Event::Writable { conn } => self.write(now, conn, io),
            Event::Bytes { conn, bytes } => self.receive(now, conn, bytes),
            Event::Closed { conn, cause } => {
                if cause == CloseCause::Orderly {
                    io.close(conn);
                }
                self.on_closed(now, conn);
            }
            Event::Accepted { .. } => {}
        }
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        self.now = now;
        let (rate, stopped) = (self.control.borrow().rate, self.control.borrow().stopped);
        for router in (0..self.fleet.routers).map(RouterId) {
            let target = self.control.borrow().targets[router.0];
            if target.checks_health
                && target.ready_at.is_none()
                && self.next_health_check_at[router.0] <= now
            {
                self.next_health_check_at[router.0] = now + 50_000;
                self.send_health_check(now, router, io);
            }
            while !stopped && self.next_request_at[router.0] <= now {
                self.next_request_at[router.0] = now + self.rng.exponential(1e6 / rate) as Micros;
                if target.sends_requests {
                    self.send_request(now, router, io);
                }
            }
        }
        let conns: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for conn in conns {
            self.write(now, conn, io);
            self.perform_follow_up(now, conn, io);
            let Some(connection) = self.connections.get(&conn) else {
                continue;
            };
            let has_no_work = connection.open.is_empty()
                && connection.pending_writes.is_empty()
                && connection.follow_up.is_none();
            let idle_limit = if connection.is_exclusive {
                0
            } else {
                IDLE_TIMEOUT
            };
            if has_no_work && connection.is_connected && now - connection.idle_since >= idle_limit {
                io.close(conn);
                self.connections.remove(&conn);
            }
        }
    }
    fn next_wakeup(&self) -> Option<Micros> {
        Some(self.now + 2_000)
    }
}
