//! The TLS state of one connection: ciphertext towards the driver, plaintext towards the core.

use crate::certificates::{self, KeyFingerprint, TlsConfigError};
use crate::config::TlsConfig;
use rustls::{ClientConnection, Connection, HandshakeKind, ServerConnection};
use sanddrum_net::{CloseCause, ConnectionId, Io, ListenerId, Micros, PeerIdentity};
use std::io::{Read, Write};

/// An event of a connection for its core.
pub(crate) enum TlsEvent {
    /// The handshake has completed; with the listener of an inbound connection.
    Established(Option<ListenerId>),
    Plaintext(Vec<u8>),
    Writable,
    /// The last event.
    Closed {
        cause: CloseCause,
        /// Whether to notify the core: false if it closed the connection itself or was never notified of it.
        notify_core: bool,
        error: Option<String>,
    },
}

/// A connection of the layer, from the start of its handshake to its last event.
pub(crate) struct TlsConnection {
    /// `None` if the handshake could not be started.
    tls: Option<Connection>,
    /// The name that an outbound peer's certificate must contain. For an inbound peer, a generic name used in messages.
    peer_name: String,
    listener: Option<ListenerId>,
    /// Writes of the core are short if `ciphertext` would grow beyond about this many bytes.
    max_buffered: usize,
    /// Whether it counts towards the limit of handshakes in flight.
    pub is_counted: bool,
    /// Whether the underlying connection is established.
    connected: bool,
    /// Whether the core was notified that the connection is established.
    established: bool,
    /// Whether the last write to the driver was short.
    driver_blocked: bool,
    /// Whether the core's last write to the layer was short.
    core_blocked: bool,
    /// Whether the core has closed the connection.
    closing: bool,
    /// How the connection has ended or is to end, with the error, if any.
    ended: Option<(CloseCause, Option<String>)>,
    /// Whether the driver reported the connection as closed, so that the layer must not close it.
    driver_closed: bool,
    plaintext: Vec<u8>,
    ciphertext: Vec<u8>,
}

