//! A router of the platform as a process, between a web server, a worker and a control feed that a story steers step by
//! step: each waits for what it is to see, and fails where that does not come.
#![allow(dead_code)]

#[path = "../socket_reads/mod.rs"]
mod socket_reads;

use sanddrum_fastcgi::{
    encode_header, encode_params, write_begin_request, write_stream, Record, RecordType,
};
use sanddrum_lab::faults::FaultControl;
use sanddrum_platform::frames;
use serde_json::{json, Value};
use socket2::{Domain, SockRef, Socket, Type};
use socket_reads::read;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// What does not come within this does not come.
const PATIENCE: Duration = Duration::from_secs(20);

/// Waits until it is so; a test that would wait for ever fails.
pub fn until(so: impl Fn() -> bool) {
    let begun = std::time::Instant::now();
    while !so() {
        assert!(begun.elapsed() < PATIENCE, "it never came about");
        std::thread::yield_now();
    }
}
pub fn listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap().to_string();
    (listener, at)
}
/// A listener on which dials hang until what fills its backlog is dropped and accepted.
pub fn full_listener() -> (TcpListener, String, Vec<Socket>) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener
        .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
        .unwrap();
    listener.listen(0).unwrap();
    let at = listener.local_addr().unwrap();
    let mut waiting = Vec::new();
    loop {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        if socket
            .connect_timeout(&at, Duration::from_millis(100))
            .is_err()
        {
            return (
                listener.into(),
                at.as_socket().unwrap().to_string(),
                waiting,
            );
        }
        waiting.push(socket);
    }
}
pub fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let begun = std::time::Instant::now();
    loop {
        match listener.accept() {
            Ok((conn, _)) => {
                conn.set_nonblocking(false).unwrap();
                conn.set_read_timeout(Some(PATIENCE)).unwrap();
                return conn;
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock && begun.elapsed() < PATIENCE => {
                std::thread::yield_now();
            }
            Err(e) => panic!("nobody connects: {e}"),
        }
    }
}
// ---- The worker's side

#[derive(Debug, PartialEq)]
pub struct Frame {
    pub code: u8,
    pub id: u64,
    pub fields: String,
    pub body: Vec<u8>,
}
/// The deadline that a request passes on.
pub fn deadline(request: &Frame) -> Duration {
    let told = request
        .fields
        .split(',')
        .find_map(|field| field.strip_prefix("max="));
    Duration::from_millis(told.unwrap().parse().unwrap())
}
/// A worker: every connection to it, in the order in which they came, with what is read of it.
pub struct Worker {
    listener: TcpListener,
    pub conns: Vec<(Option<TcpStream>, Vec<u8>)>,
}

