//! Opening, prewarming, rejection and retirement of connections to workers.

use rstest::rstest;
use sanddrum::{Micros, Settings, Value, WorkerId};
use sanddrum_upstream::{
    ConnectionEvents, ConnectionPolicy, ConnectionRequest, ConnectionUtilization, Decisions,
    EndpointChange, EstablishedConnection, ListedWorker, OutdatedConnection, Purpose, RejectReason,
    RotationRequest, WorkerConnectionId, WorkerLoad,
};

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// The utilization of a connection that is far from full.
const LOW_UTILIZATION: f64 = 0.1;

/// The decisions of one call, with plain numbers for the ids of connections and workers.
#[derive(Default, Debug)]
struct Recorded {
    opened: Vec<u64>,
    prewarmed: Vec<u64>,
    rejected: Vec<(u64, RejectReason)>,
    retired: Vec<OutdatedConnection>,
    wake_at: Option<Micros>,
}

impl Decisions for Recorded {
    fn open(&mut self, connection: WorkerConnectionId) {
        self.opened.push(connection.0);
    }
    fn prewarm(&mut self, worker: WorkerId) {
        self.prewarmed.push(worker.0);
    }
    fn reject(&mut self, connection: WorkerConnectionId, reason: RejectReason) {
        self.rejected.push((connection.0, reason));
    }
    fn retire(&mut self, connection: OutdatedConnection) {
        self.retired.push(connection);
    }
    fn wake_at(&mut self, at: Micros) {
        self.wake_at = Some(self.wake_at.map_or(at, |earlier| earlier.min(at)));
    }
}

/// The listing of a worker.
fn listed(id: u64, started_at: Micros) -> EndpointChange {
    EndpointChange::Listed(ListedWorker {
        worker: WorkerId(id),
        size: 4.0,
        started_at,
    })
}

/// One edge's policy and its clock.
struct Edge {
    now: Micros,
    policy: ConnectionPolicy,
}

impl Edge {
    fn new(overrides: &[(&str, f64)]) -> Edge {
        Edge::with_seed(1, overrides)
    }
    fn with_seed(seed: u64, overrides: &[(&str, f64)]) -> Edge {
        let mut settings = Settings::default();
        let defaults = [
            ("rules.cold-us", 10e6),
            ("rules.cold-from", 0.2),
            ("limits.left-alone-most-us", 2e6),
        ];
        for (name, value) in defaults.iter().chain(overrides) {
            settings.0.insert(name.to_string(), Value::Number(*value));
        }
        Edge {
            now: 1000 * SECOND,
            policy: ConnectionPolicy::new(seed, &settings),
        }
    }
    fn handle(&mut self, events: &ConnectionEvents) -> Recorded {
        let mut recorded = Recorded::default();
        self.policy.handle(self.now, events, &mut recorded);
        recorded
    }
    /// Lists this many workers, all started at the same time.
    fn list_workers(&mut self, count: u64, started_at: Micros) -> Recorded {
        self.change_endpoints((0..count).map(|id| listed(id, started_at)).collect())
    }
    fn change_endpoints(&mut self, endpoint_changes: Vec<EndpointChange>) -> Recorded {
        self.handle(&ConnectionEvents {
            endpoint_changes,
            ..ConnectionEvents::default()
        })
    }
    fn request(&mut self, connection: u64, worker: u64, purpose: Purpose) -> Recorded {
        self.request_within(5 * SECOND, connection, worker, purpose)
    }
    fn request_within(
        &mut self,
        timeout: Micros,
        connection: u64,
        worker: u64,
        purpose: Purpose,
    ) -> Recorded {
        let request = ConnectionRequest {
            connection: WorkerConnectionId(connection),
            worker: WorkerId(worker),
            purpose,
            deadline: self.now + timeout,
        };
        self.handle(&ConnectionEvents {
            requested: vec![request],
            ..ConnectionEvents::default()
        })
    }
    fn establish(&mut self, connection: u64) -> Recorded {
        let established = EstablishedConnection {
            connection: WorkerConnectionId(connection),
            resumed: false,
        };
        self.handle(&ConnectionEvents {
            established: vec![established],
            ..ConnectionEvents::default()
        })
    }
    fn fail(&mut self, connection: u64) -> Recorded {
        self.handle(&ConnectionEvents {
            failed: vec![WorkerConnectionId(connection)],
            ..ConnectionEvents::default()
        })
    }
    fn close(&mut self, connection: u64) -> Recorded {
        self.handle(&ConnectionEvents {
            closed: vec![WorkerConnectionId(connection)],
            ..ConnectionEvents::default()
        })
    }
    fn utilize(&mut self, worker: u64, utilization: f64) -> Recorded {
        let used = ConnectionUtilization {
            worker: WorkerId(worker),
            utilization,
        };
        self.handle(&ConnectionEvents {
            utilization: vec![used],
            ..ConnectionEvents::default()
        })
    }
    fn report_load(&mut self, worker: u64, requests: f64) -> Recorded {
        let report = WorkerLoad {
            worker: WorkerId(worker),
            requests,
        };
        self.handle(&ConnectionEvents {
            load_reports: vec![report],
            ..ConnectionEvents::default()
        })
    }
    /// Requests rotation of these connections; each is given with its requests in flight.
    fn outdate(&mut self, connections: impl IntoIterator<Item = (u64, usize)>) -> Recorded {
        let requests = connections
            .into_iter()
            .map(|(connection, in_flight)| RotationRequest {
                connection: to_worker(connection),
                in_flight,
            });
        self.handle(&ConnectionEvents {
            outdated: requests.collect(),
            ..ConnectionEvents::default()
        })
    }
}

