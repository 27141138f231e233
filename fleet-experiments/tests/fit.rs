//! Lines fitted to the points of results.

use fleet_experiments::fit::{fit_line, fit_results, Point};

/// The capacity page extrapolates from the fitted lines. A curve must show a large error, or readers would
/// rely on a number that is far off. A single size or a value of zero gives no line.
#[test]
fn straight_lines_are_fitted_exactly_and_curves_with_a_large_error() {
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
    let curve = points([1.0, 10.0, 100.0, 1000.0], &|size| size * size);
    assert!(fit_line(&curve).unwrap().max_relative_error > 0.5, "{:?}", fit_line(&curve));
    let one_size = [Point { size: 5.0, value: 1.0 }, Point { size: 5.0, value: 2.0 }];
    assert_eq!(fit_line(&one_size), None, "one size");
    let zero = [Point { size: 1.0, value: 0.0 }, Point { size: 2.0, value: 2.0 }];
    assert_eq!(fit_line(&zero), None, "relative error of a value of zero");
}

/// A file of results has points of several fleet sizes. A line through points that differ in more than one
/// parameter, or through three points, would have a meaningless slope.
#[test]
fn fits_need_four_points_that_differ_in_one_parameter() {
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

/// The repository keeps results from before and after a change. Both files must give lines for the same
/// measurements, so that they can be compared.
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

/// Experiments and keys were renamed after the results of the capacity page were measured. The lines must be
/// the same under both names, or the numbers of the page could not be checked.
#[test]
fn results_with_former_names_give_the_same_fits() {
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
