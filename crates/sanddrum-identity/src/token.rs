//! Tokens: JWS in compact form (RFC 7515, section 7.1) with JWT claims (RFC 7519), signed with EdDSA (RFC 8037). The
//! algorithm is fixed by the key and never taken from the token (RFC 8725, section 3.1).

use crate::keys::{KeySet, KeyState, SecretKey};
use crate::Seconds;
use jsonwebtoken::{Algorithm, DecodingKey, EncodingKey, Header, Validation};
use serde::{Deserialize, Serialize};

/// Why a token is not taken. The word goes to the caller, the log and the metrics; the token itself to none of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refused {
    Missing,
    TooLong,
    Malformed,
    Algorithm,
    NoKey,
    UnknownKey,
    KeyNotYet,
    KeyRetired,
    KeyRevoked,
    Signature,
    Audience,
    Expired,
    NotYet,
    TooLasting,
    /// No subject, id or times.
    Claims,
    /// The work that may be spent on checking is used up; trying again is harmless.
    Busy,
}

impl Refused {
    pub fn reason(self) -> &'static str {
        match self {
            Refused::Missing => "token-missing",
            Refused::TooLong => "token-too-long",
            Refused::Malformed => "token-malformed",
            Refused::Algorithm => "token-algorithm",
            Refused::NoKey => "token-without-key",
            Refused::UnknownKey => "token-key-unknown",
            Refused::KeyNotYet => "token-key-coming",
            Refused::KeyRetired => "token-key-retired",
            Refused::KeyRevoked => "token-key-revoked",
            Refused::Signature => "token-signature",
            Refused::Audience => "token-audience",
            Refused::Expired => "token-expired",
            Refused::NotYet => "token-not-yet",
            Refused::TooLasting => "token-too-lasting",
            Refused::Claims => "token-claims",
            Refused::Busy => "token-checks",
        }
    }
    pub fn detail(self) -> &'static str {
        match self {
            Refused::Missing => "send a token as Authorization: Bearer ...",
            Refused::TooLong | Refused::Malformed => "the token is no JWS in compact form",
            Refused::Algorithm => {
                "tokens are signed with EdDSA here, whatever they say of themselves"
            }
            Refused::NoKey | Refused::UnknownKey => "the token names no key that is known here",
            Refused::KeyNotYet => "the key does not sign yet",
            Refused::KeyRetired | Refused::KeyRevoked => {
                "the key is no longer in service; get a new token"
            }
            Refused::Signature => "the signature does not fit",
            Refused::Audience => "the token is for somebody else",
            Refused::Expired => "the token is over; get a new one, and look at the clocks",
            Refused::NotYet => "the token is not valid yet; look at the clocks",
            Refused::TooLasting => "the token lasts longer than is allowed here",
            Refused::Claims => "the token lacks sub, jti, exp or aud",
            Refused::Busy => "too many tokens are being checked; try again",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// The customer.
    pub sub: String,
    pub aud: String,
    pub exp: Seconds,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub nbf: Option<Seconds>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub iat: Option<Seconds>,
    /// Its id, for the audit.
    pub jti: String,
}

/// How tokens are judged here.
#[derive(Clone, Debug)]
pub struct Terms {
    pub audience: String,
    /// By how much clocks may differ.
    pub leeway: Seconds,
    /// The longest that a token may last from now; a leaked one is of use no longer than that.
    pub longest: Seconds,
    pub longest_bytes: usize,
}

/// The key id that a token names, and that key's word on it: what can be told without spending a signature check.
///
/// # Errors
/// Why the token can't be good.
pub fn glance(token: &str, keys: &KeySet, terms: &Terms, now: Seconds) -> Result<String, Refused> {
    if token.len() > terms.longest_bytes {
        return Err(Refused::TooLong);
    }
    // A header with another algorithm, or none, does not parse as one of ours.
    let header = jsonwebtoken::decode_header(token).map_err(|e| match e.kind() {
        jsonwebtoken::errors::ErrorKind::Json(_) => Refused::Algorithm,
        _ => Refused::Malformed,
    })?;
    if header.alg != Algorithm::EdDSA {
        return Err(Refused::Algorithm);
    }
    let kid = header.kid.ok_or(Refused::NoKey)?;
    standing(&kid, keys, now)?;
    Ok(kid)
}

