//! Runs a router of the platform as a process between a web server, workers and a control feed that the test controls
//! step by step. Each of these peers waits for the event that the test expects and panics if it does not arrive in
//! time.
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

/// How long a peer waits for an expected event before the test fails.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until the condition holds; panics after [`TIMEOUT`].
pub fn wait_until(condition: impl Fn() -> bool) {
    let started = std::time::Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < TIMEOUT,
            "timed out waiting for a condition"
        );
        std::thread::yield_now();
    }
}
pub fn listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}
/// A listener whose backlog is full, so that new connection attempts hang. They can complete once the returned
/// sockets are dropped and the listener accepts.
pub fn listener_with_full_backlog() -> (TcpListener, String, Vec<Socket>) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener
        .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
        .unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    let mut waiting = Vec::new();
    loop {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        if socket
            .connect_timeout(&address, Duration::from_millis(100))
            .is_err()
        {
            return (
                listener.into(),
                address.as_socket().unwrap().to_string(),
                waiting,
            );
        }
        waiting.push(socket);
    }
}
pub fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let started = std::time::Instant::now();
    loop {
        match listener.accept() {
            Ok((conn, _)) => {
                conn.set_nonblocking(false).unwrap();
                conn.set_read_timeout(Some(TIMEOUT)).unwrap();
                return conn;
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock && started.elapsed() < TIMEOUT => {
                std::thread::yield_now();
            }
            Err(e) => panic!("no connection arrived: {e}"),
        }
    }
}
// ---- Worker

#[derive(Debug, PartialEq)]
pub struct Frame {
    pub code: u8,
    pub id: u64,
    pub fields: String,
    pub body: Vec<u8>,
}
/// The deadline that the router sent to the worker with this request.
pub fn deadline(request: &Frame) -> Duration {
    let milliseconds = request
        .fields
        .split(',')
        .find_map(|field| field.strip_prefix("max="));
    Duration::from_millis(milliseconds.unwrap().parse().unwrap())
}
/// A worker. Holds every connection to it in the order of arrival (`None` once closed) and the bytes read from it
/// that are not parsed yet.
pub struct Worker {
    listener: TcpListener,
    pub conns: Vec<(Option<TcpStream>, Vec<u8>)>,
    /// The codes of all frames that were taken from the connections.
    codes_read: Vec<u8>,
}

