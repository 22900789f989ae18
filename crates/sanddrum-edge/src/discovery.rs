//! The client of the discovery service. It watches the endpoint list; the bootstrap policy decides when it reconnects
//! and polls.

use crate::context::{ConnectionOwner, EdgeContext};
use crate::discovery_version::DiscoveryVersion;
use crate::timers::Timer;
use sanddrum::Micros;
use sanddrum_bootstrap::{Bootstrap, Decisions, DiscoveryEvent, Readiness};
use sanddrum_net::{ConnectionId, Io, Outbox};
use sanddrum_settings::LoadedSettings;
use sanddrum_wire::{
    frame::encode_frame, EndpointUpdate, FrameDecoder, FromDiscovery, Hello, ToDiscovery, VERSION,
};

/// The decisions of one run of the bootstrap policy.
#[derive(Default)]
struct DiscoveryActions {
    connect: bool,
    poll: bool,
    disconnect: bool,
    wake_at: Micros,
}

impl Decisions for DiscoveryActions {
    fn connect(&mut self) {
        self.connect = true;
    }

    fn poll(&mut self) {
        self.poll = true;
    }

    fn disconnect(&mut self) {
        self.disconnect = true;
    }

    fn wake_at(&mut self, at: Micros) {
        self.wake_at = at;
    }
}

/// The connection to the discovery service.
struct ServiceConnection {
    conn: ConnectionId,
    decoder: FrameDecoder,
    outbox: Outbox<()>,
}

impl ServiceConnection {
    fn send(&mut self, message: &ToDiscovery) {
        // A message that does not fit may be dropped: the service has not read for a long time, so the policy
        // reconnects.
        let _ = self.outbox.push((), &encode_frame(message));
    }

    fn flush(&mut self, io: &mut dyn Io) {
        self.outbox.flush(self.conn, io);
    }
}

/// A client of the discovery service.
pub(crate) struct DiscoveryClient {
    address: String,
    edge_name: String,
    edge_incarnation: u64,
    bootstrap: Bootstrap,
    connection: Option<ServiceConnection>,
    version: DiscoveryVersion,
    /// When the policy runs next. A timer that fires earlier is obsolete.
    next_run: Micros,
}

impl DiscoveryClient {
    /// A client that is not connected. `bootstrap_seed` seeds the random number generator of the bootstrap policy.
    pub fn new(settings: &LoadedSettings, edge_incarnation: u64, bootstrap_seed: u64) -> Self {
        DiscoveryClient {
            address: settings.text("edge.list").to_string(),
            edge_name: settings.text("edge.name").to_string(),
            edge_incarnation,
            bootstrap: Bootstrap::new(bootstrap_seed, &settings.decision_settings()),
            connection: None,
            version: DiscoveryVersion::default(),
            next_run: 0,
        }
    }

    /// The version of the edge's endpoint list.
    pub fn version(&self) -> DiscoveryVersion {
        self.version
    }

    /// Sets the version to that of the cached endpoint list.
    pub fn restore_version(&mut self, version: DiscoveryVersion) {
        self.version = version;
    }

    /// Advances to the version of an update. Returns false if the update is outdated.
    pub fn advance(&mut self, update: &EndpointUpdate) -> bool {
        self.version.advance(update.head())
    }

    /// The progress of the start.
    pub fn readiness(&self) -> Readiness {
        self.bootstrap.readiness()
    }

    /// Whether the edge knows an endpoint list and can therefore serve clients.
    pub fn is_healthy(&self) -> bool {
        self.bootstrap.is_healthy()
    }

    /// Runs the policy on these events and carries out its decisions.
    pub fn run(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        events: &[DiscoveryEvent],
        io: &mut dyn Io,
    ) {
        let mut actions = DiscoveryActions::default();
        let before = self.readiness();
        self.bootstrap.handle(now, events, &mut actions);
        if actions.disconnect {
            self.disconnect(context, io);
        }
        if actions.connect {
            self.connect(context, now, io);
        }
        if actions.poll {
            self.poll(io);
        }
        let readiness = self.readiness();
        if readiness != before || self.next_run == 0 {
            tracing::info!(step = readiness.name(), "edge readiness changed");
            let step = f64::from(readiness as u8);
            context.metrics.readiness_step.set(step);
        }
        self.next_run = actions.wake_at.max(now + 1);
        context.timers.schedule(self.next_run, Timer::Discovery);
    }

