//! The stand-in for whoever signs tokens: keys that come, take over, retire and are revoked, and a gateway for each
//! customer that holds on to its token for a while.

use sanddrum_identity::token;
use sanddrum_identity::{Claims, KeySet, SecretKey};
use sanddrum_net::Micros;
use std::collections::BTreeMap;

pub struct TokenIssuer {
    pub set: KeySet,
    secrets: BTreeMap<String, SecretKey>,
    held: BTreeMap<String, (Micros, String)>,
    audience: String,
    lasts: Micros,
    renewed: Micros,
    seed: u64,
    issued: u64,
    /// When each key was revoked.
    pub revoked: BTreeMap<String, Micros>,
}

impl TokenIssuer {
    pub fn new(audience: &str, lasts: Micros, renewed: Micros, seed: u64) -> Self {
        let mut wallet = TokenIssuer {
            set: KeySet::default(),
            secrets: BTreeMap::new(),
            held: BTreeMap::new(),
            audience: audience.to_string(),
            lasts,
            renewed,
            seed,
            issued: 0,
            revoked: BTreeMap::new(),
        };
        wallet.add();
        wallet
    }
    /// One more key; the first one signs, a further one is coming.
    pub fn add(&mut self) {
        let kid = format!("key-{}", self.secrets.len() + 1);
        let mut seed = [0; 32];
        seed[..8].copy_from_slice(&self.seed.to_be_bytes());
        seed[8] = self.secrets.len() as u8;
        let secret = SecretKey::from_seed(&kid, seed);
        if let Ok(x) = secret.public_key() {
            let _ = self.set.add(&kid, x);
            self.secrets.insert(kid, secret);
        }
    }
    pub fn rotate(&mut self, now: Micros, retire_after: Micros) {
        let _ = self.set.rotate((now + retire_after) / 1_000_000);
    }
    /// The oldest key that still verifies is revoked.
    pub fn revoke(&mut self, now: Micros) {
        let oldest = self
            .secrets
            .keys()
            .find(|kid| !self.revoked.contains_key(*kid))
            .cloned();
        if let Some(kid) = oldest.filter(|kid| self.set.revoke(kid).is_ok()) {
            self.revoked.insert(kid, now);
        }
    }
    /// The token that this customer's gateway holds now.
    pub fn token(&mut self, now: Micros, customer: &str) -> Option<String> {
        if let Some((until, token)) = self.held.get(customer) {
            if now < *until {
                return Some(token.clone());
            }
        }
        let secret = self.secrets.get(self.set.signing_key()?)?;
        self.issued += 1;
        let seconds = now / 1_000_000;
        let claims = Claims {
            sub: customer.to_string(),
            aud: self.audience.clone(),
            exp: seconds + self.lasts / 1_000_000,
            nbf: Some(seconds),
            iat: Some(seconds),
            jti: self.issued.to_string(),
        };
        let token = token::issue(&claims, secret).ok()?;
        self.held
            .insert(customer.to_string(), (now + self.renewed, token.clone()));
        Some(token)
    }
}
