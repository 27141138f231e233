//! Slopes through results.

use fleet_experiments::fit::{fits, line};

#[test]
fn a_straight_line_is_found_and_a_bent_one_is_told_by_its_distance() {
    let straight: Vec<(f64, f64)> = [1.0, 10.0, 1e3, 1e5].iter().map(|x| (*x, 3.0 + 0.5 * x)).collect();
    let found = line(&straight).unwrap();
    assert!(
        (found.base - 3.0).abs() < 1e-6 && (found.slope - 0.5).abs() < 1e-9 && found.off < 1e-6,
        "{found:?}"
    );
    let bent: Vec<(f64, f64)> = [1.0, 10.0, 100.0, 1000.0].iter().map(|x| (*x, x * x)).collect();
    assert!(line(&bent).unwrap().off > 0.5, "{:?}", line(&bent));
    assert_eq!(line(&[(5.0, 1.0), (5.0, 2.0)]), None, "one size");
    assert_eq!(line(&[(1.0, 0.0), (2.0, 2.0)]), None, "nothing to be a share of");
}

#[test]
fn fits_need_four_sizes_that_differ_in_nothing_else() {
    let point = |rate: u64, ingresses: u64, messages: u64| {
        format!(
            r#"{{"experiment":"quota","point":{{"rate":{rate},"ingresses":{ingresses},"messages":{messages}}}}}"#
        )
    };
    let mut lines: Vec<String> = (1..=4).map(|n| point(n, 30, 2 * n)).collect();
    lines.extend((1..=3).map(|n| point(n, 60, 2 * n)));
    let found = fits(&lines.join("\n")).unwrap();
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].contains("ingresses 30") && found[0].contains("2.000e0 each"), "{found:?}");
    assert!(fits("{").is_err());
}
