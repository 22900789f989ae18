//! Runs a router of the platform as a process on real sockets: it is started with environment variables only, serves
//! requests, rereads its configuration and shuts down.

mod socket_reads;

use rstest::rstest;
use sanddrum_fastcgi::{encode_params, write_begin_request, write_stream, Record, RecordType};
use sanddrum_platform::frames;
use serde_json::json;
use socket_reads::read;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

/// Runs a worker that accepts every load command and returns the body of each request.
fn run_worker(listener: TcpListener) {
    for conn in listener.incoming().flatten() {
        thread::spawn(move || serve(conn));
    }
}
fn serve(mut conn: TcpStream) {
    let mut head = [0; 16];
    while conn.read_exact(&mut head).is_ok() {
        let fields = usize::from(u16::from_be_bytes([head[2], head[3]]));
        let body = u32::from_be_bytes([head[4], head[5], head[6], head[7]]) as usize;
        let id = u64::from_be_bytes([8, 9, 10, 11, 12, 13, 14, 15].map(|n| head[n]));
        let mut rest = vec![0; fields + body + 4];
        conn.read_exact(&mut rest).unwrap();
        let response = match head[1] {
            65 => frames::response(97, id, "remark=hot", &rest[fields..fields + body]),
            69 => frames::response(97, id, "copies=1", b""),
            _ => continue,
        };
        conn.write_all(&response).unwrap();
    }
}
/// Runs a control feed without new events that passes each poll it receives to the test.
fn run_feed(listener: TcpListener, polls: mpsc::Sender<String>) {
    for mut conn in listener.incoming().flatten() {
        let mut bytes = [0; 1024];
        while let Ok(n @ 1..) = read(&mut conn, &mut bytes) {
            let poll = String::from_utf8_lossy(&bytes[..n]).into_owned();
            if polls.send(poll).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(50));
            let body = json!({"n": 1, "events": []}).to_string();
            let _ = conn.write_all(&sanddrum_wire::http::encode_response(
                200,
                &[],
                body.as_bytes(),
                true,
            ));
        }
    }
}
fn listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

struct Router(Child, PathBuf);

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        let _ = std::fs::remove_file(&self.1);
    }
}
impl Router {
    fn start(name: &str, configuration: &str, listen: &str) -> Router {
        let file =
            std::env::temp_dir().join(format!("sanddrum-{name}-{}.json", std::process::id()));
        std::fs::write(&file, configuration).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_sanddrum-edge"));
        command
            .arg("--platform")
            .env("RELAY_CONFIG", &file)
            .env("RELAY_NAME", "n1")
            .env("RELAY_LISTEN", listen);
        let child = command
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        Router(child, file)
    }
    fn signal(&self, which: &str) {
        let sent = Command::new("sh")
            .args(["-c", &format!("kill -{which} {}", self.0.id())])
            .status();
        assert!(sent.unwrap().success());
    }
}

fn configuration(listen: &str, feed: &str, worker: &str) -> serde_json::Value {
    let member = json!({"id": "w", "host_port": worker, "locality": "here", "phase": "in_service", "size": 4});
    let known =
        json!({"n": 1, "events": [{"n": 1, "members": {"complete": true, "members": [member]}}]});
    json!({
        "name": "n1", "listen": listen, "seed": "5", "feed": feed, "known": known,
        "limits": {"sockets": 256, "memory_mb": 32},
        "settings": {
            "azs": ["here"], "az": 0, "me": 0, "balancers": 1,
            "classes": [{"name": "job", "aim-us": 1000000, "deadline-us": 5000000, "effect": "once"}],
            "family-info": {"if-cold": "miss", "placement-calls": true, "idle-life-us": 9000000},
        },
    })
}

