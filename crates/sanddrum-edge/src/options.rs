//! What an edge starts with.

use sanddrum_platform::control_feed::FeedEvents;
use sanddrum_settings::LoadedSettings;

/// The name of the watched file that holds the key set.
pub const KEYS_FILE: &str = "keys";

/// The name of the watched file that holds the platform's startup configuration.
pub const CONFIGURATION_FILE: &str = "configuration";

/// What an edge on the platform starts with besides: it accepts FastCGI, speaks the platform's frames with workers and
/// follows the control feed.
pub struct Platform {
    /// The events that the startup configuration contains.
    pub initial_events: FeedEvents,
    /// Kinds of machine, in the settings' order.
    pub machine_kinds: Vec<String>,
}

/// What an edge starts with.
pub struct EdgeOptions {
    /// The settings.
    pub settings: LoadedSettings,
    /// The seed of all random draws.
    pub seed: u64,
    /// The state that it last saved, if any; see [`endpoint_cache`](crate::endpoint_cache).
    pub cached_state: Option<Vec<u8>>,
    /// Larger at each start.
    pub incarnation: u64,
    /// Renders the metrics page.
    pub metrics_page: Option<Box<dyn Fn() -> String>>,
    /// Set where the edge runs on the platform.
    pub platform: Option<Platform>,
}
