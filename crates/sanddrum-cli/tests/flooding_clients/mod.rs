//! Clients that send requests at full speed on connections of their own, a worker that answers by itself, and a client
//! that sends now and then and measures when its responses arrive.
#![allow(dead_code)]

use crate::router_harness::{encode_request_for, WebServer};
use sanddrum_fastcgi::{
    encode_header, encode_params, write_begin_request, write_stream, RecordType,
};
use sanddrum_platform::frames;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Maximum number of open requests on a connection.
const MAX_OPEN_REQUESTS: u16 = 32;
/// Requests that a flooding client writes at once.
const REQUESTS_PER_WRITE: u64 = 64;

/// The call ids of the measuring client begin here, above those of the others.
const FIRST_MEASURED: u64 = 1 << 60;
/// How long the measuring client waits before its next request.
const PAUSE: Duration = Duration::from_millis(10);

/// What the requests of a flooding client look like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flood {
    /// Requests without an id and a time limit, which are invalid.
    Invalid,
    /// Requests for functions that no request has named before, each cancelled at once.
    CancelledNewFunctions,
    /// Requests for workloads that the settings do not have, each with another name.
    UnknownWorkloads,
    /// Health checks.
    HealthChecks,
    /// Requests with more parameters than a head may have.
    ManyParameters,
}

impl Flood {
    fn encode(self, out: &mut Vec<u8>, id: u16, number: u64) {
        let call = format!("{number:016x}");
        match self {
            Flood::CancelledNewFunctions => {
                out.extend(encode_request_for(id, &call, &call, 4_000, b""));
                out.extend(encode_header(RecordType::AbortRequest, id, 0));
            }
            Flood::Invalid => {
                let pairs = [
                    ("SCRIPT_NAME", "/rpc/job"),
                    ("HTTP_X_ENTITY", "7f3a9c21e0b4d655"),
                ];
                encode_parameters(out, id, &pairs);
            }
            Flood::UnknownWorkloads => {
                let path = format!("/rpc/{call}");
                let pairs = [
                    ("SCRIPT_NAME", path.as_str()),
                    ("HTTP_X_CALL_ID", call.as_str()),
                    ("HTTP_X_PATIENCE_MS", "4000"),
                    ("HTTP_X_ENTITY", "7f3a9c21e0b4d655"),
                ];
                encode_parameters(out, id, &pairs);
            }
            Flood::HealthChecks => encode_parameters(out, id, &[("SCRIPT_NAME", "/health")]),
            Flood::ManyParameters => {
                let pairs = vec![("", ""); 4_000];
                encode_parameters(out, id, &pairs);
            }
        }
    }
}

fn encode_parameters(out: &mut Vec<u8>, id: u16, pairs: &[(&str, &str)]) {
    write_begin_request(out, id, true);
    write_stream(out, RecordType::Params, id, &encode_params(pairs));
    write_stream(out, RecordType::Stdin, id, b"");
}

/// Clients that send at full speed until they are dropped.
pub struct FloodingClients {
    stop: Arc<AtomicBool>,
    connections: Vec<TcpStream>,
    threads: Vec<JoinHandle<()>>,
}

impl FloodingClients {
    pub fn start(address: &str, count: u64, flood: Flood) -> FloodingClients {
        let mut clients = FloodingClients {
            stop: Arc::default(),
            connections: Vec::new(),
            threads: Vec::new(),
        };
        for client in 0..count {
            let conn = TcpStream::connect(address).unwrap();
            conn.set_nodelay(true).unwrap();
            let (reading, writing) = (conn.try_clone().unwrap(), conn.try_clone().unwrap());
            clients.connections.push(conn);
            clients
                .threads
                .push(std::thread::spawn(move || discard_input(reading)));
            let stop = clients.stop.clone();
            clients.threads.push(std::thread::spawn(move || {
                send_at_full_speed(writing, flood, client << 40, &stop);
            }));
        }
        clients
    }
}

impl Drop for FloodingClients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for conn in &self.connections {
            let _ = conn.shutdown(Shutdown::Both);
        }
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn discard_input(mut conn: TcpStream) {
    let mut buffer = [0; 65536];
    while matches!(conn.read(&mut buffer), Ok(1..)) {}
}

