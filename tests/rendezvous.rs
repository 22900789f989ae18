//! The order of candidates: what it is by a plain pass over all, and how far it moves.

use proptest::prelude::*;
use rstest::rstest;
use sanddrum::rendezvous::{cell, clock, draws, levels, steps, Order};
use std::collections::{BTreeMap, BTreeSet};

type Fleet = BTreeMap<u64, f64>;

fn order_of(fleet: &Fleet) -> Order {
    let mut order = Order::default();
    fleet
        .iter()
        .for_each(|(key, weight)| order.put(*key, *weight));
    order
}

/// Every key with its draw, by a pass over all of them a level.
fn times(fleet: &[(u64, u64)], seed: u64, level: u32, when: f64) -> Vec<(f64, u64)> {
    let mut below: BTreeMap<u64, Vec<(u64, u64)>> = BTreeMap::new();
    for (key, weight) in fleet {
        let at = if level == levels() {
            *key
        } else {
            cell(*key, level + 1) as u64
        };
        below.entry(at).or_default().push((*key, *weight));
    }
    let clocks = below.iter().map(|(at, keys)| {
        let weight = keys.iter().map(|(_, weight)| weight).sum();
        (clock(draws(seed, level + 1), *at, weight), keys)
    });
    let clocks: Vec<_> = clocks.collect();
    let soonest = clocks
        .iter()
        .map(|(clock, _)| *clock)
        .fold(f64::INFINITY, f64::min);
    let each = clocks.into_iter().flat_map(|(clock, keys)| {
        let when = when + clock - soonest;
        if level == levels() {
            vec![(when, keys[0].0)]
        } else {
            times(keys, seed, level + 1, when)
        }
    });
    each.collect()
}

fn sorted(fleet: &Fleet, seed: u64) -> Vec<u64> {
    let fleet: Vec<_> = fleet
        .iter()
        .map(|(key, weight)| (*key, steps(*weight)))
        .collect();
    let mut all = times(&fleet, seed, 0, 0.0);
    all.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    all.into_iter().map(|(_, key)| key).collect()
}

fn of(keys: std::ops::Range<u64>) -> Fleet {
    keys.map(|key| (key, [1.0, 2.0, 16.0][key as usize % 3]))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_order_is_that_of_all_draws_sorted(
        fleet in prop::collection::btree_map(any::<u64>(), 0.01f64..64.0, 0..600),
        seed in any::<u64>(),
    ) {
        prop_assert_eq!(order_of(&fleet).drawn(seed).collect::<Vec<_>>(), sorted(&fleet, seed));
    }

    #[test]
    fn it_does_not_depend_on_how_the_fleet_came_about(
        fleet in prop::collection::btree_map(any::<u64>(), 0.01f64..64.0, 1..200),
        gone in prop::collection::btree_map(any::<u64>(), 0.01f64..64.0, 0..200),
        seed in any::<u64>(),
    ) {
        let mut order = order_of(&gone);
        fleet.iter().rev().for_each(|(key, weight)| order.put(*key, weight + 1.0));
        gone.keys().filter(|key| !fleet.contains_key(key)).for_each(|key| order.remove(*key));
        fleet.iter().for_each(|(key, weight)| order.put(*key, *weight));
        let anew = order_of(&fleet);
        prop_assert_eq!(order.drawn(seed).collect::<Vec<_>>(), anew.drawn(seed).collect::<Vec<_>>());
        prop_assert_eq!((order.len(), order.total().to_bits()), (anew.len(), anew.total().to_bits()));
    }
}

#[rstest]
#[case::ten(10)]
#[case::a_hundred(100)]
#[case::ten_thousand(10_000)]
fn each_comes_first_as_often_as_its_weight_says(#[case] keys: u64) {
    let (fleet, draws) = (of(0..keys), 20_000);
    let (order, total) = (order_of(&fleet), fleet.values().sum::<f64>());
    let mut by_weight = [0.0; 3];
    for seed in 0..draws {
        let key = order.drawn(seed).next().unwrap_or(u64::MAX);
        by_weight[key as usize % 3] += 1.0 / draws as f64;
    }
    for (n, seen) in by_weight.into_iter().enumerate() {
        let told = fleet
            .iter()
            .filter(|(key, _)| **key as usize % 3 == n)
            .map(|(_, w)| w)
            .sum::<f64>()
            / total;
        assert!((seen - told).abs() < 0.015, "{seen} of {told}");
    }
}

/// How many of many seeds find another first key.
fn moved(one: &Order, other: &Order) -> f64 {
    let moved = (0..20_000)
        .filter(|seed| one.drawn(*seed).next() != other.drawn(*seed).next())
        .count();
    moved as f64 / 20_000.0
}

/// Each of the levels, and the keys below them, moves what has changed there at the most.
#[rstest]
#[case::ten_of_a_thousand_gone(1_000, 10)]
#[case::a_zone_gone(1_900, 100)]
#[case::one_of_ten_thousand_gone(10_000, 1)]
fn a_change_moves_first_keys_in_proportion(#[case] keys: u64, #[case] gone: u64) {
    let fleet: Fleet = (0..keys).map(|key| (key, 1.0)).collect();
    let (before, mut after) = (order_of(&fleet), order_of(&fleet));
    (0..gone).for_each(|key| after.remove(key * 7));
    let part = gone as f64 / keys as f64;
    let moved = moved(&before, &after);
    assert!(
        moved <= part * f64::from(levels() + 1) + 0.002,
        "{moved} where {part} has gone"
    );
}

#[rstest]
fn two_that_know_lists_a_little_different_mostly_find_the_same() {
    let fleet = of(0..2_000);
    let (one, mut other) = (order_of(&fleet), order_of(&fleet));
    (0..10).for_each(|n| other.remove(n * 190));
    (5_000..5_010).for_each(|key| other.put(key, 2.0));
    assert!(moved(&one, &other) < 0.04);
}

#[rstest]
fn a_fleet_grown_tenfold_keeps_a_tenth_in_place() {
    let one = |keys| (0..keys).map(|key| (key, 1.0)).collect::<Fleet>();
    let moved = moved(&order_of(&one(300)), &order_of(&one(3_000)));
    assert!((0.85..0.95).contains(&moved), "{moved}");
}

#[rstest]
fn none_and_one() {
    let mut order = Order::default();
    assert_eq!(order.drawn(1).next(), None);
    order.put(7, 0.0);
    assert_eq!(order.drawn(1).collect::<BTreeSet<_>>(), BTreeSet::from([7]));
    order.remove(7);
    order.remove(7);
    assert_eq!((order.drawn(1).next(), order.len()), (None, 0));
}
