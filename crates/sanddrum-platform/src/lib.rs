//! The users' platform as a router meets it, without I/O: binary frames to and from workers ([`frames`]), the control
//! feed ([`control_feed`]), when servers started ([`start_times`]) and what a router is told at its start ([`startup_config`]). The words of the platform end here.

#![allow(clippy::too_many_lines, missing_docs)] // unfinished: docs/ROADMAP.md

pub mod control_feed;
pub mod frames;
pub mod start_times;
pub mod startup_config;

pub use frames::{FrameDecoder, FrameError, Response};
pub use startup_config::StartupConfig;
