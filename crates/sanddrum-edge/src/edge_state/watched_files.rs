//! Watched files: the key set and the platform's startup configuration.

use super::EdgeState;
use sanddrum::Micros;
use sanddrum_net::{FileError, Io};
use sanddrum_platform::StartupConfig;

impl EdgeState {
    /// The key file has changed or can't be read.
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

    /// The startup configuration has changed or can't be read. The events that it states and that are not known yet apply,
    /// and the address of the control feed is followed; the rest holds from the next start on.
    pub(super) fn on_configuration_changed(
        &mut self,
        now: Micros,
        content: Result<&[u8], &FileError>,
        io: &mut dyn Io,
    ) {
        let why = match content.map(|bytes| StartupConfig::read(&String::from_utf8_lossy(bytes))) {
            Ok(Ok(configuration)) => {
                // They may be newer than the feed's last answer, and the feed may be out of reach at its new address.
                if let Ok(events) = configuration.feed_events() {
                    self.apply_feed_events(now, events, io);
                }
                if let Some(feed) = &mut self.control_feed {
                    feed.change_address(&mut self.context, now, &configuration.feed, io);
                }
                return;
            }
            Ok(Err(invalid)) => invalid.to_string(),
            Err(unreadable) => unreadable.to_string(),
        };
        tracing::error!(
            reason = "configuration",
            why,
            "configuration rejected; the previous one stays in force"
        );
    }
}
