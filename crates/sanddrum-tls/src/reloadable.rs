//! A configuration that follows its files: the last valid one stays in force until the files make up a new one.

use crate::certificates::{self, TlsConfigError, TlsMaterial};
use crate::config::{TlsConfig, TlsOptions};
use sanddrum_net::{FileError, Micros};

/// The names under which a driver reports the watched files of outbound connections: PEM texts with the trusted
/// authorities, the certificate chain to present, its key, and revocation lists; then the list of denied keys.
pub const OUTBOUND_FILES: [&str; 5] = [
    "tls-roots",
    "tls-certificate",
    "tls-key",
    "tls-revoked",
    "tls-denied",
];
/// The names of the files for inbound connections, in the order of [`OUTBOUND_FILES`].
pub const INBOUND_FILES: [&str; 5] = [
    "door-roots",
    "door-certificate",
    "door-key",
    "door-revoked",
    "door-denied",
];

/// The configuration of all outbound or all inbound connections, reloaded when its files change.
pub struct ReloadableConfig {
    current: TlsConfig,
    options: TlsOptions,
    /// What `current` was made from.
    in_force: TlsMaterial,
    /// The latest contents of the files. They are replaced one after the other, so they need not match each other yet.
    latest: TlsMaterial,
}

/// The effect of a changed file.
pub(crate) enum Reload {
    Unchanged,
    /// A new configuration is in force.
    Applied,
    /// Only one file of a certificate chain and its key was replaced, and it does not match the other one.
    AwaitingPair,
}

impl ReloadableConfig {
    /// Makes the first configuration from the contents of its files.
    ///
    /// # Errors
    /// As [`TlsConfig::new`].
    pub fn new(material: TlsMaterial, options: TlsOptions) -> Result<Self, TlsConfigError> {
        let current = TlsConfig::new(&material, &options)?;
        Ok(ReloadableConfig {
            current,
            options,
            in_force: material.clone(),
            latest: material,
        })
    }
    /// The configuration in force.
    pub fn current(&self) -> &TlsConfig {
        &self.current
    }
    /// Takes the content of a watched file, given by its index in [`OUTBOUND_FILES`].
    ///
    /// # Errors
    /// It is unreadable, truncated or outdated, or does not match the other files (yet). The last valid configuration
    /// stays in force.
    pub(crate) fn update_file(
        &mut self,
        now: Micros,
        file: usize,
        content: Result<&[u8], &FileError>,
    ) -> Result<Reload, TlsConfigError> {
        let content = content.map_err(certificates::config_error)?;
        let text = content.to_vec();
        let (chain, key) = self.latest.certified_key.clone().unwrap_or_default();
        match file {
            0 => {
                certificates::read_certificates(content, "roots")?;
                self.latest.roots = text;
            }
            1 => {
                certificates::read_certificates(content, "certificate")?;
                self.latest.certified_key = Some((text, key));
            }
            2 => {
                certificates::read_private_key(content)?;
                self.latest.certified_key = Some((chain, text));
            }
            3 => {
                certificates::read_revocation_lists(content)?;
                certificates::check_not_rolled_back(&self.in_force.revocation_lists, content)?;
                self.latest.revocation_lists = text;
            }
            _ => {
                certificates::parse_denied_keys(content)?;
                self.latest.denied_keys = text;
            }
        }
        if self.latest == self.in_force {
            return Ok(Reload::Unchanged);
        }
        let half_replaced = match (&self.latest.certified_key, &self.in_force.certified_key) {
            (Some((chain, key)), Some((old_chain, old_key))) => {
                (chain == old_chain) != (key == old_key)
            }
            _ => false,
        };
        let config = match TlsConfig::new(&self.latest, &self.options) {
            Err(_) if half_replaced => return Ok(Reload::AwaitingPair),
            result => result?,
        };
        config.check_validity(now)?;
        self.current = config;
        self.in_force = self.latest.clone();
        Ok(Reload::Applied)
    }
}
