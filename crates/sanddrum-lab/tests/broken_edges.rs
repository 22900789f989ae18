//! Tests that the checker detects violations, since a checker that was never seen to fail proves nothing. For each
//! rule, a scenario runs once with the real edge, which must pass, and once with an edge that is defective on
//! purpose, which the checker must catch.

use rstest::rstest;
use sanddrum::*;
use sanddrum_edge::{DecisionModule, Edge};
use sanddrum_lab::checker::check_log;
use sanddrum_lab::recorder::{ClientAttempt, Execution, Log};
use sanddrum_lab::{play_virtually, product_edge, MakeEdge, Scenario};
use sanddrum_net::{Core, Event, FileError, Io};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Defect {
    OmitsRejectionsAndFailures,
    RetriesRunOnceRequests,
    RejectsRequestsThatMayHaveRun,
    IgnoresDraining,
    IgnoresColdStarts,
    IgnoresLoadLimit,
}

/// The decision module with a defect in the events that it receives or the decisions that it makes.
struct DefectiveModule {
    router: Router,
    defect: Defect,
}

impl DecisionModule for DefectiveModule {
    fn handle(&mut self, now: Micros, batch: &EventBatch, out: &mut impl Decisions) {
        let mut batch = batch.clone();
        for row in batch
            .endpoint_lists
            .iter_mut()
            .flat_map(|list| &mut list.endpoints)
        {
            match self.defect {
                Defect::IgnoresDraining => row.state = WorkerState::Ready,
                Defect::IgnoresColdStarts => row.started_at = 0,
                _ => {}
            }
        }
        self.router.handle(
            now,
            &batch,
            &mut DefectiveDecisions {
                out,
                defect: self.defect,
            },
        );
    }
}

/// Passes decisions on, except for those that the defect suppresses or replaces.
struct DefectiveDecisions<'a, D> {
    out: &'a mut D,
    defect: Defect,
}

