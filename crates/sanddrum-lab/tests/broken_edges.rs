//! A checker that has not been seen to fail proves nothing: for each rule an edge is broken on purpose and caught, on
//! a day on which the edge as it is keeps the rule.

use rstest::rstest;
use sanddrum::*;
use sanddrum_edge::{DecisionModule, Edge};
use sanddrum_lab::checker::check_log;
use sanddrum_lab::recorder::{ClientAttempt, Execution, Log};
use sanddrum_lab::{play_virtually, product_edge, MakeEdge, Scenario};
use sanddrum_net::{Core, Event, FileError, Io};

#[derive(Clone, Copy, Debug, PartialEq)]
enum How {
    AnswersNothingItGivesUp,
    RepeatsRunOnceJobs,
    PushesBackWhatMayHaveRun,
    MissesDrains,
    MissesColdStarts,
    LoadsWithoutRation,
}

/// The decision module, with something kept from it or done behind its back.
struct Broken {
    router: Router,
    how: How,
}

impl DecisionModule for Broken {
    fn handle(&mut self, now: Micros, round: &EventBatch, out: &mut impl Decisions) {
        let mut round = round.clone();
        for row in round
            .endpoint_lists
            .iter_mut()
            .flat_map(|list| &mut list.endpoints)
        {
            match self.how {
                How::MissesDrains => row.state = WorkerState::Ready,
                How::MissesColdStarts => row.started_at = 0,
                _ => {}
            }
        }
        self.router
            .handle(now, &round, &mut Crooked { out, how: self.how });
    }
}

struct Crooked<'a, D> {
    out: &'a mut D,
    how: How,
}

impl<D: Decisions> Decisions for Crooked<'_, D> {
    fn dispatch(&mut self, job: RequestId, worker: WorkerId, limit: Micros) {
        self.out.dispatch(job, worker, limit);
    }
    fn cancel(&mut self, job: RequestId, execution: usize) {
        self.out.cancel(job, execution);
    }
    fn reject(&mut self, job: RequestId, wait: Micros) {
        if self.how != How::AnswersNothingItGivesUp {
            self.out.reject(job, wait);
        }
    }
    fn fail(&mut self, job: RequestId) {
        match self.how {
            How::AnswersNothingItGivesUp => {}
            How::PushesBackWhatMayHaveRun => self.out.reject(job, 0),
            _ => self.out.fail(job),
        }
    }
    fn load(&mut self, worker: WorkerId, function: FunctionId, copies: u32) {
        self.out.load(worker, function, copies);
    }
    fn unload(&mut self, worker: WorkerId, function: FunctionId) {
        self.out.unload(worker, function);
    }
    fn check_health(&mut self, worker: WorkerId) {
        self.out.check_health(worker);
    }
    fn gossip(&mut self, peer: Option<PeerId>, content: &[u8]) {
        self.out.gossip(peer, content);
    }
    fn wake_at(&mut self, at: Micros) {
        self.out.wake_at(at);
    }
    fn log(&mut self, text: &str) {
        self.out.log(text);
    }
}

fn broken_edge(how: How) -> MakeEdge {
    Box::new(move |start| {
        let mut settings = start.settings.values_for_module();
        match how {
            How::RepeatsRunOnceJobs => {
                settings.0.insert(
                    "workloads.0.effect".into(),
                    Value::Text("restartable".into()),
                );
            }
            How::LoadsWithoutRation => drop(settings.0.remove("copies.load-window-us")),
            _ => {}
        }
        let module = Broken {
            router: Router::new(start.seed, &settings),
            how,
        };
        // The edge itself keeps some of the rules whatever its module decides; the checker has to see them broken.
        Box::new(Edge::with_module(start, module).allowing_violations())
    })
}

fn day(effect: &str, rest: &str) -> Scenario {
    let text = format!(
        r#"
        (workload "job" (start-target 1s) (time-limit 2s) (effect {effect}))
        (function "f-*" (workload "job") (memory 200MB) (lanes 2))
        (fleet (workers 4) (edges 2) (cores 4))
        (list-service (notice-least 100ms) (notice-most 200ms))
        (calls "job" (work 40ms))
        {rest}"#
    );
    Scenario::read("day.sx", &text, 3).unwrap()
}

const HANG: &str = r#"
    (traffic (length 6s) (rate 120) (functions 6))
    (trouble "hang" (at 2s) (length 3s) (count 1))"#;
const DRAIN: &str = r#"
    (rules (drain-grace 500ms))
    (traffic (length 6s) (rate 120) (functions 6))
    (trouble "drain" (at 2s) (length 3s) (count 1))"#;
const COLD: &str = r#"
    (rules (cold-from 2%) (cold 20s) (fall-multiple 1.5) (fall 2s))
    (traffic (length 8s) (rate 260) (functions 6))
    (trouble "crash" (at 2s) (length 1s) (count 3))"#;
const RATION: &str = r#"
    (copies (on-miss miss) (load-window 2s) (load-free 3) (load-share 1%) (keep-alive 1s))
    (traffic (length 6s) (rate 100) (functions 60))"#;

