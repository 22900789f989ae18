//! TLS 1.3 (RFC 8446) as a layer between a core and its driver, on the event loop and on the virtual network alike.
//! The core sees plaintext, and connections as established once their handshake has completed; the driver sees
//! ciphertext.
//!
//! The contract of `Io::write` holds for the layer too: bytes that it takes from the core may reach the peer, bytes
//! not taken never do. A connection whose handshake fails was never established: its core gets `Refused`. If a
//! connection ends without a close_notify, its data may be truncated: its core gets `Reset`, even if the driver
//! reported an orderly close (RFC 8446, section 6.1).

mod certificates;
mod config;
mod connection;
mod reloadable;
mod verify;

pub use certificates::{
    describe_certificates, parse_denied_keys, serial_number, CertificateInfo, KeyFingerprint,
    TlsConfigError, TlsMaterial,
};
pub use config::{ClientAuth, Expiry, TlsConfig, TlsOptions};
use connection::{TlsConnection, TlsEvent};
use reloadable::Reload;
pub use reloadable::{ReloadableConfig, INBOUND_FILES, OUTBOUND_FILES};
pub use verify::NameConstraint;

use sanddrum_net::{
    ConnectionId, Core, Event, FileError, FilePart, Io, ListenerId, Micros, PeerIdentity,
    UnreadInput,
};
use std::collections::{BTreeMap, BTreeSet};

/// Limits of a [`TlsLayer`].
#[derive(Clone, Copy, Debug)]
pub struct TlsLimits {
    /// A handshake that takes longer fails.
    pub handshake_timeout: Micros,
    /// Maximum number of inbound handshakes in flight; further connections are reset at once.
    pub max_handshakes: usize,
    /// Writes of the core are short if more than about this many bytes of ciphertext would be buffered for one socket.
    pub max_buffered: usize,
    /// How long before an expiry warnings begin.
    pub expiry_warning: Micros,
}

/// A core with TLS on the connections that it accepts, on those that it opens by name, or on both.
pub struct TlsLayer<C> {
    core: C,
    state: LayerState,
}

struct LayerState {
    outbound: Option<ReloadableConfig>,
    inbound: Option<ReloadableConfig>,
    limits: TlsLimits,
    connections: BTreeMap<ConnectionId, TlsConnection>,
    /// Deadlines of handshakes. Each is retained until it has passed, even if its handshake has completed.
    handshake_deadlines: BTreeSet<(Micros, ConnectionId)>,
    /// Connections that may have events for the core, which are delivered after the current call of the core returns.
    pending: BTreeSet<ConnectionId>,
    /// Connections established under an earlier configuration, and not verified again by the one in force yet.
    outdated: BTreeSet<ConnectionId>,
    /// Inbound handshakes in flight.
    handshakes: usize,
    next_expiry_check: Micros,
}

/// The maximum number of connections that one call of `process` verifies again after a change of the configuration, so
/// that sockets are served in between.
const REVERIFY_BATCH: usize = 64;
/// How often expiries are checked.
const EXPIRY_CHECK_INTERVAL: Micros = 3_600_000_000;

impl<C: Core> TlsLayer<C> {
    /// A layer around a core, with TLS on none of its connections yet.
    pub fn new(core: C, limits: TlsLimits) -> Self {
        let (connections, handshake_deadlines, pending, outdated) = (
            BTreeMap::new(),
            BTreeSet::new(),
            BTreeSet::new(),
            BTreeSet::new(),
        );
        let (outbound, inbound) = (None, None);
        let state = LayerState {
            outbound,
            inbound,
            limits,
            connections,
            handshake_deadlines,
            pending,
            outdated,
            handshakes: 0,
            next_expiry_check: 0,
        };
        TlsLayer { core, state }
    }
    /// Uses TLS on the connections that the core opens by name.
    pub fn with_outbound(mut self, config: ReloadableConfig) -> Self {
        self.state.outbound = Some(config);
        self
    }
    /// Uses TLS on the connections that the core's listeners accept.
    pub fn with_inbound(mut self, config: ReloadableConfig) -> Self {
        self.state.inbound = Some(config);
        self
    }

