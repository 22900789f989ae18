//! Options that an edge is started with.

use sanddrum_platform::control_feed::FeedEvents;
use sanddrum_settings::LoadedSettings;

/// The name of the watched file that holds the key set.
pub const KEYS_FILE: &str = "keys";

/// The name of the watched file that holds the platform's startup configuration.
pub const CONFIGURATION_FILE: &str = "configuration";

/// Additional options of an edge on the platform. Such an edge accepts FastCGI, uses the platform's frame protocol
/// with workers and follows the control feed.
pub struct Platform {
    /// The events that the startup configuration contains.
    pub initial_events: FeedEvents,
    /// Machine kinds, in the order of the settings.
    pub machine_kinds: Vec<String>,
}

/// Options of an [`Edge`](crate::Edge).
pub struct EdgeOptions {
    /// The settings.
    pub settings: LoadedSettings,
    /// The seed of all random number generators.
    pub seed: u64,
    /// The state that the previous process saved, if any; see [`endpoint_cache`](crate::endpoint_cache).
    pub cached_state: Option<Vec<u8>>,
    /// The incarnation of this process, higher at each start.
    pub incarnation: u64,
    /// Renders the metrics page; none if the edge does not serve one.
    pub metrics_page: Option<Box<dyn Fn() -> String>>,
    /// Set if the edge runs on the platform.
    pub platform: Option<Platform>,
}
