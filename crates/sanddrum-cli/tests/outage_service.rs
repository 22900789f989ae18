//! Long discovery outages (review, case 7): what routers with much and with little traffic send to a server that drains in
//! the outage, and the share of their requests that is served. Run with `--nocapture` to see the shares.

mod outage;
mod router_harness;

use outage::{
    encode_single_lane_request, settings, Discovery, FeedState, ModelServer, GRACE,
    MAX_NOTIFICATION_DELAY, SOCKET_TOLERANCE,
};
use router_harness::{member, Router, WebServer};
use rstest::rstest;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 4;
const FUNCTIONS: u64 = 4;
/// How long the routers have traffic before the outage.
const WARM_UP: Duration = Duration::from_secs(2);
/// When one server begins to drain, from the beginning of the outage.
const DRAIN_AFTER: Duration = Duration::from_millis(3_500);
/// How long traffic goes on after the outage.
const AFTER_OUTAGE: Duration = Duration::from_secs(5);
/// How soon requests must be served again after the outage.
const MAX_RECOVERY: Duration = Duration::from_millis(1_500);
/// How soon a request that is not served must be answered.
const IMMEDIATELY: Duration = Duration::from_millis(100);

/// The id of the next call; each call has its own.
static NEXT_CALL: AtomicU64 = AtomicU64::new(1);

/// The traffic of all routers.
#[derive(Clone)]
struct Traffic {
    routers: u32,
    /// The time between two requests at one router.
    interval: Duration,
    /// No request is sent in this time of the outage, in seconds.
    pause: Range<u64>,
}

impl Traffic {
    fn has_pause_at(&self, since_outage: Duration) -> bool {
        self.pause.contains(&since_outage.as_secs())
    }
}

/// A request that was answered.
struct Answered {
    sent_at: Instant,
    is_served: bool,
    took: Duration,
}

/// The outcome of one outage.
struct OutageReport {
    /// The requests sent during the outage.
    during: Vec<Answered>,
    /// The requests sent after it.
    after: Vec<Answered>,
    outage_end: Instant,
    /// Requests and load commands at the draining server once its drain counts as notified.
    late_sends: usize,
}

impl OutageReport {
    fn served_share(&self) -> f64 {
        let served = self.during.iter().filter(|request| request.is_served);
        served.count() as f64 / self.during.len() as f64
    }

    /// The longest time until a request that is not served was answered.
    fn slowest_refusal(&self) -> Duration {
        let refused = self.during.iter().filter(|request| !request.is_served);
        refused
            .map(|request| request.took)
            .max()
            .unwrap_or_default()
    }

    fn is_served_again_within(&self, limit: Duration) -> bool {
        let later = self
            .after
            .iter()
            .filter(|request| request.sent_at >= self.outage_end + limit);
        later.clone().count() > 0 && later.clone().all(|request| request.is_served)
    }
}

fn call(address: &str) -> Answered {
    let number = NEXT_CALL.fetch_add(1, Ordering::Relaxed);
    let function = format!("{:016x}", number % FUNCTIONS);
    let sent_at = Instant::now();
    let mut web = WebServer::connect(address);
    web.send(&encode_single_lane_request(number, &function));
    let response = web.response().unwrap();
    Answered {
        sent_at,
        is_served: response.status() == "200",
        took: sent_at.elapsed(),
    }
}

/// Sends requests to one router, one after the other, from the start until the end of the test.
fn call_regularly(
    address: &str,
    traffic: &Traffic,
    offset: Duration,
    outage: Range<Instant>,
) -> Vec<Answered> {
    let mut answered = Vec::new();
    thread::sleep(offset);
    while Instant::now() < outage.end + AFTER_OUTAGE {
        let since_outage = Instant::now().saturating_duration_since(outage.start);
        if !traffic.has_pause_at(since_outage) {
            answered.push(call(address));
        }
        thread::sleep(traffic.interval);
    }
    answered
}