    /// Handles the client's timer: runs the policy if that is due.
    pub fn on_timer(&mut self, context: &mut EdgeContext, now: Micros, io: &mut dyn Io) {
        if now >= self.next_run {
            self.run(context, now, &[], io);
        }
    }

    fn connect(&mut self, context: &mut EdgeContext, now: Micros, io: &mut dyn Io) {
        self.disconnect(context, io);
        let conn = io.connect(&self.address);
        context
            .connection_owners
            .insert(conn, ConnectionOwner::Discovery);
        let max_frame_bytes = context.limits.max_frame_bytes;
        let mut connection = ServiceConnection {
            conn,
            decoder: FrameDecoder::new(max_frame_bytes),
            outbox: Outbox::new(max_frame_bytes),
        };
        connection.send(&ToDiscovery::Hello(Hello {
            version: VERSION,
            name: self.edge_name.clone(),
            incarnation: self.edge_incarnation,
            age_us: None,
        }));
        connection.send(&ToDiscovery::Watch(self.version.watch()));
        self.connection = Some(connection);
        tracing::debug!(at = now, "connecting to the discovery service");
    }

    fn poll(&mut self, io: &mut dyn Io) {
        if let Some(connection) = &mut self.connection {
            connection.send(&ToDiscovery::Watch(self.version.watch()));
            connection.flush(io);
        }
    }

    fn disconnect(&mut self, context: &mut EdgeContext, io: &mut dyn Io) {
        if let Some(connection) = self.connection.take() {
            context.connection_owners.remove(&connection.conn);
            io.reset(connection.conn);
            record_disconnect(context);
        }
    }

    /// Whether `conn` is the current connection.
    pub fn owns(&self, conn: ConnectionId) -> bool {
        self.connection
            .as_ref()
            .is_some_and(|connection| connection.conn == conn)
    }

    /// Handles a connection that has been established.
    pub fn on_connected(&mut self, io: &mut dyn Io) {
        if let Some(connection) = &mut self.connection {
            connection.flush(io);
        }
    }

    /// Handles a connection that has become writable.
    pub fn on_writable(&mut self, io: &mut dyn Io) {
        if let Some(connection) = &mut self.connection {
            connection.outbox.unblock();
            connection.flush(io);
        }
    }

    /// Handles the end of the current connection.
    pub fn on_closed(&mut self, context: &mut EdgeContext, now: Micros, io: &mut dyn Io) {
        self.connection = None;
        record_disconnect(context);
        self.run(context, now, &[DiscoveryEvent::Disconnected], io);
    }

    /// Adds received bytes to the frame decoder.
    pub fn push_bytes(&mut self, bytes: &[u8]) {
        if let Some(connection) = &mut self.connection {
            connection.decoder.push_bytes(bytes);
        }
    }

    /// Returns the next update that was received completely. A malformed message closes the connection.
    pub fn next_update(
        &mut self,
        context: &mut EdgeContext,
        now: Micros,
        io: &mut dyn Io,
    ) -> Option<EndpointUpdate> {
        loop {
            match self.connection.as_mut()?.decoder.next_message() {
                Ok(None) => return None,
                Ok(Some(FromDiscovery::Endpoints(update))) => return Some(update),
                Ok(Some(FromDiscovery::Hello(_))) => {}
                Err(error) => {
                    tracing::warn!(
                        reason = "garbled-list",
                        problem = %error,
                        "malformed message from the discovery service; reconnecting"
                    );
                    self.disconnect(context, io);
                    self.run(context, now, &[DiscoveryEvent::Disconnected], io);
                    return None;
                }
            }
        }
    }
}

fn record_disconnect(context: &EdgeContext) {
    tracing::info!(
        reason = "list-away",
        "discovery service unavailable; the last endpoint list stays in use"
    );
    context.metrics.discovery_losses.increment(1);
}
