//! The users' platform as a router sees it, without I/O: binary frames to and from workers ([`frames`]), the control feed
//! ([`control_feed`]), when workers started ([`start_times`]) and the startup configuration ([`startup_config`]). The
//! platform's own names are known here and in `sanddrum-platform-config`, and nowhere else.

pub mod control_feed;
mod deployment;
pub mod frames;
pub mod start_times;
pub mod startup_config;

pub use frames::{FrameDecoder, FrameError, Response};
pub use startup_config::{StartupConfig, StartupConfigError};
