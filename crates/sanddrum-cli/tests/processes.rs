//! The edge as a process: signals, restarts, and what is said about wrong settings.

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
    at: String,
}

impl Edge {
    /// Starts one and learns its door from its log.
    fn start(folder: &Folder, listen: &str) -> Edge {
        Edge::start_by(
            folder,
            listen,
            Command::new(env!("CARGO_BIN_EXE_sanddrum-edge")),
        )
    }
    fn start_by(folder: &Folder, listen: &str, mut command: Command) -> Edge {
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
        let at = loop {
            line.clear();
            assert!(
                log.read_line(&mut line).unwrap() > 0,
                "it ended before it listened"
            );
            if let Some((_, rest)) = line.split_once("\"listen\":\"") {
                break rest.split('"').next().unwrap().to_string();
            }
        };
        // Its further lines are read away, so that it never waits for a full pipe.
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Edge { child, at }
    }
    fn signal(&self, which: &str) {
        let sent = Command::new("sh")
            .args(["-c", &format!("kill -{which} {}", self.child.id())])
            .status();
        assert!(sent.unwrap().success());
    }
    fn ends_with(&mut self) -> Option<i32> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::yield_now();
        }
        panic!("it did not end");
    }
}

impl Drop for Edge {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn call(socket: &mut TcpStream) {
    socket
        .write_all(&http::encode_request("POST", "/v1/calls/job/f1", &[], b""))
        .unwrap();
}

fn answer(socket: &mut TcpStream) -> http::Response {
    socket
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let mut bytes = Vec::new();
    let mut piece = [0; 4096];
    loop {
        if let Some((answer, _)) = http::parse_response(&bytes).unwrap() {
            return answer;
        }
        let n = read(socket, &mut piece).unwrap();
        assert!(n > 0, "closed without an answer");
        bytes.extend_from_slice(&piece[..n]);
    }
}

/// Asked for its health, it has read all that came before; one that knows no worker says that it is of no use yet.
fn healthy(at: &str) -> u16 {
    let mut socket = TcpStream::connect(at).unwrap();
    socket
        .write_all(&http::encode_request("GET", "/health", &[], b""))
        .unwrap();
    answer(&mut socket).status
}

#[rstest]
fn sigterm_ends_it_in_order_with_an_answer_for_each_held_job() {
    let folder = Folder::new("sigterm");
    let mut edge = Edge::start(&folder, "127.0.0.1:0");
    let mut client = TcpStream::connect(&edge.at).unwrap();
    call(&mut client);
    assert_eq!(healthy(&edge.at), 503, "no list yet");
    edge.signal("TERM");
    let status = answer(&mut client).status;
    assert!(status == 502 || status == 503, "{status}");
    assert_eq!(edge.ends_with(), Some(0));
}

#[rstest]
fn after_sigkill_it_comes_back_on_the_same_port() {
    let folder = Folder::new("sigkill");
    let mut edge = Edge::start(&folder, "127.0.0.1:0");
    let mut client = TcpStream::connect(&edge.at).unwrap();
    call(&mut client);
    assert_eq!(healthy(&edge.at), 503, "no list yet");
    edge.signal("KILL");
    assert_eq!(edge.ends_with(), None);
    std::fs::write(folder.0.join("state"), b"torn").unwrap();
    let again = Edge::start(&folder, &edge.at);
    assert_eq!(healthy(&again.at), 503, "no list yet");
    assert!(
        folder.0.join("state.set-aside").exists(),
        "a foreign state file is set aside"
    );
}

#[rstest]
fn without_free_descriptors_it_waits_and_goes_on_once_there_are_some() {
    let folder = Folder::new("descriptors");
    let mut command = Command::new("sh");
    command.args([
        "-c",
        "ulimit -n 40; exec \"$0\" \"$@\"",
        env!("CARGO_BIN_EXE_sanddrum-edge"),
    ]);
    let edge = Edge::start_by(&folder, "127.0.0.1:0", command);
    let clients: Vec<TcpStream> = (0..60)
        .map(|_| TcpStream::connect(&edge.at).unwrap())
        .collect();
    drop(clients);
    assert_eq!(healthy(&edge.at), 503, "no list yet");
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned() + &String::from_utf8_lossy(&output.stdout)
}

#[rstest]
fn wrong_settings_are_refused_with_their_place() {
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

/// What an operator does with keys, against an edge that runs.
#[rstest]
fn keys_are_made_rotated_and_revoked_while_an_edge_runs() {
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
            &edge.at,
            "--token",
            file,
            "--time-limit",
            "300",
        ]))
    };
    let good = token("obs-brest");
    let answered = call(&good);
    assert!(
        answered.contains("not-in-time") || answered.contains("time-limit"),
        "{answered}"
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
    let until = Instant::now() + Duration::from_secs(20);
    while !call(&good).contains("token-key-revoked") {
        assert!(Instant::now() < until, "the edge never heard of it");
    }
    assert!(text(&run(&["keys", "list", &keys])).contains("a: revoked"));
    use std::os::unix::fs::PermissionsExt;
    std::fs::set_permissions(&secret, std::fs::Permissions::from_mode(0o644)).unwrap();
    let loose = run(&[
        "token",
        "issue",
        "--secret",
        &secret,
        "--customer",
        "obs-brest",
    ]);
    assert!(
        loose.status.code() == Some(1) && text(&loose).contains("chmod 600"),
        "{}",
        text(&loose)
    );
}

/// Clients of a TLS door show certificates; the key of one is denied in service, and a foreign one never gets in.
#[rstest]
fn client_certificates_say_who_calls_until_their_key_is_denied() {
    let folder = Folder::new("certificates");
    let file = |name: &str| folder.0.join(name).to_str().unwrap().to_string();
    let certs = |args: &[&str]| text(&sanddrum(&[&["certs"], args].concat()).output().unwrap());
    certs(&["make", &file("ours"), "localhost", "gw-1"]);
    certs(&["make", &file("theirs"), "gw-1"]);
    std::fs::write(folder.0.join("denied"), "").unwrap();
    let f = |name: &str| format!("{:?}", file(name));
    let door = format!(
        r#"(door (speaks tls) (certificate-file {}) (key-file {}) (certificates required) (roots-file {})
            (denied-file {})) (tls (watch-every 10ms)) (customer "school" (certificates "gw-*"))"#,
        f("ours/localhost.pem"),
        f("ours/localhost.key"),
        f("ours/roots.pem"),
        f("denied")
    );
    std::fs::write(folder.0.join("settings.sx"), format!("{SETTINGS}{door}")).unwrap();
    let edge = Edge::start(&folder, "127.0.0.1:0");
    let call = |whose: &str| {
        let (roots, chain, key) = (
            file("ours/roots.pem"),
            file(&format!("{whose}/gw-1.pem")),
            file(&format!("{whose}/gw-1.key")),
        );
        let args = [
            "call",
            "--edge",
            &edge.at,
            "--name",
            "localhost",
            "--roots",
            &roots,
        ];
        let shown = [
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
            &sanddrum(&[&args[..], &shown[..]].concat())
                .output()
                .unwrap(),
        )
    };
    assert!(
        call("ours").contains("(503)"),
        "taken, and no worker is there: {}",
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
    let until = Instant::now() + Duration::from_secs(10);
    while call("ours").contains("(503)") {
        assert!(Instant::now() < until, "a denied key is believed on");
    }
    certs(&["make", &file("ours"), "gw-1"]);
    assert!(
        call("ours").contains("(503)"),
        "with a new key it is believed again"
    );
}
