//! The client door: HTTP/1.1 with keep-alive and bounded pipelining. Answers go out in the order of the requests.

use crate::functions::Unknown;
use crate::requests::{Answer, Call, Refusal};
use crate::{arrival_time, Due, Inner, Owner};
use sanddrum::{CustomerId, Micros, RequestId};
use sanddrum_net::{ConnectionId, Event, Io, Outbox};
use sanddrum_upstream::{ClientConnectionId, OutdatedConnection, RotationRequest};
use sanddrum_wire::http::{self, Parsed, Request};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

enum Place {
    Open { job: RequestId, keep: bool },
    Ready { answer: Vec<u8>, keep: bool },
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Ending {
    No,
    /// Once all that is owed is written.
    WhenWritten,
    /// Read out until then, so that an early answer is not lost to unread bytes (RFC 9112, section 9.6).
    Lingers(Micros),
}

struct Client {
    bytes: Vec<u8>,
    out: Outbox<()>,
    places: VecDeque<Place>,
    /// The number of the first place.
    first: u64,
    /// Since when a request is begun and not whole.
    began: Option<Micros>,
    came: Micros,
    active: Micros,
    /// From when on the time of what has come last counts.
    from: Micros,
    ending: Ending,
    paused: bool,
    told_to_go_on: bool,
    /// It ends with its next answer, or at once where it asks nothing.
    retired: bool,
}

#[derive(Default)]
pub(crate) struct Clients {
    clients: BTreeMap<ConnectionId, Client>,
    dirty: BTreeSet<ConnectionId>,
}

impl Clients {
    pub fn count(&self) -> usize {
        self.clients.len()
    }
    pub fn nothing_to_write(&self) -> bool {
        self.clients
            .values()
            .all(|c| c.places.is_empty() && c.out.pending_bytes() == 0)
    }
    /// Whether a request has come in part.
    pub fn reads_one(&self) -> bool {
        self.clients.values().any(|c| c.began.is_some())
    }
    /// Who goes where there is no room for one more, as for web servers: the silent first, never one with a request.
    fn least_missed(&self, now: Micros, time_to_speak: Micros) -> Option<ConnectionId> {
        let quiet =
            |c: &Client| c.places.is_empty() && c.out.pending_bytes() == 0 && c.bytes.is_empty();
        let idle = self.clients.iter().filter(|(_, client)| quiet(client));
        let rank = |client: &Client| missed(client.first > 0, now - client.came >= time_to_speak);
        idle.min_by_key(|(conn, client)| (rank(client), client.active, **conn))
            .map(|(conn, _)| *conn)
    }
}

/// Who goes first where there is no room for one more.
pub(crate) fn missed(spoke: bool, had_time_to_speak: bool) -> u8 {
    match (spoke, had_time_to_speak) {
        (false, true) => 0,
        (true, _) => 1,
        (false, false) => 2,
    }
}

/// Why a request became no job.
pub(crate) struct NoJob {
    pub status: u16,
    pub reason: &'static str,
    pub detail: String,
}

pub(crate) fn no_job(status: u16, reason: &'static str, detail: impl Into<String>) -> NoJob {
    NoJob {
        status,
        reason,
        detail: detail.into(),
    }
}

/// A field with a number in it, if it is there.
fn number(request: &Request, name: &'static str) -> Result<Option<i64>, NoJob> {
    let Some(text) = request.field(name) else {
        return Ok(None);
    };
    let read = text
        .trim()
        .parse::<i64>()
        .ok()
        .filter(|n| (0..=1_000_000_000_000).contains(n));
    read.map(Some).ok_or_else(|| {
        no_job(
            400,
            "bad-field",
            format!("{name}: a whole number from 0 on is wanted"),
        )
    })
}

impl Inner {
    pub(crate) fn client_came(&mut self, now: Micros, conn: ConnectionId, io: &mut dyn Io) {
        if self.clients.clients.len() >= self.limits.max_clients {
            self.figures.limit_hit("max-clients");
            match self.clients.least_missed(now, self.limits.time_to_speak) {
                Some(other) => self.drop_client(now, other, io, true),
                None => {
                    tracing::warn!(reason = "max-clients", "a client is closed at once");
                    return io.reset(conn);
                }
            }
        }
        self.owners.insert(conn, Owner::Client);
        self.identity.client_came(conn, io);
        let client = Client {
            bytes: Vec::new(),
            out: Outbox::new(self.limits.waiting_per_client),
            places: VecDeque::new(),
            first: 0,
            began: None,
            came: now,
            active: now,
            from: now,
            ending: Ending::No,
            paused: false,
            told_to_go_on: false,
            retired: false,
        };
        self.clients.clients.insert(conn, client);
        self.figures.clients_open.increment(1.0);
        self.due.insert((
            now + self.limits.head_time_out.min(self.limits.client_idle),
            Due::Client(conn),
        ));
    }

