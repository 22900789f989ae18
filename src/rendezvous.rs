//! An order of weighted keys drawn from a seed, the same for all who know the same keys, and found a step at a time: the
//! next key costs draws along one path of a tree, however many keys there are. Knows nothing of what the keys are.
//!
//! Each key has a place in a tree of fixed shape, by a hash of the key alone. Among siblings the one with the least
//! `-ln(draw) / weight` comes first (weighted rendezvous hashing), the others later by what theirs exceeds it: a race
//! of exponential clocks, in which what is left after the first is again a race. So each key comes first as often as
//! its weight says, and a change of one key's weight moves others only in that proportion, once for each level.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Children of a node, as bits of a key's hash.
const BITS: u32 = 4;
/// Levels of nodes; below the last one are the keys themselves.
const LEVELS: u32 = 3;
/// Weights are kept as whole steps, so that sums do not depend on the order in which keys came.
const STEPS: f64 = 65_536.0;

#[derive(Clone, Debug)]
pub struct Order {
    /// Weights of all nodes, level after level.
    sums: Vec<u64>,
    /// The keys below each node of the last level.
    keys: BTreeMap<(usize, u64), u64>,
    total: u64,
}

impl Default for Order {
    fn default() -> Self {
        Order {
            sums: vec![0; first(LEVELS + 1)],
            keys: BTreeMap::new(),
            total: 0,
        }
    }
}

/// The first node of a level; the root is level nought and has no sum of its own here.
fn first(level: u32) -> usize {
    (1..level).map(|l| 1usize << (BITS * l)).sum()
}

fn mixed(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Where a key stands among the nodes of a level.
pub fn cell(key: u64, level: u32) -> usize {
    (mixed(key.wrapping_add(0x9e37_79b9_7f4a_7c15)) >> (64 - BITS * level)) as usize
}

/// What all draws of a seed on one level share.
pub fn draws(seed: u64, level: u32) -> u64 {
    mixed(seed ^ u64::from(level).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// How long the clock of a node, or of a key, takes: exponential, the sooner the more it weighs.
pub fn clock(draws: u64, at: u64, weight: u64) -> f64 {
    let draw = mixed(draws ^ mixed(at));
    -((draw as f64 + 1.0) / (u64::MAX as f64 + 2.0)).ln() / weight as f64
}

/// A weight in whole steps; one step for what weighs nothing.
pub fn steps(weight: f64) -> u64 {
    ((weight * STEPS) as u64).max(1)
}

/// The levels of nodes of every order.
pub const fn levels() -> u32 {
    LEVELS
}

impl Order {
    /// Adds a key, or changes its weight.
    pub fn put(&mut self, key: u64, weight: f64) {
        let before = self
            .keys
            .insert((cell(key, LEVELS), key), steps(weight))
            .unwrap_or(0);
        self.change(key, before, steps(weight));
    }

    pub fn remove(&mut self, key: u64) {
        if let Some(before) = self.keys.remove(&(cell(key, LEVELS), key)) {
            self.change(key, before, 0);
        }
    }

    fn change(&mut self, key: u64, before: u64, after: u64) {
        let changed = |sum: u64| sum.saturating_sub(before).saturating_add(after);
        self.total = changed(self.total);
        for level in 1..=LEVELS {
            if let Some(sum) = self.sums.get_mut(first(level) + cell(key, level)) {
                *sum = changed(*sum);
            }
        }
    }

    pub fn len(&self) -> usize {
        self.keys.len()
    }

    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// The weight of all keys.
    pub fn total(&self) -> f64 {
        self.total as f64 / STEPS
    }

    /// The keys in the order drawn by this seed, each found when it is asked for.
    pub fn drawn(&self, seed: u64) -> Drawn<'_> {
        let later = if self.is_empty() {
            Vec::new()
        } else {
            vec![Reverse((0, 0, 0))]
        };
        Drawn {
            order: self,
            seed,
            later: later.into(),
            drawn: Vec::new(),
        }
    }
}

/// See [`Order::drawn`].
pub struct Drawn<'a> {
    order: &'a Order,
    seed: u64,
    /// Nodes and keys that come later: the bits of when, which are in the order of the times, level and place there.
    later: BinaryHeap<Reverse<(u64, u32, u64)>>,
    drawn: Vec<(f64, u64, u64)>,
}

impl Drawn<'_> {
    /// What stands below a node, each with its clock, which needs no draw where it stands alone.
    fn draw_below(&mut self, level: u32, at: u64) {
        let (order, below) = (self.order, level + 1);
        self.drawn.clear();
        if level == LEVELS {
            let keys = order.keys.range((at as usize, 0)..=(at as usize, u64::MAX));
            self.drawn
                .extend(keys.map(|((_, key), weight)| (0.0, *key, *weight)));
        } else {
            let nodes = (at << BITS)..((at + 1) << BITS);
            let nodes = nodes.map(|node| (0.0, node, order.sums[first(below) + node as usize]));
            self.drawn.extend(nodes.filter(|(.., weight)| *weight > 0));
        }
        if self.drawn.len() > 1 {
            let draws = draws(self.seed, below);
            self.drawn
                .iter_mut()
                .for_each(|(when, at, weight)| *when = clock(draws, *at, *weight));
        }
    }
}

impl Iterator for Drawn<'_> {
    type Item = u64;

    fn next(&mut self) -> Option<u64> {
        let Reverse((bits, mut level, mut at)) = self.later.pop()?;
        let when = f64::from_bits(bits);
        while level <= LEVELS {
            self.draw_below(level, at);
            let soonest = self
                .drawn
                .iter()
                .copied()
                .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))?;
            level += 1;
            for (clock, other, _) in self
                .drawn
                .iter()
                .filter(|(_, other, _)| *other != soonest.1)
            {
                self.later.push(Reverse((
                    (when + clock - soonest.0).to_bits(),
                    level,
                    *other,
                )));
            }
            at = soonest.1;
        }
        Some(at)
    }
}

/// What an iterator brings, each taken from it once, when it is first asked for.
pub struct Lazily<I: Iterator> {
    rest: RefCell<I>,
    found: RefCell<Vec<I::Item>>,
}

impl<I: Iterator<Item: Copy>> Lazily<I> {
    pub fn new(rest: I) -> Self {
        Lazily {
            rest: RefCell::new(rest),
            found: RefCell::default(),
        }
    }

    fn get(&self, n: usize) -> Option<I::Item> {
        let mut found = self.found.borrow_mut();
        while found.len() <= n {
            found.push(self.rest.borrow_mut().next()?);
        }
        found.get(n).copied()
    }

    /// The first ones, so many at most.
    pub fn first(&self, most: usize) -> impl Iterator<Item = I::Item> + '_ {
        (0..most).map_while(|n| self.get(n))
    }
}
