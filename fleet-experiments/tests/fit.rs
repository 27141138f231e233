//! Slopes through results.

use fleet_experiments::fit::{fit_line, fit_results, Point};

/// Measured points are fitted with a straight line, from which the capacity page extrapolates. Points on a line
/// give exactly that line; points on a curve are reported with a large error, since a reader would otherwise trust
/// a number that is far off. One size, or a value of zero, gives no line at all.
#[test]
fn a_straight_line_is_found_and_a_bent_one_has_a_large_error() {
    let points =
        |sizes: [f64; 4], value: &dyn Fn(f64) -> f64| sizes.map(|size| Point { size, value: value(size) });
    let straight = points([1.0, 10.0, 1e3, 1e5], &|size| 3.0 + 0.5 * size);
    let found = fit_line(&straight).unwrap();
    assert!(
        (found.intercept - 3.0).abs() < 1e-6
            && (found.slope - 0.5).abs() < 1e-9
            && found.max_relative_error < 1e-6,
        "{found:?}"
    );
    let bent = points([1.0, 10.0, 100.0, 1000.0], &|size| size * size);
    assert!(fit_line(&bent).unwrap().max_relative_error > 0.5, "{:?}", fit_line(&bent));
    let one_size = [Point { size: 5.0, value: 1.0 }, Point { size: 5.0, value: 2.0 }];
    assert_eq!(fit_line(&one_size), None, "one size");
    let zero = [Point { size: 1.0, value: 0.0 }, Point { size: 2.0, value: 2.0 }];
    assert_eq!(fit_line(&zero), None, "nothing to be a share of");
}

/// Results of fleets of two sizes lie in one file. Only points that differ in a single size belong on one line, and
/// three of them are too few; mixed together they would give a slope that means nothing.
#[test]
fn fits_need_four_sizes_that_differ_in_nothing_else() {
    let point = |rate: u64, ingresses: u64, messages: u64| {
        format!(
            r#"{{"experiment":"quota","point":{{"rate":{rate},"ingresses":{ingresses},"messages":{messages}}}}}"#
        )
    };
    let mut lines: Vec<String> = (1..=4).map(|rate| point(rate, 30, 2 * rate)).collect();
    lines.extend((1..=3).map(|rate| point(rate, 60, 2 * rate)));
    let found = fit_results(&lines.join("\n")).unwrap();
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].contains("ingresses 30") && found[0].contains("2.000e0 each"), "{found:?}");
    assert!(fit_results("{").is_err());
}

/// Two files of results are kept in the repository, one measured before a change and one after it. Both have to be
/// readable and give lines for the same measurements, as a reader could not compare the two otherwise.
#[test]
fn kept_result_files_are_fitted() {
    let names = |results: &str| -> Vec<String> {
        let fits = fit_results(results).unwrap();
        fits.iter().map(|fit| fit.split(':').next().unwrap().to_string()).collect()
    };
    let before = names(include_str!("../results/capacity-before.jsonl"));
    assert!(!before.is_empty());
    assert_eq!(before, names(include_str!("../results/capacity-after.jsonl")));
}

/// Names in the results were changed after the capacity page was written. Fitted today, the old file has to give
/// the same lines as under the new names, or the page's numbers could not be checked any more.
#[test]
fn results_with_former_names_are_fitted_like_those_of_today() {
    let former = include_str!("../results/capacity-after.jsonl");
    let renamed = [
        ("\"list\"", "\"endpoint_list\""),
        ("\"real_list\"", "\"ingress_endpoint_list\""),
        ("\"whole_us\"", "\"snapshot_us\""),
        ("\"memory\"", "\"memory_bytes\""),
        ("\"took_s\"", "\"apply_s\""),
        ("\"memory_most\"", "\"peak_memory_bytes\""),
    ];
    let mut current = former.to_string();
    for (former_name, name) in renamed {
        assert!(current.contains(former_name), "{former_name}");
        current = current.replace(former_name, name);
    }
    let fits = fit_results(former).unwrap();
    assert_eq!(fits, fit_results(&current).unwrap());
    assert_eq!(fits.len(), 19, "{fits:?}");
    for fit in [
        "endpoint_list snapshot_us by backends (): 2.107e0 + 4.462e-1 each, 5 points, off by 54% at most",
        "request mean_us by customers (backends 200, ingresses 2900): 3.221e0 + 2.685e-6 each, 5 points, off by 18% at most",
        "ingress_endpoint_list apply_s by backends (): 2.424e-4 + 2.848e-6 each, 5 points, off by 19% at most",
        "ingress_endpoint_list peak_memory_bytes by backends (): 3.113e6 + 4.475e2 each, 5 points, off by 5% at most",
    ] {
        assert!(fits.iter().any(|found| found == fit), "{fit} in {fits:?}");
    }
}