    pub(crate) fn client_event(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        event: Event<'_>,
        io: &mut dyn Io,
    ) {
        match event {
            Event::Bytes { bytes, .. } => {
                let Some(client) = self.clients.clients.get_mut(&conn) else {
                    return;
                };
                client.active = now;
                if client.ending != Ending::No {
                    return;
                }
                if client.bytes.is_empty() {
                    client.began = Some(now);
                }
                client.bytes.extend_from_slice(bytes);
                client.from = arrival_time::counts_from(now, io.earliest_arrival(now));
                self.read_requests(now, conn, io);
            }
            Event::Writable { .. } => {
                if let Some(client) = self.clients.clients.get_mut(&conn) {
                    client.out.unblock();
                    client.active = now;
                    self.clients.dirty.insert(conn);
                }
            }
            Event::Closed { .. } => self.client_left(now, conn),
            Event::Accepted { .. } | Event::Connected { .. } => {}
        }
    }

    /// A client that closes has left; what it had asked for needs no answer any more.
    fn client_left(&mut self, now: Micros, conn: ConnectionId) {
        let Some(client) = self.clients.clients.remove(&conn) else {
            return;
        };
        self.clients.dirty.remove(&conn);
        self.figures.clients_open.decrement(1.0);
        self.identity.client_gone(conn);
        for place in client.places {
            if let Place::Open { job, .. } = place {
                self.give_job_up(now, job);
            }
        }
    }

    /// A client's connection was made on terms that are past.
    pub(crate) fn client_is_old(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        denied: bool,
        io: &mut dyn Io,
    ) {
        if denied {
            self.client_doubted(now, conn, io);
            return self
                .links
                .news
                .revoked
                .push(OutdatedConnection::Client(ClientConnectionId(conn.0)));
        }
        let carries = self
            .clients
            .clients
            .get(&conn)
            .map_or(0, |client| client.places.len());
        self.links.news.outdated.push(RotationRequest {
            connection: OutdatedConnection::Client(ClientConnectionId(conn.0)),
            in_flight: carries,
        });
    }
    pub(crate) fn retire_client(&mut self, now: Micros, conn: ConnectionId, io: &mut dyn Io) {
        let Some(client) = self.clients.clients.get_mut(&conn) else {
            return;
        };
        client.retired = true;
        if client.places.is_empty() && client.bytes.is_empty() && client.out.pending_bytes() == 0 {
            self.drop_client(now, conn, io, true);
        }
    }

