//! The counters of an ingress, from the lines that it logs on SIGUSR1.

use crate::record::CounterRecord;

/// What precedes the title in a line of counters.
const LINE_MARKER: &str = "counters: ";

/// The fields of a line of counters, such as `begun=9 served=3`.
struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    /// Finds the latest line with a title in a log.
    fn find(log: &'a str, title: &str) -> Option<Fields<'a>> {
        let marker = format!("{LINE_MARKER}{title}, ");
        let (_, fields) = log.lines().rev().find_map(|line| line.split_once(&marker))?;
        Some(Fields(fields))
    }

    /// The value of a field.
    fn number(&self, name: &str) -> Option<u64> {
        let mut fields = self.0.split_whitespace().filter_map(|field| field.split_once('='));
        let (_, value) = fields.find(|(field, _)| *field == name)?;
        value.parse().ok()
    }
}

/// Parses the log of an ingress; none if it has no lines of counters.
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
