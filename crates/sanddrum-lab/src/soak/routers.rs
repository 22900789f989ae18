//! The routers of a soak run: processes of the program, each with its configuration file, its control of injected faults and
//! its log, started, signalled and watched by their ids.

use super::ledger::{Ledger, Life, RouterId, Shared, Span};
use super::settings::{Fleet, Terms};
use crate::faults::{FaultControl, Word};
use rustix::process::{kill_process, Pid, Signal};
use sanddrum_net::Micros;
use serde_json::Value as Json;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A router's process and what belongs to it.
pub struct Router {
    pub id: RouterId,
    child: Option<Child>,
    configuration: PathBuf,
    log: PathBuf,
    pub faults: FaultControl,
    stopped_since: Option<Micros>,
}

impl Router {
    /// # Errors
    /// The files of this router can't be made.
    pub fn new(id: RouterId, folder: &Path) -> io::Result<Self> {
        let file = |kind: &str| folder.join(format!("router-{}.{kind}", id.0));
        let faults = FaultControl::create(&file("faults"))?;
        faults.set(Word::Seed, id.0 as u64 + 1)?;
        let (configuration, log) = (file("json"), file("log"));
        Ok(Router {
            id,
            child: None,
            configuration,
            log,
            faults,
            stopped_since: None,
        })
    }
    /// Replaces the start configuration whole.
    ///
    /// # Errors
    /// It can't be written.
    pub fn configure(&self, terms: &Terms, fleet: &Fleet, known: Json) -> io::Result<()> {
        let beside = self.configuration.with_extension("new");
        fs::write(
            &beside,
            terms.configuration(self.id, fleet, known).to_string(),
        )?;
        fs::rename(beside, &self.configuration)
    }
    /// # Errors
    /// The program can't be started.
    pub fn start(&mut self, now: Micros, program: &Path, ledger: &Shared) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(program);
        command
            .args(["--platform", "--log", "info"])
            .env("RELAY_CONFIG", &self.configuration);
        command.env_remove("RELAY_NAME").env_remove("RELAY_LISTEN");
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        self.faults.preload(&mut command)?;
        self.child = Some(command.spawn()?);
        let life = Life {
            started: now,
            ..Life::default()
        };
        ledger
            .borrow_mut()
            .lives
            .entry(self.id)
            .or_default()
            .push(life);
        Ok(())
    }
    /// Whether its process is stopped by the lab.
    pub fn is_stopped(&self) -> bool {
        self.stopped_since.is_some()
    }
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }
    fn pid(&self) -> Option<Pid> {
        Pid::from_raw(self.child.as_ref()?.id() as i32)
    }
    fn signal(&self, which: Signal) {
        if let Some(pid) = self.pid() {
            let _ = kill_process(pid, which);
        }
    }
    fn life<'a>(&self, ledger: &'a mut Ledger) -> Option<&'a mut Life> {
        ledger.lives.get_mut(&self.id)?.last_mut()
    }
    pub fn ask_to_end(&mut self, now: Micros, ledger: &Shared) {
        self.signal(Signal::TERM);
        if let Some(life) = self.life(&mut ledger.borrow_mut()) {
            life.asked_to_end = life.asked_to_end.or(Some(now));
        }
    }
    pub fn kill(&mut self, now: Micros, ledger: &Shared) {
        self.resume(now, ledger);
        if let Some(life) = self.life(&mut ledger.borrow_mut()) {
            life.killed = Some(now);
        }
        self.signal(Signal::KILL);
    }
    /// Kills one that has not ended by itself in the time that it has for that.
    pub fn kill_after_asked(&mut self, now: Micros, ledger: &Shared) {
        self.resume(now, ledger);
        if let Some(life) = self.life(&mut ledger.borrow_mut()) {
            life.killed_after_asked = life.killed_after_asked.or(Some(now));
        }
        self.signal(Signal::KILL);
    }
    /// Sends a signal that is no request to end.
    pub fn ask_for_status(&self) {
        self.signal(Signal::USR1);
    }
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }
    pub fn stop(&mut self, now: Micros) {
        if self.is_running() && self.stopped_since.is_none() {
            self.signal(Signal::STOP);
            self.stopped_since = Some(now);
        }
    }
    pub fn resume(&mut self, now: Micros, ledger: &Shared) {
        if let Some(from) = self.stopped_since.take() {
            self.signal(Signal::CONT);
            let span = Span { from, to: now };
            ledger
                .borrow_mut()
                .stops
                .entry(self.id)
                .or_default()
                .push(span);
        }
    }
    /// Looks whether the process has ended.
    pub fn look(&mut self, now: Micros, ledger: &Shared) {
        let Some(child) = &mut self.child else { return };
        if let Ok(Some(status)) = child.try_wait() {
            self.child = None;
            self.stopped_since = None;
            if let Some(life) = self.life(&mut ledger.borrow_mut()) {
                life.ended = Some((now, status.code()));
            }
        }
    }
    /// Takes down how many descriptors it has and how much memory.
    pub fn weigh(&self, ledger: &Shared) {
        let Some(child) = &self.child else { return };
        let folder = PathBuf::from(format!("/proc/{}", child.id()));
        let descriptors = fs::read_dir(folder.join("fd"))
            .map(Iterator::count)
            .unwrap_or(0);
        let status = fs::read_to_string(folder.join("status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = resident.and_then(|text| {
            text.trim()
                .trim_end_matches("kB")
                .trim()
                .parse::<u64>()
                .ok()
        });
        if let Some(life) = self.life(&mut ledger.borrow_mut()) {
            life.descriptors.push(descriptors);
            life.resident.push(kilobytes.unwrap_or(0) * 1024);
        }
    }
    /// What it logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
