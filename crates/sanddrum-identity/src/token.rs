//! Tokens: JWS in compact form (RFC 7515, section 7.1) with JWT claims (RFC 7519), signed with EdDSA (RFC 8037). The
//! algorithm is fixed by the key and never taken from the token (RFC 8725, section 3.1).

mod error;
mod unverified;

pub use error::TokenError;
pub use unverified::{sanitize, unverified_key_id, unverified_subject};

use crate::keys::{KeySet, KeyState, SecretKey, SecretKeyError};
use crate::Seconds;
use jsonwebtoken::errors::{Error as JwtError, ErrorKind};
use jsonwebtoken::{Algorithm, DecodingKey, EncodingKey, Header, Validation};
use serde::{Deserialize, Serialize};

/// The claims of a token, under their registered names (RFC 7519, section 4.1).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// The subject: the customer.
    pub sub: String,
    /// The audience that the token is for.
    pub aud: String,
    /// When the token expires.
    pub exp: Seconds,
    /// The time before which the token is not valid.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub nbf: Option<Seconds>,
    /// When the token was issued.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub iat: Option<Seconds>,
    /// The token's id, for audits.
    pub jti: String,
}

/// Which tokens are accepted.
#[derive(Clone, Debug)]
pub struct TokenRequirements {
    /// The audience that a token must name.
    pub audience: String,
    /// The largest tolerated difference between the clocks of issuer and edge.
    pub leeway: Seconds,
    /// The longest accepted time until a token expires, which limits how long a leaked token can be used.
    pub max_lifetime: Seconds,
    /// The maximum length of a token in bytes.
    pub max_bytes: usize,
}

/// Checks the length, the header and the key of a token before its signature is verified. Returns the id of the key.
///
/// # Errors
/// [`TokenError`]: why the token is rejected.
pub fn precheck(
    token: &str,
    keys: &KeySet,
    requirements: &TokenRequirements,
    now: Seconds,
) -> Result<String, TokenError> {
    if token.len() > requirements.max_bytes {
        return Err(TokenError::TooLong);
    }
    // The library reports a missing or unknown algorithm in the header as a JSON error.
    let header = jsonwebtoken::decode_header(token).map_err(|error| match error.kind() {
        ErrorKind::Json(_) => TokenError::Algorithm,
        _ => TokenError::Malformed,
    })?;
    if header.alg != Algorithm::EdDSA {
        return Err(TokenError::Algorithm);
    }
    let key_id = header.kid.ok_or(TokenError::NoKey)?;
    check_key(&key_id, keys, now)?;
    Ok(key_id)
}

/// Checks that a key may verify tokens at this time.
///
/// # Errors
/// [`TokenError`]: why it may not.
pub fn check_key(key_id: &str, keys: &KeySet, now: Seconds) -> Result<(), TokenError> {
    match keys.keys.get(key_id).map(|key| key.state) {
        None => Err(TokenError::UnknownKey),
        Some(KeyState::Coming) => Err(TokenError::KeyNotYetValid),
        Some(KeyState::Revoked) => Err(TokenError::KeyRevoked),
        Some(KeyState::Retiring(until)) if now >= until => Err(TokenError::KeyRetired),
        Some(KeyState::Signing | KeyState::Retiring(_)) => Ok(()),
    }
}

/// Verifies the signature and the claims of a token that passed [`precheck`].
///
/// # Errors
/// [`TokenError`]: why the token is rejected.
pub fn verify(
    token: &str,
    key_id: &str,
    keys: &KeySet,
    requirements: &TokenRequirements,
    now: Seconds,
) -> Result<Claims, TokenError> {
    let key = keys.keys.get(key_id).ok_or(TokenError::UnknownKey)?;
    let decoding_key =
        DecodingKey::from_ed_components(&key.x).map_err(|_| TokenError::UnknownKey)?;
    let claims = jsonwebtoken::decode::<Claims>(token, &decoding_key, &signature_only())
        .map(|data| data.claims)
        .map_err(|error| match error.kind() {
            ErrorKind::InvalidSignature => TokenError::Signature,
            ErrorKind::Json(_) => TokenError::Claims,
            ErrorKind::InvalidAlgorithm => TokenError::Algorithm,
            _ => TokenError::Malformed,
        })?;
    check_claims(&claims, requirements, now)?;
    Ok(claims)
}

/// Makes the library verify the signature only; [`check_claims`] checks the claims against the given time.
fn signature_only() -> Validation {
    let mut validation = Validation::new(Algorithm::EdDSA);
    validation.validate_exp = false;
    validation.validate_nbf = false;
    validation.validate_aud = false;
    validation.required_spec_claims.clear();
    validation
}

fn check_claims(
    claims: &Claims,
    requirements: &TokenRequirements,
    now: Seconds,
) -> Result<(), TokenError> {
    check_validity_period(claims, requirements, now)?;
    if claims.aud != requirements.audience {
        return Err(TokenError::Audience);
    }
    if claims.sub.is_empty() || claims.jti.is_empty() {
        return Err(TokenError::Claims);
    }
    let latest_expiry = now
        .saturating_add(requirements.max_lifetime)
        .saturating_add(requirements.leeway);
    if claims.exp > latest_expiry {
        return Err(TokenError::LifetimeTooLong);
    }
    Ok(())
}

/// Checks that a token has not expired and is already valid.
///
/// # Errors
/// [`TokenError::Expired`] or [`TokenError::NotYetValid`]
pub fn check_validity_period(
    claims: &Claims,
    requirements: &TokenRequirements,
    now: Seconds,
) -> Result<(), TokenError> {
    if now >= claims.exp.saturating_add(requirements.leeway) {
        return Err(TokenError::Expired);
    }
    match claims.nbf {
        Some(nbf) if now < nbf.saturating_sub(requirements.leeway) => Err(TokenError::NotYetValid),
        _ => Ok(()),
    }
}

/// Why a token can't be signed.
#[derive(Debug, thiserror::Error)]
pub enum SignError {
    /// The secret key can't be used.
    #[error(transparent)]
    SecretKey(#[from] SecretKeyError),
    /// The library can't encode or sign the token.
    #[error(transparent)]
    Encoding(#[from] JwtError),
}

/// Signs a token.
///
/// # Errors
/// [`SignError`]
pub fn issue(claims: &Claims, key: &SecretKey) -> Result<String, SignError> {
    let header = Header {
        kid: Some(key.key_id.clone()),
        ..Header::new(Algorithm::EdDSA)
    };
    let encoding_key = EncodingKey::from_ed_der(&key.pkcs8()?);
    Ok(jsonwebtoken::encode(&header, claims, &encoding_key)?)
}
