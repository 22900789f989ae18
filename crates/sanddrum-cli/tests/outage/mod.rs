//! Peers for tests of discovery outages: model servers that can drain and record what is sent to them, and a control
//! feed that a test makes unavailable in different ways. Each runs on its own threads.

use crate::router_harness::{configuration, feed_response, listener, member};
use sanddrum_fastcgi::{encode_params, write_begin_request, write_stream, RecordType};
use sanddrum_platform::frames;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The longest that an outage may delay a notification. After this time, the router must act as if it had received the
/// change that discovery would have announced.
pub const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(7);
/// How long a draining server may be sent something after the router counts as notified.
pub const GRACE: Duration = Duration::from_millis(250);
/// Tolerance added to the time limits of the rules on real sockets.
pub const SOCKET_TOLERANCE: Duration = Duration::from_millis(50);

const CODE_REQUEST: u8 = 65;
const CODE_LOAD: u8 = 69;
const CODE_OK: u8 = 97;
const CODE_FULL: u8 = 100;
const FRAME_HEAD: usize = 16;
const FRAME_CHECK: usize = 4;
/// The execution time of a request.
const WORK: Duration = Duration::from_millis(10);

/// A model server that records when each request and load command arrived.
pub struct ModelServer {
    pub address: String,
    is_draining: AtomicBool,
    sends: Mutex<Vec<Instant>>,
}

impl ModelServer {
    pub fn start() -> Arc<ModelServer> {
        let (listener, address) = listener();
        let server = Arc::new(ModelServer {
            address,
            is_draining: AtomicBool::new(false),
            sends: Mutex::default(),
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for conn in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(conn));
            }
        });
        server
    }

    /// Starts or stops draining. While it drains, the server completes its current requests and rejects new ones.
    pub fn set_draining(&self, is_draining: bool) {
        self.is_draining.store(is_draining, Ordering::SeqCst);
    }

    /// The number of requests and load commands that arrived at this instant or later.
    pub fn sends_since(&self, from: Instant) -> usize {
        let sends = self.sends.lock().unwrap();
        sends.iter().filter(|at| **at >= from).count()
    }

    fn serve(&self, mut conn: TcpStream) {
        let mut head = [0; FRAME_HEAD];
        while conn.read_exact(&mut head).is_ok() {
            let received = Instant::now();
            let fields = usize::from(u16::from_be_bytes([head[2], head[3]]));
            let body = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
            let id = u64::from_be_bytes([8, 9, 10, 11, 12, 13, 14, 15].map(|n| head[n]));
            let mut rest = vec![0; fields + body + FRAME_CHECK];
            if conn.read_exact(&mut rest).is_err() {
                return;
            }
            let text = String::from_utf8_lossy(&rest[..fields]).into_owned();
            let Some(answer) =
                self.answer(received, head[1], id, &text, &rest[fields..fields + body])
            else {
                continue;
            };
            if conn.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// Behaves like the platform's model servers, according to measurements of them: a draining server rejects every
    /// request, but answers a load command with success if the instances are already loaded.
    fn answer(
        &self,
        received: Instant,
        code: u8,
        id: u64,
        fields: &str,
        body: &[u8],
    ) -> Option<Vec<u8>> {
        let is_draining = self.is_draining.load(Ordering::SeqCst);
        match code {
            CODE_REQUEST => {
                self.sends.lock().unwrap().push(received);
                if is_draining {
                    return Some(frames::response(CODE_FULL, id, "", b""));
                }
                thread::sleep(WORK);
                Some(frames::response(CODE_OK, id, "remark=hot", body))
            }
            CODE_LOAD => {
                if !fields.contains("copies=0") {
                    self.sends.lock().unwrap().push(received);
                }
                Some(frames::response(CODE_OK, id, "copies=1", b""))
            }
            _ => None,
        }
    }
}

/// Whether and how the control feed is unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedState {
    /// Polls are answered.
    Available,
    /// Open connections are closed, and new ones are closed immediately.
    Refusing,
    /// Connections are accepted, but polls are not answered.
    Silent,
    /// Responses are cut off in the middle.
    Truncating,
    /// Each poll is answered, but late.
    Late,
}

/// How late the answers of a late feed come.
const LATE_BY: Duration = Duration::from_secs(2);