    fn read_requests(&mut self, now: Micros, conn: ConnectionId, io: &mut dyn Io) {
        loop {
            let Some(client) = self.clients.clients.get_mut(&conn) else {
                return;
            };
            if client.bytes.is_empty() || client.ending != Ending::No {
                client.began = None;
                return;
            }
            if client.places.len() >= self.limits.pipelined {
                client.began = None;
                // Read on within a bound. Guards against a client that leaves unheard, for which what it had asked
                // would still be sent: of a connection that is not read its end is not told.
                if client.bytes.len() > self.limits.largest_head + self.limits.largest_body {
                    client.paused = true;
                    io.pause(conn, true);
                }
                return;
            }
            match http::parse_request(
                &client.bytes,
                self.limits.largest_head,
                self.limits.largest_body,
            ) {
                Ok(Parsed::Partial { expects_continue }) => {
                    client.began = client.began.or(Some(now));
                    if expects_continue && !client.told_to_go_on && client.places.is_empty() {
                        client.told_to_go_on = client.out.push((), http::CONTINUE).is_ok();
                        self.clients.dirty.insert(conn);
                    }
                    return;
                }
                Ok(Parsed::Complete(request, took)) => {
                    client.bytes.drain(..took);
                    client.told_to_go_on = false;
                    client.began = None;
                    self.take_request(now, conn, request, io);
                }
                Err(bad) => {
                    let detail = "the request can't be read; see the client door's page";
                    self.turn_away(now, conn, bad.status(), bad.reason(), detail, None);
                    return;
                }
            }
        }
    }

    /// Answers a request that can't be read on, and ends its connection.
    fn turn_away(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        status: u16,
        reason: &'static str,
        detail: &str,
        retry_after: Option<Micros>,
    ) {
        self.figures.refused("refused", reason);
        tracing::info!(status, reason, "a client is turned away");
        let refusal = Refusal {
            status,
            end: "refused",
            reason,
            detail,
            retry_after,
            job: None,
        };
        let Some(client) = self.clients.clients.get_mut(&conn) else {
            return;
        };
        client.places.push_back(Place::Ready {
            answer: refusal.response(false),
            keep: false,
        });
        client.bytes = Vec::new();
        client.began = None;
        client.ending = Ending::Lingers(now + self.limits.linger);
        self.due
            .insert((now + self.limits.linger, Due::Client(conn)));
        self.clients.dirty.insert(conn);
    }

    fn take_request(&mut self, now: Micros, conn: ConnectionId, request: Request, io: &mut dyn Io) {
        let retired = self
            .clients
            .clients
            .get(&conn)
            .is_some_and(|client| client.retired);
        let mut keep = request.keep_alive && self.stop_at.is_none() && !retired;
        let path = request
            .path
            .split('?')
            .next()
            .unwrap_or_default()
            .to_string();
        let answer = match (request.method.as_str(), path.as_str()) {
            ("GET", "/metrics") => {
                let page = self
                    .metrics_page
                    .as_ref()
                    .map(|page| page())
                    .unwrap_or_default();
                Ok(http::encode_response(
                    200,
                    &[("content-type", "text/plain; version=0.0.4")],
                    page.as_bytes(),
                    keep,
                ))
            }
            ("GET", "/health") => {
                // An edge that knows no worker can only push back: clients are better served elsewhere.
                let (status, text) = match self.start.is_healthy() {
                    true => (200, "ok\n".to_string()),
                    false => (
                        503,
                        format!("starting: {}\n", self.start.readiness().name()),
                    ),
                };
                Ok(http::encode_response(
                    status,
                    &[("content-type", "text/plain")],
                    text.as_bytes(),
                    keep,
                ))
            }
            _ => Err(self.take_call(now, conn, request, &path, io)),
        };
        let answer = match answer {
            Ok(answer) => answer,
            Err(Ok(job)) => {
                if let Some(client) = self.clients.clients.get_mut(&conn) {
                    client.places.push_back(Place::Open { job, keep });
                }
                return;
            }
            Err(Err(no)) => {
                // What was refused for who asks has not run either, and is a final answer as any pushback.
                let pushed_back = matches!(no.status, 401 | 403 | 503);
                let end = if pushed_back {
                    "pushed-back"
                } else {
                    "refused"
                };
                if no.status == 503 {
                    self.figures.limit_hit(no.reason);
                }
                self.figures.refused(end, no.reason);
                tracing::info!(status = no.status, reason = no.reason, "not taken");
                let retry_after = (no.status == 503).then_some(self.limits.max_retry_after);
                keep &= !self.identity.is_out(conn);
                Refusal {
                    status: no.status,
                    end,
                    reason: no.reason,
                    detail: &no.detail,
                    retry_after,
                    job: None,
                }
                .response(keep)
            }
        };
        if let Some(client) = self.clients.clients.get_mut(&conn) {
            client.places.push_back(Place::Ready { answer, keep });
            self.clients.dirty.insert(conn);
        }
    }

