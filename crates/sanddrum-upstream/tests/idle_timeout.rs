//! The estimate of how long an idle connection may be used.

use rstest::rstest;
use sanddrum_upstream::IdleTimeoutEstimate;

#[rstest]
fn after_a_reset_a_shorter_idle_time_is_trusted_and_longer_ones_are_tried_later() {
    let mut estimate = IdleTimeoutEstimate::new(250_000);
    assert!(estimate.is_trusted(0, 60_000_000), "no reset so far");
    estimate.record_reset(0, 5_000, 100);
    assert!(
        estimate.is_trusted(0, 60_000_000),
        "hardly idle: the reset has another cause"
    );
    estimate.record_reset(0, 200_000, 60_000);
    assert!(
        estimate.is_trusted(0, 60_000_000),
        "long after the write: the reset has another cause"
    );
    estimate.record_reset(0, 200_000, 100);
    assert!(estimate.is_trusted(1_000_000, 100_000) && !estimate.is_trusted(1_000_000, 150_000));
    assert!(
        estimate.is_trusted(11_000_000, 150_000),
        "the limit has held for long"
    );
    estimate.record_reset(11_000_000, 150_000, 100);
    assert!(!estimate.is_trusted(12_000_000, 100_000));
}
