//! Sans-I/O cores, and the two drivers that run them.
//!
//! A [`Core`] is a state machine without I/O. Its driver passes it received bytes, connection events, file contents
//! and the current time; the core connects, writes and closes through [`Io`] and returns the time of its next wake-up
//! from [`Core::next_wakeup`]. Two drivers run the same cores: [`EventLoop`] on real sockets and the monotonic clock,
//! and [`VirtualNet`] on simulated links in virtual time. The drivers make no decisions of their own.

mod core;
mod event;
mod event_loop;
mod files;
mod io;
mod link_model;
mod outbox;
mod rng;
mod traffic_observer;
mod virtual_net;

pub use self::core::Core;
pub use event::{CloseCause, ConnectionId, Event, HostId, ListenerId, Micros};
pub use event_loop::{EventLoop, Shutdown};
pub use files::{FileError, FilePart};
pub use io::{Io, PeerIdentity, UnreadInput};
pub use link_model::{LinkFault, LinkModel};
pub use outbox::{Outbox, OutboxFull};
pub use rng::Rng;
pub use traffic_observer::{NullObserver, Side, TrafficObserver};
pub use virtual_net::VirtualNet;
