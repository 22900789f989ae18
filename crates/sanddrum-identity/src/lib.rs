//! Authentication and authorization of clients. Every result depends only on the given bytes, settings and time: the
//! crate accesses no file, clock or socket.
//!
//! - [`keys`]: the set of verification keys, which version may replace another, and what has to survive a restart.
//! - [`token`]: verifies a token with the key set.
//! - [`authenticator`]: limits the work spent on verifying tokens, and caches verified tokens.
//! - [`certificates`]: maps a client certificate to a customer, and checks that it agrees with the rest of a request.
//! - [`authorization`]: decides which customer may call which function, and reports the rule that decided.

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

/// Whole seconds since the Unix epoch, as in tokens and key sets (RFC 7519, section 2, NumericDate).
pub type Seconds = i64;
