//! Where neither probes nor orders are allowed, nothing can be asked of a worker that says nothing.

mod host;

use host::*;
use rstest::rstest;
use sanddrum::*;

#[rstest]
fn a_job_that_takes_long_is_not_moved_where_nothing_can_be_asked() {
    let mut host = Host::new(2, &[]);
    host.job(0, 7);
    host.finish(0, Warmth::StartedLoad, 900_000);
    host.job(1, 7);
    host.pass(2_000_000);
    assert_eq!(host.tries[&1], 1);
    assert_eq!(host.count(|did| matches!(did, Did::Cancel(..))), 0);
    host.finish(1, Warmth::Warm, 0);
    assert_eq!(host.finals(1), 0, "its answer is its client's");
}

#[rstest]
fn a_worker_that_could_not_be_reached_is_left_alone_and_then_tried_again() {
    let mut host = Host::new(5, &[]);
    host.job(0, 0);
    let away = host.sent(0).unwrap();
    host.end(0, Outcome::NoConnection, Warmth::Unknown, 1_000);
    let given_to = |host: &mut Host, ids: std::ops::Range<u64>| {
        ids.filter(|id| {
            host.job(*id, *id);
            let at = host.sent(*id);
            if at.is_some_and(|at| at != away) {
                host.finish(*id, Warmth::StartedLoad, 20_000);
            }
            at == Some(away)
        })
        .count()
    };
    assert_eq!(given_to(&mut host, 1..4), 0);
    host.pass(1_000_000);
    assert!(
        given_to(&mut host, 4..40) > 0,
        "it may be back, and only a job can show that"
    );
}
