//! The emulated machine: loads, queueing, and collapse under overload while it warms up.

use rstest::rstest;
use sanddrum_emulator::machine::{Effect, Machine, MachineConfig, OnMiss, Task, Ticket};
use sanddrum_net::Micros;
use sanddrum_wire::ExecutionStatus;

fn new_machine(on_miss: OnMiss, started_at: Micros) -> Machine {
    let config = MachineConfig {
        cores: 2,
        speed: 1.0,
        queue_limit: 4,
        memory_mb: 1000.0,
        concurrent_loads: 2,
        keep_alive: 8_000_000,
        on_miss,
        start_us_per_mb: 1000.0,
        initial_capacity: 0.2,
        warm_up: 10_000_000,
        collapse_multiple: 3.0,
        collapse_window: 3_000_000,
    };
    Machine::new(config, 1, started_at)
}

fn task(id: u64, function: &str) -> Task {
    Task {
        ticket: Ticket { connection: 0, id },
        function: function.into(),
        memory_mb: 300.0,
        concurrency: 1,
        work: 100_000.0,
        idempotency_key: None,
        deadline: 5_000_000,
    }
}

/// Takes all effects, and returns the ids and statuses of the answered attempts.
fn drain_outcomes(machine: &mut Machine) -> Vec<(u64, ExecutionStatus)> {
    let done = machine.effects.drain(..).filter_map(|effect| match effect {
        Effect::Done { ticket, status, .. } => Some((ticket.id, status)),
        _ => None,
    });
    done.collect()
}

#[rstest]
fn a_request_waits_for_its_load_and_the_next_one_finds_a_warm_instance() {
    let mut machine = new_machine(OnMiss::Load, 0);
    machine.accept(0, task(1, "a"), false);
    assert_eq!(
        machine.effects.pop(),
        Some(Effect::Fetch {
            load: 1,
            function: "a".into(),
            size_mb: 300.0
        })
    );
    machine.finish_fetch(100_000, 1, true);
    assert_eq!(machine.next_wakeup(), Some(400_000));
    machine.advance(400_000);
    machine.advance(500_000);
    assert_eq!(
        drain_outcomes(&mut machine),
        [(1, ExecutionStatus::Finished)]
    );
    machine.accept(600_000, task(2, "a"), false);
    assert_eq!(machine.next_wakeup(), Some(700_000));
    machine.advance(700_000);
    machine.advance(8_700_000);
    assert_eq!(
        machine.loaded_instances("a"),
        0,
        "unloaded after its keep-alive"
    );
}

#[rstest]
fn a_request_that_cannot_run_is_answered_as_rejected_or_as_a_cold_miss() {
    let mut machine = new_machine(OnMiss::Load, 0);
    (1..=5).for_each(|id| machine.accept(0, task(id, "a"), false));
    assert_eq!(
        drain_outcomes(&mut machine),
        [(5, ExecutionStatus::Rejected)]
    );
    machine.finish_fetch(10, 1, false);
    assert_eq!(drain_outcomes(&mut machine).len(), 4);
    machine.accept(20, task(6, "a"), true);
    assert_eq!(
        drain_outcomes(&mut machine),
        [(6, ExecutionStatus::Rejected)],
        "draining"
    );
    let mut machine = new_machine(OnMiss::Miss, 0);
    machine.accept(0, task(1, "a"), false);
    assert_eq!(
        drain_outcomes(&mut machine),
        [(1, ExecutionStatus::ColdMiss)]
    );
}

#[rstest]
fn a_warming_machine_collapses_above_its_collapse_threshold() {
    let mut machine = new_machine(OnMiss::Miss, 1_000_000);
    // Three times a fifth of two cores over half the window of 3 s, its minimum: 1.8 s of work, or 18 tasks of 0.1 s.
    (0..18).for_each(|id| machine.accept(1_000_001, task(id, "a"), false));
    assert!(!machine.effects.contains(&Effect::Collapsed));
    machine.accept(1_000_001, task(18, "a"), false);
    assert!(machine.effects.contains(&Effect::Collapsed));
}