    fn take_call(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        request: Request,
        path: &str,
        io: &mut dyn Io,
    ) -> Result<RequestId, NoJob> {
        let names = path
            .strip_prefix("/v1/calls/")
            .and_then(|rest| rest.split_once('/'));
        let Some((workload, function)) = names.filter(|(_, f)| !f.is_empty() && !f.contains('/'))
        else {
            return Err(no_job(
                404,
                "no-such-path",
                "calls go to POST /v1/calls/{workload}/{function}",
            ));
        };
        if request.method != "POST" {
            return Err(no_job(405, "method", "calls are made with POST"));
        }
        if self.stop_at.is_some() {
            return Err(no_job(
                503,
                "stopping",
                "this edge ends; nothing was done, ask another one",
            ));
        }
        if self.jobs.open() >= self.limits.max_open {
            return Err(no_job(
                503,
                "max-open",
                "this edge holds as many jobs as it may; nothing was done",
            ));
        }
        let customer = self.may_call(now, conn, &request, (workload, function), io);
        let customer = customer.map_err(|why| no_job(why.status(), why.reason(), why.detail()))?;
        let limit = number(&request, "sanddrum-time-limit-ms")?.map(|ms| ms * 1000);
        let work = number(&request, "sanddrum-work-us")?;
        let repeat = number(&request, "sanddrum-repeat")?.is_some_and(|n| n > 0);
        let found = self
            .functions
            .find(workload, function, self.limits.max_functions);
        let (id, known) = found.map_err(|unknown| match unknown {
            Unknown::Workload => no_job(
                404,
                "no-such-workload",
                format!("no workload {workload:?} is set here"),
            ),
            Unknown::Function => no_job(
                404,
                "no-such-function",
                format!("no function {function:?} is set for it"),
            ),
            Unknown::TooMany => no_job(
                503,
                "max-functions",
                "this edge knows as many functions as it may",
            ),
        })?;
        let (of, memory_mb, lanes, load) =
            (known.workload, known.memory_mb, known.lanes, known.load);
        let whole = self
            .settings
            .duration_us(&format!("workloads.{}.time-limit-us", of.0));
        let waited = self
            .clients
            .clients
            .get(&conn)
            .map_or(0, |client| (now - client.from).max(0));
        let limit = limit.map_or(whole, |told| told.min(whole)) - self.limits.answer_ahead - waited;
        let field = |name: &str| request.field(name).map(String::from);
        let customers = self.settings.count("customers");
        let number = (0..customers).find(|n| {
            customer.as_deref() == self.settings.values.text(&format!("customers.{n}.name"))
        });
        let Some(client) = self.clients.clients.get(&conn) else {
            return Err(no_job(400, "client-left", "its client has left"));
        };
        let place = client.first + client.places.len() as u64;
        let call = Call {
            number: 0,
            workload: of,
            function: id,
            memory_mb,
            lanes: f64::from(lanes),
            load,
            limit,
            work,
            repeat,
            mark: field("idempotency-key"),
            trace: field("sanddrum-trace"),
            customer,
            customer_id: CustomerId(number.unwrap_or(customers)),
            body: request.body,
        };
        Ok(self.take_job(now, conn, place, call))
    }