impl Worker {
    pub fn at(listener: TcpListener) -> Worker {
        listener.set_nonblocking(true).unwrap();
        Worker {
            listener,
            conns: Vec::new(),
        }
    }
    pub fn listens() -> (Worker, String) {
        let (listener, at) = listener();
        (Worker::at(listener), at)
    }
    /// Takes in what has come: new connections, bytes, ends.
    fn look(&mut self) {
        while let Ok((conn, _)) = self.listener.accept() {
            conn.set_nonblocking(true).unwrap();
            self.conns.push((Some(conn), Vec::new()));
        }
        let mut piece = [0; 65536];
        for (conn, bytes) in &mut self.conns {
            let Some(open) = conn else { continue };
            match read(open, &mut piece) {
                Ok(n @ 1..) => bytes.extend_from_slice(&piece[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                _ => *conn = None,
            }
        }
    }
    fn next_frame(&mut self) -> Option<(usize, Frame)> {
        for (n, (_, bytes)) in self.conns.iter_mut().enumerate() {
            let Some(head) = bytes.first_chunk::<16>() else {
                continue;
            };
            let fields = usize::from(u16::from_be_bytes([head[2], head[3]]));
            let body = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
            let (id, code) = (
                u64::from_be_bytes([8, 9, 10, 11, 12, 13, 14, 15].map(|n| head[n])),
                head[1],
            );
            if bytes.len() < 20 + fields + body {
                continue;
            }
            let whole: Vec<u8> = bytes.drain(..20 + fields + body).collect();
            let text = String::from_utf8(whole[16..16 + fields].to_vec()).unwrap();
            let body = whole[16 + fields..16 + fields + body].to_vec();
            return Some((
                n,
                Frame {
                    code,
                    id,
                    fields: text,
                    body,
                },
            ));
        }
        None
    }
    /// The next request, and the connection that it came by; orders and pings before it are answered.
    pub fn request(&mut self) -> (usize, Frame) {
        next_request(std::slice::from_mut(self)).1
    }
    /// A request that has come, if one has; orders and pings before it are answered.
    fn request_that_came(&mut self) -> Option<(usize, Frame)> {
        self.look();
        loop {
            match self.next_frame()? {
                (n, frame) if frame.code == 65 => return Some((n, frame)),
                (n, frame) if frame.code == 69 => {
                    self.says(n, &frames::response(97, frame.id, "copies=1", b""))
                }
                (n, frame) if frame.code == 67 => {
                    self.says(n, &frames::response(103, frame.id, "", b""))
                }
                _ => {}
            }
        }
    }
    /// What kinds of frames have come and are not taken yet.
    pub fn codes(&mut self) -> Vec<u8> {
        self.look();
        std::iter::from_fn(|| self.next_frame())
            .map(|(_, frame)| frame.code)
            .collect()
    }
    pub fn says(&mut self, n: usize, bytes: &[u8]) {
        if let Some(conn) = &mut self.conns[n].0 {
            conn.set_nonblocking(false).unwrap();
            conn.write_all(bytes).unwrap();
            conn.set_nonblocking(true).unwrap();
        }
    }
    pub fn serve(&mut self, (n, request): &(usize, Frame)) {
        self.says(
            *n,
            &frames::response(97, request.id, "remark=hot", &request.body),
        );
    }
    /// Ends a connection in order, or as a dead process does.
    pub fn ends(&mut self, n: usize, resets: bool) {
        if let Some(conn) = self.conns[n].0.take() {
            let linger = resets.then_some(Duration::ZERO);
            SockRef::from(&conn).set_linger(linger).unwrap();
        }
    }
}

/// The next request to any of these workers: which one has it, the connection that it came by, and the request.
pub fn next_request(workers: &mut [Worker]) -> (usize, (usize, Frame)) {
    let begun = std::time::Instant::now();
    while begun.elapsed() < PATIENCE {
        for (n, worker) in workers.iter_mut().enumerate() {
            if let Some(request) = worker.request_that_came() {
                return (n, request);
            }
        }
        std::thread::yield_now();
    }
    panic!("no request comes");
}

// ---- The web server's side

pub struct Web {
    conn: TcpStream,
    bytes: Vec<u8>,
    texts: BTreeMap<u16, String>,
}

/// What came of a request: the CGI response and the protocol status.
#[derive(Debug, PartialEq)]
pub struct Answered {
    pub id: u16,
    pub text: String,
    pub protocol: u8,
}

impl Answered {
    pub fn status(&self) -> &str {
        self.text
            .lines()
            .next()
            .unwrap_or_default()
            .trim_start_matches("Status: ")
    }
}

pub fn asks(id: u16, call: &str, patience_ms: u32, body: &[u8]) -> Vec<u8> {
    asks_function(id, call, "7f3a9c21e0b4d655", patience_ms, body)
}
pub fn asks_function(
    id: u16,
    call: &str,
    function: &str,
    patience_ms: u32,
    body: &[u8],
) -> Vec<u8> {
    let patience = patience_ms.to_string();
    let pairs = [
        ("SCRIPT_NAME", "/rpc/job"),
        ("HTTP_X_CALL_ID", call),
        ("HTTP_X_PATIENCE_MS", patience.as_str()),
        ("HTTP_X_ENTITY", function),
        ("HTTP_X_INFO", "memory_mb:100;lanes:40;load_ms:300"),
    ];
    let mut out = Vec::new();
    write_begin_request(&mut out, id, true);
    write_stream(&mut out, RecordType::Params, id, &encode_params(&pairs));
    write_stream(&mut out, RecordType::Stdin, id, body);
    out
}

impl Web {
    pub fn connects(at: &str) -> Web {
        let conn = TcpStream::connect(at).unwrap();
        conn.set_read_timeout(Some(PATIENCE)).unwrap();
        Web {
            conn,
            bytes: Vec::new(),
            texts: BTreeMap::new(),
        }
    }
    /// The same with little room for what it does not read.
    pub fn connects_narrowly(at: &str) -> Web {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket
            .connect(&at.parse::<SocketAddr>().unwrap().into())
            .unwrap();
        let conn = TcpStream::from(socket);
        conn.set_read_timeout(Some(PATIENCE)).unwrap();
        Web {
            conn,
            bytes: Vec::new(),
            texts: BTreeMap::new(),
        }
    }
    pub fn says(&mut self, bytes: &[u8]) {
        self.conn.write_all(bytes).unwrap();
    }
    pub fn calls(&mut self, id: u16, call: &str) {
        self.says(&asks(id, call, 4000, call.as_bytes()));
    }
    pub fn withdraws(&mut self, id: u16) {
        self.says(&encode_header(RecordType::AbortRequest, id, 0));
    }
    /// The next answer, or none where the connection has ended in order. A reset fails the story.
    pub fn answer(&mut self) -> Option<Answered> {
        let mut piece = [0; 4096];
        loop {
            while let Some((record, took)) = Record::read(&self.bytes).unwrap() {
                let (kind, id, content) = (record.record_type, record.id, record.content.to_vec());
                self.bytes.drain(..took);
                match kind {
                    RecordType::EndRequest => {
                        let text = self.texts.remove(&id).unwrap_or_default();
                        return Some(Answered {
                            id,
                            text,
                            protocol: content[4],
                        });
                    }
                    _ => {
                        self.texts
                            .entry(id)
                            .or_default()
                            .push_str(&String::from_utf8_lossy(&content));
                    }
                }
            }
            match read(&mut self.conn, &mut piece).unwrap() {
                0 => return None,
                n => self.bytes.extend_from_slice(&piece[..n]),
            }
        }
    }
}

// ---- The control feed's side

/// The number that the next question names.
pub fn question(conn: &mut TcpStream) -> u64 {
    let (mut text, mut byte) = (String::new(), [0]);
    while !text.ends_with("\r\n\r\n") {
        assert!(
            read(conn, &mut byte).unwrap() > 0,
            "closed before its question"
        );
        text.push(byte[0] as char);
    }
    let number = text
        .split("SUB=")
        .nth(1)
        .and_then(|rest| rest.split('&').next());
    number.unwrap().parse().unwrap()
}
pub fn told(last: u64, events: Value) -> Vec<u8> {
    let body = json!({"n": last, "events": events}).to_string();
    sanddrum_wire::http::encode_response(200, &[], body.as_bytes(), true)
}
pub fn event(n: u64, member: Value) -> Value {
    json!({"n": n, "members": {"complete": false, "members": [member]}})
}
pub fn member(id: &str, at: &str, phase: &str) -> Value {
    json!({"id": id, "host_port": at, "locality": "here", "phase": phase, "size": 4})
}

// ---- The router

pub struct Router {
    child: Child,
    pub file: PathBuf,
    /// Where it listens; the system gives the port, so that no other story has it.
    pub at: String,
    said: Arc<Mutex<String>>,
    /// Reads what the router logs, so that it never waits for room to log more.
    reader: Option<JoinHandle<()>>,
}

fn read_log(stderr: ChildStderr, said: &Mutex<String>) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        let mut said = said.lock().unwrap();
        said.push_str(&line);
        said.push('\n');
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!("the router said:\n{}", self.log());
        }
        let _ = std::fs::remove_file(&self.file);
    }
}

