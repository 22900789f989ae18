//! Where and until when workers recognize the idempotency key of a request that may have run, by the settings. The edge
//! checks this before each write, regardless of what the decision module chose.

use crate::requests::PossibleRun;
use sanddrum::{CellId, Micros, ZoneId};
use sanddrum_settings::LoadedSettings;

/// The workers among which a key is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyScope {
    Fleet,
    Zone,
    Cell,
    NoWorker,
}

/// The location of a worker, as far as the recognition of keys depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WorkerLocation {
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
}

/// How the idempotency keys of a workload are recognized.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyPolicy {
    scope: KeyScope,
    /// For how long a key is recognized, in microseconds.
    window: Micros,
}

impl KeyPolicy {
    /// Reads the policy of a workload, by its index in the settings.
    pub fn from_settings(settings: &LoadedSettings, workload: usize) -> Self {
        let key = |name: &str| format!("workloads.{workload}.{name}");
        let scope = match settings.values.text(&key("group")) {
            Some("all") => KeyScope::Fleet,
            Some("zone") => KeyScope::Zone,
            Some("cell") => KeyScope::Cell,
            _ => KeyScope::NoWorker,
        };
        let window = settings.values.number(&key("repeat-window-us"));
        KeyPolicy {
            scope,
            window: window.map_or(0, |window| window as Micros),
        }
    }

    /// Whether a worker at this location recognizes the key of a request that may have run before.
    pub fn is_recognized(
        &self,
        now: Micros,
        first_run: &PossibleRun,
        location: Option<WorkerLocation>,
    ) -> bool {
        let locations = first_run.location.zip(location);
        let is_in_scope = match self.scope {
            KeyScope::Fleet => true,
            KeyScope::Zone => locations.is_some_and(|(first, this)| first.zone == this.zone),
            KeyScope::Cell => locations.is_some_and(|(first, this)| first.cell == this.cell),
            KeyScope::NoWorker => false,
        };
        is_in_scope && now < first_run.sent_at + self.window
    }
}
