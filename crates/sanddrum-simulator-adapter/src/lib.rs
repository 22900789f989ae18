//! Hosts sanddrum routers behind the simulator's protocol, one JSON array per line. Each batch of messages is decoded
//! into events, the decision module of each addressed router is called once, and its decisions are encoded. The adapter
//! contains no policy.

mod decode;
mod encode;
mod error;
mod fields;
mod host;
mod names;

pub use decode::start_settings;
pub use error::{AdapterError, DecodeError, ValueKind};
pub use host::serve;
