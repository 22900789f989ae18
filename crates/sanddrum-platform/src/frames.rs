//! FrameDecoder between routers and workers: `mark code fields:2 body:4 id:8`, so many bytes of fields and of body, and the
//! CRC-32 of both. Numbers are unsigned, most significant byte first.

use sanddrum::Micros;
use sanddrum_wire::{ExecutionStatus, InstanceState, LoadReport};
use std::fmt;

const HEAD: usize = 16;
const CHECK: usize = 4;
const FROM_ROUTER: u8 = 76;
const FROM_WORKER: u8 = 108;

const REQUEST: u8 = 65;
const GIVE_UP: u8 = 66;
const PING: u8 = 67;
const LOAD: u8 = 69;
const UNLOAD: u8 = 71;

fn frame(mark: u8, code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEAD + fields.len() + body.len() + CHECK);
    out.extend_from_slice(&[mark, code]);
    out.extend_from_slice(&(fields.len() as u16).to_be_bytes());
    out.extend_from_slice(&(body.len() as u32).to_be_bytes());
    out.extend_from_slice(&id.to_be_bytes());
    out.extend_from_slice(fields.as_bytes());
    out.extend_from_slice(body);
    let check = crc32fast::hash(&out[HEAD..]);
    out.extend_from_slice(&check.to_be_bytes());
    out
}

/// A job, which runs on if it can be begun within `limit`.
pub fn request(id: u64, workload: &str, function: &str, limit: Micros, body: &[u8]) -> Vec<u8> {
    request_with_key(id, workload, function, limit, None, body)
}
/// The same with the idempotency key that its client gave it, by which workers drop its repeats.
pub fn request_with_key(
    id: u64,
    workload: &str,
    function: &str,
    limit: Micros,
    key: Option<&str>,
    body: &[u8],
) -> Vec<u8> {
    let max = (limit / 1000).max(1);
    let mut fields = format!("profile={workload},thing={function},max={max}");
    key.into_iter()
        .for_each(|key| fields.push_str(&format!(",replay={key}")));
    frame(FROM_ROUTER, REQUEST, id, &fields, body)
}
/// A job is given up; nothing answers this.
pub fn cancel(id: u64) -> Vec<u8> {
    frame(FROM_ROUTER, GIVE_UP, id, "", &[])
}
/// Asks whether the connection works.
pub fn ping(id: u64) -> Vec<u8> {
    frame(FROM_ROUTER, PING, id, "", &[])
}
/// Has at least so many copies held; nought only asks.
pub fn load(id: u64, function: &str, copies: u32) -> Vec<u8> {
    frame(
        FROM_ROUTER,
        LOAD,
        id,
        &format!("thing={function},copies={copies}"),
        &[],
    )
}
/// Has the idle copies of a function unloaded; nothing answers this.
pub fn unload(function: u64) -> Vec<u8> {
    frame(FROM_ROUTER, UNLOAD, function, "", &[])
}
/// An answer, as a worker writes it.
pub fn response(code: u8, id: u64, fields: &str, body: &[u8]) -> Vec<u8> {
    frame(FROM_WORKER, code, id, fields, body)
}

/// How an answer ends what it answers.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Response {
    pub id: u64,
    /// None where it tells only that the connection works.
    pub status: Option<ExecutionStatus>,
    pub instance: Option<InstanceState>,
    pub report: Option<LoadReport>,
    /// LoadedSettings copies, where an order is answered.
    pub instances: Option<u32>,
    pub body: Vec<u8>,
}

/// Why a stream of frames can't be read on. The connection has no meaning any more and is to be ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameError {
    Mark(u8),
    Code(u8),
    /// Longer than this side takes.
    TooLong(usize),
    Check,
    Fields,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Mark(mark) => write!(f, "a frame begins with {mark}"),
            FrameError::Code(code) => write!(f, "code {code} is no answer"),
            FrameError::TooLong(length) => {
                write!(f, "a frame of {length} bytes (limits largest-frame)")
            }
            FrameError::Check => write!(f, "a frame's check does not fit"),
            FrameError::Fields => write!(f, "a frame's fields can't be read"),
        }
    }
}

