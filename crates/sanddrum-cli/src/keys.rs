//! `sanddrum keys`, `sanddrum token` and `sanddrum rights`: what operators do about who calls.

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
    /// Make a key: the first one of a set signs at once, a further one is coming
    #[command(
        after_help = "Example:\n  sanddrum keys new keys.json --secrets secrets/ --name 2027-01"
    )]
    New {
        /// The set, as edges read it
        file: PathBuf,
        /// Where the secret half goes
        #[arg(long, value_name = "FOLDER")]
        secrets: PathBuf,
        /// The key's name (kid)
        #[arg(long)]
        name: String,
    },
    /// The coming key signs from now on; the one that signed retires after a while
    Rotate {
        file: PathBuf,
        /// Tokens of the old key are taken for so many seconds more
        #[arg(long, default_value_t = 3600, value_name = "SECONDS")]
        retire_after: Seconds,
    },
    /// A key verifies nothing from now on, for good
    Revoke { file: PathBuf, name: String },
    /// The keys and their states
    List { file: PathBuf },
}

#[derive(Subcommand, Clone, Debug)]
pub enum Token {
    /// Sign a token
    #[command(
        after_help = "Example:\n  sanddrum token issue --secret secrets/2027-01.secret --customer obs-brest --audience armor"
    )]
    Issue(IssueArgs),
    /// Say what a token, read from standard input, claims, and what an edge with these keys would make of it
    Inspect {
        #[arg(long)]
        keys: Option<PathBuf>,
        #[arg(long, default_value = "sanddrum")]
        audience: String,
    },
}

#[derive(Args, Clone, Debug)]
pub struct IssueArgs {
    #[arg(long, value_name = "FILE")]
    pub secret: PathBuf,
    #[arg(long)]
    pub customer: String,
    #[arg(long, default_value = "sanddrum")]
    pub audience: String,
    /// How long it lasts
    #[arg(long, default_value_t = 600, value_name = "SECONDS")]
    pub lasts: Seconds,
}

#[derive(Subcommand, Clone, Debug)]
pub enum RightsCommand {
    /// Say whether a customer may run a function, and which line decides
    #[command(
        after_help = "Example:\n  sanddrum rights explain --settings armor.sx lycees-reseau trace-pass/magnitude-3"
    )]
    Explain {
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
        customer: String,
        /// workload/function
        function: String,
    },
}

fn now() -> Seconds {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs() as Seconds
}

fn said(result: Result<String, String>) -> ExitCode {
    match result {
        Ok(text) => {
            println!("{text}");
            ExitCode::from(exit::GOOD)
        }
        Err(problem) => fail(exit::BAD, problem),
    }
}

pub fn keys(command: &Keys) -> ExitCode {
    said(match command {
        Keys::New {
            file,
            secrets,
            name,
        } => new_key(file, secrets, name),
        Keys::Rotate { file, retire_after } => change(file, |set| {
            let kid = set
                .rotate(now() + retire_after)
                .map_err(|e| e.to_string())?;
            Ok(format!("{kid} signs; version {}", set.version))
        }),
        Keys::Revoke { file, name } => change(file, |set| {
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

/// A set is replaced whole, so that an edge that looks meanwhile sees the old one or the new one.
fn write_set(file: &Path, set: &KeySet) -> Result<(), String> {
    let beside = file.with_extension("new");
    let written = fs::write(&beside, set.write()).and_then(|()| fs::rename(&beside, file));
    written.map_err(|e| format!("{}: {e}", file.display()))
}

fn change(
    file: &Path,
    how: impl FnOnce(&mut KeySet) -> Result<String, String>,
) -> Result<String, String> {
    let mut set = read_set(file)?;
    let said = how(&mut set)?;
    write_set(file, &set)?;
    Ok(said)
}

fn new_key(file: &Path, secrets: &Path, name: &str) -> Result<String, String> {
    if name.contains('/') || name.starts_with('.') {
        return Err(format!("{name:?} can't be a file's name"));
    }
    let mut set = if file.exists() {
        read_set(file)?
    } else {
        KeySet::default()
    };
    let mut seed = [0; 32];
    SystemRandom::new()
        .fill(&mut seed)
        .map_err(|_| "the system gives no random bytes".to_string())?;
    let secret = SecretKey::from_seed(name, seed);
    let public_key = secret.public_key().map_err(|e| e.to_string())?;
    set.add(name, public_key).map_err(|e| e.to_string())?;
    fs::create_dir_all(secrets).map_err(|e| format!("{}: {e}", secrets.display()))?;
    let path = secrets.join(format!("{name}.secret"));
    let made = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(&path);
    let written = made.and_then(|mut file| file.write_all(&secret.write()));
    written.map_err(|e| format!("{}: {e}", path.display()))?;
    write_set(file, &set)?;
    let state = if set.signing_key() == Some(name) {
        "signs"
    } else {
        "is coming"
    };
    Ok(format!(
        "{name} {state}; version {}; its secret half is in {}",
        set.version,
        path.display()
    ))
}

/// A secret that others can read is no secret.
fn read_secret(path: &Path) -> Result<SecretKey, String> {
    let told = |e: std::io::Error| format!("{}: {e}", path.display());
    let mode = fs::metadata(path).map_err(told)?.permissions().mode();
    if mode & 0o077 != 0 {
        return Err(format!(
            "{}: others may read it (mode {:o}); chmod 600 it, and think of a new key",
            path.display(),
            mode & 0o777
        ));
    }
    SecretKey::read(&fs::read(path).map_err(told)?).map_err(|e| format!("{}: {e}", path.display()))
}

pub fn token(command: &Token) -> ExitCode {
    said(match command {
        Token::Issue(args) => issue(args),
        Token::Inspect { keys, audience } => inspect(keys.as_deref(), audience),
    })
}

fn issue(args: &IssueArgs) -> Result<String, String> {
    let secret = read_secret(&args.secret)?;
    let mut id = [0; 16];
    SystemRandom::new()
        .fill(&mut id)
        .map_err(|_| "the system gives no random bytes".to_string())?;
    let jti = id.iter().map(|byte| format!("{byte:02x}")).collect();
    let (sub, aud, at) = (args.customer.clone(), args.audience.clone(), now());
    token::issue(
        &Claims {
            sub,
            aud,
            exp: at + args.lasts,
            nbf: Some(at),
            iat: Some(at),
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
            "claims to be of {customer}, signed with {key}; not checked"
        ));
    };
    let set = read_set(file)?;
    let terms = TokenRequirements {
        audience: audience.into(),
        leeway: 60,
        max_lifetime: Seconds::MAX / 4,
        max_bytes: 1 << 16,
    };
    let checked = token::precheck(text, &set, &terms, now());
    let checked = checked.and_then(|kid| token::verify(text, &kid, &set, &terms, now()));
    match checked {
        Ok(claims) => Ok(format!(
            "good: {} for {}, id {}, {} s left",
            claims.sub,
            claims.aud,
            claims.jti,
            claims.exp - now()
        )),
        Err(why) => Err(format!(
            "claims to be of {customer}, signed with {key}: {}: {}",
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
    let ruling = access_rights(&loaded).decide(customer, workload, function);
    println!("{customer} running {workload}/{function}: {ruling}");
    ExitCode::from(if ruling.is_allowed {
        exit::GOOD
    } else {
        exit::BAD
    })
}
