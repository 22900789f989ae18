//! Counters and gauges of an edge. Without an installed recorder, updating them is almost free.

use crate::responses::ErrorKind;
use metrics::{counter, gauge, Counter, Gauge};
use sanddrum::Outcome;
use sanddrum_upstream::ConnectionPolicy;

/// Attempt outcomes with their label values.
const OUTCOME_LABELS: [(Outcome, &str); 9] = [
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

/// The name of an outcome in metrics and logs.
pub(crate) fn outcome_label(outcome: Outcome) -> &'static str {
    let found = OUTCOME_LABELS
        .iter()
        .find(|(labelled, _)| *labelled == outcome);
    found.map_or("", |(_, label)| label)
}

/// Handles of all metrics that are updated often; the others are looked up at each update.
pub(crate) struct EdgeMetrics {
    /// Accepted requests.
    pub requests_accepted: Counter,
    /// Finished requests.
    pub requests_finished: Counter,
    /// Requests cancelled by their clients.
    pub requests_cancelled: Counter,
    /// Final answers given after the client's time limit.
    pub late_answers: Counter,
    /// Load commands, without those that only query the number of loaded instances.
    pub load_commands: Counter,
    /// Health checks that were sent.
    pub health_checks: Counter,
    /// Answers that matched no attempt.
    pub unmatched_answers: Counter,
    /// Worker connections that were closed for a protocol violation.
    pub malformed_worker_streams: Counter,
    /// Lost connections to the discovery service or the control feed.
    pub discovery_losses: Counter,
    /// Connections to workers, including those that are being established.
    pub worker_connections_open: Gauge,
    /// Client connections.
    pub client_connections_open: Gauge,
    /// Listed workers.
    pub workers_listed: Gauge,
    /// The progress of the start: 0 no endpoint list, 1 the cached list, 2 a current list.
    pub readiness_step: Gauge,
    handshakes_in_flight: Gauge,
    worker_connections_waiting: Gauge,
    handshake_us: Gauge,
    attempts_by_outcome: Vec<Counter>,
}

impl Default for EdgeMetrics {
    fn default() -> Self {
        let attempts = |(_, label): &(Outcome, &'static str)| counter!("sanddrum_executions_total", "end" => *label);
        EdgeMetrics {
            requests_accepted: counter!("sanddrum_jobs_taken_total"),
            requests_finished: counter!("sanddrum_answers_total", "end" => "finished", "reason" => ""),
            requests_cancelled: counter!("sanddrum_clients_left_total"),
            late_answers: counter!("sanddrum_late_answers_total"),
            load_commands: counter!("sanddrum_load_orders_total"),
            health_checks: counter!("sanddrum_probes_total"),
            unmatched_answers: counter!("sanddrum_stray_answers_total"),
            malformed_worker_streams: counter!("sanddrum_garbled_links_total"),
            discovery_losses: counter!("sanddrum_list_losses_total"),
            worker_connections_open: gauge!("sanddrum_worker_connections"),
            client_connections_open: gauge!("sanddrum_client_connections"),
            workers_listed: gauge!("sanddrum_workers_listed"),
            readiness_step: gauge!("sanddrum_start_step"),
            handshakes_in_flight: gauge!("sanddrum_handshakes_out"),
            worker_connections_waiting: gauge!("sanddrum_worker_connections_waiting"),
            handshake_us: gauge!("sanddrum_handshake_microseconds"),
            attempts_by_outcome: OUTCOME_LABELS.iter().map(attempts).collect(),
        }
    }
}

impl EdgeMetrics {
    /// Counts an error response to a request.
    pub fn record_error_response(&self, kind: ErrorKind, reason: &str) {
        let (end, reason) = (kind.name(), reason.to_string());
        counter!("sanddrum_answers_total", "end" => end, "reason" => reason).increment(1);
    }

    /// Publishes the state of the connection policy.
    pub fn record_connections(&self, policy: &ConnectionPolicy) {
        self.handshakes_in_flight
            .set(policy.handshakes_in_flight() as f64);
        self.worker_connections_waiting
            .set(policy.queued_requests() as f64);
        self.handshake_us
            .set(policy.handshake_costs().full() as f64);
    }

    /// Counts a client connection that the edge closed.
    pub fn record_client_close(&self, reason: &'static str) {
        counter!("sanddrum_client_closes_total", "reason" => reason).increment(1);
    }

    /// Counts that a limit was reached, by the name of its setting.
    pub fn record_limit_hit(&self, limit: &'static str) {
        counter!("sanddrum_limit_hits_total", "limit" => limit).increment(1);
    }

    /// Counts an attempt that has ended.
    pub fn record_outcome(&self, outcome: Outcome) {
        let index = OUTCOME_LABELS
            .iter()
            .position(|(labelled, _)| *labelled == outcome);
        if let Some(index) = index {
            self.attempts_by_outcome[index].increment(1);
        }
    }
}
