//! A set of Ed25519 keys (RFC 8037) as a JWK set (RFC 7517), with a version and a state for each key.
//!
//! A key is *coming* (verifies nothing yet, but edges know it), *signing*, *retiring* until an instant (still verifies
//! what was signed) or *revoked*. Versions only go up; what was revoked stays so.

use crate::Seconds;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use ring::signature::{Ed25519KeyPair, KeyPair};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState {
    Coming,
    Signing,
    Retiring(Seconds),
    Revoked,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublicKey {
    /// The 32 bytes in the form of RFC 8037, section 2.
    pub x: String,
    pub state: KeyState,
}

#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct KeySet {
    pub version: u64,
    pub keys: BTreeMap<String, PublicKey>,
}

/// Why a set is not taken. The last good one stays in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SetRefused {
    /// Not a key set at all: torn, empty, or something else.
    Unreadable(String),
    /// Its version is lower than one that was in force.
    Older { has: u64, floor: u64 },
    /// Another content under the version that is in force.
    SameVersion(u64),
    /// A key that still verifies is missing.
    Shrunken(String),
    /// A revoked key would verify again.
    Revived(String),
}

impl fmt::Display for SetRefused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SetRefused::Unreadable(why) => write!(f, "it can't be read: {why}"),
            SetRefused::Older { has, floor } => {
                write!(f, "version {has} is older than {floor}, which was in force")
            }
            SetRefused::SameVersion(v) => {
                write!(
                    f,
                    "version {v} is in force with another content; raise the version"
                )
            }
            SetRefused::Shrunken(kid) => {
                write!(
                    f,
                    "key {kid} still verifies and is missing; retire or revoke it first"
                )
            }
            SetRefused::Revived(kid) => {
                write!(f, "key {kid} was revoked and stays so; make a new key")
            }
        }
    }
}

impl SetRefused {
    pub fn reason(&self) -> &'static str {
        match self {
            SetRefused::Unreadable(_) => "keys-unreadable",
            SetRefused::Older { .. } => "keys-older",
            SetRefused::SameVersion(_) => "keys-same-version",
            SetRefused::Shrunken(_) => "keys-shrunken",
            SetRefused::Revived(_) => "keys-revived",
        }
    }
}

#[derive(Serialize, Deserialize)]
struct JwkSet {
    version: u64,
    keys: Vec<Jwk>,
}

#[derive(Serialize, Deserialize)]
struct Jwk {
    kty: String,
    crv: String,
    kid: String,
    x: String,
    #[serde(default)]
    alg: String,
    state: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    until: Option<Seconds>,
}

/// The most keys in a set; each costs an edge memory and a look.
const MOST_KEYS: usize = 256;
const LONGEST_KID: usize = 64;

impl KeySet {
    /// Reads a set.
    ///
    /// # Errors
    /// [`SetRefused::Unreadable`], with what is wrong.
    pub fn read(bytes: &[u8]) -> Result<KeySet, SetRefused> {
        let wrong = |why: String| Err(SetRefused::Unreadable(why));
        let set: JwkSet = match serde_json::from_slice(bytes) {
            Ok(set) => set,
            Err(e) => return wrong(e.to_string()),
        };
        if set.version == 0 || set.keys.is_empty() || set.keys.len() > MOST_KEYS {
            return wrong(format!(
                "a version from 1 on and 1 to {MOST_KEYS} keys are wanted"
            ));
        }
        let mut keys = BTreeMap::new();
        for jwk in set.keys {
            let kid = jwk.kid;
            if kid.is_empty() || kid.len() > LONGEST_KID {
                return wrong(format!("a kid of 1 to {LONGEST_KID} bytes is wanted"));
            }
            if jwk.kty != "OKP"
                || jwk.crv != "Ed25519"
                || !(jwk.alg.is_empty() || jwk.alg == "EdDSA")
            {
                return wrong(format!("key {kid} is not an Ed25519 key (RFC 8037)"));
            }
            if URL_SAFE_NO_PAD
                .decode(&jwk.x)
                .map_or(true, |x| x.len() != 32)
            {
                return wrong(format!("key {kid}: x is not 32 bytes in base64url"));
            }
            let state = match (jwk.state.as_str(), jwk.until) {
                ("coming", _) => KeyState::Coming,
                ("signing", _) => KeyState::Signing,
                ("retiring", Some(until)) => KeyState::Retiring(until),
                ("revoked", _) => KeyState::Revoked,
                (other, _) => {
                    return wrong(format!(
                        "key {kid}: state {other:?} (retiring wants an until)"
                    ))
                }
            };
            if keys
                .insert(kid.clone(), PublicKey { x: jwk.x, state })
                .is_some()
            {
                return wrong(format!("key {kid} stands twice"));
            }
        }
        Ok(KeySet {
            version: set.version,
            keys,
        })
    }

