//! `sanddrum certs`: creates a certificate authority for tests and its leaf certificates, revokes and denies
//! certificates, and shows the contents of any certificate.

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
    /// Create a certificate for each name, signed by the folder's authority, which is created if there is none; for
    /// tests and trials, not for production
    #[command(
        after_help = "Example:\n  sanddrum certs make certs/ edge-0 worker-0 worker-1\n  sanddrum certs make \
                            certs/ worker-1          ; replaces the certificate of worker-1"
    )]
    Make {
        /// Folder of the authority and the certificates
        folder: PathBuf,
        /// Names to issue certificates for, as in the endpoint list
        #[arg(required = true)]
        names: Vec<String>,
        /// Last year in which the certificates are valid
        #[arg(long, default_value_t = 2036)]
        until: i32,
        /// Common name of a new authority
        #[arg(long, default_value = "sanddrum test authority")]
        authority: String,
        /// Limit a new authority to this name and the names below it, such as bat-a.example.org
        #[arg(long, value_name = "NAME")]
        limit_to: Option<String>,
    },
    /// Show the names, the issuer, the expiry and the key fingerprint of each certificate in a file
    Show {
        /// Certificates in PEM
        file: PathBuf,
    },
    /// Revoke a certificate of the folder's authority: adds it to the revocation list in revoked.pem
    Revoke {
        /// Folder of the authority and the certificates
        folder: PathBuf,
        /// Name of the certificate
        name: String,
    },
    /// Add the key of a certificate to a file of denied keys, whichever authority signed it
    Deny {
        /// File of denied keys, which is created if it does not exist
        file: PathBuf,
        /// PEM file, the key of whose first certificate is denied
        certificate: PathBuf,
        /// Reason, written after the key's fingerprint
        #[arg(long, default_value = "")]
        remark: String,
    },
}

pub fn run(command: &Certs) -> ExitCode {
    let result = match command {
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
    match result {
        Ok(text) => {
            print!("{text}");
            ExitCode::from(exit::SUCCESS)
        }
        Err(problem) => fail(exit::RUNTIME_ERROR, problem),
    }
}

fn error_text(e: impl std::fmt::Display) -> String {
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
    let mut params = CertificateParams::new(names).map_err(error_text)?;
    params.not_before = date_time_ymd(2020, 1, 1);
    params.not_after = date_time_ymd(until + 1, 1, 1);
    // Revocation lists identify certificates by serial number, so each one needs its own.
    params.serial_number = Some(SerialNumber::from(now()));
    Ok(params)
}

/// Loads the authority of a folder, or creates one if the folder has none.
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
                "{}: an authority already exists; --limit-to applies to a new one only",
                folder.display()
            ));
        }
        let key = KeyPair::from_pem(&read(&key_file)?)
            .map_err(|_| format!("{}: not a private key", key_file.display()))?;
        return Issuer::from_ca_cert_pem(&read(&roots)?, key)
            .map_err(|e| format!("{}: {e}", roots.display()));
    }
    if roots.exists() {
        return Err(format!(
            "{}: roots.pem exists without authority.key; choose another folder",
            roots.display()
        ));
    }
    let mut authority = params(vec![], until)?;
    authority.distinguished_name.push(DnType::CommonName, name);
    authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    authority.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    if let Some(limit) = limit {
        // A DNS name constraint permits the name itself and all names below it (RFC 5280, section 4.2.1.10).
        let permitted_subtrees = vec![GeneralSubtree::DnsName(limit.to_string())];
        authority.name_constraints = Some(NameConstraints {
            permitted_subtrees,
            excluded_subtrees: vec![],
        });
    }
    let key = KeyPair::generate().map_err(error_text)?;
    let certificate = authority.self_signed(&key).map_err(error_text)?;
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
        return Err(format!("{name:?} is not allowed as a file name"));
    }
    let issuer = authority(folder, until, name, limit)?;
    for name in names {
        let key = KeyPair::generate().map_err(error_text)?;
        let leaf = params(vec![name.clone()], until)?
            .signed_by(&key, &issuer)
            .map_err(error_text)?;
        replace(&folder.join(format!("{name}.pem")), &leaf.pem(), 0o644)?;
        replace(
            &folder.join(format!("{name}.key")),
            &key.serialize_pem(),
            0o600,
        )?;
    }
    Ok(format!(
        "{}: wrote roots.pem, and NAME.pem and NAME.key for {}\n",
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
        let kind = if is_ca { "authority" } else { "for" };
        text += &format!("{kind} {}\n  signed by {issuer}\n", names.join(", "));
        text += &match days < 0.0 {
            true => format!("  expired {:.1} days ago\n", -days),
            false => format!("  expires in {days:.1} days\n"),
        };
        text += &format!("  {key_fingerprint}\n");
    }
    Ok(text)
}

/// Revokes the certificate of a name. The serial numbers revoked so far are stored in `revoked.txt`, one a line, from
/// which the whole revocation list is written.
fn revoke(folder: &Path, name: &str) -> Result<String, String> {
    if !folder.join("authority.key").exists() {
        return Err(format!(
            "{}: authority.key is missing; revoke where the authority's key is stored",
            folder.display()
        ));
    }
    let issuer = authority(folder, 0, "", None)?;
    let pem = read(&folder.join(format!("{name}.pem")))?;
    let serial = sanddrum_tls::serial_number(pem.as_bytes()).map_err(error_text)?;
    let revoked_serials_file = folder.join("revoked.txt");
    let mut lines = read(&revoked_serials_file).unwrap_or_default();
    if !lines.lines().any(|line| line.starts_with(&serial)) {
        lines += &format!("{serial} {name}\n");
    }
    let revoked = lines.lines().filter_map(|line| line.split(' ').next()).map(
        |serial| -> Result<_, String> {
            let digits: Vec<u8> = (0..serial.len() / 2)
                .map(|n| {
                    u8::from_str_radix(&serial[2 * n..2 * n + 2], 16)
                        .map_err(|_| format!("{serial}: not a serial number"))
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
        .map_err(error_text)?;
    write(&revoked_serials_file, &lines, 0o644)?;
    replace(&folder.join("revoked.pem"), &list, 0o644)?;
    Ok(format!(
        "{}: {name} is revoked; set revoked-file to this file\n",
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
        return Err("the file contains no certificate".into());
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
    let opened = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(mode)
        .open(file);
    opened
        .and_then(|mut file| file.write_all(text.as_bytes()))
        .map_err(|e| format!("{}: {e}", file.display()))
}
/// Replaces a file atomically, because an edge may be watching it.
fn replace(file: &Path, text: &str, mode: u32) -> Result<(), String> {
    let temporary = file.with_extension("new");
    write(&temporary, text, mode)?;
    fs::rename(&temporary, file).map_err(|e| format!("{}: {e}", file.display()))
}
