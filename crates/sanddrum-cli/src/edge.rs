//! Runs an edge on sockets: `sanddrum-edge` and `sanddrum edge`.

use crate::retry::retry_transient_errors;
use crate::{exit, fail};
use clap::Args;
use metrics_exporter_prometheus::PrometheusBuilder;
use sanddrum::Router;
use sanddrum_edge::{endpoint_cache, Edge, EdgeOptions, KEYS_FILE};
use sanddrum_net::{Core, EventLoop, NullObserver, Shutdown};
use sanddrum_settings::{LoadedSettings, SettingsError};
use sanddrum_tls::{
    ClientAuth, NameConstraint, ReloadableConfig, TlsLayer, TlsMaterial, TlsOptions, INBOUND_FILES,
    OUTBOUND_FILES,
};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Args, Clone, Debug)]
pub struct EdgeArgs {
    /// Settings file of the deployment
    #[arg(long, value_name = "FILE", required_unless_present = "platform")]
    pub settings: Option<PathBuf>,
    /// Run as a router on the platform, configured by RELAY_CONFIG, RELAY_LISTEN and RELAY_NAME
    #[arg(long, conflicts_with = "settings")]
    pub platform: bool,
    /// Treat the settings file as a scenario, whose deployment settings are used
    #[arg(long, hide = true)]
    pub scenario: bool,
    /// Address to listen on for clients
    #[arg(long, value_name = "ADDRESS")]
    pub listen: Option<String>,
    /// Address of the discovery service
    #[arg(long, value_name = "ADDRESS")]
    pub list: Option<String>,
    /// Name of this edge, as sent to workers and logged
    #[arg(long)]
    pub name: Option<String>,
    /// Zone of this edge
    #[arg(long)]
    pub zone: Option<String>,
    /// Number of this edge among all edges, from 0
    #[arg(long)]
    pub number: Option<usize>,
    /// Number of edges in the deployment
    #[arg(long)]
    pub edges: Option<usize>,
    /// File in which the edge caches the last endpoint list, for use after a restart
    #[arg(long, value_name = "FILE")]
    pub state_file: Option<PathBuf>,
    /// Override any setting, such as limits.max-open=500; may be given several times
    #[arg(long = "set", value_name = "NAME=VALUE")]
    pub set: Vec<String>,
    /// Write the listening address to this file once the edge listens
    #[arg(long, value_name = "FILE")]
    pub address_file: Option<PathBuf>,
    /// Exit when standard input is closed
    #[arg(long, hide = true)]
    pub with_parent: bool,
    /// Seed of the random choices, for reproducible runs
    #[arg(long)]
    pub seed: Option<u64>,
}

/// Reads the settings file, applies the overrides of the command line and checks the result.
///
/// # Errors
/// A setting is invalid; the error says which and where.
pub fn load_settings(args: &EdgeArgs) -> Result<LoadedSettings, SettingsError> {
    let path = args.settings.clone().unwrap_or_default();
    let file = path.display().to_string();
    let text = std::fs::read_to_string(&path).map_err(|e| SettingsError::from_io(&file, &e))?;
    let scenario_schema = if args.scenario {
        sanddrum_lab::SCENARIO
    } else {
        &[]
    };
    let mut loaded = sanddrum_settings::read_with(&file, &text, scenario_schema)?;
    let given = [
        ("edge.listen", args.listen.clone(), "--listen"),
        ("edge.list", args.list.clone(), "--list"),
        ("edge.name", args.name.clone(), "--name"),
        ("edge.zone", args.zone.clone(), "--zone"),
        ("edge.edges", args.edges.map(|n| n.to_string()), "--edges"),
        (
            "edge.number",
            args.number.map(|n| n.to_string()),
            "--number",
        ),
        (
            "edge.state-file",
            args.state_file.as_ref().map(|f| f.display().to_string()),
            "--state-file",
        ),
    ];
    for (name, value, by) in given {
        if let Some(value) = value {
            loaded.override_value(name, &value, by)?;
        }
    }
    for set in &args.set {
        let Some((name, value)) = set.split_once('=') else {
            let message = format!("{set:?} has no =");
            return Err(SettingsError::new(
                "--set",
                message,
                "as --set limits.max-open=500",
            ));
        };
        loaded.override_value(name, value, "--set")?;
    }
    sanddrum_settings::check(&loaded)?;
    Ok(loaded)
}