    /// The final answer to one request of a client, written in its turn.
    pub(crate) fn answer(&mut self, conn: ConnectionId, place: u64, answer: &Answer<'_>) {
        if self.on_platform {
            return self.answer_front(conn, place, answer);
        }
        let Some(client) = self.clients.clients.get_mut(&conn) else {
            return;
        };
        let n = place.checked_sub(client.first).map(|n| n as usize);
        let Some(place) = n.and_then(|n| client.places.get_mut(n)) else {
            return;
        };
        if let Place::Open { keep, .. } = *place {
            let keep = keep && !client.retired;
            *place = Place::Ready {
                answer: answer.http(keep),
                keep,
            };
            self.clients.dirty.insert(conn);
        }
    }

    pub(crate) fn flush_clients(&mut self, now: Micros, io: &mut dyn Io) {
        while let Some(conn) = self.clients.dirty.pop_first() {
            let Some(client) = self.clients.clients.get_mut(&conn) else {
                continue;
            };
            let mut slow = false;
            while let Some(Place::Ready { answer, keep }) = client.places.front() {
                slow = client.out.push((), answer).is_err();
                if slow {
                    break;
                }
                if !keep && client.ending == Ending::No {
                    client.ending = Ending::WhenWritten;
                }
                client.places.pop_front();
                client.first += 1;
            }
            let before = client.out.pending_bytes();
            client.out.flush(conn, io);
            if client.out.pending_bytes() < before {
                client.active = now;
            }
            if slow {
                self.figures.limit_hit("waiting-per-client");
                tracing::warn!(
                    reason = "waiting-per-client",
                    "a client that reads too slowly is closed"
                );
                self.drop_client(now, conn, io, false);
            } else if client.ending == Ending::WhenWritten && client.out.pending_bytes() == 0 {
                self.drop_client(now, conn, io, true);
            } else if !client.bytes.is_empty() && client.places.len() < self.limits.pipelined {
                if std::mem::take(&mut client.paused) {
                    io.pause(conn, false);
                }
                self.read_requests(now, conn, io);
            }
        }
    }

    fn drop_client(&mut self, now: Micros, conn: ConnectionId, io: &mut dyn Io, in_order: bool) {
        self.owners.remove(&conn);
        if in_order {
            io.close(conn);
        } else {
            io.reset(conn);
        }
        self.client_left(now, conn);
    }

    /// Looks whether a client lingers, is slow with its request, asks nothing or does not read.
    pub(crate) fn look_at_client(&mut self, now: Micros, conn: ConnectionId, io: &mut dyn Io) {
        let Some(client) = self.clients.clients.get(&conn) else {
            return;
        };
        let head = client.began.map(|at| at + self.limits.head_time_out);
        let quiet = client.places.is_empty() || client.out.pending_bytes() > 0;
        let idle = client.active + self.limits.client_idle;
        match client.ending {
            // Guards against a request that can't be read and takes those before it on its connection with it.
            Ending::Lingers(until) if until <= now && client.places.is_empty() => {
                return self.drop_client(now, conn, io, client.out.pending_bytes() == 0)
            }
            Ending::Lingers(until) => {
                self.due.insert((
                    until.max(now + self.limits.linger.max(1)),
                    Due::Client(conn),
                ));
                return;
            }
            _ => {}
        }
        if head.is_some_and(|at| at <= now) {
            return self.turn_away(
                now,
                conn,
                408,
                "head-time-out",
                "the request did not come whole in time",
                None,
            );
        }
        if quiet && idle <= now {
            return self.drop_client(now, conn, io, client.out.pending_bytes() == 0);
        }
        let idle = if quiet {
            idle
        } else {
            now + self.limits.client_idle
        };
        let next = head
            .into_iter()
            .chain([idle, now + self.limits.head_time_out])
            .min()
            .unwrap_or(idle);
        self.due.insert((next.max(now + 1), Due::Client(conn)));
    }
}
