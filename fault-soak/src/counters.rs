//! Parser of the counters that an ingress logs on SIGUSR1.

use crate::record::CounterRecord;

/// Target that precedes the title in a log line of counters, such as
/// `counters: attempts, begun=9 served=3`, which has the title `attempts`.
const LINE_MARKER: &str = "counters: ";

/// The fields of a log line of counters, such as `begun=9 served=3`.
struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    /// Finds the fields of the last line of counters with this title in a log.
    fn find(log: &'a str, title: &str) -> Option<Fields<'a>> {
        let marker = format!("{LINE_MARKER}{title}, ");
        let (_, fields) = log.lines().rev().find_map(|line| line.split_once(&marker))?;
        Some(Fields(fields))
    }

    /// Returns the value of a numeric field.
    fn number(&self, name: &str) -> Option<u64> {
        let mut fields = self.0.split_whitespace().filter_map(|field| field.split_once('='));
        let (_, value) = fields.find(|(field, _)| *field == name)?;
        value.parse().ok()
    }
}

/// Parses the counters of an ingress from its log. Returns `None` if the log has none.
pub fn parse(ingress: usize, log: &str) -> Option<CounterRecord> {
    let requests = Fields::find(log, "requests")?;
    let attempts = Fields::find(log, "attempts")?;
    Some(CounterRecord {
        ingress,
        requests: requests.number("requests")?,
        answers: requests.number("answers")?,
        not_served: requests.number("rejections")? + requests.number("failures")?,
        attempts_begun: attempts.number("begun")?,
    })
}
