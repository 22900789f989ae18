//! Subscription to endpoint lists.

mod common;

use common::{text, Action, FakeHost};
use rstest::rstest;
use sanddrum::{EndpointListKind, Value};

#[rstest]
#[case::subscription_required("subscribe", 1)]
#[case::sent_without_a_subscription("automatic", 0)]
fn endpoint_list_is_subscribed_to_again_after_a_failure(
    #[case] mode: &str,
    #[case] subscriptions: usize,
) {
    let settings = [
        ("membership-mode", text(mode)),
        ("rules.ask-every-us", Value::Number(8e6)),
    ];
    let mut host = FakeHost::new(2, &settings);
    let count = |host: &FakeHost| host.count(|action| *action == Action::Subscribe);
    assert_eq!(count(&host), subscriptions);
    for _ in 0..subscriptions {
        host.update_endpoints(EndpointListKind::Failed, vec![]);
        host.update_endpoints(EndpointListKind::Failed, vec![]);
        host.advance(900_000);
        assert_eq!(
            count(&host),
            subscriptions,
            "the retry is delayed, so that not all routers retry together"
        );
        host.advance(1_200_000);
        assert_eq!(count(&host), 2 * subscriptions);
    }
    host.send(1, 7);
    assert!(
        host.is_dispatched(1),
        "the list before the failure is still valid"
    );
}
