//! Records the plaintext of a core inside its TLS layer, because the driver's traffic observer sees only ciphertext.

use crate::recorder::Recording;
use rcgen::{date_time_ymd, BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use sanddrum_net::{
    ConnectionId, Core, Event, FileError, FilePart, HostId, Io, Micros, PeerIdentity, Side,
    TrafficObserver, UnreadInput,
};
use sanddrum_settings::LoadedSettings;
use sanddrum_tls::{ClientAuth, ReloadableConfig, TlsLimits, TlsMaterial, TlsOptions};

pub struct PlaintextCapture<C> {
    core: C,
    host: HostId,
    recording: Recording,
}

impl<C: Core> PlaintextCapture<C> {
    /// Records the traffic of this core under a host of its own, whose role the recorder must know.
    pub fn new(core: C, host: HostId, recording: Recording) -> Self {
        PlaintextCapture {
            core,
            host,
            recording,
        }
    }
}

/// Passes everything to the underlying `Io` and records what the core writes and closes.
struct RecordingIo<'a> {
    io: &'a mut dyn Io,
    host: HostId,
    recording: &'a mut Recording,
    now: Micros,
}

impl Io for RecordingIo<'_> {
    fn connect(&mut self, to: &str) -> ConnectionId {
        self.io.connect(to)
    }
    fn connect_named(&mut self, to: &str, name: &str) -> ConnectionId {
        self.io.connect_named(to, name)
    }
    fn peer(&self, conn: ConnectionId) -> Option<PeerIdentity> {
        self.io.peer(conn)
    }
    fn wall_clock(&self, now: Micros) -> Micros {
        self.io.wall_clock(now)
    }
    fn earliest_arrival(&self, now: Micros) -> Micros {
        self.io.earliest_arrival(now)
    }
    fn unread_input(&self, conn: ConnectionId) -> UnreadInput {
        self.io.unread_input(conn)
    }
    fn clock(&self, now: Micros) -> Micros {
        self.io.clock(now)
    }
    fn is_poll_overdue(&self) -> bool {
        self.io.is_poll_overdue()
    }
    fn write(&mut self, conn: ConnectionId, bytes: &[u8]) -> usize {
        let taken = self.io.write(conn, bytes);
        self.recording
            .sent(self.now, self.host, conn, &bytes[..taken]);
        taken
    }
    fn close(&mut self, conn: ConnectionId) {
        self.recording.closed(self.now, self.host, conn);
        self.io.close(conn);
    }
    fn finish_writing(&mut self, conn: ConnectionId) {
        self.io.finish_writing(conn);
    }
    fn reset(&mut self, conn: ConnectionId) {
        self.recording.closed(self.now, self.host, conn);
        self.io.reset(conn);
    }
    fn pause(&mut self, conn: ConnectionId, paused: bool) {
        self.io.pause(conn, paused);
    }
    fn save_state(&mut self, state: &[u8]) {
        self.io.save_state(state);
    }
    fn save_state_later(&mut self, state: &[u8]) {
        self.io.save_state_later(state);
    }
}

impl<C: Core> Core for PlaintextCapture<C> {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        let (host, recording) = (self.host, &mut self.recording);
        self.core.start(
            now,
            &mut RecordingIo {
                io,
                host,
                recording,
                now,
            },
        );
    }
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        let (host, recording) = (self.host, &mut self.recording);
        match &event {
            Event::Accepted { conn, .. } => recording.opened(now, host, *conn, Side::Accepted, ""),
            Event::Bytes { conn, bytes } => recording.received(now, host, *conn, bytes),
            Event::Closed { conn, .. } => recording.closed(now, host, *conn),
            Event::Connected { .. } | Event::Writable { .. } => {}
        }
        self.core.on_event(
            now,
            event,
            &mut RecordingIo {
                io,
                host,
                recording,
                now,
            },
        );
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        let (host, recording) = (self.host, &mut self.recording);
        self.core.process(
            now,
            &mut RecordingIo {
                io,
                host,
                recording,
                now,
            },
        );
    }
    fn on_file_part(&mut self, now: Micros, name: &str, part: FilePart<'_>, io: &mut dyn Io) {
        let (host, recording) = (self.host, &mut self.recording);
        self.core.on_file_part(
            now,
            name,
            part,
            &mut RecordingIo {
                io,
                host,
                recording,
                now,
            },
        );
    }
    fn next_wakeup(&self) -> Option<Micros> {
        self.core.next_wakeup()
    }
    fn on_credentials_changed(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        denied: bool,
        io: &mut dyn Io,
    ) {
        let (host, recording) = (self.host, &mut self.recording);
        self.core.on_credentials_changed(
            now,
            conn,
            denied,
            &mut RecordingIo {
                io,
                host,
                recording,
                now,
            },
        );
    }
    fn on_file(
        &mut self,
        now: Micros,
        name: &str,
        content: Result<&[u8], &FileError>,
        io: &mut dyn Io,
    ) {
        let (host, recording) = (self.host, &mut self.recording);
        self.core.on_file(
            now,
            name,
            content,
            &mut RecordingIo {
                io,
                host,
                recording,
                now,
            },
        );
    }
    fn ends_by(&self) -> Option<Micros> {
        self.core.ends_by()
    }
    fn is_done(&self) -> bool {
        self.core.is_done()
    }
}

