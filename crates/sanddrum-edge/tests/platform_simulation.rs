//! The edge with its decision module on a simulated network, in the platform's protocol.

mod harness;

use harness::simulation::{phase_event, Simulation, BEGIN};
use harness::SECOND;
use rstest::rstest;

#[rstest]
fn a_calm_day_is_served() {
    let mut simulation = Simulation::new(500, 0, vec![]);
    simulation.run_for(12 * SECOND);
    assert!(simulation.verify(500) > 480);
}

#[rstest]
fn malformed_answers_cost_only_the_requests_they_belong_to() {
    let mut simulation = Simulation::new(500, 11, vec![]);
    simulation.run_for(12 * SECOND);
    let finished = simulation.verify(500);
    assert!((400..500).contains(&finished), "{finished}");
}

#[rstest]
fn a_draining_worker_gets_no_new_attempt_and_a_killed_one_loses_no_request() {
    let draining = phase_event(2, "terminating");
    let gone = phase_event(3, "terminated");
    let events = vec![(2 * SECOND, draining), (3 * SECOND, gone)];
    let mut simulation = Simulation::new(500, 0, events);
    simulation.run_for(4 * SECOND);
    let last = simulation
        .observations
        .borrow()
        .last_message_at
        .get("a")
        .copied()
        .unwrap_or(0);
    assert!(last <= BEGIN + 2 * SECOND + 250_000, "{last}");
    let killed = simulation.workers[1];
    simulation.net.kill(killed);
    simulation.run_for(12 * SECOND);
    assert!(simulation.verify(500) > 400);
}

#[rstest]
fn equal_seeds_give_equal_runs() {
    let run = || {
        let mut simulation = Simulation::new(200, 11, vec![]);
        simulation.run_for(8 * SECOND);
        let seen = simulation.observations.borrow();
        (seen.responses.clone(), seen.executions.clone())
    };
    assert_eq!(run(), run());
}
