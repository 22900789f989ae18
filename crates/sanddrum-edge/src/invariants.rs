//! Whether an attempt may be sent or a client's connection be closed now. The decision module chooses; these are the
//! invariants that hold whatever it chose and whatever has happened since. Every path checks here at the last moment before
//! its bytes are written, and what should never have come so far is counted as a violation, by invariant.

use sanddrum::Micros;
use sanddrum_wire::Phase;
use std::collections::BTreeMap;

/// An invariant that was about to be violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Nothing is sent for a client that has disconnected or has its final response.
    ClientWaits,
    /// Nothing is sent once the deadline of the attempt has passed.
    TimeLeft,
    /// Nothing is sent to an endpoint that is draining, gone or was never listed.
    EndpointListed,
    /// A request that may run only once is not sent again once it may have run.
    EffectOnce,
    /// Nothing is sent once the shutdown's deadline has passed.
    NotEnded,
    /// A connection is not closed while requests on it wait for their responses.
    AnsweredFirst,
}

impl Invariant {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::ClientWaits => "client-waits",
            Invariant::TimeLeft => "time-left",
            Invariant::EndpointListed => "endpoint-listed",
            Invariant::EffectOnce => "effect-once",
            Invariant::NotEnded => "not-ended",
            Invariant::AnsweredFirst => "answered-first",
        }
    }
}

/// What is known of an attempt as its first byte is about to be written.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptFacts {
    /// The client is connected and has no final response.
    pub client_waits: bool,
    /// The time until the deadline.
    pub time_left: Micros,
    /// The endpoint's phase, where it is listed.
    pub endpoint: Option<Phase>,
    /// The request may run only once.
    pub runs_once: bool,
    /// Another attempt of the request has run or may run still.
    pub another_may_run: bool,
    /// The shutdown's deadline has passed and all was answered.
    pub is_past_shutdown: bool,
}

/// Whether an attempt may be sent.
///
/// # Errors
/// The first invariant that it would violate.
pub(crate) fn may_send(facts: &AttemptFacts) -> Result<(), Invariant> {
    let is_ready = facts.endpoint == Some(Phase::Ready);
    let checks = [
        (facts.client_waits, Invariant::ClientWaits),
        (facts.time_left > 0, Invariant::TimeLeft),
        (is_ready, Invariant::EndpointListed),
        (
            !(facts.runs_once && facts.another_may_run),
            Invariant::EffectOnce,
        ),
        (!facts.is_past_shutdown, Invariant::NotEnded),
    ];
    checks
        .into_iter()
        .find(|(holds, _)| !holds)
        .map_or(Ok(()), |(_, invariant)| Err(invariant))
}

/// Why the edge closes a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CloseReason {
    /// Another client needs its place, and no request is open on it.
    Evicted,
    /// It has sent nothing valid, or a request that was never completed.
    RequestTimeout,
    /// No request was open on it for long.
    Idle,
    /// It can't be decoded any further: the requests that are open on it can't be distinguished any more.
    Unreadable,
    /// The client does not read its responses.
    NotReading,
    /// All that was open on it is answered, and nothing new is accepted on it.
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
            CloseReason::Answered => "answered",
        }
    }

    /// Whether the client itself prevents that anything more is answered.
    fn is_caused_by_client(self) -> bool {
        matches!(self, CloseReason::Unreadable | CloseReason::NotReading)
    }
}

/// Whether a client's connection may be closed.
///
/// # Errors
/// Requests on the connection wait for their responses, or responses are not written yet.
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
    /// From now on violations are counted and let happen.
    pub fn allow(&mut self) {
        self.are_allowed = true;
    }

    /// Whether violations are let happen.
    pub fn are_allowed(&self) -> bool {
        self.are_allowed
    }

    /// Counts and logs a violation. In debug builds it panics, unless violations are allowed.
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

    /// The number of violations.
    pub fn total(&self) -> u64 {
        self.counts.values().sum()
    }

    /// For the log: invariants with their counts, or "none".
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