/// Reads the cached endpoint list of the state file. An invalid file is renamed and ignored.
fn read_cached_state(file: &Path) -> Option<Vec<u8>> {
    let bytes = std::fs::read(file).ok()?;
    match endpoint_cache::read(&bytes) {
        Ok(_) => Some(bytes),
        Err(why) => {
            let aside = file.with_extension("set-aside");
            let moved = std::fs::rename(file, &aside).is_ok();
            tracing::warn!(file = %file.display(), aside = %aside.display(), moved, reason = "kept-list", %why, "the state file is invalid and was set aside; the edge starts without a cached worker list");
            None
        }
    }
}

pub fn run(args: &EdgeArgs) -> ExitCode {
    // The signal handlers are installed first: until then, any signal, even SIGHUP, would terminate the process.
    let driver = retry_transient_errors(|| {
        let mut driver = EventLoop::new(Box::new(NullObserver))?;
        driver.catch_signals()?;
        driver.set_debug_log(&crate::logs::DEBUG_LOG);
        Ok(driver)
    });
    let driver = match driver {
        Ok(driver) => driver,
        Err(e) => return fail(exit::RUNTIME_ERROR, e),
    };
    if args.platform {
        return crate::platform::run(driver);
    }
    let settings = match load_settings(args) {
        Ok(settings) => settings,
        Err(problem) => return fail(exit::USAGE, problem),
    };
    match serve(driver, args, settings) {
        Ok(Shutdown::Graceful) => ExitCode::from(exit::SUCCESS),
        Ok(Shutdown::Immediate) => fail(
            exit::RUNTIME_ERROR,
            "stopped immediately by a second signal",
        ),
        Err(e) => fail(exit::RUNTIME_ERROR, e),
    }
}

/// Settings that name the files of the TLS layer for connections to workers, in the order of [`OUTBOUND_FILES`].
const WORKER_TLS_SETTINGS: [&str; 5] = [
    "tls.roots-file",
    "tls.certificate-file",
    "tls.key-file",
    "tls.revoked-file",
    "tls.denied-file",
];
/// Settings that name the files of the TLS layer for the client listener, in the order of [`INBOUND_FILES`].
const CLIENT_TLS_SETTINGS: [&str; 5] = [
    "door.roots-file",
    "door.certificate-file",
    "door.key-file",
    "door.revoked-file",
    "door.denied-file",
];

/// Loads the certificates and trust settings of one side of the TLS layer. An edge does not start with certificates
/// that are invalid, expired or not yet valid.
fn load_tls_side(
    settings: &LoadedSettings,
    keys: [&str; 5],
    options: TlsOptions,
) -> Result<ReloadableConfig, String> {
    let read = |key: &str| -> Result<Vec<u8>, String> {
        match settings.contains(key) {
            true => std::fs::read(settings.text(key))
                .map_err(|e| format!("{} ({key}): {e}", settings.text(key))),
            false => Ok(Vec::new()),
        }
    };
    let own = match settings.contains(keys[2]) {
        true => Some((read(keys[1])?, read(keys[2])?)),
        false => None,
    };
    let material = TlsMaterial {
        roots: read(keys[0])?,
        certified_key: own,
        revocation_lists: read(keys[3])?,
        denied_keys: read(keys[4])?,
    };
    let side = ReloadableConfig::new(material, options).map_err(|e| e.to_string())?;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as i64;
    side.current()
        .check_validity(now)
        .map_err(|e| format!("{} ({}): {e}", settings.text(keys[1]), keys[1]))?;
    Ok(side)
}
/// Authorities whose certificates are accepted only for certain names, with these names.
fn name_constraints(settings: &LoadedSettings) -> Vec<NameConstraint> {
    let authorities = settings.names("authorities").into_iter().enumerate();
    authorities
        .map(|(n, authority)| NameConstraint {
            authority,
            names: settings.names(&format!("authorities.{n}.names")),
        })
        .collect()
}

