//! Keys, claims and authenticators for the tests of this package.

#![allow(dead_code)] // Each test file uses only some of these items.

use sanddrum_identity::authenticator::ConnectionTrust;
use sanddrum_identity::token::TokenRequirements;
use sanddrum_identity::{
    Authenticator, AuthenticatorLimits, Claims, KeySet, Seconds, SecretKey, TokenError,
};

pub const NOW: Seconds = 1_000_000;
pub const NOW_US: i64 = NOW * 1_000_000;

pub fn secret_key(key_id: &str) -> SecretKey {
    let mut seed = [7; 32];
    seed[..key_id.len()].copy_from_slice(key_id.as_bytes());
    SecretKey::from_seed(key_id, seed)
}

/// A key set with `k1` signing and `k2` coming.
pub fn key_set() -> KeySet {
    let mut set = KeySet::default();
    for key_id in ["k1", "k2"] {
        let public_key = secret_key(key_id).public_key().unwrap();
        set.add(key_id, public_key).unwrap();
    }
    set
}

pub fn requirements() -> TokenRequirements {
    TokenRequirements {
        audience: "armor".into(),
        leeway: 60,
        max_lifetime: 3600,
        max_bytes: 4096,
    }
}

pub fn authenticator() -> Authenticator {
    let limits = AuthenticatorLimits {
        verifications_per_s: 5.0,
        max_cached_tokens: 100,
        max_invalid_tokens: 3,
    };
    Authenticator::new(limits, requirements())
}

pub fn claims(token_id: &str) -> Claims {
    Claims {
        sub: "obs-brest".to_string(),
        aud: "armor".to_string(),
        exp: NOW + 600,
        nbf: None,
        iat: Some(NOW),
        jti: token_id.to_string(),
    }
}

/// Authenticates a token on the connection of a known client. Returns whether the token was cached.
pub fn authenticate(
    authenticator: &mut Authenticator,
    token: &str,
    keys: &KeySet,
    now: Seconds,
) -> Result<bool, TokenError> {
    let mut trust = ConnectionTrust {
        is_known: true,
        invalid_tokens: 0,
    };
    let result = authenticator.authenticate(now * 1_000_000, token, keys, &mut trust);
    result.map(|authenticated| authenticated.was_cached)
}