pub fn configuration(feed: &str, worker: &str, effect: &str) -> Value {
    let first = json!({"n": 1, "members": {"complete": true, "members": [member("w", worker, "in_service")]}});
    json!({
        "name": "n1", "listen": "127.0.0.1:0", "seed": "5", "feed": feed, "known": {"n": 1, "events": [first]},
        "limits": {"sockets": 256, "memory_mb": 32},
        "settings": {
            "azs": ["here"], "az": 0, "me": 0, "balancers": 1,
            "classes": [{"name": "job", "aim-us": 1000000, "deadline-us": 11000000, "effect": effect}],
            "family-info": {"if-cold": "miss", "placement-calls": true, "idle-life-us": 9000000},
            "limits": {"try-limit": 4},
        },
    })
}

impl Router {
    pub fn command(file: &PathBuf) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_sanddrum-edge"));
        command
            .args(["--platform", "--log", "info,sanddrum_edge=debug"])
            .env("RELAY_CONFIG", file);
        command.env_remove("RELAY_NAME").env_remove("RELAY_LISTEN");
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        command
    }
    /// One that has been started, whether it has begun or not.
    pub fn of(mut child: Child, file: PathBuf) -> Router {
        let (stderr, said) = (
            child.stderr.take().unwrap(),
            Arc::<Mutex<String>>::default(),
        );
        let into = said.clone();
        let reader = std::thread::spawn(move || read_log(stderr, &into));
        Router {
            child,
            file,
            at: String::new(),
            said,
            reader: Some(reader),
        }
    }
    /// Waits until it listens, and learns where.
    pub fn begins(mut self) -> Router {
        let begun = std::time::Instant::now();
        while self.at.is_empty() {
            assert!(
                begun.elapsed() < PATIENCE && self.child.try_wait().unwrap().is_none(),
                "it never began"
            );
            let said = self.said.lock().unwrap().clone();
            let line = said
                .lines()
                .find(|line| line.contains("platform router starting"));
            let at =
                line.and_then(|line| line.split('"').find(|text| text.starts_with("127.0.0.1:")));
            self.at = at.unwrap_or_default().to_string();
            std::thread::yield_now();
        }
        self
    }
    /// Starts one whose worker and feed are at these addresses.
    pub fn start(name: &str, feed: &str, worker: &str, effect: &str) -> Router {
        Router::start_with(name, &configuration(feed, worker, effect), None)
    }
    /// Starts one with this configuration, and with injected faults where a control of them is given.
    pub fn start_with(name: &str, configuration: &Value, faults: Option<&FaultControl>) -> Router {
        let file =
            std::env::temp_dir().join(format!("sanddrum-race-{name}-{}.json", std::process::id()));
        std::fs::write(&file, configuration.to_string()).unwrap();
        let mut command = Router::command(&file);
        faults
            .iter()
            .for_each(|faults| faults.preload(&mut command).unwrap());
        Router::of(command.spawn().unwrap(), file).begins()
    }
    /// Stops the process, as one that gets no processor, and waits until it stands still.
    pub fn stall(&self) {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        until(|| std::fs::read_to_string(&stat).unwrap().contains(") T "));
    }
    pub fn resume(&self) {
        self.signal("CONT");
    }
    pub fn signal(&self, which: &str) {
        let sent = Command::new("sh")
            .args(["-c", &format!("kill -{which} {}", self.child.id())])
            .status();
        assert!(sent.unwrap().success());
    }
    pub fn ends(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
    /// What it has logged by now.
    pub fn said_so_far(&self) -> String {
        self.said.lock().unwrap().clone()
    }
    /// What it logged until its end.
    pub fn log(&mut self) -> String {
        self.reader
            .take()
            .into_iter()
            .for_each(|reader| reader.join().unwrap());
        self.said.lock().unwrap().clone()
    }
}
