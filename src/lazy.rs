//! A list that is read from an iterator on demand.

use std::cell::RefCell;

/// The items of an iterator, each computed on first access and then cached.
pub(crate) struct LazyList<I: Iterator> {
    source: RefCell<I>,
    cached: RefCell<Vec<I::Item>>,
}

impl<I: Iterator<Item: Copy>> LazyList<I> {
    /// Wraps an iterator without advancing it.
    pub(crate) fn new(source: I) -> Self {
        LazyList {
            source: RefCell::new(source),
            cached: RefCell::default(),
        }
    }

    /// The first `limit` items, or fewer if the source has fewer.
    pub(crate) fn first(&self, limit: usize) -> impl Iterator<Item = I::Item> + '_ {
        (0..limit).map_while(|index| self.get(index))
    }

    fn get(&self, index: usize) -> Option<I::Item> {
        let mut cached = self.cached.borrow_mut();
        while cached.len() <= index {
            cached.push(self.source.borrow_mut().next()?);
        }
        cached.get(index).copied()
    }
}
