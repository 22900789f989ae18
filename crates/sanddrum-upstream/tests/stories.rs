//! ConnectionPolicy to workers, decided on.

use rstest::rstest;
use sanddrum::{Micros, Settings, Value, WorkerId};
use sanddrum_upstream::*;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

#[derive(Default, Debug)]
struct Seen {
    opened: Vec<u64>,
    ahead: Vec<u64>,
    given_up: Vec<(u64, RejectReason)>,
    retired: Vec<OutdatedConnection>,
    wake: Option<Micros>,
}

impl Decisions for Seen {
    fn open(&mut self, link: WorkerConnectionId) {
        self.opened.push(link.0);
    }
    fn prewarm(&mut self, worker: WorkerId) {
        self.ahead.push(worker.0);
    }
    fn reject(&mut self, link: WorkerConnectionId, why: RejectReason) {
        self.given_up.push((link.0, why));
    }
    fn retire(&mut self, old: OutdatedConnection) {
        self.retired.push(old);
    }
    fn wake_at(&mut self, at: Micros) {
        self.wake = Some(self.wake.map_or(at, |set| set.min(at)));
    }
}

struct Story {
    now: Micros,
    connections: ConnectionPolicy,
}

impl Story {
    fn new(set: &[(&str, f64)]) -> Story {
        Story::of_edge(1, set)
    }
    fn of_edge(seed: u64, set: &[(&str, f64)]) -> Story {
        let mut settings = Settings::default();
        let usual = [
            ("rules.cold-us", 10e6),
            ("rules.cold-from", 0.2),
            ("limits.left-alone-most-us", 2e6),
        ];
        for (name, value) in usual.iter().chain(set) {
            settings.0.insert(name.to_string(), Value::Number(*value));
        }
        Story {
            now: 1000 * S,
            connections: ConnectionPolicy::new(seed, &settings),
        }
    }
    fn hears(&mut self, news: &ConnectionEvents) -> Seen {
        let mut seen = Seen::default();
        self.connections.handle(self.now, news, &mut seen);
        seen
    }
    fn lists(&mut self, workers: u64, started: Micros) -> Seen {
        let listed = |n| ListedWorker {
            worker: WorkerId(n),
            size: 4.0,
            started_at: started,
            is_ready: true,
        };
        self.hears(&ConnectionEvents {
            listed_workers: (0..workers).map(listed).collect(),
            ..ConnectionEvents::default()
        })
    }
    fn wants(&mut self, link: u64, worker: u64, need: Purpose) -> Seen {
        let due = self.now + 5 * S;
        let wanted = ConnectionRequest {
            connection: WorkerConnectionId(link),
            worker: WorkerId(worker),
            purpose: need,
            deadline: due,
        };
        self.hears(&ConnectionEvents {
            requested: vec![wanted],
            ..ConnectionEvents::default()
        })
    }
    fn up(&mut self, link: u64) -> Seen {
        self.hears(&ConnectionEvents {
            established: vec![(WorkerConnectionId(link), false)],
            ..ConnectionEvents::default()
        })
    }
    fn fails(&mut self, link: u64) -> Seen {
        self.hears(&ConnectionEvents {
            failed: vec![WorkerConnectionId(link)],
            ..ConnectionEvents::default()
        })
    }
    fn ends(&mut self, link: u64) -> Seen {
        self.hears(&ConnectionEvents {
            closed: vec![WorkerConnectionId(link)],
            ..ConnectionEvents::default()
        })
    }
    fn uses(&mut self, worker: u64) {
        self.hears(&ConnectionEvents {
            utilization: vec![(WorkerId(worker), 0.1)],
            ..ConnectionEvents::default()
        });
    }
}

#[rstest]
fn jobs_come_first_and_only_so_many_handshakes_are_under_way() {
    let mut s = Story::new(&[("limits.handshakes-out", 2.0)]);
    s.lists(9, 0);
    assert_eq!(s.wants(1, 1, Purpose::Request).opened, [1]);
    assert_eq!(s.wants(2, 2, Purpose::Request).opened, [2]);
    assert!(s.wants(3, 3, Purpose::Control).opened.is_empty());
    assert!(s.wants(4, 4, Purpose::Request).opened.is_empty());
    assert_eq!(
        s.up(1).opened,
        [4],
        "the job, although the errand came before"
    );
    assert_eq!(s.ends(2).opened, [3]);
}

