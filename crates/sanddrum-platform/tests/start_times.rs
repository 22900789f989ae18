//! When servers started, as far as dates of stepped clocks and the feed let it be known.

use proptest::prelude::*;
use rstest::rstest;
use sanddrum_platform::control_feed::Member;
use sanddrum_platform::start_times::{ClockReading, StartTimes};
use sanddrum_wire::{EndpointRecord, Phase};

const S: i64 = 1_000_000;
const HOUR: i64 = 3600 * S;
/// The driver's clock as the stories begin.
const BEGUN: i64 = 1_000_000 * S;

fn member(name: &str, up_since: i64) -> Member {
    let row = EndpointRecord {
        name: name.into(),
        phase: Phase::Ready,
        ..EndpointRecord::default()
    };
    Member {
        endpoint: row,
        up_since_ms: up_since / 1000,
    }
}
/// Takes one event with one server; its incarnation and age.
fn told(starts: &mut StartTimes, now: i64, wall: i64, up_since: i64) -> (u64, i64) {
    starts.observe_clocks(ClockReading { now, wall });
    let rows = starts.endpoints(now, vec![member("a", up_since)], false);
    starts.finish_batch(now);
    (rows[0].incarnation, rows[0].age_us)
}

#[rstest]
#[case::no_step(0, 0)]
#[case::all_clocks_back(-HOUR, -HOUR)]
#[case::all_clocks_forward(HOUR, HOUR)]
#[case::only_this_clock_forward(HOUR, 0)]
#[case::only_this_clock_back(-HOUR, 0)]
fn a_start_told_after_a_long_gap_is_no_older_than_it_is(#[case] here: i64, #[case] there: i64) {
    let mut starts = StartTimes::default();
    starts.observe_clocks(ClockReading {
        now: BEGUN,
        wall: BEGUN,
    });
    starts.finish_batch(BEGUN);
    let (started, now) = (BEGUN + 50 * S, BEGUN + 60 * S);
    let (_, age) = told(&mut starts, now, now + here, started + there);
    assert!(age <= 10 * S, "{age}");
}

#[rstest]
fn the_same_date_is_the_same_start_and_an_earlier_one_a_later_start() {
    let mut starts = StartTimes::default();
    let (first, _) = told(&mut starts, BEGUN, BEGUN, BEGUN - 5 * S);
    let (again, age) = told(&mut starts, BEGUN + S, BEGUN + S, BEGUN - 5 * S);
    let (later, new_age) = told(
        &mut starts,
        BEGUN + 2 * S,
        BEGUN + 2 * S - HOUR,
        BEGUN + S - HOUR,
    );
    assert_eq!((first, again), (1, 1));
    assert!(
        age <= 6 * S && later == 2 && new_age <= S,
        "{age} {later} {new_age}"
    );
}

#[rstest]
fn a_date_a_little_ahead_of_this_clock_is_a_start_just_now() {
    let mut starts = StartTimes::default();
    starts.observe_clocks(ClockReading {
        now: BEGUN,
        wall: BEGUN + HOUR,
    });
    let (_, age) = told(
        &mut starts,
        BEGUN + 100 * S,
        BEGUN + 100 * S,
        BEGUN + 100 * S + 3000,
    );
    assert_eq!(age, 0);
}

#[rstest]
fn a_server_that_stands_since_long_stays_one_whatever_the_clocks_do() {
    let mut starts = StartTimes::default();
    for step in [0, HOUR, -HOUR] {
        assert_eq!(told(&mut starts, BEGUN + S, BEGUN + S + step, 0), (0, -1));
    }
}

proptest! {
    /// Steps of the common clock of any size, at any time before and after a start that is told with a delay: the age is
    /// at most the true one, or what has passed since the answer before.
    #[test]
    fn no_step_makes_a_start_older(
        steps in prop::collection::vec((-2 * HOUR..2 * HOUR, 1i64..20), 0..3),
        start in 0i64..60, late in 0i64..5,
    ) {
        let mut starts = StartTimes::default();
        let mut at = 0;
        let offset_at = |second: i64| {
            let mut from = 0;
            steps.iter().filter(|(_, after)| { from += after; from <= second }).map(|(by, _)| by).sum::<i64>()
        };
        while at < start + late {
            let now = BEGUN + at * S;
            starts.observe_clocks(ClockReading { now, wall: now + offset_at(at) });
            starts.finish_batch(now);
            at += 1;
        }
        let now = BEGUN + (start + late) * S;
        let up_since = BEGUN + start * S + offset_at(start);
        let (_, age) = told(&mut starts, now, now + offset_at(start + late), up_since);
        prop_assert!(age <= (late * S).max(S), "{} of {}", age, late * S);
    }
}