/// The certificate authority of a scenario. Its keys are new each time, so the bytes of timelines under TLS differ
/// between runs.
pub struct Authority(CertifiedIssuer<'static, KeyPair>);

impl Authority {
    /// # Errors
    /// No key can be generated, for lack of randomness.
    pub fn new() -> Result<Self, rcgen::Error> {
        let mut params = Self::params(vec![])?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        Ok(Authority(CertifiedIssuer::self_signed(
            params,
            KeyPair::generate()?,
        )?))
    }
    /// Certificates are valid from 1970 on, because virtual time starts soon after that.
    fn params(names: Vec<String>) -> Result<CertificateParams, rcgen::Error> {
        let mut params = CertificateParams::new(names)?;
        (params.not_before, params.not_after) =
            (date_time_ymd(1970, 1, 1), date_time_ymd(2090, 1, 1));
        Ok(params)
    }
    pub fn roots_pem(&self) -> String {
        self.0.pem()
    }
    /// The configuration of an edge's connections to workers: it trusts the authority and presents no certificate.
    ///
    /// # Errors
    /// The authority's certificate can't be read back.
    pub fn outbound_config(&self, session_cache_size: usize) -> Result<ReloadableConfig, String> {
        let tls_material = TlsMaterial {
            roots: self.roots_pem().into_bytes(),
            ..TlsMaterial::default()
        };
        ReloadableConfig::new(
            tls_material,
            TlsOptions {
                session_cache_size,
                ..TlsOptions::default()
            },
        )
        .map_err(|e| e.to_string())
    }
    /// A certificate for this name, and its key.
    ///
    /// # Errors
    /// The name isn't valid in a certificate.
    pub fn issue_certificate(&self, name: &str) -> Result<(Vec<u8>, Vec<u8>), String> {
        let issue = || -> Result<(String, String), rcgen::Error> {
            let key = KeyPair::generate()?;
            Ok((
                Self::params(vec![name.to_string()])?
                    .signed_by(&key, &self.0)?
                    .pem(),
                key.serialize_pem(),
            ))
        };
        let (chain, key) = issue().map_err(|e| e.to_string())?;
        Ok((chain.into_bytes(), key.into_bytes()))
    }
    /// A certificate and key for this name, with the authority as its only root.
    ///
    /// # Errors
    /// The name isn't valid in a certificate.
    pub fn tls_material(&self, name: &str) -> Result<TlsMaterial, String> {
        Ok(TlsMaterial {
            roots: self.roots_pem().into_bytes(),
            certified_key: Some(self.issue_certificate(name)?),
            ..TlsMaterial::default()
        })
    }
    /// The configuration of a listener with this name.
    ///
    /// # Errors
    /// The name isn't valid in a certificate.
    pub fn inbound_config(
        &self,
        name: &str,
        client_auth: ClientAuth,
        session_cache_size: usize,
    ) -> Result<ReloadableConfig, String> {
        let options = TlsOptions {
            client_auth,
            session_cache_size,
            ..TlsOptions::default()
        };
        ReloadableConfig::new(self.tls_material(name)?, options).map_err(|e| e.to_string())
    }
}

pub fn tls_limits(settings: &LoadedSettings) -> TlsLimits {
    TlsLimits {
        handshake_timeout: settings.duration_us("tls.handshake-time-out-us"),
        max_handshakes: settings.integer("tls.handshakes"),
        max_buffered: settings.integer("tls.waiting-bytes"),
        expiry_warning: settings.duration_us("tls.warn-ahead-us"),
    }
}