/// The control feed: its numbered events and its current state.
pub struct Discovery {
    pub address: String,
    state: Mutex<FeedState>,
    events: Mutex<Vec<Value>>,
}

impl Discovery {
    /// Starts a feed without events of its own. Event 1 is the one in the router's start configuration.
    pub fn start() -> Arc<Discovery> {
        let (listener, address) = listener();
        let discovery = Arc::new(Discovery {
            address,
            state: Mutex::new(FeedState::Available),
            events: Mutex::default(),
        });
        let accepting = discovery.clone();
        thread::spawn(move || accepting.accept(&listener));
        discovery
    }

    pub fn set_state(&self, state: FeedState) {
        *self.state.lock().unwrap() = state;
    }

    /// Publishes an event that changes one member.
    pub fn publish(&self, member: &Value) {
        let mut events = self.events.lock().unwrap();
        let number = events.len() + 2;
        events.push(json!({"n": number, "members": {"complete": false, "members": [member]}}));
    }

    fn state(&self) -> FeedState {
        *self.state.lock().unwrap()
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        for conn in listener.incoming().flatten() {
            if self.state() == FeedState::Refusing {
                continue;
            }
            let serving = self.clone();
            thread::spawn(move || serving.serve(conn));
        }
    }

    fn serve(&self, mut conn: TcpStream) {
        while let Some((seen, wait)) = read_poll(&mut conn) {
            let until = Instant::now() + wait;
            let answer = loop {
                let state = self.state();
                let events = self.events.lock().unwrap().clone();
                let last = events.len() as u64 + 1;
                if state == FeedState::Refusing {
                    return;
                }
                if state != FeedState::Silent && (last > seen || Instant::now() >= until) {
                    let unseen: Vec<Value> = events
                        .into_iter()
                        .filter(|event| event["n"].as_u64() > Some(seen))
                        .collect();
                    break feed_response(last, json!(unseen));
                }
                thread::sleep(Duration::from_millis(2));
            };
            if self.state() == FeedState::Late {
                thread::sleep(LATE_BY);
            }
            if self.state() == FeedState::Truncating {
                let _ = conn.write_all(&answer[..answer.len() / 2]);
                return;
            }
            if conn.write_all(&answer).is_err() {
                return;
            }
        }
    }
}

/// The configuration of a router with these servers, in the order of their names.
pub fn settings(discovery: &str, servers: &[Arc<ModelServer>]) -> Value {
    let mut settings = configuration(discovery, "", "repeatable");
    let members: Vec<Value> = servers
        .iter()
        .enumerate()
        .map(|(n, server)| member(&format!("s{n}"), &server.address, "in_service"))
        .collect();
    settings["known"]["events"][0]["members"]["members"] = json!(members);
    settings["settings"]["obligations"] =
        json!({"stop-sending-within-us": GRACE.as_micros() as u64});
    settings
}

/// Encodes a request for a function whose instances run one request at a time.
pub fn encode_single_lane_request(call: u64, function: &str) -> Vec<u8> {
    let call = format!("{call:016x}");
    let pairs = [
        ("SCRIPT_NAME", "/rpc/job"),
        ("HTTP_X_CALL_ID", call.as_str()),
        ("HTTP_X_PATIENCE_MS", "4000"),
        ("HTTP_X_ENTITY", function),
        ("HTTP_X_INFO", "memory_mb:100;lanes:1;load_ms:300"),
    ];
    let mut out = Vec::new();
    write_begin_request(&mut out, 1, true);
    write_stream(&mut out, RecordType::Params, 1, &encode_params(&pairs));
    write_stream(&mut out, RecordType::Stdin, 1, call.as_bytes());
    out
}

/// Reads a poll: the number of the last event that the router has, and how long the feed may hold the poll open.
fn read_poll(conn: &mut TcpStream) -> Option<(u64, Duration)> {
    let (mut text, mut byte) = (String::new(), [0]);
    while !text.ends_with("\r\n\r\n") {
        conn.read_exact(&mut byte).ok()?;
        text.push(char::from(byte[0]));
    }
    let number = |name: &str| -> Option<u64> {
        let rest = text.split(name).nth(1)?;
        rest.split(['&', ' ']).next()?.parse().ok()
    };
    Some((number("SUB=")?, Duration::from_millis(number("wait=")?)))
}