impl Worker {
    pub fn from_listener(listener: TcpListener) -> Worker {
        listener.set_nonblocking(true).unwrap();
        Worker {
            listener,
            conns: Vec::new(),
            codes_read: Vec::new(),
        }
    }
    pub fn listen() -> (Worker, String) {
        let (listener, address) = listener();
        (Worker::from_listener(listener), address)
    }
    /// Accepts pending connections, reads the bytes that have arrived and notes closed connections, without blocking.
    fn poll_connections(&mut self) {
        while let Ok((conn, _)) = self.listener.accept() {
            conn.set_nonblocking(true).unwrap();
            self.conns.push((Some(conn), Vec::new()));
        }
        let mut buffer = [0; 65536];
        for (conn, bytes) in &mut self.conns {
            let Some(open) = conn else { continue };
            match read(open, &mut buffer) {
                Ok(n @ 1..) => bytes.extend_from_slice(&buffer[..n]),
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
            let frame: Vec<u8> = bytes.drain(..20 + fields + body).collect();
            let text = String::from_utf8(frame[16..16 + fields].to_vec()).unwrap();
            let body = frame[16 + fields..16 + fields + body].to_vec();
            self.codes_read.push(code);
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
    /// Waits for the next request and returns it with the number of its connection. Answers load commands and pings
    /// that precede it.
    pub fn next_request(&mut self) -> (usize, Frame) {
        next_request(std::slice::from_mut(self)).1
    }
    /// Returns a request that has already arrived, if any. Answers load commands and pings that precede it.
    pub fn try_next_request(&mut self) -> Option<(usize, Frame)> {
        self.poll_connections();
        loop {
            match self.next_frame()? {
                (n, frame) if frame.code == 65 => return Some((n, frame)),
                (n, frame) if frame.code == 69 => {
                    self.send_unless_reset(n, &frames::response(97, frame.id, "copies=1", b""))
                }
                (n, frame) if frame.code == 67 => {
                    self.send_unless_reset(n, &frames::response(103, frame.id, "", b""))
                }
                _ => {}
            }
        }
    }
    /// Takes all frames that have arrived and returns their codes.
    pub fn received_codes(&mut self) -> Vec<u8> {
        self.poll_connections();
        std::iter::from_fn(|| self.next_frame())
            .map(|(_, frame)| frame.code)
            .collect()
    }
    /// Whether a frame with this code has ever been read.
    pub fn has_read_code(&self, code: u8) -> bool {
        self.codes_read.contains(&code)
    }
    pub fn send(&mut self, n: usize, bytes: &[u8]) {
        self.try_send(n, bytes).unwrap();
    }
    fn try_send(&mut self, n: usize, bytes: &[u8]) -> std::io::Result<()> {
        let Some(conn) = &mut self.conns[n].0 else {
            return Ok(());
        };
        conn.set_nonblocking(false)?;
        conn.write_all(bytes)?;
        conn.set_nonblocking(true)
    }
    /// Answers a load command, query or ping. The router may have reset the connection meanwhile: a new one whose first
    /// message is not answered within the connect timeout.
    fn send_unless_reset(&mut self, n: usize, bytes: &[u8]) {
        match self.try_send(n, bytes) {
            Err(error) if error.kind() == ErrorKind::ConnectionReset => self.conns[n].0 = None,
            result => result.unwrap(),
        }
    }
    pub fn serve(&mut self, (n, request): &(usize, Frame)) {
        self.send(
            *n,
            &frames::response(97, request.id, "remark=hot", &request.body),
        );
    }
    /// Closes a connection, optionally with a reset as if the worker's process had died.
    pub fn close(&mut self, n: usize, with_reset: bool) {
        if let Some(conn) = self.conns[n].0.take() {
            let linger = with_reset.then_some(Duration::ZERO);
            SockRef::from(&conn).set_linger(linger).unwrap();
        }
    }
}

/// Waits for the next request to any of these workers. Returns the index of the worker, the number of the connection
/// and the request.
pub fn next_request(workers: &mut [Worker]) -> (usize, (usize, Frame)) {
    let started = std::time::Instant::now();
    while started.elapsed() < TIMEOUT {
        for (n, worker) in workers.iter_mut().enumerate() {
            if let Some(request) = worker.try_next_request() {
                return (n, request);
            }
        }
        std::thread::yield_now();
    }
    panic!("no request arrived");
}

// ---- Web server

/// A FastCGI connection from a web server to the router.
pub struct WebServer {
    conn: TcpStream,
    bytes: Vec<u8>,
    texts: BTreeMap<u16, String>,
}

/// The response to a request: its CGI text and the FastCGI protocol status.
#[derive(Debug, PartialEq)]
pub struct Response {
    pub id: u16,
    pub text: String,
    pub protocol_status: u8,
}

impl Response {
    pub fn status(&self) -> &str {
        self.text
            .lines()
            .next()
            .unwrap_or_default()
            .trim_start_matches("Status: ")
    }
}

pub fn encode_request(id: u16, call: &str, time_limit_ms: u32, body: &[u8]) -> Vec<u8> {
    encode_request_for(id, call, "7f3a9c21e0b4d655", time_limit_ms, body)
}
pub fn encode_request_for(
    id: u16,
    call: &str,
    function: &str,
    time_limit_ms: u32,
    body: &[u8],
) -> Vec<u8> {
    let time_limit = time_limit_ms.to_string();
    let pairs = [
        ("SCRIPT_NAME", "/rpc/job"),
        ("HTTP_X_CALL_ID", call),
        ("HTTP_X_PATIENCE_MS", time_limit.as_str()),
        ("HTTP_X_ENTITY", function),
        ("HTTP_X_INFO", "memory_mb:100;lanes:40;load_ms:300"),
    ];
    let mut out = Vec::new();
    write_begin_request(&mut out, id, true);
    write_stream(&mut out, RecordType::Params, id, &encode_params(&pairs));
    write_stream(&mut out, RecordType::Stdin, id, body);
    out
}

impl WebServer {
    pub fn connect(address: &str) -> WebServer {
        let conn = TcpStream::connect(address).unwrap();
        conn.set_read_timeout(Some(TIMEOUT)).unwrap();
        WebServer {
            conn,
            bytes: Vec::new(),
            texts: BTreeMap::new(),
        }
    }
    /// Connects with a small receive buffer, so that unread responses soon block the router's writes.
    pub fn connect_with_small_buffer(address: &str) -> WebServer {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket
            .connect(&address.parse::<SocketAddr>().unwrap().into())
            .unwrap();
        let conn = TcpStream::from(socket);
        conn.set_read_timeout(Some(TIMEOUT)).unwrap();
        WebServer {
            conn,
            bytes: Vec::new(),
            texts: BTreeMap::new(),
        }
    }
    pub fn send(&mut self, bytes: &[u8]) {
        self.conn.write_all(bytes).unwrap();
    }
    /// Sends as much as the router accepts before it closes the connection.
    pub fn send_until_closed(&mut self, bytes: &[u8]) {
        let _ = self.conn.write_all(bytes);
    }
    /// Sends these bytes again and again until the machine accepts no more.
    pub fn send_as_much_as_possible(&mut self, bytes: &[u8]) {
        self.conn.set_nonblocking(true).unwrap();
        while self.conn.write_all(bytes).is_ok() {}
        self.conn.set_nonblocking(false).unwrap();
    }
    pub fn send_request(&mut self, id: u16, call: &str) {
        self.send(&encode_request(id, call, 4000, call.as_bytes()));
    }
    pub fn abort(&mut self, id: u16) {
        self.send(&encode_header(RecordType::AbortRequest, id, 0));
    }
    /// Waits until the router answers anything or ends the connection, also with a reset.
    pub fn wait_for_answer_or_close(&mut self) {
        match read(&mut self.conn, &mut [0; 4096]) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                panic!("neither an answer nor a close")
            }
            _ => {}
        }
    }
    /// Waits for the next response. Returns `None` if the connection was closed normally; panics if it was reset.
    pub fn response(&mut self) -> Option<Response> {
        let mut buffer = [0; 4096];
        loop {
            while let Some((record, took)) = Record::read(&self.bytes).unwrap() {
                let (kind, id, content) = (record.record_type, record.id, record.content.to_vec());
                self.bytes.drain(..took);
                match kind {
                    RecordType::EndRequest => {
                        let text = self.texts.remove(&id).unwrap_or_default();
                        return Some(Response {
                            id,
                            text,
                            protocol_status: content[4],
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
            match read(&mut self.conn, &mut buffer).unwrap() {
                0 => return None,
                n => self.bytes.extend_from_slice(&buffer[..n]),
            }
        }
    }
}

// ---- Control feed

/// Waits for the next poll on this connection and returns the event number that it names.
pub fn next_poll(conn: &mut TcpStream) -> u64 {
    let (mut text, mut byte) = (String::new(), [0]);
    while !text.ends_with("\r\n\r\n") {
        assert!(
            read(conn, &mut byte).unwrap() > 0,
            "connection closed before a complete poll"
        );
        text.push(byte[0] as char);
    }
    let number = text
        .split("SUB=")
        .nth(1)
        .and_then(|rest| rest.split('&').next());
    number.unwrap().parse().unwrap()
}
/// The HTTP response to a poll: these events, of which `last` is the number of the latest.
pub fn feed_response(last: u64, events: Value) -> Vec<u8> {
    let body = json!({"n": last, "events": events}).to_string();
    sanddrum_wire::http::encode_response(200, &[], body.as_bytes(), true)
}
/// A watch event that changes one member.
pub fn event(n: u64, member: Value) -> Value {
    json!({"n": n, "members": {"complete": false, "members": [member]}})
}
pub fn member(id: &str, address: &str, phase: &str) -> Value {
    json!({"id": id, "host_port": address, "locality": "here", "phase": phase, "size": 4})
}

// ---- Router

pub struct Router {
    child: Child,
    pub file: PathBuf,
    /// The address of its listener. The operating system assigns the port, so that tests do not collide.
    pub address: String,
    log: Arc<Mutex<String>>,
    /// Reads the router's log continuously, so that the router never blocks on a full pipe.
    log_reader: Option<JoinHandle<()>>,
}

fn read_log(stderr: ChildStderr, log: &Mutex<String>) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        let mut log = log.lock().unwrap();
        log.push_str(&line);
        log.push('\n');
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!("log of the router:\n{}", self.log_until_exit());
        }
        let _ = std::fs::remove_file(&self.file);
    }
}

pub fn configuration(feed: &str, worker: &str, effect: &str) -> Value {
    let first_event = json!({"n": 1, "members": {"complete": true, "members": [member("w", worker, "in_service")]}});
    json!({
        "name": "n1", "listen": "127.0.0.1:0", "seed": "5", "feed": feed, "known": {"n": 1, "events": [first_event]},
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
    /// Wraps a started process, which need not listen yet.
    pub fn from_child(mut child: Child, file: PathBuf) -> Router {
        let (stderr, log) = (
            child.stderr.take().unwrap(),
            Arc::<Mutex<String>>::default(),
        );
        let shared_log = log.clone();
        let log_reader = std::thread::spawn(move || read_log(stderr, &shared_log));
        Router {
            child,
            file,
            address: String::new(),
            log,
            log_reader: Some(log_reader),
        }
    }
    /// Waits until the router listens and reads its address from the log.
    pub fn wait_until_listening(mut self) -> Router {
        let started = std::time::Instant::now();
        while self.address.is_empty() {
            assert!(
                started.elapsed() < TIMEOUT && self.child.try_wait().unwrap().is_none(),
                "the router did not start to listen"
            );
            let log = self.log.lock().unwrap().clone();
            let line = log
                .lines()
                .find(|line| line.contains("platform router starting"));
            let address =
                line.and_then(|line| line.split('"').find(|text| text.starts_with("127.0.0.1:")));
            self.address = address.unwrap_or_default().to_string();
            std::thread::yield_now();
        }
        self
    }
    /// Starts a router with a worker and a control feed at these addresses.
    pub fn start(name: &str, feed: &str, worker: &str, effect: &str) -> Router {
        Router::start_with(name, &configuration(feed, worker, effect), None)
    }
    /// Starts a router with this configuration, and with fault injection if a fault control is given.
    pub fn start_with(name: &str, configuration: &Value, faults: Option<&FaultControl>) -> Router {
        let file =
            std::env::temp_dir().join(format!("sanddrum-race-{name}-{}.json", std::process::id()));
        std::fs::write(&file, configuration.to_string()).unwrap();
        let mut command = Router::command(&file);
        faults
            .iter()
            .for_each(|faults| faults.preload(&mut command).unwrap());
        Router::from_child(command.spawn().unwrap(), file).wait_until_listening()
    }
    /// Starts a router that logs at the platform's default level, where a test sends more requests than the debug log can
    /// follow. That log does not tell the address, so a free port is chosen.
    pub fn start_with_default_log(name: &str, feed: &str, worker: &str) -> Router {
        let (closed, address) = listener();
        drop(closed);
        let mut configuration = configuration(feed, worker, "once");
        configuration["listen"] = json!(address);
        let file =
            std::env::temp_dir().join(format!("sanddrum-{name}-{}.json", std::process::id()));
        std::fs::write(&file, configuration.to_string()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_sanddrum-edge"));
        command.arg("--platform").env("RELAY_CONFIG", &file);
        command.env("NO_COLOR", "1");
        command.env_remove("RELAY_NAME").env_remove("RELAY_LISTEN");
        command.stderr(Stdio::piped());
        let mut router = Router::from_child(command.spawn().unwrap(), file);
        router.address = address;
        router
    }
    /// Stops the process as if it got no CPU time, and waits until it has stopped.
    pub fn stall(&self) {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        wait_until(|| std::fs::read_to_string(&stat).unwrap().contains(") T "));
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
    /// The most memory that the process has had resident so far, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        value.unwrap().parse().unwrap()
    }
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
    /// The log up to now.
    pub fn logged_so_far(&self) -> String {
        self.log.lock().unwrap().clone()
    }
    /// Waits until the process closes its log and returns all of it.
    pub fn log_until_exit(&mut self) -> String {
        self.log_reader
            .take()
            .into_iter()
            .for_each(|reader| reader.join().unwrap());
        self.log.lock().unwrap().clone()
    }
}
