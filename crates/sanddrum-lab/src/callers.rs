//! Emulated clients: an open loop of calls that is derived from a seed. Each attempt has a connection of its own while
//! it lasts; a call ends at its time limit, and is retried where that is safe.

use crate::scenario::Scenario;
use crate::token_issuer::TokenIssuer;
use sanddrum_emulator::Shared;
use sanddrum_net::{CloseCause, ConnectionId, Core, Event, Io, Micros, Outbox, Rng};
use sanddrum_wire::http;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Changes that faults make to the traffic while the scenario runs.
#[derive(Clone, Debug)]
pub struct TrafficOverrides {
    /// Multiplies the configured rate.
    pub rate_factor: f64,
    /// The fraction of the calls that goes to `HOT_FUNCTIONS` extra functions of each workload.
    pub hot_function_fraction: f64,
    /// The fraction of the calls that the last customer makes in addition to its share.
    pub last_customer_fraction: f64,
}

impl Default for TrafficOverrides {
    fn default() -> Self {
        TrafficOverrides {
            rate_factor: 1.0,
            hot_function_fraction: 0.0,
            last_customer_fraction: 0.0,
        }
    }
}

/// The number of extra functions of each workload that the hot-functions fault calls.
const HOT_FUNCTIONS: usize = 3;

struct Call {
    workload_index: usize,
    function: String,
    customer: Option<String>,
    work: Micros,
    started_at: Micros,
    attempts: usize,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    NextCall,
    Retry(u64),
    TimeOut(u64),
    Close(ConnectionId),
}

struct Connection {
    edge: usize,
    call: Option<u64>,
    out: Outbox<()>,
    bytes: Vec<u8>,
    is_connected: bool,
}

pub struct Callers {
    scenario: Scenario,
    edges: Vec<String>,
    traffic_overrides: Shared<TrafficOverrides>,
    token_issuer: Option<Shared<TokenIssuer>>,
    rng: Rng,
    traffic_end: Micros,
    /// The cumulative popularity of the functions of a workload.
    popularity: Vec<f64>,
    /// The cumulative fractions of the calls that each edge gets; empty if they are equal.
    edge_shares: Vec<f64>,
    calls: BTreeMap<u64, (Call, Option<ConnectionId>)>,
    next_call: u64,
    connections: BTreeMap<ConnectionId, Connection>,
    /// The idle connections to each edge.
    idle: Vec<VecDeque<ConnectionId>>,
    timers: BTreeSet<(Micros, Timer)>,
    extra_wait: Micros,
}

/// The maximum number of idle connections to one edge.
const MAX_IDLE_CONNECTIONS: usize = 256;

impl Callers {
    pub fn new(
        scenario: &Scenario,
        edges: Vec<String>,
        traffic_overrides: Shared<TrafficOverrides>,
        token_issuer: Option<Shared<TokenIssuer>>,
        seed: u64,
    ) -> Self {
        let l = &scenario.settings;
        let zipf = l.number("traffic.zipf");
        let mut sum = 0.0;
        let popularity = (1..=l.integer("traffic.functions")).map(|rank| {
            sum += (rank as f64).powf(-zipf);
            sum
        });
        let skew = l.number("traffic.uneven");
        let sums = (1..=edges.len()).scan(0.0, |sum, rank| {
            *sum += (rank as f64).powf(-skew);
            Some(*sum)
        });
        Callers {
            edge_shares: if skew > 0.0 {
                sums.collect()
            } else {
                Vec::new()
            },
            popularity: popularity.collect(),
            idle: vec![VecDeque::new(); edges.len()],
            edges,
            traffic_overrides,
            token_issuer,
            rng: Rng::new(seed),
            traffic_end: 0,
            calls: BTreeMap::new(),
            next_call: 0,
            connections: BTreeMap::new(),
            timers: BTreeSet::new(),
            extra_wait: 0,
            scenario: scenario.clone(),
        }
    }
    /// Clients keep waiting this long after the time limit, to record how late an answer is; they ignore the answer.
    #[must_use]
    pub fn with_extra_wait(self, extra_wait: Micros) -> Self {
        Callers { extra_wait, ..self }
    }
    fn pick(rng: &mut Rng, sums: &[f64]) -> usize {
        let at = rng.next_f64() * sums.last().copied().unwrap_or(1.0);
        sums.partition_point(|sum| *sum <= at)
            .min(sums.len().saturating_sub(1))
    }
    fn start_call(&mut self, now: Micros, io: &mut dyn Io) {
        let traffic_overrides = self.traffic_overrides.borrow().clone();
        let rate = self.scenario.settings.number("traffic.rate") * traffic_overrides.rate_factor;
        if now >= self.traffic_end || rate <= 0.0 {
            return;
        }
        let interval = self.rng.exponential(1e6 / rate) as Micros;
        self.timers.insert((now + interval.max(1), Timer::NextCall));
        let mut sum = 0.0;
        let shares: Vec<f64> = self
            .scenario
            .calls
            .iter()
            .map(|c| {
                sum += c.share;
                sum
            })
            .collect();
        let workload_index = Self::pick(&mut self.rng, &shares);
        let traffic = &self.scenario.calls[workload_index];
        let function = if self
            .rng
            .random_bool(traffic_overrides.hot_function_fraction)
        {
            format!(
                "{}hot-{}",
                traffic.function_prefix,
                self.rng.index(HOT_FUNCTIONS)
            )
        } else {
            format!(
                "{}{}",
                traffic.function_prefix,
                Self::pick(&mut self.rng, &self.popularity)
            )
        };
        let work = self
            .rng
            .exponential(traffic.mean_work as f64)
            .min(traffic.mean_work as f64 * 6.0)
            .max(100.0) as Micros;
        let l = &self.scenario.settings;
        let shares: Vec<f64> = (0..l.count("customers"))
            .scan(0.0, |sum, n| {
                *sum += l.number(&format!("customers.{n}.share"));
                Some(*sum)
            })
            .collect();
        let is_last_customer = traffic_overrides.last_customer_fraction > 0.0
            && self
                .rng
                .random_bool(traffic_overrides.last_customer_fraction);
        let customer = match shares.len() {
            0 => None,
            n if is_last_customer => Some(n - 1),
            _ => Some(Self::pick(&mut self.rng, &shares)),
        };
        let customer = customer.map(|n| l.text(&format!("customers.{n}.name")).to_string());
        let id = self.next_call;
        self.next_call += 1;
        self.calls.insert(
            id,
            (
                Call {
                    workload_index,
                    function,
                    customer,
                    work,
                    started_at: now,
                    attempts: 0,
                },
                None,
            ),
        );
        self.timers.insert((
            now + self.scenario.calls[workload_index].time_limit,
            Timer::TimeOut(id),
        ));
        self.attempt(now, id, io);
    }

