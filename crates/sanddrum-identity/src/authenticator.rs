//! How much work is spent on checking tokens, and for whom: a flood of bad ones must not push honest callers out.
//!
//! A token that was checked is remembered for as long as it and its key last; what the key set says of the key is looked
//! up every time, so no memory outlives a revocation. A token that is new costs a signature check. Checks come from two
//! budgets: callers whose connection has shown a good token draw from one, all others from the other, so that strangers
//! can use up only their own. A connection that keeps sending bad tokens is not listened to any more.

use crate::keys::KeySet;
use crate::token::{self, Claims, Refused, Terms};
use crate::Seconds;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub struct GateLimits {
    /// Signature checks a second for callers that are known; strangers get as many again.
    pub checks_per_s: f64,
    /// Tokens remembered.
    pub remembered: usize,
    /// Bad tokens after which a connection is closed.
    pub bad_tokens: u32,
}

/// What a connection has shown so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    pub known: bool,
    pub bad: u32,
}

struct Budget {
    left: f64,
    at: i64,
}

impl Budget {
    /// A second's worth may be saved up.
    fn take(&mut self, now_us: i64, per_s: f64) -> bool {
        let passed = (now_us - self.at).max(0) as f64 / 1e6;
        (self.left, self.at) = ((self.left + passed * per_s).min(per_s.max(1.0)), now_us);
        let has = self.left >= 1.0;
        if has {
            self.left -= 1.0;
        }
        has
    }
}

pub struct Gate {
    limits: GateLimits,
    terms: Terms,
    /// Token to its key and claims, in the order of the tokens' text; the oldest go by their use.
    good: BTreeMap<String, (String, Claims, u64)>,
    uses: BTreeMap<u64, String>,
    used: u64,
    known: Budget,
    strangers: Budget,
}

impl Gate {
    pub fn new(limits: GateLimits, terms: Terms) -> Self {
        let full = limits.checks_per_s.max(1.0);
        let budget = || Budget {
            left: full,
            at: i64::MIN / 2,
        };
        Gate {
            limits,
            terms,
            good: BTreeMap::new(),
            uses: BTreeMap::new(),
            used: 0,
            known: budget(),
            strangers: budget(),
        }
    }

    /// Judges a token that came over a connection with this standing, which is brought up to date. `true` beside the
    /// claims where the token was remembered.
    ///
    /// # Errors
    /// Why it is refused.
    pub fn judge(
        &mut self,
        now_us: i64,
        token: &str,
        keys: &KeySet,
        standing: &mut Standing,
    ) -> Result<(Claims, bool), Refused> {
        let judged = self.judged(now_us, token, keys, *standing);
        match &judged {
            Ok(_) => {
                *standing = Standing {
                    known: true,
                    bad: 0,
                }
            }
            Err(Refused::Busy) => {}
            Err(_) => standing.bad += 1,
        }
        judged
    }
    fn judged(
        &mut self,
        now_us: i64,
        token: &str,
        keys: &KeySet,
        standing: Standing,
    ) -> Result<(Claims, bool), Refused> {
        let now: Seconds = now_us / 1_000_000;
        if let Some((kid, claims, used)) = self.good.get_mut(token) {
            token::standing(kid, keys, now)?;
            token::in_time(claims, &self.terms, now)?;
            self.used += 1;
            if let Some(text) = self.uses.remove(used) {
                self.uses.insert(self.used, text);
            }
            *used = self.used;
            return Ok((claims.clone(), true));
        }
        let kid = token::glance(token, keys, &self.terms, now)?;
        let budget = if standing.known {
            &mut self.known
        } else {
            &mut self.strangers
        };
        if !budget.take(now_us, self.limits.checks_per_s) {
            return Err(Refused::Busy);
        }
        let claims = token::check(token, &kid, keys, &self.terms, now)?;
        self.remember(token, kid, claims.clone());
        Ok((claims, false))
    }
    fn remember(&mut self, token: &str, kid: String, claims: Claims) {
        if self.limits.remembered == 0 {
            return;
        }
        while self.good.len() >= self.limits.remembered {
            let Some((_, oldest)) = self.uses.pop_first() else {
                break;
            };
            self.good.remove(&oldest);
        }
        self.used += 1;
        self.uses.insert(self.used, token.to_string());
        self.good
            .insert(token.to_string(), (kid, claims, self.used));
    }
    /// Whether a connection has sent so many bad tokens that it is to be closed.
    pub fn is_out(&self, standing: Standing) -> bool {
        standing.bad >= self.limits.bad_tokens.max(1)
    }
    pub fn remembered(&self) -> usize {
        self.good.len()
    }
}
