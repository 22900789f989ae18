//! The control feed: numbered events that change the list of workers, polled over HTTP/1.1.

mod event_fold;
mod event_reader;

pub(crate) use event_fold::{EventFold, FoldBase};
pub(crate) use event_reader::EventReader;

use crate::json_stream::{JsonError, JsonStream, Token};
use sanddrum::Micros;
use sanddrum_wire::EndpointRecord;

/// The age, in microseconds, that stands for a process that started long ago or at an unknown time.
pub(crate) const UNKNOWN_AGE_US: Micros = -1;

/// The earliest time after the feed's connection broke, or after the wait of an unanswered poll ended, at which the
/// platform considers the router notified of changes that the feed could not deliver, in microseconds (the platform's
/// page on the days that count, section *Bad peers*).
pub const MIN_NOTIFICATION_DELAY: Micros = 2_000_000;

/// The latest time after the feed's connection broke, or the feed stopped answering, at which the platform considers
/// the router notified of such changes, in microseconds (the platform's protocol page, section *Figures*).
pub const MAX_NOTIFICATION_DELAY: Micros = 7_000_000;

/// A worker as the feed describes it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Member {
    /// The worker, without its incarnation and age, which [`StartTimes`](crate::start_times::StartTimes) derives.
    pub endpoint: EndpointRecord,
    /// When its process started, in Unix milliseconds by the worker's wall clock; zero for long ago.
    pub up_since_ms: i64,
}

/// The change of the list of workers that an event brings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MembershipUpdate {
    /// Whether `members` is the complete list; otherwise it holds only the changed workers.
    pub is_full_snapshot: bool,
    /// The workers.
    pub members: Vec<Member>,
}

/// One event of the feed.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedEvent {
    /// The event's number; numbers are increasing.
    pub number: u64,
    /// The change of the list of workers; `None` if the event does not concern it.
    pub members: Option<MembershipUpdate>,
}

/// A response of the feed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FeedEvents {
    /// The number of the feed's last event.
    pub last_number: u64,
    /// The events that follow the polled number.
    pub events: Vec<FeedEvent>,
}

/// Why a response of the feed can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FeedError {
    /// The response is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] JsonError),
    /// A value is missing or of another type.
    #[error("{key}: expected {expected}")]
    WrongType {
        /// The value's key.
        key: &'static str,
        /// The type that the value must have.
        expected: &'static str,
    },
    /// A worker's phase is unknown or missing.
    #[error("members: phase: unknown {0:?}")]
    UnknownPhase(Option<String>),
}

/// Encodes the poll for the events that follow event `number`. The feed responds within `wait`, without events if
/// there are none by then.
pub fn poll_request(address: &str, number: u64, wait: Micros) -> Vec<u8> {
    let wait_ms = wait / 1000;
    format!(
        "GET /v1/events?SUB={number}&wait={wait_ms} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n"
    )
    .into_bytes()
}

/// Decodes a response of the feed. A worker's kind of machine becomes its index in `kinds`, or `kinds.len()` if it is
/// not listed there.
///
/// # Errors
/// [`FeedError`], which names the key.
pub fn read(response: &[u8], kinds: &[String]) -> Result<FeedEvents, FeedError> {
    let mut stream = JsonStream::new();
    let mut reader = EventReader::new(0);
    let mut events = Vec::new();
    let mut handle = |token: Token<'_>| -> Result<(), FeedError> {
        events.extend(reader.push(token)?);
        Ok(())
    };
    stream.push(response, &mut handle)?;
    stream.finish(&mut handle)?;
    let (last_number, machine_kinds) = reader.finish()?;
    for event in &mut events {
        machine_kinds.resolve(event, kinds);
    }
    Ok(FeedEvents {
        last_number,
        events,
    })
}
