//! The peers of a router whose discovery is taken away: model servers that drain, and a control feed that a test makes
//! unreachable in different ways. Each runs on threads of its own and records when something new came to it.

use crate::steered::{listener, told};
use sanddrum_platform::frames;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CODE_REQUEST: u8 = 65;
const CODE_LOAD: u8 = 69;
const CODE_OK: u8 = 97;
const CODE_FULL: u8 = 100;
const FRAME_HEAD: usize = 16;
const FRAME_CHECK: usize = 4;
/// What a request takes.
const WORK: Duration = Duration::from_millis(10);

/// A model server, with all that was sent to it anew: requests and commands to load.
pub struct ModelServer {
    pub address: String,
    drains: AtomicBool,
    sends: Mutex<Vec<Instant>>,
}

impl ModelServer {
    pub fn start() -> Arc<ModelServer> {
        let (listener, address) = listener();
        let server = Arc::new(ModelServer {
            address,
            drains: AtomicBool::new(false),
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

    /// From now on it finishes what it has and turns away what is new, as long as it is up.
    pub fn set_draining(&self, drains: bool) {
        self.drains.store(drains, Ordering::SeqCst);
    }

    /// What was sent to it at this instant or later.
    pub fn sends_since(&self, from: Instant) -> usize {
        let sends = self.sends.lock().unwrap();
        sends.iter().filter(|at| **at >= from).count()
    }

    fn serve(&self, mut conn: TcpStream) {
        let mut head = [0; FRAME_HEAD];
        while conn.read_exact(&mut head).is_ok() {
            let came = Instant::now();
            let fields = usize::from(u16::from_be_bytes([head[2], head[3]]));
            let body = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
            let id = u64::from_be_bytes([8, 9, 10, 11, 12, 13, 14, 15].map(|n| head[n]));
            let mut rest = vec![0; fields + body + FRAME_CHECK];
            if conn.read_exact(&mut rest).is_err() {
                return;
            }
            let text = String::from_utf8_lossy(&rest[..fields]).into_owned();
            let Some(answer) = self.answer(came, head[1], id, &text, &rest[fields..fields + body])
            else {
                continue;
            };
            if conn.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// As measured at the platform's model servers: one that drains rejects every request, and answers a command to load
    /// with success where the instances are loaded already.
    fn answer(
        &self,
        came: Instant,
        code: u8,
        id: u64,
        fields: &str,
        body: &[u8],
    ) -> Option<Vec<u8>> {
        let drains = self.drains.load(Ordering::SeqCst);
        match code {
            CODE_REQUEST => {
                self.sends.lock().unwrap().push(came);
                if drains {
                    return Some(frames::response(CODE_FULL, id, "", b""));
                }
                thread::sleep(WORK);
                Some(frames::response(CODE_OK, id, "remark=hot", body))
            }
            CODE_LOAD => {
                if !fields.contains("copies=0") {
                    self.sends.lock().unwrap().push(came);
                }
                Some(frames::response(CODE_OK, id, "copies=1", b""))
            }
            _ => None,
        }
    }
}

/// How discovery is out of reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// It answers.
    Well,
    /// Connections are reset, and new ones are closed at once.
    Refusing,
    /// Connections are accepted and polls are not answered.
    Silent,
    /// Answers break off in the middle.
    Cutting,
}

/// The control feed: numbered events, and how they can be reached.
pub struct Discovery {
    pub address: String,
    reach: Mutex<Reach>,
    events: Mutex<Vec<Value>>,
}

impl Discovery {
    /// A feed whose first event, which the start configuration has, is number one.
    pub fn start() -> Arc<Discovery> {
        let (listener, address) = listener();
        let discovery = Arc::new(Discovery {
            address,
            reach: Mutex::new(Reach::Well),
            events: Mutex::default(),
        });
        let accepting = discovery.clone();
        thread::spawn(move || accepting.accept(&listener));
        discovery
    }

    pub fn set_reach(&self, reach: Reach) {
        *self.reach.lock().unwrap() = reach;
    }

    /// Adds an event that changes a member.
    pub fn tell(&self, member: &Value) {
        let mut events = self.events.lock().unwrap();
        let number = events.len() + 2;
        events.push(json!({"n": number, "members": {"complete": false, "members": [member]}}));
    }

    fn reach(&self) -> Reach {
        *self.reach.lock().unwrap()
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        for conn in listener.incoming().flatten() {
            if self.reach() == Reach::Refusing {
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
                let reach = self.reach();
                let events = self.events.lock().unwrap().clone();
                let last = events.len() as u64 + 1;
                if reach == Reach::Refusing {
                    return;
                }
                if reach != Reach::Silent && (last > seen || Instant::now() >= until) {
                    let unseen: Vec<Value> = events
                        .into_iter()
                        .filter(|event| event["n"].as_u64() > Some(seen))
                        .collect();
                    break told(last, json!(unseen));
                }
                thread::sleep(Duration::from_millis(2));
            };
            if self.reach() == Reach::Cutting {
                let _ = conn.write_all(&answer[..answer.len() / 2]);
                return;
            }
            if conn.write_all(&answer).is_err() {
                return;
            }
        }
    }
}

/// The number of the last event that a poll has, and how long it may be held.
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