/// Plays an outage in which one server begins to drain.
fn play(name: &str, traffic: &Traffic, state: FeedState, duration: Duration) -> OutageReport {
    let servers: Vec<Arc<ModelServer>> = (0..SERVERS).map(|_| ModelServer::start()).collect();
    let discovery = Discovery::start();
    let settings = settings(&discovery.address, &servers);
    let routers: Vec<Router> = (0..traffic.routers)
        .map(|n| Router::start_with(&format!("service-{name}-{n}"), &settings, None))
        .collect();
    let outage_start = Instant::now() + WARM_UP;
    let outage_end = outage_start + duration;
    let clients: Vec<_> = routers
        .iter()
        .zip(0..)
        .map(|(router, n)| {
            let address = router.address.clone();
            let traffic = traffic.clone();
            let offset = traffic.interval * n / traffic.routers;
            let outage = outage_start..outage_end;
            thread::spawn(move || call_regularly(&address, &traffic, offset, outage))
        })
        .collect();
    sleep_until(outage_start);
    discovery.set_state(state);
    sleep_until(outage_start + DRAIN_AFTER);
    let draining = busiest(&servers);
    servers[draining].set_draining(true);
    let drained_at = Instant::now();
    let address = &servers[draining].address;
    discovery.publish(&member(&format!("s{draining}"), address, "terminating"));
    sleep_until(outage_end);
    discovery.set_state(FeedState::Available);
    let all: Vec<Answered> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    let notified_at = drained_at + MAX_NOTIFICATION_DELAY + GRACE + SOCKET_TOLERANCE;
    let in_outage = all
        .into_iter()
        .filter(|request| request.sent_at >= outage_start);
    let (during, after) = in_outage.partition(|request| request.sent_at < outage_end);
    OutageReport {
        during,
        after,
        outage_end,
        late_sends: servers[draining].sends_since(notified_at),
    }
}

/// The server that received the most requests and load commands.
fn busiest(servers: &[Arc<ModelServer>]) -> usize {
    let started = Instant::now() - WARM_UP - DRAIN_AFTER;
    let sends = |server: &usize| servers[*server].sends_since(started);
    (0..servers.len()).max_by_key(sends).unwrap()
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

const STEADY: Duration = Duration::from_millis(25);

/// The least share is half of what a policy serves that knows the workers' state; none where a pause outlasts all evidence
/// that a server is ready.
#[rstest]
#[case::steady_traffic("steady", 1, STEADY, 0..0, 0.5)]
#[case::little_traffic_at_many_routers("many", 24, Duration::from_secs(1), 0..0, 0.5)]
#[case::one_request_in_three_seconds("sparse", 1, Duration::from_secs(3), 0..0, 0.5)]
#[case::a_pause_until_no_server_is_known_to_be_ready("pause", 1, STEADY, 3..12, 0.0)]
#[case::a_short_pause("short-pause", 1, STEADY, 3..7, 0.5)]
fn a_server_that_drains_in_a_long_outage_is_left_alone_and_the_others_are_used(
    #[case] name: &str,
    #[case] routers: u32,
    #[case] interval: Duration,
    #[case] pause: Range<u64>,
    #[case] least_share: f64,
    #[values(
        (FeedState::Refusing, 15),
        (FeedState::Silent, 15),
        (FeedState::Refusing, 30)
    )]
    outage: (FeedState, u64),
) {
    let traffic = Traffic {
        routers,
        interval,
        pause,
    };
    let (state, seconds) = outage;
    let label = format!("{name}-{state:?}-{seconds}");
    let report = play(&label, &traffic, state, Duration::from_secs(seconds));
    println!(
        "{label}: {:.3} of {} requests served in the outage, {} late sends, slowest refusal {:?}",
        report.served_share(),
        report.during.len(),
        report.late_sends,
        report.slowest_refusal()
    );
    assert_eq!(report.late_sends, 0);
    assert!(report.served_share() >= least_share);
    assert!(report.slowest_refusal() < IMMEDIATELY);
    assert!(report.is_served_again_within(MAX_RECOVERY));
}

/// Review, case 8: a feed that answers, but late, tells routers of a drain however long their traffic pauses.
#[rstest]
fn a_feed_whose_answers_come_late_is_heard() {
    let traffic = Traffic {
        routers: 1,
        interval: STEADY,
        pause: 3..12,
    };
    let report = play("late", &traffic, FeedState::Late, Duration::from_secs(15));
    println!(
        "late: {:.3} of {} requests served, {} late sends",
        report.served_share(),
        report.during.len(),
        report.late_sends
    );
    assert_eq!(report.late_sends, 0);
    assert!(report.served_share() > 0.95);
}
