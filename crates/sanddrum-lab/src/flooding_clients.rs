//! Clients of a router of the platform that send requests at full speed, without waiting for the responses, in threads of
//! their own.

use sanddrum_fastcgi::{
    encode_header, encode_params, write_begin_request, write_stream, RecordType,
};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Maximum number of open requests on a connection.
const MAX_OPEN_REQUESTS: u64 = 32;
/// Requests that a client writes at once.
const REQUESTS_PER_WRITE: u64 = 64;
/// Fields of a head with very many short ones, which stays within the limit of 8 KB.
const SHORT_FIELDS: usize = 4_000;
/// How long a client waits before it connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(10);
/// The ids of all requests of flooding clients have these highest bits.
const CALL_ID_PREFIX: u64 = 0xf10d << 48;
/// The position of a client's number in its call ids.
const CLIENT_SHIFT: u32 = 40;

/// Whether a flooding client has sent the request with this id.
pub fn is_flooding_call(call_id: u64) -> bool {
    call_id & (0xffff << 48) == CALL_ID_PREFIX
}

/// What the requests of flooding clients look like.
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
    /// Health checks with a head of very many short fields.
    ManyFields,
}

impl Flood {
    /// All kinds.
    pub const ALL: [Flood; 5] = [
        Flood::Invalid,
        Flood::CancelledNewFunctions,
        Flood::UnknownWorkloads,
        Flood::HealthChecks,
        Flood::ManyFields,
    ];

    fn encode(self, out: &mut Vec<u8>, workload: &str, id: u16, call_id: u64) {
        let call = format!("{call_id:016x}");
        let path = match self {
            Flood::Invalid | Flood::CancelledNewFunctions => format!("/rpc/{workload}"),
            Flood::UnknownWorkloads => format!("/rpc/{call}"),
            Flood::HealthChecks | Flood::ManyFields => "/health".to_string(),
        };
        let mut fields = vec![("SCRIPT_NAME", path.as_str())];
        match self {
            Flood::CancelledNewFunctions | Flood::UnknownWorkloads => fields.extend([
                ("HTTP_X_CALL_ID", call.as_str()),
                ("HTTP_X_PATIENCE_MS", "1000"),
                ("HTTP_X_ENTITY", call.as_str()),
                ("HTTP_X_INFO", "memory_mb:100;lanes:4;load_ms:200"),
            ]),
            Flood::ManyFields => fields.extend(std::iter::repeat_n(("", ""), SHORT_FIELDS)),
            Flood::Invalid | Flood::HealthChecks => {}
        }
        write_begin_request(out, id, true);
        write_stream(out, RecordType::Params, id, &encode_params(&fields));
        write_stream(out, RecordType::Stdin, id, b"");
        if self == Flood::CancelledNewFunctions {
            out.extend(encode_header(RecordType::AbortRequest, id, 0));
        }
    }
}

/// Requests that a client has written, in the order of their ids.
#[derive(Clone, Copy, Debug)]
struct WrittenRequests {
    /// The highest of their ids.
    last_call_id: u64,
    /// When the last byte had been accepted by the client's machine.
    at: Instant,
}

/// One client.
struct Client {
    address: String,
    workload: String,
    flood: Flood,
    stop: Arc<AtomicBool>,
    /// Its current connection, so that a blocked read or write can be ended.
    connection: Arc<Mutex<Option<TcpStream>>>,
    /// All requests that were written.
    written: Arc<Mutex<Vec<WrittenRequests>>>,
    last_call_id: u64,
}

impl Client {
    /// Sends until it is stopped. Connects again whenever the connection has ended.
    fn run(mut self) {
        while !self.stop.load(Ordering::Relaxed) {
            if let Some(conn) = self.connect() {
                self.send(conn);
            }
            std::thread::sleep(RECONNECT_DELAY);
        }
    }

    fn connect(&self) -> Option<TcpStream> {
        let conn = TcpStream::connect(&self.address).ok()?;
        let (reading, shared) = (conn.try_clone().ok()?, conn.try_clone().ok()?);
        *lock(&self.connection) = Some(shared);
        std::thread::spawn(move || discard_input(reading));
        Some(conn)
    }

    fn send(&mut self, mut conn: TcpStream) {
        while !self.stop.load(Ordering::Relaxed) {
            let mut out = Vec::new();
            for _ in 0..REQUESTS_PER_WRITE {
                self.last_call_id += 1;
                let id = 1 + (self.last_call_id % MAX_OPEN_REQUESTS) as u16;
                self.flood
                    .encode(&mut out, &self.workload, id, self.last_call_id);
            }
            if conn.write_all(&out).is_err() {
                break;
            }
            lock(&self.written).push(WrittenRequests {
                last_call_id: self.last_call_id,
                at: Instant::now(),
            });
        }
        let _ = conn.shutdown(Shutdown::Both);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn discard_input(mut conn: TcpStream) {
    let mut buffer = [0; 64 * 1024];
    while matches!(conn.read(&mut buffer), Ok(1..)) {}
}

/// Clients that send at full speed until they are dropped.
pub struct FloodingClients {
    stop: Arc<AtomicBool>,
    connections: Vec<Arc<Mutex<Option<TcpStream>>>>,
    /// By the clients' numbers.
    written: Vec<Arc<Mutex<Vec<WrittenRequests>>>>,
    threads: Vec<JoinHandle<()>>,
}

impl FloodingClients {
    /// Starts clients of the router at `address`, whose settings have this workload.
    pub fn start(address: &str, workload: &str, count: u64, flood: Flood) -> FloodingClients {
        let mut clients = FloodingClients {
            stop: Arc::default(),
            connections: Vec::new(),
            written: Vec::new(),
            threads: Vec::new(),
        };
        for number in 0..count {
            let client = Client {
                address: address.to_string(),
                workload: workload.to_string(),
                flood,
                stop: Arc::clone(&clients.stop),
                connection: Arc::default(),
                written: Arc::default(),
                last_call_id: CALL_ID_PREFIX | (number << CLIENT_SHIFT),
            };
            clients.connections.push(Arc::clone(&client.connection));
            clients.written.push(Arc::clone(&client.written));
            clients
                .threads
                .push(std::thread::spawn(move || client.run()));
        }
        clients
    }

    /// When a request with its cancellation, if it has one, had been written at the latest. `None` if it has not.
    pub fn written_at(&self, call_id: u64) -> Option<Instant> {
        let client = (call_id & !CALL_ID_PREFIX) >> CLIENT_SHIFT;
        let written = lock(self.written.get(client as usize)?);
        let index = written.partition_point(|requests| requests.last_call_id < call_id);
        Some(written.get(index)?.at)
    }
}

impl Drop for FloodingClients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A client that is connecting now stores its connection later, so that ending the connections is repeated.
            while !thread.is_finished() {
                for connection in &self.connections {
                    if let Some(conn) = lock(connection).as_ref() {
                        let _ = conn.shutdown(Shutdown::Both);
                    }
                }
                std::thread::sleep(Duration::from_millis(1));
            }
            let _ = thread.join();
        }
    }
}
