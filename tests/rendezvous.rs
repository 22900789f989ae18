//! Weighted rendezvous hashing, compared with sorting all keys, and the part of a ranking that a change moves.

use proptest::prelude::*;
use rstest::rstest;
use sanddrum::rendezvous::{
    exponential_clock, level_seed, node_of, weight_steps, RendezvousTree, LEVELS,
};
use std::collections::{BTreeMap, BTreeSet};

/// Keys and their weights.
type Fleet = BTreeMap<u64, f64>;

fn tree_of(fleet: &Fleet) -> RendezvousTree {
    let mut tree = RendezvousTree::default();
    for (key, weight) in fleet {
        tree.insert(*key, *weight);
    }
    tree
}

/// The keys 0 to `count` - 1, all of the same weight.
fn equal_weights(count: u64) -> Fleet {
    (0..count).map(|key| (key, 1.0)).collect()
}

/// Keys whose weights are 1, 2 and 16 in turn.
fn mixed_weights(keys: std::ops::Range<u64>) -> Fleet {
    keys.map(|key| (key, [1.0, 2.0, 16.0][key as usize % 3]))
        .collect()
}

/// The time of each key, computed by a pass over all keys for each level.
fn reference_times(keys: &[(u64, u64)], seed: u64, level: u32, time: f64) -> Vec<(f64, u64)> {
    let mut children: BTreeMap<u64, Vec<(u64, u64)>> = BTreeMap::new();
    for (key, weight) in keys {
        let child = if level == LEVELS {
            *key
        } else {
            node_of(*key, level + 1) as u64
        };
        children.entry(child).or_default().push((*key, *weight));
    }
    let seed_below = level_seed(seed, level + 1);
    let clocks = children.iter().map(|(child, keys)| {
        let weight = keys.iter().map(|(_, weight)| weight).sum();
        (exponential_clock(seed_below, *child, weight), keys)
    });
    let clocks: Vec<_> = clocks.collect();
    let first = clocks
        .iter()
        .map(|(clock, _)| *clock)
        .fold(f64::INFINITY, f64::min);
    let times = clocks.into_iter().flat_map(|(clock, keys)| {
        let time = time + clock - first;
        if level == LEVELS {
            vec![(time, keys[0].0)]
        } else {
            reference_times(keys, seed, level + 1, time)
        }
    });
    times.collect()
}

fn reference_ranking(fleet: &Fleet, seed: u64) -> Vec<u64> {
    let keys: Vec<_> = fleet
        .iter()
        .map(|(key, weight)| (*key, weight_steps(*weight)))
        .collect();
    let mut times = reference_times(&keys, seed, 0, 0.0);
    times.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    times.into_iter().map(|(_, key)| key).collect()
}

/// The fraction of many seeds for which two trees rank different keys first.
fn fraction_moved(one: &RendezvousTree, other: &RendezvousTree) -> f64 {
    const SEEDS: u64 = 20_000;
    let moved = (0..SEEDS)
        .filter(|seed| one.ranking(*seed).next() != other.ranking(*seed).next())
        .count();
    moved as f64 / SEEDS as f64
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn ranking_equals_all_keys_sorted_by_their_times(
        fleet in prop::collection::btree_map(any::<u64>(), 0.01f64..64.0, 0..600),
        seed in any::<u64>(),
    ) {
        prop_assert_eq!(tree_of(&fleet).ranking(seed).collect::<Vec<_>>(), reference_ranking(&fleet, seed));
    }

    #[test]
    fn ranking_does_not_depend_on_the_order_of_insertions_and_removals(
        fleet in prop::collection::btree_map(any::<u64>(), 0.01f64..64.0, 1..200),
        removed in prop::collection::btree_map(any::<u64>(), 0.01f64..64.0, 0..200),
        seed in any::<u64>(),
    ) {
        let mut changed = tree_of(&removed);
        fleet.iter().rev().for_each(|(key, weight)| changed.insert(*key, weight + 1.0));
        removed.keys().filter(|key| !fleet.contains_key(key)).for_each(|key| changed.remove(*key));
        fleet.iter().for_each(|(key, weight)| changed.insert(*key, *weight));
        let rebuilt = tree_of(&fleet);
        prop_assert_eq!(changed.ranking(seed).collect::<Vec<_>>(), rebuilt.ranking(seed).collect::<Vec<_>>());
        prop_assert_eq!(changed.len(), rebuilt.len());
        prop_assert_eq!(changed.total_weight().to_bits(), rebuilt.total_weight().to_bits());
    }
}

#[rstest]
#[case::ten(10)]
#[case::a_hundred(100)]
#[case::ten_thousand(10_000)]
fn keys_rank_first_in_proportion_to_their_weights(#[case] keys: u64) {
    const SEEDS: u64 = 20_000;
    let fleet = mixed_weights(0..keys);
    let tree = tree_of(&fleet);
    let total_weight = fleet.values().sum::<f64>();
    let mut first_by_class = [0.0; 3];
    for seed in 0..SEEDS {
        let key = tree.ranking(seed).next().unwrap_or(u64::MAX);
        first_by_class[key as usize % 3] += 1.0 / SEEDS as f64;
    }
    for (class, actual) in first_by_class.into_iter().enumerate() {
        let class_weight = fleet
            .iter()
            .filter(|(key, _)| **key as usize % 3 == class)
            .map(|(_, weight)| weight)
            .sum::<f64>();
        let expected = class_weight / total_weight;
        assert!(
            (actual - expected).abs() < 0.015,
            "{actual}, expected {expected}"
        );
    }
}

/// Each level of inner nodes, and the keys below the last one, may move no more than the fraction that was removed.
#[rstest]
#[case::ten_of_a_thousand(1_000, 10)]
#[case::a_zone(1_900, 100)]
#[case::one_of_ten_thousand(10_000, 1)]
fn removals_move_first_keys_in_proportion(#[case] keys: u64, #[case] removed: u64) {
    let before = tree_of(&equal_weights(keys));
    let mut after = before.clone();
    (0..removed).for_each(|key| after.remove(key * 7));
    let fraction_removed = removed as f64 / keys as f64;
    let moved = fraction_moved(&before, &after);
    assert!(
        moved <= fraction_removed * f64::from(LEVELS + 1) + 0.002,
        "{moved} moved where {fraction_removed} was removed"
    );
}

#[rstest]
fn trees_that_differ_in_a_few_keys_mostly_agree() {
    let one = tree_of(&mixed_weights(0..2_000));
    let mut other = one.clone();
    (0..10).for_each(|key| other.remove(key * 190));
    (5_000..5_010).for_each(|key| other.insert(key, 2.0));
    assert!(fraction_moved(&one, &other) < 0.04);
}

#[rstest]
fn tenfold_growth_keeps_a_tenth_of_first_keys() {
    let moved = fraction_moved(
        &tree_of(&equal_weights(300)),
        &tree_of(&equal_weights(3_000)),
    );
    assert!((0.85..0.95).contains(&moved), "{moved}");
}

#[rstest]
fn empty_tree_and_single_key_are_ranked() {
    let mut tree = RendezvousTree::default();
    assert_eq!(tree.ranking(1).next(), None);
    tree.insert(7, 0.0);
    assert_eq!(
        tree.ranking(1).collect::<BTreeSet<_>>(),
        BTreeSet::from([7])
    );
    tree.remove(7);
    tree.remove(7);
    assert_eq!((tree.ranking(1).next(), tree.len()), (None, 0));
}
