//! The learned concurrency limits of workers.

mod common;

use common::{report, FakeHost};
use rstest::rstest;
use sanddrum::{Request, Warmth};

#[rstest]
#[case::without_a_queue(0.0, true)]
#[case::with_a_queue(3.0, false)]
fn heavy_requests_cut_the_limit_only_where_requests_are_queued(
    #[case] queued: f64,
    #[case] has_capacity: bool,
) {
    let mut host = FakeHost::new(1, &[]);
    host.report = report(1.0, queued);
    for id in 1..40 {
        host.send(id, 7);
        let warmth = if id == 1 {
            Warmth::StartedLoad
        } else {
            Warmth::Warm
        };
        host.succeed(id, warmth, 50_000);
    }
    for id in 40..48 {
        host.send(id, 7);
        host.succeed(id, Warmth::Warm, 400_000);
    }
    let parallel = |id| Request {
        concurrency: 100.0,
        ..host.request(id, 7)
    };
    let requests: Vec<Request> = (100..130).map(parallel).collect();
    host.send_all(requests);
    let dispatched = (100..130).filter(|id| host.is_dispatched(*id)).count();
    // 14 is 0.6 of the initial limit of 24, which is what requests of below-average value may use.
    assert_eq!(dispatched >= 14, has_capacity, "{dispatched}");
}