/// Wraps the edge in a TLS layer if the settings ask for TLS toward workers or clients.
fn wrap_in_tls(settings: &LoadedSettings, edge: Edge<Router>) -> Result<Box<dyn Core>, String> {
    let (workers, clients) = (
        settings.text("tls.workers") == "verified",
        settings.text("door.speaks") == "tls",
    );
    if !workers {
        tracing::warn!(
            reason = "plain-text",
            "connections to workers are in plain text, as set by tls.workers"
        );
    }
    if !clients {
        tracing::warn!(
            reason = "plain-text",
            "connections from clients are in plain text, as set by door.speaks"
        );
    }
    if !workers && !clients {
        return Ok(Box::new(edge));
    }
    let mut layer = TlsLayer::new(edge, sanddrum_lab::tls_limits(settings));
    let sessions = settings.integer("tls.sessions");
    if workers {
        let options = TlsOptions {
            session_cache_size: sessions,
            name_constraints: name_constraints(settings),
            ..TlsOptions::default()
        };
        layer = layer.with_outbound(load_tls_side(settings, WORKER_TLS_SETTINGS, options)?);
    }
    if clients {
        let client_auth = match settings.text("door.certificates") {
            "required" => ClientAuth::Required,
            "optional" => ClientAuth::Optional,
            _ => ClientAuth::Disabled,
        };
        layer = layer.with_inbound(load_tls_side(
            settings,
            CLIENT_TLS_SETTINGS,
            TlsOptions {
                client_auth,
                session_cache_size: sessions,
                ..TlsOptions::default()
            },
        )?);
    }
    Ok(Box::new(layer))
}

fn serve(
    mut driver: EventLoop,
    args: &EdgeArgs,
    settings: LoadedSettings,
) -> Result<Shutdown, String> {
    let listen = settings.text("edge.listen").to_string();
    let listener = retry_transient_errors(|| EventLoop::bind(&listen));
    let (listener, address) =
        listener.map_err(|e| format!("{listen}: {e}; choose another address with --listen"))?;
    if args.with_parent {
        crate::fleet::exit_with_parent();
    }
    let recorder = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|e| e.to_string())?;
    let state_file = settings
        .contains("edge.state-file")
        .then(|| PathBuf::from(settings.text("edge.state-file")));
    let started_at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64;
    let seed = args
        .seed
        .unwrap_or(started_at ^ u64::from(std::process::id()));
    tracing::info!(
        listen = address,
        list = settings.text("edge.list"),
        seed,
        "edge starting"
    );
    let start = EdgeOptions {
        cached_state: state_file.as_deref().and_then(read_cached_state),
        seed,
        incarnation: started_at,
        metrics_page: Some(Box::new(move || recorder.render())),
        settings: settings.clone(),
        platform: None,
    };
    let keys_file = settings
        .contains("identity.keys-file")
        .then(|| PathBuf::from(settings.text("identity.keys-file")));
    let audit_file = settings
        .contains("identity.audit-file")
        .then(|| PathBuf::from(settings.text("identity.audit-file")));
    if keys_file.is_some() && state_file.is_none() {
        tracing::warn!(
            reason = "no-state-file",
            "without --state-file, revoked keys are forgotten at a restart"
        );
    }
    // Only a warning: the number of edges may be outdated after the fleet has grown, and an edge that doesn't start
    // would do more harm.
    if settings.number("me") >= settings.number("routers") {
        tracing::warn!(
            reason = "edges",
            "the number of this edge is not below the configured number of edges"
        );
    }
    let core = wrap_in_tls(&settings, Edge::new(start))?;
    let host = driver
        .add(core, vec![listener], state_file)
        .map_err(|e| e.to_string())?;
    let files = OUTBOUND_FILES
        .into_iter()
        .zip(WORKER_TLS_SETTINGS)
        .chain(INBOUND_FILES.into_iter().zip(CLIENT_TLS_SETTINGS));
    for (name, key) in files.filter(|(_, key)| settings.contains(key)) {
        driver.watch_file(
            host,
            name,
            PathBuf::from(settings.text(key)),
            settings.duration_us("tls.watch-every-us"),
        );
    }
    if let Some(file) = audit_file {
        driver.set_audit_file(
            host,
            file,
            settings.integer("identity.audit-most-bytes") as u64,
        );
    }
    if let Some(file) = keys_file {
        driver.watch_file(
            host,
            KEYS_FILE,
            file,
            settings.duration_us("identity.watch-every-us"),
        );
    }
    if let Some(file) = &args.address_file {
        crate::fleet::write_address_file(file, &address)
            .map_err(|e| format!("{}: {e}", file.display()))?;
    }
    driver.run().map_err(|e| e.to_string())
}