#[rstest]
fn a_pressed_worker_has_one_handshake_at_a_time() {
    let mut s = Story::new(&[]);
    s.lists(2, 0);
    s.hears(&ConnectionEvents {
        load_reports: vec![(WorkerId(0), 9.0)],
        ..ConnectionEvents::default()
    });
    assert_eq!(s.wants(1, 0, Purpose::Request).opened, [1]);
    assert!(s.wants(2, 0, Purpose::Request).opened.is_empty());
    assert_eq!(s.wants(3, 1, Purpose::Request).opened, [3]);
    assert_eq!(s.wants(4, 1, Purpose::Request).opened, [4]);
    assert_eq!(s.up(1).opened, [2]);
}

#[rstest]
fn what_fails_is_left_alone_longer_each_time_and_what_took_long_for_as_long() {
    let mut s = Story::new(&[]);
    s.lists(2, 0);
    let mut waits = Vec::new();
    for n in 0..4 {
        assert_eq!(s.wants(n, 0, Purpose::Request).opened, [n]);
        s.fails(n);
        let began = s.now;
        while s.wants(100 + n, 0, Purpose::Request).given_up
            == [(100 + n, RejectReason::BackingOff)]
        {
            s.now += 10 * MS;
        }
        waits.push(s.now - began);
        // What came through the wait was begun: it ends here.
        s.ends(100 + n);
    }
    assert!(waits[3] > 2 * waits[0] && waits[3] <= 820 * MS, "{waits:?}");
    assert_eq!(s.wants(50, 1, Purpose::Request).opened, [50]);
    s.now += S;
    s.fails(50);
    s.now += 400 * MS;
    assert_eq!(
        s.wants(51, 1, Purpose::Request).given_up,
        [(51, RejectReason::BackingOff)],
        "it took a second to fail"
    );
}

#[rstest]
fn a_new_process_is_not_left_alone_for_what_the_old_one_did() {
    let mut s = Story::new(&[]);
    s.lists(1, 0);
    s.wants(1, 0, Purpose::Request);
    s.fails(1);
    assert_eq!(
        s.wants(2, 0, Purpose::Request).given_up,
        [(2, RejectReason::BackingOff)]
    );
    s.lists(1, s.now);
    assert_eq!(s.wants(3, 0, Purpose::Request).opened, [3]);
}

#[rstest]
fn all_tries_at_what_failed_share_one_budget() {
    let mut s = Story::new(&[
        ("limits.connect-again", 5.0),
        ("limits.handshakes-out", 1000.0),
    ]);
    s.lists(100, 0);
    for n in 0..100 {
        s.wants(n, n, Purpose::Request);
        s.fails(n);
    }
    let (mut tried, mut link) = (0, 1000);
    for _ in 0..100 {
        s.now += 100 * MS;
        for worker in 0..100 {
            link += 1;
            let seen = s.wants(link, worker, Purpose::Request);
            tried += seen.opened.len();
            if !seen.opened.is_empty() {
                s.fails(link);
            }
        }
    }
    assert!((45..=60).contains(&tried), "{tried} tries in ten seconds");
}

/// A zone is back cold, and every edge wants every worker of it in the same moment.
#[rstest]
fn edges_that_know_nothing_of_each_other_spare_a_cold_worker(#[values(40, 150, 300)] edges: u64) {
    let begun: Micros = 1000 * S;
    let set = [
        ("routers", edges as f64),
        ("limits.connect-time-out-us", 2e6),
    ];
    let mut stories: Vec<Story> = (0..edges).map(|n| Story::of_edge(n, &set)).collect();
    let mut at: Vec<Micros> = Vec::new();
    for s in &mut stories {
        s.now = begun;
        s.lists(1, begun);
        // Nothing hurries: it is kept ahead of need.
        let mut seen = s.wants(1, 0, Purpose::Prewarm);
        while seen.opened.is_empty() {
            s.now = seen.wake.unwrap();
            seen = s.hears(&ConnectionEvents::default());
        }
        at.push(s.now - begun);
    }
    // Handshakes are thought to take 4 ms at first; a worker of size 4 at a fifth does 800 ms a second, and a quarter
    // of that goes to handshakes: 50 a second.
    at.sort_unstable();
    let busiest = at
        .iter()
        .map(|from| at.iter().filter(|t| (*from..from + S).contains(*t)).count())
        .max();
    assert!(busiest.unwrap() <= 75, "{busiest:?}");
    assert!(*at.last().unwrap() <= edges as Micros * S / 50);
}