impl<D: Decisions> Decisions for DefectiveDecisions<'_, D> {
    fn dispatch(&mut self, request: RequestId, worker: WorkerId, limits: AttemptLimits) {
        self.out.dispatch(request, worker, limits);
    }
    fn cancel(&mut self, request: RequestId, execution: usize) {
        self.out.cancel(request, execution);
    }
    fn reject(&mut self, request: RequestId, wait: Micros) {
        if self.defect != Defect::OmitsRejectionsAndFailures {
            self.out.reject(request, wait);
        }
    }
    fn fail(&mut self, request: RequestId) {
        match self.defect {
            Defect::OmitsRejectionsAndFailures => {}
            Defect::RejectsRequestsThatMayHaveRun => self.out.reject(request, 0),
            _ => self.out.fail(request),
        }
    }
    fn load(&mut self, worker: WorkerId, function: FunctionId, copies: u32, deadline: Micros) {
        self.out.load(worker, function, copies, deadline);
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

fn defective_edge(defect: Defect) -> MakeEdge {
    Box::new(move |start| {
        let mut settings = start.settings.decision_settings();
        match defect {
            Defect::RetriesRunOnceRequests => {
                settings.0.insert(
                    "workloads.0.effect".into(),
                    Value::Text("restartable".into()),
                );
            }
            Defect::IgnoresLoadLimit => drop(settings.0.remove("copies.load-window-us")),
            _ => {}
        }
        let module = DefectiveModule {
            router: Router::new(start.seed, &settings),
            defect,
        };
        // The edge itself prevents violations of some rules, whatever its module decides. This is disabled here, so that
        // the violations reach the checker.
        Box::new(Edge::with_module(start, module).allowing_violations())
    })
}

fn scenario_with(effect: &str, rest: &str) -> Scenario {
    let text = format!(
        r#"
        (workload "job" (start-target 1s) (time-limit 2s) (effect {effect}))
        (function "f-*" (workload "job") (memory 200MB) (lanes 2))
        (fleet (workers 4) (edges 2) (cores 4))
        (list-service (notice-least 100ms) (notice-most 200ms))
        (calls "job" (work 40ms))
        {rest}"#
    );
    Scenario::read("test.sx", &text, 3).unwrap()
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
const LOAD_LIMIT: &str = r#"
    (copies (on-miss miss) (load-window 2s) (load-free 3) (load-share 1%) (keep-alive 1s))
    (traffic (length 6s) (rate 100) (functions 60))"#;

#[rstest]
#[case::missing_answers(Defect::OmitsRejectionsAndFailures, 1, "run-once", HANG)]
#[case::repeated_execution(Defect::RetriesRunOnceRequests, 2, "run-once", HANG)]
#[case::rejection_after_execution(Defect::RejectsRequestsThatMayHaveRun, 2, "run-once", HANG)]
#[case::draining(Defect::IgnoresDraining, 3, "restartable", DRAIN)]
#[case::cold_start(Defect::IgnoresColdStarts, 4, "restartable", COLD)]
#[case::load_limit(Defect::IgnoresLoadLimit, 5, "restartable", LOAD_LIMIT)]
fn a_defective_edge_is_caught_and_the_real_one_passes(
    #[case] defect: Defect,
    #[case] rule: u8,
    #[case] effect: &str,
    #[case] rest: &str,
) {
    let scenario = scenario_with(effect, rest);
    let good = play_virtually(scenario.clone(), product_edge()).unwrap();
    assert!(good.is_good(), "{}", good.text());
    let bad = play_virtually(scenario, defective_edge(defect)).unwrap();
    assert!(
        bad.verdict.violations.iter().any(|b| b.rule == rule),
        "{}",
        bad.text()
    );
}

/// Hand-written logs: violations that the edge's core never commits, and one correct log.
#[rstest]
#[case::two_answers(vec![(200, 200), (300, 503)], None, 1)]
#[case::sent_after_the_answer(vec![(200, 503)], Some(900_000), 1)]
#[case::too_late(vec![(2_400_000, 504)], None, 1)]
#[case::correct(vec![(200, 200)], Some(100), 0)]
fn the_answers_and_executions_in_a_log_are_checked(
    #[case] answers: Vec<(i64, u16)>,
    #[case] executed_at: Option<i64>,
    #[case] rule: u8,
) {
    let scenario = scenario_with("restartable", "");
    let limit = 2_000_000;
    let (workload, edge) = ("job".to_string(), "edge-0".to_string());
    let attempt = ClientAttempt {
        workload: workload.clone(),
        edge: edge.clone(),
        time_limit: limit,
        answers,
        ..ClientAttempt::default()
    };
    let mut log = Log {
        client_attempts: vec![attempt],
        ..Log::default()
    };
    log.executions
        .extend(executed_at.map(|received_at| Execution {
            worker: 0,
            edge,
            received_at,
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

/// An edge that loads its first key set and ignores every later one.
struct KeepsFirstKeySet<C> {
    core: C,
    has_key_set: bool,
}

impl<C: Core> Core for KeepsFirstKeySet<C> {
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
        if !std::mem::replace(&mut self.has_key_set, true) {
            self.core.on_file(now, name, content, io);
        }
    }
}

#[rstest]
fn an_edge_that_accepts_a_revoked_key_is_caught() {
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
    let outdated: MakeEdge = Box::new(|start| {
        Box::new(KeepsFirstKeySet {
            core: Edge::new(start),
            has_key_set: false,
        })
    });
    let bad = play_virtually(scenario, outdated).unwrap();
    assert!(
        bad.verdict
            .violations
            .iter()
            .any(|b| b.description.contains("revoked key")),
        "{}",
        bad.text()
    );
}

/// Every scenario that a hunt generates is valid and depends only on its seed.
#[rstest]
fn a_hunt_generates_valid_and_reproducible_scenarios() {
    use sanddrum_lab::hunt::RandomScenario;
    for seed in 1..=300 {
        let day = RandomScenario::generate(seed);
        assert_eq!(day.text(), RandomScenario::generate(seed).text());
        Scenario::read("day", &day.text(), seed).unwrap();
    }
}

/// Reducing a find removes every part that the violation does not need, but keeps what a valid scenario requires.
#[rstest]
fn a_find_is_reduced_to_the_parts_that_break_the_rule() {
    use sanddrum_lab::hunt::RandomScenario;
    let violations = |day: &RandomScenario| -> Result<_, String> {
        Scenario::read("day", &day.text(), day.seed).map_err(|e| e.to_string())?;
        let broken =
            day.faults.iter().any(|t| t.contains("drain")) && day.text().contains("(retries");
        let rules: std::collections::BTreeSet<u8> = broken.then_some(3).into_iter().collect();
        Ok((rules, vec!["rule 3".to_string()]))
    };
    let original = (1..)
        .map(RandomScenario::generate)
        .find(|day| day.faults.len() > 4 && !violations(day).unwrap().0.is_empty());
    let find = original.unwrap().shrink_with(violations).unwrap();
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
