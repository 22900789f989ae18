//! The properties and faults of links in the virtual network.

use crate::Micros;

/// The properties of all virtual links.
#[derive(Clone, Debug)]
pub struct LinkModel {
    /// The one-way latency between hosts of the same zone.
    pub same_zone_latency: Micros,
    /// The one-way latency between hosts of different zones.
    pub cross_zone_latency: Micros,
    /// The upper bound of the random addition to the latency, as a fraction of the latency.
    pub jitter: f64,
    /// The probability that a message is lost and sent again after `retransmit_after`.
    pub loss_probability: f64,
    /// The additional delay of a lost message.
    pub retransmit_after: Micros,
    /// The probability that written bytes arrive in two parts.
    pub split_probability: f64,
    /// The maximum number of bytes in flight on a connection, in each direction.
    pub window_bytes: usize,
}

impl Default for LinkModel {
    fn default() -> Self {
        LinkModel {
            same_zone_latency: 200,
            cross_zone_latency: 600,
            jitter: 0.2,
            loss_probability: 0.0,
            retransmit_after: 200_000,
            split_probability: 0.05,
            window_bytes: 256 * 1024,
        }
    }
}

/// A fault of the one-way link from one host to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFault {
    /// Added to the latency.
    pub delay: Micros,
    /// The bandwidth of each connection; zero means unlimited.
    pub bytes_per_second: f64,
    /// Connections are established, but data sent on them is buffered until the fault is removed.
    pub holds_data: bool,
    /// Connections are refused.
    pub refuses_connections: bool,
}