fn send_at_full_speed(mut conn: TcpStream, flood: Flood, first: u64, stop: &AtomicBool) {
    let mut number = first;
    while !stop.load(Ordering::Relaxed) {
        let mut out = Vec::new();
        for _ in 0..REQUESTS_PER_WRITE {
            number += 1;
            let id = 1 + (number % u64::from(MAX_OPEN_REQUESTS)) as u16;
            flood.encode(&mut out, id, number);
        }
        if conn.write_all(&out).is_err() {
            return;
        }
    }
}

/// A worker that serves all its connections in threads that end with their connections: each request is answered after
/// its service time.
#[derive(Clone)]
pub struct SelfServingWorker {
    service_time: Duration,
    requests_received: Arc<AtomicUsize>,
}

impl SelfServingWorker {
    pub fn start(listener: TcpListener, service_time: Duration) -> SelfServingWorker {
        let worker = SelfServingWorker {
            service_time,
            requests_received: Arc::default(),
        };
        let serving = worker.clone();
        std::thread::spawn(move || {
            for conn in listener.incoming().map_while(Result::ok) {
                conn.set_nodelay(true).unwrap();
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(conn));
            }
        });
        worker
    }
    /// The number of requests that have arrived whole.
    pub fn requests_received(&self) -> usize {
        self.requests_received.load(Ordering::Relaxed)
    }
    fn serve(&self, mut conn: TcpStream) {
        let mut head = [0; 16];
        while conn.read_exact(&mut head).is_ok() {
            let fields = usize::from(u16::from_be_bytes([head[2], head[3]]));
            let body = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
            let id = u64::from_be_bytes([8, 9, 10, 11, 12, 13, 14, 15].map(|n: usize| head[n]));
            let mut rest = vec![0; fields + body + 4];
            if conn.read_exact(&mut rest).is_err() {
                return;
            }
            match head[1] {
                65 => {
                    self.requests_received.fetch_add(1, Ordering::Relaxed);
                    let body = &rest[fields..fields + body];
                    self.answer_later(&conn, frames::response(97, id, "remark=hot", body));
                }
                67 => conn
                    .write_all(&frames::response(103, id, "", b""))
                    .unwrap_or_default(),
                69 => conn
                    .write_all(&frames::response(97, id, "copies=1", b""))
                    .unwrap_or_default(),
                _ => {}
            }
        }
    }
    fn answer_later(&self, conn: &TcpStream, answer: Vec<u8>) {
        let (mut conn, service_time) = (conn.try_clone().unwrap(), self.service_time);
        std::thread::spawn(move || {
            std::thread::sleep(service_time);
            let _ = conn.write_all(&answer);
        });
    }
}

/// How a request of the measuring client ended.
#[derive(Clone, Debug)]
pub struct Measured {
    pub status: String,
    pub time_limit: Duration,
    pub took: Duration,
}

impl Measured {
    /// How long after its time limit the response arrived.
    pub fn late_by(&self) -> Duration {
        self.took.saturating_sub(self.time_limit)
    }
}

/// Sends requests one after the other for `span`, with each of these time limits in turn.
pub fn measure(address: &str, span: Duration, time_limits_ms: &[u32]) -> Vec<Measured> {
    let mut web = WebServer::connect(address);
    let started = Instant::now();
    let mut measured = Vec::new();
    for (number, time_limit) in (FIRST_MEASURED..).zip(time_limits_ms.iter().cycle()) {
        if started.elapsed() > span {
            break;
        }
        let call = format!("{number:016x}");
        let request = encode_request_for(1, &call, "7f3a9c21e0b4d655", *time_limit, b"");
        web.send(&request);
        let sent_at = Instant::now();
        let response = web.response().expect("the connection stays open");
        measured.push(Measured {
            status: response.status().to_string(),
            time_limit: Duration::from_millis(u64::from(*time_limit)),
            took: sent_at.elapsed(),
        });
        std::thread::sleep(PAUSE);
    }
    measured
}
