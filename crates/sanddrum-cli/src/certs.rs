//! `sanddrum certs`: an authority for tests and first steps with leaves for names, their revocation, and what any
//! certificate says of itself.

use crate::{exit, fail};
use clap::Subcommand;
use rcgen::{
    date_time_ymd, BasicConstraints, CertificateParams, CertificateRevocationListParams, DnType,
    GeneralSubtree, IsCa, Issuer, KeyIdMethod, KeyPair, KeyUsagePurpose, NameConstraints,
    RevokedCertParams, SerialNumber,
};
use sanddrum_tls::{describe_certificates, parse_denied_keys, CertificateInfo};
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

#[derive(Subcommand, Clone, Debug)]
pub enum Certs {
    /// Make an authority, or take up the one that is there, and a certificate for each name; for tests and first
    /// steps, not for service
    #[command(
        after_help = "Example:\n  sanddrum certs make certs/ edge-0 worker-0 worker-1\n  sanddrum certs make \
                            certs/ worker-1          ; a new one in the old one's place"
    )]
    Make {
        folder: PathBuf,
        /// The names, as the worker list has them
        #[arg(required = true)]
        names: Vec<String>,
        /// They hold until the end of this year
        #[arg(long, default_value_t = 2036)]
        until: i32,
        /// A new authority's common name
        #[arg(long, default_value = "sanddrum test authority")]
        authority: String,
        /// A new authority may sign for names below this one only, as bat-a.example.org
        #[arg(long, value_name = "NAME")]
        limit_to: Option<String>,
    },
    /// What certificates say of themselves: names, authority, when they end, and the print of their key
    Show { file: PathBuf },
    /// Revoke a certificate of such an authority: revoked.pem has it and all that it had before
    Revoke { folder: PathBuf, name: String },
    /// Add the key of a certificate to a file of denied keys, whoever signed for it
    Deny {
        file: PathBuf,
        certificate: PathBuf,
        /// Why, behind the print
        #[arg(long, default_value = "")]
        remark: String,
    },
}

pub fn run(command: &Certs) -> ExitCode {
    let done = match command {
        Certs::Make {
            folder,
            names,
            until,
            authority,
            limit_to,
        } => make(folder, names, *until, authority, limit_to.as_deref()),
        Certs::Show { file } => show(file),
        Certs::Revoke { folder, name } => revoke(folder, name),
        Certs::Deny {
            file,
            certificate,
            remark,
        } => deny(file, certificate, remark),
    };
    match done {
        Ok(text) => {
            print!("{text}");
            ExitCode::from(exit::GOOD)
        }
        Err(problem) => fail(exit::TROUBLE, problem),
    }
}

fn told(e: impl std::fmt::Display) -> String {
    e.to_string()
}
fn read(file: &Path) -> Result<String, String> {
    fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))
}
fn now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}

fn params(names: Vec<String>, until: i32) -> Result<CertificateParams, String> {
    let mut params = CertificateParams::new(names).map_err(told)?;
    params.not_before = date_time_ymd(2020, 1, 1);
    params.not_after = date_time_ymd(until + 1, 1, 1);
    // A number of its own for each, by which it can be revoked.
    params.serial_number = Some(SerialNumber::from(now()));
    Ok(params)
}

/// The authority of a folder; a new one where there is none.
fn authority(
    folder: &Path,
    until: i32,
    name: &str,
    limit: Option<&str>,
) -> Result<Issuer<'static, KeyPair>, String> {
    let (roots, key_file) = (folder.join("roots.pem"), folder.join("authority.key"));
    if key_file.exists() {
        if limit.is_some() {
            return Err(format!(
                "{}: an authority is there already; --limit-to is for a new one",
                folder.display()
            ));
        }
        let key = KeyPair::from_pem(&read(&key_file)?)
            .map_err(|_| format!("{}: no key", key_file.display()))?;
        return Issuer::from_ca_cert_pem(&read(&roots)?, key)
            .map_err(|e| format!("{}: {e}", roots.display()));
    }
    if roots.exists() {
        return Err(format!(
            "{}: roots are there and their key is not; take another folder",
            roots.display()
        ));
    }
    let mut authority = params(vec![], until)?;
    authority.distinguished_name.push(DnType::CommonName, name);
    authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    authority.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    if let Some(limit) = limit {
        // RFC 5280, section 4.2.1.10: a name and all below it.
        let permitted_subtrees = vec![GeneralSubtree::DnsName(limit.to_string())];
        authority.name_constraints = Some(NameConstraints {
            permitted_subtrees,
            excluded_subtrees: vec![],
        });
    }
    let key = KeyPair::generate().map_err(told)?;
    let certificate = authority.self_signed(&key).map_err(told)?;
    write(&key_file, &key.serialize_pem(), 0o600)?;
    write(&roots, &certificate.pem(), 0o644)?;
    Ok(Issuer::new(authority, key))
}