fn to_worker(connection: u64) -> OutdatedConnection {
    OutdatedConnection::Worker(WorkerConnectionId(connection))
}

#[rstest]
fn handshakes_in_flight_are_limited_and_requests_take_priority() {
    let mut edge = Edge::new(&[("limits.handshakes-out", 2.0)]);
    edge.list_workers(9, 0);
    assert_eq!(edge.request(1, 1, Purpose::Request).opened, [1]);
    assert_eq!(edge.request(2, 2, Purpose::Request).opened, [2]);
    assert!(edge.request(3, 3, Purpose::Control).opened.is_empty());
    assert!(edge.request(4, 4, Purpose::Request).opened.is_empty());
    assert_eq!(
        edge.establish(1).opened,
        [4],
        "the request, although the control connection was requested earlier"
    );
    assert_eq!(edge.close(2).opened, [3]);
}

#[rstest]
fn an_overloaded_worker_has_one_handshake_at_a_time() {
    let mut edge = Edge::new(&[]);
    edge.list_workers(2, 0);
    edge.report_load(0, 9.0);
    assert_eq!(edge.request(1, 0, Purpose::Request).opened, [1]);
    assert!(edge.request(2, 0, Purpose::Request).opened.is_empty());
    assert_eq!(edge.request(3, 1, Purpose::Request).opened, [3]);
    assert_eq!(edge.request(4, 1, Purpose::Request).opened, [4]);
    assert_eq!(edge.establish(1).opened, [2]);
}

#[rstest]
fn backoff_grows_with_each_failure_and_lasts_at_least_as_long_as_the_attempt() {
    let mut edge = Edge::new(&[]);
    edge.list_workers(2, 0);
    let mut waits = Vec::new();
    for n in 0..4 {
        assert_eq!(edge.request(n, 0, Purpose::Request).opened, [n]);
        edge.fail(n);
        let failed_at = edge.now;
        while edge.request(100 + n, 0, Purpose::Request).rejected
            == [(100 + n, RejectReason::BackingOff)]
        {
            edge.now += 10 * MILLISECOND;
        }
        waits.push(edge.now - failed_at);
        // The request that ended the wait started a handshake: it is cancelled here.
        edge.close(100 + n);
    }
    assert!(
        waits[3] > 2 * waits[0] && waits[3] <= 820 * MILLISECOND,
        "{waits:?}"
    );
    assert_eq!(edge.request(50, 1, Purpose::Request).opened, [50]);
    edge.now += SECOND;
    edge.fail(50);
    edge.now += 400 * MILLISECOND;
    assert_eq!(
        edge.request(51, 1, Purpose::Request).rejected,
        [(51, RejectReason::BackingOff)],
        "it took a second to fail"
    );
}

#[rstest]
fn a_restarted_worker_does_not_inherit_the_backoff() {
    let mut edge = Edge::new(&[]);
    edge.list_workers(1, 0);
    edge.request(1, 0, Purpose::Request);
    edge.fail(1);
    assert_eq!(
        edge.request(2, 0, Purpose::Request).rejected,
        [(2, RejectReason::BackingOff)]
    );
    edge.list_workers(1, edge.now);
    assert_eq!(edge.request(3, 0, Purpose::Request).opened, [3]);
}

