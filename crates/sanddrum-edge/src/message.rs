//! Messages to workers, and the ids that match answers to them.

/// The id of an attempt, unique within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId(pub u64);

/// The id of a load command or a health check, unique within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CommandId(pub u64);

/// Identifies a message to a worker. Messages of a connection that are lost together are reported in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum MessageKey {
    /// A request to be executed.
    Attempt(AttemptId),
    /// A load command.
    Load(CommandId),
    /// A health check.
    HealthCheck(CommandId),
    /// A message whose answer only proves that the worker has read it and all messages before it.
    Confirmation(CommandId),
    /// The cancellation of an attempt, which has no answer.
    Cancel(AttemptId),
    /// A message without an answer.
    Untracked,
}

/// A message to a worker.
pub(crate) struct OutboundMessage {
    /// Identifies the message.
    pub key: MessageKey,
    /// The id that the worker's answer carries.
    pub wire_id: u64,
    /// The encoded message.
    pub bytes: Vec<u8>,
}
