//! Messages between a worker and the function store.

use minicbor::{Decode, Encode};

/// From a worker to the function store.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(flat)]
pub enum ToStore {
    /// Fetches a function; answered by a [`Fetched`].
    #[n(0)]
    Fetch(#[n(0)] Fetch),
}

/// From the function store to a worker.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(flat)]
pub enum FromStore {
    /// Answers a [`Fetch`].
    #[n(0)]
    Fetched(#[n(0)] Fetched),
}

/// A request for a function.
#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Fetch {
    /// Identifies this fetch on its connection.
    #[n(0)]
    pub id: u64,
    /// The name of the function.
    #[n(1)]
    pub function: String,
    /// The function's size in MB (2^20 bytes).
    #[n(2)]
    pub size_mb: f64,
}

/// The end of a fetch.
#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Fetched {
    /// The fetch's id.
    #[n(0)]
    pub id: u64,
    /// Whether the function was transferred completely; otherwise the store rejected the fetch.
    #[n(1)]
    pub is_complete: bool,
}