    /// Reloads a watched file. While the files make up no valid configuration, the last valid one stays in force; the
    /// next file may complete a new one. Returns whether the file is one of the layer's.
    fn reload_file(&mut self, now: Micros, name: &str, content: Result<&[u8], &FileError>) -> bool {
        let state = &mut self.state;
        let index = |names: [&str; 5]| names.iter().position(|n| *n == name);
        let (config, file, is_inbound) = match (index(OUTBOUND_FILES), index(INBOUND_FILES)) {
            (Some(file), _) => (&mut state.outbound, file, false),
            (_, Some(file)) => (&mut state.inbound, file, true),
            _ => return false,
        };
        let Some(config) = config else { return true };
        match config.update_file(now, file, content) {
            Ok(Reload::Unchanged) => {}
            Ok(Reload::AwaitingPair) => {
                tracing::warn!(
                    reason = "tls-half",
                    name,
                    "certificate and key do not match until both files are replaced; \
                     the last valid TLS configuration stays in force"
                );
            }
            Ok(Reload::Applied) => {
                tracing::info!(
                    name,
                    "TLS configuration replaced; established connections are verified again"
                );
                let established = state.connections.iter().filter(|(_, connection)| {
                    connection.is_established() && connection.is_inbound() == is_inbound
                });
                state.outdated.extend(established.map(|(conn, _)| *conn));
                state.next_expiry_check = 0;
            }
            Err(e) => {
                metrics::counter!("sanddrum_tls_files_refused_total", "file" => name.to_string())
                    .increment(1);
                tracing::error!(
                    reason = "tls-terms",
                    error = %e,
                    name,
                    "TLS file rejected; the last valid configuration stays in force"
                );
            }
        }
        true
    }

    /// Notifies the core of connections established under an earlier configuration, and whether the one in force
    /// rejects their peer.
    fn reverify_outdated(&mut self, now: Micros, io: &mut dyn Io) {
        for _ in 0..REVERIFY_BATCH {
            let Some(conn) = self.state.outdated.pop_first() else {
                return;
            };
            let Some(connection) = self
                .state
                .connections
                .get(&conn)
                .filter(|connection| connection.is_established())
            else {
                continue;
            };
            let config = if connection.is_inbound() {
                &self.state.inbound
            } else {
                &self.state.outbound
            };
            let verified = config
                .as_ref()
                .map(|config| connection.verify_again(now, config.current()));
            let revoked = match verified {
                Some(Err(e)) => {
                    tracing::warn!(
                        reason = "tls-denied",
                        name = connection.peer_name(),
                        why = %e,
                        "the credentials of a connected peer are no longer accepted"
                    );
                    true
                }
                _ => false,
            };
            self.core.on_credentials_changed(
                now,
                conn,
                revoked,
                &mut LayerIo {
                    state: &mut self.state,
                    io,
                    now,
                },
            );
        }
    }

    /// Exports the time left until each expiry, and warns of those that are close.
    fn check_expiries(&mut self, now: Micros) {
        if now < self.state.next_expiry_check {
            return;
        }
        self.state.next_expiry_check = now + EXPIRY_CHECK_INTERVAL;
        for (config, side) in [
            (&self.state.outbound, "calls"),
            (&self.state.inbound, "door"),
        ] {
            let Some(config) = config else { continue };
            for Expiry { item, at } in config.current().expiries() {
                let seconds = (at - now) / 1_000_000;
                metrics::gauge!("sanddrum_tls_ends_in_seconds", "side" => side, "of" => item.clone())
                    .set(seconds as f64);
                if at - now < self.state.limits.expiry_warning {
                    tracing::warn!(
                        reason = "tls-ends",
                        side,
                        of = item,
                        hours = seconds / 3600,
                        "a certificate or revocation list expires soon or has expired"
                    );
                }
            }
        }
    }

