//! The router processes of a soak run, each with its configuration file, fault control block and log.

use super::observations::{Incarnation, Observations, RouterId, SharedObservations, Span};
use super::settings::{Fleet, SoakSettings};
use crate::faults::{FaultControl, Word};
use rustix::process::{kill_process, Pid, Signal};
use sanddrum_net::Micros;
use serde_json::Value as Json;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A router with its process, if one is running, and its files.
pub struct Router {
    pub id: RouterId,
    child: Option<Child>,
    configuration: PathBuf,
    log: PathBuf,
    pub fault_control: FaultControl,
    stopped_since: Option<Micros>,
}

impl Router {
    /// Creates a router whose process is not started yet.
    ///
    /// # Errors
    /// The files of this router can't be created.
    pub fn new(id: RouterId, folder: &Path) -> io::Result<Self> {
        let file = |extension: &str| folder.join(format!("router-{}.{extension}", id.0));
        let fault_control = FaultControl::create(&file("faults"))?;
        fault_control.set(Word::Seed, id.0 as u64 + 1)?;
        let (configuration, log) = (file("json"), file("log"));
        Ok(Router {
            id,
            child: None,
            configuration,
            log,
            fault_control,
            stopped_since: None,
        })
    }
    /// Replaces the start configuration atomically.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn configure(
        &self,
        settings: &SoakSettings,
        fleet: &Fleet,
        start_events: Json,
    ) -> io::Result<()> {
        let new_file = self.configuration.with_extension("new");
        fs::write(
            &new_file,
            settings
                .configuration(self.id, fleet, start_events)
                .to_string(),
        )?;
        fs::rename(new_file, &self.configuration)
    }
    /// Starts the process.
    ///
    /// # Errors
    /// The log can't be opened or the program can't be started.
    pub fn start(
        &mut self,
        now: Micros,
        program: &Path,
        observations: &SharedObservations,
    ) -> io::Result<()> {
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
        self.fault_control.preload(&mut command)?;
        self.child = Some(command.spawn()?);
        let incarnation = Incarnation {
            started: now,
            ..Incarnation::default()
        };
        observations
            .borrow_mut()
            .incarnations
            .entry(self.id)
            .or_default()
            .push(incarnation);
        Ok(())
    }
    /// Returns whether the lab has stopped its process (SIGSTOP).
    pub fn is_stopped(&self) -> bool {
        self.stopped_since.is_some()
    }
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }
    fn pid(&self) -> Option<Pid> {
        Pid::from_raw(self.child.as_ref()?.id() as i32)
    }
    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            let _ = kill_process(pid, signal);
        }
    }
    fn incarnation<'a>(&self, observations: &'a mut Observations) -> Option<&'a mut Incarnation> {
        observations.incarnations.get_mut(&self.id)?.last_mut()
    }
    /// Sends SIGTERM.
    pub fn terminate(&mut self, now: Micros, observations: &SharedObservations) {
        self.signal(Signal::TERM);
        if let Some(incarnation) = self.incarnation(&mut observations.borrow_mut()) {
            incarnation.sigterm_sent = incarnation.sigterm_sent.or(Some(now));
        }
    }
    /// Sends SIGKILL, as an injected fault.
    pub fn kill(&mut self, now: Micros, observations: &SharedObservations) {
        self.resume(now, observations);
        if let Some(incarnation) = self.incarnation(&mut observations.borrow_mut()) {
            incarnation.killed = Some(now);
        }
        self.signal(Signal::KILL);
    }
    /// Sends SIGKILL to a router that has not exited in time after SIGTERM.
    pub fn kill_after_sigterm(&mut self, now: Micros, observations: &SharedObservations) {
        self.resume(now, observations);
        if let Some(incarnation) = self.incarnation(&mut observations.borrow_mut()) {
            incarnation.killed_after_sigterm = incarnation.killed_after_sigterm.or(Some(now));
        }
        self.signal(Signal::KILL);
    }
    /// Sends SIGUSR1, which asks for a status report and must not end the process.
    pub fn request_status(&self) {
        self.signal(Signal::USR1);
    }
    /// Sends SIGHUP, which makes the router read its configuration again.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }
    pub fn stop(&mut self, now: Micros) {
        if self.is_running() && self.stopped_since.is_none() {
            self.signal(Signal::STOP);
            self.stopped_since = Some(now);
        }
    }
    pub fn resume(&mut self, now: Micros, observations: &SharedObservations) {
        if let Some(from) = self.stopped_since.take() {
            self.signal(Signal::CONT);
            let span = Span { from, to: now };
            observations
                .borrow_mut()
                .stops
                .entry(self.id)
                .or_default()
                .push(span);
        }
    }
    /// Checks whether the process has exited.
    pub fn poll_exit(&mut self, now: Micros, observations: &SharedObservations) {
        let Some(child) = &mut self.child else { return };
        if let Ok(Some(status)) = child.try_wait() {
            self.child = None;
            self.stopped_since = None;
            if let Some(incarnation) = self.incarnation(&mut observations.borrow_mut()) {
                incarnation.exited = Some((now, status.code()));
            }
        }
    }
    /// Records how many descriptors are open and how much memory is resident.
    pub fn record_resources(&self, observations: &SharedObservations) {
        let Some(child) = &self.child else { return };
        let proc_folder = PathBuf::from(format!("/proc/{}", child.id()));
        let descriptors = fs::read_dir(proc_folder.join("fd"))
            .map(Iterator::count)
            .unwrap_or(0);
        let status = fs::read_to_string(proc_folder.join("status")).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = resident.and_then(|text| {
            text.trim()
                .trim_end_matches("kB")
                .trim()
                .parse::<u64>()
                .ok()
        });
        if let Some(incarnation) = self.incarnation(&mut observations.borrow_mut()) {
            incarnation.descriptors.push(descriptors);
            incarnation
                .resident_bytes
                .push(kilobytes.unwrap_or(0) * 1024);
        }
    }
    /// Returns what it has logged.
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