#[rstest]
fn a_job_that_can_not_wait_for_a_cold_worker_goes_elsewhere() {
    let mut s = Story::new(&[("routers", 3000.0), ("limits.connect-time-out-us", 2e6)]);
    s.lists(1, s.now);
    let seen = s.wants(1, 0, Purpose::Request);
    assert_eq!(seen.given_up, [(1, RejectReason::HandshakeBudget)]);
}

#[rstest]
fn connections_are_kept_to_what_is_used_most_and_added_where_they_fill_up() {
    let mut s = Story::new(&[("limits.connections-ahead", 2.0)]);
    s.lists(5, 0);
    for (worker, times) in [(1, 3), (2, 1), (3, 2)] {
        (0..times).for_each(|_| s.uses(worker));
    }
    assert_eq!(s.lists(5, 0).ahead, [1, 3]);
    s.wants(7, 1, Purpose::Prewarm);
    s.up(7);
    assert_eq!(s.ends(7).ahead, [1, 3], "it is missed again");
    let tight = s.hears(&ConnectionEvents {
        utilization: vec![(WorkerId(2), 0.8)],
        ..ConnectionEvents::default()
    });
    assert_eq!(tight.ahead, [2]);
    s.now += 100 * S;
    assert!(s.lists(5, 0).ahead.is_empty(), "nothing was used for long");
}

#[rstest]
fn connections_of_past_terms_go_a_few_at_a_time_and_idle_ones_first() {
    let mut s = Story::new(&[
        ("limits.retire-at-once", 2.0),
        ("limits.retire-within-us", 10e6),
    ]);
    s.lists(8, 0);
    for n in 0..8 {
        s.wants(n, n, Purpose::Request);
        s.up(n);
    }
    let old = (0..8)
        .map(|n| {
            (
                OutdatedConnection::Worker(WorkerConnectionId(n)),
                if n < 6 { 1 } else { 0 },
            )
        })
        .collect();
    let mut retired = vec![];
    let mut seen = s.hears(&ConnectionEvents {
        outdated: old,
        ..ConnectionEvents::default()
    });
    let begun = s.now;
    loop {
        retired.extend(seen.retired.iter().map(|old| (s.now - begun, *old)));
        let Some(at) = seen.wake else { break };
        s.now = at;
        seen = s.hears(&ConnectionEvents::default());
    }
    assert_eq!(retired.len(), 8);
    assert_eq!(
        retired[..2].iter().map(|(_, old)| *old).collect::<Vec<_>>(),
        [
            OutdatedConnection::Worker(WorkerConnectionId(6)),
            OutdatedConnection::Worker(WorkerConnectionId(7))
        ]
    );
    assert!(retired.last().unwrap().0 <= 10 * S && retired[2].0 > S);
    for (at, _) in &retired {
        assert!(retired.iter().filter(|(t, _)| t == at).count() <= 2);
    }
}

#[rstest]
fn one_in_use_has_its_successor_first_and_a_denied_one_waits_for_nothing() {
    let mut s = Story::new(&[]);
    s.lists(2, 0);
    for n in 0..2 {
        s.wants(n, n, Purpose::Request);
        s.up(n);
        s.uses(n);
    }
    let seen = s.hears(&ConnectionEvents {
        outdated: vec![(OutdatedConnection::Worker(WorkerConnectionId(0)), 1)],
        ..ConnectionEvents::default()
    });
    assert_eq!((seen.ahead, seen.retired.len()), (vec![0], 0));
    s.wants(10, 0, Purpose::Prewarm);
    assert_eq!(
        s.up(10).retired,
        [OutdatedConnection::Worker(WorkerConnectionId(0))]
    );
    let seen = s.hears(&ConnectionEvents {
        revoked: vec![OutdatedConnection::Worker(WorkerConnectionId(1))],
        ..ConnectionEvents::default()
    });
    assert_eq!(
        seen.retired,
        [OutdatedConnection::Worker(WorkerConnectionId(1))]
    );
    assert_eq!(seen.ahead, []);
}