    fn deliver(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        self.core.on_event(
            now,
            event,
            &mut LayerIo {
                state: &mut self.state,
                io,
                now,
            },
        );
    }
    /// Delivers the events of pending connections to the core, until there are none.
    fn deliver_pending(&mut self, now: Micros, io: &mut dyn Io) {
        while let Some(conn) = self.state.pending.pop_first() {
            while let Some(event) = self
                .state
                .connections
                .get_mut(&conn)
                .and_then(|connection| connection.next_event(conn, io))
            {
                match event {
                    TlsEvent::Established(listener) => {
                        self.state.handshake_ended(conn);
                        let resumed = self
                            .state
                            .connections
                            .get(&conn)
                            .is_some_and(TlsConnection::is_resumed);
                        let kind = if resumed { "resumed" } else { "full" };
                        let with = if listener.is_some() {
                            "callers"
                        } else {
                            "workers"
                        };
                        metrics::counter!("sanddrum_handshakes_total", "with" => with, "kind" => kind)
                            .increment(1);
                        match listener {
                            Some(listener) => {
                                self.deliver(now, Event::Accepted { conn, listener }, io)
                            }
                            None => self.deliver(now, Event::Connected { conn }, io),
                        }
                    }
                    TlsEvent::Plaintext(bytes) => self.deliver(
                        now,
                        Event::Bytes {
                            conn,
                            bytes: &bytes,
                        },
                        io,
                    ),
                    TlsEvent::Writable => self.deliver(now, Event::Writable { conn }, io),
                    TlsEvent::Closed {
                        cause,
                        notify_core,
                        error,
                    } => {
                        self.state.handshake_ended(conn);
                        if let Some(error) = error {
                            metrics::counter!("sanddrum_tls_ended_total").increment(1);
                            tracing::warn!(reason = "tls", why = error, "TLS connection failed");
                        }
                        self.state.connections.remove(&conn);
                        if notify_core {
                            self.deliver(now, Event::Closed { conn, cause }, io);
                        }
                    }
                }
            }
        }
    }
}

impl LayerState {
    /// Stops counting an inbound handshake as in flight.
    fn handshake_ended(&mut self, conn: ConnectionId) {
        if let Some(connection) = self
            .connections
            .get_mut(&conn)
            .filter(|connection| connection.is_counted)
        {
            connection.is_counted = false;
            self.handshakes -= 1;
        }
    }
    fn start_handshake(&mut self, now: Micros, conn: ConnectionId, connection: TlsConnection) {
        self.connections.insert(conn, connection);
        self.handshake_deadlines
            .insert((now + self.limits.handshake_timeout, conn));
    }
    fn accept(&mut self, now: Micros, conn: ConnectionId, listener: ListenerId, io: &mut dyn Io) {
        if self.handshakes >= self.limits.max_handshakes {
            tracing::warn!(
                reason = "handshakes",
                "client connection rejected: too many handshakes in flight"
            );
            return io.reset(conn);
        }
        let Some(config) = &self.inbound else { return };
        match config.current().server_connection(now) {
            Ok(tls) => {
                self.handshakes += 1;
                let connection = TlsConnection::inbound(tls, listener, self.limits.max_buffered);
                self.start_handshake(now, conn, connection);
            }
            Err(e) => {
                tracing::error!(
                    reason = "tls-terms",
                    error = %e,
                    "client connection rejected: the handshake can't be started"
                );
                io.reset(conn);
            }
        }
    }
}

