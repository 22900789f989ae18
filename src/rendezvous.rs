//! Weighted rendezvous hashing over a tree. All routers that know the same keys rank them equally for a given seed. The
//! ranking is computed lazily: the next key costs hashes along one path of the tree, regardless of the number of keys.
//!
//! The tree has a fixed shape, and a key's position in it depends only on a hash of the key. Among siblings, the one
//! with the lowest exponential clock, `-ln(u) / weight` for a hash `u` in (0, 1), ranks first. The others rank later by
//! the difference of their clocks. Exponential clocks are memoryless, so the remaining siblings are ordered by the same
//! rule. Each key therefore ranks first with a probability proportional to its weight, and a change of one key's weight
//! moves others only in that proportion, once per level.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// The number of levels of inner nodes below the root. The keys are the children of the last level's nodes.
pub const LEVELS: u32 = 3;
/// The number of bits of a key's hash that select a child: a node has 16 children.
const BITS_PER_LEVEL: u32 = 4;
/// Steps per unit of weight. Weights are stored as whole steps, so that sums do not depend on the order of insertion.
const STEPS_PER_UNIT: f64 = 65_536.0;
/// 2^64 divided by the golden ratio (Fibonacci hashing): spreads consecutive inputs.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// Weighted keys in a tree, from which a ranking is computed for any seed.
#[derive(Clone, Debug)]
pub struct RendezvousTree {
    /// Weights of all inner nodes below the root, in steps, level by level.
    node_weights: Vec<u64>,
    /// Weights of the keys, in steps, by their node of the last level and the key.
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

/// The index of a level's first node in `node_weights`. The root is level 0 and is not stored.
fn level_offset(level: u32) -> usize {
    (1..level).map(|l| 1usize << (BITS_PER_LEVEL * l)).sum()
}

/// The finalizer of SplitMix64, a bijection in which every input bit affects every output bit.
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// The index, within its level, of the node that a key is below.
pub fn node_of(key: u64, level: u32) -> usize {
    (mix(key.wrapping_add(GOLDEN_RATIO)) >> (64 - BITS_PER_LEVEL * level)) as usize
}

/// The seed of all hashes on one level of the tree.
pub fn level_seed(seed: u64, level: u32) -> u64 {
    mix(seed ^ u64::from(level).wrapping_mul(GOLDEN_RATIO))
}

/// The exponentially distributed clock of a node or key, with a rate proportional to its weight.
pub fn exponential_clock(level_seed: u64, node: u64, weight: u64) -> f64 {
    let hash = mix(level_seed ^ mix(node));
    -((hash as f64 + 1.0) / (u64::MAX as f64 + 2.0)).ln() / weight as f64
}

/// Converts a weight to steps; at least one.
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

    /// Removes a key, if it is present.
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

    /// Iterates over the keys in the order of their rank for the seed. Each is found when the iterator advances.
    pub fn ranking(&self, seed: u64) -> Ranking<'_> {
        let root = QueuedNode {
            time_bits: 0,
            level: 0,
            node: 0,
        };
        let queue = if self.is_empty() {
            Vec::new()
        } else {
            vec![Reverse(root)]
        };
        Ranking {
            tree: self,
            seed,
            queue: queue.into(),
            siblings: Vec::new(),
        }
    }
}

/// A node or key that ranks after those yielded so far. The derived order is by time, as the bits of non-negative
/// floats sort like their values.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueuedNode {
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
    queue: BinaryHeap<Reverse<QueuedNode>>,
    /// Scratch space of one descent, reused to avoid allocations.
    siblings: Vec<Sibling>,
}

impl Ranking<'_> {
    /// Fills `siblings` with the children of a node and their clocks. The clock of an only child stays 0.
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
        let Reverse(QueuedNode {
            time_bits,
            mut level,
            mut node,
        }) = self.queue.pop()?;
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
                self.queue.push(Reverse(QueuedNode {
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