fn make(
    folder: &Path,
    names: &[String],
    until: i32,
    name: &str,
    limit: Option<&str>,
) -> Result<String, String> {
    fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    if let Some(name) = names
        .iter()
        .find(|name| name.contains('/') || name.starts_with('.'))
    {
        return Err(format!("{name:?} can't be a file's name"));
    }
    let issuer = authority(folder, until, name, limit)?;
    for name in names {
        let key = KeyPair::generate().map_err(told)?;
        let leaf = params(vec![name.clone()], until)?
            .signed_by(&key, &issuer)
            .map_err(told)?;
        replace(&folder.join(format!("{name}.pem")), &leaf.pem(), 0o644)?;
        replace(
            &folder.join(format!("{name}.key")),
            &key.serialize_pem(),
            0o600,
        )?;
    }
    Ok(format!(
        "{}: roots.pem, and NAME.pem with NAME.key for {}\n",
        folder.display(),
        names.join(", ")
    ))
}

fn show(file: &Path) -> Result<String, String> {
    let mut text = String::new();
    for described in describe_certificates(read(file)?.as_bytes())
        .map_err(|e| format!("{}: {e}", file.display()))?
    {
        let CertificateInfo {
            names,
            issuer,
            is_ca,
            not_after,
            key_fingerprint,
            ..
        } = described;
        let days = (not_after - now() as i64) as f64 / 86_400e6;
        let what = if is_ca { "authority" } else { "for" };
        text += &format!("{what} {}\n  signed by {issuer}\n", names.join(", "));
        text += &match days < 0.0 {
            true => format!("  ended {:.1} days ago\n", -days),
            false => format!("  ends in {days:.1} days\n"),
        };
        text += &format!("  {key_fingerprint}\n");
    }
    Ok(text)
}

/// The serials that a folder's authority has revoked are kept beside its list, a line each.
fn revoke(folder: &Path, name: &str) -> Result<String, String> {
    if !folder.join("authority.key").exists() {
        return Err(format!(
            "{}: no authority's key is here; its keeper can revoke",
            folder.display()
        ));
    }
    let issuer = authority(folder, 0, "", None)?;
    let pem = read(&folder.join(format!("{name}.pem")))?;
    let serial = sanddrum_tls::serial_number(pem.as_bytes()).map_err(told)?;
    let record = folder.join("revoked.txt");
    let mut lines = read(&record).unwrap_or_default();
    if !lines.lines().any(|line| line.starts_with(&serial)) {
        lines += &format!("{serial} {name}\n");
    }
    let revoked = lines.lines().filter_map(|line| line.split(' ').next()).map(
        |serial| -> Result<_, String> {
            let digits: Vec<u8> = (0..serial.len() / 2)
                .map(|n| {
                    u8::from_str_radix(&serial[2 * n..2 * n + 2], 16)
                        .map_err(|_| format!("{serial}: no serial"))
                })
                .collect::<Result<_, String>>()?;
            let (serial_number, revocation_time) =
                (SerialNumber::from(digits), date_time_ymd(2020, 1, 2));
            Ok(RevokedCertParams {
                serial_number,
                revocation_time,
                reason_code: None,
                invalidity_date: None,
            })
        },
    );
    let this_update = SystemTime::now().into();
    let list = CertificateRevocationListParams {
        this_update,
        next_update: date_time_ymd(2037, 1, 1),
        crl_number: SerialNumber::from(now()),
        issuing_distribution_point: None,
        revoked_certs: revoked.collect::<Result<_, String>>()?,
        key_identifier_method: KeyIdMethod::Sha256,
    };
    let list = list
        .signed_by(&issuer)
        .and_then(|list| list.pem())
        .map_err(told)?;
    write(&record, &lines, 0o644)?;
    replace(&folder.join("revoked.pem"), &list, 0o644)?;
    Ok(format!(
        "{}: {name} is revoked; name it as revoked-file\n",
        folder.join("revoked.pem").display()
    ))
}

fn deny(file: &Path, certificate: &Path, remark: &str) -> Result<String, String> {
    let described = describe_certificates(read(certificate)?.as_bytes())
        .map_err(|e| format!("{}: {e}", certificate.display()))?;
    let Some(CertificateInfo {
        key_fingerprint: key,
        names,
        ..
    }) = described.first()
    else {
        return Err("no certificate".into());
    };
    let mut text = if file.exists() {
        read(file)?
    } else {
        String::new()
    };
    let denied =
        parse_denied_keys(text.as_bytes()).map_err(|e| format!("{}: {e}", file.display()))?;
    if !denied.contains(key) {
        if !text.is_empty() && !text.ends_with('\n') {
            text.push('\n');
        }
        text += format!("{key} {} {remark}", names.join(",")).trim_end();
        text.push('\n');
        replace(file, &text, 0o644)?;
    }
    Ok(format!(
        "{}: the key of {} is denied\n",
        file.display(),
        names.join(", ")
    ))
}

fn write(file: &Path, text: &str, mode: u32) -> Result<(), String> {
    let made = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(mode)
        .open(file);
    made.and_then(|mut file| file.write_all(text.as_bytes()))
        .map_err(|e| format!("{}: {e}", file.display()))
}
/// Whole or not at all, as an edge may be watching it.
fn replace(file: &Path, text: &str, mode: u32) -> Result<(), String> {
    let beside = file.with_extension("new");
    write(&beside, text, mode)?;
    fs::rename(&beside, file).map_err(|e| format!("{}: {e}", file.display()))
}
