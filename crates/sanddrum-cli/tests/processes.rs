//! Tests the edge as a process (signals, restarts, keys, certificates) and the commands that check settings.

mod socket_reads;

use rstest::rstest;
use sanddrum_wire::http;
use socket_reads::read;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"
    (workload "job" (time-limit 30s) (effect run-once))
    (function "f*" (workload "job"))
    (limits (stop-within 1s) (list-retry-most 100ms))"#;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("sanddrum-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(folder.join("settings.sx"), SETTINGS).unwrap();
        Folder(folder)
    }
}
impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn sanddrum(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sanddrum"));
    command.args(args).stdin(Stdio::null());
    command
}

struct Edge {
    child: Child,
    address: String,
}

impl Edge {
    /// Starts an edge and reads the address of its listener from its log.
    fn start(folder: &Folder, listen: &str) -> Edge {
        Edge::start_with(
            folder,
            listen,
            Command::new(env!("CARGO_BIN_EXE_sanddrum-edge")),
        )
    }
    fn start_with(folder: &Folder, listen: &str, mut command: Command) -> Edge {
        let (settings, state) = (folder.0.join("settings.sx"), folder.0.join("state"));
        command.args([
            "--settings",
            settings.to_str().unwrap(),
            "--state-file",
            state.to_str().unwrap(),
        ]);
        command.args([
            "--listen",
            listen,
            "--list",
            "127.0.0.1:1",
            "--log",
            "info",
            "--log-format",
            "json",
        ]);
        let mut child = command
            .stderr(Stdio::piped())
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        let address = loop {
            line.clear();
            assert!(
                log.read_line(&mut line).unwrap() > 0,
                "the edge exited before it listened"
            );
            if let Some((_, rest)) = line.split_once("\"listen\":\"") {
                break rest.split('"').next().unwrap().to_string();
            }
        };
        // Discards the rest of the log, so that the edge never blocks on a full pipe.
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Edge { child, address }
    }
    fn signal(&self, which: &str) {
        let sent = Command::new("sh")
            .args(["-c", &format!("kill -{which} {}", self.child.id())])
            .status();
        assert!(sent.unwrap().success());
    }
    fn wait_for_exit(&mut self) -> Option<i32> {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::yield_now();
        }
        panic!("the edge did not exit");
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn send_request(socket: &mut TcpStream) {
    socket
        .write_all(&http::encode_request("POST", "/v1/calls/job/f1", &[], b""))
        .unwrap();
}

fn read_response(socket: &mut TcpStream) -> http::Response {
    socket
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some((response, _)) = http::parse_response(&bytes).unwrap() {
            return response;
        }
        let n = read(socket, &mut chunk).unwrap();
        assert!(n > 0, "connection closed without a response");
        bytes.extend_from_slice(&chunk[..n]);
    }
}

/// Returns the status of a health check. Once it is answered, the edge has read everything sent to it before. An edge
/// that knows no worker reports that it is not ready (503).
fn health_status(address: &str) -> u16 {
    let mut socket = TcpStream::connect(address).unwrap();
    socket
        .write_all(&http::encode_request("GET", "/health", &[], b""))
        .unwrap();
    read_response(&mut socket).status
}

#[rstest]
fn sigterm_shuts_the_edge_down_gracefully_with_a_response_to_each_open_request() {
    let folder = Folder::new("sigterm");
    let mut edge = Edge::start(&folder, "127.0.0.1:0");
    let mut client = TcpStream::connect(&edge.address).unwrap();
    send_request(&mut client);
    assert_eq!(health_status(&edge.address), 503, "no endpoint list yet");
    edge.signal("TERM");
    let status = read_response(&mut client).status;
    assert!(status == 502 || status == 503, "{status}");
    assert_eq!(edge.wait_for_exit(), Some(0));
}

