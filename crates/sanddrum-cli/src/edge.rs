//! Running an edge on real sockets.

use crate::retry::until_it_works;
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
    /// The deployment's settings
    #[arg(long, value_name = "FILE", required_unless_present = "platform")]
    pub settings: Option<PathBuf>,
    /// One router on the users' platform, told all by RELAY_CONFIG, RELAY_LISTEN and RELAY_NAME
    #[arg(long, conflicts_with = "settings")]
    pub platform: bool,
    /// The settings file is a scenario, which holds a deployment among other things
    #[arg(long, hide = true)]
    pub scenario: bool,
    /// Where clients are listened for
    #[arg(long, value_name = "ADDRESS")]
    pub listen: Option<String>,
    /// The list service
    #[arg(long, value_name = "ADDRESS")]
    pub list: Option<String>,
    /// As workers and logs know this edge
    #[arg(long)]
    pub name: Option<String>,
    /// The zone that it is in
    #[arg(long)]
    pub zone: Option<String>,
    /// Its number among the edges, from 0 on
    #[arg(long)]
    pub number: Option<usize>,
    /// How many edges there are
    #[arg(long)]
    pub edges: Option<usize>,
    /// Where its last worker list is kept over a restart
    #[arg(long, value_name = "FILE")]
    pub state_file: Option<PathBuf>,
    /// Any other setting, as limits.max-open=500; may be given several times
    #[arg(long = "set", value_name = "NAME=VALUE")]
    pub set: Vec<String>,
    /// Where it listens is written here, once it does
    #[arg(long, value_name = "FILE")]
    pub address_file: Option<PathBuf>,
    /// It ends when its standard input does
    #[arg(long, hide = true)]
    pub with_parent: bool,
    /// For runs that are to be repeated
    #[arg(long)]
    pub seed: Option<u64>,
}

