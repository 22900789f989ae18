//! Start times of workers, derived from dates by clocks that may be stepped and from the order of the feed's
//! responses.

use proptest::prelude::*;
use rstest::rstest;
use sanddrum_platform::control_feed::Member;
use sanddrum_platform::start_times::{ClockReading, StartTimes};
use sanddrum_wire::{EndpointRecord, Phase};

const SECOND: i64 = 1_000_000;
const HOUR: i64 = 3600 * SECOND;
/// The driver's clock at the beginning of a test, in microseconds.
const BEGIN: i64 = 1_000_000 * SECOND;

fn member(name: &str, up_since_us: i64) -> Member {
    let endpoint = EndpointRecord {
        name: name.into(),
        phase: Phase::Ready,
        ..EndpointRecord::default()
    };
    Member {
        endpoint,
        up_since_ms: up_since_us / 1000,
    }
}

/// Processes a response with one event and one worker, and returns the worker's incarnation and age.
fn observe(starts: &mut StartTimes, clocks: ClockReading, up_since_us: i64) -> (u64, i64) {
    starts.observe_clocks(clocks);
    let endpoints = starts.endpoints(clocks.now, vec![member("a", up_since_us)], false);
    starts.mark_caught_up(clocks.now);
    (endpoints[0].incarnation, endpoints[0].age_us)
}

/// Both clocks at `now`, with the wall clock ahead by `offset`.
fn clocks(now: i64, offset: i64) -> ClockReading {
    ClockReading {
        now,
        wall: now + offset,
    }
}

#[rstest]
#[case::no_step(0, 0)]
#[case::all_clocks_back(-HOUR, -HOUR)]
#[case::all_clocks_forward(HOUR, HOUR)]
#[case::only_this_clock_forward(HOUR, 0)]
#[case::only_this_clock_back(-HOUR, 0)]
fn the_age_of_a_start_reported_late_is_not_overestimated(
    #[case] own_step: i64,
    #[case] worker_step: i64,
) {
    let mut starts = StartTimes::default();
    starts.observe_clocks(clocks(BEGIN, 0));
    starts.mark_caught_up(BEGIN);
    let started = BEGIN + 50 * SECOND;
    let now = BEGIN + 60 * SECOND;
    let (_, age_us) = observe(&mut starts, clocks(now, own_step), started + worker_step);
    assert!(age_us <= 10 * SECOND, "{age_us}");
}

#[rstest]
fn the_same_date_is_the_same_start_and_an_earlier_date_is_a_later_start() {
    let mut starts = StartTimes::default();
    let up_since = BEGIN - 5 * SECOND;
    let (first, _) = observe(&mut starts, clocks(BEGIN, 0), up_since);
    let (repeated, age_us) = observe(&mut starts, clocks(BEGIN + SECOND, 0), up_since);
    let (later, later_age_us) = observe(
        &mut starts,
        clocks(BEGIN + 2 * SECOND, -HOUR),
        BEGIN + SECOND - HOUR,
    );
    assert_eq!((first, repeated), (1, 1));
    assert!(
        age_us <= 6 * SECOND && later == 2 && later_age_us <= SECOND,
        "{age_us} {later} {later_age_us}"
    );
}

#[rstest]
fn a_date_slightly_ahead_of_the_wall_clock_means_an_age_of_zero() {
    let mut starts = StartTimes::default();
    starts.observe_clocks(clocks(BEGIN, HOUR));
    let now = BEGIN + 100 * SECOND;
    let (_, age_us) = observe(&mut starts, clocks(now, 0), now + 3000);
    assert_eq!(age_us, 0);
}

#[rstest]
fn a_worker_without_a_date_has_an_unknown_age_whatever_the_wall_clock_shows() {
    let mut starts = StartTimes::default();
    for step in [0, HOUR, -HOUR] {
        assert_eq!(
            observe(&mut starts, clocks(BEGIN + SECOND, step), 0),
            (0, -1)
        );
    }
}

proptest! {
    /// The wall clock that both sides share is stepped by any amount, at any time before or after a start that is
    /// reported with a delay. The age is at most the true age or, if longer, the time since the previous response.
    #[test]
    fn clock_steps_never_make_a_start_appear_older(
        steps in prop::collection::vec((-2 * HOUR..2 * HOUR, 1i64..20), 0..3),
        start_second in 0i64..60,
        delay_seconds in 0i64..5,
    ) {
        let offset_at = |second: i64| {
            let mut step_second = 0;
            steps
                .iter()
                .filter(|(_, after)| {
                    step_second += after;
                    step_second <= second
                })
                .map(|(step, _)| step)
                .sum::<i64>()
        };
        let mut starts = StartTimes::default();
        let report_second = start_second + delay_seconds;
        for second in 0..report_second {
            let now = BEGIN + second * SECOND;
            starts.observe_clocks(clocks(now, offset_at(second)));
            starts.mark_caught_up(now);
        }
        let up_since = BEGIN + start_second * SECOND + offset_at(start_second);
        let reported = clocks(BEGIN + report_second * SECOND, offset_at(report_second));
        let (_, age_us) = observe(&mut starts, reported, up_since);
        let max_age_us = (delay_seconds * SECOND).max(SECOND);
        prop_assert!(age_us <= max_age_us, "{} of {}", age_us, max_age_us);
    }
}
