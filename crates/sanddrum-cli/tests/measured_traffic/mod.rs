//! A worker that answers by itself, and a client that sends now and then and measures when its responses arrive.
#![allow(dead_code)]

use crate::router_harness::{encode_request_for, WebServer};
use sanddrum_platform::frames;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The call ids of the measuring client begin here, above those of the others.
const FIRST_MEASURED: u64 = 1 << 60;
/// How long the measuring client waits before its next request.
const PAUSE: Duration = Duration::from_millis(10);

/// A worker that serves all its connections in threads that end with their connections: each request is answered after
/// its service time.
#[derive(Clone)]
pub struct SelfServingWorker {
    service_time: Duration,
    received: Arc<Mutex<Vec<Received>>>,
}

/// A request that has arrived whole.
#[derive(Clone, Copy, Debug)]
pub struct Received {
    pub call_id: u64,
    pub at: Instant,
}

impl SelfServingWorker {
    pub fn start(listener: TcpListener, service_time: Duration) -> SelfServingWorker {
        let worker = SelfServingWorker {
            service_time,
            received: Arc::default(),
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
    /// The requests that have arrived so far.
    pub fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
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
                    let at = Instant::now();
                    self.received
                        .lock()
                        .unwrap()
                        .push(Received { call_id: id, at });
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