#[rstest]
fn retries_to_all_unreachable_workers_share_one_budget() {
    let mut edge = Edge::new(&[
        ("limits.connect-again", 5.0),
        ("limits.handshakes-out", 1000.0),
    ]);
    edge.list_workers(100, 0);
    for n in 0..100 {
        edge.request(n, n, Purpose::Request);
        edge.fail(n);
    }
    let (mut retries, mut connection) = (0, 1000);
    for _ in 0..100 {
        edge.now += 100 * MILLISECOND;
        for worker in 0..100 {
            connection += 1;
            let decisions = edge.request(connection, worker, Purpose::Request);
            retries += decisions.opened.len();
            if !decisions.opened.is_empty() {
                edge.fail(connection);
            }
        }
    }
    assert!(
        (45..=60).contains(&retries),
        "{retries} retries in ten seconds"
    );
}

/// A zone has restarted, and every edge connects to each of its workers at the same instant.
#[rstest]
fn edges_that_do_not_communicate_limit_handshakes_to_a_warming_worker(
    #[values(40, 150, 300)] edges: u64,
) {
    let restarted_at: Micros = 1000 * SECOND;
    let overrides = [
        ("routers", edges as f64),
        ("limits.connect-time-out-us", 2e6),
    ];
    let mut all_edges: Vec<Edge> = (0..edges).map(|n| Edge::with_seed(n, &overrides)).collect();
    let mut opened_after: Vec<Micros> = Vec::new();
    for edge in &mut all_edges {
        edge.now = restarted_at;
        edge.list_workers(1, restarted_at);
        // Prewarmed connections are never rejected for having to wait.
        let mut decisions = edge.request(1, 0, Purpose::Prewarm);
        while decisions.opened.is_empty() {
            edge.now = decisions.wake_at.unwrap();
            decisions = edge.handle(&ConnectionEvents::default());
        }
        opened_after.push(edge.now - restarted_at);
    }
    // The initial estimate for a handshake is 4 ms. A worker of size 4 at a fifth of its capacity does 800 ms of work
    // a second, a quarter of which goes to handshakes: 50 a second.
    opened_after.sort_unstable();
    let busiest_second = opened_after
        .iter()
        .map(|from| {
            opened_after
                .iter()
                .filter(|at| (*from..from + SECOND).contains(*at))
                .count()
        })
        .max();
    assert!(busiest_second.unwrap() <= 75, "{busiest_second:?}");
    assert!(*opened_after.last().unwrap() <= edges as Micros * SECOND / 50);
}

#[rstest]
fn a_request_that_cannot_wait_for_a_warming_worker_is_rejected() {
    let mut edge = Edge::new(&[("routers", 3000.0), ("limits.connect-time-out-us", 2e6)]);
    edge.list_workers(1, edge.now);
    let decisions = edge.request(1, 0, Purpose::Request);
    assert_eq!(decisions.rejected, [(1, RejectReason::HandshakeBudget)]);
}

#[rstest]
fn the_most_used_workers_and_those_with_nearly_full_connections_are_prewarmed() {
    let mut edge = Edge::new(&[("limits.connections-ahead", 2.0)]);
    edge.list_workers(5, 0);
    for (worker, times) in [(1, 3), (2, 1), (3, 2)] {
        for _ in 0..times {
            edge.utilize(worker, LOW_UTILIZATION);
        }
    }
    assert_eq!(edge.list_workers(5, 0).prewarmed, [1, 3]);
    edge.request(7, 1, Purpose::Prewarm);
    edge.establish(7);
    assert_eq!(
        edge.close(7).prewarmed,
        [1, 3],
        "its prewarmed connection is missing again"
    );
    assert_eq!(edge.utilize(2, 0.8).prewarmed, [2]);
    edge.now += 100 * SECOND;
    assert!(
        edge.list_workers(5, 0).prewarmed.is_empty(),
        "no worker was used recently"
    );
}

#[rstest]
fn outdated_connections_are_retired_in_batches_and_idle_ones_first() {
    let mut edge = Edge::new(&[
        ("limits.retire-at-once", 2.0),
        ("limits.retire-within-us", 10e6),
    ]);
    edge.list_workers(8, 0);
    for n in 0..8 {
        edge.request(n, n, Purpose::Request);
        edge.establish(n);
    }
    let mut retired = vec![];
    let mut decisions = edge.outdate((0..8).map(|n| (n, if n < 6 { 1 } else { 0 })));
    let scheduled_at = edge.now;
    loop {
        let retired_now = decisions.retired.iter();
        retired.extend(retired_now.map(|connection| (edge.now - scheduled_at, *connection)));
        let Some(at) = decisions.wake_at else { break };
        edge.now = at;
        decisions = edge.handle(&ConnectionEvents::default());
    }
    assert_eq!(retired.len(), 8);
    assert_eq!(
        retired[..2]
            .iter()
            .map(|(_, connection)| *connection)
            .collect::<Vec<_>>(),
        [to_worker(6), to_worker(7)]
    );
    assert!(retired.last().unwrap().0 <= 10 * SECOND && retired[2].0 > SECOND);
    for (at, _) in &retired {
        assert!(retired.iter().filter(|(other, _)| other == at).count() <= 2);
    }
}