#[rstest]
fn an_edge_killed_with_sigkill_restarts_on_the_same_port() {
    let folder = Folder::new("sigkill");
    let mut edge = Edge::start(&folder, "127.0.0.1:0");
    let mut client = TcpStream::connect(&edge.address).unwrap();
    send_request(&mut client);
    assert_eq!(health_status(&edge.address), 503, "no endpoint list yet");
    edge.signal("KILL");
    assert_eq!(edge.wait_for_exit(), None);
    std::fs::write(folder.0.join("state"), b"torn").unwrap();
    let restarted = Edge::start(&folder, &edge.address);
    assert_eq!(
        health_status(&restarted.address),
        503,
        "no endpoint list yet"
    );
    assert!(
        folder.0.join("state.set-aside").exists(),
        "an unreadable state file is set aside"
    );
}

#[rstest]
fn an_edge_without_free_descriptors_resumes_once_some_are_released() {
    let folder = Folder::new("descriptors");
    let mut command = Command::new("sh");
    command.args([
        "-c",
        "ulimit -n 40; exec \"$0\" \"$@\"",
        env!("CARGO_BIN_EXE_sanddrum-edge"),
    ]);
    let edge = Edge::start_with(&folder, "127.0.0.1:0", command);
    let clients: Vec<TcpStream> = (0..60)
        .map(|_| TcpStream::connect(&edge.address).unwrap())
        .collect();
    drop(clients);
    assert_eq!(health_status(&edge.address), 503, "no endpoint list yet");
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned() + &String::from_utf8_lossy(&output.stdout)
}

#[rstest]
fn invalid_settings_are_rejected_with_their_line_and_column() {
    let folder = Folder::new("config");
    let file = folder.0.join("settings.sx");
    let path = file.to_str().unwrap();
    let good = sanddrum(&["config", "check", path]).output().unwrap();
    assert_eq!(good.status.code(), Some(0), "{}", text(&good));
    let shown = text(&sanddrum(&["config", "show", path]).output().unwrap());
    assert!(
        shown.contains("limits.stop-within-us") && shown.contains("line 4, column 13"),
        "{shown}"
    );
    std::fs::write(&file, format!("{SETTINGS}\n(limit (max-open 3))")).unwrap();
    let bad = sanddrum(&["config", "check", path]).output().unwrap();
    assert_eq!(bad.status.code(), Some(2));
    assert!(
        text(&bad).contains("settings.sx:5:1") && text(&bad).contains("did you mean limits?"),
        "{}",
        text(&bad)
    );
}

#[rstest]
fn equal_seeds_print_equal_summaries() {
    let run = |seed: &str| {
        let output = sanddrum(&[
            "lab",
            "run",
            "--virtual",
            "--json",
            "--log",
            "off",
            "--seed",
            seed,
        ])
        .output()
        .unwrap();
        assert_eq!(output.status.code(), Some(0), "{}", text(&output));
        String::from_utf8(output.stdout)
            .unwrap()
            .lines()
            .last()
            .unwrap()
            .to_string()
    };
    let first = run("9");
    assert_eq!(first, run("9"));
    assert_ne!(first, run("10"));
    assert!(first.contains("timeline_digest"));
}

