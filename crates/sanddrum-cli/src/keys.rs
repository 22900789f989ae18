//! `sanddrum keys`, `sanddrum token` and `sanddrum rights`: manages signing keys, issues and inspects tokens, and
//! explains access rights.

use crate::{exit, fail};
use clap::{Args, Subcommand};
use ring::rand::{SecureRandom, SystemRandom};
use sanddrum_edge::access_rights;
use sanddrum_identity::token::{self, TokenRequirements};
use sanddrum_identity::{Claims, KeySet, KeyState, Seconds, SecretKey};
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Subcommand, Clone, Debug)]
pub enum Keys {
    /// Create a key: the first key of a set signs immediately, a further key waits as the coming key until rotate
    #[command(
        after_help = "Example:\n  sanddrum keys new keys.json --secrets secrets/ --name 2027-01"
    )]
    New {
        /// Key set file that the edges read
        file: PathBuf,
        /// Folder for the secret key
        #[arg(long, value_name = "FOLDER")]
        secrets: PathBuf,
        /// Key ID (kid)
        #[arg(long)]
        name: String,
    },
    /// Make the coming key the signing key, and retire the current signing key
    Rotate {
        /// Key set file
        file: PathBuf,
        /// Seconds for which tokens signed by the retiring key are still accepted
        #[arg(long, default_value_t = 3600, value_name = "SECONDS")]
        retire_after: Seconds,
    },
    /// Revoke a key permanently: tokens that it signed are no longer accepted
    Revoke {
        /// Key set file
        file: PathBuf,
        /// Key ID (kid)
        name: String,
    },
    /// List the keys and their states
    List {
        /// Key set file
        file: PathBuf,
    },
}

#[derive(Subcommand, Clone, Debug)]
pub enum Token {
    /// Issue a signed token
    #[command(
        after_help = "Example:\n  sanddrum token issue --secret secrets/2027-01.secret --customer obs-brest --audience armor"
    )]
    Issue(IssueArgs),
    /// Show the claims of a token read from standard input and, given a key set, whether an edge would accept it
    Inspect {
        /// Key set file to verify the token with
        #[arg(long)]
        keys: Option<PathBuf>,
        /// Audience that the token must be issued for
        #[arg(long, default_value = "sanddrum")]
        audience: String,
    },
}

#[derive(Args, Clone, Debug)]
pub struct IssueArgs {
    /// Secret key file to sign with
    #[arg(long, value_name = "FILE")]
    pub secret: PathBuf,
    /// Customer that the token is issued to
    #[arg(long)]
    pub customer: String,
    /// Audience of the token: the deployment that accepts it
    #[arg(long, default_value = "sanddrum")]
    pub audience: String,
    /// Lifetime of the token in seconds
    #[arg(long, default_value_t = 600, value_name = "SECONDS")]
    pub lasts: Seconds,
}

#[derive(Subcommand, Clone, Debug)]
pub enum RightsCommand {
    /// Show whether a customer may run a function, and which setting decides it
    #[command(
        after_help = "Example:\n  sanddrum rights explain --settings armor.sx lycees-reseau trace-pass/magnitude-3"
    )]
    Explain {
        /// Settings file of the deployment
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
        /// Name of the customer
        customer: String,
        /// Function as workload/function
        function: String,
    },
}

fn now() -> Seconds {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs() as Seconds
}

fn print_result(result: Result<String, String>) -> ExitCode {
    match result {
        Ok(text) => {
            println!("{text}");
            ExitCode::from(exit::SUCCESS)
        }
        Err(problem) => fail(exit::CHECK_FAILED, problem),
    }
}

pub fn keys(command: &Keys) -> ExitCode {
    print_result(match command {
        Keys::New {
            file,
            secrets,
            name,
        } => new_key(file, secrets, name),
        Keys::Rotate { file, retire_after } => update_set(file, |set| {
            let kid = set
                .rotate(now() + retire_after)
                .map_err(|e| e.to_string())?;
            Ok(format!("{kid} signs; version {}", set.version))
        }),
        Keys::Revoke { file, name } => update_set(file, |set| {
            set.revoke(name).map_err(|e| e.to_string())?;
            Ok(format!("{name} is revoked; version {}", set.version))
        }),
        Keys::List { file } => read_set(file).map(|set| {
            let line = |(kid, key): (&String, &sanddrum_identity::keys::PublicKey)| match key.state
            {
                KeyState::Coming => format!("{kid}: coming"),
                KeyState::Signing => format!("{kid}: signing"),
                KeyState::Retiring(until) => {
                    format!("{kid}: retiring, {} s left", (until - now()).max(0))
                }
                KeyState::Revoked => format!("{kid}: revoked"),
            };
            let lines: Vec<String> = set.keys.iter().map(line).collect();
            format!("version {}\n{}", set.version, lines.join("\n"))
        }),
    })
}

fn read_set(file: &Path) -> Result<KeySet, String> {
    let bytes = fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
    KeySet::read(&bytes).map_err(|e| format!("{}: {e}", file.display()))
}

/// Replaces a key set file atomically, so that an edge reads either the old set or the new one.
fn write_set(file: &Path, set: &KeySet) -> Result<(), String> {
    let temporary = file.with_extension("new");
    let written = fs::write(&temporary, set.write()).and_then(|()| fs::rename(&temporary, file));
    written.map_err(|e| format!("{}: {e}", file.display()))
}

