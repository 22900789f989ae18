//! `sanddrum certs make`: an authority for tests and first steps, and leaves for names.

use crate::{exit, fail};
use clap::Subcommand;
use rcgen::{date_time_ymd, BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Subcommand, Clone, Debug)]
pub enum Certs {
    /// Make an authority and a certificate for each name; for tests and first steps, not for service
    #[command(after_help = "Example:\n  sanddrum certs make certs/ edge-0 worker-0 worker-1")]
    Make {
        folder: PathBuf,
        /// The names, as the worker list has them
        #[arg(required = true)]
        names: Vec<String>,
        /// They hold until the end of this year
        #[arg(long, default_value_t = 2036)]
        until: i32,
    },
}

pub fn run(command: &Certs) -> ExitCode {
    let Certs::Make { folder, names, until } = command;
    match make(folder, names, *until) {
        Ok(()) => {
            println!("{}: roots.pem, and NAME.pem with NAME.key for {}", folder.display(), names.join(", "));
            ExitCode::from(exit::GOOD)
        }
        Err(problem) => fail(exit::TROUBLE, problem),
    }
}

fn make(folder: &Path, names: &[String], until: i32) -> Result<(), String> {
    let told = |e: &dyn std::fmt::Display| e.to_string();
    fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let params = |names: Vec<String>| -> Result<CertificateParams, String> {
        let mut params = CertificateParams::new(names).map_err(|e| told(&e))?;
        params.not_before = date_time_ymd(2020, 1, 1);
        params.not_after = date_time_ymd(until + 1, 1, 1);
        Ok(params)
    };
    let mut authority = params(vec![])?;
    authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().map_err(|e| told(&e))?;
    let issuer = CertifiedIssuer::self_signed(authority, key).map_err(|e| told(&e))?;
    write(&folder.join("roots.pem"), &issuer.pem(), 0o644)?;
    for name in names {
        if name.contains('/') || name.starts_with('.') {
            return Err(format!("{name:?} can't be a file's name"));
        }
        let key = KeyPair::generate().map_err(|e| told(&e))?;
        let leaf = params(vec![name.clone()])?.signed_by(&key, &issuer).map_err(|e| told(&e))?;
        write(&folder.join(format!("{name}.pem")), &leaf.pem(), 0o644)?;
        write(&folder.join(format!("{name}.key")), &key.serialize_pem(), 0o600)?;
    }
    Ok(())
}

fn write(file: &Path, text: &str, mode: u32) -> Result<(), String> {
    let made = OpenOptions::new().write(true).create(true).truncate(true).mode(mode).open(file);
    made.and_then(|mut file| file.write_all(text.as_bytes())).map_err(|e| format!("{}: {e}", file.display()))
}
