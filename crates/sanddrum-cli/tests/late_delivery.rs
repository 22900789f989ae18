//! A router as a process whose links to workers deliver bytes and ends of connections late. The rules are judged by
//! what the workers read and when, as the platform does.

mod fault_proxy;
mod router_harness;

use fault_proxy::FaultProxy;
use router_harness::*;
use rstest::rstest;
use serde_json::{json, Value};
use std::net::TcpStream;
use std::ops::Range;
use std::time::{Duration, Instant};

const A: &str = "00000000000000a1";
const B: &str = "00000000000000b2";

/// How much later than the final answer of its request an attempt may be read.
const ATTEMPT_SLACK: Duration = Duration::from_millis(50);

/// Code of a cancellation.
const CANCEL: u8 = 66;

/// Two workers behind proxies, and a router that has been told of both.
struct Fleet {
    workers: [Worker; 2],
    proxies: [FaultProxy; 2],
    router: Router,
    _feed: TcpStream,
    web: WebServer,
}

impl Fleet {
    /// Starts a fleet in which a request may not have two attempts in flight.
    fn start(name: &str) -> Fleet {
        Fleet::start_with(name, |_| {})
    }

    /// Starts such a fleet with changed settings.
    fn start_with(name: &str, change: impl FnOnce(&mut Value)) -> Fleet {
        let (workers, proxies): (Vec<_>, Vec<_>) = (0..2)
            .map(|_| {
                let (worker, address) = Worker::listen();
                (worker, FaultProxy::start(&address))
            })
            .unzip();
        let (feeds, feed_address) = listener();
        let mut configuration = configuration_of(&feed_address, &proxies);
        change(&mut configuration["settings"]);
        let router = Router::start_with(name, &configuration, None);
        let mut feed = accept(&feeds);
        next_poll(&mut feed);
        let web = WebServer::connect(&router.address);
        Fleet {
            workers: workers.try_into().ok().unwrap(),
            proxies: proxies.try_into().ok().unwrap(),
            router,
            _feed: feed,
            web,
        }
    }

    /// Returns the worker that gets a request's first attempt, the connection and the request.
    fn first_attempt(&mut self, call: &str, time_limit_ms: u32) -> (usize, (usize, Frame)) {
        self.web
            .send(&encode_request(1, call, time_limit_ms, b"in"));
        next_request(&mut self.workers)
    }

    /// Serves one request, so that the function is loaded and a connection is open.
    fn warm_up(&mut self) {
        let (worker, attempt) = self.first_attempt(A, 4_000);
        self.workers[worker].serve(&attempt);
        assert_eq!(self.web.response().unwrap().status(), "200");
    }
}

fn configuration_of(feed: &str, proxies: &[FaultProxy]) -> Value {
    let mut configuration = configuration(feed, &proxies[0].address, "repeatable");
    let second = member("v", &proxies[1].address, "in_service");
    configuration["known"]["events"][0]["members"]["members"]
        .as_array_mut()
        .unwrap()
        .push(second);
    configuration["settings"]["classes"][0]["aim-us"] = json!(200_000);
    let limits = &mut configuration["settings"]["limits"];
    limits["cancel"] = json!(true);
    limits["may-duplicate"] = json!(false);
    configuration
}

fn set_effect(settings: &mut Value, effect: &str) {
    let class = &mut settings["classes"][0];
    class["effect"] = json!(effect);
    class["key-scope"] = json!("all");
    class["repeat-window-us"] = json!(5_000_000);
}

/// How long a request without a final answer is watched.
const TIMEOUT: Duration = Duration::from_secs(10);

/// What the peers of a router have seen of one request.
#[derive(Default)]
struct Observed {
    /// When each attempt was read, in the order of reading.
    attempts: Vec<Instant>,
    /// When the final answer was read.
    answered: Option<Instant>,
}

impl Fleet {
    /// Sends a request, releases the proxies after `release_after`, and watches until the final answer has been read
    /// and nothing is held back. Workers answer queries, but no attempt.
    fn observe(self, time_limit_ms: u32, release_after: Duration) -> Observed {
        self.observe_with_stop(time_limit_ms, release_after, None)
    }

