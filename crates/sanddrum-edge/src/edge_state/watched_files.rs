//! Changes of the watched files: the key set and the platform's startup configuration.

use super::EdgeState;
use crate::control_feed::ControlFeed;
use sanddrum::Micros;
use sanddrum_net::{FileError, FilePart, Io};
use sanddrum_platform::{StartupConfig, StartupConfigReader};
use std::error::Error;

impl EdgeState {
    /// Handles a change of the key file, or a failure to read it.
    pub(super) fn on_keys_changed(
        &mut self,
        now: Micros,
        content: Result<&[u8], &FileError>,
        io: &mut dyn Io,
    ) {
        if let Some(keys) = self.identity.read_keys(now, content, io) {
            self.identity.raise_floor(&keys);
            self.save_state(now, io);
            self.identity.install_keys(now, keys, io);
        }
    }

    /// Handles a change of the startup configuration that is delivered as a whole, or a failure to read it.
    pub(super) fn on_whole_configuration(
        &mut self,
        now: Micros,
        content: Result<&[u8], &FileError>,
        io: &mut dyn Io,
    ) {
        self.on_configuration_part(now, FilePart::Begin, io);
        match content {
            Ok(bytes) => {
                self.on_configuration_part(now, FilePart::Bytes(bytes), io);
                self.on_configuration_part(now, FilePart::End, io);
            }
            Err(error) => self.on_configuration_part(now, FilePart::Failed(error), io),
        }
    }

    /// Handles the next part of a startup configuration that has changed or that is read again on request. New events
    /// that it contains and a changed address of the control feed take effect once all of it has been read and checked;
    /// all other values take effect at the next start.
    pub(super) fn on_configuration_part(
        &mut self,
        now: Micros,
        part: FilePart<'_>,
        io: &mut dyn Io,
    ) {
        match part {
            FilePart::Begin => self.begin_configuration(now),
            FilePart::Bytes(bytes) => {
                if let Some(Ok(reader)) = &mut self.configuration_reader {
                    if let Err(error) = reader.push(bytes) {
                        self.configuration_reader = Some(Err(error));
                    }
                }
            }
            FilePart::End => self.end_configuration(now, io),
            FilePart::Failed(error) => {
                let bytes = self.received_configuration_bytes();
                self.configuration_reader = None;
                self.report_rejected_configuration(error, bytes);
            }
        }
    }

    fn begin_configuration(&mut self, now: Micros) {
        let Some(feed) = &mut self.control_feed else {
            return;
        };
        feed.reload_requested(now);
        self.batch.endpoint_confirmation = Some(feed.confirmation());
        let reader = StartupConfigReader::for_reload(feed.last_event());
        self.configuration_reader = Some(Ok(reader));
    }

    fn received_configuration_bytes(&self) -> Option<usize> {
        match &self.configuration_reader {
            Some(Ok(reader)) => Some(reader.received_bytes()),
            _ => None,
        }
    }

    fn end_configuration(&mut self, now: Micros, io: &mut dyn Io) {
        let bytes = self.received_configuration_bytes();
        let Some(reader) = self.configuration_reader.take() else {
            return;
        };
        let last_event = self
            .control_feed
            .as_ref()
            .map_or(0, ControlFeed::last_event);
        match reader.and_then(|reader| reader.finish(last_event)) {
            Ok(configuration) => self.apply_configuration(now, configuration, io),
            Err(error) => self.report_rejected_configuration(&error, bytes),
        }
    }

    fn apply_configuration(&mut self, now: Micros, configuration: StartupConfig, io: &mut dyn Io) {
        // These events may be newer than the feed's last answer, and the feed may be unreachable at its new address.
        self.apply_feed_events(now, configuration.known_events, io);
        if let Some(feed) = &mut self.control_feed {
            feed.change_address(&mut self.context, now, &configuration.feed, io);
            self.batch.endpoint_confirmation = Some(feed.confirmation());
        }
    }

    /// Logs that a configuration can't be used, and from where the endpoint list comes meanwhile.
    fn report_rejected_configuration(&self, why: &dyn Error, bytes: Option<usize>) {
        let feed = self.control_feed.as_ref();
        tracing::error!(
            reason = "configuration",
            why = %why,
            bytes,
            feed = feed.map(ControlFeed::address),
            last_event = feed.map(ControlFeed::last_event),
            "configuration rejected; the previous one stays in force"
        );
    }
}
