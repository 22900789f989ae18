use rstest::rstest;
use sanddrum_lab::{play_virtually, product_edge, Scenario, BAD_DAY};

#[rstest]
fn the_bad_day_ends_well_and_twice_alike(#[values(1, 2, 3)] seed: u64) {
    let scenario = Scenario::read("bad-day.sx", BAD_DAY, seed).unwrap();
    let first = play_virtually(scenario.clone(), product_edge()).unwrap();
    assert!(first.is_good(), "{}", first.text());
    let second = play_virtually(scenario, product_edge()).unwrap();
    assert_eq!(first.json(), second.json());
}
