//! Hosts sanddrum routers on the simulator's wire: decodes each batch of messages into events, calls the decision module
//! of each router once, and encodes what it decided. It knows the wire and nothing of policy.

mod decode;
mod encode;
mod error;
mod fields;
mod host;
mod names;

pub use decode::start_settings;
pub use error::{AdapterError, DecodeError, ValueKind};
pub use host::serve;