/// Handshakes queue at a warm worker, so that one takes far longer than usual, or none is done in time: every edge keeps
/// its distance there until the queue is gone.
#[rstest]
#[case::slow(false)]
#[case::none_in_time(true)]
fn a_worker_where_handshakes_queue_is_spared(#[case] times_out: bool) {
    let mut s = Story::new(&[
        ("routers", 300.0),
        ("limits.left-alone-most-us", 1e5),
        ("limits.left-alone-least-us", 1e5),
    ]);
    s.lists(2, 0);
    for n in 0..40 {
        assert_eq!(
            s.wants(n, 1, Purpose::Request).opened,
            [n],
            "usual ones need no distance"
        );
        s.now += MS;
        s.up(n);
    }
    s.wants(100, 0, Purpose::Request);
    s.now += S;
    if times_out {
        s.fails(100)
    } else {
        s.up(100)
    };
    // Everybody wants one for ten seconds; 300 edges with handshakes of a few ms leave each one now and then.
    let mut opened = 0;
    for n in 0..1000 {
        s.now += 10 * MS;
        let seen = s.wants(1000 + n, 0, Purpose::Request);
        opened += seen.opened.len();
        for link in seen.opened {
            s.now += 5 * MS;
            s.up(link);
        }
    }
    assert!((1..200).contains(&opened), "{opened}");
    assert_eq!(
        s.wants(5000, 1, Purpose::Request).opened,
        [5000],
        "the other worker is as before"
    );
}

#[rstest]
fn what_waits_for_somebody_who_is_not_listed_is_told_at_once() {
    let mut s = Story::new(&[]);
    assert_eq!(
        s.wants(1, 9, Purpose::Request).given_up,
        [(1, RejectReason::BackingOff)]
    );
}

#[rstest]
fn after_a_reset_a_shorter_rest_is_trusted_and_longer_ones_are_tried_again() {
    let mut rests = sanddrum_upstream::IdleTimeoutEstimate::new(250_000);
    assert!(rests.is_trusted(0, 60_000_000), "nothing speaks against it");
    rests.record_reset(0, 5_000, 100);
    assert!(
        rests.is_trusted(0, 60_000_000),
        "no rest to speak of: it broke for another cause"
    );
    rests.record_reset(0, 200_000, 60_000);
    assert!(
        rests.is_trusted(0, 60_000_000),
        "long after it was written to: so did this"
    );
    rests.record_reset(0, 200_000, 100);
    assert!(rests.is_trusted(1_000_000, 100_000) && !rests.is_trusted(1_000_000, 150_000));
    assert!(
        rests.is_trusted(11_000_000, 150_000),
        "it has held for long"
    );
    rests.record_reset(11_000_000, 150_000, 100);
    assert!(!rests.is_trusted(12_000_000, 100_000));
}

#[rstest]
fn a_dial_that_fails_where_no_part_of_a_worker_is_for_handshakes_is_no_sum_out_of_bounds() {
    let mut story = Story::new(&[("limits.handshake-part", 0.0)]);
    story.lists(1, 0);
    let due = story.now + S;
    let wanted = |link| ConnectionRequest {
        connection: WorkerConnectionId(link),
        worker: WorkerId(0),
        purpose: Purpose::Request,
        deadline: due,
    };
    assert_eq!(
        story
            .hears(&ConnectionEvents {
                requested: vec![wanted(1)],
                ..ConnectionEvents::default()
            })
            .opened,
        [1]
    );
    story.now += S;
    story.hears(&ConnectionEvents {
        failed: vec![WorkerConnectionId(1)],
        ..ConnectionEvents::default()
    });
    story.now += S;
    let due = story.now + S;
    let again = ConnectionRequest {
        deadline: due,
        ..wanted(2)
    };
    assert_eq!(
        story
            .hears(&ConnectionEvents {
                requested: vec![again],
                ..ConnectionEvents::default()
            })
            .opened,
        [2]
    );
}
