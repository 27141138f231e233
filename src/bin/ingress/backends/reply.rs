//! Maps RESP2 replies of backends to outcomes, values and load reports.

use crate::resp::{Element, ElementKind, Reply};
use ingress::{LoadReportField, Outcome};
use std::ops::Range;

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

/// Minimum size of a value that is taken from the receive buffer without a copy, in bytes. A copy of a long
/// value would need as much memory again, and leave a gap in the heap when the buffer is freed.
const MIN_MOVED_BYTES: usize = 4 * 1024;

/// Interprets a reply whose elements are ranges of `buffer`, from which a long value is taken. Returns `None`
/// if it is not a valid reply to a request.
pub fn interpret(buffer: &mut Vec<u8>, reply: &Reply) -> Option<ExchangeResult> {
    match reply {
        Reply::Array(elements) => interpret_value(buffer, elements),
        Reply::Single(element) if element.kind == ElementKind::Error => {
            Some(interpret_error(&buffer[element.payload.clone()]))
        }
        Reply::Single(_) => None,
    }
}

/// Interprets an array of a value, an unused element and a load report.
fn interpret_value(buffer: &mut Vec<u8>, elements: &[Element]) -> Option<ExchangeResult> {
    let [value, _, load] = elements else { return None };
    if value.kind != ElementKind::Bulk {
        return None;
    }
    let has_report = load.kind == ElementKind::Bulk;
    let reported_queue_depth = has_report.then(|| queue_depth(&buffer[load.payload.clone()])).flatten();
    let value = take_value(buffer, value.span.clone());
    Some(ExchangeResult { outcome: Outcome::Ok, value, reported_queue_depth })
}

/// Returns the bytes of a range of `buffer`. If they are many, they stay in place and the buffer is left empty.
fn take_value(buffer: &mut Vec<u8>, span: Range<usize>) -> Vec<u8> {
    if span.len() < MIN_MOVED_BYTES {
        return buffer[span].to_vec();
    }
    let mut value = std::mem::take(buffer);
    value.truncate(span.end);
    value.drain(..span.start);
    value.shrink_to_fit();
    value
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