/// Whether a key verifies now.
///
/// # Errors
/// Why it does not.
pub fn standing(kid: &str, keys: &KeySet, now: Seconds) -> Result<(), Refused> {
    match keys.keys.get(kid).map(|key| key.state) {
        None => Err(Refused::UnknownKey),
        Some(KeyState::Coming) => Err(Refused::KeyNotYet),
        Some(KeyState::Revoked) => Err(Refused::KeyRevoked),
        Some(KeyState::Retiring(until)) if now >= until => Err(Refused::KeyRetired),
        Some(KeyState::Signing | KeyState::Retiring(_)) => Ok(()),
    }
}

/// Checks a token that passed its glance, signature and claims.
///
/// # Errors
/// Why it is not taken.
pub fn check(
    token: &str,
    kid: &str,
    keys: &KeySet,
    terms: &Terms,
    now: Seconds,
) -> Result<Claims, Refused> {
    let key = keys.keys.get(kid).ok_or(Refused::UnknownKey)?;
    let verifier = DecodingKey::from_ed_components(&key.x).map_err(|_| Refused::UnknownKey)?;
    let mut terms_of_library = Validation::new(Algorithm::EdDSA);
    // Time and audience are judged below, by the clock given.
    (terms_of_library.validate_exp, terms_of_library.validate_nbf) = (false, false);
    terms_of_library.validate_aud = false;
    terms_of_library.required_spec_claims.clear();
    let claims = jsonwebtoken::decode::<Claims>(token, &verifier, &terms_of_library);
    let claims = claims.map(|data| data.claims).map_err(|e| match e.kind() {
        jsonwebtoken::errors::ErrorKind::InvalidSignature => Refused::Signature,
        jsonwebtoken::errors::ErrorKind::Json(_) => Refused::Claims,
        jsonwebtoken::errors::ErrorKind::InvalidAlgorithm => Refused::Algorithm,
        _ => Refused::Malformed,
    })?;
    in_time(&claims, terms, now)?;
    if claims.aud != terms.audience {
        return Err(Refused::Audience);
    }
    if claims.sub.is_empty() || claims.jti.is_empty() {
        return Err(Refused::Claims);
    }
    if claims.exp
        > now
            .saturating_add(terms.longest)
            .saturating_add(terms.leeway)
    {
        return Err(Refused::TooLasting);
    }
    Ok(claims)
}

/// Whether a token that was checked before is still, and already, valid.
///
/// # Errors
/// It is over, or not valid yet.
pub fn in_time(claims: &Claims, terms: &Terms, now: Seconds) -> Result<(), Refused> {
    if now >= claims.exp.saturating_add(terms.leeway) {
        return Err(Refused::Expired);
    }
    if claims
        .nbf
        .is_some_and(|nbf| now < nbf.saturating_sub(terms.leeway))
    {
        return Err(Refused::NotYet);
    }
    Ok(())
}

/// Signs a token.
///
/// # Errors
/// The key is none.
pub fn issue(claims: &Claims, key: &SecretKey) -> Result<String, String> {
    let header = Header {
        kid: Some(key.kid.clone()),
        ..Header::new(Algorithm::EdDSA)
    };
    let signer = EncodingKey::from_ed_der(&key.pkcs8()?);
    jsonwebtoken::encode(&header, claims, &signer).map_err(|e| e.to_string())
}

/// What a token says of its subject, unchecked: for a log, never for a decision.
pub fn claimed(token: &str) -> Option<String> {
    let body = token
        .split('.')
        .nth(1)
        .filter(|part| part.len() < UNCHECKED)?;
    let bytes =
        base64::Engine::decode(&base64::engine::general_purpose::URL_SAFE_NO_PAD, body).ok()?;
    let claims: serde_json::Value = serde_json::from_slice(&bytes).ok()?;
    claims.get("sub").and_then(|sub| sub.as_str()).map(tame)
}

/// The key that a token names, unchecked: for a log.
pub fn named_key(token: &str) -> Option<String> {
    let header = token
        .split('.')
        .next()
        .filter(|part| part.len() < UNCHECKED)?;
    let bytes =
        base64::Engine::decode(&base64::engine::general_purpose::URL_SAFE_NO_PAD, header).ok()?;
    let header: serde_json::Value = serde_json::from_slice(&bytes).ok()?;
    header.get("kid").and_then(|kid| kid.as_str()).map(tame)
}

/// The longest part of a token that is looked into for a log.
const UNCHECKED: usize = 4096;

/// A stranger's text, short and without anything that could break a line.
pub fn tame(text: &str) -> String {
    text.chars()
        .take(64)
        .map(|c| if c.is_ascii_graphic() { c } else { '?' })
        .collect()
}
