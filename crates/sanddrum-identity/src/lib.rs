//! Authentication and authorization of callers. Everything here is a function of bytes, settings and the given time: no
//! file, clock or socket is accessed.
//!
//! - [`keys`]: the set of verification keys, which of its versions may replace which, and what a restart must remember.
//! - [`token`]: verifies a token with the key set.
//! - [`authenticator`]: bounds the work of verifying tokens, and caches verified ones.
//! - [`certificates`]: which customer a client certificate belongs to, and whether it agrees with the rest of a call.
//! - [`authorization`]: which customer may call what, and which rule says so.

pub mod authenticator;
pub mod authorization;
pub mod certificates;
pub mod keys;
pub mod token;
mod token_cache;

pub use authenticator::{Authenticated, Authenticator, AuthenticatorLimits};
pub use authorization::{Authorization, Decision};
pub use certificates::{CertificateError, CertificateOwners, ClientCertificate};
pub use keys::{KeySet, KeySetFloor, KeyState, SecretKey};
pub use token::{Claims, TokenError};

/// Whole seconds since 1970, as tokens and key sets state them (RFC 7519, section 2, NumericDate).
pub type Seconds = i64;
