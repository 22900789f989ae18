//! Who calls, and what they may. Everything here is a function of bytes, settings and the time given: no file, clock
//! or socket is touched.
//!
//! - [`keys`]: the set of verifying keys, which of its versions may follow which, and what a restart must remember.
//! - [`token`]: a token checked against the set.
//! - [`gate`]: how much work is spent on checking, and for whom.
//! - [`certificates`]: whose a client certificate is, and whether it agrees with the rest.
//! - [`rights`]: which customer may run what, and which line says so.

#![allow(missing_docs)] // unfinished: docs/ROADMAP.md

pub mod authenticator;
pub mod authorization;
pub mod certificates;
pub mod keys;
pub mod token;

pub use authenticator::{Gate, GateLimits};
pub use authorization::{Rights, Ruling};
pub use certificates::{Doubt, Owners, Shown};
pub use keys::{Floor, KeySet, KeyState, SecretKey};
pub use token::{Claims, Refused};

/// Whole seconds since 1970, as tokens and key sets state them (RFC 7519, section 2, NumericDate).
pub type Seconds = i64;
