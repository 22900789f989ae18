//! The users' platform as a router meets it, without I/O: binary frames to and from workers ([`frames`]), the control
//! feed ([`feed`]), when servers started ([`starts`]) and what a router is told at its start ([`start`]). The words of the platform end here.

#![allow(clippy::too_many_lines, missing_docs)] // unfinished: docs/ROADMAP.md

pub mod control_feed;
pub mod frames;
pub mod start;
pub mod starts;

pub use frames::{Answer, FrameDecoder, FrameError};
pub use start::StartupConfig;
