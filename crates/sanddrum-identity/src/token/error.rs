//! Why a token is rejected.

use std::fmt;

/// Why a token is rejected. The reason is sent to the client and appears in logs and metrics; the token itself does
/// not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TokenError {
    /// A token is required, but the request has none.
    Missing,
    /// The token is longer than the limit.
    TooLong,
    /// The token is not a JWS in compact form.
    Malformed,
    /// The token's algorithm is not EdDSA.
    Algorithm,
    /// The token names no key.
    NoKey,
    /// The token names a key that is not in the key set.
    UnknownKey,
    /// The token's key is not in use yet.
    KeyNotYetValid,
    /// The token's key has retired.
    KeyRetired,
    /// The token's key is revoked.
    KeyRevoked,
    /// The token's signature does not match its key.
    Signature,
    /// The token is for another audience.
    Audience,
    /// The token has expired.
    Expired,
    /// The token is not valid yet.
    NotYetValid,
    /// The token expires later than the longest accepted lifetime allows.
    LifetimeTooLong,
    /// The token lacks a subject, an id, an expiry or an audience.
    Claims,
    /// The budget for signature verifications is used up; the client may retry.
    Busy,
}

impl TokenError {
    /// The reason code in responses, logs and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            TokenError::Missing => "token-missing",
            TokenError::TooLong => "token-too-long",
            TokenError::Malformed => "token-malformed",
            TokenError::Algorithm => "token-algorithm",
            TokenError::NoKey => "token-without-key",
            TokenError::UnknownKey => "token-key-unknown",
            TokenError::KeyNotYetValid => "token-key-coming",
            TokenError::KeyRetired => "token-key-retired",
            TokenError::KeyRevoked => "token-key-revoked",
            TokenError::Signature => "token-signature",
            TokenError::Audience => "token-audience",
            TokenError::Expired => "token-expired",
            TokenError::NotYetValid => "token-not-yet",
            TokenError::LifetimeTooLong => "token-too-lasting",
            TokenError::Claims => "token-claims",
            TokenError::Busy => "token-checks",
        }
    }

    /// An explanation for the client, as sent in responses.
    pub fn detail(self) -> &'static str {
        match self {
            TokenError::Missing => "send a token as Authorization: Bearer ...",
            TokenError::TooLong | TokenError::Malformed => "the token is no JWS in compact form",
            TokenError::Algorithm => {
                "tokens are signed with EdDSA here, whatever they say of themselves"
            }
            TokenError::NoKey | TokenError::UnknownKey => {
                "the token names no key that is known here"
            }
            TokenError::KeyNotYetValid => "the key does not sign yet",
            TokenError::KeyRetired | TokenError::KeyRevoked => {
                "the key is no longer in service; get a new token"
            }
            TokenError::Signature => "the signature does not fit",
            TokenError::Audience => "the token is for somebody else",
            TokenError::Expired => "the token is over; get a new one, and look at the clocks",
            TokenError::NotYetValid => "the token is not valid yet; look at the clocks",
            TokenError::LifetimeTooLong => "the token lasts longer than is allowed here",
            TokenError::Claims => "the token lacks sub, jti, exp or aud",
            TokenError::Busy => "too many tokens are being checked; try again",
        }
    }
}

impl fmt::Display for TokenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.detail())
    }
}

impl std::error::Error for TokenError {}
