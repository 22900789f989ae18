//! Stories of the stand-in's machine.

use super::*;
use rstest::rstest;

fn machine(on_miss: OnMiss, started: Micros) -> Machine {
    let size = Size {
        cores: 2,
        speed: 1.0,
        queue: 4,
        memory_mb: 1000.0,
        loads_at_once: 2,
        keep_alive: 8_000_000,
        on_miss,
        start_us_per_mb: 1000.0,
        cold_from: 0.2,
        cold: 10_000_000,
        fall_multiple: 3.0,
        fall: 3_000_000,
    };
    Machine::new(size, 1, started)
}
fn task(n: u64, function: &str) -> Task {
    Task {
        ticket: Ticket(0, n),
        function: function.into(),
        memory_mb: 300.0,
        lanes: 1,
        work: 100_000.0,
        mark: None,
        until: 5_000_000,
    }
}
fn ends(m: &mut Machine) -> Vec<(u64, ExecutionStatus)> {
    let done = m.effects.drain(..).filter_map(|e| match e {
        Effect::Done { ticket, ended, .. } => Some((ticket.1, ended)),
        _ => None,
    });
    done.collect()
}

#[rstest]
fn a_job_waits_for_its_load_and_finds_a_copy_the_next_time() {
    let mut m = machine(OnMiss::Load, 0);
    m.take(0, task(1, "a"), false);
    assert_eq!(
        m.effects.pop(),
        Some(Effect::Fetch {
            load: 1,
            function: "a".into(),
            size_mb: 300.0
        })
    );
    m.fetched(100_000, 1, true);
    assert_eq!(m.wake(), Some(400_000));
    m.advance(400_000);
    m.advance(500_000);
    assert_eq!(ends(&mut m), [(1, ExecutionStatus::Finished)]);
    m.take(600_000, task(2, "a"), false);
    assert_eq!(m.wake(), Some(700_000));
    m.advance(700_000);
    m.advance(8_700_000);
    assert_eq!(m.standing("a"), 0, "idle for its keep-alive");
}

#[rstest]
fn a_failed_load_and_a_full_queue_prove_that_a_job_has_not_run() {
    let mut m = machine(OnMiss::Load, 0);
    (1..=5).for_each(|n| m.take(0, task(n, "a"), false));
    assert_eq!(ends(&mut m), [(5, ExecutionStatus::Rejected)]);
    m.fetched(10, 1, false);
    assert_eq!(ends(&mut m).len(), 4);
    m.take(20, task(6, "a"), true);
    assert_eq!(ends(&mut m), [(6, ExecutionStatus::Rejected)], "draining");
    let mut m = machine(OnMiss::Miss, 0);
    m.take(0, task(1, "a"), false);
    assert_eq!(ends(&mut m), [(1, ExecutionStatus::ColdMiss)]);
}

#[rstest]
fn a_cold_machine_falls_over_under_far_too_much() {
    let mut m = machine(OnMiss::Miss, 1_000_000);
    // A fifth of two cores, three times over, for half a window at least: 1.8 s of work.
    (0..18).for_each(|n| m.take(1_000_001, task(n, "a"), false));
    assert!(!m.effects.contains(&Effect::Fell));
    m.take(1_000_001, task(18, "a"), false);
    assert!(m.effects.contains(&Effect::Fell));
}
