//! An emulated token issuer: signing keys are added, rotated, retired and revoked, and the gateway of each customer
//! reuses its token for a while.

use sanddrum_identity::token;
use sanddrum_identity::{Claims, KeySet, SecretKey};
use sanddrum_net::Micros;
use std::collections::BTreeMap;

pub struct TokenIssuer {
    pub key_set: KeySet,
    secrets: BTreeMap<String, SecretKey>,
    /// By customer: the token of its gateway, and when the gateway renews it.
    gateway_tokens: BTreeMap<String, (Micros, String)>,
    audience: String,
    lifetime: Micros,
    /// How long a gateway uses a token before it gets a new one.
    renewal_interval: Micros,
    seed: u64,
    issued: u64,
    /// When each key was revoked.
    pub revoked: BTreeMap<String, Micros>,
}

impl TokenIssuer {
    pub fn new(audience: &str, lifetime: Micros, renewal_interval: Micros, seed: u64) -> Self {
        let mut issuer = TokenIssuer {
            key_set: KeySet::default(),
            secrets: BTreeMap::new(),
            gateway_tokens: BTreeMap::new(),
            audience: audience.to_string(),
            lifetime,
            renewal_interval,
            seed,
            issued: 0,
            revoked: BTreeMap::new(),
        };
        issuer.add_key();
        issuer
    }
    /// Adds a key. The first key signs; a later one is published but signs only after a rotation.
    pub fn add_key(&mut self) {
        let kid = format!("key-{}", self.secrets.len() + 1);
        let mut seed = [0; 32];
        seed[..8].copy_from_slice(&self.seed.to_be_bytes());
        seed[8] = self.secrets.len() as u8;
        let secret = SecretKey::from_seed(&kid, seed);
        if let Ok(x) = secret.public_key() {
            let _ = self.key_set.add(&kid, x);
            self.secrets.insert(kid, secret);
        }
    }
    pub fn rotate_keys(&mut self, now: Micros, retire_after: Micros) {
        let _ = self.key_set.rotate((now + retire_after) / 1_000_000);
    }
    /// Revokes the oldest key that isn't revoked yet.
    pub fn revoke_oldest_key(&mut self, now: Micros) {
        let oldest = self
            .secrets
            .keys()
            .find(|kid| !self.revoked.contains_key(*kid))
            .cloned();
        if let Some(kid) = oldest.filter(|kid| self.key_set.revoke(kid).is_ok()) {
            self.revoked.insert(kid, now);
        }
    }
    /// The token that this customer's gateway uses now.
    pub fn token(&mut self, now: Micros, customer: &str) -> Option<String> {
        if let Some((renew_at, token)) = self.gateway_tokens.get(customer) {
            if now < *renew_at {
                return Some(token.clone());
            }
        }
        let secret = self.secrets.get(self.key_set.signing_key()?)?;
        self.issued += 1;
        let seconds = now / 1_000_000;
        let claims = Claims {
            sub: customer.to_string(),
            aud: self.audience.clone(),
            exp: seconds + self.lifetime / 1_000_000,
            nbf: Some(seconds),
            iat: Some(seconds),
            jti: self.issued.to_string(),
        };
        let token = token::issue(&claims, secret).ok()?;
        self.gateway_tokens.insert(
            customer.to_string(),
            (now + self.renewal_interval, token.clone()),
        );
        Some(token)
    }
}
