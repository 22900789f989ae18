//! A bounded LRU cache of verified tokens.

use crate::token::Claims;
use std::collections::BTreeMap;

/// A verified token.
pub(crate) struct CachedToken {
    /// The id of the key that verified it.
    pub key_id: String,
    pub claims: Claims,
    last_use: u64,
}

pub(crate) struct TokenCache {
    capacity: usize,
    tokens: BTreeMap<String, CachedToken>,
    /// Tokens by the sequence number of their last use.
    by_last_use: BTreeMap<u64, String>,
    /// The sequence number of the latest use.
    uses: u64,
}

impl TokenCache {
    pub fn new(capacity: usize) -> Self {
        TokenCache {
            capacity,
            tokens: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
            uses: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.tokens.len()
    }

    pub fn get(&self, token: &str) -> Option<&CachedToken> {
        self.tokens.get(token)
    }

    /// Marks a cached token as the most recently used one.
    pub fn mark_used(&mut self, token: &str) {
        let Some(cached) = self.tokens.get_mut(token) else {
            return;
        };
        self.uses += 1;
        if let Some(text) = self.by_last_use.remove(&cached.last_use) {
            self.by_last_use.insert(self.uses, text);
        }
        cached.last_use = self.uses;
    }

    pub fn insert(&mut self, token: &str, key_id: String, claims: Claims) {
        if self.capacity == 0 {
            return;
        }
        while self.tokens.len() >= self.capacity {
            let Some((_, least_recent)) = self.by_last_use.pop_first() else {
                break;
            };
            self.tokens.remove(&least_recent);
        }
        self.uses += 1;
        self.by_last_use.insert(self.uses, token.to_string());
        let cached = CachedToken {
            key_id,
            claims,
            last_use: self.uses,
        };
        self.tokens.insert(token.to_string(), cached);
    }
}
