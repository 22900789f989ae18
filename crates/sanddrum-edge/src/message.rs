//! Messages to workers before they are written, and the ids under which the edge waits for their answers.

/// An attempt of a request, unique for the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId(pub u64);

/// A load command or a health check, unique for the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CommandId(pub u64);

/// What a message to a worker is about. Messages that end together are reported in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum MessageKey {
    /// A request to be executed.
    Attempt(AttemptId),
    /// A load command.
    Load(CommandId),
    /// A health check.
    HealthCheck(CommandId),
    /// The cancellation of an attempt. It is written at once or its connection is closed, which cancels as well.
    Cancel,
    /// A message that is not answered.
    Untracked,
}

/// A message to a worker.
pub(crate) struct OutboundMessage {
    /// What it is about.
    pub key: MessageKey,
    /// The id under which the worker answers it.
    pub wire_id: u64,
    /// The encoded message.
    pub bytes: Vec<u8>,
}