    /// Like [`observe`](Self::observe). The router's process is stopped in this span, counted from the request.
    fn observe_with_stop(
        mut self,
        time_limit_ms: u32,
        release_after: Duration,
        mut stop: Option<Range<Duration>>,
    ) -> Observed {
        let started = Instant::now();
        let mut is_stopped = false;
        self.web.send(&encode_request(1, B, time_limit_ms, b"in"));
        let mut web = self.web;
        let answer = std::thread::spawn(move || {
            web.response().unwrap();
            Instant::now()
        });
        let mut observed = Observed::default();
        while !answer.is_finished() || started.elapsed() < release_after + WATCHED_AFTER_RELEASE {
            assert!(started.elapsed() < TIMEOUT, "no final answer");
            if started.elapsed() >= release_after {
                self.proxies.iter().for_each(FaultProxy::release);
            }
            match &stop {
                Some(span) if !is_stopped && started.elapsed() >= span.start => {
                    self.router.stall();
                    is_stopped = true;
                }
                Some(span) if is_stopped && started.elapsed() >= span.end => {
                    self.router.resume();
                    stop = None;
                }
                _ => {}
            }
            for worker in &mut self.workers {
                while worker.try_next_request().is_some() {
                    observed.attempts.push(Instant::now());
                }
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        observed.answered = answer.join().ok();
        observed
    }
}

/// How long the workers are watched after the proxies have delivered everything.
const WATCHED_AFTER_RELEASE: Duration = Duration::from_millis(300);

impl Observed {
    /// Panics if an attempt was read later than allowed after the final answer.
    fn assert_nothing_read_after_the_answer(&self) {
        let answered = self.answered.expect("a final answer");
        for read_at in &self.attempts {
            let late = read_at.saturating_duration_since(answered);
            assert!(
                late <= ATTEMPT_SLACK,
                "an attempt was read {late:?} after the final answer"
            );
        }
    }
}

/// How long a link holds back what it was given.
const HOLD: Duration = Duration::from_millis(700);

impl Fleet {
    /// Panics if this worker gets a request while the other one's link holds everything back.
    fn assert_no_attempt_while_held(&mut self, worker: usize) {
        let held_at = Instant::now();
        while held_at.elapsed() < HOLD {
            assert!(
                self.workers[worker].try_next_request().is_none(),
                "the attempt at the other worker is still out"
            );
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Serves the next attempt and expects its result at the client.
    fn serve_next_attempt(&mut self) {
        let (worker, attempt) = next_request(&mut self.workers);
        self.workers[worker].serve(&attempt);
        assert_eq!(self.web.response().unwrap().status(), "200");
    }
}

/// Guards against a second attempt that begins while the cancellation of the first is still on its way to the worker.
#[rstest]
#[case::router_runs(false)]
#[case::router_is_held_up(true)]
fn no_second_attempt_is_read_before_the_cancellation_of_the_first(#[case] is_held_up: bool) {
    let mut fleet = Fleet::start(&format!("late-cancel-{is_held_up}"));
    let (first, _) = fleet.first_attempt(B, 4_000);
    fleet.proxies[first].hold();
    if is_held_up {
        fleet.router.stall();
        std::thread::sleep(Duration::from_millis(300));
        fleet.router.resume();
    }
    fleet.assert_no_attempt_while_held(1 - first);
    fleet.proxies[first].release();
    let (worker, attempt) = next_request(&mut fleet.workers);
    assert!(
        fleet.workers[first].has_read_code(CANCEL),
        "the cancellation was delivered before the second attempt"
    );
    fleet.workers[worker].serve(&attempt);
    assert_eq!(fleet.web.response().unwrap().status(), "200");
}

/// Guards against settings under which a second attempt begins while the first may still run.
#[rstest]
#[case::by_key("by_key", true, 4)]
#[case::by_key_without_cancellations("by_key", false, 4)]
#[case::repeatable_without_cancellations("repeatable", false, 4)]
#[case::repeatable_with_five_attempts("repeatable", true, 5)]
#[case::repeatable_with_one_attempt("repeatable", true, 1)]
#[case::once("once", true, 4)]
fn no_second_attempt_is_read_while_the_first_may_run_whatever_the_settings(
    #[case] effect: &str,
    #[case] sends_cancels: bool,
    #[case] max_attempts: u32,
) {
    let name = format!("overlap-{effect}-{sends_cancels}-{max_attempts}");
    let mut fleet = Fleet::start_with(&name, |settings| {
        set_effect(settings, effect);
        settings["limits"]["cancel"] = json!(sends_cancels);
        settings["limits"]["try-limit"] = json!(max_attempts);
    });
    let (first, attempt) = fleet.first_attempt(B, 4_000);
    fleet.proxies[first].hold();
    fleet.assert_no_attempt_while_held(1 - first);
    fleet.workers[first].serve(&attempt);
    fleet.proxies[first].release();
    assert_eq!(fleet.web.response().unwrap().status(), "200");
}

/// Guards against a final answer while an attempt of the request is still on its way to a worker.
#[rstest]
fn no_attempt_is_read_after_the_final_answer_of_its_request() {
    let mut fleet = Fleet::start("late-attempt");
    fleet.warm_up();
    fleet.proxies.iter().for_each(FaultProxy::hold);
    let observed = fleet.observe(800, Duration::from_millis(1_000));
    assert!(!observed.attempts.is_empty(), "an attempt was sent");
    observed.assert_nothing_read_after_the_answer();
}

/// Guards against settings under which a final answer does not wait for an attempt on its way: classes that may be
/// repeated, that carry a key and that run once, with and without second copies and cancellations.
#[rstest]
fn no_attempt_is_read_after_the_final_answer_whatever_the_settings(
    #[values("repeatable", "by_key", "once")] effect: &str,
    #[values(false, true)] allows_copies: bool,
    #[values(false, true)] sends_cancels: bool,
) {
    let name = format!("late-{effect}-{allows_copies}-{sends_cancels}");
    let mut fleet = Fleet::start_with(&name, |settings| {
        set_effect(settings, effect);
        settings["limits"]["may-duplicate"] = json!(allows_copies);
        settings["limits"]["cancel"] = json!(sends_cancels);
    });
    fleet.warm_up();
    fleet.proxies.iter().for_each(FaultProxy::hold);
    let observed = fleet.observe(800, Duration::from_millis(1_000));
    assert!(!observed.attempts.is_empty(), "an attempt was sent");
    observed.assert_nothing_read_after_the_answer();
}

/// Guards against a final answer that a router gives as it runs again, before an attempt on its way has been read.
#[rstest]
fn no_attempt_is_read_after_the_final_answer_of_a_router_that_was_held_up() {
    let mut fleet = Fleet::start("late-attempt-stop");
    fleet.warm_up();
    fleet.proxies.iter().for_each(FaultProxy::hold);
    let stop = Duration::from_millis(100)..Duration::from_millis(900);
    let observed = fleet.observe_with_stop(800, Duration::from_millis(1_100), Some(stop));
    assert!(!observed.attempts.is_empty(), "an attempt was sent");
    observed.assert_nothing_read_after_the_answer();
}

/// Guards against an attempt on a new connection that is accepted and read after the request has ended.
#[rstest]
fn no_attempt_is_read_late_on_a_new_connection() {
    let fleet = Fleet::start_with("late-accept", |settings| {
        settings["family-info"]["if-cold"] = json!("load");
    });
    fleet.proxies.iter().for_each(FaultProxy::hold_to_worker);
    let observed = fleet.observe(600, Duration::from_millis(1_200));
    observed.assert_nothing_read_after_the_answer();
}

/// Guards against a second attempt after a reset that has reached the router and not yet the worker.
#[rstest]
fn no_second_attempt_is_read_before_the_worker_has_learned_of_a_reset() {
    let mut fleet = Fleet::start("late-reset");
    let (first, _) = fleet.first_attempt(B, 4_000);
    fleet.proxies[first].hold_to_worker();
    fleet.proxies[first].reset_router_ends();
    fleet.assert_no_attempt_while_held(1 - first);
    fleet.proxies[first].release();
    fleet.serve_next_attempt();
}

/// Guards against a second attempt after a spoilt answer, while the worker has not read the end of the connection.
#[rstest]
fn no_second_attempt_is_read_before_the_worker_has_read_the_end_of_a_connection() {
    let mut fleet = Fleet::start("late-end");
    let (first, attempt) = fleet.first_attempt(B, 4_000);
    fleet.proxies[first].hold_to_worker();
    fleet.workers[first].send(attempt.0, b"this is no frame at all");
    fleet.assert_no_attempt_while_held(1 - first);
    fleet.proxies[first].release();
    fleet.serve_next_attempt();
}
