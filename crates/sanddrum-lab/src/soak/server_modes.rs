//! How emulated model servers behave, normally or with a fault.

/// How a server behaves, normally or with a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerMode {
    Normal,
    /// Requests take ten times as long.
    Slow,
    /// Everything is read and nothing is answered.
    Hung,
    /// Half of the requests fail after they have run.
    Failing,
    /// Some responses are cut off in the middle and the connection is reset.
    ResetsConnections,
    /// Each response is sent a second time a little later.
    DuplicatesResponses,
    /// Half of the responses have a flipped bit.
    CorruptsResponses,
    /// Requests are rejected as if the server had no capacity left.
    Full,
}

impl ServerMode {
    pub const FAULTS: [ServerMode; 7] = [
        ServerMode::Slow,
        ServerMode::Hung,
        ServerMode::Failing,
        ServerMode::ResetsConnections,
        ServerMode::DuplicatesResponses,
        ServerMode::CorruptsResponses,
        ServerMode::Full,
    ];
}