/// Creates, lists and revokes keys and issues tokens as an operator would, while an edge runs.
#[rstest]
fn keys_are_created_and_revoked_while_an_edge_runs() {
    let folder = Folder::new("keys");
    let path = |name: &str| folder.0.join(name).to_str().unwrap().to_string();
    let (keys, secrets, settings) = (path("keys.json"), path("secrets"), path("settings.sx"));
    let run = |args: &[&str]| sanddrum(args).output().unwrap();
    assert_eq!(
        run(&["keys", "new", &keys, "--secrets", &secrets, "--name", "a"])
            .status
            .code(),
        Some(0)
    );
    let identity = format!(
        "(identity (tokens required) (keys-file {keys:?}) (watch-every 20ms)) (deny \"x*\")"
    );
    std::fs::write(&settings, format!("{SETTINGS}{identity}")).unwrap();
    let edge = Edge::start(&folder, "127.0.0.1:0");
    let secret = format!("{secrets}/a.secret");
    let token = |customer: &str| {
        let issued = run(&[
            "token",
            "issue",
            "--secret",
            &secret,
            "--customer",
            customer,
        ]);
        assert_eq!(issued.status.code(), Some(0), "{}", text(&issued));
        let file = path("token");
        std::fs::write(&file, &issued.stdout).unwrap();
        file
    };
    let call = |file: &str| {
        text(&run(&[
            "call",
            "job",
            "f1",
            "--edge",
            &edge.address,
            "--token",
            file,
            "--time-limit",
            "300",
        ]))
    };
    let good = token("obs-brest");
    let response = call(&good);
    assert!(
        response.contains("not-in-time") || response.contains("time-limit"),
        "{response}"
    );
    assert!(call(&token("xenon")).contains("not-allowed"));
    let explained = run(&[
        "rights",
        "explain",
        "--settings",
        &settings,
        "xenon",
        "job/f1",
    ]);
    assert!(text(&explained).contains("denied by (deny") && explained.status.code() == Some(1));
    let good = token("obs-brest");
    assert_eq!(run(&["keys", "revoke", &keys, "a"]).status.code(), Some(0));
    let deadline = Instant::now() + Duration::from_secs(20);
    while !call(&good).contains("token-key-revoked") {
        assert!(
            Instant::now() < deadline,
            "the edge did not pick up the revocation"
        );
    }
    assert!(text(&run(&["keys", "list", &keys])).contains("a: revoked"));
    use std::os::unix::fs::PermissionsExt;
    std::fs::set_permissions(&secret, std::fs::Permissions::from_mode(0o644)).unwrap();
    let readable_by_others = run(&[
        "token",
        "issue",
        "--secret",
        &secret,
        "--customer",
        "obs-brest",
    ]);
    assert!(
        readable_by_others.status.code() == Some(1)
            && text(&readable_by_others).contains("chmod 600"),
        "{}",
        text(&readable_by_others)
    );
}

/// Clients of a TLS listener authenticate with certificates. The key of one client is denied while the edge runs; a
/// certificate of another authority is never accepted.
#[rstest]
fn client_certificates_identify_the_customer_until_their_key_is_denied() {
    let folder = Folder::new("certificates");
    let file = |name: &str| folder.0.join(name).to_str().unwrap().to_string();
    let certs = |args: &[&str]| text(&sanddrum(&[&["certs"], args].concat()).output().unwrap());
    certs(&["make", &file("ours"), "localhost", "gw-1"]);
    certs(&["make", &file("theirs"), "gw-1"]);
    std::fs::write(folder.0.join("denied"), "").unwrap();
    let f = |name: &str| format!("{:?}", file(name));
    let listener = format!(
        r#"(door (speaks tls) (certificate-file {}) (key-file {}) (certificates required) (roots-file {})
            (denied-file {})) (tls (watch-every 10ms)) (customer "school" (certificates "gw-*"))"#,
        f("ours/localhost.pem"),
        f("ours/localhost.key"),
        f("ours/roots.pem"),
        f("denied")
    );
    std::fs::write(
        folder.0.join("settings.sx"),
        format!("{SETTINGS}{listener}"),
    )
    .unwrap();
    let edge = Edge::start(&folder, "127.0.0.1:0");
    let call = |authority: &str| {
        let (roots, chain, key) = (
            file("ours/roots.pem"),
            file(&format!("{authority}/gw-1.pem")),
            file(&format!("{authority}/gw-1.key")),
        );
        let args = [
            "call",
            "--edge",
            &edge.address,
            "--name",
            "localhost",
            "--roots",
            &roots,
        ];
        let credentials = [
            "--certificate",
            &chain,
            "--key",
            &key,
            "--time-limit",
            "200",
            "job",
            "f1",
        ];
        text(
            &sanddrum(&[&args[..], &credentials[..]].concat())
                .output()
                .unwrap(),
        )
    };
    assert!(
        call("ours").contains("(503)"),
        "the request must be accepted, though there is no worker: {}",
        call("ours")
    );
    assert!(!call("theirs").contains("(503)"));
    certs(&[
        "deny",
        &file("denied"),
        &file("ours/gw-1.pem"),
        "--remark",
        "stolen",
    ]);
    let deadline = Instant::now() + Duration::from_secs(10);
    while call("ours").contains("(503)") {
        assert!(
            Instant::now() < deadline,
            "a certificate with a denied key is still accepted"
        );
    }
    certs(&["make", &file("ours"), "gw-1"]);
    assert!(
        call("ours").contains("(503)"),
        "a certificate with a new key must be accepted"
    );
}
