//! Maps RESP2 replies of backends to outcomes, values and load reports.

use crate::resp::{Element, ElementKind, Reply};
use ingress::{LoadReportField, Outcome};

/// First word of the error that a backend sends when it rejects a command without executing it.
const REJECTION: &[u8] = b"BUSY";

/// Result of sending a command: the content of the reply, or the failure.
#[derive(Debug)]
pub struct ExchangeResult {
    pub outcome: Outcome,
    /// The value as encoded by the backend; empty unless the outcome is [`Outcome::Ok`].
    pub value: Vec<u8>,
    /// Number of requests queued at the backend, if the backend reported it.
    pub reported_queue_depth: Option<f64>,
}

impl ExchangeResult {
    /// Creates the result of an exchange that ended before a valid reply was received.
    pub fn without_reply(outcome: Outcome) -> ExchangeResult {
        ExchangeResult { outcome, value: Vec::new(), reported_queue_depth: None }
    }
}

/// Interprets a reply whose elements are ranges of `buffer`. Returns `None` if it is not a valid reply to a
/// request.
pub fn interpret(buffer: &[u8], reply: &Reply) -> Option<ExchangeResult> {
    match reply {
        Reply::Array(elements) => interpret_value(buffer, elements),
        Reply::Single(element) if element.kind == ElementKind::Error => {
            Some(interpret_error(&buffer[element.payload.clone()]))
        }
        Reply::Single(_) => None,
    }
}

/// Interprets an array of a value, an unused element and a load report.
fn interpret_value(buffer: &[u8], elements: &[Element]) -> Option<ExchangeResult> {
    let [value, _, load] = elements else { return None };
    if value.kind != ElementKind::Bulk {
        return None;
    }
    let has_report = load.kind == ElementKind::Bulk;
    let reported_queue_depth = has_report.then(|| queue_depth(&buffer[load.payload.clone()])).flatten();
    let value = buffer[value.span.clone()].to_vec();
    Some(ExchangeResult { outcome: Outcome::Ok, value, reported_queue_depth })
}

/// Interprets an error reply, whose last word may be a load report.
fn interpret_error(text: &[u8]) -> ExchangeResult {
    let is_space = |byte: &u8| *byte == b' ';
    let is_rejection = text.split(is_space).next() == Some(REJECTION);
    let outcome = if is_rejection { Outcome::Rejected } else { Outcome::Error };
    let reported_queue_depth = text.rsplit(is_space).next().and_then(queue_depth);
    ExchangeResult { outcome, value: Vec::new(), reported_queue_depth }
}

/// Parses the queue depth from a load report such as `inflight=7,queue=2`.
fn queue_depth(text: &[u8]) -> Option<f64> {
    let mut fields = std::str::from_utf8(text).ok()?.split(',').filter_map(|field| field.split_once('='));
    let (_, value) =
        fields.rfind(|(name, _)| LoadReportField::from_name(name) == LoadReportField::QueueDepth)?;
    value.parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0)
}

#[cfg(test)]
mod tests;
