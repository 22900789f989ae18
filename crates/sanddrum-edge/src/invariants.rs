//! Whether an attempt may be sent, a request repeated or a client's connection closed now. The decision module chooses; these
//! are the rules that hold whatever it chose and whatever has crossed its choice since. Every path asks here at the last
//! moment before its bytes go, and what should never have come so far is counted as a violation, by rule.

use sanddrum::Micros;
use sanddrum_wire::Phase;
use std::collections::BTreeMap;

/// A rule of which a violation was kept from happening.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Nothing is sent for a client that has left or has its final answer.
    ClientWaits,
    /// Nothing is sent once the time for the answer is up.
    TimeLeft,
    /// Nothing is sent to an endpoint that drains, is gone or was never listed.
    EndpointListed,
    /// What may run once is not sent again once it may have run.
    EffectOnce,
    /// Nothing is sent once all has been answered at the end.
    NotEnded,
    /// A connection is not closed while requests on it wait for their answers.
    AnsweredFirst,
}

impl Invariant {
    /// As logs and metrics name it.
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
    pub client_waits: bool,
    pub time_left: Micros,
    /// The endpoint's phase, where it is listed.
    pub endpoint: Option<Phase>,
    pub runs_once_only: bool,
    /// Another attempt of the request has run or may run still.
    pub other_may_run: bool,
    /// The bound on ending is reached and all was answered.
    pub ended: bool,
}

/// # Errors
/// The first rule against it.
pub(crate) fn may_send(facts: &AttemptFacts) -> Result<(), Invariant> {
    let rules = [
        (facts.client_waits, Invariant::ClientWaits),
        (facts.time_left > 0, Invariant::TimeLeft),
        (
            facts.endpoint == Some(Phase::Ready),
            Invariant::EndpointListed,
        ),
        (
            !(facts.runs_once_only && facts.other_may_run),
            Invariant::EffectOnce,
        ),
        (!facts.ended, Invariant::NotEnded),
    ];
    rules
        .into_iter()
        .find(|(has_unwritten, _)| !has_unwritten)
        .map_or(Ok(()), |(_, rule)| Err(rule))
}

/// Why a client's connection is closed from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CloseReason {
    /// Another client needs its place, and it asks nothing.
    MakesRoom,
    /// It has said nothing that could be read, or a request that never came whole.
    TimeToSpeakOver,
    /// It has asked nothing for long.
    Idle,
    /// What it sends can't be read: what is open on it can't be told apart any more.
    Unreadable,
    /// It does not read its answers.
    ReadsNothing,
    /// All that it had open is answered, and no more is taken on it.
    Answered,
}

impl CloseReason {
    /// As logs and metrics name it.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::MakesRoom => "makes-room",
            CloseReason::TimeToSpeakOver => "time-to-speak-over",
            CloseReason::Idle => "idle",
            CloseReason::Unreadable => "unreadable",
            CloseReason::ReadsNothing => "reads-nothing",
            CloseReason::Answered => "answered",
        }
    }
    /// Whether the client itself has seen to it that nothing more can be answered.
    fn is_the_clients_doing(self) -> bool {
        matches!(self, CloseReason::Unreadable | CloseReason::ReadsNothing)
    }
}

/// # Errors
/// Requests on the connection wait for their answers, or answers are not written yet.
pub(crate) fn may_close(
    reason: CloseReason,
    open: usize,
    unwritten: usize,
) -> Result<(), Invariant> {
    match reason.is_the_clients_doing() || (open == 0 && unwritten == 0) {
        true => Ok(()),
        false => Err(Invariant::AnsweredFirst),
    }
}

/// Violations so far, by rule.
#[derive(Debug, Default)]
pub(crate) struct Violations(BTreeMap<Invariant, u64>);

impl Violations {
    pub fn count(&mut self, rule: Invariant) {
        *self.0.entry(rule).or_default() += 1;
        metrics::counter!("sanddrum_violations_total", "rule" => rule.name()).increment(1);
    }
    pub fn all(&self) -> u64 {
        self.0.values().sum()
    }
    /// For the log: rules with their counts, none where there is none.
    pub fn text(&self) -> String {
        let each: Vec<String> = self
            .0
            .iter()
            .map(|(rule, count)| format!("{} {count}", rule.name()))
            .collect();
        if each.is_empty() {
            "none".to_string()
        } else {
            each.join(", ")
        }
    }
}