    pub fn write(&self) -> Vec<u8> {
        let jwk = |(kid, key): (&String, &PublicKey)| {
            let (state, until) = match key.state {
                KeyState::Coming => ("coming", None),
                KeyState::Signing => ("signing", None),
                KeyState::Retiring(until) => ("retiring", Some(until)),
                KeyState::Revoked => ("revoked", None),
            };
            Jwk {
                kty: "OKP".into(),
                crv: "Ed25519".into(),
                kid: kid.clone(),
                x: key.x.clone(),
                alg: "EdDSA".into(),
                state: state.into(),
                until,
            }
        };
        let set = JwkSet {
            version: self.version,
            keys: self.keys.iter().map(jwk).collect(),
        };
        let mut bytes = serde_json::to_vec_pretty(&set).unwrap_or_default();
        bytes.push(b'\n');
        bytes
    }

    /// Whether this set may follow what was in force. `current` is what is in force in this process, `floor` what any
    /// earlier one has recorded.
    ///
    /// # Errors
    /// Why not.
    pub fn may_follow(
        &self,
        current: Option<&KeySet>,
        floor: &Floor,
        now: Seconds,
    ) -> Result<(), SetRefused> {
        if self.version < floor.version {
            return Err(SetRefused::Older {
                has: self.version,
                floor: floor.version,
            });
        }
        let alive = |kid: &&String| {
            self.keys
                .get(*kid)
                .is_some_and(|key| key.state != KeyState::Revoked)
        };
        if let Some(kid) = floor.revoked.iter().find(alive) {
            return Err(SetRefused::Revived(kid.clone()));
        }
        let Some(current) = current else {
            return Ok(());
        };
        if self.version == current.version && self != current {
            return Err(SetRefused::SameVersion(self.version));
        }
        for (kid, key) in &current.keys {
            let verifies = match key.state {
                KeyState::Signing => true,
                KeyState::Retiring(until) => now < until,
                KeyState::Coming | KeyState::Revoked => false,
            };
            if verifies && !self.keys.contains_key(kid) {
                return Err(SetRefused::Shrunken(kid.clone()));
            }
        }
        Ok(())
    }

    /// What a restart must remember of this set, beside what it remembered before.
    pub fn floor(&self, before: &Floor) -> Floor {
        let revoked = self
            .keys
            .iter()
            .filter(|(_, key)| key.state == KeyState::Revoked)
            .map(|(kid, _)| kid.clone());
        let revoked = before.revoked.iter().cloned().chain(revoked).collect();
        Floor {
            version: self.version.max(before.version),
            revoked,
        }
    }

    /// The key that signs, if there is one.
    pub fn signing(&self) -> Option<&str> {
        let mut signing = self
            .keys
            .iter()
            .filter(|(_, key)| key.state == KeyState::Signing);
        signing.next().map(|(kid, _)| kid.as_str())
    }

    // ---- What operators do with a set. Each raises the version.

