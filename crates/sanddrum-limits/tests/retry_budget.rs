//! The budget for client retries while the fleet is overloaded.

use rstest::rstest;
use sanddrum::{Micros, RequestId, Settings, Value};
use sanddrum_limits::{
    Admission, ClientRequest, RejectReason, Rejection, RetryBudget, RetryEvents,
};

const MILLISECOND: Micros = 1_000;

#[derive(Default)]
struct Recorded {
    admitted: u32,
    /// The Retry-After of each rejected request, in order.
    retry_after: Vec<Micros>,
}

impl Admission for Recorded {
    fn admit(&mut self, _: RequestId) {
        self.admitted += 1;
    }
    fn reject(&mut self, _: RequestId, rejection: Rejection) {
        assert_eq!(rejection.reason, RejectReason::RetryBudget);
        self.retry_after.push(rejection.retry_after);
    }
}

struct Edge {
    now: Micros,
    budget: RetryBudget,
    last_request: u64,
}

impl Edge {
    fn new(retry_ratio: f64) -> Edge {
        let mut settings = Settings::default();
        settings
            .0
            .insert("limits.repeats".into(), Value::Number(retry_ratio));
        Edge {
            now: 1_000_000_000,
            budget: RetryBudget::new(&settings),
            last_request: 0,
        }
    }
    /// Runs 10 ms with these numbers of first attempts, retries and requests that the decision module rejected. Returns
    /// the number of admitted retries and the Retry-After of the others.
    fn step(&mut self, first_attempts: u32, retries: u32, rejected: u32) -> (u32, Vec<Micros>) {
        self.now += 10 * MILLISECOND;
        let mut events = RetryEvents {
            requests: Vec::new(),
            rejected,
        };
        for n in 0..first_attempts + retries {
            self.last_request += 1;
            events.requests.push(ClientRequest {
                request: RequestId(self.last_request),
                is_retry: n >= first_attempts,
            });
        }
        let mut recorded = Recorded::default();
        self.budget.handle(self.now, &events, &mut recorded);
        let admitted_retries = recorded.admitted - first_attempts.min(recorded.admitted);
        (admitted_retries, recorded.retry_after)
    }
    fn steps(&mut self, count: usize, first_attempts: u32, retries: u32, rejected: u32) {
        for _ in 0..count {
            self.step(first_attempts, retries, rejected);
        }
    }
}

#[rstest]
fn without_rejections_every_retry_is_admitted() {
    let mut edge = Edge::new(0.1);
    for _ in 0..300 {
        assert_eq!(
            edge.step(1, 20, 0).0,
            20,
            "a zone was lost and all of its requests are retried"
        );
    }
}

#[rstest]
fn a_few_rejections_are_no_overload() {
    let mut edge = Edge::new(0.1);
    edge.step(10, 5, 0);
    for _ in 0..300 {
        assert_eq!(
            edge.step(10, 5, 3).0,
            5,
            "a worker has crashed and its functions are loaded elsewhere"
        );
    }
}

#[rstest]
fn under_overload_retries_are_limited_to_their_ratio_and_first_attempts_are_not_limited() {
    let mut edge = Edge::new(0.1);
    edge.steps(200, 10, 30, 25);
    let admitted: u32 = (0..300).map(|_| edge.step(10, 30, 25).0).sum();
    assert!(
        (270..=330).contains(&admitted),
        "{admitted} retries admitted with 3,000 first attempts"
    );
    assert_eq!(edge.step(10, 0, 25), (0, vec![]));
}

#[rstest]
fn retry_after_grows_with_the_number_of_retries_and_is_bounded() {
    let mut edge = Edge::new(0.1);
    let longest = |edge: &mut Edge, retries| {
        edge.steps(300, 10, retries, 25);
        (0..20)
            .flat_map(|_| edge.step(10, retries, 25).1)
            .max()
            .unwrap()
    };
    let few = longest(&mut edge, 1);
    let many = longest(&mut edge, 60);
    assert!(few < many && many <= 2_000_000, "{few} {many}");
}

#[rstest]
fn retries_are_admitted_again_within_seconds_after_overload() {
    let mut edge = Edge::new(0.1);
    edge.steps(500, 10, 30, 25);
    let recovered = (1..).find(|_| edge.step(10, 5, 0).0 == 5).unwrap();
    assert!(recovered <= 500, "{recovered} steps of 10 ms");
}

#[rstest]
fn a_retry_ratio_of_one_is_unlimited() {
    let mut edge = Edge::new(1.0);
    edge.steps(200, 10, 30, 25);
    assert_eq!(edge.step(10, 30, 25).0, 30);
}