#[rstest]
#[case::silence(How::AnswersNothingItGivesUp, 1, "run-once", HANG)]
#[case::repeats(How::RepeatsRunOnceJobs, 2, "run-once", HANG)]
#[case::pushback(How::PushesBackWhatMayHaveRun, 2, "run-once", HANG)]
#[case::drains(How::MissesDrains, 3, "restartable", DRAIN)]
#[case::cold(How::MissesColdStarts, 4, "restartable", COLD)]
#[case::ration(How::LoadsWithoutRation, 5, "restartable", RATION)]
fn a_broken_edge_is_caught_and_the_true_one_is_not(
    #[case] how: How,
    #[case] rule: u8,
    #[case] effect: &str,
    #[case] rest: &str,
) {
    let scenario = day(effect, rest);
    let good = play_virtually(scenario.clone(), product_edge()).unwrap();
    assert!(good.is_good(), "{}", good.text());
    let bad = play_virtually(scenario, broken_edge(how)).unwrap();
    assert!(
        bad.verdict.violations.iter().any(|b| b.rule == rule),
        "{}",
        bad.text()
    );
}

/// What the edge's core itself makes impossible, as a log would show it.
#[rstest]
#[case::two_answers(vec![(200, 200), (300, 503)], None, 1)]
#[case::sent_after_the_answer(vec![(200, 503)], Some(900_000), 1)]
#[case::too_late(vec![(2_400_000, 504)], None, 1)]
#[case::in_order(vec![(200, 200)], Some(100), 0)]
fn what_a_client_and_a_worker_saw_is_judged(
    #[case] answers: Vec<(i64, u16)>,
    #[case] run: Option<i64>,
    #[case] rule: u8,
) {
    let scenario = day("restartable", "");
    let limit = 2_000_000;
    let (workload, edge) = ("job".to_string(), "edge-0".to_string());
    let one = ClientAttempt {
        workload: workload.clone(),
        edge: edge.clone(),
        time_limit: limit,
        answers,
        ..ClientAttempt::default()
    };
    let mut log = Log {
        client_attempts: vec![one],
        ..Log::default()
    };
    log.executions.extend(run.map(|came| Execution {
        worker: 0,
        edge,
        received_at: came,
        call: 0,
        number: 0,
        workload,
        answers: vec![],
    }));
    let verdict = check_log(&log, &scenario, 0, 100_000);
    assert_eq!(
        verdict.violations.iter().map(|b| b.rule).max().unwrap_or(0),
        rule
    );
}

/// An edge that takes up its first key set and never hears of another.
struct Deaf<C> {
    core: C,
    heard: bool,
}

impl<C: Core> Core for Deaf<C> {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        self.core.start(now, io);
    }
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        self.core.on_event(now, event, io);
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        self.core.process(now, io);
    }
    fn next_wakeup(&self) -> Option<Micros> {
        self.core.next_wakeup()
    }
    fn on_file(
        &mut self,
        now: Micros,
        name: &str,
        content: Result<&[u8], &FileError>,
        io: &mut dyn Io,
    ) {
        if !std::mem::replace(&mut self.heard, true) {
            self.core.on_file(now, name, content, io);
        }
    }
}

#[rstest]
fn an_edge_that_goes_on_under_a_revoked_key_is_caught() {
    let text = r#"
        (workload "job" (start-target 1s) (time-limit 2s) (effect restartable))
        (function "f-*" (workload "job") (memory 200MB) (lanes 2))
        (customer "a")
        (identity (tokens required) (keys-file "keys.json") (watch-every 10ms))
        (gateways (renewed-every 3s))
        (fleet (workers 2) (edges 1) (cores 4))
        (traffic (length 4s) (rate 50) (functions 4))
        (calls "job" (work 10ms))
        (trouble "key-revoke" (at 2s))"#;
    let scenario = Scenario::read("keys.sx", text, 1).unwrap();
    let good = play_virtually(scenario.clone(), product_edge()).unwrap();
    assert!(
        good.is_good() && good.verdict.rejected > 20,
        "{}",
        good.text()
    );
    let deaf: MakeEdge = Box::new(|start| {
        Box::new(Deaf {
            core: Edge::new(start),
            heard: false,
        })
    });
    let bad = play_virtually(scenario, deaf).unwrap();
    assert!(
        bad.verdict
            .violations
            .iter()
            .any(|b| b.description.contains("revoked key")),
        "{}",
        bad.text()
    );
}

/// Every day that a hunt draws is a scenario, and its seed's alone.
#[rstest]
fn a_hunt_draws_days_that_can_be_played() {
    use sanddrum_lab::hunt::RandomScenario;
    for seed in 1..=300 {
        let day = RandomScenario::generate(seed);
        assert_eq!(day.text(), RandomScenario::generate(seed).text());
        Scenario::read("day", &day.text(), seed).unwrap();
    }
}

/// What a find does not need for what it breaks is taken out of it, and what is no scenario without it stays.
#[rstest]
fn a_find_is_made_as_small_as_it_goes() {
    use sanddrum_lab::hunt::RandomScenario;
    let breaks = |day: &RandomScenario| -> Result<_, String> {
        Scenario::read("day", &day.text(), day.seed).map_err(|e| e.to_string())?;
        let broken =
            day.faults.iter().any(|t| t.contains("drain")) && day.text().contains("(retries");
        let rules: std::collections::BTreeSet<u8> = broken.then_some(3).into_iter().collect();
        Ok((rules, vec!["rule 3".to_string()]))
    };
    let whole = (1..)
        .map(RandomScenario::generate)
        .find(|day| day.faults.len() > 4 && !breaks(day).unwrap().0.is_empty());
    let find = whole.unwrap().shrink_with(breaks).unwrap();
    assert_eq!(find.scenario.faults.len(), 1, "{}", find.text());
    assert!(find.scenario.faults[0].contains("drain") && find.text().contains("; rule 3"));
    assert!(find
        .scenario
        .sections
        .iter()
        .any(|line| line.starts_with("(traffic")));
    assert!(
        find.scenario
            .sections
            .iter()
            .all(|line| !line.starts_with("(rules")),
        "{}",
        find.text()
    );
}
