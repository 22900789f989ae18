//! Clients' repeats while the fleet is pressed.

use rstest::rstest;
use sanddrum::{Micros, RequestId, Settings, Value};
use sanddrum_limits::{RejectReason, RetryBudget, RetryEvents};

const MS: Micros = 1_000;

struct Story {
    now: Micros,
    repeats: RetryBudget,
    next: u64,
}

impl Story {
    fn new(part: f64) -> Story {
        let mut settings = Settings::default();
        settings
            .0
            .insert("limits.repeats".into(), Value::Number(part));
        Story {
            now: 1_000_000_000,
            repeats: RetryBudget::new(&settings),
            next: 0,
        }
    }
    /// So many first tries and repeats in ten milliseconds, and how many jobs were pushed back since; gives how many
    /// repeats were taken, and the waits of the others.
    fn step(&mut self, firsts: u32, repeats: u32, pressed: u32) -> (u32, Vec<Micros>) {
        self.now += 10 * MS;
        let mut asked = RetryEvents {
            requests: Vec::new(),
            rejected: pressed,
        };
        for n in 0..firsts + repeats {
            self.next += 1;
            asked.requests.push((RequestId(self.next), n >= firsts));
        }
        let (mut taken, mut waits) = (0, Vec::new());
        self.repeats
            .handle(self.now, &asked, &mut |_, judged| match judged {
                Ok(()) => taken += 1,
                Err((why, wait)) => {
                    assert_eq!(why, RejectReason::RetryBudget);
                    waits.push(wait);
                }
            });
        (taken - firsts.min(taken), waits)
    }
}

#[rstest]
fn while_nothing_is_pushed_back_every_repeat_is_taken() {
    let mut s = Story::new(0.1);
    for _ in 0..300 {
        assert_eq!(
            s.step(1, 20, 0).0,
            20,
            "a zone was lost and all of it comes again"
        );
    }
}

#[rstest]
fn a_little_pushback_is_no_overload() {
    let mut s = Story::new(0.1);
    s.step(10, 5, 0);
    for _ in 0..300 {
        assert_eq!(
            s.step(10, 5, 3).0,
            5,
            "a worker has crashed and its functions are loaded anew"
        );
    }
}

#[rstest]
fn under_overload_repeats_get_what_first_tries_earn_and_first_tries_all_go_on() {
    let mut s = Story::new(0.1);
    (0..200).for_each(|_| drop(s.step(10, 30, 25)));
    let taken: u32 = (0..300).map(|_| s.step(10, 30, 25).0).sum();
    assert!(
        (270..=330).contains(&taken),
        "{taken} beside 3,000 first tries"
    );
    assert_eq!(s.step(10, 0, 25), (0, vec![]));
}

#[rstest]
fn the_time_to_return_grows_with_what_asks_and_has_a_bound() {
    let mut s = Story::new(0.1);
    let longest = |s: &mut Story, repeats| {
        (0..300).for_each(|_| drop(s.step(10, repeats, 25)));
        (0..20)
            .flat_map(|_| s.step(10, repeats, 25).1)
            .max()
            .unwrap()
    };
    let some = longest(&mut s, 1);
    let many = longest(&mut s, 60);
    assert!(some < many && many <= 2_000_000, "{some} {many}");
}

#[rstest]
fn once_the_load_falls_repeats_go_on_within_seconds() {
    let mut s = Story::new(0.1);
    (0..500).for_each(|_| drop(s.step(10, 30, 25)));
    let calm = (1..).find(|_| s.step(10, 5, 0).0 == 5).unwrap();
    assert!(calm <= 500, "{calm} steps of 10 ms");
}

#[rstest]
fn a_part_of_all_is_no_budget() {
    let mut s = Story::new(1.0);
    (0..200).for_each(|_| drop(s.step(10, 30, 25)));
    assert_eq!(s.step(10, 30, 25).0, 30);
}
