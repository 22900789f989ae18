//! The invariants for sending an attempt and for closing a client connection. They hold regardless of what the
//! decision module chose and what has happened since. Every path checks them immediately before it acts; an action
//! that should already have been prevented is counted as a violation of its invariant.

use sanddrum::Micros;
use sanddrum_wire::Phase;
use std::collections::BTreeMap;

/// An invariant of the edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// No attempt is sent for a client that has disconnected or received its final response.
    ClientWaits,
    /// No attempt is sent after its deadline.
    TimeLeft,
    /// No attempt or load command is sent after its send deadline.
    SendDeadline,
    /// No attempt or load command is sent to an endpoint that is draining, gone or not listed.
    EndpointListed,
    /// A request that may have run is not sent again if it may run only once, nor to a worker that doesn't recognize its
    /// idempotency key.
    EffectOnce,
    /// A request has one attempt in flight at a time, where two are not allowed.
    OneAttempt,
    /// No attempt is sent after the shutdown's deadline.
    NotEnded,
    /// A connection is not closed while requests on it await their responses.
    AnsweredFirst,
}

impl Invariant {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::ClientWaits => "client-waits",
            Invariant::TimeLeft => "time-left",
            Invariant::SendDeadline => "send-deadline",
            Invariant::EndpointListed => "endpoint-listed",
            Invariant::EffectOnce => "effect-once",
            Invariant::OneAttempt => "one-attempt",
            Invariant::NotEnded => "not-ended",
            Invariant::AnsweredFirst => "answered-first",
        }
    }
}

/// The state of an attempt immediately before its first byte is written.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptFacts {
    /// The client is connected and has not received a final response.
    pub client_waits: bool,
    /// The time until the deadline.
    pub time_left: Micros,
    /// The time until the send deadline.
    pub send_time_left: Micros,
    /// The endpoint's phase, if it is listed.
    pub endpoint: Option<Phase>,
    /// The request may run only once.
    pub runs_once: bool,
    /// Another attempt of the request may have run or may still run.
    pub another_may_run: bool,
    /// The worker recognizes the request's idempotency key, or the request has none or can't have run before.
    pub is_key_recognized: bool,
    /// Another attempt of the request may still run.
    pub another_in_flight: bool,
    /// A request may have two attempts in flight.
    pub allows_hedging: bool,
    /// The shutdown's deadline has passed and all requests have been answered.
    pub is_past_shutdown: bool,
}

/// Checks whether an attempt may be sent.
///
/// # Errors
/// The first invariant that sending it would violate.
pub(crate) fn may_send_attempt(facts: &AttemptFacts) -> Result<(), Invariant> {
    let is_ready = facts.endpoint == Some(Phase::Ready);
    let checks = [
        (facts.client_waits, Invariant::ClientWaits),
        (facts.time_left > 0, Invariant::TimeLeft),
        (facts.send_time_left > 0, Invariant::SendDeadline),
        (is_ready, Invariant::EndpointListed),
        (
            !(facts.runs_once && facts.another_may_run) && facts.is_key_recognized,
            Invariant::EffectOnce,
        ),
        (
            facts.allows_hedging || !facts.another_in_flight,
            Invariant::OneAttempt,
        ),
        (!facts.is_past_shutdown, Invariant::NotEnded),
    ];
    checks
        .into_iter()
        .find(|(holds, _)| !holds)
        .map_or(Ok(()), |(_, invariant)| Err(invariant))
}

/// The state of a load command immediately before its first byte is written.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadFacts {
    /// It only queries the number of loaded instances.
    pub is_query: bool,
    /// The time until the send deadline.
    pub send_time_left: Micros,
    /// The endpoint's phase, if it is listed.
    pub endpoint: Option<Phase>,
}

/// Checks whether a load command may be sent.
///
/// # Errors
/// The first invariant that sending it would violate.
pub(crate) fn may_send_load(facts: &LoadFacts) -> Result<(), Invariant> {
    if facts.is_query {
        return Ok(());
    }
    if facts.send_time_left <= 0 {
        return Err(Invariant::SendDeadline);
    }
    if facts.endpoint != Some(Phase::Ready) {
        return Err(Invariant::EndpointListed);
    }
    Ok(())
}

/// Why the edge closes a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CloseReason {
    /// The limit on client connections was reached when a new client connected, and this one had no open request.
    Evicted,
    /// No valid request, or only part of one, was received in time.
    RequestTimeout,
    /// No request was open for the idle timeout.
    Idle,
    /// The connection's input can't be decoded, so that its open requests can no longer be distinguished.
    Unreadable,
    /// The client does not read its responses.
    NotReading,
    /// The client has ended the connection, and more of its input is unread.
    EndedByClient,
    /// All its requests are answered, and no further ones are accepted.
    Answered,
}

impl CloseReason {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::Evicted => "makes-room",
            CloseReason::RequestTimeout => "time-to-speak-over",
            CloseReason::Idle => "idle",
            CloseReason::Unreadable => "unreadable",
            CloseReason::NotReading => "reads-nothing",
            CloseReason::EndedByClient => "ended-by-client",
            CloseReason::Answered => "answered",
        }
    }

    /// Whether the client itself makes further responses impossible.
    fn is_caused_by_client(self) -> bool {
        matches!(
            self,
            CloseReason::Unreadable | CloseReason::NotReading | CloseReason::EndedByClient
        )
    }
}

/// Checks whether a client connection may be closed.
///
/// # Errors
/// [`Invariant::AnsweredFirst`]: requests on the connection await their responses, or responses are not fully written.
pub(crate) fn may_close(
    reason: CloseReason,
    open_requests: usize,
    unwritten_bytes: usize,
) -> Result<(), Invariant> {
    let is_answered = open_requests == 0 && unwritten_bytes == 0;
    if is_answered || reason.is_caused_by_client() {
        Ok(())
    } else {
        Err(Invariant::AnsweredFirst)
    }
}

/// Violations so far, by invariant.
#[derive(Debug, Default)]
pub(crate) struct Violations {
    counts: BTreeMap<Invariant, u64>,
    are_allowed: bool,
}

impl Violations {
    /// From now on, violations are counted but not prevented. For tests of checkers.
    pub fn allow(&mut self) {
        self.are_allowed = true;
    }

    /// Whether violations are counted but not prevented: the caller then carries out the action nevertheless.
    pub fn are_allowed(&self) -> bool {
        self.are_allowed
    }

    /// Counts and logs a violation. Panics in debug builds unless violations are allowed.
    pub fn report(&mut self, invariant: Invariant, what: &str) {
        let name = invariant.name();
        *self.counts.entry(invariant).or_default() += 1;
        metrics::counter!("sanddrum_violations_total", "rule" => name).increment(1);
        tracing::error!(
            reason = "violation",
            rule = name,
            what,
            "invariant violated"
        );
        debug_assert!(self.are_allowed, "violation of {name}: {what}");
    }

    /// The total number of violations.
    pub fn total(&self) -> u64 {
        self.counts.values().sum()
    }

    /// The violated invariants with their counts, or "none", for the log.
    pub fn summary(&self) -> String {
        if self.counts.is_empty() {
            return "none".to_string();
        }
        let counts = self.counts.iter();
        let counts: Vec<String> = counts
            .map(|(invariant, count)| format!("{} {count}", invariant.name()))
            .collect();
        counts.join(", ")
    }
}
