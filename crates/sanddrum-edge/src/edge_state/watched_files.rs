//! Changes of the watched files: the key set and the platform's startup configuration.

use super::EdgeState;
use sanddrum::Micros;
use sanddrum_net::{FileError, Io};
use sanddrum_platform::StartupConfig;

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

    /// Handles a change of the startup configuration, or a failure to read it. New events that it contains and a
    /// changed address of the control feed take effect immediately; all other values take effect at the next start.
    pub(super) fn on_configuration_changed(
        &mut self,
        now: Micros,
        content: Result<&[u8], &FileError>,
        io: &mut dyn Io,
    ) {
        let why = match content.map(|bytes| StartupConfig::read(&String::from_utf8_lossy(bytes))) {
            Ok(Ok(configuration)) => {
                // These events may be newer than the feed's last answer, and the feed may be unreachable at its new
                // address.
                if let Ok(events) = configuration.feed_events() {
                    self.apply_feed_events(now, events, io);
                }
                if let Some(feed) = &mut self.control_feed {
                    feed.change_address(&mut self.context, now, &configuration.feed, io);
                }
                return;
            }
            Ok(Err(error)) => error.to_string(),
            Err(error) => error.to_string(),
        };
        tracing::error!(
            reason = "configuration",
            why,
            "configuration rejected; the previous one stays in force"
        );
    }
}
