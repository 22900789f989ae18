//! Regression tests for incident 624c95: the discovery service is unavailable for longer than the platform's time
//! limits while a busy model server starts to drain. The router runs as a process with several kinds of outages,
//! signals and clock steps. After the maximum notification delay and the grace period, the router must send nothing
//! new to that server and keep using the others.

mod outage;
mod router_harness;

use outage::{
    encode_single_lane_request, settings, Discovery, FeedState, ModelServer, GRACE,
    MAX_NOTIFICATION_DELAY, SOCKET_TOLERANCE,
};
use router_harness::*;
use rstest::rstest;
use sanddrum_lab::faults::FaultControl;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long the router is observed after the maximum notification delay and the grace period.
const OBSERVATION: Duration = Duration::from_secs(2);
const SERVERS: usize = 3;
/// Number of functions. Each server has one instance of each, which runs one request at a time.
const FUNCTIONS: u64 = 4;
/// Number of concurrent clients. With one server draining, requests occasionally queue at the remaining servers.
const CLIENTS: u64 = 12;

/// The ID of the next call; each call has its own.
static NEXT_CALL: AtomicU64 = AtomicU64::new(1);

/// What goes wrong while the server drains.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Outage(FeedState),
    /// A new configuration moves discovery to an address on which nothing listens.
    MovedToClosedPort,
    /// The feed refuses connections, and the wall clock steps.
    ClockStep(i64),
    /// The feed refuses connections, and the router's process is stopped for a while.
    Stopped(Duration),
}

/// A router with its model servers, its control feed and fault injection.
struct TestSetup {
    servers: Vec<Arc<ModelServer>>,
    discovery: Arc<Discovery>,
    router: Router,
    faults: FaultControl,
}

impl TestSetup {
    fn start(name: &str) -> TestSetup {
        let servers: Vec<_> = (0..SERVERS).map(|_| ModelServer::start()).collect();
        let discovery = Discovery::start();
        let faults = FaultControl::create(
            &std::env::temp_dir().join(format!("sanddrum-outage-{name}-{}", std::process::id())),
        )
        .unwrap();
        let settings = settings(&discovery.address, &servers);
        let router = Router::start_with(name, &settings, Some(&faults));
        TestSetup {
            servers,
            discovery,
            router,
            faults,
        }
    }

    fn begin(&self, fault: Fault) {
        match fault {
            Fault::Outage(state) => self.discovery.set_state(state),
            Fault::MovedToClosedPort => {
                let (closed, address) = listener();
                drop(closed);
                let moved = settings(&address, &self.servers).to_string();
                std::fs::write(&self.router.file, moved).unwrap();
                self.router.signal("HUP");
                self.discovery.set_state(FeedState::Refusing);
            }
            Fault::ClockStep(by) => {
                self.discovery.set_state(FeedState::Refusing);
                self.faults.step_wall_clock(by).unwrap();
            }
            Fault::Stopped(span) => {
                self.discovery.set_state(FeedState::Refusing);
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
            .publish(&member(&format!("s{server}"), address, phase));
    }

    /// The server that received the most requests and load commands since this instant. The router chooses which
    /// servers it uses, so a fixed one might be idle.
    fn busiest_server(&self, since: Instant) -> usize {
        let sends = |server: &usize| self.servers[*server].sends_since(since);
        let busiest = (0..SERVERS).max_by_key(sends).unwrap();
        assert!(
            sends(&busiest) > 0,
            "no server received a request, so none is busy enough to drain"
        );
        busiest
    }

    /// Has all clients call the functions until then, each client one request at a time. Returns the numbers of
    /// requests served and not served.
    fn call_until(&self, until: Instant) -> (usize, usize) {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let address = self.router.address.clone();
                thread::spawn(move || call_sequentially(&address, client, until))
            })
            .collect();
        let results = clients.into_iter().map(|client| client.join().unwrap());
        results.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }
}

