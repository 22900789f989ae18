//! Transmission of messages over links.

use super::{Message, VirtualNet};
use crate::{ConnectionId, HostId, Micros};

const MICROS_PER_SECOND: f64 = 1e6;

impl VirtualNet {
    /// Sends a message over the link between two hosts, to arrive at `earliest` or later. Returns its arrival time,
    /// or `earliest` if a fault of the link holds it until the fault is removed. Without a receiving host, the
    /// latency is that within a zone.
    pub(super) fn send(
        &mut self,
        from: HostId,
        to: Option<HostId>,
        earliest: Micros,
        message: Message,
    ) -> Micros {
        let unimpeded = self.now + self.random_latency(from, to);
        let mut arrival = unimpeded.max(earliest);
        if let Some(link) = to.and_then(|to| self.faulty_links.get_mut(&(from, to))) {
            let is_handshake =
                matches!(message, Message::Connect { .. } | Message::Connected { .. });
            if link.fault.holds_data && !is_handshake {
                link.buffered.push(message);
                return earliest;
            }
            // The delay is added to the message's own arrival time, not to that of the previous message; otherwise the
            // delays of successive messages would add up.
            arrival = (unimpeded + link.fault.delay).max(earliest);
            let bandwidth = link.fault.bytes_per_second;
            if let (Message::Bytes { bytes, .. }, true) = (&message, bandwidth > 0.0) {
                arrival += (bytes.len() as f64 / bandwidth * MICROS_PER_SECOND) as Micros;
            }
        }
        self.enqueue(arrival, message);
        arrival
    }
    /// Sends a message from one end of a connection to the other, in order.
    pub(super) fn send_on(&mut self, conn: ConnectionId, message: Message) {
        let Some(socket) = self.sockets.get(&conn) else {
            return;
        };
        let (from, last_arrival) = (socket.host, socket.last_arrival);
        let to = socket
            .peer
            .and_then(|peer| self.sockets.get(&peer))
            .map(|peer| peer.host);
        let arrival = self.send(from, to, last_arrival, message);
        if let Some(socket) = self.sockets.get_mut(&conn) {
            socket.last_arrival = arrival;
        }
    }
    /// Schedules the arrival of a message at this instant.
    pub(super) fn enqueue(&mut self, arrival: Micros, message: Message) {
        self.sent_messages += 1;
        self.in_flight
            .insert((arrival, self.sent_messages), message);
    }
    /// The latency of one message, including jitter and the delay of a random loss.
    fn random_latency(&mut self, from: HostId, to: Option<HostId>) -> Micros {
        let zone = |host: HostId| self.hosts.get(host.0).map_or(0, |host| host.zone);
        let is_same_zone = to.is_none_or(|to| zone(from) == zone(to));
        let base = if is_same_zone {
            self.links.same_zone_latency
        } else {
            self.links.cross_zone_latency
        };
        let mut latency = base as f64 * (1.0 + self.rng.next_f64() * self.links.jitter);
        let loss_probability = self.links.loss_probability;
        if loss_probability > 0.0 && self.rng.random_bool(loss_probability) {
            latency += self.links.retransmit_after as f64;
        }
        latency as Micros
    }
}
