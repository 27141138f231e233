//! What backends' replies mean.

use super::Assignment;
use crate::resp::{Element, ElementKind, Reply};
use ingress::{LoadReport, Outcome};

/// The value's bytes if this is the answer to a request, else none.
fn served(buf: &[u8], list: &[Element]) -> Option<(Vec<u8>, Option<LoadReport>)> {
    let [value, _, load] = list else { return None };
    let report = (load.kind == ElementKind::Bulk).then(|| report(&buf[load.payload.clone()])).flatten();
    (value.kind == ElementKind::Bulk).then(|| (buf[value.span.clone()].to_vec(), report))
}

/// A load report such as `inflight=7,util=0.61`; none if nothing in it is one.
fn report(text: &[u8]) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for (name, value) in std::str::from_utf8(text).ok()?.split(',').filter_map(|f| f.split_once('=')) {
        let value = value.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0);
        report.set_field(name, value);
    }
    (report != LoadReport::default()).then_some(report)
}

/// What an answer means; none if it is no answer to this work.
pub fn judge(
    buf: &[u8],
    reply: &Reply,
    assignment: Assignment,
) -> Option<(Outcome, Vec<u8>, Option<LoadReport>)> {
    match (reply, assignment) {
        (Reply::Array(list), Assignment::Attempt { .. }) => {
            served(buf, list).map(|(value, report)| (Outcome::Ok, value, report))
        }
        (Reply::Single(e), _) if e.kind == ElementKind::Error => {
            let text = &buf[e.payload.clone()];
            let first = text.split(|b| *b == b' ').next();
            let outcome = if first == Some(b"BUSY") { Outcome::Rejected } else { Outcome::Error };
            let last = text.rsplit(|b| *b == b' ').next();
            Some((outcome, Vec::new(), last.and_then(report)))
        }
        (Reply::Single(e), Assignment::HealthCheck) if e.kind == ElementKind::Bulk => {
            Some((Outcome::Ok, Vec::new(), report(&buf[e.payload.clone()])))
        }
        _ => None,
    }
}