impl TlsConnection {
    fn new(
        tls: Option<Connection>,
        peer_name: &str,
        listener: Option<ListenerId>,
        max_buffered: usize,
    ) -> Self {
        TlsConnection {
            tls,
            peer_name: peer_name.to_string(),
            listener,
            max_buffered,
            is_counted: listener.is_some(),
            connected: false,
            established: false,
            driver_blocked: false,
            core_blocked: false,
            closing: false,
            ended: None,
            driver_closed: false,
            plaintext: Vec::new(),
            ciphertext: Vec::new(),
        }
    }
    pub fn inbound(tls: ServerConnection, listener: ListenerId, max_buffered: usize) -> Self {
        TlsConnection::new(Some(tls.into()), "a client", Some(listener), max_buffered)
    }
    pub fn outbound(tls: ClientConnection, peer_name: &str, max_buffered: usize) -> Self {
        TlsConnection::new(Some(tls.into()), peer_name, None, max_buffered)
    }
    /// An outbound connection whose handshake can't be started.
    pub fn failed(error: String) -> Self {
        let mut connection = TlsConnection::new(None, "", None, 0);
        connection.ended = Some((CloseCause::Refused, Some(error)));
        connection
    }
    pub fn on_connected(&mut self) {
        self.connected = true;
    }
    pub fn on_writable(&mut self) {
        self.driver_blocked = false;
    }
    /// Handles the handshake timeout. An established connection ignores it.
    pub fn on_handshake_timeout(&mut self) {
        if !self.established {
            self.fail(format!("{}: the handshake timed out", self.peer_name));
        }
    }
    pub fn is_flushed(&self) -> bool {
        self.ciphertext.is_empty()
    }
    pub fn is_established(&self) -> bool {
        self.established
    }
    pub fn is_inbound(&self) -> bool {
        self.listener.is_some()
    }
    pub fn peer_name(&self) -> &str {
        &self.peer_name
    }
    pub fn is_resumed(&self) -> bool {
        self.tls.as_ref().and_then(|tls| tls.handshake_kind()) == Some(HandshakeKind::Resumed)
    }
    /// The identity that the peer has proved.
    pub fn peer(&self) -> PeerIdentity {
        let chain = self
            .tls
            .as_ref()
            .and_then(|tls| tls.peer_certificates())
            .unwrap_or_default();
        let Some(leaf) = chain.first() else {
            return PeerIdentity {
                resumed: self.is_resumed(),
                ..PeerIdentity::default()
            };
        };
        let key_fingerprint = KeyFingerprint::of_certificate(leaf)
            .map(|fingerprint| fingerprint.to_string())
            .unwrap_or_default();
        PeerIdentity {
            names: certificates::dns_names(leaf),
            key_fingerprint,
            resumed: self.is_resumed(),
        }
    }
    /// Verifies the peer's certificates by another configuration.
    pub fn verify_again(&self, now: Micros, config: &TlsConfig) -> Result<(), TlsConfigError> {
        let chain = self
            .tls
            .as_ref()
            .and_then(|tls| tls.peer_certificates())
            .unwrap_or_default();
        config.verify_peer(
            now,
            self.listener.is_none().then_some(self.peer_name.as_str()),
            chain,
        )
    }
    fn fail(&mut self, error: String) {
        let cause = if self.established {
            CloseCause::Reset
        } else {
            CloseCause::Refused
        };
        self.ended.get_or_insert((cause, Some(error)));
    }
    /// Decrypts ciphertext from the peer.
    pub fn on_ciphertext(&mut self, mut bytes: &[u8]) {
        let Some(tls) = &mut self.tls else { return };
        let mut error = None;
        let mut close_notified = false;
        while !bytes.is_empty() && error.is_none() {
            match tls.read_tls(&mut bytes) {
                Ok(0) => break,
                Ok(_) => {}
                Err(e) => error = Some(e.to_string()),
            }
            match tls.process_new_packets() {
                Ok(state) => {
                    close_notified |= state.peer_has_closed();
                    let mut plaintext = vec![0; state.plaintext_bytes_to_read()];
                    if tls.reader().read_exact(&mut plaintext).is_ok() {
                        self.plaintext.extend_from_slice(&plaintext);
                    }
                }
                Err(e) => error = Some(e.to_string()),
            }
        }
        if let Some(error) = error {
            let error = format!("{}: {error}", self.peer_name);
            self.fail(error);
        } else if close_notified {
            self.ended.get_or_insert((CloseCause::Orderly, None));
        }
    }
    /// Handles the end of the underlying connection. If the peer has not sent a close_notify, the stream may be
    /// truncated, which counts as a reset.
    pub fn on_closed(&mut self, cause: CloseCause) {
        self.driver_closed = true;
        let cause = match (self.established, cause) {
            (false, _) => CloseCause::Refused,
            (true, CloseCause::Refused) => CloseCause::Refused,
            (true, _) => CloseCause::Reset,
        };
        self.ended.get_or_insert((cause, None));
    }
    /// Closes the connection for the core, once all ciphertext is written.
    pub fn close(&mut self) {
        self.closing = true;
        if let Some(tls) = &mut self.tls {
            tls.send_close_notify();
        }
    }
    /// Encrypts as much as the buffer for ciphertext has space for, and returns how many bytes that was.
    pub fn write(&mut self, conn: ConnectionId, bytes: &[u8], io: &mut dyn Io) -> usize {
        let free = self.max_buffered.saturating_sub(self.ciphertext.len());
        let Some(tls) = self
            .tls
            .as_mut()
            .filter(|_| self.established && self.ended.is_none())
        else {
            return 0;
        };
        let mut taken = 0;
        while taken < bytes.len().min(free) {
            match tls.writer().write(&bytes[taken..bytes.len().min(free)]) {
                Ok(n) if n > 0 => taken += n,
                _ => break,
            }
            // The library's own buffer is bounded: it is drained after each write.
            while tls.wants_write() && tls.write_tls(&mut self.ciphertext).is_ok() {}
        }
        self.flush(conn, io);
        self.core_blocked = taken < bytes.len();
        taken
    }
    fn flush(&mut self, conn: ConnectionId, io: &mut dyn Io) {
        if let Some(tls) = &mut self.tls {
            while tls.wants_write() && tls.write_tls(&mut self.ciphertext).is_ok() {}
        }
        if self.connected
            && !self.driver_blocked
            && !self.ciphertext.is_empty()
            && !self.driver_closed
        {
            let written = io.write(conn, &self.ciphertext);
            self.ciphertext.drain(..written);
            self.driver_blocked = !self.ciphertext.is_empty();
        }
    }
    /// Writes buffered ciphertext and returns the next event for the core.
    pub fn next_event(&mut self, conn: ConnectionId, io: &mut dyn Io) -> Option<TlsEvent> {
        self.flush(conn, io);
        let handshaking = self.tls.as_ref().is_none_or(|tls| tls.is_handshaking());
        if !self.established && self.connected && !handshaking && !self.closing {
            self.established = true;
            return Some(TlsEvent::Established(self.listener));
        }
        if self.established && !self.plaintext.is_empty() && !self.closing {
            return Some(TlsEvent::Plaintext(std::mem::take(&mut self.plaintext)));
        }
        if self.closing && (self.ciphertext.is_empty() || self.driver_closed) {
            if !self.driver_closed {
                io.close(conn);
            }
            return Some(TlsEvent::Closed {
                cause: CloseCause::Orderly,
                notify_core: false,
                error: None,
            });
        }
        if let Some((cause, error)) = self.ended.take() {
            match (self.driver_closed, cause) {
                (true, _) => {}
                (false, CloseCause::Orderly) => io.close(conn),
                (false, _) => io.reset(conn),
            }
            // The core never learned of an inbound connection whose handshake failed.
            let notify_core = !self.closing && (self.established || self.listener.is_none());
            return Some(TlsEvent::Closed {
                cause,
                notify_core,
                error,
            });
        }
        if self.core_blocked && self.established && self.ciphertext.len() * 2 <= self.max_buffered {
            self.core_blocked = false;
            return Some(TlsEvent::Writable);
        }
        None
    }
}
