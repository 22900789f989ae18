//! Authorization rules.

use rstest::rstest;
use sanddrum_identity::authorization::{Pattern, Rule};
use sanddrum_identity::Authorization;

fn patterns(text: &str) -> Vec<Pattern> {
    vec![Pattern::new(text).unwrap()]
}

fn rule(allows: bool, customers: &str, functions: Vec<Pattern>, line: u32) -> Rule {
    Rule {
        allows,
        customers: patterns(customers),
        workloads: vec![],
        functions,
        source: format!("line {line}"),
    }
}

#[rstest]
fn a_denying_rule_takes_precedence_over_allowing_ones() {
    let authorization = Authorization {
        rules: vec![
            rule(true, "*", vec![], 1),
            rule(false, "lycees-*", patterns("magnitude-*"), 2),
            rule(true, "obs-brest", vec![], 3),
        ],
        allows_by_default: false,
    };
    let decide = |customer, function| authorization.decide(customer, "trace-pass", function);
    let decision = decide("lycees-reseau", "magnitude-3");
    assert_eq!(
        (decision.is_allowed, decision.to_string()),
        (false, "denied by line 2".into())
    );
    assert!(decide("lycees-reseau", "noise-1").is_allowed);
    assert!(decide("obs-brest", "magnitude-3").is_allowed);
    assert!(
        Authorization::default()
            .decide("anyone", "w", "f")
            .is_allowed
    );
    let without_rules = Authorization {
        rules: vec![],
        allows_by_default: false,
    };
    assert_eq!(
        without_rules.decide("x", "w", "f").to_string(),
        "denied by default: no rule matches"
    );
    assert!(Pattern::new("a*b").is_err() && Pattern::new("").is_err());
}
