//! The emulated machine: loads, queueing, and collapse under overload while it warms up.

use rstest::rstest;
use sanddrum_emulator::machine::{Effect, Machine, MachineConfig, OnMiss, Task, Ticket};
use sanddrum_net::Micros;
use sanddrum_wire::ExecutionStatus;

fn new_machine(on_miss: OnMiss, started: Micros) -> Machine {
    let size = MachineConfig {
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
    Machine::new(size, 1, started)
}
fn task(n: u64, function: &str) -> Task {
    Task {
        ticket: Ticket {
            connection: 0,
            id: n,
        },
        function: function.into(),
        memory_mb: 300.0,
        concurrency: 1,
        work: 100_000.0,
        idempotency_key: None,
        deadline: 5_000_000,
    }
}
fn drain_outcomes(machine: &mut Machine) -> Vec<(u64, ExecutionStatus)> {
    let done = machine.effects.drain(..).filter_map(|e| match e {
        Effect::Done {
            ticket,
            status: ended,
            ..
        } => Some((ticket.id, ended)),
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
    assert_eq!(machine.loaded_instances("a"), 0, "idle for its keep-alive");
}

#[rstest]
fn a_failed_load_and_a_full_queue_answer_that_a_request_has_not_run() {
    let mut machine = new_machine(OnMiss::Load, 0);
    (1..=5).for_each(|n| machine.accept(0, task(n, "a"), false));
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
fn a_warming_machine_collapses_under_far_too_much_work() {
    let mut machine = new_machine(OnMiss::Miss, 1_000_000);
    // A fifth of two cores, three times over, for half a window at least: 1.8 s of work.
    (0..18).for_each(|n| machine.accept(1_000_001, task(n, "a"), false));
    assert!(!machine.effects.contains(&Effect::Collapsed));
    machine.accept(1_000_001, task(18, "a"), false);
    assert!(machine.effects.contains(&Effect::Collapsed));
}
