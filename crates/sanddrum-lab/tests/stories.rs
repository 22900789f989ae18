#![allow(missing_docs)] // unfinished: docs/ROADMAP.md

use rstest::rstest;
use sanddrum_lab::{
    play, play_virtually, product_edge, EdgeMode, Environment, Recording, Scenario,
    SocketEnvironment, VirtualEnvironment, BAD_DAY,
};
use sanddrum_net::LinkModel;

#[rstest]
fn the_bad_day_passes_and_is_deterministic(#[values(1, 2, 3)] seed: u64) {
    let scenario = Scenario::read("bad-day.sx", BAD_DAY, seed).unwrap();
    let first = play_virtually(scenario.clone(), product_edge()).unwrap();
    assert!(first.is_good(), "{}", first.text());
    let second = play_virtually(scenario, product_edge()).unwrap();
    assert_eq!(first.json(), second.json());
}

/// Two seconds of faults on real sockets. The demo runs the long version.
#[rstest]
fn a_short_bad_day_on_sockets_ends_well() {
    let text = r#"
        (deployment (zones "a" "b"))
        (workload "job" (start-target 1s) (time-limit 2s) (effect restartable))
        (workload "once" (start-target 1s) (time-limit 2s) (effect run-once))
        (function "f-*" (workload "job") (memory 100MB) (lanes 2))
        (function "o-*" (workload "once") (memory 100MB) (lanes 2))
        (rules (cold-from 30%) (cold 1s) (drain-grace 1s))
        (fleet (workers 6) (edges 2) (cores 4))
        (list-service (notice-least 100ms) (notice-most 200ms) (silent-after 1s))
        (traffic (length 2s) (rate 150) (functions 6))
        (calls "job" (share 70%) (work 10ms))
        (calls "once" (share 30%) (work 10ms))
        (trouble "crash" (at 300ms) (length 600ms))
        (trouble "hang" (at 400ms) (length 800ms))
        (trouble "drain" (at 500ms) (length 1s))
        (trouble "tear" (at 600ms) (count 2))
        (trouble "edge-crash" (at 900ms) (length 200ms))
        (trouble "list-away" (at 700ms) (length 500ms))"#;
    let folder = std::env::temp_dir().join(format!("sanddrum-scenario-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let scenario = Scenario::read("short.sx", text, 5).unwrap();
    let recording = Recording::default();
    let edges = EdgeMode::InProcess(product_edge());
    let mut environment =
        SocketEnvironment::new(scenario, &recording, edges, folder.clone()).unwrap();
    let outcome = play(&mut environment, &recording).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(outcome.is_good(), "{}", outcome.text());
    assert!(outcome.verdict.finished > 100, "{}", outcome.text());
}

const KEYS: &str = include_str!("../scenarios/keys.sx");
const CERTIFICATES: &str = include_str!("../scenarios/certificates.sx");

/// Keys are rotated and revoked while other faults occur. Rejections are final answers, and no request is accepted
/// under a revoked key.
#[rstest]
fn keys_are_rotated_and_revoked_during_a_run(#[values(1, 2, 3, 4)] seed: u64) {
    let outcome = play_virtually(
        Scenario::read("keys.sx", KEYS, seed).unwrap(),
        product_edge(),
    )
    .unwrap();
    assert!(outcome.is_good(), "{}", outcome.text());
    assert!(
        outcome.verdict.finished > 1000 && outcome.verdict.rejected > 50,
        "{}",
        outcome.text()
    );
}

/// The bad day with TLS to every worker, including connections cut within a frame and a zone that returns cold.
#[rstest]
fn the_bad_day_passes_over_tls(#[values(1, 2)] seed: u64) {
    let tls = r#"(tls (workers verified) (roots-file "roots.pem"))"#;
    let scenario = Scenario::read("bad-day.sx", &format!("{BAD_DAY}{tls}"), seed).unwrap();
    let outcome = play_virtually(scenario, product_edge()).unwrap();
    assert!(
        outcome.is_good() && outcome.executions > 4000,
        "{}",
        outcome.text()
    );
}

/// The roots and all certificates are replaced during the bad day, and one worker returns with a certificate signed
/// by a foreign authority. No byte of a request reaches that worker until it has its own certificate again.
#[rstest]
fn certificates_are_replaced_during_the_bad_day(#[values(1, 2, 3)] seed: u64) {
    let scenario = Scenario::read("certificates.sx", CERTIFICATES, seed).unwrap();
    let recording = Recording::default();
    let mut environment =
        VirtualEnvironment::new(scenario, LinkModel::default(), &recording, product_edge())
            .unwrap();
    let start = environment.now();
    let outcome = play(&mut environment, &recording).unwrap();
    assert!(
        outcome.is_good() && outcome.executions > 4000,
        "{}",
        outcome.text()
    );
    let (at, event) = outcome
        .timeline
        .iter()
        .find(|(_, event)| event.starts_with("impostor begins"))
        .unwrap();
    let impostor: usize = event.split(['(', ')']).nth(1).unwrap().parse().unwrap();
    let log = &recording.0.borrow().log;
    let while_foreign = |run: &&sanddrum_lab::recorder::Execution| {
        run.worker == impostor
            && (start + at + 50_000..start + at + 3_000_000).contains(&run.received_at)
    };
    assert_eq!(log.executions.iter().filter(while_foreign).count(), 0);
    let after = |run: &&sanddrum_lab::recorder::Execution| {
        run.worker == impostor && run.received_at > start + at + 3_000_000
    };
    assert!(
        log.executions.iter().any(|run| after(&run)),
        "the worker serves again with its own certificate"
    );
}

/// Handshakes are slow, a zone returns cold and all connections are cut at once. Rule 1 (nothing is sent after the
/// final answer) also holds for requests that wait for a connection.
#[rstest]
fn simultaneous_reconnects_send_nothing_after_the_answer(#[values(1, 2)] seed: u64) {
    let text = r#"
        (deployment (zones "a" "b" "c"))
        (workload "job" (start-target 1s) (time-limit 3s) (effect restartable))
        (function "f-*" (workload "job") (memory 200MB) (lanes 2))
        (rules (cold-from 20%) (cold 6s) (fall-multiple 3) (fall 3s))
        (tls (workers verified) (roots-file "roots.pem"))
        (fleet (workers 12) (edges 12) (cores 4) (memory 5GB) (handshake 60ms))
        (list-service (notice-least 300ms) (notice-most 1200ms) (silent-after 2s))
        (traffic (length 8s) (rate 400) (functions 40) (zipf 1.0))
        (calls "job" (share 1) (work 30ms))
        (trouble "zone-loss" (at 3s) (length 2s) (zone "b"))
        (trouble "tear" (at 5s) (part 100%))"#;
    let outcome = play_virtually(
        Scenario::read("storm.sx", text, seed).unwrap(),
        product_edge(),
    )
    .unwrap();
    assert!(
        outcome.is_good() && outcome.verdict.finished > 1000,
        "{}",
        outcome.text()
    );
}

/// All variants run on the same seeds: a variant compared with itself shows no difference, a worse one a clear
/// difference.
#[rstest]
fn an_experiment_distinguishes_only_variants_that_differ() {
    let text = r#"
        (workload "job" (start-target 1s) (time-limit 3s) (effect restartable))
        (function "f-*" (workload "job") (memory 200MB) (lanes 2))
        (copies (on-miss miss))
        (fleet (workers 4) (edges 2) (cores 4))
        (traffic (length 3s) (rate 200) (functions 30))
        (calls "job" (share 1) (work 30ms))
        (experiment (seeds 4))
        (variant "as built") (variant "the same") (variant "random" (decides random))"#;
    let experiment = sanddrum_lab::Experiment::read("e.sx", text, None).unwrap();
    let results = experiment.run_all(2, |_| ()).unwrap();
    let loads = |n: usize| {
        results[n]
            .iter()
            .map(|result| result.load_commands)
            .collect::<Vec<f64>>()
    };
    let same = sanddrum_lab::difference(&loads(0), &loads(1));
    assert_eq!(
        (same.mean, same.lower, same.upper, same.is_clear()),
        (0.0, 0.0, 0.0, false)
    );
    assert!(sanddrum_lab::difference(&loads(0), &loads(2)).is_clear());
    let page = sanddrum_lab::report::html(&experiment, &results).unwrap();
    assert!(
        page.contains("<svg") && page.contains("random") && page.contains("Warning: only 4 seeds")
    );
}