/// Sends one request on a new connection and returns the text of the response.
fn send_request(address: &str, pairs: &[(&str, &str)], body: &[u8]) -> String {
    let mut conn = TcpStream::connect(address).unwrap();
    let mut out = Vec::new();
    write_begin_request(&mut out, 1, true);
    write_stream(&mut out, RecordType::Params, 1, &encode_params(pairs));
    write_stream(&mut out, RecordType::Stdin, 1, body);
    conn.write_all(&out).unwrap();
    let (mut bytes, mut text, mut chunk) = (Vec::new(), String::new(), [0; 4096]);
    loop {
        let n = read(&mut conn, &mut chunk).unwrap();
        assert!(
            n > 0,
            "connection closed before the end of the response: {text}"
        );
        bytes.extend_from_slice(&chunk[..n]);
        while let Some((record, took)) = Record::read(&bytes).unwrap() {
            match record.record_type {
                RecordType::EndRequest => return text,
                _ => text.push_str(&String::from_utf8_lossy(record.content)),
            }
            bytes.drain(..took);
        }
    }
}
fn call_function(address: &str, call: &str) -> String {
    let pairs = [
        ("SCRIPT_NAME", "/rpc/job"),
        ("HTTP_X_CALL_ID", call),
        ("HTTP_X_PATIENCE_MS", "4000"),
        ("HTTP_X_ENTITY", "7f3a9c21e0b4d655"),
        ("HTTP_X_INFO", "memory_mb:100;lanes:4;load_ms:300"),
    ];
    send_request(address, &pairs, call.as_bytes())
}

#[rstest]
fn a_router_serves_requests_follows_its_feed_and_shuts_down_gracefully() {
    let (worker_listener, worker_address) = listener();
    let (feed_listener, feed_address) = listener();
    let (moved_feed_listener, moved_feed_address) = listener();
    // Binding and closing a listener finds a free port for the router.
    let (_, listen) = listener();
    let (poll_sender, polls) = mpsc::channel();
    let (moved_poll_sender, moved_polls) = mpsc::channel();
    thread::spawn(|| run_worker(worker_listener));
    thread::spawn(|| run_feed(feed_listener, poll_sender));
    thread::spawn(|| run_feed(moved_feed_listener, moved_poll_sender));
    let mut router = Router::start(
        "serves",
        &configuration(&listen, &feed_address, &worker_address).to_string(),
        &listen,
    );
    // The router polls its feed once it listens.
    assert!(polls
        .recv_timeout(Duration::from_secs(20))
        .unwrap()
        .starts_with("GET /v1/events?SUB=1&wait="));
    assert!(
        send_request(&listen, &[("SCRIPT_NAME", "/health")], b"").starts_with("Status: 200\r\n")
    );
    let response = call_function(&listen, "00000000000000a1");
    assert!(
        response.starts_with("Status: 200\r\n") && response.ends_with("\r\n\r\n00000000000000a1"),
        "{response}"
    );
    std::fs::write(
        &router.1,
        configuration(&listen, &moved_feed_address, &worker_address).to_string(),
    )
    .unwrap();
    router.signal("HUP");
    assert!(moved_polls
        .recv_timeout(Duration::from_secs(20))
        .unwrap()
        .contains("SUB=1&"));
    router.signal("TERM");
    // Requests that arrive during the shutdown are still served.
    assert!(call_function(&listen, "00000000000000a2").starts_with("Status: 200\r\n"));
    assert_eq!(router.0.wait().unwrap().code(), Some(0));
}

#[rstest]
fn an_invalid_configuration_fails_the_start_with_an_error_that_names_the_key() {
    let mut json = configuration("127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1");
    json["feed"] = json!("nowhere");
    let mut router = Router::start("bad", &json.to_string(), "127.0.0.1:1");
    let mut log = String::new();
    router
        .0
        .stderr
        .take()
        .unwrap()
        .read_to_string(&mut log)
        .unwrap();
    assert_eq!(router.0.wait().unwrap().code(), Some(2));
    assert!(log.contains("feed"), "{log}");
}