#[rstest]
fn a_connection_in_use_is_retired_after_its_successor_is_established_and_a_revoked_one_at_once() {
    let mut edge = Edge::new(&[]);
    edge.list_workers(2, 0);
    for n in 0..2 {
        edge.request(n, n, Purpose::Request);
        edge.establish(n);
        edge.utilize(n, LOW_UTILIZATION);
    }
    let decisions = edge.outdate([(0, 1)]);
    assert_eq!((decisions.prewarmed, decisions.retired.len()), (vec![0], 0));
    edge.request(10, 0, Purpose::Prewarm);
    assert_eq!(edge.establish(10).retired, [to_worker(0)]);
    let decisions = edge.handle(&ConnectionEvents {
        revoked: vec![to_worker(1)],
        ..ConnectionEvents::default()
    });
    assert_eq!(decisions.retired, [to_worker(1)]);
    assert_eq!(decisions.prewarmed, []);
}

/// Handshakes queue at a warm worker, so that one takes far longer than usual or times out. Every edge then keeps an
/// interval between its handshakes there until the queue is gone.
#[rstest]
#[case::slow(false)]
#[case::timed_out(true)]
fn handshakes_are_throttled_where_they_queue(#[case] times_out: bool) {
    let mut edge = Edge::new(&[
        ("routers", 300.0),
        ("limits.left-alone-most-us", 1e5),
        ("limits.left-alone-least-us", 1e5),
    ]);
    edge.list_workers(2, 0);
    for n in 0..40 {
        assert_eq!(
            edge.request(n, 1, Purpose::Request).opened,
            [n],
            "handshakes of the usual duration are not throttled"
        );
        edge.now += MILLISECOND;
        edge.establish(n);
    }
    edge.request(100, 0, Purpose::Request);
    edge.now += SECOND;
    if times_out {
        edge.fail(100)
    } else {
        edge.establish(100)
    };
    // This edge requests one every 10 ms for ten seconds; with 300 edges each one may start only a few.
    let mut opened = 0;
    for n in 0..1000 {
        edge.now += 10 * MILLISECOND;
        let decisions = edge.request(1000 + n, 0, Purpose::Request);
        opened += decisions.opened.len();
        for connection in decisions.opened {
            edge.now += 5 * MILLISECOND;
            edge.establish(connection);
        }
    }
    assert!((1..200).contains(&opened), "{opened}");
    assert_eq!(
        edge.request(5000, 1, Purpose::Request).opened,
        [5000],
        "the other worker is not throttled"
    );
}

#[rstest]
fn a_request_for_an_unlisted_worker_is_rejected_at_once() {
    let mut edge = Edge::new(&[]);
    assert_eq!(
        edge.request(1, 9, Purpose::Request).rejected,
        [(1, RejectReason::BackingOff)]
    );
}

#[rstest]
fn a_timed_out_handshake_causes_no_overflow_if_the_handshake_fraction_is_zero() {
    let mut edge = Edge::new(&[("limits.handshake-part", 0.0)]);
    edge.list_workers(1, 0);
    let first = edge.request_within(SECOND, 1, 0, Purpose::Request);
    assert_eq!(first.opened, [1]);
    edge.now += SECOND;
    edge.fail(1);
    edge.now += SECOND;
    let second = edge.request_within(SECOND, 2, 0, Purpose::Request);
    assert_eq!(second.opened, [2]);
}

/// Guards against a worker that is never connected to again: its removal was applied after its new listing if both were
/// notified at once, and each request for a connection was rejected as backing off.
#[rstest]
#[case::gone_and_back(vec![EndpointChange::Removed(WorkerId(0)), listed(0, 5)], true)]
#[case::back_and_gone(vec![listed(0, 5), EndpointChange::Removed(WorkerId(0))], false)]
fn changes_of_the_endpoint_list_apply_in_their_order(
    #[case] changes: Vec<EndpointChange>,
    #[case] is_listed: bool,
) {
    let mut edge = Edge::new(&[]);
    edge.list_workers(1, 0);
    edge.change_endpoints(changes);
    let recorded = edge.request(1, 0, Purpose::Request);
    assert_eq!(recorded.opened == [1], is_listed);
    let rejected = [(1, RejectReason::BackingOff)];
    assert_eq!(recorded.rejected == rejected, !is_listed);
}