    fn attempt(&mut self, now: Micros, id: u64, io: &mut dyn Io) {
        let edge = match self.edge_shares.is_empty() {
            true => self.rng.index(self.edges.len()),
            false => Self::pick(&mut self.rng, &self.edge_shares),
        };
        let Some((call, at)) = self.calls.get_mut(&id) else {
            return;
        };
        let traffic = &self.scenario.calls[call.workload_index];
        let remaining = call.started_at + traffic.time_limit - now;
        // The number of the call, of its attempt, and the time since its start, for the recorder of the traffic.
        let trace = format!("c{id}.{}.{}", call.attempts, now - call.started_at);
        let (limit, idempotency_key) = ((remaining / 1000).to_string(), format!("m{id}"));
        let mut fields = vec![
            ("sanddrum-trace", trace.as_str()),
            ("sanddrum-time-limit-ms", limit.as_str()),
        ];
        if traffic.effect == "fingerprinted" {
            fields.push(("idempotency-key", &idempotency_key));
        }
        if let Some(customer) = &call.customer {
            fields.push(("sanddrum-customer", customer));
        }
        let credentials = self.token_issuer.as_ref().zip(call.customer.as_ref());
        let token = credentials
            .and_then(|(token_issuer, customer)| token_issuer.borrow_mut().token(now, customer));
        let token = token.map(|token| format!("Bearer {token}"));
        if let Some(token) = &token {
            fields.push(("authorization", token));
        }
        // The hint is half to twice the real work.
        let hint = (call.work as f64 * (0.5 + self.rng.next_f64() * 1.5)) as Micros;
        let hint = if traffic.exact_hints { call.work } else { hint }.to_string();
        if traffic.hints || traffic.exact_hints {
            fields.push(("sanddrum-work-us", &hint));
        }
        if call.attempts > 0 {
            fields.push(("sanddrum-repeat", "1"));
        }
        let path = format!("/v1/calls/{}/{}", traffic.workload, call.function);
        let bytes = http::encode_request(
            "POST",
            &path,
            &fields,
            format!("work-us={}", call.work).as_bytes(),
        );
        call.attempts += 1;
        let conn = match self.idle[edge].pop_back() {
            Some(conn) => conn,
            None => {
                let conn = io.connect(&self.edges[edge]);
                let connection = Connection {
                    edge,
                    call: None,
                    out: Outbox::new(1 << 20),
                    bytes: Vec::new(),
                    is_connected: false,
                };
                self.connections.insert(conn, connection);
                conn
            }
        };
        *at = Some(conn);
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.call = Some(id);
            let _ = connection.out.push((), &bytes);
            if connection.is_connected {
                connection.out.flush(conn, io);
            }
        }
    }

    fn answered(&mut self, now: Micros, conn: ConnectionId, answer: &http::Response) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let Some(id) = connection.call.take() else {
            return;
        };
        if self.idle[connection.edge].len() < MAX_IDLE_CONNECTIONS {
            self.idle[connection.edge].push_back(conn);
        }
        let wait = answer
            .field("sanddrum-retry-after-ms")
            .and_then(|ms| ms.parse::<Micros>().ok());
        if answer.status == 503 {
            let respects_retry_after = self
                .rng
                .random_bool(self.scenario.settings.number("traffic.heeds"));
            let default_wait = self.scenario.settings.duration_us("traffic.retry-wait-us");
            let wait = wait
                .filter(|_| respects_retry_after)
                .map_or(default_wait, |ms| (ms * 1000).max(default_wait));
            return self.schedule_retry(now, id, wait);
        }
        self.finish_call(id);
    }
    /// Schedules a retry after `wait`, if a retry and time are left.
    fn schedule_retry(&mut self, now: Micros, id: u64, wait: Micros) {
        let retries = self.scenario.settings.integer("traffic.retries");
        let Some((call, at)) = self.calls.get_mut(&id) else {
            return;
        };
        *at = None;
        // Don't retry when no answer could arrive in time.
        let last = self.scenario.calls[call.workload_index].time_limit
            - self.scenario.settings.duration_us("limits.answer-ahead-us");
        if call.attempts > retries || now + wait >= call.started_at + last {
            return self.finish_call(id);
        }
        self.timers.insert((now + wait, Timer::Retry(id)));
    }
    fn finish_call(&mut self, id: u64) {
        if let Some((call, _)) = self.calls.remove(&id) {
            self.timers.remove(&(
                call.started_at + self.scenario.calls[call.workload_index].time_limit,
                Timer::TimeOut(id),
            ));
        }
    }
    fn connection_lost(&mut self, now: Micros, conn: ConnectionId, cause: CloseCause) {
        let Some(connection) = self.connections.remove(&conn) else {
            return;
        };
        self.idle[connection.edge].retain(|idle| *idle != conn);
        let Some(id) = connection.call else { return };
        let Some((call, _)) = self.calls.get(&id) else {
            return;
        };
        // If the edge was unreachable or the request was not fully sent, any workload may be retried; otherwise only
        // restartable ones.
        let unsent = cause == CloseCause::Refused
            || !connection.is_connected
            || connection.out.is_pending(&());
        let restartable = self.scenario.calls[call.workload_index].effect == "restartable";
        if unsent || restartable {
            let wait = self.scenario.settings.duration_us("traffic.retry-wait-us");
            return self.schedule_retry(now, id, wait);
        }
        self.finish_call(id);
    }
    fn time_out(&mut self, now: Micros, id: u64, io: &mut dyn Io) {
        let Some((_, Some(conn))) = self.calls.remove(&id) else {
            return;
        };
        if self.extra_wait == 0 {
            return self.close(conn, io);
        }
        self.connections
            .get_mut(&conn)
            .into_iter()
            .for_each(|connection| connection.call = None);
        self.timers
            .insert((now + self.extra_wait, Timer::Close(conn)));
    }
    fn close(&mut self, conn: ConnectionId, io: &mut dyn Io) {
        if self.connections.remove(&conn).is_some() {
            io.close(conn);
        }
    }
}