fn update_set(
    file: &Path,
    update: impl FnOnce(&mut KeySet) -> Result<String, String>,
) -> Result<String, String> {
    let mut set = read_set(file)?;
    let message = update(&mut set)?;
    write_set(file, &set)?;
    Ok(message)
}

fn new_key(file: &Path, secrets: &Path, name: &str) -> Result<String, String> {
    if name.contains('/') || name.starts_with('.') {
        return Err(format!("{name:?} is not allowed as a file name"));
    }
    let mut set = if file.exists() {
        read_set(file)?
    } else {
        KeySet::default()
    };
    let mut seed = [0; 32];
    SystemRandom::new()
        .fill(&mut seed)
        .map_err(|_| "the system provides no random bytes".to_string())?;
    let secret = SecretKey::from_seed(name, seed);
    let public_key = secret.public_key().map_err(|e| e.to_string())?;
    set.add(name, public_key).map_err(|e| e.to_string())?;
    fs::create_dir_all(secrets).map_err(|e| format!("{}: {e}", secrets.display()))?;
    let path = secrets.join(format!("{name}.secret"));
    let opened = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(&path);
    let written = opened.and_then(|mut file| file.write_all(&secret.write()));
    written.map_err(|e| format!("{}: {e}", path.display()))?;
    write_set(file, &set)?;
    let state = if set.signing_key() == Some(name) {
        "signs"
    } else {
        "is coming"
    };
    Ok(format!(
        "{name} {state}; version {}; the secret key is in {}",
        set.version,
        path.display()
    ))
}

/// Reads a secret key file. It is rejected if other users have access to it, as the key may be compromised.
fn read_secret(path: &Path) -> Result<SecretKey, String> {
    let error_text = |e: std::io::Error| format!("{}: {e}", path.display());
    let mode = fs::metadata(path).map_err(error_text)?.permissions().mode();
    if mode & 0o077 != 0 {
        return Err(format!(
            "{}: accessible to other users (mode {:o}); chmod 600 it and consider replacing the key",
            path.display(),
            mode & 0o777
        ));
    }
    SecretKey::read(&fs::read(path).map_err(error_text)?)
        .map_err(|e| format!("{}: {e}", path.display()))
}

pub fn token(command: &Token) -> ExitCode {
    print_result(match command {
        Token::Issue(args) => issue(args),
        Token::Inspect { keys, audience } => inspect(keys.as_deref(), audience),
    })
}

fn issue(args: &IssueArgs) -> Result<String, String> {
    let secret = read_secret(&args.secret)?;
    let mut id = [0; 16];
    SystemRandom::new()
        .fill(&mut id)
        .map_err(|_| "the system provides no random bytes".to_string())?;
    let jti = id.iter().map(|byte| format!("{byte:02x}")).collect();
    let (sub, aud, issued_at) = (args.customer.clone(), args.audience.clone(), now());
    token::issue(
        &Claims {
            sub,
            aud,
            exp: issued_at + args.lasts,
            nbf: Some(issued_at),
            iat: Some(issued_at),
            jti,
        },
        &secret,
    )
    .map_err(|e| e.to_string())
}

fn inspect(keys: Option<&Path>, audience: &str) -> Result<String, String> {
    let mut text = String::new();
    std::io::stdin()
        .read_line(&mut text)
        .map_err(|e| e.to_string())?;
    let text = text.trim();
    let customer = token::unverified_subject(text).unwrap_or_else(|| "nobody".into());
    let key = token::unverified_key_id(text).unwrap_or_else(|| "no key".into());
    let Some(file) = keys else {
        return Ok(format!(
            "claims customer {customer}, key {key}; not verified"
        ));
    };
    let set = read_set(file)?;
    let requirements = TokenRequirements {
        audience: audience.into(),
        leeway: 60,
        max_lifetime: Seconds::MAX / 4,
        max_bytes: 1 << 16,
    };
    let checked = token::precheck(text, &set, &requirements, now());
    let checked = checked.and_then(|kid| token::verify(text, &kid, &set, &requirements, now()));
    match checked {
        Ok(claims) => Ok(format!(
            "valid: {} for {}, id {}, {} s left",
            claims.sub,
            claims.aud,
            claims.jti,
            claims.exp - now()
        )),
        Err(why) => Err(format!(
            "claims customer {customer}, key {key}: {}: {}",
            why.reason(),
            why.detail()
        )),
    }
}

pub fn rights(command: &RightsCommand) -> ExitCode {
    let RightsCommand::Explain {
        settings,
        customer,
        function,
    } = command;
    let loaded = match sanddrum_settings::load(settings) {
        Ok(loaded) => loaded,
        Err(problem) => return fail(exit::USAGE, problem),
    };
    let Some((workload, function)) = function.split_once('/') else {
        return fail(
            exit::USAGE,
            format!("{function:?}: write workload/function"),
        );
    };
    let decision = access_rights(&loaded).decide(customer, workload, function);
    println!("{customer} running {workload}/{function}: {decision}");
    ExitCode::from(if decision.is_allowed {
        exit::SUCCESS
    } else {
        exit::CHECK_FAILED
    })
}
