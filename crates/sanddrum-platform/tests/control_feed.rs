//! Parsing of the control feed's events.

use rstest::rstest;
use sanddrum_platform::control_feed::{self, MembershipUpdate};
use sanddrum_platform::start_times::{ClockReading, StartTimes};
use sanddrum_wire::Phase;
use serde_json::json;

#[rstest]
fn events_are_parsed_with_the_phases_kinds_and_start_times_of_workers() {
    let member = |id: &str, phase: &str, up_since_ms: i64| {
        json!({"id": id, "host_port": "10.1.0.9:8080", "locality": "here", "flavor": "fast", "cell": 2,
               "phase": phase, "size": 4, "up_since_ms": up_since_ms})
    };
    let response = json!({"n": 9, "events": [
        {"n": 8, "members": {"revision": 1, "complete": true, "members": [member("a", "in_service", 0)]}},
        {"n": 9, "members": {"revision": 2, "complete": false, "members": [
            member("a", "terminating", 0),
            member("b", "in_service", 5_000),
            member("c", "terminated", 0),
        ]}},
    ]});
    let kinds = ["slow".to_string(), "fast".to_string()];
    let feed = control_feed::read(response.to_string().as_bytes(), &kinds).unwrap();
    assert_eq!(
        (
            feed.last_number,
            feed.events[0].number,
            feed.events[1].number
        ),
        (9, 8, 9)
    );
    let first_update = feed.events[0].members.as_ref().unwrap();
    let MembershipUpdate {
        is_full_snapshot,
        members,
    } = feed.events[1].members.clone().unwrap();
    assert!(!is_full_snapshot && first_update.is_full_snapshot);
    let phases: Vec<Phase> = members.iter().map(|member| member.endpoint.phase).collect();
    assert_eq!(phases, [Phase::Draining, Phase::Ready, Phase::Gone]);

    let now = 7_000_000;
    let mut start_times = StartTimes::default();
    start_times.observe_clocks(ClockReading { now, wall: now });
    let endpoints = start_times.endpoints(now, members, is_full_snapshot);
    assert_eq!((endpoints[0].age_us, endpoints[1].age_us), (-1, 2_000_000));
    assert_eq!((endpoints[1].kind, endpoints[1].cell), (1, 2));
}