    /// Adds a key: the first one signs, a further one is coming.
    ///
    /// # Errors
    /// A key of that name is there, or was.
    pub fn add(&mut self, kid: &str, x: String) -> Result<(), String> {
        if self.keys.contains_key(kid) || kid.is_empty() || kid.len() > LONGEST_KID {
            return Err(format!(
                "key {kid:?} is there already, or its name is not of 1 to {LONGEST_KID} bytes"
            ));
        }
        let state = if self.signing().is_none() {
            KeyState::Signing
        } else {
            KeyState::Coming
        };
        self.keys.insert(kid.to_string(), PublicKey { x, state });
        self.version += 1;
        Ok(())
    }
    /// A coming key takes over; the one that signed retires until then.
    ///
    /// # Errors
    /// No key is coming.
    pub fn rotate(&mut self, until: Seconds) -> Result<String, String> {
        let coming = self
            .keys
            .iter()
            .find(|(_, key)| key.state == KeyState::Coming)
            .map(|(kid, _)| kid.clone());
        let coming = coming.ok_or(
            "no key is coming; add one first, so that every edge knows it before it signs",
        )?;
        for key in self
            .keys
            .values_mut()
            .filter(|key| key.state == KeyState::Signing)
        {
            key.state = KeyState::Retiring(until);
        }
        if let Some(key) = self.keys.get_mut(&coming) {
            key.state = KeyState::Signing;
        }
        self.version += 1;
        Ok(coming)
    }
    /// # Errors
    /// There is no such key.
    pub fn revoke(&mut self, kid: &str) -> Result<(), String> {
        let key = self
            .keys
            .get_mut(kid)
            .ok_or_else(|| format!("no key {kid:?} in this set"))?;
        key.state = KeyState::Revoked;
        self.version += 1;
        Ok(())
    }
}

/// What outlives a crash: the highest version that was in force, and every key that was revoked. It is recorded before
/// a set is taken, so that a crash in between errs on the safe side.
#[derive(Clone, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Floor {
    pub version: u64,
    pub revoked: BTreeSet<String>,
}

/// A key that signs. Its text form never reaches a log: it has no `Debug` of its contents.
#[derive(Serialize, Deserialize)]
pub struct SecretKey {
    pub kid: String,
    d: String,
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SecretKey({})", self.kid)
    }
}

/// PKCS #8 around the 32 bytes of an Ed25519 key (RFC 8410, section 7).
const PKCS8: [u8; 16] = [
    0x30, 0x2e, 2, 1, 0, 0x30, 5, 6, 3, 0x2b, 0x65, 0x70, 4, 0x22, 4, 0x20,
];

impl SecretKey {
    pub fn from_seed(kid: &str, seed: [u8; 32]) -> SecretKey {
        SecretKey {
            kid: kid.to_string(),
            d: URL_SAFE_NO_PAD.encode(seed),
        }
    }
    /// # Errors
    /// It is not a secret key file; nothing of its content is told.
    pub fn read(bytes: &[u8]) -> Result<SecretKey, String> {
        let key: SecretKey =
            serde_json::from_slice(bytes).map_err(|_| "not a secret key file".to_string())?;
        key.seed()?;
        Ok(key)
    }
    pub fn write(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
    fn seed(&self) -> Result<Vec<u8>, String> {
        let seed = URL_SAFE_NO_PAD
            .decode(&self.d)
            .ok()
            .filter(|seed| seed.len() == 32);
        seed.ok_or_else(|| "not a secret key of 32 bytes".to_string())
    }
    /// The public half, as it stands in a set.
    ///
    /// # Errors
    /// The key is none.
    pub fn x(&self) -> Result<String, String> {
        let pair = Ed25519KeyPair::from_seed_unchecked(&self.seed()?).map_err(|e| e.to_string())?;
        Ok(URL_SAFE_NO_PAD.encode(pair.public_key().as_ref()))
    }
    pub(crate) fn pkcs8(&self) -> Result<Vec<u8>, String> {
        Ok([&PKCS8[..], &self.seed()?].concat())
    }
}
