//! The control feed: numbered events that change the list of workers, polled over HTTP/1.1.

use sanddrum::Micros;
use sanddrum_wire::{EndpointRecord, Phase};
use serde_json::Value as Json;

/// The age, in microseconds, that stands for a process that started long ago or at an unknown time.
pub(crate) const UNKNOWN_AGE_US: Micros = -1;

/// The relative capacity of a worker whose size the feed does not state.
const DEFAULT_SIZE: f64 = 1.0;

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

/// Parses a response of the feed, or the `known` events of the startup configuration. A worker's kind of machine
/// becomes its index in `kinds`, or `kinds.len()` if it is not listed there.
///
/// # Errors
/// [`FeedError`], which names the key.
pub fn parse(json: &Json, kinds: &[String]) -> Result<FeedEvents, FeedError> {
    let last_number = json["n"].as_u64().ok_or(FeedError::WrongType {
        key: "n",
        expected: "a non-negative integer",
    })?;
    let events = match &json["events"] {
        Json::Null => &[],
        events => expect_array(events, "events")?,
    };
    let events = events
        .iter()
        .map(|event| read_event(event, kinds))
        .collect::<Result<_, _>>()?;
    Ok(FeedEvents {
        last_number,
        events,
    })
}

fn expect_array<'a>(json: &'a Json, key: &'static str) -> Result<&'a [Json], FeedError> {
    let array = json.as_array().ok_or(FeedError::WrongType {
        key,
        expected: "an array",
    })?;
    Ok(array)
}

fn read_event(event: &Json, kinds: &[String]) -> Result<FeedEvent, FeedError> {
    let number = event["n"].as_u64().ok_or(FeedError::WrongType {
        key: "events: n",
        expected: "a non-negative integer",
    })?;
    let members = match &event["members"] {
        Json::Null => None,
        update => Some(read_update(update, kinds)?),
    };
    Ok(FeedEvent { number, members })
}

fn read_update(update: &Json, kinds: &[String]) -> Result<MembershipUpdate, FeedError> {
    let members = expect_array(&update["members"], "members")?
        .iter()
        .map(|member| read_member(member, kinds))
        .collect::<Result<_, _>>()?;
    Ok(MembershipUpdate {
        is_full_snapshot: update["complete"].as_bool().unwrap_or(false),
        members,
    })
}

fn read_member(member: &Json, kinds: &[String]) -> Result<Member, FeedError> {
    let text = |key: &str| member[key].as_str().map(String::from);
    let name = text("id").ok_or(FeedError::WrongType {
        key: "members: id",
        expected: "a string",
    })?;
    let kind = member["flavor"]
        .as_str()
        .and_then(|flavor| kinds.iter().position(|kind| kind == flavor));
    let endpoint = EndpointRecord {
        name,
        address: text("host_port").unwrap_or_default(),
        zone: text("locality").unwrap_or_default(),
        cell: member["cell"].as_u64().unwrap_or(0) as u32,
        kind: kind.unwrap_or(kinds.len()) as u32,
        size: member["size"].as_f64().unwrap_or(DEFAULT_SIZE),
        phase: read_phase(&member["phase"])?,
        incarnation: 0,
        age_us: UNKNOWN_AGE_US,
    };
    Ok(Member {
        endpoint,
        up_since_ms: member["up_since_ms"].as_i64().unwrap_or(0).max(0),
    })
}

fn read_phase(phase: &Json) -> Result<Phase, FeedError> {
    match phase.as_str() {
        Some("in_service") => Ok(Phase::Ready),
        Some("terminating") => Ok(Phase::Draining),
        Some("terminated") => Ok(Phase::Gone),
        other => Err(FeedError::UnknownPhase(other.map(String::from))),
    }
}
