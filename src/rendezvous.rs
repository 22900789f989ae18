//! Weighted rendezvous hashing over a tree: every router that knows the same keys ranks them alike for a seed, and finds
//! the ranking a step at a time. The next key costs draws along one path of the tree, however many keys there are.
//!
//! A key's position in the tree of fixed shape follows from a hash of the key alone. Among siblings, the one with the
//! least `-ln(draw) / weight` ranks first and the others later by the difference: a race of exponential clocks, in which
//! what is left after the first is again a race. So each key ranks first with a probability in proportion to its weight,
//! and changing one key's weight moves others only in that proportion, once for each level.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Levels of inner nodes below the root; the keys themselves are below the last one.
pub const LEVELS: u32 = 3;
/// Bits of a key's hash that select a child: a node has 16 children.
const BITS_PER_LEVEL: u32 = 4;
/// Weights are kept as integral steps, so that sums do not depend on the order in which keys were inserted.
const STEPS_PER_UNIT: f64 = 65_536.0;
/// The golden ratio as a fraction of 2^64 (Fibonacci hashing): spreads consecutive inputs.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// Weighted keys in a tree from which rankings are drawn.
#[derive(Clone, Debug)]
pub struct RendezvousTree {
    /// Weights of all inner nodes in steps, level after level.
    node_weights: Vec<u64>,
    /// Weights in steps of the keys, by their node of the last level.
    keys: BTreeMap<(usize, u64), u64>,
    total_weight: u64,
}

impl Default for RendezvousTree {
    fn default() -> Self {
        RendezvousTree {
            node_weights: vec![0; level_offset(LEVELS + 1)],
            keys: BTreeMap::new(),
            total_weight: 0,
        }
    }
}

/// The index in `node_weights` of a level's first node; the root is level zero and is not stored.
fn level_offset(level: u32) -> usize {
    (1..level).map(|l| 1usize << (BITS_PER_LEVEL * l)).sum()
}

/// The finalizer of SplitMix64: a bijection in which every input bit affects every output bit.
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// The node of a level, counted from its first one, that a key is below.
pub fn node_of(key: u64, level: u32) -> usize {
    (mix(key.wrapping_add(GOLDEN_RATIO)) >> (64 - BITS_PER_LEVEL * level)) as usize
}

/// The seed of all draws on one level of the tree.
pub fn level_seed(seed: u64, level: u32) -> u64 {
    mix(seed ^ u64::from(level).wrapping_mul(GOLDEN_RATIO))
}

/// The exponentially distributed clock of a node or key, with a rate in proportion to its weight.
pub fn exponential_clock(level_seed: u64, node: u64, weight: u64) -> f64 {
    let draw = mix(level_seed ^ mix(node));
    -((draw as f64 + 1.0) / (u64::MAX as f64 + 2.0)).ln() / weight as f64
}

/// A weight in whole steps, at least one.
pub fn weight_steps(weight: f64) -> u64 {
    ((weight * STEPS_PER_UNIT) as u64).max(1)
}

impl RendezvousTree {
    /// Inserts a key or changes its weight.
    pub fn insert(&mut self, key: u64, weight: f64) {
        let steps = weight_steps(weight);
        let position = (node_of(key, LEVELS), key);
        let before = self.keys.insert(position, steps).unwrap_or(0);
        self.change_weight(key, before, steps);
    }

    /// Removes a key; does nothing if it is not there.
    pub fn remove(&mut self, key: u64) {
        if let Some(before) = self.keys.remove(&(node_of(key, LEVELS), key)) {
            self.change_weight(key, before, 0);
        }
    }

    fn change_weight(&mut self, key: u64, before: u64, after: u64) {
        let changed = |sum: u64| sum.saturating_sub(before).saturating_add(after);
        self.total_weight = changed(self.total_weight);
        for level in 1..=LEVELS {
            let index = level_offset(level) + node_of(key, level);
            if let Some(sum) = self.node_weights.get_mut(index) {
                *sum = changed(*sum);
            }
        }
    }

    /// The number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// The sum of all keys' weights.
    pub fn total_weight(&self) -> f64 {
        self.total_weight as f64 / STEPS_PER_UNIT
    }

    /// The keys in the order that the seed draws, each found when the iterator is advanced.
    pub fn ranking(&self, seed: u64) -> Ranking<'_> {
        let root = Contender {
            time_bits: 0,
            level: 0,
            node: 0,
        };
        let contenders = if self.is_empty() {
            Vec::new()
        } else {
            vec![Reverse(root)]
        };
        Ranking {
            tree: self,
            seed,
            contenders: contenders.into(),
            siblings: Vec::new(),
        }
    }
}

/// A node or key that ranks after those found so far. Ordered by time: the bits of a positive float sort as it does.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Contender {
    time_bits: u64,
    level: u32,
    node: u64,
}

/// A child of the node that is being descended into.
#[derive(Clone, Copy)]
struct Sibling {
    clock: f64,
    node: u64,
    weight: u64,
}

/// Iterates over keys by rank; see [`RendezvousTree::ranking`].
pub struct Ranking<'a> {
    tree: &'a RendezvousTree,
    seed: u64,
    contenders: BinaryHeap<Reverse<Contender>>,
    /// Scratch space of one descent, kept to save allocations.
    siblings: Vec<Sibling>,
}

impl Ranking<'_> {
    /// Lists the children of a node with their clocks; an only child needs no draw.
    fn list_siblings(&mut self, level: u32, node: u64) {
        let tree = self.tree;
        let child_level = level + 1;
        let child = |node, weight| Sibling {
            clock: 0.0,
            node,
            weight,
        };
        self.siblings.clear();
        if level == LEVELS {
            let keys = tree
                .keys
                .range((node as usize, 0)..=(node as usize, u64::MAX));
            let children = keys.map(|((_, key), weight)| child(*key, *weight));
            self.siblings.extend(children);
        } else {
            let offset = level_offset(child_level);
            let nodes = (node << BITS_PER_LEVEL)..((node + 1) << BITS_PER_LEVEL);
            let children = nodes.map(|node| child(node, tree.node_weights[offset + node as usize]));
            self.siblings
                .extend(children.filter(|sibling| sibling.weight > 0));
        }
        if self.siblings.len() > 1 {
            let seed = level_seed(self.seed, child_level);
            for sibling in &mut self.siblings {
                sibling.clock = exponential_clock(seed, sibling.node, sibling.weight);
            }
        }
    }
}

impl Iterator for Ranking<'_> {
    type Item = u64;

    fn next(&mut self) -> Option<u64> {
        let Reverse(Contender {
            time_bits,
            mut level,
            mut node,
        }) = self.contenders.pop()?;
        let time = f64::from_bits(time_bits);
        while level <= LEVELS {
            self.list_siblings(level, node);
            let first = self
                .siblings
                .iter()
                .copied()
                .min_by(|a, b| a.clock.total_cmp(&b.clock).then(a.node.cmp(&b.node)))?;
            level += 1;
            for sibling in self.siblings.iter().filter(|s| s.node != first.node) {
                self.contenders.push(Reverse(Contender {
                    time_bits: (time + sibling.clock - first.clock).to_bits(),
                    level,
                    node: sibling.node,
                }));
            }
            node = first.node;
        }
        Some(node)
    }
}
