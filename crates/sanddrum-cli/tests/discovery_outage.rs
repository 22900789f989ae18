//! Discovery is out of reach for longer than the platform's clocks, and a busy model server drains meanwhile (incident
//! 624c95). A router as a process, with outages of several kinds, signals and clock steps: after the time at which the drain
//! counts as told, and the grace, nothing new may come to that server, and the others go on being used.

mod outage;
mod steered;

use outage::{Discovery, ModelServer, Reach};
use rstest::rstest;
use sanddrum_fastcgi::{encode_params, write_begin_request, write_stream, RecordType};
use sanddrum_lab::faults::FaultControl;
use serde_json::{json, Value};
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use steered::*;

/// What discovery would have told counts as told this long after its outage began, at the latest.
const NOTIFIED_AFTER: Duration = Duration::from_secs(7);
const GRACE: Duration = Duration::from_millis(250);
/// Time limits of the rules are so much longer on sockets.
const ON_SOCKETS: Duration = Duration::from_millis(50);
/// So long after that the router is watched.
const WATCHED: Duration = Duration::from_secs(2);
const SERVERS: usize = 3;
/// Functions that are called. Each server has an instance of each, which runs one request at a time.
const FUNCTIONS: u64 = 4;
/// Clients that call at a time: the servers that are left when one drains have a queue now and then.
const CLIENTS: u64 = 12;

/// The number of the next call; no two calls have one.
static NEXT_CALL: AtomicU64 = AtomicU64::new(1);

/// What happens beside the drain.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Outage(Reach),
    /// A new configuration moves discovery to where nobody listens.
    MovedToNowhere,
    /// The connection is refused, and the wall clock steps.
    ClockStep(i64),
    /// The connection is refused, and the process is stopped for a while.
    Stopped(Duration),
}

struct Scene {
    servers: Vec<Arc<ModelServer>>,
    discovery: Arc<Discovery>,
    router: Router,
    faults: FaultControl,
}

fn settings(discovery: &str, servers: &[Arc<ModelServer>]) -> Value {
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

impl Scene {
    fn start(name: &str) -> Scene {
        let servers: Vec<_> = (0..SERVERS).map(|_| ModelServer::start()).collect();
        let discovery = Discovery::start();
        let faults = FaultControl::create(
            &std::env::temp_dir().join(format!("sanddrum-outage-{name}-{}", std::process::id())),
        )
        .unwrap();
        let settings = settings(&discovery.address, &servers);
        let router = Router::start_with(name, &settings, Some(&faults));
        Scene {
            servers,
            discovery,
            router,
            faults,
        }
    }

    fn begin(&self, fault: Fault) {
        match fault {
            Fault::Outage(reach) => self.discovery.set_reach(reach),
            Fault::MovedToNowhere => {
                let (nowhere, address) = listener();
                drop(nowhere);
                let moved = settings(&address, &self.servers).to_string();
                std::fs::write(&self.router.file, moved).unwrap();
                self.router.signal("HUP");
                self.discovery.set_reach(Reach::Refusing);
            }
            Fault::ClockStep(by) => {
                self.discovery.set_reach(Reach::Refusing);
                self.faults.step_wall_clock(by).unwrap();
            }
            Fault::Stopped(span) => {
                self.discovery.set_reach(Reach::Refusing);
                self.router.stall();
                thread::sleep(span);
                self.router.resume();
            }
        }
    }

    fn set_phase(&self, server: usize, phase: &str) {
        self.servers[server].set_draining(phase != "in_service");
        let address = &self.servers[server].address;
        self.discovery
            .tell(&member(&format!("s{server}"), address, phase));
    }

    /// The server that got the most since this instant. Which servers a router uses is its choice.
    fn busiest_server(&self, since: Instant) -> usize {
        let sends = |server: &usize| self.servers[*server].sends_since(since);
        let busiest = (0..SERVERS).max_by_key(sends).unwrap();
        assert!(sends(&busiest) > 0, "the server that drains is a busy one");
        busiest
    }

    /// Clients call the functions until then, each one after the other. Tells how many requests were served, and how many
    /// were not.
    fn call_until(&self, until: Instant) -> (usize, usize) {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let at = self.router.at.clone();
                thread::spawn(move || call_in_turn(&at, client, until))
            })
            .collect();
        let results = clients.into_iter().map(|client| client.join().unwrap());
        results.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }
}