impl Core for Callers {
    fn start(&mut self, now: Micros, _: &mut dyn Io) {
        self.traffic_end = now + self.scenario.length;
        self.timers.insert((now, Timer::NextCall));
    }
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        match event {
            Event::Connected { conn } => {
                if let Some(connection) = self.connections.get_mut(&conn) {
                    connection.is_connected = true;
                    connection.out.flush(conn, io);
                }
            }
            Event::Writable { conn } => {
                if let Some(connection) = self.connections.get_mut(&conn) {
                    connection.out.unblock();
                    connection.out.flush(conn, io);
                }
            }
            Event::Bytes { conn, bytes } => {
                let Some(connection) = self.connections.get_mut(&conn) else {
                    return;
                };
                connection.bytes.extend_from_slice(bytes);
                match http::parse_response(&connection.bytes) {
                    Ok(Some((answer, length))) => {
                        connection.bytes.drain(..length);
                        self.answered(now, conn, &answer);
                    }
                    Ok(None) => {}
                    Err(_) => {
                        io.reset(conn);
                        self.connection_lost(now, conn, CloseCause::Reset);
                    }
                }
            }
            Event::Closed { conn, cause } => self.connection_lost(now, conn, cause),
            Event::Accepted { .. } => {}
        }
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        while let Some((at, timer)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, timer));
            match timer {
                Timer::NextCall => self.start_call(now, io),
                Timer::Retry(id) => self.attempt(now, id, io),
                Timer::TimeOut(id) => self.time_out(now, id, io),
                Timer::Close(conn) => self.close(conn, io),
            }
        }
    }
    fn next_wakeup(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }
    fn is_done(&self) -> bool {
        self.calls.is_empty() && self.timers.is_empty()
    }
}
