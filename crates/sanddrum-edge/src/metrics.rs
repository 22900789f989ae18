//! What an edge counts. Without a recorder the counting costs next to nothing.

use metrics::{counter, gauge, Counter, Gauge};
use sanddrum::Outcome;
use sanddrum_upstream::ConnectionPolicy;

pub struct EdgeMetrics {
    pub taken: Counter,
    pub finished: Counter,
    pub left: Counter,
    pub loads: Counter,
    pub health_checks: Counter,
    pub unmatched_responses: Counter,
    pub malformed_worker_streams: Counter,
    pub discovery_losses: Counter,
    pub links_open: Gauge,
    pub client_connections_open: Gauge,
    pub workers_listed: Gauge,
    /// How far the start has come: 0 no list, 1 the kept one, 2 told.
    pub readiness_step: Gauge,
    handshakes_in_flight: Gauge,
    worker_connections_waiting: Gauge,
    handshake_us: Gauge,
    ends: Vec<Counter>,
}

const ENDS: [(Outcome, &str); 9] = [
    (Outcome::Finished, "finished"),
    (Outcome::Error, "error"),
    (Outcome::Rejected, "full"),
    (Outcome::TimedOut, "timed-out"),
    (Outcome::NoConnection, "no-connection"),
    (Outcome::Reset, "reset"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::CancelledBeforeStart, "moot"),
    (Outcome::ColdMiss, "miss"),
];

impl Default for EdgeMetrics {
    fn default() -> Self {
        EdgeMetrics {
            taken: counter!("sanddrum_jobs_taken_total"),
            finished: counter!("sanddrum_answers_total", "end" => "finished", "reason" => ""),
            left: counter!("sanddrum_clients_left_total"),
            loads: counter!("sanddrum_load_orders_total"),
            health_checks: counter!("sanddrum_probes_total"),
            unmatched_responses: counter!("sanddrum_stray_answers_total"),
            malformed_worker_streams: counter!("sanddrum_garbled_links_total"),
            discovery_losses: counter!("sanddrum_list_losses_total"),
            links_open: gauge!("sanddrum_worker_connections"),
            client_connections_open: gauge!("sanddrum_client_connections"),
            workers_listed: gauge!("sanddrum_workers_listed"),
            readiness_step: gauge!("sanddrum_start_step"),
            handshakes_in_flight: gauge!("sanddrum_handshakes_out"),
            worker_connections_waiting: gauge!("sanddrum_worker_connections_waiting"),
            handshake_us: gauge!("sanddrum_handshake_microseconds"),
            ends: ENDS
                .iter()
                .map(|(_, end)| counter!("sanddrum_executions_total", "end" => *end))
                .collect(),
        }
    }
}

impl EdgeMetrics {
    pub fn refused(&self, end: &'static str, reason: &str) {
        counter!("sanddrum_answers_total", "end" => end, "reason" => reason.to_string())
            .increment(1);
    }
    pub fn record_connections(&self, connections: &ConnectionPolicy) {
        self.handshakes_in_flight
            .set(connections.handshakes_in_flight() as f64);
        self.worker_connections_waiting
            .set(connections.queued_requests() as f64);
        self.handshake_us
            .set(connections.handshake_costs().full() as f64);
    }
    /// A client's connection was closed from here.
    pub fn record_client_close(&self, reason: &'static str) {
        counter!("sanddrum_client_closes_total", "reason" => reason).increment(1);
    }
    /// A named limit was reached.
    pub fn record_limit_hit(&self, limit: &'static str) {
        counter!("sanddrum_limit_hits_total", "limit" => limit).increment(1);
    }
    pub fn attempt_ended(&self, end: Outcome) {
        if let Some(n) = ENDS.iter().position(|(e, _)| *e == end) {
            self.ends[n].increment(1);
        }
    }
}
