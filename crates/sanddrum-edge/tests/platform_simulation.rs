//! Tests of the edge with the default decision module on a virtual network, with the platform's protocols.

mod harness;

use harness::simulation::{phase_event, Simulation, START};
use harness::SECOND;
use rstest::rstest;

#[rstest]
fn requests_are_served_without_faults() {
    let mut simulation = Simulation::new(500, 0, vec![]);
    simulation.run_for(12 * SECOND);
    assert!(simulation.verify(500) > 480);
}

#[rstest]
fn malformed_answers_affect_only_their_own_requests() {
    let mut simulation = Simulation::new(500, 11, vec![]);
    simulation.run_for(12 * SECOND);
    let finished = simulation.verify(500);
    assert!((400..500).contains(&finished), "{finished}");
}

#[rstest]
fn a_draining_worker_gets_no_new_attempts_and_a_failed_worker_loses_no_requests() {
    let draining_event = phase_event(2, "terminating");
    let gone_event = phase_event(3, "terminated");
    let events = vec![(2 * SECOND, draining_event), (3 * SECOND, gone_event)];
    let mut simulation = Simulation::new(500, 0, events);
    simulation.run_for(4 * SECOND);
    let last = simulation
        .observations
        .borrow()
        .last_message_at
        .get("a")
        .copied()
        .unwrap_or(0);
    assert!(last <= START + 2 * SECOND + 250_000, "{last}");
    let failed = simulation.workers[1];
    simulation.net.kill(failed);
    simulation.run_for(12 * SECOND);
    assert!(simulation.verify(500) > 400);
}

#[rstest]
fn runs_with_equal_seeds_are_equal() {
    let run = || {
        let mut simulation = Simulation::new(200, 11, vec![]);
        simulation.run_for(8 * SECOND);
        let seen = simulation.observations.borrow();
        (seen.responses.clone(), seen.executions.clone())
    };
    assert_eq!(run(), run());
}