/// Settings from the file and the command line, checked.
///
/// # Errors
/// What is wrong, and where.
pub fn settings(args: &EdgeArgs) -> Result<LoadedSettings, SettingsError> {
    let path = args.settings.clone().unwrap_or_default();
    let file = path.display().to_string();
    let text = std::fs::read_to_string(&path).map_err(|e| SettingsError::from_io(&file, &e))?;
    let more = if args.scenario {
        sanddrum_lab::SCENARIO
    } else {
        &[]
    };
    let mut loaded = sanddrum_settings::read_with(&file, &text, more)?;
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

/// What was kept, if it can be used; a torn or foreign file is set aside.
fn kept(file: &Path) -> Option<Vec<u8>> {
    let bytes = std::fs::read(file).ok()?;
    match endpoint_cache::read(&bytes) {
        Ok(_) => Some(bytes),
        Err(why) => {
            let aside = file.with_extension("set-aside");
            let moved = std::fs::rename(file, &aside).is_ok();
            tracing::warn!(file = %file.display(), aside = %aside.display(), moved, reason = "kept-list", %why, "the kept worker list is set aside; the edge starts without it");
            None
        }
    }
}

pub fn run(args: &EdgeArgs) -> ExitCode {
    // First of all: a signal that came before its handler stood would end the process, SIGHUP as well.
    let driver = until_it_works(|| {
        let mut driver = EventLoop::new(Box::new(NullObserver))?;
        driver.catch_signals()?;
        Ok(driver)
    });
    let driver = match driver {
        Ok(driver) => driver,
        Err(e) => return fail(exit::TROUBLE, e),
    };
    if args.platform {
        return crate::platform::run(driver);
    }
    let settings = match settings(args) {
        Ok(settings) => settings,
        Err(problem) => return fail(exit::USAGE, problem),
    };
    match serve(driver, args, settings) {
        Ok(Shutdown::Graceful) => ExitCode::from(exit::GOOD),
        Ok(Shutdown::Immediate) => fail(exit::TROUBLE, "ended at once, as a second signal came"),
        Err(e) => fail(exit::TROUBLE, e),
    }
}

/// The settings that name the watched files of the TLS layer, in its order.
const CALL_KEYS: [&str; 5] = [
    "tls.roots-file",
    "tls.certificate-file",
    "tls.key-file",
    "tls.revoked-file",
    "tls.denied-file",
];
const DOOR_KEYS: [&str; 5] = [
    "door.roots-file",
    "door.certificate-file",
    "door.key-file",
    "door.revoked-file",
    "door.denied-file",
];

/// What an edge starts on; it does not start on papers that are not good.
fn side(
    l: &LoadedSettings,
    keys: [&str; 5],
    rules: TlsOptions,
) -> Result<ReloadableConfig, String> {
    let read = |key: &str| -> Result<Vec<u8>, String> {
        match l.contains(key) {
            true => std::fs::read(l.text(key)).map_err(|e| format!("{} ({key}): {e}", l.text(key))),
            false => Ok(Vec::new()),
        }
    };
    let own = match l.contains(keys[2]) {
        true => Some((read(keys[1])?, read(keys[2])?)),
        false => None,
    };
    let papers = TlsMaterial {
        roots: read(keys[0])?,
        certified_key: own,
        revocation_lists: read(keys[3])?,
        denied_keys: read(keys[4])?,
    };
    let side = ReloadableConfig::new(papers, rules).map_err(|e| e.to_string())?;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as i64;
    side.current()
        .check_validity(now)
        .map_err(|e| format!("{} ({}): {e}", l.text(keys[1]), keys[1]))?;
    Ok(side)
}
fn limited(l: &LoadedSettings) -> Vec<NameConstraint> {
    let authorities = l.names("authorities").into_iter().enumerate();
    authorities
        .map(|(n, authority)| NameConstraint {
            authority,
            names: l.names(&format!("authorities.{n}.names")),
        })
        .collect()
}

/// The edge within the TLS that it speaks to workers and clients, where it does.
fn within_tls(l: &LoadedSettings, edge: Edge<Router>) -> Result<Box<dyn Core>, String> {
    let (workers, clients) = (
        l.text("tls.workers") == "verified",
        l.text("door.speaks") == "tls",
    );
    if !workers {
        tracing::warn!(
            reason = "plain-text",
            "workers are spoken to in plain text, as tls workers is set"
        );
    }
    if !clients {
        tracing::warn!(
            reason = "plain-text",
            "clients are spoken to in plain text, as door speaks is set"
        );
    }
    if !workers && !clients {
        return Ok(Box::new(edge));
    }
    let mut layer = TlsLayer::new(edge, sanddrum_lab::tls_limits(l));
    let sessions = l.integer("tls.sessions");
    if workers {
        let rules = TlsOptions {
            session_cache_size: sessions,
            name_constraints: limited(l),
            ..TlsOptions::default()
        };
        layer = layer.with_outbound(side(l, CALL_KEYS, rules)?);
    }
    if clients {
        let callers = match l.text("door.certificates") {
            "required" => ClientAuth::Required,
            "optional" => ClientAuth::Optional,
            _ => ClientAuth::Disabled,
        };
        layer = layer.with_inbound(side(
            l,
            DOOR_KEYS,
            TlsOptions {
                client_auth: callers,
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
    let door = until_it_works(|| EventLoop::bind(&listen));
    let (door, at) = door.map_err(|e| format!("{listen}: {e}; give another --listen"))?;
    if args.with_parent {
        crate::fleet::end_with_parent();
    }
    let recorder = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|e| e.to_string())?;
    let state_file = settings
        .contains("edge.state-file")
        .then(|| PathBuf::from(settings.text("edge.state-file")));
    let begun = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64;
    let seed = args.seed.unwrap_or(begun ^ u64::from(std::process::id()));
    tracing::info!(
        listen = at,
        list = settings.text("edge.list"),
        seed,
        "an edge begins"
    );
    let start = EdgeOptions {
        cached_state: state_file.as_deref().and_then(kept),
        seed,
        incarnation: begun,
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
            "without --state-file a restart does not know which keys were revoked"
        );
    }
    // A fleet that has grown is told of later; an edge that would not start for it would be worse.
    if settings.number("me") >= settings.number("routers") {
        tracing::warn!(
            reason = "edges",
            "this edge's number is not below the number of edges it is told of"
        );
    }
    let core = within_tls(&settings, Edge::new(start))?;
    let host = driver
        .add(core, vec![door], state_file)
        .map_err(|e| e.to_string())?;
    let files = OUTBOUND_FILES
        .into_iter()
        .zip(CALL_KEYS)
        .chain(INBOUND_FILES.into_iter().zip(DOOR_KEYS));
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
        crate::fleet::tell_address(file, &at).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    driver.run().map_err(|e| e.to_string())
}
