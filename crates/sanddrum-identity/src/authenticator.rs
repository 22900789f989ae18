//! Limits the work spent on verifying tokens, so that a flood of invalid tokens does not lock out valid clients.
//!
//! Verified tokens are cached. The validity of the token and the state of its key are checked at every use, so that a
//! cached token is rejected as soon as its key is revoked. A token that is not cached costs a signature verification.
//! Verifications have two budgets, one for connections that have presented a valid token and one for all others, so
//! that unknown clients can exhaust only their own. A connection that keeps presenting invalid tokens has to be
//! closed.

use crate::keys::KeySet;
use crate::token::{self, Claims, TokenError, TokenRequirements};
use crate::token_cache::TokenCache;
use crate::Seconds;

const MICROS_PER_SECOND: i64 = 1_000_000;

/// Limits of an [`Authenticator`].
#[derive(Clone, Debug)]
pub struct AuthenticatorLimits {
    /// Signature verifications per second for known clients, and as many again for unknown ones.
    pub verifications_per_s: f64,
    /// The maximum number of verified tokens in the cache.
    pub max_cached_tokens: usize,
    /// The number of consecutive invalid tokens after which a connection has to be closed.
    pub max_invalid_tokens: u32,
}

/// The results of the tokens that a connection has presented so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionTrust {
    /// Whether the connection has presented a valid token.
    pub is_known: bool,
    /// Invalid tokens since the last valid one.
    pub invalid_tokens: u32,
}

/// The result of authenticating a valid token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Authenticated {
    /// The claims of the token.
    pub claims: Claims,
    /// Whether the token was in the cache, so that its signature was not verified again.
    pub was_cached: bool,
}

/// A token bucket that limits signature verifications and holds at most those of one second.
struct VerificationBudget {
    available: f64,
    updated_at_us: i64,
}

impl VerificationBudget {
    fn full(per_s: f64) -> Self {
        VerificationBudget {
            available: per_s.max(1.0),
            updated_at_us: i64::MIN / 2,
        }
    }

    /// Takes one verification from the budget, if one is available.
    fn try_take(&mut self, now_us: i64, per_s: f64) -> bool {
        let elapsed_s = (now_us - self.updated_at_us).max(0) as f64 / MICROS_PER_SECOND as f64;
        self.available = (self.available + elapsed_s * per_s).min(per_s.max(1.0));
        self.updated_at_us = now_us;
        let is_available = self.available >= 1.0;
        if is_available {
            self.available -= 1.0;
        }
        is_available
    }
}

/// Verifies the tokens of all connections.
pub struct Authenticator {
    limits: AuthenticatorLimits,
    requirements: TokenRequirements,
    cache: TokenCache,
    known_clients: VerificationBudget,
    unknown_clients: VerificationBudget,
}

impl Authenticator {
    /// Creates an authenticator with full budgets and an empty cache.
    pub fn new(limits: AuthenticatorLimits, requirements: TokenRequirements) -> Self {
        Authenticator {
            cache: TokenCache::new(limits.max_cached_tokens),
            known_clients: VerificationBudget::full(limits.verifications_per_s),
            unknown_clients: VerificationBudget::full(limits.verifications_per_s),
            limits,
            requirements,
        }
    }

    /// Authenticates a token, and updates the trust of the connection that presented it. `now_us` is in microseconds
    /// since the Unix epoch.
    ///
    /// # Errors
    /// [`TokenError`]: why the token is rejected.
    pub fn authenticate(
        &mut self,
        now_us: i64,
        token: &str,
        keys: &KeySet,
        trust: &mut ConnectionTrust,
    ) -> Result<Authenticated, TokenError> {
        let result = self.check(now_us, token, keys, *trust);
        match &result {
            Ok(_) => {
                *trust = ConnectionTrust {
                    is_known: true,
                    invalid_tokens: 0,
                }
            }
            Err(TokenError::Busy) => {}
            Err(_) => trust.invalid_tokens += 1,
        }
        result
    }

    fn check(
        &mut self,
        now_us: i64,
        token: &str,
        keys: &KeySet,
        trust: ConnectionTrust,
    ) -> Result<Authenticated, TokenError> {
        let now: Seconds = now_us / MICROS_PER_SECOND;
        if let Some(cached) = self.cache.get(token) {
            token::check_key(&cached.key_id, keys, now)?;
            token::check_validity_period(&cached.claims, &self.requirements, now)?;
            let claims = cached.claims.clone();
            self.cache.mark_used(token);
            return Ok(Authenticated {
                claims,
                was_cached: true,
            });
        }
        let key_id = token::precheck(token, keys, &self.requirements, now)?;
        let budget = if trust.is_known {
            &mut self.known_clients
        } else {
            &mut self.unknown_clients
        };
        if !budget.try_take(now_us, self.limits.verifications_per_s) {
            return Err(TokenError::Busy);
        }
        let claims = token::verify(token, &key_id, keys, &self.requirements, now)?;
        self.cache.insert(token, key_id, claims.clone());
        Ok(Authenticated {
            claims,
            was_cached: false,
        })
    }

    /// Whether a connection has presented so many invalid tokens that it has to be closed.
    pub fn must_close(&self, trust: ConnectionTrust) -> bool {
        trust.invalid_tokens >= self.limits.max_invalid_tokens.max(1)
    }

    /// The number of cached tokens.
    pub fn cached_tokens(&self) -> usize {
        self.cache.len()
    }
}
