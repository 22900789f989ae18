//! Messages of the discovery service, which provides edges with the endpoint list.

use super::Hello;
use minicbor::data::Type;
use minicbor::{Decode, Decoder, Encode};

/// From edges and workers to the discovery service.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(flat)]
pub enum ToDiscovery {
    /// The first message of an edge or a worker.
    #[n(0)]
    Hello(#[n(0)] Hello),
    /// Watches the endpoint list for an edge.
    #[n(1)]
    Watch(#[n(0)] Watch),
    /// Registers a worker. Sent again when its record changes.
    #[n(2)]
    Register(#[n(0)] EndpointRecord),
    /// Reports that a worker's process is alive.
    #[n(3)]
    Heartbeat(#[n(0)] Heartbeat),
}

/// From the discovery service to an edge.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(flat)]
pub enum FromDiscovery {
    /// The first message of the discovery service.
    #[n(0)]
    Hello(#[n(0)] Hello),
    /// The endpoint list, or changes to it.
    #[n(1)]
    Endpoints(#[n(0)] EndpointUpdate),
}

/// A request to watch the endpoint list.
#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Watch {
    /// The version of the list that the edge has; zero requests a full snapshot.
    #[n(0)]
    pub version: u64,
    /// The incarnation of the discovery service that `version` belongs to; zero requests a full snapshot.
    #[n(1)]
    #[cbor(default)]
    pub service_incarnation: u64,
}

/// Whether a worker accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Encode, Decode)]
#[cbor(index_only)]
pub enum Phase {
    /// The worker accepts new requests.
    #[n(0)]
    Ready,
    /// The worker finishes the requests it has and accepts no new ones.
    #[n(1)]
    Draining,
    /// The worker has left the list.
    #[default]
    #[n(2)]
    Gone,
}

/// One worker in the endpoint list.
#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct EndpointRecord {
    /// The worker's unique name.
    #[n(0)]
    pub name: String,
    /// IP address and port.
    #[n(1)]
    pub address: String,
    /// The name of its availability zone.
    #[n(2)]
    #[cbor(default)]
    pub zone: String,
    /// The number of its cell.
    #[n(3)]
    #[cbor(default)]
    pub cell: u32,
    /// The number of its kind of machine.
    #[n(4)]
    #[cbor(default)]
    pub kind: u32,
    /// Its capacity relative to other workers.
    #[n(5)]
    pub size: f64,
    /// Whether it accepts requests.
    #[n(6)]
    pub phase: Phase,
    /// Its incarnation, which grows from one start of its process to the next.
    #[n(7)]
    pub incarnation: u64,
    /// Microseconds since its process started; negative for a start long ago.
    #[n(8)]
    pub age_us: i64,
}

/// A full snapshot of the endpoint list, or the changes since an earlier version.
#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct EndpointUpdate {
    /// The list's version after this update; versions grow within one incarnation of the discovery service.
    #[n(0)]
    pub version: u64,
    /// The incarnation of the discovery service.
    #[n(1)]
    pub service_incarnation: u64,
    /// Whether `endpoints` is the complete list; otherwise it holds only the changes since `base_version`.
    #[n(2)]
    pub is_full_snapshot: bool,
    /// The version that the changes apply to. An edge with another version requests a full snapshot.
    #[n(3)]
    #[cbor(default)]
    pub base_version: u64,
    /// The endpoints.
    #[n(4)]
    pub endpoints: Vec<EndpointRecord>,
}

impl EndpointUpdate {
    /// The update without its endpoints.
    pub fn head(&self) -> EndpointUpdateHead {
        EndpointUpdateHead {
            version: self.version,
            service_incarnation: self.service_incarnation,
            is_full_snapshot: self.is_full_snapshot,
            base_version: self.base_version,
        }
    }
}

/// An [`EndpointUpdate`] without its endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct EndpointUpdateHead {
    /// See [`EndpointUpdate::version`].
    pub version: u64,
    /// See [`EndpointUpdate::service_incarnation`].
    pub service_incarnation: u64,
    /// See [`EndpointUpdate::is_full_snapshot`].
    pub is_full_snapshot: bool,
    /// See [`EndpointUpdate::base_version`].
    pub base_version: u64,
}

/// Decodes an [`EndpointUpdate`] up to its endpoints, which the derived [`Encode`] writes last.
impl<C> Decode<'_, C> for EndpointUpdateHead {
    fn decode(decoder: &mut Decoder<'_>, _: &mut C) -> Result<Self, minicbor::decode::Error> {
        let mut head = EndpointUpdateHead::default();
        // A map of indefinite length ends with a break (RFC 8949, section 3.2.1).
        let max_entries = decoder.map()?.unwrap_or(u64::MAX);
        for _ in 0..max_entries {
            if decoder.datatype()? == Type::Break {
                break;
            }
            match decoder.u32()? {
                0 => head.version = decoder.u64()?,
                1 => head.service_incarnation = decoder.u64()?,
                2 => head.is_full_snapshot = decoder.bool()?,
                3 => head.base_version = decoder.u64()?,
                _ => break,
            }
        }
        Ok(head)
    }
}

/// [`FromDiscovery`] for a reader that needs the version of the list but not its endpoints.
#[derive(Clone, Debug, PartialEq, Decode)]
#[cbor(flat)]
pub enum FromDiscoveryHead {
    /// The first message of the discovery service.
    #[n(0)]
    Hello(#[n(0)] Hello),
    /// The head of an endpoint update.
    #[n(1)]
    Endpoints(#[n(0)] EndpointUpdateHead),
}

/// A report that a worker's process is alive.
#[derive(Clone, Debug, PartialEq, Default, Encode, Decode)]
#[cbor(map)]
pub struct Heartbeat {
    /// The worker's incarnation.
    #[n(0)]
    pub incarnation: u64,
}