impl std::error::Error for FrameError {}

fn ended(code: u8) -> Result<Option<ExecutionStatus>, FrameError> {
    Ok(match code {
        97 => Some(ExecutionStatus::Finished),
        99 => Some(ExecutionStatus::ColdMiss),
        100 => Some(ExecutionStatus::Rejected),
        101 => Some(ExecutionStatus::Error),
        102 => Some(ExecutionStatus::Dropped),
        103 => None,
        other => return Err(FrameError::Code(other)),
    })
}

fn read(code: u8, id: u64, fields: &[u8], body: &[u8]) -> Result<Response, FrameError> {
    let mut answer = Response {
        id,
        status: ended(code)?,
        body: body.to_vec(),
        ..Response::default()
    };
    let fields = std::str::from_utf8(fields).map_err(|_| FrameError::Fields)?;
    for field in fields.split(',').filter(|field| !field.is_empty()) {
        let (name, value) = field.split_once('=').ok_or(FrameError::Fields)?;
        match name {
            "remark" => {
                answer.instance = match value {
                    "hot" => Some(InstanceState::Warm),
                    "started" => Some(InstanceState::StartedLoad),
                    "waited" => Some(InstanceState::WaitedForLoad),
                    "broken" => Some(InstanceState::LoadFailed),
                    _ => None,
                }
            }
            "report" => {
                let each = value.split(';').filter_map(|one| one.split_once(':'));
                let number = |text: &str| text.parse::<f64>().ok().filter(|n| n.is_finite());
                let values = each.map(|(name, text)| (name, number(text)));
                let told = sanddrum_platform_config::load_report(values);
                answer.report = Some(LoadReport {
                    in_flight: told.in_flight,
                    queued: told.queued,
                    busy: told.busy,
                    memory_pinned: told.memory_pinned,
                    loads_in_progress: told.loads_in_progress,
                });
            }
            "copies" => answer.instances = Some(value.parse().map_err(|_| FrameError::Fields)?),
            _ => {}
        }
    }
    Ok(answer)
}

/// Cuts a worker's stream into answers. Holds no more than one frame and what came with it.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    bytes: Vec<u8>,
    read: usize,
    most: usize,
}

impl FrameDecoder {
    /// FrameDecoder of more than `most` bytes are refused as soon as their lengths are read.
    pub fn new(most: usize) -> Self {
        FrameDecoder {
            bytes: Vec::new(),
            read: 0,
            most,
        }
    }
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        if self.read > 0 {
            self.bytes.drain(..self.read);
            self.read = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }
    /// The next whole answer; `None` until more bytes have come.
    ///
    /// # Errors
    /// What comes is no frame of a worker's; nothing after it can be read.
    pub fn next_response(&mut self) -> Result<Option<Response>, FrameError> {
        let rest = &self.bytes[self.read..];
        match rest.first() {
            None => {
                // A burst's buffer is not kept for good.
                self.bytes = Vec::new();
                self.read = 0;
                return Ok(None);
            }
            Some(mark) if *mark != FROM_WORKER => return Err(FrameError::Mark(*mark)),
            Some(_) => {}
        }
        let Some((head, rest)) = rest.split_first_chunk::<HEAD>() else {
            return Ok(None);
        };
        let [_, code, f1, f0, b3, b2, b1, b0, id @ ..] = *head;
        ended(code)?;
        let fields = usize::from(u16::from_be_bytes([f1, f0]));
        let body = u32::from_be_bytes([b3, b2, b1, b0]) as usize;
        let length = fields.saturating_add(body);
        if length > self.most {
            return Err(FrameError::TooLong(length));
        }
        let Some((content, rest)) = rest.split_at_checked(length) else {
            return Ok(None);
        };
        let Some(check) = rest.first_chunk::<CHECK>() else {
            return Ok(None);
        };
        if crc32fast::hash(content) != u32::from_be_bytes(*check) {
            return Err(FrameError::Check);
        }
        let answer = read(
            code,
            u64::from_be_bytes(id),
            &content[..fields],
            &content[fields..],
        )?;
        self.read += HEAD + length + CHECK;
        Ok(Some(answer))
    }
}
