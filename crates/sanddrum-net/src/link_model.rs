//! How the links of the virtual network behave.

use crate::Micros;

/// How the virtual links behave.
#[derive(Clone, Debug)]
pub struct LinkModel {
    /// One way, between hosts of one zone and of two.
    pub same_zone_latency: Micros,
    pub cross_zone_latency: Micros,
    /// The part of the latency that chance may add.
    pub jitter: f64,
    /// The part of pieces that are lost and come again after `retransmit_after`.
    pub loss_probability: f64,
    pub retransmit_after: Micros,
    /// The part of pieces that arrive in two halves.
    pub split_probability: f64,
    /// Bytes that may be under way on a connection, one way.
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

/// What is wrong with the way from one host to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFault {
    /// Everything takes so much longer.
    pub delay: Micros,
    /// No more than so many bytes a second pass on each connection; nought: any.
    pub bytes_per_second: f64,
    /// Connections are made, and what is sent on them does not arrive until the way is mended.
    pub drops_data: bool,
    /// Connections are refused.
    pub refuses_connections: bool,
}