fn call_sequentially(address: &str, client: u64, until: Instant) -> (usize, usize) {
    let mut web = WebServer::connect(address);
    let function = format!("{:016x}", client % FUNCTIONS);
    let (mut served, mut not_served) = (0, 0);
    while Instant::now() < until {
        let call = NEXT_CALL.fetch_add(1, Ordering::Relaxed);
        web.send(&encode_single_lane_request(call, &function));
        match web.response().unwrap().status() {
            "200" => served += 1,
            _ => not_served += 1,
        }
    }
    (served, not_served)
}

/// The result of one outage: requests and load commands sent to the draining server after the grace period, and
/// requests served and not served since.
struct OutageResult {
    fault: Fault,
    late_sends: usize,
    served: usize,
    not_served: usize,
}

impl OutageResult {
    fn is_correct(&self) -> bool {
        self.late_sends == 0 && self.served > 100 && self.served > 20 * self.not_served
    }
}

impl fmt::Display for OutageResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?}: {} sends to the draining server after the grace period, {} requests served since, {} not",
            self.fault, self.late_sends, self.served, self.not_served
        )
    }
}

fn drain_during(name: &str, fault: Fault) -> OutageResult {
    let setup = TestSetup::start(name);
    let started = Instant::now();
    setup.call_until(started + Duration::from_secs(1));
    let draining = setup.busiest_server(started);
    let outage_start = Instant::now();
    setup.begin(fault);
    setup.set_phase(draining, "terminating");
    let counted_from = outage_start + MAX_NOTIFICATION_DELAY + GRACE + SOCKET_TOLERANCE;
    setup.call_until(counted_from);
    let (served, not_served) = setup.call_until(counted_from + OBSERVATION);
    OutageResult {
        fault,
        late_sends: setup.servers[draining].sends_since(counted_from),
        served,
        not_served,
    }
}

#[rstest]
fn a_server_that_drains_during_a_discovery_outage_is_sent_nothing_new() {
    let faults = [
        ("refused", Fault::Outage(FeedState::Refusing)),
        ("silent", Fault::Outage(FeedState::Silent)),
        ("cut", Fault::Outage(FeedState::Truncating)),
        ("moved", Fault::MovedToClosedPort),
        ("back", Fault::ClockStep(-3_600_000_000)),
        ("ahead", Fault::ClockStep(3_600_000_000)),
        ("stopped", Fault::Stopped(Duration::from_secs(3))),
    ];
    let threads = faults.map(|(name, fault)| thread::spawn(move || drain_during(name, fault)));
    let results = threads.map(|thread| thread.join().unwrap());
    let all_correct = results.iter().all(OutageResult::is_correct);
    let summaries: Vec<String> = results.iter().map(OutageResult::to_string).collect();
    assert!(all_correct, "{}", summaries.join("\n"));
}

#[rstest]
fn a_server_back_in_service_after_an_outage_is_used_again() {
    let setup = TestSetup::start("back-again");
    let started = Instant::now();
    setup.call_until(started + Duration::from_millis(500));
    let draining = setup.busiest_server(started);
    setup.begin(Fault::Outage(FeedState::Refusing));
    setup.set_phase(draining, "terminating");
    setup.call_until(Instant::now() + Duration::from_secs(4));
    setup.set_phase(draining, "in_service");
    setup.discovery.set_state(FeedState::Available);
    let outage_end = Instant::now();
    wait_until(|| {
        setup.call_until(Instant::now() + Duration::from_millis(100));
        setup.servers[draining].sends_since(outage_end) > 3
    });
}

#[rstest]
fn the_start_and_the_end_of_an_outage_are_logged() {
    let setup = TestSetup::start("logged");
    setup.begin(Fault::Outage(FeedState::Refusing));
    wait_until(|| setup.router.logged_so_far().contains("\"list-stale\""));
    setup.discovery.set_state(FeedState::Available);
    wait_until(|| setup.router.logged_so_far().contains("\"list-current\""));
}
