//! Hosts sanddrum routers on the simulator's wire: decodes each batch into rounds, one an instance, calls the
//! module and encodes what it decided. It knows the wire's words and nothing of policy.

#![allow(clippy::too_many_lines, clippy::wildcard_imports, missing_docs)] // unfinished: docs/ROADMAP.md

mod decode;
mod encode;

use encode::Encoder;
use sanddrum::{EventBatch, RequestId, Router};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;

/// One hosted router, with the texts behind its ids.
pub struct Instance {
    router: Router,
    round: EventBatch,
    fields: Vec<String>,
    tells_crowd: bool,
    names: Names,
}

/// The wire's texts of an instance and the ids that stand for them. Ids of workers and functions are the same
/// at every instance; job ids count up.
#[derive(Default)]
pub struct Names {
    jobs: HashMap<String, u64>,
    job_texts: HashMap<u64, JobName>,
    next_job: u64,
    workers: HashMap<u64, String>,
    functions: HashMap<u64, String>,
}

pub struct JobName {
    text: String,
    out: usize,
    ended: bool,
}

impl Names {
    fn take(&mut self, text: &str) -> RequestId {
        let id = self.next_job;
        self.next_job += 1;
        self.jobs.insert(text.to_string(), id);
        self.job_texts.insert(
            id,
            JobName {
                text: text.to_string(),
                out: 0,
                ended: false,
            },
        );
        RequestId(id)
    }
    fn forget_if_done(&mut self, job: u64) {
        if self
            .job_texts
            .get(&job)
            .is_some_and(|j| j.ended && j.out == 0)
        {
            if let Some(name) = self.job_texts.remove(&job) {
                self.jobs.remove(&name.text);
            }
        }
    }
}

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<String, Instance>,
    /// Instances with an event in this batch, in order of their first.
    called: Vec<String>,
    /// The numbered lists of workers, each row with its worker's text.
    lists: HashMap<u64, Vec<(sanddrum::Endpoint, String)>>,
    now: i64,
}

impl Host {
    fn answer(&mut self, out: &mut Vec<u8>) {
        for name in std::mem::take(&mut self.called) {
            let Some(instance) = self.instances.get_mut(&name) else {
                continue;
            };
            let round = std::mem::take(&mut instance.round);
            let mark = out.len();
            let mut writer = Encoder {
                out,
                instance: &name,
                names: &mut instance.names,
            };
            let router = &mut instance.router;
            let now = self.now;
            let run = catch_unwind(AssertUnwindSafe(|| router.handle(now, &round, &mut writer)));
            if run.is_err() {
                out.truncate(mark);
                encode::line(
                    out,
                    &[
                        "broken".into(),
                        name.into(),
                        "the decision module panicked".into(),
                    ],
                );
            }
        }
        out.extend_from_slice(b"[\"ack\"]\n");
    }
}

fn serve() -> Result<(), String> {
    let stdin = io::stdin();
    let mut stdout = io::stdout().lock();
    let mut host = Host::default();
    let mut out = Vec::new();
    for (number, text) in stdin.lock().lines().enumerate() {
        let text = text.map_err(|e| format!("line {}: {e}", number + 1))?;
        if text.trim().is_empty() {
            continue;
        }
        let ended =
            decode::line(&mut host, &text).map_err(|e| format!("line {}: {e}", number + 1))?;
        if ended {
            out.clear();
            host.answer(&mut out);
            let sent = stdout.write_all(&out).and_then(|()| stdout.flush());
            sent.map_err(|e| format!("reply after line {}: {e}", number + 1))?;
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("sanddrum-simulator-adapter: {problem}");
            ExitCode::FAILURE
        }
    }
}