fn call_in_turn(at: &str, client: u64, until: Instant) -> (usize, usize) {
    let mut web = Web::connects(at);
    let function = format!("{:016x}", client % FUNCTIONS);
    let (mut served, mut not_served) = (0, 0);
    while Instant::now() < until {
        let call = NEXT_CALL.fetch_add(1, Ordering::Relaxed);
        web.says(&one_at_a_time(call, &function));
        match web.answer().unwrap().status() {
            "200" => served += 1,
            _ => not_served += 1,
        }
    }
    (served, not_served)
}

/// A request for a function whose instances run one at a time.
fn one_at_a_time(call: u64, function: &str) -> Vec<u8> {
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

/// What came of one outage: sends to the draining server after the grace, and requests served and not served since.
struct Watched {
    fault: Fault,
    late_sends: usize,
    served: usize,
    not_served: usize,
}

impl Watched {
    fn is_good(&self) -> bool {
        self.late_sends == 0 && self.served > 100 && self.served > 20 * self.not_served
    }
}

impl fmt::Display for Watched {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?}: {} sends to the draining server after the grace, {} requests served since, {} not",
            self.fault, self.late_sends, self.served, self.not_served
        )
    }
}

fn watch(name: &str, fault: Fault) -> Watched {
    let scene = Scene::start(name);
    let begun = Instant::now();
    scene.call_until(begun + Duration::from_secs(1));
    let drained = scene.busiest_server(begun);
    let outage_began = Instant::now();
    scene.begin(fault);
    scene.set_phase(drained, "terminating");
    let counted_from = outage_began + NOTIFIED_AFTER + GRACE + ON_SOCKETS;
    scene.call_until(counted_from);
    let (served, not_served) = scene.call_until(counted_from + WATCHED);
    Watched {
        fault,
        late_sends: scene.servers[drained].sends_since(counted_from),
        served,
        not_served,
    }
}

#[rstest]
fn a_server_that_drains_while_discovery_is_away_gets_nothing_new() {
    let faults = [
        ("refused", Fault::Outage(Reach::Refusing)),
        ("silent", Fault::Outage(Reach::Silent)),
        ("cut", Fault::Outage(Reach::Cutting)),
        ("moved", Fault::MovedToNowhere),
        ("back", Fault::ClockStep(-3_600_000_000)),
        ("ahead", Fault::ClockStep(3_600_000_000)),
        ("stopped", Fault::Stopped(Duration::from_secs(3))),
    ];
    let watches = faults.map(|(name, fault)| thread::spawn(move || watch(name, fault)));
    let results = watches.map(|watch| watch.join().unwrap());
    let all_good = results.iter().all(Watched::is_good);
    let told: Vec<String> = results.iter().map(Watched::to_string).collect();
    assert!(all_good, "{}", told.join("\n"));
}

#[rstest]
fn a_server_that_is_back_after_the_outage_is_used_again() {
    let scene = Scene::start("back-again");
    let begun = Instant::now();
    scene.call_until(begun + Duration::from_millis(500));
    let drained = scene.busiest_server(begun);
    scene.begin(Fault::Outage(Reach::Refusing));
    scene.set_phase(drained, "terminating");
    scene.call_until(Instant::now() + Duration::from_secs(4));
    scene.set_phase(drained, "in_service");
    scene.discovery.set_reach(Reach::Well);
    let back = Instant::now();
    until(|| {
        scene.call_until(Instant::now() + Duration::from_millis(100));
        scene.servers[drained].sends_since(back) > 3
    });
}

#[rstest]
fn an_outage_is_logged_with_its_reason_and_its_end() {
    let scene = Scene::start("logged");
    scene.begin(Fault::Outage(Reach::Refusing));
    until(|| scene.router.said_so_far().contains("\"list-stale\""));
    scene.discovery.set_reach(Reach::Well);
    until(|| scene.router.said_so_far().contains("\"list-current\""));
}
