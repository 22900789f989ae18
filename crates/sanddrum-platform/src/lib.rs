//! The platform that routers are deployed on, as a router sees it, without I/O: binary frames to and from workers
//! ([`frames`]), the control feed ([`control_feed`]), the start times of workers ([`start_times`]) and the startup
//! configuration ([`startup_config`]). The platform's own names appear only here and in `sanddrum-platform-config`.

pub mod control_feed;
mod deployment;
pub mod frames;
mod json_stream;
mod json_value;
pub mod start_times;
pub mod startup_config;

pub use frames::{FrameDecoder, FrameError, Response};
pub use json_stream::JsonError;
pub use startup_config::{
    StartupConfig, StartupConfigError, StartupConfigReader, MAX_CONFIGURATION_BYTES,
};