impl<C: Core> Core for TlsLayer<C> {
    fn start(&mut self, now: Micros, io: &mut dyn Io) {
        self.core.start(
            now,
            &mut LayerIo {
                state: &mut self.state,
                io,
                now,
            },
        );
        self.deliver_pending(now, io);
    }
    fn on_event(&mut self, now: Micros, event: Event<'_>, io: &mut dyn Io) {
        for config in self.state.outbound.iter().chain(&self.state.inbound) {
            config.current().set_time(now);
        }
        let conn = match event {
            Event::Accepted { .. } if self.state.inbound.is_none() => {
                return self.deliver(now, event, io)
            }
            Event::Accepted { conn, listener } => {
                self.state.accept(now, conn, listener, io);
                conn
            }
            Event::Connected { conn }
            | Event::Bytes { conn, .. }
            | Event::Writable { conn }
            | Event::Closed { conn, .. } => conn,
        };
        let Some(connection) = self.state.connections.get_mut(&conn) else {
            // A plaintext connection, or an inbound one that was just rejected.
            if !matches!(event, Event::Accepted { .. }) {
                self.deliver(now, event, io);
            }
            return;
        };
        match event {
            Event::Accepted { .. } | Event::Connected { .. } => connection.on_connected(),
            Event::Bytes { bytes, .. } => connection.on_ciphertext(bytes),
            Event::Writable { .. } => connection.on_writable(),
            Event::Closed { cause, .. } => connection.on_closed(cause),
        }
        self.state.pending.insert(conn);
        self.deliver_pending(now, io);
    }
    fn process(&mut self, now: Micros, io: &mut dyn Io) {
        while let Some((at, conn)) = self
            .state
            .handshake_deadlines
            .first()
            .copied()
            .filter(|(at, _)| *at <= now)
        {
            self.state.handshake_deadlines.remove(&(at, conn));
            if let Some(connection) = self.state.connections.get_mut(&conn) {
                connection.on_handshake_timeout();
                self.state.pending.insert(conn);
            }
        }
        self.deliver_pending(now, io);
        self.reverify_outdated(now, io);
        self.check_expiries(now);
        self.deliver_pending(now, io);
        self.core.process(
            now,
            &mut LayerIo {
                state: &mut self.state,
                io,
                now,
            },
        );
        self.deliver_pending(now, io);
    }
    fn next_wakeup(&self) -> Option<Micros> {
        let handshake = self.state.handshake_deadlines.first().map(|(at, _)| *at);
        let outdated = (!self.state.outdated.is_empty()).then_some(0);
        self.core
            .next_wakeup()
            .into_iter()
            .chain(handshake)
            .chain(outdated)
            .chain([self.state.next_expiry_check])
            .min()
    }
    fn on_file(
        &mut self,
        now: Micros,
        name: &str,
        content: Result<&[u8], &FileError>,
        io: &mut dyn Io,
    ) {
        if self.reload_file(now, name, content) {
            return;
        }
        self.core.on_file(
            now,
            name,
            content,
            &mut LayerIo {
                state: &mut self.state,
                io,
                now,
            },
        );
        self.deliver_pending(now, io);
    }
    fn on_file_part(&mut self, now: Micros, name: &str, part: FilePart<'_>, io: &mut dyn Io) {
        self.core.on_file_part(
            now,
            name,
            part,
            &mut LayerIo {
                state: &mut self.state,
                io,
                now,
            },
        );
        self.deliver_pending(now, io);
    }
    fn on_credentials_changed(
        &mut self,
        now: Micros,
        conn: ConnectionId,
        revoked: bool,
        io: &mut dyn Io,
    ) {
        self.core.on_credentials_changed(
            now,
            conn,
            revoked,
            &mut LayerIo {
                state: &mut self.state,
                io,
                now,
            },
        );
        self.deliver_pending(now, io);
    }
    fn shut_down(&mut self, now: Micros, io: &mut dyn Io) {
        self.core.shut_down(
            now,
            &mut LayerIo {
                state: &mut self.state,
                io,
                now,
            },
        );
        self.deliver_pending(now, io);
    }
    fn log_status(&mut self, now: Micros) {
        self.core.log_status(now);
    }
    fn ends_by(&self) -> Option<Micros> {
        self.core.ends_by()
    }
    fn is_done(&self) -> bool {
        self.core.is_done()
            && self
                .state
                .connections
                .values()
                .all(TlsConnection::is_flushed)
    }
}

/// The driver as the core sees it.
struct LayerIo<'a> {
    state: &'a mut LayerState,
    io: &'a mut dyn Io,
    now: Micros,
}

impl Io for LayerIo<'_> {
    fn connect(&mut self, to: &str) -> ConnectionId {
        self.io.connect(to)
    }
    fn connect_named(&mut self, to: &str, name: &str) -> ConnectionId {
        let Some(config) = &self.state.outbound else {
            return self.io.connect_named(to, name);
        };
        let conn = self.io.connect(to);
        let connection = match config.current().client_connection(self.now, name) {
            Ok(tls) => TlsConnection::outbound(tls, name, self.state.limits.max_buffered),
            Err(e) => TlsConnection::failed(format!("{name}: {e}")),
        };
        self.state.start_handshake(self.now, conn, connection);
        self.state.pending.insert(conn);
        conn
    }
    fn peer(&self, conn: ConnectionId) -> Option<PeerIdentity> {
        match self.state.connections.get(&conn) {
            Some(connection) => Some(connection.peer()),
            None => self.io.peer(conn),
        }
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
        match self.state.connections.get_mut(&conn) {
            Some(connection) => {
                let taken = connection.write(conn, bytes, self.io);
                // The driver may have taken all ciphertext already. It then reports no `Writable`, so the layer must.
                if taken < bytes.len() {
                    self.state.pending.insert(conn);
                }
                taken
            }
            None => self.io.write(conn, bytes),
        }
    }
    fn close(&mut self, conn: ConnectionId) {
        match self.state.connections.get_mut(&conn) {
            Some(connection) => {
                connection.close();
                self.state.pending.insert(conn);
            }
            None => self.io.close(conn),
        }
    }
    fn reset(&mut self, conn: ConnectionId) {
        self.state.handshake_ended(conn);
        self.state.connections.remove(&conn);
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
    fn audit(&mut self, line: &str) {
        self.io.audit(line);
    }
}
