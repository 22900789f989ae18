//! How the links of the virtual network behave.

use crate::Micros;

/// How the virtual links behave.
#[derive(Clone, Debug)]
pub struct Links {
    /// One way, between hosts of one zone and of two.
    pub same_zone: Micros,
    pub cross_zone: Micros,
    /// The part of the latency that chance may add.
    pub jitter: f64,
    /// The part of pieces that are lost and come again after `again`.
    pub loss: f64,
    pub again: Micros,
    /// The part of pieces that arrive in two halves.
    pub split: f64,
    /// Bytes that may be under way on a connection, one way.
    pub window: usize,
}

impl Default for Links {
    fn default() -> Self {
        Links {
            same_zone: 200,
            cross_zone: 600,
            jitter: 0.2,
            loss: 0.0,
            again: 200_000,
            split: 0.05,
            window: 256 * 1024,
        }
    }
}

/// What is wrong with the way from one host to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bend {
    /// Everything takes so much longer.
    pub delay: Micros,
    /// No more than so many bytes a second pass on each connection; nought: any.
    pub per_s: f64,
    /// Connections are made, and what is sent on them does not arrive until the way is mended.
    pub silent: bool,
    /// Connections are refused.
    pub refuses: bool,
}
