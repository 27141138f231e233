//! What a backend's reply means.

use crate::resp::{Element, ElementKind, Reply};
use ingress::{LoadReport, Outcome};

/// The first word of the error by which a backend rejects a command without executing it.
const REJECTION: &[u8] = b"BUSY";

/// The result of a command.
#[derive(Debug)]
pub struct ExchangeResult {
    /// How it ended.
    pub outcome: Outcome,
    /// With [`Outcome::Ok`]: the value as encoded by the backend.
    pub value: Vec<u8>,
    /// The load that the backend reported.
    pub load_report: Option<LoadReport>,
}

impl ExchangeResult {
    /// A result that no reply gave.
    pub fn without_reply(outcome: Outcome) -> ExchangeResult {
        ExchangeResult { outcome, value: Vec::new(), load_report: None }
    }
}

/// Interprets a reply whose elements are places in `buffer`; none if it is no reply to a request.
pub fn interpret(buffer: &[u8], reply: &Reply) -> Option<ExchangeResult> {
    match reply {
        Reply::Array(elements) => interpret_value(buffer, elements),
        Reply::Single(element) if element.kind == ElementKind::Error => {
            Some(interpret_error(&buffer[element.payload.clone()]))
        }
        Reply::Single(_) => None,
    }
}

/// An array of a value, something that is not used here, and a load report.
fn interpret_value(buffer: &[u8], elements: &[Element]) -> Option<ExchangeResult> {
    let [value, _, load] = elements else { return None };
    if value.kind != ElementKind::Bulk {
        return None;
    }
    let has_report = load.kind == ElementKind::Bulk;
    let load_report = has_report.then(|| parse_load_report(&buffer[load.payload.clone()])).flatten();
    Some(ExchangeResult { outcome: Outcome::Ok, value: buffer[value.span.clone()].to_vec(), load_report })
}

/// An error, whose last word may be a load report.
fn interpret_error(text: &[u8]) -> ExchangeResult {
    let is_space = |byte: &u8| *byte == b' ';
    let is_rejection = text.split(is_space).next() == Some(REJECTION);
    let outcome = if is_rejection { Outcome::Rejected } else { Outcome::Error };
    let load_report = text.rsplit(is_space).next().and_then(parse_load_report);
    ExchangeResult { outcome, value: Vec::new(), load_report }
}

/// Parses a load report such as `inflight=7,util=0.61`; none if no field of it is known.
fn parse_load_report(text: &[u8]) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    let fields = std::str::from_utf8(text).ok()?.split(',').filter_map(|field| field.split_once('='));
    for (name, value) in fields {
        let value = value.parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0);
        report.set_field(name, value);
    }
    (report != LoadReport::default()).then_some(report)
}
