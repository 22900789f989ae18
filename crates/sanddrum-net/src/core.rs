//! The interface of a state machine without I/O.

use crate::{ConnectionId, Event, FileError, FilePart, Io, Micros};

/// A state machine without I/O that is run by a driver. `now` is an instant of the driver's clock.
pub trait Core {
    /// Called once, when the driver has added the core.
    fn start(&mut self, now: Micros, io: &mut dyn Io);
    /// Handles an event of a connection.
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io);
    /// Called after all available input has been delivered, and when the requested wake-up is due.
    fn process(&mut self, now: Micros, io: &mut dyn Io);
    /// The latest time at which `process` is to be called again, if any.
    fn next_wakeup(&self) -> Option<Micros>;
    /// Handles a watched file that was read for the first time, has changed, or cannot be read.
    fn on_file(
        &mut self,
        _now: Micros,
        _name: &str,
        _content: Result<&[u8], &FileError>,
        _io: &mut dyn Io,
    ) {
    }
    /// Handles the next part of a large watched file. A file that is read for the first time, has changed or is reloaded
    /// is delivered from its beginning, one part in each turn of the driver, so that other input is handled meanwhile.
    fn on_file_part(&mut self, _now: Micros, _name: &str, _part: FilePart<'_>, _io: &mut dyn Io) {}
    /// Called for an established connection whose credentials are outdated. The core replaces it once that is
    /// possible without loss, or immediately if the peer's credentials were `revoked`.
    fn on_credentials_changed(
        &mut self,
        _now: Micros,
        _conn: ConnectionId,
        _revoked: bool,
        _io: &mut dyn Io,
    ) {
    }
    /// Begins a graceful shutdown: the core accepts nothing new, and is done once nothing is in flight.
    fn shut_down(&mut self, _now: Micros, _io: &mut dyn Io) {}
    /// Logs the core's status. Called on SIGUSR1 and at the end of a graceful shutdown.
    fn log_status(&mut self, _now: Micros) {}
    /// Whether the listeners stay open during a graceful shutdown.
    fn accepts_while_draining(&self) -> bool {
        false
    }
    /// Whether a graceful shutdown is complete.
    fn is_done(&self) -> bool {
        false
    }
    /// The instant by which the process has to end even if peers go on sending, if there is one.
    fn ends_by(&self) -> Option<Micros> {
        None
    }
}

impl<C: Core + ?Sized> Core for Box<C> {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        (**self).start(now, io);
    }
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        (**self).on_event(now, event, io);
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        (**self).process(now, io);
    }
    fn next_wakeup(&self) -> Option<Micros> {
        (**self).next_wakeup()
    }
    fn on_file(
        &mut self,
        now: Micros,
        name: &str,
        content: Result<&[u8], &FileError>,
        io: &mut dyn Io,
    ) {
        (**self).on_file(now, name, content, io);
    }
    fn on_file_part(&mut self, now: Micros, name: &str, part: FilePart<'_>, io: &mut dyn Io) {
        (**self).on_file_part(now, name, part, io);
    }
    fn on_credentials_changed(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        revoked: bool,
        io: &mut dyn Io,
    ) {
        (**self).on_credentials_changed(now, conn, revoked, io);
    }
    fn shut_down(&mut self, now: Micros, io: &mut dyn Io) {
        (**self).shut_down(now, io);
    }
    fn log_status(&mut self, now: Micros) {
        (**self).log_status(now);
    }
    fn accepts_while_draining(&self) -> bool {
        (**self).accepts_while_draining()
    }
    fn is_done(&self) -> bool {
        (**self).is_done()
    }
    fn ends_by(&self) -> Option<Micros> {
        (**self).ends_by()
    }
}
