//! The host ends now: each job has its final answer in that round, and is told that trying again is harmless where it is.

mod host;

use host::*;
use rstest::rstest;
use sanddrum::*;

fn closes(host: &mut Host) {
    host.handle(EventBatch {
        shutting_down: true,
        ..EventBatch::default()
    });
}

#[rstest]
#[case::restartable("restartable", Did::PushBack(1))]
#[case::run_once("run-once", Did::Kill(1))]
fn a_job_that_is_out_is_pushed_back_where_running_it_again_is_harmless(
    #[case] effect: &str,
    #[case] answer: Did,
) {
    let mut host = Host::new(2, &[("workloads.0.effect", Value::Text(effect.into()))]);
    host.job(1, 7);
    assert!(host.sent(1).is_some());
    closes(&mut host);
    assert_eq!(host.log.did.last(), Some(&answer));
    host.finish(1, Warmth::Warm, 50_000);
    assert_eq!(host.finals(1), 1, "one answer, and nothing after it");
}

#[rstest]
fn a_job_that_never_ran_is_pushed_back_whatever_its_effect() {
    let mut host = Host::new(1, &[("workloads.0.effect", Value::Text("run-once".into()))]);
    host.job(1, 7);
    host.end(1, Outcome::Rejected, Warmth::Unknown, 1_000);
    closes(&mut host);
    assert_eq!(host.log.did.last(), Some(&Did::PushBack(1)));
}

#[rstest]
fn all_that_is_held_is_answered_at_once() {
    let mut host = Host::new(
        1,
        &[
            ("copies.on-miss", Value::Text("miss".into())),
            ("copies.orders", Value::Flag(true)),
        ],
    );
    (0..20).for_each(|id| host.job(id, id));
    closes(&mut host);
    assert!((0..20).all(|id| host.finals(id) == 1));
}
